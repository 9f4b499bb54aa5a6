"""Gateways and callers in one process, which submit jobs to the leader measured by `bench.leader`.

    python -m bench.callers LEADER GATEWAYS RATE SECONDS

The gateways are real ones without listeners. RATE is in jobs per second. Prints as JSON how many
jobs were submitted, and how many of them were done.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from datetime import timedelta

import uvloop

from cottonlug.config.cluster import GatewayListeners, GatewaySettings
from cottonlug.config.logs import LogSettings
from cottonlug.config.options import Address
from cottonlug.core.cluster.calls import Outcome, Submit
from cottonlug.core.cluster.model import JobSpec, Needs, StepSpec
from cottonlug.core.ids import DomainName, HostId
from cottonlug.net.connections import parse_address
from cottonlug.runtime.clocks import SystemClock
from cottonlug.runtime.gateway import Gateway
from cottonlug.tests.gateway_builders import IdlePort, raise_error

KINDS = (
    # Name, share of all jobs, tasks per job, mean run time of a task in ms, payload size in bytes.
    ("short", 0.245, 8, 60, 1_000),
    ("long", 0.044, 4, 900, 300),
    ("middle", 0.711, 2, 200, 2_400),
)
"""Job kinds with the shares, widths, run times and sizes of the users' largest workload."""
TASK_CPU_MILLIS = 16_000
LOG_SIGMA = 0.4
CALL_TIMEOUT = timedelta(milliseconds=1_500)
WARM_UP_SECONDS = 1.0


def build_gateway(number: int, leader: Address) -> Gateway:
    """Return a gateway whose only control host is the leader."""
    own = Address(f"127.0.200.{number + 1}", 7_000)
    settings = GatewaySettings(
        host=HostId(f"gateway-{number}"),
        domain=DomainName("domain"),
        listen=GatewayListeners(callers=own, readiness=own, peers=own, metrics=None),
        seeds=[leader],
        longest_lease=timedelta(seconds=1),
        caller_retry=timedelta(milliseconds=1_300),
        drain_limit=timedelta(seconds=5),
        log=LogSettings(),
    )
    return Gateway(settings=settings, clock=SystemClock(), port=IdlePort(), on_failure=raise_error)


def draw_job(chance: random.Random, number: int) -> Submit:
    """Return a job of a randomly chosen kind, with a log-normally distributed run time."""
    kinds = [kind[0] for kind in KINDS]
    name = chance.choices(kinds, [kind[1] for kind in KINDS])[0]
    _, _, tasks, run_ms, size = KINDS[kinds.index(name)]
    actual_run_ms = min(
        run_ms * chance.lognormvariate(-LOG_SIGMA * LOG_SIGMA / 2, LOG_SIGMA), 4 * run_ms
    )
    step = StepSpec(
        count=tasks, needs=Needs(cpu_millis=TASK_CPU_MILLIS), estimate_ms=int(actual_run_ms)
    )
    payload = f"{actual_run_ms:.0f} ".ljust(size, "x")
    spec = JobSpec(payload=payload, steps=(step,), best_effort=True)
    return Submit(host="host", path=f"/{name}/{number:016x}", spec=spec, wait_timeout_ms=1_500)


async def submit_jobs(
    leader: Address, gateway_count: int, rate: float, seconds: float
) -> dict[str, int]:
    """Submit jobs at `rate` per second through the gateways in turn; return how many were done."""
    gateways = [build_gateway(number, leader) for number in range(gateway_count)]
    for gateway in gateways:
        gateway.start()
    await asyncio.sleep(WARM_UP_SECONDS)
    chance = random.Random(1)
    counts: dict[str, int] = {}

    async def submit(number: int) -> None:
        call = draw_job(chance, number)
        answer = await gateways[number % gateway_count].call(call, CALL_TIMEOUT)
        counts[answer.outcome.value] = counts.get(answer.outcome.value, 0) + 1

    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks: list[asyncio.Task[None]] = []
    due = 0.0
    while due < seconds:
        due += chance.expovariate(rate)
        await asyncio.sleep(max(0.0, began + due - loop.time()))
        tasks.append(asyncio.create_task(submit(len(tasks))))
    await asyncio.gather(*tasks)
    for gateway in gateways:
        gateway.stop()
    return {"jobs": len(tasks), "done": counts.get(Outcome.DONE.value, 0)}


if __name__ == "__main__":
    address = parse_address(sys.argv[1])
    assert address is not None, "LEADER is an address"
    arguments = int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4])
    print(json.dumps(uvloop.run(submit_jobs(address, *arguments))))
