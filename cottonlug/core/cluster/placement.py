"""Choice of the upstream for a waiting task.

First the kind of upstream is chosen by the predicted end of the job, then one upstream of it. A
service whose kinds do not differ has one kind. A batch for which only some upstreams are good
enough is held for them: it is tried again when one of these gains capacity, and elsewhere once the
job would be late with them, too.

Where tasks take longer outside the rack of their data, the rack is chosen before the kind.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..ids import DomainName
from .backlog import Batch, Hold
from .capacity_index import CapacityIndex, Kind
from .crashes import StartRestriction
from .instances import Instance
from .kind_choice import find_latest_start, is_fast_scarce, split_factors
from .model import ServiceName


@dataclass(slots=True, kw_only=True)
class _Request:
    """A batch for whose next task an upstream is searched, and where."""

    batch: Batch
    service: ServiceName
    home: DomainName | None
    """The preferred failure domain."""
    now: timedelta
    needs_empty: bool


class Placement:
    """Chooses upstreams from an index of those that accept work."""

    def __init__(self, *, capacity: CapacityIndex, remote_factor: float) -> None:
        self._capacity = capacity
        self._remote_factor = remote_factor
        """How many times as long a task takes outside the rack of its data."""

    def choose(
        self,
        batch: Batch,
        service: ServiceName,
        home: DomainName | None,
        now: timedelta,
        *,
        needs_empty: bool = False,
    ) -> Instance | None:
        """Return the upstream for the next task of a batch; None if it has to wait.

        The domain `home` is preferred. For `needs_empty` see `choose_instance`.
        """
        request = _Request(
            batch=batch, service=service, home=home, now=now, needs_empty=needs_empty
        )
        if batch.restriction is not StartRestriction.NONE:
            return self._search(request, sorted(self._capacity.list_factors(service)))
        if batch.step.data_rack and self._remote_factor > 1.0:
            return self._choose_by_rack(request)
        factors = self._capacity.list_factors(service)
        if len(factors) <= 1:
            return self._search(request, factors)
        return self._choose_by_kind(request)

    def is_held_for(self, batch: Batch, instance: Instance) -> bool:
        """Return whether a held batch waits for an instance, and fits its free CPU."""
        hold = batch.hold
        return (
            hold is not None
            and batch.cpu_millis <= instance.free_cpu
            and self._capacity.get_factor(instance.info) <= hold.max_factor
            and (not hold.rack or hold.rack in instance.info.labels)
        )

    def _search(self, request: _Request, factors: Iterable[float]) -> Instance | None:
        """Return the best upstream of the first kind that has one with free capacity."""
        batch = request.batch
        for factor in factors:
            instances = self._capacity.iterate_instances(
                request.service, batch.cpu_millis, request.now, request.home, factor
            )
            found = choose_instance(
                batch, instances, is_sorted=True, needs_empty=request.needs_empty
            )
            if found is not None:
                return found
        return None

    def _choose_by_kind(self, request: _Request) -> Instance | None:
        batch = request.batch
        kinds = self._capacity.list_kinds(request.service)
        in_time, late = split_factors(batch, [kind.factor for kind in kinds], request.now)
        found = self._search(request, in_time)
        if found is not None or not late:
            return found
        usable = [factor for factor in in_time if self._has_usable(request, factor)]
        if usable and _may_be_held(batch):
            batch.hold = _build_hold(batch, usable, rack="")
            return None
        return self._search(request, late)

    def _has_usable(self, request: _Request, factor: float) -> bool:
        """Return whether any upstream of a kind could run a task of the batch, were it idle."""
        instances = self._capacity.iterate_instances(
            request.service, 0, request.now, request.home, factor
        )
        return any(_could_run(request.batch, instance) for instance in instances)

    def _choose_by_rack(self, request: _Request) -> Instance | None:
        batch, now = request.batch, request.now
        kinds = self._capacity.list_kinds(request.service)
        near = self._group_rack(request)
        in_time, _ = split_factors(batch, list(near), now)
        for factor in in_time:
            found = self._choose_near(request, near[factor])
            if found is not None:
                return found
        if not is_fast_scarce(kinds):
            remote = self._remote_factor
            found = self._search(
                request,
                [
                    kind.factor
                    for kind in kinds
                    if now <= find_latest_start(batch, kind.factor, remote)
                ],
            )
            if found is not None:
                return found
        usable = [
            factor
            for factor in in_time
            if any(_could_run(batch, instance) for instance in near[factor])
        ]
        if usable and _may_be_held(batch):
            batch.hold = _build_hold(batch, usable, rack=batch.step.data_rack)
            return None
        return self._choose_fastest(request, near, kinds)

    def _group_rack(self, request: _Request) -> dict[float, list[Instance]]:
        """Return the instances in the rack of the batch's data by the factor of their kind.

        Those of one kind come in the order of preference.
        """
        now = request.now
        rack = self._capacity.list_rack(request.service, request.batch.step.data_rack, now)
        by_factor: dict[float, list[Instance]] = {}
        for instance in sorted(rack, key=lambda each: (each.is_cold(now), each.free_cpu)):
            factor = self._capacity.get_factor(instance.info)
            by_factor.setdefault(factor, []).append(instance)
        return by_factor

    def _choose_near(self, request: _Request, instances: Iterable[Instance]) -> Instance | None:
        return choose_instance(
            request.batch, instances, is_sorted=True, needs_empty=request.needs_empty
        )

    def _choose_fastest(
        self, request: _Request, near: dict[float, list[Instance]], kinds: Sequence[Kind]
    ) -> Instance | None:
        """Return the upstream at which a late batch takes least, in the rack of its data or not."""
        choices = [(factor, factor, True) for factor in near]
        choices += [(kind.factor * self._remote_factor, kind.factor, False) for kind in kinds]
        for _, factor, is_near in sorted(choices):
            found = (
                self._choose_near(request, near[factor])
                if is_near
                else self._search(request, [factor])
            )
            if found is not None:
                return found
        return None


def _may_be_held(batch: Batch) -> bool:
    """Return whether a batch may wait; long-running tasks, which are never late, start anywhere."""
    return batch.latest_task_start != timedelta.max


def _build_hold(batch: Batch, factors: Sequence[float], *, rack: str) -> Hold:
    until = find_latest_start(batch, min(factors))
    return Hold(max_factor=max(factors), rack=rack, until=until)


def _could_run(batch: Batch, instance: Instance) -> bool:
    needs, capacity, step = batch.needs, instance.info.capacity, batch.step
    return (
        needs.cpu_millis <= capacity.cpu_millis
        and needs.memory_mb <= capacity.memory_mb
        and needs.gpus <= capacity.gpus
        and (not step.required_label or step.required_label in instance.info.labels)
    )


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
