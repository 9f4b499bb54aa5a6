"""A small deployment on loopback: the project's processes, the platform and the operator."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, TextIO

from . import http
from .worker import Event, Worker, World

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ("z1", "z2", "z3")
QUEUE_HOST = "jobs.example"
PREFIX = "/tickets/"
SERVICE = "svc"
RESTART_S = 0.3
"""How long after its end the platform starts a process again."""


class Site:
    """Processes, workers and the record of one run of a script."""

    def __init__(self, folder: Path, *, gateways: int = 3, workers: int = 24, seed: int = 1) -> None:
        self.folder = folder
        self.chance = random.Random(seed)
        self.world = World()
        self.began = time.monotonic()
        self.lines: list[tuple[float, str]] = []
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        self.net = f"127.{40 + os.getpid() % 80}"
        self.ports = self._find_ports()
        self.procs: dict[str, subprocess.Popen[bytes]] = {}
        self.logs: dict[str, TextIO] = {}
        self.controls = {f"c{n}": f"{self.net}.1.{n}" for n in (1, 2, 3)}
        self.gateways = {f"e{n}": f"{self.net}.2.{n}" for n in range(1, gateways + 1)}
        self.began_once: set[str] = set()
        self.version = 0
        self.workers = [
            Worker(
                world=self.world,
                name=f"i-{n:04x}",
                service=SERVICE,
                zone=ZONES[n % 3],
                rack=f"r{n // 8}",
                host=f"{self.net}.3.{n + 1}",
                port=self.ports["worker"],
                controls=[(host, self.ports["control"]) for host in self.controls.values()],
                chance=random.Random(seed * 1_000 + n),
            )
            for n in range(workers)
        ]

    def _find_ports(self) -> dict[str, int]:
        """Return ports that are free at this moment on the addresses to be used."""
        first = self.chance.randrange(18_000, 30_000, 16)
        for base in range(first, first + 1_600, 16):
            names = ("control", "callers", "readiness", "peers", "urgent", "metrics", "worker")
            ports = {name: base + n for n, name in enumerate(names)}
            try:
                for port in ports.values():
                    for host in (f"{self.net}.1.1", f"{self.net}.2.1", f"{self.net}.3.1"):
                        with socket.socket() as probe:
                            probe.bind((host, port))
            except OSError:
                continue
            return ports
        raise RuntimeError("no free ports")

    # Record

    def say(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append((time.monotonic(), text))

    def write_record(self, verdict: str) -> None:
        """Write everything that was sent, answered and run, in the order of time."""
        lines = self.lines + [
            (e.at, f"worker {e.worker}: {e.kind} {e.task} run {e.run} {e.detail}".rstrip())
            for e in self.world.events
        ]
        lines.sort(key=lambda line: line[0])
        text = "".join(f"{at - self.began:9.3f} {line}\n" for at, line in lines)
        (self.folder / "record.txt").write_text(text + verdict + "\n")

    # Processes

    def _write_settings(self, name: str) -> Path:
        ports = self.ports
        seeds = ", ".join(f'"{host}:{ports["control"]}"' for host in self.controls.values())
        common = (
            f"seeds: [{seeds}]\npeer_port: {ports['peers']}\nurgent_port: {ports['urgent']}\n"
            "longest_lease: 1000ms\ndrain_limit: 6s\ncaller_retry: 1300ms\n"
            "heartbeat_every: 1500ms\nshrink_borne: 3000ms\nremote_factor: 1.5\n"
        )
        if name in self.controls:
            host, zone = self.controls[name], ZONES[int(name[1:]) - 1]
            data = Path(self.temp.name) / f"data-{name}"
            data.mkdir(exist_ok=True)
            may_begin = "false" if name in self.began_once else "true"
            text = (
                f"host: {name}\ndomain: {zone}\ndomains: [{', '.join(ZONES)}]\nlisten:\n"
                f"  control: {host}:{ports['control']}\n  peers: {host}:{ports['peers']}\n"
                f"  metrics: {host}:{ports['metrics']}\nmay_begin: {may_begin}\n"
                f"data_folder: {data}\nkeep_ended: 120s\norders: call\n{common}"
            )
        else:
            host, zone = self.gateways[name], ZONES[(int(name[1:]) - 1) % 3]
            text = (
                f"host: {name}\ndomain: {zone}\nlisten:\n"
                f"  callers: {host}:{ports['callers']}\n"
                f"  readiness: {host}:{ports['readiness']}\n  peers: {host}:{ports['peers']}\n"
                f"  metrics: {host}:{ports['metrics']}\n{common}"
                "size:\n  cores: 2\n  share: 0.537\n  memory: 300\n  descriptors: 4100\n"
                "  link: 1000.0\n"
            )
        path = Path(self.temp.name) / f"{name}.yaml"
        path.write_text(text)
        return path

    def start(self, name: str) -> None:
        """Start a process as the deploy file says."""
        role = "control" if name in self.controls else "gateway"
        settings = self._write_settings(name)
        self.began_once.add(name)
        log = (Path(self.temp.name) / f"{name}.log").open("ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        command = ["python3", "-S", "-m", "cottonlug.daemon", role, "--config", str(settings)]
        self.procs[name] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.say(f"platform: starts {name}")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of this site."""
        self.procs[name].send_signal(number)
        self.say(f"platform: {signal.Signals(number).name} to {name}")

    def kill(self, *names: str) -> None:
        """Kill processes at the same moment."""
        for name in names:
            self.procs[name].send_signal(signal.SIGKILL)
        for name in names:
            self.procs[name].wait()
            self.say(f"platform: kills {name}")

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of a process."""
        path = Path(self.temp.name) / f"{name}.log"
        found = []
        for line in path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def keep_logs(self, target: Path) -> None:
        """Copy the logs of the processes, for looking into a failure."""
        target.mkdir(parents=True, exist_ok=True)
        for name in self.procs:
            source = Path(self.temp.name) / f"{name}.log"
            (target / f"{name}.log").write_bytes(source.read_bytes())

    async def find_leader(self) -> str:
        """Return the control host that leads, as its metrics say."""
        for _ in range(200):
            for name, host in self.controls.items():
                process = self.procs.get(name)
                if process is None or process.poll() is not None:
                    continue
                reply = await http.request(host, self.ports["metrics"], "GET", "/metrics")
                if reply is not None and _is_leading(reply.body.decode()):
                    return name
            await asyncio.sleep(0.05)
        raise RuntimeError("no leader was found")

    async def begin(self) -> None:
        """Start everything, send the first configuration, and wait until all is ready."""
        for name in (*self.controls, *self.gateways):
            self.start(name)
        for worker in self.workers:
            await worker.start()
        await self.configure()
        for name in self.gateways:
            await self.wait_ready(name)
        # The workers are known once each has been answered.
        await asyncio.sleep(3.5)

    async def wait_ready(self, name: str, limit_s: float = 30.0) -> None:
        """Wait until a gateway says that it is ready."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            reply = await http.request(
                self.gateways[name], self.ports["readiness"], "GET", "/ready"
            )
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{name} did not become ready")

    async def configure(self, routes: list[dict[str, Any]] | None = None) -> bool:
        """Send the next configuration until it is acknowledged."""
        self.version += 7
        body = {
            "version": self.version,
            "routes": routes if routes is not None else [build_route("r-1", PREFIX)],
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/health",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "rejects_overload": self.world.guards,
                    "standby": False,
                }
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        }
        for _ in range(60):
            for host in self.chance.sample(list(self.controls.values()), 3):
                reply = await http.request(host, self.ports["control"], "PUT", "/config", body)
                if reply is not None and reply.status == 200:
                    self.say(f"operator: version {self.version} acknowledged")
                    return True
            await asyncio.sleep(0.2)
        return False

    async def end(self) -> None:
        """End all processes and workers."""
        for process in self.procs.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.procs.values():
            process.wait()
        for worker in self.workers:
            await worker.stop()

    # Clients

    async def call(
        self,
        gateway: str,
        method: str,
        job: str,
        body: Any = None,
        *,
        timeout: float = 1.5,
        prefix: str = PREFIX,
    ) -> http.Reply | None:
        """Send a client's request to a gateway and record it with its answer."""
        self.say(f"client: {method} {job} to {gateway}")
        reply = await http.request(
            self.gateways[gateway],
            self.ports["callers"],
            method,
            prefix + job,
            body,
            {"Host": QUEUE_HOST, "X-Timeout-Ms": str(int(timeout * 1000))},
            timeout,
        )
        answer = "no answer" if reply is None else f"{reply.status} {reply.body.decode()}"
        self.say(f"client: {method} {job} at {gateway}: {answer}")
        return reply


