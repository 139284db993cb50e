"""Runs the roll-outs of all services at one entry.

Each entry counts its own requests and answers and adds the counts its peers report. Any
entry may stop a roll-out as soon as the total shows a bad target. Forward transitions
are made by the coordinator: an entry that hears from at least half of the known
entries and whose name sorts first among those. Entries adopt the latest stage that any
of them reports, so they need no agreement; only the final stage is decided by the
platform's store, which accepts a single record.
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

# Time in seconds after which another entry makes a transition, or writes the status
# record, in place of the coordinator.
COORDINATOR_TIMEOUT_S = 1.0
# Time between two evaluations of the running roll-outs, in seconds.
EVALUATION_PERIOD_S = 0.1
# Weights of a longer and of a shorter answer in the estimate of the longest duration.
LONGER_ANSWER_WEIGHT = 0.5
SHORTER_ANSWER_WEIGHT = 0.01
# Maximum number of orders known only from peers for which news is kept.
EARLY_ORDERS_MAX = 32

STAGES_METRIC = "rollout_stages"
ANSWERS_METRIC = "rollout_answers"
HELD_METRIC = "rollout_versions_held"

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class AttemptResult:
    """The result of one attempt, as counted by a roll-out.

    `is_bad` means that the attempt failed or broke off; whether it was slow is derived
    from its durations. One that `is_abandoned` counts only if it was slow.
    """

    route: str
    is_bad: bool = False
    durations_s: dict[DurationKind, float] = attrs.field(factory=dict)
    total_s: float = 0.0
    is_abandoned: bool = False


@attrs.frozen(kw_only=True)
class StatusUpdate:
    """A roll-out whose status record in the store has to be written."""

    order: Order
    stage: Stage
    elapsed_s: float


class Rollouts:
    """The roll-outs of all services. Not thread-safe: the caller holds a lock."""

    def __init__(self, *, random: Random, metrics: Metrics):
        self._random = random
        self._metrics = metrics
        self._rollouts: dict[str, Rollout] = {}
        self._versions: dict[str, ServiceVersions] = {}
        self._baselines: dict[str, DurationBaseline] = {}
        self._longest_answer_s: dict[str, float] = {}
        self._access: dict[tuple[str, str], Access] = {}
        # Orders that a later one has replaced, by what they say.
        self._replaced: set[tuple[str, str, float]] = set()
        self._evaluated_s = float("-inf")
        self._is_connected = False
        # News from peers about orders that this entry hasn't read yet.
        self._early_news: dict[tuple[str, int], dict[InstanceId, RolloutNews]] = {}

    @property
    def is_any_running(self) -> bool:
        """Whether any roll-out hasn't reached a final stage."""
        return any(not each.stage.is_final for each in self._rollouts.values())

    @property
    def may_need_record(self) -> bool:
        """Whether any roll-out runs, or the store may lack the record of one."""
        return any(
            each.is_record_lost or not each.stage.is_final
            for each in self._rollouts.values()
        )

    # The platform

    def records_lost(self) -> None:
        """Have the records of all roll-outs checked, and written where they lag."""
        for rollout in self._rollouts.values():
            rollout.is_record_lost = rollout.is_order_lost = True

    def update_upstreams(self, upstreams: Iterable[Upstream], now_s: float) -> None:
        """Update the listed versions of each service that has upstreams."""
        by_service: dict[str, list[str]] = {}
        for each in upstreams:
            by_service.setdefault(each.service, []).append(each.version)
        for service, listed in by_service.items():
            versions = self._versions.setdefault(service, ServiceVersions())
            versions.update_listed(listed, now_s, target=self._target(service))

    def release_held_versions(self, read_s: float) -> bool:
        """Put versions into use that no order names, given a read sent at `read_s`.

        All orders up to that read are known. Returns whether any version was put into
        use.
        """
        changed = False
        for service, versions in self._versions.items():
            target = self._target(service)
            for version in versions.release_held(read_s, target=target):
                log.info(
                    "version in use without an order", service=service, version=version
                )
                self._metrics.count(HELD_METRIC, "released")
                self._access.clear()
                changed = True
        return changed

    def add_order(self, order: Order, now_s: float) -> None:
        """Start the roll-out of an order that is newer than the known one.

        After the store has come back from a copy (`records_lost`), the known order
        comes again under another number, and so may one that it has replaced.
        """
        current = self._rollouts.get(order.service)
        if current is not None and current.order.number >= order.number:
            return
        if current is not None and current.is_order_lost:
            if _content(order) == _content(current.order):
                current.order = order
                current.is_order_lost = False
                return
            if _content(order) in self._replaced:
                return
        if current is not None:
            self._replaced.add(_content(current.order))
        if current is not None and not current.stage.is_final:
            self._versions_of(order.service).roll_back(current.order.target)
        rollout = Rollout(order=order, now_s=now_s, random=self._random)
        self._rollouts[order.service] = rollout
        early_news = self._early_news.pop((order.service, order.number), {})
        log.info("roll-out ordered", **attrs.asdict(order))
        for sender, news in early_news.items():
            self._apply_news(rollout, sender, news, now_s)

    def withdraw_order(self, service: str, number: int, now_s: float) -> None:
        """Stop a service's roll-out if it was ordered before record `number`."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order.number >= number:
            return
        if rollout.stage < Stage.STOPPED:
            self._make_transition(
                rollout, Transition(stage=Stage.STOPPED, reason="withdrawn"), now_s
            )

    def apply_stored_stage(
        self, order: Order, stage: Stage, elapsed_s: float, now_s: float
    ) -> None:
        """Apply the stage in the store's record, `elapsed_s` after the order."""
        rollout = self._rollouts.get(order.service)
        if rollout is None or rollout.order != order:
            return
        rollout.is_record_lost = False
        rollout.backdate(elapsed_s, now_s)
        if stage > rollout.stage or stage.is_final:
            if stage is not rollout.stage:
                self._make_transition(
                    rollout, Transition(stage=stage, reason="the store's record"), now_s
                )

    def status_updates(self, cluster: ClusterView, now_s: float) -> list[StatusUpdate]:
        """Return the status records that this entry has to write."""
        return [
            StatusUpdate(
                order=each.order,
                stage=_stage_to_record(each),
                elapsed_s=each.elapsed_s(now_s),
            )
            for each in self._rollouts.values()
            if self._needs_record(each)
            and cluster.orders_are_fresh
            and (
                cluster.is_coordinator
                or now_s >= each.update_due_s + COORDINATOR_TIMEOUT_S
            )
        ]

    @staticmethod
    def _needs_record(rollout: Rollout) -> bool:
        if rollout.is_record_lost or rollout.stage in (Stage.ORDERED, Stage.STOPPED):
            return True
        return rollout.stage is Stage.MOVING and rollout.is_completion_due

    # Requests

    def canary_splitter(self, service: str) -> CanarySplitter | None:
        """Return the splitter of a service, or None if no roll-out runs."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.stage.is_final:
            return None
        return rollout.splitter

    def access(self, upstream: Upstream) -> Access:
        """Return which requests an upstream may receive."""
        key = (upstream.service, upstream.version)
        access = self._access.get(key)
        if access is None:
            access = self._access[key] = self._decide_access(*key)
        return access

    def record_attempt(self, upstream: Upstream, result: AttemptResult) -> None:
        """Count the result of an attempt."""
        service = upstream.service
        baseline = self._baselines.setdefault(service, DurationBaseline())
        by_target = upstream.version == self._target(service)
        is_bad = result.is_bad or baseline.is_slow(result.route, result.durations_s)
        if result.is_abandoned and not is_bad:
            return
        if not by_target and not is_bad:
            baseline.learn(result.route, result.durations_s)
            self._update_longest_answer(service, result.total_s)
        if by_target and not upstream.is_warm and not result.is_bad:
            # Slow answers during warm-up are no evidence against the version.
            return
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.stage.is_final:
            return
        rollout.record_answer(result.route, by_target=by_target, is_bad=is_bad)
        if by_target:
            self._metrics.count(ANSWERS_METRIC, "bad" if is_bad else "good")

    def _update_longest_answer(self, service: str, total_s: float) -> None:
        longest_s = self._longest_answer_s.get(service, 0.0)
        weight = LONGER_ANSWER_WEIGHT if total_s > longest_s else SHORTER_ANSWER_WEIGHT
        self._longest_answer_s[service] = longest_s + (total_s - longest_s) * weight

    # The other entries

    def outgoing_news(self, now_s: float) -> tuple[RolloutNews, ...]:
        """Return the news of all roll-outs to send to the peers."""
        return tuple(each.outgoing_news(now_s) for each in self._rollouts.values())

    def receive_news(
        self, sender: InstanceId, received: Iterable[RolloutNews], now_s: float
    ) -> None:
        """Process a peer's news of roll-outs."""
        for news in received:
            rollout = self._rollouts.get(news.service)
            if rollout is not None and rollout.order.number == news.number:
                self._apply_news(rollout, sender, news, now_s)
            elif rollout is None or rollout.order.number < news.number:
                self._keep_early_news(sender, news)

    def _keep_early_news(self, sender: InstanceId, news: RolloutNews) -> None:
        key = (news.service, news.number)
        if key in self._early_news or len(self._early_news) < EARLY_ORDERS_MAX:
            self._early_news.setdefault(key, {})[sender] = news

    def _apply_news(
        self, rollout: Rollout, sender: InstanceId, news: RolloutNews, now_s: float
    ) -> None:
        rollout.receive_news(sender, news, now_s)
        if news.stage not in iter(Stage):
            log.warning("unknown roll-out stage", peer=sender.name, stage=news.stage)
            return
        stage = Stage(news.stage)
        if stage > rollout.stage and not rollout.stage.is_final:
            reason = f"reported by {sender.name}"
            self._make_transition(
                rollout, Transition(stage=stage, reason=reason), now_s
            )

    # Decisions

    def tick(
        self,
        loads: Mapping[str, VersionLoad],
        cluster: ClusterView,
        now_s: float,
    ) -> bool:
        """Evaluate the roll-outs when due; return whether access may have changed."""
        changed = cluster.is_connected != self._is_connected
        self._is_connected = cluster.is_connected
        if now_s >= self._evaluated_s + EVALUATION_PERIOD_S:
            self._evaluated_s = now_s
            for rollout in self._rollouts.values():
                if not rollout.stage.is_final:
                    self._evaluate(rollout, loads, cluster, now_s)
                    changed = True
        if changed:
            self._access.clear()
        return changed

    def _evaluate(
        self,
        rollout: Rollout,
        loads: Mapping[str, VersionLoad],
        cluster: ClusterView,
        now_s: float,
    ) -> None:
        service = rollout.order.service
        progress = rollout.progress(
            load=loads.get(service, VersionLoad()),
            longest_answer_s=self._longest_answer_s.get(service, 0.0),
            cluster=cluster,
            now_s=now_s,
        )
        transition = next_transition(progress)
        completes = transition is not None and transition.stage is Stage.COMPLETED
        rollout.set_completion_due(completes, now_s)
        if transition is not None and not completes:
            if self._may_make(rollout, transition, cluster, now_s):
                self._make_transition(rollout, transition, now_s, progress)
        rollout.splitter.share = target_share(progress) if self._is_connected else 0.0
        rollout.splitter.target_answers = {
            route: tally.target.answers for route, tally in rollout.evidence().items()
        }

    @staticmethod
    def _may_make(
        rollout: Rollout, transition: Transition, cluster: ClusterView, now_s: float
    ) -> bool:
        if transition.stage is Stage.STOPPED or cluster.is_coordinator:
            return True
        wanted_s = rollout.transition_wanted_for_s(transition.stage, now_s)
        return cluster.is_connected and wanted_s >= COORDINATOR_TIMEOUT_S

    def _make_transition(
        self,
        rollout: Rollout,
        transition: Transition,
        now_s: float,
        progress: Progress | None = None,
    ) -> None:
        before = rollout.stage
        rollout.enter_stage(transition.stage, now_s)
        order = rollout.order
        versions = self._versions_of(order.service)
        if transition.stage is Stage.COMPLETED:
            versions.complete(order.target)
        elif transition.stage in (Stage.STOPPED, Stage.ROLLED_BACK):
            rollout.splitter.share = 0.0
            versions.roll_back(order.target)
        self._access.clear()
        self._metrics.count(STAGES_METRIC, transition.stage.name.lower())
        judgement = progress.judgement if progress is not None else None
        log.info(
            "roll-out goes on",
            service=order.service,
            target=order.target,
            order=order.number,
            stage=transition.stage.name.lower(),
            before=before.name.lower(),
            reason=transition.reason,
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
        if rollout.stage is Stage.MOVING and self._is_connected:
            return Access.CLOSED
        return Access.OPEN if versions.is_in_use(version) else Access.CLOSED

    def _target_access(self, rollout: Rollout) -> Access:
        order, stage = rollout.order, rollout.stage
        if stage >= Stage.STOPPED:
            return Access.CLOSED
        if self._versions_of(order.service).is_only_listed(order.target):
            # The target already serves everything, and no other version could.
            return Access.OPEN
        if stage is Stage.MOVING and self._is_connected:
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


def _content(order: Order) -> tuple[str, str, float]:
    return order.service, order.target, order.duration_s


def _stage_to_record(rollout: Rollout) -> Stage:
    """Return the stage that the store's record should tell of."""
    is_moving = rollout.stage is Stage.MOVING and not rollout.is_completion_due
    if is_moving or rollout.stage in (Stage.CANARY, Stage.LOADED):
        return Stage.ORDERED
    return rollout.stage
