"""A late copy of an engine's refusal is taken for the answer to the next request."""

import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from deployment import HOST, KEY, CannotRun, Client, Deployment, main, route
from engine import Engine

# Of the site's `garble`, `extra late`: the share of an engine's answers that it
# spoils, and for how long. One of three engines does, of a share of 0.6.
SPOILED_SHARE = 0.03
SPOILS_FOR_S = 5.0
# Answers of that engine in this time before the one that it sends twice.
ANSWERS_BEFORE = 40
COPY_AFTER_S = 0.4
WORK_S = 0.03


class RepeatingEngine(Engine):
    """An engine that sends one of its refusals twice, the second time late."""

    spoils_until_s = 0.0
    spoiled = 0
    answers_spoiling = 0

    def answer(self, sock, request, status, body, *, ran):
        goes_on = super().answer(sock, request, status, body, ran=ran)
        self.answers_spoiling += 1
        is_due = self.answers_spoiling * SPOILED_SHARE >= 1.0 and not self.spoiled
        if status == 503 and is_due and time.monotonic() < self.spoils_until_s:
            self.spoiled += 1
            self.record(f"{self.name}: will repeat its refusal of {request.attempt_id}")
            copy = self.head(request, status, len(body), ran) + body
            threading.Timer(COPY_AFTER_S, self.repeat, [sock, copy]).start()
        return goes_on

    def repeat(self, sock, copy):
        self.record(f"{self.name}: repeats that refusal")
        try:
            sock.sendall(copy)
        except OSError:
            self.record(f"{self.name}: its connection was closed before")


def case(deployment: Deployment, record, trouble: bool) -> bool:
    engines = [
        RepeatingEngine(name, record=record, slots=6, queue=2, work_s=WORK_S)
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
    traffic = Traffic(daemon, record)
    first = engines[0]
    began_s = time.monotonic()
    if trouble:
        first.spoils_until_s = began_s + SPOILS_FOR_S
    # Ordinary traffic: the spoiled answer is one among more than forty.
    while first.answers < ANSWERS_BEFORE:
        traffic.together(9, WORK_S)
        if traffic.count > 1000:
            raise CannotRun("e1 gets no requests")
    while time.monotonic() < began_s + SPOILS_FOR_S - COPY_AFTER_S - 0.6:
        # For a moment another caller has all places of e1, which refuses some.
        fill(first)
        traffic.together(6, WORK_S)
        time.sleep(0.1)
        # These run longer than the copy of a refusal takes to come.
        traffic.together(12, 0.6)
        if first.spoiled:
            break
    if trouble and not first.spoiled:
        raise CannotRun("e1 refused nothing")
    time.sleep(1.0)
    runs: dict[str, list[str]] = {}
    for engine in engines:
        for run in engine.runs:
            runs.setdefault(run.attempt_id, []).append(engine.name)
    twice = {key: names for key, names in runs.items() if len(names) > 1}
    for key, names in twice.items():
        record(f"TWICE: {key} ran at {', '.join(names)}")
    return not twice


class Traffic:
    """Requests through the daemon, each sent once."""

    def __init__(self, daemon, record):
        self.count = 0
        self._daemon, self._client = daemon, Client(record)

    def together(self, count: int, work_s: float) -> None:
        """Send so many at once, and wait for their answers."""
        threads = []
        for _ in range(count):
            self.count += 1
            work = (f"pay-{self.count}", work_s)
            threads.append(threading.Thread(target=self._send, args=work))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send(self, attempt_id: str, work_s: float) -> None:
        headers = (f"X-Work-S: {work_s}",)
        self._client.send(self._daemon, attempt_id, "/pay/entry", headers=headers)


def fill(engine) -> None:
    """Let another caller take all places of an engine for a moment."""
    for place in range(engine.slots + engine.queue):
        sock = socket.create_connection((HOST, engine.port))
        name = f"other-{time.monotonic_ns()}-{place}"
        sock.sendall(
            f"POST /pay/other HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: {name}\r\n"
            f"X-Work-S: 0.12\r\nContent-Length: 0\r\n\r\n".encode()
        )
        threading.Thread(target=drain, args=(sock,), daemon=True).start()
    time.sleep(0.03)


def drain(sock) -> None:
    with sock:
        sock.settimeout(5)
        sock.recv(65536)


if __name__ == "__main__":
    main(case, pathlib.Path(__file__).resolve().parent)
