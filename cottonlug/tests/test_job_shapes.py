"""The work on a job grows no faster than the job, whatever the shape of its steps."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest

from ..core.cluster.forecast import find_declared_objective, find_wait_limits
from ..core.cluster.model import JobId, JobSpec, JobState
from ..core.cluster.open_job import Submission
from .job_shapes import SHAPES, Shape, build_line, build_stages, measure_size
from .model_upstreams import Leader, build_info, build_queue, milliseconds, start_site_leader
from .work_counter import count_work

JOB = JobId("a" * 16)
MAX_GROWTH = 1.5
"""Most work for each task and dependency of a job twice as large, over that of the smaller one."""


def measure_growth(build: Shape, work: Callable[[JobSpec], int], size: int) -> float:
    """Return the work for each task and dependency at twice the size, over that at the size."""
    small, large = build(size), build(2 * size)
    return (work(large) / measure_size(large)) / (work(small) / measure_size(small))


def start_leader() -> Leader:
    infos = [build_info(f"u{number}") for number in range(1, 5)]
    return start_site_leader(infos, seed=1, run_ms=20)


def run_until_ended(leader: Leader) -> None:
    while leader.records.jobs[JOB].is_open:
        leader.world.run_until(leader.world.now + milliseconds(100))


def check_completed(leader: Leader, spec: JobSpec) -> None:
    assert leader.records.jobs[JOB].state is JobState.COMPLETED
    assert len(leader.world.begun) == sum(step.count for step in spec.steps)


def run_to_end(spec: JobSpec) -> int:
    """Return the work of a leader on a job from its acceptance to its end."""
    leader = start_leader()

    def run() -> None:
        leader.submit(JOB, spec, build_queue())
        run_until_ended(leader)

    work = count_work(run)
    check_completed(leader, spec)
    return work


def take_over(spec: JobSpec) -> int:
    """Return the work of a leader on a job that an earlier one has begun."""
    first = start_leader()
    first.submit(JOB, spec, build_queue())
    first.world.run_until(first.world.now + milliseconds(60))
    first.is_over = True
    second: list[Leader] = []

    def run() -> None:
        leader = Leader(
            world=first.world, upstreams=first.upstreams, records=first.records, token=2_000_000
        )
        second.append(leader)
        run_until_ended(leader)

    work = count_work(run)
    check_completed(second[0], spec)
    return work


def submit_repeatedly(spec: JobSpec) -> int:
    """Return the work on submissions of an open job that another coordinator may have begun."""
    leader = start_leader()
    best_effort = msgspec.structs.replace(spec, best_effort=True)
    leader.submit(JOB, best_effort, build_queue())
    submission = Submission(
        gateway="other",
        may_have_begun=True,
        may_be_of_acting_leader=True,
        reconcile_after=milliseconds(500),
    )

    def merge() -> None:
        for _ in range(4):
            leader.dispatch.merge_submission(JOB, submission, leader.world.now)
            leader.dispatch.jobs.queue_unknown(leader.dispatch.jobs.jobs[JOB])

    return count_work(merge)


def forecast(spec: JobSpec) -> int:
    """Return the work of a gateway, which forecasts a job before it passes it on."""

    def run() -> None:
        find_wait_limits(build_queue(), spec)
        find_declared_objective(build_queue(), spec)

    return count_work(run)


# Guards against: one pipeline of 14 stages of four steps keeps gateways and leaders busy for
# minutes, as every path through the steps is followed by itself.
def test_stages_that_wait_for_each_other_are_forecast_in_time_that_grows_with_their_size() -> None:
    assert measure_growth(build_stages, forecast, 16) < MAX_GROWTH


# Guards against: the same in jobs of other shapes.
@pytest.mark.parametrize("shape", SHAPES)
def test_the_work_of_a_forecast_grows_no_faster_than_the_job(shape: str) -> None:
    assert measure_growth(SHAPES[shape], forecast, 24) < MAX_GROWTH


# Guards against: a chain of a thousand steps ends in a RecursionError.
def test_a_chain_of_a_thousand_steps_is_forecast() -> None:
    limits = find_wait_limits(build_queue(), build_line(1_100))
    assert limits.in_time > milliseconds(0)


# Guards against: a job of many steps stops one leader after the other, as each end of a run goes
# through all steps and tasks of the job.
@pytest.mark.parametrize("shape", SHAPES)
def test_the_work_of_a_leader_on_a_job_grows_no_faster_than_the_job(shape: str) -> None:
    assert measure_growth(SHAPES[shape], run_to_end, 48) < MAX_GROWTH


# Guards against: the next leader, which takes over the job, does no better.
@pytest.mark.parametrize("shape", SHAPES)
def test_the_work_of_the_next_leader_grows_no_faster_than_the_job(shape: str) -> None:
    assert measure_growth(SHAPES[shape], take_over, 48) < MAX_GROWTH


# Guards against: a caller that sends a large job again and again keeps its leader from others.
@pytest.mark.parametrize("shape", SHAPES)
def test_the_work_on_a_repeated_submission_grows_no_faster_than_the_job(shape: str) -> None:
    assert measure_growth(SHAPES[shape], submit_repeatedly, 48) < MAX_GROWTH
