"""A small HTTP/1.1 server and client on asyncio, without dependencies."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any


@dataclass
class Request:
    """One request that was read whole."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass
class Reply:
    """One response."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def json(self) -> Any:
        """Return the decoded body, or None if it has none."""
        return json.loads(self.body) if self.body else None


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; None at the end of the connection."""
    head = await _read_head(reader)
    if head is None:
        return None
    method, path, _ = head[0].split(" ", 2)
    length = int(head[1].get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, path, head[1], body)


def encode_reply(status: int, body: Any) -> bytes:
    """Return the bytes of a response with a JSON body."""
    data = json.dumps(body, separators=(",", ":")).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
    return head.encode() + f"Content-Length: {len(data)}\r\n\r\n".encode() + data


Handler = Callable[[Request], Awaitable[tuple[int, Any]]]


class Connection:
    """A client's connection, used for one request at a time."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)

    async def send(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Send one whole request."""
        if self.writer is None:
            await self.open()
        assert self.writer is not None
        lines = [f"{method} {path} HTTP/1.1"]
        given = {"Host": f"{self.host}:{self.port}", **(headers or {})}
        lines += [f"{name}: {value}" for name, value in given.items()]
        if body:
            lines.append("Content-Type: application/json")
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.writer.write("\r\n".join(lines).encode() + body)
        await self.writer.drain()

    async def receive(self) -> Reply:
        """Read one response."""
        assert self.reader is not None
        head = await _read_head(self.reader)
        if head is None:
            raise ConnectionError("closed without a response")
        length = int(head[1].get("content-length", "0"))
        body = await self.reader.readexactly(length) if length else b""
        return Reply(int(head[0].split(" ")[1]), body, head[1])

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def request(
    host: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 1.0,
) -> Reply | None:
    """Send one request on a connection of its own; None without a whole response in time."""
    connection = Connection(host, port)
    data = json.dumps(body).encode() if body is not None else b""
    try:
        async with asyncio.timeout(timeout):
            await connection.send(method, path, data, headers)
            return await connection.receive()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        connection.close()
