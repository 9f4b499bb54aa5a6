"""A small deployment on loopback: processes of the deploy file, workers, operator and clients."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .record import Record
from .wire import call
from .worker import FindWork, Worker

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("z1", "z2", "z3")
SERVICE = "svc-1"
HOST = "jobs.example"
CONTROL, PEERS, URGENT, READY, METRICS, WORK = 18080, 18081, 18082, 18083, 19464, 18090
LIMIT_S = 116
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not be run."""


def is_trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def build_job_id() -> str:
    return f"{random.getrandbits(64):016x}"


class Fleet:
    """All processes and stand-ins of one case."""

    def __init__(
        self,
        record: Record,
        *,
        controls: int = 3,
        gateways: int = 3,
        remote_factor: float = 1.5,
    ) -> None:
        self.record = record
        self._remote_factor = remote_factor
        self._folder = Path(tempfile.mkdtemp(prefix="case-"))
        self._net = _find_free_net()
        self.controls = [self.ip(10 + each) for each in range(controls)]
        self.gateways = [self.ip(30 + each) for each in range(gateways)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.workers: list[Worker] = []
        self._services: tuple[str, ...] = (SERVICE,)

    def ip(self, last: int) -> str:
        return f"{self._net}.{last}"

    @property
    def control_addresses(self) -> list[tuple[str, int]]:
        return [(each, CONTROL) for each in self.controls]

    # Processes

    def start_control(self, number: int, *, may_begin: bool = False) -> None:
        name, ip = f"c{number + 1}", self.controls[number]
        (self._folder / name).mkdir(exist_ok=True)
        settings = self._build_common(name, ZONES[number % 3]) + [
            f"domains: {json.dumps(list(ZONES))}",
            "listen:",
            f"  control: {ip}:{CONTROL}",
            f"  peers: {ip}:{PEERS}",
            f"  metrics: {ip}:{METRICS}",
            f"may_begin: {json.dumps(may_begin)}",
            f"data_folder: {self._folder / name}",
            "keep_ended: 120s",
            "orders: call",
        ]
        self._start("control", name, settings)

    def start_gateway(self, number: int) -> None:
        name, ip = f"e{number + 1}", self.gateways[number]
        settings = self._build_common(name, ZONES[number % 3]) + [
            "listen:",
            f"  callers: {ip}:{CONTROL}",
            f"  readiness: {ip}:{READY}",
            f"  peers: {ip}:{PEERS}",
            f"  metrics: {ip}:{METRICS}",
            "size:",
            "  cores: 2",
            "  share: 0.537",
            "  memory: 300",
            "  descriptors: 4100",
            "  link: 1000.0",
        ]
        self._start("gateway", name, settings)

    def _build_common(self, name: str, zone: str) -> list[str]:
        """Return the settings that all processes share, as the templates render them."""
        seeds = json.dumps([f"{each}:{CONTROL}" for each in self.controls[:3]])
        return [
            f"host: {name}",
            f"domain: {zone}",
            f"seeds: {seeds}",
            f"peer_port: {PEERS}",
            f"urgent_port: {URGENT}",
            "longest_lease: 1000ms",
            "drain_limit: 6s",
            "caller_retry: 1300ms",
            "heartbeat_every: 1500ms",
            "shrink_borne: 3000ms",
            f"remote_factor: {self._remote_factor}",
        ]

    def _start(self, role: str, name: str, settings: list[str]) -> None:
        """Start a process with the command of the deploy file and a settings file of its own."""
        file = self._folder / f"{name}.yaml"
        file.write_text("\n".join([*settings, ""]))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"][role]["run"].split(" ")
        command[command.index("--config") + 1] = str(file)
        passed = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**passed, "PYTHONPATH": str(ROOT / "target" / "deps")},
                stdout=log,
                stderr=log,
            )
        self.record.add("process_start", process=name, pid=self.processes[name].pid)

    def signal(self, name: str, number: signal.Signals) -> None:
        self.record.add("signal", process=name, signal=number.name)
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def list_ended(self) -> list[str]:
        """Return the processes that have ended by themselves or were killed."""
        return [name for name, each in self.processes.items() if each.poll() is not None]

    def find_log(self, name: str) -> str:
        return (self._folder / f"{name}.log").read_text(errors="replace")

    async def begin(
        self,
        *,
        workers: int,
        find_work: FindWork,
        routes: list[dict[str, Any]],
        services: tuple[str, ...] = (SERVICE,),
    ) -> None:
        """Start everything, and wait until the gateways are ready and the workers are known.

        The workers are dealt out to the services in turn.
        """
        self._services = services
        for number in range(len(self.controls)):
            self.start_control(number, may_begin=True)
        for number in range(len(self.gateways)):
            self.start_gateway(number)
        for number in range(workers):
            worker = Worker(
                record=self.record,
                number=number,
                service=services[number % len(services)],
                zone=ZONES[number * 3 // workers],
                rack=f"r{number * 3 // workers + 1}-1",
                kind="a",
                address=(self.ip(100 + number), WORK),
                controls=self.control_addresses,
                find_work=find_work,
            )
            self.workers.append(worker)
            await worker.start()
        await self.configure(1, routes)
        await self.wait_ready(20.0)
        await asyncio.sleep(3.0)

    async def wait_ready(self, seconds: float) -> None:
        deadline = self.record.now() + seconds
        for ip in self.gateways:
            while True:
                reply = await call((ip, READY), "GET", "/ready", timeout=1.0)
                if reply is not None and reply[0] == 200:
                    break
                if self.record.now() > deadline:
                    raise NotRunError(f"the gateway at {ip} is not ready")
                await asyncio.sleep(0.1)

    # Operator

    async def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Send a configuration until it is acknowledged."""
        body = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": service,
                    "health_path": "/health",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "rejects_overload": True,
                    "standby": False,
                }
                for service in self._services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        deadline = self.record.now() + 20.0
        while self.record.now() < deadline:
            for address in random.sample(self.control_addresses, len(self.controls)):
                reply = await call(address, "PUT", "/config", body, timeout=1.0)
                status = reply[0] if reply else None
                self.record.add("configure", version=version, status=status)
                if status == 200:
                    return
                if status is not None and status < 500:
                    raise NotRunError(f"the configuration was answered {status}")
            await asyncio.sleep(0.2)
        raise NotRunError("the configuration was not acknowledged")

    # Clients

    async def ask(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        timeout: float = 1.5,
        gateway: str = "",
    ) -> tuple[int, dict[str, Any]] | None:
        """Send one request of a client to any gateway; None if it gets no response."""
        ip = gateway or random.choice(self.gateways)
        headers = {"X-Timeout-Ms": str(int(timeout * 1_000))}
        reply = await call(
            (ip, CONTROL), method, path, body, host=HOST, timeout=timeout, headers=headers
        )
        status = reply[0] if reply else None
        answer = _decode(reply[1]) if reply else {}
        self.record.add(
            "request", method=method, path=path, gateway=ip, status=status, answer=answer
        )
        return (reply[0], answer) if reply else None

    async def submit(self, prefix: str, job: str, body: dict[str, Any], *, tries: int = 12) -> bool:
        """Hand a job in, again after no response, a 502, a 504 or a refusal; True once accepted."""
        for _ in range(tries):
            reply = await self.ask("POST", prefix + job, body)
            if reply is not None and 200 <= reply[0] < 300:
                self.record.add("accepted", job=job)
                return True
            await asyncio.sleep(1.3)
        return False

    async def find_state(self, prefix: str, job: str) -> str:
        """Return a job's state, "gone" for 410, or "" without an answer."""
        reply = await self.ask("GET", prefix + job)
        if reply is None:
            return ""
        if reply[0] == 410:
            return "gone"
        return str(reply[1].get("state", "")) if reply[0] == 200 else ""

    # End

    def end(self) -> None:
        """End all processes that were started here, and remove their folder."""
        for worker in self.workers:
            worker.stop()
        for each in self.processes.values():
            if each.poll() is None:
                each.kill()
        for each in self.processes.values():
            each.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self._folder}")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


