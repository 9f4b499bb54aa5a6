"""Fills free room with waiting tasks, and sheds what would not be served in time."""

from __future__ import annotations

from datetime import timedelta

from .admission import Rejection, estimate_wait
from .backlog import Batch, Tier
from .crashes import THIRD_START_DELAY, EXCLUSIVE_WAIT, StartRestriction
from .forecast import LATE_FACTOR
from .life_table import InstanceTable
from .instances import Instance
from .model import JobSpec, Queue, RunNumber, ServiceName, TaskRef
from .open_job import TaskPhase
from .open_jobs import OpenJobs, find_longest_wait
from .orders import Run, RunPhase, StartOrder
from .placement import choose_life
from .records import JobRecord
from .rooms import Rooms
from .term import Term

EVACUATED = "all upstreams of the service are in evacuated failure domains"
EVACUATED_RETRY = timedelta(seconds=2)
"""An evacuation lasts from seconds to hours: often enough for the former, seldom enough for the
latter."""
NOTHING_WAITS = 1 << 62
"""More room than any upstream has: no change of one is worth looking for room again."""


class Filler:
    """Starts tasks."""

    def __init__(self, *, term: Term, instances: InstanceTable, jobs: OpenJobs) -> None:
        self._term = term
        self._instances = instances
        self._jobs = jobs
        self._rooms = Rooms(instances=instances)
        self._least_needed = 0
        """No batch for which no room was found needs less than this, in core-thousandths."""

    def fill(self, now: timedelta, changed: list[Instance] | None) -> None:
        """Start waiting tasks as long as any of them fits.

        `changed` are the lives that may have more room than before, None where that is not known:
        a batch that found no room is tried again only where one of these has enough.
        """
        for instance in changed or ():
            self._rooms.update(instance, now)
        if changed is None:
            self._rooms.forget()
        backlog = self._jobs.backlog
        if not len(backlog):
            return
        backlog.demote(now)
        if self._rooms.refresh_if_due(now):
            self._offer(None, now)
        elif backlog.has_new or _find_most(changed) >= self._least_needed:
            self._offer(changed, now)
        self._shed(now)

    def _offer(self, changed: list[Instance] | None, now: timedelta) -> None:
        """Offer room to all batches, but not those again that need more than any life that changed.

        `changed` is None where any life may have changed.
        """
        backlog = self._jobs.backlog
        if changed is None:
            self._offer_all(now)
        else:
            self._offer_changed(changed, now)
            for batch in backlog.take_new():
                self._offer_batch(batch, now)
        backlog.drop_empty()

    def _offer_all(self, now: timedelta) -> None:
        backlog = self._jobs.backlog
        backlog.take_new()
        for batch in backlog:
            self._offer_batch(batch, now)
        waiting = (batch.cpu_millis for batch in backlog if batch.waiting)
        self._least_needed = min(waiting, default=NOTHING_WAITS)

    def _offer_changed(self, changed: list[Instance], now: timedelta) -> None:
        """Offer the room of some lives to the batches in their order, until none fits any more."""
        most = _find_most(changed)
        if most < self._least_needed:
            return
        for batch in self._jobs.backlog:
            if batch.cpu_millis > most and batch.was_offered:
                continue
            if self._offer_batch(batch, now):
                most = _find_most(changed)
            if most < self._least_needed:
                return

    def _offer_batch(self, batch: Batch, now: timedelta) -> bool:
        """Start tasks of one batch as long as any fits; return whether any did."""
        batch.was_offered = True
        self._least_needed = min(self._least_needed, batch.cpu_millis)
        if self._is_held(batch, now):
            return False
        service = self._find_service(batch.job)
        if batch.cpu_millis > self._rooms.find_most(service):
            return False
        return self._fill_batch(batch, service, now)

    def _shed(self, now: timedelta) -> None:
        """Give up, at once, jobs for which there was no room while they could be of use."""
        hopeless = self._jobs.backlog.list_tier(Tier.HOPELESS)
        if not hopeless:
            return
        wait = estimate_wait(
            self._jobs.backlog.measure_work(), self._instances.measure_usable_cores(now)
        )
        for batch in hopeless:
            job = self._jobs.jobs.get(batch.job.id)
            if job is None or not batch.job.spec.best_effort:
                continue
            if job.has_begun:
                self._jobs.give_up(job, now)
            else:
                self._jobs.reject(job, "cannot be served in time", wait, now)

    def find_rejection(
        self, queue: Queue, spec: JobSpec, waited: timedelta, now: timedelta
    ) -> Rejection | None:
        """Return why a job is not taken at the moment that has waited elsewhere, or None."""
        if spec.is_timed or spec.long_running:
            return None
        if self._instances.is_service_evacuated(queue.service):
            self._term.counts.evacuated_rejections += 1
            return Rejection(reason=EVACUATED, retry_after=EVACUATED_RETRY)
        objective = self._jobs.forecast.find_objective(queue, spec.steps)
        chain = self._jobs.forecast.find_chain(queue.key, spec.steps, 0)
        latest_start = now - waited + find_longest_wait(queue, objective, chain)
        work_ms = self._jobs.backlog.measure_on_time(latest_start)
        if not work_ms and waited <= objective * LATE_FACTOR:
            # Nothing goes before it, whatever room there is.
            return None
        room = self._instances.measure_usable_cores(now)
        if room <= 0.0:
            return None
        wait = estimate_wait(work_ms, room)
        if waited + wait <= objective * LATE_FACTOR:
            return None
        return Rejection(reason="the work before it takes too long", retry_after=wait)

    def reject_evacuated(self, now: timedelta) -> None:
        """Reject, at once, what waits for services whose upstreams are all evacuated."""
        evacuated: dict[ServiceName, bool] = {}
        for job in list(self._jobs.jobs.values()):
            spec = job.record.spec
            if job.has_begun or job.is_unsure() or not spec.best_effort or spec.is_timed:
                continue
            service = self._find_service(job.record)
            if service not in evacuated:
                evacuated[service] = self._instances.is_service_evacuated(service)
            if evacuated[service]:
                self._term.counts.evacuated_rejections += 1
                self._jobs.reject(job, EVACUATED, EVACUATED_RETRY, now)

    def _find_service(self, job: JobRecord) -> ServiceName:
        """Return the service that the job's queue is sent to now."""
        queues = self._term.records.queues
        queue = queues.get(job.queue.key) if queues is not None else None
        return (queue or job.queue).service

    def _is_held(self, batch: Batch, now: timedelta) -> bool:
        """Whether the tasks of a batch had better not be started yet."""
        if batch.care is StartRestriction.NONE:
            return False
        if batch.offered_since is None:
            batch.offered_since = now
        is_early = now < batch.offered_since + THIRD_START_DELAY
        return batch.care is StartRestriction.BARRED or (
            batch.care is StartRestriction.HELD and is_early
        )

    def _needs_empty(self, batch: Batch, now: timedelta) -> bool:
        """Whether the tasks of a batch go only where nothing runs."""
        since = batch.offered_since
        if batch.care is StartRestriction.NONE or since is None:
            return False
        return now < since + EXCLUSIVE_WAIT + (
            THIRD_START_DELAY if batch.care is StartRestriction.HELD else timedelta()
        )

    def _fill_batch(self, batch: Batch, service: ServiceName, now: timedelta) -> bool:
        """Start tasks of a batch as long as any fits; return whether any did."""
        has_started = False
        job = self._jobs.jobs[batch.job.id]
        while batch.waiting:
            instances = self._rooms.iterate_from(service, batch.cpu_millis, now, job.home)
            instance = choose_life(
                batch, instances, is_in_order=True, needs_empty=self._needs_empty(batch, now)
            )
            if instance is None:
                break
            has_started = True
            self._start(batch, batch.waiting.pop(), instance, now)
        self._jobs.backlog.has_empty |= not batch.waiting
        return has_started

    def _start(self, batch: Batch, index: int, instance: Instance, now: timedelta) -> None:
        ref = TaskRef(batch.job.id, batch.occurrence, batch.number, index)
        job = self._jobs.jobs[ref.job]
        task = job.tasks[ref]
        expires_ms = instance.grant_lease(now)
        assert expires_ms is not None, "only a fenced life takes work, and its clock is known"
        known = batch.job.get_task(ref)
        last_run = max(task.run, known.last_run)
        task.run = RunNumber(max(last_run + 1, self._term.first_run))
        task.phase = TaskPhase.RUNNING
        task.instance = instance.info.id
        job.has_begun = batch.has_begun = True
        job.home = job.home or instance.info.domain
        run = Run(task=ref, run=task.run, needs=batch.needs, phase=RunPhase.STARTING, since=now)
        run.resumes = bool(known.checkpoint)
        run.is_exclusive = batch.care is not StartRestriction.NONE
        instance.add_run(run)
        self._rooms.update(instance, now)
        self._instances.mark_changed(instance)
        instance.poll_due = min(instance.poll_due, now)
        self._term.counts.starts += 1
        # A first start is routine; one beside which another run may be at work is always told.
        is_again = last_run > 0 or job.settle_at > timedelta()
        self._term.log_decision(
            "run_started_again" if is_again else "run_started",
            {
                "job": ref.job,
                "task": f"{ref.step}.{ref.place}",
                "run": task.run,
                "upstream": instance.info.id,
                "tier": batch.tier.value,
                "free_cpu": instance.free_cpu,
                "waiting": len(self._jobs.backlog),
            },
        )
        order = StartOrder(
            upstream=instance.info,
            task=ref,
            run=task.run,
            payload=batch.job.spec.payload,
            checkpoint=known.checkpoint,
            expires_ms=expires_ms,
            response_timeout=instance.response_timeout.find_limit(),
        )
        self._term.orders.append(order)


def _find_most(instances: list[Instance] | None) -> int:
    """Return the most room that any of some lives has, in core-thousandths."""
    return max((instance.free_cpu for instance in instances or ()), default=0)
