"""Steps about what entries keep, tell and record of the versions of streams."""

import itertools
import json
import re
import threading
import time
from random import Random

import attrs
from behave import given, then, when
from result import Ok

from features.entryfleet import make_ticket, upstream_of
from lavenderspoke.clock import ManualClock, SystemClock
from lavenderspoke.direct.messages import (
    StreamsBegan,
    StreamsConfirmed,
    VersionsAsked,
    VersionsTold,
)
from lavenderspoke.direct.records import KeyedRecord, RecordBatch
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.direct.streamexchange import StreamExchange
from lavenderspoke.direct.streamversions import StreamVersions
from lavenderspoke.direct.tickets import Dispatch, Refusal, Refuse
from lavenderspoke.direct.versionrecords import (
    RECORD_TIMEOUT_S,
    RecordedVersion,
    VersionRecords,
)
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.platform.streamrecords import JournalReader
from lavenderspoke.rollouts.orders import Access
from standins.processes import wait_until

SERVICE = "narrative"
ROW = ("first", SERVICE, "v1")
STEP_S = 1.0


def read_list(context, *versions: str) -> None:
    upstreams = tuple(upstream_of(f"u-{each}", version=each) for each in versions)
    context.versions.update_listed(upstreams)
    context.versions.record_read(context.clock.monotonic_s())


def read_stored(context, *versions: str, copy: int = 1) -> None:
    """Read a snapshot of the store's records, which were written in its first copy."""
    records = [
        RecordedVersion(service=SERVICE, version=each, copy=1) for each in versions
    ]
    context.versions.read_records(
        {each.key: each for each in records}, (), is_snapshot=True, epoch=copy
    )


def new_versions(context, clock=None) -> StreamVersions:
    context.clock = clock or ManualClock()
    context.versions = StreamVersions(clock=context.clock)
    return context.versions


def exchange_of(context, peers: dict[str, EntryLocation], send) -> StreamExchange:
    exchange = StreamExchange(
        versions=context.versions,
        data_centre="dc-0",
        live=lambda: peers,
        known=lambda: peers,
        clock=context.clock,
        metrics=Metrics(),
    )
    exchange.send = send
    return exchange


@given('an entry that knows a stream of "{version}"')
def step_knows(context, version):
    new_versions(context).record(("first", SERVICE, version))


@then("it knows its version for {kept:d} s and not for {forgotten:d} s")
def step_kept(context, kept, forgotten):
    context.clock.advance(kept)
    assert context.versions.find("first") == ROW
    context.clock.advance(forgotten - kept)
    assert context.versions.find("first") is None


@given('an entry that knows a stream of "{version}", whose events go on for {s:d} s')
def step_goes_on(context, version, s):
    new_versions(context).record(("first", SERVICE, version))
    exchange = exchange_of(context, {}, lambda name, message: None)
    told_s = 0.0
    for _ in range(int(s / STEP_S)):
        context.clock.advance(STEP_S)
        told_s = exchange.stream_goes_on("first", SERVICE, version, told_s=told_s)


@then("it has told its neighbours of it {count:d} times, and knows its version")
def step_told_again(context, count):
    # Once as it began, and each 20 s.
    assert len(context.versions.take_unsent()) == count + 1
    assert context.versions.find("first") == ROW


@when("{count:d} other streams begin")
def step_many(context, count):
    context.versions.merge((f"s{n}", SERVICE, "v2") for n in range(count))


@then("it has forgotten the first one and knows the last")
def step_forgotten(context):
    assert context.versions.find("first") is None
    assert context.versions.find("s49999") is not None


@given("as to versions, an entry that {read}")
def step_read(context, read):
    new_versions(context)
    context.clock.advance(1.0)
    listed = re.search(r"list of (v1(?: and v2)?)", read).group(1).split(" and ")
    read_list(context, *listed)
    if "in its place" in read:
        read_stored(context)
        context.clock.advance(1.0)
        read_list(context, "v2")
        context.clock.advance(float(re.search(r"(\d+) s ago", read).group(1)))
        read_list(context, "v2")
        return
    if seconds := re.search(r"v1 for (\d+) s", read):
        for _ in range(int(seconds.group(1))):
            context.clock.advance(1.0)
            read_list(context, *listed)
    if "records" in read or "none for" in read:
        versions = ("v0",) if "with v0" in read else ()
        versions += ("v1",) if "with v1" in read else ()
        read_stored(context, *versions, copy=2 if "of an older copy" in read else 1)
    if "none for 5 s" in read:
        context.clock.advance(5.0)


