"""A model of upstreams that accept orders, and of a network that loses, repeats and delays them.

It replaces the workers of the users' platform: leases on a slow clock, fencing tokens, run numbers,
a list of active and one of ended runs in the answer to each poll, orders carried out seconds late.
Invariants are asserted where they would be violated: a task runs once at a time, not again after
its success was recorded, and only within the capacity of its upstream.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from ..core.cluster.capacity_reports import DEFAULT_REPORT_TERMS
from ..core.cluster.commands import AcceptJob, Command
from ..core.cluster.dispatch import Dispatch
from ..core.cluster.instances import LeaseTerms
from ..core.cluster.model import (
    Capacity,
    Heartbeat,
    JobId,
    JobSpec,
    Needs,
    PollReply,
    Queue,
    RunEndKind,
    RunEndReport,
    RunNumber,
    RunReport,
    ServiceName,
    StepSpec,
    TaskRef,
    UpstreamInfo,
)
from ..core.cluster.open_job import Submission
from ..core.cluster.orders import CallFailure, Order, PollOrder, StartOrder, StartOutcome, StopOrder
from ..core.cluster.records import JobRecord, Records
from ..core.ids import DomainName, UpstreamId

TERMS = LeaseTerms(longest=timedelta(seconds=1))
RECONCILE_AFTER = TERMS.lapse_after + timedelta(milliseconds=500)
"""Longer than runs that another coordinator started can go on after a job was submitted here."""
SERVICE = ServiceName("service")
TASK_CPU = 7_000
"""CPU that every task takes, of 16,000: two tasks fit an upstream."""
COMMIT_DELAY = timedelta(milliseconds=15)
"""Time from the proposal of a command until the log has committed it."""
MAX_STOP_TIME = timedelta(milliseconds=50)
"""Longest time from the acceptance of a stop until the run has ended."""
CRASHES_AFTER = timedelta(milliseconds=5)
"""Time from the start of a task that crashes its upstream to the crash."""


def milliseconds(count: float) -> timedelta:
    """Return a duration of that many milliseconds."""
    return timedelta(milliseconds=count)


def build_queue(max_attempts: int = 3, target_ms: int = 60) -> Queue:
    """Return a queue of the model's service."""
    return Queue(
        name="queue",
        host="host",
        prefix="/q/",
        service=SERVICE,
        timeout_ms=1_500,
        target_latency_ms=target_ms,
        max_attempts=max_attempts,
        stretch=1.6,
    )


def build_spec(*, tasks: int = 4, run_ms: int = 60, durable: bool = False) -> JobSpec:
    """Return a job of one step; `run_ms` is the declared run time of its tasks."""
    step = StepSpec(count=tasks, needs=Needs(cpu_millis=TASK_CPU), estimate_ms=run_ms)
    return JobSpec(payload="payload", steps=(step,), best_effort=not durable)


def build_info(name: str, cpu: int = 16_000, domain: str = "domain") -> UpstreamInfo:
    """Return an upstream of the model's service."""
    return UpstreamInfo(
        id=UpstreamId(name),
        service=SERVICE,
        address=f"10.0.0.{name.strip('u') or 1}:80",
        domain=DomainName(domain),
        capacity=Capacity(cpu_millis=cpu, memory_mb=1_000),
    )


@dataclass(slots=True, kw_only=True)
class ModelRun:
    """A run at a model upstream."""

    ref: TaskRef
    run: RunNumber
    needs: Needs
    began_at: timedelta
    ends_at: timedelta
    how: RunEndKind
    """How it ends, unless it is stopped or its lease lapses before."""


