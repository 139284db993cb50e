"""The promises, checked on what callers and upstreams saw.

Each check returns a line for every breach. Those with a time bound hold only for
entries that nothing disturbed shortly before: a paused entry can't keep a bound.
"""

import re
from collections import defaultdict

from soak import promises
from soak.callers import REVOKED_KEY, Sent
from soak.record import CALM_AFTER_S, GRACE_OWED, GRACE_S, Record, Span

# Statuses of a request that may have run and whose answer won't come.
GIVEN_UP = (502, 504)
# Time in which a version must be in force, and in which an upstream that leaves
# must get its last request, in seconds.
IN_FORCE_S = 2.0
DRAIN_S = 2.0
# Time for which a key may work after it was taken away, in seconds.
REVOKE_S = 5.0
# How much later than its deadline, in seconds, a request has its final answer.
ANSWERED_LATE_S = 0.5
# How much of a stop is open to new requests, in seconds: later ones may be long.
STOP_OPEN_S = 2.0
EVENTS = 5
# The software version in an event, and a part of one at a cut.
SOFTWARE = re.compile(rb"(?<=\d) v\d(?=\n)")
SOFTWARE_CUT = re.compile(rb"(?<=\d) v?\d?\Z")
# Crashes after which content is known for them, and how many more there may be later.
CRASHES_KNOWN = 3
PART_CRASHES_KNOWN = 5
LATE_CRASHES_MAX = 3
# Time before most new connections come to one entry with which their service is
# compared, in seconds, the requests needed for that, and the least share served.
SHIFT_BEFORE_S = 3.0
SHIFT_REQUESTS_MIN = 20
SHIFT_SERVED_MIN = 0.75
# How long after a response that tells about its upstream its entry must go by it, in
# seconds, and from when after a limit was first named the requests are checked.
SIGNAL_EFFECT_S = 0.5
LIMIT_SETTLED_S = 3.0
# Length of the windows in which requests count against a limit, in seconds, the factor
# by which they may exceed it, and the requests allowed beyond that.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Requests of an entry that may reach an upstream in a pause.
PAUSE_REQUESTS_MAX = 2
# Headers with which upstreams tell about themselves.
LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
PAUSE_HEADER = "Retry-After"


def whole_answers(record: Record) -> list[str]:
    """A success is the upstream's own answer, whole and in order."""
    return [
        f"{sent.attempt_id} got {sent.answer.body!r}, whole: {sent.answer.whole}"
        for sent in record.sent
        if sent.answer is not None and sent.answer.status == 200 and not _good(sent)
    ]


def _good(sent: Sent) -> bool:
    answer = sent.answer
    if answer.headers.get("x-attempt-id") != sent.attempt_id:
        return False
    if "x-response-signature" not in answer.headers:
        return False
    if sent.kind.is_stream:
        expected = b"".join(
            b"id: %d\ndata: piece %d\n\n" % (n, n)
            for n in range(sent.after_event + 1, EVENTS)
        )
    else:
        expected = f"answer to {sent.attempt_id}".encode()
    body = SOFTWARE.sub(b"", answer.body)
    if answer.whole:
        return body == expected
    # A part of a version may be left at a cut.
    return expected.startswith(SOFTWARE_CUT.sub(b"", body))


def one_version(record: Record) -> list[str]:
    """A caller's stream has events of one software version, over all its attempts."""
    versions = defaultdict(set)
    for sent in record.sent:
        if sent.kind.is_stream and sent.answer is not None:
            versions[sent.stream_id].update(SOFTWARE.findall(sent.answer.body))
    return [
        f"{stream_id} has events of {sorted(found)}"
        for stream_id, found in versions.items()
        if len(found) > 1
    ]


def crashes_contained(record: Record) -> list[str]:
    """Content that has crashed three upstreams reaches few more, after a while.

    A part of prompts may crash five before.
    """
    crashes_s = sorted(record.crashes_s)
    known = PART_CRASHES_KNOWN if record.crashes_by_part else CRASHES_KNOWN
    if len(crashes_s) <= known:
        return []
    known_s = crashes_s[known - 1]
    late_s = [
        each
        for each in crashes_s
        if each > known_s + CALM_AFTER_S
        and record.calm(("store", *record.entries), known_s - CALM_AFTER_S, each)
    ]
    if len(late_s) <= LATE_CRASHES_MAX:
        return []
    return [f"{len(late_s)} upstreams crashed long after the first {known}"]


