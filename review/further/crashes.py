"""Some workers crash, come back, and crash once more, while a job that lasts runs (no case)."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import site as s  # noqa: E402
from standins.worker import TaskPlan  # noqa: E402

CRASHED = 3
"""Of 24 workers: a share of 0.14."""
DOWN_S = 4.5
BETWEEN_S = 4.0
CRASHES = 2
JOB = f"{0xD0000:016x}"


async def work(site: s.Site) -> list[str]:
    """Hand the job in, crash workers by turns; return what broke the rule."""
    await site.begin()
    site.world.plans[(JOB, 0)] = TaskPlan(cpu=14_000, mem=256, work_s=600.0)
    step = {"count": 24, "cpu": 14_000, "mem_mb": 256, "est_runtime_ms": 600_000}
    body = {"task_spec": "text", "steps": [step], "long_running": True}
    reply = None
    while reply is None or reply.status != 200:
        reply = await site.call("e1", "POST", JOB, body)
    await asyncio.sleep(BETWEEN_S)
    crashed = site.chance.sample(site.workers, CRASHED)
    for _ in range(CRASHES if os.environ.get("TROUBLE", "1") != "0" else 0):
        await asyncio.gather(*(worker.crash() for worker in crashed))
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(worker.come_back() for worker in crashed))
        await asyncio.sleep(BETWEEN_S)
    await asyncio.sleep(6.0)
    found = []
    for name in site.gateways:
        reply = await site.call(name, "GET", JOB)
        if reply is not None and reply.status == 410:
            found.append(f"{name} answers 410 for the job, which nobody has cancelled")
        elif reply is not None and reply.status == 200 and reply.json()["state"] in (
            "failed",
            "cancelled",
        ):
            found.append(f"{name} shows the job as {reply.json()['state']}")
    failed = [e for e in site.world.events if e.kind == "end" and e.detail.startswith("failed")]
    at_work = sum(len(worker.running) for worker in site.workers)
    site.say(f"platform: {len(failed)} runs have ended failed; {at_work} of 24 tasks are at work")
    if found:
        found.append(f"{len(failed)} runs have ended failed; {at_work} of 24 tasks are at work")
    return found


if __name__ == "__main__":
    s.run_script(work, FOLDER, gateways=3, workers=24, seed=1)
