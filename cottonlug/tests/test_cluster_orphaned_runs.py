"""Runs whose end is relied on while another coordinator prolongs or restarts them.

A job that its caller submits again is started at once, because its first run is taken to have
ended. So no host may prolong a run for longer than 0.3 s after the gateway of its job has abandoned
it.
"""

from __future__ import annotations

from datetime import timedelta

import pytest

from ..core.cluster.model import JobId
from ..core.cluster.open_jobs import ENDED_JOB_RETENTION
from ..core.cluster.orders import StopOrder
from ..core.cluster.records import Records
from ..core.cluster.silent_upstreams import SILENT_AFTER
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from ..runtime.gateway_registry import GATEWAY_TIMEOUT
from .gateway_builders import JOB
from .model_site import NORTH, SOUTH, TERMS, TURN_INTERVAL, Site, build_site
from .model_upstreams import Leader, build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world, start_leader

SPEC = build_spec(tasks=1, run_ms=2_600)


def start_runs(seed: int, tasks: int = 1) -> tuple[Leader, UpstreamId]:
    """Return a leader with an active job at one upstream."""
    world, upstreams = build_world(seed)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(2_600)
    leader = start_leader(world, upstreams, Records(), 1)
    # Shortly before ended jobs are forgotten for the first time.
    for step in range(1, 100):
        world.run_until(milliseconds(step * 100))
        deliver_heartbeats(leader, set(upstreams))
    leader.submit(JOB, build_spec(tasks=tasks, run_ms=2_600), build_queue())
    world.run_until(ENDED_JOB_RETENTION - milliseconds(10))
    (where,) = set(world.running.values())
    return leader, UpstreamId(where)


def deliver_heartbeats(leader: Leader, upstreams: set[UpstreamId]) -> None:
    for id in upstreams:
        leader.deliver_heartbeat(
            leader.upstreams[id], sequence=int(leader.world.now / milliseconds(1))
        )


def lose_stops(monkeypatch: pytest.MonkeyPatch) -> None:
    send = Leader._send
    monkeypatch.setattr(
        Leader,
        "_send",
        lambda self, order: None if isinstance(order, StopOrder) else send(self, order),
    )


def start_in_the_south(seed: int) -> Site:
    """Return a site led from the north: a job of a gateway there has just started in the south."""
    site = build_site(seed)
    assert site.leader is not None
    for instance in site.leader.dispatch.instances.values():
        instance.draining = instance.info.domain != SOUTH
    site.submit(JOB, site.gateways[0])
    site.world.run_until(milliseconds(500))
    ((_, where),) = site.world.running.items()
    assert site.upstreams[UpstreamId(where)].info.domain == SOUTH
    return site


@pytest.mark.parametrize("elected_ms", [600, 700])
@pytest.mark.parametrize("is_killed", [True, False])
def test_a_new_leader_does_not_prolong_a_run_whose_job_it_does_not_know(
    elected_ms: float, is_killed: bool
) -> None:
    """Guards against two runs, 1.30 s after a network partition.

    A leader is elected 0.6 to 0.7 s after the partition. The domain of the earlier leader and of
    the job's gateway is cut off; the gateway is killed, or answers 504 after 50 ms. The next
    leader, outside, finds the run just before its lease ends, does not know its job and renews the
    lease for 0.8 s. The caller submits its job 1.3 s after the first time to another gateway of its
    domain, where an acting leader starts it at once, or outside, where the next leader starts it
    once all leases of the earlier one have ended. Two starts are correct if the lease of any
    orphaned run is left to end, not only that of a run that an acting leader started.
    """
    site = start_in_the_south(1)
    world, cut_at = site.world, site.world.now
    site.cut_off = {NORTH}
    world.at(milliseconds(280), site.lose_leader)
    world.at(milliseconds(elected_ms), lambda: site.lead_from(SOUTH))
    if is_killed:
        site.kill(site.gateways[0])
    else:
        site.gateways[0].calls[0].give_up_at = cut_at + milliseconds(50)
    world.run_until(cut_at + milliseconds(elected_ms) + TERMS.lapse_after + TURN_INTERVAL)
    assert world.starts == 2


