"""`make measure`: the policy and its alternatives on the same arrivals.

Real processes on loopback: the platform's stand-ins, four unlike engines, their
agents, two entries. Every variant gets the same arrival file, one variant after
another, for each seed. Outcomes go to out/measure.jsonl, the arrival files to
out/, a table to the screen.

    python -m bench.measure [--seeds N] [--scenario closing|straggler] [VARIANT...]
"""

import argparse
import functools
import json
import pathlib
import threading
from collections import Counter
from collections.abc import Callable
from statistics import median

import attrs

from bench import arrivals
from bench.callers import Callers, Outcome
from bench.slopes import machine
from standins.deployment import TIERS, Deployment, document
from standins.processes import HOST, NotReached

OUT = pathlib.Path("out")
ENTRIES = 2
ENGINE_SPEEDS = (1.0, 0.8, 0.6, 0.4)
STEP_MS = 40
SLOTS = 4
PREFILL_PER_STEP = 32
BLOCK_TOKENS = 16
# A third of the shared prompts: 20 of 8 blocks.
CACHE_BLOCKS = 54
# Requests a second that the four engines finish together, from the step time,
# slots and prefill of an ordinary request without reuse.
CAPACITY_PER_S = 20.0
STRAGGLER_SPEED = 0.2
WAITING_MAX = 40


@attrs.frozen(kw_only=True)
class Variant:
    """A policy to compare; agents take pushed work only where it is pushed."""

    name: str
    policy: dict = attrs.field(factory=dict)
    agent: dict = attrs.field(factory=dict)


PUSHED = {"accepts_pushed": True}
VARIANTS = {
    each.name: each
    for each in (
        Variant(name="pull"),
        Variant(name="fixed-limit", agent={"learns_limit": False}),
        Variant(name="double-limit", agent={"slots_max": 2 * SLOTS}),
        Variant(
            name="fixed-double-limit",
            agent={"learns_limit": False, "slots_max": 2 * SLOTS},
        ),
        Variant(name="least-load", policy={"dispatching": "least_load"}, agent=PUSHED),
        Variant(
            name="two-choices", policy={"dispatching": "two_choices"}, agent=PUSHED
        ),
        Variant(name="no-affinity", policy={"affinity": False}),
        Variant(
            name="fifo",
            policy={
                "tiers": False,
                "fair": False,
                "size_aware": False,
                "affinity": False,
            },
        ),
        Variant(name="no-size", policy={"size_aware": False}),
        Variant(name="per-entry-shedding", policy={"service_wide_shedding": False}),
    )
}


def slow_engine(deployment: Deployment) -> None:
    """Make one engine a straggler."""
    deployment.upstreams["engine-0"].set_faults(speed=STRAGGLER_SPEED)


def kill_daemons(deployment: Deployment) -> None:
    """Kill an entry and an agent, and start both again as the platform would."""
    for name in ("entry-1", "agent-3"):
        deployment.process(name).kill()
        threading.Thread(target=deployment.restart, args=(name,), daemon=True).start()


def stop_log(deployment: Deployment) -> None:
    """Take the log down for the rest of the run."""
    deployment.log.set_faults(mode="down")


@attrs.frozen(kw_only=True)
class Scenario:
    """Phases of arrivals, and what goes wrong at half time."""

    name: str
    phases: tuple[arrivals.Phase, ...]
    at_half: Callable[[Deployment], None] = lambda deployment: None


SCENARIOS = {
    each.name: each
    for each in (
        Scenario(name="closing", phases=arrivals.closing(CAPACITY_PER_S)),
        Scenario(name="ordinary", phases=arrivals.ordinary(CAPACITY_PER_S)),
        Scenario(
            name="straggler",
            phases=arrivals.ordinary(CAPACITY_PER_S),
            at_half=slow_engine,
        ),
        Scenario(
            name="kills",
            phases=arrivals.closing(CAPACITY_PER_S),
            at_half=kill_daemons,
        ),
        Scenario(
            name="log-down",
            phases=arrivals.closing(CAPACITY_PER_S),
            at_half=stop_log,
        ),
    )
}


