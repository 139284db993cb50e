"""Steps about the watch over callers' sockets."""

import socket
import threading

from behave import given, then, when

from lavenderspoke.http.callerwatch import CallerWatch

WAIT_S = 10.0


@given("a watch over two callers, where giving up the first raises")
def step_watch(context):
    context.watch = CallerWatch()
    context.watch.start()
    context.add_cleanup(context.watch.stop)
    pairs = [socket.socketpair() for _ in range(2)]
    context.callers = [caller for caller, _ in pairs]
    context.watched = [watched for _, watched in pairs]
    context.given_up = [threading.Event() for _ in pairs]

    def fail():
        context.given_up[0].set()
        raise AttributeError("no socket any more")

    context.watch.add(context.watched[0].fileno(), fail)
    context.watch.add(context.watched[1].fileno(), context.given_up[1].set)


@when("the first caller hangs up, then the second")
def step_hang_up(context):
    for caller, given_up in zip(context.callers, context.given_up):
        caller.close()
        context.noticed = given_up.wait(WAIT_S)


@then("the watch still runs and the second was given up")
def step_still_runs(context):
    assert context.noticed and context.watch.alive()
    for watched in context.watched:
        context.watch.remove(watched.fileno())
        watched.close()
