"""Starts daemons with the command of the deploy file, and sends them requests."""

import os
import pathlib
import signal
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from store import Store

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_HEADER = "tours.example"
KEY = "key-of-tours"
# After so long a case is given up, in seconds.
LENGTH_MAX_S = 110
# As on the sheets, but for addresses and ports.
SETTINGS = """\
node-name={name}
role=entry
machine-class=edge
serves=edge
ip=127.0.0.1
zone=here
region=there
zones.here=there
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
fault-tolerance.machines=2
fault-tolerance.zones=0
fault-tolerance.regions=0
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
bounds.budget-slack={budget_slack}
bounds.quota-window-s=8
bounds.quota-overage=0.1
bounds.quota-tolerance=110000
bounds.recovery-s=12
bounds.pass-ms=120
bounds.retry-after-s={retry_after_s}
platform.address=127.0.0.1:{store}
platform.form=log
platform.writes-per-s=400
platform.reads-per-s=2000
platform.parts=8
platform.append-ms=4.0
platform.write-mb-s=20.0
platform.read-mb-s=80.0
platform.record-bytes=262144
platform.call-bytes=2097152
platform.keep_s=20
platform.partition-mb=200
platform.ttl-min-ms=1000
"""


# What differs between the sites that the cases name.
SITES = {
    "qalaa-gate": {"memory_mb": 300, "budget_slack": 52, "retry_after_s": 9},
    "senderos-central": {"memory_mb": 150, "budget_slack": 58, "retry_after_s": 6.9},
}


class CannotRun(Exception):
    """The case couldn't be brought about."""


class Record:
    """What was sent, answered and run, in `record.txt` of the case's folder."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._began_s = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, text: str) -> None:
        with self._lock:
            at_s = time.monotonic() - self._began_s
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()


def route(name: str, kind: str, service: str, **changes) -> dict:
    base = {
        "name": name,
        "host": HOST_HEADER,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 5000,
        "target-latency-ms": 800,
        "priority": 0,
        "service": service,
        "max-attempts": 2,
        "stream-resume": False,
        "itl-target-ms": 300,
    }
    return base | changes


def free_port() -> int:
    """Return a port below those of outgoing connections that nothing listens at."""
    global _next_port
    while True:
        _next_port += 1
        try:
            socket.create_server((HOST, _next_port)).close()
        except OSError:
            continue
        return _next_port


_next_port = 15_000 + os.getpid() * 37 % 15_000


class Daemon:
    """One daemon's process and its ports."""

    def __init__(self, name, deployment):
        self.name = name
        self._deployment = deployment
        self.callers, self.readiness = free_port(), free_port()
        self.peers = free_port()
        self.path = deployment.folder / f"{name}.conf"
        self.path.write_text(
            SETTINGS.format(
                name=name,
                callers=self.callers,
                readiness=self.readiness,
                peers=self.peers,
                store=deployment.store.port,
                **SITES[deployment.site],
            )
        )
        self.process = None

    def start(self) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "entry"
        ]
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment |= role.get("env", {})
        environment["LAVENDERSPOKE_CONFIG"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        log = open(self._deployment.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    def ready(self) -> bool:
        try:
            with socket.create_connection((HOST, self.readiness), 1) as sock:
                sock.settimeout(1)
                sock.sendall(
                    b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                return b" 200 " in sock.recv(100)
        except OSError:
            return False

    def wait_ready(self) -> None:
        until_s = time.monotonic() + 20
        while not self.ready():
            if time.monotonic() > until_s or self.process.poll() is not None:
                raise CannotRun(f"{self.name} isn't ready")
            time.sleep(0.05)

    def send_signal(self, number) -> None:
        self.process.send_signal(number)


class Deployment:
    """A store, daemons and engines, all ended by `stop`."""

    def __init__(self, record, site):
        self.record, self.site = record, site
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store()
        self.daemons: list[Daemon] = []

    def daemon(self, name: str) -> Daemon:
        daemon = Daemon(name, self)
        daemon.start()
        self.daemons.append(daemon)
        return daemon

    def stop(self) -> None:
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """Sends client attempts, each on a connection of its own unless one is given."""

    def __init__(self, record):
        self.record = record

    def send(
        self,
        daemon,
        attempt_id: str,
        path: str,
        *,
        body=b"",
        deadline_ms=4000,
        headers=(),
    ):
        """Return status, headers and body; status 0 if there was no answer."""
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST_HEADER}",
            f"X-Attempt-Id: {attempt_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
            f"Content-Length: {len(body)}",
            "Connection: close",
            *headers,
        ]
        self.record(f"client: sends {attempt_id} to {daemon.name}, POST {path}")
        try:
            with socket.create_connection((HOST, daemon.callers), 1) as sock:
                # A little longer, for an answer that comes at the deadline.
                sock.settimeout(deadline_ms / 1000 + 0.3)
                sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
                data = b""
                while part := sock.recv(65536):
                    data += part
        except OSError as error:
            self.record(f"client: {attempt_id} has no answer, {error}")
            return 0, {}, b""
        head, _, content = data.partition(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in rest)
        answer = {n.strip().lower(): v.strip() for n, _, v in pairs}
        status = int(first.split()[1]) if first else 0
        self.record(f"client: {attempt_id} is answered {status}, {content[:120]!r}")
        return status, answer, content


def site_of(folder) -> str:
    """Return the site that a case's claim names."""
    lines = (pathlib.Path(folder) / "claim.txt").read_text().splitlines()
    return lines[1].removeprefix("site: ")


def stop_now(number, frame) -> None:
    raise CannotRun(f"stopped by {signal.Signals(number).name}")


def main(case, folder) -> None:
    """Run a case: it returns True if the rule held, False if it was broken."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, stop_now)
    signal.alarm(LENGTH_MAX_S)
    record = Record(folder)
    deployment = Deployment(record, site_of(folder))
    threading.excepthook = lambda args: record(f"thread failed: {args.exc_value!r}")
    status = 2
    try:
        trouble = os.environ.get("TROUBLE", "1") != "0"
        record(f"case {pathlib.Path(folder).name}, trouble {trouble}")
        held = case(deployment, record, trouble)
        status = 0 if held else 1
        record("the rule held" if held else "the rule was broken")
    except CannotRun as error:
        record(f"could not run: {error}")
    except Exception as error:
        record(f"could not run: {type(error).__name__}: {error}")
    finally:
        deployment.stop()
    os._exit(status)
