"""Large jobs of many shapes against real processes: `python -m soak.shapes --output DIR`.

Each large job is submitted alone, while every process is asked for something small again and again,
and small jobs are submitted beside it. What counts is the longest time in which a process does not
answer, and how many of the small jobs are served, and how late.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import signal
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from pathlib import Path
from random import Random

import httpx
import uvloop

from .fleet import QUEUE_HOST, QUEUE_PREFIX, SERVICE, Fleet, FleetSize, build_configuration
from .record import Record
from .upstreams import StandInUpstream, Work
from .wire import Peer, Response, build_client, encode_json, send

PROBE_INTERVAL = 0.02
"""Seconds between an answer and the next question to the same process."""
PROBE_TIMEOUT = timedelta(seconds=20)
RUN_TIME = timedelta(milliseconds=20)
END_LIMIT_SECONDS = 90.0
"""How long a job is waited for."""
SETTLE_SECONDS = 0.5
SMALL_JOB_INTERVAL = 0.1
"""Seconds between the answer to a small job and the next one."""
SMALL_JOB_TIMEOUT = timedelta(seconds=2)
_FIRST_SMALL_JOB = 1 << 32

Steps = list[dict[str, object]]


def build_step(
    depends_on: tuple[int, ...] = (), *, count: int = 1, cpu: int = 500
) -> dict[str, object]:
    """Return a step as callers write it."""
    step: dict[str, object] = {"count": count, "cpu": cpu, "est_runtime_ms": 100}
    return step | ({"depends_on": list(depends_on)} if depends_on else {})


def build_stages(stages: int, width: int) -> Steps:
    """Return stages of steps, each of which waits for the whole stage before it."""
    earlier = [
        tuple(range((stage - 1) * width, stage * width)) if stage else () for stage in range(stages)
    ]
    return [build_step(each) for each in earlier for _ in range(width)]


def build_fan(width: int) -> Steps:
    """Return one step, `width` steps that wait for it, and one that waits for those."""
    middle = [build_step((0,)) for _ in range(width)]
    return [build_step(), *middle, build_step(tuple(range(1, width + 1)))]


SHAPES: Mapping[str, Steps] = {
    "14 stages of 4 steps": build_stages(14, 4),
    "20 stages of 2 steps": build_stages(20, 2),
    "1,100 steps": [build_step() for _ in range(1_100)],
    "fan of 1,000": build_fan(1_000),
    "line of 1,050": [build_step((number - 1,) if number else ()) for number in range(1_050)],
    "20 lines of 55": [
        build_step((number - 20,) if number >= 20 else ()) for number in range(1_100)
    ],
    "18 steps, each after all": [build_step(tuple(range(number))) for number in range(18)],
    "300 steps, each after all": [build_step(tuple(range(number))) for number in range(300)],
    "1 step of 1,100": [build_step(count=1_100)],
    "1 step of 4,096": [build_step(count=4_096)],
    "1 step of 4,096, no cpu": [build_step(count=4_096, cpu=0)],
    "4,096 steps, no cpu": [{"count": 1} for _ in range(4_096)],
    "1,100 steps, gpu": [{"count": 1, "gpu": 1} for _ in range(1_100)],
}
"""Steps of each job."""

TIMED: Mapping[str, dict[str, object]] = {
    "475 times 100, overdue": {"steps": [build_step(count=100)], "repeat_count": 475},
    "65,536 times 1, overdue": {"steps": [build_step()], "repeat_count": 65_536},
}
"""Bodies of timed jobs whose occurrences were all due long ago."""

REFUSED: Mapping[str, bytes] = {
    "objects 30,000 deep": b'{"a":' * 30_000 + b"1" + b"}" * 30_000,
    "run time beyond all bounds": encode_json({"steps": [{"est_runtime_ms": 10**17}]}),
    "cpu of 400 digits": b'{"steps":[{"cpu":1' + b"0" * 400 + b"}]}",
    "step that depends on itself": encode_json({"steps": [{"depends_on": [0]}]}),
    "4,097 tasks": encode_json({"steps": [{"count": 4_097}]}),
}
"""Bodies that are to be refused with 400."""


def build_bodies() -> dict[str, bytes]:
    """Return the bodies of all jobs by name."""
    bodies = dict(REFUSED)
    bodies |= {name: encode_json({"steps": steps}) for name, steps in SHAPES.items()}
    bodies |= {
        name: encode_json(body | {"start_at_ms": 1, "interval_ms": 1})
        for name, body in TIMED.items()
    }
    return bodies


@dataclass(slots=True, kw_only=True)
class Probes:
    """Questions to all processes, and the longest time that each one took for an answer."""

    urls: Mapping[str, str]
    longest: dict[str, float] = field(default_factory=dict)
    """Seconds by process, since the last `reset`."""
    own_delay: float = 0.0
    """Longest delay in seconds of the loop of the stand-ins, which ask the questions."""
    _asked_at: dict[str, float] = field(default_factory=dict)

    def reset(self) -> None:
        """Forget what was measured."""
        self.longest = dict.fromkeys(self.urls, 0.0)
        self.own_delay = 0.0

    def read(self) -> dict[str, float]:
        """Return the longest times, also of the questions that wait for an answer now."""
        now = time.monotonic()
        waiting = {name: now - at for name, at in self._asked_at.items()}
        return {name: max(self.longest[name], waiting.get(name, 0.0)) for name in self.urls}

    async def measure_own_delay(self) -> None:
        """Measure how late the loop of the stand-ins is, which the other times include."""
        while True:
            due_at = time.monotonic() + PROBE_INTERVAL
            await asyncio.sleep(PROBE_INTERVAL)
            self.own_delay = max(self.own_delay, time.monotonic() - due_at)

    async def probe_forever(self, name: str) -> None:
        """Ask one process again and again."""
        client = build_client()
        while True:
            self._asked_at[name] = began_at = time.monotonic()
            await send(client, "GET", self.urls[name], timeout=PROBE_TIMEOUT)
            self._asked_at.pop(name)
            self.longest[name] = max(self.longest[name], time.monotonic() - began_at)
            await asyncio.sleep(PROBE_INTERVAL)


@dataclass(slots=True, kw_only=True)
class SmallJobs:
    """Small best-effort jobs, which are submitted again and again."""

    addresses: list[Peer]
    served: int = 0
    failed: int = 0
    longest: float = 0.0
    """Seconds from a submission to the answer that the job is completed."""
    _numbers: itertools.count[int] = field(default_factory=itertools.count)

    def reset(self) -> None:
        """Forget what was measured."""
        self.served = self.failed = 0
        self.longest = 0.0

    async def submit_forever(self) -> None:
        """Submit a job, wait for its end, and go on."""
        client = build_client()
        body = {"steps": [build_step()], "best_effort": True}
        while True:
            number = next(self._numbers)
            host, port = self.addresses[number % len(self.addresses)]
            began_at = time.monotonic()
            reply = await send(
                client,
                "POST",
                f"http://{host}:{port}{QUEUE_PREFIX}{_FIRST_SMALL_JOB + number:016x}",
                timeout=SMALL_JOB_TIMEOUT,
                content=body,
                headers={"Host": QUEUE_HOST},
            )
            if reply is not None and reply.read_json().get("state") == "completed":
                self.served += 1
                self.longest = max(self.longest, time.monotonic() - began_at)
            else:
                self.failed += 1
            await asyncio.sleep(SMALL_JOB_INTERVAL)


class Caller:
    """Submits jobs and waits for their ends, at any gateway."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._addresses = list(fleet.caller_addresses.values())
        self._client = build_client(fleet.caller_host)
        self._random = Random(1)

    async def submit(self, job: str, body: bytes) -> int:
        """Submit a job until there is a clear answer; return its status, 0 without one."""
        for _ in range(4):
            host, port = self._random.choice(self._addresses)
            try:
                reply = await self._client.post(
                    f"http://{host}:{port}{QUEUE_PREFIX}{job}",
                    content=body,
                    headers={"Host": QUEUE_HOST, "X-Timeout-Ms": "3000"},
                    timeout=4.0,
                )
            except httpx.HTTPError:
                continue
            if reply.status_code not in (502, 503, 504):
                return reply.status_code
        return 0

    async def wait_for_end(self, job: str) -> str:
        """Return the final state of a job, or its last one after `END_LIMIT_SECONDS`."""
        deadline = time.monotonic() + END_LIMIT_SECONDS
        state = ""
        while time.monotonic() < deadline:
            reply = await self._call("GET", job)
            state = str(reply.read_json().get("state", "")) if reply is not None else state
            if state in ("completed", "failed", "cancelled"):
                return state
            await asyncio.sleep(0.1)
        await self._call("DELETE", job)
        return f"{state or 'unknown'} after {END_LIMIT_SECONDS:g} s"

    async def _call(self, method: str, job: str) -> Response | None:
        host, port = self._random.choice(self._addresses)
        return await send(
            self._client,
            method,
            f"http://{host}:{port}{QUEUE_PREFIX}{job}",
            timeout=timedelta(seconds=3),
            headers={"Host": QUEUE_HOST},
        )


