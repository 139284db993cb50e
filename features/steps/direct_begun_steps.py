"""Steps about the calls of a stream's request to its dispatcher."""

from behave import given, then


@given("its dispatcher records the calls")
def step_record_calls(context):
    context.calls = []
    dispatcher, ended = context.dispatcher, context.dispatcher.attempt_ended

    def note_began(ticket, upstream) -> None:
        context.calls.append(f"began {upstream.upstream_id}")

    def note_ended(ticket, upstream, accepted, outcome) -> None:
        context.calls.append(f"ended {upstream.upstream_id}")
        ended(ticket, upstream, accepted, outcome)

    dispatcher.first_event_received, dispatcher.attempt_ended = note_began, note_ended


@then('its dispatcher got the calls "{expected}"')
def step_calls(context, expected):
    assert ", ".join(context.calls) == expected, context.calls
