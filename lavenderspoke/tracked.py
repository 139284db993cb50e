"""The requests that an entry has taken and not yet answered."""

import enum

import attrs

from lavenderspoke.assembly import Assembly
from lavenderspoke.gateway import Arrival
from lavenderspoke.model import Call, InstanceId
from lavenderspoke.resend import ResendRound


class Phase(enum.Enum):
    """Where a request stands in its entry."""

    CLAIMING = "claiming"  # its key is being claimed; nothing was granted
    WAITING = "waiting"  # in the queue
    GRANTED = "granted"  # an agent has it and hasn't said so yet
    RUNNING = "running"  # an agent has said that it was dispatched
    RESUMING = "resuming"  # its agent is gone; a new one asks the upstream


@attrs.define(kw_only=True)
class Tracked:
    """One request and all that the entry knows of it.

    `run_id` is the id under which its answer comes: its own, or that of the
    earlier attempt whose run it follows. Times are on the entry's clock.
    """

    arrival: Arrival
    arrived_s: float
    deadline_s: float
    stamp: int
    phase: Phase = Phase.WAITING
    claimed: bool = False
    round: ResendRound | None = None
    rounds: int = 0
    retry_round_s: float | None = None
    agent: InstanceId | None = None
    nonce: str = ""
    run_id: str = ""
    granted_s: float = 0.0
    heard_s: float = 0.0
    asked_s: float = 0.0
    head_given: bool = False
    assembly: Assembly = attrs.field(factory=Assembly)

    @property
    def call(self) -> Call:
        """The request itself."""
        return self.arrival.call

    @property
    def request_id(self) -> str:
        """The id of this attempt."""
        return self.arrival.call.request_id

    @property
    def is_out(self) -> bool:
        """Whether an agent has or may have it."""
        return self.phase in (Phase.GRANTED, Phase.RUNNING, Phase.RESUMING)

    def grant(self, agent: InstanceId, nonce: str, now_s: float) -> None:
        """Note that the right to dispatch it has gone to an agent."""
        self.phase = Phase.GRANTED
        self.nonce = nonce
        self._follow(agent, self.request_id, now_s)
        self.granted_s = now_s

    def attach(self, agent: InstanceId, run_id: str, now_s: float) -> None:
        """Follow the run of an earlier attempt."""
        self.phase = Phase.RUNNING
        self.nonce = ""
        self._follow(agent, run_id, now_s)

    def _follow(self, agent: InstanceId, run_id: str, now_s: float) -> None:
        self.agent = agent
        self.run_id = run_id
        self.heard_s = now_s
        self.asked_s = now_s
        self.assembly = Assembly()

    def let_go(self) -> None:
        """Note that it provably did not run and is the entry's again."""
        self.phase = Phase.WAITING
        self.agent = None
        self.nonce = ""
        self.run_id = ""


@attrs.define(kw_only=True)
class TrackedRequests:
    """Every tracked request, found by its id or by the run it follows."""

    _by_id: dict[str, Tracked] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self):
        return iter(list(self._by_id.values()))

    def add(self, tracked: Tracked) -> None:
        """Track a request."""
        self._by_id[tracked.request_id] = tracked

    def get(self, request_id: str) -> Tracked | None:
        """Return the request of that id."""
        return self._by_id.get(request_id)

    def remove(self, request_id: str) -> Tracked | None:
        """Forget a request that has its final answer."""
        return self._by_id.pop(request_id, None)

    def following(self, run_id: str, agent: InstanceId) -> list[Tracked]:
        """Return the requests whose answer is this run's, at this agent."""
        own = self._by_id.get(run_id)
        if own is not None and own.run_id == run_id and own.call.key is None:
            return [own] if own.agent == agent else []
        return [
            tracked
            for tracked in self._by_id.values()
            if tracked.run_id == run_id and tracked.agent == agent
        ]
