"""What an entry tells the others of its customers' engine time."""

from collections.abc import Mapping

# Interval, in seconds, at which all totals are sent. In between only changes are. A
# peer that missed a message has outdated totals for at most this long.
FULL_INTERVAL_S = 1.0

EngineRows = tuple[tuple[int, int, str, float], ...]
"""Customer rank, route rank, customer and seconds of engine time."""

Totals = dict[tuple[int, int, str], float]
"""The same as a table."""


class EngineTimeNews:
    """The totals that changed since the last message, by service.

    >>> news = EngineTimeNews()
    >>> news.is_needed = True
    >>> news.take({"chat": {(0, 0, "a"): 1.0, (0, 0, "b"): 2.0}}, now_s=5.0)
    {'chat': ((0, 0, 'a', 1.0), (0, 0, 'b', 2.0))}
    >>> news.take({"chat": {(0, 0, "a"): 1.5, (0, 0, "b"): 2.0}}, now_s=5.1)
    {'chat': ((0, 0, 'a', 1.5),)}
    """

    def __init__(self):
        self.is_needed = False
        self._sent: Mapping[str, Totals] = {}
        self._full_sent_s = float("-inf")

    def take(self, totals: Mapping[str, Totals], now_s: float) -> dict[str, EngineRows]:
        """Return the totals to send now: all at each interval, else what changed."""
        if not self.is_needed:
            return {}
        is_full = now_s >= self._full_sent_s + FULL_INTERVAL_S
        if is_full:
            self._full_sent_s = now_s
        sent, self._sent = ({} if is_full else self._sent), totals
        news = {
            service: _changes(sent.get(service, {}), after)
            for service, after in totals.items()
        }
        return {service: rows for service, rows in news.items() if rows}


def combined_rows(
    before: Mapping[str, EngineRows], after: Mapping[str, EngineRows]
) -> dict[str, EngineRows]:
    """Return the rows of two messages, the later ones where both have them."""
    combined = dict(before)
    for service, rows in after.items():
        totals = {row[:3]: row for row in (*before.get(service, ()), *rows)}
        combined[service] = tuple(totals.values())
    return combined


def _changes(before: Totals, after: Totals) -> EngineRows:
    return tuple(
        (*key, used_s) for key, used_s in after.items() if used_s != before.get(key)
    )