def start(deployment: Deployment, variant: Variant) -> None:
    """Start the processes of a variant and wait until all is ready."""
    waiting = {"requests_max": WAITING_MAX}
    prefixes = {
        "block_tokens": BLOCK_TOKENS,
        "prefill_tokens_per_s": PREFILL_PER_STEP * 1000.0 / STEP_MS,
    }
    data = document("narrative", "model", waiting=waiting, prefixes=prefixes)
    deployment.publish(data)
    for number, speed in enumerate(ENGINE_SPEEDS):
        engine = deployment.stage.engine(
            f"engine-{number}",
            *("--step-ms", str(STEP_MS / speed)),
            *("--slots", str(SLOTS)),
            *("--prefill-tokens-per-step", str(PREFILL_PER_STEP)),
            *("--cache-blocks", str(CACHE_BLOCKS)),
            *("--block-tokens", str(BLOCK_TOKENS)),
        )
        changes = {"slots_max": SLOTS} | variant.agent
        deployment.agent(f"agent-{number}", "narrative", engine, **changes)
    for number in range(ENTRIES):
        deployment.entry(f"entry-{number}", policy=variant.policy)
    deployment.wait_ready()


def run(variant: Variant, scenario: Scenario, seed: int) -> dict:
    """Run one variant on one seed's arrivals and return its figures."""
    planned = arrivals.plan(scenario.phases, seed=seed, entries=ENTRIES)
    arrivals.write(planned, OUT / f"arrivals-{scenario.name}-{seed}.jsonl")
    with Deployment() as deployment:
        start(deployment, variant)
        ports = [deployment.ports[f"entry-{n}"].callers for n in range(ENTRIES)]
        daemons = [name for name in deployment.ports]
        before = {name: deployment.process(name).cpu_s() for name in daemons}
        callers = Callers(urls=[f"http://{HOST}:{port}" for port in ports])
        outcomes = callers.run(
            planned, at_half=functools.partial(scenario.at_half, deployment)
        )
        found = summary(outcomes) | engine_figures(deployment, outcomes)
        found["cpu_s"] = {
            name: round(deployment.process(name).cpu_s() - before[name], 2)
            for name in daemons
        }
        found["resident_mb"] = {
            name: round(deployment.process(name).resident_bytes() / 2**20, 1)
            for name in daemons
        }
    return {
        "variant": variant.name,
        "scenario": scenario.name,
        "seed": seed,
        **found,
    }


def run_again(variant: Variant, scenario: Scenario, seed: int) -> dict:
    """Run a variant, once more if its processes weren't ready in time."""
    try:
        return run(variant, scenario, seed)
    except NotReached as error:
        print(f"seed {seed} {variant.name}: started again, {error}", flush=True)
        return run(variant, scenario, seed)


def summary(outcomes: list[Outcome]) -> dict:
    """Return goodput, latencies and refusals of a run."""
    phases = sorted({each.planned.phase for each in outcomes})
    worth = {tier: 4.0 ** (rank - 1) for tier, rank in TIERS.items()}
    return {
        "goodput": {
            phase: {tier: goodput(outcomes, phase, tier) for tier in TIERS}
            for phase in phases
        },
        "weighted": sum(worth[each.planned.tier] for each in outcomes if each.good),
        "first_p50_s": {t: quantile(firsts(outcomes, t), 0.5) for t in TIERS},
        "first_p99_s": {t: quantile(firsts(outcomes, t), 0.99) for t in TIERS},
        "first_p99_s_by_phase": {
            phase: quantile(firsts(outcomes, "alert", phase), 0.99) for phase in phases
        },
        "gap_p95_s": {t: quantile(gaps(outcomes, t), 0.95) for t in TIERS},
        "late_answer_s": late_answers(outcomes),
        "reasons": dict(Counter(e.reason or str(e.status) for e in outcomes)),
        "broken": sum(e.status == 200 and not e.whole for e in outcomes),
        "sent": len(outcomes),
    }


def goodput(outcomes: list[Outcome], phase: str, tier: str) -> float | None:
    """Return the part answered whole within its deadline."""
    chosen = [
        each.good
        for each in outcomes
        if each.planned.phase == phase and each.planned.tier == tier
    ]
    return round(sum(chosen) / len(chosen), 3) if chosen else None


def firsts(outcomes: list[Outcome], tier: str, phase: str | None = None) -> list:
    """Return the times to first token of a tier."""
    return [
        each.first_s
        for each in outcomes
        if each.planned.tier == tier
        and each.first_s is not None
        and phase in (None, each.planned.phase)
    ]


def gaps(outcomes: list[Outcome], tier: str) -> list:
    """Return the times between parts of answers of a tier."""
    return [gap for e in outcomes if e.planned.tier == tier for gap in e.gaps_s]


def late_answers(outcomes: list[Outcome]) -> float | None:
    """Return the 95th percentile from the deadline to the refusal of expired ones."""
    late = [
        each.ended_s - each.planned.deadline_s
        for each in outcomes
        if each.reason == "deadline_expired"
    ]
    return quantile(late, 0.95)


