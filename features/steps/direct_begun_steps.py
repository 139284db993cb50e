"""Steps about what a stream's request tells its dispatcher."""

from behave import given, then


@given("its dispatcher notes what it is told")
def step_notes(context):
    context.told = []
    dispatcher, ended = context.dispatcher, context.dispatcher.attempt_ended

    def note_began(ticket, upstream) -> None:
        context.told.append(f"began {upstream.upstream_id}")

    def note_ended(ticket, upstream, accepted, outcome) -> None:
        context.told.append(f"ended {upstream.upstream_id}")
        ended(ticket, upstream, accepted, outcome)

    dispatcher.first_event_received, dispatcher.attempt_ended = note_began, note_ended


@then('its dispatcher was told "{wanted}"')
def step_told(context, wanted):
    assert ", ".join(context.told) == wanted, context.told
