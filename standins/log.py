"""A stand-in for the platform's log service, kept in memory.

Modes: `up`; `down` refuses everything; `lose_answers` appends and then cuts the
connection; `cut` cuts before appending; `stuck` holds requests until the mode
changes.
"""

import base64
import bisect
import itertools
import threading
import time
from collections import deque

import attrs

from standins import server
from standins.server import Cut, Reply, Request, json_reply

PAGE_BYTES_MAX = 4 * 1024 * 1024
REFUSED = {"appended": False}


@attrs.frozen(kw_only=True)
class Faults:
    """What a test may set; `appends_max` in a window of 0 means no limit."""

    mode: str = "up"
    delay_s: float = 0.0
    appends_max: int = 0
    appends_window_s: float = 1.0
    keep_records: int = 1_000_000
    keep_s: float = 1e9
    streams: list[str] = attrs.field(factory=list)  # modes hold here; all if empty


@attrs.frozen(kw_only=True)
class Kept:
    """A record and when it was appended."""

    offset: int
    stream: str
    record_id: str
    payload: str
    at_s: float


def small_enough(records: list[Kept]) -> list[Kept]:
    """Return the leading records that fit a page, at least one."""
    sizes = itertools.accumulate(len(each.payload) for each in records)
    fitting = sum(1 for size in sizes if size <= PAGE_BYTES_MAX)
    return records[: max(1, fitting)]


class LogStandIn:
    """The records, oldest first, and what the faults make of requests."""

    def __init__(self, *, faults: str):
        self._lock = threading.Lock()
        self._records: deque[Kept] = deque()
        self._streams: dict[str, list[Kept]] = {}
        self._end_offset = 1
        self._append_times: deque[float] = deque()
        self._requests = {"append": 0, "read": 0}
        self._faults = server.Faults(kind=Faults, initial=faults)

    def handle(self, request: Request) -> Reply | None:
        """Answer one request."""
        parts = request.path.strip("/").split("/")
        if parts == ["control"]:
            return self._faults.handle(request)
        if parts == ["control", "counts"]:
            return json_reply(self._requests | {"end_offset": self._end_offset})
        if parts == ["control", "corrupt"]:
            return self._inject(request.json())
        if len(parts) != 3 or parts[0] != "streams" or parts[2] != "records":
            return json_reply({"error": "no such path"}, 404)
        return self._with_faults(request, parts[1])

    def _with_faults(self, request: Request, stream: str) -> Reply:
        faults = self._faults.now
        appends = request.method == "POST"
        mode = faults.mode if stream in (faults.streams or [stream]) else "up"
        if mode == "stuck":
            server.wait_while(lambda: self._faults.now.mode == "stuck")
        time.sleep(faults.delay_s)
        if mode == "cut":
            raise Cut
        if mode == "down" or (appends and self._too_many(faults)):
            return json_reply(REFUSED, 503 if mode == "down" else 429)
        if not appends:
            return self._read(request, stream)
        offset = self._append(
            stream,
            request.headers.get("x-record-id", ""),
            base64.b64encode(request.body).decode(),
        )
        if mode == "lose_answers":
            raise Cut
        return json_reply({"offset": offset}, 201)

    def _too_many(self, faults: Faults) -> bool:
        now_s = time.monotonic()
        oldest_s = now_s - faults.appends_window_s
        with self._lock:
            while self._append_times and self._append_times[0] < oldest_s:
                self._append_times.popleft()
            if 0 < faults.appends_max <= len(self._append_times):
                return True
            self._append_times.append(now_s)
        return False

    def _append(self, stream: str, record_id: str, payload: str) -> int:
        with self._lock:
            kept = Kept(
                offset=self._end_offset,
                stream=stream,
                record_id=record_id,
                payload=payload,
                at_s=time.monotonic(),
            )
            self._requests["append"] += 1
            self._end_offset += 1
            self._records.append(kept)
            self._streams.setdefault(stream, []).append(kept)
            return kept.offset

    def _inject(self, wanted: dict) -> Reply:
        """Append a record that can't be read: its payload isn't base64."""
        offset = self._append(wanted["stream"], "corrupt", "*not base64*")
        return json_reply({"offset": offset}, 201)

    def _drop_old(self) -> None:
        faults = self._faults.now
        too_old_s = time.monotonic() - faults.keep_s
        while self._records and (
            len(self._records) > faults.keep_records
            or self._records[0].at_s < too_old_s
        ):
            dropped = self._records.popleft()
            self._streams[dropped.stream].remove(dropped)

    def _read(self, request: Request, stream: str) -> Reply:
        offset = request.number("offset", 1)
        limit = request.number("limit", 500)
        with self._lock:
            self._requests["read"] += 1
            self._drop_old()
            kept = self._streams.get(stream, [])
            first = bisect.bisect_left(kept, offset, key=lambda each: each.offset)
            page = small_enough(kept[first : first + limit])
            more = first + len(page) < len(kept)
            end_offset = self._end_offset
            oldest = self._records[0].offset if self._records else end_offset
        return json_reply(
            {
                "records": [
                    {
                        "offset": each.offset,
                        "record_id": each.record_id,
                        "payload": each.payload,
                    }
                    for each in page
                ],
                "next_offset": page[-1].offset + 1 if more else end_offset,
                "end_offset": end_offset,
                "oldest_offset": oldest,
            }
        )


if __name__ == "__main__":
    options = server.parser(__doc__).parse_args()
    server.serve(options, LogStandIn(faults=options.faults).handle)
