"""What upstreams saw, which is the truth that callers' answers are held against."""

from soak.record import Arrival, Refusal, Run
from standins.platformdeployment import PlatformDeployment


def runs(
    platform: PlatformDeployment, names: tuple[str, ...], *, without: str
) -> tuple[Run, ...]:
    """Return the runs at these upstreams, but not those on a path of no caller."""
    return tuple(
        Run(
            attempt_id=run["attempt_id"],
            upstream=name,
            began_s=run["began_s"],
            signed_status=run["signed_status"],
        )
        for name in names
        for run in platform.runs(name)
        if run["target"] != without
    )


def arrivals(
    platform: PlatformDeployment, names: tuple[str, ...]
) -> tuple[Arrival, ...]:
    """Return the requests that reached these upstreams, run or not."""
    return tuple(
        Arrival(upstream=name, **each)
        for name in names
        for each in platform.arrivals(name)
    )


def refusals(
    platform: PlatformDeployment, names: tuple[str, ...]
) -> tuple[Refusal, ...]:
    """Return what these upstreams said of the requests that they turned away."""
    return tuple(
        Refusal(upstream=name, **each)
        for name in names
        for each in platform.refusals(name)
    )
