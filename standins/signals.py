"""What a stand-in upstream says about itself, and which requests it got."""

import threading
import time

import attrs


@attrs.frozen(kw_only=True)
class SignalFaults:
    """What a test may have an upstream say about itself.

    `limit` is the value of the header that limits requests, left out if empty.
    `leaving` says in each response that the upstream leaves. With `retry_after` it
    refuses all requests with that header.
    """

    limit: str = ""
    leaving: bool = False
    retry_after: str = ""

    def signals(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that tell about the upstream itself."""
        headers = [("Server-Limit", self.limit)] if self.limit else []
        headers += [("Server-Leaving", "1")] if self.leaving else []
        pause = [("Retry-After", self.retry_after)] if self.retry_after else []
        return (*headers, *pause)


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that arrived at a time of the steady clock, also one that did not run.

    `attempt_id` is empty for a reservation. `signals` are the headers with which the
    upstream tells about itself in its response.
    """

    at_s: float
    attempt_id: str
    signals: dict[str, str]


class Arrivals:
    """The requests that arrived, in their order."""

    def __init__(self):
        self._lock = threading.Lock()
        self._arrivals: list[Arrival] = []

    def record(self, attempt_id: str, faults: SignalFaults) -> None:
        """Record a request that arrives now."""
        arrival = Arrival(
            at_s=time.monotonic(),
            attempt_id=attempt_id,
            signals=dict(faults.signals()),
        )
        with self._lock:
            self._arrivals.append(arrival)

    def report(self) -> list[dict]:
        """Return all as plain data."""
        with self._lock:
            return [attrs.asdict(each) for each in self._arrivals]
