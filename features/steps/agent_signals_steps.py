"""Steps about agents whose upstreams say something about themselves, over sockets.

The steps that entries on the users' platform need too are shared with these.
"""

from behave import given, then, when

from features.steps.deployment_steps import start_models
from features.steps.upstream_signals_steps import STATED, most_in_pause, send_for
from standins.deployment import Deployment, Sent
from standins.processes import StandIn, get_json

SIGNAL_HEADERS = {"limit_header": "Server-Limit", "leaving_header": "Server-Leaving"}


class AgentPlatform:
    """A deployment with agents, as the shared steps use one."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self.entries = ("entry-1", "entry-2")

    @property
    def upstreams(self) -> dict[str, StandIn]:
        return self._deployment.upstreams

    def send(self, entry: str, path: str, *, body: bytes, headers: dict) -> Sent:
        prompt = f"{body.decode()} {headers['X-Attempt-Id']}"
        return self._deployment.complete(entry, prompt)

    def arrivals(self, name: str) -> list[dict]:
        return get_json(self.upstreams[name].port, "/control/arrivals")

    def replace(self, name: str) -> None:
        """End an upstream's process and start another one at its address."""
        standin = self.upstreams[name]
        standin.process.kill()
        self.upstreams[name] = self._deployment.stage.restart(standin)


@given("two entries before two model engines whose agents read what they say")
def step_models(context):
    start_models(context, {STATED: [], "model-2": []}, upstream=SIGNAL_HEADERS)
    context.platform = AgentPlatform(context.deployment)


@when("another process starts at its address, and the callers send for {seconds:g} s")
def step_replaced(context, seconds):
    context.platform.replace(STATED)
    context.answers = send_for(context, context.callers, seconds)


@then(
    "from {after_s:g} s after a refusal on it got at most {count:d} requests within "
    "{pause_s:g} s of it"
)
def step_paused(context, after_s, count, pause_s):
    arrived_s = [each["at_s"] for each in context.platform.arrivals(STATED)]
    most = most_in_pause(arrived_s, after_s, pause_s)
    assert most <= count, (most, len(arrived_s))
