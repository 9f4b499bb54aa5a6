"""Upstreams that restart under the id that they had, with new counters and a new clock.

Each run of an upstream's process is an instance of its own: its run ends are numbered from 1, its
clock has another origin, and the lease and the runs of the earlier instance are gone.

Load pattern: a third of a site's upstreams go down and come back every few seconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from datetime import timedelta

import pytest

from ..core.cluster.instances import choose_lease_terms
from ..core.cluster.model import JobId, JobState
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from .model_upstreams import World, build_queue, build_spec, milliseconds
from .wire_site import WireHost, WireLeader, build_hosts, send_heartbeats

TERMS = choose_lease_terms(timedelta(seconds=1), timedelta(milliseconds=1_300), milliseconds(300))
"""As on the users' platform: leases of 0.92 s, where upstreams grant 1 s at most."""
SEEDS = 20
"""Number of plays of the tests that repeat one."""
JOB = "a" * 16
OTHER = "c" * 16
EARLIER = "b" * 16
LENIENT_QUEUE = build_queue(max_attempts=50, target_ms=60_000)
"""For jobs that are useful for a minute, and whose tasks may fail often."""


def build_leader(
    world: World, hosts: dict[str, WireHost], records: Records, term: int = 1
) -> WireLeader:
    return WireLeader(
        world=world,
        upstreams={},
        records=records,
        token=term * TOKENS_PER_TERM,
        terms=TERMS,
        hosts=hosts,
    )


def play_abandoned_job(seed: int, *, starts_again: bool) -> WireLeader:
    """Have two jobs active at one upstream, and abandon one of them.

    With `starts_again`, the upstream has restarted before: its clock then reads about 4,000 s less.
    """
    world = World(random=random.Random(seed))
    run_ms = [60.0]
    hosts = build_hosts(world, 2, run_ms=lambda: run_ms[0], rate=0.98)
    first, second = hosts.values()
    first.process.clock_began_ms = 5_000_000
    leader = build_leader(world, hosts, Records())
    send_heartbeats(first, lambda: leader)
    world.run_until(milliseconds(100))
    leader.submit(EARLIER, build_spec(tasks=8), LENIENT_QUEUE)
    world.run_until(milliseconds(2_000))
    run_ms[0] = 3_000.0
    if starts_again:
        first.restart()
        first.process.clock_began_ms = 1_000_000
    world.run_until(milliseconds(4_000))
    for job in (JOB, OTHER):
        leader.submit(job, build_spec(tasks=1, run_ms=3_000), LENIENT_QUEUE)
    world.run_until(milliseconds(4_300))
    assert len(world.running) == 2
    send_heartbeats(second, lambda: leader)
    world.run_until(milliseconds(4_500))
    leader.dispatch.abandon(JobId(OTHER), "", world.now)
    leader.act()
    world.run_until(milliseconds(12_000))
    return leader


def test_a_job_continues_at_an_upstream_whose_other_job_was_abandoned() -> None:
    """Guards against a job that never ends, or runs twice, since its lease is not renewed."""
    for seed in range(SEEDS):
        leader = play_abandoned_job(seed, starts_again=False)
        assert leader.dispatch.jobs.find_ended(JobId(JOB)) is JobState.COMPLETED
        assert leader.world.starts == 10


# Guards against duplicate runs: the lease of an upstream that had restarted outlived the time that
# was counted.
def test_a_lease_is_measured_by_the_clock_of_the_restarted_upstream() -> None:
    for seed in range(SEEDS):
        leader = play_abandoned_job(seed, starts_again=True)
        assert leader.dispatch.jobs.find_ended(JobId(JOB)) is JobState.COMPLETED
        assert leader.world.starts == 10


# Guards against jobs that never end: run ends were numbered from 1 again, and so taken for old
# ones.
@pytest.mark.parametrize("durable", [False, True])
def test_run_ends_of_a_restarted_upstream_are_recorded(durable: bool) -> None:
    world = World(random=random.Random(2))
    hosts = build_hosts(world, 1, run_ms=lambda: 60.0)
    (host,) = hosts.values()
    records = Records()
    leader = build_leader(world, hosts, records)
    send_heartbeats(host, lambda: leader)
    world.run_until(milliseconds(100))
    leader.submit(EARLIER, build_spec(tasks=8), LENIENT_QUEUE)
    world.run_until(milliseconds(2_000))
    host.restart()
    world.run_until(milliseconds(3_000))
    leader.submit(JOB, build_spec(tasks=4, durable=durable), LENIENT_QUEUE)
    world.run_until(milliseconds(3_500))
    ended = (
        records.jobs[JobId(JOB)].state if durable else leader.dispatch.jobs.find_ended(JobId(JOB))
    )
    assert ended is JobState.COMPLETED
    assert world.starts == 12


