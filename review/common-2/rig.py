"""What the review's scripts share: processes on loopback, a client, and a record.

Only the standard library is used here. The entries are started with the command of
`deploy/system.toml` from what its build made; the store is the project's own stand-in.
"""

import contextlib
import http.client
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HERE = pathlib.Path(__file__).resolve().parent
HOST = "127.0.0.1"
KEY = "key-of-tours"
HOST_HEADER = "tours.example"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_S = 20.0

# As DEPLOY.md shows them for an edge machine of a small deployment.
SETTINGS = """\
node-name={name}
role=entry
machine-class=edge
serves=edge
ip=127.0.0.1
zone=here
region=here-region
zones.here=here-region
listen.frontend=127.0.0.1:{callers}
listen.readiness=127.0.0.1:{readiness}
internal-port-range={peers},{peers}
seed-nodes=
bootstrap=true
counts-as-loss=false
limits.cpu-share=0.817
limits.cpu-cores=1
limits.memory-mb={memory_mb}
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=anycast
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,platform
bounds.seed-lag-s=3
bounds.address-reuse-s=2
bounds.stable-window-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.downgrade-slack-ms=250
bounds.max-skew-ms=5000
bounds.fail-closed=true
bounds.revoke-ms=5000
bounds.retry-budget-ratio=0.2
bounds.retry-window-s=10
bounds.budget-slack=58
bounds.quota-window-s=8
bounds.quota-overage=0.1
bounds.quota-tolerance=110000
bounds.recovery-s=12
bounds.pass-ms=120
bounds.retry-after-s=6.9
platform.address={store}
platform.form=log
platform.writes-per-s=400
platform.reads-per-s=2000
"""


class CannotRun(Exception):
    """The case couldn't be run; says nothing about the rule."""


def free_port(_given=set()):
    while True:
        with socket.create_server((HOST, 0)) as sock:
            port = sock.getsockname()[1]
        if port not in _given:
            _given.add(port)
            return port


def wait_until(condition, what, timeout_s=START_S):
    until_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until_s:
            raise CannotRun(f"not within {timeout_s:g} s: {what}")
        time.sleep(0.02)


def accepts(port):
    with contextlib.suppress(OSError):
        socket.create_connection((HOST, port), timeout=1).close()
        return True
    return False


def route(name, kind, service, **changes):
    return {
        "name": name,
        "host": HOST_HEADER,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 5000,
        "target-latency-ms": 800,
        "priority": 0,
        "service": service,
        "max-attempts": 2,
        "anonymous": False,
        "stream-resume": False,
        "itl-target-ms": 300,
    } | changes


