"""The upstreams of one service as an entry sees them, and the choice between them."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from random import Random

import attrs

from lavenderspoke.direct.backpressure import Backpressure
from lavenderspoke.direct.connectionpreference import (
    ConnectionPreference,
    ConnectionView,
)
from lavenderspoke.direct.health import Health
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.outliers import is_outlier, may_eject
from lavenderspoke.direct.policies import ALL_POLICIES, Policies
from lavenderspoke.direct.selection import (
    NO_CONTENTION,
    Contention,
    Requirements,
    Selection,
    UpstreamSelector,
)
from lavenderspoke.direct.spillover import Preference, Spillover
from lavenderspoke.direct.upstreamstate import NO_LOAD, Load, UpstreamState
from lavenderspoke.rollouts.orders import Access
from lavenderspoke.rollouts.versionload import VersionLoad

# Share of the canary requests that go to the most loaded upstream with a free slot.
CANARY_MOST_LOADED_SHARE = 0.5
# How long nothing is sent to an upstream whose address another one has taken over:
# longer than its record stays listed, which is three heartbeats of 1.2 s. If it is
# alive after all, it gets requests again after that.
EVICTION_S = 5.0


class Pool:
    """The upstreams of one service.

    `access(upstream)` tells which requests an upstream may get, and `backpressure` what
    the upstreams said they can take. The entry that chooses is in `data_centre`, and
    its connections are in `connection_view`.

    `spillover`, if any, tells which data centre its requests should go to, unless
    `is_short`: then requests wait, and any data centre will do.
    """

    def __init__(
        self,
        *,
        random: Random,
        backpressure: Backpressure,
        access: Callable[[Upstream], Access] = lambda upstream: Access.OPEN,
        policies: Policies = ALL_POLICIES,
        data_centre: str = "",
        connection_view: ConnectionView | None = None,
        spillover: Spillover | None = None,
    ):
        self._random = random
        self._backpressure = backpressure
        self._access = access
        self._policies = policies
        self._data_centre = data_centre
        self.spillover = spillover
        self.is_short = False
        self._slots_by_data_centre: dict[str, int] | None = None
        self._states: dict[str, UpstreamState] = {}
        self._connection_preference = (
            ConnectionPreference(view=connection_view, random=random)
            if connection_view is not None and policies.upstream_subsets
            else None
        )
        self._selector = UpstreamSelector(
            random=random, connection_preference=self._connection_preference
        )
        # Upstreams that are slow at the moment, and how many times slower than usual.
        self.slowdowns: Mapping[str, float] = {}
        self.prefill_rate = self._selector.prefill_rate
        self.decode_rate = self._selector.decode_rate

    def reconfigure(self, upstreams: Iterable[Upstream]) -> None:
        """Apply the platform's list of upstreams.

        An upstream that is no longer listed gets no new requests, and is kept while
        requests of this entry are in flight there.
        """
        listed = {each.upstream_id: each for each in upstreams}
        for upstream_id, upstream in listed.items():
            state = self._states.get(upstream_id)
            if state is None:
                self._states[upstream_id] = UpstreamState(upstream=upstream)
            else:
                state.upstream = upstream
        for upstream_id in [each for each in self._states if each not in listed]:
            state = self._states[upstream_id]
            state.upstream = attrs.evolve(state.upstream, leaving=True)
            if not state.own_requests:
                del self._states[upstream_id]
        self.refresh_access()

    def refresh_access(self) -> None:
        """Update which requests each upstream may get."""
        for state in self._states.values():
            state.access = self._access(state.upstream)
        self._slots_by_data_centre = None

    def state_of(self, upstream_id: str) -> UpstreamState | None:
        """Return an upstream's state, also of one that is leaving, or None."""
        return self._states.get(upstream_id)

    def update_peer_loads(self, loads: Mapping[str, Load]) -> None:
        """Replace the other entries' loads, given by upstream."""
        for upstream_id, state in self._states.items():
            state.peer_load = loads.get(upstream_id, NO_LOAD)

    def update_subset(self, waiting: int, now_s: float) -> None:
        """Update which upstreams are preferred; `waiting` requests wait here."""
        if self._connection_preference is None:
            return
        running = sum(len(each.own_requests) for each in self._states.values())
        self._connection_preference.update(
            (each.upstream for each in self._open_states()), running + waiting, now_s
        )

    def update_slowdowns(self, slowdowns: Mapping[str, float]) -> None:
        """Replace how much slower upstreams are at the moment.

        Where most are slow there is none to go to instead, so that none counts.
        """
        slow = {key: each for key, each in slowdowns.items() if key in self._states}
        if len(slow) * 2 > len(self._states):
            slow = {}
        for upstream_id in self.slowdowns:
            state = self._states.get(upstream_id)
            if state is not None:
                state.slowdown = 1.0
        for upstream_id, slowdown in slow.items():
            self._states[upstream_id].slowdown = slowdown
        self.slowdowns = slow

    def evict(self, upstream_id: str, now_s: float) -> None:
        """Stop sending to an upstream that has restarted under another ID.

        Its old record lasts for seconds. Since nothing runs under the old ID, it would
        attract requests from all entries; each would be rejected and use up a retry
        that others need.
        """
        state = self._states.get(upstream_id)
        if state is not None:
            state.evicted_until_s = now_s + EVICTION_S

    def eject_if_outlier(self, state: UpstreamState, now_s: float) -> bool:
        """Eject an upstream that fails more than the others; return whether it was."""
        others = self._other_healths(state)
        if now_s < state.health.suspended_until_s or not is_outlier(
            state.health, others
        ):
            return False
        return self._eject(state, others, now_s)

    def eject_on_reports(self, upstream_id: str, now_s: float) -> bool:
        """Eject an upstream that other entries report as failing.

        Returns False, and does nothing, if it is ejected already, works well for this
        entry, or too many are ejected.
        """
        state = self._states.get(upstream_id)
        if state is None or state.health.is_ejected or state.health.is_healthy():
            return False
        return self._eject(state, self._other_healths(state), now_s)

    def _eject(self, state: UpstreamState, others: list[Health], now_s: float) -> bool:
        if not state.health.is_ejected and not may_eject(others):
            return False
        state.health.eject(now_s)
        return True

    def _other_healths(self, state: UpstreamState) -> list[Health]:
        return [each.health for each in self._open_states() if each is not state]

    def expire_evictions(self, now_s: float) -> None:
        """End the evictions that have expired."""
        for state in self._states.values():
            if state.evicted_until_s is not None and now_s >= state.evicted_until_s:
                state.evicted_until_s = None

    def slots(self) -> int:
        """Return the slots of the upstreams open to all requests, even if ejected."""
        return sum(s.upstream.slots for s in self._open_states())

    def slots_by_data_centre(self) -> dict[str, int]:
        """Return these slots by data centre, as of the last list or roll-out step."""
        if self._slots_by_data_centre is None:
            slots: Counter[str] = Counter()
            for state in self._open_states():
                slots[state.upstream.data_centre] += state.upstream.slots
            self._slots_by_data_centre = dict(slots)
        return self._slots_by_data_centre

    def free_slots(self, now_s: float) -> int:
        """Return the free slots of the usable upstreams, except ejected ones."""
        in_service = (
            s
            for s in self._open_states()
            if s.health.usable(len(s.own_requests), now_s) and not s.health.is_ejected
        )
        if self._backpressure.is_empty:
            return sum(max(0, s.free_slots()) for s in in_service)
        return sum(self._usable_slots(s, now_s) for s in in_service)

    def _usable_slots(self, state: UpstreamState, now_s: float) -> int:
        """Return the free slots for which the upstream takes a request now."""
        free = self._backpressure.free_requests(state.upstream.upstream_id, now_s)
        return max(0, math.floor(min(state.free_slots(), free)))

    def effective_slots(self, hold_s: float, now_s: float) -> float:
        """Return the slots that can be kept busy with requests that last `hold_s`.

        An upstream that limits its requests can't be given enough of them to fill its
        slots, and one that asked for a pause gets none.
        """
        if self._backpressure.is_empty:
            return self.slots()
        return sum(
            min(
                state.upstream.slots,
                self._backpressure.requests_per_s(state.upstream.upstream_id, now_s)
                * hold_s,
            )
            for state in self._open_states()
        )

    def blocked_s(self, now_s: float) -> float:
        """Return the time until any upstream takes a request again, 0 if one does now.

        Only what the upstreams said themselves counts here.
        """
        if self._backpressure.is_empty:
            return 0.0
        waits_s = (
            self._backpressure.wait_s(state.upstream.upstream_id, now_s)
            for state in self._open_states()
        )
        return min(waits_s, default=0.0)

    def held_back(self, now_s: float) -> dict[str, str]:
        """Return why upstreams take no request now by their own word, for logs."""
        if self._backpressure.is_empty:
            return {}
        return {
            upstream_id: reason
            for upstream_id in self._states
            if (reason := self._backpressure.reason(upstream_id, now_s))
        }

    def record_sent(self, state: UpstreamState, now_s: float) -> None:
        """Count a request to an upstream against what it said it takes."""
        self._backpressure.record_sent(state.upstream.upstream_id, now_s)

    def version_load(self) -> VersionLoad:
        """Return the slots and the requests in flight by version."""
        slots: Counter[str] = Counter()
        in_flight: Counter[str] = Counter()
        for state in self._states.values():
            version = state.upstream.version
            in_flight[version] += state.in_flight()
        for state in self._staying_states():
            slots[state.upstream.version] += state.upstream.slots
        return VersionLoad(slots=slots, in_flight=in_flight)

    def in_flight(self) -> int:
        """Return the requests in flight of all entries."""
        return sum(state.in_flight() for state in self._states.values())

    def peer_requests(self) -> int:
        """Return the requests in flight that the other entries report."""
        return sum(state.peer_load.requests for state in self._states.values())

    def own_loads(self) -> dict[str, Load]:
        """Return the load of this entry's own requests by upstream."""
        return {
            key: state.own_load()
            for key, state in self._states.items()
            if state.own_requests
        }

    def choose(
        self,
        requirements: Requirements,
        *,
        now_s: float,
        contention: Contention = NO_CONTENTION,
    ) -> Selection:
        """Choose an upstream with a free slot, if any.

        An ejected upstream that is due a trial request gets it first.
        """
        allowed = [
            state
            for state in self._states_for(requirements.version)
            if state.upstream.upstream_id not in requirements.excluded
        ]
        available = self._available(allowed, contention, now_s)
        trial_states = [
            state
            for state in available
            if state.health.allows_trial(retryable=requirements.retryable, now_s=now_s)
        ]
        if trial_states and trial_states[0].free_slots() > 0:
            return Selection(upstream_state=trial_states[0])
        in_service = [s for s in available if not s.health.is_ejected]
        return self._selector.select(
            in_service,
            requirements,
            contention.unseen_requests,
            self._preference(requirements),
        )

    def _preference(self, requirements: Requirements) -> Preference | None:
        """Return which data centre a request should go to, if there is a choice."""
        if self.spillover is None or not self.spillover.is_active:
            return None
        if self.is_short:
            return self.spillover.no_preference()
        return self.spillover.preference(
            target_s=min(requirements.target_s, requirements.first_byte_within_s),
            draw=self._random.random(),
        )

    def _available(
        self, states: list[UpstreamState], contention: Contention, now_s: float
    ) -> list[UpstreamState]:
        """Return those that are in good health and take a request now."""
        usable = [
            state
            for state in states
            if state.health.usable(len(state.own_requests), now_s)
        ]
        if self._backpressure.is_empty:
            return usable
        unseen_each = contention.unseen_requests / max(1, len(usable))
        competing = contention.waiting + unseen_each
        return [state for state in usable if self._may_claim(state, competing, now_s)]

    def _may_claim(self, state: UpstreamState, competing: float, now_s: float) -> bool:
        """Return whether an upstream takes a request of this entry now.

        Other entries see the same request of a shared limit free. If each took it, the
        limit would be exceeded by all but one of them, so each takes its share of them,
        at random.
        """
        free = self._backpressure.free_requests(state.upstream.upstream_id, now_s)
        if free == math.inf:
            return True
        return free >= 1.0 and self._random.random() < free / (1.0 + competing)

    def choose_canary(
        self,
        requirements: Requirements,
        *,
        now_s: float,
        contention: Contention = NO_CONTENTION,
    ) -> UpstreamState | None:
        """Return an upstream of a roll-out's target, or None if none can be used now.

        A share of the requests goes to the most loaded one: few requests, spread over
        all of them, would never show that a version fails under load.
        """
        available = self._available(self._states_with(Access.CANARY), contention, now_s)
        if self._random.random() < CANARY_MOST_LOADED_SHARE:
            available = sorted(
                (s for s in available if s.free_slots() > 0), key=_most_loaded_first
            )[:1]
        return self._selector.select(
            available, requirements, contention.unseen_requests
        ).upstream_state

    def has_version(self, version: str) -> bool:
        """Return whether a stream that began at a version may go on there."""
        return bool(self._states_for(version))

    def is_version_open(self, version: str) -> bool:
        """Return whether upstreams of a version get new requests."""
        return any(s.upstream.version == version for s in self._open_states())

    def _states_for(self, version: str | None) -> list[UpstreamState]:
        """Return the upstreams that a request may be sent to.

        A stream that goes on isn't bound by what a roll-out says of new requests.
        """
        if version is None:
            return self._open_states()
        staying = self._staying_states()
        return [state for state in staying if state.upstream.version == version]

    def _open_states(self) -> list[UpstreamState]:
        return self._states_with(Access.OPEN)

    def _states_with(self, access: Access) -> list[UpstreamState]:
        return [state for state in self._staying_states() if state.access is access]

    def _staying_states(self) -> list[UpstreamState]:
        """Return the upstreams that stay and are still those at their addresses.

        An upstream's own word that it leaves counts as much as its record, which may be
        older.
        """
        is_leaving = self._backpressure.is_leaving
        return [
            state
            for state in self._states.values()
            if state.evicted_until_s is None
            and not state.upstream.leaving
            and not is_leaving(state.upstream.upstream_id)
        ]


def _most_loaded_first(state: UpstreamState) -> tuple[int, str]:
    # Ties are broken by ID, so that all entries pick the same upstream.
    return -state.in_flight(), state.upstream.upstream_id
