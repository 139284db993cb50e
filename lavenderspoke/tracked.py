"""The requests that an entry has admitted and not yet answered."""

import enum

import attrs

from lavenderspoke.gateway import Arrival
from lavenderspoke.model import Call, InstanceId
from lavenderspoke.reassembly import ReassemblyBuffer
from lavenderspoke.resend import ClaimRound


class Phase(enum.Enum):
    """The state of a request in its entry."""

    CLAIMING = "claiming"  # its key is being claimed; it is not granted
    WAITING = "waiting"  # in the queue
    GRANTED = "granted"  # sent to an agent that hasn't confirmed it yet
    RUNNING = "running"  # an agent has confirmed the dispatch
    RESUMING = "resuming"  # its agent died; the successor asks the upstream


@attrs.define(kw_only=True)
class TrackedRequest:
    """One request and its state in the entry.

    `run_id` is the id of the run whose answer it gets: its own, or that of an
    earlier attempt. `first_stamp` is the roster offset on arrival; a higher `stamp`
    comes from a round of claims. `is_contested` is set once an agent reports that
    another attempt holds its key. Times are on the entry's monotonic clock.
    """

    arrival: Arrival
    arrived_s: float
    deadline_s: float
    first_stamp: int
    stamp: int
    phase: Phase = Phase.WAITING
    claimed: bool = False
    is_contested: bool = False
    claim_round: ClaimRound | None = None
    claim_rounds: int = 0
    requeue_at_s: float | None = None
    agent: InstanceId | None = None
    nonce: str = ""
    run_id: str = ""
    granted_s: float = 0.0
    last_heard_s: float = 0.0
    last_asked_s: float = 0.0
    head_sent: bool = False
    reassembly: ReassemblyBuffer = attrs.field(factory=ReassemblyBuffer)

    @property
    def call(self) -> Call:
        """The request itself."""
        return self.arrival.call

    @property
    def request_id(self) -> str:
        """The id of this attempt."""
        return self.arrival.call.request_id

    @property
    def is_with_agent(self) -> bool:
        """Whether an agent has it or may have it."""
        return self.phase in (Phase.GRANTED, Phase.RUNNING, Phase.RESUMING)


@attrs.define(kw_only=True)
class TrackedRequests:
    """Every tracked request, indexed by its id and by the run it follows."""

    _by_id: dict[str, TrackedRequest] = attrs.field(factory=dict)
    _by_run: dict[str, set[str]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self):
        return iter(list(self._by_id.values()))

    def add(self, tracked: TrackedRequest) -> None:
        """Track a request."""
        self._by_id[tracked.request_id] = tracked

    def get(self, request_id: str) -> TrackedRequest | None:
        """Return the request of that id."""
        return self._by_id.get(request_id)

    def remove(self, request_id: str) -> TrackedRequest | None:
        """Stop tracking a request; return it, or None if it is not tracked."""
        tracked = self._by_id.pop(request_id, None)
        if tracked is not None:
            self._unfollow(tracked)
        return tracked

    def grant(
        self, tracked: TrackedRequest, agent: InstanceId, nonce: str, now_s: float
    ) -> None:
        """Record that a request was granted to an agent."""
        tracked.phase = Phase.GRANTED
        tracked.nonce = nonce
        tracked.granted_s = now_s
        self._follow(tracked, agent, tracked.request_id, now_s)

    def attach(
        self, tracked: TrackedRequest, agent: InstanceId, run_id: str, now_s: float
    ) -> None:
        """Record that a request follows the run of an earlier attempt."""
        tracked.phase = Phase.RUNNING
        tracked.nonce = ""
        self._follow(tracked, agent, run_id, now_s)

    def release(self, tracked: TrackedRequest) -> None:
        """Take back a request that provably did not run; it waits again."""
        tracked.phase = Phase.WAITING
        tracked.agent = None
        tracked.nonce = ""
        self._unfollow(tracked)

    def followers(self, run_id: str, agent: InstanceId) -> list[TrackedRequest]:
        """Return the requests that follow a run at an agent."""
        followers = [self._by_id[each] for each in self._by_run.get(run_id, ())]
        return [tracked for tracked in followers if tracked.agent == agent]

    def _follow(
        self, tracked: TrackedRequest, agent: InstanceId, run_id: str, now_s: float
    ) -> None:
        self._unfollow(tracked)
        tracked.agent = agent
        tracked.run_id = run_id
        tracked.last_heard_s = now_s
        tracked.last_asked_s = now_s
        tracked.reassembly = ReassemblyBuffer()
        self._by_run.setdefault(run_id, set()).add(tracked.request_id)

    def _unfollow(self, tracked: TrackedRequest) -> None:
        followers = self._by_run.get(tracked.run_id, set())
        followers.discard(tracked.request_id)
        if not followers:
            self._by_run.pop(tracked.run_id, None)
        tracked.run_id = ""
