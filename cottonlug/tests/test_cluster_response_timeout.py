"""Time-outs for the answers of upstreams, and their effect on orders that arrive late."""

from __future__ import annotations

from datetime import timedelta

from ..core.cluster.model import JobId, JobState
from ..core.cluster.records import Records
from ..core.cluster.response_timeout import (
    MAX_RESPONSE_TIMEOUT,
    MIN_RESPONSE_TIMEOUT,
    ResponseTimeout,
)
from .model_upstreams import build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world, start_leader


def learn(*times_ms: float) -> ResponseTimeout:
    timeout = ResponseTimeout()
    for each in times_ms:
        timeout.record_response_time(milliseconds(each))
    return timeout


def test_the_timeout_is_longest_before_the_first_answer() -> None:
    assert ResponseTimeout().find_timeout() == MAX_RESPONSE_TIMEOUT


def test_quick_answers_shorten_the_timeout_to_the_delay_of_an_event_loop_at_least() -> None:
    assert learn(*[2.0] * 20).find_timeout() == MIN_RESPONSE_TIMEOUT


def test_slow_and_scattered_answers_extend_the_timeout_up_to_a_bound() -> None:
    scattered = learn(*[10.0, 30.0] * 20).find_timeout()
    assert milliseconds(40) < scattered < MAX_RESPONSE_TIMEOUT
    assert learn(*[500.0] * 20).find_timeout() == MAX_RESPONSE_TIMEOUT


def test_a_task_whose_start_is_not_answered_is_on_time_elsewhere() -> None:
    """Guards against waiting 80 ms for the answer, longer than the job has to spare."""
    world, upstreams = build_world(1)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(60)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    for number in range(10):
        leader.submit(f"{number:016x}", build_spec(tasks=4), build_queue())
        world.run_until(world.now + milliseconds(200))
    world.late_share = 1.0
    leader.submit("a" * 16, build_spec(tasks=1), build_queue())
    world.late_share = 0.0
    began_at = world.now
    world.run_until(world.now + timedelta(seconds=1))
    job = JobId("a" * 16)
    assert leader.dispatch.jobs.find_ended(job) is JobState.COMPLETED
    assert leader.ended_at[job] - began_at <= milliseconds(1.6 * 60 + 60)
