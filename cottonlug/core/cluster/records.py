"""The replicated state: jobs, their run ends, the known upstreams and the configuration.

Every control host applies the same commands in the same order, so nothing here may depend on a
clock or on randomness. Times come from the commands: wall-clock times in milliseconds that the
proposing host has read. Only durable jobs are replicated. An acting leader (a gateway that
schedules where no leader can be reached) applies commands to a state of its own, without the log.
"""

from __future__ import annotations

import msgspec

from ..ids import UpstreamId
from .cancelled_jobs import CancelledJob, CancelledJobs
from .commands import (
    AcceptJob,
    AddUpstream,
    CancelJob,
    Command,
    CordonUpstreams,
    DoubtCapacities,
    ForgetJobs,
    RecordCrash,
    RecordRunEnds,
    RecordSpeeds,
    RemoveUpstreams,
    ResizeUpstream,
    SetConfiguration,
    SetDraining,
    SetEvacuation,
    UncordonUpstream,
)
from .crashes import (
    NO_ACTIVE_TASKS,
    NO_CRASHES,
    ONE_CRASH,
    ONE_LOSS,
    ONE_UNANSWERED,
    SUSPECT_RETENTION_MS,
    ActiveTasks,
    CrashCounts,
    LostTasks,
    SuspectRecord,
)
from .evacuations import EvacuationRecord, Evacuations
from .instance_ids import find_start_ms, get_upstream_name
from .model import (
    Configuration,
    JobId,
    JobSpec,
    JobState,
    Queue,
    RunEndKind,
    RunEndReport,
    TaskRef,
    UpstreamInfo,
    Value,
)
from .queues import QueueIndex
from .speed_records import SpeedRecords
from .speeds import ServiceSpeeds


class TaskRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Stored state of one task."""

    is_done: bool = False
    failed_runs: int = 0
    failed_run_numbers: list[int] = []
    """Numbers of the failed runs that were counted. An upstream that was forgotten and joins again
    lists ends once more that were recorded, but not confirmed to it."""
    last_run: int = 0
    """The highest number of a run whose end was recorded."""
    checkpoint: str = ""
    """The last checkpoint that an ended run reported; the next run resumes from it."""


_NEW_TASK = TaskRecord()
"""Stands for tasks without a record; never changed."""


class JobRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Stored state of one job; the payload is dropped when the job ends."""

    id: JobId
    queue: Queue
    """Its queue as configured when the job was accepted."""
    spec: JobSpec
    accepted_ms: int
    state: JobState = JobState.QUEUED
    ended_ms: int = 0
    tasks: dict[str, TaskRecord] = {}
    """Tasks with ended runs, by `OCCURRENCE.STEP.INDEX`."""
    done_count: int = 0
    """Number of tasks that are done."""

    @property
    def is_open(self) -> bool:
        """Whether the job has not ended."""
        return not self.state.is_final

    @property
    def has_begun(self) -> bool:
        """Whether a run of a task of the job has ended, so that it has certainly begun."""
        return bool(self.done_count) or any(task.last_run for task in self.tasks.values())

    def get_task(self, ref: TaskRef) -> TaskRecord:
        """Return the record of a task, for reading only."""
        return self.tasks.get(_build_task_key(ref), _NEW_TASK)

    def get_or_add_task(self, ref: TaskRef) -> TaskRecord:
        """Return the record of a task for changing, adding it if necessary."""
        return self.tasks.setdefault(_build_task_key(ref), TaskRecord())


class UpstreamRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A known instance of an upstream: one run of its process."""

    info: UpstreamInfo
    recorded_through: int = msgspec.field(name="noted", default=0)
    """Number of its last run end that is recorded; the upstream numbers them from 1."""
    draining: bool = False
    """Whether it is leaving, so that nothing is started there."""
    is_cordoned: bool = False
    """Whether no leader has a run there, nor may start one before the cordon is lifted."""
    sequence: int = 0
    """Sequence number of the heartbeat that reported the capacity; older heartbeats do not change
    it."""
    is_capacity_doubted: bool = False
    """Whether it has missed a heartbeat since then, which may have reported a change."""
    lost_tasks: ActiveTasks = msgspec.field(name="lost", default=NO_ACTIVE_TASKS)
    """Tasks that were active when it became unreachable, kept until it answers again."""


class RecordsSnapshot(Value, frozen=True):
    """The whole state as a snapshot stores it."""

    configuration: Configuration | None
    jobs: tuple[JobRecord, ...]
    upstreams: tuple[UpstreamRecord, ...]
    suspects: tuple[SuspectRecord, ...] = ()
    evacuations: tuple[EvacuationRecord, ...] = ()
    speeds: tuple[ServiceSpeeds, ...] = ()
    cancelled: tuple[CancelledJob, ...] = ()


_decoder = msgspec.json.Decoder(RecordsSnapshot)


class Records:
    """The state machine of the replicated log."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.queues: QueueIndex | None = None
        self.jobs: dict[JobId, JobRecord] = {}
        self.upstreams: dict[UpstreamId, UpstreamRecord] = {}
        self.suspects: dict[TaskRef, SuspectRecord] = {}
        """Tasks under which upstreams have ended; also those of jobs that are not replicated."""
        self.evacuations = Evacuations()
        self.speeds = SpeedRecords()
        self.cancelled = CancelledJobs()
        """Cancelled jobs that are not in `jobs`."""

    def apply(self, command: Command) -> None:
        """Apply one committed command; applying it again changes nothing."""
        if isinstance(command, RecordRunEnds):
            self._record_run_ends(command)
        elif isinstance(command, AcceptJob):
            self._accept(command)
        elif isinstance(command, CancelJob):
            self._cancel(command)
        elif isinstance(command, ForgetJobs):
            for job in command.jobs:
                self.jobs.pop(job, None)
        elif isinstance(command, AddUpstream):
            record = UpstreamRecord(info=command.info, sequence=command.sequence)
            self.upstreams.setdefault(command.info.id, record)
        elif isinstance(command, ResizeUpstream):
            self._resize(command)
        elif isinstance(command, DoubtCapacities):
            for upstream in command.upstreams:
                if upstream in self.upstreams:
                    self.upstreams[upstream].is_capacity_doubted = True
        elif isinstance(command, RemoveUpstreams):
            for upstream in command.upstreams:
                self.upstreams.pop(upstream, None)
        elif isinstance(command, SetDraining):
            if command.upstream in self.upstreams:
                self.upstreams[command.upstream].draining = True
        elif isinstance(command, CordonUpstreams):
            for upstream in command.upstreams:
                self._set_cordoned(upstream, True)
            for each in command.lost:
                self._record_lost_tasks(each)
        elif isinstance(command, RecordCrash):
            self._record_crash(command)
        elif isinstance(command, UncordonUpstream):
            self._set_cordoned(command.upstream, False)
        elif isinstance(command, SetEvacuation):
            self.evacuations.apply(command)
        elif isinstance(command, RecordSpeeds):
            self.speeds.apply(command)
        else:
            self._configure(command)

    def encode(self) -> str:
        """Return the whole state as the data of a snapshot."""
        saved = RecordsSnapshot(
            configuration=self.configuration,
            jobs=tuple(self.jobs.values()),
            upstreams=tuple(self.upstreams.values()),
            suspects=tuple(self.suspects.values()),
            evacuations=self.evacuations.records,
            speeds=self.speeds.recorded,
            cancelled=self.cancelled.records,
        )
        return msgspec.json.encode(saved).decode()

    def restore(self, data: str) -> None:
        """Replace the whole state by that of a snapshot; empty data gives the initial state."""
        saved = (
            _decoder.decode(data)
            if data
            else RecordsSnapshot(configuration=None, jobs=(), upstreams=())
        )
        self.activate_configuration(saved.configuration)
        self.jobs = {job.id: job for job in saved.jobs}
        self.upstreams = {record.info.id: record for record in saved.upstreams}
        self.suspects = {suspect.task: suspect for suspect in saved.suspects}
        self.evacuations = Evacuations(saved.evacuations)
        self.speeds = SpeedRecords(saved.speeds)
        self.cancelled = CancelledJobs(saved.cancelled)

    def find_leaving(self, id: UpstreamId) -> UpstreamRecord | None:
        """Return the instance meant by a leave message; None if it is not known.

        The id in the message may lack the start time. An instance of that name that is already
        leaving is then preferred, then the newest.
        """
        if id in self.upstreams:
            return self.upstreams[id]
        if find_start_ms(id) is not None:
            return None
        alike = [each for each in self.upstreams.values() if get_upstream_name(each.info.id) == id]
        draining = [each for each in alike if each.draining]
        return max(
            draining or alike, key=lambda each: find_start_ms(each.info.id) or 0, default=None
        )

    def get_crash_counts(self, task: TaskRef) -> CrashCounts:
        """Return the upstream ends counted against a task."""
        suspect = self.suspects.get(task)
        return suspect.counts if suspect is not None else NO_CRASHES

    def activate_configuration(self, configuration: Configuration | None) -> None:
        """Make a configuration the active one; None leaves no configuration active."""
        self.configuration = configuration
        self.queues = None if configuration is None else QueueIndex(configuration=configuration)

    def _accept(self, command: AcceptJob) -> None:
        if command.job in self.jobs:
            return
        self.jobs[command.job] = JobRecord(
            id=command.job,
            queue=command.queue,
            spec=command.spec,
            accepted_ms=command.at_ms,
        )

    def _cancel(self, command: CancelJob) -> None:
        job = self.jobs.get(command.job)
        if job is None:
            self.cancelled.add(command.job, command.at_ms)
        elif job.is_open:
            end_job(job, JobState.CANCELLED, command.at_ms)

    def _record_run_ends(self, command: RecordRunEnds) -> None:
        upstream = self.upstreams.get(command.upstream)
        recorded_through = upstream.recorded_through if upstream is not None else 0
        for end in command.ends:
            job = self.jobs.get(end.task.job)
            if end.number > recorded_through and job is not None:
                record_run_end(job, end, command.at_ms)
        if upstream is not None:
            upstream.recorded_through = max(recorded_through, command.through)

    def _set_cordoned(self, upstream: UpstreamId, is_cordoned: bool) -> None:
        record = self.upstreams.get(upstream)
        if record is not None:
            record.is_cordoned = is_cordoned
            if not is_cordoned:
                record.lost_tasks = NO_ACTIVE_TASKS

    def _record_lost_tasks(self, lost: LostTasks) -> None:
        record = self.upstreams.get(lost.upstream)
        if record is not None:
            record.lost_tasks = lost.active_tasks

    def _record_crash(self, command: RecordCrash) -> None:
        if self.upstreams.pop(command.upstream, None) is None:
            # Already counted: two leaders may have seen the same crash.
            return
        for task in command.blamed:
            self._count_crash(task, ONE_CRASH, command.at_ms)
        for task in command.others:
            self._count_crash(task, ONE_LOSS, command.at_ms)
        for task in command.unanswered:
            self._count_crash(task, ONE_UNANSWERED, command.at_ms)
        oldest = command.at_ms - SUSPECT_RETENTION_MS
        self.suspects = {
            task: suspect
            for task, suspect in self.suspects.items()
            if suspect.at_ms >= oldest or self._is_open(task.job)
        }

    def _count_crash(self, task: TaskRef, counts: CrashCounts, at_ms: int) -> None:
        counts = self.get_crash_counts(task).add(counts)
        self.suspects[task] = SuspectRecord(task=task, counts=counts, at_ms=at_ms)
        job = self.jobs.get(task.job)
        if job is None or not job.is_open or job.get_task(task).is_done:
            return
        if counts.is_quarantined:
            end_job(job, JobState.FAILED, at_ms)

    def _is_open(self, id: JobId) -> bool:
        job = self.jobs.get(id)
        return job is not None and job.is_open

    def _resize(self, command: ResizeUpstream) -> None:
        record = self.upstreams.get(command.upstream)
        if record is not None and command.sequence > record.sequence:
            record.info = msgspec.structs.replace(record.info, capacity=command.capacity)
            record.sequence = command.sequence
            record.is_capacity_doubted = False

    def _configure(self, command: SetConfiguration) -> None:
        current = self.configuration
        if current is None or command.configuration.version > current.version:
            self.activate_configuration(command.configuration)


