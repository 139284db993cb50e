"""A stand-in for the users' platform's store: a log with keyed topics, in memory.

It serves reads that wait, newest records, appends (also those that name the offset they
expect), and what goes wrong with them. Modes: `up`; `down` answers 503; `reset` cuts;
`silent` answers nothing; `endless` sends a header without end, also once it is `up`
again; `lose` carries out and then cuts. `turned_away` answers some callers 503.
`forgotten_before` makes older reads fail as if the records had been dropped.

Each answer has the number of the store's copy. `POST /control/copy` keeps a copy of all
topics, and `POST /control/go-back` puts it in their place and raises the number by one.
"""

import base64
import struct
import threading
import time

import attrs

from standins import endless, server
from standins.server import Cut, Reply, Request, json_reply

LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
# The operator's own topics; the system may only read them.
OPERATOR_TOPICS = ("keyed.op", "keyed.servers")
OPERATOR_HEADER = "x-operator"
EPOCH_HEADER = "Store-Era"
POLL_S = 0.005
# A caller that is answered nothing is held for this long at most.
SILENCE_S = 30.0
ENDLESS_GAP_S = 0.1


@attrs.frozen(kw_only=True)
class Faults:
    """What a test may set."""

    mode: str = "up"
    delay_s: float = 0.0
    forgotten_before: int = 0
    # Sent in place of the copy's number, if set; "none" leaves it out.
    epoch: str = ""
    # The `host:port` at which those reach the store that are turned away.
    turned_away: tuple[str, ...] = ()
    # Whether what the system writes is turned away, while its reads are served.
    refuses_writes: bool = False


class StoreStandIn:
    """The topics and what the faults make of calls."""

    def __init__(self, *, faults: str):
        self._topics: dict[str, list[bytes]] = {}
        self._copy: dict[str, list[bytes]] = {}
        self._epoch = 1
        self._faults = server.Faults(kind=Faults, initial=faults)
        self._lock = threading.Lock()

    def handle(self, request: Request) -> Reply | None:
        """Answer one call."""
        if request.path == "/control/copy":
            with self._lock:
                self._copy = {key: list(held) for key, held in self._topics.items()}
            return json_reply({})
        if request.path == "/control/go-back":
            with self._lock:
                self._topics = {key: list(held) for key, held in self._copy.items()}
                self._epoch += 1
            return json_reply({"epoch": self._epoch})
        if request.path.startswith("/control"):
            return self._faults.handle(request)
        is_operator = OPERATOR_HEADER in request.headers
        if not is_operator:
            self._suffer(request)
        reply = self._call(request, is_operator)
        if self._faults.now.mode == "lose" and not is_operator:
            raise Cut
        epoch = self._faults.now.epoch or str(self._epoch)
        if epoch == "none":
            return reply
        return attrs.evolve(reply, headers=(*reply.headers, (EPOCH_HEADER, epoch)))

    def _suffer(self, request: Request) -> None:
        mode = self._faults.now.mode
        time.sleep(self._faults.now.delay_s)
        if mode == "reset":
            raise Cut
        if mode == "silent":
            until_s = time.monotonic() + SILENCE_S
            server.wait_while(
                lambda: self._faults.now.mode == "silent" and time.monotonic() < until_s
            )
            raise Cut
        if mode == "endless":
            place = endless.PLACES["one header"]
            endless.answer(request, place, headers=[], gap_s=ENDLESS_GAP_S)
            raise Cut

    def _call(self, request: Request, is_operator: bool) -> Reply:
        if self._is_away(request) and not is_operator:
            return json_reply({"reason": "down"}, 503)
        topic = request.query.get("topic", "")
        if request.path == "/v1/log-append":
            if topic in OPERATOR_TOPICS and not is_operator:
                return json_reply({"reason": "forbidden"}, 403)
            if self._faults.now.refuses_writes and not is_operator:
                return json_reply({"reason": "full"}, 507)
            end_offset = request.number("timestamp", -1)
            return self._append(topic, request.body, end_offset)
        if request.path == "/v1/log-read":
            return self._read(topic, request)
        if request.path == "/v1/log-newest":
            return self._newest(topic)
        return json_reply({"reason": "unknown call"}, 404)

    def _is_away(self, request: Request) -> bool:
        faults = self._faults.now
        return faults.mode == "down" or request.headers["host"] in faults.turned_away

    def _append(self, topic: str, body: bytes, end_offset: int) -> Reply:
        records, at = [], 0
        while at < len(body):
            (length,) = LENGTH.unpack_from(body, at)
            records.append(body[at + LENGTH.size : at + LENGTH.size + length])
            at += LENGTH.size + length
        with self._lock:
            held = self._topics.setdefault(topic, [])
            offset = len(held)
            if end_offset not in (-1, offset):
                return json_reply({"end-offset": offset}, 412)
            held += records
            return json_reply({"offset": offset, "end-offset": len(held)})

    def _read(self, topic: str, request: Request) -> Reply:
        start = request.number("from", 0)
        if start < self._faults.now.forgotten_before:
            first = self._faults.now.forgotten_before
            return json_reply({"first-offset": first}, 410)
        if start > len(self._records(topic, 0)):
            return json_reply({"first-offset": 0}, 410)
        until_s = time.monotonic() + request.number("wait-ms", 0) / 1000
        while not self._records(topic, start) and time.monotonic() < until_s:
            if self._faults.now.mode in ("reset", "silent", "endless"):
                self._suffer(request)
            time.sleep(POLL_S)
        records = self._records(topic, start)
        head = OFFSETS.pack(start + len(records), self._faults.now.forgotten_before)
        body = b"".join(LENGTH.pack(len(each)) + each for each in records)
        return Reply(body=head + body, content_type="application/octet-stream")

    def _records(self, topic: str, start: int) -> list[bytes]:
        with self._lock:
            return self._topics.get(topic, [])[start:]

    def _newest(self, topic: str) -> Reply:
        newest: dict[bytes, tuple[int, bytes]] = {}
        records = self._records(topic, 0)
        for offset, record in enumerate(records):
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        items = [
            {
                # Bytes that aren't UTF-8 become lone surrogates, which JSON can carry.
                "key": key.decode(errors="surrogateescape"),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in newest.items()
        ]
        return json_reply(
            {"items": items, "has-more": False, "end-offset": len(records)}
        )


def main() -> None:
    """Serve until the process is ended."""
    options = server.parser(__doc__).parse_args()
    server.serve(options, StoreStandIn(faults=options.faults).handle)


if __name__ == "__main__":
    main()
