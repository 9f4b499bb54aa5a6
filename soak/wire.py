"""HTTP/1.1 for the stand-ins.

The server is built on httptools: it must be able to leave a request without an answer and to reset
all connections, which servers of libraries do not offer.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
from collections.abc import Callable, Coroutine, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import httptools
import httpx

_READ_BYTES = 65_536
_LINK_CHECK_SECONDS = 0.02
_TCP_ESTABLISHED = 1
"""State of a socket in the kernel's `tcp_info`, see tcp(7)."""

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

Reaches = Callable[[str], bool]
"""Tells whether the named process is not beyond a cut now."""


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

    `identify` names the process behind a connection; it is called once for each. While `reaches`
    is false for that name, requests and answers wait; those of closed connections are lost.
    """

    def __init__(
        self,
        *,
        handle: Handler,
        identify: Identify = lambda peer, local: "",
        reaches: Reaches = lambda name: True,
    ) -> None:
        self._handle, self._identify, self._reaches = handle, identify, reaches
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
        name = self._identify(peer, local)
        requests = _RequestReader(name)
        is_answering = True
        try:
            # Without an answer the connection stays open, and what arrives on it is ignored.
            while data := await reader.read(_READ_BYTES):
                for request in requests.read(data) if is_answering else []:
                    await self._wait_for_link(name, writer)
                    response = await self._handle(request)
                    is_answering = response is not None
                    await self._wait_for_link(name, writer)
                    if response is not None and not writer.is_closing():
                        writer.write(_encode_response(response))
        except (ConnectionError, httptools.HttpParserError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _wait_for_link(self, name: str, writer: asyncio.StreamWriter) -> None:
        while not self._reaches(name):
            await asyncio.sleep(_LINK_CHECK_SECONDS)
            if is_closed_by_peer(writer):
                raise ConnectionResetError


def is_closed_by_peer(writer: asyncio.StreamWriter) -> bool:
    """Return whether a connection was closed or reset, also if its last bytes are unread."""
    if writer.is_closing():
        return True
    sock = writer.get_extra_info("socket")
    state: bytes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] != _TCP_ESTABLISHED


def _encode_response(response: Response) -> bytes:
    head = (
        f"HTTP/1.1 {response.status} -\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(response.body)}\r\n\r\n"
    )
    return head.encode() + response.body


def build_client(host: str | None = None) -> httpx.AsyncClient:
    """Return a client that uses its connections until the process behind them is gone.

    `host` is the IP number that they come from.
    """
    limits = httpx.Limits(max_connections=None, keepalive_expiry=None)
    transport = httpx.AsyncHTTPTransport(verify=False, limits=limits, local_address=host)
    return httpx.AsyncClient(transport=transport, trust_env=False)


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

    Hosts share one loopback address for outgoing connections, so a host is known by the owner of
    its socket alone. A scan of the sockets of all hosts takes milliseconds, so the owners of all
    sockets that it meets are kept; the kernel gives the number of a socket only once.
    """

    pids: Callable[[], Mapping[str, int]]
    """Returns the processes that may have opened the connection, by name."""
    addresses: Mapping[str, str] = field(default_factory=dict)
    """Names of clients with an IP number of their own, by this number."""
    _owners: dict[int, str] = field(default_factory=dict, init=False)
    """Owner of each socket, by inode."""
    _last: str = field(default="", init=False)

    def find(self, peer: Peer, local: Peer) -> str:
        """Return the name of the process that holds the socket, or an empty name."""
        if peer[0] in self.addresses:
            return self.addresses[peer[0]]
        inode = _find_inode(peer, local)
        if inode and inode not in self._owners:
            self._scan(inode)
        return self._owners.get(inode, "")

    def _scan(self, inode: int) -> None:
        """Take note of the sockets of one process after the other until the owner is found."""
        pids = self.pids()
        # Most new connections come from the process that opened the last one.
        for name in sorted(pids, key=lambda name: name != self._last):
            self._owners.update(dict.fromkeys(_list_sockets(pids[name]), name))
            if inode in self._owners:
                self._last = name
                return


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


def _list_sockets(pid: int) -> Iterator[int]:
    """Return the inodes of the sockets that a process holds."""
    folder = f"/proc/{pid}/fd"
    # The process may end, and close files, meanwhile.
    with suppress(OSError):
        for number in os.listdir(folder):
            with suppress(OSError):
                target = os.readlink(f"{folder}/{number}")
                if target.startswith("socket:["):
                    yield int(target[8:-1])
