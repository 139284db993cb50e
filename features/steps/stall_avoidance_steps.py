"""Steps about upstreams that are slow for a moment."""

import itertools

import logbook
from behave import given, then, when

from bench import stalls
from features.entryfleet import SERVICE, Entry, make_ticket, upstream_of
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.pacemonitor import PaceMonitor
from lavenderspoke.direct.policies import ALL_POLICIES, NO_POLICIES
from lavenderspoke.observing.metrics import Metrics

TICK_MS = 10
STEP_MS = 20
# Streams at each upstream.
STREAMS = 2


class PaceStage:
    """A monitor that is told of events each 10 ms, by a clock of its own."""

    def __init__(self, *, upstreams: int):
        self.metrics = Metrics()
        self.reading_s: dict[str, float] = {}
        self.monitor = PaceMonitor(
            metrics=self.metrics, reading_s=lambda key: self.reading_s.get(key, 0.0)
        )
        self.now_ms = 1000
        self.upstreams = [f"u{number}" for number in range(upstreams)]
        self.listed = [*self.upstreams, "u9"]
        # Milliseconds since the last event of the streams at an upstream.
        self._since_ms = dict.fromkeys(self.upstreams, 0)
        self.ended: set[str] = set()

    @property
    def now_s(self) -> float:
        return self.now_ms / 1000

    def run(self, ms: int, steps_ms: dict[str, int] | None = None) -> None:
        """Let streams run; `steps_ms` are the steps of upstreams not as usual."""
        for _ in range(ms // TICK_MS):
            self.now_ms += TICK_MS
            for key in self.upstreams:
                self._since_ms[key] += TICK_MS
                step_ms = (steps_ms or {}).get(key, STEP_MS)
                if self._since_ms[key] >= step_ms and key not in self.ended:
                    self._since_ms[key] = 0
                    self.send_events(key)
            self.monitor.tick(self.now_s)

    def send_events(self, key: str) -> None:
        for number in range(STREAMS):
            self.monitor.event_received(key, f"{key}-{number}", self.now_s)

    def end_streams(self, key: str) -> None:
        self.ended.add(key)
        for number in range(STREAMS):
            self.monitor.request_ended(key, f"{key}-{number}", self.now_s)

    def slow(self) -> dict[str, float]:
        """Return the upstreams that are slow, and by how much."""
        slowdowns = {e: self.monitor.slowdown(e, self.now_s) for e in self.listed}
        return {key: each for key, each in slowdowns.items() if each != 1.0}


@given("an entry with streams at {count:d} upstreams of one event each 20 ms")
def step_streams(context, count):
    context.pace = PaceStage(upstreams=count)
    context.handler_log = logbook.TestHandler()
    context.handler_log.push_application()
    context.add_cleanup(context.handler_log.pop_application)
    context.pace.run(1000)


@when("upstream {key} sends an event each {step_ms:d} ms for {ms:d} ms")
def step_pace(context, key, step_ms, ms):
    context.pace.run(ms, {key: step_ms})


@when("upstream {key} sends nothing for {ms:d} ms")
def step_silent(context, key, ms):
    context.pace.run(ms, {key: 10**9})


@when("all upstreams send nothing for {ms:d} ms")
def step_all_silent(context, ms):
    context.pace.run(ms, dict.fromkeys(context.pace.upstreams, 10**9))


@when("the streams at upstream {key} end and {ms:d} ms pass")
def step_streams_end(context, key, ms):
    context.slow_before = context.pace.slow()
    context.pace.end_streams(key)
    context.pace.run(ms)


@when("upstream {key} reads a prompt that takes {ms:d} ms, which the entry knows of")
def step_known_prompt(context, key, ms):
    context.pace.reading_s[key] = ms / 1000
    context.pace.run(20)
    context.pace.run(ms, {key: ms})
    context.pace.reading_s[key] = 0.0


@when("upstream {key} sends events late by {ms:d} ms once, to all its streams")
def step_late_once(context, key, ms):
    context.pace.run(ms, {key: ms + STEP_MS})
    context.pace.run(STEP_MS, {key: STEP_MS})


@when("the entry stands still for {ms:d} ms")
def step_stands_still(context, ms):
    # The thread that reads the first event may run before that of the ticks.
    context.pace.now_ms += ms
    for key in context.pace.upstreams:
        context.pace.send_events(key)
    context.pace.run(20)


@when("the clock jumps by {ms:d} ms")
def step_jumps(context, ms):
    context.pace.now_ms += ms
    context.pace.run(20)


@when("a peer reports upstream {key} as {times:g} times slower")
def step_reported(context, key, times):
    pace = context.pace
    pace.monitor.merge_peer("a", ((key, times),), pace.now_s)


@when("another peer reports upstream {key} as {times:g} times slower")
def step_reported_too(context, key, times):
    pace = context.pace
    pace.monitor.merge_peer("b", ((key, times),), pace.now_s)


@when("a peer reports upstream {key} as {times:g} times slower, {ms:d} ms ago")
def step_reported_late(context, key, times, ms):
    pace = context.pace
    pace.monitor.merge_peer("a", ((key, times),), pace.now_s, age_s=ms / 1000)


@when("a peer reports twice that upstream {key} is {times} times slower")
def step_malformed(context, key, times):
    pace = context.pace
    for _ in range(2):
        pace.monitor.merge_peer("a", ((key, float(times)),), pace.now_s)
        pace.monitor.tick(pace.now_s)


@when("upstream {key} is no longer listed")
def step_unlisted(context, key):
    pace = context.pace
    pace.monitor.retain([each for each in pace.upstreams if each != key])


@when("a peer reports another upstream as slow 100 times within 8 s")
def step_many_changes(context):
    pace = context.pace
    for number in range(100):
        pace.monitor.merge_peer("a", ((f"other-{number}", 2.5),), pace.now_s)
        pace.run(80)


@then("upstream {key} is seen as slow by about {times:g} times")
def step_slow(context, key, times):
    slow = context.pace.slow()
    assert abs(slow.get(key, 1.0) - times) <= 0.2 * times, slow


@then("upstream {key} is seen as slow by at least {times:g} times")
def step_slow_at_least(context, key, times):
    assert context.pace.slow().get(key, 1.0) >= times, context.pace.slow()


@then("upstream {key} is seen as less slow than before")
def step_less_slow(context, key):
    now = context.pace.slow().get(key, 1.0)
    assert 1.0 < now < context.slow_before[key], (now, context.slow_before)


@then("no other upstream is seen as slow")
def step_no_other(context):
    assert len(context.pace.slow()) == 1, context.pace.slow()


@then("no upstream is seen as slow")
def step_none_slow(context):
    assert context.pace.slow() == {}, context.pace.slow()


@then("after {ms:d} ms more no upstream is seen as slow")
def step_none_slow_later(context, ms):
    context.pace.run(ms)
    step_none_slow(context)


@then("the entry reports nothing")
def step_reports_nothing(context):
    rows = context.pace.monitor.own_rows(context.pace.now_s)
    assert rows == (), rows


@then("the entry reports that upstream {key} is as fast as usual")
def step_contradicts(context, key):
    rows = context.pace.monitor.own_rows(context.pace.now_s)
    assert rows == ((key, 1.0),), rows


@then('"{name}" counts "{reason}" once')
def step_counted_once(context, name, reason):
    step_counted(context, name, reason, 1)


@then('"{name}" counts "{reason}" {count:d} times')
def step_counted(context, name, reason, count):
    value = context.pace.metrics.counter_value(name, reason)
    assert value == count, value


@then('one line of the log says "{text}"')
def step_one_line(context, text):
    lines = [r for r in context.handler_log.records if text in r.message]
    assert len(lines) == 1, lines


@then("at most {count:d} lines are logged")
def step_few_lines(context, count):
    assert 0 < len(context.handler_log.records) <= count


@given("an entry with plain requests of {ms:d} ms at {count:d} upstreams")
def step_plain(context, ms, count):
    context.pace = PaceStage(upstreams=count)
    send_plain(context.pace, {}, ms)


@when("the plain requests at upstream {key} take {ms:d} ms")
def step_plain_slow(context, key, ms):
    send_plain(context.pace, {key: ms}, 22)


def send_plain(pace: PaceStage, slow_ms: dict[str, int], usual_ms: int) -> None:
    """Let answers of 20 plain requests to each upstream come, one after another."""
    ends_ms = sorted(
        (pace.now_ms + number * took_ms, key, took_ms)
        for key in pace.upstreams
        for took_ms in (slow_ms.get(key, usual_ms),)
        for number in range(1, 21)
    )
    for pace.now_ms, key, took_ms in ends_ms:
        pace.monitor.request_ended(key, "r", pace.now_s, took_s=took_ms / 1000)
        pace.monitor.tick(pace.now_s)
        if slow_ms and pace.slow():
            return


# Two entries


class TwoEntries:
    """Two entries with idle upstreams, and their dispatchers' messages."""

    def __init__(self, *, upstreams: int, policies):
        self.clock = ManualClock()
        self.upstreams = tuple(upstream_of(f"u{n}") for n in range(upstreams))
        self.entries = [
            Entry(
                name=f"entry-{number}",
                data_centre="dc-0",
                clock=self.clock,
                seed=number,
                upstreams=self.upstreams,
                policies=policies,
            )
            for number in range(2)
        ]
        self._numbers = itertools.count(1)

    @property
    def now_s(self) -> float:
        return self.clock.monotonic_s()

    def queue(self, number: int):
        return self.entries[number].dispatcher._scheduler.queue(SERVICE)

    def stream_at_each(self) -> dict[str, object]:
        """Send streams from the first entry, one to each upstream."""
        tickets = {}
        while len(tickets) < len(self.upstreams):
            ticket = make_ticket(f"s{len(tickets)}", self.now_s)
            ticket.excluded = set(tickets)
            decisions = []
            ticket.on_decision = decisions.append
            self.entries[0].dispatcher.submit(ticket)
            tickets[decisions[0].upstream.upstream_id] = ticket
        return tickets

    def run(self, ms: int, tickets, steps_ms: dict[str, int]) -> None:
        dispatcher = self.entries[0].dispatcher
        for passed_ms in range(10, ms + 10, 10):
            self.clock.advance(0.01)
            for upstream in self.upstreams:
                key = upstream.upstream_id
                step_ms = steps_ms.get(key, STEP_MS)
                if passed_ms % step_ms == 0:
                    dispatcher.event_interval_measured(
                        tickets[key], upstream, step_ms / 1000
                    )
            for entry in self.entries:
                entry.dispatcher.tick()

    def tell(self) -> SharedState:
        """Deliver the state of the first entry to the second."""
        first, second = self.entries
        state, *_ = first.dispatcher.outgoing_updates(leaving=False)
        second.dispatcher.receive_state(
            first.me,
            SharedState(address="a", number=next(self._numbers), slow=state.slow),
        )
        second.dispatcher.tick()
        return state

    def estimates(self) -> dict[str, float]:
        return {
            each.upstream_id: self.queue(1).pool.state_of(each.upstream_id).slowdown
            for each in self.upstreams
        }

    def choices(self, count: int) -> list:
        """Send requests from the second entry; return the decisions."""
        decisions: list = []
        for number in range(count):
            ticket = make_ticket(f"r{next(self._numbers)}-{number}", self.now_s)
            ticket.on_decision = decisions.append
            self.entries[1].dispatcher.submit(ticket)
            self.entries[1].dispatcher.release_slot(ticket, decisions[-1].upstream)
        return decisions


@given("2 entries that exchange messages, with {count:d} idle upstreams")
def step_two_entries(context, count):
    context.two = TwoEntries(upstreams=count, policies=ALL_POLICIES)


@given("2 entries that exchange messages, with {count:d} idle upstreams and no policy")
def step_two_entries_without(context, count):
    context.two = TwoEntries(upstreams=count, policies=NO_POLICIES)


@when("the first entry's stream at an upstream is 2.5 times slower than usual")
def step_first_sees(context):
    two = context.two
    tickets = two.stream_at_each()
    two.run(1000, tickets, {})
    two.run(200, tickets, {"u0": 50})
    context.told = two.tell()


@when("all upstreams are reported to the second entry as slow")
def step_all_reported(context):
    two = context.two
    second = two.entries[1].dispatcher
    rows = tuple((each.upstream_id, 3.0) for each in two.upstreams)
    state = SharedState(address="a", number=1, slow=rows)
    second.receive_state(two.entries[0].me, state)
    second.tick()


@then("the second entry sends {count:d} requests to other upstreams")
def step_elsewhere(context, count):
    context.decisions = context.two.choices(count)
    used = {each.upstream.upstream_id for each in context.decisions}
    assert used and "u0" not in used, used


@then("the decision names the slow upstream")
def step_names_slow(context):
    assert set(context.decisions[0].slow) == {"u0"}, context.decisions[0]


@then("after {ms:d} ms it sends requests there again")
def step_there_again(context, ms):
    two = context.two
    for _ in range(ms // 20):
        two.clock.advance(0.02)
        two.entries[1].dispatcher.tick()
    used = {each.upstream.upstream_id for each in two.choices(40)}
    assert "u0" in used, used


@then("the first entry reports nothing")
def step_first_silent(context):
    assert context.told.slow == (), context.told


@then("the second entry estimates all upstreams as before")
def step_as_before(context):
    assert set(context.two.estimates().values()) == {1.0}, context.two.estimates()


# The load


@when("21 entries send streams to 20 engines, of which 15% are 2.5 times slower")
def step_load(context):
    context.days = {
        is_on: [
            stalls.play(fleet=stalls.FLEETS[-1], seed=seed, load=0.7, is_on=is_on)
            for seed in (1, 2)
        ]
        for is_on in (False, True)
    }


@then("fewer requests are sent to slow engines with the policy than without")
def step_fewer(context):
    shares = {
        is_on: sum(day.results.to_slow for day in days)
        / sum(day.results.sent for day in days)
        for is_on, days in context.days.items()
    }
    assert shares[True] < 0.85 * shares[False], shares


@then("as many requests are on time as without")
def step_on_time(context):
    shares = {
        is_on: sum(day.results.on_time for day in days)
        / sum(day.results.asked for day in days)
        for is_on, days in context.days.items()
    }
    assert shares[True] >= shares[False] - 0.002, shares
