"""Types of the replicated log: entries, what is saved, and messages between members."""

from __future__ import annotations

from enum import Enum
from typing import NewType

import msgspec

MemberId = NewType("MemberId", str)
Term = NewType("Term", int)
Index = NewType("Index", int)


class Role(Enum):
    """What a member does at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(Enum):
    """What an entry holds: nothing, a command, or a new set of members."""

    EMPTY = "empty"
    COMMAND = "command"
    MEMBERS = "members"


class Record(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Base of everything that is saved or sent."""


class Members(Record, frozen=True):
    """Who votes, and who only receives the log."""

    voters: tuple[MemberId, ...]
    learners: tuple[MemberId, ...] = ()

    def has(self, member: MemberId) -> bool:
        """Whether a member votes or learns."""
        return member in self.voters or member in self.learners


class Entry(Record, frozen=True):
    """One place in the log; `data` belongs to the program that embeds it."""

    term: Term
    index: Index
    kind: EntryKind = EntryKind.COMMAND
    data: str = ""
    members: Members | None = None


class Snapshot(Record, frozen=True):
    """The state after the entry `index`, in place of all entries up to it."""

    index: Index
    term: Term
    members: Members
    data: str


class HardState(Record, frozen=True):
    """What a member must remember of elections."""

    term: Term
    voted_for: MemberId | None = None


class Stored(Record, frozen=True):
    """Everything that a member had saved when it last stopped."""

    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()
    applied: Index = Index(0)


class VoteRequest(Record, frozen=True, tag="vote_request"):
    """Ask for a vote; with `pre` only whether there would be one."""

    term: Term
    sender: MemberId
    last_index: Index
    last_term: Term
    pre: bool
    transfer: bool = False


class VoteReply(Record, frozen=True, tag="vote_reply"):
    """Answer to a vote request."""

    term: Term
    sender: MemberId
    granted: bool
    pre: bool


class AppendRequest(Record, frozen=True, tag="append_request"):
    """Entries from the leader; without any it is a heartbeat."""

    term: Term
    sender: MemberId
    previous_index: Index
    previous_term: Term
    commit: Index
    entries: tuple[Entry, ...] = ()


class AppendReply(Record, frozen=True, tag="append_reply"):
    """How far the log agrees (`matched`), or from where to try again."""

    term: Term
    sender: MemberId
    accepted: bool
    matched: Index


class SnapshotRequest(Record, frozen=True, tag="snapshot_request"):
    """The whole state, for a member that is too far behind."""

    term: Term
    sender: MemberId
    snapshot: Snapshot


class TransferRequest(Record, frozen=True, tag="transfer_request"):
    """The leader asks a member to take over at once."""

    term: Term
    sender: MemberId


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | TransferRequest


class Envelope(Record, frozen=True):
    """A message and the member that it is for."""

    to: MemberId
    message: Message


class Output(msgspec.Struct, kw_only=True):
    """What the program round a member must do, in the order of the fields.

    With `restore` the snapshot came from the leader: it replaces the whole log and the state.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    restore: bool = False
    truncate_from: Index | None = None
    entries: list[Entry] = []
    messages: list[Envelope] = []
    committed: list[Entry] = []

    def truncate(self, first: Index) -> None:
        """Void the entry at an index and all after it, saved ones and new ones."""
        self.truncate_from = min(self.truncate_from or first, first)
        self.entries = [entry for entry in self.entries if entry.index < first]

    @property
    def must_save(self) -> bool:
        """Whether anything has to be synced before messages go out."""
        return bool(
            self.hard_state is not None
            or self.snapshot is not None
            or self.truncate_from is not None
            or self.entries
        )
