"""A whole deployment of real processes on loopback, for the integration tests.

Two services: `narrative` before model engines, `ticketing` before plain ones.
Every link between two daemons may run through the fault-injecting proxy.
"""

import hashlib
import json
import threading
import uuid
from datetime import datetime, timezone

import attrs
import urllib3
import yaml

from lavenderspoke.documents.edits import encode_edit, new_edit
from lavenderspoke.platformlog import SERVICES_STREAM, HttpLog
from standins.processes import (
    HOST,
    Process,
    Stage,
    StandIn,
    accepts,
    free_port,
    get_json,
    post_json,
    wait_until,
)

CREDENTIAL = "runner-secret"
CUSTOMER = "senderos"
READY_S = 30.0
TIERS = {"report": 1, "narrative": 2, "alert": 3}


def document(name: str, kind: str, **changes) -> dict:
    """Return a service document as plain data."""
    digest = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
    base = {
        "name": name,
        "upstreams": {"kind": kind, "labels": [kind]},
        "tiers": [
            {"name": tier, "rank": rank, "worth": float(4 ** (rank - 1))}
            for tier, rank in TIERS.items()
        ],
        "customers": [
            {"name": CUSTOMER, "credential_sha256": digest, "tiers": list(TIERS)}
        ],
        "deadline_max_s": 60.0,
    }
    return base | changes


@attrs.frozen(kw_only=True)
class Ports:
    """The ports of one daemon."""

    peers: int
    status: int
    callers: int = 0


@attrs.frozen(kw_only=True)
class Sent:
    """What a caller got: the answer's status, headers, body, and its end."""

    status: int
    headers: dict
    body: bytes
    whole: bool

    @property
    def problem(self) -> dict:
        """The problem, where the answer is one."""
        return json.loads(self.body)

    @property
    def reason(self) -> str | None:
        """The problem's reason; None for an upstream's answer."""
        is_problem = "problem" in self.headers.get("Content-Type", "")
        return self.problem["reason"] if is_problem else None


