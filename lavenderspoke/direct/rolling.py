"""An entry's part in roll-outs: what it knows, tells the others and decides.

Each entry counts its own requests and answers, and adds up what the others tell of
theirs. Any entry may stop a roll-out, as soon as the sum shows a bad target. Steps
forward are taken by one: the first by name of those that hear most of the others. What
entries name as the stage is the latest one that any of them named, so nothing has to
be agreed on; only the end is decided at the platform's store, which takes one record.
"""

from collections.abc import Iterable, Mapping
from random import Random

import attrs
import logbook

from lavenderspoke.direct.clusterview import ClusterView
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.messages import RolloutNews
from lavenderspoke.direct.rollout import Rollout, tally_counts
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.rollouts.baseline import DurationBaseline, DurationKind
from lavenderspoke.rollouts.canarysplit import CanarySplitter
from lavenderspoke.rollouts.orders import Access, Order, Stage
from lavenderspoke.rollouts.transitions import (
    Progress,
    Transition,
    next_transition,
    target_share,
)
from lavenderspoke.rollouts.versionload import VersionLoad
from lavenderspoke.rollouts.versions import ServiceVersions

# How long the other entries wait for the one that is to take a step, or to write the
# store's record, in seconds.
FIRST_LATE_S = 1.0
# Time between two looks at a roll-out, in seconds.
LOOK_EVERY_S = 0.1
# Weights of longer and shorter answers in how long the longest take.
LONGER_WEIGHT = 0.5
SHORTER_WEIGHT = 0.01
# Orders that others told of and this entry hasn't read, at most.
EARLY_MAX = 32

STAGES = "rollout_stages"
ANSWERS = "rollout_answers"
HELD = "rollout_versions_held"

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class AttemptResult:
    """What became of one attempt, as a roll-out counts it.

    `is_bad` is a failed or broken one; whether it was slow follows from the durations.
    One that `is_abandoned` counts only if it was slow.
    """

    route: str
    is_bad: bool = False
    durations_s: dict[DurationKind, float] = attrs.field(factory=dict)
    total_s: float = 0.0
    is_abandoned: bool = False


@attrs.frozen(kw_only=True)
class StatusUpdate:
    """A roll-out whose record in the store should follow its stage."""

    order: Order
    stage: Stage
    elapsed_s: float


