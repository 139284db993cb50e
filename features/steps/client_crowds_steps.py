"""Steps about crowds of clients that hold what an entry has."""

import json
import pathlib
import struct
import time

import psutil
import urllib3
from behave import given, then, when

from features.platformstage import deploy
from features.rawhttp import connect, read_all
from standins.clientcrowd import Behaviour, ClientCrowd
from standins.platformdeployment import HOST_HEADER, KEY, configuration
from standins.processes import NotReached, wait_until

ENTRY = "entry-1"
MEMORY_MB = 150
MB = 1_000_000
BODY_BYTES_MAX = 2 * 1024 * 1024
HEADER_TIMEOUT_MS = 5000
ANSWER_BYTES = 3_000_000
SHORT_BYTES = 10
ENDLESS_BYTES = 24_000_000
SMALL_CHUNK_BYTES = 4096
STAY_S = 2.0
DRIP_S = 0.2
# Callers try so many times, each on a new connection.
TRIES = 3
CROWD_SENT_S = 60.0
CROWD_ANSWERED_S = 15.0
LEFT_S = 20.0
# Connections of the entry's own that may come and go, to upstreams and the store.
OWN_CONNECTIONS = 40
GRACE_S = 8.0
# How a socket that pushes messages greets, in the protocol of nng.
PEER_GREETING = b"\0SP\0\0\x50\0\0"


def head(number: int, *fields: str, path="/look/1", key=KEY, version="1.1") -> bytes:
    """Return the head of a caller's request."""
    lines = (
        f"POST {path} HTTP/{version}",
        f"Host: {HOST_HEADER}",
        f"X-Attempt-Id: crowd-{number}-{time.monotonic_ns()}",
        "X-Deadline-Ms: 4000",
        f"Authorization: Bearer {key}",
    )
    return "\r\n".join([*lines, *fields, "", ""]).encode()


def sized(number: int, *, size=BODY_BYTES_MAX, short=0, **named) -> bytes:
    body = b"x" * (size - short)
    return head(number, f"Content-Length: {size}", **named) + body


