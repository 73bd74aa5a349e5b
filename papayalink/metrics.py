"""Counters, gauges and latency histograms in the Prometheus format."""

from collections.abc import Callable

from hdrh import histogram

_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_FIGURES = 2
_PERCENTILES = (50.0, 95.0, 99.0)

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
        """Returns: the value of a counter, 0 if it was never incremented."""
        key = (name, tuple(sorted(labels.items())))
        return self._counters.get(key, 0)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read when the metrics are rendered."""
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
            lines.append(
                f"papayalink_{name}_total{_render_labels(labels)} {value}"
            )
        for name, read in sorted(self._gauges.items()):
            lines.append(f"papayalink_{name} {read()}")
        for (name, labels), recorder in sorted(self._latencies.items()):
            for percentile in _PERCENTILES:
                quantile_labels = (
                    *labels,
                    ("quantile", str(percentile / 100)),
                )
                value = recorder.get_value_at_percentile(percentile) / 1e6
                lines.append(
                    f"papayalink_{name}_seconds"
                    f"{_render_labels(quantile_labels)} {value}"
                )
            lines.append(
                f"papayalink_{name}_seconds_count{_render_labels(labels)}"
                f" {recorder.total_count}"
            )
        return "\n".join(lines) + "\n"


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{value}"' for key, value in labels) + "}"


def make_metrics() -> Metrics:
    return Metrics()
