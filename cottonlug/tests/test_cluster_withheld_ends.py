"""Ends of durable jobs that an acting leader finds, although it has not heard of these jobs.

A job is accepted and started, and all control hosts are lost before any gateway has heard of it. A
gateway acts as leader until they are back. The job's record is in their log alone.
"""

from __future__ import annotations

from datetime import timedelta

from ..core.cluster.model import JobId, JobState, RunEndKind
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from .gateway_builders import JOB
from .model_upstreams import Leader, ModelUpstream, World, build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world, start_leader

ACTING_TOKEN = TOKENS_PER_TERM + 1_000
NEXT_TERM = 2


def accept_and_lose_leader(
    run_time: timedelta, *, tasks: int = 1, attempts: int = 3
) -> tuple[World, dict[UpstreamId, ModelUpstream], Records]:
    """Return a site whose leader was lost just after it had started a durable job."""
    world, upstreams = build_world(1)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: run_time
    records = Records()
    leader = start_leader(world, upstreams, records, 1)
    world.run_until(milliseconds(300))
    declared_ms = round(run_time / milliseconds(1))
    spec = build_spec(tasks=tasks, run_ms=declared_ms, durable=True)
    leader.submit(JOB, spec, build_queue(max_attempts=attempts))
    world.run_until(milliseconds(330))
    assert len(world.running) == tasks
    leader.is_over = True
    return world, upstreams, records


def act_as_leader(
    world: World, upstreams: dict[UpstreamId, ModelUpstream], records: Records
) -> Leader:
    """Return an acting leader that knows all upstreams, but no durable job."""
    known = Records()
    known.restore(records.encode())
    known.jobs = {}
    return Leader(
        world=world, upstreams=upstreams, records=known, token=ACTING_TOKEN, is_acting=True
    )


def resume(world: World, upstreams: dict[UpstreamId, ModelUpstream], records: Records) -> Leader:
    return start_leader(world, upstreams, records, NEXT_TERM)


def test_a_done_task_of_a_job_unknown_to_an_acting_leader_does_not_run_again() -> None:
    """Guards against tasks that run twice after all control hosts were lost at an acceptance.

    The acting leader confirmed their ends to the upstreams, which then forgot them.
    """
    world, upstreams, records = accept_and_lose_leader(milliseconds(60), tasks=8)
    world.run_until(milliseconds(850))
    acting = act_as_leader(world, upstreams, records)
    world.run_until(milliseconds(1_200))
    acting.is_over = True
    resume(world, upstreams, records)
    world.run_until(milliseconds(4_000))
    assert world.starts == 8
    assert records.jobs[JobId(JOB)].state is JobState.COMPLETED


def test_a_failed_run_found_by_an_acting_leader_counts_as_an_attempt() -> None:
    """Guards against starts beyond the attempts of a queue after an acting leader."""
    world, upstreams, records = accept_and_lose_leader(milliseconds(60), attempts=1)
    ((ref, where),) = world.running.items()
    upstreams[UpstreamId(where)].runs[ref].how = RunEndKind.FAILED
    world.run_until(milliseconds(850))
    acting = act_as_leader(world, upstreams, records)
    world.run_until(milliseconds(1_200))
    acting.is_over = True
    resume(world, upstreams, records)
    world.run_until(milliseconds(4_000))
    assert world.starts == 1
    assert records.jobs[JobId(JOB)].state is JobState.FAILED


def test_an_acting_leader_lets_the_lease_run_out_where_it_must_not_confirm_an_end() -> None:
    """Guards against a lease that is renewed although another host waits for its end.

    A leader that cannot reach the upstream starts the task elsewhere once the lease has ended.
    """
    world, upstreams, records = accept_and_lose_leader(milliseconds(60))
    (where,) = {UpstreamId(each) for each in world.running.values()}
    world.run_until(milliseconds(850))
    expires_ms = upstreams[where].expires_ms
    acting = act_as_leader(world, upstreams, records)
    world.run_until(milliseconds(900))
    acting.submit("b" * 16, build_spec(tasks=6, run_ms=60), build_queue())
    world.run_until(milliseconds(1_500))
    assert acting.dispatch.jobs.find_ended(JobId("b" * 16)) is JobState.COMPLETED
    assert where not in {UpstreamId(each) for each in world.running.values()}
    assert upstreams[where].expires_ms == expires_ms


def test_an_acting_leader_does_not_stop_a_run_of_a_durable_job() -> None:
    """Guards against losing work when a leader is back before the lease has ended."""
    world, upstreams, records = accept_and_lose_leader(milliseconds(1_500))
    world.run_until(milliseconds(400))
    acting = act_as_leader(world, upstreams, records)
    world.run_until(milliseconds(1_000))
    acting.is_over = True
    assert acting.dispatch.counts.stops == 0
    resume(world, upstreams, records)
    world.run_until(milliseconds(4_000))
    assert world.starts == 1
    assert records.jobs[JobId(JOB)].state is JobState.COMPLETED


def test_an_acting_leader_confirms_the_ends_of_best_effort_jobs() -> None:
    """Guards against upstreams that list the ends of all jobs while no leader is back."""
    world, upstreams, records = accept_and_lose_leader(milliseconds(60))
    withheld = {UpstreamId(each) for each in world.running.values()}
    world.run_until(milliseconds(850))
    acting = act_as_leader(world, upstreams, records)
    world.run_until(milliseconds(900))
    acting.submit("b" * 16, build_spec(tasks=6, run_ms=60), build_queue())
    world.run_until(milliseconds(2_000))
    listing = {id for id, upstream in upstreams.items() if upstream.ended}
    assert listing == withheld
