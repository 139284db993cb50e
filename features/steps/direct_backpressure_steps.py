"""Steps about what upstreams said about themselves, in a simulated fleet."""

import attrs
from behave import given, then, when

from features.entryfleet import UPSTREAM, Entry, Fleet, make_ticket
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.messages import LimitNews, SharedState
from lavenderspoke.direct.tickets import Dispatch, Refusal, Refuse, Ticket
from lavenderspoke.http.upstreamsignals import (
    SignalHeaders,
    UpstreamSignals,
    read_signals,
)

# How long each request lasts, in seconds.
HOLD_S = 0.05


class FleetLoad:
    """Requests that arrive at the entries of a fleet, for one upstream."""

    def __init__(self, *, fleet: Fleet, signals: UpstreamSignals):
        self.fleet = fleet
        self.signals = signals
        self.sent_s: list[float] = []
        self._numbers = 0

    def respond(self, entry: Entry, upstream: Upstream, sent_s: float) -> None:
        entry.dispatcher.response_received(upstream, self.signals, sent_s=sent_s)

    def submit(self, entry: Entry, *, wait_s: float = 5.0) -> list:
        """Submit a request that may wait for so long; return its decisions."""
        now_s = self.fleet.now_s
        self._numbers += 1
        decisions: list[Dispatch | Refuse] = []
        ticket = make_ticket(f"load-{self._numbers}", now_s, wait_s=wait_s)
        ticket.on_decision = lambda decision: (
            decisions.append(decision),
            self._decide(entry, ticket, decision),
        )
        entry.dispatcher.submit(ticket)
        return decisions

    def _decide(self, entry: Entry, ticket: Ticket, decision) -> None:
        if not isinstance(decision, Dispatch):
            return
        sent_s = self.fleet.now_s
        self.sent_s.append(sent_s)
        self.fleet.at(
            sent_s + HOLD_S, lambda: self._answer(entry, ticket, decision.upstream)
        )

    def _answer(self, entry: Entry, ticket: Ticket, upstream: Upstream) -> None:
        self.respond(entry, upstream, ticket.sent_s)
        entry.dispatcher.release_slot(ticket, upstream)


def limiting(value: str) -> UpstreamSignals:
    return read_signals(200, {"limit": value}.get, SignalHeaders(limit="limit"))


def entries_of(context) -> list[Entry]:
    return list(context.fleet.entries.values())


@given("1 entry in 1 data centre")
def step_one_entry(context):
    context.fleet = Fleet(entries=1, data_centres=1)


def tell(context, signals: UpstreamSignals) -> None:
    """Let an upstream that says this answer one entry, and the others hear of it."""
    context.load = FleetLoad(fleet=context.fleet, signals=signals)
    context.fleet.run(1.0)
    context.load.respond(entries_of(context)[0], UPSTREAM, context.fleet.now_s)
    context.fleet.run(0.5)


@given("one of them is told a limit of {per_s:g} requests per second")
def step_told(context, per_s):
    tell(context, limiting(str(per_s)))


@given("the entries no longer hear each other")
def step_partitioned(context):
    context.fleet.send = lambda sender, outgoing, delay_s=None: None


