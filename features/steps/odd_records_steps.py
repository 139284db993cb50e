"""Steps about records that nobody can use."""

import itertools
import threading
import time

import urllib3
from behave import given, then, when

from features.platformstage import deploy
from standins.oddrecords import odd_upstreams
from standins.processes import wait_until

ENTRIES = ("entry-1", "entry-2")
ODD_KEY = "odd"
# The platform's bound on requests to an upstream that has said that it leaves, and the
# time in which one that came must get some, in seconds.
DRAIN_S = 2.0
LISTED_S = 3.0
READY_TIMEOUT_S = 20.0
PAUSE_S = 0.02


class Callers:
    """One caller at each entry, who asks again and again."""

    def __init__(self, platform):
        self._platform = platform
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(name,)) for name in ENTRIES
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _call(self, entry: str) -> None:
        while not self._stopping.wait(PAUSE_S):
            path = f"/look/{next(self._numbers)}"
            try:
                self._platform.send(entry, path, method="GET")
            except urllib3.exceptions.HTTPError:
                # The entry is killed, or the scenario ends.
                continue


@given("two entries with callers before {first} and {second}")
def step_entries(context, first, second):
    platform = deploy(context)
    for name in (first, second):
        platform.upstream(name, "desk")
    platform.upstream("model-1", "model")
    for name in ENTRIES:
        platform.entry(name)
    context.callers = Callers(platform)
    context.add_cleanup(context.callers.stop)
    wait_until(lambda: platform.arrivals(first), READY_TIMEOUT_S, "requests arrive")


@when("another writer leaves a record of an upstream with {oddity}")
def step_odd_upstream(context, oddity):
    address = context.platform.upstreams["desk-2"].address
    value = dict(odd_upstreams(address))[oddity]
    context.platform.put_bytes("keyed.servers", ODD_KEY.encode(), value)
    time.sleep(0.5)


@when("the listed upstream {name} reports its leaving")
def step_leaves(context, name):
    context.platform.register(name, "desk", state="draining")
    context.left_s = time.monotonic()


@when("an upstream {name} comes")
def step_comes(context, name):
    context.platform.upstream(name, "desk")


@then("the upstream {name} gets no request after its drain time, and {other} gets some")
def step_followed(context, name, other):
    time.sleep(max(0.0, context.left_s + DRAIN_S - time.monotonic()))
    before = len(context.platform.arrivals(name))
    time.sleep(LISTED_S)
    late = len(context.platform.arrivals(name)) - before
    got = len(context.platform.arrivals(other))
    assert not late and got, f"{late} late at {name}, {got} at {other}"


@then("an entry that starts again is ready")
def step_starts_again(context):
    platform = context.platform
    platform.entries["entry-2"].process.kill()
    platform.start_again("entry-2")
    wait_until(platform.entries["entry-2"].ready, READY_TIMEOUT_S, "it is ready")


@then("both entries tell which record they couldn't read")
def step_told(context):
    for name in ENTRIES:
        said = context.platform.entries[name].process.output()
        assert "record skipped" in said and f'"{ODD_KEY}"' in said, said[-2000:]
