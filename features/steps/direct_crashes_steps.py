"""Steps about requests that crash upstreams in direct dispatch."""

from behave import given, then, when

from lavenderspoke.direct.crashes import CrashDetector

SERVICE = "narrative"


@given("two entries that watch for crashes")
def step_watches(context):
    context.now_s = 0.0
    context.seeing = CrashDetector(own_name="entry-1")
    context.told = CrashDetector(own_name="entry-2")


def break_at(context, upstream_id: str, *contents: str) -> None:
    context.now_s += 5.0
    for content in contents:
        context.seeing.record_broken_answer(upstream_id, content, context.now_s)


def find_dead(context, upstream_id: str, after_s: float) -> None:
    now_s = context.now_s + after_s
    evidence = context.seeing.record_unreachable(SERVICE, upstream_id, now_s)
    if evidence is not None:
        context.told.merge(evidence, now_s)


@when(
    'content "{content}" breaks at "{upstream}" beside "{other}", '
    'and "{dead}" is found dead'
)
def step_crash(context, content, upstream, other, dead):
    break_at(context, upstream, content, other)
    find_dead(context, dead, 0.5)


@when(
    'content "{content}" breaks at "{upstream}" beside "{other}", '
    'and "{alive}" answers on'
)
def step_lost(context, content, upstream, other, alive):
    break_at(context, upstream, content, other)


@when(
    'content "{content}" breaks at "{upstream}", '
    'and "{dead}" is found dead {seconds:d} s later'
)
def step_late(context, content, upstream, dead, seconds):
    break_at(context, upstream, content)
    find_dead(context, dead, float(seconds))


def refusing(context, content: str) -> list[bool]:
    return [
        watch.is_quarantined(SERVICE, content, context.now_s + 1.0)
        for watch in (context.seeing, context.told)
    ]


@then('both entries refuse "{culprit}" and neither refuses "{first}" or "{second}"')
def step_refused(context, culprit, first, second):
    assert refusing(context, culprit) == [True, True]
    assert refusing(context, first) == [False, False]
    assert refusing(context, second) == [False, False]


@then('no entry refuses "{content}"')
def step_not_refused(context, content):
    assert refusing(context, content) == [False, False]