@then('the only version is "{version}"')
def step_only(context, version):
    expected = None if version == "none" else version
    assert context.versions.only_version(SERVICE) == expected


@given("the records of the versions of a service, read from an empty store")
def step_records(context):
    context.clock = ManualClock()
    context.records = VersionRecords(clock=context.clock)
    context.records.read({}, (), is_snapshot=True, epoch=1)


def due(context, *versions: str, is_first: bool, is_complete: bool = True):
    changes = context.records.due(
        {SERVICE: versions}, is_first=is_first, is_complete=is_complete
    )
    return [each.version for each in changes.writes], changes.deletions


def write_due(context, *versions: str) -> None:
    changes = context.records.due({SERVICE: versions}, is_first=True, is_complete=True)
    for each in changes.writes:
        context.records.record_written(each)
    for key in changes.deletions:
        context.records.record_deleted(key)


@then('the first entry writes "{version}" at once, and the others after 12 s')
def step_writes(context, version):
    assert due(context, version, is_first=True) == ([version], ())
    assert due(context, version, is_first=False) == ([], ())
    context.clock.advance(11.9)
    assert due(context, version, is_first=False) == ([], ())
    context.clock.advance(0.1)
    assert due(context, version, is_first=False) == ([version], ())


@then('an entry that is to begin a stream of "{version}" writes it at once')
def step_needed(context, version):
    waiting = threading.Thread(
        target=context.records.wait_recorded, args=(SERVICE, version)
    )
    waiting.start()
    wait_until(
        lambda: due(context, version, is_first=False) == ([version], ()),
        RECORD_TIMEOUT_S,
        "the record is due",
    )
    write_due(context, version)
    waiting.join()
    assert context.records.is_recorded(SERVICE, version)


@then("once that is written, nobody writes it again")
def step_read_again(context):
    context.clock.advance(99.0)
    for is_first in (True, False):
        assert due(context, "v1", is_first=is_first) == ([], ())


@then('the first entry adds "{version}" at once')
def step_adds(context, version):
    assert due(context, "v1", version, is_first=True) == ([version], ())
    write_due(context, "v1", version)


@then('it deletes "{gone}" once only "{version}" was listed lately')
def step_deletes(context, gone, version):
    key = RecordedVersion(service=SERVICE, version=gone).key
    assert due(context, version, is_first=True) == ([], (key,))


@then("an entry that doesn't know all versions deletes none")
def step_deletes_none(context):
    assert due(context, "v2", is_first=True, is_complete=False) == ([], ())


@then("a copy of the store without the record gets it again")
def step_copy(context):
    write_due(context, "v2")
    context.records.read({}, (), is_snapshot=True, epoch=2)
    assert due(context, "v2", is_first=True) == (["v2"], ())


@then("so does one whose record is of an older copy, from an entry that knows all")
def step_older_copy(context):
    older = RecordedVersion(service=SERVICE, version="v2", copy=1)
    context.records.read({older.key: older}, (), is_snapshot=True, epoch=2)
    assert due(context, "v2", is_first=True, is_complete=False) == ([], ())
    assert due(context, "v2", is_first=True) == (["v2"], ())


@given("an entry whose store {state}")
def step_store_state(context, state):
    context.records = VersionRecords(clock=ManualClock())
    if state == "takes no writes":
        context.records.read({}, (), is_snapshot=True, epoch=1)


@then('it writes no record of "{version}"')
def step_no_record(context, version):
    assert due(context, version, is_first=True, is_complete=False) == ([], ())


@when('it reads that "{version}" is recorded in this copy of the store')
def step_reads(context, version):
    record = RecordedVersion(service=SERVICE, version=version, copy=1)
    context.is_complete = context.records.read(
        {record.key: record}, (), is_snapshot=True, epoch=1
    )


@then('it knows all versions, and writes no record of "{version}"')
def step_knows_all(context, version):
    assert context.is_complete
    assert due(context, version, is_first=True) == ([], ())


@then("the first event of a version waits for {s:g} s, and the next for {next_s:g} s")
def step_waits_for(context, s, next_s):
    for wanted_s in (s, next_s):
        began_s = time.monotonic()
        in_time = context.records.wait_recorded(SERVICE, "v1")
        took_s = time.monotonic() - began_s
        assert in_time == (s == 0.0), in_time
        assert wanted_s <= took_s < wanted_s + 0.1, took_s


