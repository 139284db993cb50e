"""The tables of docs/MEASUREMENTS.md and a plot, from out/measure.jsonl.

    python -m bench.report

Prints a Markdown table for each scenario and writes out/measure-<scenario>.png.
"""

import json

import matplotlib

from bench.measure import OUT, figures, spread
from standins.deployment import TIERS

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402


def load() -> dict[str, dict[str, list[dict]]]:
    """Return the records by scenario and variant."""
    found: dict[str, dict[str, list[dict]]] = {}
    for line in (OUT / "measure.jsonl").read_text().splitlines():
        record = json.loads(line)
        variants = found.setdefault(record["scenario"], {})
        variants.setdefault(record["variant"], []).append(record)
    return found


def print_scenario(name: str, variants: dict[str, list[dict]]) -> None:
    """Print one scenario's figures, a column for each variant."""
    columns = {variant: figures(rows) for variant, rows in variants.items()}
    counts = ", ".join(f"{v}: {len(rows)}" for v, rows in variants.items())
    print(f"\n### {name}\n\nSeeds: {counts}.\n")
    print("| minimum median maximum | " + " | ".join(columns) + " |")
    print("| --- |" + " ---: |" * len(columns))
    for what in next(iter(columns.values())):
        cells = [spread(column[what]) for column in columns.values()]
        print(f"| {what} | " + " | ".join(cells) + " |")
    for variant, rows in variants.items():
        print(f"\nReasons, {variant}: {sum_reasons(rows)}.")


def sum_reasons(rows: list[dict]) -> str:
    """Return how requests ended, over all seeds."""
    total: dict[str, int] = {}
    for row in rows:
        for reason, count in row["reasons"].items():
            total[reason] = total.get(reason, 0) + count
    return ", ".join(f"{reason} {count}" for reason, count in sorted(total.items()))


def plot(name: str, variants: dict[str, list[dict]]) -> None:
    """Draw goodput by tier and variant in the scenario's middle phase."""
    phase = "burst" if name == "closing" else "second"
    width = 0.8 / len(TIERS)
    for number, tier in enumerate(TIERS):
        heights = [
            sum(row["goodput"][phase][tier] for row in rows) / len(rows)
            for rows in variants.values()
        ]
        places = [each + number * width for each in range(len(variants))]
        pyplot.bar(places, heights, width, label=tier)
    pyplot.xticks(range(len(variants)), list(variants), rotation=30, ha="right")
    pyplot.ylabel(f"goodput, {phase}, mean over seeds")
    pyplot.legend()
    pyplot.tight_layout()
    pyplot.savefig(OUT / f"measure-{name}.png")
    pyplot.close()


def main() -> None:
    """Print and draw every scenario."""
    for name, variants in load().items():
        print_scenario(name, variants)
        plot(name, variants)


if __name__ == "__main__":
    main()
