"""Steps about answers that break off within their heads."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.breakingupstream import Breaking, BreakingUpstream
from features.platformstage import deploy
from features.rawhttp import connect
from lavenderspoke.clock import SystemClock
from lavenderspoke.direct.exchange import (
    CancelHandle,
    ConnectionPool,
    IncompleteResponse,
)
from lavenderspoke.http.client import HttpClient
from lavenderspoke.model import Call
from lavenderspoke.upstreams.httpupstream import ModelUpstream, PlainUpstream
from lavenderspoke.upstreams.upstream import UpstreamEnd
from standins.deployment import CREDENTIAL, Deployment, document
from standins.platformdeployment import HOST_HEADER, KEY
from standins.processes import HOST, wait_until

TIMEOUT_S = 2.0
WAIT_S = 20.0
CALLERS = 8
# Bytes of an answer between two breaks that are tried over sockets.
STEP_BYTES = 9
COMMON = b"X-Attempt-Id: {id}\r\nX-Response-Signature: s1\r\n"
LONG = b"".join(b"X-Field-%d: %b\r\n" % (each, b"v" * 200) for each in range(4))
BODY = b"the whole content"
EVENTS = b"id: 0\ndata: one\n\nid: 1\ndata: [DONE]\n\n"
ANSWERS = {
    "a length": b"HTTP/1.1 200 OK\r\n"
    + COMMON
    + b"Content-Length: %d\r\n\r\n" % len(BODY)
    + BODY,
    "no length": b"HTTP/1.0 200 OK\r\n" + COMMON + b"X-Last: 1\r\n\r\n" + BODY,
    "no content": b"HTTP/1.1 204 No Content\r\n" + COMMON + b"\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\n"
    + COMMON
    + b"Transfer-Encoding: chunked\r\n\r\n8\r\nthe whol\r\n9\r\ne content\r\n0\r\n\r\n",
    "an interim answer before": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    + b"HTTP/1.1 200 OK\r\n"
    + COMMON
    + b"Content-Length: %d\r\n\r\n" % len(BODY)
    + BODY,
    "a head of several segments": b"HTTP/1.1 200 OK\r\n"
    + COMMON
    + LONG
    + b"Content-Length: %d\r\n\r\n" % len(BODY)
    + BODY,
    "events": b"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n"
    + COMMON
    + b"\r\n"
    + EVENTS,
}
HEAD_END = b"\r\n\r\n"


def start_upstream(context, breaking: Breaking) -> BreakingUpstream:
    context.upstream = BreakingUpstream(breaking)
    context.add_cleanup(context.upstream.close)
    return context.upstream


@given("an upstream that sends {answer}, in {segments:d} segments, and {ends}")
def step_upstream(context, answer, segments, ends):
    breaking = Breaking(
        answer=ANSWERS[answer], segments=segments, resets=ends == "resets"
    )
    start_upstream(context, breaking)


def _call(at: int, *, stream: bool = False) -> Call:
    return Call(
        request_id=f"r{at}",
        service="desk",
        method="POST",
        path=f"/broken/{at}",
        headers=(),
        body=b"",
        customer="tours",
        tier=1,
        stream=stream,
    )


def _run_is_whole(context, at: int) -> bool:
    run = PlainUpstream(base_url=context.upstream.url).run(
        _call(at), timeout_s=TIMEOUT_S
    )
    return isinstance(list(run)[-1], UpstreamEnd)


def _stream_is_whole(context, at: int) -> bool:
    upstream = ModelUpstream(base_url=context.upstream.url)
    run = upstream.run(_call(at, stream=True), timeout_s=TIMEOUT_S)
    return isinstance(list(run)[-1], UpstreamEnd)


def _fetch_is_whole(context, at: int, *, after: int = 0) -> bool:
    client = HttpClient(base_url=context.upstream.url, connections=1)
    for _ in range(after):
        first = client.fetch(method="GET", path="/whole", timeout_s=TIMEOUT_S)
        assert first.is_ok(), first
    return client.fetch(method="GET", path=f"/broken/{at}", timeout_s=TIMEOUT_S).is_ok()


def _request_is_whole(context, at: int, *, after: int = 0) -> bool:
    pool = ConnectionPool(host=HOST, port=context.upstream.port, clock=SystemClock())
    paths = ["/whole"] * after + [f"/broken/{at}"]
    results = [_exchange(pool, path) for path in paths]
    assert all(results[:-1]), results
    pool.close_idle()
    return results[-1]


def _exchange(pool: ConnectionPool, path: str) -> bool:
    sent = pool.send(
        cancel_handle=CancelHandle(),
        method="POST",
        target=path,
        headers={"Host": "test", "X-Attempt-Id": "mine"},
        body=b"",
        head_timeout_s=TIMEOUT_S,
        ends_s=time.monotonic() + TIMEOUT_S,
    )
    if sent.is_err():
        return False
    response = sent.ok_value
    try:
        while response.read(TIMEOUT_S):
            pass
    except IncompleteResponse:
        response.close(keep=False)
        return False
    response.close(keep=True)
    return True


WAYS = {
    "an agent's run": _run_is_whole,
    "an agent's stream": _stream_is_whole,
    "an agent's fetch": _fetch_is_whole,
    "an agent's second fetch": lambda context, at: _fetch_is_whole(
        context, at, after=1
    ),
    "an entry's request": _request_is_whole,
    "an entry's second request": lambda context, at: _request_is_whole(
        context, at, after=1
    ),
}


@when("{way} asks it to break off at each byte of the head")
def step_break(context, way):
    attempt_id = b"mine" if way.startswith("an entry") else b""
    answer = context.upstream.breaking.answer.replace(b"{id}", attempt_id)
    head_bytes = answer.index(HEAD_END, answer.index(b" 20")) + len(HEAD_END)
    with ThreadPoolExecutor(CALLERS) as pool:
        whole = pool.map(lambda at: WAYS[way](context, at), range(head_bytes))
        context.whole = {at: each for at, each in enumerate(whole)}


@then("no answer counts as whole")
def step_none_whole(context):
    answer = context.upstream.breaking.answer
    wrong = {at: answer[:at][-30:] for at, each in context.whole.items() if each}
    assert not wrong, wrong


@given("{interface} before an upstream that sends {answer} and {ends}")
def step_interface(context, interface, answer, ends):
    breaking = Breaking(answer=ANSWERS[answer], resets=ends == "resets")
    upstream = start_upstream(context, breaking)
    if interface == "the platform's way":
        _start_platform(context, upstream)
    else:
        _start_own(context, upstream)


def _start_platform(context, upstream: BreakingUpstream) -> None:
    platform = deploy(context)
    record = {
        "service": "desk",
        "address": f"{HOST}:{upstream.port}",
        "zone": "here",
        "slots": CALLERS,
        "version": "v1",
        "state": "ready",
    }
    platform.put("keyed.servers", "desk-1", record)
    context.port = platform.entry("entry-1").callers
    context.path = "/pay/broken/{at}"
    context.fields = [
        f"Host: {HOST_HEADER}",
        "X-Attempt-Id: a{at}",
        "X-Deadline-Ms: 4000",
        f"Authorization: Bearer {KEY}",
    ]


def _start_own(context, upstream: BreakingUpstream) -> None:
    deployment = Deployment()
    context.stage = deployment.stage
    deployment.publish(document("ticketing", "plain"))
    deployment.entry("entry-1")
    plain = deployment.stage.plain("plain-1")
    deployment.agent("agent-p", "ticketing", plain, upstream={"base_url": upstream.url})
    deployment.wait_ready()
    context.port = deployment.ports["entry-1"].callers
    context.path = "/ticketing/broken/{at}"
    context.fields = [
        "Host: test",
        f"Authorization: Bearer {CREDENTIAL}",
        "Lavenderspoke-Idempotent: false",
        "Content-Type: application/json",
    ]


@when("callers by {version} ask it to break off at bytes of the head and the body")
def step_callers(context, version):
    answer = context.upstream.breaking.answer
    ends = [*range(0, len(answer), STEP_BYTES), len(answer) - 1]
    # The unbroken answer shows that it is the break that is seen.
    assert wait_until(
        lambda: _looks_whole(_ask(context, version, len(answer) + 100)), WAIT_S, "whole"
    )
    with ThreadPoolExecutor(CALLERS) as pool:
        got = pool.map(lambda at: _ask(context, version, at), ends)
        context.got = dict(zip(ends, got, strict=True))


def _ask(context, version: str, at: int) -> tuple[bytes, bool]:
    """Return all bytes that came, and whether the connection was closed in order."""
    lines = [f"POST {context.path} {version}", *context.fields, "Content-Length: 2"]
    text = "\r\n".join([*lines, "Connection: close", "", ""]).replace("{at}", str(at))
    data = b""
    with connect(context.port) as connection:
        connection.sendall(text.encode() + json.dumps({}).encode())
        try:
            while received := connection.recv(65536):
                data += received
        except ConnectionResetError:
            return data, False
    return data, True


def _looks_whole(got: tuple[bytes, bool]) -> bool:
    """Return whether bytes are a success that a caller takes for whole."""
    data, is_closed = got
    head, separator, body = data.partition(HEAD_END)
    if not separator or head.split(b" ")[1:2] != [b"200"]:
        return False
    fields = head.lower()
    if b"transfer-encoding: chunked" in fields:
        return body.endswith(b"0\r\n\r\n")
    if b"content-length:" in fields:
        length = fields.partition(b"content-length:")[2].partition(b"\r\n")[0]
        return len(body) >= int(length)
    return is_closed


@then("none gets a success that looks whole")
def step_none_looks_whole(context):
    wrong = {
        at: got
        for at, got in context.got.items()
        if _looks_whole(got) and BODY not in got[0]
    }
    assert not wrong, wrong
