"""A TCP proxy on loopback between the processes of a run, whose links fail on demand.

One listener stands in front of each listener of a host. Bytes that a fault holds back stay in
order: in the proxy up to a limit, then in the buffers of both sockets, and then the sender waits,
as on a network that loses every packet. Data and the end of a connection are delayed alike.

Limits: the kernel accepts a connection before the proxy knows whether the host behind it can be
reached. A connection to a host that is not listening is therefore reset instead of refused, and
behind a cut it opens but stays silent.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from dataclasses import dataclass, field
from enum import Enum

from .wire import Identify, Peer, is_closed_by_peer

_CHUNK_BYTES = 64 * 1024
_MAX_HELD_CHUNKS = 32
"""Chunks that one direction of a connection holds before its sender has to wait."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultKind(Enum):
    """How a link fails."""

    DELAY = "delay"
    """All bytes, in both directions, arrive later."""
    RESET = "reset"
    """Open connections are reset at the beginning, and new ones at once."""
    CUT_ONE_WAY = "cut_one_way"
    """Bytes from the first end to the second are held until the fault ends."""
    CUT = "cut"
    """Bytes in both directions are held until the fault ends."""
    SILENCE = "silence"
    """Connections that are open at the beginning carry no more bytes, ever; new ones work."""


@dataclass(frozen=True, slots=True, eq=False, kw_only=True)
class LinkFault:
    """A fault of the links between two groups of hosts, or between one group and all others."""

    kind: FaultKind
    sources: frozenset[str]
    peers: frozenset[str] | None = None
    """The other ends; None stands for all."""
    delay: float = 0.0
    """Seconds, for `DELAY`."""

    def harms(self, sender: str, receiver: str) -> bool:
        """Return whether the fault holds for bytes from one host to another."""
        if self._is_forward(sender, receiver):
            return True
        return self.kind is not FaultKind.CUT_ONE_WAY and self._is_forward(receiver, sender)

    def _is_forward(self, sender: str, receiver: str) -> bool:
        return sender in self.sources and (self.peers is None or receiver in self.peers)


@dataclass(slots=True, eq=False, kw_only=True)
class _Connection:
    """Both sockets of a proxied connection."""

    client: str
    server: str
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    is_silent: bool = False

    def reset(self) -> None:
        for writer in self.writers:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    if not writer.is_closing():
        with contextlib.suppress(OSError):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


class Proxy:
    """Forwards connections to the hosts of a run and applies faults to them."""

    def __init__(self, *, identify: Identify) -> None:
        """`identify` names the client of a connection; it is called once for each."""
        self._identify = identify
        self._servers: list[asyncio.Server] = []
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._faults: list[LinkFault] = []
        self._changed = asyncio.Event()

    async def listen(self, server: str, address: Peer, target: Peer) -> None:
        """Accept connections for a host at `address` and pass them on to `target`."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            peer, local = (writer.get_extra_info(name)[:2] for name in ("peername", "sockname"))
            client = self._identify(peer, local)
            connection = _Connection(client=client, server=server, writers=[writer])
            with contextlib.suppress(asyncio.CancelledError):
                await self._serve(connection, target, reader)

        self._servers.append(await asyncio.start_server(accept, *address, backlog=1_024))

    def get_ports(self) -> list[int]:
        """Return the ports that the proxy listens on."""
        return [each.getsockname()[1] for server in self._servers for each in server.sockets]

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def add_fault(self, fault: LinkFault) -> None:
        """Begin a fault."""
        for connection in list(self._connections):
            if fault.kind is FaultKind.SILENCE and _is_harmed(connection, fault):
                connection.is_silent = True
            if fault.kind is FaultKind.RESET and _is_harmed(connection, fault):
                connection.reset()
        self._faults.append(fault)

    def remove_fault(self, fault: LinkFault) -> None:
        """End a fault; what it held back is delivered."""
        self._faults.remove(fault)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, connection: _Connection, target: Peer, reader: asyncio.StreamReader
    ) -> None:
        [writer] = connection.writers
        self._connections.add(connection)
        try:
            is_reset = any(
                fault.kind is FaultKind.RESET and _is_harmed(connection, fault)
                for fault in self._faults
            )
            if is_reset:
                return
            while self._is_cut(connection):
                await self._changed.wait()
            if is_closed_by_peer(writer):
                # Its opening was never received: nothing of it arrives after the cut.
                return
            far_reader, far_writer = await asyncio.open_connection(*target)
            connection.writers.append(far_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(connection, reader, far_writer, is_request=True))
                group.create_task(self._pump(connection, far_reader, writer, is_request=False))
            for each in connection.writers:
                each.close()
            connection.writers.clear()
        except* (OSError, RuntimeError):
            # uvloop reports a write to a closed connection as RuntimeError.
            pass
        finally:
            connection.reset()
            self._connections.discard(connection)

    def _is_cut(self, connection: _Connection) -> bool:
        cuts = [fault for fault in self._faults if fault.kind is FaultKind.CUT]
        return any(_is_harmed(connection, fault) for fault in cuts)

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        """Copy one direction of a connection until its end."""
        held: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue(_MAX_HELD_CHUNKS)

        async def read() -> None:
            data: bytes | None = b"-"
            while data:
                try:
                    data = await reader.read(_CHUNK_BYTES)
                except OSError:
                    data = None
                await held.put((time.monotonic(), data))

        reading = asyncio.create_task(read())
        try:
            while True:
                read_at, data = await held.get()
                await self._wait_until_due(connection, read_at, is_request=is_request)
                if data is None:
                    raise ConnectionResetError
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if not writer.is_closing():
                writer.write_eof()
        finally:
            reading.cancel()

    async def _wait_until_due(
        self, connection: _Connection, read_at: float, *, is_request: bool
    ) -> None:
        while True:
            if connection.is_silent:
                await asyncio.Event().wait()
            ends = (connection.client, connection.server)
            ends = ends if is_request else ends[::-1]
            faults = [fault for fault in self._faults if fault.harms(*ends)]
            if any(fault.kind in (FaultKind.CUT, FaultKind.CUT_ONE_WAY) for fault in faults):
                await self._changed.wait()
                continue
            delays = [fault.delay for fault in faults if fault.kind is FaultKind.DELAY]
            pause = read_at + sum(delays) - time.monotonic()
            if not delays or pause <= 0.0:
                return
            await asyncio.sleep(pause)


def _is_harmed(connection: _Connection, fault: LinkFault) -> bool:
    ends = (connection.client, connection.server)
    return fault.harms(*ends) or fault.harms(*ends[::-1])
