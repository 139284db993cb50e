import json

from behave import given, then, when
from hypothesis import strategies
from result import Err, Ok

from features.helper import JSON, fuzz, stage_of
from lavenderspoke.membership.memberlist import HttpMemberList, decode_members
from lavenderspoke.platformlog import HttpLog, decode_page
from standins.processes import post_json, wait_until

WIRE_PAGES = strategies.fixed_dictionaries(
    {
        "records": strategies.lists(
            strategies.fixed_dictionaries(
                {
                    "offset": strategies.integers(-2, 9),
                    "record_id": strategies.text(max_size=4),
                    "payload": strategies.sampled_from(["YQ==", "", "*"]),
                }
            ),
            max_size=3,
        ),
        "next_offset": strategies.integers(-2, 12),
        "end_offset": strategies.integers(-2, 12),
        "oldest_offset": strategies.integers(-2, 12) | strategies.none(),
    }
)


@given("a platform log stand-in")
def step_log(context):
    context.log_standin = stage_of(context).log()
    context.log = HttpLog(base_url=context.log_standin.url)


@given('the log\'s mode is "{mode}"')
def step_log_mode(context, mode):
    context.log_standin.set_faults(mode=mode)


@given("the log's process is killed")
def step_log_killed(context):
    context.log_standin.process.kill()


@given("the log accepts {count:d} append per hour")
def step_log_rate(context, count):
    context.log_standin.set_faults(appends_max=count, appends_window_s=3600)


@given("the log keeps {count:d} records")
def step_log_keeps(context, count):
    context.log_standin.set_faults(keep_records=count)


@when('"{text}" is appended to the stream "{stream}"')
def step_append(context, text, stream):
    context.appended = context.log.append(
        stream=stream, record_id=text, payload=text.encode()
    )


@when('a corrupt record is appended to the stream "{stream}"')
def step_append_corrupt(context, stream):
    post_json(context.log_standin.port, "/control/corrupt", {"stream": stream})


@when('{count:d} records are appended to the stream "{stream}"')
def step_append_many(context, count, stream):
    for number in range(count):
        step_append(context, str(number), stream)
    context.count = count


@then("reading it in pages of {limit:d} gives each once, in order")
def step_read_paged(context, limit):
    offset, payloads = 0, []
    while True:
        page = context.log.read(stream="services", offset=offset, limit=limit).unwrap()
        payloads += [int(record.payload) for record in page.records]
        offset = page.next_offset
        if offset == page.end_offset:
            break
    assert payloads == list(range(context.count)), payloads


@then('the stream "{stream}" from offset {offset:d} holds "{texts}"')
def step_holds(context, stream, offset, texts):
    context.page = context.log.read(stream=stream, offset=offset).unwrap()
    found = ",".join(record.payload.decode() for record in context.page.records)
    assert found == texts, found


@then("both streams end at offset {offset:d}")
def step_end_offset(context, offset):
    for stream in ("services", "roster"):
        page = context.log.read(stream=stream, offset=0).unwrap()
        assert page.end_offset == page.next_offset == offset, page


@then("the append's error is {name}")
def step_append_error(context, name):
    assert type(context.appended.unwrap_err()).__name__ == name, context.appended


@then('after the outage the stream "{stream}" holds "{text}"')
def step_holds_after(context, stream, text):
    context.log_standin.set_faults(mode="up")
    step_holds(context, stream, 0, text)


@then('after the outage the stream "{stream}" holds ""')
def step_holds_nothing_after(context, stream):
    step_holds_after(context, stream, "")


@then("offset {offset:d} of it is reported as corrupt")
def step_corrupt_offset(context, offset):
    assert context.page.corrupt_offsets == (offset,), context.page


@then("its oldest offset is {offset:d}")
def step_oldest(context, offset):
    assert context.page.oldest_offset == offset, context.page


def set_members(context, names):
    members = [
        {"name": name, "role": "entry", "address": "127.0.0.1:1", "data_centre": "d"}
        for name in names.split(",")
    ]
    port = context.members_standin.port
    post_json(port, "/control/members", {"members": members})


@given('a member list stand-in with the members "{names}"')
def step_members(context, names):
    context.members_standin = stage_of(context).members()
    context.member_list = HttpMemberList(base_url=context.members_standin.url)
    set_members(context, names)


@when('it lags and is set to the members "{names}"')
def step_members_lag(context, names):
    context.members_standin.set_faults(hold=True)
    set_members(context, names)


@when("it stops lagging")
def step_members_no_lag(context):
    context.members_standin.set_faults(hold=False)


@when("the member list goes down")
def step_members_down(context):
    context.members_standin.set_faults(down=True)


@then('the member list reads "{names}"')
def step_members_read(context, names):
    def read_names():
        members = context.member_list.read().unwrap()
        return ",".join(member.name for member in members) == names

    wait_until(read_names, 10, f"members {names}")


@then("the member list gives {name}")
def step_members_error(context, name):
    error = context.member_list.read().unwrap_err()
    assert type(error).__name__ == name, error


@then("no page of random bytes or JSON raises")
def step_fuzz_pages(context):
    def check(value):
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        match decode_page(body, 1):
            case Ok(page):
                offsets = [record.offset for record in page.records]
                assert offsets == sorted(set(offsets))
                assert 1 <= page.next_offset <= page.end_offset
            case Err(error):
                assert error.detail

    fuzz(strategies.binary() | JSON | WIRE_PAGES, check)


@then("no member list of random bytes or JSON raises")
def step_fuzz_members(context):
    def check(value):
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        assert decode_members(body).is_ok() in (True, False)

    lists = strategies.fixed_dictionaries({"members": JSON})
    fuzz(strategies.binary() | JSON | lists, check)
