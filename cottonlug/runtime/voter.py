"""A voter: an entry host with a disk that takes part in the replicated log of configurations.

Entry hosts accept callers' jobs and schedule them by themselves; only their configuration is
replicated. They are not control hosts, whose log is another one (`replica`). A member is one host
with one disk: a host whose disk was replaced becomes another member.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine
from datetime import timedelta

from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.defaults import EntrySettings
from ..core.clock import Clock
from ..core.configuration import (
    ChangeCommand,
    ChangeOutcome,
    ConfigurationState,
    apply_change,
    decode_command,
    decode_state,
    encode_command,
    encode_state,
)
from ..core.consensus.member import Member
from ..core.consensus.replacement import get_host, plan_change
from ..core.consensus.timing import Timing
from ..core.consensus.types import (
    Entry,
    EntryKind,
    Envelope,
    Index,
    MemberId,
    Members,
    Output,
    Role,
    Snapshot,
    Term,
)
from ..core.control_messages import ConfigurationView, ConsensusBatch, Hello
from ..core.ids import HostId
from ..core.messages import Refusal
from ..net.clients import ApiClient
from ..storage.files import FolderFiles
from ..storage.journal import Journal, StorageError, open_journal
from .control import (
    CHANGE_TIMEOUT,
    ChangeNotifier,
    activate_rules,
    build_unknown_refusal,
    find_rules_problem,
)
from .events import Event, log_event
from .failures import log_failure
from .rulebook import Rulebook

TICK_SECONDS = 0.1
"""How often the member checks whether an election or a heartbeat is due."""
COMPACT_AFTER_ENTRIES = 500
"""Number of log entries at which a snapshot replaces them."""
VOTER_DISCOVERY_SECONDS = 5.0
"""How often the leader asks the other voters for their member ids, to find replaced disks."""
_BOOTSTRAP_DISCOVERY_SECONDS = 0.5
"""How often a voter without a log asks for them, to bootstrap it."""
STALE_AFTER = timedelta(seconds=2)
"""If no leader was known for longer, a newer configuration may be active elsewhere."""
_RETRY_SECONDS = 0.1
"""Pause after a batch of messages that could not be delivered."""
_CALL_TIMEOUT_SECONDS = 2.0


class Voter:
    """The member, journal and connections of one voter."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        clock: Clock,
        rulebook: Rulebook,
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.member: Member | None = None
        self._settings = settings
        self._clock = clock
        self._rulebook = rulebook
        self._on_failure = on_failure
        self._journal: Journal | None = None
        self._state = ConfigurationState()
        self._change_notifier = ChangeNotifier()
        self._pending_changes: dict[str, list[asyncio.Future[ChangeOutcome]]] = {}
        self._outbox: dict[str, ConsensusBatch] = {}
        self._has_messages: dict[str, asyncio.Event] = {}
        self._clients: dict[str, ApiClient] = {}
        self._change_clients: dict[str, ApiClient] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._connected_at: timedelta | None = None
        """When a leader was last known."""
        self._seen_leader: MemberId | None = None

    async def start(self) -> str | None:
        """Read the journal and join the log; return an error message, or None."""
        folder = self._settings.data_folder
        assert folder is not None, "checked with the settings"
        try:
            files = FolderFiles(folder=folder)
        except OSError as error:
            return f"cannot use the data folder {folder}: {error.strerror}"
        new_id = MemberId(f"{self._settings.host}/{secrets.token_hex(4)}")
        opened = open_journal(files, new_id)
        if isinstance(opened, Err):
            _report_storage(opened.failure())
            message: str = opened.failure().message
            return message
        self._journal = opened.unwrap()
        if self._journal.cut_bytes:
            log_event(Event.STORAGE_TORN, cut_bytes=self._journal.cut_bytes)
        for peer in self._settings.peers:
            if peer.host in self._settings.voters:
                self._clients[peer.host] = ApiClient(
                    address=peer.address,
                    token=self._settings.tokens.peers,
                    timeout_seconds=_CALL_TIMEOUT_SECONDS,
                )
                # A change waits for its decision, longer than a heartbeat may take.
                self._change_clients[peer.host] = ApiClient(
                    address=peer.address,
                    token=self._settings.tokens.peers,
                    timeout_seconds=CHANGE_TIMEOUT.total_seconds() + _CALL_TIMEOUT_SECONDS,
                )
                self._has_messages[peer.host] = asyncio.Event()
                self._tasks.append(asyncio.create_task(self._guard(self._send_forever(peer.host))))
        self._build_member()
        self._tasks.append(asyncio.create_task(self._guard(self._tick_forever())))
        self._tasks.append(asyncio.create_task(self._guard(self._discover_forever())))
        return None

    async def stop(self) -> None:
        """Transfer leadership to another voter if possible, and stop."""
        if self.member is not None and self.member.role is Role.LEADER and self._clients:
            self.member.transfer_leadership(self._clock.monotonic())
            self._process_output()
            # Leave time for the messages to be sent.
            await asyncio.sleep(TICK_SECONDS)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in (*self._clients.values(), *self._change_clients.values()):
            await client.close()

    def is_ready(self) -> bool:
        """Whether this disk's member belongs to the log and so has an agreed configuration."""
        return self.member is not None and self.member.members.has(self.member.id)

    def is_stale(self) -> bool:
        """Whether this voter has known no leader for longer than `STALE_AFTER`."""
        if self._connected_at is None:
            return True
        return self._clock.monotonic() - self._connected_at > STALE_AFTER

    # Calls from other hosts and operators

    def build_hello(self) -> Hello:
        """Return how this voter describes itself to others."""
        assert self._journal is not None, "started before it listens"
        return Hello(
            host=self._settings.host,
            member=self._journal.member,
            is_empty=self._journal.is_empty,
        )

    def receive(self, batch: ConsensusBatch) -> ConsensusBatch:
        """Process another member's messages and return the messages waiting for it."""
        self._receive_messages(batch)
        return self._pop_batch(get_host(batch.sender))

    async def change(self, command: ChangeCommand) -> Result[ChangeOutcome, Refusal]:
        """Propose a change here or through the leader, and wait for the decision."""
        known = self._state.outcomes.get(command.request_id)
        if known is not None:
            return Success(known)
        member = self.member
        if member is None or member.leader is None:
            return Err(build_unknown_refusal("no leader is known at the moment"))
        if member.role is not Role.LEADER:
            return await self._forward_change(member.leader, command)
        future: asyncio.Future[ChangeOutcome] = asyncio.get_running_loop().create_future()
        self._pending_changes.setdefault(command.request_id, []).append(future)
        member.propose(encode_command(command), self._clock.monotonic())
        self._process_output()
        await asyncio.wait([future], timeout=CHANGE_TIMEOUT.total_seconds())
        if future.done():
            return Success(future.result())
        return Err(build_unknown_refusal("no majority of the voters decided in time"))

    async def wait_view(self, after: int, seconds: float) -> ConfigurationView:
        """Return the active configuration; wait up to `seconds` for one newer than `after`."""
        if self._rulebook.version <= after:
            await self._change_notifier.wait(seconds)
        book = self._rulebook
        return ConfigurationView(version=book.version, text=book.text, is_stale=self.is_stale())

    # The member and its disk

    def _build_member(self) -> None:
        assert self._journal is not None
        stored = self._journal.stored
        self.member = Member(
            id=self._journal.member,
            stored=stored,
            timing=Timing(),
            chance=random.random,
            now=self._clock.monotonic(),
        )
        self._state = decode_state(stored.snapshot.data)
        for entry in stored.entries:
            if entry.index <= stored.applied:
                self._apply(entry)
        activate_rules(self._rulebook, self._state.version, self._state.text)

    def _process_output(self) -> None:
        """Save, send and apply the member's output, in this order."""
        while self.member is not None and self._journal is not None:
            output = self.member.take_output()
            if not (output.must_save or output.messages or output.committed):
                break
            if not self._save(output):
                return
            for envelope in output.messages:
                self._post(get_host(envelope.to), envelope)
            if output.restore and output.snapshot is not None:
                self._state = decode_state(output.snapshot.data)
                activate_rules(self._rulebook, self._state.version, self._state.text)
                self._change_notifier.notify()
            self._apply_committed(output)
        self._record_leader()

    def _save(self, output: Output) -> bool:
        assert self._journal is not None
        if not output.must_save:
            return True
        return self._check_saved(self._journal.save(output))

    def _check_saved(self, saved: Result[None, StorageError]) -> bool:
        """Return whether a save succeeded; if not, leave the quorum.

        A voter whose disk has failed can no longer keep its promises.
        """
        if isinstance(saved, Success):
            return True
        _report_storage(saved.failure())
        self.member = None
        return False

    def _apply_committed(self, output: Output) -> None:
        assert self.member is not None and self._journal is not None
        if not output.committed:
            return
        last = output.committed[-1].index
        if not self._check_saved(self._journal.save_applied(last)):
            return
        for entry in output.committed:
            self._apply(entry)
        activate_rules(self._rulebook, self._state.version, self._state.text)
        self._change_notifier.notify()
        log = self.member.log
        if log.last_index - log.snapshot.index > COMPACT_AFTER_ENTRIES:
            self.member.compact(encode_state(self._state), last)

    def _apply(self, entry: Entry) -> None:
        if entry.kind is not EntryKind.COMMAND:
            return
        outcome = apply_change(self._state, decode_command(entry.data), find_rules_problem)
        for future in self._pending_changes.pop(outcome.request_id, []):
            if not future.done():
                future.set_result(outcome)

    def _record_leader(self) -> None:
        if self.member is None:
            return
        if self.member.leader is not None:
            self._connected_at = self._clock.monotonic()
        if self.member.leader != self._seen_leader:
            self._seen_leader = self.member.leader
            log_event(Event.LEADER_CHANGED, leader=self._seen_leader, term=self.member.term)

    # Messages

    def _post(self, host: str, envelope: Envelope) -> None:
        assert self._journal is not None
        batch = self._outbox.get(host)
        if batch is None:
            batch = ConsensusBatch(sender=self._journal.member, messages=[])
            self._outbox[host] = batch
        batch.messages.append(envelope.message)
        if host in self._has_messages:
            self._has_messages[host].set()

    def _pop_batch(self, host: str) -> ConsensusBatch:
        assert self._journal is not None
        batch = self._outbox.pop(host, None)
        return batch or ConsensusBatch(sender=self._journal.member, messages=[])

    async def _send_forever(self, host: str) -> None:
        has_messages = self._has_messages[host]
        while True:
            await has_messages.wait()
            has_messages.clear()
            batch = self._pop_batch(host)
            if not batch.messages:
                continue
            client = self._clients[host]
            sent = await client.call("POST", "/v1/consensus", ConsensusBatch, batch)
            if isinstance(sent, Err):
                # The leader's next heartbeat makes up for lost messages.
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            self._receive_messages(sent.unwrap())

    def _receive_messages(self, batch: ConsensusBatch) -> None:
        for message in batch.messages:
            if self.member is not None:
                self.member.receive(message, self._clock.monotonic())
        self._process_output()

    async def _forward_change(
        self, leader: MemberId, command: ChangeCommand
    ) -> Result[ChangeOutcome, Refusal]:
        client = self._change_clients.get(get_host(leader))
        if client is None:
            return Err(build_unknown_refusal(f"the leader {leader} is not among the peers"))
        sent = await client.call("POST", "/v1/control/change", ChangeOutcome, command)
        if isinstance(sent, Err):
            return Err(build_unknown_refusal(f"the leader {leader} did not answer"))
        return Success(sent.unwrap())

    # Timers

    async def _guard(self, work: Coroutine[None, None, None]) -> None:
        """Run a background task; an exception in it stops the process."""
        try:
            await work
        except Exception as error:
            log_failure(Event.INVARIANT_BROKEN, error, during="replication")
            self._on_failure(error)

    async def _tick_forever(self) -> None:
        while True:
            if self.member is not None:
                self.member.tick(self._clock.monotonic())
                self._process_output()
            await asyncio.sleep(TICK_SECONDS)

    async def _discover_forever(self) -> None:
        """Fetch the current member ids of all voters to bootstrap the log or replace members."""
        while True:
            member = self.member
            is_new = member is not None and not member.members.voters
            is_leader = member is not None and member.role is Role.LEADER
            if is_new or is_leader:
                hellos = await self._fetch_hellos()
                if is_new:
                    self._bootstrap(hellos)
                elif is_leader:
                    self._replace_members(hellos)
            await asyncio.sleep(_BOOTSTRAP_DISCOVERY_SECONDS if is_new else VOTER_DISCOVERY_SECONDS)

    async def _fetch_hellos(self) -> dict[HostId, Hello]:
        hellos = {self._settings.host: self.build_hello()}
        for host, client in self._clients.items():
            reply = await client.call("GET", "/v1/control/hello", Hello, None)
            if isinstance(reply, Success):
                hellos[HostId(host)] = reply.unwrap()
        return hellos

    def _bootstrap(self, hellos: dict[HostId, Hello]) -> None:
        """Create the first set of members once all voters answer and all their disks are new.

        Only the first of the voters by name does so.
        """
        voters = sorted(self._settings.voters)
        is_first = voters[0] == self._settings.host
        all_new = all(host in hellos and hellos[host].is_empty for host in voters)
        if not is_first or not all_new or self._journal is None:
            return
        members = Members(voters=tuple(hellos[host].member for host in voters))
        first = Snapshot(index=Index(1), term=Term(0), members=members, data="")
        if self._check_saved(self._journal.save(Output(snapshot=first, restore=True))):
            self._build_member()

    def _replace_members(self, hellos: dict[HostId, Hello]) -> None:
        """As leader, take the next step towards the members that the voters' disks now have."""
        if self.member is None:
            return
        current = {str(host): hello.member for host, hello in hellos.items()}
        planned = plan_change(self.member, current)
        if planned is not None:
            self.member.change_members(planned, self._clock.monotonic())
            self._process_output()


def _report_storage(error: StorageError) -> None:
    event = Event.STORAGE_DAMAGED if error.damaged else Event.STORAGE_FAILED
    log_event(event, error=error.message)
