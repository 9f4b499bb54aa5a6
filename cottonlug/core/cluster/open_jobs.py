"""Jobs that have not ended, as one coordinator knows them, and the backlog of their tasks.

The coordinator is the host that schedules jobs now: the elected leader, or an acting leader (a
gateway that schedules best-effort jobs where no leader can be reached). Durable jobs are in the
replicated log. Best-effort jobs are known to the coordinator alone: the gateway of the caller waits
for their end, and submits them again if it must turn to another coordinator.

A job consists of steps, a step of tasks with equal requirements; a timed job repeats all its steps,
once in each occurrence. A run is one try to carry out a task. Tasks are unknown while another
coordinator may have started them at an upstream that has not answered this one.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterable
from datetime import timedelta

from ..clock import to_milliseconds
from ..ids import UpstreamId
from .admission import Rejection
from .backlog import Backlog
from .batch_builder import build_batch
from .crash_tracker import CrashTracker
from .crashes import StartRestriction
from .forecast import Forecast
from .instance_table import InstanceTable
from .job_table import JobTable
from .model import JobId, JobState, RunEndKind, RunEndReport, RunNumber, TaskRef
from .open_job import OpenJob, TaskPhase
from .records import JobRecord, end_job
from .term import Term
from .throughput import Throughput
from .validation import MAX_TASKS

ENDED_JOB_RETENTION = timedelta(seconds=10)
"""How long the end of a best-effort job is remembered, to answer a late second submission."""
MAX_QUEUED_AT_ONCE = 16
"""Most steps that are queued as soon as they are ready. The start of a job, or the end of one task,
may make thousands ready; the others wait for their turn."""
MAX_QUEUED_PER_ROUND = 250
"""Most steps that are queued in their turn in one round, some 10 ms of work."""
MAX_OPENED_PER_ROUND = 2_000
"""Tasks of jobs of the records after which a round opens no further job, some 15 ms of work."""
MAX_OPEN_TASKS = MAX_TASKS
"""Unfinished tasks of a timed job up to which further occurrences are opened. Many may be overdue
at once, and each task costs time and memory from then on."""
_COUNTED_ENDS = (RunEndKind.DONE, RunEndKind.FAILED)
"""Ends that the record of a task counts, so that it may not start again after them."""


class OpenJobs:
    """Open jobs by id, and the backlog of their tasks."""

    def __init__(
        self, *, term: Term, instances: InstanceTable, crash_tracker: CrashTracker
    ) -> None:
        self.crash_tracker = crash_tracker
        self.jobs = JobTable(
            unopened=[record for record in term.records.jobs.values() if record.is_open],
            open_record=self._open_record,
        )
        self.backlog = Backlog()
        self.forecast = Forecast(term.speeds)
        self.throughput = Throughput()
        self.ended: dict[JobId, tuple[JobState, timedelta]] = {}
        """How best-effort jobs have ended lately, and when; not those rejected or abandoned."""
        self.rejections: dict[JobId, Rejection] = {}
        """Jobs that were rejected lately, of which nothing has run, and why."""
        self.closed_while_running: dict[JobId, timedelta] = {}
        """Jobs that were closed while runs of them were still active, and when: if one is submitted
        again, it adopts the runs that go on."""
        self._closed_after_begin: dict[JobId, timedelta] = {}
        """Best-effort jobs that were ended lately after they had begun, and when: if one is
        submitted again, it cannot be reported as not run."""
        self.abandoned: set[JobId] = set()
        """Jobs that were ended lately as of no more use, although some tasks may have run."""
        self.may_have_unknown_tasks = True
        """Whether tasks may have become unknown since this was last checked."""
        self._durable: set[JobId] = set()
        """Open durable jobs."""
        self._ready: deque[tuple[JobId, int, int]] = deque()
        """Steps that wait for nothing but their turn to be queued, by the numbers of the occurrence
        and of the step."""
        self._timed: dict[JobId, OpenJob] = {}
        """Timed jobs with occurrences that were not opened yet."""
        self._term = term
        self._instances = instances
        self._forget_at = term.began_at + ENDED_JOB_RETENTION
        self._now = term.began_at
        """When the last round began."""
        self.begin_round(term.began_at)

    def begin_round(self, now: timedelta) -> None:
        """Open some of the jobs of the records, and queue some of the steps that are ready."""
        self._now = now
        self.jobs.open_next(MAX_OPENED_PER_ROUND)
        self._queue_ready()

    @property
    def has_more_to_do(self) -> bool:
        """Whether the next round has jobs to open or steps to queue."""
        return bool(self._ready or self.jobs.list_unopened())

    def _open_record(self, record: JobRecord) -> None:
        """Open a job that was in the records when the term began."""
        self.open(
            record,
            TaskPhase.UNKNOWN,
            self._now,
            self.find_age(record),
            reconcile_at=self._term.earlier_leases_lapsed_at,
        )

    def find_age(self, record: JobRecord) -> timedelta:
        """Return how long ago a durable job arrived, 0 at the least: clocks of hosts may differ."""
        age_ms = max(0, self._term.wall_ms() - record.accepted_ms)
        return timedelta(milliseconds=age_ms)

    def open(
        self,
        record: JobRecord,
        phase: TaskPhase,
        now: timedelta,
        age: timedelta,
        *,
        may_have_begun: bool = False,
        reconcile_at: timedelta = timedelta(),
    ) -> None:
        """Open a job that arrived `age` ago.

        `phase` is UNKNOWN where another coordinator may have begun its tasks, otherwise QUEUED.
        `may_have_begun` tells whether its gateway knows of an earlier try. For `reconcile_at`, see
        `OpenJob`.
        """
        objective = self.forecast.find_objective(record.queue, record.spec)
        job = OpenJob(
            record=record,
            opened_at=now - age,
            taken_at=now,
            objective=objective,
            reconcile_at=reconcile_at,
        )
        self.jobs.add(job)
        if not record.spec.best_effort:
            self._durable.add(record.id)
        self._term.log_decision(
            "job_taken",
            {
                "job": record.id,
                "queue": record.queue.name,
                "tasks": record.spec.task_count,
                "objective_ms": to_milliseconds(objective),
                "phase": phase.value,
                "has_begun": int(may_have_begun),
                "reconcile_ms": to_milliseconds(max(reconcile_at - now, timedelta())),
                "waited_ms": to_milliseconds(age),
                "waiting": len(self.backlog),
            },
        )
        job.has_begun = record.has_begun
        if record.spec.is_timed:
            self._timed[record.id] = job
            self._open_due(job, phase, now)
        else:
            self._open_occurrence(job, 0, phase, job.opened_at)

    def open_due(self, phase: TaskPhase, now: timedelta) -> None:
        """Open the occurrences of timed jobs that are due; `phase` is as in `open`."""
        for job in list(self._timed.values()):
            self._open_due(job, phase, now)

    def open_through(self, job: OpenJob, occurrence: int, now: timedelta) -> None:
        """Open occurrences up to one that an earlier leader, by its own clock, has begun."""
        while job.next_occurrence <= min(occurrence, job.record.spec.occurrences - 1):
            self._open_occurrence(job, job.next_occurrence, TaskPhase.UNKNOWN, now)

    def _open_due(self, job: OpenJob, phase: TaskPhase, now: timedelta) -> None:
        spec = job.record.spec
        if spec.best_effort and now < job.reconcile_at:
            # The records do not tell how far another coordinator has come.
            phase = TaskPhase.UNKNOWN
        size = spec.task_count // spec.occurrences
        # A call looks at no more than this many, also where their tasks are done already.
        for _ in range(max(1, MAX_OPEN_TASKS // size)):
            has_room = not job.tasks or len(job.tasks) + size <= MAX_OPEN_TASKS
            late_ms = self._term.wall_ms() - spec.find_due_ms(job.next_occurrence)
            if job.next_occurrence == spec.occurrences or not has_room or late_ms < 0:
                break
            due_at = now - timedelta(milliseconds=late_ms)
            self._open_occurrence(job, job.next_occurrence, phase, due_at)
        if job.next_occurrence == spec.occurrences:
            del self._timed[job.record.id]

    def _open_occurrence(
        self, job: OpenJob, occurrence: int, phase: TaskPhase, due_at: timedelta
    ) -> None:
        job.next_occurrence = occurrence + 1
        if phase is not TaskPhase.QUEUED:
            job.add_occurrence(occurrence, phase, due_at)
            self.may_have_unknown_tasks = True
            return
        job.add_occurrence(occurrence, TaskPhase.BLOCKED, due_at)
        self.unblock(job, occurrence, range(len(job.record.spec.steps)))

    def unblock(self, job: OpenJob, occurrence: int, numbers: Iterable[int]) -> None:
        """Queue the blocked tasks of the steps that wait for no earlier one.

        If these are many, most wait for their turn in the next rounds.
        """
        ready = [each for each in numbers if job.is_step_ready(occurrence, each)]
        for number in ready[:MAX_QUEUED_AT_ONCE]:
            self._queue_blocked(job, occurrence, number)
        later = ready[MAX_QUEUED_AT_ONCE:]
        self._ready.extend((job.record.id, occurrence, number) for number in later)

    def _queue_ready(self) -> None:
        """Queue the steps that wait for their turn, as many as one round may."""
        for _ in range(min(len(self._ready), MAX_QUEUED_PER_ROUND)):
            id, occurrence, number = self._ready.popleft()
            job = self.jobs.get(id)
            # The job may have ended, or another coordinator may have begun it.
            if job is not None and job.is_step_ready(occurrence, number):
                self._queue_blocked(job, occurrence, number)

    def _queue_blocked(self, job: OpenJob, occurrence: int, number: int) -> None:
        self.queue(job, occurrence, number, job.list_blocked(occurrence, number))

    def queue(self, job: OpenJob, occurrence: int, number: int, task_indexes: list[int]) -> None:
        """Queue tasks of step `number` of an occurrence; those that may crash upstreams separately.

        `task_indexes` are their indexes within the step. Tasks of which a run may still be active,
        or has an end that is yet to be recorded, are queued after that.
        """
        refs = (TaskRef(job.record.id, occurrence, number, each) for each in task_indexes)
        task_indexes = [
            ref.task_index
            for ref in refs
            if not (self.await_active_run(job, ref) or _await_record(job, ref))
        ]
        if not task_indexes:
            return
        if not self.crash_tracker.may_suspect_any():
            self._add_batch(job, occurrence, number, task_indexes, StartRestriction.NONE)
            return
        by_restriction: dict[StartRestriction, list[int]] = {}
        for task_index in task_indexes:
            restriction = self.crash_tracker.find_restriction(
                TaskRef(job.record.id, occurrence, number, task_index)
            )
            by_restriction.setdefault(restriction, []).append(task_index)
        for restriction, alike in by_restriction.items():
            self._add_batch(job, occurrence, number, alike, restriction)

    def await_active_run(self, job: OpenJob, ref: TaskRef) -> bool:
        """Make a run of a task that may be active its current run; False if there is none.

        No other run of the task begins before that one has ended, even if it is being stopped.
        """
        active = self._instances.active_runs.find_latest(ref)
        if active is None:
            return False
        job.follow_run(ref, active.run, active.upstream)
        job.has_begun = True
        return True

    def _add_batch(
        self,
        job: OpenJob,
        occurrence: int,
        number: int,
        task_indexes: list[int],
        restriction: StartRestriction,
    ) -> None:
        for task_index in task_indexes:
            job.set_phase(TaskRef(job.record.id, occurrence, number, task_index), TaskPhase.QUEUED)
        if restriction is StartRestriction.NONE and self.backlog.join(
            job.record.id, occurrence, number, task_indexes, has_begun=job.has_begun
        ):
            return
        batch = build_batch(
            job,
            occurrence,
            number,
            task_indexes,
            restriction=restriction,
            forecast=self.forecast,
            start_delay=self.throughput.estimate_start_delay(len(task_indexes)),
        )
        self.backlog.add(batch)

    def requeue(self, ref: TaskRef, run: RunNumber, upstream: UpstreamId) -> None:
        """Queue a task again whose run at this upstream is surely over without a result.

        Nothing is done if that is no longer its current run.
        """
        job = self.jobs.get(ref.job)
        task = job.tasks.get(ref) if job is not None else None
        if job is None or task is None or not task.is_current_run(run, upstream):
            return
        if task.may_run_elsewhere:
            job.set_phase(ref, TaskPhase.UNKNOWN)
            self.may_have_unknown_tasks = True
            return
        self.queue(job, ref.occurrence, ref.step, [ref.task_index])

    def update_restrictions(self, tasks: Iterable[TaskRef]) -> None:
        """Queue waiting tasks anew, with the restrictions that apply now.

        Called when it has become known whether a lost upstream crashed under them.
        """
        for ref in tasks:
            job = self.jobs.get(ref.job)
            task = job.tasks.get(ref) if job is not None else None
            if job is not None and task is not None and task.phase is TaskPhase.QUEUED:
                self.backlog.remove_task(ref)
                self.queue(job, ref.occurrence, ref.step, [ref.task_index])

    def fail_quarantined(self, refs: Iterable[TaskRef], now: timedelta) -> None:
        """Fail the jobs of tasks that are quarantined, since upstreams have crashed under them."""
        for ref in refs:
            counts = self.crash_tracker.get_counts(ref)
            job = self.jobs.get(ref.job)
            if job is None or ref not in job.tasks or not counts.is_quarantined:
                continue
            self.crash_tracker.quarantined[job.record.queue.key] += 1
            self._term.counts.crashing_tasks += 1
            self._term.log_decision(
                "task_crashes_upstreams",
                {
                    "job": ref.job,
                    "task": f"{ref.step}.{ref.task_index}",
                    "crashes": counts.crashes,
                    "losses": counts.losses,
                    "unanswered": counts.unanswered,
                },
            )
            if job.record.is_open:
                # The records hold durable jobs only, and have ended them with the same command.
                end_job(job.record, JobState.FAILED, self._term.wall_ms())
            self.close_if_ended(ref.job, now)

    def mark_recording(self, end: RunEndReport, upstream: UpstreamId) -> None:
        """Have a task whose run has ended at this upstream wait until that end is recorded."""
        job = self.find_job_of(end.task)
        if job is None:
            return
        # A task that is added only later would not wait for the record.
        self.open_through(job, end.task.occurrence, self._now)
        task = job.tasks.get(end.task)
        if task is None:
            return
        task.unrecorded_ends.add((upstream, end.number))
        is_current = task.is_current_run(end.run, upstream)
        # A run that was abandoned with its lease may have succeeded, or used up an attempt.
        is_counted_after_all = task.phase is TaskPhase.QUEUED and end.how in _COUNTED_ENDS
        if is_counted_after_all:
            self.backlog.remove_task(end.task)
        if is_current or is_counted_after_all or task.phase is TaskPhase.UNKNOWN:
            task.may_run_elsewhere = task.may_run_elsewhere or task.phase is TaskPhase.UNKNOWN
            job.set_phase(end.task, TaskPhase.RECORDING)
            task.run = RunNumber(max(task.run, end.run))

    def mark_unknown(self, job: OpenJob) -> None:
        """Mark the tasks of a job as unknown: another coordinator may have begun them.

        Queued and blocked tasks must wait from now on, active ones only if they have to begin
        again. Another coordinator may have come further with the steps of the job.
        """
        self.backlog.drop_job(job.record.id)
        for ref, task in job.tasks.items():
            if task.phase in (TaskPhase.QUEUED, TaskPhase.BLOCKED):
                job.set_phase(ref, TaskPhase.UNKNOWN)
            task.may_run_elsewhere = True

    def queue_unknown(self, job: OpenJob) -> None:
        """Queue the unknown tasks of a job: no run of them can be active any more."""
        released = list(job.unknown)
        for ref in released:
            job.tasks[ref].may_run_elsewhere = False
            job.set_phase(ref, TaskPhase.BLOCKED)
        steps: dict[int, set[int]] = {}
        for ref in released:
            steps.setdefault(ref.occurrence, set()).add(ref.step)
        for occurrence, numbers in sorted(steps.items()):
            self.unblock(job, occurrence, sorted(numbers))

    def close_if_ended(self, id: JobId, now: timedelta) -> None:
        """Close a job whose record says that it has ended, and have its runs stopped."""
        job = self.jobs.get(id)
        if job is None or job.record.is_open:
            return
        self.jobs.remove(id)
        self._durable.discard(id)
        self._timed.pop(id, None)
        if job.record.spec.best_effort and job.record.state is not JobState.CANCELLED:
            # A job whose gateway no longer waits may be submitted again, and must then run again.
            self.ended[id] = (job.record.state, now)
        elif job.record.spec.best_effort and job.has_begun:
            self._closed_after_begin[id] = now
        self.backlog.drop_job(id)
        for ref in job.tasks:
            if self._instances.request_stop_of_all(ref):
                self.closed_while_running[id] = now
        if job.record.spec.best_effort and job.record.state is not JobState.COMPLETED:
            # Its caller may send it again, to another coordinator, which waits until the leases of
            # these runs have ended.
            self._instances.mark_disputed(id)
        took_ms = to_milliseconds(now - job.opened_at)
        objective_ms = to_milliseconds(job.objective)
        if job.record.state is not JobState.COMPLETED:
            name = "job_given_up"
        elif took_ms > objective_ms:
            name = "job_late"
        else:
            name = "job_ended"
        self._term.log_decision(
            name,
            {
                "job": id,
                "state": job.record.state.value,
                "took_ms": took_ms,
                "objective_ms": objective_ms,
            },
        )
        self._term.on_job_end(id)

    def reject(
        self,
        job: OpenJob,
        reason: str,
        wait: timedelta,
        now: timedelta,
        *,
        is_spread: bool = False,
    ) -> None:
        """End a job of which nothing has run; its caller is told to retry after `wait`.

        `is_spread` is as in `Rejection`.
        """
        self._term.counts.rejected_jobs += 1
        self.rejections[job.record.id] = Rejection(
            reason=reason, retry_after=wait, is_spread=is_spread
        )
        self._term.log_decision(
            "job_rejected", {"job": job.record.id, "wait_ms": to_milliseconds(wait)}
        )
        end_job(job.record, JobState.CANCELLED, self._term.wall_ms())
        self.close_if_ended(job.record.id, now)

    def abandon(self, job: OpenJob, now: timedelta) -> None:
        """End a job that may have run in part and would end too late to be of any use."""
        self._term.counts.given_up_jobs += 1
        self.abandoned.add(job.record.id)
        end_job(job.record, JobState.CANCELLED, self._term.wall_ms())
        self.close_if_ended(job.record.id, now)

    def forget_ended(self, now: timedelta) -> None:
        """Forget jobs that ended longer than `ENDED_JOB_RETENTION` ago; done that often."""
        if now < self._forget_at:
            return
        self._forget_at = now + ENDED_JOB_RETENTION
        limit = now - ENDED_JOB_RETENTION
        self.ended = {id: end for id, end in self.ended.items() if end[1] >= limit}
        # Callers are told of these two as soon as the job has ended.
        self.rejections.clear()
        self.abandoned.clear()
        self.closed_while_running = {
            id: at for id, at in self.closed_while_running.items() if at >= limit
        }
        self._closed_after_begin = {
            id: at for id, at in self._closed_after_begin.items() if at >= limit
        }

    def find_ended(self, id: JobId) -> JobState | None:
        """Return how a best-effort job ended a short while ago, here or elsewhere, or None."""
        ended = self.ended.get(id)
        if ended is not None:
            return ended[0]
        return JobState.CANCELLED if id in self._term.records.cancelled else None

    def has_begun_before(self, id: JobId) -> bool:
        """Whether a best-effort job was begun here lately, and ended before it was complete."""
        return id in self._closed_after_begin

    def find_job_of(self, ref: TaskRef) -> OpenJob | None:
        """Return the open job that has a task; None if it is not open, or has no such task."""
        job = self.jobs.get(ref.job)
        has_task = job is not None and job.record.spec.find_step(ref) is not None
        return job if has_task else None

    def is_open(self, id: JobId) -> bool:
        """Whether a job is open here."""
        return id in self.jobs

    def is_ending(self, id: JobId) -> bool:
        """Whether no task still waits for its start, so that the job may end at any moment."""
        job = self.jobs.get(id)
        return job is not None and id not in self._timed and job.is_ending()

    def find_state(self, job: JobRecord) -> JobState:
        """Return the state of a durable job as callers see it."""
        if job.state.is_final:
            return job.state
        opened = self.jobs.get(job.id)
        has_begun = opened is not None and opened.has_begun
        return JobState.RUNNING if has_begun else JobState.QUEUED

    def count_pending(self, host: str, prefix: str) -> int:
        """Return how many jobs have not begun in the queue with this host and path prefix."""
        opened = (job.record for job in self.jobs.values() if not job.has_begun)
        unopened = (record for record in self.jobs.list_unopened() if not record.has_begun)
        waiting = itertools.chain(opened, unopened)
        return sum(record.queue.key == (host, prefix) for record in waiting)

    def has_durable_jobs(self) -> bool:
        """Whether a durable job is open."""
        return bool(self._durable or self.jobs.list_unopened())

    def count_unsure(self) -> int:
        """Return how many jobs have unknown tasks, also those that were not opened yet."""
        unopened = len(self.jobs) - len(self.jobs.values())
        return unopened + sum(job.has_unknown_tasks() for job in self.jobs.values())

    def count_jobs(self) -> int:
        """Return how many jobs are open."""
        return len(self.jobs)


def _await_record(job: OpenJob, ref: TaskRef) -> bool:
    """Have a task wait until all listed ends of its runs are recorded; False if they are."""
    if not job.tasks[ref].unrecorded_ends:
        return False
    job.set_phase(ref, TaskPhase.RECORDING)
    return True
