"""Stalled and slow runs, and calls without an answer."""

from __future__ import annotations

from datetime import timedelta

import pytest

from ..core.cluster.model import JobId, JobState, Needs, RunNumber, TaskRef
from ..core.cluster.orders import Run, RunPhase, StartOrder, StartOutcome
from ..core.cluster.progress import ProgressRate, classify_progress, find_next_check
from ..core.cluster.records import Records
from ..core.ids import UpstreamId
from .model_upstreams import TERMS, Leader, build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world, start_leader

EXPECTED = milliseconds(200)


def build_run(*, percent: int, seen_ms: float, advanced_ms: float | None = None) -> Run:
    run = Run(
        task=TaskRef(JobId("a"), 0, 0, 0),
        run=RunNumber(1),
        needs=Needs(),
        phase=RunPhase.RUNNING,
        since=timedelta(),
        percent=percent,
        seen_at=milliseconds(seen_ms),
    )
    run.advanced_at = milliseconds(advanced_ms if advanced_ms is not None else seen_ms)
    return run


@pytest.mark.parametrize(
    ("percent", "seen_ms", "advanced_ms", "rate"),
    [
        (0, 50, 0, ProgressRate.NORMAL),
        (0, 100, 0, ProgressRate.STALLED),
        (90, 300, 180, ProgressRate.STALLED),
        (16, 100, 100, ProgressRate.NORMAL),
        (8, 300, 300, ProgressRate.SLOW),
        (80, 900, 900, ProgressRate.NORMAL),
        (3, 199, 199, ProgressRate.NORMAL),
    ],
)
def test_the_progress_of_a_run_is_classified(
    percent: int, seen_ms: float, advanced_ms: float, rate: ProgressRate
) -> None:
    run = build_run(percent=percent, seen_ms=seen_ms, advanced_ms=advanced_ms)
    assert classify_progress(run, EXPECTED, None) is rate


def test_a_task_as_long_as_its_siblings_is_not_slow() -> None:
    run = build_run(percent=30, seen_ms=300)
    assert classify_progress(run, EXPECTED, milliseconds(900)) is ProgressRate.NORMAL
    assert classify_progress(run, EXPECTED / 4, milliseconds(50)) is ProgressRate.SLOW


def test_a_run_from_a_checkpoint_is_allowed_time_to_be_restored() -> None:
    run = build_run(percent=0, seen_ms=500, advanced_ms=0)
    assert classify_progress(run, EXPECTED, None) is ProgressRate.STALLED
    run.resumes = True
    assert classify_progress(run, EXPECTED, None) is ProgressRate.NORMAL


def test_progress_is_polled_before_and_after_the_expected_end_of_a_run() -> None:
    run = build_run(percent=0, seen_ms=0)
    assert find_next_check(run, EXPECTED, timedelta()) == milliseconds(150)
    assert find_next_check(run, EXPECTED, milliseconds(150)) == milliseconds(320)
    assert find_next_check(run, EXPECTED, timedelta(seconds=9)) is None


def test_a_hanging_task_is_started_elsewhere_in_time() -> None:
    """Guards against moving it only after three times its expected time."""
    world, upstreams = build_world(5)
    for number, upstream in enumerate(upstreams.values()):
        run_ms = 60_000 if number == 0 else 200
        upstream.run_times = lambda job, run_ms=run_ms: milliseconds(run_ms)  # type: ignore[misc]
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit("a" * 16, build_spec(tasks=4, run_ms=200), build_queue())
    world.run_until(milliseconds(100 + 1.6 * 200 + 60))
    assert leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED


def start_one_run(leader: Leader, run_ms: float) -> UpstreamId:
    """Submit a job of one task and return where it runs."""
    for upstream in leader.upstreams.values():
        upstream.run_times = lambda job: milliseconds(run_ms)
    leader.submit("a" * 16, build_spec(tasks=1, run_ms=int(run_ms)), build_queue())
    leader.world.run_until(leader.world.now + milliseconds(10))
    ((_, where),) = leader.world.running.items()
    return UpstreamId(where)


