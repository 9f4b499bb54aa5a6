"""Processor time that a leader takes per start, including its calls to upstreams and gateways.

    python -m bench.leader > bench/results/leader.json
    python -m bench.leader --profile

Runs three processes on loopback: stand-in upstreams (`standin`), real gateways with callers
(`callers`) and, in this process, what a control host does as leader, without the other members of
the log. Only the processor time of this process counts. Rounds are repeated; the median and the
range are printed.
"""

from __future__ import annotations

import asyncio
import cProfile
import gc
import json
import pstats
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated, Any

import msgspec
import typer
import uvloop

from cottonlug.config.options import Address
from cottonlug.core.cluster.calls import Answer, Call, KeepAlive, Submit, call_decoder
from cottonlug.core.cluster.forecast import NO_WAIT
from cottonlug.core.cluster.instance_ids import build_instance_id
from cottonlug.core.cluster.instances import choose_lease_terms
from cottonlug.core.cluster.model import (
    Capacity,
    Configuration,
    ConfigurationVersion,
    Heartbeat,
    Queue,
    Service,
    ServiceName,
    UpstreamInfo,
)
from cottonlug.core.cluster.records import UpstreamRecord
from cottonlug.core.ids import DomainName
from cottonlug.daemon import GC_THRESHOLD
from cottonlug.net.asgi import HttpRequest, HttpResponse, build_asgi
from cottonlug.net.connections import ConnectionPools
from cottonlug.net.servers import Listener
from cottonlug.platform.workers import WorkerClient
from cottonlug.runtime.clocks import SystemClock
from cottonlug.runtime.gateway_registry import GATEWAY_TIMEOUT
from cottonlug.runtime.job_channel_server import JobChannelServer
from cottonlug.runtime.leadership import Leadership, LeadershipSettings
from cottonlug.runtime.replicated import ReplicatedRecords
from cottonlug.tests.gateway_builders import raise_error
from cottonlug.tests.processes import find_base_port
from cottonlug.tests.test_cluster_waiting import LogLeaderAuthority

from .callers import KINDS
from .standin import STARTED_MS, build_address

DURATION_SECONDS = 8.0
SERVICE = ServiceName("service")
UPSTREAM_CPU_MILLIS = (32_000, 32_000, 48_000)
CALLER_RETRY = timedelta(milliseconds=1_300)


def build_configuration() -> Configuration:
    """Return a configuration with one queue for each kind of job."""
    queues = tuple(
        Queue(
            name=name,
            host="host",
            prefix=f"/{name}/",
            service=SERVICE,
            timeout_ms=1_500,
            target_latency_ms=64,
            max_attempts=3,
            stretch=1.6,
        )
        for name, *_ in KINDS
    )
    return Configuration(
        version=ConfigurationVersion(1),
        queues=queues,
        services=(Service(name=SERVICE),),
        max_body_bytes=262_144,
        document="",
    )


