from behave import given, then, when

from lavenderspoke.clock import ManualClock


@given("a manual clock")
def step_manual_clock(context):
    context.clock = ManualClock()


@when("it is advanced by {seconds:g} seconds")
def step_advance(context, seconds):
    context.clock.advance(seconds)


@then("it reads {seconds:g} seconds")
def step_reads(context, seconds):
    assert context.clock.monotonic_s() == seconds
