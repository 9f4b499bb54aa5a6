"""Test site whose upstreams use the platform's wire format and restart under the same id.

It is based on the upstream model: each process of an upstream is one `ModelUpstream`. Time is
simulated; the platform's client and decoder are the real ones.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Generator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, cast

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.options import Address
from ..core.cluster.calls import Answer, Call, ForwardHeartbeat, ForwardLeave, Outcome
from ..core.cluster.model import Needs, RunNumber, UpstreamInfo
from ..core.cluster.orders import (
    CallFailure,
    Order,
    PollOrder,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from ..net.asgi import HttpRequest
from ..net.connections import ConnectionPools, Handshake
from ..net.transport import HttpReply, TransportError
from ..platform.control import build_control_handler
from ..platform.jobs import build_task_name, parse_task_name
from ..platform.workers import INSTANCE_HEADER, POLL_PATH, START_PATH, STOP_PATH, WorkerClient
from .model_upstreams import TASK_CPU, Leader, ModelUpstream, World, build_info, milliseconds

HEARTBEAT_INTERVAL = milliseconds(500)
EPOCH_MS = 1_790_000_000_000
"""Unix time at which the simulation starts."""
REASON_BY_OUTCOME = {
    StartOutcome.FENCED: "fence",
    StartOutcome.OUTDATED: "old",
    StartOutcome.LATE: "late",
    StartOutcome.NO_ROOM: "room",
}
WireReply = Result[HttpReply, TransportError]
TIMED_OUT = Err(TransportError(message="no reply in time", unsent=False))
CONNECTION_LOST = Err(TransportError(message="connection lost", unsent=False))
CONNECT_FAILED = Err(TransportError(message="cannot connect", unsent=True))


@dataclass(slots=True, kw_only=True)
class _Connection:
    """A connection to the process that is up at its first call; it breaks when that one ends."""

    identity: str = ""
    process: ModelUpstream | None = None
    is_idle: bool = False


@dataclass(slots=True, kw_only=True)
class _Exchange:
    """A call that awaits its reply, which the driver of the client coroutine sends in."""

    connection: _Connection
    path: str
    body: bytes
    headers: Mapping[str, str]

    def __await__(self) -> Generator[_Exchange, WireReply, WireReply]:
        return (yield self)


@dataclass(slots=True, kw_only=True)
class _Pool:
    """Connections to one address; each call is passed to the driver of the client coroutine."""

    connections: list[_Connection] = field(default_factory=list)

    def try_call(self, *call: Any, **options: Any) -> bool:
        """No call can be made at once."""
        return False

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        *,
        timeout: timedelta,
        headers: Mapping[str, str],
        handshake: Handshake | None,
    ) -> WireReply:
        connection = self._acquire(handshake.identity if handshake else "")
        if handshake and handshake.path and connection.identity != handshake.identity:
            first = await _Exchange(
                connection=connection,
                path=handshake.path,
                body=handshake.build_body(),
                headers=headers,
            )
            if isinstance(first, Err):
                return Err(TransportError(message="not identified", unsent=True))
            if first.unwrap().status != 200:
                return first
            if not handshake.confirms(first.unwrap()):
                return Err(
                    TransportError(
                        message="another identity", unsent=True, is_identity_mismatch=True
                    )
                )
            connection.identity = handshake.identity
        result = await _Exchange(connection=connection, path=path, body=body, headers=headers)
        if isinstance(result, Success):
            connection.is_idle = True
            reply = result.unwrap()
            if handshake and reply.status == 200 and handshake.confirms(reply):
                connection.identity = handshake.identity
        return result

    def _acquire(self, identity: str) -> _Connection:
        """Return an idle connection that is still open, or a new one."""
        for connection in self.connections:
            process = connection.process
            is_open = process is not None and process.is_up
            if connection.is_idle and is_open and connection.identity in ("", identity):
                connection.is_idle = False
                return connection
        connection = _Connection()
        self.connections.append(connection)
        return connection


@dataclass(slots=True, kw_only=True)
class _Pools:
    """One pool per address."""

    pools: dict[Address, _Pool] = field(default_factory=dict)

    def get(self, address: Address) -> _Pool:
        return self.pools.setdefault(address, _Pool())


@dataclass(slots=True, kw_only=True)
class WireHost:
    """Host of an upstream: one process at a time, each with its own counters and clock."""

    world: World
    info: UpstreamInfo
    run_ms: Callable[[], float]
    rate: float
    reports_start_time: bool = True
    process: ModelUpstream = field(init=False)
    started_ms: int = field(init=False)
    pending: list[Callable[[], None]] = field(default_factory=list)
    """Callbacks that fail the unanswered calls of the process when it crashes."""

    def __post_init__(self) -> None:
        self._start_process()

    @property
    def name(self) -> str:
        return self.info.id

    def crash(self) -> None:
        """Crash the process, which loses its whole state."""
        self.process.crash()
        pending, self.pending = self.pending, []
        for end in pending:
            end()

    def restart(self) -> None:
        """Start another process under the same id."""
        if self.process.is_up:
            self.crash()
        self._start_process()

    def _start_process(self) -> None:
        self.process = ModelUpstream(
            world=self.world,
            info=self.info,
            rate=self.rate,
            run_times=lambda job: milliseconds(self.run_ms()),
            clock_began_ms=self.world.random.randrange(10_000_000),
        )
        self.started_ms = EPOCH_MS + int(self.world.now / milliseconds(1))

    def write_heartbeat(self, *, draining: bool = False) -> bytes:
        """Build the body of the next heartbeat."""
        self.process.sequence += 1
        capacity = self.info.capacity
        body = {
            "service": self.info.service,
            "address": self.info.address,
            "zone": self.info.domain,
            "state": "draining" if draining else "ready",
            "seq_no": self.process.sequence,
            "cold_left_ms": 0,
            "capacity": {"cpu": capacity.cpu_millis, "mem_mb": capacity.memory_mb, "gpu": 0},
            "labels": list(self.info.labels),
            "clock_ms": self.process.clock_ms(),
        }
        return msgspec.json.encode(body | self._build_start_time_field())

    def _build_start_time_field(self) -> dict[str, int]:
        return {"born": self.started_ms} if self.reports_start_time else {}

    def handle_call(self, exchange: _Exchange, reply: Callable[[WireReply], None]) -> None:
        """Execute a call and answer it immediately, or when a run ends."""
        if not self.process.is_up:
            reply(CONNECT_FAILED)
            return
        if exchange.connection.process is None:
            exchange.connection.process = self.process
        if exchange.connection.process is not self.process:
            reply(CONNECTION_LOST)
            return
        if exchange.headers[INSTANCE_HEADER] != self.name:
            reply(Success(HttpReply(status=421, body=b"")))
            return
        body = msgspec.json.decode(exchange.body)
        if exchange.path == POLL_PATH:
            self._handle_poll(body, reply)
            return
        failure = self._execute_order(exchange.path, body)
        reply(self._build_reply(failure, {}))

    def accept_delayed_call(self, exchange: _Exchange) -> Callable[[], None]:
        """Accept a call; return a function that executes it later, in this process or in none."""
        process = self.process

        def execute() -> None:
            if process.is_up and process is self.process:
                self.handle_call(exchange, lambda reply: None)

        return execute

    def _execute_order(self, path: str, body: dict[str, Any]) -> str:
        """Execute an order; return the reason if it was refused, otherwise an empty string."""
        ref = parse_task_name(body["task"])
        assert ref is not None
        run, token = RunNumber(body["run_id"]), body["fencing_token"]
        if path == STOP_PATH:
            stop = StopOrder(upstream=self.info, task=ref, run=run)
            return "fence" if self.process.stop(stop, token) is not None else ""
        assert path == START_PATH
        order = StartOrder(
            upstream=self.info,
            task=ref,
            run=run,
            payload=body["task_spec"],
            checkpoint="",
            expires_ms=body["expires_ms"],
        )
        needs = self.world.needs.get(ref.job, Needs(cpu_millis=TASK_CPU))
        return REASON_BY_OUTCOME.get(self.process.start(order, token, needs), "")

    def _handle_poll(self, body: dict[str, Any], reply: Callable[[WireReply], None]) -> None:
        wait = milliseconds(body.get("wait_ms", 0))
        order = PollOrder(
            upstream=self.info,
            last_seen=body["last_seen"],
            expires_ms=body.get("expires_ms"),
            wait=wait,
        )
        process = self.process
        if process.accept_poll(order, body["fencing_token"]) is not None:
            reply(self._build_reply("fence", {}))
            return
        is_answered = [False]

        def answer() -> None:
            if not is_answered[0] and process.is_up:
                is_answered[0] = True
                reply(self._build_reply("", self._build_lists()))

        def end() -> None:
            if not is_answered[0]:
                is_answered[0] = True
                reply(CONNECTION_LOST)

        if process.ended or not wait:
            answer()
            return
        process.parked.append(answer)
        self.pending.append(end)
        self.world.at(wait, answer)

    def _build_lists(self) -> dict[str, Any]:
        lists = self.process.build_reply()
        running = [[build_task_name(run.task), run.run, "", run.percent] for run in lists.running]
        ended = [
            [end.number, build_task_name(end.task), end.run, end.how.value, ""]
            for end in lists.ended
        ]
        return {"running": running, "finished": ended, **self._build_start_time_field()}

    def _build_reply(self, reason: str, more: dict[str, Any]) -> WireReply:
        body = {"clock_ms": self.process.clock_ms(), **more}
        if reason:
            body["reason"] = reason
        status = 409 if reason else 200
        return Success(HttpReply(status=status, body=msgspec.json.encode(body)))


@dataclass(frozen=True, slots=True, kw_only=True)
class CallDelivery:
    """Simulated delivery of one call: delays of request and reply, None if that message is lost."""

    request_delay: timedelta | None
    reply_delay: timedelta | None
    execution_delay: timedelta | None = None
    """Extra delay before the upstream executes the call, without an answer; None if it answers."""


def draw_delivery(world: World) -> CallDelivery:
    """Draw the delivery of a call at random, by the loss and delay rates of the world."""
    chance = world.random
    drawn = chance.random()
    is_late = drawn < world.late_share
    is_answered = drawn >= world.late_share + world.lost_share
    return CallDelivery(
        request_delay=milliseconds(chance.uniform(0.5, 4)),
        reply_delay=milliseconds(chance.uniform(0.5, 4)) if is_answered else None,
        execution_delay=milliseconds(chance.uniform(2_000, 12_000)) if is_late else None,
    )


@dataclass(slots=True, kw_only=True)
class WireLeader(Leader):
    """A leader that calls its upstreams through the platform's client."""

    hosts: dict[str, WireHost]
    """Hosts by address."""
    client: WorkerClient = field(
        default_factory=lambda: WorkerClient(pools=cast(ConnectionPools, _Pools()))
    )
    choose_delivery: Callable[[WireHost], CallDelivery] = lambda host: draw_delivery(host.world)
    """Chooses the delivery of a call when it is sent."""

    def receive_heartbeat(self, host: WireHost, body: bytes) -> None:
        """Receive a heartbeat as a control host does."""
        path = f"/instances/{host.name}"
        self._handle_request(HttpRequest(method="PUT", path=path, headers={}, body=body))

    def receive_leave(self, host: WireHost) -> None:
        """Receive the leave message of an upstream."""
        path = f"/instances/{host.name}"
        self._handle_request(HttpRequest(method="DELETE", path=path, headers={}, body=b""))

    def _handle_request(self, request: HttpRequest) -> None:
        if self.is_over:
            return

        async def answer(call: Call) -> Answer:
            if isinstance(call, ForwardHeartbeat):
                self.dispatch.handle_heartbeat(call.heartbeat, self.world.now)
            elif isinstance(call, ForwardLeave):
                self.dispatch.handle_leave(call.upstream)
            return Answer(outcome=Outcome.DONE)

        _run_without_waiting(build_control_handler(answer)(request))
        self.act()

    def _send(self, order: Order) -> None:
        world, sent_at = self.world, self.world.now
        calling = self._call(order)
        is_over = [False]

        def finish(result: WireReply) -> None:
            if is_over[0] or self.is_over:
                return
            try:
                self._transmit(order, calling.send(result), finish)
            except StopIteration as end:
                is_over[0] = True
                self._apply_result(order, end.value, sent_at)
                self.act()

        wait = order.wait if isinstance(order, PollOrder) else timedelta()
        world.at(order.response_timeout + wait, lambda: finish(TIMED_OUT))
        self._transmit(order, calling.send(None), finish)

    def _transmit(
        self, order: Order, exchange: _Exchange, finish: Callable[[WireReply], None]
    ) -> None:
        """Deliver one call to its upstream, and the reply to the client."""
        world = self.world
        host = self.hosts[order.upstream.address]
        delivery = self.choose_delivery(host)
        if host.info.id in self.cut_off or delivery.request_delay is None:
            return

        def reply(result: WireReply) -> None:
            if delivery.reply_delay is not None and host.info.id not in self.cut_off:
                world.at(delivery.reply_delay, lambda: finish(result))

        def arrive() -> None:
            if delivery.execution_delay is not None and host.process.is_up:
                world.at(delivery.execution_delay, host.accept_delayed_call(exchange))
            else:
                host.handle_call(exchange, reply)

        world.at(delivery.request_delay, arrive)

    def _call(self, order: Order) -> Coroutine[Any, Any, object]:
        if isinstance(order, StartOrder):
            return self.client.start(order, self.token)
        if isinstance(order, StopOrder):
            return self.client.stop(order, self.token)
        return self.client.poll(order, self.token)

    def _apply_result(self, order: Order, value: Any, sent_at: timedelta) -> None:
        now = self.world.now
        if isinstance(order, StartOrder):
            outcome, clock_ms = value
            self.dispatch.handle_start_answer(order, outcome, clock_ms, now)
        elif isinstance(order, StopOrder):
            self.dispatch.handle_stop_answer(order, value, now)
        else:
            assert isinstance(value, CallFailure) or value is not None
            self.dispatch.handle_poll_answer(order, value, sent_at, now)


def _run_without_waiting(coroutine: Coroutine[Any, Any, object]) -> None:
    """Run a coroutine that never suspends."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine suspended")


def build_hosts(
    world: World, count: int, *, run_ms: Callable[[], float], rate: float | None = None
) -> dict[str, WireHost]:
    """Build hosts by address, each with a newly started process."""
    infos = [build_info(f"u{number}") for number in range(1, count + 1)]
    return {
        info.address: WireHost(
            world=world,
            info=info,
            run_ms=run_ms,
            rate=world.random.uniform(0.98, 1.0) if rate is None else rate,
        )
        for info in infos
    }


def send_heartbeats(host: WireHost, find_leader: Callable[[], WireLeader]) -> None:
    """Send periodic heartbeats of the process that is up."""
    leader = find_leader()
    if host.process.is_up and host.info.id not in leader.cut_off:
        leader.receive_heartbeat(host, host.write_heartbeat())
    host.world.at(HEARTBEAT_INTERVAL, lambda: send_heartbeats(host, find_leader))
