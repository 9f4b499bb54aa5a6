"""Jobs that repeat at scheduled times, and long-running jobs that last until cancelled."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import pytest

from ..core.cluster.commands import CancelJob
from ..core.cluster.model import JobId, JobSpec, JobState, StepSpec
from ..core.cluster.records import Records
from ..core.cluster.validation import find_job_problem, find_unsupported_feature
from ..core.ids import UpstreamId
from .model_upstreams import Leader, build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world, start_leader

JOB = "a" * 16


def build_timed(
    *, count: int = 3, interval_ms: int = 500, tasks: int = 2, run_ms: int = 60
) -> JobSpec:
    spec = build_spec(tasks=tasks, run_ms=run_ms, durable=True)
    return msgspec.structs.replace(
        spec, repeat_count=count, start_at_ms=1_000, interval_ms=interval_ms
    )


def build_long_running(tasks: int = 2, durable: bool = True) -> JobSpec:
    spec = build_spec(tasks=tasks, run_ms=60, durable=durable)
    return msgspec.structs.replace(spec, long_running=True)


def start_world(seed: int, run_ms: float = 60) -> Leader:
    world, upstreams = build_world(seed)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(run_ms)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    return leader


def replace_leader(first: Leader, token: int = 2) -> Leader:
    first.is_over = True
    return start_leader(first.world, first.upstreams, first.records, token)


def test_each_occurrence_begins_at_its_time_and_all_are_needed_for_completion() -> None:
    leader = start_world(1)
    leader.submit(JOB, build_timed(), build_queue())
    world = leader.world
    world.run_until(milliseconds(1_900))
    assert leader.records.jobs[JobId(JOB)].is_open
    world.run_until(milliseconds(3_000))
    assert leader.records.jobs[JobId(JOB)].state is JobState.COMPLETED
    assert len(world.begun) == 6
    for ref, at in world.begun:
        due = milliseconds(1_000 + 500 * ref.occurrence)
        assert due <= at < due + milliseconds(50)


def test_occurrences_may_overlap() -> None:
    leader = start_world(2, run_ms=800)
    leader.submit(JOB, build_timed(interval_ms=100, run_ms=800), build_queue())
    leader.world.run_until(milliseconds(1_500))
    assert {ref.occurrence for ref in leader.world.running} == {0, 1, 2}


def test_steps_of_one_occurrence_wait_for_that_occurrence_only() -> None:
    leader = start_world(3, run_ms=300)
    first = build_timed(run_ms=300).steps[0]
    second = StepSpec(count=1, estimate_ms=300, depends_on=(0,))
    spec = msgspec.structs.replace(build_timed(count=2, interval_ms=200), steps=(first, second))
    leader.submit(JOB, spec, build_queue())
    leader.world.run_until(milliseconds(1_400))
    assert {(ref.occurrence, ref.step) for ref in leader.world.running} == {(0, 1), (1, 0)}
    leader.world.run_until(milliseconds(3_000))
    assert leader.records.jobs[JobId(JOB)].state is JobState.COMPLETED


def test_a_new_leader_continues_a_timed_job_where_the_last_one_was() -> None:
    first = start_world(4, run_ms=200)
    first.submit(JOB, build_timed(), build_queue())
    first.world.run_until(milliseconds(1_600))
    second = replace_leader(first)
    first.world.run_until(milliseconds(4_000))
    assert second.records.jobs[JobId(JOB)].state is JobState.COMPLETED
    assert len({ref for ref, _ in first.world.begun}) == 6


def test_an_occurrence_that_an_earlier_leader_began_by_a_faster_clock_goes_on() -> None:
    first = start_world(5, run_ms=900)
    first.submit(JOB, build_timed(count=1, run_ms=900), build_queue())
    first.world.run_until(milliseconds(1_100))
    second = replace_leader(first)
    second.dispatch._term.wall_ms = lambda: 0
    first.world.run_until(milliseconds(3_000))
    assert second.records.jobs[JobId(JOB)].state is JobState.COMPLETED
    assert len(first.world.begun) == 2


def test_long_running_tasks_are_started_again_however_they_end() -> None:
    leader = start_world(6, run_ms=300)
    leader.world.failed_share = 0.5
    leader.submit(JOB, build_long_running(), build_queue(max_attempts=1))
    leader.world.run_until(milliseconds(3_000))
    record = leader.records.jobs[JobId(JOB)]
    assert record.is_open
    for task_index in range(2):
        starts = [at for ref, at in leader.world.begun if ref.task_index == task_index]
        assert len(starts) >= 8
        assert starts[-1] > milliseconds(2_600)
    assert leader.dispatch.counts.moved_runs == 0


def test_a_long_running_task_runs_again_after_its_upstream_crashed() -> None:
    leader = start_world(7, run_ms=60_000)
    leader.submit(JOB, build_long_running(tasks=1), build_queue())
    leader.world.run_until(milliseconds(500))
    ((ref, where),) = leader.world.running.items()
    leader.upstreams[UpstreamId(where)].crash()
    leader.world.run_until(milliseconds(3_000))
    assert leader.world.running[ref] != where


def test_a_long_running_task_goes_before_others_when_the_service_is_full() -> None:
    leader = start_world(8, run_ms=200)
    for number in range(30):
        leader.submit(f"{number:016x}", build_spec(tasks=4, run_ms=200), build_queue())
    leader.submit(JOB, build_long_running(tasks=2), build_queue())
    leader.world.run_until(leader.world.now + milliseconds(300))
    assert sum(ref.job == JOB for ref in leader.world.running) == 2


def test_a_cancelled_long_running_job_stops() -> None:
    leader = start_world(9, run_ms=60_000)
    leader.submit(JOB, build_long_running(), build_queue())
    leader.world.run_until(milliseconds(500))
    assert len(leader.world.running) == 2
    leader._commit(CancelJob(job=JobId(JOB), at_ms=0))
    leader.world.run_until(milliseconds(1_000))
    assert not leader.world.running
    assert leader.records.jobs[JobId(JOB)].state is JobState.CANCELLED


@pytest.mark.parametrize("seed", range(6))
def test_campaign_of_long_running_and_timed_jobs(seed: int) -> None:
    """Leaders change and orders are lost; the model fails the test if a task runs twice at once."""
    world, upstreams = build_world(seed + 100, lost_share=0.05, late_share=0.03, failed_share=0.05)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(60_000 if job == JOB else 60)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit(JOB, build_long_running(), build_queue(max_attempts=1))
    timed = "b" * 16
    leader.submit(timed, build_timed(count=8, interval_ms=400, tasks=1), build_queue(50))
    for token in range(2, 6):
        world.run_until(world.now + milliseconds(900 + 50 * seed))
        leader.is_over = True
        world.run_until(world.now + milliseconds(300))
        leader = replace_leader(leader, token)
    world.lost_share = world.late_share = world.failed_share = 0.0
    world.run_until(world.now + timedelta(seconds=20))
    assert leader.records.jobs[JobId(timed)].state is JobState.COMPLETED
    assert sum(ref.job == JOB for ref in world.running) == 2


def test_long_running_and_timed_jobs_are_supported_but_not_combined() -> None:
    assert find_unsupported_feature(build_long_running()) is None
    assert find_unsupported_feature(build_timed()) is None
    assert find_job_problem(build_timed()) is None
    assert find_job_problem(msgspec.structs.replace(build_timed(), long_running=True))
    assert find_job_problem(msgspec.structs.replace(build_timed(), interval_ms=-1))
    assert find_job_problem(build_timed(count=40_000))
