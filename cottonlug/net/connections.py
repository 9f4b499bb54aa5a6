"""Lightweight HTTP/1.1 client for many small calls, based on asyncio and httptools.

httpx costs about four times as much per call (docs/design/platform.md), which an entry host or a
leader on a small machine cannot afford. A connection carries one call at a time; idle connections
are kept for later calls.
"""

from __future__ import annotations

import asyncio
import functools
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import cast

import httptools
from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.options import Address
from .transport import HttpReply, TransportError

DEFAULT_CONNECT_TIMEOUT = timedelta(milliseconds=500)
"""Long enough to open a connection over an idle link on which the opening packet is lost once, but
shorter than a caller waits."""
DEFAULT_MAX_CONNECTIONS = 32
"""Connections to one address; further calls wait until one is free."""
MAX_IDLE_CONNECTIONS = 1_500
"""Idle connections kept open to all addresses together. A host has 4,096 file descriptors and needs
the others for incoming connections."""
OK = 200
MAX_REPLY_BYTES = 32 * 1024 * 1024
"""Limit of a reply's body: a connection on which more arrives is closed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Handshake:
    """The first call on a connection, which confirms the identity of the process at the other end.

    A connection ends with that process. So a call on a connection with a confirmed identity is
    executed by the intended process or by none, even if another process listens at the address now.
    """

    identity: str
    """Identity of the process that the call is intended for."""
    confirms: Callable[[HttpReply], bool]
    """Returns whether a reply with status 200 came from that process."""
    path: str = ""
    """Path of a call without side effects; empty if the call itself has none and can confirm."""
    build_body: Callable[[], bytes] = bytes
    """Called for unconfirmed connections only, since most calls need no handshake."""


Reply = HttpReply | ConnectionError | TimeoutError
"""The reply to a request, or why there is none."""
OnReply = Callable[[Reply], None]


class _Connection(asyncio.Protocol):
    """A connection that carries one request and its reply at a time."""

    identity = ""
    """Identity of the process at the other end; empty until it is confirmed."""

    def __init__(self) -> None:
        # Looked up once: asyncio does so with a system call each time.
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._on_reply: OnReply | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body: list[bytes] = []
        self._size = 0
        self.is_open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not subclasses of asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        self._fail(ConnectionError(f"connection lost: {exc or 'closed by the other side'}"))

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            # Data without a request: the two sides are out of sync.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(ConnectionError(f"not HTTP: {error}"))
            self.close()

    # Callbacks of the parser

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > MAX_REPLY_BYTES:
            self.close()
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        parser, on_reply = self._parser, self._on_reply
        self._parser, self._on_reply = None, None
        if parser is None or on_reply is None:
            return
        if not parser.should_keep_alive():
            self.close()
        on_reply(HttpReply(status=parser.get_status_code(), body=b"".join(self._body)))

    # Interface for the connection pool

    def send(self, data: bytes, on_reply: OnReply) -> None:
        """Write a complete request; `on_reply` is called once, when its outcome is known.

        It is called as soon as the reply was read. A task that awaits the reply gets it an
        iteration of the event loop later, which is long on a busy host.
        """
        assert self._transport is not None
        self._body = []
        self._size = 0
        self._parser = httptools.HttpResponseParser(self)
        self._on_reply = on_reply
        self._transport.write(data)

    def call_later(self, seconds: float, expire: Callable[[], None]) -> asyncio.TimerHandle:
        """Call a function later, on the event loop of this connection."""
        return self._loop.call_later(seconds, expire)

    async def exchange(self, data: bytes) -> HttpReply:
        """Send a complete request and return its reply.

        Raises `ConnectionError` if the connection breaks, `TimeoutError` after `time_out`.
        """
        waiting: asyncio.Future[HttpReply] = self._loop.create_future()

        def resolve(reply: Reply) -> None:
            if waiting.done():
                return
            if isinstance(reply, HttpReply):
                waiting.set_result(reply)
            else:
                waiting.set_exception(reply)

        self.send(data, resolve)
        return await waiting

    def time_out(self) -> None:
        """Close, as there was no reply in time: one that comes later would be taken for another."""
        self.close()
        self._fail(TimeoutError("no reply in time"))

    def close(self) -> None:
        """Close immediately; a pending reply is lost."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, error: ConnectionError | TimeoutError) -> None:
        on_reply, self._on_reply = self._on_reply, None
        if on_reply is not None:
            on_reply(error)


class _Slots:
    """Connections that may be in use at a time; callers beyond that wait in their order."""

    def __init__(self, *, limit: int) -> None:
        self._free = limit
        self._waiting: deque[asyncio.Future[None]] = deque()

    def is_full(self) -> bool:
        """Return whether a caller would have to wait."""
        return not self._free or bool(self._waiting)

    def take(self) -> None:
        """Take a slot, which must be free."""
        self._free -= 1

    def release(self) -> None:
        """Give a slot back, or on to the next caller that waits."""
        while self._waiting:
            waiting = self._waiting.popleft()
            if not waiting.done():
                waiting.set_result(None)
                return
        self._free += 1

    async def __aenter__(self) -> None:
        if not self.is_full():
            self.take()
            return
        waiting = asyncio.get_running_loop().create_future()
        self._waiting.append(waiting)
        try:
            await waiting
        except asyncio.CancelledError:
            if waiting.done() and not waiting.cancelled():
                # It was given a slot in the same iteration.
                self.release()
            raise

    async def __aexit__(self, *error: object) -> None:
        self.release()


