from behave import given, then, when

from features.memorylog import MemoryLog, document
from lavenderspoke.clock import ManualClock
from lavenderspoke.documents import publisher
from lavenderspoke.documents.history import DocumentHistory
from lavenderspoke.documents.publisher import Published, Publisher, begin


def publish(context, author, text, base):
    ids = iter(f"{author}-{len(context.log.records)}-{n}" for n in range(9))
    context.published = Publisher(
        log=context.log,
        clock=ManualClock(),
        author=author,
        pause=lambda _: None,
        new_record_id=lambda: next(ids),
    ).publish(text=text, file_name="a.yaml", base=base)


def error_of(context, kind):
    assert context.published.is_err(), context.published
    error = context.published.unwrap_err()
    assert isinstance(error, kind), error
    return error


@given('a log with a document by "{author}" at version 1')
def step_log(context, author):
    context.log = MemoryLog()
    publish(context, author, document(), 0)
    assert context.published.unwrap() == Published(version=1, appended=True)


@when('"{author}" publishes burst {burst:d} from version {base:d}')
def step_publish_burst(context, author, burst, base):
    publish(context, author, document(burst=burst), base)


@when(
    '"{author}" publishes burst {burst:d} from version {base:d}, '
    'and "{other}" burst {other_burst:d} just before'
)
def step_publish_between(context, author, burst, base, other, other_burst):
    log, append = context.log, context.log.append

    def append_after_other(**record):
        log.append = append
        publish(context, other, document(burst=other_burst), base)
        return append(**record)

    log.append = append_after_other
    publish(context, author, document(burst=burst), base)


@when("the log's next appends are {faults}")
def step_faults(context, faults):
    context.log.faults = faults.split(", ")


@when("the record that vanished arrives")
def step_arrives(context):
    (context.log.vanished[0])()


@when('the log takes the append of "{author}" and goes down')
def step_append_then_down(context, author):
    append = context.log.append

    def append_then_down(**record):
        appended = append(**record)
        context.log.down = True
        return appended

    context.log.append = append_then_down
    publish(context, author, document(burst=5), 1)


@when(
    '"{author}" publishes burst {burst:d} from version {base:d} and is paused '
    "past the retention"
)
def step_publish_paused(context, author, burst, base):
    log, append = context.log, context.log.append

    def append_and_pause(**record):
        log.append = append
        appended = append(**record)
        reader = DocumentHistory(log=log)
        reader.refresh().unwrap()
        carried = reader.fold.snapshot()
        log.append(stream="services", record_id="carried", payload=carried)
        log.trim(appended.unwrap() + 1)
        return appended

    log.append = append_and_pause
    publish(context, author, document(burst=burst), base)


@when('"{author}" publishes a document without tiers')
def step_publish_mistaken(context, author):
    publish(context, author, document().replace("tiers: [{", "tears: [{"), 1)


@when("the log has forgotten its beginning")
def step_forgotten(context):
    context.log.trim(2)


@when("an operator says that the log begins anew")
def step_begin(context):
    assert begin(context.log).is_ok()


@then("it is accepted as version {version:d}")
def step_accepted(context, version):
    published = Published(version=version, appended=True)
    assert context.published.ok() == published, context.published


@then("it was in force already as version {version:d}")
def step_already(context, version):
    assert context.published.unwrap() == Published(version=version, appended=False)


@then('it conflicts with version {version:d} by "{author}"')
def step_conflicts(context, version, author):
    winner = error_of(context, publisher.PublishConflict).winner
    assert (winner.version, winner.author) == (version, author)


@then('the changes say "{new}" in place of "{old}"')
def step_changes(context, new, old):
    lines = error_of(context, publisher.PublishConflict).changes.splitlines()
    assert any(line.startswith("-") and old in line for line in lines), lines
    assert any(line.startswith("+") and new in line for line in lines), lines


@then("it is not published")
def step_not_published(context):
    error_of(context, publisher.PublishUnavailable)


@then("it is unknown")
def step_unknown(context):
    error_of(context, publisher.PublishUnknown)


@then('it has a mistake at "{field}"')
def step_mistake_at(context, field):
    mistakes = error_of(context, publisher.DocumentMistakes).mistakes
    assert field in [each.field for each in mistakes]


@then("no reader can go by the log")
def step_incomplete(context):
    error_of(context, publisher.HistoryIncomplete)


@then("the log can't be begun again")
def step_not_again(context):
    assert isinstance(begin(context.log).unwrap_err(), publisher.AlreadyBegun)


@then("the log holds {count:d} record")
@then("the log holds {count:d} records")
def step_records(context, count):
    assert len(context.log.records) == count


@then('the log\'s readers have version {version:d} by "{author}" in force')
def step_readers(context, version, author):
    history = DocumentHistory(log=context.log)
    history.refresh().unwrap()
    in_force = history.fold.in_force("alerts")
    assert (in_force.version, in_force.author) == (version, author)
