"""Explains the outcome of a request from the log lines of several processes.

A request's log line has its outcome; the cause is often in other lines of the same
process shortly before: an unreachable store, a removed upstream, a shutdown. Lines may
be truncated, from other programs, or out of order.
"""

import datetime
import json
from collections.abc import Iterable

import attrs

from lavenderspoke.observing import signals
from lavenderspoke.observing.takeups import take_up_text
from lavenderspoke.problems import Reason

REQUEST_MESSAGE = "request"
# Time before a request's arrival from which on log lines may explain its outcome, in
# seconds: API keys are accepted for some five seconds after the last read of the store.
LOOKBACK_S = 10.0
# What upstreams said about themselves holds until they say otherwise, so the last line
# about an upstream and each of these subjects matters at any age.
STATEMENT_SUBJECTS = {
    signals.LIMIT_NAMED: "limit",
    signals.LIMIT_ENDED: "limit",
    signals.LEAVING: "leaving",
    signals.PAUSE: "pause",
}
# A customer stays limited by its share until the other line, of the same service.
SHARE_MESSAGES = (signals.SHARE_LIMITED, signals.SHARE_ENDED)
# Lines about content that has run in upstreams that ended, of any process.
CONTENT_MESSAGES = (
    signals.QUARANTINED,
    signals.QUARANTINE_READ,
    signals.QUARANTINE_ENDED,
    signals.UNANSWERED,
)
CONTENT_LINES_MAX = 20
OVERDUE_MEANING = "It was still handled past its deadline when its entry logged this."
# What a refusal told its caller, by the request's field `ran`.
PROMISES = {
    "no": 'Its caller was told "not run"',
    "unknown": "Its caller was told that it may have run",
}
DEFERRED_MEANING = " Requests of other customers went first."

MEANINGS = {
    "whole": "The upstream's complete answer was sent to the caller.",
    "broken": "The answer broke off after it had begun; the caller saw that.",
    Reason.CALLER_GONE.value: "The caller disconnected; the request was cancelled.",
    Reason.NO_ROOM.value: "No upstream had a free slot in time; it has not run.",
    Reason.NO_UPSTREAM.value: "No upstream of the service was known; it has not run.",
    Reason.CUSTOMER_LIMIT.value: "Its customer was over its limit; it has not run.",
    Reason.KEYS_STALE.value: "The store was unreachable for too long to trust keys.",
    Reason.UNAUTHORIZED.value: "The API key was missing or unknown in that version.",
    Reason.NO_ROUTE.value: "No route of that version matched the request.",
    Reason.NO_DOCUMENT.value: "The entry had no configuration yet.",
    Reason.DRAINING.value: "The entry was shutting down; it has not run.",
    Reason.CRASHES_UPSTREAMS.value: (
        "Its content crashed upstreams; it has not run. If what is quarantined begins "
        'with "part:", requests with those parts of its prompt did.'
    ),
    Reason.STREAM_VERSION_GONE.value: (
        "No upstream of the version that began its stream is left; it has not run."
    ),
    Reason.STREAM_VERSION_UNKNOWN.value: (
        "No entry knew which version began its stream; it has not run."
    ),
    Reason.ANSWER_INCOMPLETE.value: "It may have run, but no complete answer arrived.",
    Reason.DEADLINE_EXPIRED.value: "The deadline expired; an upstream may have run it.",
    Reason.DEADLINE_UNREACHABLE.value: "Time ran out in the queue; it has not run.",
    Reason.BAD_REQUEST.value: "The request could not be understood; it has not run.",
    Reason.BODY_TOO_LARGE.value: "The body was too large; it has not run.",
    Reason.BODY_TIMEOUT.value: "The body arrived too slowly; it has not run.",
}


@attrs.frozen(kw_only=True)
class LogLine:
    """A log line; `at_s` is Unix time in seconds by the clock of its machine."""

    daemon: str
    message: str
    at_s: float
    fields: dict


