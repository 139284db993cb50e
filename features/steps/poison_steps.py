from random import Random

from behave import given, then, when

from lavenderspoke.poison import (
    CrashEvidence,
    CrashHistory,
    Quarantined,
    QuarantinePolicy,
)

NAMES = ("bad", "twin", "popular", "b1", "b2", "b3", "b4")


@given("a crash ledger with a threshold of {threshold:d}")
def step_ledger(context, threshold):
    poison = QuarantinePolicy(upstreams_threshold=threshold, quarantine_s=600.0)
    context.crash_ledger = CrashHistory(service="s", poison=poison)
    context.crashes, context.now_s = 0, 0.0


def crash(context, upstream, fingerprints):
    message = CrashEvidence(
        service="s",
        upstream=upstream,
        crash_id=str(context.crashes),
        fingerprints=fingerprints,
    )
    context.running = fingerprints
    return context.crash_ledger.record_crash(message, context.now_s)


@when('"{upstream}" crashes running {names}')
def step_crash(context, upstream, names):
    context.crashes += 1
    crash(context, upstream, tuple(names.split(", ")))


@when('the same crash is told again as of "{upstream}"')
def step_crash_again(context, upstream):
    crash(context, upstream, context.running)


@when("{name} is answered")
def step_answered(context, name):
    context.crash_ledger.record_answered(name)


@when("{seconds:g} s pass for the ledger")
def step_time(context, seconds):
    context.now_s += seconds


def quarantined(context):
    ledger = context.crash_ledger
    return [name for name in NAMES if ledger.is_quarantined(name, context.now_s)]


@then("nothing is quarantined")
def step_none(context):
    assert quarantined(context) == []


@then("just {names} is quarantined")
def step_just(context, names):
    assert quarantined(context) == names.split(", "), quarantined(context)


def seeded_run(context, seed, *, upstreams, slots):
    """Crash random upstreams until a verdict; half the bystanders are sent again."""
    random = Random(seed)
    step_ledger(context, 2)
    again, verdicts = [], []
    while not verdicts and context.crashes < 20:
        beside = [each for each in again if random.random() < slots / 40]
        fresh = [f"{seed}-{context.crashes}-{n}" for n in range(slots - 1)]
        running = (beside + fresh)[: slots - 1]
        context.crashes += 1
        verdicts = crash(context, f"u{random.randrange(upstreams)}", ("bad", *running))
        again = [each for each in running if random.random() < 0.5]
    return verdicts


@given(
    "{runs:d} seeded runs of {upstreams:d} upstreams with {slots:d} slots,"
    " one culprit and callers that send again"
)
def step_runs(context, runs, upstreams, slots):
    context.runs = []
    for seed in range(runs):
        verdicts = seeded_run(context, seed, upstreams=upstreams, slots=slots)
        context.runs.append((verdicts, context.crashes))


@then("the culprit was quarantined in each run after at most {bound:d} crashes")
def step_culprit(context, bound):
    assert max(crashes for _, crashes in context.runs) <= bound, context.runs
    culprit = Quarantined(service="s", fingerprint="bad", ttl_s=600.0)
    assert all(culprit in verdicts for verdicts, _ in context.runs)


@then("no bystander was quarantined in any run")
def step_bystanders(context):
    assert all(len(verdicts) == 1 for verdicts, _ in context.runs)
