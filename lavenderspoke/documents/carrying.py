"""When a daemon carries the documents in force forward by a snapshot.

Each daemon may do it and about one does in each period: every snapshot that is
read puts the next one off, and each daemon draws its own delay. Delays are
measured from the time of reading, not by clocks that daemons would have to
share.
"""

from random import Random

from lavenderspoke.platformlog import FIRST_OFFSET

RETRY_S = 10.0


class CarryTimer:
    """Says when a snapshot is due.

    >>> timer = CarryTimer(random=Random(0), period_s=600.0)
    >>> timer.due(oldest_offset=1, now_s=0.0), timer.due(1, 600.0)
    (False, True)
    """

    def __init__(self, *, random: Random, period_s: float):
        self._random = random
        self._period_s = period_s
        self._read_to = FIRST_OFFSET - 1
        self._due_s: float | None = None
        # A daemon that has just started doesn't know how old the last snapshot
        # is. Were it to wait a whole period, restarts would put the next one off
        # until the last has aged out, and no new daemon could have documents.
        self._delays_s = (0.0, period_s)
        self._hurried = False

    def seen(self, read_to: int, caught_up: bool) -> None:
        """Note a snapshot; `caught_up` says whether it has just been written."""
        if read_to <= self._read_to:
            return
        self._read_to = read_to
        self._due_s = None
        self._hurried = False
        if caught_up:
            self._delays_s = (self._period_s, 2 * self._period_s)

    def due(self, oldest_offset: int, now_s: float) -> bool:
        """Return whether a snapshot should be written now."""
        if self._due_s is None:
            self._due_s = now_s + self._random.uniform(*self._delays_s)
        if self._read_to + 1 < oldest_offset and not self._hurried:
            # No new reader could go by the last snapshot: don't wait for the
            # period. The delay is drawn once, or many polls would cut it short.
            self._hurried = True
            soon_s = now_s + self._random.uniform(0, RETRY_S)
            self._due_s = min(self._due_s, soon_s)
        return now_s >= self._due_s

    def tried(self, now_s: float) -> None:
        """Note an attempt; until it is read back, the next comes a little later."""
        self._due_s = now_s + self._random.uniform(1, 2) * RETRY_S
