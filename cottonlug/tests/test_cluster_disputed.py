"""Leases that must not be renewed, since another host starts the tasks again once they have ended.

This happens to a leader and an acting leader that do not reach each other. An acting leader is a
gateway that schedules jobs where no leader can be reached. An upstream may run tasks only while it
holds a lease, which is renewed for all its runs at once by whichever of the two polls it.
"""

from __future__ import annotations

import random

import pytest

from ..core.cluster.model import JobId
from ..core.cluster.orders import StopOrder
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from .model_upstreams import TERMS, Leader, build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world, start_leader

JOB = "a" * 16
ACTS_AS_LEADER_AFTER = milliseconds(670)
"""Time from the loss of the leader until the gateway acts as leader."""


def act_as_leader(first: Leader, upstreams: set[UpstreamId], level: int) -> Leader:
    """Have an acting leader coordinate some upstreams, with its own copy of the leader's records.

    It reaches no others. Its fencing token is above that of the leader by `level`.
    """
    records = Records()
    records.restore(first.records.encode())
    return Leader(
        world=first.world,
        upstreams=first.upstreams,
        records=records,
        token=first.token + level,
        cut_off=set(first.upstreams) - upstreams,
        is_acting=True,
    )


def start_long_run(seed: int) -> tuple[Leader, UpstreamId]:
    """Return a leader with one run of `JOB`, which outlasts any lease, and the run's upstream."""
    world, upstreams = build_world(seed)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(2_600)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit(JOB, build_spec(tasks=1, run_ms=2_600), build_queue())
    world.run_until(milliseconds(200))
    ((_, where),) = world.running.items()
    return leader, UpstreamId(where)


def test_an_acting_leader_does_not_renew_the_lease_of_a_run_that_the_leader_has_abandoned() -> None:
    """Guards against a duplicate run: the leader has started the task again elsewhere."""
    leader, where = start_long_run(1)
    leader.cut_off = {where}
    leader.world.run_until(leader.world.now + ACTS_AS_LEADER_AFTER)
    act_as_leader(leader, {where}, 1_001)
    leader.world.run_until(leader.world.now + TERMS.lapse_after * 2)
    ((_, again),) = leader.world.running.items()
    assert again != where


def test_an_acting_leader_adopts_runs_whose_jobs_are_submitted_again() -> None:
    """Guards against a second start of a run that goes on, or a stop of that run."""
    leader, where = start_long_run(2)
    leader.is_over = True
    leader.world.run_until(leader.world.now + ACTS_AS_LEADER_AFTER)
    acting_leader = act_as_leader(leader, {where}, 1_001)
    acting_leader.world.run_until(acting_leader.world.now + milliseconds(60))
    spec = build_spec(tasks=1, run_ms=2_600)
    acting_leader.submit(
        JOB, spec, build_queue(), may_have_begun=True, may_be_of_acting_leader=True
    )
    acting_leader.world.run_until(milliseconds(2_500))
    assert list(acting_leader.world.running.values()) == [where]
    assert acting_leader.world.starts == 1


def test_a_leader_does_not_renew_the_lease_of_a_run_that_an_acting_leader_has_abandoned() -> None:
    """Guards against a duplicate run: the acting leader starts the task again elsewhere."""
    leader, where = start_long_run(3)
    world = leader.world
    world.run_until(milliseconds(3_000))
    assert not world.running
    acting_leader = act_as_leader(leader, set(leader.upstreams), 1_001)
    leader.is_over = True
    world.run_until(world.now + milliseconds(100))
    acting_leader.submit("b" * 16, build_spec(tasks=1, run_ms=2_600), build_queue())
    world.run_until(world.now + milliseconds(100))
    ((_, text),) = world.running.items()
    where = UpstreamId(text)
    acting_leader.cut_off = {where}
    world.run_until(world.now + milliseconds(200))
    others = set(leader.upstreams) - {where}
    again = Leader(
        world=world,
        upstreams=leader.upstreams,
        records=leader.records,
        token=2 * TOKENS_PER_TERM,
        cut_off=others,
    )
    world.run_until(world.now + TERMS.lapse_after * 2)
    assert again.dispatch.instances[where].is_fenced
    ((_, moved_to),) = world.running.items()
    assert moved_to != where


