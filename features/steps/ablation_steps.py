"""Steps about the measurement of each rule's worth."""

from behave import then

from bench.ablation import RULES


@then("each rule of the ablation names what the daemon has")
def step_rules_exist(context):
    missing = [
        f"{rule}: {module.__name__}.{attribute}"
        for rule, changes in RULES.items()
        for module, attribute, _ in changes
        if not hasattr(module, attribute)
    ]
    assert not missing, missing
