"""Starts waiting tasks where capacity is free, and sheds jobs that cannot be served in time.

The waiting tasks of one step of a job form a batch; the backlog holds the batches in the order in
which they are served. Under overload best-effort jobs, which only this host knows, are rejected or
abandoned. Durable jobs, once accepted, are in the replicated log and are served however late.

An instance is one run of an upstream's process. It accepts work only once it is fenced: it has
answered this host, so that it refuses the orders of earlier ones.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from ..clock import to_milliseconds
from .admission import Rejection, estimate_wait
from .backlog import Batch, Tier
from .batch_builder import find_max_wait
from .capacity_index import CapacityIndex
from .crashes import EXCLUSIVE_WAIT, THIRD_START_DELAY, StartRestriction
from .demands import Demand, meets_demand
from .early_refusal import EarlyRefusal
from .forecast import USEFUL_FACTOR
from .instance_table import InstanceTable
from .instances import Instance
from .model import JobSpec, Queue, ServiceName, StepSpec, TaskRef, UpstreamInfo
from .open_job import TaskPhase
from .open_jobs import OpenJobs
from .orders import Run, RunPhase, StartOrder
from .overload import Overload
from .placement import Placement
from .priority_order import PriorityOrder
from .records import JobRecord
from .run_numbers import choose_run_number
from .term import Term

ALL_EVACUATED = "all upstreams of the service are in evacuated failure domains"
EVACUATED_RETRY = timedelta(seconds=2)
"""When callers retry a job that was rejected because of evacuations. These last from seconds to
hours: this is frequent enough for the former, and rare enough for the latter."""
OBSERVATION_INTERVAL = timedelta(milliseconds=20)
"""Time between two passes over all waiting jobs, which bounds their cost under a backlog."""
MAX_STARTS_PER_ROUND = 100
"""Most tasks that one round starts. A start costs some 0.2 ms with its order, and a job may have
thousands of tasks that fit at once; keep-alives and heartbeats are answered between rounds."""
BATCHES_PER_OBSERVATION = 1_000
"""With more waiting batches, the time between these passes grows in proportion."""
MAX_OBSERVATION_INTERVAL = timedelta(milliseconds=100)
"""Longest time between two passes; an overload that is not observed for 0.2 s counts as over."""
NO_DEMAND = 1 << 62
"""CPU need, more than any upstream has, that stands for an empty backlog: no change of an upstream
then triggers another try."""
NO_RELEASE = timedelta.max
"""When held batches are released if there are none."""

_PlacementKey = tuple[ServiceName, Demand, str, timedelta, timedelta, timedelta]
"""See `_find_placement_key`."""


class Scheduler:
    """Places waiting tasks on upstreams."""

    def __init__(self, *, term: Term, instances: InstanceTable, jobs: OpenJobs) -> None:
        self._term = term
        self._instances = instances
        self._jobs = jobs
        self._capacity = CapacityIndex(instances=instances, find_factor=self._find_factor)
        self._placement = Placement(capacity=self._capacity, remote_factor=term.remote_factor)
        self._unpolled: dict[bool, int] = {}
        """Unpolled upstreams in this round, without and with those of acting leaders."""
        self._next_release = NO_RELEASE
        """No held batch may be placed elsewhere before then."""
        self._starts_left = MAX_STARTS_PER_ROUND
        """How many more tasks this round may start."""
        self._unplaceable: set[_PlacementKey] = set()
        """Batches that have found no upstream in this round, in which capacity only shrinks."""
        self._hopeless: list[Batch] = []
        """Batches that have become hopeless since the last round that tried all."""
        self._overload = Overload()
        self._priorities = PriorityOrder(overload=self._overload)
        jobs.backlog.find_rank = self._priorities.find_rank
        self._early_refusal = EarlyRefusal(
            term=term, instances=instances, jobs=jobs, overload=self._overload
        )
        self._observe_at = timedelta()
        """When the waiting tasks are observed again, to detect overload."""
        self._min_cpu_needed = 0
        """Lower bound of the CPU that a task of any waiting batch needs, in thousandths of a core;
        batches that were not tried yet may need less."""

    @property
    def is_cut_short(self) -> bool:
        """Whether the last round started as much as it may, so that another one is due at once."""
        return not self._starts_left

    def schedule(self, now: timedelta, changed: list[Instance] | None) -> None:
        """Start waiting tasks as long as any of them fits, up to `MAX_STARTS_PER_ROUND`.

        `changed` are the instances that may have gained capacity, None where that is not known:
        a batch that did not fit is tried again only where one of these has enough.
        """
        self._unpolled.clear()
        self._unplaceable.clear()
        continues = self.is_cut_short
        self._starts_left = MAX_STARTS_PER_ROUND
        for instance in changed or ():
            self._capacity.update(instance, now)
        if changed is None:
            self._capacity.invalidate()
        backlog = self._jobs.backlog
        if not len(backlog):
            self._handle_overload(now)
            return
        demoted = backlog.demote(now)
        self._overload.record_misses(demoted, now)
        self._hopeless += [batch for batch in demoted if batch.tier is Tier.HOPELESS]
        if self._capacity.refresh_if_due(now) or continues:
            self._schedule_backlog(None, now)
        elif backlog.has_new or _find_max_free_cpu(changed) >= self._min_cpu_needed:
            self._schedule_backlog(changed, now)
        if self._next_release < now:
            self._release_held(now)
        if not self.is_cut_short:
            self._shed(now)
        self._handle_overload(now)

    def _handle_overload(self, now: timedelta) -> None:
        """Observe which services are overloaded; refuse jobs early and serve by priority there."""
        if now < self._observe_at and len(self._jobs.backlog):
            return
        backlog = self._jobs.backlog
        self._observe_at = now + min(
            OBSERVATION_INTERVAL * max(1.0, len(backlog) / BATCHES_PER_OBSERVATION),
            MAX_OBSERVATION_INTERVAL,
        )
        self._overload.observe(self._jobs.backlog, now)
        self._early_refusal.refuse(now)
        self._priorities.update(now)
        self._jobs.backlog.update_ranks()

    def _schedule_backlog(self, changed: list[Instance] | None, now: timedelta) -> None:
        """Try all batches, except those that did not fit before and fit no changed instance either.

        `changed` is None where any instance may have changed.
        """
        backlog = self._jobs.backlog
        if changed is None:
            self._schedule_all(now)
        else:
            self._schedule_changed(changed, now)
            for batch in backlog.pop_new():
                if self.is_cut_short:
                    break
                self._schedule_batch(batch, now)
        backlog.drop_empty()

    def _schedule_all(self, now: timedelta) -> None:
        backlog = self._jobs.backlog
        backlog.pop_new()
        demands = self._select_fitting(backlog.demands, self._instances.by_id.values(), now)
        for batch in backlog:
            if self.is_cut_short:
                break
            # Precautions last from the first try, also where no upstream has capacity.
            if batch.demand in demands or batch.restriction is not StartRestriction.NONE:
                self._schedule_batch(batch, now)
            else:
                batch.was_tried = True
        waiting = (batch.cpu_millis for batch in backlog if batch.waiting)
        self._min_cpu_needed = min(waiting, default=NO_DEMAND)

    def _schedule_changed(self, changed: list[Instance], now: timedelta) -> None:
        """Try the batches in their order on changed instances, until none fits any more."""
        demands = self._select_fitting(self._jobs.backlog.demands, changed, now)
        if not demands:
            return
        for batch in self._jobs.backlog:
            if batch.was_tried and (
                batch.demand not in demands or not self._may_fit_any(batch, changed)
            ):
                continue
            if self._schedule_batch(batch, now):
                demands = self._select_fitting(demands, changed, now)
            if not demands or self.is_cut_short:
                return

    def _select_fitting(
        self, demands: Iterable[Demand], instances: Iterable[Instance], now: timedelta
    ) -> set[Demand]:
        """Return the demands that at least one of some instances meets."""
        accepting = [each for each in instances if self._instances.accepts_work(each, now)]
        return {
            demand for demand in demands if any(meets_demand(each, demand) for each in accepting)
        }

    def _may_fit_any(self, batch: Batch, changed: list[Instance]) -> bool:
        """Return whether a batch that waits for certain upstreams need be tried on changed ones."""
        if batch.hold is None:
            return True
        return any(self._placement.is_held_for(batch, instance) for instance in changed)

    def _release_held(self, now: timedelta) -> None:
        """Try the held batches whose jobs would be late also with the upstreams they wait for."""
        backlog = self._jobs.backlog
        self._next_release = NO_RELEASE
        for batch in backlog:
            if batch.hold is None:
                continue
            if batch.hold.until < now:
                self._schedule_batch(batch, now)
            else:
                self._next_release = min(self._next_release, batch.hold.until)
        backlog.drop_empty()

    def _schedule_batch(self, batch: Batch, now: timedelta) -> bool:
        """Try to place a batch if it may start now; return whether any of its tasks was started."""
        batch.was_tried = True
        batch.hold = None
        self._min_cpu_needed = min(self._min_cpu_needed, batch.cpu_millis)
        if self._is_delayed(batch, now):
            return False
        service = self._find_service(batch.job)
        if _find_placement_key(batch, service) in self._unplaceable:
            return False
        if batch.cpu_millis > self._capacity.find_max_free_cpu(service):
            # It fits nowhere.
            return False
        return self._start_batch(batch, service, now)

    def _shed(self, now: timedelta) -> None:
        """End best-effort jobs that found no capacity while they could still be of use."""
        hopeless = [batch for batch in self._hopeless if batch.waiting]
        self._hopeless.clear()
        if not hopeless:
            return
        wait = estimate_wait(
            self._jobs.backlog.measure_work(), self._instances.measure_usable_cores(now)
        )
        for batch in hopeless:
            job = self._jobs.jobs.get(batch.job.id)
            # The job may have ended since, and have been submitted again.
            if job is None or job.record is not batch.job or not batch.job.spec.best_effort:
                continue
            if job.has_begun:
                self._jobs.abandon(job, now)
            else:
                self._jobs.reject(job, "cannot be served in time", wait, now, is_spread=True)

    def find_rejection(
        self, queue: Queue, spec: JobSpec, waited: timedelta, now: timedelta
    ) -> Rejection | None:
        """Return why a job that has `waited` at its gateway is not accepted now, or None."""
        if spec.is_timed or spec.long_running:
            # The former begins when it is due, the latter goes before all others.
            return None
        if self._instances.is_service_evacuated(queue.service):
            self._term.counts.evacuated_rejections += 1
            return Rejection(reason=ALL_EVACUATED, retry_after=EVACUATED_RETRY)
        objective = self._jobs.forecast.find_objective(queue, spec)
        chain = self._jobs.forecast.predict_chain(queue.key, spec, 0)
        latest_start = now - waited + find_max_wait(queue, objective, chain)
        core_ms = self._jobs.backlog.measure_work_ahead(latest_start)
        if not core_ms and waited <= objective * USEFUL_FACTOR:
            # Nothing is queued ahead of it, whatever the capacity.
            return None
        cores = self._instances.measure_usable_cores(now)
        if cores <= 0.0:
            # No upstream accepts work now, and how long that lasts is not known.
            return None
        wait = estimate_wait(core_ms, cores)
        if waited + wait <= objective * USEFUL_FACTOR:
            return None
        reason = "the work before it takes too long"
        return Rejection(reason=reason, retry_after=wait, is_spread=True)

    def reject_evacuated(self, now: timedelta) -> None:
        """Reject at once the waiting jobs of services whose upstreams are all evacuated.

        Not those that may have begun, which cannot be reported as not run; durable and timed jobs
        wait until an evacuation ends.
        """
        evacuated: dict[ServiceName, bool] = {}
        for job in list(self._jobs.jobs.values()):
            spec = job.record.spec
            if job.has_begun or job.has_unknown_tasks() or not spec.best_effort or spec.is_timed:
                continue
            service = self._find_service(job.record)
            if service not in evacuated:
                evacuated[service] = self._instances.is_service_evacuated(service)
            if evacuated[service]:
                self._term.counts.evacuated_rejections += 1
                self._jobs.reject(job, ALL_EVACUATED, EVACUATED_RETRY, now)

    def _count_unpolled(self, of_acting_leaders: bool) -> int:
        """Return the number of unpolled upstreams, which is the same in a whole round."""
        if of_acting_leaders not in self._unpolled:
            self._unpolled[of_acting_leaders] = self._instances.count_unpolled(
                of_acting_leaders=of_acting_leaders
            )
        return self._unpolled[of_acting_leaders]

    def _find_factor(self, info: UpstreamInfo) -> float:
        """Return how many times as long as on the mean upstream a task takes at one."""
        return self._term.speeds.find_factor(info)

    def _find_service(self, job: JobRecord) -> ServiceName:
        """Return the service of the job's queue now, or when the job came if the queue is gone."""
        queues = self._term.records.queues
        queue = queues.get(job.queue.key) if queues is not None else None
        return (queue or job.queue).service

    def _is_delayed(self, batch: Batch, now: timedelta) -> bool:
        """Whether the start of a batch is delayed, since its tasks may crash upstreams."""
        if batch.restriction is StartRestriction.NONE:
            return False
        if batch.first_tried_at is None:
            batch.first_tried_at = now
        is_early = now < batch.first_tried_at + THIRD_START_DELAY
        return batch.restriction is StartRestriction.BARRED or (
            batch.restriction is StartRestriction.ALONE_DELAYED and is_early
        )

    def _needs_empty(self, batch: Batch, now: timedelta) -> bool:
        """Whether the tasks of a batch, which may crash upstreams, start only where nothing runs.

        After `EXCLUSIVE_WAIT` they start anywhere.
        """
        since = batch.first_tried_at
        if batch.restriction is StartRestriction.NONE or since is None:
            return False
        return now < since + EXCLUSIVE_WAIT + (
            THIRD_START_DELAY
            if batch.restriction is StartRestriction.ALONE_DELAYED
            else timedelta()
        )

    def _start_batch(self, batch: Batch, service: ServiceName, now: timedelta) -> bool:
        """Start tasks of a batch as long as any fits; return whether any was started."""
        has_started = False
        job = self._jobs.jobs[batch.job.id]
        while batch.waiting and self._starts_left:
            instance = self._placement.choose(
                batch, service, job.home, now, needs_empty=self._needs_empty(batch, now)
            )
            if instance is None:
                if batch.hold is None and _depends_on_capacity_alone(batch):
                    self._unplaceable.add(_find_placement_key(batch, service))
                break
            has_started = True
            self._starts_left -= 1
            self._start(batch, batch.waiting.pop(), instance, now)
        if batch.hold is not None:
            self._next_release = min(self._next_release, batch.hold.until)
        self._jobs.backlog.mark_if_empty(batch)
        return has_started

    def _start(self, batch: Batch, task_index: int, instance: Instance, now: timedelta) -> None:
        ref = TaskRef(batch.job.id, batch.occurrence, batch.step_number, task_index)
        job = self._jobs.jobs[ref.job]
        task = job.tasks[ref]
        expires_ms = instance.grant_lease(now)
        assert expires_ms is not None, "only a fenced instance accepts work, and its clock is known"
        known = batch.job.get_task(ref)
        last_run = max(task.run, known.last_run)
        task.run = choose_run_number(
            token=self._term.token, last=last_run, is_durable=not job.record.spec.best_effort
        )
        job.set_phase(ref, TaskPhase.RUNNING)
        task.instance = instance.info.id
        job.has_begun = batch.has_begun = True
        job.home = job.home or instance.info.domain
        run = Run(task=ref, run=task.run, needs=batch.needs, phase=RunPhase.STARTING, since=now)
        run.resumes = bool(known.checkpoint)
        run.is_exclusive = batch.restriction is not StartRestriction.NONE
        run.is_sample = _is_typical(run, batch.step, instance, now) and job.claim_sample(
            ref.step, instance.info.kind
        )
        instance.add_run(run)
        self._capacity.update(instance, now)
        self._overload.record_start(batch, now)
        self._instances.mark_changed(instance)
        instance.poll_due = min(instance.poll_due, now)
        self._term.counts.starts += 1
        # First starts are routine. A start beside which an earlier run of the task might still be
        # active has a name of its own, which is always logged.
        is_again = last_run > 0 or job.reconcile_at > timedelta()
        inputs: dict[str, str | int] = {
            "job": ref.job,
            "task": f"{ref.step}.{ref.task_index}",
            "run": task.run,
            "upstream": instance.info.id,
            "tier": batch.tier.value,
            "free_cpu": instance.free_cpu,
            "waiting": len(self._jobs.backlog),
        }
        if is_again:
            inputs["unpolled"] = self._count_unpolled(job.may_be_of_acting_leader)
            inputs["taken_ms_ago"] = to_milliseconds(now - job.taken_at)
            inputs["reconcile_ms"] = to_milliseconds(max(job.reconcile_at - now, timedelta()))
        self._term.log_decision("run_started_again" if is_again else "run_started", inputs)
        order = StartOrder(
            upstream=instance.info,
            task=ref,
            run=task.run,
            payload=batch.job.spec.payload,
            checkpoint=known.checkpoint,
            expires_ms=expires_ms,
            response_timeout=instance.response_timeout.find_timeout(),
        )
        self._term.orders.append(order)


def _find_placement_key(batch: Batch, service: ServiceName) -> _PlacementKey:
    """Return what the choice of an upstream depends on, apart from the upstreams and the time."""
    times = (batch.latest_task_start, batch.chain, batch.run_time)
    return (service, batch.demand, batch.step.data_rack, *times)


def _depends_on_capacity_alone(batch: Batch) -> bool:
    """Whether a batch finds no upstream if one with the same placement key has found none."""
    return not batch.step.max_per_upstream and batch.restriction is StartRestriction.NONE


def _is_typical(run: Run, step: StepSpec, instance: Instance, now: timedelta) -> bool:
    """Return whether the run time of a task that starts depends on the kind of upstream alone.

    It is less for tasks that resume, and more at cold upstreams and away from the task's data.
    """
    is_far = bool(step.data_rack) and step.data_rack not in instance.info.labels
    return not (run.resumes or is_far or instance.is_cold(now))


def _find_max_free_cpu(instances: list[Instance] | None) -> int:
    """Return the most free CPU that any of some instances has, in thousandths of a core."""
    return max((instance.free_cpu for instance in instances or ()), default=0)
