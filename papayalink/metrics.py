"""Counters, gauges and latency histograms, as Prometheus text."""

from collections.abc import Callable

from hdrh import histogram

_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_FIGURES = 2
_QUANTILES = (50.0, 95.0, 99.0)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Metrics of one process."""

    __slots__ = ("_counters", "_gauges", "_latencies")

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._latencies: dict[tuple[str, Labels], histogram.HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def value(self, name: str, **labels: str) -> float:
        """Returns: the value of a counter, 0 when never counted."""
        key = (name, tuple(sorted(labels.items())))
        return self._counters.get(key, 0)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read when metrics are asked for."""
        self._gauges[name] = read

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a latency in seconds."""
        key = (name, tuple(sorted(labels.items())))
        recorder = self._latencies.get(key)
        if recorder is None:
            recorder = histogram.HdrHistogram(
                1, _MAX_LATENCY_US, _SIGNIFICANT_FIGURES
            )
            self._latencies[key] = recorder
        recorder.record_value(max(1, int(seconds * 1e6)))

    def render(self) -> str:
        """Returns: all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"papayalink_{name}_total{_render(labels)} {value}")
        for name, read in sorted(self._gauges.items()):
            lines.append(f"papayalink_{name} {read()}")
        for (name, labels), recorder in sorted(self._latencies.items()):
            for quantile in _QUANTILES:
                tags = (*labels, ("quantile", str(quantile / 100)))
                value = recorder.get_value_at_percentile(quantile) / 1e6
                lines.append(
                    f"papayalink_{name}_seconds{_render(tags)} {value}"
                )
            lines.append(
                f"papayalink_{name}_seconds_count{_render(labels)}"
                f" {recorder.total_count}"
            )
        return "\n".join(lines) + "\n"


def _render(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{value}"' for key, value in labels) + "}"


def make_metrics() -> Metrics:
    return Metrics()
