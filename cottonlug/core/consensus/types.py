"""Types of the replicated log: entries, saved state, and messages between members."""

from __future__ import annotations

from enum import Enum
from typing import NewType

import msgspec

MemberId = NewType("MemberId", str)
"""One disk of a host, as `<host>/<id of the disk>`."""
Term = NewType("Term", int)
"""Number of an election and of the time until the next one; a term has at most one leader."""
Index = NewType("Index", int)
"""Position of an entry in the log, from 1; 0 is before the first entry."""


class Role(Enum):
    """The current role of a member."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(Enum):
    """Content of an entry: nothing (a new leader's first entry), a command or a set of members."""

    EMPTY = "empty"
    COMMAND = "command"
    MEMBERS = "members"


class Record(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Base of all records that are saved or sent."""


class Members(Record, frozen=True):
    """The voters, and the learners, which receive the log but neither vote nor lead."""

    voters: tuple[MemberId, ...]
    learners: tuple[MemberId, ...] = ()

    def has(self, member: MemberId) -> bool:
        """Whether a member is a voter or a learner."""
        return member in self.voters or member in self.learners


class Entry(Record, frozen=True):
    """One log entry; `data` is opaque and belongs to the embedding program."""

    term: Term
    index: Index
    kind: EntryKind = EntryKind.COMMAND
    data: str = ""
    members: Members | None = None


class Snapshot(Record, frozen=True):
    """The embedding program's state after the entry at `index`, as `data`, and the members then.

    It replaces all entries up to that one, whose term is `term`.
    """

    index: Index
    term: Term
    members: Members
    data: str


class HardState(Record, frozen=True):
    """The election state that a member must save: its term and its vote in that term."""

    term: Term
    voted_for: MemberId | None = None


class Stored(Record, frozen=True):
    """Everything that a member has saved, from which it restarts.

    The embedding program has applied the entries up to `applied` and applies them again itself
    after a restart; the member returns only later ones as committed.
    """

    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()
    applied: Index = Index(0)


class VoteRequest(Record, frozen=True, tag="vote_request"):
    """Request a vote in `term`; with `pre`, only ask whether the vote would be granted.

    `last_index` and `last_term` are those of the sender's log. With `transfer` the leader itself
    asked for the election, so a member votes although it still hears that leader.
    """

    term: Term
    sender: MemberId
    last_index: Index
    last_term: Term
    pre: bool
    transfer: bool = False


class VoteReply(Record, frozen=True, tag="vote_reply"):
    """Reply to a vote request; a granted pre-vote has the term of the request."""

    term: Term
    sender: MemberId
    granted: bool
    pre: bool


class AppendRequest(Record, frozen=True, tag="append_request"):
    """Entries from the leader; a heartbeat if there are none.

    They follow the entry at `previous_index`, which must be of `previous_term` at the receiver too.
    `commit` is the index up to which the leader has committed.
    """

    term: Term
    sender: MemberId
    previous_index: Index
    previous_term: Term
    commit: Index
    entries: tuple[Entry, ...] = ()


class AppendReply(Record, frozen=True, tag="append_reply"):
    """Reply to an append or snapshot request.

    If `accepted`, the logs match up to `matched`; otherwise `matched` is a hint: the last index
    that may match, after which the leader resumes.
    """

    term: Term
    sender: MemberId
    accepted: bool
    matched: Index


class SnapshotRequest(Record, frozen=True, tag="snapshot_request"):
    """The leader's snapshot, for a member that needs entries which the leader has discarded."""

    term: Term
    sender: MemberId
    snapshot: Snapshot


class TransferRequest(Record, frozen=True, tag="transfer_request"):
    """The leader asks a member to start an election at once and take over."""

    term: Term
    sender: MemberId


ConsensusMessage = (
    VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | TransferRequest
)


class Envelope(Record, frozen=True):
    """A message and the member that it is addressed to."""

    to: MemberId
    message: ConsensusMessage


class Output(msgspec.Struct, kw_only=True):
    """What the embedding program must save, send and apply, in this order.

    `messages` are sent and `committed` is applied; everything else is saved. With `restore` the
    snapshot came from the leader and replaces the whole log and the state; without, it only
    replaces this member's entries up to its index. Saved entries from `truncate_from` on are
    discarded before `entries` are appended.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    restore: bool = False
    truncate_from: Index | None = None
    entries: list[Entry] = []
    messages: list[Envelope] = []
    committed: list[Entry] = []

    def truncate(self, first: Index) -> None:
        """Discard the entry at index `first` and all after it, both saved and new ones."""
        self.truncate_from = min(self.truncate_from or first, first)
        self.entries = [entry for entry in self.entries if entry.index < first]

    @property
    def must_save(self) -> bool:
        """Whether there is anything to save and sync."""
        return bool(
            self.hard_state is not None
            or self.snapshot is not None
            or self.truncate_from is not None
            or self.entries
        )
