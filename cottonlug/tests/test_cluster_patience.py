"""How long answers of upstreams are waited for, and what that does for orders that come late."""

from __future__ import annotations

from datetime import timedelta

from ..core.cluster.model import JobId, JobState
from ..core.cluster.patience import LONGEST, SHORTEST, Patience
from ..core.cluster.records import Records
from .model_upstreams import build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world, start_leader


def learn(*times_ms: float) -> Patience:
    patience = Patience()
    for each in times_ms:
        patience.receive_answer(milliseconds(each))
    return patience


def test_before_anything_was_learnt_it_is_long() -> None:
    assert Patience().find_limit() == LONGEST


def test_quick_answers_make_it_short_but_no_shorter_than_a_loop_may_be_held_up() -> None:
    assert learn(*[2.0] * 20).find_limit() == SHORTEST


def test_slow_and_scattered_answers_make_it_longer_up_to_a_bound() -> None:
    scattered = learn(*[10.0, 30.0] * 20).find_limit()
    assert milliseconds(40) < scattered < LONGEST
    assert learn(*[500.0] * 20).find_limit() == LONGEST


def test_a_task_whose_start_is_not_answered_is_in_time_elsewhere() -> None:
    """Failed before: the answer was waited for for 80 ms, longer than the job had to spare."""
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
