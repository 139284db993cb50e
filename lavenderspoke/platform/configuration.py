"""The operators' configuration, decoded into a catalog.

The store accepts only valid configurations, so a decoding error is a fault of this
program or of the transfer: the catalog in force stays.
"""

from result import Err, Ok, Result

from lavenderspoke.direct.catalog import (
    Catalog,
    Customer,
    Limits,
    Repeatability,
    Route,
    Service,
    TrafficShare,
)
from lavenderspoke.platform.decoding import error_text, parse
from lavenderspoke.strict import structure_float, structure_int, structure_str

MS_PER_S = 1000.0
TIMEOUT_DEFAULT_MS = 30_000
TARGET_DEFAULT_MS = 1000
# Gaps after which a stream's caller disconnects: in milliseconds, as a multiple of
# the route's target latency, and as a multiple of its inter-token latency target.
STREAM_GAP_MIN_MS = 2000
STREAM_GAP_TARGET_FACTOR = 4
STREAM_GAP_PAUSE_FACTOR = 8


def decode(data: bytes) -> Result[Catalog, str]:
    """Return the catalog in a configuration, or an error message."""
    parsed = parse(data)
    if isinstance(parsed, Err):
        return parsed
    content = parsed.ok_value
    try:
        return Ok(
            Catalog(
                version=_whole(content["version"]),
                routes=tuple(_route(each) for each in content.get("routes") or ()),
                services={
                    structure_str(each["name"]): _service(each)
                    for each in content.get("services") or ()
                },
                customers=tuple(
                    _customer(each) for each in content.get("tenants") or ()
                ),
                limits=_limits(content.get("limits") or {}),
            )
        )
    except Exception as error:
        # A list in the place of a name, a number of hundreds of digits: each fails in
        # a way of its own.
        return Err(error_text(error))


def _route(content: dict) -> Route:
    kind = content["kind"]
    # A timeout of 0, like a missing one, means that none is set.
    timeout_ms = structure_float(content.get("timeout-ms") or TIMEOUT_DEFAULT_MS)
    target_ms = structure_float(content.get("target-latency-ms") or TARGET_DEFAULT_MS)
    return Route(
        name=structure_str(content["name"]),
        host=structure_str(content["host"]),
        path_prefix=structure_str(content["path-prefix"]),
        repeatability=(
            Repeatability.IDEMPOTENT if kind == "idempotent" else Repeatability.ONCE
        ),
        stream=kind == "streaming",
        resumable=bool(content.get("stream-resume")),
        timeout_s=timeout_ms / MS_PER_S,
        target_s=target_ms / MS_PER_S,
        patience_s=_patience_ms(content, timeout_ms, target_ms) / MS_PER_S,
        rank=_whole(content.get("priority") or 0),
        traffic_split=_shares(content),
        attempts_max=max(1, _whole(content.get("max-attempts") or 1)),
        anonymous=bool(content.get("anonymous")),
    )


def _patience_ms(content: dict, timeout_ms: float, target_ms: float) -> float:
    """Return how long callers wait for the first byte, in milliseconds.

    Callers of streams disconnect after the longest of three gaps, also before the
    first event, and at the latest at the timeout.
    """
    if content["kind"] != "streaming":
        return timeout_ms
    pause_ms = structure_float(content.get("itl-target-ms") or 0)
    gap_ms = max(
        STREAM_GAP_MIN_MS,
        STREAM_GAP_TARGET_FACTOR * target_ms,
        STREAM_GAP_PAUSE_FACTOR * pause_ms,
    )
    return min(timeout_ms, gap_ms)


def _shares(content: dict) -> tuple[TrafficShare, ...]:
    split = content.get("traffic-split")
    if not split:
        return (TrafficShare(service=structure_str(content["service"]), weight=1.0),)
    shares = tuple(
        TrafficShare(
            service=structure_str(each["service"]),
            weight=structure_float(each["weight"]),
        )
        for each in split
    )
    # A service with weight 0 is listed but receives no requests.
    return tuple(share for share in shares if share.weight > 0.0) or shares[:1]


def _service(content: dict) -> Service:
    return Service(
        name=structure_str(content["name"]),
        connections_max=_whole(content.get("max-connections") or 0),
        is_model=bool(content.get("engine")),
    )


def _customer(content: dict) -> Customer:
    return Customer(
        name=structure_str(content["name"]),
        keys=tuple(structure_str(each) for each in content.get("api-keys") or ()),
        rank=_whole(content.get("priority") or 0),
        per_s=structure_float(content.get("rate-per-s") or 0),
        burst=structure_float(content.get("burst") or 0),
        # Otherwise the limit counts requests.
        counts_tokens=content.get("unit") == "token_unit",
        default_tokens=_whole(content.get("uncached-tokens") or 1),
    )


def _limits(content: dict) -> Limits:
    defaults = Limits()
    return Limits(
        header_bytes_max=_whole(
            content.get("max-header-bytes") or defaults.header_bytes_max
        ),
        body_bytes_max=_whole(content.get("max-body-bytes") or defaults.body_bytes_max),
        read_timeout_s=_seconds(
            content.get("header-timeout-ms"), defaults.read_timeout_s
        ),
        idle_timeout_s=_seconds(
            content.get("idle-timeout-ms"), defaults.idle_timeout_s
        ),
    )


def _seconds(value_ms: float | None, default_s: float) -> float:
    return structure_float(value_ms) / MS_PER_S if value_ms else default_s


def _whole(value: float) -> int:
    """Return a number that stands where a whole one belongs, less its fraction."""
    return structure_int(value if type(value) is int else int(structure_float(value)))
