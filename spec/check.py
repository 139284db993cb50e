"""Model checks: each protocol holds, and fails without each of its safeguards.

`python -m spec.check [--report FILE.json] [MODEL ...]` searches every model
exhaustively with Spin, then once more with each safeguard taken out, which must
give a counterexample: a model that cannot fail proves nothing. The safeguards
are the `WITHOUT_` switches that a model's header lists; each is taken out of the
model's first shape, where the header lists several `SHAPE_` bounds. A search that
met its depth, memory or time limit counts as failed. The exit code is 0 only when
every check passed.
"""

import argparse
import json
import pathlib
import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

import attrs

HERE = pathlib.Path(__file__).resolve().parent
MODELS = ("grant", "resend", "publish", "documents", "shedding")
AT_ONCE = 4
DEPTH_MAX = 2_000_000
MEMORY_MAX_MB = 4096
SEARCH_MAX_S = 600
SWITCH = re.compile(r"^ \*   (WITHOUT_\w+)\s", re.MULTILINE)
SHAPE = re.compile(r"^ \*   (SHAPE_\w+)\s", re.MULTILINE)
BOUNDS = re.compile(r"^ \* Bounds: (.*?)\.$", re.MULTILINE | re.DOTALL)
PROPERTY = re.compile(r"^ \* Property: (.*?)\.$", re.MULTILINE | re.DOTALL)
TRUNCATED = ("Search not completed", "max search depth too small", "out of memory")


@attrs.frozen(kw_only=True)
class Check:
    """One search: a model, its shape, and the safeguard taken out, if one is."""

    model: str
    shape: str | None = None
    switch: str | None = None

    @property
    def name(self) -> str:
        """The name under which the check is reported."""
        if self.switch:
            return f"model {self.model} fails {self.switch}"
        return f"model {self.model} {self.shape or ''}".strip()

    @property
    def defines(self) -> list[str]:
        """The preprocessor options that choose the shape and the switch."""
        return [f"-D{each}" for each in (self.shape, self.switch) if each]


@attrs.frozen(kw_only=True)
class Outcome:
    """What a search found."""

    check: Check
    passed: bool
    verdict: str
    states: int
    elapsed_s: float


def header(model: str, pattern: re.Pattern) -> str:
    """Return what a model's header says after one of its marks, on one line."""
    found = pattern.search((HERE / f"{model}.pml").read_text())
    return re.sub(r"\s+\*?\s*", " ", found[1]) if found else "not stated"


def checks(models: list[str]) -> list[Check]:
    """Return the checks of the models: each shape whole, then each switch alone.

    The whole ones come first, since they take longest.
    """
    whole, broken = [], []
    for model in models:
        text = (HERE / f"{model}.pml").read_text()
        shapes = SHAPE.findall(text) or [None]
        whole += [Check(model=model, shape=shape) for shape in shapes]
        broken += [
            Check(model=model, shape=shapes[0], switch=switch)
            for switch in SWITCH.findall(text)
        ]
    return whole + broken


def search(check: Check) -> str:
    """Build the verifier of one check, run it and return what it printed."""
    with tempfile.TemporaryDirectory(prefix="spec-") as directory:
        source = str(HERE / f"{check.model}.pml")
        options = ["-O2", "-w", "-DSAFETY", "-DCOLLAPSE", f"-DMEMLIM={MEMORY_MAX_MB}"]
        for command in (
            ["spin", "-a", *check.defines, source],
            ["gcc", *options, "-o", "pan", "pan.c"],
        ):
            subprocess.run(command, cwd=directory, check=True, capture_output=True)
        done = subprocess.run(
            ["./pan", "-E", f"-m{DEPTH_MAX}"],
            cwd=directory,
            capture_output=True,
            text=True,
            timeout=SEARCH_MAX_S,
        )
    return done.stdout + done.stderr


def number(pattern: str, text: str) -> float:
    """Return the number that a pattern finds in the verifier's report, or 0."""
    found = re.search(pattern, text)
    return float(found[1]) if found else 0.0


def judge(check: Check, report: str) -> Outcome:
    """Read a verifier's report; a violated assertion is a counterexample."""
    violated = re.search(r"assertion violated (.*?) \(at depth (\d+)\)", report)
    whole = "errors: 0" in report and not any(mark in report for mark in TRUNCATED)
    if violated:
        verdict = f"counterexample at depth {violated[2]}: {violated[1]}"
    else:
        verdict = "holds" if whole else "truncated or broken search"
    return Outcome(
        check=check,
        passed=bool(violated) if check.switch else whole,
        verdict=verdict,
        states=int(number(r"(\S+) states, stored", report)),
        elapsed_s=number(r"elapsed time (\S+) seconds", report),
    )


def run(check: Check) -> Outcome:
    """Run one check; a failure to build or to end in time fails it."""
    try:
        return judge(check, search(check))
    except subprocess.TimeoutExpired:
        verdict = f"not ended in {SEARCH_MAX_S} s"
    except subprocess.CalledProcessError as error:
        verdict = f"not built: {(error.stdout + error.stderr).decode()[-300:]}"
    return Outcome(check=check, passed=False, verdict=verdict, states=0, elapsed_s=0.0)


def show(outcome: Outcome) -> None:
    """Print one outcome, with property and bounds for a whole model."""
    mark = "ok    " if outcome.passed else "FAILED"
    print(
        f"{mark} {outcome.check.name}: {outcome.verdict}; "
        f"{outcome.states} states, {outcome.elapsed_s:.1f} s"
    )
    if outcome.check.switch is None:
        print(f"       property: {header(outcome.check.model, PROPERTY)}")
        print(f"       bounds: {header(outcome.check.model, BOUNDS)}", flush=True)


def main() -> int:
    """Run the checks and return 0 only when every one passed."""
    parser = argparse.ArgumentParser(description="Run the model checks.")
    parser.add_argument("--report", type=pathlib.Path)
    parser.add_argument("models", nargs="*", default=MODELS, metavar="MODEL")
    options = parser.parse_args()
    outcomes = []
    with ThreadPoolExecutor(max_workers=AT_ONCE) as pool:
        for outcome in pool.map(run, checks(options.models)):
            show(outcome)
            outcomes.append(outcome)
    if options.report:
        names = [{"name": each.check.name, "passed": each.passed} for each in outcomes]
        options.report.write_text(json.dumps(names))
    failed = sum(not each.passed for each in outcomes)
    print(f"models: {len(outcomes) - failed} checks passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
