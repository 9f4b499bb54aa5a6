"""A job that has not ended, as one coordinator knows it.

The coordinator is the host that schedules jobs: the elected leader, or an acting leader (a gateway
that schedules where no leader can be reached). A job consists of steps, a step of tasks with equal
requirements; a timed job repeats all its steps, once in each occurrence. A run is one try to carry
out a task.

The runs that another coordinator started go on at their upstreams. This one learns of them only
once the upstreams answer it; until then, or until the leases of these runs have certainly ended,
their tasks are unknown and are not started.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ..ids import DomainName, UpstreamId
from .model import RunNumber, TaskRef
from .records import JobRecord
from .sibling_run_times import SiblingRunTimes

NO_RUN = RunNumber(0)
"""Below all run numbers: no run of the task is known."""


class TaskPhase(Enum):
    """State of an unfinished task, as far as this coordinator knows."""

    BLOCKED = "blocked"
    """Waits for earlier steps."""
    QUEUED = "queued"
    """Waits to be started."""
    RUNNING = "running"
    RECORDING = "noting"
    """Runs of it have ended, which the replicated log or, for a best-effort job, this host has yet
    to record."""
    UNKNOWN = "unknown"
    """Another coordinator may have started it, at an upstream that has not answered this one."""


@dataclass(slots=True, kw_only=True)
class Task:
    """An unfinished task."""

    phase: TaskPhase
    """Changed by `OpenJob.set_phase` only, which counts tasks by phase."""
    instance: UpstreamId | None = None
    """The upstream of its current or last run, if this coordinator knows one."""
    run: RunNumber = NO_RUN
    """The number of its current or last run."""
    moves: int = 0
    """How often a run of it was stopped as stalled or slow, so that it starts elsewhere."""
    may_run_elsewhere: bool = False
    """Whether another coordinator may have begun a further run of it, at an upstream that has not
    answered this one yet.

    It stays set when an upstream lists a run of an unknown task, active or ended: that run need not
    be the last one. (An active one is adopted: it goes on as if this coordinator had started it.)
    """
    unrecorded_ends: set[tuple[UpstreamId, int]] = field(default_factory=set)
    """Listed ends of its runs that have yet to be recorded, by upstream and number of the end. Any
    of them may tell that the task is done, so that it is not queued before all are recorded."""

    def is_current_run(self, run: RunNumber, upstream: UpstreamId) -> bool:
        """Whether the task is running, and this run at this upstream is its current one.

        The number alone does not tell: if a job is abandoned, because nobody waits for it any more,
        and is submitted again, its runs are numbered from the first again.
        """
        return self.phase is TaskPhase.RUNNING and (self.run, self.instance) == (run, upstream)


@dataclass(slots=True, kw_only=True)
class StepProgress:
    """How far one step of an occurrence has come."""

    unfinished: int = 0
    """Number of its tasks that are not done."""
    awaited: int = 0
    """Number of earlier steps that it waits for."""
    blocked: set[int] = field(default_factory=set)
    """Indexes of its blocked tasks within the step."""


@dataclass(slots=True, kw_only=True)
class Occurrence:
    """An occurrence of a job with tasks that are not done."""

    due_at: timedelta
    """When it was due; the objective counts from there."""
    steps: list[StepProgress]
    unfinished: int = 0
    """Number of its tasks that are not done."""


@dataclass(slots=True, kw_only=True)
class OpenJob:
    """A job that has not ended, and its tasks."""

    record: JobRecord
    opened_at: timedelta
    """When its caller submitted it at a gateway or control host, before it arrived here."""
    taken_at: timedelta = timedelta()
    """When it arrived here."""
    objective: timedelta
    """How long the job should take from `opened_at`; if it takes longer, it counts as late."""
    tasks: dict[TaskRef, Task] = field(default_factory=dict)
    """Its unfinished tasks, in all occurrences that were opened."""
    unknown: dict[TaskRef, None] = field(default_factory=dict)
    """The unknown ones among them, in the order in which they became unknown."""
    occurrences: dict[int, Occurrence] = field(default_factory=dict)
    """The unfinished ones of those that were opened, by number."""
    phase_counts: Counter[TaskPhase] = field(default_factory=Counter)
    """Number of its tasks in each phase."""
    has_begun: bool = False
    """Whether a task of it was started, or may have been by another coordinator."""
    gateway: str = ""
    """Address of the gateway that waits for its end, if any."""
    home: DomainName | None = None
    """Preferred failure domain of its tasks: that of its gateway, or of its first task."""
    confirmed_until: timedelta = timedelta()
    """Until then the submission itself shows that its gateway waits for it; after that the job is
    abandoned if the gateway is silent."""
    may_be_of_acting_leader: bool = False
    """Whether an acting leader may have begun it: no leader knows what an acting leader started, so
    this may be active also at upstreams where no leader has runs."""
    reconcile_at: timedelta = timedelta()
    """From then on its unknown tasks may be started even if an upstream has not answered: the lease
    there has ended, and with it any run that another coordinator started."""
    next_occurrence: int = 0
    """The first occurrence that was not opened yet: it was not due, or too many tasks are open."""
    run_times: dict[int, SiblingRunTimes] = field(default_factory=dict)
    """Run times by the number of the step: measured at the end of the run, or estimated from its
    progress. Divided by the factor of the kind of the upstream."""
    sampled_kinds: set[tuple[int, str]] = field(default_factory=set)
    """Numbers of steps, and kinds of upstreams where a task of them was started."""

    def claim_sample(self, step: int, kind: str) -> bool:
        """Return whether a task that starts is the first of its step at this kind of upstream.

        The kind is learned from that one alone. The declared run times of all tasks of a step are
        off by the same ratio, so that the others tell hardly anything new; and the first to end
        would be the fastest of many at one kind, and of few at another.
        """
        is_first = (step, kind) not in self.sampled_kinds
        self.sampled_kinds.add((step, kind))
        return is_first

    def add_occurrence(self, number: int, phase: TaskPhase, due_at: timedelta) -> None:
        """Add the tasks of an occurrence that are not done, in this phase."""
        specs = self.record.spec.steps
        steps = [StepProgress() for _ in specs]
        occurrence = self.occurrences[number] = Occurrence(due_at=due_at, steps=steps)
        for step_number, (spec, step) in enumerate(zip(specs, steps, strict=True)):
            for task_index in range(spec.count):
                ref = TaskRef(self.record.id, number, step_number, task_index)
                known = self.record.get_task(ref)
                if known.is_done:
                    continue
                step.unfinished += 1
                self.tasks[ref] = Task(phase=phase, run=RunNumber(known.last_run))
                self._count_phase(ref, phase)
            earlier_steps = (steps[each] for each in frozenset(spec.depends_on))
            step.awaited = sum(each.unfinished > 0 for each in earlier_steps)
            occurrence.unfinished += step.unfinished
        if not occurrence.unfinished:
            del self.occurrences[number]

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether a step has blocked tasks and waits for no earlier one."""
        if occurrence not in self.occurrences:
            return False
        progress = self.occurrences[occurrence].steps[step]
        return bool(progress.blocked) and not progress.awaited

    def list_blocked(self, occurrence: int, step: int) -> list[int]:
        """Return the indexes of the blocked tasks of a step."""
        return sorted(self.occurrences[occurrence].steps[step].blocked)

    def set_phase(self, ref: TaskRef, phase: TaskPhase) -> None:
        """Change the phase of a task."""
        task = self.tasks[ref]
        if task.phase is phase:
            return
        self._uncount_phase(ref, task.phase)
        task.phase = phase
        self._count_phase(ref, phase)

    def follow_run(self, ref: TaskRef, run: RunNumber, upstream: UpstreamId) -> None:
        """Make an active run the current one of its task."""
        self.set_phase(ref, TaskPhase.RUNNING)
        task = self.tasks[ref]
        task.instance = upstream
        task.run = run

    def finish_task(self, ref: TaskRef) -> list[int]:
        """Remove a task that is done; return the steps that waited for nothing else."""
        self._uncount_phase(ref, self.tasks.pop(ref).phase)
        occurrence = self.occurrences[ref.occurrence]
        occurrence.unfinished -= 1
        if not occurrence.unfinished:
            del self.occurrences[ref.occurrence]
            return []
        steps = occurrence.steps
        steps[ref.step].unfinished -= 1
        if steps[ref.step].unfinished:
            return []
        dependents = self.record.spec.dependents[ref.step]
        for later in dependents:
            steps[later].awaited -= 1
        return [later for later in dependents if not steps[later].awaited]

    def _count_phase(self, ref: TaskRef, phase: TaskPhase) -> None:
        self.phase_counts[phase] += 1
        if phase is TaskPhase.UNKNOWN:
            self.unknown[ref] = None
        elif phase is TaskPhase.BLOCKED:
            self.occurrences[ref.occurrence].steps[ref.step].blocked.add(ref.task_index)

    def _uncount_phase(self, ref: TaskRef, phase: TaskPhase) -> None:
        self.phase_counts[phase] -= 1
        if phase is TaskPhase.UNKNOWN:
            del self.unknown[ref]
        elif phase is TaskPhase.BLOCKED:
            self.occurrences[ref.occurrence].steps[ref.step].blocked.discard(ref.task_index)

    def has_unknown_tasks(self) -> bool:
        """Whether another coordinator may have started any of its tasks, unknown to this one."""
        return bool(self.unknown)

    def is_ending(self) -> bool:
        """Whether no task of the opened occurrences still waits for its start."""
        counts = self.phase_counts
        return counts[TaskPhase.RUNNING] + counts[TaskPhase.RECORDING] == len(self.tasks)

    def record_run_time(self, step: int, upstream: UpstreamId, total: timedelta) -> None:
        """Record how long a whole run of a task of a step takes at an upstream.

        `total` is divided by the factor of the upstream's kind, so that kinds can be compared.
        """
        self.run_times.setdefault(step, SiblingRunTimes()).record(upstream, total)

    def find_sibling_run_time(
        self, step: int, upstream: UpstreamId, factor: float
    ) -> timedelta | None:
        """Return how long such a task takes at the fastest other upstream, or None if unknown.

        That is, how long it would take there if run times had the same `factor` as at `upstream`.
        """
        siblings = self.run_times.get(step)
        fastest = siblings.find_fastest_other(upstream) if siblings is not None else None
        return fastest * factor if fastest is not None else None


@dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """Who waits for a best-effort job, and whether another coordinator may have begun it."""

    gateway: str
    """Address of the gateway that waits for it; empty if that is this host, acting as leader."""
    home: DomainName | None = None
    """The failure domain of that gateway."""
    may_have_begun: bool
    """Whether another coordinator may have started tasks of it."""
    confirmed_until: timedelta = timedelta()
    """See `OpenJob.confirmed_until`."""
    may_be_of_acting_leader: bool = False
    """Whether that coordinator may have been an acting leader."""
    reconcile_after: timedelta
    """How long runs that another coordinator started may go on at an upstream that cannot be
    reached: until the lease there has ended. If `may_have_begun` is false, that supposes that the
    caller sends its job again only some time after it has lost the gateway of its first try."""
    waited: timedelta = timedelta()
    """How long the job had been at its gateway by now: this counts towards its objective."""
