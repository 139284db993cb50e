import random

import attrs
from behave import given, then, when
from hypothesis import strategies

from features.helper import fuzz
from features.memorylog import MemoryLog, document
from lavenderspoke.documents.edits import (
    DocumentRecord,
    DocumentSnapshot,
    encode_edit,
    encode_snapshot,
)
from lavenderspoke.documents.fold import DocumentFold

STREAM = "services"


def new_fold(seed=0, carry_every_s=600.0):
    return DocumentFold(random=random.Random(seed), carry_every_s=carry_every_s)


def read_page(log, fold, limit=500):
    page = log.read(stream=STREAM, offset=fold.next_offset, limit=limit).unwrap()
    return fold.apply_page(page)


def read_all(log, fold):
    read_page(log, fold)
    while not fold.caught_up:
        read_page(log, fold)
    return fold


def append(log, payload, record_id=None):
    record_id = record_id or f"record-{log.next_offset}"
    return log.append(stream=STREAM, record_id=record_id, payload=payload).unwrap()


def edit(base, author="ana", text=None):
    return encode_edit(
        DocumentRecord(
            service="alerts",
            base=base,
            text=document() if text is None else text,
            author=author,
            at="2026-12-02T20:00:00+00:00",
        )
    )


def assert_in_force(fold, version):
    assert fold.versions().get("alerts", 0) == version, fold.versions()


@given("an empty log of documents")
def step_empty_log(context):
    context.log = MemoryLog()
    context.first = new_fold()


@when('"{author}" publishes on base {base:d}')
def step_publish(context, author, base):
    append(context.log, edit(base, author))
    read_all(context.log, context.first)


@when("the last record is appended again")
def step_append_again(context):
    record = context.log.records[-1][1]
    append(context.log, record.payload, record.record_id)


@when("a record that can't be decoded is appended")
def step_append_corrupt(context):
    append(context.log, b'{"edit": {"service": 3}}')


@when("a document with mistakes is published on base {base:d}")
def step_publish_mistakes(context, base):
    append(context.log, edit(base, text="name: alerts"))


@when("a snapshot from the future is appended")
def step_append_future(context):
    snapshot = DocumentSnapshot(read_to=1000, documents=())
    append(context.log, encode_snapshot(snapshot))


@when("a reader makes a snapshot and keeps it")
def step_keep_snapshot(context):
    context.kept = context.first.snapshot()


@when("the kept snapshot is appended")
def step_append_kept(context):
    append(context.log, context.kept)


@when("a reader that has read everything appends a snapshot")
def step_append_snapshot(context):
    append(context.log, read_all(context.log, context.first).snapshot())


@when("the log forgets everything below {offset:d}")
def step_forget(context, offset):
    context.log.trim(offset)


@when("the log is as before, but its snapshot is kept")
def step_unforget(context):
    context.log.oldest_offset = 1


@when("a reader reads to the end and is paused")
def step_pause(context):
    context.paused = read_all(context.log, new_fold())


@then('a new reader has version {version:d} by "{author}" in force')
def step_new_reader(context, version, author):
    context.reader = read_all(context.log, new_fold())
    assert_in_force(context.reader, version)
    assert context.reader.in_force("alerts").author == author


@then(
    'a new reader has version {version:d} by "{author}" in force and {state} complete'
)
def step_new_reader_complete(context, version, author, state):
    step_new_reader(context, version, author)
    assert context.reader.complete == (state == "is")


@then("a new reader has version 0 in force and isn't complete")
def step_new_reader_none(context):
    reader = read_all(context.log, new_fold())
    assert_in_force(reader, 0)
    assert not reader.complete


@then("the paused reader has version {version:d} in force and isn't complete")
def step_paused_incomplete(context, version):
    assert_in_force(read_all(context.log, context.paused), version)
    assert not context.paused.complete


@then(
    'the paused reader has version {version:d} by "{author}" in force and is complete'
)
def step_paused_complete(context, version, author):
    assert_in_force(read_all(context.log, context.paused), version)
    assert context.paused.in_force("alerts").author == author
    assert context.paused.complete


