"""Measure the cost of state, messages and processor time per unit, and write docs/CAPACITY.md.

Run with `make capacity`, after `make bench`, whose results are an input. The page is replaced as a
whole.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import time
import tracemalloc
from collections.abc import Callable
from datetime import time as time_of_day
from datetime import timedelta
from pathlib import Path
from typing import Any

from msgspec import Raw

from bench.capacity_page import render_page
from bench.sessions import measure_session_costs
from cottonlug.config.options import Address
from cottonlug.core.ids import DomainName, KindName, SubmissionId, TeamName, UpstreamId
from cottonlug.core.jobs import record_success, send_next_task
from cottonlug.core.messages import (
    Announcement,
    ExchangeReply,
    ExchangeRequest,
    ResultGroup,
    StartGroup,
    TaskResult,
    TaskStart,
)
from cottonlug.core.rules import Rule, RuleInput, When, compile_rules, find_mismatch
from cottonlug.core.states import ResultStatus
from cottonlug.net.clients import HttpClient
from cottonlug.net.codec import encode
from cottonlug.tests.builders import build_dispatcher, build_test_job

RESULTS = Path(__file__).parent / "results"
PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
ID = SubmissionId("town-hall-basement.e1.23bfaf97.1.d295b2c1c8f4a88b")
RESULT_VALUE = Raw(b'{"ticket": 1023, "net_kg": 11000, "amount": 3850.0}')
REPLY_HEAD_BYTES = len(
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 123\r\n\r\n"
)


def measure_memory(build: Callable[[int], object], count: int) -> float:
    """Return the mean memory of one of `count` built objects, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build(count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert built is not None
    return size / count


def build_sessions(count: int) -> object:
    dispatcher = build_dispatcher()
    for at in range(count):
        request = ExchangeRequest(
            upstream=UpstreamId(f"w{at:05d}"),
            incarnation="0123456789abcdef",
            session=1,
            seq=1,
            credit=2,
            announce=Announcement(slots=8, labels={"domain": "d", "rack": f"r{at}"}, rack=f"r{at}"),
        )
        assert dispatcher.exchange(request, timedelta()) is None
    return dispatcher


def build_queued_tasks(count: int) -> object:
    dispatcher = build_dispatcher()
    for _ in range(count // 1_100):
        job = build_test_job(dispatcher.store.mint(timedelta()), 1_100, timedelta())
        dispatcher.submit(job, None)
    return dispatcher


def build_retained_answers(count: int) -> object:
    jobs = []
    store = build_dispatcher().store
    for _ in range(count // 1_100):
        job = build_test_job(store.mint(timedelta()), 1_100, timedelta())
        while job.queued:
            record_success(job, send_next_task(job), Raw(bytes(RESULT_VALUE) + b" "), timedelta())
        jobs.append(job)
    return jobs


async def measure_request_head() -> int:
    """Return the size of an exchange's HTTP request without its body, in bytes."""
    seen = asyncio.get_running_loop().create_future()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        seen.set_result(await reader.read(65_536))
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(address=Address("127.0.0.1", port), token="0" * 32, timeout_seconds=5)
    await client.send("POST", "/v1/exchange", b"{}")
    await client.close()
    server.close()
    return len(await seen) - 2


def measure_messages() -> dict[str, float]:
    """Return bytes on the wire for an idle lease renewal, and for each further start and result."""
    head = asyncio.run(measure_request_head())
    idle = ExchangeRequest(upstream="w0001", incarnation="0" * 16, session=1, seq=100, credit=2)
    reply = ExchangeReply(seq=100, lease_ms=4000)
    payload = Raw(
        b'{"ms": 87, "ticket": 1023, "gross_kg": 21000, "tare_kg": 10000, "m": "ferrous"}'
    )
    starts = StartGroup(submission=ID, kind="weigh.ticket", timeout_ms=60_000, tasks=[])
    results = ResultGroup(submission=ID, results=[])
    start = TaskStart(1023, 1, payload)
    result = TaskResult(1023, 1, ResultStatus.SUCCEEDED, RESULT_VALUE, 87_123)
    return {
        "idle_renewal": head + len(encode(idle)) + REPLY_HEAD_BYTES + len(encode(reply)),
        "group": len(encode(starts)) + len(encode(results)),
        "task": len(encode(start)) + len(encode(result)) + 2,
    }


def measure_rules() -> dict[str, dict[str, float]]:
    """Return the time of one match in microseconds, compiled and naive, by number of rules."""
    rule_input = RuleInput(
        team=TeamName("team-72"),
        kind=KindName("k"),
        domain=DomainName("d"),
        labels={},
        size=1_100,
        priority=4,
        idempotent=False,
        time_of_day=time_of_day(12),
    )
    costs: dict[str, dict[str, float]] = {}
    for count in (1, 10, 100, 1_000):
        rules = [
            Rule(
                name=f"r{at}",
                when=When(teams=frozenset({TeamName(f"team-{at % 73}")}), min_size=2_000),
            )
            for at in range(count)
        ]
        match = compile_rules(rules)
        costs[str(count)] = {
            "compiled_us": measure_call_us(lambda match=match: match(rule_input)),
            "naive_us": measure_call_us(
                lambda rules=rules: next(
                    (rule for rule in rules if find_mismatch(rule.when, rule_input) is None), None
                )
            ),
        }
    return costs


def measure_call_us(call: Callable[[], Any]) -> float:
    """Return the time of one call in microseconds: the best of five rounds of 200 calls."""
    rounds = []
    for _ in range(5):
        began = time.perf_counter()
        for _ in range(200):
            call()
        rounds.append((time.perf_counter() - began) / 200)
    return min(rounds) * 1e6


def fit_cost(cost: dict[str, Any]) -> dict[str, float]:
    """Return the processor time per task and per exchange, fitted to two measured loads.

    Solves time = a * tasks + b * exchanges. `check` is the prediction for a third load, divided by
    what was measured there.
    """
    loads = [
        cost["jobs_1100_empty_tasks_4x64_slots"],
        cost["jobs_1100_50ms_tasks_24x8_slots"],
        cost["jobs_1100_50ms_tasks_6x64_slots"],
    ]
    points = [
        (load["starts"], load["messages_per_task"] * load["starts"] / 2, load["cpu_seconds"])
        for load in loads
    ]
    (t1, e1, c1), (t2, e2, c2), (t3, e3, c3) = points
    b = (c2 * t1 / t2 - c1) / (e2 * t1 / t2 - e1)
    a = (c1 - b * e1) / t1
    return {"task_us": a * 1e6, "exchange_us": b * 1e6, "check": (a * t3 + b * e3) / c3}


def write_page() -> None:
    """Write the page from the results of earlier measurements."""
    cost = json.loads((RESULTS / "cost.json").read_text())
    slopes = json.loads((RESULTS / "slopes.json").read_text())
    PAGE.write_text(render_page(cost, slopes))


def main() -> None:
    cost = json.loads((RESULTS / "cost.json").read_text())
    slopes: dict[str, Any] = {
        "processor": fit_cost(cost),
        "bytes_per_session": measure_memory(build_sessions, 1_000),
        "bytes_per_queued_task": measure_memory(build_queued_tasks, 55_000),
        "bytes_per_kept_result": measure_memory(build_retained_answers, 55_000),
        "wire_bytes": measure_messages(),
        "rules": measure_rules(),
        "sessions": measure_session_costs(),
    }
    file = RESULTS / "consensus.json"
    slopes["consensus"] = json.loads(file.read_text()) if file.exists() else None
    (RESULTS / "slopes.json").write_text(json.dumps(slopes, indent=2) + "\n")
    PAGE.write_text(render_page(cost, slopes))
    print(json.dumps(slopes, indent=2))


if __name__ == "__main__":
    write_page() if sys.argv[1:] == ["page"] else main()
