"""The catalog in force, and when it was last confirmed to be the newest."""

import threading

import logbook

from lavenderspoke.clock import Clock
from lavenderspoke.direct.catalog import Catalog

# How long a version is waited for that another entry's record names, in seconds.
REQUIRED_S = 30.0

log = logbook.Logger(__name__)


class CatalogInForce:
    """The newest catalog read so far.

    API keys are accepted only while the last successful read is younger than
    `key_age_max_s`. A revoked key must stop working even at an entry that can't read
    the store any more, and such an entry can't know whether the configuration has
    changed. The age counts from when the read was sent, since the response may have
    been delayed. `clock` must include time spent suspended.

    The store may have lost a version that was in force at other entries. Until that
    one or a newer one is here, no keys are accepted (`require`). It comes from an entry
    that has it, or from the operator; one that nobody brings in time was never there.
    """

    def __init__(self, *, clock: Clock, key_age_max_s: float):
        self._clock = clock
        self.key_age_max_s = key_age_max_s
        self._lock = threading.Lock()
        self._catalog: Catalog | None = None
        self._required_version = 0
        self._required_since_s = float("-inf")
        self._lapsed_version = 0
        self._confirmed_s: float | None = None

    @property
    def catalog(self) -> Catalog | None:
        """The catalog in force, or None before the first."""
        return self._catalog

    def offer(self, catalog: Catalog) -> bool:
        """Put a catalog in force if its version is newer; return whether it was."""
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

    def require(self, version: int) -> None:
        """Accept no keys by a catalog older than this version, for `REQUIRED_S`."""
        with self._lock:
            if version > self._required_version:
                self._required_version = version
                self._required_since_s = self._clock.monotonic_s()

    def confirm(self, sent_s: float) -> None:
        """Record that a read sent at `sent_s` showed no newer catalog."""
        with self._lock:
            if self._confirmed_s is None or sent_s > self._confirmed_s:
                self._confirmed_s = sent_s

    def age_s(self) -> float | None:
        """Return the time since the last confirming read was sent, None before one."""
        if self._confirmed_s is None:
            return None
        return self._clock.monotonic_s() - self._confirmed_s

    def is_fresh(self) -> bool:
        """Return whether API keys may be accepted now."""
        catalog = self._catalog
        if catalog is None or self._lacks_required(catalog):
            return False
        age_s = self.age_s()
        return age_s is not None and age_s < self.key_age_max_s

    def _lacks_required(self, catalog: Catalog) -> bool:
        if catalog.version >= self._required_version:
            return False
        if self._clock.monotonic_s() < self._required_since_s + REQUIRED_S:
            return True
        with self._lock:
            if self._lapsed_version != self._required_version:
                self._lapsed_version = self._required_version
                log.error(
                    "version that an entry's record names came from nobody, ignored",
                    version=self._required_version,
                    in_force=catalog.version,
                )
        return False