# Guards against a later instance that takes starts and leases of an earlier one for its own.
@pytest.mark.parametrize("seed", range(12))
def test_no_task_runs_twice_while_upstreams_restart(seed: int) -> None:
    leader, jobs = play_at_random(seed)
    durable = leader.records.jobs
    has_ended = {
        job: not durable[job].is_open if job in durable else job in leader.ended_at for job in jobs
    }
    assert [job for job in jobs if not has_ended[job]] == []
    assert leader.world.starts >= len(jobs)


@dataclass(slots=True, kw_only=True)
class RandomPlay:
    """Upstreams that restart, lost answers, late orders and a succession of leaders, at random."""

    chance: random.Random
    world: World
    hosts: dict[str, WireHost]
    records: Records = field(default_factory=Records)
    leaders: list[WireLeader] = field(default_factory=list)
    jobs: dict[JobId, bool] = field(default_factory=dict)
    """All submitted jobs, and whether each is durable."""
    is_calm: bool = False

    @property
    def leader(self) -> WireLeader:
        return self.leaders[-1]

    def lead(self, term: int) -> None:
        self.leaders.append(build_leader(self.world, self.hosts, self.records, term=term))

    def disturb(self) -> None:
        """Restart an upstream, at once or after a while, again and again."""
        if self.is_calm:
            return
        host = self.chance.choice(list(self.hosts.values()))
        if self.chance.random() < 0.5:
            host.restart()
        else:
            host.crash()
            down = milliseconds(self.chance.uniform(10, 1_500))
            self.world.at(down, host.restart)
        self.world.at(milliseconds(self.chance.expovariate(1 / 150)), self.disturb)

    def submit(self) -> None:
        """Submit jobs while somebody leads."""
        if self.is_calm:
            return
        if not self.leader.is_over:
            durable = self.chance.random() < 0.4
            job = f"{len(self.jobs):016x}"
            self.jobs[JobId(job)] = durable
            spec = build_spec(tasks=self.chance.randint(1, 4), durable=durable)
            self.leader.submit(job, spec, LENIENT_QUEUE)
        self.world.at(milliseconds(self.chance.expovariate(1 / 120)), self.submit)

    def change_leader(self, term: int) -> None:
        """Lose the leader, and submit to the next what callers still wait for."""
        old = self.leader
        open_jobs = old.dispatch.jobs.jobs.values()
        unfinished = [job for job in open_jobs if not self.jobs[job.record.id]]
        old.is_over = True
        self.world.run_until(self.world.now + milliseconds(300))
        self.lead(term)
        self.leader.ended, self.leader.ended_at = old.ended, old.ended_at
        for job in unfinished:
            self.leader.submit(job.record.id, job.record.spec, LENIENT_QUEUE, may_have_begun=True)

    def calm_down(self) -> None:
        """Stop all faults, and let everything that has started come to its end."""
        self.is_calm = True
        self.world.lost_share = self.world.late_share = 0.0
        for host in self.hosts.values():
            if not host.process.is_up:
                host.restart()
        self.world.run_until(self.world.now + timedelta(seconds=15))


def play_at_random(seed: int) -> tuple[WireLeader, dict[JobId, bool]]:
    """Play some seconds; return the last leader, and all jobs with whether they are durable.

    Two simultaneous runs of a task fail the test, and so does a start after a recorded end.
    """
    chance = random.Random(seed)
    world = World(random=chance, lost_share=0.03, late_share=0.01)
    hosts = build_hosts(world, 6, run_ms=lambda: chance.lognormvariate(4.6, 0.8))
    play = RandomPlay(chance=chance, world=world, hosts=hosts)
    play.lead(1)
    for host in hosts.values():
        send_heartbeats(host, lambda: play.leader)
    world.run_until(milliseconds(100))
    play.disturb()
    play.submit()
    for term in range(2, 5):
        world.run_until(world.now + milliseconds(2_000))
        play.change_leader(term)
    play.calm_down()
    return play.leader, play.jobs
