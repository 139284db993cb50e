"""A stand-in for a plain service, such as one that takes payments.

It echoes what it is sent and counts each run, with its own faults: `refuse`
cuts before the request takes effect, `lose_answers` after, `cut_body` in the
middle of the answer. `unframed` sends it with neither length nor chunks, and
`reset_unframed` resets the connection in the middle of that. `events`,
`half_event` and `no_event` send an event stream in its place, unframed too.
"""

import json
import os
import time

import attrs

from standins import server
from standins.counts import RunCounts
from standins.server import Cut, Reply, Request, json_reply

CRASH_STATUS = 9
EVENT_STREAM = "text/event-stream"
STREAMS = {
    "events": b"data: a\n\ndata: b\n\n",
    "half_event": b"data: a\n\ndata:",
    "no_event": b"",
}


@attrs.frozen(kw_only=True)
class Faults:
    """What a test may set; a body with `crash_marker` crashes the service."""

    mode: str = "up"
    delay_s: float = 0.0
    crash_marker: str = ""


class Plain:
    """Answers the plain service's requests."""

    def __init__(self, *, faults: str, counts_file: str | None):
        self._faults = server.Faults(kind=Faults, initial=faults)
        self._counts = RunCounts(path=counts_file)

    def handle(self, request: Request) -> Reply | None:
        """Answer one request."""
        if request.path == "/control":
            return self._faults.handle(request)
        if request.path == "/control/counts":
            return json_reply(self._counts.report())
        if request.path == "/health":
            return json_reply({"status": "ok"})
        faults = self._faults.now
        if faults.mode == "refuse":
            raise Cut
        reply = self._take_effect(request, faults)
        if faults.mode == "lose_answers":
            raise Cut
        if faults.mode == "cut_body":
            server.start_answer(request, reply, length=len(reply.body))
            request.http.write(reply.body[: len(reply.body) // 2])
            raise Cut
        if faults.mode in ("unframed", "reset_unframed"):
            self._send_unframed(request, reply, is_reset=faults.mode != "unframed")
            return None
        if faults.mode in STREAMS:
            stream = Reply(body=STREAMS[faults.mode], content_type=EVENT_STREAM)
            self._send_unframed(request, stream)
            return None
        return reply

    def _send_unframed(
        self, request: Request, reply: Reply, *, is_reset: bool = False
    ) -> None:
        server.start_unframed(request, reply)
        if is_reset:
            request.http.write(reply.body[: len(reply.body) // 2])
            server.reset(request)
            raise Cut
        if request.method != "HEAD":
            request.http.write(reply.body)

    def _take_effect(self, request: Request, faults: Faults) -> Reply:
        body = request.body.decode("latin-1")
        self._counts.add(
            request_id=request.headers.get("x-request-id", ""),
            key=request.headers.get("idempotency-key", ""),
            body=body,
        )
        if faults.crash_marker and faults.crash_marker in body:
            os._exit(CRASH_STATUS)
        time.sleep(faults.delay_s)
        echo = {
            "method": request.method,
            "path": request.path,
            "query": request.query,
            "headers": request.headers,
            "body": body,
        }
        return Reply(body=json.dumps(echo).encode())


def main() -> None:
    """Read the options and serve."""
    parser = server.parser(__doc__)
    parser.add_argument("--counts-file", help="where counts outlive a crash")
    options = parser.parse_args()
    plain = Plain(faults=options.faults, counts_file=options.counts_file)
    server.serve(options, plain.handle)


if __name__ == "__main__":
    main()
