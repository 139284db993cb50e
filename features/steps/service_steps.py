import pathlib

from behave import then, when
from hypothesis import strategies
from result import Err, Ok

from features.helper import fuzz
from lavenderspoke.documents.service import parse_service

TEXTS = {
    "empty": "",
    "a list": "- a\n- b\n",
    "cut off": "name: [\n",
    "nested 5000 deep": "name: " + "[" * 5000,
    "of two million letters": "a" * 2_000_000,
    "a control character": "name: \x00",
}
YAML_PIECES = strategies.text(alphabet="name:tirsuplk -[]{}&*!#|>'\"\n01.\u00e9\x07")


@when('the service document "{path}" is read')
def step_read_file(context, path):
    context.parsed = parse_service(pathlib.Path(path).read_text(), path)


@when("this service document is read")
def step_read_text(context):
    context.parsed = parse_service(context.text, "a.yaml")


@when("the service document is {text}")
def step_read_odd_text(context, text):
    context.parsed = parse_service(TEXTS[text], "a.yaml")


@then('the service is named "{name}"')
def step_named(context, name):
    assert context.parsed.unwrap().name == name


@then("the mistakes are")
def step_mistakes(context):
    assert context.parsed.is_err(), "no mistakes"
    mistakes = sorted(context.parsed.unwrap_err(), key=lambda each: each.line)
    found = {(str(each.line), each.field): each for each in mistakes}
    expected = {(row["line"], row["field"]): row for row in context.table}
    assert set(found) == set(expected), "\n".join(map(str, mistakes))
    for place, row in expected.items():
        assert row["found"] in found[place].found, str(found[place])
        assert row["allowed"] in found[place].allowed, str(found[place])


@then("random texts read as service documents give a service or mistakes")
def step_random_texts(context):
    def check(text):
        assert isinstance(parse_service(text, "a.yaml"), Ok | Err)

    fuzz(YAML_PIECES, check)
