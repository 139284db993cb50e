import os
import subprocess
import sys
import tempfile

import attrs
from behave import given, then, when

from features.fakegateway import CREDENTIAL, EVENTS
from features.rawhttp import WAIT_S
from lavenderspoke.gateway import AnswerBody, AnswerBroken
from lavenderspoke.model import Ran
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.sender import (
    Answered,
    Broken,
    OutgoingRequest,
    Refused,
    Sender,
    Unreached,
    retry_delay_s,
)
from standins.processes import ROOT

INCOMPLETE = Problem(reason=Reason.ANSWER_INCOMPLETE, ran=Ran.YES)


def make_outcome(text):
    if text.startswith("refused"):
        _, ran, *when_ = text.split()
        delay_s = float(when_[1]) if when_[0] == "after" else None
        return Refused(
            status=503, reason="x", ran=Ran(ran), detail="", retry_after_s=delay_s
        )
    return {
        "unreached": Unreached(detail=""),
        "broken": Broken(detail=""),
        "broken and different": Broken(detail="", differs=True),
        "answered": Answered(status=200, request_id="r1"),
    }[text]


@given("a request with {key}, which is {kind}")
def step_request(context, key, kind):
    context.request = OutgoingRequest(
        url="http://none",
        credential=CREDENTIAL,
        key="k1" if key == "a key" else None,
        idempotent=kind == "idempotent",
    )
    assert CREDENTIAL not in repr(context.request)


@then("after {outcome} with {count:d} bytes given out it is sent again {again}")
def step_sent_again(context, outcome, count, again):
    delay_s = retry_delay_s(
        make_outcome(outcome), context.request, tries=1, given_bytes=count
    )
    expected = None if again == "never" else float(again.split()[1])
    assert delay_s == expected, delay_s


@given("it sheds the first send")
def step_sheds(context):
    shed = Problem(reason=Reason.SHED, ran=Ran.NO, retry_after_s=1.2)
    context.gateway.scripts.append([shed])


@given("it breaks the first answer after its first event")
def step_breaks_first(context, event=b"data: one\n\n"):
    body = AnswerBody(body=event)
    context.gateway.scripts.append([EVENTS, body, body])
    # The break follows once the first part is out, so that half an answer goes.
    submit = context.gateway.submit

    def submit_and_break(arrival):
        context.gateway.submit = submit
        answer = submit(arrival)
        take = answer.take

        def take_then_break():
            parts = take()
            answer.put(AnswerBroken(problem=INCOMPLETE))
            return parts

        answer.take = take_then_break
        return answer

    context.gateway.submit = submit_and_break


@given("it breaks the first answer after another first event")
def step_breaks_otherwise(context):
    step_breaks_first(context, b"data: two\n\n")


@when("the tool sends a keyed stream with {retries:d} retries")
def step_tool_sends(context, retries):
    context.output, context.waits = [], []
    request = OutgoingRequest(
        url=f"http://127.0.0.1:{context.server.port}/narrative/v1/completions",
        body=b'{"prompt": "hi", "stream": true}',
        credential=CREDENTIAL,
        deadline_s=WAIT_S,
        key="k1",
        first_send=True,
    )
    tool = Sender(output=context.output.append, wait=context.waits.append)
    context.outcome = tool.send(request, retries=retries)


@then("the tool gets a whole answer and has waited {seconds:g} seconds")
def step_tool_whole(context, seconds):
    request_id = context.gateway.arrivals[-1].call.request_id
    assert context.outcome == Answered(status=200, request_id=request_id)
    assert context.waits == [seconds]


@then('the sends had one key and were "{kinds}"')
def step_one_key(context, kinds):
    arrivals = context.gateway.arrivals
    assert len({each.call.key for each in arrivals}) == 1
    assert ", ".join(each.sending.value for each in arrivals) == kinds


@then("what it gave out is the answer once")
def step_once(context):
    assert b"".join(context.output) == b"data: one\n\n" * 2, context.output


@then("the tool reports an answer that differs")
def step_differs(context):
    assert attrs.evolve(context.outcome, detail="") == Broken(detail="", differs=True)


@when('the command sends to "{path}" with "{options}"')
def step_command(context, path, options):
    with tempfile.NamedTemporaryFile("w", suffix=".txt") as credential:
        credential.write(CREDENTIAL + "\n")
        credential.flush()
        url = f"http://127.0.0.1:{context.server.port}{path}"
        context.done = subprocess.run(
            [sys.executable, "-m", "lavenderspoke.ui", "send", url]
            + ["--credential-file", credential.name, *options.split()],
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT), "COLUMNS": "200"},
            capture_output=True,
            text=True,
            timeout=60,
        )
    context.printed = context.done.stdout + context.done.stderr
    assert "Traceback" not in context.printed, context.printed
