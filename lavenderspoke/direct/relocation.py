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
from lavenderspoke.direct.desk import Accepted, Desk, Look, Outcome
from lavenderspoke.direct.dialect import Dialect
from lavenderspoke.direct.exchange import Sending
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.reserving import reserve
from lavenderspoke.direct.tickets import Ticket


@attrs.frozen(kw_only=True)
class Place:
    """A place at an upstream that a request holds.

    `reservation` names it there, where the upstream has confirmed it.
    """

    upstream: Upstream
    ticket: Ticket
    reservation: str | None = None


class Relocation:
    """What one request needs to leave a silent upstream; used by one thread.

    `free_place` returns a place that is free as far as the entry knows, without waiting
    for one. `declined` names upstreams that reserved nothing; `looks` counts what was
    found.
    """

    def __init__(
        self,
        *,
        accepted: Accepted,
        desk: Desk,
        dialect: Dialect,
        clock: Clock,
        free_place: Callable[[], Place | None],
    ):
        self.looks: Counter[str] = Counter()
        self.declined: set[str] = set()
        self._accepted = accepted
        self._desk = desk
        self._dialect = dialect
        self._clock = clock
        self._free_place = free_place
        self._place: Place | None = None

    @property
    def is_prepared(self) -> bool:
        """Whether a retry and a place elsewhere are held."""
        return self._place is not None

    def is_possible(self) -> bool:
        """Return whether upstreams reserve places for such a request."""
        return self._dialect.reserves(self._accepted.head)

    def prepare(self, current: Sending) -> bool:
        """Take a retry and a place elsewhere, unless the upstream speaks meanwhile."""
        look = self._look()
        if look is Look.FOUND and current.has_unread_data():
            self.give_back()
            look = Look.SPOKE
        self.looks[look.value] += 1
        self._desk.looked(look)
        return look is Look.FOUND

    def take(self) -> Place | None:
        """Return the place that is held, which is the caller's from now on."""
        place, self._place = self._place, None
        return place

    def give_back(self) -> None:
        """Give the place and the retry back, if they are held."""
        place = self.take()
        if place is not None:
            self._desk.give_back(place.ticket, place.upstream)
            self._desk.retry_unused(self._accepted.service)

    def heard(self) -> None:
        """Forget who declined: the upstream isn't silent any more."""
        self.declined.clear()

    def _look(self) -> Look:
        service = self._accepted.service
        if not self._desk.may_retry(service):
            return Look.NO_RETRY
        place = self._free_place()
        self._place = None if place is None else self._reserved(place)
        if self._place is not None:
            return Look.FOUND
        self._desk.retry_unused(service)
        return Look.NO_PLACE if place is None else Look.NOT_RESERVED

    def _reserved(self, place: Place) -> Place | None:
        """Return the place once its upstream has reserved it, or give it back."""
        upstream, ticket = place.upstream, place.ticket
        reserved = reserve(
            call=self._dialect.reservation_call(
                head=self._accepted.head, upstream=upstream
            ),
            connections=self._desk.connections(upstream),
            dialect=self._dialect,
            clock=self._clock,
        )
        if isinstance(reserved, Ok):
            return attrs.evolve(place, reservation=reserved.ok_value)
        self.declined.add(upstream.upstream_id)
        outcome = reserved.err_value.outcome
        if outcome is Outcome.NOT_RUN:
            self._desk.give_back(ticket, upstream)
        else:
            self._desk.ended(ticket, upstream, self._accepted, outcome)
        return None
