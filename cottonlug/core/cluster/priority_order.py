"""Order of service by the priorities of queues, under severe overload of a service.

Otherwise jobs are served by urgency alone, which keeps most of them in their objective. Under
severe overload the work that is left over is that of the lowest priority. It keeps a share of the
work that is started, so that its jobs are not starved.
"""

from __future__ import annotations

from datetime import timedelta

from .backlog import Batch
from .model import ServiceName
from .overload import Overload

LOWEST_SHARE = 0.1
"""Share of the started core-milliseconds that the lowest priority keeps."""
BEGUN_RANK = 1
"""Rank of jobs that have begun: their work is wasted if the rest of them comes late."""
KEPT_RANK = 2
"""Rank of the lowest priority while it is below its share."""
FIRST_RANK = 3
"""Rank of the highest priority (0)."""


class PriorityOrder:
    """Ranks waiting batches of overloaded services; a lower rank is served first."""

    def __init__(self, *, overload: Overload) -> None:
        self._overload = overload
        self._lowest: dict[ServiceName, int] = {}
        """Lowest priority of each severely overloaded service whose queues differ in priority."""
        self._below_share: set[ServiceName] = set()
        """Services of which the lowest priority is below its share."""

    def update(self, now: timedelta) -> None:
        """Find out which services are served by priority now."""
        self._lowest.clear()
        self._below_share.clear()
        for service in self._overload.list_services():
            started = self._overload.measure_started(service, now)
            if started is None or not (started.has_priorities and started.is_severe):
                continue
            lowest = started.lowest_priority
            self._lowest[service] = lowest
            if started.by_priority[lowest] < LOWEST_SHARE * started.total:
                self._below_share.add(service)

    def find_rank(self, batch: Batch) -> int:
        """Return the rank of a batch: 0 where priorities do not matter."""
        lowest = self._lowest.get(batch.service)
        if lowest is None:
            return 0
        if batch.has_begun:
            return BEGUN_RANK
        if batch.priority >= lowest and batch.service in self._below_share:
            return KEPT_RANK
        return FIRST_RANK + batch.priority
