from operator import attrgetter

from behave import then, when

from lavenderspoke.config import load_entry_settings, parse_settings
from lavenderspoke.util import UserError


@when("these {section} settings are read")
def step_read(context, section):
    context.parsed = parse_settings(context.text, "a.yaml", section)


@then("the settings say")
def step_say(context):
    settings = context.parsed.unwrap()
    for row in context.table:
        assert str(attrgetter(row["setting"])(settings)) == row["value"], row


@then('loading entry settings from "{path}" is a user error')
def step_user_error(context, path):
    try:
        load_entry_settings(path)
    except UserError as error:
        assert len(error.lines) == 1 and path in error.lines[0]
    else:
        raise AssertionError("no error")
