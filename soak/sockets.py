"""Which process has opened a connection on loopback, by the kernel's socket diagnostics.

All processes share one address for outgoing connections, so only the owner of the socket tells them
apart. A lookup of one socket stays fast on a machine with many connections, where reading the whole
table of `/proc/net/tcp` takes tens of milliseconds.
"""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Iterable, Mapping
from typing import NamedTuple

_LOCAL_HOST = "127.0.0.1"
_NETLINK_SOCK_DIAG, _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST = 4, 20, 1
_ALL_STATES = 0xFFFFFFFF
_HEADER = struct.Struct("=LHHLL")
"""Length, type, flags, sequence number and port of a netlink message."""
_REQUEST = struct.Struct("=BBBxL2s2s16s16sLQ")
"""Family, protocol, extensions, states, ports, addresses, interface and cookie."""
_INODE_OFFSET = _HEADER.size + 68
_ANY_COOKIE = 0xFFFFFFFFFFFFFFFF


class Link(NamedTuple):
    """An open connection, as its client sees it."""

    port: int
    """Local port, which connections to different addresses may share."""
    remote: tuple[str, int]


def find_owners(links: Iterable[Link], pids: Mapping[str, int]) -> dict[Link, str]:
    """Return which of the processes, given by name, has opened each connection."""
    inodes = {inode: link for link in links if (inode := _find_inode(link))}
    owners: dict[Link, str] = {}
    for name, pid in pids.items():
        if len(owners) == len(inodes):
            break
        for inode in _list_sockets(pid):
            if inode in inodes:
                owners[inodes[inode]] = name
    return owners


def _find_inode(link: Link) -> int:
    """Return the inode of the client's socket; 0 if it is closed."""
    request = _REQUEST.pack(
        socket.AF_INET,
        socket.IPPROTO_TCP,
        0,
        _ALL_STATES,
        link.port.to_bytes(2, "big"),
        link.remote[1].to_bytes(2, "big"),
        socket.inet_aton(_LOCAL_HOST),
        socket.inet_aton(link.remote[0]),
        0,
        _ANY_COOKIE,
    )
    length = _HEADER.size + len(request)
    header = _HEADER.pack(length, _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 0, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as diagnostics:
        diagnostics.send(header + request)
        answer = diagnostics.recv(4_096)
    if _HEADER.unpack_from(answer)[1] != _SOCK_DIAG_BY_FAMILY:
        return 0
    return int.from_bytes(answer[_INODE_OFFSET : _INODE_OFFSET + 4], "little")


def _list_sockets(pid: int) -> Iterable[int]:
    """Yield the inodes of the sockets of a process; none if it has ended."""
    folder = f"/proc/{pid}/fd"
    try:
        descriptors = os.listdir(folder)
    except FileNotFoundError:
        return
    for descriptor in descriptors:
        try:
            name = os.readlink(f"{folder}/{descriptor}")
        except FileNotFoundError:
            continue
        if name.startswith("socket:["):
            yield int(name[8:-1])
