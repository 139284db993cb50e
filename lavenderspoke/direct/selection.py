"""The choice of an upstream for a request, among those that take one now."""

import math
from random import Random

import attrs

from lavenderspoke.direct.connectionpreference import ConnectionPreference
from lavenderspoke.direct.decoderate import DecodeRate
from lavenderspoke.direct.prefillrate import PrefillRate
from lavenderspoke.direct.spillover import Preference, Spill
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
    answer within `remaining_s`. Upstreams in `excluded` are not chosen, nor those of
    another software version than `version`, if there is one. A `retryable`
    request may be the trial request of an ejected upstream. `target_s` is the target
    for the first byte, counted from the request's first arrival.
    """

    prompt_tokens: int
    answer_tokens: int
    first_byte_within_s: float
    remaining_s: float
    excluded: set[str] = attrs.field(factory=set)
    version: str | None = None
    retryable: bool = False
    target_s: float = math.inf


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
    sent; otherwise no upstream has a free slot. `spill` tells whether the request
    leaves the entry's data centre, if there are several.
    """

    upstream_state: UpstreamState | None
    only_this_waits: bool = False
    spill: Spill | None = None


# Not frozen: one is made for each upstream at each choice, and that takes longer.
@attrs.define(kw_only=True, eq=False)
class _Candidate:
    """An upstream with the expected times of a request there.

    `first_byte_s` is the time to the first byte, `answer_s` the time from there to the
    last one.
    """

    state: UpstreamState
    first_byte_s: float
    answer_s: float

    @property
    def data_centre(self) -> str:
        return self.state.upstream.data_centre

    @property
    def total_s(self) -> float:
        return self.first_byte_s + self.answer_s

    @property
    def usual_first_byte_s(self) -> float:
        return self.first_byte_s / self.state.slowdown


class UpstreamSelector:
    """Selects the upstream with a free slot that should answer soonest."""

    def __init__(
        self,
        *,
        random: Random,
        connection_preference: ConnectionPreference | None = None,
    ):
        self._random = random
        self._connection_preference = connection_preference
        self.prefill_rate = PrefillRate()
        self.decode_rate = DecodeRate()

    def select(
        self,
        available: list[UpstreamState],
        requirements: Requirements,
        unseen_requests: float,
        preference: Preference | None = None,
    ) -> Selection:
        """Return the upstream to send a request to, if it should be sent now.

        Where the first byte would be late at every upstream with a free slot, but on
        time at one without, the request waits. `preference` only ranks the upstreams
        that remain: a request takes a free slot in any data centre rather than wait.
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
            return self._selected(
                on_time, free, requirements, unseen_requests, preference
            )
        full = (
            self._estimate(state, requirements)
            for state in available
            if state.free_slots() <= 0
        )
        if any(each.first_byte_s <= requirements.first_byte_within_s for each in full):
            return Selection(upstream_state=None, only_this_waits=True)
        return self._selected(free, free, requirements, unseen_requests, preference)

    def _selected(
        self,
        candidates: list[_Candidate],
        free: list[_Candidate],
        requirements: Requirements,
        unseen_requests: float,
        preference: Preference | None,
    ) -> Selection:
        """Return the best of the candidates, which are some of the `free` ones."""
        if preference is None:
            return Selection(
                upstream_state=self._best_state(
                    candidates, requirements, unseen_requests
                )
            )
        has_home_slot = any(each.data_centre == preference.home for each in free)
        is_urgent = has_home_slot and not any(
            each.data_centre == preference.home for each in candidates
        )
        # If only others can be on time, the soonest of them should get the request.
        state = self._best_state(
            candidates,
            requirements,
            unseen_requests,
            None if is_urgent else preference,
        )
        if state.upstream.data_centre == preference.home:
            spill = Spill.HOME
        else:
            spill = Spill.AWAY if has_home_slot else Spill.NO_ROOM
        return Selection(upstream_state=state, spill=spill)

    def _best_state(
        self,
        candidates: list[_Candidate],
        requirements: Requirements,
        unseen_requests: float,
        preference: Preference | None = None,
    ) -> UpstreamState:
        # If slow upstreams were sampled too, some would get long answers that are cut
        # off at their deadlines.
        in_deadline = [
            each for each in candidates if each.total_s <= requirements.remaining_s
        ]
        candidates = in_deadline or candidates
        if preference is None:
            sampled = self._sample(candidates, unseen_requests)
        else:
            sampled = self._sample_each(candidates, unseen_requests, preference)

        def away_s(candidate: _Candidate) -> float:
            return preference.cost_s(candidate.data_centre) if preference else 0.0

        costs = [
            (
                _cost_s(each, requirements)
                * self._random.uniform(1.0, 1.0 + COST_JITTER)
                + away_s(each),
                index,
            )
            for index, each in enumerate(sampled)
        ]
        best = sampled[min(costs)[1]]
        if self._connection_preference is not None:
            best = self._connection_preference.refine(
                best,
                candidates,
                lambda each: _cost_s(each, requirements) + away_s(each),
                len(sampled),
            )
        return best.state

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

    def _sample_each(
        self,
        candidates: list[_Candidate],
        unseen_requests: float,
        preference: Preference,
    ) -> list[_Candidate]:
        """Return a sample of the preferred data centre and one of the others.

        A sample of all that is small would seldom hold one of the preferred.
        """
        wanted = preference.preferred
        preferred = [e for e in candidates if e.state.upstream.data_centre == wanted]
        others = [e for e in candidates if e.state.upstream.data_centre != wanted]
        return [
            *self._sample(preferred, unseen_requests),
            *self._sample(others, unseen_requests),
        ]

    def _estimate(self, state: UpstreamState, requirements: Requirements) -> _Candidate:
        estimate = estimate_latency(state, requirements.prompt_tokens)
        steps = requirements.answer_tokens / self.decode_rate.tokens_per_step
        return _Candidate(
            state=state,
            first_byte_s=estimate.first_byte_s(self.prefill_rate.tokens_per_step)
            * state.slowdown,
            answer_s=estimate.step_s * steps * state.slowdown,
        )


def _cost_s(candidate: _Candidate, requirements: Requirements) -> float:
    """Return the expected time to the first byte, with weighted extra costs."""
    cost_s = candidate.first_byte_s + candidate.answer_s * ANSWER_TIME_WEIGHT
    if candidate.total_s > requirements.remaining_s:
        cost_s += DEADLINE_PENALTY_S
    return cost_s + candidate.state.health.failure_share * FAILURE_PENALTY_S
