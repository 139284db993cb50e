"""Moves a request from a silent upstream to another one.

A silent upstream may still be working. If it were given up before another one is sure
to take over, the caller's stream might break off although the upstream would have
continued. So a retry and a reserved slot elsewhere are acquired first.
"""

from collections import Counter
from collections.abc import Callable

import attrs
from result import Err, Ok

from lavenderspoke.clock import Clock
from lavenderspoke.direct.dialect import Dialect
from lavenderspoke.direct.dispatcher import (
    AcceptedRequest,
    AttemptOutcome,
    Dispatcher,
    RelocationResult,
)
from lavenderspoke.direct.exchange import CancelHandle
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.reserving import reserve_slot
from lavenderspoke.direct.tickets import Ticket


@attrs.frozen(kw_only=True)
class HeldSlot:
    """A slot at an upstream that a request holds.

    `reservation` is its id there if the upstream has confirmed it.
    """

    upstream: Upstream
    ticket: Ticket
    reservation_id: str | None = None


class Relocation:
    """Prepares one request's move from a silent upstream; used by one thread.

    `find_free_slot` returns a slot that is free as far as the entry knows, without
    waiting for one. `excluded` holds the ids of upstreams that reserved no slot;
    `results` counts the values of `RelocationResult`.
    """

    def __init__(
        self,
        *,
        accepted: AcceptedRequest,
        dispatcher: Dispatcher,
        dialect: Dialect,
        clock: Clock,
        find_free_slot: Callable[[], HeldSlot | None],
    ):
        self.results: Counter[str] = Counter()
        self.excluded: set[str] = set()
        self._accepted = accepted
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._clock = clock
        self._find_free_slot = find_free_slot
        self._slot: HeldSlot | None = None

    @property
    def is_prepared(self) -> bool:
        """Whether a retry and a slot elsewhere are held."""
        return self._slot is not None

    def is_possible(self) -> bool:
        """Return whether upstreams reserve slots for such a request."""
        return self._dialect.supports_reservation(self._accepted.head)

    def prepare(self, current: CancelHandle) -> bool:
        """Acquire a retry and a slot elsewhere, unless data arrives meanwhile."""
        result = self._find_and_reserve()
        if result is RelocationResult.FOUND and current.is_readable():
            self.release()
            result = RelocationResult.SPOKE
        self.results[result.value] += 1
        self._dispatcher.relocation_checked(result)
        return result is RelocationResult.FOUND

    def take_slot(self) -> HeldSlot | None:
        """Hand over the held slot, if any; its taker releases it from then on."""
        slot, self._slot = self._slot, None
        return slot

    def release(self) -> None:
        """Release the slot and return the retry, if they are held."""
        slot = self.take_slot()
        if slot is not None:
            self._dispatcher.release_slot(slot.ticket, slot.upstream)
            self._dispatcher.return_retry(self._accepted.service)

    def clear_excluded(self) -> None:
        """Allow all upstreams again, since the current one is no longer silent."""
        self.excluded.clear()

    def _find_and_reserve(self) -> RelocationResult:
        service = self._accepted.service
        if not self._dispatcher.take_retry(service):
            return RelocationResult.NO_RETRY
        slot = self._find_free_slot()
        self._slot = None if slot is None else self._reserve(slot)
        if self._slot is not None:
            return RelocationResult.FOUND
        self._dispatcher.return_retry(service)
        return (
            RelocationResult.NO_PLACE if slot is None else RelocationResult.NOT_RESERVED
        )

    def _reserve(self, slot: HeldSlot) -> HeldSlot | None:
        """Return the slot once its upstream has reserved it, or release it."""
        upstream, ticket = slot.upstream, slot.ticket
        sent_s = self._clock.monotonic_s()
        reserved = reserve_slot(
            request=self._dialect.reservation_request(
                head=self._accepted.head, upstream=upstream
            ),
            connection_pool=self._dispatcher.connection_pool(upstream),
            dialect=self._dialect,
            clock=self._clock,
            on_signals=lambda signals: self._dispatcher.response_received(
                upstream, signals, sent_s=sent_s
            ),
        )
        if isinstance(reserved, Ok) and self._dispatcher.takes_requests(upstream):
            return attrs.evolve(slot, reservation_id=reserved.ok_value)
        self.excluded.add(upstream.upstream_id)
        # An upstream that leaves may still reserve a slot, which lapses unused.
        outcome = (
            reserved.err_value.outcome
            if isinstance(reserved, Err)
            else AttemptOutcome.NOT_RUN
        )
        # An outcome other than this one proves something about the upstream.
        if outcome is AttemptOutcome.NOT_RUN:
            self._dispatcher.release_slot(ticket, upstream)
        else:
            self._dispatcher.attempt_ended(ticket, upstream, self._accepted, outcome)
        return None
