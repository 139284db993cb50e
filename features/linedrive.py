"""A line of the direct scheduler with callers and upstreams, on a clock of its own."""

import heapq
import itertools
from random import Random

import attrs

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.scheduler import PeerCounts, Scheduler
from lavenderspoke.direct.tickets import Dispatch, Refuse, Ticket

RANKS = {
    "highest": (0, 0),
    "middle": (0, 1),
    "lowest": (0, 2),
    "highest of others": (1, 0),
    "middle of others": (1, 1),
    "lowest of others": (1, 2),
}
ANSWER_TOKENS = 50
TICK_S = 0.02
SERVICE = "narrative"


@attrs.define(kw_only=True)
class Request:
    """A request of the drive, over all its tries."""

    rank: str
    answer_tokens: int
    hold_s: float
    target_s: float
    first_s: float
    deadline_s: float
    began_s: float | None = None
    held_in_line_s: float = 0.0
    waiting_since_s: float = 0.0
    tries: int = 0


class Drive:
    """Plays arrivals, answers and one return of each refused caller."""

    def __init__(self, *, upstreams: int, places: int):
        self.now_s = 0.0
        self.peers = PeerCounts()
        self.scheduler = Scheduler(
            random=Random(7), peer_counts=lambda service: self.peers
        )
        self.upstreams = [
            Upstream(
                upstream_id=f"u{n}",
                service=SERVICE,
                host="127.0.0.1",
                port=1 + n,
                data_centre="here",
                slots=places,
            )
            for n in range(upstreams)
        ]
        self.scheduler.reconfigure(tuple(self.upstreams), 0.0)
        self.line = self.scheduler.queue(SERVICE)
        self.requests: list[Request] = []
        self.refused: list[tuple[Request, Refuse]] = []
        self.most_at_one = 0
        self._events: list = []
        self._numbers = itertools.count()
        self._random = Random(11)

    def at(self, when_s: float, work) -> None:
        heapq.heappush(self._events, (when_s, next(self._numbers), work))

    def arrivals(self, row, seconds: float) -> None:
        """Plan requests at random moments, in clumps of three."""
        per_s = float(row["requests"])
        at_s = 0.0
        while at_s < seconds:
            for _ in range(3):
                request = Request(
                    rank=row["rank"],
                    answer_tokens=int(row.get("answer tokens", ANSWER_TOKENS)),
                    hold_s=float(row["hold s"]),
                    target_s=float(row["target s"]),
                    first_s=at_s,
                    deadline_s=at_s + float(row["deadline s"]),
                )
                self.requests.append(request)
                self.at(at_s, lambda each=request: self.come(each))
            at_s += self._random.expovariate(per_s / 3)

    def come(self, request: Request) -> None:
        request.tries += 1
        request.waiting_since_s = self.now_s
        ticket = Ticket(
            request_id=f"{id(request)}.{request.tries}",
            service=SERVICE,
            rank=RANKS[request.rank],
            prompt_tokens=1000,
            answer_tokens=request.answer_tokens,
            first_arrived_s=request.first_s,
            idle_since_s=self.now_s,
            deadline_s=request.deadline_s,
            target_s=request.target_s,
            patience_s=request.deadline_s - self.now_s,
            resubmitted=request.tries > 1,
            on_decision=lambda decision: None,
        )
        ticket.on_decision = lambda decision: self.decided(request, ticket, decision)
        self.line.submit(ticket, self.now_s)

    def decided(self, request: Request, ticket: Ticket, decision) -> None:
        request.held_in_line_s = self.now_s - request.waiting_since_s
        if isinstance(decision, Dispatch):
            request.began_s = self.now_s
            upstream_id = decision.upstream.upstream_id
            seat = self.line.pool.state_of(upstream_id)
            self.most_at_one = max(self.most_at_one, len(seat.own_requests))
            hold_s = self._random.expovariate(1 / request.hold_s)
            self.at(
                self.now_s + hold_s,
                lambda: self.line.release(ticket, upstream_id, self.now_s),
            )
            return
        self.refused.append((request, decision))
        if request.tries == 1:
            back_s = self.now_s + decision.retry_after_s
            self.at(back_s, lambda: self.come(request))

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

    def ticket(self, **changes) -> tuple[Ticket, list]:
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
        self.line.submit(ticket, self.now_s)
        return ticket, decisions
