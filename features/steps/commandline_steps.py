import json

from behave import given, then, when

from features.helper import run, stage_of
from standins.deployment import Deployment
from standins.processes import ROOT, get_json, post_json


@given("a running platform")
def step_platform(context):
    stage = stage_of(context)
    context.log, context.members = stage.log(), stage.members()


@given("an entry and an agent without documents")
def step_real_daemons(context):
    deployment = Deployment()
    context.stage = deployment.stage
    context.log, context.members = deployment.log, deployment.members
    deployment.entry("entry-1")
    deployment.agent("agent-1", "ticketing", context.stage.plain("plain-1"))


@given("a file with the {name} example")
def step_file(context, name):
    context.file = stage_of(context).directory / f"{name}.yaml"
    context.file.write_text((ROOT / f"examples/{name}.yaml").read_text())


@given('the file begins with "{line}"')
def step_begins(context, line):
    context.file.write_text(f"{line}\n{context.file.read_text()}")


@when('the file\'s "{old}" becomes "{new}"')
def step_becomes(context, old, new):
    text = context.file.read_text()
    assert old in text
    context.file.write_text(text.replace(old, new))


@when('an operator runs "{arguments}"')
@when('runs "{arguments}"')
def step_run(context, arguments):
    run(context, arguments)


@when('an operator saves what "{arguments}" prints to the file')
def step_save(context, arguments):
    run(context, arguments)
    context.file.write_text(context.done.stdout)


@when("the platform's log goes down")
def step_log_down(context):
    context.log.set_faults(mode="down")


@given('daemons "{first}" and "{second}" that have it in force once it is published')
def step_daemons(context, first, second):
    context.daemons = {}
    for name in (first, second):
        role = name.split("-")[0]
        standin = stage_of(context).start_standin(
            name, "statuspage", "--name", name, "--role", role, "--log", context.log.url
        )
        context.daemons[name] = standin
    members = [
        {
            "name": name,
            "role": name.split("-")[0],
            "address": "127.0.0.1:1",
            "status_address": standin.address,
            "data_centre": "san-jose",
        }
        for name, standin in context.daemons.items()
    ]
    post_json(context.members.port, "/control/members", {"members": members})
    assert get_json(context.members.port, "/members")["members"] == members


@given('a member whose status address is "{address}"')
def step_odd_member(context, address):
    member = {"name": "entry-1", "role": "entry", "data_centre": "a", "address": "a"}
    members = [member | {"status_address": address}]
    post_json(context.members.port, "/control/members", {"members": members})


@when('"{name}" falls behind')
def step_behind(context, name):
    context.daemons[name].set_faults(behind=True)


@when('"{name}" is gone')
def step_gone(context, name):
    context.daemons[name].process.kill()


@then('it exits with {status:d} and prints "{text}"')
def step_exits(context, status, text):
    assert context.done.returncode == status, context.printed
    assert text in context.printed, context.printed


@then('it prints "{text}"')
def step_prints(context, text):
    assert text in context.printed, context.printed


@then(
    "it exits with {status:d} and its JSON counts {count:d} waiting "
    'at tier "{tier}" of "{service}"'
)
def step_json(context, status, count, tier, service):
    assert context.done.returncode == status
    daemons = json.loads(context.done.stdout)["daemons"]
    assert sum(each["waiting"][service][tier] for each in daemons) == count
