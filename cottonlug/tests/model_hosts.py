"""Control hosts in simulated time: the real ones, on a model of machines, links and disks.

Each host has one thread, as a process has: its callbacks run in turn and take time, a frozen host
runs none until it thaws, and a killed one never again. Links delay, hold up what was sent while
they are cut, and leave connections silent. A day of eight hosts takes a second or two.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
import selectors
from collections import deque
from collections.abc import Callable, Coroutine, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import msgspec
import pytest
from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.cluster import (
    ControlListeners,
    ControlSettings,
    GatewayListeners,
    GatewaySettings,
    OrderDelivery,
)
from ..config.logs import LogSettings
from ..config.options import Address
from ..core.cluster.calls import Greet
from ..core.cluster.model import LookReply
from ..core.cluster.orders import (
    CallFailure,
    LookOrder,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from ..core.ids import DomainName, HostId, UpstreamId
from ..net.asgi import Handler, HttpRequest, HttpResponse, _handle_while_connected
from ..net.transport import HttpReply, TransportError
from ..platform.control import build_control_handler
from ..runtime import control_host as control_host_module
from ..runtime import peer_calls as peer_calls_module
from ..runtime import replica as replica_module
from ..runtime.control_host import ControlHost
from ..runtime.gateway import Gateway
from ..runtime.peer_calls import CALL_PATH

CONTROL_PORT = 80
PEER_PORT = 90
LINK = 0.0005
"""Seconds that a message is under way."""
CONNECT_SECONDS = 0.5
FIRST_RESEND = 0.2
"""After so many seconds, and then twice as long each time, lost bytes are sent again."""
SYNC_SECONDS = 0.009
CALLBACK_SECONDS = 0.00003
RESTART_SECONDS = 0.4
HAND_OVER_SECONDS = 1.5
PATIENCE_SECONDS = 1.0
"""How long an operator or an upstream waits for an answer, before it asks another host."""

_PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar("process", default=None)


class _Clock(selectors.SelectSelector):
    """Does not wait but moves the time on."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "nothing is left to happen"
        self.now += max(timeout, 0.0)
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """A loop in simulated time, on which each process has a thread of its own."""

    def __init__(self) -> None:
        self._moving = _Clock()
        super().__init__(self._moving)
        self.set_exception_handler(lambda loop, context: None)

    def time(self) -> float:
        return self._moving.now

    def call_soon(self, callback, *args, context=None):  # type: ignore[no-untyped-def, override]
        process = _find_process(context)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        process.enqueue(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):  # type: ignore[no-untyped-def, override]
        process = _find_process(context)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        timers: list[asyncio.TimerHandle] = []

        def run() -> None:
            # It may have been cancelled while it waited for its thread.
            if not timers[0].cancelled():
                callback(*args)

        inner = asyncio.Handle(run, (), self, context)
        empty = contextvars.Context()
        timers.append(super().call_at(when, process.enqueue, inner, context=empty))
        return timers[0]


def _find_process(context: contextvars.Context | None) -> Process | None:
    return context.get(_PROCESS) if context is not None else _PROCESS.get()


class Process:
    """One life of a host's process: its queue of callbacks, and when it may run."""

    def __init__(self, machine: Machine, loop: SimulatedLoop) -> None:
        self.machine = machine
        self.is_alive = True
        self.free_at = 0.0
        """Until then its thread is at work, or held up."""
        self.control: ControlHost | None = None
        self.handlers: dict[int, Handler] = {}
        self.context = contextvars.Context()
        self.context.run(_PROCESS.set, self)
        self.tasks: set[asyncio.Task[Any]] = set()
        self._loop = loop
        self._queue: deque[asyncio.Handle] = deque()
        self._is_due = False

    def enqueue(self, handle: asyncio.Handle) -> None:
        self._queue.append(handle)
        self._schedule()

    def run(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = self._loop.create_task(work, context=self.context)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard, context=contextvars.Context())
        return task

    def work(self, seconds: float) -> None:
        """Take time of the thread."""
        self.free_at = max(self.free_at, self._loop.time()) + seconds

    def _schedule(self) -> None:
        if self._is_due or not self._queue or not self.is_alive:
            return
        self._is_due = True
        empty = contextvars.Context()
        at = max(self.free_at, self._loop.time())
        asyncio.SelectorEventLoop.call_at(self._loop, at, self._turn, context=empty)

    def _turn(self) -> None:
        """Run what has been waiting, as one turn of a loop."""
        self._is_due = False
        if not self.is_alive:
            return
        if self._loop.time() < self.free_at:
            self._schedule()
            return
        for _ in range(len(self._queue)):
            handle = self._queue.popleft()
            if not handle.cancelled():
                self.work(CALLBACK_SECONDS * self.machine.slowness)
                handle._run()
            if not self.is_alive:
                return
        self._schedule()


