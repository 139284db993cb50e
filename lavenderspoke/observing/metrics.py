"""Counters, gauges and latency histograms for the metrics and status pages."""

import threading

import attrs
from hdrh.histogram import HdrHistogram

LATENCY_MAX_US = 600 * 1_000_000
LATENCY_DIGITS = 2
HISTOGRAMS_MAX = 256
QUANTILES = (50.0, 90.0, 99.0, 99.9)
US_PER_S = 1_000_000
OTHER_LABEL = "other"
"""The label for everything beyond the maximum number of histograms or counters."""
COUNTERS_MAX = 1024


@attrs.frozen(kw_only=True)
class LatencyKey:
    """The labels of a latency histogram."""

    name: str
    service: str
    tier: str


@attrs.frozen(kw_only=True)
class LatencySummary:
    """A histogram's count, and its quantiles by percent, sum and maximum in seconds."""

    count: int
    sum_s: float
    max_s: float
    quantiles_s: dict[float, float]


@attrs.define(kw_only=True)
class _LatencyHistogram:
    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, LATENCY_MAX_US, LATENCY_DIGITS)
    )
    sum_s: float = 0.0

    def summary(self) -> LatencySummary:
        return LatencySummary(
            count=self.histogram.get_total_count(),
            sum_s=self.sum_s,
            max_s=self.histogram.get_max_value() / US_PER_S,
            quantiles_s={
                percent: self.histogram.get_value_at_percentile(percent) / US_PER_S
                for percent in QUANTILES
            },
        )


class Metrics:
    """Metrics of one daemon; all methods are thread-safe.

    >>> metrics = Metrics()
    >>> metrics.count("refusals", "shed")
    >>> metrics.counter_value("refusals", "shed")
    1
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._counters: dict[tuple[str, str], int] = {}
        self._gauges: dict[str, float] = {}
        self._latencies: dict[LatencyKey, _LatencyHistogram] = {}

    def count(self, name: str, reason: str, amount: int = 1) -> None:
        """Add to the counter with that name and reason."""
        with self._lock:
            key = (name, reason)
            if key not in self._counters and len(self._counters) >= COUNTERS_MAX:
                key = (name, OTHER_LABEL)
            self._counters[key] = self._counters.get(key, 0) + amount

    def counter_value(self, name: str, reason: str) -> int:
        """Return the value of the counter with that name and reason."""
        with self._lock:
            return self._counters.get((name, reason), 0)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge, a value that may also fall, such as the requests in flight."""
        with self._lock:
            self._gauges[name] = value

    def observe(self, name: str, service: str, tier: str, latency_s: float) -> None:
        """Record a latency; the histogram counts more than ten minutes as ten."""
        value_us = min(max(round(latency_s * US_PER_S), 1), LATENCY_MAX_US)
        key = LatencyKey(name=name, service=service, tier=tier)
        with self._lock:
            if key not in self._latencies and len(self._latencies) >= HISTOGRAMS_MAX:
                key = LatencyKey(name=name, service=OTHER_LABEL, tier=OTHER_LABEL)
            latency = self._latencies.setdefault(key, _LatencyHistogram())
            latency.histogram.record_value(value_us)
            latency.sum_s += latency_s

    def latencies(self) -> dict[LatencyKey, LatencySummary]:
        """Return a summary of each histogram."""
        with self._lock:
            return {key: each.summary() for key, each in self._latencies.items()}

    def snapshot(self) -> dict:
        """Return all metrics as plain JSON data for the status page."""
        with self._lock:
            counters: dict[str, dict[str, int]] = {}
            for (name, reason), value in sorted(self._counters.items()):
                counters.setdefault(name, {})[reason] = value
            gauges = dict(self._gauges)
        latencies = [
            {
                **attrs.asdict(key),
                "count": summary.count,
                "sum_s": summary.sum_s,
                "max_s": summary.max_s,
                "quantiles_s": {f"{p:g}": s for p, s in summary.quantiles_s.items()},
            }
            for key, summary in self.latencies().items()
        ]
        return {"counters": counters, "gauges": gauges, "latencies": latencies}

    def render(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        with self._lock:
            counters = sorted(self._counters.items())
            gauges = sorted(self._gauges.items())
        lines = _render_counters(counters)
        for name, value in gauges:
            lines += [
                f"# TYPE {_metric_name(name)} gauge",
                f"{_metric_name(name)} {value:g}",
            ]
        lines += _render_latencies(self.latencies())
        return "\n".join(lines) + "\n"


def _metric_name(name: str) -> str:
    return "lavenderspoke_" + name


def _label_value(value: str) -> str:
    """Quote and escape a label value for the exposition format."""
    escaped = value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
    return f'"{escaped}"'


def _render_counters(counters: list[tuple[tuple[str, str], int]]) -> list[str]:
    lines = []
    last = None
    for (name, reason), value in counters:
        metric = _metric_name(name) + "_total"
        if name != last:
            lines.append(f"# TYPE {metric} counter")
        lines.append(f"{metric}{{reason={_label_value(reason)}}} {value}")
        last = name
    return lines


def _render_latencies(latencies: dict[LatencyKey, LatencySummary]) -> list[str]:
    lines = []
    last = None
    for key in sorted(latencies, key=attrs.astuple):
        metric = _metric_name(key.name.removesuffix("_s")) + "_seconds"
        if key.name != last:
            lines.append(f"# TYPE {metric} summary")
        last = key.name
        labels = f"service={_label_value(key.service)},tier={_label_value(key.tier)}"
        for percent, value_s in latencies[key].quantiles_s.items():
            quantile = f'quantile="{percent / 100:g}"'
            lines.append(f"{metric}{{{labels},{quantile}}} {value_s:g}")
        lines.append(f"{metric}_sum{{{labels}}} {latencies[key].sum_s:g}")
        lines.append(f"{metric}_count{{{labels}}} {latencies[key].count}")
    return lines