def served_when_shifted(record: Record) -> list[str]:
    """An entry that gets most new connections serves nearly as much of them.

    What nobody read doesn't count, nor does what is over a limit. Plain requests are
    compared, since content crashes model upstreams all the while.
    """
    breaches = []
    for shift in record.shifts:
        before_s = shift.from_s - SHIFT_BEFORE_S
        is_stopped = any(
            stop.from_s < shift.to_s and before_s < stop.to_s for stop in record.stops
        )
        subjects = ("store", *record.entries, *record.desks)
        if is_stopped or not record.calm(subjects, before_s, shift.to_s):
            continue
        before = _first_served(record, before_s, shift.from_s)
        now = _first_served(record, shift.from_s + CALM_AFTER_S, shift.to_s)
        if min(len(before), len(now)) < SHIFT_REQUESTS_MIN:
            continue
        share = sum(now) / len(now) / max(0.01, sum(before) / len(before))
        if share < SHIFT_SERVED_MIN:
            breaches.append(f"{shift.subject} served {share:.2f} times as often")
    return breaches


def _first_served(record: Record, from_s: float, to_s: float) -> list[bool]:
    """Return whether each first attempt of that time was served."""
    return [
        sent.answer.status in (200, 429) and sent.answer.whole
        for sent in record.sent
        if from_s <= sent.sent_s < to_s
        and sent.answer is not None
        and not sent.kind.is_stream
        and sent.version is None
        and sent.repeats is None
        and sent.key != REVOKED_KEY
    ]


def innocent_served(record: Record) -> list[str]:
    """Nothing is refused as crashing upstreams that never did."""
    return [
        f"{sent.attempt_id} was refused as crashing upstreams"
        for sent in record.sent
        if sent.answer is not None and b"crashes_upstreams" in sent.answer.body
    ]


def revoked_keys(record: Record) -> list[str]:
    """No request runs that was sent too long after its key was taken away."""
    sent = {each.attempt_id: each for each in record.sent}
    latest_s = record.published.revoked_s + REVOKE_S
    return [
        f"{run.attempt_id} ran {sent[run.attempt_id].sent_s - latest_s:.2f} s late"
        for run in record.runs
        if sent[run.attempt_id].key == REVOKED_KEY
        and sent[run.attempt_id].sent_s > latest_s
    ]


def versions(record: Record) -> list[str]:
    """Each version comes into force in time, and no older one after it."""
    breaches = []
    newest: dict[int, tuple[int, float]] = {}
    for sent in sorted(record.sent, key=lambda each: each.sent_s):
        if sent.version is None or sent.answer is None:
            continue
        status = sent.answer.status
        served, known_s = newest.get(sent.pid, (0, 0.0))
        if status == 200 and sent.version < served and sent.sent_s > known_s:
            breaches.append(f"{sent.attempt_id}: version {sent.version} came back")
        if status == 200 and sent.version > served:
            newest[sent.pid] = (sent.version, sent.ended_s)
        if status == 404 and _owed(record, sent):
            breaches.append(f"{sent.attempt_id}: version {sent.version} not in force")
    return breaches


def _owed(record: Record, sent: Sent) -> bool:
    published = record.published
    newer_s = published.versions_sent_s.get(sent.version + 1, float("inf"))
    since_s = published.versions_s[sent.version] + IN_FORCE_S
    if not since_s < sent.sent_s or sent.ended_s >= newer_s:
        return False
    return record.calm(("store", sent.entry), sent.sent_s - IN_FORCE_S, sent.ended_s)