class MemoryFiles:
    """A disk: each write is synced, which holds the thread up."""

    def __init__(self) -> None:
        self.content: dict[str, bytes] = {}

    def read(self, name: str) -> bytes | None:
        return self.content.get(name)

    def append(self, name: str, data: bytes) -> None:
        self._sync()
        self.content[name] = self.content.get(name, b"") + data

    def sync(self, name: str) -> None:
        self._sync()

    def truncate(self, name: str, size: int) -> None:
        self._sync()
        self.content[name] = self.content[name][:size]

    def replace(self, name: str, data: bytes) -> None:
        self._sync()
        self.content[name] = data

    def close(self) -> None:
        pass

    def _sync(self) -> None:
        process = _PROCESS.get()
        if process is not None:
            process.work(SYNC_SECONDS * process.machine.slowness)


@dataclass(slots=True)
class Machine:
    """One host: its disk stays, its processes come and go."""

    name: str
    domain: str
    ip: str
    files: MemoryFiles = field(default_factory=MemoryFiles)
    process: Process | None = None
    is_dark: bool = False
    """Without power: nothing answers, not even a refusal."""
    starts: int = 0
    slowness: float = 1.0

    @property
    def peers(self) -> Address:
        return Address(self.ip, PEER_PORT)


@dataclass(slots=True, eq=False)
class _Connection:
    process: Process
    is_silent: bool = False


class _Pool:
    """The connections of one process to one address, as `net.connections.ConnectionPool`."""

    def __init__(self, world: World, address: Address) -> None:
        self._world = world
        self._own = _PROCESS.get()
        self._address = address
        self.idle: list[_Connection] = []

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | Callable[[], bytes] = b"",
        *,
        timeout: timedelta,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpReply, TransportError]:
        whole = body if isinstance(body, bytes) else body()
        request = HttpRequest(method=method, path=path, headers=dict(headers or {}), body=whole)
        own = self._own.machine if self._own is not None else None
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._world.exchange(own, self._address, request, self.idle)
        except TimeoutError:
            return Err(TransportError(message="no reply in time", unsent=False))

    def drop_idle(self) -> None:
        self.idle.clear()

    def close(self) -> None:
        self.idle.clear()


class _Pools:
    def __init__(self, world: World, *, is_of_the_log: bool = False) -> None:
        self._world = world
        self.is_of_the_log = is_of_the_log
        self.by_address: dict[Address, _Pool] = {}
        world.pools.append(self)

    def get(self, address: Address) -> _Pool:
        if address not in self.by_address:
            self.by_address[address] = _Pool(self._world, address)
        return self.by_address[address]

    def close(self) -> None:
        self.by_address.clear()


