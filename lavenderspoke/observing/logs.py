"""The daemons' logs: one JSON object per line."""

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
# Maximum number of queued lines: a few seconds' output at the highest load of one
# entry, about two megabytes.
QUEUED_LINES_MAX = 4096
# Maximum length of all queued lines, in characters.
QUEUED_LENGTH_MAX = 4 * 1024 * 1024
# Maximum length of a text in a field: clients choose some of them.
TEXT_LENGTH_MAX = 2000


def redact(value, field: str = ""):
    """Return the value with credentials replaced; `field` is the name of its field.

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
    text = _redact_text(str(value))
    return text if len(text) <= TEXT_LENGTH_MAX else text[:TEXT_LENGTH_MAX] + "..."


def _redact_text(text: str) -> str:
    return SECRET_TEXT.sub(rf"\1 {REDACTED}", text)


def _is_header(value) -> bool:
    return isinstance(value, tuple) and len(value) == 2 and isinstance(value[0], str)


class JsonLinesHandler(logbook.Handler):
    """A log handler that writes each record as one line of JSON.

    The keyword arguments of the log call become fields, so
    `log.info("started", port=80)` adds a field `port`. Every field passes
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
            line["traceback"] = _redact_text(record.formatted_exception)
        # One write per line, so that the output of several threads isn't interleaved.
        self._stream.write(json.dumps(line) + "\n")
        self._stream.flush()


class BoundedStream:
    """A stream whose writers never block.

    Lines go through a bounded queue to a thread that writes them. If the reader of
    the daemon's output stalls, the pipe fills and writes block: on a request's
    thread, that would stop all requests. Lines are dropped while the queue is full,
    and their number is logged once there is space again.
    """

    def __init__(self, stream: TextIO, *, lines_max: int = QUEUED_LINES_MAX):
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(lines_max)
        self._lock = threading.Lock()
        self._dropped = 0
        self._length = 0
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def write(self, line: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        with self._lock:
            try:
                if self._length + len(line) > QUEUED_LENGTH_MAX:
                    raise queue.Full
                self._lines.put_nowait(line)
                self._length += len(line)
            except queue.Full:
                self._dropped += 1

    def flush(self) -> None:
        """Do nothing: the thread flushes each line that it writes."""

    def drain(self, timeout_s: float) -> None:
        """Wait until all queued lines are written, for at most `timeout_s`."""
        # `Queue.join` with a timeout. A helper thread that joins isn't an option: the
        # system may refuse to start it, and the process waits for this before it exits.
        with self._lines.all_tasks_done:
            self._lines.all_tasks_done.wait_for(
                lambda: not self._lines.unfinished_tasks, timeout_s
            )

    def _run(self) -> None:
        while True:
            line = self._lines.get()
            with self._lock:
                self._length -= len(line)
            try:
                self._stream.write(self._drop_notice() + line)
                self._stream.flush()
            except (OSError, ValueError):
                # The reader has closed the stream, so nobody can receive an error.
                return
            finally:
                self._lines.task_done()

    def _drop_notice(self) -> str:
        with self._lock:
            dropped, self._dropped = self._dropped, 0
        if not dropped:
            return ""
        return json.dumps({"message": "lines left out", "count": dropped}) + "\n"
