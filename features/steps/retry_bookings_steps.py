"""Steps about slots that are booked for refused callers."""

import datetime
import json
from collections import Counter
from random import Random

import logbook
from behave import given, then, when

from features.entryfleet import SERVICE, Entry
from features.linedrive import RANKS, QueueSimulation
from lavenderspoke.clock import ManualClock
from lavenderspoke.direct.messages import SharedState
from lavenderspoke.direct.office import (
    BOOKINGS_BEGUN,
    BOOKINGS_ENDED,
    BOOKINGS_METRIC,
)
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.policies import ALL_POLICIES, NO_POLICIES
from lavenderspoke.direct.retrybookings import STEP_S, Redemption, RetryBookings
from lavenderspoke.direct.tickets import Dispatch, Refuse
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.explaining import explain_request, parse_logs

MIDDLE = RANKS["middle"]
OTHER = InstanceId(name="entry-9", incarnation="1")
HOLD_S = 3.0


# Bookings alone


@given("an entry where {per_s:d} slots per second come free after {earliest_s:g} s")
def step_entry(context, per_s, earliest_s):
    context.bookings = RetryBookings(random=Random(5))
    context.load = dict(earliest_s=earliest_s, per_s=float(per_s))


@given("another entry, whose clock is {ahead_s:g} s ahead")
def step_other(context, ahead_s):
    context.other, context.ahead_s = RetryBookings(random=Random(6)), ahead_s


def book(bookings, *, rank=MIDDLE, count, now_s=0.0, latest_s, **load):
    return [
        bookings.book(rank, latest_s=latest_s, now_s=now_s, **load)
        for _ in range(count)
    ]


@when("{count:d} callers are refused at once, who wait {latest_s:g} s at most")
@when("{count:d} caller is refused at once, who waits {latest_s:g} s at most")
def step_refused(context, count, latest_s):
    context.booked = book(
        context.bookings, count=count, latest_s=latest_s, **context.load
    )


@when("the {rank} rank has booked 4 slots from 1 s to 2 s")
def step_rank_booked(context, rank):
    booked = book(
        context.bookings, rank=RANKS[rank], count=4, latest_s=1.99, **context.load
    )
    assert all(each.booked for each in booked), booked


@when("the other has booked 4 slots from 1 s to 2 s, and tells the entry")
def step_other_booked(context):
    step_other_booked_late(context, 0.0)


@when("the other has booked 4 slots from 1 s to 2 s, and its message takes {age_s:g} s")
def step_other_booked_late(context, age_s):
    booked = book(
        context.other, count=4, now_s=context.ahead_s, latest_s=1.99, **context.load
    )
    assert all(each.booked for each in booked), booked
    rows = context.other.rows(context.ahead_s)
    assert context.bookings.merge_peer("other", "1", rows, age_s, age_s=age_s)


@when("nothing more is heard from the other")
def step_silent(context):
    pass


@when("the other restarts without bookings, and tells the entry")
def step_other_restarts(context):
    assert context.bookings.merge_peer("other", "2", (), 0.1)


@then("no two are told times in the same quarter of a second")
def step_different(context):
    steps = Counter(int(each.due_in_s / STEP_S) for each in context.booked)
    assert max(steps.values()) == 1, steps


@then("each is told a time between {least_s:g} s and {most_s:g} s")
def step_between(context, least_s, most_s):
    told_s = [each.due_in_s for each in context.booked]
    assert all(least_s <= each <= most_s for each in told_s), told_s


@then("at most {count:d} slots are booked")
def step_at_most_booked(context, count):
    booked = sum(each.booked for each in context.booked)
    assert 0 < booked <= count, booked
    assert context.bookings.take_counts()["no_room"] == len(context.booked) - booked


@then("the entry counts {count:d} bookings after {after_s:g} s")
def step_counts(context, count, after_s):
    found = context.bookings.outstanding(MIDDLE, until_s=10.0, now_s=after_s)
    assert found == count, found


@then("{count:d} bookings have expired")
def step_expired(context, count):
    assert context.bookings.take_counts()["expired"] == count


