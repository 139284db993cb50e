"""The causes that are refused, and until when.

A cause is the hash of a content, or the name of prompt parts that are blamed together.
It is quarantined by a daemon's own evidence, or because another daemon announced it.
"""

from collections.abc import Iterable

from lavenderspoke.observing.signals import parts_of
from lavenderspoke.quarantine.messages import Quarantined


class Quarantines:
    """The quarantined causes; times are in seconds on the caller's clock.

    >>> quarantines = Quarantines()
    >>> quarantines.prove("part:5c1e+91bd", until_s=10.0)
    >>> quarantines.refuses("0123", {"5c1e", "91bd", "e440"}, now_s=9.0)
    True
    >>> quarantines.refuses("0123", {"5c1e"}, now_s=9.0)
    False
    """

    def __init__(self):
        self._proved_until_s: dict[str, float] = {}
        self._announced_until_s: dict[str, float] = {}
        # The parts of all causes that have any.
        self._bad_parts: dict[str, frozenset[str]] = {}

    def prove(self, cause: str, *, until_s: float) -> None:
        """Quarantine a cause by own evidence."""
        self._note_parts(cause)
        self._proved_until_s[cause] = until_s

    def withdraw(self, cause: str) -> float | None:
        """End a quarantine by own evidence; return until when it would have lasted."""
        return self._proved_until_s.pop(cause, None)

    def announce(self, message: Quarantined, now_s: float) -> None:
        """Apply a quarantine that another daemon announced, or lifted."""
        cause = message.fingerprint
        if message.ttl_s <= 0.0:
            self._announced_until_s.pop(cause, None)
            return
        self._note_parts(cause)
        until_s = self._announced_until_s.get(cause, now_s)
        self._announced_until_s[cause] = max(until_s, now_s + message.ttl_s)

    def lift(self, cause: str) -> None:
        """End a quarantine, whatever it rests on."""
        self._proved_until_s.pop(cause, None)
        self._announced_until_s.pop(cause, None)

    def remaining_s(self, cause: str, now_s: float) -> float:
        """Return how long a cause is still quarantined, 0 if it isn't."""
        until_s = max(
            self._proved_until_s.get(cause, now_s),
            self._announced_until_s.get(cause, now_s),
        )
        return max(0.0, until_s - now_s)

    def refuses(self, fingerprint: str, parts: Iterable[str], now_s: float) -> bool:
        """Return whether content with these prompt parts is refused."""
        if self.remaining_s(fingerprint, now_s) > 0.0:
            return True
        if not parts or not self._bad_parts:
            return False
        parts = frozenset(parts)
        return any(bad <= parts for bad in self.bad_parts(now_s).values())

    def bad_parts(self, now_s: float) -> dict[str, frozenset[str]]:
        """Return the quarantined causes that are made of parts, with these."""
        return {
            cause: bad
            for cause, bad in self._bad_parts.items()
            if self.remaining_s(cause, now_s) > 0.0
        }

    def proved(self, now_s: float) -> set[str]:
        """Return the causes that are quarantined by own evidence."""
        return {c for c, until_s in self._proved_until_s.items() if now_s < until_s}

    def active(self, now_s: float) -> set[str]:
        """Return all causes that are quarantined now."""
        announced = self._announced_until_s.items()
        return self.proved(now_s) | {c for c, until_s in announced if now_s < until_s}

    def expire(self, now_s: float) -> None:
        """Forget quarantines that are over."""
        for until_s in (self._proved_until_s, self._announced_until_s):
            for cause in [c for c, over_s in until_s.items() if now_s >= over_s]:
                del until_s[cause]
        for cause in self._bad_parts.keys() - self.active(now_s):
            del self._bad_parts[cause]

    def _note_parts(self, cause: str) -> None:
        if parts := parts_of(cause):
            self._bad_parts[cause] = parts
