"""The choice of an upstream for a request, among those that take one now."""

import math
from random import Random

import attrs

from lavenderspoke.direct.decoderate import DecodeRate
from lavenderspoke.direct.prefillrate import PrefillRate
from lavenderspoke.direct.upstreamstate import UpstreamState, estimate_latency

# Share of the time after the first byte that is added to the cost: a long answer holds
# its slot for long at a slow upstream.
ANSWER_TIME_WEIGHT = 0.1
# Cost of an answer that is not expected to be complete by the deadline.
DEADLINE_PENALTY_S = 1.0
# Costs are raised at random by up to this share: entries that all see the same best
# upstream would otherwise send to it at the same instant.
COST_JITTER = 0.3
# The fewest upstreams to compare for a request.
SAMPLE_MIN = 2
# Cost of a failure that is certain: about one wasted attempt.
FAILURE_PENALTY_S = 0.6


@attrs.frozen(kw_only=True)
class Requirements:
    """What a request needs of an upstream.

    From now on, the first byte should come within `first_byte_within_s` and the whole
    answer within `remaining_s`. Upstreams in `excluded` are not chosen. A `retryable`
    request may be the trial request of an ejected upstream.
    """

    prompt_tokens: int
    answer_tokens: int
    first_byte_within_s: float
    remaining_s: float
    excluded: set[str] = attrs.field(factory=set)
    retryable: bool = False


@attrs.frozen(kw_only=True)
class Contention:
    """What the other entries may send to the same upstreams meanwhile.

    `unseen_requests` estimates what they have sent and not reported yet; `waiting` are
    the requests that wait there.
    """

    unseen_requests: float = 0.0
    waiting: int = 0


NO_CONTENTION = Contention()


@attrs.frozen(kw_only=True)
class Selection:
    """The upstream chosen for a request, if any.

    Without one, `only_this_waits` tells that requests behind this one may still be
    sent; otherwise no upstream has a free slot.
    """

    upstream_state: UpstreamState | None
    only_this_waits: bool = False


@attrs.frozen(kw_only=True)
class _Candidate:
    """An upstream with the expected times of a request there.

    `first_byte_s` is the time to the first byte, `answer_s` the time from there to the
    last one.
    """

    state: UpstreamState
    first_byte_s: float
    answer_s: float

    @property
    def total_s(self) -> float:
        return self.first_byte_s + self.answer_s

    @property
    def usual_first_byte_s(self) -> float:
        return self.first_byte_s / self.state.slowdown


class UpstreamSelector:
    """Selects the upstream with a free slot that should answer soonest."""

    def __init__(self, *, random: Random):
        self._random = random
        self.prefill_rate = PrefillRate()
        self.decode_rate = DecodeRate()

    def select(
        self,
        available: list[UpstreamState],
        requirements: Requirements,
        unseen_requests: float,
    ) -> Selection:
        """Return the upstream to send a request to, if it should be sent now.

        Where the first byte would be late at every upstream with a free slot, but on
        time at one without, the request waits.
        """
        free = [
            self._estimate(state, requirements)
            for state in available
            if state.free_slots() > 0
        ]
        if not free:
            return Selection(
                upstream_state=None, only_this_waits=bool(requirements.excluded)
            )
        within_s = requirements.first_byte_within_s
        # A slowdown is over soon: it is no reason to wait for a slot elsewhere.
        on_time = [each for each in free if each.first_byte_s <= within_s] or [
            each for each in free if each.usual_first_byte_s <= within_s
        ]
        if on_time:
            return Selection(
                upstream_state=self._best_state(on_time, requirements, unseen_requests)
            )
        full = (
            self._estimate(state, requirements)
            for state in available
            if state.free_slots() <= 0
        )
        if any(each.first_byte_s <= requirements.first_byte_within_s for each in full):
            return Selection(upstream_state=None, only_this_waits=True)
        return Selection(
            upstream_state=self._best_state(free, requirements, unseen_requests)
        )

    def _best_state(
        self,
        candidates: list[_Candidate],
        requirements: Requirements,
        unseen_requests: float,
    ) -> UpstreamState:
        # If slow upstreams were sampled too, some would get long answers that are cut
        # off at their deadlines.
        in_deadline = [
            each for each in candidates if each.total_s <= requirements.remaining_s
        ]
        sampled = self._sample(in_deadline or candidates, unseen_requests)
        costs = [
            (
                _cost_s(each, requirements)
                * self._random.uniform(1.0, 1.0 + COST_JITTER),
                index,
            )
            for index, each in enumerate(sampled)
        ]
        return sampled[min(costs)[1]].state

    def _sample(
        self, candidates: list[_Candidate], unseen_requests: float
    ) -> list[_Candidate]:
        """Return all candidates or one in `unseen_requests`, at least `SAMPLE_MIN`.

        If each entry took the upstream that looks best, all would send to the same one.
        So each takes the best of a random sample, which is smaller the more requests
        of other entries are unseen.
        """
        sample_size = max(
            SAMPLE_MIN, math.ceil(len(candidates) / max(1.0, unseen_requests))
        )
        if sample_size >= len(candidates):
            return candidates
        return self._random.sample(candidates, sample_size)

    def _estimate(self, state: UpstreamState, requirements: Requirements) -> _Candidate:
        estimate = estimate_latency(state, requirements.prompt_tokens)
        steps = requirements.answer_tokens / self.decode_rate.tokens_per_step
        return _Candidate(
            state=state,
            first_byte_s=estimate.first_byte_s(self.prefill_rate.tokens_per_step)
            * state.slowdown,
            answer_s=state.step_s() * steps * state.slowdown,
        )


def _cost_s(candidate: _Candidate, requirements: Requirements) -> float:
    """Return the expected time to the first byte, with weighted extra costs."""
    cost_s = candidate.first_byte_s + candidate.answer_s * ANSWER_TIME_WEIGHT
    if candidate.total_s > requirements.remaining_s:
        cost_s += DEADLINE_PENALTY_S
    return cost_s + candidate.state.health.failure_share * FAILURE_PENALTY_S
