"""Steps about upstreams that say something about themselves, with real processes."""

import itertools
import time
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.platformstage import deploy
from standins.platformdeployment import Answer

# The upstream that says something about itself.
STATED = "model-1"


@given("a platform with {entries:d} entries and {upstreams:d} model upstreams")
def step_platform(context, entries, upstreams):
    platform = deploy(context)
    for number in range(1, upstreams + 1):
        platform.upstream(f"model-{number}", "model")
    for number in range(1, entries + 1):
        platform.entry(f"entry-{number}")


@given('one upstream limits its requests to "{per_s}" per second')
def step_limits(context, per_s):
    context.platform.upstreams[STATED].set_faults(limit=per_s)


def send_for(context, callers: int, seconds: float) -> list[Answer]:
    """Send requests for so long."""
    until_s = time.monotonic() + seconds
    return send_while(context, callers, lambda: time.monotonic() < until_s)


def send_while(context, callers: int, has_more: Callable[[], bool]) -> list[Answer]:
    """Send requests through all entries in turn, from so many callers at once."""
    platform = context.platform

    def send(caller: int) -> list[Answer]:
        answers = []
        entries = itertools.cycle(sorted(platform.entries))
        for entry in itertools.islice(entries, caller, None):
            if not has_more():
                return answers
            answers.append(
                platform.send(
                    entry,
                    f"/stream/{caller}",
                    body=b"prompt",
                    headers={"X-Attempt-Id": f"{entry}/{caller}/{time.monotonic()}"},
                )
            )

    with ThreadPoolExecutor(callers) as pool:
        return list(itertools.chain(*pool.map(send, range(callers))))


@when("{callers:d} callers send requests through all entries for {seconds:g} s")
def step_send(context, callers, seconds):
    context.callers = callers
    context.answers = send_for(context, callers, seconds)


@when("it names no limit any more, and the callers send for {seconds:g} s")
def step_no_limit(context, seconds):
    context.platform.upstreams[STATED].set_faults(limit="")
    context.answers = send_for(context, context.callers, seconds)


def most_within(times_s: list[float], window_s: float) -> int:
    """Return the most of these ascending times in any window."""
    return max(
        (
            sum(start_s <= each < start_s + window_s for each in times_s[index:])
            for index, start_s in enumerate(times_s)
        ),
        default=0,
    )


@then(
    "from {after_s:g} s after its first response it got at most {count:d} requests in "
    "any {window_s:g} s"
)
def step_limited(context, after_s, count, window_s):
    times_s = [each["at_s"] for each in context.platform.arrivals(STATED)]
    counted_s = [each for each in times_s if each > times_s[0] + after_s]
    assert most_within(counted_s, window_s) <= count, (
        most_within(counted_s, window_s),
        len(times_s),
    )


@then("every request was answered")
def step_answered(context):
    failed = [each for each in context.answers if each.status != 200 or not each.whole]
    assert context.answers and not failed, (failed[:3], len(context.answers))


@then("of the next {count:d} requests it gets at least {least:d}")
def step_capacity_back(context, count, least):
    def arrived() -> dict[str, int]:
        platform = context.platform
        return {name: len(platform.arrivals(name)) for name in platform.upstreams}

    before = arrived()
    numbers = iter(range(count))
    send_while(context, context.callers, lambda: next(numbers, None) is not None)
    recent = {name: total - before[name] for name, total in arrived().items()}
    assert recent[STATED] >= least, recent


@given("the platform's store is down")
def step_store_down(context):
    context.platform.store.set_faults(mode="down")


@given("one upstream says that it leaves")
def step_leaving(context):
    context.platform.upstreams[STATED].set_faults(leaving=True)


@then("it got a request, and none later than {after_s:g} s after its first response")
def step_none_later(context, after_s):
    times_s = [each["at_s"] for each in context.platform.arrivals(STATED)]
    late_s = [each - times_s[0] for each in times_s if each > times_s[0] + after_s]
    assert times_s and not late_s, late_s
    context.arrivals = len(times_s)


@when("the store is back with the upstream's earlier record")
def step_store_back(context):
    context.platform.store.set_faults(mode="up")
    context.platform.register(STATED, "model")
    time.sleep(2.0)


@then("it got no more requests")
def step_no_more(context):
    arrivals = context.platform.arrivals(STATED)
    assert len(arrivals) == context.arrivals, arrivals[context.arrivals :]


@given('one upstream refuses all requests with a Retry-After of "{value}" seconds')
def step_pauses(context, value):
    context.platform.upstreams[STATED].set_faults(retry_after=value)


@then(
    "from {after_s:g} s after a refusal on it got at most {count:d} requests of an "
    "entry within {pause_s:g} s of it"
)
def step_paused(context, after_s, count, pause_s):
    times_s = defaultdict(list)
    for each in context.platform.arrivals(STATED):
        entry = each["attempt_id"].partition("/")[0]
        times_s[entry].append(each["at_s"])
    assert sorted(times_s) == sorted(context.platform.entries), times_s
    for entry, arrived_s in times_s.items():
        most = most_in_pause(arrived_s, after_s, pause_s)
        assert most <= count, (entry, most, len(arrived_s))


def most_in_pause(arrived_s: list[float], after_s: float, pause_s: float) -> int:
    """Return the most requests in the pause that any of them was refused with."""
    return max(
        sum(asked_s + after_s < each < asked_s + pause_s for each in arrived_s)
        for asked_s in arrived_s
    )


@when("it refuses no more, and the callers send for {seconds:g} s")
def step_no_pause(context, seconds):
    context.platform.upstreams[STATED].set_faults(retry_after="")
    context.answers = send_for(context, context.callers, seconds)


@then(
    "it is refused with a Retry-After between {min_s:g} and {max_s:g} seconds, and was "
    "sent once"
)
def step_refused(context, min_s, max_s):
    answer = context.answer
    assert answer.status == 503, answer
    assert min_s <= float(answer.headers["retry-after"]) <= max_s, answer
    assert len(context.platform.arrivals(STATED)) == 1
