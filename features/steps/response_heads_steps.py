"""Steps about what the heads of upstreams' responses say."""

from behave import given, then

from features.platformstage import deploy
from features.rawhttp import unescaped
from features.rawupstream import RawUpstream, templated
from features.steps.refusal_proofs_steps import ENTRIES, summary

UNKNOWN_STATUSES = (502, 504)


def use_raw_upstream(context, raw: RawUpstream) -> None:
    """Start the entries before one upstream."""
    context.raw = raw
    context.add_cleanup(raw.close)
    platform = deploy(context)
    raw.register(platform, "desk-1", "desk")
    for name in ENTRIES:
        platform.entry(name)


@given(
    'three entries before an upstream that answers "{head}" and "{body}", and closes'
)
def step_raw(context, head, body):
    template = unescaped("HTTP/1.1 " + head + r"\r\n\r\n" + body)
    use_raw_upstream(context, RawUpstream(answer=templated(template), closes=True))


@then("each caller is told that its request may have run")
def step_unknown(context):
    assert all(each.status in UNKNOWN_STATUSES for each in context.told), [
        (each.status, each.answer and each.answer.body) for each in context.told
    ]


@then('each caller gets the body "{body}"')
def step_body(context, body):
    told = [(each.status, each.answer and each.answer.body) for each in context.told]
    assert told == [(200, body.encode())] * len(told), told


@then("the upstream ran each request once")
def step_ran(context):
    wanted = {each.attempt_id: 1 for each in context.told}
    assert context.raw.runs == wanted, (context.raw.runs, summary(context))
