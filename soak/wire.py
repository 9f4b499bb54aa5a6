"""HTTP/1.1 for the stand-ins.

The server is built on httptools: it must be able to leave a request without an answer and to reset
all connections, which servers of libraries do not offer.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Callable, Coroutine, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

import httptools
import httpx

_READ_BYTES = 65_536

# Constants of the kernel's interface, from sock_diag(7) and netlink(7).
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_INODE_OFFSET = 84
"""In the answer: after its header, the addresses, counters and the owner."""

Peer = tuple[str, int]
"""Host and port of one end of a connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    sender: str = ""
    """Name of the process that opened the connection, if the server can tell."""


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


Identify = Callable[[Peer, Peer], str]
"""Names the process at the first end of a connection; the second one is that of the server."""


def encode_json(content: object) -> bytes:
    """Return the content as compact JSON."""
    return json.dumps(content, separators=(",", ":")).encode()


class _RequestReader:
    """Assembles the requests of one connection; httptools calls the methods named `on_...`."""

    def __init__(self, sender: str) -> None:
        self._sender = sender
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
            sender=self._sender,
        )
        self._complete.append(request)
        self._url, self._headers, self._body = b"", {}, b""


class Server:
    """A listener that passes complete requests to a handler.

    `identify` names the process behind a connection; it is called once for each.
    """

    def __init__(self, *, handle: Handler, identify: Identify = lambda peer, local: "") -> None:
        self._handle, self._identify = handle, identify
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
        peer, local = (writer.get_extra_info(name)[:2] for name in ("peername", "sockname"))
        requests = _RequestReader(self._identify(peer, local))
        is_answering = True
        try:
            # Without an answer the connection stays open, and what arrives on it is ignored.
            while data := await reader.read(_READ_BYTES):
                for request in requests.read(data) if is_answering else []:
                    response = await self._handle(request)
                    is_answering = response is not None
                    if response is not None and not writer.is_closing():
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


def _find_inode(local: Peer, remote: Peer) -> int:
    """Return the inode of the socket between two addresses, 0 if there is none.

    The kernel looks up this one socket (`sock_diag(7)`): a table of all sockets takes 0.1 s to read
    on a busy machine, during which the stand-ins would stand still.
    """
    ends = struct.pack(
        "!HH16s16s", local[1], remote[1], socket.inet_aton(local[0]), socket.inet_aton(remote[0])
    )
    any_interface_and_cookie = struct.pack("=3I", 0, 2**32 - 1, 2**32 - 1)
    wanted = struct.pack("=4BI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 2**32 - 1)
    request = wanted + ends + any_interface_and_cookie
    header = struct.pack("=IHHII", 16 + len(request), _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 0, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as kernel:
        kernel.send(header + request)
        answer = kernel.recv(_READ_BYTES)
    is_found = struct.unpack_from("=IH", answer)[1] == _SOCK_DIAG_BY_FAMILY
    return int(struct.unpack_from("=I", answer, _INODE_OFFSET)[0]) if is_found else 0


def _holds_socket(pid: int, inode: int) -> bool:
    # The process may end meanwhile.
    with suppress(OSError):
        for link in Path(f"/proc/{pid}/fd").iterdir():
            with suppress(OSError):
                if str(link.readlink()) == f"socket:[{inode}]":
                    return True
    return False
