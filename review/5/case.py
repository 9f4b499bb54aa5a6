"""A client hands in one pipeline of 14 stages: are jobs that were accepted before still answered?

Rule LOST: `finish_s` after the end of the traffic accepted jobs are asked for, and one gets no
answer in time.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lab.fleet import (
    BROKEN,
    CONTROL,
    HELD,
    READY,
    Fleet,
    NotRunError,
    build_job_id,
    build_route,
    is_trouble,
    main,
)
from lab.record import Record
from lab.wire import call
from lab.worker import Work

PREFIX = "/pipe/"
WORKERS = 12
STAGES, WIDTH = 14, 4
EARLIER_JOBS = 8
TRIES = 4
"""How often the client of the pipeline sends it, each time after no response or a 504."""
FINISH_S = 14.0


def build_pipeline(*, is_dense: bool) -> dict[str, object]:
    """Return a job of stages of four steps with one task each.

    Dense: each step waits for all four of the stage before it; otherwise for one of them. The
    longest chain of work is the same.
    """
    steps = []
    for number in range(STAGES * WIDTH):
        step: dict[str, object] = {"count": 1, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 100}
        stage = number // WIDTH
        if stage:
            earlier = range((stage - 1) * WIDTH, stage * WIDTH)
            step["depends_on"] = list(earlier) if is_dense else [number - WIDTH]
        steps.append(step)
    return {"task_spec": "pipeline", "steps": steps}


async def run(record: Record) -> int:
    fleet = Fleet(record)
    earlier = [build_job_id() for _ in range(EARLIER_JOBS)]
    pipeline = build_job_id()

    def find_work(task: str) -> Work | None:
        job = task.partition(".")[0]
        if job in earlier:
            return Work(cpu=1_000, mem_mb=64, seconds=6.0)
        return Work(cpu=500, mem_mb=64, seconds=0.1) if job == pipeline else None

    try:
        await fleet.begin(workers=WORKERS, find_work=find_work, routes=[build_route("r-1", PREFIX)])
        step = {"count": 2, "cpu": 1_000, "mem_mb": 64, "est_runtime_ms": 6_000}
        for job in earlier:
            if not await fleet.submit(PREFIX, job, {"task_spec": "earlier", "steps": [step]}):
                raise NotRunError("a job was not accepted")
        record.say(f"{EARLIER_JOBS} jobs of two tasks of 6 s are accepted")
        await asyncio.sleep(1.0)
        body = build_pipeline(is_dense=is_trouble())
        accepted = await fleet.submit(PREFIX, pipeline, body, tries=TRIES)
        record.say(f"the pipeline of {STAGES * WIDTH} tasks: accepted {accepted}")
        await asyncio.sleep(FINISH_S)
        return await judge(fleet, earlier + ([pipeline] if accepted else []))
    finally:
        fleet.end()


async def judge(fleet: Fleet, accepted: list[str]) -> int:
    """Ask for every accepted job three times, at any gateway, 1.5 s each."""
    record = fleet.record
    states = {}
    for job in accepted:
        for _ in range(3):
            states[job] = await fleet.find_state(PREFIX, job)
            if states[job]:
                break
    silent = [job for job, state in states.items() if not state]
    unfinished = [job for job, state in states.items() if state != "completed"]
    hanging = []
    for ip, port in [(each, READY) for each in fleet.gateways] + [
        (each, CONTROL) for each in fleet.controls
    ]:
        path = "/ready" if port == READY else "/config"
        if await call((ip, port), "GET", path, timeout=2.0) is None:
            hanging.append(ip)
    record.say(f"{len(silent)} of {len(accepted)} accepted jobs get no answer, three times each")
    record.say(f"{len(unfinished)} of {len(accepted)} are not shown as completed")
    record.say(
        f"{len(hanging)} of {len(fleet.gateways) + len(fleet.controls)} processes answer nothing "
        f"within 2 s; ended by themselves: {fleet.list_ended()}"
    )
    record.add("verdict", states=states, hanging=hanging)
    return BROKEN if silent else HELD


if __name__ == "__main__":
    main(str(Path(__file__).parent), run)
