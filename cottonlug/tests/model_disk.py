"""Model of a disk that may lose, tear or keep unsynced writes and names; replaces the `os` module.

After a power failure a file holds what its last sync covered; each later write is present, missing
or torn, or all of them are lost. A new file is durable after its own sync, a rename after a sync of
the folder. The end of a process loses nothing.
"""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable
from dataclasses import dataclass, field

FOLDER_NAME = "data"
FOLDER = -1
"""File descriptor of the folder."""


class ProcessKilled(BaseException):
    """The process was killed during a call."""


@dataclass(slots=True)
class _Inode:
    """Content of a file: as of its last sync, and the writes since then."""

    durable: bytes = b""
    pending: list[Callable[[bytes], bytes]] = field(default_factory=list)
    """Writes since the last sync, each as a function from the old content to the new."""
    torn: list[Callable[[bytes], bytes]] = field(default_factory=list)
    """The same writes as they are if the power fails during them."""

    @property
    def content(self) -> bytes:
        content = self.durable
        for change in self.pending:
            content = change(content)
        return content

    def sync(self) -> None:
        self.durable = self.content
        self.pending.clear()
        self.torn.clear()

    def lose_power(self, chance: random.Random) -> None:
        loses_all = chance.random() < 0.3
        for change, torn in zip(self.pending, self.torn, strict=True):
            draw = 0.0 if loses_all else chance.random()
            if draw > 0.6:
                self.durable = change(self.durable)
            elif draw > 0.3:
                self.durable = torn(self.durable)
        self.pending.clear()
        self.torn.clear()


class ModelDisk:
    """Model of one folder; replaces the module `os` in `storage.files`."""

    O_RDONLY, O_WRONLY, O_CREAT = os.O_RDONLY, os.O_WRONLY, os.O_CREAT
    O_APPEND, O_EXCL = os.O_APPEND, os.O_EXCL
    strerror = staticmethod(os.strerror)

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.kill_rate = 0.0
        """Share of the calls during which the process is killed."""
        self.failure_rate = 0.0
        """Share of the writes and syncs that fail; a failed write may have written a part."""
        self._names: dict[str, _Inode] = {}
        self._durable_names: dict[str, _Inode] = {}
        """The files in the folder as they are found after a power failure."""
        self._open: dict[int, _Inode] = {}
        self._next = 3

    # Faults

    def end_process(self) -> None:
        self._open.clear()

    def lose_power(self) -> None:
        self._open.clear()
        inodes = {
            id(inode): inode for inode in (*self._names.values(), *self._durable_names.values())
        }
        for inode in inodes.values():
            inode.lose_power(self.chance)
        # Names changed since the last sync of the folder are lost or kept, all of them.
        if self.chance.random() < 0.5:
            self._names = dict(self._durable_names)
        else:
            self._durable_names = dict(self._names)

    def _maybe_kill_process(self) -> None:
        if self.chance.random() < self.kill_rate:
            raise ProcessKilled

    def _maybe_fail(self) -> None:
        if self.chance.random() < self.failure_rate:
            raise OSError(errno.ENOSPC, "No space left on device")

    # Calls

    def read(self, name: str) -> bytes | None:
        inode = self._names.get(name)
        return None if inode is None else inode.content

    def open(self, path: object, flags: int, mode: int = 0o777) -> int:
        name = str(path).rpartition("/")[2]
        self._maybe_kill_process()
        number, self._next = self._next, self._next + 1
        if name == FOLDER_NAME:
            return FOLDER
        if flags & os.O_EXCL and name in self._names:
            raise FileExistsError(name)
        if name not in self._names:
            if not flags & os.O_CREAT:
                raise FileNotFoundError(name)
            self._maybe_fail()
            self._names[name] = _Inode()
        inode = self._names[name]
        self._open[number] = inode
        return number

    def write(self, file: int, data: bytes) -> int:
        self._maybe_kill_process()
        if self.chance.random() < self.failure_rate:
            self._append(self._open[file], data[: self.chance.randint(0, len(data))])
            raise OSError(errno.ENOSPC, "No space left on device")
        if self.chance.random() < 0.1:
            data = data[: self.chance.randint(1, len(data))]
        self._append(self._open[file], data)
        return len(data)

    def ftruncate(self, file: int, size: int) -> None:
        self._maybe_kill_process()
        self._change(self._open[file], lambda old: old[:size], lambda old: old[:size])

    def fsync(self, file: int) -> None:
        self._maybe_kill_process()
        self._maybe_fail()
        if file == FOLDER:
            self._durable_names = dict(self._names)
            return
        inode = self._open[file]
        inode.sync()
        for name, each in self._names.items():
            if each is inode and name not in self._durable_names:
                self._durable_names[name] = inode

    def replace(self, old: object, new: object) -> None:
        self._maybe_kill_process()
        names = [str(path).rpartition("/")[2] for path in (old, new)]
        self._names[names[1]] = self._names.pop(names[0])
        # The removal of the old name is not durable before the new name is.

    def unlink(self, path: object) -> None:
        self._maybe_kill_process()
        if self._names.pop(str(path).rpartition("/")[2], None) is None:
            raise FileNotFoundError(path)

    def close(self, file: int) -> None:
        self._open.pop(file, None)

    def _append(self, inode: _Inode, data: bytes) -> None:
        kept = data[: self.chance.randint(0, len(data))]
        filler = b"\0" * self.chance.choice([0, len(data) - len(kept)])
        at = len(inode.content)

        def write(content: bytes, written: bytes = data) -> bytes:
            # If an earlier write is missing, there is a hole, which reads as zeros.
            return content.ljust(at, b"\0")[:at] + written

        self._change(inode, write, lambda content: write(content, kept + filler))

    def _change(
        self, inode: _Inode, whole: Callable[[bytes], bytes], torn: Callable[[bytes], bytes]
    ) -> None:
        inode.pending.append(whole)
        inode.torn.append(torn)
