"""The count of runs, the ground truth of every proof.

Counts are written to a file, one line a run, before the run begins, so that
they outlive a crash of the stand-in.
"""

import json
import os
import threading
from collections import Counter


class RunCounts:
    """Counts runs by request id, by key, and by body.

    >>> counts = RunCounts()
    >>> counts.add(request_id="r1", key="k1", body="pay 3")
    >>> counts.runs["r1"], counts.keys["k1"]
    (1, 1)
    """

    def __init__(self, *, path: str | None = None):
        self.runs: Counter[str] = Counter()
        self.keys: Counter[str] = Counter()
        self.bodies: Counter[str] = Counter()
        self._lock = threading.Lock()
        self._file = None
        if path:
            self._replay(path)
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._file = os.open(path, flags, 0o600)

    def add(self, *, request_id: str, key: str, body: str = "") -> None:
        """Count a run that is about to begin."""
        with self._lock:
            self._count(request_id, key, body)
            if self._file is not None:
                line = json.dumps([request_id, key, body]) + "\n"
                os.write(self._file, line.encode())

    def report(self) -> dict:
        """Return all counts as plain data."""
        with self._lock:
            return {
                "runs": dict(self.runs),
                "keys": dict(self.keys),
                "bodies": dict(self.bodies),
            }

    def _count(self, request_id: str, key: str, body: str) -> None:
        self.runs[request_id] += 1
        if key:
            self.keys[key] += 1
        if body:
            self.bodies[body] += 1

    def _replay(self, path: str) -> None:
        if os.path.exists(path):
            with open(path) as lines:
                for line in lines:
                    self._count(*json.loads(line))
