"""The record on top of the replicated log, and the futures of those who wait for a command."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable

from ..core.cluster.commands import Command, decode_commands
from ..core.cluster.records import Records
from ..core.consensus.types import Entry, EntryKind, Term

Applied = Callable[[Command], None]


class ReplicatedRecords:
    """The state machine of a `Replica`: applies entries and tells who listens."""

    def __init__(self) -> None:
        self.records = Records()
        self.ready_term = Term(0)
        """The newest term whose first entry was applied: all entries before it are, too."""
        self.listener: Applied | None = None

    def apply(self, entry: Entry) -> None:
        """Carry out a committed entry."""
        if entry.kind is EntryKind.EMPTY:
            self.ready_term = entry.term
        if entry.kind is not EntryKind.COMMAND:
            return
        for command in decode_commands(entry.data):
            self.records.apply(command)
            if self.listener is not None:
                self.listener(command)

    def encode(self) -> str:
        """Return the whole state."""
        return self.records.encode()

    def restore(self, data: str) -> None:
        """Replace the whole state."""
        self.records.restore(data)


class Waiters:
    """Futures by what they wait for; the result is False where it will not be known."""

    def __init__(self) -> None:
        self._futures: dict[Hashable, list[asyncio.Future[bool]]] = {}

    def __contains__(self, key: Hashable) -> bool:
        return key in self._futures

    def wait_for(self, key: Hashable) -> asyncio.Future[bool]:
        """Return a future that is done when `resolve` is called with the key."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._futures.setdefault(key, []).append(future)
        return future

    def resolve(self, key: Hashable) -> None:
        """Tell those who wait that it was carried out."""
        for future in self._futures.pop(key, []):
            if not future.done():
                future.set_result(True)

    def give_up(self) -> None:
        """Tell everybody that the outcome will not be known here."""
        futures, self._futures = self._futures, {}
        for waiting in futures.values():
            for future in waiting:
                if not future.done():
                    future.set_result(False)
