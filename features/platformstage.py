"""Helpers shared by the steps about entries on the users' platform."""

from features.helper import stage_of
from standins.platformdeployment import PlatformDeployment, configuration

EVENTS = 5


def deploy(context) -> PlatformDeployment:
    context.platform = PlatformDeployment(stage=stage_of(context))
    context.platform.configure(configuration(1))
    return context.platform


def start_upstreams(platform: PlatformDeployment) -> None:
    for name in ("model-1", "model-2"):
        platform.upstream(name, "model")
    for name in ("desk-1", "desk-2"):
        platform.upstream(name, "desk")


def set_all(context, prefix: str, **faults) -> None:
    for name, upstream in context.platform.upstreams.items():
        if name.startswith(prefix):
            upstream.set_faults(**faults)


def expected_stream(events: int = EVENTS) -> bytes:
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(events))


def look_status(context, entry: str) -> int:
    return context.platform.send(entry, "/look/1", method="GET").status
