"""Takes each safeguard out, one at a time, and sees whether a test notices.

    python -m features.falsify [--only WORD]

Each patch of `safeguards.yaml` is applied in a scratch copy of the project, and
the scenarios that it names are run there, before and after: they must pass with
the safeguard, and one must fail a check without it. A safeguard that no test
notices is one that anybody could lose by accident. Exits with 0 only when each is
noticed.
"""

import argparse
import concurrent.futures
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

import attrs
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
SAFEGUARDS = pathlib.Path(__file__).with_name("safeguards.yaml")
COPIED = (
    "lavenderspoke",
    "standins",
    "features",
    "soak",
    "bench",
    "spec",
    "examples",
    "pyproject.toml",
)
AT_ONCE = 3
TIMEOUT_S = 240
ENDED = re.compile(r"(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?")


@attrs.frozen(kw_only=True)
class Patch:
    """A text that is replaced in one file of the package."""

    file: str
    find: str
    replace: str

    def apply(self, package: pathlib.Path) -> None:
        """Change the file; raises ValueError unless `find` stands there once."""
        path = package / self.file
        text = path.read_text()
        if text.count(self.find) != 1:
            raise ValueError(
                f"{self.file}: the patch fits {text.count(self.find)} times"
            )
        path.write_text(text.replace(self.find, self.replace))


@attrs.frozen(kw_only=True)
class Safeguard:
    """A safeguard, how to take it out, and the scenario that must notice."""

    name: str
    patches: tuple[Patch, ...]
    feature: str
    scenario: str


@attrs.frozen(kw_only=True)
class Finding:
    """What came of one safeguard's removal."""

    safeguard: Safeguard
    noticed: bool
    detail: str


def load() -> list[Safeguard]:
    """Return the safeguards of the list."""
    safeguards = []
    for entry in yaml.safe_load(SAFEGUARDS.read_text()):
        patches = [entry] + ([entry["also"]] if "also" in entry else [])
        fields = ("file", "find", "replace")
        safeguards.append(
            Safeguard(
                name=entry["safeguard"],
                patches=tuple(
                    Patch(**{name: patch[name] for name in fields}) for patch in patches
                ),
                feature=entry["feature"],
                scenario=entry["test"],
            )
        )
    return safeguards


def run_scenarios(
    root: pathlib.Path, safeguard: Safeguard
) -> subprocess.CompletedProcess:
    """Run the scenarios in a copy of the project."""
    arguments = [
        "--format",
        "plain",
        "--no-capture",
        "--no-color",
        "--name",
        f"^{re.escape(safeguard.scenario)}",
    ]
    feature = f"features/{safeguard.feature}.feature"
    return subprocess.run(
        [sys.executable, "-m", "behave", *arguments, feature],
        cwd=root,
        env={"PYTHONPATH": str(root), "PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def judge(done: subprocess.CompletedProcess) -> str:
    """Return "passed" or "failed", or what else became of the scenarios.

    One that raises shows a broken patch as well as a missed safeguard, so it
    doesn't count as failed.
    """
    ended = ENDED.search(done.stdout)
    passed, failed, broken = (
        (int(each or 0) for each in ended.groups()) if ended else (0, 0, 0)
    )
    if broken:
        return "raised an error"
    if failed:
        return "failed"
    return "passed" if passed else "no such scenario"


def falsify(safeguard: Safeguard) -> Finding:
    """Take one safeguard out of a scratch copy and run its scenario."""
    with tempfile.TemporaryDirectory(prefix="falsify-") as directory:
        root = pathlib.Path(directory)
        for name in COPIED:
            copy = shutil.copytree if (ROOT / name).is_dir() else shutil.copy
            copy(ROOT / name, root / name)
        try:
            detail = judge(run_scenarios(root, safeguard))
            if detail != "passed":
                raise ValueError(f"with the safeguard: {detail}")
            for patch in safeguard.patches:
                patch.apply(root / "lavenderspoke")
            detail = judge(run_scenarios(root, safeguard))
        except (OSError, ValueError, subprocess.TimeoutExpired) as error:
            detail = str(error)
    return Finding(safeguard=safeguard, noticed=detail == "failed", detail=detail)


def show(finding: Finding) -> None:
    """Print one row of the table."""
    safeguard = finding.safeguard
    noticed = "noticed" if finding.noticed else f"NOT NOTICED ({finding.detail})"
    print(f"| {safeguard.name} | {safeguard.scenario} | {noticed} |", flush=True)


def main() -> int:
    """Take out every safeguard and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--only", default="", help="safeguards with this word")
    only = parser.parse_args().only
    chosen = [each for each in load() if only in each.name]
    print("| safeguard taken out | test | result |\n| --- | --- | --- |")
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        for finding in pool.map(falsify, chosen):
            show(finding)
            missed += not finding.noticed
    print(f"\n{len(chosen) - missed} of {len(chosen)} noticed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