def build_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": QUEUE_HOST,
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


def _is_leading(metrics: str) -> bool:
    lines = (line.split() for line in metrics.splitlines())
    return any(
        line[0].split("{")[0] == "cottonlug_is_leader" and float(line[-1]) == 1.0
        for line in lines
        if line and not line[0].startswith("#")
    )


def find_overlaps(events: list[Event]) -> list[str]:
    """Return where two runs of one task were active at the same time (rule TWICE)."""
    spans: dict[str, list[list[Any]]] = {}
    for event in sorted(events, key=lambda each: each.at):
        runs = spans.setdefault(event.task, [])
        if event.kind == "start":
            runs.append([event.at, float("inf"), event.worker, event.run])
        elif event.kind == "end":
            for run in runs:
                if run[2:] == [event.worker, event.run]:
                    run[1] = event.at
    found = []
    for task, runs in spans.items():
        for at, later in enumerate(runs):
            for earlier in runs[:at]:
                if later[0] < earlier[1]:
                    both = min(earlier[1], later[1]) - later[0]
                    found.append(
                        f"task {task}: run {later[3]} begins at {later[2]} while run {earlier[3]} "
                        f"is active at {earlier[2]}; both are active for {both * 1000:.1f} ms"
                    )
    return found


def find_starts_after_done(events: list[Event]) -> list[str]:
    """Return starts after a run has ended done whose end was taken note of (rule TWICE)."""
    done: dict[str, Event] = {}
    noted: set[tuple[str, int, str]] = set()
    for event in events:
        if event.kind == "noted" and event.detail.startswith("done"):
            noted.add((event.task, event.run, event.worker))
    found = []
    for event in sorted(events, key=lambda each: each.at):
        if event.kind == "end" and event.detail.startswith("done"):
            if (event.task, event.run, event.worker) in noted:
                done.setdefault(event.task, event)
        elif event.kind == "start" and event.task in done:
            first = done[event.task]
            found.append(
                f"task {event.task}: run {event.run} begins at {event.worker} "
                f"{event.at - first.at:.3f} s after run {first.run} had ended done at "
                f"{first.worker}"
            )
    return found


def run_script(work: Any, folder: Path, **options: Any) -> None:
    """Run the coroutine of a script, and exit with 1, 0 or 2."""

    async def main() -> int:
        # A script that is told to stop ends its processes first.
        current = asyncio.current_task()
        assert current is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        site = Site(folder, **options)
        limit_s = float(os.environ.get("LIMIT_S", "110"))
        try:
            problems = await asyncio.wait_for(work(site), limit_s)
        except Exception as error:
            site.write_record(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            kept = os.environ.get("KEEP_LOGS")
            if kept:
                site.keep_logs(Path(kept))
            await site.end()
            site.temp.cleanup()
        verdict = "\n".join(problems) if problems else "the rule held"
        site.write_record(verdict)
        print(verdict)
        return 1 if problems else 0

    try:
        status = asyncio.run(main())
    except BaseException as error:
        print(f"could not run: {type(error).__name__}: {error}")
        status = 2
    sys.exit(status)
