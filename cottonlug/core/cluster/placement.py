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

    An instance is one run of an upstream's process. The first criterion is whether it is in the
    rack of the task's data, then whether an order reaches it at once, then the least free CPU.
    Tasks may need many cores (14 of 32): a tight fit keeps whole upstreams free for these.

    `is_sorted` says that the instances come in the order of preference: the first one that is best
    by the first two criteria is chosen. With `needs_empty`, only one at which nothing runs is.
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