@dataclass(slots=True, kw_only=True)
class ConnectionCounts:
    """Number of connections opened, calls made and calls that failed."""

    opened: int = 0
    calls: int = 0
    failed: int = 0


class IdleConnections:
    """Idle connections to all addresses; above the limit the least recently used is closed."""

    def __init__(self, *, limit: int = MAX_IDLE_CONNECTIONS) -> None:
        self._limit = limit
        self._connections: dict[_Connection, None] = {}
        self.closed_count = 0
        """How many connections were closed because of the limit."""

    def add(self, connection: _Connection) -> None:
        """Keep a connection that has just been used."""
        self._connections[connection] = None
        while len(self._connections) > self._limit:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.close()
            self.closed_count += 1

    def discard(self, connection: _Connection) -> None:
        """Stop tracking a connection because it is in use again or closed."""
        self._connections.pop(connection, None)


class ConnectionPool:
    """Connections to one address."""

    def __init__(
        self,
        *,
        address: Address,
        connect_timeout: timedelta = DEFAULT_CONNECT_TIMEOUT,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        idle: IdleConnections | None = None,
    ) -> None:
        self.address = address
        self._all_idle = idle or IdleConnections()
        self.counts = ConnectionCounts()
        self._connect_timeout_seconds = connect_timeout.total_seconds()
        self._idle: list[_Connection] = []
        """Idle connections to this address, the last used one at the end."""
        self._busy: set[_Connection] = set()
        self._slots = _Slots(limit=max_connections)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | Callable[[], bytes] = b"",
        *,
        timeout: timedelta,
        headers: Mapping[str, str] | None = None,
        handshake: Handshake | None = None,
    ) -> Result[HttpReply, TransportError]:
        """Make one call; if the connection breaks before the reply, the outcome is unknown.

        A body that depends on the time of sending is passed as a function, since the call may wait
        for a free connection. If the handshake gets another status than 200, the call is not sent
        and that reply is returned.
        """
        self.counts.calls += 1
        confirmed = self._take_confirmed(handshake)
        if confirmed is not None:
            content = body if isinstance(body, bytes) else body()
            data = _build_request(self.address, method, path, content, headers or {})
            return await self._call_confirmed(confirmed, data, timeout.total_seconds())
        try:
            async with asyncio.timeout(timeout.total_seconds()), self._slots:
                connection = await self._acquire(handshake.identity if handshake else "")
                if isinstance(connection, TransportError):
                    self.counts.failed += 1
                    return Err(connection)
                if handshake is not None and handshake.path:
                    refused = await self._confirm_identity(connection, handshake, headers or {})
                    if refused is not None:
                        return refused
                content = body if isinstance(body, bytes) else body()
                data = _build_request(self.address, method, path, content, headers or {})
                result = await self._exchange(connection, data)
                if handshake is not None and isinstance(result, Success):
                    _record_identity(connection, handshake, result.unwrap())
                self._release(connection)
                return result
        except TimeoutError:
            self.counts.failed += 1
            return Err(TransportError(message="no reply in time", unsent=False))

    def drop_idle(self) -> None:
        """Close the idle connections; once a call got no answer, these may be dead as well."""
        for connection in self._idle:
            self._all_idle.discard(connection)
            connection.close()
        self._idle.clear()

    def close(self) -> None:
        """Close all connections."""
        self.drop_idle()
        for connection in self._busy:
            connection.close()

    def try_call(
        self,
        method: str,
        path: str,
        body: bytes,
        on_result: Callable[[Result[HttpReply, TransportError]], None],
        *,
        timeout: timedelta,
        headers: Mapping[str, str] | None = None,
        handshake: Handshake | None = None,
    ) -> bool:
        """Make a call if a connection is ready for it; return whether the call was made.

        `on_result` gets the outcome of a call that was made, as soon as it is known. Most calls
        can be made so, without a task for each of them.
        """
        connection = self._take_confirmed(handshake)
        if connection is None:
            return False
        self.counts.calls += 1
        self._slots.take()
        self._busy.add(connection)
        timer = connection.call_later(timeout.total_seconds(), connection.time_out)

        def finish(reply: Reply) -> None:
            timer.cancel()
            self._busy.discard(connection)
            self._slots.release()
            if isinstance(reply, HttpReply):
                self._release(connection)
                on_result(Success(reply))
            else:
                self.counts.failed += 1
                on_result(Err(TransportError(message=str(reply), unsent=False)))

        connection.send(_build_request(self.address, method, path, body, headers or {}), finish)
        return True

    async def _call_confirmed(
        self, connection: _Connection, data: bytes, timeout_seconds: float
    ) -> Result[HttpReply, TransportError]:
        """Make a call on a connection that needs no handshake, which takes less processor time."""
        async with self._slots:
            timer = connection.call_later(timeout_seconds, connection.time_out)
            try:
                result = await self._exchange(connection, data)
            finally:
                timer.cancel()
        self._release(connection)
        return result

    def _take_confirmed(self, handshake: Handshake | None) -> _Connection | None:
        """Return an idle connection that needs no handshake, or None."""
        if self._slots.is_full() or not self._idle:
            return None
        connection = self._idle[-1]
        identity = handshake.identity if handshake is not None else ""
        if not connection.is_open or connection.identity != identity:
            return None
        self._idle.pop()
        self._all_idle.discard(connection)
        return connection

    async def _confirm_identity(
        self, connection: _Connection, handshake: Handshake, headers: Mapping[str, str]
    ) -> Result[HttpReply, TransportError] | None:
        """Confirm the identity; if that fails, return the result to report for the call."""
        if connection.identity == handshake.identity:
            return None
        body = handshake.build_body()
        data = _build_request(self.address, "POST", handshake.path, body, headers)
        result = await self._exchange(connection, data)
        if isinstance(result, Err):
            return Err(TransportError(message=result.failure().message, unsent=True))
        reply = result.unwrap()
        if reply.status != OK:
            self._release(connection)
            return result
        _record_identity(connection, handshake, reply)
        if connection.identity == handshake.identity:
            return None
        self._release(connection)
        message = f"{handshake.identity} does not answer at this address any more"
        return Err(TransportError(message=message, unsent=True, is_identity_mismatch=True))

    async def _exchange(
        self, connection: _Connection, data: bytes
    ) -> Result[HttpReply, TransportError]:
        self._busy.add(connection)
        try:
            reply = await connection.exchange(data)
        except (ConnectionError, TimeoutError) as error:
            self.counts.failed += 1
            return Err(TransportError(message=str(error), unsent=False))
        except BaseException:
            # Cancelled: the reply may still arrive, so the connection is unusable.
            connection.close()
            raise
        finally:
            self._busy.discard(connection)
        return Success(reply)

    def _release(self, connection: _Connection) -> None:
        """Keep a connection for later calls, if it is still open."""
        if connection.is_open:
            self._idle.append(connection)
            self._all_idle.add(connection)

    async def _acquire(self, identity: str) -> _Connection | TransportError:
        """Return an idle or new connection; close idle ones confirmed for another identity."""
        while self._idle:
            connection = self._idle.pop()
            self._all_idle.discard(connection)
            if connection.is_open and connection.identity in ("", identity):
                return connection
            connection.close()
        loop = asyncio.get_running_loop()
        opening = loop.create_connection(_Connection, self.address.host, self.address.port)
        try:
            async with asyncio.timeout(self._connect_timeout_seconds):
                _, connection = await opening
        except (OSError, TimeoutError) as error:
            reason = str(error) or "no answer in time"
            return TransportError(message=f"cannot connect: {reason}", unsent=True)
        self.counts.opened += 1
        return connection


