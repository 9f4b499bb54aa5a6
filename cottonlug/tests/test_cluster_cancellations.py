"""How long work of a cancelled job goes on in the model.

Nothing of it is started 4 s after the acknowledgement, and nothing of it runs 50 ms after that. A
run that an upstream begins late, by itself, is counted from its own begin. The lease of such a run
counts from then, too, which is the worst case.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

import pytest

from ..core.clock import to_milliseconds
from ..core.cluster.calls import Answer, Cancel, Outcome
from ..core.cluster.cancelled_jobs import MAX_CANCELLED, RETENTION_MS, CancelledJobs
from ..core.cluster.commands import CancelJob
from ..core.cluster.model import JobId, JobState, Needs
from ..core.cluster.open_jobs import ENDED_JOB_RETENTION
from ..core.cluster.orders import Order, StartOrder, StopOrder
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from .gateway_builders import JOB as JOB_NAME
from .gateway_builders import IdlePort, build_submit
from .model_upstreams import (
    TASK_CPU,
    TERMS,
    Leader,
    ModelUpstream,
    World,
    build_queue,
    build_spec,
    milliseconds,
)
from .test_cluster_contact import run_callbacks
from .test_cluster_dispatch import build_world
from .test_cluster_waiting import lead

JOB = JobId(JOB_NAME)
OTHER = JobId("d" * 16)
QUEUE = build_queue(max_attempts=50, target_ms=60_000)
START_BOUND = timedelta(seconds=4)
RUN_BOUND = START_BOUND + milliseconds(50)
STEP = milliseconds(10)
"""How often it is observed what runs."""
LONG_RUN = timedelta(seconds=60)
LONGEST_CUT_MS = 3_900
"""While no host reaches an upstream, several late starts, one after the other, can keep its lease
from ending: in a play with 6.5 s without contact, all starts late, a run went on for 4.8 s."""
NOBODY: frozenset[UpstreamId] = frozenset()


@dataclass(slots=True, kw_only=True)
class Site:
    """Four upstreams, successive coordinators, a job that is cancelled, and what has run of it."""

    chance: random.Random
    is_durable: bool
    is_busy: bool
    """Whether another job runs everywhere, so that all upstreams are polled and hold leases."""
    is_late: bool = False
    """Whether starts of the job get no answer, and are carried out 1.5 to 6 s late."""
    loses_stops: bool = False
    world: World = field(init=False)
    upstreams: dict[UpstreamId, ModelUpstream] = field(init=False)
    records: Records = field(default_factory=Records)
    leader: SiteLeader = field(init=False)
    cancelled_at: timedelta = timedelta(hours=1)
    last_sent: timedelta = timedelta()
    """When a start was last sent, after the acknowledgement."""
    longest: timedelta = timedelta()
    """How long any run has gone on after the acknowledgement, or after its own later begin."""
    late_starts: int = 0
    """Starts that were carried out after the acknowledgement."""

    def __post_init__(self) -> None:
        self.world, self.upstreams = build_world(self.chance.randrange(1_000))
        for upstream in self.upstreams.values():
            upstream.run_times = lambda job: LONG_RUN
        self.lead(1)
        self.run(100)
        if self.is_busy:
            tasks = 2 * len(self.upstreams) - 1
            spec = build_spec(tasks=tasks, run_ms=60_000, durable=self.is_durable)
            self.leader.submit(OTHER, spec, QUEUE)
            self.run(100)
        self.submit()
        self.run(self.chance.uniform(20, 500))
        assert bool(self.count_runs()) != self.is_late

    def lead(self, term: int, *, level: int = 0, cut_off: frozenset[UpstreamId] = NOBODY) -> None:
        """Let another host lead, or act as leader with a level, instead of the present one."""
        if term > 1 or level:
            self.leader.is_over = True
        records = self.records
        if level:
            records = Records()
            records.upstreams = dict(self.records.upstreams)
        self.leader = SiteLeader(
            world=self.world,
            upstreams=self.upstreams,
            records=records,
            token=term * TOKENS_PER_TERM + level,
            is_acting=level > 0,
            cut_off=set(cut_off),
            site=self,
        )
        for upstream in self.upstreams.values():
            self.leader.deliver_heartbeat(upstream, sequence=int(self.world.now / STEP))

    def submit(self, *, again: bool = False) -> None:
        """Submit the job as `JobAnswers` does: if it has ended, its end is the answer."""
        if self.leader.dispatch.jobs.find_ended(JOB) is None:
            spec = build_spec(tasks=1, run_ms=60_000, durable=self.is_durable)
            self.leader.submit(JOB, spec, QUEUE, may_have_begun=again)

    def cancel(self) -> None:
        """Cancel the job as `JobAnswers` does; this is the time of the acknowledgement."""
        self.cancelled_at = self.world.now
        self.leader.dispatch.cancel(JOB, self.world.now)
        self.leader._commit(CancelJob(job=JOB, at_ms=int(self.world.now / milliseconds(1))))

    def cut_off(self, upstreams: set[UpstreamId], lasts_ms: float) -> None:
        """Cut upstreams off from the present coordinator for a while."""
        self.leader.cut_off |= upstreams
        self.world.at(milliseconds(lasts_ms), self.leader.cut_off.clear)

    def run(self, span_ms: float) -> None:
        """Let time pass, and observe what runs."""
        end = self.world.now + milliseconds(span_ms)
        while self.world.now < end:
            self.world.run_until(self.world.now + STEP)
            for upstream in self.upstreams.values():
                for ref, run in upstream.runs.items():
                    if ref.job == JOB:
                        taken = self.world.now - max(run.began_at, self.cancelled_at)
                        self.longest = max(self.longest, taken)

    def count_runs(self) -> int:
        """Return how many runs of the job are active."""
        return sum(ref.job == JOB for ref in self.world.running)


@dataclass(slots=True, kw_only=True)
class SiteLeader(Leader):
    """A leader whose starts are carried out late, and whose stops are lost, as its site says."""

    site: Site

    def _send(self, order: Order) -> None:
        is_lost = self.site.loses_stops and isinstance(order, StopOrder)
        if isinstance(order, StartOrder) and order.task.job == JOB:
            self.site.last_sent = self.world.now
            is_lost = self.site.is_late
            if is_lost and order.upstream.id not in self.cut_off:
                late = milliseconds(self.world.random.uniform(1_500, 6_000))
                self.world.at(late, lambda: self._start_late(order))
        cut_off = self.cut_off
        if is_lost:
            self.cut_off = cut_off | {order.upstream.id}
        Leader._send(self, order)
        self.cut_off = cut_off

    def _start_late(self, order: StartOrder) -> None:
        upstream, before = self.upstreams[order.upstream.id], self.world.starts
        expires_ms = upstream.clock_ms() + int(TERMS.longest / milliseconds(1))
        late = replace(order, expires_ms=expires_ms)
        upstream.start(late, self.token, Needs(cpu_millis=TASK_CPU))
        if self.world.now > self.site.cancelled_at:
            self.site.late_starts += self.world.starts - before


def cancel_only(site: Site) -> None:
    site.cancel()


def change_leader(site: Site) -> None:
    """Cancel, and replace the leader by one that reaches all upstreams."""
    site.cancel()
    site.run(site.chance.choice((0, 20, 1_200)))
    site.lead(2)


def change_leader_without_contact(site: Site) -> None:
    """Cancel, and replace the leader by one that reaches no upstream for seconds.

    The host that sent the starts is gone for good, and no higher fencing token rejects them.
    """
    site.cancel()
    site.run(site.chance.choice((0, 20, 1_200)))
    site.lead(2, cut_off=frozenset(site.upstreams))
    site.cut_off(set(), site.chance.uniform(1_000, LONGEST_CUT_MS))


def cut_upstreams_off(site: Site) -> None:
    """Cancel while the upstreams are unreachable for a while."""
    site.cut_off(set(site.upstreams), site.chance.uniform(50, LONGEST_CUT_MS))
    site.cancel()


def replace_acting_leader(site: Site) -> None:
    """Cancel a job of an acting leader, which is gone for good, soon after a leader is back."""
    site.lead(1, level=1)
    site.submit(again=True)
    site.run(site.chance.uniform(1_500, 2_500))
    site.lead(2, cut_off=site.chance.choice((NOBODY, frozenset(site.upstreams))))
    site.cut_off(set(), site.chance.uniform(1_000, LONGEST_CUT_MS))
    site.submit(again=True)
    site.run(site.chance.uniform(0, 300))
    site.cancel()


def submit_to_next_leader(site: Site) -> None:
    """Lose the leader after the cancel, before the job's gateway has got its answer."""
    site.cancel()
    site.lead(2)
    site.run(site.chance.uniform(20, 300))
    site.submit(again=True)


