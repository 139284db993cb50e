"""One upstream as an entry sees it, and the latency expected of it."""

import attrs

from lavenderspoke.direct.health import Health
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.rollouts.orders import Access

# Duration of an engine step, the time between two events of a stream, before one was
# measured.
STEP_DEFAULT_S = 0.02
# Steps by which each concurrent request, the new one included, delays the first byte:
# its tokens take part in every step.
STEPS_PER_CONCURRENT_REQUEST = 1.0


@attrs.frozen(kw_only=True)
class Load:
    """In-flight requests of one or more entries at an upstream.

    `prefill_tokens` are the prompt tokens of requests without a first event so far.
    """

    requests: int = 0
    prefill_tokens: int = 0


NO_LOAD = Load()


@attrs.define(kw_only=True, eq=False)
class UpstreamState:
    """One upstream with the requests in flight there.

    `own_requests` maps this entry's request IDs to their unread prompt tokens;
    `peer_load` is the other entries' load. `access` tells which requests it may get.
    `slowdown` is how many times slower than usual it is at the moment.
    """

    upstream: Upstream
    access: Access = Access.OPEN
    health: Health = attrs.field(factory=Health)
    own_requests: dict[str, int] = attrs.field(factory=dict)
    peer_load: Load = NO_LOAD
    evicted_until_s: float | None = None
    slowdown: float = 1.0

    def free_slots(self) -> int:
        """Return the free slots; negative when entries have sent too many."""
        return self.upstream.slots - self.in_flight()

    def prefill_tokens(self) -> int:
        """Return the unread prompt tokens of all entries' requests."""
        return self.peer_load.prefill_tokens + sum(self.own_requests.values())

    def in_flight(self) -> int:
        """Return the requests in flight of all entries."""
        return len(self.own_requests) + self.peer_load.requests

    def step_s(self) -> float:
        """Return the measured step duration, or the default one."""
        return self.health.step_s or STEP_DEFAULT_S

    def own_load(self) -> Load:
        """Return the load of this entry's own requests."""
        return Load(
            requests=len(self.own_requests),
            prefill_tokens=sum(self.own_requests.values()),
        )


@attrs.frozen(kw_only=True)
class LatencyEstimate:
    """The load of an upstream from which a request's latency is estimated.

    `prefill_tokens` and `concurrent_requests` include the request itself.
    """

    prefill_tokens: int
    concurrent_requests: int
    step_s: float

    def first_byte_steps(self, tokens_per_step: float) -> float:
        """Return the expected number of steps until the first byte."""
        steps = self.prefill_tokens / tokens_per_step
        return steps + self.concurrent_requests * STEPS_PER_CONCURRENT_REQUEST

    def first_byte_s(self, tokens_per_step: float) -> float:
        """Return the expected time to the first byte."""
        return self.step_s * self.first_byte_steps(tokens_per_step)

    def prefill_steps(self, first_byte_s: float) -> float:
        """Return the steps spent on prefill when the first byte took `first_byte_s`."""
        return (
            first_byte_s / self.step_s
            - self.concurrent_requests * STEPS_PER_CONCURRENT_REQUEST
        )


def estimate_latency(state: UpstreamState, prompt_tokens: int) -> LatencyEstimate:
    """Return the estimate for a request with such a prompt."""
    return LatencyEstimate(
        prefill_tokens=state.prefill_tokens() + prompt_tokens,
        concurrent_requests=state.in_flight() + 1,
        step_s=state.step_s(),
    )
