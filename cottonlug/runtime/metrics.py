"""Metrics of a process, rendered as text on request.

The instruments of counters and gauges are observable: each reads the state when the metrics are
requested, so counting costs nothing on the paths that are counted. OpenTelemetry itself (`meters`)
is imported on the first request for metrics, which cuts a tenth off the start-up time of a host.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .meters import Meters

Values = Callable[[], dict[str, float]]
"""Reads the current values of some metrics, by their names."""

MAX_PENDING_VALUES = 100_000
"""Most recorded values that are kept until the metrics are requested; the oldest are dropped."""


@dataclass(slots=True, kw_only=True)
class Histogram:
    """A histogram, and the recorded values that have not yet been added to its instrument."""

    name: str
    bounds: Sequence[float]
    """Upper bounds of the buckets."""
    pending: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_PENDING_VALUES))


class Metrics:
    """The metrics of one process."""

    def __init__(self, *, counters: Values, gauges: Values) -> None:
        self._counters = counters
        self._gauges = gauges
        self._histograms: list[Histogram] = []
        self._meters: Meters | None = None

    def add_histogram(self, name: str, bounds: Sequence[float]) -> Callable[[float], None]:
        """Add a histogram with these upper bounds; return the function that records a value."""
        histogram = Histogram(name=name, bounds=bounds)
        self._histograms.append(histogram)
        return histogram.pending.append

    def render(self) -> str:
        """Return all metrics, one per line, as name and value."""
        if self._meters is None:
            from .meters import Meters

            self._meters = Meters(
                counters=self._counters, gauges=self._gauges, histograms=self._histograms
            )
        return self._meters.render()
