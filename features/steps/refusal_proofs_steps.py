"""Steps about what proves that a refused request has not run."""

import itertools
import threading
import time
from collections import Counter, defaultdict

import attrs
import urllib3
from behave import given, then, when

from features.platformstage import deploy, set_all, start_upstreams
from standins.platformdeployment import Answer
from standins.processes import HOST

ENTRIES = ("entry-1", "entry-2", "entry-3")
# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
SERVED_SHARE_MIN = 0.6
PATH = "/pay/1"
DEADLINE_MS = 650
RETRY_AFTER = "retry-after"


@attrs.frozen(kw_only=True)
class Told:
    """What a caller was told of one attempt; the answer is None if none came."""

    attempt_id: str
    answer: Answer | None

    @property
    def status(self) -> int:
        return 0 if self.answer is None else self.answer.status


@given("three entries before upstreams")
def step_entries(context):
    platform = deploy(context)
    start_upstreams(platform)
    for name in ENTRIES:
        platform.entry(name)


@given('every upstream refuses with {status:d}, saying "{says}", before it runs it')
def step_refuses(context, status, says):
    set_all(context, "desk", refuses=status, refusal_says=says)


@given('every upstream refuses with {status:d}, saying "{says}", after it ran it')
def step_refuses_after(context, status, says):
    set_all(context, "desk", refuses=status, refusal_says=says, refuses_after_run=True)


@given(
    "every upstream refuses each {each:d}th request with {status:d} and sends that "
    "again {after_s:g} s later"
)
def step_copies(context, each, status, after_s):
    set_all(
        context,
        "desk",
        refuses=status,
        refuses_each=each,
        copied_after_s=after_s,
        work_s=0.05,
    )


def pay(context, entry: str, attempt_id: str, http=None) -> Told:
    try:
        answer = context.platform.send(
            entry,
            PATH,
            body=b"payment",
            deadline_ms=DEADLINE_MS,
            headers={"X-Attempt-Id": attempt_id},
            http=http,
        )
    except urllib3.exceptions.HTTPError:
        answer = None
    return Told(attempt_id=attempt_id, answer=answer)


@when("a request that must run at most once is sent through each entry")
def step_pay_each(context):
    context.told = [pay(context, entry, f"pay-{entry}") for entry in ENTRIES]


@when("{callers:d} callers send requests that must run at most once for {seconds:g} s")
def step_pay_crowd(context, callers, seconds):
    context.told = []
    until_s = time.monotonic() + seconds

    def run(caller: int) -> None:
        http = urllib3.PoolManager(retries=False)
        entries = itertools.cycle(ENTRIES)
        for number in itertools.count():
            if time.monotonic() >= until_s:
                return
            attempt_id = f"pay-{caller}-{number}"
            context.told.append(pay(context, next(entries), attempt_id, http))

    threads = [threading.Thread(target=run, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def runs(context) -> dict[str, int]:
    """Return how often each attempt ran, those refused without a proof included."""
    found = defaultdict(int)
    for each in (*context.platform.runs(), *context.platform.unproven()):
        found[each["attempt_id"]] += 1
    return found


def summary(context) -> str:
    return str(dict(Counter(each.status for each in context.told)))


@then("no caller is promised that its request did not run")
def step_no_promise(context):
    # Any other status would hide that a request wasn't refused, or reached nobody.
    assert [each.status for each in context.told] == [502] * len(ENTRIES), summary(
        context
    )
    ran = runs(context)
    assert all(ran[each.attempt_id] for each in context.told), ran


@then("no caller gets a response that is signed")
def step_unsigned(context):
    signed = [
        each
        for each in context.told
        if each.status >= 400 and "x-response-signature" in each.answer.headers
    ]
    assert not signed, signed


@then('no caller was promised "not run" for a request that ran')
def step_true(context):
    ran = runs(context)
    false = [
        each.attempt_id
        for each in context.told
        if each.status in PROMISES and ran[each.attempt_id]
    ]
    assert not false, (len(false), false[:5], summary(context))


@then("no request that must run at most once ran twice")
def step_once(context):
    twice = {key: count for key, count in runs(context).items() if count > 1}
    assert not twice, (len(twice), summary(context))


@then("late copies were met")
def step_copies_met(context):
    skipped = sum(late_responses(context.platform.entries[name]) for name in ENTRIES)
    assert skipped, summary(context)


def late_responses(entry) -> int:
    """Return how many late responses an entry has read and discarded."""
    url = f"http://{HOST}:{entry.readiness}/metrics"
    lines = urllib3.request("GET", url).data.decode().splitlines()
    values = [line.split()[-1] for line in lines if "late_responses" in line]
    return sum(int(float(each)) for each in values if each.replace(".", "").isdigit())


@then("most requests were served")
def step_served(context):
    served = sum(each.status == 200 for each in context.told)
    assert served >= SERVED_SHARE_MIN * len(context.told), summary(context)


@then(
    "each caller is told within {limit_s:g} s that its request did not run, and when "
    "to return"
)
def step_told(context, limit_s):
    for each in context.told:
        assert each.status == 503, summary(context)
        assert RETRY_AFTER in each.answer.headers, each
        assert each.answer.took_s < limit_s, each
