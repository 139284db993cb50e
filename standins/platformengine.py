"""A stand-in for an upstream of the users' platform.

It works on `slots` requests at once and queues as many again, echoes the id of
each attempt, signs its answers, and refuses what names another incarnation.
`GET /control/runs` tells which attempts ran and how they ended, and
`GET /control/arrivals` which requests arrived, `GET /control/refusals` which ones
`refuses` turned away, and `GET /control/unproven` those of them that were refused
without a word on whether they ran.

`POST /v1/hold-take` reserves one of the slots for `ttl-ms`.
`POST /stream/...` answers with `events` events of server-sent events; any other
path answers with a short body.
"""

import argparse
import itertools
import json
import os
import pathlib
import signal
import threading
import time

import attrs

from standins import copies, endless, server
from standins.copies import Copies
from standins.kept import Kept
from standins.refusals import RefusalFaults, Refusals
from standins.server import Cut, Reply, Request, json_reply
from standins.signals import Arrivals

ID = "x-attempt-id"
EXPECTED = "x-expect-instance"
LAST_EVENT = "last-event-id"
PARTS = "x-prefix-hash"
# What control requests tell of the requests, also of those before a crash.
SEEN = ("runs", "arrivals", "refusals")
# Characters of a request's body that are kept of its run.
KEPT_BODY_LENGTH = 64 * 1024


@attrs.frozen(kw_only=True)
class Faults(RefusalFaults):
    """What a test may set; -1 stands for "never".

    `cut_after_events` cuts a stream in the middle of the next event, but not one
    that was resumed. If it `ends_properly`, all that its framing asks for follows.
    Events name the `software` version, if there is one.
    `framing` is what ends answers: "length", "chunks" or "connection"; by default a
    length for plain answers and chunks for streams. If it `resets`, its cuts reset
    their connections, also those of answers that end with them.
    Plain answers have at least `answer_bytes`.
    `wrong_id` echoes another attempt's id. `truncate` ends a plain answer early.
    `status` is the status of plain answers. `unsigned` leaves the signature out.
    A request whose body has the `crash_marker`, or whose prompt has the `crash_part`
    before its last part, ends the process as its work begins, or after
    `crash_after_events` events of its stream, or half of its plain answer; if it
    `crashes_silently`, the process stops instead, and its connections stay open. If its
    machine `closes_in_order`, an answer that ends with its connection isn't reset.
    `mute` runs and never answers. `silent` holds all runs where they are, and lets
    them go on when it ends. `crash` refuses everything, as if it had died.
    `endless` names one of `standins.endless.PLACES`, at which answers go on until their
    callers close, with `endless_gap_s` between two writes, at once if that is 0.
    `incarnation` is added to its id, as after a restart.
    """

    event_s: float = 0.01
    events: int = 5
    software: str = ""
    work_s: float = 0.01
    cut_after_events: int = -1
    ends_properly: bool = False
    framing: str = ""
    answer_bytes: int = 0
    resets: bool = False
    wrong_id: bool = False
    truncate: bool = False
    unsigned: bool = False
    mute: bool = False
    silent: bool = False
    crash: bool = False
    crash_marker: str = ""
    crash_part: str = ""
    crash_after_events: int = 0
    crashes_silently: bool = False
    closes_in_order: bool = False
    full: bool = False
    status: int = 200
    endless: str = ""
    endless_gap_s: float = 0.1
    incarnation: str = ""


@attrs.define(kw_only=True)
class _Run:
    """Times are on the steady clock, which all processes of a machine share."""

    attempt_id: str
    began_s: float
    headers: dict[str, str]
    method: str
    target: str
    body: str
    body_bytes: int
    # The version that writes its events, also if another one replaces it meanwhile.
    software: str
    end: str = "running"
    ended_s: float | None = None
    signed_status: int | None = None


