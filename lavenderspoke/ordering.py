"""Gives an upstream its orders, one at a time."""

from collections.abc import Callable

import logbook
from result import Err, Ok

from lavenderspoke.documentfeed import DocumentFeed
from lavenderspoke.documents.fold import InForce
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.orders import NextOrder, next_order
from lavenderspoke.upstreams.upstream import OrderFenced, Upstream

log = logbook.Logger(__name__)


class Ordering:
    """Reads an upstream's orders back and gives the next one that is due.

    `is_newest()` says whether no newer incarnation of this agent has joined,
    and False too when that can't be known. While `is_paused()`, the upstream
    wants no requests, and gets no orders either.
    """

    def __init__(
        self,
        *,
        upstream: Upstream,
        documents: DocumentFeed,
        service: str,
        label: str,
        is_newest: Callable[[], bool],
        metrics: Metrics,
        is_paused: Callable[[], bool] = lambda: False,
    ):
        self._upstream = upstream
        self._documents = documents
        self._service = service
        self._label = label
        self._is_newest = is_newest
        self._metrics = metrics
        self._is_paused = is_paused

    def poll(self) -> None:
        """Give the orders that are due, until one fails or none is left."""
        # Taken as one: were the version read by itself, the order of a document
        # replaced meanwhile would go out under the number of the new one.
        document = self._documents.in_force(self._service)
        # Bounded, since an upstream may never say that it has what it was told.
        for _ in range(len(document.service.orders) if document else 0):
            if not self._give_next(document):
                return

    def _give_next(self, document: InForce) -> bool:
        if self._is_paused():
            return False
        state = self._upstream.order_state()
        if isinstance(state, Err):
            return False
        due = next_order(
            service=document.service,
            version=document.version,
            label=self._label,
            state=state.ok_value,
        )
        return due is not None and self._give(due)

    def _give(self, due: NextOrder) -> bool:
        # Such an upstream would obey an agent that was paused for long and
        # whose place another has taken.
        if not due.is_checked and not self._is_newest():
            self._metrics.count("orders", "superseded")
            return False
        given = self._upstream.order(due.fencing_number, due.order)
        match given:
            case Ok(_):
                outcome = "given"
            case Err(OrderFenced()):
                outcome = "fenced"
            case _:
                # It may have taken effect: the next look reads it back.
                outcome = "unknown"
        self._metrics.count("orders", outcome)
        log.info(
            "order",
            action=due.order.action.value,
            order=due.order.name,
            fencing_number=due.fencing_number,
            outcome=outcome,
        )
        return given.is_ok()
