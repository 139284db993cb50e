"""The catalog in force and how old the knowledge is that it is the newest."""

import threading

import logbook

from lavenderspoke.clock import Clock
from lavenderspoke.direct.catalog import Catalog

log = logbook.Logger(__name__)


class CatalogInForce:
    """The newest catalog read so far.

    Keys are honoured only while the last read is younger than `key_age_max_s`:
    a key that was taken away must stop working also at an entry that can't read
    the platform's store any more, and it can't tell that case from one in which
    nothing changed. The age counts from when a read was sent, since the answer
    may have lain on the way, and on a clock that counts a suspension.
    """

    def __init__(self, *, clock: Clock, key_age_max_s: float):
        self._clock = clock
        self.key_age_max_s = key_age_max_s
        self._lock = threading.Lock()
        self._catalog: Catalog | None = None
        self._confirmed_s: float | None = None

    @property
    def catalog(self) -> Catalog | None:
        """The catalog in force, or None before the first."""
        return self._catalog

    def offer(self, catalog: Catalog) -> bool:
        """Put a catalog in force unless it is older than the one there."""
        with self._lock:
            current = self._catalog
            if current is not None and catalog.version <= current.version:
                return False
            self._catalog = catalog
        log.info(
            "catalog in force",
            version=catalog.version,
            routes=len(catalog.routes),
            customers=len(catalog.customers),
            keys=sum(len(customer.keys) for customer in catalog.customers),
        )
        return True

    def confirm(self, sent_s: float) -> None:
        """Note that a read sent then has shown the newest catalog."""
        with self._lock:
            if self._confirmed_s is None or sent_s > self._confirmed_s:
                self._confirmed_s = sent_s

    def age_s(self) -> float | None:
        """Return how long ago the last good read was sent."""
        if self._confirmed_s is None:
            return None
        return self._clock.monotonic_s() - self._confirmed_s

    def is_fresh(self) -> bool:
        """Return whether keys may be honoured now."""
        age_s = self.age_s()
        return age_s is not None and age_s < self.key_age_max_s
