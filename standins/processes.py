"""Real processes under the integration tests and `make run`.

Everything is started, paused and ended by its own pid, and every wait is for a
condition.
"""

import atexit
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable

import attrs
import psutil
import urllib3
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
POLL_S = 0.02
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
FIRST_PORT = 15_000
LAST_PORT = 32_000
PORTS = 16_000

_http = urllib3.PoolManager(maxsize=8, retries=False)
_ports = itertools.chain.from_iterable(
    itertools.repeat(range(FIRST_PORT + os.getpid() * 61 % PORTS, LAST_PORT))
)

_signs: list[socket.socket] = []


class NotReached(AssertionError):
    """A condition that was waited for didn't come."""


def wait_until(condition: Callable[[], object], timeout_s: float, what: str) -> object:
    """Return the condition's first true value; raise NotReached after that long."""
    give_up_s = time.monotonic() + timeout_s
    while not (value := condition()):
        if time.monotonic() > give_up_s:
            raise NotReached(f"not within {timeout_s:g} s: {what}")
        time.sleep(POLL_S)
    return value


def free_port() -> int:
    """Return a free port that no process of the tests has been given.

    It lies below the ports that the system gives to outgoing connections, one of
    which could otherwise take the port before its server listens. Several features
    run side by side, and their ranges meet; a server takes up to a second to listen
    beside much load, and for so long its port would look free to the others. The
    datagram port of the same number is kept while this process lives, as a sign.
    """
    while True:
        port = next(_ports)
        sign = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sign.bind((HOST, port))
            socket.create_server((HOST, port)).close()
        except OSError:
            sign.close()
            continue
        _signs.append(sign)
        return port


def accepts(port: int) -> bool:
    """Return whether something listens on the port."""
    try:
        socket.create_connection((HOST, port), timeout=1).close()
    except OSError:
        return False
    return True


def get_json(port: int, path: str) -> dict:
    """Return what a stand-in or daemon answers to a GET."""
    return json.loads(_http.request("GET", f"http://{HOST}:{port}{path}").data)


def post_json(port: int, path: str, value: dict) -> dict:
    """Post JSON and return the answer."""
    answer = _http.request("POST", f"http://{HOST}:{port}{path}", json=value)
    if answer.status >= 400:
        raise AssertionError(f"{path}: {answer.status} {answer.data!r}")
    return json.loads(answer.data)


