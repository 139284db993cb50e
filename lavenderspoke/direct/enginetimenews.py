"""What an entry tells the others of its customers' engine time."""

from collections.abc import Mapping

# Interval, in seconds, at which all totals are sent. In between only changes are. A
# peer that missed a message has outdated totals for at most this long.
FULL_INTERVAL_S = 1.0

EngineTime = Mapping[str, Mapping[str, float]]
"""Service to customer to seconds of engine time."""


class EngineTimeNews:
    """The totals that changed since the last message.

    >>> news = EngineTimeNews()
    >>> news.is_needed = True
    >>> news.take({"chat": {"a": 1.0, "b": 2.0}}, now_s=5.0)
    {'chat': {'a': 1.0, 'b': 2.0}}
    >>> news.take({"chat": {"a": 1.5, "b": 2.0}}, now_s=5.1)
    {'chat': {'a': 1.5}}
    """

    def __init__(self):
        self.is_needed = False
        self._sent: EngineTime = {}
        self._full_sent_s = float("-inf")

    def take(self, totals: EngineTime, now_s: float) -> dict[str, dict[str, float]]:
        """Return the totals to send now: all at each interval, else what changed."""
        if not self.is_needed:
            return {}
        is_full = now_s >= self._full_sent_s + FULL_INTERVAL_S
        if is_full:
            self._full_sent_s = now_s
        sent, self._sent = ({} if is_full else self._sent), totals
        news = {
            service: _changes(sent.get(service, {}), customers)
            for service, customers in totals.items()
        }
        return {service: changes for service, changes in news.items() if changes}


def combined_engine_time(
    before: EngineTime, after: EngineTime
) -> dict[str, dict[str, float]]:
    """Return the totals of two messages, the later ones where both have them."""
    combined = {service: dict(totals) for service, totals in before.items()}
    for service, totals in after.items():
        combined.setdefault(service, {}).update(totals)
    return combined


def _changes(
    before: Mapping[str, float], after: Mapping[str, float]
) -> dict[str, float]:
    return {name: used for name, used in after.items() if used != before.get(name)}