def build_infos(port: int, count: int) -> list[UpstreamInfo]:
    """Return the descriptions that the stand-in upstreams would report of themselves."""
    return [
        UpstreamInfo(
            id=build_instance_id(f"u{number}", STARTED_MS),
            service=SERVICE,
            address=f"{build_address(number)}:{port}",
            domain=DomainName("domain"),
            capacity=Capacity(
                cpu_millis=UPSTREAM_CPU_MILLIS[number % len(UPSTREAM_CPU_MILLIS)], memory_mb=100_000
            ),
        )
        for number in range(count)
    ]


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Size of the site and the load that its gateways bring."""

    upstreams: int = 40
    gateways: int = 15
    jobs_per_second: float = 95.0
    """Load of 40 upstreams of 32 to 48 cores in the users' largest workload: 0.56 of their
    capacity."""


class LeaderHost:
    """A leader with the listener that the gateways call."""

    def __init__(self, *, address: Address, infos: list[UpstreamInfo]) -> None:
        replicated = ReplicatedRecords()
        replicated.records.activate_configuration(build_configuration())
        for info in infos:
            replicated.records.upstreams[info.id] = UpstreamRecord(info=info)
        self._address = address
        self._pools = ConnectionPools(max_connections=16)
        clock = SystemClock()
        self.leadership = Leadership(
            authority=LogLeaderAuthority(),
            replicated=replicated,
            port=WorkerClient(pools=self._pools),
            clock=clock,
            on_failure=raise_error,
            settings=LeadershipSettings(
                lease_terms=choose_lease_terms(timedelta(seconds=1), CALLER_RETRY, GATEWAY_TIMEOUT),
                keep_ended=timedelta(seconds=120),
                caller_retry=CALLER_RETRY,
                control_address=None,
            ),
        )
        for info in infos:
            heartbeat = Heartbeat(info=info, sequence=1, draining=False, clock_ms=0)
            self.leadership.dispatch.handle_heartbeat(heartbeat, clock.monotonic())
        self._job_channel_server = JobChannelServer(
            answer=self.leadership.answer, clock=clock, find_limits=lambda submit: NO_WAIT
        )
        app = build_asgi(self._handle, lambda: 1 << 24)
        self.listener = Listener(app=app, address=address, handle_immediately=self._answer_at_once)

    def stop(self) -> None:
        """Stop scheduling and close the connections to upstreams."""
        self.leadership.stop()
        self._pools.close()

    def _answer_at_once(self, request: HttpRequest) -> HttpResponse | None:
        response = self._job_channel_server.handle_at_once(request)
        if response is not None:
            return response
        if b'"greet"' not in request.body[:24]:
            return None
        call = call_decoder.decode(request.body)
        assert isinstance(call, KeepAlive), "the tag was checked"
        return _reply(self._add_host(self.leadership.answer_keepalive(call)))

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if self._job_channel_server.handles(request.path):
            return await self._job_channel_server.handle(request)
        call: Call = call_decoder.decode(request.body)
        assert not isinstance(call, Submit), "jobs arrive in batches"
        return _reply(await self.leadership.answer(call))

    def _add_host(self, answer: Answer) -> Answer:
        own = str(self._address)
        return msgspec.structs.replace(answer, leader=own, hosts=(own,))


def _reply(answer: Answer) -> HttpResponse:
    return HttpResponse(status=200, body=msgspec.json.encode(answer))


def _spawn(module: str, *arguments: object) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", f"bench.{module}", *map(str, arguments)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


async def measure_round(load: Load, profile: cProfile.Profile | None) -> dict[str, Any]:
    """Run a leader under the load once; return its processor time and polls per start.

    A profile, if given, records the calls of this process during the load.
    """
    port = find_base_port()
    address = Address("127.0.0.1", port + 1)
    upstreams = _spawn("standin", port, load.upstreams)
    assert upstreams.stdout is not None
    upstreams.stdout.readline()
    host = LeaderHost(address=address, infos=build_infos(port, load.upstreams))
    error = await host.listener.start()
    assert error is None, error
    await asyncio.sleep(0.5)
    callers = _spawn("callers", address, load.gateways, load.jobs_per_second, DURATION_SECONDS)
    began = time.thread_time()
    if profile is not None:
        profile.enable()
    while callers.poll() is None:
        await asyncio.sleep(0.1)
    if profile is not None:
        profile.disable()
    spent = time.thread_time() - began
    assert callers.stdout is not None
    answered = json.loads(callers.stdout.read())
    counts = host.leadership.dispatch.counts
    host.stop()
    await host.listener.stop()
    upstreams.terminate()
    upstreams.wait()
    return {
        **answered,
        "starts": counts.starts,
        "looks_a_start": round(counts.looks / counts.starts, 2),
        "us_a_start": round(1e6 * spent / counts.starts, 1),
    }


def main(
    rounds: Annotated[int, typer.Option(min=1, help="Number of measured rounds.")] = 5,
    profile: Annotated[bool, typer.Option(help="Print a profile instead.")] = False,
    upstreams: Annotated[int, typer.Option(min=1, max=500)] = 40,
    gateways: Annotated[int, typer.Option(min=1, max=100)] = 15,
    jobs_per_second: Annotated[float, typer.Option(min=1)] = 95.0,
) -> None:
    """Print the processor time that a leader takes per start."""
    load = Load(upstreams=upstreams, gateways=gateways, jobs_per_second=jobs_per_second)
    if profile:
        profiled = cProfile.Profile()
        print(uvloop.run(measure_round(load, profiled)))
        pstats.Stats(profiled).sort_stats("tottime").print_stats(45)
        return
    gc.set_threshold(GC_THRESHOLD)
    measured = [uvloop.run(measure_round(load, None)) for _ in range(rounds)]
    costs = [each["us_a_start"] for each in measured]
    results = {
        "us_a_start": {
            "median": statistics.median(costs),
            "least": min(costs),
            "most": max(costs),
        },
        "rounds": measured,
    }
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    typer.run(main)
