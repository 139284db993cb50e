import json
import random

from behave import given, then, when
from hypothesis import strategies
from result import Err

from features.helper import JSON, fuzz
from features.memorylog import MemoryLog, document
from lavenderspoke.clock import SystemClock
from lavenderspoke.documents.edits import encode_edit, new_edit
from lavenderspoke.documents.fold import DocumentFold
from lavenderspoke.documents.history import DocumentHistory
from lavenderspoke.documents.publisher import PublishConflict, Publisher
from lavenderspoke.http.client import ANSWER_BYTES_MAX
from lavenderspoke.platformlog import (
    SERVICES_STREAM,
    HttpLog,
    LogRecord,
    LogUnavailable,
)
from standins.deployment import Deployment
from standins.processes import ROOT, wait_until

LIMIT_S = 30.0


def in_force(context, entry):
    return context.deployment.status(entry)["versions"].get("ticketing", 0)


def wait_in_force(context, entry, version):
    wait_until(
        lambda: in_force(context, entry) == version, LIMIT_S, f"{version} in force"
    )


def publish(context, base, weight):
    text = (ROOT / "examples/ticketing.yaml").read_text()
    return Publisher(
        log=HttpLog(base_url=context.deployment.log.url),
        clock=SystemClock(),
        author="ana",
    ).publish(
        text=text.replace("weight: 2", f"weight: {weight}"), file_name="a", base=base
    )


@given("a log that keeps {count:d} records, and an entry that carries documents")
def step_entry(context, count):
    context.deployment = Deployment(settings={"carry_every_s": 0.2})
    context.stage = context.deployment.stage
    context.deployment.log.set_faults(keep_records=count)
    context.deployment.entry("entry-1")


@given("the ticketing example is published at version 1")
def step_publish(context):
    context.version = publish(context, 0, 2).unwrap().version
    wait_in_force(context, "entry-1", context.version)


@when("the log has forgotten version 1")
def step_forgotten(context):
    log = HttpLog(base_url=context.deployment.log.url)

    def oldest_offset():
        return log.read(stream=SERVICES_STREAM, offset=1).unwrap().oldest_offset

    wait_until(lambda: oldest_offset() > context.version, LIMIT_S, "forgotten")


@when("the entry is killed and another started")
def step_replace(context):
    context.deployment.process("entry-1").kill()
    context.deployment.entry("entry-2")


@then("the other entry has version 1 in force")
def step_in_force(context):
    wait_in_force(context, "entry-2", context.version)


@when("the ticketing example is edited from version 1")
def step_edit(context):
    context.edited = publish(context, context.version, 3).unwrap().version
    assert context.edited > context.version


@then("the other entry has the edit in force")
def step_edit_in_force(context):
    wait_in_force(context, "entry-2", context.edited)


@then("a losing edit from version 1 changes nothing")
def step_losing(context):
    lost = publish(context, context.version, 4).unwrap_err()
    assert isinstance(lost, PublishConflict), lost
    assert in_force(context, "entry-2") == context.edited


class UnboundedLog(MemoryLog):
    """A log that answers with all it is asked for, to a client that won't take it."""

    def read(self, **wanted):
        page = super().read(**wanted)
        size = sum(len(each.payload) for each in page.unwrap().records) * 4 // 3
        if size > ANSWER_BYTES_MAX:
            return Err(LogUnavailable(detail="answer too long"))
        return page


@given(
    "a log with {count:d} records of {size:d} KiB, then a document, "
    "and answers of any length"
)
def step_long_log(context, count, size):
    context.log = UnboundedLog()
    for number in range(count):
        context.log.append(
            stream=SERVICES_STREAM, record_id=str(number), payload=bytes(size * 1024)
        )
    edit = new_edit(
        service="alerts",
        base=0,
        text=document(),
        author="ana",
        now=SystemClock().now(),
    )
    appended = context.log.append(
        stream=SERVICES_STREAM, record_id="edit", payload=encode_edit(edit)
    )
    context.version = appended.unwrap()


@then("a new reader has the document in force")
def step_read_long_log(context):
    history = DocumentHistory(log=context.log)
    read = history.refresh()
    assert read.is_ok(), read
    assert history.fold.versions() == {"alerts": context.version}


def nearly_records():
    """Return payloads that are records but for some value in them."""
    edit = {"service": "alerts", "base": 0, "text": document(), "author": "", "at": ""}
    edits = strategies.sampled_from(sorted(edit)).flatmap(
        lambda key: JSON.map(lambda value: {"edit": edit | {key: value}})
    )
    snapshots = JSON.map(lambda value: {"snapshot": {"read_to": 0, "documents": value}})
    return (edits | snapshots | JSON).map(lambda value: json.dumps(value).encode())


@then("random payloads as records, and passed on by daemons, are only counted")
def step_fuzz(context):
    def check(payload):
        fold = DocumentFold(random=random.Random(0), carry_every_s=600.0)
        record = LogRecord(offset=1, record_id="a", payload=payload)
        changes = fold.apply(record) + fold.relay(2, payload)
        assert changes or fold.skipped or not fold.versions()

    fuzz(strategies.binary() | nearly_records(), check)
