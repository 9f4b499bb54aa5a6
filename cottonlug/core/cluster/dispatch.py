"""What one leader decides while its term lasts: which task starts where, what is stopped and seen.

The record is the replicated truth; all that is kept here besides can be learnt again. The program
round it delivers events and then takes orders to carry out and commands to propose.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ..clock import to_milliseconds
from ..ids import UpstreamId
from .admission import Inflow, Rejection, estimate_wait, measure_room
from .backlog import Backlog, Batch, Tier
from .commands import (
    AcceptJob,
    AddUpstream,
    CancelJob,
    Command,
    NoteEnds,
    RemoveUpstreams,
    SetDraining,
)
from .forecast import Forecast
from .guards import MOST_SET_ASIDE, Health
from .lives import LeaseTerms, Life
from .model import (
    EndKind,
    EndReport,
    Heartbeat,
    JobId,
    JobSpec,
    JobState,
    LookReply,
    Needs,
    Queue,
    RunNumber,
    RunReport,
    ServiceName,
    TaskRef,
    UpstreamInfo,
)
from .orders import (
    CallFailure,
    LookOrder,
    Order,
    Run,
    RunPhase,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from .placement import choose_life
from .records import JobRecord, Records, end_job, note_end

LOOK_WAIT = timedelta(milliseconds=300)
"""How long a look may be parked; a lease (1 s) then outlasts the change to another leader."""
LOOK_RETRY = timedelta(milliseconds=100)
STOP_RETRY = timedelta(milliseconds=200)
SILENT_AFTER = timedelta(seconds=10)
"""Without heartbeats for that long, and with nothing running, a life is forgotten."""
AVOID_AFTER_REFUSAL = timedelta(milliseconds=300)
RUNS_PER_TERM = 4_096
"""Run numbers of a later term are higher than all of an earlier one."""
ORPHAN_GRACE = timedelta(milliseconds=1_500)
"""How long a new leader lets runs of unknown jobs go on: gateways submit their jobs again."""
KEEP_ENDED = timedelta(seconds=10)
"""How long the end of a job that need not be kept is remembered, for a late second submission."""
STALL_EVERY = timedelta(milliseconds=50)
STALL_FACTOR = 3.0
"""Declared times scatter by 0.4 on a logarithmic scale: three times the mean is past 2.7 sigma."""
STALL_SLACK = timedelta(milliseconds=150)
"""A run's progress is learnt with the next look, so that a young one says little."""
STALL_PERCENT = 40
"""A run that is this far is left to finish."""
MOST_MOVES = 2
LATE_FACTOR = 3
"""An answer after more than this many times the objective is worth nothing (the users' rules)."""
LONGEST_LIST = 500
"""A look lists at most that many ends; a full list may hide more."""


NO_RUN = RunNumber(0)


class TaskPhase(Enum):
    """Where an unfinished task stands for this leader."""

    BLOCKED = "blocked"
    """Waits for earlier steps."""
    QUEUED = "queued"
    RUNNING = "running"
    NOTING = "noting"
    """Its run has ended; the record has yet to take note."""
    UNKNOWN = "unknown"
    """An earlier leader may have started it."""


@dataclass(slots=True, kw_only=True)
class Task:
    """An unfinished task."""

    phase: TaskPhase
    life: UpstreamId | None = None
    run: RunNumber = NO_RUN
    moves: int = 0
    """How often it was stopped to be started elsewhere."""


