"""Steps that replay a model's counterexample on one core."""

from behave import given, then, when

from features.modeltraces import (
    DEADLINE_S,
    SERVICE,
    agent_id,
    join,
    make_agent,
    make_arrival,
    make_entry,
    make_keyed_call,
)
from lavenderspoke import messages
from lavenderspoke.agentevents import (
    Exit,
    FindHeir,
    HeirFound,
    LeaveWanted,
    RunNotStarted,
)
from lavenderspoke.core import Tick
from lavenderspoke.entryevents import (
    DrainRequested,
    PeersListed,
    ReadRoster,
    RosterReached,
    RosterReadFailed,
)
from lavenderspoke.gateway import AnswerBody, Sending
from lavenderspoke.model import Head, InstanceId, Standing

KEY_S = 300.0
PEER = InstanceId(name="peer", incarnation="p")
ANSWERS = (messages.Granted, messages.Refused, messages.Revoked, messages.Claimed)


def split(names: str) -> list[str]:
    return [name for name in names.split(", ") if name]


# An agent


@given("a traced agent that joined at offset {offset:d}")
def step_agent(context, offset):
    context.trace = make_agent(offset)
    context.answers = []


@given("a traced agent that has not joined")
def step_agent_unjoined(context):
    context.trace = make_agent(None)
    context.answers = []


def receive(context, message) -> None:
    for answer in context.trace.receive(message):
        if isinstance(answer, ANSWERS):
            context.answers.append(answer)


def nonce(context, number: int) -> str:
    return context.trace.sent(messages.Pull)[number - 1].message.nonce


@when("the traced agent pulls")
def step_pulls(context):
    receive(context, messages.Demand(service=SERVICE.name, waiting={2: 5}))


def grant(context, request_id, number, key=None, stamp=0) -> None:
    message = messages.Grant(
        nonce=nonce(context, number),
        call=make_keyed_call(request_id, key),
        stamp=stamp,
        deadline_in_s=10.0,
    )
    receive(context, message)


@when('"{request_id}" arrives on its pull {number:d}')
def step_grant(context, request_id, number):
    grant(context, request_id, number)


@when('"{request_id}" of key "{key}" arrives on its pull {number:d} with stamp {at:d}')
def step_keyed_grant(context, request_id, key, number, at):
    grant(context, request_id, number, key, at)


@when('the grant of "{request_id}" on its pull {number:d} is revoked')
def step_revoke(context, request_id, number):
    value = nonce(context, number)
    receive(context, messages.Revoke(request_id=request_id, nonce=value))


@when('the upstream refuses the connection for "{request_id}"')
def step_not_started(context, request_id):
    done = context.trace.feed(RunNotStarted(request_id=request_id))
    context.answers += [
        each.message for each in done if isinstance(each.message, ANSWERS)
    ]


@when("{seconds:d} s pass at the traced agent")
@when("{seconds:d} s pass at the traced entry")
def step_wait(context, seconds):
    context.trace.wait(seconds)


@when('"{request_id}" claims key "{key}"')
def step_claim(context, request_id, key):
    message = messages.Claim(key=key, request_id=request_id, round=1, lifetime_s=KEY_S)
    receive(context, message)


@when('"{request_id}" releases its claim of key "{key}"')
def step_unclaim(context, request_id, key):
    receive(context, messages.Unclaim(key=key, request_id=request_id, round=1))


@when("the traced agent is told to stop")
def step_stop_agent(context):
    context.trace.feed(LeaveWanted())


@then("the traced agent has not looked for an heir yet")
def step_no_heir_yet(context):
    sought = [each for each in context.trace.actions if isinstance(each, FindHeir)]
    assert not sought


@when("the traced entry is told to stop")
def step_stop_entry(context):
    context.trace.feed(DrainRequested())


def has_ended(context) -> bool:
    return any(isinstance(each, Exit) for each in context.trace.actions)


@then("the traced daemon has not ended")
def step_not_ended(context):
    assert not has_ended(context)


@then("the traced daemon has ended")
def step_ended(context):
    assert has_ended(context)


@when("the traced agent leaves and hands its keys over")
def step_leave(context):
    context.trace.feed(LeaveWanted())
    context.trace.feed(HeirFound(heir=agent_id("heir")))
    (part,) = context.trace.sent(messages.LedgerHandover)
    context.trace.receive(
        messages.LedgerTaken(part=part.message.part), agent_id("heir")
    )


def describe(message) -> str:
    name = type(message).__name__
    if isinstance(message, messages.Revoked):
        return f"{name} {message.standing.value}"
    if isinstance(message, messages.Claimed):
        return f"{name} {message.holder}"
    return name


@then('the traced agent answered "{answers}"')
def step_said(context, answers):
    assert [describe(each) for each in context.answers] == split(
        answers
    ), context.answers


@then('"{request_id}" was dispatched {count:d} times')
def step_dispatched(context, request_id, count):
    assert context.trace.dispatched(request_id) == count


# An entry


@given('a traced entry that knows agents "{names}"')
def step_entry(context, names):
    context.trace = make_entry(split(names))


@given('agent "{name}" has a successor in the roster')
def step_succeeded(context, name):
    successor = InstanceId(name=name, incarnation="successor")
    join(context.trace, successor, 3)


@when('first send "{request_id}" comes to the traced entry')
def step_first_send(context, request_id):
    context.trace.feed(make_arrival(request_id, None, Sending.FIRST))


