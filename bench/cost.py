"""Cost of dispatching: added latency, starts per core, memory, and messages per task.

Run with `make bench`. Everything runs as real processes on loopback. The naive dispatcher and the
direct call are measured in the same run, so that the results can be given as ratios to them. Prints
JSON.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

import httpx
from msgspec import Raw

from cottonlug.config.deployments import DEPLOYMENTS, Deployment, DeploymentName
from cottonlug.core.messages import JobAnswer, JobView, SubmitRequest
from cottonlug.net.clients import ApiClient
from cottonlug.net.codec import encode
from cottonlug.tests.processes import (
    ROOT,
    Fleet,
    find_base_port,
    read_cpu_seconds,
    read_resident_mb,
    start_fleet,
)

SINGLE_TASKS = 60
JOBS = 30
TASKS = 1_100
TASK_MS = 50


def build_deployment(upstreams: int, slots: int, prefetch: int = 4) -> Deployment:
    base = DEPLOYMENTS[DeploymentName.SKYWATCH]
    return replace(
        base,
        domains=base.domains[:1],
        hosts=(1,),
        upstreams=upstreams,
        slots=slots,
        prefetch=prefetch,
        base_port=find_base_port(),
    )


def build_job(count: int, ms: int, kind: str = "sleep") -> SubmitRequest:
    payload = Raw(json.dumps({"ms": ms}).encode())
    return SubmitRequest(team="bench", kind=kind, tasks=[payload] * count, run_time_ms=ms)


async def measure_single_task(fleet: Fleet, direct_url: str) -> dict[str, float]:
    """Measure the latency that the dispatcher adds to a single 50 ms task.

    Dispatched requests and direct calls to an upstream alternate.
    """
    host = fleet.hosts[0]
    payload = {"ms": TASK_MS}
    direct = httpx.AsyncClient(base_url=direct_url, trust_env=False)
    ours = httpx.AsyncClient(
        base_url=f"http://{fleet.get_address(host, 'callers')}",
        headers={"Authorization": f"Bearer {fleet.get_token('callers')}"},
        trust_env=False,
    )
    single = {"team": "bench", "kind": "sleep", "payload": payload}
    times: dict[str, list[float]] = {"direct": [], "dispatched": []}
    for _ in range(SINGLE_TASKS):
        began = time.perf_counter()
        (await direct.post("/run", json={"kind": "sleep", "payload": payload})).raise_for_status()
        between = time.perf_counter()
        (await ours.post("/v1/requests", json=single)).raise_for_status()
        times["direct"].append(between - began)
        times["dispatched"].append(time.perf_counter() - between)
    began = time.perf_counter()
    for _ in range(SINGLE_TASKS):
        (await ours.get("/health")).raise_for_status()
    round_trip = (time.perf_counter() - began) / SINGLE_TASKS
    await direct.aclose()
    await ours.aclose()
    direct_ms = statistics.median(times["direct"]) * 1000
    dispatched_ms = statistics.median(times["dispatched"]) * 1000
    return {
        "direct_ms": direct_ms,
        "dispatched_ms": dispatched_ms,
        "added_ms": dispatched_ms - direct_ms,
        "http_round_trip_ms": round_trip * 1000,
        "added_round_trips": (dispatched_ms - direct_ms) / (round_trip * 1000),
    }


async def measure_jobs(fleet: Fleet, jobs: int, ms: int) -> dict[str, float]:
    """Run jobs of 1,100 tasks, two at a time; return throughput, processor time and messages."""
    host = fleet.hosts[0]
    pid = fleet.processes[host.name].pid
    address = fleet.get_address(host, "callers")
    clients = [ApiClient(address=address, token=fleet.get_token("callers")) for _ in range(2)]
    operators = ApiClient(
        address=fleet.get_address(host, "operators"), token=fleet.get_token("operators")
    )
    before = (await operators.call("GET", "/v1/dump", dict, None)).unwrap()["counters"]
    cpu = read_cpu_seconds(pid)
    began = time.perf_counter()

    async def run_some(client: ApiClient) -> None:
        for _ in range(jobs // len(clients)):
            view = (await client.call("POST", "/v1/jobs", JobView, build_job(TASKS, ms))).unwrap()
            while not isinstance(view, JobAnswer):
                path = f"/v1/jobs/{view.id}/answer?wait_ms=20000"
                view = (await client.call("GET", path, JobView, None)).unwrap()
            assert view.failure is None, view.failure

    await asyncio.gather(*(run_some(client) for client in clients))
    seconds = time.perf_counter() - began
    cpu = read_cpu_seconds(pid) - cpu
    after = (await operators.call("GET", "/v1/dump", dict, None)).unwrap()["counters"]
    starts = after["starts"] - before["starts"]
    exchanges = after["exchanges"] - before["exchanges"]
    assert starts == jobs // len(clients) * len(clients) * TASKS
    return {
        "starts": starts,
        "wall_seconds": seconds,
        "cpu_seconds": cpu,
        "starts_per_core_second": starts / cpu,
        "starts_per_second": starts / seconds,
        "messages_per_task": 2 * exchanges / starts,
        "empty_replies_per_task": (after["empty_replies"] - before["empty_replies"]) / starts,
        "resident_mb": read_resident_mb(pid),
    }


async def measure_naive(url: str, pid: int, jobs: int) -> dict[str, float]:
    """Run jobs of empty tasks through the naive dispatcher, one at a time."""
    client = httpx.AsyncClient(base_url=url, trust_env=False, timeout=120)
    cpu = read_cpu_seconds(pid)
    began = time.perf_counter()
    for _ in range(jobs):
        reply = await client.post("/v1/jobs", content=encode(build_job(TASKS, 0)))
        reply.raise_for_status()
    await client.aclose()
    cpu = read_cpu_seconds(pid) - cpu
    return {
        "starts": jobs * TASKS,
        "wall_seconds": time.perf_counter() - began,
        "starts_per_core_second": jobs * TASKS / cpu,
        "messages_per_task": 2.0,
    }


def start_baseline(*arguments: str) -> subprocess.Popen[bytes]:
    command = [sys.executable, str(ROOT / "bench" / "direct.py"), *arguments]
    return subprocess.Popen(command, env={"PYTHONPATH": str(ROOT), "PATH": "/usr/bin:/bin"})


def run_fleet(
    upstreams: int, slots: int, jobs: int, ms: int, prefetch: int = 4
) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(build_deployment(upstreams, slots, prefetch), Path(folder))
        try:
            return asyncio.run(measure_jobs(fleet, jobs, ms))
        finally:
            fleet.stop()


def main() -> None:
    results: dict[str, object] = {}
    port = find_base_port() + 900
    baselines = [start_baseline("upstream", str(port + at)) for at in range(4)]
    urls = [f"http://127.0.0.1:{port + at}" for at in range(4)]
    naive = start_baseline("naive", str(port + 10), "64", *urls)
    try:
        with tempfile.TemporaryDirectory() as folder:
            fleet = start_fleet(build_deployment(4, 8), Path(folder))
            idle_mb = read_resident_mb(fleet.processes["e1"].pid)
            try:
                results["lone_50_ms_task"] = asyncio.run(measure_single_task(fleet, urls[0]))
                results["resident_mb_idle"] = idle_mb
            finally:
                fleet.stop()
        results["naive"] = asyncio.run(measure_naive(f"http://127.0.0.1:{port + 10}", naive.pid, 3))
    finally:
        for process in [*baselines, naive]:
            process.terminate()
    results["jobs_1100_empty_tasks_4x64_slots"] = run_fleet(4, 64, JOBS, 0)
    results["jobs_1100_50ms_tasks_6x64_slots"] = run_fleet(6, 64, JOBS, 50)
    results["jobs_1100_50ms_tasks_24x8_slots"] = run_fleet(24, 8, 10, 50)
    results["jobs_1100_50ms_tasks_24x8_slots_prefetch_1"] = run_fleet(24, 8, 10, 50, 1)
    fastest = results["jobs_1100_50ms_tasks_24x8_slots"]
    results["ratio_to_naive"] = (
        fastest["starts_per_core_second"] / results["naive"]["starts_per_core_second"]
    )
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