class Upstream:
    """Answers the upstream's requests."""

    def __init__(self, *, options: argparse.Namespace):
        self._upstream_id = options.upstream_id
        self._faults = server.Faults(kind=Faults, initial=options.faults)
        self._slots = threading.Semaphore(options.slots)
        self._lock = threading.RLock()
        self._runs: list[_Run] = []
        self._arrivals = Arrivals()
        self._kept = Kept(options.kept_file)
        self._copied = Copies()
        self._refusals = Refusals(self._copied)
        self._reserved: set[str] = set()
        self._numbers = itertools.count(1)

    def handle(self, request: Request) -> Reply | None:
        """Answer one request."""
        seen = request.path.removeprefix("/control/")
        if seen in SEEN:
            return json_reply(self._kept.with_now(seen, self._seen()[seen]))
        if request.path == "/control/unproven":
            return json_reply(self._refusals.unproven())
        if request.path.startswith("/control"):
            return self._faults.handle(request)
        faults = self._faults.now
        if faults.crash:
            raise Cut
        if request.headers.get(EXPECTED) != self._upstream_id + faults.incarnation:
            return attrs.evolve(
                json_reply({}, 421),
                headers=(("X-Attempt-Id", request.headers.get(ID, "")),),
            )
        self._arrivals.record(request.headers.get(ID, ""), faults)
        if request.path == "/v1/hold-take":
            return self._reserve(request)
        if faults.full or faults.retry_after:
            return self._refuse(request)
        if not faults.refuses_after_run and self._refusals.is_due(faults):
            self._refusals.answer(request, request.headers.get(ID, ""), faults)
            return None
        if faults.endless == "refusal":
            own_id = ("X-Attempt-Id", request.headers.get(ID, ""))
            return self._answer_endlessly(request, [("X-Not-Executed", "1"), own_id])
        # The slot of a reservation is free again at once, and taken by its request.
        self._release(request.headers.get("x-kv-retention", ""))
        with self._slots:
            return self._run(request, faults.software)

    def _seen(self) -> dict[str, list[dict]]:
        with self._lock:
            runs = [attrs.asdict(run) for run in self._runs]
        reports = (runs, self._arrivals.report(), self._refusals.report())
        return dict(zip(SEEN, reports, strict=True))

    def _current_id(self) -> str:
        return self._upstream_id + self._faults.now.incarnation

    def _reserve(self, request: Request) -> Reply:
        signals = self._faults.now.signals()
        refuses = self._faults.now.full or self._faults.now.retry_after
        if refuses or not self._slots.acquire(blocking=False):
            return attrs.evolve(json_reply({}, 503), headers=signals)
        name = f"r{next(self._numbers)}"
        with self._lock:
            self._reserved.add(name)
        ttl_s = json.loads(request.body)["ttl-ms"] / 1000
        threading.Timer(ttl_s, self._release, [name]).start()
        return attrs.evolve(json_reply({"retention": name}), headers=signals)

    def _release(self, name: str) -> None:
        with self._lock:
            if name not in self._reserved:
                return
            self._reserved.remove(name)
        self._slots.release()

    def _refuse(self, request: Request) -> None:
        headers = (
            ("X-Not-Executed", "1"),
            ("X-Attempt-Id", request.headers.get(ID, "")),
        )
        self._start(request, 503, *headers, length=0, framing="length")

    def _run(self, request: Request, software: str) -> None:
        run = _Run(
            attempt_id=request.headers[ID],
            began_s=time.monotonic(),
            headers=request.headers,
            method=request.method,
            target=request.http.uri.decode(),
            body=request.body[:KEPT_BODY_LENGTH].decode("latin-1"),
            body_bytes=len(request.body),
            software=software,
        )
        with self._lock:
            self._runs.append(run)
        try:
            self._answer(request, run)
        finally:
            run.ended_s = time.monotonic()

    def _answer(self, request: Request, run: _Run) -> None:
        run.end = "broken"
        if self._is_fatal(run) and not self._faults.now.crash_after_events:
            self._crash()
        if self._faults.now.mute:
            server.wait_while(
                lambda: self._faults.now.mute and not server.caller_gone(request)
            )
            raise Cut
        if self._faults.now.endless:
            run.end = "endless"
            self._answer_endlessly(request, self._signed(run, 200))
        if request.path.startswith("/stream"):
            self._stream(request, run)
        else:
            self._plain(request, run)

    def _answer_endlessly(
        self, request: Request, headers: list[tuple[str, str]]
    ) -> None:
        faults = self._faults.now
        endless.answer(
            request,
            endless.PLACES[faults.endless],
            headers=headers,
            gap_s=faults.endless_gap_s,
        )
        raise Cut

    def _plain(self, request: Request, run: _Run) -> None:
        faults = self._faults.now
        if not self._work(request, run, faults.work_s):
            raise Cut
        if self._turned_away(request, run):
            return
        body = f"answer to {run.attempt_id}".encode().ljust(faults.answer_bytes, b".")
        headers = self._signed(run, faults.status)
        with self._copied.writing(request):
            self._start(
                request,
                faults.status,
                *headers,
                length=len(body),
                framing=faults.framing or "length",
            )
            if request.method == "HEAD":
                run.end = "whole"
                return
            if faults.truncate:
                request.http.write(body[:-3])
                self._cut(request)
            if self._is_fatal(run):
                request.http.write(body[: len(body) // 2])
                self._crash()
            request.http.write(body)
        server.set_reset_on_exit(request, False)
        run.end = "whole"
        self._copy(request, faults.status, headers, body)

    def _turned_away(self, request: Request, run: _Run) -> bool:
        """Refuse a request that has run, or lose its answer, if either is wanted."""
        faults = self._faults.now
        if faults.refuses_after_run and self._refusals.is_due(faults):
            run.end = "refused"
            self._refusals.answer(request, run.attempt_id, faults)
            return True
        if self._refusals.is_lost(faults):
            run.end = "lost"
            if faults.loses == "reset":
                server.reset(request)
            raise Cut
        return False

    def _copy(
        self,
        request: Request,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send an answer again later on, if that is wanted."""
        faults = self._faults.now
        if faults.copies_answers and faults.copied_after_s > 0.0:
            copy = copies.whole(status, headers, body)
            self._copied.send_later(request, copy, faults.copied_after_s)

    def _stream(self, request: Request, run: _Run) -> None:
        if self._turned_away(request, run):
            return
        faults = self._faults.now
        after = int(request.headers.get(LAST_EVENT, -1))
        numbers = range(after + 1, faults.events)
        headers = [*self._signed(run, 200), ("Content-Type", "text/event-stream")]
        with self._copied.writing(request):
            self._start(
                request,
                200,
                *headers,
                length=self._stream_bytes(numbers, after, run.software),
                framing=faults.framing or "chunks",
            )
            if not self._events(request, run, numbers, after):
                return
        server.set_reset_on_exit(request, False)
        run.end = "whole"
        body = b"".join(_event(number, run.software) for number in numbers)
        self._copy(request, 200, headers, body)

    def _events(self, request: Request, run: _Run, numbers: range, after: int) -> bool:
        """Send a stream's events; return False if it ended early, but properly."""
        faults = self._faults.now
        for number in numbers:
            if not self._work(request, run, faults.event_s):
                raise Cut
            if self._is_fatal(run) and number >= faults.crash_after_events:
                self._crash()
            event = _event(number, run.software)
            if after < 0 and number == faults.cut_after_events:
                request.http.write(event[:-4])
                if faults.ends_properly:
                    server.set_reset_on_exit(request, False)
                    return False
                self._cut(request)
            request.http.write(event)
        return True

    def _stream_bytes(self, numbers: range, after: int, software: str) -> int:
        """Return how long a stream is, which a proper end cuts short."""
        faults = self._faults.now
        events = [_event(number, software) for number in numbers]
        if after < 0 and faults.ends_properly and 0 <= faults.cut_after_events:
            events = events[: faults.cut_after_events + 1]
            events[-1] = events[-1][:-4]
        return sum(map(len, events))

    def _is_fatal(self, run: _Run) -> bool:
        faults = self._faults.now
        parts = [
            each.partition(":")[0] for each in run.headers.get(PARTS, "").split(",")
        ]
        has_part = bool(faults.crash_part) and faults.crash_part in parts[:-1]
        return has_part or bool(faults.crash_marker) and faults.crash_marker in run.body

    def _crash(self) -> None:
        """End or stop the process at once, as an engine does that crashes."""
        if self._faults.now.crashes_silently:
            os.kill(os.getpid(), signal.SIGSTOP)
        else:
            # Nothing begins or is signed between the two: it would be forgotten.
            with self._lock:
                self._kept.save(**self._seen())
                os._exit(1)

    def _cut(self, request: Request) -> None:
        """End the connection in the middle of an answer."""
        server.set_reset_on_exit(request, False)
        if self._faults.now.resets:
            server.reset(request)
        raise Cut

    def _work(self, request: Request, run: _Run, work_s: float) -> bool:
        """Work for so long; return False when the caller has gone."""
        until_s = time.monotonic() + work_s
        while time.monotonic() < until_s or self._faults.now.silent:
            if server.caller_gone(request):
                run.end = "cancelled"
                return False
            time.sleep(min(0.005, work_s))
        return True

    def _signed(self, run: _Run, status: int) -> list[tuple[str, str]]:
        faults = self._faults.now
        if not faults.unsigned:
            with self._lock:
                run.signed_status = status
        echoed = "another" if faults.wrong_id else run.attempt_id
        headers = [("X-Attempt-Id", echoed), ("X-Instance-Id", self._current_id())]
        if not faults.unsigned:
            headers.append(("X-Response-Signature", f"signed.{run.attempt_id}"))
        return headers

    def _start(
        self, request: Request, status: int, *headers, length: int, framing: str
    ) -> None:
        http = request.http
        headers = (*headers, *self._faults.now.signals())
        http.status = f"{status} Said".encode()
        http.outheaders = [(n.encode(), v.encode()) for n, v in headers]
        if framing == "length":
            http.outheaders.append((b"Content-Length", str(length).encode()))
        elif framing == "connection":
            # The server adds no chunks to an answer for HTTP/1.0, and closes after it.
            http.response_protocol = "HTTP/1.0"
            faults = self._faults.now
            if faults.crash_marker and not faults.closes_in_order:
                server.set_reset_on_exit(request, True)
        http.ensure_headers_sent()


def _event(number: int, software: str) -> bytes:
    data = f"piece {number} {software}".rstrip()
    return f"id: {number}\ndata: {data}\n\n".encode()


def main() -> None:
    """Serve until the process is ended."""
    parser = server.parser(__doc__)
    parser.add_argument("--upstream-id", required=True)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument(
        "--kept-file", type=pathlib.Path, help="keeps what was seen before a crash"
    )
    options = parser.parse_args()
    server.serve(options, Upstream(options=options).handle)


if __name__ == "__main__":
    main()
