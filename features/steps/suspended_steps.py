"""Steps that suspend processes while requests are on their way."""

import os
import signal
import threading
import time

from behave import given, when

from features.steps.refusal_proofs_steps import ENTRIES, pay, step_pay_crowd

WORK_S = 0.05


@given("each entry has kept connections")
def step_warm(context):
    for upstream in context.platform.upstreams.values():
        upstream.set_faults(work_s=WORK_S)
    for number in range(4):
        for entry in ENTRIES:
            assert pay(context, entry, f"warm-{number}-{entry}").status == 200


def signal_upstreams(context, number: int) -> None:
    for name, upstream in context.platform.upstreams.items():
        if name.startswith("desk"):
            os.kill(upstream.process.pid, number)


@when("the upstreams are suspended while {callers:d} callers send requests for {s:g} s")
def step_suspend_upstreams(context, callers, s):
    signal_upstreams(context, signal.SIGSTOP)
    try:
        step_pay_crowd(context, callers, s)
    finally:
        signal_upstreams(context, signal.SIGCONT)


@when("the upstreams go on for {s:g} s")
def step_go_on(context, s):
    time.sleep(s)


@when(
    "each entry is suspended for {pause_s:g} s, {times:d} times, while {callers:d} "
    "callers send requests for {s:g} s"
)
def step_suspend_entries(context, pause_s, times, callers, s):
    thread = threading.Thread(target=step_pay_crowd, args=(context, callers, s))
    thread.start()
    for _ in range(times):
        for name in ENTRIES:
            process = context.platform.entries[name].process
            os.kill(process.pid, signal.SIGSTOP)
            time.sleep(pause_s)
            os.kill(process.pid, signal.SIGCONT)
    thread.join()