@then(
    'it remembers the conflict of "{author}" on base {base:d} with version {version:d}'
)
def step_conflict(context, author, base, version):
    (conflict,) = context.reader.conflicts
    record = conflict.record
    assert (record.author, record.base, conflict.version) == (author, base, version)


@then('it has skipped {count:d} record as "{reason}" and {other:d} as "{other_reason}"')
def step_skipped(context, count, reason, other, other_reason):
    skipped = context.reader.skipped
    assert (skipped[reason], skipped[other_reason]) == (count, other), skipped


@then(
    "a reader to whom record {offset:d} comes corrupt {count:d} {times} "
    "has version {version:d} in force"
)
def step_corrupt_times(context, offset, count, times, version):
    fold = new_fold()
    for _ in range(count):
        page = context.log.read(stream=STREAM, offset=fold.next_offset).unwrap()
        kept = tuple(each for each in page.records if each.offset != offset)
        fold.apply_page(attrs.evolve(page, records=kept, corrupt_offsets=(offset,)))
    read_all(context.log, fold)
    assert_in_force(fold, version)
    assert fold.skipped["corrupt"] == count - 1


def payload_at(log, offset):
    return next(each.payload for _, each in log.records if each.offset == offset)


@then("a reader that can't read the log takes version {version:d} when passed it")
def step_relay(context, version):
    context.reader = new_fold()
    (change,) = context.reader.relay(version, payload_at(context.log, version))
    assert change.document.version == version
    assert context.reader.relay_payload("alerts") == payload_at(context.log, version)


@then("it keeps version {version:d} when passed version {lower:d}")
def step_relay_lower(context, version, lower):
    assert context.reader.relay(lower, payload_at(context.log, lower)) == []
    assert_in_force(context.reader, version)


@then("it writes no snapshot while the log is behind what it was passed")
def step_relay_no_snapshot(context):
    empty = MemoryLog()
    read_all(empty, context.reader)
    assert not any(carry(empty, [context.reader], now_s) for now_s in range(2000))


@then("it keeps version {version:d} when it reads the log")
def step_relay_then_log(context, version):
    while not context.reader.caught_up:
        assert read_page(context.log, context.reader, limit=1) == []
        assert_in_force(context.reader, version)


def carry(log, folds, now_s):
    """Let each reader that is due append a snapshot; return how many did."""
    for fold in folds:
        read_all(log, fold)
    due = [fold for fold in folds if fold.due_to_carry(log.oldest_offset, now_s)]
    for fold in due:
        append(log, fold.snapshot())
    return len(due)


@then(
    "of {count:d} readers for {end_s:d} seconds, with a period of {period_s:d} "
    "seconds, between {low:d} and {high:d} write in each period"
)
def step_carry_rate(context, count, end_s, period_s, low, high):
    folds = [new_fold(seed, period_s) for seed in range(count)]
    for start_s in range(0, end_s, 2 * period_s):
        times_s = range(start_s, start_s + 2 * period_s)
        written = sum(carry(context.log, folds, now_s) for now_s in times_s)
        assert low <= written <= 2 * high, written


@then("readers that are restarted every {life_s:d} seconds still write")
def step_carry_restarts(context, life_s):
    written = 0
    for start_s in range(0, 3000, life_s):
        folds = [new_fold(start_s + seed) for seed in range(5)]
        times_s = range(start_s, start_s + life_s)
        written += sum(carry(context.log, folds, now_s) for now_s in times_s)
    assert written > 0


@then(
    "of {count:d} readers that know version 1, the first writes within "
    "{limit_s:d} seconds"
)
def step_carry_soon(context, count, limit_s):
    log = context.log
    log.oldest_offset, oldest_offset = 1, log.oldest_offset
    folds = [read_all(log, new_fold(seed)) for seed in range(count)]
    log.trim(oldest_offset)
    assert any(carry(log, folds, now_s) for now_s in range(limit_s + 1))


@then("a reader that isn't complete never writes")
def step_incomplete_never(context):
    log = MemoryLog(next_offset=3, oldest_offset=2)
    fold = new_fold()
    assert not any(carry(log, [fold], now_s) for now_s in range(2000))


