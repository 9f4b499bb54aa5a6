"""Real cottonlug processes on loopback, for tests of failures and for benchmarks."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

from ..config.deployments import Deployment, HostPlan, plan_hosts, write_deployment
from ..config.options import Address

ROOT = Path(__file__).resolve().parent.parent.parent
_TICKS = os.sysconf("SC_CLK_TCK")
_START_LIMIT_SECONDS = 30.0
_STOP_LIMIT_SECONDS = 15.0


@dataclass(slots=True)
class Fleet:
    """The processes of one run."""

    folder: Path
    deployment: Deployment
    hosts: list[HostPlan]
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def get_token(self, kind: str) -> str:
        return (self.folder / "tokens" / kind).read_text().strip()

    def get_address(self, host: HostPlan, kind: str) -> Address:
        name, _, port = host.listen[kind].rpartition(":")
        return Address(name, int(port))

    def stop(self) -> None:
        """Stop the upstreams gracefully, then the entry hosts."""
        names = sorted(self.processes, key=lambda name: name.startswith("e"))
        for group in (names[: self.deployment.upstreams], names[self.deployment.upstreams :]):
            for name in group:
                self.processes[name].send_signal(signal.SIGTERM)
            deadline = time.monotonic() + _STOP_LIMIT_SECONDS
            for name in group:
                _wait_or_kill(self.processes[name], deadline)


def start_fleet(deployment: Deployment, folder: Path) -> Fleet:
    """Write a deployment's settings and start every process of it."""
    write_deployment(deployment, folder)
    fleet = Fleet(folder, deployment, plan_hosts(deployment))
    for host in fleet.hosts:
        start_process(fleet, "serve", host.name)
    for at in range(deployment.upstreams):
        start_process(fleet, "upstream", f"w{at + 1:02d}")
    for host in fleet.hosts:
        wait_ready(fleet.get_address(host, "callers"))
    time.sleep(1.0)
    return fleet


def start_process(fleet: Fleet, command: str, name: str) -> None:
    arguments = [sys.executable, "-m", "cottonlug", command, "--config", f"{name}.yaml"]
    log = (fleet.folder / f"{name}.log").open("ab")
    fleet.processes[name] = subprocess.Popen(
        arguments,
        cwd=fleet.folder,
        stdout=log,
        stderr=log,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )


def wait_ready(address: Address) -> None:
    deadline = time.monotonic() + _START_LIMIT_SECONDS
    while time.monotonic() < deadline:
        try:
            with urllib.request.urlopen(f"http://{address}/ready", timeout=1):
                return
        except (urllib.error.URLError, OSError):
            time.sleep(0.05)
    raise SystemExit(f"{address} did not become ready")


def _wait_or_kill(process: subprocess.Popen[bytes], deadline: float) -> None:
    try:
        process.wait(max(deadline - time.monotonic(), 0.1))
    except subprocess.TimeoutExpired:
        print(f"killed {process.args!r}: it did not stop", file=sys.stderr)
        process.kill()


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def find_base_port(count: int) -> int:
    """Return a port from which that many hundreds are free enough to use."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = int(probe.getsockname()[1])
    return min(port, 60_000 - 100 * count) // 1000 * 1000
