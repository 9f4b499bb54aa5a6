"""The log of one member: a snapshot and the entries after it."""

from __future__ import annotations

from collections.abc import Sequence

from ..invariants import require
from .types import Entry, Index, Members, Snapshot, Term


class Log:
    """Entries by index; indexes up to the snapshot's are gone."""

    def __init__(self, *, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)
        for offset, entry in enumerate(self._entries):
            require(entry.index == snapshot.index + 1 + offset, "a log has no gaps")

    @property
    def last_index(self) -> Index:
        """Index of the last entry, or of the snapshot."""
        return Index(self.snapshot.index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry, or of the snapshot."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def find_term(self, index: Index) -> Term | None:
        """Return the term at an index, or None where it is gone or not there yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self._get(index).term

    def read(self, first: Index, limit: int) -> tuple[Entry, ...]:
        """Return up to `limit` entries from an index on."""
        require(first > self.snapshot.index, "entries up to the snapshot are gone")
        start = first - self.snapshot.index - 1
        return tuple(self._entries[start : start + limit])

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        require(entry.index == self.last_index + 1, "entries are appended in order")
        self._entries.append(entry)

    def truncate(self, first: Index) -> None:
        """Drop the entry at an index and all after it."""
        require(first > self.snapshot.index, "a snapshot is not truncated")
        del self._entries[first - self.snapshot.index - 1 :]

    def compact(self, snapshot: Snapshot) -> None:
        """Put a snapshot of this log in place of the entries that it covers."""
        require(self.find_term(snapshot.index) == snapshot.term, "a snapshot is of this log")
        del self._entries[: snapshot.index - self.snapshot.index]
        self.snapshot = snapshot

    def replace(self, snapshot: Snapshot) -> None:
        """Put a leader's snapshot in place of the whole log."""
        self.snapshot = snapshot
        self._entries = []

    def find_members(self) -> Members:
        """Return the newest set of members in the log; it counts from when it is appended."""
        for entry in reversed(self._entries):
            if entry.members is not None:
                return entry.members
        return self.snapshot.members

    def find_members_at(self, index: Index) -> Members:
        """Return the set of members that counted when an entry was appended."""
        members = self.snapshot.members
        for entry in self.read(Index(self.snapshot.index + 1), index - self.snapshot.index):
            if entry.members is not None:
                members = entry.members
        return members

    def find_members_index(self) -> Index:
        """Return the index of the newest set of members."""
        for entry in reversed(self._entries):
            if entry.members is not None:
                return entry.index
        return self.snapshot.index

    def find_first_of_term(self, index: Index) -> Index:
        """Return the first index of the run of one term that holds this index."""
        term = self.find_term(index)
        first = index
        while first - 1 > self.snapshot.index and self.find_term(Index(first - 1)) == term:
            first = Index(first - 1)
        return first

    def _get(self, index: Index) -> Entry:
        return self._entries[index - self.snapshot.index - 1]
