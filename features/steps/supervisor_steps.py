from behave import given, then, when

from lavenderspoke.clock import ManualClock
from lavenderspoke.supervisor import RestartPolicy, Supervisor

POLICY = RestartPolicy(restarts_max=3, window_s=10.0, backoff_min_s=0.1)


class FakePart:
    def __init__(self, name, journal):
        self.name = name
        self.journal = journal
        self.running = False
        self.broken = False

    def start(self):
        if self.broken:
            raise OSError("address in use")
        self.running = True
        self.journal.append(f"start {self.name}")

    def stop(self):
        self.running = False
        self.journal.append(f"stop {self.name}")

    def alive(self):
        return self.running


def make_supervisor(context, parts, **more):
    return Supervisor(
        name="test", parts=parts, clock=context.clock, policy=POLICY, **more
    )


def check_after(context, supervisor, seconds):
    context.clock.advance(seconds)
    supervisor.check(context.clock.monotonic_s())


@given('a supervisor of parts "{first}", "{second}" and "{third}"')
def step_supervisor(context, first, second, third):
    context.clock = ManualClock()
    context.journal = []
    names = (first, second, third)
    context.parts = {name: FakePart(name, context.journal) for name in names}
    context.supervisor = make_supervisor(context, list(context.parts.items()))


@given('the part "{name}" can\'t start')
def step_cannot_start(context, name):
    context.parts[name].broken = True


@given("the supervisor has started")
def step_has_started(context):
    context.supervisor.start_parts()


@given('a supervisor that can do without the part "{name}" has started')
def step_dispensable(context, name):
    context.supervisor = make_supervisor(
        context, list(context.parts.items()), dispensable=frozenset({name})
    )
    context.supervisor.start_parts()


@given("the supervisor has started under another one")
def step_nested(context):
    context.above = make_supervisor(context, [("below", context.supervisor)])
    context.above.start_parts()
    context.add_cleanup(context.above.stop)


@when("the supervisor starts and stops")
def step_start_stop(context):
    context.supervisor.start()
    context.supervisor.stop()


@when("the supervisor fails to start")
def step_fails_to_start(context):
    try:
        context.supervisor.start()
    except OSError:
        return
    raise AssertionError("the supervisor started")


@when('the part "{name}" dies and {seconds:g} seconds pass')
def step_dies_and(context, name, seconds):
    context.parts[name].running = False
    check_after(context, context.supervisor, 0.0)
    check_after(context, context.supervisor, seconds)


@when("the supervisor stops restarting")
def step_stops_restarting(context):
    context.supervisor.stop_restarting()


@when("{seconds:g} seconds more pass")
def step_more_pass(context, seconds):
    check_after(context, context.supervisor, seconds + 0.001)


@when('the part "{name}" dies {count:d} times')
def step_dies_often(context, name, count):
    for _ in range(count):
        context.parts[name].running = False
        check_after(context, context.supervisor, 0.0)
        check_after(context, context.supervisor, 1.0)


@when("the other supervisor checks")
def step_other_checks(context):
    check_after(context, context.above, 0.0)
    check_after(context, context.above, 1.0)


@then('the parts did "{expected}"')
def step_parts_did(context, expected):
    assert ", ".join(context.journal) == expected, context.journal


@then('the part "{name}" has started {count:d} times')
def step_started_times(context, name, count):
    assert context.journal.count(f"start {name}") == count, context.journal


@then("the supervisor hasn't given up, and the others still run")
def step_not_given_up(context):
    assert not context.supervisor.gave_up and context.supervisor.alive()
    started = [each for each in context.journal if each == "start core"]
    # More than doublings that a float holds.
    assert len(started) > 1100, len(started)
    assert "stop callers" not in context.journal, "others were stopped"
    assert context.parts["callers"].running


@then("the supervisor has given up")
def step_given_up(context):
    assert context.supervisor.gave_up
    assert not context.supervisor.alive()


@then("every part is stopped")
def step_all_stopped(context):
    assert not any(part.running for part in context.parts.values())


@then("every part runs")
def step_all_run(context):
    assert all(part.running for part in context.parts.values())


@then("the supervisor is alive again")
def step_alive_again(context):
    assert context.supervisor.alive()


@then("a daemon run by such a supervisor exits with {status:d}")
def step_exits_failed(context, status):
    def die(seconds):
        context.clock.advance(1.0)
        context.parts["core"].running = False

    parts = list(context.parts.items())
    assert make_supervisor(context, parts, wait=die).run() == status


@then("a daemon that is asked to stop exits with {status:d}")
def step_exits_asked(context, status):
    parts = list(context.parts.items())
    supervisor = make_supervisor(
        context, parts, wait=lambda seconds: supervisor.request_stop()
    )
    assert supervisor.run() == status
    assert context.journal[-3:] == ["stop callers", "stop core", "stop transport"]
