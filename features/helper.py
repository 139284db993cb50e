"""What the steps of several features share."""

from hypothesis import HealthCheck, given, settings, strategies

from standins.processes import Stage

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


def stage_of(context) -> Stage:
    """Return the scenario's stage, which is stopped after it."""
    if getattr(context, "stage", None) is None:
        context.stage = Stage()
    return context.stage


def fuzz(strategy, check, examples: int = 300) -> None:
    """Call the check with many values, the same ones on every run."""
    quick = settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    quick(given(strategy)(check))()
