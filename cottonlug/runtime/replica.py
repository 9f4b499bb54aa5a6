"""One control host's copy of a replicated log (Raft): its disk, its messages and its timers.

`Member` is the algorithm without input and output. A member is one host with one disk: a host whose
disk was replaced is another member. Hosts are named by their peer addresses. The state machine on
top is passed in.

A leader sends entries before it has synced them and counts itself towards the majority only
afterwards (`Member.record_saved`): with all voters healthy, two other disks are the majority, and
the leader's event loop does not wait for its own. Until then its own write is called deferred.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Protocol

from returns.result import Failure as Err
from returns.result import Success

from ..config.options import Address
from ..core.clock import Clock
from ..core.cluster.begun_jobs import BegunJobs
from ..core.consensus.member import Member
from ..core.consensus.progress import is_quorum
from ..core.consensus.replacement import get_host
from ..core.consensus.timing import Timing
from ..core.consensus.types import (
    Entry,
    EntryKind,
    Index,
    MemberId,
    Output,
    Role,
    Snapshot,
    Term,
    TransferRequest,
)
from ..core.control_messages import ConsensusBatch, Hello
from ..core.ids import HostId
from ..net.connections import ConnectionPools
from ..storage.files import FolderFiles
from ..storage.journal import Journal, StorageError, open_journal
from .events import Event, log_event
from .failures import log_failure
from .membership import JoinRequest, Membership
from .messenger import Messenger

TIMING = Timing(
    heartbeat=timedelta(milliseconds=70),
    election=timedelta(milliseconds=350),
    first_election=timedelta(milliseconds=60),
    pre_vote_retry=timedelta(milliseconds=100),
)
"""A new leader is elected within 0.7 s, in time to renew the leases of most upstreams (1 s).

The election timeout is longer than a slow sync of a disk (270 ms), during which a host is silent.
"""
LEADER_LEASE = timedelta(milliseconds=280)
"""How long a leader may schedule tasks after it sent the messages that a majority has answered.

No other host can be elected for at least one election timeout; the lease is shorter by a margin.
"""
TICK_SECONDS = 0.025
SAVE_DELAY = timedelta(milliseconds=20)
"""A leader writes its new entries to its own disk this long after it has appended them, if the
other voters have not made up a majority for them by then."""
MAX_SAVE_DELAY = timedelta(seconds=1)
"""A leader writes its new entries to its own disk after this time even if they are committed."""
REOPEN_AFTER = timedelta(seconds=1)
"""Pause after a failed write until the disk is read again: a full one may have free space by then.
Until that works this host takes no part in the log."""
COMPACT_AFTER_BYTES = 8 * 1024 * 1024
"""Size of the log's entries at which a snapshot replaces them; a host's data disk has 128 MB."""
DISCOVERY_SECONDS = 0.25
"""Interval at which a leader changes the members, and another host asks to join if it must."""
HELLO_PATH = "/v1/hello"


class StateMachine(Protocol):
    """The state that is replicated."""

    def apply(self, entry: Entry) -> None:
        """Apply a committed entry."""
        ...

    def encode(self) -> str:
        """Return the whole state, encoded for a snapshot."""
        ...

    def restore(self, data: str) -> None:
        """Replace the whole state by that of a snapshot."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSettings:
    """The data folder of a replica, the peer address of its host, and those it knows at first."""

    address: Address
    seeds: tuple[Address, ...]
    may_begin: bool
    """Whether this host may bootstrap a new log; the first of the seeds that may does so."""
    data_folder: Path
    urgent_port: int | None = None
    """Port of the other hosts for all messages sent here, if it is not that of their addresses."""


@dataclass(slots=True, kw_only=True)
class ReplicaCounts:
    """Counters for metrics and state dumps."""

    syncs: int = 0
    """Writes to the disk, each with a sync."""
    entries: int = 0
    """Entries appended to the log."""
    elections: int = 0
    """Changes of the leader or term seen by this host; that a leader is lost counts as one."""
    snapshots: int = 0
    """Snapshots made here or received from a leader."""


