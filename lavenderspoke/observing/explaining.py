"""Tells one request's story from the log lines of several processes.

A request's line says what became of it; what explains it stands in other lines of
the same process shortly before: a store that was lost, an upstream that left, a
stop. Lines may be cut, foreign, or out of order: files are read as they are found.
"""

import datetime
import json
from collections.abc import Iterable

import attrs

from lavenderspoke.problems import Reason

REQUEST = "request"
# How long before a request's arrival a line may still explain it, in seconds: keys
# are honoured for some five seconds after the last read of the store.
BEFORE_S = 10.0

MEANINGS = {
    "whole": "The upstream's answer went to the caller whole.",
    "broken": "The answer broke off after it had begun; the caller saw that.",
    Reason.CALLER_GONE.value: "The caller left before the end; work was cancelled.",
    Reason.NO_ROOM.value: "No upstream had a place in time; it has not run.",
    Reason.NO_UPSTREAM.value: "No upstream of the service was known; it has not run.",
    Reason.CUSTOMER_LIMIT.value: "Its customer was over its limit; it has not run.",
    Reason.KEYS_STALE.value: "The store was out of reach for too long to trust keys.",
    Reason.UNAUTHORIZED.value: "The key was missing or unknown in that version.",
    Reason.NO_ROUTE.value: "No route of that version leads there.",
    Reason.NO_DOCUMENT.value: "The entry had no configuration yet.",
    Reason.DRAINING.value: "The entry was stopping; it has not run.",
    Reason.CRASHES_UPSTREAMS.value: "Its content crashed upstreams; it has not run.",
    Reason.ANSWER_INCOMPLETE.value: "It may have run, and no whole answer came.",
    Reason.DEADLINE_EXPIRED.value: "Time ran out; an upstream may have run it.",
    Reason.DEADLINE_UNREACHABLE.value: "Time ran out in line; it has not run.",
    Reason.BAD_REQUEST.value: "The request could not be understood; it has not run.",
    Reason.BODY_TOO_LARGE.value: "The body was too long; it has not run.",
    Reason.BODY_TIMEOUT.value: "The body came too slowly; it has not run.",
}


@attrs.frozen(kw_only=True)
class LogLine:
    """A log line; `at_s` is seconds since 1970 by the clock of its machine."""

    daemon: str
    message: str
    at_s: float
    fields: dict


@attrs.frozen(kw_only=True)
class Explanation:
    """A request's own line, what it means, and the lines that may explain it."""

    line: LogLine
    meaning: str
    around: tuple[LogLine, ...]


@attrs.frozen(kw_only=True)
class ParsedLogs:
    """What was read; `skipped` counts lines that hold no log record."""

    lines: tuple[LogLine, ...]
    skipped: int


def parse_logs(texts: Iterable[str]) -> ParsedLogs:
    """Read the lines of any number of files.

    What stands before the record's first brace is left out: tools that gather logs
    put names and times there.
    """
    lines, skipped = [], 0
    for text in texts:
        line = _line(text)
        if line is None:
            skipped += bool(text.strip())
        else:
            lines.append(line)
    lines.sort(key=lambda line: line.at_s)
    return ParsedLogs(lines=tuple(lines), skipped=skipped)


def _line(text: str) -> LogLine | None:
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


def explain_request(lines: ParsedLogs, request_id: str) -> list[Explanation]:
    """Return the story of each line that this request has, in order of time.

    There is one for each entry that was asked; more than one for a caller that
    used an id again.
    """
    return [
        _story(line, lines)
        for line in lines.lines
        if line.message == REQUEST and line.fields.get("request") == request_id
    ]


def _story(line: LogLine, lines: ParsedLogs) -> Explanation:
    arrived_s = line.at_s - (line.fields.get("whole_s") or 0.0)
    around = [
        each
        for each in lines.lines
        if each.daemon == line.daemon
        and each.message != REQUEST
        and arrived_s - BEFORE_S <= each.at_s <= line.at_s
    ]
    outcome = str(line.fields.get("outcome"))
    meaning = MEANINGS.get(outcome, f"It ended as {outcome}.")
    return Explanation(line=line, meaning=meaning, around=tuple(around))
