"""HTTP/1.1 for the stand-ins.

The server is built on httptools: it must be able to leave a request without an answer and to reset
all connections, which servers of libraries do not offer.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

import httptools
import httpx

_READ_BYTES = 65_536

Peer = tuple[str, int]
"""Host and port of one end of a connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    peer: Peer
    """The sender's end of the connection."""
    local: Peer
    """This end of the connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A complete response; its body is JSON or empty."""

    status: int
    body: bytes = b""

    def read_json(self) -> dict[str, Any]:
        """Return the object in the body; empty if the body holds none."""
        try:
            content = json.loads(self.body)
        except ValueError:
            return {}
        return content if isinstance(content, dict) else {}


Handler = Callable[[Request], Coroutine[Any, Any, Response | None]]
"""Answers a request; None leaves it without an answer for good."""


def encode_json(content: object) -> bytes:
    """Return the content as compact JSON."""
    return json.dumps(content, separators=(",", ":")).encode()


class _RequestReader:
    """Assembles the requests of one connection; httptools calls the methods named `on_...`."""

    def __init__(self, peer: Peer, local: Peer) -> None:
        self._peer, self._local = peer, local
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._body = b"", b""
        self._headers: dict[str, str] = {}
        self._complete: list[Request] = []

    def read(self, data: bytes) -> list[Request]:
        """Return the requests that are complete with this data."""
        self._parser.feed_data(data)
        complete, self._complete = self._complete, []
        return complete

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        request = Request(
            method=self._parser.get_method().decode(),
            path=self._url.decode("latin-1"),
            headers=self._headers,
            body=self._body,
            peer=self._peer,
            local=self._local,
        )
        self._complete.append(request)
        self._url, self._headers, self._body = b"", {}, b""


class Server:
    """A listener that passes complete requests to a handler."""

    def __init__(self, *, handle: Handler) -> None:
        self._handle = handle
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def abort_connections(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.abort_connections()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        ends = (writer.get_extra_info(name)[:2] for name in ("peername", "sockname"))
        requests = _RequestReader(*ends)
        is_answering = True
        try:
            # Without an answer the connection stays open, and what arrives on it is ignored.
            while data := await reader.read(_READ_BYTES):
                for request in requests.read(data) if is_answering else []:
                    response = await self._handle(request)
                    is_answering = response is not None
                    if response is not None:
                        writer.write(_encode_response(response))
        except (ConnectionError, httptools.HttpParserError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


def _encode_response(response: Response) -> bytes:
    head = (
        f"HTTP/1.1 {response.status} -\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(response.body)}\r\n\r\n"
    )
    return head.encode() + response.body


def build_client() -> httpx.AsyncClient:
    """Return a client that uses its connections until the process behind them is gone."""
    limits = httpx.Limits(max_connections=None, keepalive_expiry=None)
    return httpx.AsyncClient(limits=limits, trust_env=False, verify=False)


async def send(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    *,
    timeout: timedelta,
    content: object = None,
    headers: Mapping[str, str] | None = None,
) -> Response | None:
    """Send a request with a JSON body; None without a complete response in time."""
    body = b"" if content is None else encode_json(content)
    sent = {"Content-Type": "application/json", **(headers or {})}
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            reply = await client.request(method, url, content=body, headers=sent, timeout=None)
    except (httpx.HTTPError, TimeoutError):
        return None
    return Response(status=reply.status_code, body=reply.content)


@dataclass(slots=True, kw_only=True)
class ProcessFinder:
    """Names the process at the other end of a loopback connection.

    All processes share one loopback address for outgoing connections, so a sender is known by the
    owner of its socket alone.
    """

    pids: Callable[[], Mapping[str, int]]
    """Returns the processes that may have opened the connection, by name."""
    _last: str = field(default="", init=False)

    def find(self, peer: Peer, local: Peer) -> str:
        """Return the name of the process that holds the socket, or an empty name."""
        inode = _find_inode(peer, local)
        pids = self.pids() if inode else {}
        # Most new connections come from the process that opened the last one.
        for name in sorted(pids, key=lambda name: name != self._last):
            if _holds_socket(pids[name], inode):
                self._last = name
                return name
        return ""


def _find_inode(local: Peer, remote: Peer) -> str:
    """Return the inode of the socket between two addresses, or an empty text.

    Connections to several addresses may share a local port, so one address does not suffice.
    """
    ends = [_encode_address(local), _encode_address(remote)]
    for row in Path("/proc/net/tcp").read_text().splitlines():
        columns = row.split()
        if columns[1:3] == ends:
            return columns[9]
    return ""


def _encode_address(address: Peer) -> str:
    host = bytes(int(part) for part in reversed(address[0].split(".")))
    return f"{host.hex().upper()}:{address[1]:04X}"


def _holds_socket(pid: int, inode: str) -> bool:
    # The process may end meanwhile.
    with suppress(OSError):
        for link in Path(f"/proc/{pid}/fd").iterdir():
            with suppress(OSError):
                if str(link.readlink()) == f"socket:[{inode}]":
                    return True
    return False