@pytest.mark.parametrize("seed", range(20))
def test_campaign_of_a_leader_and_an_acting_leader_side_by_side(seed: int) -> None:
    """Guards against duplicate runs, which the model detects.

    Each leader has jobs of its own; each upstream is reached by one of them, by both, or by none.
    """
    world, upstreams = build_world(seed + 900, late_share=0.02)
    chance = random.Random(seed)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(chance.choice((60, 700, 2_500)))
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    acting_leader: Leader | None = None
    spec, queue = build_spec(tasks=2, run_ms=900), build_queue(max_attempts=50)
    for step in range(60):
        world.run_until(milliseconds(200 + step * 200))
        for coordinator, name in ((leader, "a"), (acting_leader, "b")):
            if coordinator is not None and chance.random() < 0.4:
                coordinator.submit(f"{name}{step:015x}", spec, queue)
                coordinator.cut_off ^= {chance.choice(list(upstreams))}
        if acting_leader is None and chance.random() < 0.2:
            seen = {id for id in upstreams if chance.random() < 0.5}
            acting_leader = act_as_leader(leader, seen, 1_001 + step)
        elif acting_leader is not None and chance.random() < 0.1:
            acting_leader.is_over = True
            acting_leader = None
    assert world.starts >= 10


def test_runs_of_a_silent_gateway_end_with_their_lease_even_if_no_stop_arrives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lease that never ends since it is renewed for other runs there."""
    leader, where = start_long_run(4)
    world = leader.world
    for upstream in leader.upstreams.values():
        if upstream.info.id != where:
            upstream.crash()
    leader.submit("b" * 16, build_spec(tasks=1, run_ms=2_600), build_queue())
    world.run_until(milliseconds(300))
    assert len(leader.upstreams[where].runs) == 2
    send = Leader._send
    monkeypatch.setattr(
        Leader,
        "_send",
        lambda self, order: None if isinstance(order, StopOrder) else send(self, order),
    )
    leader.dispatch.jobs.jobs[JobId(JOB)].gateway = "gone"
    leader.dispatch.abandon_silent_gateways(lambda gateway: False, world.now)
    world.run_until(world.now + TERMS.lapse_after)
    assert not any(ref.job == JOB for ref in world.running)


def let_leader_stop_run_of_acting_leader(seed: int) -> tuple[Leader, Leader, UpstreamId]:
    """Return an acting leader, a leader that reaches only the upstream of its run, and the latter.

    The job was not submitted to the leader in time, so the leader has had the run stopped. The
    acting leader has an earlier long poll parked there, and continues to coordinate.
    """
    first, _ = start_long_run(seed)
    world = first.world
    world.run_until(milliseconds(3_000))
    first.is_over = True
    acting_leader = act_as_leader(first, set(first.upstreams), 1_001)
    world.run_until(world.now + milliseconds(100))
    acting_leader.submit(JOB, build_spec(tasks=1, run_ms=2_600), build_queue())
    world.run_until(world.now + milliseconds(50))
    ((_, text),) = world.running.items()
    where = UpstreamId(text)
    leader = Leader(
        world=world,
        upstreams=first.upstreams,
        records=first.records,
        token=2 * TOKENS_PER_TERM,
        cut_off=set(first.upstreams) - {where},
    )
    while leader.dispatch.counts.stops == 0:
        world.run_until(world.now + milliseconds(1))
    return acting_leader, leader, where


def test_a_task_is_not_started_twice_after_the_end_of_an_adopted_run() -> None:
    """Guards against an alert that is sent twice.

    It happened while upstreams were replaced and a failure domain was cut off. After the network
    partition the leader stops a run of the acting leader as unclaimed. The job is submitted at that
    moment, so the run is adopted, and its end has the task started again at once. The acting
    leader, whose long poll is parked there, learns of the end as well and does the same.
    """
    acting_leader, leader, _ = let_leader_stop_run_of_acting_leader(11)
    spec = build_spec(tasks=1, run_ms=2_600)
    leader.submit(JOB, spec, build_queue(), may_have_begun=True, may_be_of_acting_leader=True)
    leader.world.run_until(leader.world.now + milliseconds(500))
    assert leader.dispatch.counts.starts == 0
    acting_leader.is_over = True
    leader.cut_off = set()
    leader.world.run_until(leader.world.now + TERMS.lapse_after * 2)
    assert leader.dispatch.counts.starts == 1


def test_an_acting_leader_whose_run_another_host_has_stopped_is_superseded() -> None:
    """Only a host with a higher token can have stopped it, and may have started its task again."""
    acting_leader, _, where = let_leader_stop_run_of_acting_leader(12)
    starts = acting_leader.dispatch.counts.starts
    acting_leader.world.run_until(acting_leader.world.now + milliseconds(30))
    assert acting_leader.dispatch.is_superseded
    assert not acting_leader.upstreams[where].runs
    assert acting_leader.dispatch.counts.starts == starts
