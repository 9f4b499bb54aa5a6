"""Decisions of a leader against a model of upstreams that asserts invariants itself.

Above all, no task may run at two upstreams at once, and none again after its success was recorded
(see `ModelUpstream`). The campaigns at the end play random faults.
"""

from __future__ import annotations

import random
from datetime import timedelta

import pytest

from ..core.cluster.commands import RecordRunEnds
from ..core.cluster.model import (
    JobId,
    JobState,
    PollReply,
    RunEndKind,
    RunEndReport,
    RunNumber,
    TaskRef,
)
from ..core.cluster.orders import PollOrder
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import DomainName, UpstreamId
from .model_upstreams import (
    MAX_STOP_TIME,
    TERMS,
    Leader,
    ModelUpstream,
    World,
    build_info,
    build_queue,
    build_spec,
    milliseconds,
)

UPSTREAMS = 4


def build_world(seed: int, **shares: float) -> tuple[World, dict[UpstreamId, ModelUpstream]]:
    """Return a world with four upstreams; `shares` are the `..._share` fields of `World`."""
    chance = random.Random(seed)
    world = World(random=chance, **shares)  # type: ignore[arg-type]
    upstreams: dict[UpstreamId, ModelUpstream] = {}
    for number in range(1, UPSTREAMS + 1):
        info = build_info(f"u{number}")
        upstreams[info.id] = ModelUpstream(
            world=world,
            info=info,
            rate=chance.uniform(0.98, 1.0),
            run_times=lambda job: milliseconds(chance.lognormvariate(4.2, 0.4)),
        )
    return world, upstreams


def start_leader(
    world: World, upstreams: dict[UpstreamId, ModelUpstream], records: Records, term: int
) -> Leader:
    """Return a leader to which each upstream that is up has sent a heartbeat."""
    token = term * TOKENS_PER_TERM
    leader = Leader(world=world, upstreams=upstreams, records=records, token=token)
    for upstream in upstreams.values():
        if upstream.is_up:
            leader.deliver_heartbeat(upstream, sequence=term)
    return leader


def test_a_best_effort_job_runs_to_completion() -> None:
    """Each of its tasks is started exactly once."""
    world, upstreams = build_world(1)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit("a" * 16, build_spec(tasks=8), build_queue())
    world.run_until(milliseconds(1_000))
    assert leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED
    assert world.starts == 8


def test_an_abandoned_job_may_be_submitted_again() -> None:
    """Guards against answering the second submission with the cancellation of the first."""
    world, upstreams = build_world(2)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    job = "b" * 16
    leader.submit(job, build_spec(run_ms=60), build_queue())
    world.run_until(milliseconds(110))
    leader.dispatch.abandon(JobId(job), "", world.now)
    assert leader.dispatch.jobs.find_ended(JobId(job)) is None
    leader.submit(job, build_spec(run_ms=60), build_queue(), may_have_begun=True)
    world.run_until(milliseconds(2_000))
    assert leader.dispatch.jobs.find_ended(JobId(job)) is JobState.COMPLETED


def test_a_new_leader_takes_over_active_runs() -> None:
    """Guards against starting tasks again although the runs of a lost leader go on.

    The gateway submits their job again to the new leader.
    """
    world, upstreams = build_world(3)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(900)
    records = Records()
    first = start_leader(world, upstreams, records, 1)
    world.run_until(milliseconds(100))
    first.submit("c" * 16, build_spec(tasks=4, run_ms=900), build_queue())
    world.run_until(milliseconds(200))
    assert world.starts == 4
    first.is_over = True
    world.run_until(milliseconds(700))
    second = start_leader(world, upstreams, records, 2)
    second.submit("c" * 16, build_spec(tasks=4, run_ms=900), build_queue(), may_have_begun=True)
    world.run_until(milliseconds(1_500))
    assert second.dispatch.jobs.find_ended(JobId("c" * 16)) is JobState.COMPLETED
    assert world.starts == 4


def test_runs_of_a_job_that_is_not_submitted_again_are_stopped() -> None:
    """Guards against capacity that runs of a lost leader occupy although nobody waits for them."""
    world, upstreams = build_world(4)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: timedelta(seconds=60)
    records = Records()
    first = start_leader(world, upstreams, records, 1)
    world.run_until(milliseconds(100))
    first.submit("d" * 16, build_spec(tasks=4, run_ms=900), build_queue())
    world.run_until(milliseconds(200))
    first.is_over = True
    second = start_leader(world, upstreams, records, 2)
    world.run_until(milliseconds(3_000))
    assert not world.running
    assert all(not instance.runs for instance in second.dispatch.instances.values())


