"""The real control hosts and gateways in simulated time, on a model of machines, links and disks.

Each host has one thread, like a process: its callbacks run one after another and take time, a
frozen host runs none until it is resumed, and a killed one never again. Links have delays, hold
back what is sent while they are cut, and may leave connections silent. Simulating a scenario with
eight hosts takes a second or two.
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
from ..core.cluster.calls import KeepAlive
from ..core.cluster.model import PollReply
from ..core.cluster.orders import (
    CallFailure,
    OnAnswer,
    Order,
    PollOrder,
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
LINK_DELAY_SECONDS = 0.0005
"""How long a message takes to arrive."""
CONNECT_SECONDS = 0.5
"""How long it takes until a connection to an unreachable machine has failed."""
FIRST_RETRANSMIT_SECONDS = 0.2
"""Lost bytes are retransmitted after this time, and then after twice as long each time."""
SYNC_SECONDS = 0.009
"""How long a write to the disk, which is synced, blocks the thread."""
CALLBACK_SECONDS = 0.00003
"""How long a callback occupies the thread."""
RESTART_SECONDS = 0.4
"""From the end of a process to the start of the next one, at the least."""
HAND_OVER_SECONDS = 1.5
"""From a request to stop, with which a process transfers leadership, to the end of the process."""
CLIENT_TIMEOUT_SECONDS = 1.0
"""How long an operator or an upstream waits for an answer, before it asks another host."""

_PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar("process", default=None)


class _SimulatedSelector(selectors.SelectSelector):
    """A selector that advances the simulated time instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "no event is left"
        self.now += max(timeout, 0.0)
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop in simulated time on which each process has its own thread."""

    def __init__(self) -> None:
        self._selector = _SimulatedSelector()
        super().__init__(self._selector)
        self.set_exception_handler(lambda loop, context: None)

    def time(self) -> float:
        return self._selector.now

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
            # The timer may have been cancelled while it waited for its thread.
            if not timers[0].cancelled():
                callback(*args)

        inner = asyncio.Handle(run, (), self, context)
        empty = contextvars.Context()
        timers.append(super().call_at(when, process.enqueue, inner, context=empty))
        return timers[0]


def _find_process(context: contextvars.Context | None) -> Process | None:
    return context.get(_PROCESS) if context is not None else _PROCESS.get()


class Process:
    """One process of a host, from start to end: its callback queue and when it may run."""

    def __init__(self, machine: Machine, loop: SimulatedLoop) -> None:
        self.machine = machine
        self.is_alive = True
        self.free_at = 0.0
        """Until then its thread is busy or frozen."""
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

    def use_time(self, seconds: float) -> None:
        """Use time of the thread."""
        self.free_at = max(self.free_at, self._loop.time()) + seconds

    def _schedule(self) -> None:
        if self._is_due or not self._queue or not self.is_alive:
            return
        self._is_due = True
        empty = contextvars.Context()
        at = max(self.free_at, self._loop.time())
        asyncio.SelectorEventLoop.call_at(self._loop, at, self._run_queue, context=empty)

    def _run_queue(self) -> None:
        """Run the queued callbacks, as one iteration of an event loop."""
        self._is_due = False
        if not self.is_alive:
            return
        if self._loop.time() < self.free_at:
            self._schedule()
            return
        for _ in range(len(self._queue)):
            handle = self._queue.popleft()
            if not handle.cancelled():
                self.use_time(CALLBACK_SECONDS * self.machine.slowness)
                handle._run()
            if not self.is_alive:
                return
        self._schedule()


class MemoryFiles:
    """A disk; each write is synced, which blocks the thread."""

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
            process.use_time(SYNC_SECONDS * process.machine.slowness)


@dataclass(slots=True)
class Machine:
    """One host with a permanent disk and successive processes."""

    name: str
    domain: str
    ip: str
    files: MemoryFiles = field(default_factory=MemoryFiles)
    process: Process | None = None
    is_powered_off: bool = False
    """Without power it answers nothing; not even connections are refused."""
    start_count: int = 0
    slowness: float = 1.0

    @property
    def peers(self) -> Address:
        return Address(self.ip, PEER_PORT)


@dataclass(slots=True, eq=False)
class _Connection:
    process: Process
    is_silent: bool = False


class _Pool:
    """The connections of one process to one address, like `net.connections.ConnectionPool`."""

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
    def __init__(self, world: World, *, is_for_log: bool = False) -> None:
        self._world = world
        self.is_for_log = is_for_log
        self.by_address: dict[Address, _Pool] = {}
        world.pools.append(self)

    def get(self, address: Address) -> _Pool:
        if address not in self.by_address:
            self.by_address[address] = _Pool(self._world, address)
        return self.by_address[address]

    def close(self) -> None:
        self.by_address.clear()


class World:
    """The machines, the links between them, and the upstreams that receive orders."""

    def __init__(self, seed: int, loop: SimulatedLoop) -> None:
        self.loop = loop
        self.chance = random.Random(seed)
        self.machines: dict[str, Machine] = {}
        self.gateways: dict[str, Machine] = {}
        self.upstreams: dict[UpstreamId, ModelUpstream] = {}
        self.pools: list[_Pools] = []
        self.failures: list[BaseException] = []
        """Unexpected errors, whether they end a process or a term."""
        self.term_failures: list[BaseException] = []
        """Those that have ended a term, while the process goes on."""
        self._cut: set[frozenset[str]] = set()
        self._dead_processes: list[Process] = []
        self._exchanges: set[asyncio.Task[Any]] = set()

    def add(self, name: str, domain: str, ip: str) -> Machine:
        machine = Machine(name, domain, ip)
        self.machines[name] = machine
        return machine

    # Processes

    def start(self, machine: Machine, seeds: list[Machine], *, may_begin: bool = False) -> None:
        assert machine.process is None
        machine.start_count += 1
        machine.is_powered_off = False
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
        control.record_term_failure = self.record_term_failure
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
            )

        gateway = process.context.run(build)
        gateway.link.record_term_failure = self.record_term_failure
        process.handlers = {PEER_PORT: _answer_peers(gateway)}

        async def begin() -> None:
            gateway.start()

        process.run(begin())
        return gateway

    def record_term_failure(self, error: BaseException) -> None:
        self.failures.append(error)
        self.term_failures.append(error)

    def kill(self, machine: Machine, *, power: bool = False, wipe: bool = False) -> None:
        """End a process; its machine then refuses connections or, without power, is silent."""
        if machine.process is not None:
            machine.process.is_alive = False
            self._dead_processes.append(machine.process)
            machine.process = None
        machine.is_powered_off = power
        if wipe:
            machine.files = MemoryFiles()

    async def terminate(self, machine: Machine) -> None:
        """End a process like SIGTERM, after it has transferred leadership."""
        process = machine.process
        if process is None or process.control is None:
            return
        process.run(process.control.transfer_leadership())
        await asyncio.sleep(HAND_OVER_SECONDS)
        if machine.process is process:
            self.kill(machine)

    def freeze(self, machine: Machine, seconds: float) -> None:
        if machine.process is not None:
            machine.process.use_time(seconds)

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

    def silence_connections(self, *, include_log: bool = True) -> None:
        """Make open connections silent for good; new ones work.

        Either all of them, or only those for calls and not those for the log's messages.
        """
        for pools in self.pools:
            if pools.is_for_log and not include_log:
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
        """Deliver a request to another machine and return its answer; cancelling disconnects."""
        delivering = self.loop.create_task(
            self._deliver(own, address, request, idle), context=contextvars.Context()
        )
        self._exchanges.add(delivering)
        delivering.add_done_callback(self._exchanges.discard)
        try:
            await asyncio.wait([delivering])
            return delivering.result()
        finally:
            if not self.loop.is_closed():
                delivering.cancel()

    async def _deliver(
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
        await self._delay_message(own, machine)
        if connection.is_silent or machine.is_powered_off:
            await asyncio.Event().wait()
        if connection.process is not machine.process:
            return Err(TransportError(message="connection lost", unsent=False))
        process = connection.process
        disconnected: Any = asyncio.Event()
        handling = process.handlers[address.port](request)
        answering = process.run(_handle_while_connected(handling, disconnected.wait))
        try:
            while not answering.done():
                await asyncio.wait([answering], timeout=1.0)
                if not process.is_alive:
                    if machine.is_powered_off:
                        await asyncio.Event().wait()
                    return Err(TransportError(message="connection lost", unsent=False))
            response = answering.result()
        finally:
            if not answering.done() and process.is_alive:
                process.enqueue(asyncio.Handle(disconnected.set, (), self.loop, process.context))
        assert response is not None, "the caller has not disconnected"
        await self._delay_message(own, machine)
        if connection.is_silent:
            await asyncio.Event().wait()
        idle.append(connection)
        return Success(HttpReply(status=response.status, body=response.body))

    async def _connect(
        self, own: Machine | None, machine: Machine, idle: list[_Connection]
    ) -> _Connection | TransportError:
        while idle:
            connection = idle.pop()
            # The end of a process is noticed immediately, a power failure of its machine is not.
            if connection.process.is_alive or machine.is_powered_off:
                return connection
        if self._is_cut(own, machine) or machine.is_powered_off:
            await asyncio.sleep(CONNECT_SECONDS)
            return TransportError(message="cannot connect", unsent=True)
        await asyncio.sleep(2 * LINK_DELAY_SECONDS)
        if machine.process is None:
            return TransportError(message="cannot connect", unsent=True)
        return _Connection(machine.process)

    async def _delay_message(self, own: Machine | None, other: Machine) -> None:
        await asyncio.sleep(LINK_DELAY_SECONDS * (1.0 + self.chance.random()))
        resend = FIRST_RETRANSMIT_SECONDS
        while self._is_cut(own, other):
            await asyncio.sleep(resend)
            resend *= 2

    def find_leader(self) -> Machine | None:
        """Return the machine that is the leader and has a lease, or None."""
        for machine in self.machines.values():
            control = machine.process.control if machine.process is not None else None
            if (
                control is not None
                and control.leadership is not None
                and control.replica.has_lease()
            ):
                return machine
        return None


class HostClock:
    """The clock of the simulated world; it continues while a host is frozen."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self._loop = loop

    def now(self) -> datetime:
        return datetime(2030, 1, 1, tzinfo=UTC) + self.monotonic()

    def monotonic(self) -> timedelta:
        return timedelta(seconds=1_000 + self._loop.time())