def record_run_end(job: JobRecord, end: RunEndReport, at_ms: int) -> None:
    """Record the end of one run in the record of its job; a job without that task ignores it."""
    if not job.is_open or job.spec.find_step(end.task) is None:
        return
    task = job.get_or_add_task(end.task)
    task.last_run = max(task.last_run, end.run)
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    if task.is_done or job.spec.long_running:
        # A long-running task is never done: it is started again however its run ends.
        return
    if end.how is RunEndKind.DONE:
        task.is_done = True
        job.done_count += 1
        if job.done_count == job.spec.task_count:
            end_job(job, JobState.COMPLETED, at_ms)
    elif end.how is RunEndKind.FAILED and end.run not in task.failed_run_numbers:
        task.failed_run_numbers.append(end.run)
        task.failed_runs += 1
        if task.failed_runs >= job.queue.max_attempts:
            end_job(job, JobState.FAILED, at_ms)


def end_job(job: JobRecord, state: JobState, at_ms: int) -> None:
    """End a job, and drop its task records and payload, which only an open job needs."""
    job.state = state
    job.ended_ms = at_ms
    job.tasks = {}
    job.spec = msgspec.structs.replace(job.spec, payload="")


def _build_task_key(ref: TaskRef) -> str:
    return f"{ref.occurrence}.{ref.step}.{ref.task_index}"
