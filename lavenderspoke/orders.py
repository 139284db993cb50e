"""Which order an upstream is to be given next.

The operators' document says what an upstream is to have loaded or to be. Its
version, an offset of the log, is the fencing number of every order that carries
it out. Only the agent beside an upstream orders it, one order at a time, and
only after reading back what the upstream has in force. So an answer that was
lost needs no guess, a restarted upstream is ordered anew, and what an older
incarnation did to an upstream that ignores the number is put right again.
"""

import attrs

from lavenderspoke.documents.service import Service
from lavenderspoke.upstreams.upstream import Order, OrderState


@attrs.frozen(kw_only=True)
class NextOrder:
    """An order that is due.

    Where the upstream doesn't check the number itself, the agent must first
    make sure that no newer incarnation of it has joined.
    """

    fencing_number: int
    order: Order
    is_checked: bool


def next_order(
    *, service: Service, version: int, label: str, state: OrderState
) -> NextOrder | None:
    """Return the order that brings an upstream nearer to its document.

    None when it has everything, or when it was ordered by a newer document
    than this agent has: going on would take it back to an older one.
    """
    if state.fencing > version:
        return None
    for each in service.orders:
        order = Order(action=each.action, name=each.name, version=each.version)
        if each.label == label and order not in state.orders:
            return NextOrder(
                fencing_number=version,
                order=order,
                is_checked=label in service.upstreams.checks_fencing,
            )
    return None
