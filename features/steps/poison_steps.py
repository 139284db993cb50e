from random import Random

from behave import given, then, when

from lavenderspoke.quarantine.history import CrashHistory, QuarantinePolicy
from lavenderspoke.quarantine.messages import CrashEvidence, Quarantined

NAMES = ("bad", "twin", "popular", "b1", "b2", "b3", "b4")


@given("a crash history with a threshold of {threshold:d}")
def step_history(context, threshold):
    poison = QuarantinePolicy(upstreams_threshold=threshold, quarantine_s=600.0)
    context.crash_history = CrashHistory(service="s", policy=poison)
    context.crash_count, context.now_s = 0, 0.0


def crash(context, upstream, fingerprints):
    message = CrashEvidence(
        service="s",
        upstream=upstream,
        crash_id=str(context.crash_count),
        fingerprints=fingerprints,
    )
    context.running = fingerprints
    return context.crash_history.record_crash(message, context.now_s)


@when('"{upstream}" crashes running {names}')
def step_crash(context, upstream, names):
    context.crash_count += 1
    crash(context, upstream, tuple(names.split(", ")))


@when('the same crash is reported again for "{upstream}"')
def step_crash_again(context, upstream):
    crash(context, upstream, context.running)


@when("{name} is answered")
def step_answered(context, name):
    context.crash_history.record_answered(name, context.now_s)


@when("{seconds:g} s pass for the crash history")
def step_time(context, seconds):
    context.now_s += seconds


def quarantined(context):
    history = context.crash_history
    return [name for name in NAMES if history.is_quarantined(name, context.now_s)]


@then("nothing is quarantined")
def step_none(context):
    assert quarantined(context) == []


@then("only {names} is quarantined")
def step_only(context, names):
    assert quarantined(context) == names.split(", "), quarantined(context)


def seeded_run(context, seed, *, upstreams, slots):
    """Crash random upstreams until a quarantine; some bystanders are retried."""
    random = Random(seed)
    step_history(context, 2)
    retried, quarantines = [], []
    while not quarantines and context.crash_count < 20:
        beside = [each for each in retried if random.random() < slots / 40]
        fresh = [f"{seed}-{context.crash_count}-{n}" for n in range(slots - 1)]
        running = (beside + fresh)[: slots - 1]
        context.crash_count += 1
        quarantines = crash(
            context, f"u{random.randrange(upstreams)}", ("bad", *running)
        )
        retried = [each for each in running if random.random() < 0.5]
    return quarantines


@given(
    "{runs:d} seeded runs of {upstreams:d} upstreams with {slots:d} slots,"
    " one culprit and callers that retry"
)
def step_runs(context, runs, upstreams, slots):
    context.runs = []
    for seed in range(runs):
        quarantines = seeded_run(context, seed, upstreams=upstreams, slots=slots)
        context.runs.append((quarantines, context.crash_count))


@then("the culprit was quarantined in each run after at most {bound:d} crashes")
def step_culprit(context, bound):
    assert max(crashes for _, crashes in context.runs) <= bound, context.runs
    culprit = Quarantined(service="s", fingerprint="bad", ttl_s=600.0)
    assert all(culprit in quarantines for quarantines, _ in context.runs)


@then("no bystander was quarantined in any run")
def step_bystanders(context):
    assert all(len(quarantines) == 1 for quarantines, _ in context.runs)
