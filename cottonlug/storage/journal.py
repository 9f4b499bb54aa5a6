"""The journal of one consensus member: an append-only file of checksummed records.

A record is its payload's length, the CRC-32 of that length and the CRC-32 of the payload (4 bytes
each, big endian), then the payload in JSON. An invalid tail that is too short, or that ends in
zeros, is a write that a crash cut short before it was synced, so nothing relied on it: it is cut
off. Any other checksum or decoding error is damage: the journal refuses to open, since cutting off
the rest could lose an accepted change.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, field

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..core.consensus.types import (
    Entry,
    HardState,
    Index,
    MemberId,
    Members,
    Output,
    Record,
    Snapshot,
    Stored,
    Term,
)
from .files import Files

JOURNAL_FILE = "journal"
_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">III")
_NO_INDEX = Index(0)
_NO_HARD_STATE = HardState(term=Term(0))
EMPTY_SNAPSHOT = Snapshot(index=_NO_INDEX, term=Term(0), members=Members(voters=()), data="")
"""Snapshot of a new disk: no state and no members."""


class IdentityRecord(Record, frozen=True, tag="identity"):
    """The member id of this disk; always the first record."""

    member: MemberId


class HardStateRecord(Record, frozen=True, tag="hard_state"):
    """The current term and vote."""

    hard_state: HardState


class SnapshotRecord(Record, frozen=True, tag="snapshot"):
    """A snapshot; it replaces all entries up to its index."""

    snapshot: Snapshot


class EntryRecord(Record, frozen=True, tag="entry"):
    """One log entry."""

    entry: Entry


class TruncateRecord(Record, frozen=True, tag="truncate"):
    """The entry at `first` and all after it are discarded."""

    first: Index


class AppliedRecord(Record, frozen=True, tag="applied"):
    """Everything up to `index` was applied here and must be applied to memory after a restart."""

    index: Index


JournalRecord = (
    IdentityRecord | HardStateRecord | SnapshotRecord | EntryRecord | TruncateRecord | AppliedRecord
)

_decoder: msgspec.json.Decoder[JournalRecord] = msgspec.json.Decoder(JournalRecord)


@dataclass(frozen=True, slots=True, kw_only=True)
class StorageError:
    """The data folder cannot be used; `damaged` if its content is corrupt."""

    message: str
    damaged: bool


@dataclass(slots=True)
class _JournalContent:
    """What the records of a journal add up to."""

    member: MemberId | None = None
    hard_state: HardState = _NO_HARD_STATE
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: list[Entry] = field(default_factory=list)
    applied: Index = _NO_INDEX

    def apply_record(self, record: JournalRecord) -> None:
        """Replay one record."""
        if isinstance(record, IdentityRecord):
            self.member = record.member
        elif isinstance(record, HardStateRecord):
            self.hard_state = record.hard_state
        elif isinstance(record, SnapshotRecord):
            self.snapshot = record.snapshot
            self.entries = []
            self.applied = max(self.applied, record.snapshot.index)
        elif isinstance(record, EntryRecord):
            self.entries.append(record.entry)
        elif isinstance(record, TruncateRecord):
            self.entries = [entry for entry in self.entries if entry.index < record.first]
        else:
            self.applied = max(self.applied, record.index)


class Journal:
    """The open journal of one member; after a failed write it accepts no further records.

    `cut_bytes` is the size of the torn tail that was cut off when it was opened.
    """

    def __init__(
        self, *, files: Files, member: MemberId, content: _JournalContent, cut_bytes: int
    ) -> None:
        self.member = member
        self.cut_bytes = cut_bytes
        self._files = files
        self._content = content
        self._failure: StorageError | None = None

    @property
    def stored(self) -> Stored:
        """Everything that is saved."""
        content = self._content
        return Stored(
            hard_state=content.hard_state,
            snapshot=content.snapshot,
            entries=tuple(content.entries),
            applied=content.applied,
        )

    @property
    def is_empty(self) -> bool:
        """Whether this disk has never taken part in the consensus."""
        content = self._content
        return content.hard_state.term == 0 and content.snapshot.index == 0 and not content.entries

    def save(self, output: Output) -> Result[None, StorageError]:
        """Save and sync a member's output.

        Its messages must not be sent before this returns, except the entries of a leader with
        `saves_after_sending`.
        """
        records: list[JournalRecord] = []
        if output.hard_state is not None:
            records.append(HardStateRecord(hard_state=output.hard_state))
        if output.truncate_from is not None:
            records.append(TruncateRecord(first=output.truncate_from))
        records += [EntryRecord(entry=entry) for entry in output.entries]
        if output.snapshot is not None:
            return self._rewrite(output.snapshot, output.restore, records)
        return self._append(records) if records else Success(None)

    def save_applied(self, index: Index) -> Result[None, StorageError]:
        """Save and sync the index up to which the log has been applied here."""
        return self._append([AppliedRecord(index=index)])

    def _append(self, records: list[JournalRecord]) -> Result[None, StorageError]:
        if self._failure is not None:
            return Err(self._failure)
        data = b"".join(_encode_record(record) for record in records)
        try:
            self._files.append(JOURNAL_FILE, data)
        except OSError as error:
            return self._record_write_failure(error)
        for record in records:
            self._content.apply_record(record)
        return Success(None)

    def _rewrite(
        self, snapshot: Snapshot, restore: bool, records: list[JournalRecord]
    ) -> Result[None, StorageError]:
        """Replace the file by the snapshot and the records that follow it.

        With `restore`, for a snapshot from the leader, no entry of the old log is kept.
        """
        if self._failure is not None:
            return Err(self._failure)
        content = self._content
        for record in records:
            content.apply_record(record)
        kept = [] if restore else [e for e in content.entries if e.index > snapshot.index]
        content.apply_record(SnapshotRecord(snapshot=snapshot))
        content.entries = kept
        rewritten: list[JournalRecord] = [
            IdentityRecord(member=self.member),
            HardStateRecord(hard_state=content.hard_state),
            SnapshotRecord(snapshot=snapshot),
            *(EntryRecord(entry=entry) for entry in kept),
            AppliedRecord(index=content.applied),
        ]
        try:
            self._files.replace(
                JOURNAL_FILE, b"".join(_encode_record(record) for record in rewritten)
            )
        except OSError as error:
            return self._record_write_failure(error)
        return Success(None)

    def _record_write_failure(self, error: OSError) -> Result[None, StorageError]:
        # It is unknown how much of the write reached the disk, so nothing may be appended after it.
        message = f"cannot write the journal: {error.strerror or error}"
        self._failure = StorageError(message=message, damaged=False)
        return Err(self._failure)


def open_journal(files: Files, new_member: MemberId) -> Result[Journal, StorageError]:
    """Open a journal and cut off a torn tail, or create one with the new member id."""
    try:
        data = files.read(JOURNAL_FILE)
        if not data:
            files.replace(JOURNAL_FILE, _encode_record(IdentityRecord(member=new_member)))
            return Success(
                Journal(files=files, member=new_member, content=_JournalContent(), cut_bytes=0)
            )
        # An earlier process may have been killed between a write and its sync.
        files.sync(JOURNAL_FILE)
        replayed = _replay(data)
        if isinstance(replayed, Err):
            return Err(replayed.failure())
        content, valid_size = replayed.unwrap()
        if valid_size < len(data):
            files.truncate(JOURNAL_FILE, valid_size)
    except OSError as error:
        message = f"cannot use the data folder: {error.strerror or error}"
        return Err(StorageError(message=message, damaged=False))
    if content.member is None:
        return Err(StorageError(message="the journal has no identity", damaged=True))
    journal = Journal(
        files=files, member=content.member, content=content, cut_bytes=len(data) - valid_size
    )
    return Success(journal)


def _encode_record(record: JournalRecord) -> bytes:
    payload = msgspec.json.encode(record)
    length_check = zlib.crc32(_LENGTH.pack(len(payload)))
    return _HEADER.pack(len(payload), length_check, zlib.crc32(payload)) + payload


def _replay(data: bytes) -> Result[tuple[_JournalContent, int], StorageError]:
    """Return the content of a journal file and the size of its valid part, without a torn tail."""
    content = _JournalContent()
    offset = 0
    while offset < len(data):
        payload = _read_payload(data, offset)
        if payload is None:
            if _is_torn_write(data, offset):
                break
            return Err(_build_damage_error(offset))
        try:
            content.apply_record(_decoder.decode(payload))
        except msgspec.MsgspecError:
            return Err(_build_damage_error(offset))
        offset += _HEADER.size + len(payload)
    return Success((content, offset))


def _read_payload(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at an offset, or None if its checksums do not match."""
    length = _read_length(data, offset)
    if length is None:
        return None
    start = offset + _HEADER.size
    payload = data[start : start + length]
    _, _, checksum = _HEADER.unpack_from(data, offset)
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _read_length(data: bytes, offset: int) -> int | None:
    """Return the payload length in a record's header, or None if the header is not valid."""
    if offset + _HEADER.size > len(data):
        return None
    length, length_check, _ = _HEADER.unpack_from(data, offset)
    if length == 0 or zlib.crc32(_LENGTH.pack(length)) != length_check:
        return None
    return int(length)


def _is_torn_write(data: bytes, offset: int) -> bool:
    """Whether the rest of the file can only be a write that a crash cut short."""
    rest = len(data) - offset
    if rest < _HEADER.size:
        return True
    length = _read_length(data, offset)
    if length is not None and rest < _HEADER.size + length:
        return True
    # A payload is JSON and never ends with a zero byte; a write cut short can leave trailing zeros.
    return data.endswith(b"\0")


def _build_damage_error(offset: int) -> StorageError:
    message = (
        f"the journal is damaged at byte {offset}; this disk cannot be trusted: empty the data "
        "folder, and the host joins again as a new member"
    )
    return StorageError(message=message, damaged=True)
