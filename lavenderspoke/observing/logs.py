"""The daemons' logs: one JSON object a line."""

import json
import queue
import re
import sys
import threading
from typing import TextIO

import logbook

SECRET_FIELDS = re.compile(r"authorization|credential|token$|secret|password", re.I)
SECRET_TEXT = re.compile(r"\b(bearer|basic)\s+[^\s\"',]+", re.I)
REDACTED = "[redacted]"
# Lines that wait to be written: a few seconds' worth at the highest load of one
# entry, and some two megabytes.
LINES_MAX = 4096


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


class BoundedStream:
    """A stream that never keeps its writers waiting.

    Lines go through a bounded queue to a thread that writes them. When the reader
    of the daemon's output stalls, the pipe fills and a write blocks: were that on a
    request's thread, every request would stop with it. Lines that find the queue
    full are left out, and how many is said once there is room again.
    """

    def __init__(self, stream: TextIO, *, lines_max: int = LINES_MAX):
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(lines_max)
        self._lock = threading.Lock()
        self._left_out = 0
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def write(self, line: str) -> None:
        """Queue a line, or leave it out."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            with self._lock:
                self._left_out += 1

    def flush(self) -> None:
        """Lines are flushed as they are written."""

    def drain(self, timeout_s: float) -> None:
        """Wait until what is queued has been written, but no longer."""
        # `Queue.join` with a time limit. A thread that joins could be refused by the
        # system, and the process waits for this before it ends.
        with self._lines.all_tasks_done:
            self._lines.all_tasks_done.wait_for(
                lambda: not self._lines.unfinished_tasks, timeout_s
            )

    def _run(self) -> None:
        while True:
            line = self._lines.get()
            try:
                self._stream.write(self._note() + line)
                self._stream.flush()
            except (OSError, ValueError):
                # The reader has gone: there is nobody left to tell.
                return
            finally:
                self._lines.task_done()

    def _note(self) -> str:
        with self._lock:
            left_out, self._left_out = self._left_out, 0
        if not left_out:
            return ""
        return json.dumps({"message": "lines left out", "count": left_out}) + "\n"
