"""The log of one member: a snapshot of the state, and the entries that follow it."""

from __future__ import annotations

from collections.abc import Sequence

from ..invariants import require
from .types import Entry, Index, Members, Snapshot, Term


class Log:
    """Entries by index; the snapshot stands for all entries up to its index."""

    def __init__(self, *, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)
        for offset, entry in enumerate(self._entries):
            require(entry.index == snapshot.index + 1 + offset, "a log must not have gaps")

    @property
    def last_index(self) -> Index:
        """Index of the last entry, or of the snapshot."""
        return Index(self.snapshot.index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry, or of the snapshot."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def find_term(self, index: Index) -> Term | None:
        """Return the term of the entry at an index; None if it is discarded or not yet appended."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self._get(index).term

    def read(self, first: Index, limit: int) -> tuple[Entry, ...]:
        """Return up to `limit` entries, starting at index `first`."""
        require(first > self.snapshot.index, "entries up to the snapshot cannot be read")
        start = first - self.snapshot.index - 1
        return tuple(self._entries[start : start + limit])

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        require(entry.index == self.last_index + 1, "entries must be appended in order")
        self._entries.append(entry)

    def truncate(self, first: Index) -> None:
        """Drop the entry at index `first` and all after it."""
        require(first > self.snapshot.index, "a snapshot must not be truncated")
        del self._entries[first - self.snapshot.index - 1 :]

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the index of a snapshot, taken of this log, by the snapshot."""
        require(self.find_term(snapshot.index) == snapshot.term, "a snapshot must be of this log")
        del self._entries[: snapshot.index - self.snapshot.index]
        self.snapshot = snapshot

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a leader's snapshot."""
        self.snapshot = snapshot
        self._entries = []

    def find_members(self) -> Members:
        """Return the newest set of members; a set is effective before it is committed."""
        for entry in reversed(self._entries):
            if entry.members is not None:
                return entry.members
        return self.snapshot.members

    def find_members_at(self, index: Index) -> Members:
        """Return the set of members that is effective as of the entry at an index."""
        members = self.snapshot.members
        for entry in self.read(Index(self.snapshot.index + 1), index - self.snapshot.index):
            if entry.members is not None:
                members = entry.members
        return members

    def find_members_index(self) -> Index:
        """Return the index of the newest set of members, or of the snapshot that holds it."""
        for entry in reversed(self._entries):
            if entry.members is not None:
                return entry.index
        return self.snapshot.index

    def find_first_of_term(self, index: Index) -> Index:
        """Return the first index of the sequence of same-term entries that contains this index."""
        term = self.find_term(index)
        first = index
        while first - 1 > self.snapshot.index and self.find_term(Index(first - 1)) == term:
            first = Index(first - 1)
        return first

    def _get(self, index: Index) -> Entry:
        return self._entries[index - self.snapshot.index - 1]
