"""Steps for explaining a request from logs."""

import json

from behave import given, then, when

from features.helper import run, stage_of
from lavenderspoke.direct import pacemonitor
from lavenderspoke.observing import signals
from standins.processes import wait_until


def logged_id(context, outcome: str) -> str:
    """Return the id of the entry's request with that outcome, once it is logged."""
    process = context.platform.entries["entry-1"].process

    def found() -> str | None:
        for text in process.output().splitlines():
            fields = json.loads(text) if text.startswith("{") else {}
            if fields.get("message") == "request" and fields["outcome"] == outcome:
                return fields["request"]
        return None

    return wait_until(found, 5.0, f"a line of a request with outcome {outcome}")


def explain(context, request_id: str) -> None:
    path = context.platform.entries["entry-1"].process.output_path
    run(context, f"explain {request_id} {path}")
    assert context.done.returncode == 0, context.done


@when("its id is explained from the entry's log")
def step_explain(context):
    refused = context.answer.status == 503
    explain(context, logged_id(context, "no_room" if refused else "broken"))


@when("the at-most-once one's id is explained from the entry's log")
def step_explain_single(context):
    explain(context, logged_id(context, "answer_incomplete"))


@then('the explanation contains "{text}"')
def step_says(context, text):
    assert text in context.done.stdout, context.done.stdout


def record(second: int, message: str, daemon: str = "entry-1", **fields) -> str:
    time = f"2026-01-01T10:00:{second:02d}.000000Z"
    return json.dumps({"time": time, "daemon": daemon, "message": message} | fields)


@given("log files with truncated, unrelated and reordered lines about one request")
def step_files(context):
    directory = stage_of(context).directory
    request = record(
        20, "request", request="r1", outcome="keys_stale", status=503, whole_s=0.5
    )
    first = [
        record(30, "store regained", topic="after the request"),
        record(18, "store regained", topic="t"),
        request[:40],
        "collector-7 | " + request,
    ]
    second = [
        "not a record at all",
        record(12, "store lost", topic="t", error="timed out"),
        record(13, "store lost", daemon="entry-2", topic="another's"),
    ]
    context.files = []
    for name, lines in (("a.log", first), ("b.log", second)):
        path = directory / name
        path.write_text("\n".join(lines) + "\n")
        context.files.append(str(path))


@given("a log file of a request for which a limited upstream was left out")
def step_left_out(context):
    held_back = {"model-1": "limit of 2 per s: next in 0.31 s"}
    lines = [
        record(2, "upstream limits its requests", upstream="model-1", per_s=9),
        record(3, "upstream limits its requests", upstream="model-1", per_s=2),
        record(3, "upstream limits its requests", upstream="model-3", per_s=4),
        record(4, "upstream asks for a pause", upstream="model-1", pause_s=1.5),
        record(
            50,
            "request",
            request="r1",
            outcome="whole",
            trail=["model-2:answered"],
            held_back=held_back,
            whole_s=0.5,
        ),
    ]
    path = stage_of(context).directory / "entry.log"
    path.write_text("\n".join(lines) + "\n")
    context.files = [str(path)]


@given("a log file of a request that was hedged while an upstream was slow")
def step_hedged(context):
    lines = [
        record(2, pacemonitor.SLOW, upstream="model-1", by="told", times=2.5),
        record(
            3,
            "request",
            request="r1",
            outcome="whole",
            trail=["model-2:left", "model-3:answered"],
            slow={"model-1": 2.5},
            hedge="won, after 0.061 s",
            whole_s=0.1,
        ),
    ]
    path = stage_of(context).directory / "entry.log"
    path.write_text("\n".join(lines) + "\n")
    context.files = [str(path)]


@given("a log file of a request that waited for two upstreams, and of one still held")
def step_waited(context):
    waits = [
        "model-1: head, 1.400 s, 0 bytes, silent",
        "model-2: first_event, 0.551 s, 310 bytes, deadline",
    ]
    own = record(30, "request", request="r1", outcome="deadline_expired", waits=waits)
    held = record(
        31,
        signals.OVERDUE,
        request="held",
        awaited="head",
        upstream="model-2",
    )
    write_logs(context, own, [held])