def quantile(values: list[float], part: float) -> float | None:
    """Return a quantile by rank, in milliseconds' precision."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))], 3)


def engine_figures(deployment: Deployment, outcomes: list[Outcome]) -> dict:
    """Return what the engines computed, and how much of it was computed before."""
    counts = [engine.counts() for engine in deployment.upstreams.values()]
    total = {
        name: sum(each[name] for each in counts)
        for name in ("prefill_computed", "prefill_reused", "tokens_unread")
    }
    most_runs = max((n for each in counts for n in each["runs"].values()), default=0)
    return total | {
        "prefill_needed": needed_prefill(outcomes),
        "runs_of_one_request": most_runs,
    }


def needed_prefill(outcomes: list[Outcome]) -> int:
    """Return the prompt tokens of answered requests, each shared block once."""
    seen, tokens = set(), 0
    for each in outcomes:
        if each.status != 200:
            continue
        words = each.planned.prompt.split()
        for start_at in range(0, len(words), BLOCK_TOKENS):
            prefix = hash(tuple(words[: start_at + BLOCK_TOKENS]))
            if prefix not in seen:
                seen.add(prefix)
                tokens += len(words[start_at : start_at + BLOCK_TOKENS])
    return tokens


def spread(values: list[float | None]) -> str:
    """Return minimum, median and maximum."""
    known = [value for value in values if value is not None]
    if not known:
        return "-"
    return f"{min(known):.2f} {median(known):.2f} {max(known):.2f}"


def print_table(records: list[dict]) -> None:
    """Print minimum, median and maximum over the seeds by variant."""
    for variant in dict.fromkeys(record["variant"] for record in records):
        rows = [record for record in records if record["variant"] == variant]
        print(f"\n{variant} ({len(rows)} seeds: minimum median maximum)")
        for what, values in figures(rows).items():
            print(f"  {what:34} {spread(values)}")
        print(f"  reasons, first seed: {rows[0]['reasons']}")


def figures(rows: list[dict]) -> dict[str, list]:
    """Return what the table shows, each for every seed."""
    shown = {
        f"goodput {phase} {tier}": [row["goodput"][phase][tier] for row in rows]
        for phase in rows[0]["goodput"]
        for tier in TIERS
    }
    shown["weighted goodput"] = [row["weighted"] for row in rows]
    for tier in TIERS:
        shown[f"first token p50 s {tier}"] = [r["first_p50_s"][tier] for r in rows]
        shown[f"first token p99 s {tier}"] = [r["first_p99_s"][tier] for r in rows]
        shown[f"between tokens p95 s {tier}"] = [r["gap_p95_s"][tier] for r in rows]
    for phase in rows[0]["first_p99_s_by_phase"]:
        values = [row["first_p99_s_by_phase"][phase] for row in rows]
        shown[f"first token p99 s alert {phase}"] = values
    shown["deadline to refusal p95 s"] = [row["late_answer_s"] for row in rows]
    shown["prefill computed"] = [row["prefill_computed"] for row in rows]
    shown["prefill computed again"] = [
        row["prefill_computed"] - row["prefill_needed"] for row in rows
    ]
    shown["tokens nobody read"] = [row["tokens_unread"] for row in rows]
    shown["most runs of a request"] = [row["runs_of_one_request"] for row in rows]
    shown["broken answers"] = [row["broken"] for row in rows]
    for role in ("entry-0", "agent-0"):
        shown[f"processor s {role}"] = [row["cpu_s"][role] for row in rows]
        shown[f"resident MB {role}"] = [row["resident_mb"][role] for row in rows]
    return shown


def main() -> None:
    """Read the options, run everything and print the table."""
    parser = argparse.ArgumentParser(description="Compare policies.")
    parser.add_argument("variants", nargs="*", default=list(VARIANTS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--scenario", default="closing", choices=list(SCENARIOS))
    options = parser.parse_args()
    OUT.mkdir(exist_ok=True)
    records = []
    print(json.dumps(machine()))
    with open(OUT / "measure.jsonl", "a") as output:
        for seed in range(1, options.seeds + 1):
            for name in options.variants:
                record = run_again(VARIANTS[name], SCENARIOS[options.scenario], seed)
                records.append(record)
                output.write(json.dumps(record | {"machine": machine()}) + "\n")
                output.flush()
                print(f"seed {seed} {name}: weighted {record['weighted']}", flush=True)
    print_table(records)


if __name__ == "__main__":
    main()