@attrs.frozen(kw_only=True)
class Explanation:
    """A request's log line, its meaning, and the lines that may explain it."""

    line: LogLine
    meaning: str
    around: tuple[LogLine, ...]


@attrs.frozen(kw_only=True)
class ParsedLogs:
    """The parsed log lines; `skipped` counts the lines without a log record."""

    lines: tuple[LogLine, ...]
    skipped: int


def parse_logs(texts: Iterable[str]) -> ParsedLogs:
    """Parse the lines of any number of files and sort them by time.

    Text before the first brace of a line is ignored: log collectors put names and
    times there.
    """
    lines, skipped = [], 0
    for text in texts:
        line = _parse_line(text)
        if line is None:
            skipped += bool(text.strip())
        else:
            lines.append(line)
    lines.sort(key=lambda line: line.at_s)
    return ParsedLogs(lines=tuple(lines), skipped=skipped)


def _parse_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        at = datetime.datetime.fromisoformat(fields["time"])
        return LogLine(
            daemon=str(fields["daemon"]),
            message=str(fields["message"]),
            at_s=at.timestamp(),
            fields=fields,
        )
    except (LookupError, TypeError, ValueError):
        return None


def explain_request(logs: ParsedLogs, request_id: str) -> list[Explanation]:
    """Return an explanation for each log line of the request, in order of time.

    There is one line for each entry that handled it, or more if the caller reused
    the id. An entry that was still handling it past its deadline, and has no such line,
    has another one.
    """
    about = [line for line in logs.lines if line.fields.get("request") == request_id]
    ended = [line for line in about if line.message == REQUEST_MESSAGE]
    ended_at = {line.daemon for line in ended}
    held = [
        line
        for line in about
        if line.message == signals.OVERDUE and line.daemon not in ended_at
    ]
    return [_explain(line, logs) for line in sorted(ended + held, key=_at_s)]


def _at_s(line: LogLine) -> float:
    return line.at_s


def _explain(line: LogLine, logs: ParsedLogs) -> Explanation:
    arrived_s = line.at_s - (line.fields.get("whole_s") or 0.0)
    before = [
        each
        for each in logs.lines
        if each.daemon == line.daemon
        and each.message != REQUEST_MESSAGE
        and each.at_s <= line.at_s
    ]
    since_s = arrived_s - LOOKBACK_S
    earlier = [each for each in before if each.at_s < since_s]
    around = _last_statements(earlier, _upstreams_of(line))
    if line.fields.get("deferred"):
        around += _last_share_line(earlier, line.fields.get("customer"))
    if line.fields.get("spillover"):
        around = _last_spillover_lines(earlier) + around
    around = _last_store_lines(earlier) + around
    around += [each for each in before if each.at_s >= since_s]
    elsewhere = [*_content_lines(logs.lines, line), *_stream_lines(logs.lines, line)]
    around = [each for each in elsewhere if each not in around] + around
    if line.message == signals.OVERDUE:
        meaning = OVERDUE_MEANING
    else:
        outcome = str(line.fields.get("outcome"))
        meaning = MEANINGS.get(outcome, f"It ended as {outcome}.")
    if waits := line.fields.get("waits"):
        meaning += f" It waited for {'; then '.join(map(str, waits))}."
    meaning += take_up_text(line.fields)
    meaning += _proof_meaning(line.fields)
    if booking := line.fields.get("booking"):
        meaning += f" For its return: {booking}."
    if line.fields.get("deferred"):
        meaning += DEFERRED_MEANING
    return Explanation(line=line, meaning=meaning, around=tuple(around))


def _proof_meaning(fields: dict) -> str:
    """Return what a refusal says about whether its request ran, and by which proof."""
    findings = "; ".join(map(str, fields.get("findings") or ()))
    promise = PROMISES.get(str(fields.get("ran")), "")
    if not promise:
        return f" Found of its attempts: {findings}." if findings else ""
    return f" {promise}, since {findings or 'it was sent to no upstream'}."