def submit_after_cancel(site: Site) -> None:
    """Cancel between two leaders, before the job's gateway submits it to the second one."""
    site.lead(2)
    site.run(site.chance.uniform(20, 200))
    site.cancel()
    site.run(site.chance.uniform(20, 100))
    site.submit(again=True)


def submit_much_later(site: Site) -> None:
    """Submit again, as a caller without an answer, when leaders have forgotten ended jobs."""
    site.cancel()
    site.run(to_milliseconds(ENDED_JOB_RETENTION) * site.chance.uniform(2, 3))
    site.submit(again=True)


def submit_to_acting_leader(site: Site) -> None:
    """Lose the leader as above, while no other is elected for 1 to 2 s; then one is."""
    site.cancel()
    site.lead(1, level=1)
    site.run(600)
    site.submit(again=True)
    site.run(site.chance.uniform(500, 1_500))
    site.lead(2)
    site.submit(again=True)


Case = Callable[[Site], None]
SHARED_CASES = (cancel_only, change_leader, change_leader_without_contact, cut_upstreams_off)
BEST_EFFORT_CASES = (
    replace_acting_leader,
    submit_to_next_leader,
    submit_after_cancel,
    submit_much_later,
    submit_to_acting_leader,
)
CASES: tuple[tuple[Case, bool], ...] = (
    *((case, is_durable) for case in SHARED_CASES for is_durable in (False, True)),
    *((case, False) for case in BEST_EFFORT_CASES),
)
"""Cases, and whether the job is durable; with durable jobs open, no gateway acts as leader."""