@given('an entry of {entries:d} that knows "{version}" as the only version')
def step_only_known(context, entries, version):
    context.entries = entries
    new_versions(context)
    read_list(context, version)
    read_stored(context, version)
    context.numbers = itertools.count()


@when('{count:d} of its streams begin at "{version}"')
def step_own_streams(context, count, version):
    for number in itertools.islice(context.numbers, count):
        context.versions.record((f"own-{number}", SERVICE, version))


@when('"{version}" is listed too, and {count:d} of its streams begin at "{version_2}"')
def step_listed_too(context, version, count, version_2):
    read_list(context, "v1", version)
    step_own_streams(context, count, version_2)


@given("an entry of {entries:d} that doesn't know which versions served")
def step_none_known(context, entries):
    context.entries = entries
    new_versions(context)


@when("{count:d} of its streams begin at each of {services:d} services")
def step_several_services(context, count, services):
    for service, number in itertools.product(range(services), range(count)):
        row = (f"own-{service}-{number}", f"service-{service}", "v1")
        context.versions.record(row)


def written(context) -> int:
    context.rows = context.versions.take_journal_due(entries=context.entries)
    return len(context.rows)


@then("it writes no streams")
def step_no_streams(context):
    assert written(context) == 0


@then("it writes {count:d} streams at once, and nothing more within {s:g} s")
def step_writes_streams(context, count, s):
    assert written(context) == count
    rows = context.rows
    context.clock.advance(s - 0.01)
    assert written(context) == 0
    context.clock.advance(0.01)
    context.rows = rows


@when("the store doesn't take them")
def step_not_taken(context):
    context.versions.journal.put_back(context.rows)


@then("it writes {count:d} streams {s:g} s later")
def step_writes_later(context, count, s):
    assert written(context) == count


@when("{s:g} s pass, and a stream begins whose id has {length:d} characters")
def step_long_id(context, s, length):
    context.clock.advance(s)
    context.versions.record(("x" * length, SERVICE, "v2"))


@attrs.define(kw_only=True)
class Peers:
    """Other entries, which answer as they are sent something, or don't."""

    names: list[str]
    answering: set[str]
    knowing: set[str] = attrs.field(factory=set)
    told: set[str] = attrs.field(factory=set)
    heard_from_s: float = 0.0
    exchange: StreamExchange | None = None

    def locations(self) -> dict[str, EntryLocation]:
        return {
            name: EntryLocation(address=f"tcp://{name}:1", data_centre=f"dc-{n % 2}")
            for n, name in enumerate(self.names)
        }

    def receive(self, name: str, message) -> None:
        sender = InstanceId(name=name, incarnation="1")
        if time.monotonic() < self.heard_from_s:
            return
        if isinstance(message, StreamsBegan):
            self.told.add(name)
            if name in self.answering:
                reply = StreamsConfirmed(number=message.number)
                self.exchange.receive(reply, sender)
        elif isinstance(message, VersionsAsked) and name in self.answering:
            rows = (ROW,) if name in self.knowing else ()
            reply = VersionsTold(number=message.number, rows=rows)
            self.exchange.receive(reply, sender)


def start_exchange(context, peers: Peers) -> None:
    new_versions(context, SystemClock())
    # Two versions are listed, so that neither is the only one.
    read_list(context, "v1", "v2")
    context.peers = peers
    peers.exchange = exchange_of(context, peers.locations(), peers.receive)


@given("an entry with {others:d} other entries, of which {answering:d} confirm")
def step_others(context, others, answering):
    names = [f"entry-{n}" for n in range(others)]
    start_exchange(context, Peers(names=names, answering=set(names[:answering])))


@when("a stream begins while two versions serve")
def step_begins(context):
    began_s = time.monotonic()
    context.result = context.peers.exchange.stream_began(*ROW)
    context.took_s = time.monotonic() - began_s


@then('{told:d} were told, and it is "{result}" within {s:g} s')
def step_told(context, told, result, s):
    assert len(context.peers.told) == told, context.peers.told
    assert context.result.value == result, context.result
    assert context.took_s < s, context.took_s


@given(
    "an entry with {others:d} other entries, of which {knowing:d} know the stream and "
    "{silent:d} say nothing"
)
def step_knowing(context, others, knowing, silent):
    names = [f"entry-{n}" for n in range(others)]
    start_exchange(
        context,
        Peers(
            names=names,
            answering=set(names[: others - silent]),
            knowing=set(names[:knowing]),
        ),
    )