@then("a return after {after_s:g} s is early")
def step_early(context, after_s):
    assert context.bookings.redeem(MIDDLE, after_s) is Redemption.EARLY
    assert context.bookings.take_counts()["early"] == 1


@then("a return after {after_s:g} s redeems its booking")
def step_redeems(context, after_s):
    context.redeemed_s = after_s
    assert context.bookings.redeem(MIDDLE, after_s) is Redemption.REDEEMED


@then("the other counts {count:d} bookings once the entry has told it")
def step_other_counts(context, count):
    rows = context.bookings.rows(context.redeemed_s)
    now_s = context.ahead_s + context.redeemed_s
    assert context.other.merge_peer("entry", "1", rows, now_s)
    found = context.other.outstanding(MIDDLE, until_s=10.0, now_s=now_s)
    assert found == count, found


# Messages


@given("a dispatcher that has heard of 3 bookings of another entry")
def step_dispatcher(context):
    context.clock = ManualClock()
    context.entry = Entry(
        name="entry-1", data_centre="dc-0", clock=context.clock, seed=1
    )
    hear(context, (0, 2, 8, 3), number=1)


def hear(context, row, *, number):
    state = SharedState(address="tcp://x:1", number=number, bookings={SERVICE: (row,)})
    assert context.entry.dispatcher.receive_state(OTHER, state)


@when("it receives {count:d} messages of that entry with the row {row}")
def step_malformed(context, count, row):
    context.logged = logbook.TestHandler()
    values = tuple(int(each) for each in row.split(","))
    with context.logged.applicationbound():
        for number in range(count):
            hear(context, values, number=2 + number)
        context.entry.dispatcher.tick()
    context.received = count


@when("it goes on for 4 s without another message")
def step_goes_on(context):
    context.logged = logbook.TestHandler()
    with context.logged.applicationbound():
        for _ in range(40):
            context.entry.dispatcher.tick()
            context.clock.advance(0.1)


@then("it has logged once that bookings began, and once that they ended")
def step_begun_and_ended(context):
    lines = [each.message for each in context.logged.records]
    assert lines == [BOOKINGS_BEGUN, BOOKINGS_ENDED], lines


@then("it still counts 3 bookings")
def step_still_counts(context):
    queue = context.entry.dispatcher._scheduler.queue(SERVICE)
    assert queue.bookings.outstanding((0, 2), until_s=10.0, now_s=0.0) == 3


@then('it has logged one line on them and counted "malformed" for each message')
def step_logged(context):
    lines = [each.message for each in context.logged.records]
    assert lines == ["malformed bookings of an entry ignored", BOOKINGS_BEGUN], lines
    counted = context.entry.dispatcher._metrics.counter_value(
        BOOKINGS_METRIC, "malformed"
    )
    assert counted == context.received, counted


# A queue


@given("a queue of 4 slots, all held for 3 s by requests of the highest rank")
def step_queue(context):
    line = context.line = QueueSimulation(upstreams=1, slots=4)
    context.held = []
    for _ in range(4):
        ticket, decisions = line.submit_ticket()
        assert isinstance(decisions[0], Dispatch), decisions
        context.held.append(ticket)
        line.at(HOLD_S, lambda t=ticket: line.queue.release(t, "u0", line.now_s))
    line.now_s = 0.5


@given("60 requests of the highest rank wait")
def step_waiting(context):
    # More than are accepted on arrival, as after a burst at other entries.
    line = context.line
    for rank in ("highest", "lowest"):
        line.queue._rates_of(RANKS[rank]).mean_hold_s = HOLD_S
    line.peers = PeerCounts(waiting={RANKS["highest"]: 60}, entries=10)
    line.scheduler.tick(line.now_s)


@given("the lowest rank holds 1 slot at another entry")
def step_lowest_holds(context):
    context.line.peers = PeerCounts(held={RANKS["lowest"]: 1}, entries=1)
    context.line.scheduler.tick(context.line.now_s)


