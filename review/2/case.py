"""An answer that an engine breaks off inside its head is passed on as a success."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from deployment import KEY, CannotRun, Client, Deployment, main, route
from engine import Engine

# Of the site's `garble`: the share of an engine's answers that it breaks off, and for
# how long. One of three engines does, of a share of 0.35.
BROKEN_SHARE = 0.02
BREAKS_FOR_S = 5.5
BROKEN = 2
WORK_S = 0.03
# What an answer's body is in full, for each attempt.
BODY = "paid, receipt {}, keep this page until the visit"


class BreakingEngine(Engine):
    """An engine that ends few of its answers early, behind their second header."""

    breaks_until_s = 0.0
    answers_breaking = 0
    broken = 0

    def run(self, sock, request) -> bool:
        self.runs.append(request)
        self.record(f"{self.name}: runs {request.attempt_id}")
        if not self.work(sock, self.work_time_s(request)):
            return False
        body = BODY.format(request.attempt_id).encode()
        if time.monotonic() < self.breaks_until_s:
            self.answers_breaking += 1
            is_due = self.answers_breaking * BROKEN_SHARE >= self.broken + 1
            if is_due and self.broken < BROKEN:
                self.broken += 1
                return self.break_off(sock, request, body)
        return self.answer(sock, request, 200, body, ran=True)

    def head(self, request, status, length, ran) -> bytes:
        """Return the head with its headers in the order of PROTOCOL.md's example."""
        if not ran:
            return super().head(request, status, length, ran)
        lines = [
            f"HTTP/1.1 {status} OK",
            f"X-Attempt-Id: {request.attempt_id}",
            f"X-Response-Signature: signed.{request.attempt_id}",
            "Content-Type: text/plain",
            f"Content-Length: {length}",
            "Keep-Alive: timeout=20",
        ]
        return "\r\n".join([*lines, "", ""]).encode()

    def break_off(self, sock, request, body) -> bool:
        head = self.head(request, 200, len(body), True)
        sent = head[: head.index(b"Content-Length")]
        self.record(f"{self.name}: breaks off its answer to {request.attempt_id}")
        sock.sendall(sent)
        return False


def case(deployment: Deployment, record, trouble: bool) -> bool:
    engines = [
        BreakingEngine(name, record=record, slots=6, queue=24, work_s=WORK_S)
        for name in ("e1", "e2", "e3")
    ]
    pay = route(
        "pay",
        "non_idempotent",
        "desk",
        **{"timeout-ms": 2000, "target-latency-ms": 300, "max-attempts": 1},
    )
    deployment.store.put(
        "keyed.op",
        "config",
        {
            "version": 7,
            "routes": [pay],
            "services": [{"name": "desk", "max-connections": 96}],
            "tenants": [{"name": "tours", "api-keys": [KEY], "priority": 1}],
            "limits": {"idle-timeout-ms": 15000},
        },
    )
    for engine in engines:
        deployment.store.put("keyed.servers", engine.name, engine.entry("desk"))
    daemon = deployment.daemon("edge-1")
    daemon.wait_ready()
    began_s = time.monotonic()
    if trouble:
        engines[0].breaks_until_s = began_s + BREAKS_FOR_S
    wrong: list[str] = []
    threads = [
        threading.Thread(target=pay_often, args=(number, daemon, record, wrong))
        for number in range(9)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if trouble and engines[0].broken < BROKEN:
        raise CannotRun("e1 broke off too few answers")
    record(
        f"{engines[0].broken} of {engines[0].answers_breaking} answers of e1 "
        "were broken off"
    )
    for text in wrong:
        record(f"MIXED: {text}")
    return not wrong


def pay_often(number: int, daemon, record, wrong: list[str]) -> None:
    """Send one request after the other, and look at each success."""
    client = Client(record)
    until_s = time.monotonic() + BREAKS_FOR_S
    count = 0
    while time.monotonic() < until_s:
        count += 1
        attempt_id = f"pay-{number}-{count}"
        status, headers, body = client.send(daemon, attempt_id, "/pay/entry")
        if status != 200:
            continue
        whole = BODY.format(attempt_id).encode()
        signature = headers.get("x-response-signature")
        length = headers.get("content-length")
        is_complete = length == str(len(body))
        if is_complete and (
            body != whole or signature != f"signed.{attempt_id}"
        ):
            wrong.append(
                f"{attempt_id} is answered 200 with Content-Length {length}, "
                f"signature {signature} and body {body!r}, in place of {whole!r}"
            )


if __name__ == "__main__":
    main(case, pathlib.Path(__file__).resolve().parent)