class World:
    """The machines, the links between them, and the upstreams that take orders."""

    def __init__(self, seed: int, loop: SimulatedLoop) -> None:
        self.loop = loop
        self.chance = random.Random(seed)
        self.machines: dict[str, Machine] = {}
        self.gateways: dict[str, Machine] = {}
        self.upstreams: dict[UpstreamId, ModelUpstream] = {}
        self.pools: list[_Pools] = []
        self.failures: list[BaseException] = []
        self._cut: set[frozenset[str]] = set()
        self._graveyard: list[Process] = []
        self._carried: set[asyncio.Task[Any]] = set()

    def add(self, name: str, domain: str, ip: str) -> Machine:
        machine = Machine(name, domain, ip)
        self.machines[name] = machine
        return machine

    # Processes

    def start(self, machine: Machine, seeds: list[Machine], *, may_begin: bool = False) -> None:
        assert machine.process is None
        machine.starts += 1
        machine.is_dark = False
        process = Process(machine, self.loop)
        machine.process = process
        settings = ControlSettings(
            host=HostId(machine.name),
            domain=DomainName(machine.domain),
            listen=ControlListeners(
                control=Address(machine.ip, CONTROL_PORT), peers=machine.peers, metrics=None
            ),
            domains=sorted({DomainName(each.domain) for each in self.machines.values()}),
            seeds=[seed.peers for seed in seeds],
            may_begin=may_begin,
            data_folder=Path(machine.name),
            longest_lease=timedelta(seconds=1),
            caller_retry=timedelta(milliseconds=1_300),
            keep_ended=timedelta(seconds=120),
            orders=OrderDelivery.CALL,
            drain_limit=timedelta(seconds=6),
            log=LogSettings(),
        )

        def build() -> ControlHost:
            return ControlHost(
                settings=settings,
                clock=HostClock(self.loop),
                port=ModelPort(self),
                on_failure=self.failures.append,
            )

        control = process.context.run(build)
        process.control = control
        process.handlers = {
            CONTROL_PORT: build_control_handler(control.answer),
            PEER_PORT: _answer_peers(control),
        }
        process.run(control.start())

    def start_gateway(self, name: str, domain: str, ip: str, seeds: list[Machine]) -> Gateway:
        machine = Machine(name, domain, ip)
        self.gateways[name] = machine
        process = Process(machine, self.loop)
        machine.process = process
        settings = GatewaySettings(
            host=HostId(name),
            domain=DomainName(domain),
            listen=GatewayListeners(
                callers=Address(ip, CONTROL_PORT),
                peers=machine.peers,
                readiness=Address(ip, CONTROL_PORT),
                metrics=None,
            ),
            seeds=[seed.peers for seed in seeds],
            longest_lease=timedelta(seconds=1),
            caller_retry=timedelta(milliseconds=1_300),
            drain_limit=timedelta(seconds=6),
            log=LogSettings(),
        )

        def build() -> Gateway:
            return Gateway(
                settings=settings,
                clock=HostClock(self.loop),
                port=ModelPort(self),
                on_failure=self.failures.append,
            )

        gateway = process.context.run(build)
        process.handlers = {PEER_PORT: _answer_peers(gateway)}

        async def begin() -> None:
            gateway.start()

        process.run(begin())
        return gateway

    def kill(self, machine: Machine, *, power: bool = False, wipe: bool = False) -> None:
        """End a process at once; its machine refuses connections, or without power is silent."""
        if machine.process is not None:
            machine.process.is_alive = False
            self._graveyard.append(machine.process)
            machine.process = None
        machine.is_dark = power
        if wipe:
            machine.files = MemoryFiles()

    async def terminate(self, machine: Machine) -> None:
        """End a process as a SIGTERM does, with nothing left to answer after it."""
        process = machine.process
        if process is None or process.control is None:
            return
        process.run(process.control.hand_over())
        await asyncio.sleep(HAND_OVER_SECONDS)
        if machine.process is process:
            self.kill(machine)

    def freeze(self, machine: Machine, seconds: float) -> None:
        if machine.process is not None:
            machine.process.work(seconds)

    # Links

    def cut(self, one: Machine, other: Machine) -> None:
        self._cut.add(frozenset((one.name, other.name)))

    def cut_off(self, group: list[Machine]) -> None:
        for one in group:
            for other in self.machines.values():
                if other not in group:
                    self.cut(one, other)

    def heal(self) -> None:
        self._cut.clear()

    def silence_connections(self, *, of_the_log: bool = True) -> None:
        """Leave open connections silent for good, or those for calls alone; new ones work."""
        for pools in self.pools:
            if pools.is_of_the_log and not of_the_log:
                continue
            for pool in pools.by_address.values():
                for connection in pool.idle:
                    connection.is_silent = True

    def _is_cut(self, one: Machine | None, other: Machine) -> bool:
        return one is not None and frozenset((one.name, other.name)) in self._cut

    def find_machine(self, address: Address) -> Machine | None:
        everybody = (*self.machines.values(), *self.gateways.values())
        return next((each for each in everybody if each.ip == address.host), None)

    async def exchange(
        self,
        own: Machine | None,
        address: Address,
        request: HttpRequest,
        idle: list[_Connection],
    ) -> Result[HttpReply, TransportError]:
        """Carry a request to another machine and its answer back; cancelled, it is hung up."""
        carrying = self.loop.create_task(
            self._carry(own, address, request, idle), context=contextvars.Context()
        )
        self._carried.add(carrying)
        carrying.add_done_callback(self._carried.discard)
        try:
            await asyncio.wait([carrying])
            return carrying.result()
        finally:
            if not self.loop.is_closed():
                carrying.cancel()

    async def _carry(
        self,
        own: Machine | None,
        address: Address,
        request: HttpRequest,
        idle: list[_Connection],
    ) -> Result[HttpReply, TransportError]:
        machine = self.find_machine(address)
        if machine is None:
            await asyncio.sleep(CONNECT_SECONDS)
            return Err(TransportError(message="cannot connect", unsent=True))
        connection = await self._connect(own, machine, idle)
        if isinstance(connection, TransportError):
            return Err(connection)
        await self._travel(own, machine)
        if connection.is_silent or machine.is_dark:
            await asyncio.Event().wait()
        if connection.process is not machine.process:
            return Err(TransportError(message="connection lost", unsent=False))
        process = connection.process
        hang_up: Any = asyncio.Event()
        handling = process.handlers[address.port](request)
        answering = process.run(_handle_while_connected(handling, hang_up.wait))
        try:
            while not answering.done():
                await asyncio.wait([answering], timeout=1.0)
                if not process.is_alive:
                    if machine.is_dark:
                        await asyncio.Event().wait()
                    return Err(TransportError(message="connection lost", unsent=False))
            response = answering.result()
        finally:
            if not answering.done() and process.is_alive:
                process.enqueue(asyncio.Handle(hang_up.set, (), self.loop, process.context))
        assert response is not None, "nobody has hung up"
        await self._travel(own, machine)
        if connection.is_silent:
            await asyncio.Event().wait()
        idle.append(connection)
        return Success(HttpReply(status=response.status, body=response.body))

    async def _connect(
        self, own: Machine | None, machine: Machine, idle: list[_Connection]
    ) -> _Connection | TransportError:
        while idle:
            connection = idle.pop()
            # The end of a process shows at once, but not that of a machine.
            if connection.process.is_alive or machine.is_dark:
                return connection
        if self._is_cut(own, machine) or machine.is_dark:
            await asyncio.sleep(CONNECT_SECONDS)
            return TransportError(message="cannot connect", unsent=True)
        await asyncio.sleep(2 * LINK)
        if machine.process is None:
            return TransportError(message="cannot connect", unsent=True)
        return _Connection(machine.process)

    async def _travel(self, own: Machine | None, other: Machine) -> None:
        await asyncio.sleep(LINK * (1.0 + self.chance.random()))
        resend = FIRST_RESEND
        while self._is_cut(own, other):
            await asyncio.sleep(resend)
            resend *= 2

    def find_leader(self) -> Machine | None:
        """Return the machine that decides, if one does."""
        for machine in self.machines.values():
            control = machine.process.control if machine.process is not None else None
            if control is not None and control.leading is not None and control.replica.has_lease():
                return machine
        return None