def _upstreams_of(line: LogLine) -> set[str]:
    """Return the upstreams to which a request was sent, or for which it was not."""
    tried = (str(each).rpartition(":")[0] for each in line.fields.get("trail") or ())
    return {*tried, *(line.fields.get("held_back") or ())}


def _last_statements(lines: list[LogLine], upstreams: set[str]) -> list[LogLine]:
    """Return the last lines about what each of these upstreams said about itself."""
    last: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        upstream = line.fields.get("upstream")
        subject = STATEMENT_SUBJECTS.get(line.message)
        if subject is not None and upstream in upstreams:
            # Taken out first, so that the lines stay in the order of their times.
            last.pop((upstream, subject), None)
            last[upstream, subject] = line
    return list(last.values())


def _content_lines(lines: Iterable[LogLine], of: LogLine) -> list[LogLine]:
    """Return what any process has learned of crashes in which the content ran.

    Another entry may have seen the crashes that a request is refused for. If parts of
    its prompt are refused, those are the crashes in which requests with them ran.
    """
    content, parts = of.fields.get("content"), set(of.fields.get("parts") or ())
    if not content:
        return []
    before = [each for each in lines if each.at_s <= of.at_s]
    told = [
        each
        for each in before
        if each.message in CONTENT_MESSAGES
        and _is_cause_of(str(each.fields.get("content")), content, parts)
    ]
    causes = {content} | {str(each.fields.get("content")) for each in told}
    about = [
        each
        for each in before
        if each in told
        or (each.message == signals.ENDED and _ran_in(causes, each.fields))
    ]
    return about[-CONTENT_LINES_MAX:]


def _is_cause_of(cause: str, content: str, parts: set[str]) -> bool:
    """Return whether what was quarantined refuses this content with these parts."""
    bad_parts = signals.parts_of(cause)
    return bad_parts <= parts if bad_parts else cause == content


def _ran_in(causes: set[str], ended: dict) -> bool:
    """Return whether any cause was running in an upstream that ended."""
    shared = [set(each) for each in (ended.get("parts") or {}).values()]
    return bool(causes & set(ended.get("contents") or ())) or any(
        bad_parts and any(bad_parts <= each for each in shared)
        for bad_parts in map(signals.parts_of, causes)
    )


def _stream_lines(lines: Iterable[LogLine], of: LogLine) -> list[LogLine]:
    """Return the requests of the other attempts at the same stream, of any process."""
    attempt_id = of.fields.get("request")
    first_id = of.fields.get("resumes") or attempt_id
    return [
        each
        for each in lines
        if each.message == REQUEST_MESSAGE
        and each.fields.get("request") != attempt_id
        and first_id in (each.fields.get("request"), each.fields.get("resumes"))
    ]


def _last_share_line(lines: list[LogLine], customer: str | None) -> list[LogLine]:
    """Return the last line about whether a customer is limited by its share."""
    about = [
        line
        for line in lines
        if line.message in SHARE_MESSAGES and line.fields.get("customer") == customer
    ]
    return about[-1:]


def _last_store_lines(lines: list[LogLine]) -> list[LogLine]:
    """Return the last lines of each topic on the store and on what was read of it.

    What an entry knows may have been learned from a copy that the store came back from,
    or be as old as the last read that it could apply.
    """
    told = {
        signals.STORE_WENT_BACK: "copy",
        signals.UNSTORED_IN_FORCE: "unstored",
        signals.STORE_LOST: "reached",
        signals.STORE_REGAINED: "reached",
        signals.NOT_APPLIED: "applied",
        signals.APPLIED_AGAIN: "applied",
    }
    last = {
        (told[each.message], each.fields.get("topic")): each
        for each in lines
        if each.message in told
    }
    return sorted(last.values(), key=lambda each: each.at_s)


def _last_spillover_lines(lines: list[LogLine]) -> list[LogLine]:
    """Return the last line of each service on whether its requests spill over."""
    told = (signals.SPILLOVER_BEGAN, signals.SPILLOVER_ENDED)
    last = {each.fields.get("service"): each for each in lines if each.message in told}
    return sorted(last.values(), key=lambda each: each.at_s)
