"""Hands the list of upstreams on to what decides by it."""

from collections.abc import Callable

import logbook

from lavenderspoke.direct.instances import Upstream
from lavenderspoke.observing.metrics import Metrics

# Counts upstreams that were left out of the list.
LEFT_OUT_METRIC = "upstreams_left_out"

log = logbook.Logger(__name__)

Upstreams = tuple[Upstream, ...]


class ListHandover:
    """Hands each changed list on, also again if it wasn't taken.

    `take(upstreams)` applies a list as a whole, and may get the same one twice. If it
    raises because of upstreams that came or changed, the list goes on without these,
    which are tried again the next time. If none of them is at fault, `hand_on` raises
    what `take` did, and the list is handed on again.

    >>> handover = ListHandover(take=print, metrics=Metrics())
    >>> handover.hand_on(())
    >>> handover.taken
    ()
    """

    def __init__(self, *, take: Callable[[Upstreams], None], metrics: Metrics):
        self.taken: Upstreams = ()
        self._take = take
        self._metrics = metrics
        self._left_out: frozenset[Upstream] = frozenset()
        self._is_applied = True

    def hand_on(self, listed: Upstreams) -> None:
        """Hand a list on if it differs from the last one that was taken."""
        if self._is_applied and not self._left_out and listed == self.taken:
            return
        # Until it is taken whole, some of what decides has it and the rest doesn't.
        self._is_applied = False
        try:
            self._take(listed)
            self._left_out = frozenset()
            self.taken = listed
        except Exception as error:
            self.taken = self._take_sound(listed, error)
        self._is_applied = True

    def _take_sound(self, listed: Upstreams, error: Exception) -> Upstreams:
        """Find out one by one which upstreams can't be taken, and take the others."""
        known = frozenset(self.taken)
        odd: frozenset[Upstream] = frozenset()
        unknown = [each for each in listed if each not in known]
        for number, upstream in enumerate(unknown):
            untried = frozenset(unknown[number + 1 :])
            try:
                self._take(_without(listed, odd | untried))
            except Exception as raised:
                odd |= {upstream}
                self._note_odd(upstream, raised)
        if not odd:
            raise error
        sound = _without(listed, odd)
        # The last try may have been of an odd one.
        self._take(sound)
        self._left_out = odd
        return sound

    def _note_odd(self, upstream: Upstream, error: Exception) -> None:
        self._metrics.count(LEFT_OUT_METRIC, type(error).__name__)
        if upstream in self._left_out:
            return
        log.error(
            "upstream left out of the list",
            upstream=upstream.name,
            error=f"{type(error).__name__}: {error}"[:200],
            exc_info=True,
        )


def _without(listed: Upstreams, left_out: frozenset[Upstream]) -> Upstreams:
    return tuple(each for each in listed if each not in left_out)
