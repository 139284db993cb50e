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
    notice_end(
        context.detector, context.peer_detector, upstream_id, EndSign.REFUSED, now_s
    )


def notice_end(detector, peer, upstream_id: str, sign: EndSign, now_s: float) -> None:
    """Let an entry notice an end, and both entries tell each other what they know."""
    for evidence in detector.record_ends([upstream_of(upstream_id)], sign, now_s):
        added = peer.merge(evidence, now_s)
        if added is not None:
            detector.merge(added, now_s)


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
    context.detector.record_silence(
        upstream_of(upstream_id),
        content,
        heard_s=context.now_s - work_s,
        now_s=context.now_s,
    )
    FOLLOWED_BY[what](context, upstream_id, float(after_s))


def drop(context, upstream_id: str, after_s: float) -> None:
    now_s = context.now_s + after_s
    notice_end(
        context.detector, context.peer_detector, upstream_id, EndSign.DROPPED, now_s
    )


def drop_at_other_first(context, upstream_id: str, after_s: float) -> None:
    now_s = context.now_s + after_s
    notice_end(
        context.peer_detector, context.detector, upstream_id, EndSign.DROPPED, now_s
    )
    drop(context, upstream_id, after_s + 1.0)


def answer_and_drop(context, upstream_id: str, after_s: float) -> None:
    context.detector.record_alive(upstream_id, context.now_s + 0.1)
    drop(context, upstream_id, after_s)


FOLLOWED_BY = {
    "the list drops it": drop,
    "the other notices a drop": drop_at_other_first,
    "it answers and goes": answer_and_drop,
    "it refuses connections": refuse_connections,
}


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
