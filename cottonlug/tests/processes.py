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
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import msgspec

from ..config.deployments import Deployment, HostPlan, plan_hosts, write_deployment
from ..config.options import Address
from ..core.ids import SubmissionId
from ..runtime.dump import UpstreamDump

ROOT = Path(__file__).resolve().parent.parent.parent
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_START_LIMIT_SECONDS = 30.0
_STOP_LIMIT_SECONDS = 15.0
WAIT_LIMIT_SECONDS = 60.0


@dataclass(slots=True)
class Fleet:
    """The processes of one deployment on this machine."""

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
    """Write the settings of a deployment and start all its processes."""
    write_deployment(deployment, folder)
    fleet = Fleet(folder, deployment, plan_hosts(deployment))
    try:
        for host in fleet.hosts:
            start_process(fleet, "serve", host.name)
        for at in range(deployment.upstreams):
            start_process(fleet, "upstream", f"w{at + 1:02d}")
        for host in fleet.hosts:
            wait_ready(fleet.get_address(host, "callers"))
        wait_until(lambda: count_sessions(fleet) == count_links(fleet))
    except BaseException:
        fleet.stop()
        raise
    return fleet


def count_links(fleet: Fleet) -> int:
    """Return the expected number of sessions: each upstream links to the hosts of its domain."""
    deployment = fleet.deployment
    per_domain = -(-deployment.upstreams // len(deployment.domains))
    return sum(deployment.hosts[at // per_domain] for at in range(deployment.upstreams))


def count_sessions(fleet: Fleet) -> int:
    """Return the number of sessions at all entry hosts."""
    dumps = [call(fleet, host.name, "GET", "/v1/dump", kind="operators") for host in fleet.hosts]
    return sum(int(dump.json()["gauges"]["upstreams"]) for dump in dumps)


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
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


PORTS_PER_LANE = 3_000


def find_base_port() -> int:
    """Return a base port above which the needed ports are free.

    It is below the range that outgoing connections use. Test runs that run at the same time use
    separate lanes of ports (see the Makefile).
    """
    first = 20_000 + int(os.environ.get("COTTONLUG_TEST_LANE", "0")) * PORTS_PER_LANE
    for base in range(first, first + PORTS_PER_LANE, 1_000):
        if all(_is_free(base + offset) for offset in (101, 102, 201, 301, 401, 501, 900)):
            return base
    raise SystemExit("no free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def wait_until(is_true: Callable[[], bool]) -> None:
    """Wait until a condition is true; fail after `WAIT_LIMIT_SECONDS`."""
    deadline = time.monotonic() + WAIT_LIMIT_SECONDS
    while not is_true():
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(0.05)


def call(
    fleet: Fleet,
    host: str,
    method: str,
    path: str,
    body: bytes | None = None,
    *,
    kind: str = "callers",
    token: str | None = None,
) -> httpx.Response:
    """Send one request to the listener of this kind at an entry host."""
    plan = next(each for each in fleet.hosts if each.name == host)
    address = fleet.get_address(plan, kind)
    headers = {"Authorization": f"Bearer {token or fleet.get_token(kind)}"}
    url = f"http://{address}{path}"
    return httpx.request(method, url, content=body, headers=headers, timeout=60, trust_env=False)


def read_upstream_dump(fleet: Fleet, number: int) -> UpstreamDump:
    """Return the state of a stand-in upstream."""
    port = fleet.deployment.base_port + 500 + number
    headers = {"Authorization": f"Bearer {fleet.get_token('operators')}"}
    url = f"http://127.0.0.1:{port}/v1/dump"
    reply = httpx.get(url, headers=headers, timeout=10, trust_env=False)
    return msgspec.json.decode(reply.content, type=UpstreamDump)


def count_starts(fleet: Fleet, id: str) -> int:
    """Return how many tasks of a submission the upstreams started; fails on duplicate starts."""
    total = 0
    for number in range(1, fleet.deployment.upstreams + 1):
        if fleet.processes[f"w{number:02d}"].poll() is not None:
            continue
        dump = read_upstream_dump(fleet, number)
        assert dump.duplicate_starts == 0
        total += dump.started_by_submission.get(SubmissionId(id), 0)
    return total
