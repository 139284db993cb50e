"""Moving a request from an upstream that is silent to another one.

A silent upstream may be at work. Given up before it is certain that another one goes
on, its answer is lost: the caller sees a stream that breaks off, and the upstream would
have gone on. So a retry and a reserved place elsewhere come first.
"""

from collections import Counter
from collections.abc import Callable

import attrs
from result import Ok

from lavenderspoke.clock import Clock
from lavenderspoke.direct.dialect import Dialect
from lavenderspoke.direct.dispatcher import (
    AcceptedRequest,
    AttemptOutcome,
    Dispatcher,
    RelocationResult,
)
from lavenderspoke.direct.exchange import RequestHandle
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.reserving import reserve_slot
from lavenderspoke.direct.tickets import Ticket


@attrs.frozen(kw_only=True)
class HeldSlot:
    """A place at an upstream that a request holds.

    `reservation` names it there, where the upstream has confirmed it.
    """

    upstream: Upstream
    ticket: Ticket
    reservation: str | None = None


class Relocation:
    """What one request needs to leave a silent upstream; used by one thread.

    `find_free_slot` returns a slot that is free as far as the entry knows, without
    waiting for one. `declined` names upstreams that reserved nothing; `results` counts
    what was found.
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
        self.declined: set[str] = set()
        self._accepted = accepted
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._clock = clock
        self._find_free_slot = find_free_slot
        self._slot: HeldSlot | None = None

    @property
    def is_prepared(self) -> bool:
        """Whether a retry and a place elsewhere are held."""
        return self._slot is not None

    def is_possible(self) -> bool:
        """Return whether upstreams reserve places for such a request."""
        return self._dialect.supports_reservation(self._accepted.head)

    def prepare(self, current: RequestHandle) -> bool:
        """Take a retry and a place elsewhere, unless the upstream speaks meanwhile."""
        look = self._look()
        if look is RelocationResult.FOUND and current.has_unread_data():
            self.release()
            look = RelocationResult.SPOKE
        self.results[look.value] += 1
        self._dispatcher.relocation_checked(look)
        return look is RelocationResult.FOUND

    def take_slot(self) -> HeldSlot | None:
        """Return the place that is held, which is the caller's from now on."""
        place, self._slot = self._slot, None
        return place

    def release(self) -> None:
        """Give the place and the retry back, if they are held."""
        place = self.take_slot()
        if place is not None:
            self._dispatcher.release_slot(place.ticket, place.upstream)
            self._dispatcher.return_retry(self._accepted.service)

    def clear_declined(self) -> None:
        """Forget who declined: the upstream isn't silent any more."""
        self.declined.clear()

    def _look(self) -> RelocationResult:
        service = self._accepted.service
        if not self._dispatcher.take_retry(service):
            return RelocationResult.NO_RETRY
        place = self._find_free_slot()
        self._slot = None if place is None else self._reserved(place)
        if self._slot is not None:
            return RelocationResult.FOUND
        self._dispatcher.return_retry(service)
        return (
            RelocationResult.NO_PLACE
            if place is None
            else RelocationResult.NOT_RESERVED
        )

    def _reserved(self, place: HeldSlot) -> HeldSlot | None:
        """Return the place once its upstream has reserved it, or give it back."""
        upstream, ticket = place.upstream, place.ticket
        reserved = reserve_slot(
            call=self._dialect.reservation_request(
                head=self._accepted.head, upstream=upstream
            ),
            connections=self._dispatcher.connection_pool(upstream),
            dialect=self._dialect,
            clock=self._clock,
        )
        if isinstance(reserved, Ok):
            return attrs.evolve(place, reservation=reserved.ok_value)
        self.declined.add(upstream.upstream_id)
        outcome = reserved.err_value.outcome
        if outcome is AttemptOutcome.NOT_RUN:
            self._dispatcher.release_slot(ticket, upstream)
        else:
            self._dispatcher.attempt_ended(ticket, upstream, self._accepted, outcome)
        return None