@dataclass(slots=True, kw_only=True)
class ConnectionPools:
    """One pool per address, created on first use; `port`, if given, replaces that of each address.

    `max_connections` applies to each address, the limit of `idle` to all together.
    """

    max_connections: int = DEFAULT_MAX_CONNECTIONS
    port: int | None = None
    idle: IdleConnections = field(default_factory=IdleConnections)
    _pools: dict[Address, ConnectionPool] = field(default_factory=dict)

    def get(self, address: Address) -> ConnectionPool:
        """Return the pool of an address."""
        if self.port is not None:
            address = Address(address.host, self.port)
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                address=address, max_connections=self.max_connections, idle=self.idle
            )
            self._pools[address] = pool
        return pool

    def drop(self, address: Address) -> None:
        """Close the connections to an address that is no longer used."""
        if self.port is not None:
            address = Address(address.host, self.port)
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._pools):
            self.drop(address)


def _record_identity(connection: _Connection, handshake: Handshake, reply: HttpReply) -> None:
    """Record the identity of the process at the other end if a reply confirms it."""
    is_new = connection.identity != handshake.identity
    if is_new and reply.status == OK and handshake.confirms(reply):
        connection.identity = handshake.identity


@functools.lru_cache(maxsize=4_096)
def parse_address(text: str) -> Address | None:
    """Parse an address such as 10.0.0.4:8080; return None if it is invalid."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        return None
    return Address(host, int(port))


def _build_request(
    address: Address, method: str, path: str, body: bytes, headers: Mapping[str, str]
) -> bytes:
    head = _build_head(address, method, path, tuple(headers.items()), bool(body))
    return b"%b%d\r\n\r\n%b" % (head, len(body), body)


@functools.lru_cache(maxsize=4_096)
def _build_head(
    address: Address, method: str, path: str, headers: tuple[tuple[str, str], ...], has_body: bool
) -> bytes:
    """Return the head of a request up to the value of Content-Length."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if has_body:
        lines += ["Content-Type: application/json"]
    return "\r\n".join([*lines, "Content-Length: "]).encode()