def build_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route like those of the users' sites."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_type": "unsafe",
        "timeout_ms": 1500,
        "target_latency_ms": 60,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 3,
        "stretch": 1.6,
        **fields,
    }


def run_case(folder: Path, case: Callable[[Record], Awaitable[int]]) -> int:
    """Run a case within its time, and return its exit status."""
    record = Record(folder / "record.txt")
    try:
        return asyncio.run(_run_in_time(record, case))
    except NotRunError as error:
        record.say(f"not run: {error}")
        return NOT_RUN
    except TimeoutError:
        record.say("not run: it took too long")
        return NOT_RUN
    except Exception:
        traceback.print_exc()
        return NOT_RUN
    finally:
        record.close()


async def _run_in_time(record: Record, case: Callable[[Record], Awaitable[int]]) -> int:
    async with asyncio.timeout(LIMIT_S):
        return await case(record)


def _find_free_net() -> str:
    """Return a /24 of loopback addresses on which the ports are free."""
    for _ in range(50):
        net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        try:
            for last in (10, 11, 12, 30, 31, 32, 100):
                for port in (CONTROL, PEERS, URGENT, READY, METRICS, WORK):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{last}", port))
            return net
        except OSError:
            continue
    raise NotRunError("no free addresses")


def _decode(body: bytes) -> dict[str, Any]:
    try:
        found = json.loads(body or b"{}")
    except ValueError:
        return {}
    return found if isinstance(found, dict) else {}


def main(folder: str, case: Callable[[Record], Awaitable[int]]) -> None:
    sys.exit(run_case(Path(folder), case))
