"""Workers are cut off for some seconds; the leader is killed shortly before the cut heals."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import site as s  # noqa: E402
from standins.worker import TaskPlan  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption is made."""
ROUNDS = 9
CUT = 4
"""Of 24 workers: a share of 0.17 at most."""
CUT_S = 2.0
TASKS = 8
WORK_S = 5.0


async def play_round(site: s.Site, number: int) -> None:
    """Cut off workers that run tasks of a job, and kill the leader while they are cut off."""
    job = f"{0xB0000 + number:016x}"
    site.world.plans[(job, 0)] = TaskPlan(cpu=14_000, mem=256, work_s=WORK_S)
    step = {"count": TASKS, "cpu": 14_000, "mem_mb": 256, "est_runtime_ms": int(WORK_S * 1000)}
    reply = None
    while reply is None or reply.status != 200:
        reply = await site.call("e1", "POST", job, {"task_spec": "text", "steps": [step]})
    await asyncio.sleep(1.0)
    if HAS_TROUBLE:
        busy = [worker for worker in site.workers if worker.running]
        cut = site.chance.sample(busy, CUT)
        for worker in cut:
            worker.cut()
        await asyncio.sleep(CUT_S - 0.15)
        leader = await site.find_leader()
        site.kill(leader)
        await asyncio.sleep(0.15)
        for worker in cut:
            worker.heal()
        await asyncio.sleep(s.RESTART_S)
        site.start(leader)
    for _ in range(40):
        await asyncio.sleep(0.5)
        reply = await site.call("e1", "GET", job)
        if reply is not None and b"completed" in reply.body:
            break
    await asyncio.sleep(1.0)


async def work(site: s.Site) -> list[str]:
    """Play the rounds; return what broke the rule."""
    await site.begin()
    for number in range(ROUNDS):
        await play_round(site, number)
    events = site.world.events
    return s.find_overlaps(events) + s.find_starts_after_done(events)


if __name__ == "__main__":
    s.run_script(work, FOLDER, gateways=3, workers=24, seed=2)
