"""The state of one roll-out at one entry: its own counts and its peers' news."""

from random import Random

from lavenderspoke.direct.clusterview import ClusterView
from lavenderspoke.direct.messages import RolloutNews
from lavenderspoke.model import InstanceId
from lavenderspoke.rollouts.canarysplit import CanarySplitter
from lavenderspoke.rollouts.evidence import RouteTally, Tally, judge_canary
from lavenderspoke.rollouts.orders import Order, Stage
from lavenderspoke.rollouts.transitions import Progress
from lavenderspoke.rollouts.versionload import VersionLoad

# Elapsed times in news are rounded down to a multiple of this, in seconds, so that the
# passing of time alone doesn't change the news.
ELAPSED_RESOLUTION_S = 0.5
# Weight of the newest sample in the moving average of the request rate.
NEWEST_RATE_WEIGHT = 0.2


class Rollout:
    """The roll-out of one order, as known to one entry."""

    def __init__(self, *, order: Order, now_s: float, random: Random):
        self.order = order
        self.stage = Stage.ORDERED
        self.splitter = CanarySplitter(random=random)
        self.update_due_s = now_s
        self.is_completion_due = False
        # Whether the store may have lost the record of it, and the order.
        self.is_record_lost = False
        self.is_order_lost = False
        # The transition left to the coordinator, and since when it has been wanted.
        self._wanted_transition: tuple[Stage, float] | None = None
        self._began_s = now_s
        self._stage_entered_s = now_s
        self._own_tallies: dict[str, RouteTally] = {}
        self._peer_news: dict[InstanceId, RolloutNews] = {}
        self._requests_per_s = 0.0
        self._rate_sampled_s = now_s
        self._rate_sampled_requests = 0

    def elapsed_s(self, now_s: float) -> float:
        """Return the time since any entry first read the order."""
        return now_s - self._began_s

    def stage_age_s(self, now_s: float) -> float:
        """Return the time since this entry entered the current stage."""
        return now_s - self._stage_entered_s

    def backdate(self, elapsed_s: float, now_s: float) -> None:
        """Move the start back to `elapsed_s` ago, unless it is earlier already."""
        self._began_s = min(self._began_s, now_s - max(0.0, elapsed_s))

    def enter_stage(self, stage: Stage, now_s: float) -> None:
        """Enter a stage and reset what belonged to the previous one."""
        self.stage = stage
        self._stage_entered_s = self.update_due_s = now_s
        self.is_completion_due = False
        self._wanted_transition = None
        if stage.is_final:
            # Peers need only the final stage from now on, so the counts are dropped.
            self._own_tallies.clear()
            self._peer_news.clear()

    def transition_wanted_for_s(self, stage: Stage, now_s: float) -> float:
        """Return for how long a transition to the stage has been wanted, 0 if new."""
        if self._wanted_transition is None or self._wanted_transition[0] is not stage:
            self._wanted_transition = (stage, now_s)
        return now_s - self._wanted_transition[1]

    def set_completion_due(self, is_due: bool, now_s: float) -> None:
        """Set whether the status record should change to completed."""
        if is_due and not self.is_completion_due:
            self.update_due_s = now_s
        self.is_completion_due = is_due

    def record_answer(self, route: str, *, by_target: bool, is_bad: bool) -> None:
        """Count an answer that this entry received."""
        tally = Tally(answers=1, bad=int(is_bad))
        added = RouteTally(target=tally) if by_target else RouteTally(others=tally)
        self._own_tallies[route] = self._own_tallies.get(route, RouteTally()) + added

    def receive_news(self, sender: InstanceId, news: RolloutNews, now_s: float) -> None:
        """Store a peer's news; its counts replace those of its earlier news."""
        self._peer_news[sender] = news
        self.backdate(news.elapsed_s, now_s)

    def outgoing_news(self, now_s: float) -> RolloutNews:
        """Return this entry's news to send to the peers."""
        elapsed_s = self.elapsed_s(now_s)
        return RolloutNews(
            service=self.order.service,
            number=self.order.number,
            stage=int(self.stage),
            elapsed_s=elapsed_s - elapsed_s % ELAPSED_RESOLUTION_S,
            requests=self.splitter.requests,
            to_target=self.splitter.to_target,
            routes=tuple(
                (route, *tally_counts(tally))
                for route, tally in sorted(self._own_tallies.items())
            ),
        )

    def evidence(self) -> dict[str, RouteTally]:
        """Return the counts by route over all entries, including stopped ones."""
        routes = dict(self._own_tallies)
        for news in self._peer_news.values():
            for route, *counts in news.routes:
                routes[route] = routes.get(route, RouteTally()) + _tally(*counts)
        return routes

    def progress(
        self,
        *,
        load: VersionLoad,
        longest_answer_s: float,
        cluster: ClusterView,
        now_s: float,
    ) -> Progress:
        """Return the state of the roll-out, added up over all entries."""
        peers = self._peer_news.values()
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
            requests_per_s=self._update_rate(requests, now_s),
            longest_answer_s=longest_answer_s,
            other_in_flight=load.other_in_flight(target),
            all_peers_live=cluster.all_peers_live,
            target_slots=load.target_slots(target),
            other_slots=load.other_slots(target),
            bounds=cluster.bounds,
        )

    def _update_rate(self, requests: int, now_s: float) -> float:
        passed_s = now_s - self._rate_sampled_s
        if passed_s > 0.0:
            rate = (requests - self._rate_sampled_requests) / passed_s
            weight = NEWEST_RATE_WEIGHT if self._requests_per_s else 1.0
            self._requests_per_s += (rate - self._requests_per_s) * weight
            self._rate_sampled_s, self._rate_sampled_requests = now_s, requests
        return max(0.0, self._requests_per_s)


def tally_counts(tally: RouteTally) -> tuple[int, int, int, int]:
    """Return the answers and bad answers of the target, then of the other versions."""
    target, others = tally.target, tally.others
    return target.answers, target.bad, others.answers, others.bad


def _tally(answers: int, bad: int, other_answers: int, other_bad: int) -> RouteTally:
    return RouteTally(
        target=Tally(answers=answers, bad=bad),
        others=Tally(answers=other_answers, bad=other_bad),
    )