class Rollouts:
    """All services' roll-outs. Not safe for threads: its owner holds a lock."""

    def __init__(self, *, random: Random, metrics: Metrics):
        self._random = random
        self._metrics = metrics
        self._rollouts: dict[str, Rollout] = {}
        self._versions: dict[str, ServiceVersions] = {}
        self._baselines: dict[str, DurationBaseline] = {}
        self._answer_s: dict[str, float] = {}
        self._access: dict[tuple[str, str], Access] = {}
        self._looked_s = float("-inf")
        self._in_touch = False
        # What others told of orders that this entry hasn't read yet.
        self._early: dict[tuple[str, int], dict[InstanceId, RolloutNews]] = {}

    @property
    def is_any_running(self) -> bool:
        """Whether a roll-out is under way."""
        return any(not each.stage.is_final for each in self._rollouts.values())

    # The platform

    def update_upstreams(self, upstreams: Iterable[Upstream], now_s: float) -> None:
        """Take over the versions of the upstreams that are there."""
        by_service: dict[str, list[str]] = {}
        for each in upstreams:
            by_service.setdefault(each.service, []).append(each.version)
        for service, listed in by_service.items():
            versions = self._versions.setdefault(service, ServiceVersions())
            versions.update_listed(listed, now_s, target=self._target(service))

    def release_held_versions(self, read_s: float) -> bool:
        """Note that all orders up to a read that was sent then are known.

        Returns whether that took versions into use.
        """
        changed = False
        for service, versions in self._versions.items():
            target = self._target(service)
            for version in versions.release_held(read_s, target=target):
                log.info(
                    "version in use without an order", service=service, version=version
                )
                self._metrics.count(HELD, "released")
                self._access.clear()
                changed = True
        return changed

    def add_order(self, order: Order, now_s: float) -> None:
        """Take over an operator's order."""
        current = self._rollouts.get(order.service)
        if current is not None and current.order.number >= order.number:
            return
        if current is not None and not current.stage.is_final:
            self._versions_of(order.service).roll_back(current.order.target)
        rollout = Rollout(order=order, now_s=now_s, random=self._random)
        self._rollouts[order.service] = rollout
        early = self._early.pop((order.service, order.number), {})
        log.info("roll-out ordered", **attrs.asdict(order))
        for sender, news in early.items():
            self._take_in(rollout, sender, news, now_s)

    def withdraw_order(self, service: str, number: int, now_s: float) -> None:
        """Stop a roll-out whose order the operator took back."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order.number >= number:
            return
        if rollout.stage < Stage.STOPPED:
            self._go(
                rollout, Transition(stage=Stage.STOPPED, reason="withdrawn"), now_s
            )

    def apply_stored_stage(
        self, order: Order, stage: Stage, elapsed_s: float, now_s: float
    ) -> None:
        """Take over what the store's record says of a roll-out ordered so long ago."""
        rollout = self._rollouts.get(order.service)
        if rollout is None or rollout.order != order:
            return
        rollout.backdate(elapsed_s, now_s)
        if stage > rollout.stage or stage.is_final:
            if stage is not rollout.stage:
                self._go(
                    rollout, Transition(stage=stage, reason="the store's record"), now_s
                )

    def status_updates(self, cluster: ClusterView, now_s: float) -> list[StatusUpdate]:
        """Return the roll-outs whose record in the store is for this entry to write."""
        return [
            StatusUpdate(
                order=each.order, stage=each.stage, elapsed_s=each.elapsed_s(now_s)
            )
            for each in self._rollouts.values()
            if self._wants_record(each)
            and cluster.orders_are_fresh
            and (cluster.is_coordinator or now_s >= each.update_due_s + FIRST_LATE_S)
        ]

    @staticmethod
    def _wants_record(rollout: Rollout) -> bool:
        if rollout.stage in (Stage.ORDERED, Stage.STOPPED):
            return True
        return rollout.stage is Stage.MOVING and rollout.is_completion_due

    # Requests

    def canary_splitter(self, service: str) -> CanarySplitter | None:
        """Return the share of a service's target while a roll-out runs."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.stage.is_final:
            return None
        return rollout.splitter

    def access(self, upstream: Upstream) -> Access:
        """Return which requests an upstream may get."""
        key = (upstream.service, upstream.version)
        access = self._access.get(key)
        if access is None:
            access = self._access[key] = self._decide_access(*key)
        return access

    def record_attempt(self, upstream: Upstream, answer: AttemptResult) -> None:
        """Count what became of an attempt."""
        service = upstream.service
        typical = self._baselines.setdefault(service, DurationBaseline())
        by_target = upstream.version == self._target(service)
        is_bad = answer.is_bad or typical.is_slow(answer.route, answer.durations_s)
        if answer.is_abandoned and not is_bad:
            return
        if not by_target and not is_bad:
            typical.learn(answer.route, answer.durations_s)
            self._note_length(service, answer.total_s)
        if by_target and not upstream.is_warm and not answer.is_bad:
            # Slow while it warms up, it says nothing of the version.
            return
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.stage.is_final:
            return
        rollout.record_answer(answer.route, by_target=by_target, is_bad=is_bad)
        if by_target:
            self._metrics.count(ANSWERS, "bad" if is_bad else "good")

    def _note_length(self, service: str, whole_s: float) -> None:
        longest_s = self._answer_s.get(service, 0.0)
        weight = LONGER_WEIGHT if whole_s > longest_s else SHORTER_WEIGHT
        self._answer_s[service] = longest_s + (whole_s - longest_s) * weight

    # The other entries

    def outgoing_news(self, now_s: float) -> tuple[RolloutNews, ...]:
        """Return what the others are told."""
        return tuple(each.outgoing_news(now_s) for each in self._rollouts.values())

    def receive_news(
        self, sender: InstanceId, told: Iterable[RolloutNews], now_s: float
    ) -> None:
        """Take in what another entry tells."""
        for news in told:
            rollout = self._rollouts.get(news.service)
            if rollout is not None and rollout.order.number == news.number:
                self._take_in(rollout, sender, news, now_s)
            elif rollout is None or rollout.order.number < news.number:
                self._keep_early(sender, news)

    def _keep_early(self, sender: InstanceId, news: RolloutNews) -> None:
        key = (news.service, news.number)
        if key in self._early or len(self._early) < EARLY_MAX:
            self._early.setdefault(key, {})[sender] = news

    def _take_in(
        self, rollout: Rollout, sender: InstanceId, news: RolloutNews, now_s: float
    ) -> None:
        rollout.receive_news(sender, news, now_s)
        if news.stage not in iter(Stage):
            log.warning("unknown stage", peer=sender.name, stage=news.stage)
            return
        stage = Stage(news.stage)
        if stage > rollout.stage and not rollout.stage.is_final:
            reason = f"told by {sender.name}"
            self._go(rollout, Transition(stage=stage, reason=reason), now_s)

    # Decisions

    def tick(
        self,
        places: Mapping[str, VersionLoad],
        cluster: ClusterView,
        now_s: float,
    ) -> bool:
        """Go on where it is time; return whether access may have changed."""
        changed = cluster.is_connected != self._in_touch
        self._in_touch = cluster.is_connected
        if now_s >= self._looked_s + LOOK_EVERY_S:
            self._looked_s = now_s
            for rollout in self._rollouts.values():
                if not rollout.stage.is_final:
                    self._look(rollout, places, cluster, now_s)
                    changed = True
        if changed:
            self._access.clear()
        return changed

    def _look(
        self,
        rollout: Rollout,
        places: Mapping[str, VersionLoad],
        cluster: ClusterView,
        now_s: float,
    ) -> None:
        service = rollout.order.service
        progress = rollout.progress(
            places=places.get(service, VersionLoad()),
            answer_s=self._answer_s.get(service, 0.0),
            cluster=cluster,
            now_s=now_s,
        )
        step = next_transition(progress)
        is_end = step is not None and step.stage is Stage.COMPLETED
        rollout.set_completion_due(is_end, now_s)
        if step is not None and not is_end:
            if self._may_step(rollout, step, cluster, now_s):
                self._go(rollout, step, now_s, progress)
        rollout.splitter.share = target_share(progress) if self._in_touch else 0.0
        rollout.splitter.target_answers = {
            route: tally.target.answers for route, tally in rollout.evidence().items()
        }

    @staticmethod
    def _may_step(
        rollout: Rollout, step: Transition, cluster: ClusterView, now_s: float
    ) -> bool:
        if step.stage is Stage.STOPPED or cluster.is_coordinator:
            return True
        wanted_s = rollout.transition_wanted_for_s(step.stage, now_s)
        return cluster.is_connected and wanted_s >= FIRST_LATE_S

    def _go(
        self,
        rollout: Rollout,
        step: Transition,
        now_s: float,
        progress: Progress | None = None,
    ) -> None:
        before = rollout.stage
        rollout.enter_stage(step.stage, now_s)
        order = rollout.order
        versions = self._versions_of(order.service)
        if step.stage is Stage.COMPLETED:
            versions.complete(order.target)
        elif step.stage in (Stage.STOPPED, Stage.ROLLED_BACK):
            rollout.splitter.share = 0.0
            versions.roll_back(order.target)
        self._access.clear()
        self._metrics.count(STAGES, step.stage.name.lower())
        judgement = progress.judgement if progress is not None else None
        log.info(
            "roll-out goes on",
            service=order.service,
            target=order.target,
            order=order.number,
            stage=step.stage.name.lower(),
            before=before.name.lower(),
            reason=step.reason,
            elapsed_s=round(rollout.elapsed_s(now_s), 2),
            requests=progress.requests if progress is not None else None,
            to_target=progress.to_target if progress is not None else None,
            log_odds=round(judgement.log_odds, 2) if judgement is not None else None,
            evidence={
                route: tally_counts(tally)
                for route, tally in sorted(rollout.evidence().items())
            },
        )

    def _decide_access(self, service: str, version: str) -> Access:
        rollout = self._rollouts.get(service)
        versions = self._versions_of(service)
        if rollout is None or rollout.stage.is_final:
            return Access.OPEN if versions.is_in_use(version) else Access.CLOSED
        if version == rollout.order.target:
            return self._target_access(rollout)
        if rollout.stage is Stage.MOVING and self._in_touch:
            return Access.CLOSED
        return Access.OPEN if versions.is_in_use(version) else Access.CLOSED

    def _target_access(self, rollout: Rollout) -> Access:
        order, stage = rollout.order, rollout.stage
        if stage >= Stage.STOPPED:
            return Access.CLOSED
        if self._versions_of(order.service).is_only_listed(order.target):
            # Nothing is to be moved, and nobody else could serve.
            return Access.OPEN
        if stage is Stage.MOVING and self._in_touch:
            return Access.OPEN
        if stage in (Stage.CANARY, Stage.LOADED):
            return Access.CANARY
        return Access.CLOSED

    def _target(self, service: str) -> str | None:
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.stage.is_final:
            return None
        return rollout.order.target

    def _versions_of(self, service: str) -> ServiceVersions:
        return self._versions.setdefault(service, ServiceVersions())
