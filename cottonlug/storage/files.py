"""Access to the data folder, behind an interface that tests replace by one that loses data."""

from __future__ import annotations

import contextlib
import errno
import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """Access to one folder; every call may raise OSError."""

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it."""
        ...

    def sync(self, name: str) -> None:
        """Make a file's content and its name survive a power failure."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes and sync it."""
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: after a crash it has either the old or the new content."""
        ...


class FolderFiles:
    """Files in a local folder."""

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        self._open: dict[str, int] = {}
        """Descriptors of the files that were appended to, by name."""
        folder.mkdir(parents=True, exist_ok=True)

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it."""
        file = self._open.get(name)
        if file is None:
            file = os.open(self._folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
            self._open[name] = file
            self._sync_folder()
        _write(file, data)
        os.fsync(file)

    def sync(self, name: str) -> None:
        """Make a file's content and its name survive a power failure."""
        file = os.open(self._folder / name, os.O_WRONLY)
        try:
            os.fsync(file)
        finally:
            os.close(file)
        self._sync_folder()

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes and sync it."""
        file = os.open(self._folder / name, os.O_WRONLY)
        try:
            os.ftruncate(file, size)
            os.fsync(file)
        finally:
            os.close(file)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: after a crash it has either the old or the new content."""
        self._close(name)
        temporary = self._folder / f"{name}.new"
        # After a power failure this name may be a second link to the file that is to be replaced.
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary)
        file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        try:
            _write(file, data)
            os.fsync(file)
        finally:
            os.close(file)
        os.replace(temporary, self._folder / name)
        self._sync_folder()

    def close(self) -> None:
        """Close all open files."""
        for name in list(self._open):
            self._close(name)

    def _close(self, name: str) -> None:
        file = self._open.pop(name, None)
        if file is not None:
            os.close(file)

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def _write(file: int, data: bytes) -> None:
    """Write all data in one call, and fail if only a part was written.

    The rest must not follow in a second call: of two unsynced writes, a power failure may keep the
    second without the first.
    """
    if os.write(file, data) < len(data):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
