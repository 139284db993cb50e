"""Applies records so that one that can't be applied costs only itself."""

from collections.abc import Callable, Sequence

import logbook

from lavenderspoke.direct.records import KeyedRecord
from lavenderspoke.observing.metrics import Metrics

# Counts records that raised when they were applied, by error.
REFUSED_METRIC = "records_refused"

log = logbook.Logger(__name__)

Records = Sequence[KeyedRecord]


class RecordGuard:
    """Applies the records of one topic.

    >>> guard = RecordGuard(topic="t", metrics=Metrics())
    >>> applied = []
    >>> def apply(records):
    ...     applied.extend(int(each.value) for each in records)
    >>> odd, sound = (KeyedRecord(key="k", value=v, offset=1) for v in (b"x", b"7"))
    >>> guard.apply((odd, sound), apply)
    >>> applied
    [7, 7]
    """

    def __init__(self, *, topic: str, metrics: Metrics):
        self._topic = topic
        self._metrics = metrics

    def apply(
        self,
        records: Records,
        apply: Callable[[Records], None],
        *,
        apply_some: Callable[[Records], None] | None = None,
    ) -> None:
        """Call `apply(records)`, without those that it raises for.

        These are found by `apply_some`, where `apply` takes its records for all that
        there are. Both may get a record several times. Where no record alone is at
        fault, what was raised is raised.
        """
        try:
            apply(records)
            return
        except Exception as error:
            failed = error
        odd = [
            each for each in records if not self._is_sound(each, apply_some or apply)
        ]
        if not odd:
            raise failed
        apply([each for each in records if each not in odd])

    def _is_sound(self, record: KeyedRecord, apply: Callable[[Records], None]) -> bool:
        try:
            apply([record])
        except Exception as error:
            self._metrics.count(REFUSED_METRIC, type(error).__name__)
            log.error(
                "record refused",
                topic=self._topic,
                key=record.key,
                error=f"{type(error).__name__}: {error}"[:200],
                exc_info=True,
            )
            return False
        return True
