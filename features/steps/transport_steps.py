import pynng
from behave import given, then, when

from features.rawhttp import wait_for
from lavenderspoke.envelope import Envelope
from lavenderspoke.messagecodec import CODEC
from lavenderspoke.messages import AnswerTaken
from lavenderspoke.model import InstanceId
from lavenderspoke.transport import Transport

ANYONE = InstanceId(name="entry-1", incarnation="a1")


def message(text):
    return Envelope(
        sender=ANYONE, recipient=ANYONE, message=AnswerTaken(request_id=str(text))
    )


def start_transport(context, on_message=lambda envelope: None, *, at=None, **more):
    transport = Transport(
        codec=CODEC,
        listen_address=at or "tcp://127.0.0.1:0",
        on_message=on_message,
        **more,
    )
    transport.start()
    context.add_cleanup(transport.close)
    return transport


def start_listener(context, *, at=None):
    heard = []
    transport = start_transport(
        context, lambda envelope: heard.append(envelope.message.request_id), at=at
    )
    return transport, heard


@given("a transport that listens")
def step_listens(context):
    context.listener, context.heard = start_listener(context)


@given("a transport that listens and whose handler fails once")
def step_fails_once(context):
    context.heard = []

    def handle(envelope):
        context.heard.append(envelope.message.request_id)
        if len(context.heard) == 1:
            raise RuntimeError("a fault in the handler")

    context.listener = start_transport(context, handle)


@when("another transport sends it {count:d} messages")
def step_sends(context, count):
    context.sender = start_transport(context)
    for number in range(count):
        assert context.sender.send(context.listener.address, message(number))


@when("something sends it bytes that are no message")
def step_sends_junk(context):
    with pynng.Push0(dial=context.listener.address, send_timeout=5000) as socket:
        socket.send(b"junk")
        wait_for(lambda: context.listener.counters.bad, "the broken message")


@then("it has received {count:d} messages in order")
def step_received(context, count):
    wait_for(lambda: len(context.heard) == count, "the messages")
    assert context.heard == [str(number) for number in range(count)]


@then("it has counted {count:d} broken messages")
def step_counted_broken(context, count):
    assert context.listener.counters.bad == count
    assert context.listener.alive()


@then("it has received 1 messages after the failure")
def step_after_failure(context):
    wait_for(lambda: context.heard == ["0", "1"], "the second message")
    assert context.listener.counters.failed == 1
    assert context.listener.alive()


@given("a sender connected to it and to a second one")
def step_two_peers(context):
    context.second, context.second_heard = start_listener(context)
    context.second_address = context.second.address
    context.sender = start_transport(context)
    for address in (context.listener.address, context.second_address):
        context.sender.send(address, message("hello"))
    wait_for(lambda: context.heard and context.second_heard, "both peers")


@when("the second one dies")
def step_dies(context):
    context.second.close()


@then("sends to the second one are dropped and counted as away")
def step_dropped_away(context):
    wait_for(
        lambda: not context.sender.send(context.second_address, message("lost")),
        "a dropped send",
    )
    assert context.sender.counters.dropped_away >= 1


@then("the first one still receives")
def step_first_receives(context):
    context.heard.clear()
    assert context.sender.send(context.listener.address, message("still"))
    wait_for(lambda: context.heard == ["still"], "the first peer")


@when("the second one starts again on its address")
def step_starts_again(context):
    context.second, context.second_heard = start_listener(
        context, at=context.second_address
    )


@then("sends reach the second one again")
def step_reaches_again(context):
    def reached():
        context.sender.send(context.second_address, message("again"))
        return "again" in context.second_heard

    wait_for(reached, "the second peer")


@given("a sender with a buffer of {count:d} messages")
def step_small_buffer(context, count):
    context.sender = start_transport(context, send_buffer_messages=count)


@when("it sends {count:d} messages to an address where nobody listens")
def step_sends_nowhere(context, count):
    context.results = [
        context.sender.send("tcp://127.0.0.1:1", message(number))
        for number in range(count)
    ]


@then("at most {count:d} of them were queued and the rest counted as dropped")
def step_queued(context, count):
    queued = context.results.count(True)
    assert queued <= count
    assert context.sender.counters.dropped_full == len(context.results) - queued


@when("it is closed")
def step_closed(context):
    context.sender.close()


@then("a send is dropped and counted as closed")
def step_dropped_closed(context):
    assert not context.sender.send("tcp://127.0.0.1:1", message("late"))
    assert context.sender.counters.dropped_closed == 1