@when("the held one's id is explained from them")
def step_explain_held(context):
    run(context, f"explain held {' '.join(context.files)}")
    assert context.done.returncode == 0, context.done


def write_logs(context, own: str, others: list[str]) -> None:
    """Write the line of a request at one entry, and what another one has logged."""
    context.files = []
    for name, lines in (("entry-1", [own]), ("entry-2", others)):
        path = stage_of(context).directory / f"{name}.log"
        text = "\n".join(lines) + "\n"
        path.write_text(text.replace("entry-1", name))
        context.files.append(str(path))


@given("log files of a request whose content crashed upstreams at another entry")
def step_crashed(context):
    ended = {"service": "model", "sign": "refused"}
    others = [
        record(1, signals.ENDED, upstream="model-1", **ended, contents=["c0ffee"]),
        record(2, signals.ENDED, upstream="model-9", **ended, contents=["other"]),
        record(
            3,
            signals.QUARANTINED,
            content="c0ffee",
            upstreams=["model-1", "model-2"],
        ),
    ]
    own = record(
        50, "request", request="r1", outcome="crashes_upstreams", content="c0ffee"
    )
    write_logs(context, own, others)


@given(
    "log files of a request whose prompt has a part that crashed upstreams elsewhere"
)
def step_part_crashed(context):
    ended = {"service": "model", "sign": "refused"}
    bad = {"contents": ["c1"], "parts": {"c1": ["aa", "bad1"]}}
    sound = {"contents": ["c2"], "parts": {"c2": ["aa"]}}
    others = [
        record(1, signals.ENDED, upstream="model-1", **ended, **bad),
        record(2, signals.ENDED, upstream="model-9", **ended, **sound),
        record(3, signals.QUARANTINED, content="part:bad1", upstreams=["model-1"]),
    ]
    refused = {"outcome": "crashes_upstreams", "content": "c3"}
    own = record(50, "request", request="r1", **refused, parts=["aa", "bad1"])
    write_logs(context, own, others)


@given("log files of a stream that began at one entry and was refused at another")
def step_version_gone(context):
    began = record(
        1, "request", "entry-2", request="r0", versions={"model-1": "v1"}, status=200
    )
    refused = [
        record(2, signals.VERSIONS_LISTED, service="model", versions=["v1", "v2"]),
        record(3, "request", request="r1", resumes="r0", outcome="stream_version_gone"),
    ]
    context.files = []
    for name, lines in (("entry-1", refused), ("entry-2", [began])):
        path = stage_of(context).directory / f"{name}.log"
        path.write_text("\n".join(lines) + "\n")
        context.files.append(str(path))


@given('a log file of a stream that was taken up as "{taken_up}"')
def step_taken_up(context, taken_up):
    own = record(
        3, "request", request="r1", resumes="r0", outcome="whole", taken_up=taken_up
    )
    write_logs(context, own, [])


@then("the explanation omits ends in which it didn't run")
def step_omits_ends(context):
    assert "model-9" not in context.done.stdout, context.done.stdout


@then("the explanation omits what other upstreams said")
def step_omits_others(context):
    assert "model-3" not in context.done.stdout, context.done.stdout
    assert "per_s=9" not in context.done.stdout, context.done.stdout


@when("its id is explained from them")
def step_explain_files(context):
    run(context, f"explain r1 {' '.join(context.files)}")
    assert context.done.returncode == 0, context.done


@then("the explanation lists the loss of the store before its recovery")
def step_order(context):
    lost = context.done.stdout.index("store lost: topic=t")
    assert lost < context.done.stdout.index("store regained: topic=t")


@then("the explanation omits what another process wrote")
def step_omitted(context):
    assert "another's" not in context.done.stdout
    assert "after the request" not in context.done.stdout
