"""Tells the course of roll-outs from the log lines of several processes."""

import attrs

from lavenderspoke.observing.explaining import LogLine, ParsedLogs

ORDERED = "roll-out ordered"
GOES_ON = "roll-out goes on"
RECORD_WRITTEN = "roll-out record written"
MESSAGES = (ORDERED, GOES_ON, RECORD_WRITTEN)


@attrs.frozen(kw_only=True)
class RouteAnswers:
    """What had been seen on a route: answers, and bad ones of them."""

    route: str
    target: int
    target_bad: int
    others: int
    others_bad: int


@attrs.frozen(kw_only=True)
class StageChange:
    """One change of a roll-out's stage, as the first entry that logged it saw it."""

    at_s: float
    daemon: str
    stage: str
    reason: str
    requests: int | None
    to_target: int | None
    routes: tuple[RouteAnswers, ...]


@attrs.frozen(kw_only=True)
class RolloutHistory:
    """One order and the changes that followed, in the order of their times.

    `state` is the last that was written for operators; empty if none was.
    """

    service: str
    target: str
    order: int
    state: str
    changes: tuple[StageChange, ...]


def rollout_histories(lines: ParsedLogs) -> list[RolloutHistory]:
    """Return the course of each order that the lines tell of."""
    by_order: dict[tuple[str, int], list[LogLine]] = {}
    for line in lines.lines:
        if line.message in MESSAGES:
            number = line.fields.get("order", line.fields.get("number"))
            key = (str(line.fields.get("service")), number)
            by_order.setdefault(key, []).append(line)
    return [
        _course(service, order, told)
        for (service, order), told in by_order.items()
        if isinstance(order, int)
    ]


def _course(service: str, order: int, told: list[LogLine]) -> RolloutHistory:
    states = [each for each in told if each.message == RECORD_WRITTEN]
    targets = [each.fields["target"] for each in told if "target" in each.fields]
    changes: dict[str, StageChange] = {}
    for line in told:
        if line.message == GOES_ON:
            # The entry that took the step says why; the others were told.
            change = _change(line)
            known = changes.get(change.stage)
            if known is None or (known.requests is None and change.requests):
                changes[change.stage] = change
    return RolloutHistory(
        service=service,
        target=targets[0] if targets else "",
        order=order,
        state=states[-1].fields.get("state", "") if states else "",
        changes=tuple(sorted(changes.values(), key=lambda each: each.at_s)),
    )


def _change(line: LogLine) -> StageChange:
    evidence = line.fields.get("evidence")
    rows = evidence.items() if isinstance(evidence, dict) else ()
    return StageChange(
        at_s=line.at_s,
        daemon=line.daemon,
        stage=str(line.fields.get("stage")),
        reason=str(line.fields.get("reason")),
        requests=line.fields.get("requests"),
        to_target=line.fields.get("to_target"),
        routes=tuple(
            RouteAnswers(
                route=route,
                target=counts[0],
                target_bad=counts[1],
                others=counts[2],
                others_bad=counts[3],
            )
            for route, counts in rows
            if isinstance(counts, list) and len(counts) == 4
        ),
    )
