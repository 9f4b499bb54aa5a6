"""A small HTTP/1.1 server and client on asyncio."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

Reply = tuple[int, dict[str, Any]]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Reply | None]]
"""Gets method, path, headers and body; returns the reply, or None to close without one."""

_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 421: "Misdirected"}


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and body of the next message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, OSError):
        return None
    return lines[0], headers, body


class Server:
    """A listener that can be closed together with all its connections."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port, backlog=1024)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await _read_message(reader)) is not None:
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                reply = await self._handler(method, path, headers, body)
                if reply is None:
                    writer.transport.abort()
                    return
                content = json.dumps(reply[1]).encode()
                writer.write(
                    f"HTTP/1.1 {reply[0]} {_REASONS.get(reply[0], 'Status')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: object = None,
    *,
    host: str = "",
    timeout: float = 1.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes] | None:
    """Make one call on a connection of its own; None if there is no complete reply in time."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            content = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host or address[0]}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if content:
                lines.append("Content-Type: application/json")
            lines += [f"Content-Length: {len(content)}", "Connection: close"]
            writer.write("\r\n".join([*lines, "", ""]).encode() + content)
            message = await _read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
    if message is None:
        return None
    return int(message[0].split(" ")[1]), message[2]