def test_no_run_counts_as_stalled_while_its_upstream_does_not_answer() -> None:
    """Otherwise runs are stopped because the answers to polls were lost (28 of them)."""
    world, upstreams = build_world(6)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    where = start_one_run(leader, 100)
    leader.cut_off = {where}
    world.run_until(milliseconds(700))
    counts = leader.dispatch.counts
    assert counts.moved_runs == 0
    assert counts.failed_looks > 0


def test_the_lease_of_an_upstream_that_does_not_answer_lapses() -> None:
    """Otherwise repeated polls count as renewals, for 4.5 s and more with long-running tasks."""
    world, upstreams = build_world(9)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    where = start_one_run(leader, 60_000)
    leader.upstreams[where].crash()
    world.run_until(world.now + TERMS.lapse_after + milliseconds(400))
    ((_, again),) = world.running.items()
    assert again != where


def test_a_run_whose_start_had_no_answer_goes_on_where_it_runs() -> None:
    """Guards against stopping it at once and starting it elsewhere, its work thrown away."""
    world, upstreams = build_world(7)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    where = start_one_run(leader, 500)
    instance = leader.dispatch.instances[where]
    (run,) = instance.runs.values()
    run.phase = RunPhase.STARTING
    order = StartOrder(
        upstream=instance.info, task=run.task, run=run.run, payload="", checkpoint="", expires_ms=0
    )
    leader.dispatch.handle_start_answer(order, StartOutcome.UNKNOWN, None, world.now)
    leader.act()
    world.run_until(milliseconds(1_000))
    assert world.starts == 1
    assert leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED


def test_a_task_whose_start_was_lost_begins_elsewhere_after_one_stop() -> None:
    world, upstreams = build_world(8)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(60)
    original = Leader._deliver
    lost: list[StartOrder] = []

    def lose_first(self: Leader, order: object, upstream: object, reply: object) -> None:
        if isinstance(order, StartOrder) and not lost:
            lost.append(order)
            return
        original(self, order, upstream, reply)  # type: ignore[arg-type]

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Leader, "_deliver", lose_first)
        leader.submit("a" * 16, build_spec(tasks=1), build_queue())
        world.run_until(milliseconds(400))
    assert lost
    assert leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED
    assert leader.dispatch.counts.stops == 1


def count_polls(*, is_busy: bool) -> int:
    """Return how many polls a leader sends for twelve runs, one after the other."""
    world, upstreams = build_world(5)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(150)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(1_500))
    leader.dispatch.set_busy(is_busy)
    before = leader.dispatch.counts.looks
    for number in range(12):
        leader.submit(f"{number:016x}", build_spec(tasks=1, run_ms=150), build_queue())
        world.run_until(world.now + milliseconds(400))
        assert leader.dispatch.jobs.find_ended(JobId(f"{number:016x}")) is JobState.COMPLETED
    return leader.dispatch.counts.looks - before


def test_a_busy_leader_does_not_poll_to_check_the_progress_of_runs() -> None:
    """Guards against a leader that lacks processor time and spends a third of its polls on checks.

    What remains is a poll for each end, and one that confirms it.
    """
    assert count_polls(is_busy=True) <= 2 * 12
    assert count_polls(is_busy=False) >= 3 * 12


def test_a_stalled_run_is_moved_by_a_busy_leader_as_well() -> None:
    """The polls that renew leases show it, a little later."""
    world, upstreams = build_world(5)
    for number, upstream in enumerate(upstreams.values()):
        run_ms = 60_000 if number == 0 else 200
        upstream.run_times = lambda job, run_ms=run_ms: milliseconds(run_ms)  # type: ignore[misc]
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.dispatch.set_busy(True)
    leader.submit("a" * 16, build_spec(tasks=4, run_ms=200), build_queue())
    world.run_until(milliseconds(1_000))
    assert leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED
    assert leader.dispatch.counts.moved_runs >= 1
