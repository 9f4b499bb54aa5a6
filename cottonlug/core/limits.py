"""Capacity and time limits of one dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits of one dispatcher; counts are in tasks.

    An upstream's session ends if the lease runs out before the upstream's next request. A park time
    is how long a request may wait for its reply. `busy_lease` and `busy_park` apply to sessions
    with outstanding starts (sent and without a result), `idle_lease` and `idle_park` to others.
    A lost connection shortens the lease to `suspect_grace`. A job of which no task was sent fails
    after `unrunnable_grace` if none of the connected upstreams could ever run one of its tasks.
    """

    max_queued_tasks: int = 200_000
    idle_lease: timedelta = timedelta(seconds=45)
    busy_lease: timedelta = timedelta(seconds=4)
    suspect_grace: timedelta = timedelta(seconds=2)
    idle_park: timedelta = timedelta(seconds=30)
    busy_park: timedelta = timedelta(seconds=1)
    unrunnable_grace: timedelta = timedelta(seconds=10)