class Replica:
    """The member, journal and messenger of one host of the log.

    `on_progress` is called whenever the role, the term or the applied entries may have changed,
    `on_failure` with an unexpected exception of a background task. `member` is None before the
    start and after a failed write, until the disk can be used again.
    """

    def __init__(
        self,
        *,
        settings: ReplicaSettings,
        clock: Clock,
        state_machine: StateMachine,
        on_progress: Callable[[], None],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.member: Member | None = None
        self.counts = ReplicaCounts()
        self._settings = settings
        self._clock = clock
        self._state_machine = state_machine
        self._on_progress = on_progress
        self._on_failure = on_failure
        self._journal: Journal | None = None
        self._pools = ConnectionPools(port=settings.urgent_port)
        self.begun_jobs = BegunJobs()
        """Best-effort jobs that earlier leaders have begun, as they have reported them."""
        self.messenger = Messenger(
            clock=clock,
            pools=self._pools,
            get_sender=self._get_sender,
            on_reply=self._receive_messages,
            on_failure=on_failure,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._membership = Membership(own=settings.address, seeds=settings.seeds, pools=self._pools)
        self._deferred: list[Output] = []
        """New entries of a leader that have been sent but are not on its own disk yet."""
        self._deferred_since: timedelta | None = None
        self._log_bytes = 0
        """Size of the entries since the last snapshot."""
        self._reopen_at = timedelta()
        self._seen_leader: tuple[MemberId | None, Term] = (None, Term(0))

    async def start(self) -> str | None:
        """Read the journal and start the timers; return an error message, or None.

        The host joins the log later, in the background.
        """
        error = self._open()
        if error is not None:
            return error
        self._tasks.append(asyncio.create_task(self._guard(self._tick_forever())))
        self._tasks.append(asyncio.create_task(self._guard(self._maintain_membership_forever())))
        return None

    def transfer_leadership(self) -> None:
        """Ask another voter to take over if this one leads; the transfer may fail."""
        if self.member is None or self.member.role is not Role.LEADER:
            return
        self.member.transfer_leadership(self._clock.monotonic())
        self._process_output()

    def start_new_term(self) -> None:
        """Campaign for a later term, whose fencing token is higher.

        Called when an upstream no longer accepts the token of the present term.
        """
        member = self.member
        if member is None or member.role is not Role.LEADER or not self.has_lease():
            return
        # On a request to take over the leadership, a member campaigns at once.
        request = TransferRequest(term=member.term, sender=member.id)
        member.receive(request, self._clock.monotonic())
        self._process_output()

    async def stop(self) -> None:
        """Save all pending entries and stop."""
        self._save_deferred()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.messenger.stop()
        self._pools.close()

    # State

    @property
    def is_leader(self) -> bool:
        """Whether this host has the role of leader; to schedule, it must have the lease, too."""
        return self.member is not None and self.member.role is Role.LEADER

    @property
    def leader_host(self) -> str | None:
        """Peer address of the leader, or None if it is unknown."""
        if self.member is None or self.member.leader is None:
            return None
        return get_host(self.member.leader)

    @property
    def term(self) -> Term:
        """The current term, or 0 while the host takes no part in the log (see `member`)."""
        return self.member.term if self.member is not None else Term(0)

    def find_last_leader_term(self) -> Term:
        """Return the term of the last host that led the log before this one, as the leader.

        A host leads only after an entry of its own term is committed, which every later leader has
        in its log.
        """
        assert self.member is not None, "only a member leads"
        log = self.member.log
        first = log.find_first_of_term(log.last_index)
        return log.find_term(Index(first - 1)) or Term(0)

    @property
    def hosts(self) -> tuple[str, ...]:
        """Peer addresses of all known control hosts."""
        return tuple(sorted(self._membership.hosts))

    def has_lease(self) -> bool:
        """Whether this host leads and a majority of voters, itself included, has answered lately.

        That is, they have answered messages that were sent within `LEADER_LEASE`.
        """
        member = self.member
        if member is None or member.role is not Role.LEADER:
            return False
        silent = set(self.list_silent_voters())
        recent = {voter for voter in member.members.voters if get_host(voter) not in silent}
        return is_quorum(member.members.voters, recent)

    def list_silent_voters(self) -> list[str]:
        """Return the hosts of the other voters that answered nothing sent within `LEADER_LEASE`."""
        member = self.member
        if member is None:
            return []
        limit = self._clock.monotonic() - LEADER_LEASE
        hosts = [get_host(voter) for voter in member.members.voters if voter != member.id]
        acked_at = {host: self.messenger.find_acked_at(host) for host in hosts}
        return [host for host, at in acked_at.items() if at is None or at <= limit]

    def propose(self, data: str) -> bool:
        """Append a command to the log; return False if this host does not lead."""
        if self.member is None:
            return False
        proposed = self.member.propose(data, self._clock.monotonic())
        self._process_output()
        return isinstance(proposed, Success)

    # Calls from other hosts

    def build_hello(self) -> Hello:
        """Return how this member introduces itself to others; also the answer to a join request."""
        assert self._journal is not None, "started before it listens"
        return Hello(
            host=HostId(str(self._settings.address)),
            member=self._journal.member,
            is_empty=self._journal.is_empty,
            may_begin=self._settings.may_begin,
            leader=self.leader_host,
            hosts=self.hosts,
        )

    def record_join(self, request: JoinRequest) -> Hello:
        """Record a member that asks to join; only a leader acts on it."""
        self._membership.record_join(request)
        return self.build_hello()

    def receive(self, batch: ConsensusBatch) -> ConsensusBatch:
        """Process another member's messages and return the messages waiting for it."""
        if batch.begun is not None:
            self.begun_jobs.receive(batch.begun, self._clock.monotonic())
        self._receive_messages(batch)
        messages = self.messenger.pop_messages(get_host(batch.sender))
        return ConsensusBatch(sender=self._get_sender()[0], messages=messages)

    def _get_sender(self) -> tuple[MemberId, Term]:
        """Return the member id and term under which messages are sent."""
        assert self._journal is not None, "started before it sends"
        return self._journal.member, self.term

    # The member and its disk

    def _open(self) -> str | None:
        """Read the journal and build the member from it; return an error message, or None."""
        try:
            files = FolderFiles(folder=self._settings.data_folder)
        except OSError as error:
            return f"cannot use the data folder {self._settings.data_folder}: {error.strerror}"
        # Used only if the disk is empty.
        new_id = MemberId(f"{self._settings.address}/{secrets.token_hex(4)}")
        opened = open_journal(files, new_id)
        if isinstance(opened, Err):
            _log_storage_error(opened.failure())
            return str(opened.failure().message)
        self._journal = opened.unwrap()
        if self._journal.cut_bytes:
            log_event(Event.STORAGE_TORN, cut_bytes=self._journal.cut_bytes)
        self._build_member()
        return None

    def _reopen_if_due(self, now: timedelta) -> None:
        """After a failed write, try every second to start again from what is on the disk."""
        if self.member is not None or now < self._reopen_at:
            return
        self._reopen_at = now + REOPEN_AFTER
        self._deferred = []
        self._deferred_since = None
        if self._open() is None:
            log_event(Event.STORAGE_REOPENED)

    def _build_member(self) -> None:
        """Build the member and the replicated state from the content of the disk."""
        assert self._journal is not None
        stored = self._journal.stored
        self.member = Member(
            id=self._journal.member,
            stored=stored,
            timing=TIMING,
            chance=random.random,
            now=self._clock.monotonic(),
            saves_after_sending=True,
        )
        self.member.record_saved()
        self._log_bytes = sum(len(entry.data) for entry in stored.entries)
        self._state_machine.restore(stored.snapshot.data)
        for entry in stored.entries:
            if entry.index <= stored.applied:
                self._state_machine.apply(entry)
        self._record_members()

    def _process_output(self) -> None:
        """Save, send and apply what the member wants done; a leader may send before it saves."""
        while self.member is not None and self._journal is not None:
            output = self.member.take_output()
            if not (output.must_save or output.messages or output.committed):
                break
            if not self._save_or_defer(output):
                return
            for envelope in output.messages:
                self.messenger.post(envelope)
            if output.restore and output.snapshot is not None:
                self._state_machine.restore(output.snapshot.data)
                self._log_bytes = 0
                self.counts.snapshots += 1
                log_event(Event.SNAPSHOT_RESTORED, index=output.snapshot.index)
            for entry in output.committed:
                self._state_machine.apply(entry)
            if any(entry.kind is EntryKind.MEMBERS for entry in output.committed):
                self._record_members()
            self._compact(output)
        self._record_leader()
        self._on_progress()

    def _save_or_defer(self, output: Output) -> bool:
        """Save an output now, or defer that if it consists only of a leader's new entries.

        Returns False if the disk has failed.
        """
        assert self.member is not None
        if not output.must_save:
            return True
        self._log_bytes += sum(len(entry.data) for entry in output.entries)
        self.counts.entries += len(output.entries)
        only_entries = (
            output.hard_state is None and output.snapshot is None and output.truncate_from is None
        )
        if only_entries and self.member.role is Role.LEADER and not output.committed:
            self._deferred.append(output)
            if self._deferred_since is None:
                self._deferred_since = self._clock.monotonic()
            return True
        if not (self._write_deferred() and self._save(output)):
            return False
        self.member.record_saved()
        return True

    def _write_deferred(self) -> bool:
        """Save and sync the deferred entries, if any; return False if the disk has failed."""
        if not self._deferred:
            return True
        entries = [entry for output in self._deferred for entry in output.entries]
        self._deferred = []
        self._deferred_since = None
        return self._save(Output(entries=entries))

    def _save_deferred(self) -> None:
        """Save the deferred entries and count this member towards their majority."""
        if self._deferred and self._write_deferred() and self.member is not None:
            self.member.record_saved()
            self._process_output()

    def _save(self, output: Output) -> bool:
        """Save and sync; return False if the disk fails.

        This host then takes no part in the log, since it cannot promise to keep a vote or an entry.
        """
        assert self._journal is not None
        self.counts.syncs += 1
        saved = self._journal.save(output)
        if isinstance(saved, Success):
            return True
        _log_storage_error(saved.failure())
        self.member = None
        self._reopen_at = self._clock.monotonic() + REOPEN_AFTER
        self._on_progress()
        return False

    def _save_if_due(self, now: timedelta) -> None:
        """Save the deferred entries if their majority needs this disk, or after a time anyway."""
        if self._deferred_since is None or self.member is None:
            return
        waiting = now - self._deferred_since
        is_needed = self.member.commit < self.member.log.last_index and waiting >= SAVE_DELAY
        if is_needed or waiting >= MAX_SAVE_DELAY or self.member.role is not Role.LEADER:
            self._save_deferred()

    def _compact(self, output: Output) -> None:
        """Replace the applied entries by a snapshot if the log has become too large."""
        if not output.committed or self._log_bytes < COMPACT_AFTER_BYTES or self.member is None:
            return
        if not self._write_deferred():
            return
        self.member.record_saved()
        self.member.compact(self._state_machine.encode(), output.committed[-1].index)
        self._log_bytes = 0
        self.counts.snapshots += 1

    def _record_leader(self) -> None:
        """Log a change of leader or term; answers of earlier terms renew no lease from then on."""
        if self.member is None:
            return
        seen = (self.member.leader, self.member.term)
        if seen != self._seen_leader:
            self._seen_leader = seen
            self.counts.elections += 1
            self.messenger.forget_acks()
            log_event(Event.LEADER_CHANGED, leader=self.member.leader, term=self.member.term)

    def _record_members(self) -> None:
        if self.member is not None:
            self._membership.record_members(self.member.members)

    def _receive_messages(self, batch: ConsensusBatch) -> None:
        if self.member is None or not batch.messages:
            return
        for message in batch.messages:
            self.member.receive(message, self._clock.monotonic())
        self._process_output()

    # Timers

    async def _guard(self, work: Coroutine[None, None, None]) -> None:
        """Run a background task, and report any exception, which is a fault of the program."""
        try:
            await work
        except Exception as error:
            log_failure(Event.INVARIANT_BROKEN, error, during="replication")
            self._on_failure(error)

    async def _tick_forever(self) -> None:
        while True:
            now = self._clock.monotonic()
            self._reopen_if_due(now)
            self._save_if_due(now)
            if self.member is not None:
                self.member.tick(now)
                self._process_output()
            await asyncio.sleep(TICK_SECONDS)

    async def _maintain_membership_forever(self) -> None:
        """Bootstrap the log, admit hosts as leader, or ask to join."""
        while True:
            member = self.member
            if member is not None and member.role is Role.LEADER:
                self._change_members()
            elif member is not None and self._must_ask_to_join(member):
                await self._join_or_bootstrap()
            await asyncio.sleep(DISCOVERY_SECONDS)

    def _must_ask_to_join(self, member: Member) -> bool:
        """Whether this host must ask to join the log.

        Knowing a leader is not enough: a host with a new disk is a new member, but still gets the
        leader's messages to the member of its old disk.
        """
        return member.leader is None or not member.members.has(member.id)

    async def _join_or_bootstrap(self) -> None:
        assert self.member is not None and self._journal is not None
        hellos = await self._membership.ask_to_join(self.member.id)
        # This host may have been admitted, or its disk may have failed, in the meantime.
        if not self._journal.is_empty or self.member is None or self.member.members.voters:
            return
        members = self._membership.plan_bootstrap(self.build_hello(), hellos)
        if members is None:
            return
        # A new log begins with a snapshot of an empty state, which holds the first members.
        first = Snapshot(index=Index(1), term=Term(0), members=members, data="")
        if self._save(Output(snapshot=first, restore=True)):
            self._build_member()

    def _change_members(self) -> None:
        """Propose the next change, if any, towards a set of members that can all be reached.

        For example, a host that asks to join replaces a voter that has been silent for 4 s.
        """
        member = self.member
        assert member is not None
        now = self._clock.monotonic()
        planned = self._membership.plan_member_change(member, now)
        if planned is None:
            return
        changed = member.change_members(planned, now)
        if isinstance(changed, Success):
            voters = ", ".join(planned.voters)
            log_event(Event.MEMBERS_CHANGED, voters=voters, learners=", ".join(planned.learners))
        self._process_output()


def _log_storage_error(error: StorageError) -> None:
    event = Event.STORAGE_DAMAGED if error.damaged else Event.STORAGE_FAILED
    log_event(event, error=error.message)
