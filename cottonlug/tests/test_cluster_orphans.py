"""Runs that somebody counts on to end, and others who decide prolong or begin again.

A job that its caller sends again is begun at once, since its first try is taken to have ended: so
nobody may prolong a run for longer than 0.3 s after the gateway of its job has given it up.
"""

from __future__ import annotations

from datetime import timedelta

import pytest

from ..core.cluster.model import JobId
from ..core.cluster.open_jobs import KEEP_ENDED
from ..core.cluster.orders import StopOrder
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.cluster.watcher import SILENT_AFTER
from ..core.ids import UpstreamId
from ..runtime.gateways import GATEWAY_TIMEOUT
from .gateway_builders import JOB
from .model_site import NORTH, SOUTH, TERMS, Site, build_site
from .model_upstreams import Leader, build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world, start_leader

SPEC = build_spec(tasks=1, run_ms=2_600)


def start_runs(seed: int, tasks: int = 1) -> tuple[Leader, UpstreamId]:
    """Return a leader with a job under way at one upstream."""
    world, upstreams = build_world(seed)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(2_600)
    leader = start_leader(world, upstreams, Records(), 1)
    # Shortly before jobs that have ended are forgotten for the first time.
    for step in range(1, 100):
        world.run_until(milliseconds(step * 100))
        beat_all(leader, set(upstreams))
    leader.submit(JOB, build_spec(tasks=tasks, run_ms=2_600), build_queue())
    world.run_until(KEEP_ENDED - milliseconds(10))
    (where,) = set(world.running.values())
    return leader, UpstreamId(where)


def beat_all(leader: Leader, upstreams: set[UpstreamId]) -> None:
    for id in upstreams:
        leader.beat(leader.upstreams[id], sequence=int(leader.world.now / milliseconds(1)))


def lose_stops(monkeypatch: pytest.MonkeyPatch) -> None:
    send = Leader._send
    monkeypatch.setattr(
        Leader,
        "_send",
        lambda self, order: None if isinstance(order, StopOrder) else send(self, order),
    )


def start_in_the_south(seed: int) -> Site:
    """Return a site led from the north: a job of a gateway there has just begun in the south."""
    site = build_site(seed)
    assert site.leader is not None
    for life in site.leader.dispatch.lives.values():
        life.draining = life.info.domain != SOUTH
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
    """Two runs, 1.30 s after a cut, where a leader was elected 0.6 to 0.7 s after it.

    The domain of the leader and of the job's gateway is cut off; the gateway is killed, or answers
    504 after 50 ms. The next leader, outside, finds the run just before its lease ends, does not
    know its job and renews the lease for 0.8 s. 1.3 s after the first try the caller sends its job
    to another gateway of its domain, where a deputy begins it at once.

    Cause: only runs that a deputy began counted as disputed. Proof: the times of the two starts in
    this play; none with a lease that is not renewed.
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
    world.run_until(cut_at + milliseconds(1_500))
    assert world.starts == 2


def test_an_end_listed_late_is_not_taken_for_that_of_a_later_run() -> None:
    """Two runs, begun by one leader, 1.4 s after it had lost an upstream from sight.

    A job was given up while its upstream was out of sight, and sent again 1.3 s later: it begins
    elsewhere, with the same number, since numbers are counted in the open job. Then the upstream
    is back and lists that the first run has lapsed. The leader takes that for the end of the
    second one, and begins a third.

    Cause: `OpenJobs.mark_noting` compares task and number, not the upstream. Proof: no third start
    where the upstream is compared as well.
    """
    leader, where = start_runs(5)
    world = leader.world
    leader.cut_off = {where}
    leader.dispatch.abandon(JobId(JOB), "", world.now)
    world.run_until(world.now + milliseconds(1_300))
    assert not world.running
    leader.submit(JOB, SPEC, build_queue(), settle_after=timedelta())
    world.run_until(world.now + milliseconds(20))
    assert world.starts == 2
    leader.cut_off = set()
    beat_all(leader, {where})
    world.run_until(world.now + milliseconds(500))
    assert world.starts == 2


def test_runs_of_a_job_that_is_given_up_end_with_their_lease_though_no_stop_arrives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A run went on for as long as its stops were lost, with the lease of another beside it.

    The gateway of a job has answered 504 and told its leader so, which sends stops. They are lost
    or late; looks are not, and renew the lease. After 1.3 s the caller sends the job again, and
    where a deputy gets it that begins it at once.

    Cause: runs of a silent gateway are disputed, those of a job given up otherwise are not. Proof:
    the run is gone 1.0 s later where `abandon` disputes them.
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


def test_runs_left_behind_are_known_however_shortly_before_old_jobs_are_forgotten() -> None:
    """Two runs, begun by one leader, 50 ms after it had given the job up.

    The leader has not heard the job's gateway for a while and gives the job up; the gateway sends
    it again 50 ms later. The stops have not arrived yet. In between, what is known of jobs given up
    was dropped, as it is every 10 s however young it is: the runs were not adopted.

    Cause: `OpenJobs.forget_ended` clears `left_behind` as a whole. Proof: passes 20 ms earlier.
    """
    leader, where = start_runs(6, tasks=2)
    world = leader.world
    leader.cut_off = {where}
    leader.dispatch.abandon(JobId(JOB), "", world.now)
    world.run_until(KEEP_ENDED + milliseconds(40))
    spec = build_spec(tasks=2, run_ms=2_600)
    leader.submit(JOB, spec, build_queue(), may_have_begun=True)
    world.run_until(world.now + milliseconds(100))
    assert world.starts == 2


def test_a_job_of_a_deputy_waits_for_an_upstream_that_the_leader_has_forgotten() -> None:
    """Two runs, at once after a cut of over 10 s has healed.

    The leader forgets upstreams that it has not heard for 10 s and where nothing of its own runs.
    A deputy in the cut-off domain goes on to use them. When the cut heals, its gateways send their
    jobs on to the leader, which sees all upstreams that it knows, and begins them at once, up to a
    heartbeat before it hears of the upstream where they run.

    Cause: an upstream that the log does not hold is not waited for. Proof: the record of that
    upstream is gone, and the job waits with it.
    """
    world, upstreams = build_world(13)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(2_600)
    first = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    far = UpstreamId("u1")
    near = set(upstreams) - {far}
    roster = Records()
    roster.restore(first.records.encode())
    first.cut_off = {far}
    for step in range(110):
        world.run_until(milliseconds(200 + step * 100))
        beat_all(first, near)
    assert world.now > SILENT_AFTER
    deputy = Leader(
        world=world,
        upstreams=upstreams,
        records=roster,
        token=TOKENS_PER_TERM + 1,
        cut_off=near,
        is_deputy=True,
    )
    world.run_until(world.now + milliseconds(50))
    deputy.submit(JOB, SPEC, build_queue(), settle_after=timedelta())
    world.run_until(world.now + milliseconds(50))
    assert list(world.running.values()) == [far]
    first.is_over = deputy.is_over = True
    token = 2 * TOKENS_PER_TERM
    second = Leader(world=world, upstreams=upstreams, records=first.records, token=token)
    beat_all(second, near)
    world.run_until(world.now + milliseconds(50))
    second.submit(JOB, SPEC, build_queue(), may_have_begun=True, may_be_of_deputy=True)
    world.run_until(world.now + milliseconds(100))
    assert world.starts == 1
