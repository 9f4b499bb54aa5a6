"""Choice of the kind of upstream for a batch, by the predicted end of its job.

Load pattern that this is made for: a third of the upstreams takes more than twice as long as the
others. Jobs with long tasks end in time at fast upstreams only, those with short ones at any, but
only just: a slow upstream leaves them hardly any time to wait. So every job takes the fastest kind
with free capacity, and one that would be late elsewhere waits for it.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

from .backlog import Batch
from .capacity_index import Kind

SCARCE_SHARE = 1 / 3
"""Share of the fast capacity; while less than this is free, no job runs outside the rack of its
data as long as it can wait for that."""


def find_latest_start(batch: Batch, factor: float, remote_factor: float = 1.0) -> timedelta:
    """Return the latest start of a batch with which its job is expected to meet the objective.

    All its tasks take `factor` times as long as on the mean upstream, those of this batch
    `remote_factor` times longer still.
    """
    if batch.latest_task_start == timedelta.max:
        return timedelta.max
    delay = batch.chain * (factor - 1.0)
    if remote_factor != 1.0:
        delay += batch.run_time * (factor * (remote_factor - 1.0))
    return batch.latest_task_start - delay


def is_fast_scarce(kinds: Sequence[Kind]) -> bool:
    """Return whether little capacity is free at kinds that are no slower than the mean."""
    fast = [kind for kind in kinds if kind.factor <= 1.0]
    free_cpu = sum(kind.free_cpu for kind in fast)
    return free_cpu < SCARCE_SHARE * sum(kind.total_cpu for kind in fast)


def split_factors(
    batch: Batch, factors: Sequence[float], now: timedelta
) -> tuple[list[float], list[float]]:
    """Return the kinds at which the job of a batch ends in time, and the others, fastest first."""
    in_time: list[float] = []
    late: list[float] = []
    for factor in sorted(factors):
        (in_time if now <= find_latest_start(batch, factor) else late).append(factor)
    return in_time, late
