"""Tasks run in the failure domain of their job's gateway, as long as it has free capacity.

Failure pattern: a domain is cut off for seconds, as on most days with failures. No pending job of
another domain must wait for the leases of the upstreams that are cut off.
"""

from __future__ import annotations

from collections import Counter

from ..core.cluster.model import JobId, JobState
from ..core.cluster.open_job import Submission
from ..core.cluster.records import JobRecord
from ..core.ids import DomainName, UpstreamId
from .model_upstreams import (
    RECONCILE_AFTER,
    Leader,
    build_info,
    build_queue,
    build_spec,
    milliseconds,
    start_site_leader,
)

DOMAINS = [DomainName(f"d{number}") for number in range(5)]
UPSTREAMS_PER_DOMAIN = 8
"""Each of the upstreams has capacity for two tasks."""


def build_leader(seed: int, run_ms: int = 200) -> Leader:
    infos = [
        build_info(f"u{number + 1}", domain=DOMAINS[number % len(DOMAINS)])
        for number in range(len(DOMAINS) * UPSTREAMS_PER_DOMAIN)
    ]
    return start_site_leader(infos, seed=seed, run_ms=run_ms)


def submit(leader: Leader, number: int, home: DomainName | None, tasks: int) -> JobId:
    job = JobId(f"{number:016x}")
    spec = build_spec(tasks=tasks, run_ms=200)
    record = JobRecord(id=job, queue=build_queue(), spec=spec, accepted_ms=0)
    submission = Submission(
        gateway="", home=home, may_have_begun=False, reconcile_after=RECONCILE_AFTER
    )
    leader.dispatch.submit(record, submission, leader.world.now)
    leader.act()
    return job


def count_domains(leader: Leader) -> Counter[str]:
    """Return the number of running tasks in each domain."""
    world, upstreams = leader.world, leader.upstreams
    return Counter(upstreams[UpstreamId(id)].info.domain for id in world.running.values())


def test_tasks_run_in_the_domain_of_their_gateway() -> None:
    leader = build_leader(1)
    submit(leader, 1, DOMAINS[3], tasks=8)
    leader.world.run_until(leader.world.now + milliseconds(50))
    assert count_domains(leader) == {DOMAINS[3]: 8}


def test_tasks_beyond_the_home_capacity_go_where_most_capacity_is_free() -> None:
    leader = build_leader(2)
    submit(leader, 1, DOMAINS[0], tasks=4)
    submit(leader, 2, DOMAINS[3], tasks=20)
    leader.world.run_until(leader.world.now + milliseconds(50))
    counted = count_domains(leader)
    assert (counted[DOMAINS[3]], counted[DOMAINS[0]]) == (2 * UPSTREAMS_PER_DOMAIN, 4)
    assert sum(counted.values()) == 24


def test_job_without_a_known_home_stays_in_the_domain_of_its_first_task() -> None:
    leader = build_leader(3)
    submit(leader, 1, None, tasks=8)
    leader.world.run_until(leader.world.now + milliseconds(50))
    assert len(count_domains(leader)) == 1


def test_cut_off_domain_delays_no_job_of_the_others() -> None:
    """When tasks were spread, a cut of one of five domains hit three in five jobs of four tasks."""
    leader = build_leader(4)
    world = leader.world
    jobs: dict[JobId, DomainName] = {}
    for number in range(40):
        home = DOMAINS[number % 5]
        jobs[submit(leader, number, home, tasks=2)] = home
        world.run_until(world.now + milliseconds(20))
    cut = DOMAINS[2]
    leader.cut_off = {id for id, each in leader.upstreams.items() if each.info.domain == cut}
    world.run_until(world.now + milliseconds(600))
    unfinished = {
        home
        for job, home in jobs.items()
        if leader.dispatch.jobs.find_ended(job) is not JobState.COMPLETED
    }
    assert unfinished == {cut}
