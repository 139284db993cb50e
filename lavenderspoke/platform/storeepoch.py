"""The epoch of the platform's store, which each of its responses names.

It rises by one when the store comes back from an older copy of itself, and so has lost
what was written since. Offsets compare only within one epoch.
"""

import enum
from collections.abc import Sequence

import logbook

from lavenderspoke.observing.metrics import Metrics

STORE_EPOCH = "Store-Era"
# Maximum digits of an epoch; longer values are malformed.
DIGITS_MAX = 12
EPOCHS_METRIC = "store_epochs"
ROSE = "rose"

log = logbook.Logger(__name__)


class InvalidEpoch(enum.Enum):
    """Why the epoch in a response is ignored."""

    MALFORMED = "malformed"
    FELL = "fell"
    MISSING = "missing"


class EpochReader:
    """Reads the epoch from the responses to one client, in their order.

    One that is missing, malformed or lower than before says nothing about the copy that
    the response comes from: it is logged, counted and ignored. A store that never names
    its epoch is taken to have one.
    """

    def __init__(self, *, metrics: Metrics):
        self._metrics = metrics
        self._latest: int | None = None
        # Logged once until a valid one comes, since each response would log it.
        self._logged: InvalidEpoch | None = None

    def read(self, values: Sequence[str]) -> int | None:
        """Return the epoch in a response's headers, None if it is ignored.

        >>> reader = EpochReader(metrics=Metrics())
        >>> reader.read(["3"]), reader.read(["2"]), reader.read([]), reader.read(["4"])
        (3, None, None, 4)
        """
        if not values:
            if self._latest is not None:
                self._ignore(InvalidEpoch.MISSING, "")
            return None
        value = values[0].strip()
        if len(values) > 1 or not _is_number(value):
            self._ignore(InvalidEpoch.MALFORMED, ", ".join(values))
            return None
        epoch = int(value)
        if self._latest is not None and epoch < self._latest:
            self._ignore(InvalidEpoch.FELL, value)
            return None
        if self._latest is not None and epoch > self._latest:
            self._metrics.count(EPOCHS_METRIC, ROSE)
            log.warning("store epoch rose", epoch=epoch, before=self._latest)
        self._latest = epoch
        self._logged = None
        return epoch

    def _ignore(self, why: InvalidEpoch, value: str) -> None:
        self._metrics.count(EPOCHS_METRIC, why.value)
        if self._logged is not why:
            self._logged = why
            log.warning(
                "invalid store epoch ignored",
                why=why.value,
                value=value[:40],
                latest=self._latest,
            )


def _is_number(value: str) -> bool:
    return value.isascii() and value.isdigit() and len(value) <= DIGITS_MAX