@given("an entry that hears its {others:d} others, who know the stream, after {s:g} s")
def step_unheard(context, others, s):
    names = [f"entry-{n}" for n in range(others)]
    peers = Peers(names=names, answering=set(names), knowing=set(names))
    peers.heard_from_s = time.monotonic() + s
    start_exchange(context, peers)
    peers.exchange._live = lambda: {}


@when("the stream is taken up while two versions serve")
def step_taken_up(context):
    began_s = time.monotonic()
    context.origin = context.peers.exchange.find_origin("first", SERVICE)
    context.took_s = time.monotonic() - began_s


@attrs.define(kw_only=True)
class SlowStore:
    """A store with the journal of one stream."""

    answers_after_s: float

    def read(self, topic: str, from_offset: int, *, wait_s: float):
        time.sleep(self.answers_after_s)
        record = KeyedRecord(key="entry-1", value=json.dumps([ROW]).encode(), offset=0)
        records = (record,) if from_offset == 0 else ()
        return Ok(RecordBatch(records=records, next_offset=1))


@given(
    "an entry without others that reads its streams from a store that answers after "
    "{read_s:g} s"
)
def step_slow_store(context, read_s):
    start_exchange(context, Peers(names=[], answering=set()))
    context.peers.exchange.find_recorded = JournalReader(
        store=SlowStore(answers_after_s=read_s),
        clock=context.clock,
        metrics=Metrics(),
    ).find


@when("the stream is taken up with {left_s:g} s left, while two versions serve")
def step_taken_up_until(context, left_s):
    began_s = time.monotonic()
    context.origin = context.peers.exchange.find_origin(
        "first", SERVICE, until_s=context.clock.monotonic_s() + left_s
    )
    context.took_s = time.monotonic() - began_s


@then('it goes on at "{version}" within {s:g} s')
def step_goes_on_at(context, version, s):
    found = "none" if context.origin is None else context.origin.version
    assert found == version, context.origin
    assert context.took_s < s, context.took_s


def start_queue(context, accesses: dict[str, Access]) -> None:
    context.decisions = {}
    context.upstreams = {
        each: attrs.evolve(upstream_of(f"u-{each}", version=each), slots=1)
        for each in ("v1", "v2")
    }
    context.scheduler = Scheduler(
        random=Random(1),
        access=lambda upstream: accesses.get(upstream.version, Access.OPEN),
        metrics=Metrics(),
    )
    context.scheduler.reconfigure(tuple(context.upstreams.values()), 0.0)
    context.queue = context.scheduler.queue(SERVICE)


def submit(context, name: str, version: str | None = None) -> None:
    ticket = make_ticket(name, 0.0)
    ticket.version = version
    ticket.on_decision = lambda decision: context.decisions.update({name: decision})
    context.queue.submit(ticket, 0.0)


def sent_to(context, name: str) -> str:
    decision = context.decisions.get(name)
    return decision.upstream.version if isinstance(decision, Dispatch) else ""


@given('a queue with a busy upstream of "{busy}" and an idle one of "{idle}"')
def step_queue(context, busy, idle):
    start_queue(context, {})
    submit(context, "running", busy)
    assert sent_to(context, "running") == busy


@when('a stream of "{version}" waits, and a new request comes')
def step_waits(context, version):
    submit(context, "stream", version)
    submit(context, "new")


@then('the new request is sent to "{version}", and the stream waits')
def step_sent(context, version):
    assert sent_to(context, "new") == version, context.decisions
    assert "stream" not in context.decisions


@when('the upstream of "{version}" says that it leaves')
def step_leaves(context, version):
    leaving = attrs.evolve(context.upstreams[version], leaving=True)
    context.upstreams[version] = leaving
    context.scheduler.reconfigure(tuple(context.upstreams.values()), 0.1)
    context.scheduler.tick(0.2)


@then('the stream is refused as "{reason}"')
def step_refused(context, reason):
    decision = context.decisions["stream"]
    assert isinstance(decision, Refuse), decision
    assert decision.reason is Refusal(reason), decision


@given('a queue with an idle, closed upstream of "{idle}" and a busy one of "{busy}"')
def step_closed(context, idle, busy):
    start_queue(context, {idle: Access.CLOSED})
    submit(context, "running")
    assert sent_to(context, "running") == busy


@when('a stream of "{version}" is to go on')
def step_to_go_on(context, version):
    submit(context, "stream", version)


@then('the stream goes to "{version}" without waiting')
def step_at_once(context, version):
    assert sent_to(context, "stream") == version, context.decisions
