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
    raises because of one upstream that came or changed, the list goes on without that
    one; it is tried again once it has changed. If no single one is at fault, `hand_on`
    raises what `take` did, and the list is handed on again the next time.

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
        self._left_out &= frozenset(listed)
        sound = _without(listed, self._left_out)
        if self._is_applied and sound == self.taken:
            return
        # Until it is taken whole, some of what decides has it and the rest doesn't.
        self._is_applied = False
        try:
            self._take(sound)
        except Exception as error:
            sound = self._take_without_one(sound, error)
        self.taken = sound
        self._is_applied = True

    def _take_without_one(self, listed: Upstreams, error: Exception) -> Upstreams:
        known = frozenset(self.taken)
        for upstream in listed:
            if upstream in known:
                continue
            rest = _without(listed, frozenset((upstream,)))
            try:
                self._take(rest)
            except Exception:
                continue
            self._left_out |= {upstream}
            self._metrics.count(LEFT_OUT_METRIC, type(error).__name__)
            log.error(
                "upstream left out of the list",
                upstream=upstream.name,
                error=f"{type(error).__name__}: {error}"[:200],
                exc_info=True,
            )
            return rest
        raise error


def _without(listed: Upstreams, left_out: frozenset[Upstream]) -> Upstreams:
    return tuple(each for each in listed if each not in left_out)