class Process:
    """A process with its output in a file.

    >>> sleeper = Process(name="sleeper", argv=["sleep", "9"], directory="/tmp")
    >>> sleeper.kill()
    >>> sleeper.alive()
    False
    """

    def __init__(self, *, name: str, argv: list[str], directory: pathlib.Path | str):
        self.name = name
        self.argv = argv
        self.output_path = pathlib.Path(directory) / f"{name}.out"
        environment = os.environ | {"PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        with open(self.output_path, "ab") as output:
            self._popen = subprocess.Popen(
                argv,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._popen.pid

    @property
    def status(self) -> int | None:
        """The exit status, negative for a signal, None while it lives."""
        return self._popen.poll()

    def alive(self) -> bool:
        """Return whether it hasn't ended."""
        return self.status is None

    def output(self) -> str:
        """Return what it has written."""
        return self.output_path.read_text(errors="replace")

    def resident_bytes(self) -> int:
        """Return its resident memory."""
        return psutil.Process(self.pid).memory_info().rss

    def cpu_s(self) -> float:
        """Return the processor time it has used."""
        times = psutil.Process(self.pid).cpu_times()
        return times.user + times.system

    def wait_ready(self, condition: Callable[[], object], what: str) -> None:
        """Wait for a condition, and fail with the output if it ends before."""

        def ready_or_ended() -> bool:
            return bool(condition()) or not self.alive()

        try:
            wait_until(ready_or_ended, START_TIMEOUT_S, f"{self.name}: {what}")
        except NotReached as error:
            raise NotReached(f"{error}\n{self.output()}") from None
        if not self.alive():
            raise NotReached(f"{self.name} ended: {self.status}\n{self.output()}")

    def survives(self, number: signal.Signals) -> bool:
        """Return whether it handles or ignores a signal by now.

        Until the interpreter has run a program's first line, a signal's default action
        ends the process, and no program can prevent that.
        """
        try:
            lines = pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines()
        except FileNotFoundError:
            return False
        masks = dict(line.split(":", 1) for line in lines if line.startswith("Sig"))
        kept = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
        return bool(kept >> (number - 1) & 1)

    def pause(self) -> None:
        """Stop it in its tracks, as a machine that stalls would."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self._popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End it without warning."""
        self._popen.kill()
        self._popen.wait()

    def terminate(self) -> None:
        """Ask it to drain and stop; doesn't wait."""
        self._popen.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return its exit status once it has ended."""
        return self._popen.wait(timeout_s)


@attrs.frozen(kw_only=True)
class StandIn:
    """A stand-in's process and how to reach it."""

    process: Process
    port: int

    @property
    def address(self) -> str:
        """Its `host:port`."""
        return f"{HOST}:{self.port}"

    @property
    def url(self) -> str:
        """Its base URL."""
        return f"http://{self.address}"

    def set_faults(self, **faults) -> None:
        """Set some of its faults; the others stay."""
        post_json(self.port, "/control", faults)

    def counts(self) -> dict:
        """Return its counts, the ground truth."""
        return get_json(self.port, "/control/counts")


@attrs.frozen(kw_only=True)
class Link:
    """One link of the fault-injecting proxy."""

    proxy: StandIn
    name: str
    port: int

    @property
    def address(self) -> str:
        """The `host:port` to connect to in place of the target's."""
        return f"{HOST}:{self.port}"

    def set_faults(self, **faults) -> dict:
        """Change the link as `standins.proxy` says; return its state.

        >>> link.set_faults(to_target={"freeze": True})  # doctest: +SKIP
        """
        return post_json(self.proxy.port, "/control", {"link": self.name} | faults)

    def heal(self) -> None:
        """Take all faults away."""
        self.set_faults(heal=True)

    def report(self) -> dict:
        """Return its connections, bytes and faults."""
        return get_json(self.proxy.port, "/control")[self.name]


class Stage:
    """All processes of one test, started by name and stopped together.

    Use it as a context manager, or call `stop` at the end.
    """

    def __init__(self, *, directory: pathlib.Path | None = None):
        self._owns_directory = directory is None
        self.directory = directory or pathlib.Path(tempfile.mkdtemp(prefix="stage-"))
        self.processes: dict[str, Process] = {}
        atexit.register(self.stop)

    def __enter__(self) -> "Stage":
        return self

    def __exit__(self, *error) -> None:
        self.stop()

    def start(self, name: str, argv: list[str]) -> Process:
        """Start a process; a name may be used again once its process has ended."""
        before = self.processes.get(name)
        if before is not None and before.alive():
            raise AssertionError(f"{name} already runs")
        process = Process(name=name, argv=argv, directory=self.directory)
        self.processes[name] = process
        return process

    def start_standin(
        self, name: str, kind: str, *options: str, port: int | None = None
    ) -> StandIn:
        """Start `standins.<kind>` and wait until it listens."""
        port = port or free_port()
        module = f"standins.{kind}"
        argv = [sys.executable, "-m", module, "--port", str(port), *options]
        process = self.start(name, argv)
        process.wait_ready(lambda: accepts(port), "listens")
        return StandIn(process=process, port=port)

    def restart(self, standin: StandIn) -> StandIn:
        """Start an ended stand-in again with the same arguments and port."""
        process = self.start(standin.process.name, standin.process.argv)
        process.wait_ready(lambda: accepts(standin.port), "listens")
        return StandIn(process=process, port=standin.port)

    def log(self, *options: str) -> StandIn:
        """Start the platform's log."""
        return self.start_standin("log", "log", *options)

    def members(self, *options: str) -> StandIn:
        """Start the platform's member list."""
        return self.start_standin("members", "members", *options)

    def engine(self, name: str, *options: str) -> StandIn:
        """Start a model engine whose counts outlive it."""
        return self.start_standin(name, "engine", *self._counts(name), *options)

    def plain(self, name: str, *options: str) -> StandIn:
        """Start a plain service whose counts outlive it."""
        return self.start_standin(name, "plain", *self._counts(name), *options)

    def proxy(self) -> StandIn:
        """Start the proxy, whose links are added one by one."""
        return self.start_standin("proxy", "proxy")

    def link(self, proxy: StandIn, name: str, target: str) -> Link:
        """Add a link from a free port to the target's `host:port`."""
        port = free_port()
        wanted = {"name": name, "listen": port, "target": target}
        post_json(proxy.port, "/control/links", wanted)
        return Link(proxy=proxy, name=name, port=port)

    def daemon(self, name: str, role: str, settings: dict) -> Process:
        """Start an entry or an agent with these settings; doesn't wait for it."""
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        argv = [sys.executable, "-m", "lavenderspoke.ui", role]
        return self.start(name, [*argv, "--settings", str(path)])

    def stop(self) -> None:
        """End everything that this stage started, and nothing else."""
        atexit.unregister(self.stop)
        stop_all(self.processes.values())
        if self._owns_directory:
            shutil.rmtree(self.directory, ignore_errors=True)

    def _counts(self, name: str) -> list[str]:
        return ["--counts-file", str(self.directory / f"{name}.counts")]


def stop_all(processes: Iterable[Process]) -> None:
    """Kill these processes, paused ones too."""
    for process in processes:
        if process.alive():
            process.kill()
