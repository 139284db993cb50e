import types
import typing

import attrs
from behave import then

from lavenderspoke import callerheaders
from lavenderspoke.config import AgentSettings, EntrySettings
from lavenderspoke.documents.service import Service
from lavenderspoke.problems import STATUS, Reason
from standins.processes import ROOT


def field_names(cls):
    """Yield the names of all fields, those of nested classes too."""
    for field in attrs.fields(cls):
        yield field.name
        kinds = [field.type, *typing.get_args(field.type)]
        for kind in kinds:
            if isinstance(kind, type) and not isinstance(kind, types.GenericAlias):
                yield from field_names(kind) if attrs.has(kind) else ()


def assert_names(path, names):
    text = (ROOT / path).read_text().replace("`", " ").replace(".", " ")
    words = set(text.replace(",", " ").split())
    assert set(names) <= words, set(names) - words


@then('"{path}" names each field of the service document')
def step_document(context, path):
    assert_names(path, field_names(Service))


@then('"{path}" names each setting')
def step_settings(context, path):
    assert_names(path, [*field_names(EntrySettings), *field_names(AgentSettings)])


@then('"{path}" names each reason')
def step_reasons(context, path):
    assert_names(path, [each.value for each in Reason])


@then("it gives each reason's status")
def step_statuses(context):
    text = (ROOT / "docs/reference/problems.md").read_text()
    for reason in Reason:
        assert f"| {STATUS[reason]} | `{reason.value}` |" in text, reason


@then('"{path}" names each header that callers may send')
def step_headers(context, path):
    said = ("AUTHORIZATION", "TIER", "DEADLINE", "SENDING", "IDEMPOTENT", "KEY")
    text = (ROOT / path).read_text().lower()
    for name in said:
        assert f"| `{getattr(callerheaders, name)}` |" in text, name
