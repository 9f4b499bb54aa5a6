"""The records (jobs, upstreams, configuration) that the replicated log's commands build up.

Also the futures of calls that wait until a command is applied to them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable

from ..core.cluster.commands import Command, decode_commands
from ..core.cluster.records import Records
from ..core.consensus.types import Entry, EntryKind, Term

CommandListener = Callable[[Command], None]


class ReplicatedRecords:
    """The state machine of a `Replica`: applies entries and notifies a listener."""

    def __init__(self) -> None:
        self.records = Records()
        self.ready_term = Term(0)
        """The newest term whose first entry was applied, and with it all entries before it."""
        self.listener: CommandListener | None = None
        """Called with each command after it was applied."""

    def apply(self, entry: Entry) -> None:
        """Apply a committed entry."""
        if entry.kind is EntryKind.EMPTY:
            self.ready_term = entry.term
        if entry.kind is not EntryKind.COMMAND:
            return
        for command in decode_commands(entry.data):
            self.records.apply(command)
            if self.listener is not None:
                self.listener(command)

    def encode(self) -> str:
        """Return the whole state, encoded for a snapshot."""
        return self.records.encode()

    def restore(self, data: str) -> None:
        """Replace the whole state by that of a snapshot."""
        self.records.restore(data)


class Waiters:
    """Futures by the event that they wait for.

    The result is True once the event has happened, or False if that will not be known here.
    """

    def __init__(self) -> None:
        self._futures: dict[Hashable, list[asyncio.Future[bool]]] = {}

    def __contains__(self, key: Hashable) -> bool:
        return key in self._futures

    def wait_for(self, key: Hashable) -> asyncio.Future[bool]:
        """Return a future that completes when `resolve` is called with the key."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._futures.setdefault(key, []).append(future)
        return future

    def resolve(self, key: Hashable) -> None:
        """Complete the futures of a key with True: the event has happened."""
        for future in self._futures.pop(key, []):
            if not future.done():
                future.set_result(True)

    def abandon_all(self) -> None:
        """Complete all futures with False: the outcome will not be known on this host."""
        futures, self._futures = self._futures, {}
        for waiting in futures.values():
            for future in waiting:
                if not future.done():
                    future.set_result(False)