@when('keyed first send "{request_id}" of key "{key}" comes to the traced entry')
def step_keyed_first_send(context, request_id, key):
    context.trace.feed(make_arrival(request_id, key, Sending.FIRST))


@when('re-send "{request_id}" of key "{key}" comes to the traced entry')
def step_resend(context, request_id, key):
    context.trace.feed(make_arrival(request_id, key, Sending.RESEND))


def read_ids(context) -> tuple[str, ...]:
    reads = [each for each in context.trace.actions if isinstance(each, ReadRoster)]
    return tuple(each.read_id for each in reads)


@when("the traced entry reads the roster to offset {offset:d}")
def step_read(context, offset):
    context.trace.feed(RosterReached(offset=offset, read_ids=read_ids(context)))


@when("the traced entry can't read the roster")
def step_read_failed(context):
    context.trace.feed(RosterReadFailed(read_ids=read_ids(context)))


@when('agents "{names}" grant the claim of "{request_id}" on key "{key}"')
def step_claimed(context, names, request_id, key):
    for name in split(names):
        message = messages.Claimed(
            key=key,
            request_id=request_id,
            round=1,
            holder=request_id,
            standing=Standing.CLAIMED,
        )
        context.trace.receive(message, agent_id(name))


@when("a peer of the traced entry announces a floor at tier {tier:d}")
def step_floor(context, tier):
    floor = messages.Floor(service=SERVICE.name, tier=tier, round=1, lease_s=2.0)
    context.trace.receive(floor, PEER)


@when('the platform calls agent "{name}" leaving')
def step_listed_leaving(context, name):
    context.trace.feed(PeersListed(entry_names=(), leaving_agents=frozenset({name})))


@when('agent "{name}" pulls from the traced entry on nonce "{value}"')
def step_entry_pulled(context, name, value):
    pull = messages.Pull(
        service=SERVICE.name, nonce=value, slots=1, ttl_s=0.5, rank_min=1
    )
    context.trace.receive(pull, agent_id(name))


@when('agent "{name}" refuses "{request_id}" on nonce "{value}"')
def step_refuses(context, name, request_id, value):
    answer(context, name, "Refused", request_id, value)


@when('agent "{name}" finds that another attempt holds the key of "{request_id}"')
def step_key_held(context, name, request_id):
    granted = context.trace.sent(messages.Grant)[-1].message
    refused = messages.Refused(
        request_id=request_id, nonce=granted.nonce, reason="key_held"
    )
    context.trace.receive(refused, agent_id(name))


@when('agent "{name}" answers "{said}" for "{request_id}" on nonce "{value}"')
def step_answers(context, name, said, request_id, value):
    answer(context, name, said, request_id, value)


def answer(context, name, said, request_id, value) -> None:
    message = messages.Revoked(
        request_id=request_id, nonce=value, standing=Standing.NEVER
    )
    if said == "Refused":
        message = messages.Refused(request_id=request_id, nonce=value, reason="nonce")
    context.trace.receive(message, agent_id(name))


@when("the traced entry is paused for {seconds:d} s")
def step_paused(context, seconds):
    context.trace.now_s += seconds


@when('the caller\'s time for "{request_id}" runs out')
def step_times_out(context, request_id):
    context.trace.now_s += DEADLINE_S
    context.trace.feed(Tick())


@then('"{request_id}" was granted to "{names}"')
@then('"{request_id}" was granted to ""')
def step_granted_to(context, request_id, names=""):
    grants = context.trace.sent(messages.Grant)
    assert [
        each.recipient.name
        for each in grants
        if each.message.call.request_id == request_id
    ] == split(names), grants


@then("the traced entry holds the floor of its peer")
def step_holds_floor(context):
    held = context.trace.sent(messages.FloorHeld)
    assert [each.recipient for each in held] == [PEER]


@then('"{name}" was asked to revoke "{request_id}"')
def step_revoked(context, name, request_id):
    revokes = context.trace.sent(messages.Revoke)
    assert {each.recipient.name for each in revokes} == {name}
    assert {each.message.request_id for each in revokes} == {request_id}


@then('"{names}" were sent the release of the claim of "{request_id}"')
@then('"" were sent the release of the claim of "{request_id}"')
def step_given_back(context, request_id, names=""):
    unclaims = context.trace.sent(messages.Unclaim)
    assert sorted(each.recipient.name for each in unclaims) == split(names)


@then('"{request_id}" was answered with ran "{ran}"')
def step_told(context, request_id, ran):
    told = context.trace.reply_parts(request_id)
    assert [problem.ran.value for problem in told] == [ran], told


@when('pieces "{numbers}" of "{request_id}" come from agent "{name}"')
def step_pieces(context, numbers, request_id, name):
    last = 1 + max(int(each) for each in split(numbers) if each.isdigit())
    for each in split(numbers):
        context.trace.receive(
            messages.Pieces(pieces=(make_piece(request_id, each, last),)),
            agent_id(name),
        )


def make_piece(request_id: str, number: str, last: int) -> messages.Piece:
    if number.startswith("end "):
        count = int(number.removeprefix("end "))
        return messages.Piece(request_id=request_id, number=last, count=count)
    if number == "0":
        return messages.Piece(request_id=request_id, number=0, head=Head(status=200))
    return messages.Piece(
        request_id=request_id, number=int(number), body=number.encode()
    )


@then('the caller of "{request_id}" was given "{parts}"')
def step_given(context, request_id, parts):
    told = context.trace.reply_parts(request_id)
    assert [
        part.body.decode() if isinstance(part, AnswerBody) else type(part).__name__
        for part in told
    ] == split(parts), told
