"""Processor time of one exchange in the core logic, by number of sessions at one entry host."""

from __future__ import annotations

import json
import time
from datetime import timedelta

from msgspec import Raw

from cottonlug.core.dispatcher import Dispatcher
from cottonlug.core.ids import UpstreamId
from cottonlug.core.messages import (
    Announcement,
    ExchangeRequest,
    ResultGroup,
    TaskResult,
)
from cottonlug.core.states import ResultStatus
from cottonlug.tests.builders import build_dispatcher, build_test_job

ROUNDS = 2_000
SLOTS = 8


def measure_exchange(sessions: int) -> float:
    """Return the time of one exchange that reports results and gets starts, in microseconds."""
    dispatcher = build_dispatcher()
    now = timedelta()
    seqs = dict.fromkeys(range(sessions), 0)
    held: dict[str, list[ResultGroup]] = {}

    def exchange(at: int) -> None:
        seqs[at] += 1
        name = UpstreamId(f"w{at}")
        first = seqs[at] == 1
        request = ExchangeRequest(
            upstream=name,
            incarnation="0" * 16,
            session=1,
            seq=seqs[at],
            credit=SLOTS,
            announce=Announcement(slots=SLOTS, processors=32.0, memory_mb=1024) if first else None,
            results=held.pop(name, []),
        )
        assert dispatcher.exchange(request, now) is None

    def deliver() -> None:
        for delivery in dispatcher.dispatch(now):
            for group in delivery.reply.starts:
                results = [
                    TaskResult(start.index, start.attempt, ResultStatus.SUCCEEDED, Raw(b"1"), 50)
                    for start in group.tasks
                ]
                done = ResultGroup(submission=group.submission, results=results)
                held.setdefault(delivery.upstream, []).append(done)

    for at in range(sessions):
        exchange(at)
    deliver()
    total = 0.0
    for number in range(ROUNDS):
        if dispatcher.queued_tasks < 1_100:
            job = build_test_job(dispatcher.store.mint(now), 1_100, now)
            dispatcher.submit(job, None)
            deliver()
        began = time.perf_counter()
        exchange(number % sessions)
        deliver()
        total += time.perf_counter() - began
    return total / ROUNDS * 1e6


def measure_lone_start(sessions: int) -> float:
    """Return the time of placing a single task among idle sessions, in microseconds."""
    dispatcher = build_dispatcher()
    now = timedelta()
    open_sessions(dispatcher, sessions, now)
    jobs = [build_test_job(dispatcher.store.mint(now), 1, now) for _ in range(sessions)]
    began = time.perf_counter()
    for job in jobs:
        dispatcher.submit(job, None)
        dispatcher.dispatch(now)
    return (time.perf_counter() - began) / sessions * 1e6


def open_sessions(dispatcher: Dispatcher, sessions: int, now: timedelta) -> None:
    for at in range(sessions):
        request = ExchangeRequest(
            upstream=UpstreamId(f"w{at}"),
            incarnation="0" * 16,
            session=1,
            seq=1,
            credit=SLOTS,
            announce=Announcement(slots=SLOTS, processors=32.0, memory_mb=1024),
        )
        assert dispatcher.exchange(request, now) is None


def measure_session_costs() -> dict[str, dict[str, float]]:
    return {
        str(count): {"exchange_us": measure_exchange(count), "lone_us": measure_lone_start(count)}
        for count in (24, 100, 629)
    }


if __name__ == "__main__":
    print(json.dumps(measure_session_costs(), indent=2))