@dataclass(slots=True)
class ModelUpstream:
    """An upstream that runs nothing but remembers the highest fencing token."""

    id: UpstreamId
    ip: str
    domain: str
    token: int = 0
    sequence: int = 0
    coordinator: str = ""
    """The machine that the last answer named for its next heartbeats."""


class ModelPort:
    """An `UpstreamPort` to the upstreams of a world."""

    def __init__(self, world: World) -> None:
        self._world = world

    def try_send(self, order: Order, token: int, on_answer: OnAnswer) -> bool:
        return False

    async def start(self, order: StartOrder, token: int) -> tuple[StartOutcome, int | None]:
        raise AssertionError("there are no jobs")

    async def stop(self, order: StopOrder, token: int) -> CallFailure | None:
        raise AssertionError("there are no jobs")

    async def poll(self, order: PollOrder, token: int) -> PollReply | CallFailure:
        await asyncio.sleep(2 * LINK_DELAY_SECONDS)
        upstream = self._world.upstreams.get(order.upstream.id)
        if upstream is None:
            return CallFailure.NO_ANSWER
        if token < upstream.token:
            return CallFailure.FENCED
        upstream.token = token
        clock_ms = int(self._world.loop.time() * 1000)
        return PollReply(clock_ms=clock_ms, running=(), ended=())