def configuration(version=1, **changes):
    """Return a configuration like that which `fleetbench wire` shows."""
    return {
        "version": version,
        "routes": [
            route("stream", "streaming", "model", **{"stream-resume": True}),
            route("stream-once", "streaming", "model", **{"max-attempts": 1}),
            route("look", "idempotent", "desk"),
            route("pay", "non_idempotent", "desk", **{"max-attempts": 1}),
        ],
        "services": [
            {"name": "model", "max-connections": 360, "engine": {"slots": 4}},
            {"name": "desk", "max-connections": 96},
        ],
        "tenants": [{"name": "tours", "api-keys": [KEY], "priority": 1}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    } | changes


class Entry:
    """One daemon of the deploy file."""

    def __init__(self, name, process, callers, readiness):
        self.name, self.process = name, process
        self.callers, self.readiness = callers, readiness

    def is_ready(self):
        with contextlib.suppress(OSError):
            url = f"http://{HOST}:{self.readiness}/v1/readyz"
            return urllib.request.urlopen(url, timeout=2).status == 200
        return False

    def status_kb(self, field):
        """Return a line of /proc/PID/status, such as VmRSS, in kB; 0 once it ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(rf"^{field}:\s+(\d+) kB", text, re.M)
        return int(found.group(1)) if found else 0


class Rig:
    """All processes of one script; a context manager that ends them."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder).resolve()
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._began_s = time.monotonic()
        self._processes = []
        self._record = open(self.folder / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self.engines = {}
        self._store = 0

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for process in self._processes:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        self._record.close()
        shutil.rmtree(self.temporary, ignore_errors=True)

    def note(self, text):
        """Write a line to the record."""
        at_s = time.monotonic() - self._began_s
        with self._lock:
            self._record.write(f"{at_s:8.3f} {text}\n")
            self._record.flush()

    # Processes

    def start(self, name, argv, environment):
        output = open(self.temporary / f"{name}.out", "ab")
        process = subprocess.Popen(
            argv,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        output.close()
        self._processes.append(process)
        return process

    def output(self, name):
        return (self.temporary / f"{name}.out").read_text(errors="replace")

    def environment(self, **more):
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        return kept | {"PYTHONPATH": str(ROOT / "target" / "deps")} | more

    def store(self, delay_s=0.0):
        self._store = free_port()
        argv = ["python3", "-S", "-m", "standins.platformstore"]
        argv += ["--port", str(self._store)]
        argv += ["--faults", json.dumps({"delay_s": delay_s})]
        self.start("store", argv, self.environment())
        wait_until(lambda: accepts(self._store), "the store listens")

    def control_store(self, action):
        """Have the store keep a `copy` of itself, or `go-back` to the last one."""
        url = f"http://{HOST}:{self._store}/control/{action}"
        request = urllib.request.Request(url, data=b"", method="POST")
        urllib.request.urlopen(request, timeout=5).read()

    def put(self, topic, key, value):
        """Write a record as the operator or an engine does."""
        content = b"" if value is None else json.dumps(value).encode()
        record = bytes([len(key)]) + key.encode() + content
        request = urllib.request.Request(
            f"http://{HOST}:{self._store}/v1/log-append?topic={topic}&part=0",
            data=struct.pack(">I", len(record)) + record,
            headers={"X-Operator": "1"},
        )
        urllib.request.urlopen(request, timeout=5).read()

    def configure(self, content):
        self.put("keyed.op", "config", content)
        self.note(f"operator: configuration {content['version']} acknowledged")

    def engine(self, name, service, *options, slots=4, version="v1", port=None):
        """Start an engine and register it; at a given port, it starts again there."""
        port = port or free_port()
        argv = [sys.executable, "-S", str(HERE / "engine.py"), "--id", name]
        argv += ["--port", str(port), "--runs", str(self.temporary / "runs"), *options]
        process = self.start(name, argv, self.environment())
        wait_until(lambda: accepts(port), f"{name} listens")
        # `born` is the Unix millisecond of its start.
        born = time.time_ns() // 1_000_000
        self.engines[name] = (service, port, slots, version, born)
        self.register(name)
        return process

    def register(self, name, state="ready"):
        service, port, slots, version, born = self.engines[name]
        self.put(
            "keyed.servers",
            name,
            {
                "service": service,
                "address": f"{HOST}:{port}",
                "zone": "here",
                "version": version,
                "slots": slots,
                "state": state,
                "warmup-left-ms": 0,
                "sequence": 0,
                "born": born,
            },
        )
        self.note(f"{name}: {state} at {service}, acknowledged by the store")

    def entry(self, name, memory_mb=150):
        callers, readiness, peers = free_port(), free_port(), free_port()
        path = self.temporary / f"{name}.conf"
        path.write_text(
            SETTINGS.format(
                name=name,
                callers=callers,
                readiness=readiness,
                peers=peers,
                memory_mb=memory_mb,
                store=f"{HOST}:{self._store}",
            )
        )
        process = self._start_entry(name)
        entry = Entry(name, process, callers, readiness)
        wait_until(
            lambda: entry.is_ready() or process.poll() is not None, f"{name} is ready"
        )
        if process.poll() is not None:
            raise CannotRun(f"{name} ended:\n{self.output(name)[-2000:]}")
        self.note(f"{name}: ready")
        return entry

    def start_again(self, entry):
        """Start an entry that has ended; doesn't wait until it is ready."""
        entry.process = self._start_entry(entry.name)
        self.note(f"{entry.name}: started again")

    def _start_entry(self, name):
        return self.start(
            name,
            ["python3", "-S", "-m", "lavenderspoke.platform"],
            self.environment(
                LAVENDERSPOKE_CONFIG=str(self.temporary / f"{name}.conf"),
                LAVENDERSPOKE_DISABLED_POLICIES="customer-shares,retry-bookings,"
                "stall-avoidance,spillover,upstream-subsets,burst-credits",
            ),
        )

    def runs(self):
        """Return what the engines noted."""
        path = self.temporary / "runs"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    # Clients

    def attempt_id(self):
        return f"attempt-{next(self._numbers):06d}"

    def send(self, entry, path, *, method="POST", body=b"", timeout_s=20.0, **headers):
        """Send one attempt as a client; return an Answer."""
        attempt_id = headers.pop("attempt_id", None) or self.attempt_id()
        sent = {
            "Host": HOST_HEADER,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": "5000",
            "Authorization": f"Bearer {KEY}",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        began_s = time.monotonic()
        conn = http.client.HTTPConnection(HOST, entry.callers, timeout=timeout_s)
        status, got, whole, error, answered = 0, b"", False, "", {}
        try:
            conn.request(method, path, body=body or None, headers=sent)
            response = conn.getresponse()
            status = response.status
            answered = {k.lower(): v for k, v in response.getheaders()}
            while data := response.read1(65536):
                got += data
            whole = not response.length
        except http.client.IncompleteRead as failed:
            got += failed.partial
            error = "IncompleteRead"
        except (OSError, http.client.HTTPException) as failed:
            error = type(failed).__name__
        finally:
            conn.close()
        took_s = time.monotonic() - began_s
        return Answer(attempt_id, status, answered, got, whole, error, took_s)


class Answer:
    """What a client got; `whole` only if its framing says that nothing is missing."""

    def __init__(self, attempt_id, status, headers, body, whole, error, took_s):
        self.attempt_id, self.status, self.headers = attempt_id, status, headers
        self.body, self.whole, self.error, self.took_s = body, whole, error, took_s

    def event_ids(self):
        return [int(each) for each in re.findall(rb"^id: (\d+)$", self.body, re.M)]

    def __str__(self):
        return (
            f"{self.attempt_id}: {self.status}, {len(self.body)} bytes, "
            f"{'whole' if self.whole else 'broken off'} {self.error} "
            f"after {self.took_s:.3f} s"
        )


def main(folder, case):
    """Run a case, which returns whether the rule held; exit as run.sh must."""
    try:
        with Rig(folder) as rig:
            try:
                held = case(rig)
            except Exception as error:
                rig.note(f"cannot run: {type(error).__name__}: {error}")
                raise
            verdict = "the rule held" if held else "the rule was broken"
            rig.note(f"{verdict} (trouble: {TROUBLE})")
    except Exception:
        traceback.print_exc()
        sys.exit(CANNOT_RUN)
    print(verdict)
    sys.exit(HELD if held else BROKEN)
