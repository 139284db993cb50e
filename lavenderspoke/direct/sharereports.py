"""Shows in logs and counters what the sharing of engine time decides."""

import logbook

from lavenderspoke.direct.customershares import ShareOfUse
from lavenderspoke.direct.tickets import Rank, Ticket
from lavenderspoke.observing import signals
from lavenderspoke.observing.metrics import Metrics

DEFERRED_METRIC = "direct_share_deferred"
INVALID_METRIC = "direct_share_rows_invalid"
# A customer counts as limited until none of its requests was deferred for so long, in
# seconds. Shorter, one that is about at its share would write lines all the time.
LIMITED_S = 5.0
# The most customers of a service that are logged as limited at the same time; further
# ones are only counted.
LOGGED_CUSTOMERS_MAX = 32
# The most peers remembered whose totals were reported as malformed.
INVALID_PEERS_MAX = 1024

log = logbook.Logger(__name__)


class ShareReports:
    """Counts deferred requests of one service, and logs who comes to be limited.

    Times are in seconds.
    """

    def __init__(self, *, service: str, metrics: Metrics):
        self._service = service
        self._metrics = metrics
        self._limited_until_s: dict[str, float] = {}
        self._invalid_peers: set[tuple[str, str]] = set()

    def record_deferred(self, ticket: Ticket, share: ShareOfUse, now_s: float) -> None:
        """Record that requests of other customers went before this one."""
        customer = ticket.customer
        if not ticket.deferred:
            ticket.deferred = (
                f"customer over its share: {share.used_s:.2f} s of engine time used, "
                f"share {share.share_s:.2f} s"
            )
            self._metrics.count(DEFERRED_METRIC, _rank_label(ticket.rank))
        if customer not in self._limited_until_s:
            if len(self._limited_until_s) >= LOGGED_CUSTOMERS_MAX:
                return
            log.info(
                signals.SHARE_LIMITED,
                service=self._service,
                customer=customer,
                used_s=round(share.used_s, 2),
                share_s=round(share.share_s, 2),
            )
        self._limited_until_s[customer] = now_s + LIMITED_S

    def record_invalid(self, sender: str, incarnation: str, reason: str) -> None:
        """Record that a peer's rows are malformed: one line for each start of it."""
        self._metrics.count(INVALID_METRIC, reason)
        peer = (sender, incarnation)
        if peer in self._invalid_peers or len(self._invalid_peers) >= INVALID_PEERS_MAX:
            return
        self._invalid_peers.add(peer)
        log.warning(
            "malformed shares of a peer ignored",
            service=self._service,
            peer=sender,
            reason=reason,
        )

    def tick(self, now_s: float) -> None:
        """Log who is no longer limited."""
        ended = [c for c, until_s in self._limited_until_s.items() if now_s >= until_s]
        for customer in ended:
            del self._limited_until_s[customer]
            log.info(
                signals.SHARE_ENDED,
                service=self._service,
                customer=customer,
            )


def _rank_label(rank: Rank) -> str:
    return f"{rank[0]}.{rank[1]}"