def build_configuration(version: int) -> bytes:
    """Return the encoded body of a configuration."""
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
    """Sends a call until it is acknowledged, as operators and upstreams do."""

    def __init__(self, world: World, chance: random.Random) -> None:
        self._world = world
        self._chance = chance
        self.refusals: list[str] = []

    async def send(self, method: str, path: str, body: bytes, first: str = "") -> HttpReply:
        """Return the acknowledgement; `first` is the machine to try first, if any."""
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
        """Send a configuration to one machine, and wait as long as operators do."""
        return await self._send_to(machine, "PUT", "/config", body)

    async def _send_to(
        self, machine: Machine, method: str, path: str, body: bytes
    ) -> HttpReply | None:
        address = Address(machine.ip, CONTROL_PORT)
        request = HttpRequest(method=method, path=path, headers={}, body=body)
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_SECONDS):
                sent = await self._world.exchange(None, address, request, [])
        except TimeoutError:
            return None
        return sent.unwrap() if isinstance(sent, Success) else None

    async def configure(self, version: int, insist_on: Machine | None = None) -> float:
        """Send a configuration, to one machine until that answers if given; return the time."""
        body = build_configuration(version)
        reply = None
        while insist_on is not None and reply is None:
            reply = await self.send_once(insist_on, body)
            await asyncio.sleep(0.1)
        if reply is not None and reply.status == 200:
            return self._world.loop.time()
        await self.send("PUT", "/config", body)
        return self._world.loop.time()

    async def send_heartbeat(self, upstream: ModelUpstream, *, draining: bool = False) -> float:
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
        reply = await self.send("PUT", path, body, upstream.coordinator)
        named = msgspec.json.decode(reply.body).get("heartbeat_url", "").partition(":")[0]
        machine = self._world.find_machine(Address(named, CONTROL_PORT))
        upstream.coordinator = machine.name if machine is not None else ""
        return self._world.loop.time()


