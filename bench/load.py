"""Seeded load of jobs on modelled upstreams, which resembles the load of the users' vans.

There are three kinds of jobs, each with a third of the total worth, which is the value of the
answers to their callers. Widths, run times, sizes and declared run times vary as in the users'
workloads. The model charges delays, but neither processor time nor other costs of the network.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from cottonlug.core.cluster.model import JobId, JobSpec, JobState, Needs, StepSpec, TaskRef
from cottonlug.core.cluster.records import Records
from cottonlug.core.cluster.term import TOKENS_PER_TERM
from cottonlug.core.ids import UpstreamId
from cottonlug.tests.model_upstreams import (
    RECONCILE_AFTER,
    Leader,
    ModelUpstream,
    World,
    build_info,
    build_queue,
    milliseconds,
)

LOG_SIGMA = 0.4
"""Standard deviation of the logarithm of widths, run times and declared run times."""
TASK_CPU_MILLIS = 14_000
MAX_TASK_CPU_MILLIS = 20_000
CPU_LOG_SIGMA = 0.2
UPSTREAM_CPU_MILLIS = (32_000, 32_000, 48_000)
"""Capacities of the upstreams, assigned in turn."""
LATE_WORTH_SHARE = 0.2
"""Share of its worth that an answer keeps between one and three times the objective."""
LATE_FACTOR = 3
STRETCH = 1.6
TARGET_MS = 60
DURATION_SECONDS = 20
DRAIN_SECONDS = 6
"""How long the simulation runs on after the last job was submitted, so that jobs can end."""
RESTART_DELAY = timedelta(seconds=3)
"""Time after which an upstream that was crashed by a task starts again."""
RESEND_AFTER = timedelta(milliseconds=1_300)


@dataclass(frozen=True, slots=True, kw_only=True)
class JobKind:
    """One kind of job: jobs per second, tasks per job, run time of a task, and worth of a job."""

    name: str
    rate: float
    tasks: int
    run_ms: float
    worth: float


KINDS = (
    JobKind(name="short", rate=17.2, tasks=8, run_ms=60, worth=0.0291),
    JobKind(name="middle", rate=50.0, tasks=2, run_ms=200, worth=0.010),
    JobKind(name="long", rate=3.12, tasks=4, run_ms=900, worth=0.160),
)
QUEUES = {
    kind.name: msgspec.structs.replace(
        build_queue(target_ms=TARGET_MS), name=kind.name, prefix=f"/{kind.name}/"
    )
    for kind in KINDS
}
DEFAULT_UPSTREAMS = 28
"""Number of upstreams for the rates above, which take two thirds of their capacity."""


@dataclass(slots=True, kw_only=True)
class SubmittedJob:
    """A job of the load and its outcome."""

    kind: JobKind
    spec: JobSpec
    worth: float
    objective: timedelta
    submitted_at: timedelta
    is_poisoned: bool = False
    """Whether one of its tasks crashes every upstream that starts it. Such a job is not counted."""
    was_sent: bool = False
    """Whether it was sent to a leader, which may have begun it even if it was lost since."""
    ended_at: timedelta | None = None
    refused_at: timedelta | None = None

    @property
    def earned(self) -> float:
        """Part of the worth that the caller got, by the time of the answer."""
        if self.ended_at is None:
            return 0.0
        taken = self.ended_at - self.submitted_at
        if taken <= self.objective:
            return self.worth
        return self.worth * LATE_WORTH_SHARE if taken <= self.objective * LATE_FACTOR else 0.0


@dataclass(slots=True, kw_only=True)
class Run:
    """Simulation of one load on one set of upstreams, under one leader at a time."""

    seed: int
    upstream_count: int = DEFAULT_UPSTREAMS
    rate_factor: float = 1.0
    """Factor on the rates of `KINDS`, which are first scaled to the number of upstreams."""
    jobs: dict[JobId, SubmittedJob] = field(default_factory=dict)
    actual_run_ms: dict[JobId, float] = field(default_factory=dict)
    """Run time of each job's tasks, which the declared run time only approximates."""
    run_time_factors: dict[UpstreamId, float] = field(default_factory=dict)
    """Factors on run times at slow upstreams."""
    bursts: list[tuple[float, float, float]] = field(default_factory=list)
    """Bursts as start and end in seconds, and the factor on the rate of jobs between them."""
    records: Records = field(default_factory=Records)
    poisoned_share: float = 0.0
    """Share of the jobs that have a task that crashes upstreams."""
    is_frozen: bool = False
    """Whether the lost leader is frozen, and so still receives jobs."""
    token: int = 0
    """Fencing token of the current leader."""
    restart_count: int = 0
    chance: random.Random = field(init=False)
    world: World = field(init=False)
    upstreams: dict[UpstreamId, ModelUpstream] = field(init=False)
    leader: Leader = field(init=False)

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self.world = World(random=random.Random(self.seed + 1))
        self.world.on_crash = self._restart_after_crash
        self.upstreams = {}
        for number in range(self.upstream_count):
            self._add_upstream(
                f"u{number + 1}", UPSTREAM_CPU_MILLIS[number % len(UPSTREAM_CPU_MILLIS)]
            )
        self.elect_leader()

    def run_to_end(self) -> None:
        """Simulate the whole load, and the time in which its last jobs can end."""
        self._plan_arrivals()
        self.world.run_until(timedelta(seconds=DURATION_SECONDS + DRAIN_SECONDS))
        self._record_ended()

    # Faults

    def elect_leader(self) -> None:
        """Start a new leader and submit to it again the open jobs that still have worth."""
        self.token += TOKENS_PER_TERM
        self.leader = Leader(
            world=self.world, upstreams=self.upstreams, records=self.records, token=self.token
        )
        for upstream in self.upstreams.values():
            if upstream.is_up:
                self.leader.deliver_heartbeat(upstream, self.token)
        for job, submitted in self.jobs.items():
            is_open = submitted.ended_at is None and submitted.refused_at is None
            if (
                is_open
                and self.world.now - submitted.submitted_at < submitted.objective * LATE_FACTOR
            ):
                self._submit_to_leader(job)

    def lose_leader(self, *, is_frozen: bool = False) -> None:
        """End the leader's term; nothing is scheduled until the next leader is elected.

        A frozen leader still receives calls but answers none, so its jobs may have begun.
        """
        self._record_ended()
        self.is_frozen = is_frozen
        self.leader.is_over = True

    def crash(self, count: int) -> None:
        """Crash the first `count` upstreams: they lose their runs and answer no more."""
        for upstream in list(self.upstreams.values())[:count]:
            upstream.crash()

    def restart_crashed(self) -> None:
        """Start a new instance of each crashed upstream."""
        self.restart_count += 1
        for id, upstream in list(self.upstreams.items()):
            if not upstream.is_up:
                name = f"{id}v{self.restart_count}"
                fresh = self._add_upstream(name, upstream.info.capacity.cpu_millis)
                self.leader.deliver_heartbeat(fresh, 1)

    def _restart_after_crash(self, crashed: ModelUpstream) -> None:
        """Start a new instance, after a delay, of an upstream that was crashed by a task."""
        if not self.poisoned_share:
            return

        def begin() -> None:
            self.restart_count += 1
            name = f"{crashed.info.id}v{self.restart_count}"
            fresh = self._add_upstream(name, crashed.info.capacity.cpu_millis)
            fresh.info = msgspec.structs.replace(fresh.info, address=crashed.info.address)
            crashed.is_replaced = True
            if not self.leader.is_over:
                self.leader.deliver_heartbeat(fresh, 1)

        self.world.at(RESTART_DELAY, begin)

    def slow_down(self, count: int, factor: float) -> None:
        """Multiply the run times of tasks on the first `count` upstreams by `factor`."""
        for id in list(self.upstreams)[:count]:
            self.run_time_factors[id] = factor

    def fail_tasks(self, count: int) -> None:
        """Make the first `count` upstreams, and no others, fail all tasks at once from now on."""
        for number, upstream in enumerate(self.upstreams.values()):
            upstream.fails_all = number < count

    # Load

    def _add_upstream(self, name: str, cpu_millis: int) -> ModelUpstream:
        info = build_info(name, cpu_millis)
        upstream = ModelUpstream(
            world=self.world,
            info=info,
            rate=1.0,
            run_times=lambda job: milliseconds(
                self.actual_run_ms[job] * self.run_time_factors.get(info.id, 1.0)
            ),
        )
        self.upstreams[info.id] = upstream
        return upstream

    def _plan_arrivals(self) -> None:
        scale = self.rate_factor * self.upstream_count / DEFAULT_UPSTREAMS
        for kind in KINDS:
            at = 0.2
            while at < DURATION_SECONDS:
                at += self.chance.expovariate(kind.rate * scale * self._find_burst_factor(at))
                self.world.at(timedelta(seconds=at), lambda kind=kind: self._create_job(kind))  # type: ignore[misc]

    def _find_burst_factor(self, at: float) -> float:
        return max((each[2] for each in self.bursts if each[0] <= at < each[1]), default=1.0)

    def _draw_around(self, mean: float, maximum: float) -> float:
        """Return a log-normally distributed number with the given mean, limited to `maximum`."""
        drawn = self.chance.lognormvariate(-LOG_SIGMA * LOG_SIGMA / 2, LOG_SIGMA)
        return min(mean * drawn, maximum)

    def _create_job(self, kind: JobKind) -> None:
        job = JobId(f"{len(self.jobs):016x}")
        actual_run_ms = self._draw_around(kind.run_ms, kind.run_ms * 4)
        count = max(1, round(self._draw_around(kind.tasks, kind.tasks * 4)))
        cpu_millis = int(TASK_CPU_MILLIS * self.chance.lognormvariate(0, CPU_LOG_SIGMA))
        needs = Needs(cpu_millis=min(cpu_millis, MAX_TASK_CPU_MILLIS))
        declared = max(1, int(actual_run_ms * self.chance.lognormvariate(0, LOG_SIGMA)))
        step = StepSpec(count=count, needs=needs, estimate_ms=declared)
        work = actual_run_ms * count / (kind.run_ms * kind.tasks)
        self.world.needs[job] = needs
        self.actual_run_ms[job] = actual_run_ms
        is_poisoned = self.chance.random() < self.poisoned_share if self.poisoned_share else False
        if is_poisoned:
            self.world.crashing_tasks.add(TaskRef(job, 0, 0, 0))
        self.jobs[job] = SubmittedJob(
            kind=kind,
            spec=JobSpec(payload="", steps=(step,), best_effort=True),
            worth=kind.worth * min(0.3 + 0.7 * work, 4.0),
            objective=milliseconds(STRETCH * actual_run_ms + TARGET_MS),
            submitted_at=self.world.now,
            is_poisoned=is_poisoned,
        )
        self._submit_to_leader(job)

    def _submit_to_leader(self, job: JobId) -> None:
        self._record_ended()
        submitted = self.jobs[job]
        if self.leader.is_over:
            submitted.was_sent = submitted.was_sent or self.is_frozen
            return
        queue = QUEUES[submitted.kind.name]
        now = self.world.now
        waited = now - submitted.submitted_at
        rejection = self.leader.dispatch.find_rejection(queue, submitted.spec, waited, now)
        if rejection is not None and not submitted.was_sent:
            submitted.refused_at = now
            return
        may_have_begun, submitted.was_sent = submitted.was_sent, True
        self.leader.submit(
            job,
            submitted.spec,
            queue,
            may_have_begun=may_have_begun,
            # A job that was sent for the first time cannot have active runs yet.
            reconcile_after=RECONCILE_AFTER if may_have_begun else timedelta(),
            waited=waited,
        )

    def _record_ended(self) -> None:
        """Record the jobs that the leader has ended, as completed or as refused."""
        jobs = self.leader.dispatch.jobs
        for job, at in self.leader.ended_at.items():
            submitted = self.jobs[job]
            if jobs.find_ended(job) is JobState.COMPLETED:
                submitted.ended_at = submitted.ended_at or at
            elif submitted.ended_at is None:
                submitted.refused_at = submitted.refused_at or at
        self.leader.ended_at.clear()


def iterate_submitted(run: Run, first: float, last: float) -> Iterator[SubmittedJob]:
    """Yield the jobs submitted from second `first` to `last`, except those that crash upstreams."""
    for submitted in run.jobs.values():
        if not submitted.is_poisoned and timedelta(
            seconds=first
        ) <= submitted.submitted_at < timedelta(seconds=last):
            yield submitted