class Deployment:
    """Starts, finds and stops the processes of a deployment.

    With `proxied`, a link of the fault-injecting proxy stands before each
    daemon, under the daemon's name, and one named `log` between the entries and
    the log.
    """

    def __init__(self, *, settings: dict | None = None, proxied: bool = False):
        self.stage = Stage()
        self.proxy = self.stage.start_standin("proxy", "proxy") if proxied else None
        self.log = self.stage.log()
        self.members = self.stage.members()
        self.ports: dict[str, Ports] = {}
        self.upstreams: dict[str, StandIn] = {}
        self.links: dict[str, str] = {}
        self._settings = settings or {}
        self._members: dict[str, dict] = {}
        self._daemons: dict[str, tuple[str, dict]] = {}
        self._http = urllib3.PoolManager(maxsize=64, retries=False, block=False)

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *error) -> None:
        self.stop()

    def stop(self) -> None:
        """End every process."""
        self.stage.stop()

    # Documents and members

    def publish(self, data: dict, base: int = 0) -> int:
        """Append a document straight to the log; return its offset."""
        edit = new_edit(
            service=data["name"],
            base=base,
            text=yaml.safe_dump(data),
            author="test",
            now=datetime.now(timezone.utc),
        )
        appended = HttpLog(base_url=self.log.url).append(
            stream=SERVICES_STREAM,
            record_id=uuid.uuid4().hex,
            payload=encode_edit(edit),
        )
        return appended.unwrap()

    def list_members(self, **leaving: bool) -> None:
        """Set the platform's list to all daemons, some of them leaving."""
        members = [
            member | {"leaving": leaving.get(name.replace("-", "_"), False)}
            for name, member in self._members.items()
        ]
        post_json(self.members.port, "/control/members", {"members": members})

    # Daemons

    def _link(self, name: str, port: int) -> None:
        """Put a link of the proxy before a daemon."""
        if self.proxy is None or name in self.links:
            return
        listen = free_port()
        link = {"name": name, "listen": listen, "target": f"{HOST}:{port}"}
        post_json(self.proxy.port, "/control/links", link)
        self.links[name] = f"tcp://{HOST}:{listen}"

    def set_link(self, name: str, **faults) -> None:
        """Set the faults of the link before a daemon."""
        post_json(self.proxy.port, "/control", {"link": name, **faults})

    def _base_settings(self, name: str, ports: Ports) -> dict:
        self._link(name, ports.peers)
        settings = {
            "name": name,
            "data_centre": "central-1",
            "peers": {
                "host": HOST,
                "port": ports.peers,
                "advertised_address": self.links.get(name),
            },
            "status": {"host": HOST, "port": ports.status},
            "platform": {
                "log_url": self.log.url,
                "members_url": self.members.url,
                "poll_s": 0.2,
                "members_poll_s": 0.2,
            },
            "heartbeat_s": 0.2,
            "drain_s": 20.0,
        }
        return settings | self._settings

    def _run(self, name: str, role: str, settings: dict, member: dict) -> Process:
        self._daemons[name] = (role, settings)
        self._members[name] = {
            "name": name,
            "role": role,
            "data_centre": "central-1",
            "address": self._listed_address(name),
            "status_address": f"{HOST}:{self.ports[name].status}",
            "service": "",
            "upstream": "",
        } | member
        self.list_members()
        return self.restart(name)

    def _listed_address(self, name: str) -> str:
        direct = f"{HOST}:{self.ports[name].peers}"
        return self.links.get(name, direct).removeprefix("tcp://")

    def restart(self, name: str) -> Process:
        """Start a daemon, again or for the first time, and wait until it listens."""
        role, settings = self._daemons[name]
        process = self.stage.daemon(name, role, {role: settings})
        port = self.ports[name].status
        process.wait_ready(lambda: accepts(port), "serves its status")
        return process

    def entry(
        self, name: str, threads: int = 200, poll_s: float = 0.2, **changes
    ) -> Process:
        """Start an entry with so many threads for its callers."""
        ports = Ports(peers=free_port(), status=free_port(), callers=free_port())
        self.ports[name] = ports
        settings = self._base_settings(name, ports)
        settings["callers"] = {
            "host": HOST,
            "port": ports.callers,
            "threads": threads,
        }
        settings["platform"] |= {"poll_s": poll_s}
        if self.proxy is not None:
            self._link("log", self.log.port)
            log_url = self.links["log"].replace("tcp://", "http://")
            settings["platform"] |= {"log_url": log_url}
        return self._run(name, "entry", settings | changes, {})

    def agent(
        self,
        name: str,
        service: str,
        standin: StandIn,
        *,
        upstream: dict[str, str] | None = None,
        **changes,
    ) -> Process:
        """Start an agent beside an upstream, with more settings for that upstream."""
        kind = "model" if service == "narrative" else "plain"
        upstream_name = standin.process.name
        self.upstreams[upstream_name] = standin
        ports = self.ports[name] = Ports(peers=free_port(), status=free_port())
        settings = self._base_settings(name, ports) | {
            "service": service,
            "label": kind,
            "slots_max": 16,
            "upstream": {
                "name": upstream_name,
                "base_url": standin.url,
                "kind": kind,
                **(upstream or {}),
            },
        }
        member = {"service": service, "upstream": upstream_name}
        return self._run(name, "agent", settings | changes, member)

    def process(self, name: str) -> Process:
        """Return a process by name."""
        return self.stage.processes[name]

    def status(self, name: str) -> dict:
        """Return a daemon's status page."""
        return get_json(self.ports[name].status, "/-/status")

    def counter(self, name: str, counter: str, reason: str) -> int:
        """Return one of a daemon's counters."""
        counters = self.status(name)["counters"]
        return counters.get(counter, {}).get(reason, 0)

    def wait_ready(self) -> None:
        """Wait until every entry sees every agent, each joined."""
        entries = [n for n, (role, _) in self._daemons.items() if role == "entry"]
        agents = {n for n, (role, _) in self._daemons.items() if role == "agent"}
        for name in entries:
            wait_until(lambda: self._sees(name, agents), READY_S, f"{name} is ready")
        for name in agents:
            wait_until(lambda: self._joined(name), READY_S, f"{name} has joined")
        newest = max((self.status(n)["join_offset"] for n in agents), default=-1)
        for name in entries:
            wait_until(
                lambda: self.status(name)["roster_offset"] >= newest,
                READY_S,
                f"{name} has read the roster",
            )

    def _sees(self, name: str, agents: set[str]) -> bool:
        status = self.status(name)
        seen = {m["name"] for m in status["members"] if m["role"] == "agent"}
        return agents <= seen and bool(status["versions"])

    def _joined(self, name: str) -> bool:
        status = self.status(name)
        return status["join_offset"] >= 0 and status["upstream_up"]

    # Callers

    def send(
        self,
        entry: str,
        path: str,
        *,
        method: str = "POST",
        body: dict | None = None,
        timeout_s: float = 60.0,
        **headers: str,
    ) -> Sent:
        """Send a request as a caller would and read its answer to the end.

        Header names are given with underscores: `Idempotency_Key="k"`.
        """
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        named = {"Authorization": f"Bearer {CREDENTIAL}"} | named
        response = self._http.request(
            method,
            f"http://{HOST}:{self.ports[entry].callers}{path}",
            body=json.dumps(body or {}),
            headers=named | {"Content-Type": "application/json"},
            timeout=timeout_s,
            preload_content=False,
        )
        data, whole = b"", True
        try:
            for chunk in response.stream(65536):
                data += chunk
        except urllib3.exceptions.HTTPError:
            whole = False
        return Sent(
            status=response.status,
            headers=dict(response.headers),
            body=data,
            whole=whole,
        )

    def complete(
        self, entry: str, prompt: str, *, tokens: int = 8, **headers: str
    ) -> Sent:
        """Ask the model service for a streamed completion."""
        body = {"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": True}
        return self.send(entry, "/narrative/v1/completions", body=body, **headers)

    def pay(self, entry: str, order: str, **headers: str) -> Sent:
        """Send a payment, which must not run twice, to the plain service."""
        headers = {"Lavenderspoke_Idempotent": "false"} | headers
        return self.send(entry, "/ticketing/payments", body={"order": order}, **headers)