def play(
    seed: int,
    is_durable: bool,
    is_busy: bool,
    case: Case,
    *,
    is_late: bool = False,
    loses_stops: bool = False,
) -> Site:
    """Play a case and 14 s after it."""
    site = Site(
        chance=random.Random(seed),
        is_durable=is_durable,
        is_busy=is_busy,
        is_late=is_late,
        loses_stops=loses_stops,
    )
    case(site)
    site.run(14_000)
    return site


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("is_busy", [False, True])
@pytest.mark.parametrize(("case", "is_durable"), CASES)
def test_work_of_a_cancelled_job_ends_in_time(
    case: Case, is_durable: bool, is_busy: bool, is_late: bool, seed: int
) -> None:
    """Guards against work that goes on after a cancel, and against late starts that nobody stops.

    A late start that nobody can see ends with its lease: polls of idle upstreams are not needed.
    """
    site = play(seed, is_durable, is_busy, case, is_late=is_late)
    assert site.last_sent - site.cancelled_at < START_BOUND
    assert site.longest < RUN_BOUND


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize(("case", "is_durable"), CASES)
def test_work_of_a_cancelled_job_ends_in_time_though_no_stop_arrives(
    case: Case, is_durable: bool, is_late: bool, seed: int
) -> None:
    """Guards against a lease that is renewed for as long as stops are lost and polls are not."""
    site = play(seed, is_durable, True, case, is_late=is_late, loses_stops=True)
    assert site.longest < RUN_BOUND


@pytest.mark.parametrize("is_open", [False, True])
def test_a_cancel_of_a_best_effort_job_is_answered_once_later_leaders_know_it(
    is_open: bool,
) -> None:
    """Guards against a cancel that is lost with its leader, and one that overtakes its job."""
    command = CancelJob(job=JOB, at_ms=0)

    async def play() -> tuple[Answer, Answer]:
        leadership, replicated = lead(IdlePort())
        submitting = asyncio.create_task(leadership.answer(build_submit()))
        if is_open:
            await run_callbacks()
        else:
            submitting.cancel()
        cancel = Cancel(host="host", path=f"/q/{JOB}")
        cancelling = asyncio.create_task(leadership.answer(cancel))
        await run_callbacks()
        assert submitting.done() and not cancelling.done()
        replicated.records.apply(command)
        assert replicated.listener is not None
        replicated.listener(command)
        later, later_replicated = lead(IdlePort())
        later_replicated.records.restore(replicated.records.encode())
        answers = await cancelling, await later.answer(build_submit())
        assert not later.dispatch.jobs.is_open(JOB)
        leadership.stop()
        later.stop()
        return answers

    cancelled, submitted = asyncio.run(play())
    assert cancelled.outcome is (Outcome.DONE if is_open else Outcome.NO_JOB)
    assert submitted == Answer(outcome=Outcome.DONE, state=JobState.CANCELLED)


def test_the_table_of_cancelled_jobs_is_bounded_in_time_and_number() -> None:
    """Guards against a table that grows with each cancel, or forgets one before its time."""
    cancelled = CancelledJobs()
    for number in range(MAX_CANCELLED + 2):
        cancelled.add(JobId(f"{number:016x}"), 1_000)
    assert (len(cancelled), cancelled.dropped) == (MAX_CANCELLED, 2)
    cancelled.add(JOB, 1_000 + RETENTION_MS)
    assert (len(cancelled), cancelled.dropped) == (MAX_CANCELLED, 3)
    cancelled.add(OTHER, 1_001 + RETENTION_MS)
    assert JOB in cancelled and len(cancelled) == 2
    cancelled.add(JOB, 2_000 + 2 * RETENTION_MS)
    assert JOB in cancelled and len(cancelled) == 1