def test_a_job_that_may_have_begun_is_not_rejected() -> None:
    """A rejection tells the caller that nothing has run, but another leader may have started it."""
    world, upstreams = build_world(5)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    for number in range(40):
        leader.submit(f"{number:016x}", build_spec(tasks=8, run_ms=60), build_queue())
    begun = "f" * 16
    leader.submit(begun, build_spec(tasks=8, run_ms=60), build_queue(), may_have_begun=True)
    world.run_until(milliseconds(3_000))
    assert leader.dispatch.jobs.rejections, "the load was meant to be too much"
    assert JobId(begun) not in leader.dispatch.jobs.rejections


def test_no_task_of_a_rejected_job_has_run() -> None:
    """Guards against telling callers that nothing has run of a job that was ended half-way."""
    world, upstreams = build_world(6)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    for number in range(60):
        leader.submit(f"{number:016x}", build_spec(tasks=8, run_ms=60), build_queue())
    world.run_until(milliseconds(3_000))
    assert leader.dispatch.jobs.rejections
    assert not world.started_jobs & set(leader.dispatch.jobs.rejections)


def test_a_cancelled_best_effort_job_stops_and_stays_cancelled() -> None:
    """Guards against runs that go on, and against cancelling a job that does not exist."""
    world, upstreams = build_world(9)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: timedelta(seconds=60)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit("a" * 16, build_spec(tasks=4), build_queue())
    world.run_until(milliseconds(150))
    assert len(world.running) == 4
    assert leader.dispatch.cancel(JobId("a" * 16), world.now)
    world.run_until(milliseconds(1_000))
    assert not world.running
    assert leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.CANCELLED
    assert not leader.dispatch.cancel(JobId("b" * 16), world.now)


def test_an_upstream_whose_first_heartbeat_says_that_it_leaves_gets_no_work() -> None:
    """Guards against acknowledging that it leaves and then forgetting it."""
    world, upstreams = build_world(10)
    leader = Leader(world=world, upstreams=upstreams, records=Records(), token=TOKENS_PER_TERM)
    for upstream in upstreams.values():
        leader.deliver_heartbeat(upstream, sequence=1, draining=True)
    world.run_until(milliseconds(100))
    leader.submit("a" * 16, build_spec(tasks=1), build_queue())
    world.run_until(milliseconds(400))
    assert world.starts == 0
    assert all(record.draining for record in leader.records.upstreams.values())


def start_beside_a_dead_upstream(
    begun_earlier: frozenset[JobId] | None = frozenset(),
) -> tuple[World, Leader]:
    """Return a world and its new leader, 30 ms into its term; one of four upstreams has crashed.

    The new leader cannot know yet whether that one is unreachable and still runs something. The
    last leader has reported which jobs it had begun.
    """
    world, upstreams = build_world(7)
    records = Records()
    first = start_leader(world, upstreams, records, 1)
    world.run_until(milliseconds(100))
    first.is_over = True
    upstreams[UpstreamId("u4")].crash()
    second = Leader(
        world=world,
        upstreams=upstreams,
        records=records,
        token=2 * TOKENS_PER_TERM,
        begun_earlier=begun_earlier,
    )
    world.run_until(milliseconds(130))
    return world, second


def test_a_new_job_does_not_wait_for_the_leases_of_a_dead_upstream() -> None:
    """Otherwise every job waits 1.1 s after a change of leader.

    No gateway has submitted it before, and the last leader has not reported that it had begun. It
    waits just long enough for runs that its caller may have had started by an acting leader through
    another gateway.
    """
    world, leader = start_beside_a_dead_upstream()
    leader.submit("a" * 16, build_spec(tasks=2), build_queue(), reconcile_after=milliseconds(340))
    world.run_until(milliseconds(130 + 340 + 400))
    assert leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED


@pytest.mark.parametrize("begun_earlier", [None, frozenset({JobId("a" * 16)})])
def test_a_job_that_the_last_leader_may_have_begun_waits_for_the_leases_of_a_dead_upstream(
    begun_earlier: frozenset[JobId] | None,
) -> None:
    """Guards against a second run of a task whose caller has sent its job to another gateway.

    The last leader has reported the job as begun, or none of its reports has arrived.
    """
    world, leader = start_beside_a_dead_upstream(begun_earlier)
    leader.submit("a" * 16, build_spec(tasks=2), build_queue(), reconcile_after=timedelta())
    world.run_until(milliseconds(100) + TERMS.lapse_after)
    assert world.starts == 0
    world.run_until(milliseconds(100) + TERMS.lapse_after + milliseconds(400))
    assert leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED


def test_a_job_that_may_have_begun_waits_for_the_leases_of_a_dead_upstream() -> None:
    """Guards against a second run of a task that still runs at an unreachable upstream."""
    world, leader = start_beside_a_dead_upstream()
    leader.submit("a" * 16, build_spec(tasks=2), build_queue(), may_have_begun=True)
    world.run_until(milliseconds(130) + TERMS.lapse_after)
    assert world.starts == 0
    world.run_until(timedelta(seconds=4))
    assert leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED


def test_a_job_submitted_before_all_upstreams_answered_starts_when_they_have() -> None:
    """Guards against waiting for leases to end although every upstream has answered in 10 ms."""
    world, upstreams = build_world(8)
    records = Records()
    first = start_leader(world, upstreams, records, 1)
    world.run_until(milliseconds(100))
    first.is_over = True
    second = Leader(world=world, upstreams=upstreams, records=records, token=2 * TOKENS_PER_TERM)
    second.submit("a" * 16, build_spec(tasks=2), build_queue(), may_have_begun=True)
    world.run_until(milliseconds(500))
    assert second.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED


def test_a_poll_answer_out_of_order_revives_no_run() -> None:
    """Guards against taking an ended run for active, by a poll answer that a later one overtook.

    (Seed 537 of a campaign.)
    """
    world, upstreams = build_world(12)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit("a" * 16, build_spec(tasks=1), build_queue())
    world.run_until(milliseconds(110))
    ((ref, where),) = world.running.items()
    upstream = upstreams[UpstreamId(where)]
    old = upstream.build_reply()
    order = PollOrder(upstream=upstream.info, last_seen=0, expires_ms=None, wait=timedelta())
    world.run_until(milliseconds(1_000))
    assert ref not in world.running
    leader.dispatch.handle_poll_answer(order, old, milliseconds(110), world.now)
    assert not leader.dispatch.instances[upstream.info.id].runs


def test_an_older_run_end_does_not_free_a_task_that_runs_elsewhere() -> None:
    """Guards against two active runs of one task, as found by a campaign.

    The end of a run that was moved is listed to a new leader before the run that replaced it.
    """
    world, upstreams = build_world(11)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: timedelta(seconds=3)
    records = Records()
    first = start_leader(world, upstreams, records, 1)
    world.run_until(milliseconds(100))
    first.submit("a" * 16, build_spec(tasks=1, run_ms=3_000), build_queue())
    world.run_until(milliseconds(200))
    ((ref, where),) = world.running.items()
    first.is_over = True
    moved_to = UpstreamId(where)
    moved_from = next(id for id in upstreams if id != moved_to)
    upstreams[moved_from].ended = [
        RunEndReport(number=1, task=ref, run=RunNumber(4_095), how=RunEndKind.STOPPED)
    ]
    second = Leader(
        world=world,
        upstreams=upstreams,
        records=records,
        token=2 * TOKENS_PER_TERM,
        cut_off={moved_to},
    )
    spec = build_spec(tasks=1, run_ms=3_000)
    second.submit("a" * 16, spec, build_queue(), may_have_begun=True)
    world.run_until(milliseconds(600))
    assert world.running == {ref: moved_to}
    second.cut_off = set()
    world.run_until(timedelta(seconds=6))
    assert second.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED


def test_a_run_that_was_abandoned_but_has_succeeded_is_not_started_again() -> None:
    """Guards against a second run of a task while its success is listed but not yet committed.

    The lease of the run lapsed while its upstream could not be reached, so that its task was queued
    again. (Seed 20 of the campaign of durable jobs.)
    """
    world, upstreams = build_world(15)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit("a" * 16, build_spec(tasks=1, durable=True), build_queue())
    world.run_until(milliseconds(130))
    assert world.starts == 1
    leader.cut_off = set(upstreams)
    world.run_until(timedelta(seconds=2))
    leader.cut_off = set()
    world.run_until(timedelta(seconds=4))
    assert leader.records.jobs[JobId("a" * 16)].state is JobState.COMPLETED
    assert world.starts == 1


def test_a_best_effort_run_end_does_not_confirm_an_uncommitted_durable_one() -> None:
    """With jobs of both kinds, the second end must not confirm the first before its commit."""
    world, upstreams = build_world(14)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit("a" * 16, build_spec(tasks=1, durable=True), build_queue())
    info = upstreams[UpstreamId("u1")].info
    poll_order = PollOrder(upstream=info, last_seen=0, expires_ms=None, wait=timedelta())
    for number, job in ((1, "a" * 16), (2, "b" * 16)):
        ref = TaskRef(JobId(job), 0, 0, 0)
        end = RunEndReport(number=number, task=ref, run=RunNumber(4_096), how=RunEndKind.FAILED)
        reply = PollReply(clock_ms=90 + number, running=(), ended=(end,))
        leader.dispatch.handle_poll_answer(poll_order, reply, world.now, world.now)
    instance = leader.dispatch.instances[info.id]
    assert instance.recorded_through == 0
    proposed = [each for each in leader.dispatch.pop_proposals() if isinstance(each, RecordRunEnds)]
    assert [(each.through, len(each.ends)) for each in proposed] == [(1, 1), (2, 0)]