class HostClock:
    """The clock of the simulated world, which goes on while a host is frozen."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self._loop = loop

    def now(self) -> datetime:
        return datetime(2030, 1, 1, tzinfo=UTC) + self.monotonic()

    def monotonic(self) -> timedelta:
        return timedelta(seconds=1_000 + self._loop.time())


@dataclass(slots=True)
class ModelUpstream:
    """An upstream that runs nothing, but remembers the highest token."""

    id: UpstreamId
    ip: str
    domain: str
    token: int = 0
    sequence: int = 0
    decider: str = ""
    """The machine that it was told to send its heartbeats to."""


class ModelPort:
    """Orders to the upstreams of a world."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def start(self, order: StartOrder, token: int) -> tuple[StartOutcome, int | None]:
        raise AssertionError("there are no jobs")

    async def stop(self, order: StopOrder, token: int) -> CallFailure | None:
        raise AssertionError("there are no jobs")

    async def look(self, order: LookOrder, token: int) -> LookReply | CallFailure:
        await asyncio.sleep(2 * LINK)
        upstream = self._world.upstreams.get(order.upstream.id)
        if upstream is None:
            return CallFailure.NO_ANSWER
        if token < upstream.token:
            return CallFailure.FENCED
        upstream.token = token
        clock_ms = int(self._world.loop.time() * 1000)
        return LookReply(clock_ms=clock_ms, running=(), ended=())


def build_configuration(version: int) -> bytes:
    """Return the body of a configuration."""
    route = {
        "name": "r",
        "host": "h.example",
        "path_prefix": "/p/",
        "route_type": "unsafe",
        "timeout_ms": 1_500 + version,
        "target_latency_ms": 60,
        "priority": 0,
        "service": "s",
        "max_attempts": 2,
        "stretch": 1.6,
    }
    service = {"name": "s", "max_conns": 64, "rejects_overload": True}
    return msgspec.json.encode({"version": version, "routes": [route], "services": [service]})


