"""The command that tells the course of roll-outs from log files."""

import json

import attrs

from lavenderspoke.observing import explaining
from lavenderspoke.observing.rollouts import (
    RolloutHistory,
    StageChange,
    rollout_histories,
)
from lavenderspoke.ui.common import printable
from lavenderspoke.ui.explain import AsJson, LogFiles, read, time_of
from lavenderspoke.util import UserError


def rollouts(files: LogFiles, as_json: AsJson = False) -> None:
    """Tell how roll-outs went: each stage, why, and the answers it rests on."""
    lines = explaining.parse_logs(text for path in files for text in read(path))
    told = rollout_histories(lines)
    if not told:
        raise UserError(f"no roll-out in {len(lines.lines)} log lines")
    if as_json:
        print(json.dumps([attrs.asdict(course) for course in told], indent=2))
        return
    for course in told:
        _print(course)


def _print(course: RolloutHistory) -> None:
    state = course.state or "nothing written yet"
    name = printable(f"{course.service} to {course.target}")
    print(f"{name}, order {course.order}: {printable(state)}")
    for change in course.changes:
        _print_change(change)


def _print_change(change: StageChange) -> None:
    what = printable(f"{change.stage}: {change.reason}")
    print(f"  {time_of(change.at_s)}  {what} (at {printable(change.daemon)})")
    if change.requests is not None:
        print(f"    {change.to_target} of {change.requests} requests to the target")
    for each in change.routes:
        print(
            f"    {printable(each.route)}: {each.target_bad} of {each.target} answers "
            f"bad, {each.others_bad} of {each.others} of the other versions"
        )
