"""Reconstructs the history of roll-outs from the log lines of several processes."""

import attrs

from lavenderspoke.observing.explaining import LogLine, ParsedLogs

ORDERED_MESSAGE = "roll-out ordered"
STAGE_MESSAGE = "roll-out goes on"
RECORD_MESSAGE = "roll-out record written"
MESSAGES = (ORDERED_MESSAGE, STAGE_MESSAGE, RECORD_MESSAGE)


@attrs.frozen(kw_only=True)
class RouteAnswers:
    """Answers and bad answers on a route, of the target and the other versions."""

    route: str
    target: int
    target_bad: int
    others: int
    others_bad: int


@attrs.frozen(kw_only=True)
class StageChange:
    """One change of a roll-out's stage, as logged by one entry."""

    at_s: float
    daemon: str
    stage: str
    reason: str
    requests: int | None
    to_target: int | None
    routes: tuple[RouteAnswers, ...]


@attrs.frozen(kw_only=True)
class RolloutHistory:
    """One order and the stage changes that followed, in order of time.

    `state` is the last state in the status record; empty if none was written.
    """

    service: str
    target: str
    order: int
    state: str
    changes: tuple[StageChange, ...]


def rollout_histories(logs: ParsedLogs) -> list[RolloutHistory]:
    """Return the history of each order in the log lines."""
    by_order: dict[tuple[str, int], list[LogLine]] = {}
    for line in logs.lines:
        if line.message in MESSAGES:
            number = line.fields.get("order", line.fields.get("number"))
            key = (str(line.fields.get("service")), number)
            by_order.setdefault(key, []).append(line)
    return [
        _history(service, order, order_lines)
        for (service, order), order_lines in by_order.items()
        if isinstance(order, int)
    ]


def _history(service: str, order: int, lines: list[LogLine]) -> RolloutHistory:
    states = [each for each in lines if each.message == RECORD_MESSAGE]
    targets = [each.fields["target"] for each in lines if "target" in each.fields]
    changes: dict[str, StageChange] = {}
    for line in lines:
        if line.message == STAGE_MESSAGE:
            # Prefer the line of the entry that made the transition: it has the counts
            # and the reason, while the others only received the news.
            change = _stage_change(line)
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


def _stage_change(line: LogLine) -> StageChange:
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