@dataclass(slots=True, kw_only=True)
class OpenJob:
    """A job that has not ended, and its tasks."""

    record: JobRecord
    opened_at: timedelta
    objective: timedelta
    """How long the job may take, from `opened_at`."""
    tasks: dict[TaskRef, Task] = field(default_factory=dict)
    has_begun: bool = False
    gateway: str = ""
    """Address of the gateway that waits for its end, if one does."""
    settle_at: timedelta = timedelta()
    """Until then its unknown tasks may run at an upstream out of sight."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """Who waits for a job, and whether another host may have begun it."""

    gateway: str
    may_have_begun: bool
    settle_after: timedelta
    """How long what another host began may go on at an upstream out of sight."""


@dataclass(slots=True, kw_only=True)
class DispatchCounts:
    """What a leader has done, for metrics and the dump."""

    starts: int = 0
    started: int = 0
    refused_starts: int = 0
    unknown_starts: int = 0
    stops: int = 0
    looks: int = 0
    failed_looks: int = 0
    lapsed_runs: int = 0
    ends: int = 0
    rejected_jobs: int = 0
    moved_runs: int = 0


Note = Callable[[str, dict[str, str | int]], None]
"""Called for each decision worth a log line, with its name and inputs."""
WallTime = Callable[[], int]
"""Return the wall-clock time in milliseconds."""


class Dispatch:
    """The decisions of one leader."""

    def __init__(
        self,
        *,
        records: Records,
        term: int,
        terms: LeaseTerms,
        now: timedelta,
        wall_ms: WallTime,
        note: Note,
        on_end: Callable[[JobId], None],
    ) -> None:
        self.records = records
        self.counts = DispatchCounts()
        self.is_fenced_off = False
        """Whether an upstream has taken orders under a higher token: this term is over there."""
        self.lives: dict[UpstreamId, Life] = {}
        self.backlog = Backlog()
        self._forecast = Forecast()
        self._inflow = Inflow()
        self._health: dict[UpstreamId, Health] = {}
        self._term = term
        self._terms = terms
        self._note = note
        self._on_end = on_end
        self._wall_ms = wall_ms
        self._jobs: dict[JobId, OpenJob] = {}
        self._orders: list[Order] = []
        self._proposals: list[Command] = []
        self._joining: set[UpstreamId] = set()
        self._unseen: set[UpstreamId] = set()
        self._settled_at = now + terms.lapse_after
        self._is_settled = False
        self._has_unsure_jobs = False
        self._by_address: dict[str, UpstreamId] = {}
        self._forget_at = now + KEEP_ENDED
        self._orphans_until = now + ORPHAN_GRACE
        self._orphan_ends: dict[JobId, list[EndReport]] = {}
        self.rejections: dict[JobId, Rejection] = {}
        """Why jobs were given up that had not begun; the program takes them out."""
        self._ended: dict[JobId, tuple[JobState, timedelta]] = {}
        for record in records.upstreams.values():
            self._add_life(record.info, record.noted, record.draining, now)
            self._unseen.add(record.info.id)
        for job in records.jobs.values():
            if job.is_open:
                self._open_job(job, TaskPhase.UNKNOWN, now)

    # What comes in

    def take_heartbeat(self, heartbeat: Heartbeat, now: timedelta) -> None:
        """Learn that an upstream lives, and whether it is leaving."""
        life = self.lives.get(heartbeat.info.id)
        if life is None:
            if heartbeat.info.id not in self._joining:
                self._joining.add(heartbeat.info.id)
                self._proposals.append(AddUpstream(info=heartbeat.info))
            return
        if heartbeat.sequence < life.sequence:
            return
        life.sequence = heartbeat.sequence
        life.heard_at = now
        if heartbeat.clock_ms is not None:
            life.take_clock(heartbeat.clock_ms, now)
        if heartbeat.draining:
            self.take_leave(life.info.id)
        if not life.is_fenced and not life.look_is_out:
            life.look_due = now

    def take_leave(self, upstream: UpstreamId) -> None:
        """Send no more work to an upstream."""
        life = self.lives.get(upstream)
        if life is not None and not life.draining:
            life.draining = True
            self._proposals.append(SetDraining(upstream=upstream))
            self._note("upstream_leaving", {"upstream": upstream})

    def submit(self, record: JobRecord, submission: Submission, now: timedelta) -> None:
        """Take a job that need not be kept; what another host started of it goes on."""
        # What runs at an upstream out of sight ends when its lease does.
        is_unsure = submission.may_have_begun and bool(self._unseen_now())
        phase = TaskPhase.UNKNOWN if is_unsure or not self._is_settled else TaskPhase.QUEUED
        self.rejections.pop(record.id, None)
        self._open_job(record, phase, now)
        job = self._jobs[record.id]
        job.gateway = submission.gateway
        job.has_begun = job.has_begun or submission.may_have_begun
        if is_unsure:
            job.settle_at = now + submission.settle_after
            self._has_unsure_jobs = True
        for end in self._orphan_ends.pop(record.id, []):
            note_end(record, end, self._wall_ms())
            self._take_noted_end(end, now)
        for life in self.lives.values():
            for run in [each for each in life.runs.values() if each.task.job == record.id]:
                self._adopt_orphan(job, life, run)

    def abandon(self, id: JobId, now: timedelta) -> None:
        """Give up a job that need not be kept, since nobody waits for it any more."""
        job = self._jobs.get(id)
        if job is not None and job.record.spec.best_effort:
            end_job(job.record, JobState.CANCELLED, self._wall_ms())
            self._close_if_ended(id, now)

    def abandon_silent(self, is_heard: Callable[[str], bool], now: timedelta) -> None:
        """Give up the jobs of gateways that are not heard: they may have gone to another host."""
        for job in list(self._jobs.values()):
            if job.gateway and not is_heard(job.gateway):
                self._note("gateway_silent", {"gateway": job.gateway, "job": job.record.id})
                self.abandon(job.record.id, now)

    def take_applied(self, command: Command, now: timedelta) -> None:
        """Act on a command that the record has just carried out."""
        if isinstance(command, AcceptJob):
            job = self.records.jobs.get(command.job)
            if job is not None and job.is_open and job.id not in self._jobs:
                self._open_job(job, TaskPhase.QUEUED, now)
        elif isinstance(command, NoteEnds):
            self._take_noted(command, now)
        elif isinstance(command, CancelJob):
            self._close_if_ended(command.job, now)
        elif isinstance(command, AddUpstream):
            self._joining.discard(command.info.id)
            if command.info.id not in self.lives:
                self._add_life(command.info, 0, False, now)
        elif isinstance(command, RemoveUpstreams):
            for upstream in command.upstreams:
                self._drop_life(upstream)

    def take_start_answer(
        self,
        order: StartOrder,
        outcome: StartOutcome,
        clock_ms: int | None,
        now: timedelta,
    ) -> None:
        """Learn what became of a start."""
        life = self.lives.get(order.upstream.id)
        if life is None:
            return
        if clock_ms is not None:
            life.take_clock(clock_ms, now)
        run = life.runs.get((order.task, order.run))
        if outcome is StartOutcome.FENCED:
            self.is_fenced_off = True
        if outcome is StartOutcome.LIFE_ENDED:
            self._end_life(life, now)
        if run is None or run.phase is not RunPhase.STARTING:
            return
        if outcome is StartOutcome.STARTED:
            self.counts.started += 1
            run.phase = RunPhase.RUNNING
            run.since = now
            return
        if outcome is StartOutcome.UNKNOWN:
            self.counts.unknown_starts += 1
            run.phase = RunPhase.UNSURE
            run.stop_wanted = True
            life.avoid_until = now + AVOID_AFTER_REFUSAL
            return
        self.counts.refused_starts += 1
        self._note(
            "start_refused",
            {"upstream": life.info.id, "job": order.task.job, "reason": outcome.value},
        )
        life.avoid_until = now + AVOID_AFTER_REFUSAL
        life.remove_run((order.task, order.run))
        self._requeue(order.task, order.run, now)

    def take_stop_answer(
        self, order: StopOrder, failure: CallFailure | None, now: timedelta
    ) -> None:
        """Learn whether a stop has arrived."""
        life = self.lives.get(order.upstream.id)
        if life is None:
            return
        if failure is CallFailure.FENCED:
            self.is_fenced_off = True
        if failure is CallFailure.LIFE_ENDED:
            self._end_life(life, now)
            return
        run = life.runs.get((order.task, order.run))
        if run is None:
            return
        run.stop_is_out = False
        if failure is None:
            run.stopped_at = now
        else:
            run.stop_due = now + STOP_RETRY

    def take_look(
        self,
        order: LookOrder,
        reply: LookReply | CallFailure,
        sent_at: timedelta,
        now: timedelta,
    ) -> None:
        """Learn what runs and what has ended at an upstream."""
        life = self.lives.get(order.upstream.id)
        if life is None:
            return
        life.look_is_out = False
        if isinstance(reply, CallFailure):
            self._take_failed_look(life, reply, now)
            return
        life.failed_looks = 0
        life.contact_at = now
        life.look_due = now
        life.confirmed = max(life.confirmed, order.last_seen)
        life.take_clock(reply.clock_ms, now)
        if not life.is_fenced:
            life.is_fenced = True
            self._note("upstream_adopted", {"upstream": life.info.id})
        self._unseen.discard(life.info.id)
        self._take_ends(life, reply.ended, now)
        for report in reply.running:
            self._take_running(life, report, now)
        if len(reply.ended) < LONGEST_LIST:
            self._drop_vanished(life, reply, sent_at, now)

    def tick(self, now: timedelta) -> None:
        """Do everything that is due and fill free room; take orders and proposals afterwards."""
        self._settle(now)
        for life in list(self.lives.values()):
            self._lapse(life, now)
            self._move_stalled(life, now)
            self._stop_runs(life, now)
        self._fill(now)
        for life in self.lives.values():
            self._look(life, now)
        self._forget_silent(now)
        if now >= self._forget_at:
            self._forget_ended(now)

    def take_orders(self) -> list[Order]:
        """Return what is to be sent to upstreams."""
        orders, self._orders = self._orders, []
        return orders

    def take_proposals(self) -> list[Command]:
        """Return what is to be put into the log."""
        proposals, self._proposals = self._proposals, []
        return proposals

    # What is asked

    def find_ended(self, id: JobId) -> JobState | None:
        """Return how a job that need not be kept ended a short while ago."""
        ended = self._ended.get(id)
        return ended[0] if ended is not None else None

    def is_open(self, id: JobId) -> bool:
        """Whether a job is under way here."""
        return id in self._jobs

    def is_ending(self, id: JobId) -> bool:
        """Whether all that is left of a job runs or has ended, so that it may end at any moment."""
        job = self._jobs.get(id)
        last = (TaskPhase.RUNNING, TaskPhase.NOTING)
        return job is not None and all(task.phase in last for task in job.tasks.values())

    def find_state(self, job: JobRecord) -> JobState:
        """Return a job's state as callers see it."""
        if job.state.is_final:
            return job.state
        opened = self._jobs.get(job.id)
        has_begun = opened is not None and opened.has_begun
        return JobState.RUNNING if has_begun else JobState.QUEUED

    def count_pending(self, host: str, prefix: str) -> int:
        """Return how many jobs of a queue have had no start yet."""
        return sum(
            1
            for job in self._jobs.values()
            if not job.has_begun and job.record.queue.key == (host, prefix)
        )

    def count_jobs(self) -> int:
        """Return how many jobs are open."""
        return len(self._jobs)

    # Jobs

    def _open_job(self, record: JobRecord, phase: TaskPhase, now: timedelta) -> None:
        objective = self._forecast.find_objective(record.queue, record.spec.steps)
        job = OpenJob(record=record, opened_at=now, objective=objective)
        self._jobs[record.id] = job
        if phase is TaskPhase.QUEUED:
            self._count_inflow(record, now)
        self._note(
            "job_taken",
            {
                "job": record.id,
                "queue": record.queue.name,
                "tasks": record.task_count,
                "objective_ms": to_milliseconds(objective),
                "phase": phase.value,
                "waiting": self.backlog.count_batches(),
            },
        )
        for ref in record.list_refs():
            task = record.get_task(ref)
            if not task.is_done:
                job.tasks[ref] = Task(phase=phase, run=RunNumber(task.last_run))
        job.has_begun = bool(record.done_count) or any(
            task.last_run for task in record.tasks.values()
        )
        if phase is TaskPhase.QUEUED:
            for task_state in job.tasks.values():
                task_state.phase = TaskPhase.BLOCKED
            self._unblock(job, now)

    def _count_inflow(self, record: JobRecord, now: timedelta) -> None:
        """Count the work of a new job; what is submitted again has been counted before."""
        for step in record.spec.steps:
            predicted = self._forecast.predict(record.queue.key, step)
            cores = step.count * step.needs.cpu_millis / 1000
            self._inflow.take(predicted / timedelta(milliseconds=1) * cores, now)

    def _unblock(self, job: OpenJob, now: timedelta) -> None:
        """Queue the tasks of steps whose earlier steps are done."""
        for number, step in enumerate(job.record.spec.steps):
            if not all(job.record.is_step_done(earlier) for earlier in step.depends_on):
                continue
            blocked = [
                ref.place
                for ref, task in job.tasks.items()
                if ref.step == number and task.phase is TaskPhase.BLOCKED
            ]
            self._queue(job, number, blocked, now)

    def _queue(self, job: OpenJob, number: int, indexes: list[int], now: timedelta) -> None:
        if not indexes:
            return
        step = job.record.spec.steps[number]
        for index in indexes:
            job.tasks[TaskRef(job.record.id, 0, number, index)].phase = TaskPhase.QUEUED
        queue = job.record.queue
        chain = self._forecast.find_chain(queue.key, job.record.spec.steps, number)
        predicted_ms = self._forecast.predict(queue.key, step) / timedelta(milliseconds=1)
        batch = Batch(
            job=job.record,
            number=number,
            step=step,
            latest_start=job.opened_at + job.objective - chain,
            last_use=job.opened_at + job.objective * LATE_FACTOR - chain,
            work_ms=predicted_ms * step.needs.cpu_millis / 1000,
            waiting=indexes,
        )
        self.backlog.add(batch)

    def _requeue(self, ref: TaskRef, run: RunNumber, now: timedelta) -> None:
        """Queue a task again whose run is surely over without an end."""
        job = self._jobs.get(ref.job)
        task = job.tasks.get(ref) if job is not None else None
        if job is None or task is None or task.phase is not TaskPhase.RUNNING or task.run != run:
            return
        self._queue(job, ref.step, [ref.place], now)

    def _close_if_ended(self, id: JobId, now: timedelta) -> None:
        job = self._jobs.get(id)
        if job is None or job.record.is_open:
            return
        del self._jobs[id]
        if job.record.spec.best_effort and job.record.state is not JobState.CANCELLED:
            # A job that was given up may be submitted again, and then runs again.
            self._ended[id] = (job.record.state, now)
        self.backlog.drop_job(id)
        for ref, task in job.tasks.items():
            if task.phase is TaskPhase.RUNNING and task.life is not None:
                self._want_stop(task.life, ref, task.run)
        took_ms = to_milliseconds(now - job.opened_at)
        objective_ms = to_milliseconds(job.objective)
        name = "job_ended" if job.record.state is JobState.COMPLETED else "job_given_up"
        name = "job_late" if name == "job_ended" and took_ms > objective_ms else name
        self._note(
            name,
            {
                "job": id,
                "state": job.record.state.value,
                "took_ms": took_ms,
                "objective_ms": objective_ms,
            },
        )
        self._on_end(id)

    def _forget_ended(self, now: timedelta) -> None:
        self._forget_at = now + KEEP_ENDED
        limit = now - KEEP_ENDED
        self._ended = {id: end for id, end in self._ended.items() if end[1] >= limit}
        self.rejections.clear()
        if now >= self._orphans_until:
            self._orphan_ends.clear()

    def _want_stop(self, upstream: UpstreamId, ref: TaskRef, run: RunNumber) -> None:
        life = self.lives.get(upstream)
        found = life.runs.get((ref, run)) if life is not None else None
        if found is not None:
            found.stop_wanted = True

    # Ends

    def _take_ends(self, life: Life, ended: tuple[EndReport, ...], now: timedelta) -> None:
        new = tuple(end for end in ended if end.number > max(life.proposed, life.noted))
        if not new:
            return
        life.proposed = new[-1].number
        self.counts.ends += len(new)
        kept: list[EndReport] = []
        for end in new:
            run = life.remove_run((end.task, end.run))
            if run is not None:
                self._judge(life, run, end, now)
            self._mark_noting(end)
            if end.task.job in self.records.jobs:
                kept.append(end)
            else:
                self._note_here(end, now)
        if not kept:
            life.noted = max(life.noted, life.proposed)
            return
        command = NoteEnds(
            upstream=life.info.id,
            through=life.proposed,
            ends=tuple(kept),
            at_ms=self._wall_ms(),
        )
        self._proposals.append(command)

    def _judge(self, life: Life, run: Run, end: EndReport, now: timedelta) -> None:
        """Learn from the end of a run how fast its kind is, and how well its upstream."""
        health = self._get_health(life)
        job = self._jobs.get(end.task.job)
        if job is None or run.is_orphan:
            return
        step = job.record.spec.steps[end.task.step]
        taken = now - run.since
        self._note(
            "run_ended",
            {
                "job": end.task.job,
                "task": f"{end.task.step}.{end.task.place}",
                "upstream": life.info.id,
                "how": end.how.value,
                "took_ms": to_milliseconds(taken),
                "expected_ms": to_milliseconds(self._forecast.predict(job.record.queue.key, step)),
            },
        )
        if end.how is EndKind.DONE:
            ratio = taken / self._forecast.predict(job.record.queue.key, step)
            self._forecast.learn(job.record.queue.key, step, taken)
            if health.take_done(ratio, now):
                self._note("upstream_slow", {"upstream": life.info.id})
        elif end.how is EndKind.FAILED and health.take_failure(now):
            self._note("upstream_failing", {"upstream": life.info.id})

    def _move_stalled(self, life: Life, now: timedelta) -> None:
        """Stop runs that stand still or are far too slow, so that they start elsewhere."""
        if life.is_over or now < life.stall_due:
            return
        life.stall_due = now + STALL_EVERY
        for run in life.runs.values():
            job = self._jobs.get(run.task.job)
            if job is None or run.stop_wanted or run.phase is not RunPhase.RUNNING:
                continue
            task = job.tasks.get(run.task)
            if task is None or task.moves >= MOST_MOVES:
                continue
            step = job.record.spec.steps[run.task.step]
            limit = self._forecast.predict(job.record.queue.key, step) * STALL_FACTOR
            if now - run.since < limit + STALL_SLACK or run.percent >= STALL_PERCENT:
                continue
            task.moves += 1
            self.counts.moved_runs += 1
            run.stop_wanted = True
            self._note(
                "run_stalled",
                {"upstream": life.info.id, "job": run.task.job, "percent": run.percent},
            )
            self._get_health(life).take_stall(now)

    def _mark_noting(self, end: EndReport) -> None:
        job = self._jobs.get(end.task.job)
        task = job.tasks.get(end.task) if job is not None else None
        if task is None:
            return
        is_current = task.phase is TaskPhase.RUNNING and task.run == end.run
        if is_current or task.phase is TaskPhase.UNKNOWN:
            task.phase = TaskPhase.NOTING
            task.run = RunNumber(max(task.run, end.run))

    def _note_here(self, end: EndReport, now: timedelta) -> None:
        """Take note of an end that need not be kept."""
        job = self._jobs.get(end.task.job)
        if job is not None:
            note_end(job.record, end, self._wall_ms())
            self._take_noted_end(end, now)
        elif now < self._orphans_until:
            self._orphan_ends.setdefault(end.task.job, []).append(end)

    def _take_noted(self, command: NoteEnds, now: timedelta) -> None:
        life = self.lives.get(command.upstream)
        if life is not None:
            life.noted = max(life.noted, command.through)
            life.look_due = now
        for end in command.ends:
            self._take_noted_end(end, now)

    def _take_noted_end(self, end: EndReport, now: timedelta) -> None:
        job = self._jobs.get(end.task.job)
        if job is None:
            return
        if not job.record.is_open:
            self._close_if_ended(end.task.job, now)
            return
        job.has_begun = True
        task = job.tasks.get(end.task)
        if task is None:
            return
        if job.record.get_task(end.task).is_done:
            # A run that was given up may have ended as done before its lease did.
            if task.phase is TaskPhase.RUNNING and task.life is not None:
                self._want_stop(task.life, end.task, task.run)
            elif task.phase is TaskPhase.QUEUED:
                self._unqueue(end.task)
            del job.tasks[end.task]
            if job.record.is_step_done(end.task.step):
                self._unblock(job, now)
        elif task.phase is TaskPhase.NOTING:
            self._queue(job, end.task.step, [end.task.place], now)

    def _unqueue(self, ref: TaskRef) -> None:
        for batch in self.backlog:
            if batch.job.id == ref.job and batch.number == ref.step and ref.place in batch.waiting:
                batch.waiting.remove(ref.place)

    # Runs

    def _take_running(self, life: Life, report: RunReport, now: timedelta) -> None:
        key = (report.task, report.run)
        run = life.runs.get(key)
        if run is not None:
            run.percent = report.percent
            if run.phase is not RunPhase.RUNNING:
                run.phase = RunPhase.RUNNING
            return
        job = self._jobs.get(report.task.job)
        record = job.record if job is not None else self.records.jobs.get(report.task.job)
        steps = record.spec.steps if record is not None else ()
        is_known = report.task.step < len(steps)
        run = Run(
            task=report.task,
            run=report.run,
            needs=steps[report.task.step].needs if is_known else Needs(),
            phase=RunPhase.RUNNING,
            since=now,
            percent=report.percent,
            is_orphan=record is None,
        )
        life.add_run(run)
        # An earlier leader may have renewed its lease until the term began.
        life.lapse_at = max(life.lapse_at, now + self._terms.lapse_after)
        if job is not None:
            self._adopt(job, life, run)
        elif not run.is_orphan or now >= self._orphans_until:
            run.stop_wanted = True

    def _adopt_orphan(self, job: OpenJob, life: Life, run: Run) -> None:
        """Take over a run whose job has just become known."""
        life.remove_run((run.task, run.run))
        steps = job.record.spec.steps
        if run.task.step < len(steps):
            run.needs = steps[run.task.step].needs
        run.is_orphan = False
        life.add_run(run)
        self._adopt(job, life, run)

    def _adopt(self, job: OpenJob, life: Life, run: Run) -> None:
        """Let a run go on that this leader did not start, or stop it where that cannot be."""
        task = job.tasks.get(run.task)
        waits = (TaskPhase.UNKNOWN, TaskPhase.QUEUED)
        if task is None or task.phase not in waits:
            run.stop_wanted = True
            return
        # One that is being stopped holds its task, too: no other run of it may begin until it ends.
        if task.phase is TaskPhase.QUEUED:
            self._unqueue(run.task)
        task.phase = TaskPhase.RUNNING
        task.life = life.info.id
        task.run = run.run
        job.has_begun = True

    def _drop_vanished(
        self, life: Life, reply: LookReply, sent_at: timedelta, now: timedelta
    ) -> None:
        """Give up runs that were stopped before this look was sent and are not there."""
        there = {(report.task, report.run) for report in reply.running}
        for key, run in list(life.runs.items()):
            is_stopped = run.stopped_at is not None and run.stopped_at <= sent_at
            if is_stopped and key not in there:
                life.remove_run(key)
                self._requeue(run.task, run.run, now)

    def _stop_runs(self, life: Life, now: timedelta) -> None:
        if life.is_over:
            return
        for run in life.runs.values():
            if run.is_orphan and now >= self._orphans_until:
                run.stop_wanted = True
            wanted = run.stop_wanted and run.stopped_at is None and not run.stop_is_out
            if wanted and now >= run.stop_due and run.phase is not RunPhase.STARTING:
                run.stop_is_out = True
                self.counts.stops += 1
                order = StopOrder(upstream=life.info, task=run.task, run=run.run)
                self._orders.append(order)

    def _lapse(self, life: Life, now: timedelta) -> None:
        """Give up all runs of a life whose leases have surely ended without an answer."""
        if not life.runs or now < life.lapse_at:
            return
        # A run cannot outlive the lease, whatever the last looks said.
        self._note("lease_lapsed", {"upstream": life.info.id, "runs": len(life.runs)})
        life.is_fenced = False
        self._give_up_runs(life, now)

    def _give_up_runs(self, life: Life, now: timedelta) -> None:
        for key, run in list(life.runs.items()):
            self.counts.lapsed_runs += 1
            life.remove_run(key)
            self._requeue(run.task, run.run, now)

    # Placement

    def _fill(self, now: timedelta) -> None:
        if not len(self.backlog):
            return
        self._shed(now)
        by_service = self._find_working(now)
        for batch in self.backlog:
            lives = by_service.get(self._find_service(batch.job), [])
            self._fill_batch(batch, lives, now)
        self.backlog.drop_empty()

    def _find_working(self, now: timedelta) -> dict[ServiceName, list[Life]]:
        """Return the lives that take work, by service, without those set aside."""
        by_service: dict[ServiceName, list[Life]] = {}
        for life in self.lives.values():
            if life.takes_work(now):
                by_service.setdefault(life.info.service, []).append(life)
        for service, lives in by_service.items():
            well = [life for life in lives if not self._get_health(life).is_set_aside(now)]
            if len(well) >= len(lives) * (1.0 - MOST_SET_ASIDE):
                by_service[service] = well
        return by_service

    def _get_health(self, life: Life) -> Health:
        return self._health.setdefault(life.info.id, Health())

    def _shed(self, now: timedelta) -> None:
        """Give up, at once, jobs not begun that will not be served while that is of use."""
        moved = self.backlog.demote(now)
        if not moved:
            return
        room = self._measure_room(now)
        rate = self._inflow.find_rate(now)
        for batch in moved:
            wait = estimate_wait(self.backlog.measure_late(batch.last_use), rate, room)
            is_lost = batch.tier is Tier.HOPELESS or now + wait > batch.last_use
            job = self._jobs.get(batch.job.id)
            if job is None or job.has_begun or not is_lost or not batch.job.spec.best_effort:
                continue
            self._reject(job, "cannot be served in time", wait, now)

    def _measure_room(self, now: timedelta) -> float:
        """Return the cores to reckon with; at the beginning of a term, also those not seen yet."""
        is_new = now < self._orphans_until
        return measure_room(
            life
            for life in self.lives.values()
            if life.takes_work(now)
            or (is_new and not (life.is_fenced or life.draining or life.is_over))
        )

    def _reject(self, job: OpenJob, reason: str, wait: timedelta, now: timedelta) -> None:
        """End a job of which nothing has run, and tell its caller when to come back."""
        self.counts.rejected_jobs += 1
        self.rejections[job.record.id] = Rejection(reason=reason, retry_after=wait)
        self._note("job_rejected", {"job": job.record.id, "wait_ms": to_milliseconds(wait)})
        end_job(job.record, JobState.CANCELLED, self._wall_ms())
        self._close_if_ended(job.record.id, now)

    def find_rejection(self, queue: Queue, spec: JobSpec, now: timedelta) -> Rejection | None:
        """Return why a job is not taken at the moment, or None."""
        room = self._measure_room(now)
        if room <= 0.0:
            return None
        objective = self._forecast.find_objective(queue, spec.steps)
        chain = self._forecast.find_chain(queue.key, spec.steps, 0)
        work_ms = self.backlog.measure_on_time(now + objective - chain)
        wait = estimate_wait(work_ms, 0.0, room)
        if wait <= objective * LATE_FACTOR:
            return None
        return Rejection(reason="the work before it takes too long", retry_after=wait)

    def _find_service(self, job: JobRecord) -> ServiceName:
        """Return the service that the job's queue is sent to now."""
        configuration = self.records.configuration
        if configuration is not None:
            for queue in configuration.queues:
                if queue.key == job.queue.key:
                    return queue.service
        return job.queue.service

    def _fill_batch(self, batch: Batch, lives: list[Life], now: timedelta) -> None:
        while batch.waiting:
            life = choose_life(batch, lives)
            if life is None:
                return
            self._start(batch, batch.waiting.pop(), life, now)

    def _start(self, batch: Batch, index: int, life: Life, now: timedelta) -> None:
        ref = TaskRef(batch.job.id, 0, batch.number, index)
        job = self._jobs[ref.job]
        task = job.tasks[ref]
        expires_ms = life.grant(now)
        assert expires_ms is not None, "only a fenced life takes work, and its clock is known"
        last_run = max(task.run, batch.job.get_task(ref).last_run)
        task.run = RunNumber(max(last_run + 1, self._term * RUNS_PER_TERM))
        task.phase = TaskPhase.RUNNING
        task.life = life.info.id
        job.has_begun = True
        run = Run(task=ref, run=task.run, needs=batch.needs, phase=RunPhase.STARTING, since=now)
        life.add_run(run)
        life.look_due = min(life.look_due, now)
        self.counts.starts += 1
        self._note(
            "run_started",
            {
                "job": ref.job,
                "task": f"{ref.step}.{ref.place}",
                "run": task.run,
                "upstream": life.info.id,
                "tier": batch.tier.value,
                "free_cpu": life.free_cpu,
                "waiting": self.backlog.count_batches(),
            },
        )
        order = StartOrder(
            upstream=life.info,
            task=ref,
            run=task.run,
            payload=batch.job.spec.payload,
            checkpoint=batch.job.get_task(ref).checkpoint,
            expires_ms=expires_ms,
        )
        self._orders.append(order)

    # Looks

    def _look(self, life: Life, now: timedelta) -> None:
        if life.look_is_out or life.is_over or now < life.look_due:
            return
        if life.proposed > life.noted:
            return
        has_news = life.noted > life.confirmed
        if life.is_fenced and not life.runs and not has_news:
            return
        expires_ms = life.grant(now) if life.runs else None
        is_calm = life.is_fenced and life.failed_looks == 0 and not self._awaits_stop(life)
        wait = LOOK_WAIT if life.runs and is_calm else timedelta()
        life.look_is_out = True
        self.counts.looks += 1
        order = LookOrder(
            upstream=life.info, last_seen=life.noted, expires_ms=expires_ms, wait=wait
        )
        self._orders.append(order)

    def _awaits_stop(self, life: Life) -> bool:
        return any(run.phase is RunPhase.UNSURE for run in life.runs.values())

    def _take_failed_look(self, life: Life, failure: CallFailure, now: timedelta) -> None:
        self.counts.failed_looks += 1
        if failure is CallFailure.FENCED:
            self.is_fenced_off = True
        if failure is CallFailure.LIFE_ENDED:
            self._end_life(life, now)
            return
        life.failed_looks += 1
        life.look_due = now + LOOK_RETRY * min(life.failed_looks, 10)

    # Lives

    def _add_life(self, info: UpstreamInfo, noted: int, draining: bool, now: timedelta) -> None:
        life = Life(
            info=info,
            terms=self._terms,
            noted=noted,
            proposed=noted,
            draining=draining,
            heard_at=now,
            look_due=now,
        )
        self.lives[info.id] = life
        earlier = self.lives.get(self._by_address.get(info.address, info.id))
        self._by_address[info.address] = info.id
        if earlier is not None and earlier.info.id != info.id:
            # Only an answer shows which of the two lives holds the address now.
            earlier.look_due = now

    def _end_life(self, life: Life, now: timedelta) -> None:
        """A later life holds the address: nothing of this one can run any more."""
        if life.is_over:
            return
        life.is_over = True
        self._unseen.discard(life.info.id)
        self._note("upstream_gone", {"upstream": life.info.id, "runs": len(life.runs)})
        self._give_up_runs(life, now)
        self._proposals.append(RemoveUpstreams(upstreams=(life.info.id,)))

    def _drop_life(self, upstream: UpstreamId) -> None:
        life = self.lives.pop(upstream, None)
        self._health.pop(upstream, None)
        self._unseen.discard(upstream)
        if life is not None and self._by_address.get(life.info.address) == upstream:
            del self._by_address[life.info.address]

    def _forget_silent(self, now: timedelta) -> None:
        for life in self.lives.values():
            heard_at = max(life.heard_at or timedelta(), life.contact_at or timedelta())
            if life.is_over or life.runs or now - heard_at < SILENT_AFTER:
                continue
            life.is_over = True
            self._note("upstream_silent", {"upstream": life.info.id})
            self._proposals.append(RemoveUpstreams(upstreams=(life.info.id,)))

    # The beginning of a term

    def _settle(self, now: timedelta) -> None:
        """Once nothing unknown can run any more, queue what an earlier leader left open."""
        if not self._is_settled and (not self._unseen or now >= self._settled_at):
            self._is_settled = True
            self._has_unsure_jobs = True
            self._note("term_settled", {"term": self._term, "unseen": len(self._unseen)})
        if not self._is_settled or not self._has_unsure_jobs:
            return
        self._has_unsure_jobs = False
        for job in self._jobs.values():
            if now >= job.settle_at:
                self._queue_unknown(job, now)
            elif any(task.phase is TaskPhase.UNKNOWN for task in job.tasks.values()):
                self._has_unsure_jobs = True

    def _queue_unknown(self, job: OpenJob, now: timedelta) -> None:
        for task in job.tasks.values():
            if task.phase is TaskPhase.UNKNOWN:
                task.phase = TaskPhase.BLOCKED
        self._unblock(job, now)

    def _unseen_now(self) -> list[Life]:
        """Return the lives that may run something that nobody here knows of."""
        return [life for life in self.lives.values() if not life.is_fenced and not life.is_over]