def drained(record: Record) -> list[str]:
    """An upstream that leaves gets nothing new after a while."""
    entry_of = {each.attempt_id: each.entry for each in record.sent}
    return [
        f"{run.attempt_id} ran at {run.upstream}, {run.began_s - span.from_s:.2f} s "
        "after that said it leaves"
        for span in record.published.leaving
        for run in record.runs
        if run.upstream == span.subject
        and span.from_s + DRAIN_S < run.began_s < span.to_s
        and record.calm(
            ("store", entry_of[run.attempt_id], run.upstream),
            span.from_s,
            run.began_s,
        )
    ]


def leaving_respected(record: Record) -> list[str]:
    """An upstream that said that it leaves gets nothing new from who passed that on."""
    sent = {each.attempt_id: each for each in record.sent}
    return [
        f"{arrival.attempt_id} reached {span.subject}, which had said that it leaves"
        for span in record.leaving_said
        for entry, at_s in record.told(
            span.subject, LEAVING_HEADER, span.from_s
        ).items()
        for arrival in record.arrivals
        if arrival.upstream == span.subject
        and arrival.attempt_id in sent
        and sent[arrival.attempt_id].entry == entry
        and sent[arrival.attempt_id].sent_s > at_s + DRAIN_S
        and arrival.at_s < span.to_s
    ]


def pauses_respected(record: Record) -> list[str]:
    """An upstream gets nearly no request of an entry in a pause that it asked for."""
    entry_of = {each.attempt_id: each.entry for each in record.sent}
    arrivals = defaultdict(list)
    for each in record.arrivals:
        if each.attempt_id in entry_of:
            arrivals[each.upstream, entry_of[each.attempt_id]].append(each)
    breaches = []
    for (upstream, entry), sequence in arrivals.items():
        for asked in sequence:
            to_s = asked.at_s + float(asked.signals.get(PAUSE_HEADER, 0.0))
            from_s = asked.at_s + SIGNAL_EFFECT_S
            count = sum(from_s < each.at_s < to_s for each in sequence)
            is_kept = record.keeps_state(entry, asked.at_s, to_s)
            if count > PAUSE_REQUESTS_MAX and is_kept:
                breaches.append(f"{upstream} got {count} of {entry} in a pause")
    return breaches


def limits_respected(record: Record) -> list[str]:
    """Entries that passed a limit on send no more than it allows, all together.

    Reservations don't tell whose they are, and aren't counted.
    """
    entry_of = {each.attempt_id: each.entry for each in record.sent}
    limited = defaultdict(list)
    for each in sorted(record.arrivals, key=lambda each: each.at_s):
        if LIMIT_HEADER in each.signals:
            limited[each.upstream].append(each)
    breaches = []
    for upstream, arrivals in limited.items():
        first_s = arrivals[0].at_s
        told_s = record.told(upstream, LIMIT_HEADER, first_s)
        counted_s = [
            each.at_s
            for each in arrivals
            if (entry := entry_of.get(each.attempt_id)) in told_s
            and each.at_s > told_s[entry] + SIGNAL_EFFECT_S
        ]
        per_s = float(arrivals[0].signals[LIMIT_HEADER])
        allowed = LIMIT_FACTOR * per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        counts = [
            sum(end_s - LIMIT_WINDOW_S < each <= end_s for each in counted_s)
            for end_s in counted_s
            if end_s >= first_s + LIMIT_SETTLED_S
        ]
        if max(counts, default=0) > allowed:
            breaches.append(f"{upstream} got {max(counts)}, {allowed:g} allowed")
    return breaches


def graceful_stops(record: Record) -> list[str]:
    """A stop cuts off no request that came before callers were turned away."""
    return [
        f"{sent.attempt_id} was cut off by a stop"
        for stop in record.stops
        for sent in record.sent
        if (sent.answer is None or _broke_off(sent))
        and _stop_owes(stop, sent)
        and _undisturbed(record, sent)
        and not _held_too_long(record, sent)
    ]