class Sending:
    """Requests sent on threads, and what came of them."""

    def __init__(self):
        self._threads: list[threading.Thread] = []
        self.results: dict[str, Sent | Exception] = {}

    def begin(self, label: str, send, *arguments, **named) -> None:
        """Send on a thread of its own."""

        def run() -> None:
            try:
                self.results[label] = send(*arguments, **named)
            # A killed entry resets the connection; the test looks at what came.
            except urllib3.exceptions.HTTPError as error:
                self.results[label] = error

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()

    def wait(self, timeout_s: float = 90.0) -> dict[str, Sent | Exception]:
        """Wait for every request to have its end."""
        wait_until(
            lambda: not any(thread.is_alive() for thread in self._threads),
            timeout_s,
            "every request has its end",
        )
        return self.results


def expected_tokens(prompt: str, tokens: int) -> list[str]:
    """Return the tokens that a stand-in engine answers a prompt with."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:6]
    return [f"{digest}-{number}" for number in range(tokens)]


def streamed_tokens(body: bytes) -> list[str]:
    """Return the tokens of a streamed completion, which must end with its mark."""
    events = [
        line[5:].strip() for line in body.decode().splitlines() if line[:5] == "data:"
    ]
    if not events or events[-1] != "[DONE]":
        return []
    texts = [json.loads(event)["choices"][0]["text"] for event in events[:-1]]
    return "".join(texts).split()
