"""What a process tells of an event loop that was held up."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest

from ..runtime import loop_monitor
from ..runtime.events import Event
from ..runtime.loop_monitor import CHECK_INTERVAL, LONG_DELAY, LoopMonitor
from ..runtime.work_meter import Work, WorkMeter
from .gateway_builders import build_clock
from .test_cluster_events import record_events


def play(
    monkeypatch: pytest.MonkeyPatch, lateness: timedelta, checks: int = 1
) -> tuple[list[dict[str, object]], list[float]]:
    """Return the events and delays after work that ends later than the next check is due."""
    logged = record_events(monkeypatch, loop_monitor)
    delays: list[float] = []

    async def scenario() -> None:
        clock = build_clock()
        work = WorkMeter(read_seconds=lambda: clock.monotonic().total_seconds())
        monitor = LoopMonitor(work=work, clock=clock)
        monitor.record_delay = delays.append
        # An old decision, which a check must not count.
        work.count_decision("job_ended", "old")
        monitor.start()
        await asyncio.sleep(0)
        for number in range(1, checks + 1):
            with work.measure(Work.DECISIONS):
                for _ in range(3):
                    work.count_decision("run_started", "large")
                work.count_decision("run_ended", "small")
                clock.advance(CHECK_INTERVAL + lateness)
            while len(delays) < number:
                await asyncio.sleep(0.01)
        monitor.stop()

    asyncio.run(scenario())
    assert all(event is Event.LOOP_DELAYED for event, _ in logged)
    return [fields for _, fields in logged], delays


# Guards against: a leader is silent, and nothing in its log tells which job it worked on.
def test_a_long_delay_is_logged_with_the_job_of_the_most_frequent_decision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged, delays = play(monkeypatch, timedelta(milliseconds=400))
    assert delays[0] == 400
    assert logged == [
        {
            "held_up_ms": 400,
            "work": "decisions",
            "work_ms": 500,
            "decision": "run_started",
            "job": "large",
            "decisions": 3,
        }
    ]


def test_a_short_delay_is_only_measured(monkeypatch: pytest.MonkeyPatch) -> None:
    logged, delays = play(monkeypatch, LONG_DELAY - timedelta(milliseconds=1))
    assert (logged, delays[0]) == ([], 49)


def test_a_process_that_is_late_all_the_time_writes_one_line_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged, delays = play(monkeypatch, timedelta(milliseconds=200), checks=5)
    assert delays == [200] * 5
    # At 0.3 s and at 1.5 s.
    assert len(logged) == 2
