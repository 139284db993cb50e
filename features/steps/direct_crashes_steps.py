"""Steps about requests that crash upstreams in direct dispatch."""

from behave import given, then, when

from features.entryfleet import upstream_of
from lavenderspoke.direct.crashes import CrashDetector, EndSign


@given("two entries that detect crashes")
def step_detectors(context):
    context.now_s = 0.0
    context.detector = CrashDetector()
    context.peer_detector = CrashDetector()


def break_at(context, upstream_id: str, *contents: str) -> None:
    # Later than CRASH_WINDOW_S after the breaks before.
    context.now_s += 5.0
    for content in contents:
        context.detector.record_broken_answer(
            upstream_of(upstream_id),
            content,
            heard_s=context.now_s,
            now_s=context.now_s,
        )


def refuse_connections(context, upstream_id: str, after_s: float) -> None:
    now_s = context.now_s + after_s
    ended = [upstream_of(upstream_id)]
    for evidence in context.detector.record_ends(ended, EndSign.REFUSED, now_s):
        context.peer_detector.merge(evidence, now_s)


@when(
    'content "{content}" breaks at "{upstream}" together with "{other}", and '
    '"{refusing_upstream}" refuses connections'
)
def step_crash(context, content, upstream, other, refusing_upstream):
    break_at(context, upstream, content, other)
    refuse_connections(context, refusing_upstream, 0.5)


@when(
    'content "{content}" breaks at "{upstream}" together with "{other}", and '
    '"{answering_upstream}" goes on answering'
)
def step_lost(context, content, upstream, other, answering_upstream):
    break_at(context, upstream, content, other)


@when(
    'content "{content}" breaks at "{upstream}", and "{refusing_upstream}" refuses '
    "connections {seconds:d} s later"
)
def step_late(context, content, upstream, refusing_upstream, seconds):
    break_at(context, upstream, content)
    refuse_connections(context, refusing_upstream, float(seconds))


@when(
    '"{content}" is given up at "{upstream_id}" {work_s:g} s after it was sent; then '
    "{what} {after_s:d} s later"
)
def step_given_up(context, content, upstream_id, work_s, what, after_s):
    context.now_s += 20.0
    upstream, detector = upstream_of(upstream_id), context.detector
    detector.record_silence(
        upstream, content, heard_s=context.now_s - work_s, now_s=context.now_s
    )
    if what == "it answers and goes":
        detector.record_alive(upstream_id, context.now_s + 0.1)
    sign = EndSign.REFUSED if "refuses" in what else EndSign.DROPPED
    teller, listener = detector, context.peer_detector
    if "the other" in what:
        teller, listener = listener, teller
    now_s = context.now_s + after_s
    for evidence in teller.record_ends([upstream], sign, now_s):
        added = listener.merge(evidence, now_s)
        if added is not None:
            teller.merge(added, now_s)
    if listener is detector:
        for evidence in detector.record_ends([upstream], sign, now_s + 1.0):
            teller.merge(evidence, now_s + 1.0)


def quarantined_at(context, content: str) -> list[bool]:
    return [
        each.is_quarantined(content, context.now_s + 1.0)
        for each in (context.detector, context.peer_detector)
    ]


@then('both entries refuse "{culprit}" and neither refuses "{first}" or "{second}"')
def step_refused(context, culprit, first, second):
    assert quarantined_at(context, culprit) == [True, True]
    assert quarantined_at(context, first) == [False, False]
    assert quarantined_at(context, second) == [False, False]


@then('no entry refuses "{content}"')
def step_not_refused(context, content):
    assert quarantined_at(context, content) == [False, False]


@then('each entry refuses "{content}"')
def step_each_refuses(context, content):
    assert quarantined_at(context, content) == [True, True]