def whole_streams(record: Record) -> list[str]:
    """No stream is given up while its upstream is at work, unless its time is up.

    Those that a stop cut off are with `graceful_stops`.
    """
    runs = record.runs_of()
    return [
        f"{sent.attempt_id}, status {sent.answer.status}, ended after "
        f"{sent.ended_s - sent.sent_s:.2f} s of {sent.deadline_s:.2f} s"
        for sent in record.sent
        if sent.kind.is_stream
        and runs[sent.attempt_id]
        and (_given_up(sent) or _cut_without_stop(record, sent))
        and _undisturbed(record, sent)
        and not _time_up(record, sent)
    ]


def answered_in_time(record: Record) -> list[str]:
    """A request is answered when its time is up, whatever its upstream does.

    One that comes while its entry starts waits until that can read it.
    """
    return [
        f"{sent.attempt_id} ended after {sent.ended_s - sent.sent_s:.2f} s of "
        f"{sent.deadline_s:.2f} s"
        for sent in record.sent
        if sent.connected
        and sent.ended_s > sent.sent_s + sent.deadline_s + ANSWERED_LATE_S
        and record.calm((sent.entry,), sent.sent_s, sent.ended_s)
        and not _started_lately(record, sent)
    ]


def _started_lately(record: Record, sent: Sent) -> bool:
    return any(
        stop.subject == sent.entry
        and stop.to_s < sent.ended_s
        and sent.sent_s < stop.to_s + CALM_AFTER_S
        for stop in record.stops
    )


def _broke_off(sent: Sent) -> bool:
    return sent.answer is not None and not sent.answer.whole


def _given_up(sent: Sent) -> bool:
    answer = sent.answer
    return answer is not None and answer.whole and answer.status in GIVEN_UP


def _cut_without_stop(record: Record, sent: Sent) -> bool:
    return _broke_off(sent) and not any(_stop_owes(stop, sent) for stop in record.stops)


def _stop_owes(stop: Span, sent: Sent) -> bool:
    """Return whether a stop must let this request come to its end."""
    return (
        sent.entry == stop.subject
        and sent.connected
        and stop.from_s <= sent.ended_s
        and sent.sent_s <= min(stop.from_s + STOP_OPEN_S, stop.to_s)
    )


def _undisturbed(record: Record, sent: Sent) -> bool:
    everything = tuple({span.subject for span in record.disturbed})
    return record.calm(everything, sent.sent_s, sent.ended_s)


def _held_too_long(record: Record, sent: Sent) -> bool:
    """Return whether a silence of upstreams held a stream until its time was up."""
    return (
        sent.kind.is_stream
        and _time_up(record, sent)
        and any(
            span.from_s < sent.ended_s and sent.sent_s < span.to_s
            for span in record.silences
        )
    )


def _time_up(record: Record, sent: Sent) -> bool:
    """Return whether the deadline was reached or the grace time almost over."""
    return sent.ended_s >= sent.sent_s + sent.deadline_s or any(
        sent.entry == stop.subject
        and sent.sent_s < stop.to_s
        and sent.ended_s > stop.from_s + GRACE_S * GRACE_OWED
        for stop in record.stops
    )


CHECKS = (
    promises.run_counts,
    promises.true_refusals,
    promises.kept_refusals,
    promises.signed_statuses,
    promises.returns_told,
    promises.refusals_told,
    promises.served_in_calm,
    whole_answers,
    one_version,
    crashes_contained,
    innocent_served,
    revoked_keys,
    versions,
    drained,
    served_when_shifted,
    leaving_respected,
    pauses_respected,
    limits_respected,
    graceful_stops,
    whole_streams,
    answered_in_time,
)


def breaches(record: Record) -> list[str]:
    """Return a line for each breach of any promise."""
    return [f"{check.__name__}: {line}" for check in CHECKS for line in check(record)]


def summary(record: Record) -> dict[str, int]:
    """Return how often callers got what, by status; 0 stands for no answer.

    Streams that were taken up are counted once more.
    """
    counts: dict[str, int] = defaultdict(int)
    for sent in record.sent:
        status = 0 if sent.answer is None else sent.answer.status
        whole = sent.answer is None or sent.answer.whole
        got = f"{status}" if whole else f"{status} cut"
        counts[got] += 1
        if sent.resumes is not None:
            counts[f"taken up {got}"] += 1
    return dict(sorted(counts.items()))
