"""Callers that begin streams, leave them, and take them up again.

Upstreams name their software version in each event, so that a caller can tell which
versions wrote what it has.
"""

import http.client
import itertools
import re
import time
from collections.abc import Iterable

import attrs

from standins.platformdeployment import HOST_HEADER, KEY, Answer, PlatformDeployment
from standins.processes import HOST

ENTRIES = ("entry-1", "entry-2", "entry-3")
EVENTS = 6
PATH = "/stream/1"
ATTEMPTS = itertools.count(1)
TIMEOUT_S = 15.0
# Time for the list of upstreams to be read.
LISTED_S = 1.5
# Time until a version that isn't the first is used where no order names it.
IN_USE_S = 4.5


@attrs.define(kw_only=True)
class Stream:
    """A stream as its caller has it."""

    attempt_id: str
    version: str
    last_event_id: int


def parse_named(text: str) -> list[tuple[list[str], str]]:
    """Return names and version from such as "m1 and m2 of v1, and m3 of v2"."""
    groups = re.findall(r"((?:m\d(?:, | and )?)+) of (v\d)", text)
    return [(re.findall(r"m\d", names), version) for names, version in groups]


def start_upstreams(platform: PlatformDeployment, named: str) -> None:
    """Start and register upstreams that are named with their versions."""
    for names, version in parse_named(named):
        for name in names:
            platform.upstream(name, "model", version=version)
            platform.upstreams[name].set_faults(software=version, events=EVENTS)


def versions_in(body: bytes) -> set[str]:
    """Return the versions that wrote the events of a body."""
    return {each.decode() for each in re.findall(rb"data: piece \d+ (v\d)", body)}


def event_ids(body: bytes) -> list[int]:
    """Return the ids of a body's events."""
    return [int(each) for each in re.findall(rb"^id: (\d+)$", body, re.M)]


def open_stream(
    platform: PlatformDeployment, entry: str, headers: dict[str, str]
) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
    """Request a stream and return once its head has come."""
    connection = http.client.HTTPConnection(
        HOST, platform.entries[entry].callers, timeout=TIMEOUT_S
    )
    connection.request(
        "POST",
        PATH,
        body=b"prompt",
        headers={
            "Host": HOST_HEADER,
            "X-Deadline-Ms": "12000",
            "Authorization": f"Bearer {KEY}",
            # Only requests with token counts are moved.
            "X-Token-Usage": "100,20",
        }
        | headers,
    )
    return connection, connection.getresponse()


def begin(platform: PlatformDeployment, entry: str, *, events: int = 2) -> Stream:
    """Read the first events of a stream and leave."""
    attempt_id = f"first-{next(ATTEMPTS)}"
    connection, response = open_stream(platform, entry, {"X-Attempt-Id": attempt_id})
    assert response.status == 200, response.status
    body = b""
    while body.count(b"\n\n") < events:
        body += response.read1(64)
    connection.close()
    (version,) = versions_in(body)
    ids = event_ids(body[: body.rindex(b"\n\n") + 1])
    return Stream(attempt_id=attempt_id, version=version, last_event_id=ids[-1])


def take_up(platform: PlatformDeployment, entry: str, stream: Stream) -> Answer:
    """Take a stream up again through an entry."""
    headers = {"Last-Event-Id": str(stream.last_event_id)}
    if stream.attempt_id:
        headers["Resumes"] = stream.attempt_id
    return platform.send(entry, PATH, body=b"prompt", headers=headers)


def restart_all(platform: PlatformDeployment, *, killed_s: float = 0.0) -> None:
    """Kill all entries at once, and start them again after a time."""
    for entry in platform.entries.values():
        entry.process.kill()
    time.sleep(killed_s)
    names = list(platform.entries)
    for name in names:
        platform.start_again(name)


def goes_on(stream: Stream, answer: Answer) -> bool:
    """Return whether a stream that was taken up is whole and of one version."""
    rest = list(range(stream.last_event_id + 1, EVENTS))
    return (
        answer.status == 200
        and answer.whole
        and event_ids(answer.body) == rest
        and versions_in(answer.body) == {stream.version}
    )


def mixed(streams: Iterable[Stream], answers: Iterable[Answer]) -> list[Answer]:
    """Return the answers that went on with another version's events."""
    return [
        answer
        for stream, answer in zip(streams, answers, strict=True)
        if versions_in(answer.body) - {stream.version}
    ]