def find_work(task: str) -> Work:
    """Return what the run of a task takes; what it needs is left to the leader to count."""
    return Work(run_time=RUN_TIME)


async def play_all(output: Path, *, upstream_count: int, only: str) -> None:
    """Start the processes, submit one job after the other and print what was measured."""
    task = asyncio.current_task()
    assert task is not None
    # The processes end with the run, also when it is told to stop.
    for number in (signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    record = Record(now=lambda: timedelta(seconds=time.monotonic()))
    size = FleetSize(gateways=3, upstreams=upstream_count)
    fleet = Fleet(size=size, output=output, record=record)
    upstreams = [build_upstream(fleet, record, number) for number in range(upstream_count)]
    try:
        for upstream in upstreams:
            await upstream.start()
        await fleet.start()
        while await fleet.configure(build_configuration(1), "c1") != 200:
            await asyncio.sleep(0.2)
        for name in fleet.gateways:
            await fleet.wait_ready(name)
        await play_shapes(fleet, only)
        print("\n".join(fleet.find_failures()) or "no process has ended by itself")
    finally:
        for upstream in upstreams:
            await upstream.stop()
        await fleet.close()


async def play_shapes(fleet: Fleet, only: str) -> None:
    """Submit the jobs whose shapes contain a text, while all processes are probed."""
    ports = fleet.ports
    control = {
        name: f"http://{fleet.hosts[name].bound}:{ports.control}/config"
        for name in fleet.control_hosts
    }
    gateways = {
        name: f"http://{fleet.hosts[name].bound}:{ports.readiness}/ready" for name in fleet.gateways
    }
    probes = Probes(urls=control | gateways)
    probes.reset()
    caller = Caller(fleet=fleet)
    small_jobs = SmallJobs(addresses=list(fleet.caller_addresses.values()))
    async with asyncio.TaskGroup() as group:
        probing = [group.create_task(probes.probe_forever(name)) for name in probes.urls]
        probing.append(group.create_task(probes.measure_own_delay()))
        probing.append(group.create_task(small_jobs.submit_forever()))
        for number, (name, body) in enumerate(build_bodies().items(), 1):
            if only not in name:
                continue
            await asyncio.sleep(SETTLE_SECONDS)
            probes.reset()
            small_jobs.reset()
            began_at = time.monotonic()
            job = f"{number:016x}"
            status = await caller.submit(job, body)
            state = await caller.wait_for_end(job) if 200 <= status < 300 else ""
            took = time.monotonic() - began_at
            silences = " ".join(f"{each:.3f}" for each in probes.read().values())
            row = (name, f"{len(body):,}", status, state, f"{took:.1f}", silences)
            others = f"{small_jobs.served} {small_jobs.failed} {small_jobs.longest:.3f}"
            print("|", " | ".join(map(str, row)), f"| {probes.own_delay:.3f} | {others} |")
        for task in probing:
            task.cancel()


def build_upstream(fleet: Fleet, record: Record, number: int) -> StandInUpstream:
    """Return a stand-in for an upstream."""
    return StandInUpstream(
        record=record,
        name=f"u{number}",
        service=SERVICE,
        domain=fleet.get_domain(number),
        rack=f"rack-{number // 8}",
        host=fleet.get_upstream_host(number),
        port=fleet.ports.upstream,
        control_addresses=fleet.control_addresses,
        random=Random(number),
        work=find_work,
        identify=fleet.identify,
        reaches=partial(fleet.cuts.reaches, upstream=f"u{number}"),
        reports_start_time=True,
    )


def main() -> None:
    """Read the command line, and play all shapes."""
    parser = argparse.ArgumentParser(prog="python -m soak.shapes", description=__doc__)
    parser.add_argument("--upstreams", type=int, default=12)
    parser.add_argument("--only", default="", help="shapes whose names contain this")
    parser.add_argument("--output", type=Path, required=True, help="folder of the logs")
    given = parser.parse_args()
    print(
        "| job | bytes | status | state | seconds | longest silence, s: c1 c2 c3 e1 e2 e3 | own "
        "| small jobs: served, failed, longest s |"
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(play_all(given.output, upstream_count=given.upstreams, only=given.only))


if __name__ == "__main__":
    main()
