"""Control hosts and gateways of a run: real processes on loopback, and what is done to them."""

from __future__ import annotations

import asyncio
import itertools
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import httpx

from .domains import DomainCuts
from .proxy import Proxy
from .record import Phase, Record
from .settings import ROOT, HostSettings, Ports, render_settings
from .wire import ProcessFinder

SERVICE = "service-1"
QUEUE_HOST = "jobs.example"
QUEUE_PREFIX = "/jobs/"
GRACE_SECONDS = 6.0
"""How long a process may take to stop before it is killed, as on the users' platform."""
_START_LIMIT_SECONDS = 30.0
_ERROR_EVENTS = (1006, 1011, 4022)
"""Numbers of the events that log unexpected errors: see docs/events.md."""
_NO_SIGHUP_SECONDS = 3.0
"""A process that has not installed its handlers yet would be ended by SIGHUP."""
_REQUEST_SECONDS = 1.0
_FIRST_NET, _NETS = 20, 200
_ADVERTISED, _BOUND = {"c": 1, "e": 2}, {"c": 11, "e": 12}
"""Third number of the addresses of control hosts (c) and gateways (e)."""
_UPSTREAMS, _CALLERS = 3, 4


class FleetError(Exception):
    """The processes could not be started; nothing is known about their guarantees."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSize:
    """Number of hosts by kind."""

    control_hosts: int = 3
    gateways: int = 9
    upstreams: int = 24
    domains: int = 3


@dataclass(slots=True, kw_only=True)
class Host:
    """One control host or gateway and its process."""

    name: str
    domain: str
    advertised: str
    bound: str
    process: subprocess.Popen[bytes] | None = None
    """None before the first start and after the process was killed or told to stop."""
    is_paused: bool = False
    is_stopping: bool = False
    """Whether its process has been told to stop, so that its end is no failure."""
    started_at: float | None = None
    """When its process was started last, by the loop's clock."""

    @property
    def is_running(self) -> bool:
        """Whether the process exists, paused or not."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """The processes of one run, which are the only ones that it signals."""

    def __init__(self, *, size: FleetSize, output: Path, record: Record) -> None:
        self.ports = Ports()
        self.net, self._claim = _claim_net(self.ports)
        self.domains = [f"domain-{number + 1}" for number in range(size.domains)]
        self.hosts = {
            name: Host(
                name=name,
                domain=self.get_domain(number),
                advertised=f"{self.net}.{_ADVERTISED[name[0]]}.{number + 1}",
                bound=f"{self.net}.{_BOUND[name[0]]}.{number + 1}",
            )
            for kind, count in (("c", size.control_hosts), ("e", size.gateways))
            for number, name in ((at, f"{kind}{at + 1}") for at in range(count))
        }
        upstreams = {f"u{number}": number for number in range(size.upstreams)}
        addresses = {self.get_upstream_host(number): name for name, number in upstreams.items()}
        addresses[self.caller_host] = ""
        self.identify = ProcessFinder(pids=self._list_pids, addresses=addresses).find
        self.proxy = Proxy(identify=self.identify)
        self.cuts = DomainCuts(
            hosts={name: host.domain for name, host in self.hosts.items()},
            upstreams={name: self.get_domain(number) for name, number in upstreams.items()},
            proxy=self.proxy,
        )
        self._output = output
        self._record = record
        self.control_disturbed_at = 0.0
        """When a control host was last stopped, paused, started or cut off, by the loop's clock."""
        self._failures: list[str] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="cottonlug-soak-")
        self._client = httpx.AsyncClient(trust_env=False, timeout=_REQUEST_SECONDS)

    @property
    def control_hosts(self) -> list[str]:
        """Names of the control hosts."""
        return [name for name in self.hosts if name.startswith("c")]

    @property
    def gateways(self) -> list[str]:
        """Names of the gateways."""
        return [name for name in self.hosts if name.startswith("e")]

    @property
    def control_addresses(self) -> list[tuple[str, int]]:
        """Addresses at which upstreams and operators reach the control hosts."""
        return [(self.hosts[name].advertised, self.ports.control) for name in self.control_hosts]

    @property
    def caller_addresses(self) -> Mapping[str, tuple[str, int]]:
        """Addresses at which callers reach each gateway."""
        return {name: (self.hosts[name].advertised, self.ports.callers) for name in self.gateways}

    @property
    def caller_host(self) -> str:
        """IP number that callers connect from."""
        return f"{self.net}.{_CALLERS}.1"

    def get_domain(self, number: int) -> str:
        """Return the failure domain of the host or upstream with this number."""
        return self.domains[number % len(self.domains)]

    def get_upstream_host(self, number: int) -> str:
        """Return the IP number of an upstream."""
        return f"{self.net}.{_UPSTREAMS}.{number + 1}"

    async def start(self) -> None:
        """Open the proxies and start all processes."""
        for host in self.hosts.values():
            await self._open_proxies(host)
            self.start_process(host.name)

    async def close(self) -> None:
        """End all processes and remove the data folders."""
        for host in self.hosts.values():
            if host.process is not None and host.is_running:
                host.process.kill()
        for host in self.hosts.values():
            if host.process is not None:
                host.process.wait()
        await self.proxy.close()
        await self._client.aclose()
        self._temporary.cleanup()
        self._claim.close()

    async def _open_proxies(self, host: Host) -> None:
        ports = self.ports
        kind = ports.control if host.name in self.control_hosts else ports.callers
        for port in (ports.peers, ports.urgent, kind):
            await self.proxy.listen(host.name, (host.advertised, port), (host.bound, port))

    def _list_pids(self) -> dict[str, int]:
        return {
            host.name: host.process.pid
            for host in self.hosts.values()
            if host.process is not None and host.is_running
        }

    # Processes

    def start_process(self, name: str) -> None:
        """Start the process of a host, with its data folder as it is."""
        host = self.hosts[name]
        self._note_failure(host)
        host.is_stopping = False
        role = "control" if name in self.control_hosts else "gateway"
        file = self.write_settings(name)
        host.started_at = asyncio.get_running_loop().time()
        self._get_data_folder(name).mkdir(exist_ok=True)
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        log_folder = self._output / "logs"
        log_folder.mkdir(parents=True, exist_ok=True)
        with (log_folder / f"{name}.log").open("ab") as log:
            host.process = subprocess.Popen(
                [sys.executable, "-m", "cottonlug.daemon", role, "--config", str(file)],
                cwd=ROOT,
                env={**environment, "PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1"},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.note_disturbance([name])
        self._record.add_disruption(name, "start")

    def write_settings(self, name: str) -> Path:
        """Render the settings file of a host and return its path."""
        host = self.hosts[name]
        role = "control" if name in self.control_hosts else "gateway"
        settings = HostSettings(
            name=name,
            domain=host.domain,
            domains=self.domains,
            advertised=host.advertised,
            bound=host.bound,
            ports=self.ports,
            seeds=[self.hosts[each].advertised for each in self.control_hosts[:3]],
            data_folder=self._get_data_folder(name),
            may_begin=host.started_at is None,
        )
        file = Path(self._temporary.name) / f"{name}.yaml"
        file.write_text(render_settings(ROOT / "deploy" / f"{role}.yaml.template", settings))
        return file

    def kill(self, *names: str) -> None:
        """Kill the processes of hosts at the same moment."""
        hosts = [self.hosts[name] for name in names if self.hosts[name].is_running]
        for host in hosts:
            self._signal(host, signal.SIGKILL)
        for host in hosts:
            assert host.process is not None
            host.process.wait()
            host.process = None
            self._end_pause(host)
            self._record.add_disruption(host.name, "kill")

    def pause(self, name: str) -> None:
        """Stop a process from running; the kernel keeps its connections open."""
        host = self.hosts[name]
        if host.is_running:
            self._signal(host, signal.SIGSTOP)
            host.is_paused = True
            self._record.add_disruption(name, "pause", Phase.BEGIN)

    def resume(self, name: str) -> None:
        """Let a paused process run on."""
        host = self.hosts[name]
        if host.is_running and host.is_paused:
            self._signal(host, signal.SIGCONT)
        self._end_pause(host)

    def _end_pause(self, host: Host) -> None:
        if host.is_paused:
            self._record.add_disruption(host.name, "pause", Phase.END)
        host.is_paused = False

    def reload(self, name: str) -> None:
        """Write the settings of a host again and tell its process, unless that just starts."""
        host = self.hosts[name]
        age = asyncio.get_running_loop().time() - (host.started_at or 0.0)
        if host.is_running and age > _NO_SIGHUP_SECONDS:
            self.write_settings(name)
            self._signal(host, signal.SIGHUP)
            self._record.add_disruption(name, "reload")

    async def terminate(self, name: str) -> None:
        """Ask a process to stop, and kill it if it takes too long."""
        host = self.hosts[name]
        if host.process is None or not host.is_running:
            return
        process = host.process
        host.is_stopping = True
        self._signal(host, signal.SIGTERM)
        self._record.add_disruption(name, "terminate", Phase.BEGIN)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + GRACE_SECONDS
        while process.poll() is None and loop.time() < deadline:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
            process.wait()
        if host.process is process:
            host.process = None
        self._end_pause(host)
        self._record.add_disruption(name, "terminate", Phase.END)

    def wipe_disk(self, name: str) -> None:
        """Remove the data folder of a host whose process does not run."""
        assert not self.hosts[name].is_running
        shutil.rmtree(self._get_data_folder(name))
        self._record.add_disruption(name, "wipe_disk")

    def find_failures(self) -> list[str]:
        """Return a line for each process that has ended by itself, and each logged error."""
        for host in self.hosts.values():
            self._note_failure(host)
        return self._failures + self._find_logged_errors()

    def _find_logged_errors(self) -> list[str]:
        """Return the unexpected errors that processes have logged, whatever these ended."""
        return [
            f"{log.stem}: {line}"
            for log in sorted(self._output.glob("logs/*.log"))
            for line in log.read_text(errors="replace").splitlines()
            if any(f'"event": {number},' in line for number in _ERROR_EVENTS)
        ]

    def _note_failure(self, host: Host) -> None:
        if host.process is not None and not host.is_running:
            status = host.process.returncode
            if not host.is_stopping:
                self._failures.append(
                    f"{host.name}: its process has ended by itself, status {status}"
                )
            host.process = None

    def note_disturbance(self, names: Iterable[str]) -> None:
        """Note that hosts were disturbed now."""
        if any(name in self.control_hosts for name in names):
            self.control_disturbed_at = asyncio.get_running_loop().time()

    def _get_data_folder(self, name: str) -> Path:
        return Path(self._temporary.name) / f"data-{name}"

    def _signal(self, host: Host, number: signal.Signals) -> None:
        assert host.process is not None
        host.process.send_signal(number)
        self.note_disturbance([host.name])

    # Requests to processes, past the proxy

    async def find_leader(self) -> str | None:
        """Return the control host that leads by its own metrics, or None."""
        running = [name for name in self.control_hosts if self.hosts[name].is_running]
        leads = await asyncio.gather(*(self._is_leader(self.hosts[name]) for name in running))
        return next(itertools.compress(running, leads), None)

    async def _is_leader(self, host: Host) -> bool:
        if host.is_paused:
            return False
        reply = await self._get(f"http://{host.bound}:{self.ports.metrics}/metrics")
        metrics = reply.text if reply is not None else ""
        return re.search(r"^cottonlug_is_leader\S* 1(\.0)?$", metrics, re.MULTILINE) is not None

    async def wait_ready(self, name: str) -> None:
        """Wait until a gateway reports that it is ready for callers."""
        url = f"http://{self.hosts[name].bound}:{self.ports.readiness}/ready"
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _START_LIMIT_SECONDS
        while loop.time() < deadline:
            reply = await self._get(url)
            if reply is not None and reply.status_code == 200:
                return
            await asyncio.sleep(0.05)
        raise FleetError(f"{name} did not become ready")

    async def configure(self, configuration: Mapping[str, Any], name: str) -> int | None:
        """Send a configuration to a control host; return the status of the answer, if any."""
        url = f"http://{self.hosts[name].bound}:{self.ports.control}/config"
        try:
            reply = await self._client.put(url, json=configuration)
        except httpx.HTTPError:
            return None
        return reply.status_code

    async def _get(self, url: str) -> httpx.Response | None:
        try:
            return await self._client.get(url)
        except httpx.HTTPError:
            return None


def build_configuration(version: int, queues: int = 1) -> dict[str, Any]:
    """Return a configuration with the queue of all jobs and a number of unused ones."""
    routes = [
        {
            "name": f"queue-{number}",
            "host": QUEUE_HOST,
            "path_prefix": QUEUE_PREFIX if number == 1 else f"/queue-{number}/",
            "service": SERVICE,
            "timeout_ms": 1_500,
            "max_attempts": 3,
            "stretch": 1.6,
        }
        for number in range(1, queues + 1)
    ]
    services = [{"name": SERVICE, "rejects_overload": True}]
    return {"version": version, "routes": routes, "services": services}


def _claim_net(ports: Ports) -> tuple[str, socket.socket]:
    """Return the first two numbers of a free loopback network and the socket that claims it."""
    for attempt in range(_NETS):
        net = f"127.{_FIRST_NET + (os.getpid() + attempt) % _NETS}"
        claim = socket.socket()
        try:
            for number, port in itertools.product((1, 2, 3, 11, 12), asdict(ports).values()):
                with socket.socket() as probe:
                    probe.bind((f"{net}.{number}.1", port))
            claim.bind((f"{net}.255.254", ports.control))
        except OSError:
            claim.close()
            continue
        return net, claim
    raise FleetError("no loopback network has the ports free")
