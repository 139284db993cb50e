"""Checks on what callers are told: that a promise is kept, and that one is made.

A caller may send a request again that must run at most once if its answer promises
that it has not run, or if its connection was closed before anyone read it.
"""

from soak.callers import Sent
from soak.record import GRACE_OWED, GRACE_S, Record, Refusal, Run
from soak.retries import CLOSED, NOT_RUN
from standins.platformdeployment import KEY

SIGNATURE = "x-response-signature"
RETRY_AFTER = "retry-after"
# Statuses of an entry's own answers that promise nothing.
PROMISES_NOTHING = (500, 502)
# Requests below which the share that was served isn't compared, and the least share
# that is served while nothing is disturbed.
CALM_REQUESTS_MIN = 20
CALM_SERVED_MIN = 0.8


def run_counts(record: Record) -> list[str]:
    """No request runs more often than its kind may, also one that was sent twice."""
    runs = record.counted_runs()
    kinds = {sent.attempt_id: sent.kind for sent in record.sent}
    return [
        f"{attempt_id} ran {len(runs[attempt_id])} times"
        for attempt_id, kind in kinds.items()
        if len(runs[attempt_id]) > kind.runs_max
        and not _repeated_in_vain(record, attempt_id)
    ]


def true_refusals(record: Record) -> list[str]:
    """What a caller is told did not run has not run."""
    return [
        f"{sent.attempt_id} ran and was answered {sent.answer.status}"
        for sent, runs in _promised(record)
        if any(run.began_s <= sent.ended_s for run in runs)
    ]


def kept_refusals(record: Record) -> list[str]:
    """What a caller is told did not run doesn't run later, either."""
    return [
        f"{sent.attempt_id} ran {runs[-1].began_s - sent.ended_s:.2f} s after it was "
        f"answered {sent.answer.status}"
        for sent, runs in _promised(record)
        if runs and all(run.began_s > sent.ended_s for run in runs)
    ]


def _promised(record: Record) -> list[tuple[Sent, list[Run]]]:
    """Return the attempts whose answers promise that they never run, and their runs."""
    runs = record.counted_runs()
    return [
        (sent, runs[sent.attempt_id])
        for sent in record.sent
        if sent.answer is not None
        and sent.answer.status in NOT_RUN
        and sent.kind.runs_max == 1
        and not _repeated_in_vain(record, sent.attempt_id)
    ]


def _repeated_in_vain(record: Record, attempt_id: str) -> bool:
    """Return whether an attempt was repeated since an entry ended that had read it.

    One that is killed or whose time to stop is over closes its connections in order,
    which no entry can prevent.
    """
    attempts = [each for each in record.sent if each.attempt_id == attempt_id]
    return len(attempts) > 1 and any(
        each.seen == CLOSED
        and not (
            record.calm((each.entry,), each.sent_s, each.ended_s)
            and _has_time(record, each)
        )
        for each in attempts
    )


def _has_time(record: Record, sent: Sent) -> bool:
    return not any(
        stop.subject == sent.entry
        and sent.sent_s < stop.to_s
        and sent.ended_s > stop.from_s + GRACE_S * GRACE_OWED
        for stop in record.stops
    )


def signed_statuses(record: Record) -> list[str]:
    """An upstream's signature comes with the status that the upstream gave."""
    given: dict[str, set[int]] = {}
    for run in record.runs:
        if run.signed_status is not None:
            given.setdefault(run.attempt_id, set()).add(run.signed_status)
    for each in record.refusals:
        if each.is_signed:
            given.setdefault(each.attempt_id, set()).add(each.status)
    return [
        f"{sent.attempt_id} was answered {sent.answer.status} with a signature of "
        f"{sorted(given.get(sent.attempt_id, ()))}"
        for sent in record.sent
        if sent.answer is not None
        and SIGNATURE in sent.answer.headers
        and sent.answer.status not in given.get(sent.attempt_id, ())
    ]


def returns_told(record: Record) -> list[str]:
    """A promise tells when to return."""
    return [
        f"{sent.attempt_id} was answered {sent.answer.status} without {RETRY_AFTER}: "
        f"{sent.answer.body!r}"
        for sent in record.sent
        if sent.answer is not None
        and sent.answer.whole
        and sent.answer.status in (429, 503)
        and RETRY_AFTER not in sent.answer.headers
    ]


def refusals_told(record: Record) -> list[str]:
    """What upstreams truly refused, and nobody ran, isn't answered as if it may have.

    A caller that isn't told so may not send it again. Where another upstream of the
    service was disturbed, it may have been sent there too and cut off before it came.
    """
    runs = record.runs_of()
    refusals: dict[str, list[Refusal]] = {}
    for each in record.refusals:
        refusals.setdefault(each.attempt_id, []).append(each)
    arrived: dict[str, int] = {}
    for each in record.arrivals:
        arrived[each.attempt_id] = arrived.get(each.attempt_id, 0) + 1
    return [
        f"{sent.attempt_id} was truly refused and was answered {sent.answer.status}"
        for sent in record.sent
        if sent.answer is not None
        and sent.answer.status in PROMISES_NOTHING
        and sent.kind.runs_max == 1
        and not runs[sent.attempt_id]
        and (found := refusals.get(sent.attempt_id))
        and all(each.is_proof for each in found)
        and len(found) == arrived.get(sent.attempt_id)
        and record.calm(
            (sent.entry, *_others(record, sent, found)), sent.sent_s, sent.ended_s
        )
        and _has_time(record, sent)
    ]


def _others(record: Record, sent: Sent, refusals: list[Refusal]) -> set[str]:
    """Return the upstreams of a request's service that didn't refuse it."""
    upstreams = record.models if sent.kind.is_stream else record.desks
    return set(upstreams) - {each.upstream for each in refusals}


def served_in_calm(record: Record) -> list[str]:
    """Most plain requests are served while nothing they need is disturbed."""
    subjects = ("store", *record.entries, *record.desks)
    calm = [
        sent
        for sent in record.sent
        if not sent.kind.is_stream
        and sent.key == KEY
        and sent.version is None
        and sent.repeats is None
        and sent.answer is not None
        and record.calm(subjects, sent.sent_s, sent.ended_s)
        and all(
            record.keeps_state(entry, sent.sent_s, sent.ended_s)
            for entry in record.entries
        )
    ]
    served = sum(sent.answer.status == 200 for sent in calm)
    if len(calm) < CALM_REQUESTS_MIN or served >= CALM_SERVED_MIN * len(calm):
        return []
    return [f"{served} of {len(calm)} requests were served while all was calm"]