def test_an_acting_leader_of_one_domain_orders_no_upstream_of_another() -> None:
    """Guards against two acting leaders that take each other's upstreams away.

    A job that may have begun in the other domain waits until the leases there have ended.
    """
    world, upstreams = build_world(13)
    for number, upstream in enumerate(upstreams.values()):
        domain = "north" if number < 2 else "south"
        upstream.info = build_info(upstream.info.id, domain=domain)
    records = Records()
    first = start_leader(world, upstreams, records, 1)
    world.run_until(milliseconds(100))
    first.is_over = True
    acting = Leader(
        world=world,
        upstreams=upstreams,
        records=records,
        token=TOKENS_PER_TERM + 1,
        domain=DomainName("north"),
        is_acting=True,
    )
    acting.submit("a" * 16, build_spec(tasks=2), build_queue(), reconcile_after=timedelta())
    begun = JobId("b" * 16)
    acting.submit(begun, build_spec(tasks=2), build_queue(), may_have_begun=True)
    world.run_until(milliseconds(400))
    assert acting.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED
    assert acting.dispatch.jobs.is_open(begun), "it may run at an upstream of the other domain"
    world.run_until(timedelta(seconds=3))
    assert acting.dispatch.jobs.find_ended(begun) is JobState.COMPLETED
    tokens = {upstream.info.domain: upstream.token for upstream in upstreams.values()}
    assert tokens == {"north": TOKENS_PER_TERM + 1, "south": TOKENS_PER_TERM}


def run_campaign(seed: int, *, durable: bool, stop_time: timedelta = timedelta()) -> None:
    """Play faults for 8 s with up to four leaders, then let everything end."""
    world, upstreams = build_world(seed, lost_share=0.06, late_share=0.03, failed_share=0.02)
    world.stop_time = stop_time
    chance = random.Random(seed + 1_000_000)
    for upstream in upstreams.values():
        # Long runs are still there when an answer is lost, a leader changes or a lease lapses.
        upstream.run_times = lambda job: milliseconds(chance.choice((60, 700, 2_500)))
    records = Records()
    leader = start_leader(world, upstreams, records, 1)
    jobs: list[str] = []
    spec = build_spec(tasks=3, run_ms=900, durable=durable)
    queue = build_queue(max_attempts=50)
    token = 1
    for step in range(80):
        world.run_until(milliseconds(100 + step * 100))
        if chance.random() < 0.2:
            jobs.append(f"{step:016x}")
            leader.submit(jobs[-1], spec, queue)
        if chance.random() < 0.05:
            leader.is_over = True
            world.run_until(world.now + milliseconds(chance.uniform(50, 1_500)))
            token += 1
            leader = start_leader(world, upstreams, records, token)
            for job in jobs if not durable else ():
                leader.submit(job, spec, queue, may_have_begun=True)
        if chance.random() < 0.06:
            leader.cut_off = {chance.choice(list(upstreams))}
        elif chance.random() < 0.07:
            leader.cut_off = set()
        if chance.random() < 0.2:
            for upstream in upstreams.values():
                if upstream.is_up and upstream.info.id not in leader.cut_off:
                    leader.deliver_heartbeat(upstream, sequence=1_000 + step)
    leader.cut_off = set()
    world.lost_share = world.late_share = world.failed_share = 0.0
    for upstream in upstreams.values():
        leader.deliver_heartbeat(upstream, sequence=10_000)
    world.run_until(world.now + timedelta(seconds=40))
    for job in jobs:
        if durable:
            assert records.jobs[JobId(job)].state is JobState.COMPLETED, (seed, job)
        else:
            assert not leader.dispatch.jobs.is_open(JobId(job)), (seed, job)
    assert not world.running


@pytest.mark.parametrize("seed", range(25))
def test_campaign_of_best_effort_jobs(seed: int) -> None:
    """Guards against tasks that run twice at once, and jobs that never end, under faults."""
    run_campaign(seed, durable=False)


@pytest.mark.parametrize("seed", range(25))
def test_campaign_of_durable_jobs(seed: int) -> None:
    """The same, and against jobs that are lost, or tasks that run again after their success."""
    run_campaign(seed, durable=True)


@pytest.mark.parametrize("durable", [False, True])
@pytest.mark.parametrize("seed", range(12))
def test_campaign_of_runs_that_go_on_for_a_while_after_a_stop(seed: int, durable: bool) -> None:
    """Guards against tasks that start again beside a run that is being stopped."""
    run_campaign(seed, durable=durable, stop_time=MAX_STOP_TIME)
