"""OpenTelemetry metrics without extra threads, shown as text on request.

The instruments are observable: each reads the state when somebody asks, so counting costs nothing
on the paths that are counted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    HistogramDataPoint,
    InMemoryMetricReader,
    NumberDataPoint,
)

Values = Callable[[], dict[str, float]]


class Metrics:
    """The metrics of one process."""

    def __init__(self, *, counters: Values, gauges: Values) -> None:
        self._reader = InMemoryMetricReader()
        provider = MeterProvider(metric_readers=[self._reader], shutdown_on_exit=False)
        meter = provider.get_meter("cottonlug")
        self._meter = meter
        for name in counters():
            meter.create_observable_counter(name, [_observe(counters, name)])
        for name in gauges():
            meter.create_observable_gauge(name, [_observe(gauges, name)])

    def add_histogram(self, name: str, bounds: Sequence[float]) -> Callable[[float], None]:
        """Add a histogram with these upper bounds and return what records a value."""
        histogram = self._meter.create_histogram(name, explicit_bucket_boundaries_advisory=bounds)
        return histogram.record

    def render(self) -> str:
        """Return all metrics, a line each, as name and value."""
        lines: list[str] = []
        data = self._reader.get_metrics_data()
        if data is None:
            return ""
        for resource in data.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    for point in metric.data.data_points:
                        if isinstance(point, NumberDataPoint):
                            lines.append(f"cottonlug_{metric.name} {point.value:g}")
                        elif isinstance(point, HistogramDataPoint):
                            lines += _render_histogram(f"cottonlug_{metric.name}", point)
        return "\n".join(lines) + "\n"


def _render_histogram(name: str, point: HistogramDataPoint) -> list[str]:
    """Return a histogram in the usual text format: counts up to each bound, sum and count."""
    lines: list[str] = []
    total = 0
    bounds = [f"{bound:g}" for bound in point.explicit_bounds] + ["+Inf"]
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
        total += count
        lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
    return [*lines, f"{name}_sum {point.sum:g}", f"{name}_count {point.count}"]


def _observe(read: Values, name: str) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def callback(_: CallbackOptions) -> Iterable[Observation]:
        return [Observation(read()[name])]

    return callback