def test_an_end_listed_late_is_not_taken_for_that_of_a_later_run() -> None:
    """Guards against two runs, started by one leader, 1.4 s after an upstream became unreachable.

    A job is abandoned while its upstream is unreachable, and submitted again 1.3 s later. It starts
    elsewhere, with the same run number, because run numbers are counted per open job. Then the
    upstream is back and lists that the first run has lapsed. An end must be matched by upstream as
    well as by task and run number: otherwise the leader takes this for the end of the second run,
    and starts a third.
    """
    leader, where = start_runs(5)
    world = leader.world
    leader.cut_off = {where}
    leader.dispatch.abandon(JobId(JOB), "", world.now)
    world.run_until(world.now + milliseconds(1_300))
    assert not world.running
    leader.submit(JOB, SPEC, build_queue(), reconcile_after=timedelta())
    world.run_until(world.now + milliseconds(20))
    assert world.starts == 2
    leader.cut_off = set()
    deliver_heartbeats(leader, {where})
    world.run_until(world.now + milliseconds(500))
    assert world.starts == 2


def test_runs_of_an_abandoned_job_end_with_their_lease_though_no_stop_arrives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a run that continues for as long as its stops are lost.

    The gateway of a job has answered 504 and reported that to its leader, which sends stops. These
    are lost or late; polls are not, and renew the lease for another run beside it. After 1.3 s the
    caller submits the job again, and an acting leader that gets it starts it at once. `abandon`
    must mark the runs as disputed, as is done for runs of a silent gateway: then they are gone 1.0
    s later.
    """
    leader, where = start_runs(7)
    world = leader.world
    lose_stops(monkeypatch)
    for upstream in leader.upstreams.values():
        if upstream.info.id != where:
            upstream.crash()
    leader.submit("b" * 16, SPEC, build_queue())
    world.run_until(world.now + milliseconds(100))
    assert len(leader.upstreams[where].runs) == 2
    leader.dispatch.abandon(JobId(JOB), "", world.now)
    world.run_until(world.now + TERMS.lapse_after + GATEWAY_TIMEOUT)
    assert not any(ref.job == JOB for ref in world.running)


def test_runs_of_a_recently_abandoned_job_are_adopted_when_old_jobs_are_forgotten() -> None:
    """Guards against two runs, started by one leader, 50 ms after it abandoned the job.

    The leader has not heard the job's gateway for a while and abandons the job; the gateway submits
    it again 50 ms later, before the stops have arrived. Abandoned jobs are forgotten every 10 s,
    but only old ones may be: if a recent one was dropped as well, its runs were not adopted. The
    fault shows only if that falls in between; 20 ms earlier it does not.
    """
    leader, where = start_runs(6, tasks=2)
    world = leader.world
    leader.cut_off = {where}
    leader.dispatch.abandon(JobId(JOB), "", world.now)
    world.run_until(ENDED_JOB_RETENTION + milliseconds(40))
    spec = build_spec(tasks=2, run_ms=2_600)
    leader.submit(JOB, spec, build_queue(), may_have_begun=True)
    world.run_until(world.now + milliseconds(100))
    assert world.starts == 2


def test_a_job_of_an_acting_leader_waits_for_an_upstream_that_the_leader_has_forgotten() -> None:
    """Guards against two runs, immediately after a network partition of over 10 s has healed.

    The leader forgets upstreams that it has not heard for 10 s and where nothing of its own runs.
    An acting leader in the cut-off domain continues to use them. When the partition heals, its
    gateways submit their jobs to the leader. If the log no longer contained that upstream, the
    leader would see all upstreams that it knows and start the jobs at once, up to a heartbeat
    before it hears of the upstream where they run.
    """
    world, upstreams = build_world(13)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(2_600)
    first = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    far = UpstreamId("u1")
    near = set(upstreams) - {far}
    state = Records()
    state.restore(first.records.encode())
    first.cut_off = {far}
    for step in range(110):
        world.run_until(milliseconds(200 + step * 100))
        deliver_heartbeats(first, near)
    assert world.now > SILENT_AFTER
    acting_leader = Leader(
        world=world,
        upstreams=upstreams,
        records=state,
        token=TOKENS_PER_TERM + 1,
        cut_off=near,
        is_acting=True,
    )
    world.run_until(world.now + milliseconds(50))
    acting_leader.submit(JOB, SPEC, build_queue(), reconcile_after=timedelta())
    world.run_until(world.now + milliseconds(50))
    assert list(world.running.values()) == [far]
    first.is_over = acting_leader.is_over = True
    token = 2 * TOKENS_PER_TERM
    second = Leader(world=world, upstreams=upstreams, records=first.records, token=token)
    deliver_heartbeats(second, near)
    world.run_until(world.now + milliseconds(50))
    second.submit(JOB, SPEC, build_queue(), may_have_begun=True, may_be_of_acting_leader=True)
    world.run_until(world.now + milliseconds(100))
    assert world.starts == 1
