import json
import socket
import threading

from behave import given, then, when

from features.helper import stage_of
from standins.processes import HOST, wait_until

TIMEOUT_S = 20


class Echo:
    """Sends back what it gets, and remembers how much that was."""

    def __init__(self):
        self.received = b""
        self._listener = socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            accepted, _ = self._listener.accept()
            threading.Thread(target=self._echo, args=(accepted,), daemon=True).start()

    def _echo(self, accepted):
        try:
            while data := accepted.recv(1000):
                self.received += data
                accepted.sendall(data)
        except OSError:
            pass
        accepted.close()


def connect(context):
    connection = socket.create_connection((HOST, context.link.port), TIMEOUT_S)
    connection.settimeout(TIMEOUT_S)
    return connection


def receive(connection, length):
    data = b""
    while len(data) < length and (more := connection.recv(1000)):
        data += more
    return data


@given("a proxied link to an echo")
def step_link(context):
    context.echo = Echo()
    stage = stage_of(context)
    context.link = stage.link(stage.proxy(), "a-b", f"{HOST}:{context.echo.port}")


@given("a connection through the link")
def step_connection(context):
    context.connection = connect(context)
    context.connection.sendall(b"-")
    assert receive(context.connection, 1) == b"-"


@when("the link's faults are set to {faults}")
def step_link_faults(context, faults):
    context.link.set_faults(**json.loads(faults))


@when("the link is healed")
def step_link_healed(context):
    context.link.heal()


@when('"{text}" is sent on the connection')
def step_send(context, text):
    context.connection.sendall(text.encode())


@when("the proxy has swallowed it")
def step_swallowed(context):
    wait_until(lambda: context.link.report()["bytes_swallowed"], TIMEOUT_S, "swallow")


@then('sending "{first}" and "{second}" gives back "{whole}"')
def step_echoed(context, first, second, whole):
    connection = connect(context)
    connection.sendall(first.encode())
    connection.sendall(second.encode())
    assert receive(connection, len(whole)) == whole.encode()


@then("connecting is refused")
def step_refused(context):
    try:
        connect(context)
    except ConnectionRefusedError:
        return
    raise AssertionError("connected")


@then("the connection is lost")
def step_lost(context):
    try:
        assert context.connection.recv(1) == b""
    except ConnectionError:
        pass


@then("the echo gets it, but nothing comes back")
def step_nothing_back(context):
    wait_until(lambda: context.echo.received == b"-abc", TIMEOUT_S, "echo")
    assert context.link.report()["bytes"]["to_client"] == 1


@then('"{text}" comes back')
def step_comes_back(context, text):
    assert receive(context.connection, len(text)) == text.encode()