def chunked(number: int, *, chunk_bytes: int, end: bytes, short=0) -> bytes:
    """Return a chunked request of the largest size, whose last chunk may be short."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    data = chunk * (BODY_BYTES_MAX // chunk_bytes)
    return chunked_head(number) + (data[:-short] if short else data) + end


def chunked_head(number: int) -> bytes:
    return head(number, "Transfer-Encoding: chunked")


def peer_message(size: int) -> bytes:
    """Return a connection's beginning at a peers' port, and a message."""
    return PEER_GREETING + struct.pack(">Q", size) + b"x" * size


def endless(number: int, begin: bytes) -> bytes:
    return chunked_head(number) + begin


BEHAVIOURS = {
    "send a trailer line without end": Behaviour(
        opening=lambda n: endless(n, b"5\r\nxxxxx\r\n0\r\nX-Trailer: "),
        repeated=b"x" * 65536,
        bytes_max=ENDLESS_BYTES,
    ),
    "send trailer lines without end": Behaviour(
        opening=lambda n: endless(n, b"5\r\nxxxxx\r\n0\r\n"),
        repeated=b"X-Trailer: 1\r\n" * 4096,
        bytes_max=ENDLESS_BYTES,
    ),
    "send a chunk size without end": Behaviour(
        opening=lambda n: endless(n, b"0"),
        repeated=b"0" * 65536,
        bytes_max=ENDLESS_BYTES,
    ),
    "send a chunk extension without end": Behaviour(
        opening=lambda n: endless(n, b"5;x="),
        repeated=b"x" * 65536,
        bytes_max=ENDLESS_BYTES,
    ),
    "hold sized bodies just short of their end": Behaviour(
        opening=lambda n: sized(n, short=SHORT_BYTES)
    ),
    "hold chunked bodies just short of their end": Behaviour(
        opening=lambda n: chunked(
            n, chunk_bytes=BODY_BYTES_MAX, short=SHORT_BYTES, end=b""
        )
    ),
    "hold bodies in small chunks just short of their end": Behaviour(
        opening=lambda n: chunked(
            n, chunk_bytes=SMALL_CHUNK_BYTES, short=SHORT_BYTES, end=b""
        )
    ),
    "end their bodies by a byte now and then": Behaviour(
        opening=lambda n: sized(n, short=1000), dripped=b"x" * 1000, drip_s=DRIP_S
    ),
    "send whole sized bodies at once": Behaviour(opening=sized),
    "send whole chunked bodies at once": Behaviour(
        opening=lambda n: chunked(n, chunk_bytes=65536, end=b"0\r\n\r\n")
    ),
    "don't read answers of 3 MB": Behaviour(
        opening=lambda n: sized(n, size=10, path="/look/large"), reads=False
    ),
    "say nothing, and return": Behaviour(opening=lambda n: b"", returns=True),
    "send half a head, and return": Behaviour(
        opening=lambda n: head(n)[:60], returns=True
    ),
    "send a head by a byte now and then": Behaviour(
        opening=lambda n: head(n)[:20], dripped=head(0)[20:], drip_s=DRIP_S
    ),
    "send a head without its body, and return": Behaviour(
        opening=lambda n: head(n, "Content-Length: 1000"), returns=True
    ),
    "use a wrong key and stay": Behaviour(
        opening=lambda n: sized(n, size=100_000, key="unknown"), returns=True
    ),
    "have an answer and keep their connections": Behaviour(
        opening=lambda n: head(n, path="/nowhere/1"), returns=True
    ),
    "hold messages of 6 MB just short of their end": Behaviour(
        opening=lambda n: peer_message(6 * MB)[:-SHORT_BYTES]
    ),
    "send whole messages of 1 MB without end": Behaviour(
        opening=lambda n: peer_message(MB),
        repeated=peer_message(MB).removeprefix(PEER_GREETING),
        bytes_max=8 * MB,
    ),
    "announce bodies of 200 MB": Behaviour(
        opening=lambda n: head(n, f"Content-Length: {200 * MB}") + b"x" * 100_000
    ),
}


@given("an entry with 150 MB of memory before four upstreams")
def step_memory(context):
    start(context, {"limits.memory-mb": MEMORY_MB, "limits.max-fds": 4100})


@given("an entry with {count:d} descriptors before four upstreams")
def step_descriptors(context, count):
    context.descriptors = count
    start(context, {"limits.memory-mb": MEMORY_MB, "limits.max-fds": count})


def start(context, limits: dict) -> None:
    platform = deploy(context)
    platform.configure(
        configuration(
            2,
            limits={
                "max-body-bytes": BODY_BYTES_MAX,
                "header-timeout-ms": HEADER_TIMEOUT_MS,
                "idle-timeout-ms": 15000,
            },
        )
    )
    for number in range(4):
        platform.upstream(f"desk-{number}", "desk", "--slots", "20")
    platform.entry(ENTRY, grace_s=GRACE_S, more_settings=limits)
    context.crowds = []
    context.add_cleanup(close_crowds, context)
    assert_answered(context)
    context.calm_descriptors = process(context).num_fds()


@given("the upstreams work for {work_s:g} s")
def step_work(context, work_s):
    for upstream in context.platform.upstreams.values():
        upstream.set_faults(work_s=work_s)


def process(context) -> psutil.Process:
    return psutil.Process(context.platform.entries[ENTRY].process.pid)


def close_crowds(context) -> None:
    for crowd in context.crowds:
        crowd.close()
    context.crowds = []


def come(context, count: int, port: int, do: str) -> None:
    if "answers" in do:
        for upstream in context.platform.upstreams.values():
            upstream.set_faults(answer_bytes=ANSWER_BYTES)
    crowd = ClientCrowd(port=port, count=count, behaviour=BEHAVIOURS[do])
    context.crowds.append(crowd.__enter__())
    # Some may be closed again and again, so that not all are there at any time.
    try:
        if "have an answer" in do:
            wait_until(lambda: crowd.is_answered, CROWD_ANSWERED_S, "all are answered")
        wait_until(lambda: crowd.is_sent, CROWD_SENT_S, "the crowd has sent")
    except NotReached:
        pass
    time.sleep(STAY_S)
    context.descriptors_seen = process(context).num_fds()


@when("{count:d} clients of the readiness port {do}")
def step_readiness_crowd(context, count, do):
    come(context, count, context.platform.entries[ENTRY].readiness, do)


@when("{count:d} clients of the peers' port {do}")
def step_peers_crowd(context, count, do):
    come(context, count, context.platform.entries[ENTRY].peers, do)


@when("{count:d} clients {do}")
def step_crowd(context, count, do):
    come(context, count, context.platform.entries[ENTRY].callers, do)


@when("they leave")
def step_leave(context):
    close_crowds(context)


def is_answered(context) -> bool:
    """Return whether a caller gets its answer, who tries as often as callers do."""
    for _ in range(TRIES):
        try:
            answer = context.platform.send(ENTRY, "/look/1", body=b"ordinary")
        except urllib3.exceptions.HTTPError:
            continue
        if answer.status == 200 and answer.whole:
            return True
    return False


def assert_answered(context) -> None:
    assert is_answered(context), context.platform.entries[ENTRY].process.output()[
        -3000:
    ]


@then("a caller is answered while they stay")
def step_answered(context):
    for upstream in context.platform.upstreams.values():
        upstream.set_faults(answer_bytes=0)
    assert_answered(context)


@then("a caller is answered after they left")
def step_answered_after(context):
    close_crowds(context)
    step_answered(context)


@then("the entry has stayed within its memory")
def step_within_memory(context):
    pid = process(context).pid
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    peak_kb = next(int(line.split()[1]) for line in lines if line.startswith("VmHWM"))
    assert peak_kb * 1024 <= MEMORY_MB * MB, f"{peak_kb * 1024 / MB:.0f} MB"


@then("the entry has stayed within its descriptors")
def step_within_descriptors(context):
    assert context.descriptors_seen <= context.descriptors, context.descriptors_seen


@then("the entry has let go of their connections")
def step_let_go(context):
    close_crowds(context)
    allowed = context.calm_descriptors + OWN_CONNECTIONS
    wait_until(
        lambda: process(context).num_fds() <= allowed,
        LEFT_S,
        f"at most {allowed} descriptors",
    )


@then("nothing refused has run")
def step_nothing_refused(context):
    refused = {
        line["request"]
        for line in log_lines(context)
        if line.get("message") == "request" and line.get("ran") == "no"
    }
    ran = {run["attempt_id"] for run in context.platform.runs()}
    assert not refused & ran, refused & ran


def log_lines(context) -> list[dict]:
    lines = context.platform.entries[ENTRY].process.output().splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]


@then("the entry counts as ready while they stay")
def step_ready(context):
    assert context.platform.entries[ENTRY].ready()


@when("the entry is stopped")
def step_stopped(context):
    context.platform.entries[ENTRY].process.terminate()


@then("it ends by itself within its grace")
def step_ends(context):
    status = context.platform.entries[ENTRY].process.wait(GRACE_S)
    assert status == 0, status


LARGEST = {
    "sized": sized,
    "in one chunk": lambda n: chunked(n, chunk_bytes=BODY_BYTES_MAX, end=b"0\r\n\r\n"),
    "in chunks of 16 bytes": lambda n: chunked(n, chunk_bytes=16, end=b"0\r\n\r\n"),
    "after a 100-continue": lambda n: head(
        n, f"Content-Length: {BODY_BYTES_MAX}", "Expect: 100-continue"
    )
    + b"x" * BODY_BYTES_MAX,
    "by HTTP/1.0": lambda n: sized(n, version="1.0"),
}


@when("a caller sends a body of the largest size, {how}")
def step_largest(context, how):
    with connect(context.platform.entries[ENTRY].callers) as sock:
        data = LARGEST[how](0).replace(b"\r\nHost", b"\r\nConnection: close\r\nHost", 1)
        sock.sendall(data)
        context.answer = read_all(sock)


@then("it is answered, and an upstream had the whole body")
def step_largest_answered(context):
    data = context.answer.data.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert data.split(b" ", 2)[1] == b"200", data[:300]
    sizes = [run["body_bytes"] for run in context.platform.runs()]
    assert BODY_BYTES_MAX in sizes, sizes
