"""Simulates callers and upstreams of a direct scheduler's queue, on its own clock."""

import heapq
import itertools
from random import Random

import attrs

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.policies import ALL_POLICIES, Policies
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.direct.tickets import Dispatch, Refuse, Ticket

RANKS = {
    "highest": (0, 0),
    "middle": (0, 1),
    "lowest": (0, 2),
    "second customer's highest": (1, 0),
    "second customer's middle": (1, 1),
    "second customer's lowest": (1, 2),
}
ANSWER_TOKENS = 50
TICK_S = 0.02
SERVICE = "narrative"


@attrs.define(kw_only=True)
class Request:
    """A simulated request over all its attempts."""

    rank: str
    answer_tokens: int
    hold_s: float
    target_s: float
    first_arrived_s: float
    deadline_s: float
    dispatched_s: float | None = None
    waited_s: float = 0.0
    queued_s: float = 0.0
    attempts: int = 0


class QueueSimulation:
    """Simulates schedule_arrivals, answers and one retry by each refused caller."""

    def __init__(
        self, *, upstreams: int, slots: int, policies: Policies = ALL_POLICIES
    ):
        self.now_s = 0.0
        self.peers = PeerCounts()
        self.scheduler = Scheduler(
            random=Random(7),
            peer_counts=lambda service: self.peers,
            policies=policies,
        )
        self.upstreams = [
            Upstream(
                upstream_id=f"u{n}",
                service=SERVICE,
                host="127.0.0.1",
                port=1 + n,
                data_centre="here",
                slots=slots,
            )
            for n in range(upstreams)
        ]
        self.scheduler.reconfigure(tuple(self.upstreams), 0.0)
        self.queue = self.scheduler.queue(SERVICE)
        self.requests: list[Request] = []
        self.refused: list[tuple[Request, Refuse]] = []
        self.most_running = 0
        self._events: list = []
        self._numbers = itertools.count()
        self._random = Random(11)

    def at(self, when_s: float, work) -> None:
        heapq.heappush(self._events, (when_s, next(self._numbers), work))

    def schedule_arrivals(self, row, seconds: float) -> None:
        """Schedule requests at random times, in groups of three."""
        per_s = float(row["requests"])
        at_s = self.now_s
        end_s = at_s + seconds
        while at_s < end_s:
            for _ in range(3):
                request = Request(
                    rank=row["rank"],
                    answer_tokens=int(row.get("answer tokens", ANSWER_TOKENS)),
                    hold_s=float(row["hold s"]),
                    target_s=float(row["target s"]),
                    first_arrived_s=at_s,
                    deadline_s=at_s + float(row["deadline s"]),
                )
                self.requests.append(request)
                self.at(at_s, lambda each=request: self.arrive(each))
            at_s += self._random.expovariate(per_s / 3)

    def arrive(self, request: Request) -> None:
        request.attempts += 1
        request.queued_s = self.now_s
        ticket = Ticket(
            request_id=f"{id(request)}.{request.attempts}",
            service=SERVICE,
            rank=RANKS[request.rank],
            prompt_tokens=1000,
            answer_tokens=request.answer_tokens,
            first_arrived_s=request.first_arrived_s,
            idle_since_s=self.now_s,
            deadline_s=request.deadline_s,
            target_s=request.target_s,
            patience_s=request.deadline_s - self.now_s,
            resubmitted=request.attempts > 1,
            on_decision=lambda decision: None,
        )
        ticket.on_decision = lambda decision: self.handle_decision(
            request, ticket, decision
        )
        self.queue.submit(ticket, self.now_s)

    def handle_decision(self, request: Request, ticket: Ticket, decision) -> None:
        request.waited_s = self.now_s - request.queued_s
        if isinstance(decision, Dispatch):
            request.dispatched_s = self.now_s
            upstream_id = decision.upstream.upstream_id
            state = self.queue.pool.state_of(upstream_id)
            self.most_running = max(self.most_running, len(state.own_requests))
            hold_s = self._random.expovariate(1 / request.hold_s)
            self.at(
                self.now_s + hold_s,
                lambda: self.queue.release(ticket, upstream_id, self.now_s),
            )
            return
        self.refused.append((request, decision))
        if request.attempts == 1:
            retry_at_s = self.now_s + decision.retry_after_s
            self.at(retry_at_s, lambda: self.arrive(request))

    def run(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        tick_s = self.now_s
        while tick_s < end_s:
            tick_s += TICK_S
            while self._events and self._events[0][0] <= tick_s:
                self.now_s, _, work = heapq.heappop(self._events)
                work()
            self.now_s = tick_s
            self.scheduler.tick(self.now_s)

    def submit_ticket(self, **changes) -> tuple[Ticket, list]:
        """Submit one request by itself; return it and its decisions."""
        decisions: list = []
        fields = dict(
            request_id=f"t{next(self._numbers)}",
            service=SERVICE,
            rank=RANKS["highest"],
            prompt_tokens=100,
            answer_tokens=ANSWER_TOKENS,
            first_arrived_s=self.now_s,
            idle_since_s=self.now_s,
            deadline_s=self.now_s + 5.0,
            target_s=0.8,
            patience_s=5.0,
            resubmitted=False,
            on_decision=decisions.append,
        )
        ticket = Ticket(**(fields | changes))
        self.queue.submit(ticket, self.now_s)
        return ticket, decisions