@dataclass(slots=True, kw_only=True)
class World:
    """Time, events, and the invariants over all upstreams."""

    random: random.Random
    now: timedelta = timedelta()
    lost_share: float = 0.0
    """Share of orders that are carried out, but whose answers are lost."""
    late_share: float = 0.0
    """Share of orders that have no answer and are carried out 2 to 12 s late."""
    failed_share: float = 0.0
    """Share of runs that fail."""
    stop_time: timedelta = timedelta()
    """Time from the acceptance of a stop until the run has ended."""
    events: list[tuple[timedelta, int, Callable[[], None]]] = field(default_factory=list)
    """Actions to come, by time; those of one time in the order in which they were scheduled."""
    counter: itertools.count[int] = field(default_factory=itertools.count)
    running: dict[TaskRef, str] = field(default_factory=dict)
    """Active tasks and the upstreams where they run."""
    recorded_done: set[TaskRef] = field(default_factory=set)
    """Tasks whose successful end was confirmed to their upstream as recorded."""
    long_running_jobs: set[JobId] = field(default_factory=set)
    """Jobs whose tasks are started again however they end."""
    begun: list[tuple[TaskRef, timedelta]] = field(default_factory=list)
    """Every start and its time."""
    durable_jobs: set[JobId] = field(default_factory=set)
    crashing_tasks: set[TaskRef] = field(default_factory=set)
    """Tasks that crash each upstream that starts them."""
    crashes: dict[TaskRef, int] = field(default_factory=dict)
    """How often an upstream has crashed with each task active."""
    on_crash: Callable[[ModelUpstream], None] = lambda upstream: None
    """Called when an upstream has crashed: brings it back after a while."""
    needs: dict[JobId, Needs] = field(default_factory=dict)
    """What a task of a job takes, where it differs from the default."""
    starts_after_three: dict[TaskRef, int] = field(default_factory=dict)
    """Starts of each durable task by connected hosts after three upstreams crashed under it."""
    connected_from: timedelta = timedelta()
    """From then on the control hosts have been without faults for long enough to be connected."""
    starts: int = 0
    """Starts carried out by all upstreams together."""
    started_at: dict[TaskRef, timedelta] = field(default_factory=dict)
    """When each task was started last."""
    started_jobs: set[JobId] = field(default_factory=set)

    def at(self, delay: timedelta, act: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        heapq.heappush(self.events, (self.now + delay, next(self.counter), act))

    def run_until(self, end: timedelta) -> None:
        """Execute all events up to a point in time."""
        while self.events and self.events[0][0] <= end:
            at, _, act = heapq.heappop(self.events)
            self.now = at
            act()
        self.now = end


@dataclass(slots=True, kw_only=True)
class ModelUpstream:
    """One instance of an upstream."""

    world: World
    info: UpstreamInfo
    rate: float
    """Rate of its monotonic clock, 0.98 to 1."""
    run_times: Callable[[JobId], timedelta]
    """Returns how long a task of a job runs there."""
    clock_began_ms: int = 0
    """Reading of its monotonic clock at the start of the world."""
    is_up: bool = True
    is_replaced: bool = False
    """Whether, after a crash, a later instance answers at its address."""
    rejects_overload: bool = True
    """Whether it refuses what does not fit; otherwise a start over its capacity fails the test."""
    earlier_capacities: list[tuple[timedelta, int]] = field(default_factory=list)
    """Earlier capacities, in thousandths of a core, each with the time until which it had them."""
    sequence: int = 0
    """Sequence number of its last heartbeat."""
    fails_all: bool = False
    """Whether everything that it starts fails at once."""
    token: int = 0
    """Highest fencing token of its orders so far."""
    expires_ms: float = 0.0
    """End of its lease, on its own clock."""
    last_end_number: int = 0
    done_at: dict[TaskRef, timedelta] = field(default_factory=dict)
    """When durable tasks ended successfully here; cleared when the lease runs out."""
    ended: list[RunEndReport] = field(default_factory=list)
    """Ended runs that no poll has confirmed as recorded, so that they are still listed."""
    runs: dict[TaskRef, ModelRun] = field(default_factory=dict)
    refused_through: dict[TaskRef, int] = field(default_factory=dict)
    """Highest run number of each task that has ended or was stopped: no start up to it is valid."""
    parked: list[Callable[[], None]] = field(default_factory=list)
    """Callbacks that answer the long polls parked here, called once a run has ended."""

    def clock_ms(self) -> int:
        """Return the time on its own monotonic clock."""
        return self.clock_began_ms + int(self.world.now / milliseconds(1) * self.rate)

    def start(self, order: StartOrder, token: int, needs: Needs) -> StartOutcome:
        """Carry out a start."""
        self._advance()
        if token < self.token:
            return StartOutcome.FENCED
        self.token = token
        present = self.runs.get(order.task)
        if present is not None and present.run == order.run:
            return StartOutcome.STARTED
        if order.run <= self.refused_through.get(order.task, 0):
            self._extend(order.expires_ms)
            return StartOutcome.OUTDATED
        if order.expires_ms <= self.clock_ms():
            return StartOutcome.LATE
        wanted = needs.cpu_millis + sum(run.needs.cpu_millis for run in self.runs.values())
        is_over = self.rejects_overload and wanted > self.info.capacity.cpu_millis
        if present is not None or is_over:
            self._extend(order.expires_ms)
            return StartOutcome.NO_ROOM
        tolerated = self.find_tolerated_cpu()
        assert wanted <= tolerated, f"a start brings {self.info.id} to {wanted} of {tolerated}"
        self._begin(order, needs)
        return StartOutcome.STARTED

    def resize(self, cpu_millis: int) -> None:
        """Change the capacity from now on; active runs continue."""
        self.earlier_capacities.append((self.world.now, self.info.capacity.cpu_millis))
        capacity = msgspec.structs.replace(self.info.capacity, cpu_millis=cpu_millis)
        self.info = msgspec.structs.replace(self.info, capacity=capacity)

    def find_tolerated_cpu(self) -> int:
        """Return the CPU that starts may use: the old capacity for a while after it has shrunk."""
        since = self.world.now - DEFAULT_REPORT_TERMS.valid_for
        tolerated = [size for until, size in self.earlier_capacities if until >= since]
        return max([self.info.capacity.cpu_millis, *tolerated])

    def build_heartbeat(self, *, draining: bool = False) -> Heartbeat:
        """Return a heartbeat with its present state."""
        self.sequence += 1
        return Heartbeat(
            info=self.info,
            sequence=self.sequence,
            draining=draining,
            clock_ms=self.clock_ms(),
        )

    def stop(self, order: StopOrder, token: int) -> CallFailure | None:
        """Carry out a stop."""
        self._advance()
        if token < self.token:
            return CallFailure.FENCED
        self.token = token
        self.refused_through[order.task] = max(self.refused_through.get(order.task, 0), order.run)
        run = self.runs.get(order.task)
        if run is not None and run.run == order.run:
            self._stop(run)
        return None

    def accept_poll(self, order: PollOrder, token: int) -> CallFailure | None:
        """Accept a poll; `build_reply` builds the answer."""
        self._advance()
        if token < self.token:
            return CallFailure.FENCED
        self.token = token
        for end in self.ended:
            if end.number <= order.last_seen and end.how is RunEndKind.DONE:
                self.world.recorded_done.add(end.task)
                self._check_not_started_since_done(end.task)
        self.ended = [end for end in self.ended if end.number > order.last_seen]
        if order.expires_ms is not None:
            self._extend(order.expires_ms)
        return None

    def _check_not_started_since_done(self, ref: TaskRef) -> None:
        """Fail if a task was started again since it was done here under a lease that holds on."""
        done_at = self.done_at.get(ref)
        if done_at is not None and ref.job not in self.world.long_running_jobs:
            assert self.world.started_at[ref] <= done_at, f"{ref} was started again after its end"

    def build_reply(self) -> PollReply:
        """Return the lists of active and ended runs."""
        self._advance()
        return PollReply(
            clock_ms=self.clock_ms(),
            running=tuple(self._report_run(run) for run in self.runs.values()),
            ended=tuple(self.ended[:500]),
        )

    def _report_run(self, run: ModelRun) -> RunReport:
        gone, whole = self.world.now - run.began_at, run.ends_at - run.began_at
        return RunReport(task=run.ref, run=run.run, percent=int(100 * gone / whole))

    def crash(self) -> None:
        """Go down for good, and lose all runs."""
        self.is_up = False
        for ref in self.runs:
            self.world.running.pop(ref, None)
            self.world.crashes[ref] = self.world.crashes.get(ref, 0) + 1
        self.runs = {}
        self.world.on_crash(self)

    def _begin(self, order: StartOrder, needs: Needs) -> None:
        world = self.world
        ref = order.task
        assert (
            ref not in world.running
        ), f"{ref} runs at {world.running.get(ref)} and {self.info.id}"
        if ref.job in world.durable_jobs - world.long_running_jobs:
            assert ref not in world.recorded_done, f"{ref} starts again after its end was recorded"
        is_connected = world.now >= world.connected_from
        if ref.job in world.durable_jobs and world.crashes.get(ref, 0) >= 3 and is_connected:
            world.starts_after_three[ref] = world.starts_after_three.get(ref, 0) + 1
            assert world.starts_after_three[ref] < 3, f"{ref} is started after three crashes"
        world.running[ref] = self.info.id
        world.starts += 1
        world.begun.append((ref, world.now))
        world.started_at[ref] = world.now
        world.started_jobs.add(ref.job)
        fails = world.random.random() < world.failed_share or self.fails_all
        how = RunEndKind.FAILED if fails else RunEndKind.DONE
        run_time = milliseconds(1) if self.fails_all else self.run_times(ref.job)
        run = ModelRun(
            ref=ref,
            run=order.run,
            needs=needs,
            began_at=world.now,
            ends_at=world.now + run_time,
            how=how,
        )
        self.runs[ref] = run
        if ref in world.crashing_tasks:
            world.at(CRASHES_AFTER, lambda: self.crash() if self.is_up else None)
        self._extend(order.expires_ms)
        world.at(run_time, lambda: self._finish(run))

    def _finish(self, run: ModelRun) -> None:
        self._advance()
        if self.is_up and self.runs.get(run.ref) is run:
            self._end(run, run.how)

    def _stop(self, run: ModelRun) -> None:
        if not self.world.stop_time:
            self._end(run, RunEndKind.STOPPED)
            return
        run.how = RunEndKind.STOPPED
        self.world.at(self.world.stop_time, lambda: self._finish(run))

    def _end(self, run: ModelRun, how: RunEndKind) -> None:
        del self.runs[run.ref]
        self.world.running.pop(run.ref, None)
        if how is RunEndKind.DONE and run.ref.job in self.world.durable_jobs:
            self.done_at[run.ref] = self.world.now
        self.refused_through[run.ref] = max(self.refused_through.get(run.ref, 0), run.run)
        self.last_end_number += 1
        self.ended.append(
            RunEndReport(number=self.last_end_number, task=run.ref, run=run.run, how=how)
        )
        parked, self.parked = self.parked, []
        for answer_poll in parked:
            answer_poll()

    def _extend(self, expires_ms: int) -> None:
        longest_ms = TERMS.longest / milliseconds(1)
        self.expires_ms = max(self.expires_ms, min(expires_ms, self.clock_ms() + longest_ms))
        left = milliseconds((self.expires_ms - self.clock_ms()) / self.rate + 1)
        self.world.at(left, self._advance)

    def _advance(self) -> None:
        """End all runs if the lease has ended."""
        if self.clock_ms() >= self.expires_ms:
            self.done_at.clear()
        if self.is_up and self.runs and self.clock_ms() >= self.expires_ms:
            for run in list(self.runs.values()):
                # The first end answers a long poll; handling it returns here and ends the other
                # runs.
                if self.runs.get(run.ref) is run:
                    self._end(run, RunEndKind.LAPSED)


_INSTANCE_ENDED_ANSWERS: dict[type, object] = {
    StartOrder: StartOutcome.INSTANCE_ENDED,
    StopOrder: CallFailure.INSTANCE_ENDED,
    PollOrder: CallFailure.INSTANCE_ENDED,
}


@dataclass(slots=True, kw_only=True)
class Leader:
    """A `Dispatch` in the world, which ticks, sends its orders and commits its proposals."""

    world: World
    upstreams: dict[UpstreamId, ModelUpstream]
    records: Records
    token: int
    is_over: bool = False
    """Set by tests: it is lost, and does nothing any more."""
    cut_off: set[UpstreamId] = field(default_factory=set)
    """Upstreams that its orders do not reach."""
    domain: DomainName | None = None
    """The only failure domain whose upstreams it sends orders to; None for all."""
    is_acting: bool = False
    """Whether it is an acting leader (a gateway that acts as leader), which keeps no log."""
    terms: LeaseTerms = TERMS
    known_until: timedelta = timedelta.max
    """Until then the capacities in the records are valid without a heartbeat to this leader."""
    remote_factor: float = 1.0
    begun_earlier: frozenset[JobId] | None = None
    """What the last leader has reported of the jobs that it has begun."""
    ended: list[JobId] = field(default_factory=list)
    ended_at: dict[JobId, timedelta] = field(default_factory=dict)
    commits: Callable[[Command], bool] = lambda command: True
    """Returns whether a proposal is committed."""
    dispatch: Dispatch = field(init=False)

    def __post_init__(self) -> None:
        self.dispatch = Dispatch(
            records=self.records,
            token=self.token,
            lease_terms=self.terms,
            now=self.world.now,
            wall_ms=lambda: int(self.world.now / milliseconds(1)),
            log_decision=lambda name, fields: None,
            on_job_end=self._record_job_end,
            domain=self.domain,
            keeps_log=not self.is_acting,
            known_until=self.known_until,
            remote_factor=self.remote_factor,
            begun_earlier=self.begun_earlier,
        )
        self._tick_forever()

    def _record_job_end(self, job: JobId) -> None:
        self.ended.append(job)
        self.ended_at[job] = self.world.now

    def submit(
        self,
        id: str,
        spec: JobSpec,
        queue: Queue,
        *,
        may_have_begun: bool = False,
        may_be_of_acting_leader: bool = False,
        reconcile_after: timedelta = RECONCILE_AFTER,
        waited: timedelta = timedelta(),
    ) -> None:
        """Submit a job as a gateway does, or commit it to the log if it is durable."""
        job = JobId(id)
        if spec.long_running:
            self.world.long_running_jobs.add(job)
        if not spec.best_effort:
            self.world.durable_jobs.add(job)
            self._commit(AcceptJob(job=job, queue=queue, spec=spec, at_ms=0))
            return
        if self.dispatch.jobs.is_open(job):
            return
        record = JobRecord(id=job, queue=queue, spec=spec, accepted_ms=0)
        submission = Submission(
            gateway="",
            may_have_begun=may_have_begun,
            may_be_of_acting_leader=may_be_of_acting_leader,
            reconcile_after=reconcile_after,
            waited=waited,
        )
        self.dispatch.submit(record, submission, self.world.now)
        self.act()

    def deliver_heartbeat(
        self, upstream: ModelUpstream, sequence: int, *, draining: bool = False
    ) -> None:
        """Deliver a heartbeat with this sequence number to this leader."""
        heartbeat = Heartbeat(info=upstream.info, sequence=sequence, draining=draining)
        self.dispatch.handle_heartbeat(heartbeat, self.world.now)
        self.act()

    def act(self) -> None:
        """Decide, send orders and propose commands."""
        if self.is_over:
            return
        self.dispatch.tick(self.world.now)
        for order in self.dispatch.pop_orders():
            self._send(order)
        for command in filter(self.commits, self.dispatch.pop_proposals()):
            self.world.at(COMMIT_DELAY, lambda command=command: self._commit(command))  # type: ignore[misc]

    def _commit(self, command: Command) -> None:
        # What a leader has proposed may be committed after the leader was lost.
        self.records.apply(command)
        if not self.is_over:
            self.dispatch.handle_applied_command(command, self.world.now)
            self.act()

    def _tick_forever(self) -> None:
        if not self.is_over:
            self.act()
            self.world.at(milliseconds(20), self._tick_forever)

    def _send(self, order: Order) -> None:
        world = self.world
        upstream = self.upstreams[order.upstream.id]
        sent_at = world.now
        if isinstance(order, PollOrder) and world.durable_jobs:
            recorded_through = self.records.upstreams[order.upstream.id].recorded_through
            for end in upstream.ended:
                is_early = (
                    recorded_through < end.number <= order.last_seen
                    and end.task.job in world.durable_jobs
                )
                assert not is_early, "an end is confirmed before it is in the record"
        wait = order.wait if isinstance(order, PollOrder) else timedelta()
        answered = [False]

        def answer(value: object) -> None:
            if answered[0] or self.is_over:
                return
            answered[0] = True
            self._handle_answer(order, value, sent_at, upstream)
            self.act()

        world.at(order.response_timeout + wait, lambda: answer(None))
        if order.upstream.id in self.cut_off:
            return
        fate = world.random.random()
        there, back = milliseconds(world.random.uniform(0.5, 4)), milliseconds(
            world.random.uniform(0.5, 4)
        )
        if fate < world.late_share:
            late = milliseconds(world.random.uniform(2_000, 12_000))
            world.at(late, lambda: self._deliver(order, upstream, lambda value: None))
            return
        loses_answer = fate < world.late_share + world.lost_share

        def reply(value: object) -> None:
            if not loses_answer:
                world.at(back, lambda: answer(value))

        world.at(there, lambda: self._deliver(order, upstream, reply))
        if fate > 0.98:
            world.at(there * 3, lambda: self._deliver(order, upstream, lambda value: None))

    def _deliver(
        self, order: Order, upstream: ModelUpstream, reply: Callable[[object], None]
    ) -> None:
        world = self.world
        if not upstream.is_up:
            if upstream.is_replaced:
                # Another instance holds the address, and says so.
                reply(_INSTANCE_ENDED_ANSWERS[type(order)])
            return
        if isinstance(order, StartOrder):
            # As the job specifies, also for orders that arrive late.
            needs = world.needs.get(order.task.job, Needs(cpu_millis=TASK_CPU))
            reply(upstream.start(order, self.token, needs))
        elif isinstance(order, StopOrder):
            reply(upstream.stop(order, self.token) or "stopped")
        else:
            failure = upstream.accept_poll(order, self.token)
            if failure is not None:
                reply(failure)
            elif upstream.ended or not order.wait:
                reply(upstream.build_reply())
            else:
                self._park(upstream, order.wait, reply)

    def _park(
        self, upstream: ModelUpstream, wait: timedelta, reply: Callable[[object], None]
    ) -> None:
        is_done = [False]

        def answer_poll() -> None:
            if not is_done[0] and upstream.is_up:
                is_done[0] = True
                reply(upstream.build_reply())

        upstream.parked.append(answer_poll)
        self.world.at(wait, answer_poll)

    def _handle_answer(
        self, order: Order, value: object, sent_at: timedelta, upstream: ModelUpstream
    ) -> None:
        now = self.world.now
        if isinstance(order, StartOrder):
            outcome = value if isinstance(value, StartOutcome) else StartOutcome.UNKNOWN
            clock_ms = upstream.clock_ms() if value is not None else None
            self.dispatch.handle_start_answer(order, outcome, clock_ms, now)
        elif isinstance(order, StopOrder):
            lost = value if isinstance(value, CallFailure) else CallFailure.NO_ANSWER
            failure = None if value == "stopped" else lost
            self.dispatch.handle_stop_answer(order, failure, now)
        else:
            reply = value if isinstance(value, PollReply | CallFailure) else CallFailure.NO_ANSWER
            self.dispatch.handle_poll_answer(order, reply, sent_at, now)


def start_site_leader(
    infos: Iterable[UpstreamInfo], *, seed: int, run_ms: int, remote_factor: float = 1.0
) -> Leader:
    """Return a leader that has received heartbeats of all upstreams, 0.1 s into its term."""
    world = World(random=random.Random(seed))
    upstreams = {
        info.id: ModelUpstream(
            world=world, info=info, rate=1.0, run_times=lambda job: milliseconds(run_ms)
        )
        for info in infos
    }
    leader = Leader(
        world=world,
        upstreams=upstreams,
        records=Records(),
        token=1_000_000,
        remote_factor=remote_factor,
    )
    for upstream in upstreams.values():
        leader.deliver_heartbeat(upstream, 1)
    world.run_until(milliseconds(100))
    return leader