@given("each entry gets a request every {every_ms:d} ms for {seconds:d} s")
@when("each entry gets a request every {every_ms:d} ms for {seconds:d} s")
def step_load(context, every_ms, seconds):
    fleet, load = context.fleet, context.load
    began_s = fleet.now_s
    for index, entry in enumerate(entries_of(context)):
        offset_s = every_ms / 1000 * index / len(fleet.entries)
        for number in range(seconds * 1000 // every_ms):
            fleet.at(
                began_s + offset_s + number * every_ms / 1000,
                lambda entry=entry: load.submit(entry),
            )
    fleet.run(seconds)


@then("the upstream gets at most {count:d} requests in any {window_s:g} s")
def step_at_most(context, count, window_s):
    times_s = sorted(context.load.sent_s)
    most = max(
        sum(start_s <= each < start_s + window_s for each in times_s)
        for start_s in times_s
    )
    assert most <= count, (most, len(times_s))


@then("it gets at least {count:d} requests in all")
def step_at_least(context, count):
    assert len(context.load.sent_s) >= count, len(context.load.sent_s)


@when("the upstream names no limit any more")
def step_ends(context):
    context.load.signals = UpstreamSignals()


def limiting_entries(context) -> list[str]:
    return [
        entry.me.name
        for entry in entries_of(context)
        if entry.dispatcher._backpressure.requests_per_s(
            UPSTREAM.upstream_id, context.fleet.now_s
        )
        < 1000.0
    ]


@then("no entry limits its requests")
def step_none_limits(context):
    assert not limiting_entries(context), limiting_entries(context)


@then("each entry limits its requests")
def step_all_limit(context):
    context.fleet.run(0.5)
    assert limiting_entries(context) == [e.me.name for e in entries_of(context)]


@when("a response arrives to a request sent before the limit")
def step_earlier_request(context):
    for entry in entries_of(context):
        entry.dispatcher.response_received(UPSTREAM, UpstreamSignals(), sent_s=0.9)


@when("the upstream's record lapses and comes back")
def step_lapses(context):
    for upstreams in ((), (UPSTREAM,)):
        for entry in entries_of(context):
            entry.dispatcher.upstreams_changed(upstreams)
        context.fleet.run(2.0)


@when("an entry reports the end of a limit that others just heard")
def step_reported_end(context):
    first, second, _ = entries_of(context)
    context.load.respond(first, UPSTREAM, context.fleet.now_s)
    news = LimitNews(
        upstream_id=UPSTREAM.upstream_id,
        observations=9,
        in_force=False,
        per_s=2.0,
        sent=0,
    )
    state = SharedState(address=second.location.address, number=1000, limits=(news,))
    first.dispatcher.receive_state(second.me, state)


@when('a response names a limit of "{value}"')
def step_invalid(context, value):
    signals = limiting(value)
    assert signals.invalid, signals
    for entry in entries_of(context):
        entry.dispatcher.response_received(
            UPSTREAM, signals, sent_s=context.fleet.now_s
        )


@when("another upstream is listed at its address")
def step_replaced(context):
    other = attrs.evolve(UPSTREAM, upstream_id="u2", name="u2")
    for entry in entries_of(context):
        entry.dispatcher.upstreams_changed((other,))


@when("a request arrives that must be served within {wait_s:g} s")
def step_urgent(context, wait_s):
    (entry,) = entries_of(context)
    context.fleet.run(2.0)
    context.load.submit(entry)
    context.decisions = context.load.submit(entry, wait_s=wait_s)
    context.fleet.run(wait_s)


@then("it is refused with a Retry-After between {min_s:g} s and {max_s:g} s")
def step_retry_after(context, min_s, max_s):
    (decision,) = context.decisions
    assert isinstance(decision, Refuse), decision
    assert min_s <= decision.retry_after_s <= max_s, decision


@then("the refusal names the limit")
def step_names_limit(context):
    (decision,) = context.decisions
    assert "limit of 0.5 per s" in decision.held_back[UPSTREAM.upstream_id], decision


@given("one of them is told that the upstream leaves")
def step_told_leaving(context):
    tell(context, UpstreamSignals(is_leaving=True))


@when("the upstream's record says that it is ready")
def step_ready(context):
    for entry in entries_of(context):
        entry.dispatcher.upstreams_changed((UPSTREAM,))


@when("a response that says nothing arrives late")
def step_nothing(context):
    for entry in entries_of(context):
        entry.dispatcher.response_received(
            UPSTREAM, UpstreamSignals(), sent_s=context.fleet.now_s
        )


def first_decisions(context) -> list[Dispatch | Refuse]:
    context.fleet.run(0.5)
    return [context.load.submit(entry)[0] for entry in entries_of(context)]


@then("every entry refuses requests, since no upstream is left")
def step_refuses(context):
    for decision in first_decisions(context):
        assert isinstance(decision, Refuse), decision
        assert decision.reason is Refusal.NO_UPSTREAM, decision
        assert decision.held_back == {"u": "it says that it leaves"}, decision


@then("every entry sends requests there")
def step_sends(context):
    decisions = first_decisions(context)
    assert [each.upstream.upstream_id for each in decisions] == ["u2"] * 3, decisions


def ask_for_pause(context, entries: list[Entry], value: str) -> None:
    signals = read_signals(503, {"Retry-After": value}.get, SignalHeaders())
    for entry in entries:
        sent_s = context.fleet.now_s
        entry.dispatcher.response_received(UPSTREAM, signals, sent_s=sent_s)


@given('each of them is asked for a pause of "{value}" s')
@when('each of them is asked for a pause of "{value}" s')
def step_pause(context, value):
    context.load = FleetLoad(fleet=context.fleet, signals=UpstreamSignals())
    ask_for_pause(context, entries_of(context), value)


@given('one of them is asked for a pause of "{value}" s')
def step_pause_one(context, value):
    context.load = FleetLoad(fleet=context.fleet, signals=UpstreamSignals())
    ask_for_pause(context, entries_of(context)[:1], value)


@when("the upstream's record lapses for {seconds:g} s")
def step_lapses_shortly(context, seconds):
    for upstreams in ((), (UPSTREAM,)):
        for entry in entries_of(context):
            entry.dispatcher.upstreams_changed(upstreams)
        context.fleet.run(seconds)


@when("the {seconds:g} s of the pause are over")
def step_pass(context, seconds):
    context.fleet.run(seconds)


@then("every entry refuses requests with a Retry-After of at least {least_s:g} s")
def step_pausing(context, least_s):
    for entry in entries_of(context):
        (decision,) = context.load.submit(entry, wait_s=0.2)
        assert isinstance(decision, Refuse), decision
        assert decision.retry_after_s >= least_s, decision
        assert "asked for a pause" in decision.held_back["u"], decision


@then("every entry sends requests to the upstream")
def step_sends_again(context):
    for entry in entries_of(context):
        (decision,) = context.load.submit(entry)
        assert isinstance(decision, Dispatch), decision


@then("only the other entries send requests to the upstream")
def step_others_send(context):
    context.fleet.run(0.5)
    first, *others = (
        context.load.submit(entry, wait_s=0.2)[0] for entry in entries_of(context)
    )
    assert isinstance(first, Refuse), first
    assert all(isinstance(each, Dispatch) for each in others), others