async def send_keepalives_forever(
    world: World, address: str, domain: str, chance: random.Random
) -> None:
    """Send keep-alives like a gateway, to the leader or else to any control host."""
    call = msgspec.json.encode(KeepAlive(gateway=address, domain=DomainName(domain)))
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
        response = host.answer_at_once(request) or await host.handle_peer_request(request)
        return response if isinstance(response, HttpResponse) else await response.wait()

    return handle


@contextmanager
def patch_processes(world: World, seed: int) -> Iterator[None]:
    """Make control hosts use the disks, links and randomness of a world."""
    chance = random.Random(seed)

    class SeededTokens:
        @staticmethod
        def token_hex(count: int) -> str:
            return f"{chance.getrandbits(count * 8):0{count * 2}x}"

    def open_files(*, folder: Path) -> MemoryFiles:
        return world.machines[str(folder)].files

    patch = pytest.MonkeyPatch()
    patch.setattr(control_host_module, "ConnectionPools", lambda **which: _Pools(world))
    patch.setattr(replica_module, "ConnectionPools", lambda **which: _Pools(world, is_for_log=True))
    patch.setattr(peer_calls_module, "ConnectionPools", lambda **which: _Pools(world))
    patch.setattr(replica_module, "FolderFiles", open_files)
    patch.setattr(replica_module, "secrets", SeededTokens)
    patch.setattr(replica_module, "random", chance)
    try:
        yield
    finally:
        patch.undo()


def play(seed: int, scenario: Callable[[World], Coroutine[Any, Any, None]]) -> World:
    """Run a scenario in simulated time."""
    loop = SimulatedLoop()
    world = World(seed, loop)
    with patch_processes(world, seed):
        main = loop.create_task(scenario(world), context=contextvars.Context())
        try:
            loop.run_until_complete(main)
        finally:
            for machine in (*world.machines.values(), *world.gateways.values()):
                world.kill(machine)
            loop.close()
    return world