ACTIONS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("edit"),
            strategies.sampled_from(["in force", "stale", "none", "ahead"]),
        ),
        strategies.tuples(strategies.just("double"), strategies.integers(1, 6)),
        strategies.tuples(strategies.just("bad"), strategies.integers(0, 1)),
        strategies.tuples(strategies.just("other"), strategies.just(0)),
        strategies.tuples(strategies.just("read"), strategies.integers(0, 2)),
        strategies.tuples(strategies.just("restart"), strategies.integers(0, 2)),
        strategies.tuples(strategies.just("snapshot"), strategies.integers(0, 2)),
        strategies.tuples(strategies.just("carry"), strategies.integers(0, 2)),
        strategies.tuples(strategies.just("relay"), strategies.integers(0, 2)),
        strategies.tuples(strategies.just("trim"), strategies.integers(1, 6)),
    ),
    max_size=40,
)


class History:
    """A random history, with a first reader that has read every record."""

    def __init__(self):
        self.log = MemoryLog()
        self.untrimmed = MemoryLog()
        self.first = new_fold()
        self.accepted = {0}
        self.folds = [new_fold(seed) for seed in range(3)]
        self.heights = [0, 0, 0]
        self.kept = [None, None, None]

    def append(self, payload, record_id=None):
        append(self.log, payload, record_id)
        append(self.untrimmed, payload, record_id)
        changes = read_all(self.untrimmed, self.first) and self.first.versions()
        self.accepted.add(changes.get("alerts", 0))

    def run(self, action, value):
        getattr(self, f"do_{action}")(value)
        for index, fold in enumerate(self.folds):
            version = fold.versions().get("alerts", 0)
            assert version in self.accepted
            assert version >= self.heights[index]
            self.heights[index] = version

    def do_edit(self, kind):
        version = self.first.versions().get("alerts", 0)
        ahead = self.log.next_offset + 1
        bases = {
            "in force": version,
            "stale": max(self.accepted - {version}, default=0),
        }
        self.append(edit(bases.get(kind, ahead if kind == "ahead" else 0)))

    def do_double(self, back):
        records = self.log.records[-back:]
        if records:
            self.append(records[0][1].payload, records[0][1].record_id)

    def do_bad(self, kind):
        version = self.first.versions().get("alerts", 0)
        self.append([b"\xff", edit(version, text="name: alerts")][kind])

    def do_other(self, _):
        for log in (self.log, self.untrimmed):
            log.append(stream="roster", record_id="join", payload=b"")

    def do_read(self, index):
        read_page(self.log, self.folds[index], limit=2)

    def do_restart(self, index):
        self.folds[index] = new_fold(index)
        self.heights[index] = 0

    def do_snapshot(self, index):
        fold = self.folds[index]
        if fold.due_to_carry(1, 0) or fold.due_to_carry(1, 1e9):
            self.kept[index] = fold.snapshot()

    def do_carry(self, index):
        if self.kept[index] is not None:
            self.append(self.kept[index])

    def do_relay(self, index):
        payload = self.folds[index].relay_payload("alerts")
        if payload is not None:
            version = self.folds[index].versions()["alerts"]
            self.folds[index - 1].relay(version, payload)

    def do_trim(self, count):
        self.log.trim(min(self.log.oldest_offset + count, self.log.next_offset))


def random_histories(check):
    def run(actions):
        history = History()
        for action, value in actions:
            history.run(action, value)
        check(history)

    fuzz(ACTIONS, run, examples=400)


@then("in random histories no reader holds what the first reader doesn't accept")
def step_never_other(context):
    random_histories(lambda history: None)


@then("complete readers that have read to the end agree with it")
def step_agree(context):
    def check(history):
        for fold in [*history.folds, new_fold()]:
            read_all(history.log, fold)
            if fold.complete:
                assert fold.versions() == history.first.versions()
        read_all(history.untrimmed, history.first)
        history.append(history.first.snapshot())
        for fold in [*history.folds, new_fold()]:
            read_all(history.log, fold)
            assert fold.complete
            assert fold.versions() == history.first.versions()

    random_histories(check)
