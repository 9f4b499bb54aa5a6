"""OpenTelemetry instruments for the metrics of a process, without extra threads."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    HistogramDataPoint,
    InMemoryMetricReader,
    Metric,
    NumberDataPoint,
)

from .metrics import Histogram, Values


class Meters:
    """The instruments of one process and their reader."""

    def __init__(self, *, counters: Values, gauges: Values, histograms: list[Histogram]) -> None:
        self._reader = InMemoryMetricReader()
        provider = MeterProvider(metric_readers=[self._reader], shutdown_on_exit=False)
        meter = provider.get_meter("cottonlug")
        for name in counters():
            meter.create_observable_counter(name, [_observe(counters, name)])
        for name in gauges():
            meter.create_observable_gauge(name, [_observe(gauges, name)])
        self._recorders = [
            (
                each,
                meter.create_histogram(each.name, explicit_bucket_boundaries_advisory=each.bounds),
            )
            for each in histograms
        ]

    def render(self) -> str:
        """Return all metrics, one per line, as name and value."""
        for histogram, recorder in self._recorders:
            while histogram.pending:
                recorder.record(histogram.pending.popleft())
        lines = [line for metric in self._list_metrics() for line in _render_metric(metric)]
        return "\n".join(lines) + "\n"

    def _list_metrics(self) -> Iterator[Metric]:
        data = self._reader.get_metrics_data()
        if data is None:
            return
        for resource in data.resource_metrics:
            for scope in resource.scope_metrics:
                yield from scope.metrics


def _render_metric(metric: Metric) -> Iterator[str]:
    for point in metric.data.data_points:
        if isinstance(point, NumberDataPoint):
            yield f"cottonlug_{metric.name} {point.value:g}"
        elif isinstance(point, HistogramDataPoint):
            yield from _render_histogram(f"cottonlug_{metric.name}", point)


def _render_histogram(name: str, point: HistogramDataPoint) -> list[str]:
    """Return a histogram in the Prometheus text format: cumulative buckets, sum and count."""
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