class Operator:
    """Sends an order until it is acknowledged, as the users' operators and upstreams do."""

    def __init__(self, world: World, chance: random.Random) -> None:
        self._world = world
        self._chance = chance
        self.refusals: list[str] = []

    async def send(self, method: str, path: str, body: bytes, first: str = "") -> HttpReply:
        """Return the acknowledgement; `first` is the machine to begin with, if any."""
        backoff = 0.1
        last = ""
        while True:
            others = [name for name in self._world.machines if name != last]
            last = first if first in others else self._chance.choice(others)
            first = ""
            reply = await self._send_to(self._world.machines[last], method, path, body)
            if reply is not None and reply.status == 200:
                return reply
            if reply is not None and 400 <= reply.status < 500:
                self.refusals.append(f"{reply.status} {reply.body.decode()}")
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, 0.8)

    async def send_once(self, machine: Machine, body: bytes) -> HttpReply | None:
        """Send a configuration to one machine, and wait for as long as operators do."""
        return await self._send_to(machine, "PUT", "/config", body)

    async def _send_to(
        self, machine: Machine, method: str, path: str, body: bytes
    ) -> HttpReply | None:
        address = Address(machine.ip, CONTROL_PORT)
        request = HttpRequest(method=method, path=path, headers={}, body=body)
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                sent = await self._world.exchange(None, address, request, [])
        except TimeoutError:
            return None
        return sent.unwrap() if isinstance(sent, Success) else None

    async def configure(self, version: int, insist_on: Machine | None = None) -> float:
        """Return when a configuration was acknowledged, by one machine if that answers first."""
        body = build_configuration(version)
        reply = None
        while insist_on is not None and reply is None:
            reply = await self.send_once(insist_on, body)
            await asyncio.sleep(0.1)
        if reply is not None and reply.status == 200:
            return self._world.loop.time()
        await self.send("PUT", "/config", body)
        return self._world.loop.time()

    async def beat(self, upstream: ModelUpstream, *, draining: bool = False) -> float:
        upstream.sequence += 1
        body = msgspec.json.encode(
            {
                "service": "s",
                "address": f"{upstream.ip}:80",
                "zone": upstream.domain,
                "state": "draining" if draining else "ready",
                "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
                "clock_ms": int(self._world.loop.time() * 1000),
                "seq_no": upstream.sequence,
            }
        )
        path = f"/instances/{upstream.id}"
        reply = await self.send("PUT", path, body, upstream.decider)
        named = msgspec.json.decode(reply.body).get("heartbeat_url", "").partition(":")[0]
        machine = self._world.find_machine(Address(named, CONTROL_PORT))
        upstream.decider = machine.name if machine is not None else ""
        return self._world.loop.time()


async def greet_forever(world: World, address: str, domain: str, chance: random.Random) -> None:
    """Be a gateway that some control host hears."""
    call = msgspec.json.encode(Greet(gateway=address, domain=DomainName(domain)))
    while True:
        machine = world.find_leader() or chance.choice(list(world.machines.values()))
        request = HttpRequest(method="POST", path=CALL_PATH, headers={}, body=call)
        try:
            async with asyncio.timeout(0.1):
                await world.exchange(None, machine.peers, request, [])
        except TimeoutError:
            pass
        await asyncio.sleep(0.08)


def _answer_peers(host: ControlHost | Gateway) -> Handler:
    """Return the handler of a host's listener for peers."""

    async def handle(request: HttpRequest) -> HttpResponse:
        return host.answer_at_once(request) or await host.handle_peer(request)

    return handle


@contextmanager
def patch_processes(world: World, seed: int) -> Iterator[None]:
    """Give control hosts the disks, links and chance of a world."""
    chance = random.Random(seed)

    class Lives:
        @staticmethod
        def token_hex(count: int) -> str:
            return f"{chance.getrandbits(count * 8):0{count * 2}x}"

    def open_files(*, folder: Path) -> MemoryFiles:
        return world.machines[str(folder)].files

    patch = pytest.MonkeyPatch()
    patch.setattr(control_host_module, "ConnectionPools", lambda **which: _Pools(world))
    patch.setattr(
        replica_module, "ConnectionPools", lambda **which: _Pools(world, is_of_the_log=True)
    )
    patch.setattr(peer_calls_module, "ConnectionPools", lambda **which: _Pools(world))
    patch.setattr(replica_module, "FolderFiles", open_files)
    patch.setattr(replica_module, "secrets", Lives)
    patch.setattr(replica_module, "random", chance)
    try:
        yield
    finally:
        patch.undo()


def play(seed: int, day: Callable[[World], Coroutine[Any, Any, None]]) -> World:
    """Play a day in simulated time."""
    loop = SimulatedLoop()
    world = World(seed, loop)
    with patch_processes(world, seed):
        main = loop.create_task(day(world), context=contextvars.Context())
        try:
            loop.run_until_complete(main)
        finally:
            for machine in (*world.machines.values(), *world.gateways.values()):
                world.kill(machine)
            loop.close()
    return world
