"""Choice of the upstream for a waiting task."""

from __future__ import annotations

from collections.abc import Iterable

from .backlog import Batch
from .instances import Instance


def choose_instance(
    batch: Batch,
    instances: Iterable[Instance],
    *,
    is_sorted: bool = False,
    needs_empty: bool = False,
) -> Instance | None:
    """Return the instance that fits a task best.

    The first criterion is nearness to its data, then whether an order reaches the instance at once,
    then the least free CPU. Tasks are wide (14 of 32 cores): a tight fit keeps whole upstreams free
    for wide ones.

    `is_sorted` says that the instances come with the least free CPU first, so that one that is best
    in all else need not be compared with those after it. With `needs_empty` nothing may run there.
    """
    best: Instance | None = None
    best_score: tuple[int, int, int] | None = None
    for instance in instances:
        if not instance.has_free_capacity(batch.needs) or not _is_allowed(batch, instance):
            continue
        if (instance.is_on_probation or needs_empty) and instance.runs:
            continue
        rack = batch.step.data_rack
        is_far = 1 if rack and rack not in instance.info.labels else 0
        score = (is_far, 0 if instance.is_listening else 1, instance.free_cpu)
        if best_score is None or score < best_score:
            best, best_score = instance, score
            if is_sorted and score[:2] == (0, 0):
                break
    return best


def _is_allowed(batch: Batch, instance: Instance) -> bool:
    step = batch.step
    if step.required_label and step.required_label not in instance.info.labels:
        return False
    if not step.max_per_upstream:
        return True
    same = sum(
        1
        for run in instance.runs.values()
        if run.task[:3] == (batch.job.id, batch.occurrence, batch.step_number)
    )
    return same < step.max_per_upstream
