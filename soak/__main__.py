"""The command: `python -m soak --seeds 1-50 --jobs 4`."""

import argparse
import multiprocessing
import sys
from concurrent.futures import ProcessPoolExecutor

from soak import schedule
from soak.run import LOGS, Outcome, play


def report(outcome: Outcome) -> None:
    """Print a seed's line, and for one that failed its schedule and breaches."""
    verdict = "broken" if outcome.breaches else "kept"
    print(f"seed {outcome.seed}: {verdict}; answers {outcome.answers}", flush=True)
    if not outcome.breaches:
        return
    for event in schedule.draw(outcome.seed):
        print(f"  {event.at_s:5.2f} s, {event.length_s:.2f} s: {event.action}")
    for line in outcome.breaches[:20]:
        print(f"  {line}")
    print(f"  logs: {LOGS / str(outcome.seed)}", flush=True)


def seeds(text: str) -> range:
    """Return the seeds in `first-last`.

    >>> list(seeds("3-5"))
    [3, 4, 5]
    """
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Play the seeds and return 1 if a promise was broken."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--seeds", type=seeds, default=seeds("1-50"))
    options.add_argument("--jobs", type=int, default=4, help="seeds side by side")
    chosen = options.parse_args()
    broken = []
    # A process of its own for each seed: its ports follow from its pid, so seeds
    # side by side don't take each other's.
    fresh = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(
        chosen.jobs, mp_context=fresh, max_tasks_per_child=1
    ) as pool:
        for outcome in pool.map(play, chosen.seeds):
            report(outcome)
            if outcome.breaches:
                broken.append(outcome.seed)
    print(f"{len(chosen.seeds) - len(broken)} kept, {len(broken)} broken: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
