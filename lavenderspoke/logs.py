"""The daemons' logs: one JSON object a line."""

import json
import re
import sys
from typing import TextIO

import logbook

SECRET_FIELDS = re.compile(r"authorization|credential|token$|secret|password", re.I)
SECRET_TEXT = re.compile(r"\b(bearer|basic)\s+[^\s\"',]+", re.I)
REDACTED = "[redacted]"


def redact(value, field: str = ""):
    """Return the value without credentials, for a field of that name.

    >>> redact("Authorization: Bearer abc123")
    'Authorization: Bearer [redacted]'
    """
    if SECRET_FIELDS.search(field):
        return REDACTED
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, bytes):
        return redact(value.decode("latin-1"))
    if isinstance(value, dict):
        return {str(name): redact(each, str(name)) for name, each in value.items()}
    if _is_header(value):
        return [value[0], redact(value[1], value[0])]
    if isinstance(value, (list, tuple)):
        return [redact(each) for each in value]
    return SECRET_TEXT.sub(rf"\1 {REDACTED}", str(value))


def _is_header(value) -> bool:
    return isinstance(value, tuple) and len(value) == 2 and isinstance(value[0], str)


class JsonLinesHandler(logbook.Handler):
    """A handler that writes each record as one line of JSON.

    Extra fields are the keyword arguments of the call that logged, so
    `log.info("started", port=80)` gives a field `port`. Every field passes
    through `redact`.
    """

    def __init__(self, *, daemon: str, stream: TextIO | None = None, level="INFO"):
        super().__init__(level=logbook.lookup_level(level))
        self._daemon = daemon
        self._stream = stream or sys.stderr

    def emit(self, record: logbook.LogRecord) -> None:
        line = {
            "time": record.time.isoformat() + "Z",
            "level": record.level_name.lower(),
            "daemon": self._daemon,
            "logger": record.channel,
            "message": redact(record.message),
        }
        for name, value in record.kwargs.items():
            line.setdefault(name, redact(value, name))
        if record.exc_info:
            line["traceback"] = redact(record.formatted_exception)
        # One write a line, so that lines of several threads don't mix.
        self._stream.write(json.dumps(line) + "\n")
        self._stream.flush()
