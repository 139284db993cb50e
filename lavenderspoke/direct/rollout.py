"""One roll-out as one entry sees it: its own counts, and what the others told."""

from random import Random

from lavenderspoke.direct.clusterview import ClusterView
from lavenderspoke.direct.messages import RolloutNews
from lavenderspoke.model import InstanceId
from lavenderspoke.rollouts.canarysplit import CanarySplitter
from lavenderspoke.rollouts.evidence import RouteTally, Tally, judge_canary
from lavenderspoke.rollouts.orders import Order, Stage
from lavenderspoke.rollouts.transitions import Progress
from lavenderspoke.rollouts.versionload import VersionLoad

# Elapsed times that are told are rounded to this, in seconds, so that they are no news
# by themselves.
ELAPSED_STEP_S = 0.5
# Weight of the newest look in the rate of requests.
RATE_WEIGHT = 0.2


class Rollout:
    """One order, as one entry sees it."""

    def __init__(self, *, order: Order, now_s: float, random: Random):
        self.order = order
        self.stage = Stage.ORDERED
        self.splitter = CanarySplitter(random=random)
        self.update_due_s = now_s
        self.is_completion_due = False
        # Since when a step has been wanted that another entry should take.
        self._wanted: tuple[Stage, float] | None = None
        self._began_s = now_s
        self._stage_s = now_s
        self._own: dict[str, RouteTally] = {}
        self._peers: dict[InstanceId, RolloutNews] = {}
        self._requests_per_s = 0.0
        self._looked_s = now_s
        self._looked_requests = 0

    def elapsed_s(self, now_s: float) -> float:
        """Return how long ago the order was seen first, by any entry."""
        return now_s - self._began_s

    def stage_age_s(self, now_s: float) -> float:
        """Return how long ago this stage began here."""
        return now_s - self._stage_s

    def backdate(self, elapsed_s: float, now_s: float) -> None:
        """Note that the order was there so long ago."""
        self._began_s = min(self._began_s, now_s - max(0.0, elapsed_s))

    def enter_stage(self, stage: Stage, now_s: float) -> None:
        """Go on to a stage."""
        self.stage = stage
        self._stage_s = self.update_due_s = now_s
        self.is_completion_due = False
        self._wanted = None
        if stage.is_final:
            # The others are told the end alone from now on.
            self._own.clear()
            self._peers.clear()

    def transition_wanted_for_s(self, stage: Stage, now_s: float) -> float:
        """Return for how long this step has been wanted."""
        if self._wanted is None or self._wanted[0] is not stage:
            self._wanted = (stage, now_s)
        return now_s - self._wanted[1]

    def set_completion_due(self, is_due: bool, now_s: float) -> None:
        """Note whether the store's record should say that it is completed."""
        if is_due and not self.is_completion_due:
            self.update_due_s = now_s
        self.is_completion_due = is_due

    def record_answer(self, route: str, *, by_target: bool, is_bad: bool) -> None:
        """Count an answer of this entry's."""
        tally = Tally(answers=1, bad=int(is_bad))
        added = RouteTally(target=tally) if by_target else RouteTally(others=tally)
        self._own[route] = self._own.get(route, RouteTally()) + added

    def receive_news(self, sender: InstanceId, news: RolloutNews, now_s: float) -> None:
        """Take in what another entry tells. Its counts replace those told before."""
        self._peers[sender] = news
        self.backdate(news.elapsed_s, now_s)

    def outgoing_news(self, now_s: float) -> RolloutNews:
        """Return what the others are told."""
        elapsed_s = self.elapsed_s(now_s)
        return RolloutNews(
            service=self.order.service,
            number=self.order.number,
            stage=int(self.stage),
            elapsed_s=elapsed_s - elapsed_s % ELAPSED_STEP_S,
            requests=self.splitter.requests,
            to_target=self.splitter.to_target,
            routes=tuple(
                (route, *tally_counts(tally))
                for route, tally in sorted(self._own.items())
            ),
        )

    def evidence(self) -> dict[str, RouteTally]:
        """Return what all entries saw, by route; also those that have ended since."""
        routes = dict(self._own)
        for news in self._peers.values():
            for route, *counts in news.routes:
                routes[route] = routes.get(route, RouteTally()) + _tally(*counts)
        return routes

    def progress(
        self,
        *,
        places: VersionLoad,
        answer_s: float,
        cluster: ClusterView,
        now_s: float,
    ) -> Progress:
        """Return what is known over all entries."""
        peers = self._peers.values()
        requests = self.splitter.requests + sum(each.requests for each in peers)
        target = self.order.target
        return Progress(
            stage=self.stage,
            elapsed_s=self.elapsed_s(now_s),
            stage_age_s=self.stage_age_s(now_s),
            duration_s=self.order.duration_s,
            judgement=judge_canary(self.evidence()),
            requests=requests,
            to_target=self.splitter.to_target + sum(each.to_target for each in peers),
            requests_per_s=self._rate(requests, now_s),
            longest_answer_s=answer_s,
            other_in_flight=places.other_in_flight(target),
            all_peers_live=cluster.all_peers_live,
            target_slots=places.target_slots(target),
            other_slots=places.other_slots(target),
            bounds=cluster.bounds,
        )

    def _rate(self, requests: int, now_s: float) -> float:
        passed_s = now_s - self._looked_s
        if passed_s > 0.0:
            rate = (requests - self._looked_requests) / passed_s
            weight = RATE_WEIGHT if self._requests_per_s else 1.0
            self._requests_per_s += (rate - self._requests_per_s) * weight
            self._looked_s, self._looked_requests = now_s, requests
        return max(0.0, self._requests_per_s)


def tally_counts(tally: RouteTally) -> tuple[int, int, int, int]:
    """Return answers and bad ones of the target, and of the other versions."""
    target, others = tally.target, tally.others
    return target.answers, target.bad, others.answers, others.bad


def _tally(answers: int, bad: int, other_answers: int, other_bad: int) -> RouteTally:
    return RouteTally(
        target=Tally(answers=answers, bad=bad),
        others=Tally(answers=other_answers, bad=other_bad),
    )
