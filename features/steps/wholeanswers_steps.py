"""Steps about whole and broken answers on their way through agents."""

import json

from behave import given, then, when

from features.rawhttp import RawResponse, exchange, request_bytes
from features.steps.deployment_steps import (
    WAIT_S,
    merged,
    payment_runs,
    result,
    sees,
    start_models,
)
from standins.deployment import (
    CREDENTIAL,
    Sent,
    expected_tokens,
    streamed_tokens,
)
from standins.processes import wait_until

UNLIKE_ENGINES = {"engine-1": [], "engine-2": ["--step-ms", "12"]}


@given("two entries before two model engines")
def step_models(context):
    start_models(context, UNLIKE_ENGINES)


@given("two proxied entries before two model engines")
def step_proxied_models(context):
    start_models(context, UNLIKE_ENGINES, proxied=True)


@given("two entries before two slow model engines")
def step_slow_models(context):
    engines = {"engine-1": ["--step-ms", "30"], "engine-2": ["--step-ms", "50"]}
    start_models(context, engines)


@given("two entries before one slow model engine")
def step_slow_model(context):
    start_models(context, {"engine-1": ["--step-ms", "50"]})


def set_engines(context, **faults) -> None:
    for engine in context.deployment.upstreams.values():
        engine.set_faults(**faults)


@when("every engine cuts its streams after {events:d} events")
def step_cut(context, events):
    set_engines(context, cut_after_events=events)


@when("every engine ends its streams after {events:d} events")
def step_end_early(context, events):
    set_engines(context, end_after_events=events)


@when("{count:d} completions of {tokens:d} tokens are sent through both entries")
def step_complete(context, count, tokens):
    context.expected = {}
    for number in range(count):
        prompt = f"split narrative {number}"
        label = f"completion {number}"
        context.expected[label] = expected_tokens(prompt, tokens)
        context.sends.append(label)
        entry = f"entry-{number % 2 + 1}"
        complete = context.deployment.complete
        context.sending.begin(label, complete, entry, prompt, tokens=tokens)


@when("every completion has begun")
def step_all_begun(context):
    def begun() -> bool:
        counts = [each.counts() for each in context.deployment.upstreams.values()]
        return len(merged(counts, "runs")) == len(context.expected)

    wait_until(begun, WAIT_S, "every completion has begun")


@when("every completion has given its first tokens")
def step_first_tokens(context):
    def given() -> int:
        latencies = [
            each
            for entry in ("entry-1", "entry-2")
            for each in context.deployment.status(entry)["latencies"]
        ]
        return sum(e["count"] for e in latencies if e["name"] == "first_part_s")

    wait_until(
        lambda: given() == len(context.expected), WAIT_S, "first tokens have come"
    )


@when("the way to {name} is cut {times:d} times")
def step_cut_link(context, name, times):
    for _ in range(times):
        before = context.deployment.status(name)["transport"]["received"]
        context.deployment.set_link(name, cut=True)
        wait_until(
            lambda: context.deployment.status(name)["transport"]["received"] > before,
            WAIT_S,
            f"{name} is heard again",
        )


@when("no entry sees {name}")
def step_unseen(context, name):
    for entry in ("entry-1", "entry-2"):
        wait_until(
            lambda: not sees(context, entry, name), WAIT_S, f"{entry} has given it up"
        )


@then("every completion is answered whole")
def step_completions_whole(context):
    for label, tokens in context.expected.items():
        sent = result(context, label)
        assert isinstance(sent, Sent), sent
        assert (sent.status, sent.whole) == (200, True), sent
        assert streamed_tokens(sent.body) == tokens, sent


@then("no completion ends as if it were whole")
def step_visible(context):
    for label in context.expected:
        sent = result(context, label)
        assert isinstance(sent, Sent), sent
        assert not (sent.status == 200 and sent.whole), sent
        assert streamed_tokens(sent.body) == [], sent


ENTRIES = ("entry-1", "entry-2")


@when('the payment service\'s answers are "{mode}", and one is asked for by each entry')
def step_ask_each(context, mode):
    set_engines(context, mode=mode)
    context.mode = mode
    context.answers = [
        context.deployment.pay(entry, f"order of {entry}") for entry in ENTRIES
    ]


def check_payment(context, order: str, status: int, body: bytes, whole: bool) -> None:
    """Check what a caller got against what the service sent."""
    assert payment_runs(context, order) == 1, order
    if context.mode == "unframed":
        assert (status, whole) == (200, True) and order.encode() in body, body
    elif context.mode == "events":
        assert (status, whole, body) == (200, True, b"data: a\n\ndata: b\n\n"), body
    else:
        # Refused, or cut after the whole event.
        assert status == 502 or not whole, (status, body)


@then("each answer is {kind}, after one run")
def step_each_answer(context, kind):
    for entry, sent in zip(ENTRIES, context.answers):
        check_payment(context, f"order of {entry}", sent.status, sent.body, sent.whole)


def pay_by_http10(context, entry: str, order: str) -> RawResponse:
    headers = {
        "Authorization": f"Bearer {CREDENTIAL}",
        "Lavenderspoke-Idempotent": "false",
    }
    data = request_bytes(
        path="/ticketing/payments",
        headers=headers.items(),
        body=json.dumps({"order": order}).encode(),
        version="1.0",
    )
    return exchange(context.deployment.ports[entry].callers, data)


@then("by HTTP/1.0 each answer is {kind}, after one run")
def step_each_old_answer(context, kind):
    for entry in ENTRIES:
        order = f"old order of {entry}"
        response = pay_by_http10(context, entry, order)
        length = response.header("Content-Length")
        whole = length is not None and int(length) == len(response.body)
        check_payment(context, order, response.status, response.body, whole)
