"""All control hosts are killed right after they have accepted a job that is kept."""

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
ROUNDS = 6
DOWN_S = 0.3
"""The platform starts them again so soon that they are back within a second."""
TASKS = 8
WORK_S = 0.06


async def play_round(site: s.Site, number: int) -> None:
    """Hand a job in, and kill the control hosts once it is accepted."""
    job = f"{0xA0000 + number:016x}"
    site.world.plans[(job, 0)] = TaskPlan(cpu=6_800, mem=256, work_s=WORK_S)
    step = {"count": TASKS, "cpu": 6_800, "mem_mb": 256, "est_runtime_ms": int(WORK_S * 1000)}
    body = {"task_spec": "text", "steps": [step]}
    reply = None
    while reply is None or reply.status != 200:
        reply = await site.call(f"e{1 + number % 3}", "POST", job, body)
        if reply is None or reply.status != 200:
            await asyncio.sleep(0.5)
    if HAS_TROUBLE:
        site.kill(*site.controls)
        await asyncio.sleep(DOWN_S)
        for name in site.controls:
            site.start(name)
    for _ in range(60):
        await asyncio.sleep(0.5)
        reply = await site.call(f"e{1 + number % 3}", "GET", job)
        if reply is not None and b"completed" in reply.body:
            break
    # Steady state before the next round: the jobs that are kept have ended everywhere.
    await asyncio.sleep(6.0)


async def work(site: s.Site) -> list[str]:
    """Play the rounds; return what broke the rule."""
    await site.begin()
    for number in range(ROUNDS):
        await play_round(site, number)
    events = site.world.events
    return s.find_overlaps(events) + s.find_starts_after_done(events)


if __name__ == "__main__":
    s.run_script(work, FOLDER, gateways=3, workers=24, seed=1)
