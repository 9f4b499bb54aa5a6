"""Unreachable upstreams that the log records as idle, so that no later leader waits for them."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest

from ..core.cluster.commands import Command, CordonUpstreams, UncordonUpstream
from ..core.cluster.model import JobId, JobState
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from .model_upstreams import TERMS, Leader, World, build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world, start_leader

JOB = "a" * 16
GONE = UpstreamId("u1")


def lose_upstream(seed: int) -> Leader:
    """Return a leader that has known for a long time that an upstream is gone."""
    world, upstreams = build_world(seed)
    for upstream in upstreams.values():
        # A run that takes five times as long as declared would be moved, and so started once more.
        upstream.run_times = lambda job: milliseconds(60 if job == JOB else 300)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit("b" * 16, build_spec(tasks=8), build_queue())
    world.run_until(milliseconds(150))
    upstreams[GONE].crash()
    world.run_until(milliseconds(150) + TERMS.lapse_after + milliseconds(1_000))
    return leader


def replace_leader(first: Leader) -> Leader:
    first.is_over = True
    return start_leader(
        first.world, first.upstreams, first.records, first.token // TOKENS_PER_TERM + 1
    )


def count_starts(world: World, job: str) -> int:
    return sum(ref.job == job for ref, _ in world.begun)


def test_a_resubmitted_job_does_not_wait_for_a_cordoned_upstream() -> None:
    """Guards against a job that waits until all leases must have ended after a leader change."""
    second = replace_leader(lose_upstream(1))
    second.submit(JOB, build_spec(tasks=2), build_queue(), may_have_begun=True)
    second.world.run_until(second.world.now + milliseconds(100))
    assert count_starts(second.world, JOB) == 2


def test_a_job_that_an_acting_leader_may_have_started_waits_for_a_cordoned_upstream() -> None:
    """No leader knows what an acting leader has started in a failure domain that was cut off."""
    second = replace_leader(lose_upstream(2))
    spec = build_spec(tasks=2)
    second.submit(JOB, spec, build_queue(), may_have_begun=True, may_be_of_acting_leader=True)
    second.world.run_until(second.world.now + milliseconds(500))
    assert count_starts(second.world, JOB) == 0
    second.world.run_until(second.world.now + timedelta(seconds=2))
    assert count_starts(second.world, JOB) == 2


def test_nothing_is_started_before_the_log_uncordons_an_upstream() -> None:
    leader = lose_upstream(3)
    upstream = leader.upstreams[GONE]
    upstream.is_up = True
    leader.commits = lambda command: not isinstance(command, UncordonUpstream)
    leader.deliver_heartbeat(upstream, 50)
    leader.world.run_until(leader.world.now + timedelta(seconds=2))
    leader.submit(JOB, build_spec(tasks=8), build_queue())
    leader.world.run_until(leader.world.now + milliseconds(100))
    assert leader.dispatch.instances[GONE].is_fenced
    assert not upstream.runs
    leader.commits = lambda command: True
    leader._commit(UncordonUpstream(upstream=GONE))
    leader.submit("c" * 16, build_spec(tasks=8), build_queue())
    leader.world.run_until(leader.world.now + milliseconds(100))
    assert upstream.runs


def test_an_upstream_that_answers_is_not_cordoned() -> None:
    world, upstreams = build_world(4, lost_share=0.2)
    leader = start_leader(world, upstreams, Records(), 1)
    for step in range(30):
        world.run_until(milliseconds(100 + 100 * step))
        leader.submit(f"{step:016x}", build_spec(tasks=2), build_queue())
    assert not any(record.is_cordoned for record in leader.records.upstreams.values())


def test_cordons_survive_snapshots_and_repeated_commands() -> None:
    records = lose_upstream(5).records
    records.apply(CordonUpstreams(upstreams=(GONE, UpstreamId("never-heard-of"))))
    again = Records()
    again.restore(records.encode())
    assert again.upstreams[GONE].is_cordoned
    again.apply(UncordonUpstream(upstream=GONE))
    again.apply(UncordonUpstream(upstream=GONE))
    assert not again.upstreams[GONE].is_cordoned


@pytest.mark.parametrize("seed", range(25))
def test_campaign_of_upstreams_that_come_and_go(seed: int) -> None:
    """Guards against a task that runs twice, which the model detects.

    Two of these seeds fail if starts do not wait until the log has lifted the cordon.
    """
    world, upstreams = build_world(seed + 500, late_share=0.02)
    chance = random.Random(seed)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(chance.choice((60, 700, 2_500)))
    leader = start_leader(world, upstreams, Records(), 1)
    spec, queue = build_spec(tasks=3, run_ms=900), build_queue(max_attempts=50)
    jobs: list[str] = []

    def commits(command: Command) -> bool:
        """A leader may be lost before its proposals are committed."""
        return not isinstance(command, UncordonUpstream) or chance.random() < 0.5

    leader.commits = commits
    for step in range(60):
        world.run_until(milliseconds(100 + step * 200))
        if chance.random() < 0.4:
            jobs.append(f"{step:016x}")
            leader.submit(jobs[-1], spec, queue)
        leader.cut_off ^= {chance.choice(list(upstreams))} if chance.random() < 0.15 else set()
        if chance.random() < 0.15:
            # The next leader may reach other upstreams than this one.
            cut_off = {id for id in upstreams if chance.random() < 0.4}
            leader = replace_leader(leader)
            leader.cut_off = cut_off
            leader.commits = commits
            for job in jobs:
                leader.submit(job, spec, queue, may_have_begun=True)
        for upstream in upstreams.values():
            if upstream.info.id not in leader.cut_off:
                leader.deliver_heartbeat(upstream, sequence=1_000 + step)
    leader = replace_leader(leader)
    world.late_share = 0.0
    for upstream in upstreams.values():
        leader.deliver_heartbeat(upstream, sequence=10_000)
    for job in jobs:
        leader.submit(job, spec, queue, may_have_begun=True)
    world.run_until(world.now + timedelta(seconds=40))
    assert not any(leader.dispatch.jobs.is_open(JobId(job)) for job in jobs)
    assert leader.dispatch.jobs.find_ended(JobId(jobs[-1])) in (JobState.COMPLETED, None)
    assert not world.running


def lose_upstream_that_has_left(seed: int) -> Leader:
    """Return a leader of which an upstream has left, without an active run, and ended."""
    world, upstreams = build_world(seed)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit("b" * 16, build_spec(tasks=8), build_queue())
    world.run_until(milliseconds(300))
    leader.dispatch.handle_leave(GONE)
    world.run_until(milliseconds(300) + TERMS.lapse_after + milliseconds(300))
    upstreams[GONE].crash()
    world.run_until(world.now + milliseconds(50))
    return leader


def test_a_new_leader_does_not_wait_for_upstreams_that_have_left() -> None:
    """Guards against jobs that wait for leases of a second after each change of leader.

    Upstreams that leave without active runs are not polled, and so were never found unreachable.
    """
    second = replace_leader(lose_upstream_that_has_left(1))
    second.submit(JOB, build_spec(tasks=2), build_queue(), may_have_begun=True)
    second.world.run_until(second.world.now + milliseconds(100))
    assert count_starts(second.world, JOB) == 2


def test_an_upstream_that_leaves_is_not_cordoned_while_a_run_is_active_there() -> None:
    """A later leader would start the task beside that run."""
    world, upstreams = build_world(2)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(4_000)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit("b" * 16, build_spec(tasks=8, run_ms=4_000), build_queue())
    world.run_until(milliseconds(200))
    assert upstreams[GONE].runs
    leader.dispatch.handle_leave(GONE)
    world.run_until(milliseconds(3_000))
    assert upstreams[GONE].runs
    assert not leader.records.upstreams[GONE].is_cordoned
    world.run_until(milliseconds(8_000))
    assert not upstreams[GONE].runs
    assert leader.records.upstreams[GONE].is_cordoned


def test_an_upstream_that_leaves_stays_cordoned_though_it_answers() -> None:
    """Nothing is started there again; lifting the cordon would have later leaders wait for it."""
    world, upstreams = build_world(3)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.dispatch.handle_leave(GONE)
    world.run_until(milliseconds(2_000))
    second = replace_leader(leader)
    world.run_until(milliseconds(4_000))
    assert second.records.upstreams[GONE].is_cordoned
