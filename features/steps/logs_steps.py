import io
import json
import os
import time
from unittest import mock

import logbook
from behave import then, when

from lavenderspoke.observing.logs import BoundedStream, JsonLinesHandler

SECRET = "open-sesame"
HEADER = ("Authorization", f"Bearer {SECRET}")
log = logbook.Logger("test")


def logged(context, *actions):
    stream = io.StringIO()
    handler = JsonLinesHandler(daemon="entry-1", stream=stream)
    with handler.threadbound():
        for action in actions:
            action()
    context.logged = stream.getvalue()
    context.lines = [json.loads(line) for line in context.logged.splitlines()]


def log_exception():
    try:
        raise ValueError(f"bad header Authorization: Bearer {SECRET}")
    except ValueError:
        log.exception("parsing failed")


@when('a daemon logs "{message}" with port {port:d}')
def step_logs(context, message, port):
    logged(context, lambda: log.info(message, port=port))


@when("a daemon logs a caught exception")
def step_logs_exception(context):
    logged(context, log_exception)


@when("a daemon logs a credential in every supported form")
def step_logs_credential(context):
    logged(
        context,
        lambda: log.info(f"got Authorization: Bearer {SECRET}"),
        lambda: log.info("got", headers=(("Host", "x"), HEADER)),
        lambda: log.info("got", headers=dict([HEADER])),
        lambda: log.info("got", credential=SECRET),
        lambda: log.info("got", bearer_token=SECRET),
        lambda: log.info("got", request={"headers": [HEADER], "authorization": SECRET}),
        lambda: log.info("got", raw=f"authorization: bearer {SECRET}\r\n".encode()),
        lambda: log.info("got", header=HEADER),
        lambda: log.info("got", error=ValueError(f"Bearer {SECRET}")),
        log_exception,
    )
    assert len(context.lines) == 10


@then(
    'the log line has time, level "{level}", daemon "{daemon}", '
    'message "{message}" and port {port:d}'
)
def step_log_line(context, level, daemon, message, port):
    (line,) = context.lines
    assert line["time"].endswith("Z")
    found = (line["level"], line["daemon"], line["message"], line["port"])
    assert found == (level, daemon, message, port)


@then("there is 1 log line and its traceback names the exception")
def step_traceback(context):
    (line,) = context.lines
    assert "ValueError" in line["traceback"]


@then("no log line holds the credential")
def step_no_credential(context):
    assert SECRET not in context.logged, context.logged


@when("a daemon logs 6,000 lines to a pipe that nobody reads")
def step_stalled(context):
    reading, writing = os.pipe()
    context.reading = os.fdopen(reading)
    stream = BoundedStream(os.fdopen(writing, "w"), lines_max=1000)
    handler = JsonLinesHandler(daemon="entry-1", stream=stream)
    context.longest_s = 0.0
    with handler.threadbound():
        for number in range(6000):
            began_s = time.monotonic()
            log.info("request", number=number)
            context.longest_s = max(context.longest_s, time.monotonic() - began_s)


@then("each call took less than 100 ms, and the log reports how many lines are missing")
def step_missing(context):
    assert context.longest_s < 0.1, context.longest_s
    numbers, dropped = 0, None
    for text in context.reading:
        line = json.loads(text)
        if line["message"] == "lines left out":
            dropped = line["count"]
            break
        numbers += 1
        if numbers > 6000:
            break
    assert dropped is not None and 0 < dropped < 6000, dropped


@when("a daemon that can't start threads logs a line and waits until it is written")
def step_drain_without_thread(context):
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.stream = BoundedStream(os.fdopen(writer, "w"))
    refused = RuntimeError("can't start new thread")
    with mock.patch("threading._start_new_thread", side_effect=refused):
        context.stream.write("last line\n")
        context.stream.drain(10.0)
        context.read = os.read(reader, 100)
        # More than the pipe buffer holds.
        context.stream.write("x" * 200_000)
        context.stream.drain(0.1)


@then("the line was written, and the next wait ends although its reader stalls")
def step_drained(context):
    assert context.read == b"last line\n", context.read
