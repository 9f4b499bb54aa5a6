"""What the kernel knows of a client's connection, and the event loop does not yet.

A process that was paused, or is late, reads requests that have arrived long ago. The event loop
does not tell how long ago, and it reads the end of a connection some iterations after the request
before it.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from datetime import timedelta

_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_TCP_INFO_LAST_DATA_RECEIVED = struct.Struct("@52xI")
"""`tcpi_last_data_recv` of `struct tcp_info` in linux/tcp.h: ms since data was last received."""


class ClientConnection:
    """One connection of a client."""

    def __init__(self, *, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def has_client_left(self) -> bool:
        """Return whether the client has closed its side, also if that has not been read yet.

        False where the kernel cannot tell.
        """
        if self._transport.is_closing():
            return True
        closings = select.poll()
        closings.register(self._get_socket().fileno(), select.POLLRDHUP)
        return any(events & _CLOSED_EVENTS for _, events in closings.poll(0))

    def measure_age(self) -> timedelta:
        """Return how long ago the client's last bytes arrived; 0 where the kernel cannot tell."""
        if self._transport.is_closing():
            return timedelta()
        try:
            info = self._read_tcp_info()
        except OSError:
            return timedelta()
        if len(info) < _TCP_INFO_LAST_DATA_RECEIVED.size:
            return timedelta()
        return timedelta(milliseconds=_TCP_INFO_LAST_DATA_RECEIVED.unpack(info)[0])

    def _read_tcp_info(self) -> bytes:
        known = self._get_socket()
        # With family, type and protocol given, the kernel is not asked for them.
        borrowed = socket.socket(known.family, known.type, known.proto, known.fileno())
        try:
            return borrowed.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_LAST_DATA_RECEIVED.size
            )
        finally:
            borrowed.detach()

    def _get_socket(self) -> socket.socket:
        known: socket.socket = self._transport.get_extra_info("socket")
        return known