@given("30 slots are booked for now by another entry")
def step_booked_now(context):
    line = context.line
    rows = ((*RANKS["lowest"], 0, 30),)
    assert line.queue.bookings.merge_peer("other", "1", rows, line.now_s)
    line.queue._rates_of(RANKS["lowest"]).mean_hold_s = 0.5


@when("a refused request of the lowest rank returns, whose caller waits 5 s")
def step_returns(context):
    line = context.line
    context.ticket, context.decisions = line.submit_ticket(
        rank=RANKS["lowest"],
        first_arrived_s=line.now_s - 5.0,
        deadline_s=line.now_s + 10.0,
        resubmitted=True,
    )


@when("a request of the {rank} rank arrives for the first time")
def step_new(context, rank):
    line = context.line
    context.new, decisions = line.submit_ticket(
        rank=RANKS[rank],
        target_s=5.0 if rank == "highest" else 1.0,
        deadline_s=line.now_s + 15.0,
    )
    if rank == "lowest":
        context.ticket, context.decisions = context.new, decisions
    else:
        context.new_decisions = decisions


@then("it is sent when a slot comes free")
def step_sent(context):
    assert not context.decisions, context.decisions
    context.line.run(HOLD_S)
    assert isinstance(context.decisions[0], Dispatch), context.decisions


@then("it is refused at once")
def step_refused_at_once(context):
    assert isinstance(context.decisions[0], Refuse), context.decisions


@then("its log field tells that no slot is expected, or when one is booked")
def step_log_field(context):
    assert "slot" in context.ticket.booking, context.ticket.booking


@then("that request is sent before the returned one")
def step_sent_before(context):
    line = context.line
    line.queue.release(context.held[0], "u0", line.now_s)
    assert isinstance(context.new_decisions[0], Dispatch), context.new_decisions
    assert not context.decisions, context.decisions


# A load


@given("callers who ask for twice the slots for 9 s, and for half of them thereafter")
def step_burst(context):
    context.loads = ((9.0, 26.0), (14.0, 6.0))


@given("callers who ask for half of the slots")
def step_enough(context):
    context.loads = ((20.0, 5.0),)


@when("the burst is played with booked retries and without")
@when("the load is played with booked retries and without")
def step_played(context):
    context.played = {
        policies.retry_bookings: play(context.loads, policies)
        for policies in (ALL_POLICIES, NO_POLICIES)
    }


def play(loads, policies) -> QueueSimulation:
    """Play loads after one another; each is its seconds and requests per second."""
    line = QueueSimulation(upstreams=2, slots=8, policies=policies)
    for seconds, per_s in loads:
        row = {
            "rank": "lowest",
            "requests": per_s,
            "hold s": 1.2,
            "target s": 1.2,
            "deadline s": 15.0,
        }
        line.schedule_arrivals(row, seconds)
        line.run(seconds)
    line.run(15.0)
    return line


def refused_again(line: QueueSimulation) -> int:
    return sum(
        1 for each in line.requests if each.attempts > 1 and not each.dispatched_s
    )


def sent_s(line: QueueSimulation) -> list[float | None]:
    return [each.dispatched_s for each in line.requests]


@then("at most half as many returns are refused again as without")
def step_half(context):
    with_it, without = (refused_again(context.played[on]) for on in (True, False))
    assert with_it <= without / 2, (with_it, without)


@then("more requests are sent than without")
def step_more(context):
    with_it, without = (
        sum(each is not None for each in sent_s(context.played[on]))
        for on in (True, False)
    )
    assert with_it > without, (with_it, without)


@then("each request is sent at the same time as without")
def step_same(context):
    assert not context.played[False].refused, "slots don't suffice"
    assert sent_s(context.played[True]) == sent_s(context.played[False])


# Explanations


@given("a log line of a refused request with a booking")
def step_log_line(context):
    fields = dict(
        time=datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC).isoformat(),
        daemon="entry-1",
        message="request",
        request="r1",
        outcome="no_room",
        booking="slot booked in 1.50 s",
    )
    context.explained = explain_request(parse_logs([json.dumps(fields)]), "r1")


@then('its explanation contains "{text}"')
def step_explained(context, text):
    assert text in context.explained[0].meaning, context.explained
