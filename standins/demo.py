"""What `make run` shows: a whole deployment on this machine, and its answers.

Two entries, and an agent beside each of three unlike upstreams: a fast and a
slow model engine, and a plain service. Everything is stopped by its pid.
"""

import collections
import os
import shlex
import subprocess
import sys

import yaml

from standins.deployment import (
    CREDENTIAL,
    TIERS,
    Deployment,
    Sending,
    document,
    streamed_tokens,
)
from standins.processes import HOST, ROOT

ENTRIES = ("entry-1", "entry-2")
AGENTS = ("agent-fast", "agent-slow", "agent-plain")
FAST_STEP_MS, SLOW_STEP_MS = "4", "12"
REQUESTS_PER_TIER = 30
TOKENS = 24


def title(text: str) -> None:
    print(f"\n== {text}", flush=True)


def start(deployment: Deployment) -> None:
    """Start the entries, the upstreams, and an agent beside each of them."""
    stage = deployment.stage
    for name in ENTRIES:
        deployment.entry(name)
    fast = stage.engine("engine-fast", "--step-ms", FAST_STEP_MS)
    slow = stage.engine("engine-slow", "--step-ms", SLOW_STEP_MS)
    deployment.agent("agent-fast", "narrative", fast)
    deployment.agent("agent-slow", "narrative", slow)
    deployment.agent("agent-plain", "ticketing", stage.plain("plain"))
    for name, process in stage.processes.items():
        print(f"{name:12} pid {process.pid}")


def command(*arguments: str) -> None:
    """Show and run a `lavenderspoke` command; fail with it."""
    print("$ lavenderspoke " + shlex.join(arguments), flush=True)
    subprocess.run(
        [sys.executable, "-m", "lavenderspoke.ui", *arguments],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(ROOT), "COLUMNS": "110"},
        check=True,
    )
    print()


def publish(deployment: Deployment) -> None:
    """Publish the two services' documents as an operator would."""
    urls = ("--log", deployment.log.url, "--members", deployment.members.url)
    for name, kind in (("narrative", "model"), ("ticketing", "plain")):
        path = deployment.stage.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document(name, kind), sort_keys=False))
        command("service", "check", str(path))
        command("service", "publish", str(path), *urls, "--wait")
    deployment.wait_ready()


def send_by_command(deployment: Deployment) -> None:
    """Send a streamed completion through each entry with the caller's tool."""
    credential = deployment.stage.directory / "credential.txt"
    credential.write_text(CREDENTIAL)
    for name, tier in zip(ENTRIES, ("alert", "report")):
        url = f"http://{HOST}:{deployment.ports[name].callers}/narrative"
        prompt = f"Where is runner 12, asks {name}?"
        options = ("--tier", tier, "--stream", "--max-tokens", "3", "--key", "auto")
        command(
            *("send", url, "--credential-file", str(credential)),
            *("--prompt", prompt, *options),
        )


def send_burst(deployment: Deployment) -> bool:
    """Send a burst of every tier through both entries; return if all is whole."""
    sending = Sending()
    for number in range(REQUESTS_PER_TIER):
        for tier in TIERS:
            sending.begin(
                f"{tier} {number}",
                deployment.complete,
                ENTRIES[number % len(ENTRIES)],
                f"{tier} {number}",
                tokens=TOKENS,
                Lavenderspoke_Tier=tier,
            )
    whole = collections.Counter()
    for label, sent in sending.wait().items():
        tokens = streamed_tokens(sent.body) if not isinstance(sent, Exception) else []
        whole[label.split()[0]] += len(tokens) == TOKENS
    for tier, rank in sorted(TIERS.items(), key=lambda item: -item[1]):
        print(f"{tier:10} {whole[tier]} of {REQUESTS_PER_TIER} answered whole")
    for name in ("engine-fast", "engine-slow"):
        runs = deployment.upstreams[name].counts()["runs"]
        print(f"{name:12} ran {len(runs)} requests, each {max(runs.values())} time(s)")
    return all(whole[tier] == REQUESTS_PER_TIER for tier in TIERS)


def pay_twice(deployment: Deployment) -> bool:
    """Send a payment and its re-send through the other entry; return if it ran once."""
    for name, kind in zip(ENTRIES, ("first", "resend")):
        sent = deployment.pay(
            name, "order-7", Idempotency_Key="order-7", Lavenderspoke_Sending=kind
        )
        print(f"{name} {kind:7} status {sent.status}: {sent.body[:60].decode()}")
    runs = sum(deployment.upstreams["plain"].counts()["runs"].values())
    print(f"the plain service ran it {runs} time(s)")
    return runs == 1


def stop(deployment: Deployment) -> bool:
    """Ask each daemon to stop; return whether all ended well."""
    daemons = [deployment.process(name) for name in (*AGENTS, *ENTRIES)]
    for process in daemons:
        process.terminate()
    statuses = {process.name: process.wait() for process in daemons}
    for name, status in statuses.items():
        print(f"{name:12} ended with status {status}")
    return not any(statuses.values())


def main() -> int:
    """Run the demonstration; return 0 only if everything went as promised."""
    with Deployment() as deployment:
        title("Starting stand-ins, two entries and three agents")
        start(deployment)
        title("Publishing two service documents")
        publish(deployment)
        title("A streamed answer through each entry")
        send_by_command(deployment)
        title(f"{REQUESTS_PER_TIER * len(TIERS)} requests of three tiers at once")
        good = send_burst(deployment)
        title("A payment, sent again through the other entry")
        good &= pay_twice(deployment)
        title("Status")
        command("status", "--members", deployment.members.url)
        title("Stopping")
        good &= stop(deployment)
    print("\nall as promised" if good else "\nNOT as promised")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
