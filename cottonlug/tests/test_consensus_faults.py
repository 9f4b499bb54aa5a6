"""Long random runs of the replicated configuration over a faulty network and faulty disks.

Members, journal and configuration state are the real ones. The network loses, delays, repeats and
reorders messages; processes crash at any write; disks lose unsynced data or are lost entirely.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

import pytest
from returns.result import Success

from ..core.configuration import (
    ChangeCommand,
    ChangeOutcome,
    ConfigurationState,
    Decision,
    apply_change,
    decode_command,
    decode_state,
    encode_command,
    encode_state,
)
from ..core.consensus.member import Member
from ..core.consensus.replacement import plan_change
from ..core.consensus.timing import Timing
from ..core.consensus.types import (
    Entry,
    EntryKind,
    Envelope,
    HardState,
    Index,
    MemberId,
    Members,
    Output,
    Role,
    Snapshot,
    Term,
)
from ..storage.journal import JOURNAL_FILE, Journal, open_journal

HOSTS = ("a", "b", "c")
STEPS = 6_000
"""Random actions in one run."""
COMPACT_AFTER = 20
"""Number of entries after which a member replaces them by a snapshot."""


class CrashError(Exception):
    """The process crashes during a write."""


class FakeFiles:
    """A folder in memory; the process may crash during a write, of which a part is then kept.

    `crash_rate` is the share of writes with a crash; with `full` every write fails.
    """

    def __init__(self, chance: random.Random) -> None:
        self.content: dict[str, bytes] = {}
        self.crash_rate = 0.0
        self.full = False
        self._chance = chance

    def read(self, name: str) -> bytes | None:
        return self.content.get(name)

    def append(self, name: str, data: bytes) -> None:
        old = self.content.get(name, b"")
        if self.full:
            raise OSError(28, "No space left on device")
        if self._chance.random() < self.crash_rate:
            kept = self._chance.randint(0, len(data))
            filler = b"\0" * self._chance.choice([0, 0, 16, len(data) - kept])
            self.content[name] = old + data[:kept] + filler
            raise CrashError
        self.content[name] = old + data

    def sync(self, name: str) -> None:
        pass

    def truncate(self, name: str, size: int) -> None:
        self.content[name] = self.content[name][:size]

    def replace(self, name: str, data: bytes) -> None:
        if self.full:
            raise OSError(28, "No space left on device")
        if self._chance.random() < self.crash_rate:
            if self._chance.random() < 0.5:
                self.content[name] = data
            raise CrashError
        self.content[name] = data


@dataclass(slots=True)
class Node:
    """One host: its disk, and its process while that runs.

    `seen_version` is the newest configuration that it has applied from its present disk.
    """

    host: str
    files: FakeFiles
    journal: Journal | None = None
    member: Member | None = None
    state: ConfigurationState = field(default_factory=ConfigurationState)
    seen_version: int = 0


class Cluster:
    """Three hosts, the messages between them, and all outcomes that operators may know so far.

    `isolated` hosts reach no host outside that set. `committed` and `leaders` are what any member
    was ever seen to commit at an index, and to lead in a term.
    """

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now = timedelta()
        self.ids_built = 0
        self.network: list[Envelope] = []
        self.isolated: set[str] = set()
        self.leaders: dict[Term, MemberId] = {}
        self.committed: dict[Index, Entry] = {}
        self.known_outcomes: dict[str, ChangeOutcome] = {}
        self.proposed: dict[str, ChangeCommand] = {}
        self.nodes = {host: Node(host, FakeFiles(self.chance)) for host in HOSTS}
        ids = [self.build_id(host) for host in HOSTS]
        for node, id in zip(self.nodes.values(), ids, strict=True):
            journal = open_journal(node.files, id).unwrap()
            if node.host == HOSTS[0]:
                members = Members(voters=tuple(ids))
                first = Snapshot(index=Index(1), term=Term(0), members=members, data="")
                journal.save(Output(snapshot=first, restore=True)).unwrap()
            self.start(node)

    def build_id(self, host: str) -> MemberId:
        self.ids_built += 1
        return MemberId(f"{host}/{self.ids_built}")

    # Processes

    def start(self, node: Node) -> None:
        node.files.crash_rate = 0.0
        node.files.full = False
        node.journal = open_journal(node.files, self.build_id(node.host)).unwrap()
        stored = node.journal.stored
        node.member = Member(
            id=node.journal.member,
            stored=stored,
            timing=Timing(),
            chance=self.chance.random,
            now=self.now,
        )
        node.state = decode_state(stored.snapshot.data)
        for entry in stored.entries:
            if entry.index <= stored.applied:
                self.apply(node, entry)
        assert node.state.version >= node.seen_version, "a restart reverted the configuration"

    def stop(self, node: Node) -> None:
        node.member = None
        node.journal = None

    def process_output(self, node: Node) -> None:
        """Save, send and apply a member's output, in this order."""
        try:
            while node.member is not None and node.journal is not None:
                output = node.member.take_output()
                if not (output.must_save or output.messages or output.committed):
                    return
                if output.must_save and not isinstance(node.journal.save(output), Success):
                    self.stop(node)
                    return
                self.network += output.messages
                if output.restore and output.snapshot is not None:
                    node.state = decode_state(output.snapshot.data)
                self.apply_committed(node, output)
        except CrashError:
            self.stop(node)

    def apply_committed(self, node: Node, output: Output) -> None:
        assert node.journal is not None and node.member is not None
        if output.committed:
            saved = node.journal.save_applied(output.committed[-1].index)
            if not isinstance(saved, Success):
                self.stop(node)
                return
        for entry in output.committed:
            known = self.committed.setdefault(entry.index, entry)
            assert known == entry, "two members committed different entries"
            self.apply(node, entry)
        assert node.state.version >= node.seen_version, "a version went down"
        node.seen_version = node.state.version
        log = node.member.log
        if output.committed and log.last_index - log.snapshot.index > COMPACT_AFTER:
            node.member.compact(encode_state(node.state), output.committed[-1].index)

    def apply(self, node: Node, entry: Entry) -> None:
        if entry.kind is not EntryKind.COMMAND:
            return
        outcome = apply_change(node.state, decode_command(entry.data), lambda _: None)
        known = self.known_outcomes.setdefault(outcome.request_id, outcome)
        assert known == outcome, "an operator was given a different outcome before"

    # Random actions and faults

    def step(self) -> None:
        node = self.chance.choice(list(self.nodes.values()))
        number = self.chance.random()
        if number < 0.68:
            self.deliver()
        elif number < 0.86:
            self.now += timedelta(milliseconds=self.chance.choice([1, 5, 5, 20, 20, 300]))
            self.for_each_running(lambda member: member.tick(self.now))
        elif number < 0.92:
            self.propose(node)
        elif number < 0.924:
            node.files.crash_rate = 0.5
        elif number < 0.925:
            node.files.full = True
        elif number < 0.927:
            self.stop(node)
        elif number < 0.987:
            if node.member is None:
                self.start(node)
        elif number < 0.992:
            self.lose_disk(node)
        elif number < 0.996:
            self.isolated = {node.host} if not self.isolated else set()
        elif node.member is not None:
            node.member.transfer_leadership(self.now)
        self.replace_lost_disks()
        for each in self.nodes.values():
            self.process_output(each)
        self.check_leaders()

    def deliver(self) -> None:
        if not self.network:
            return
        at = self.chance.randrange(len(self.network))
        envelope = self.network[at]
        if self.chance.random() > 0.05:
            self.network.pop(at)
        if self.chance.random() < 0.05:
            return
        sender = envelope.message.sender.partition("/")[0]
        node = self.nodes[envelope.to.partition("/")[0]]
        is_isolated = (sender in self.isolated) != (node.host in self.isolated)
        if is_isolated or node.member is None or node.member.id != envelope.to:
            return
        node.member.receive(envelope.message, self.now)

    def propose(self, node: Node) -> None:
        if node.member is None:
            return
        if self.proposed and self.chance.random() < 0.3:
            command = self.chance.choice(list(self.proposed.values()))
        else:
            name = f"r{len(self.proposed)}"
            command = ChangeCommand(
                request_id=name, base_version=node.state.version, text=f"# {name}"
            )
            self.proposed[name] = command
        node.member.propose(encode_command(command), self.now)

    def lose_disk(self, node: Node) -> None:
        """Lose one disk if the two others run and hold everything that was committed.

        The log does not promise to survive more.
        """
        others = [each for each in self.nodes.values() if each is not node]
        if node.member is None or any(each.member is None for each in others):
            return
        members = [each.member for each in others if each.member is not None]
        newest = max(self.committed, default=Index(0))
        voters = members[0].members.voters
        if len(voters) < 3 or any(
            member.id not in voters or member.commit < newest or member.members.voters != voters
            for member in members
        ):
            return
        self.stop(node)
        node.files.content = {}
        node.seen_version = 0
        self.start(node)

    def replace_lost_disks(self) -> None:
        ids = {node.host: node.member.id for node in self.nodes.values() if node.member is not None}
        for node in self.nodes.values():
            if node.member is not None and node.member.role is Role.LEADER:
                planned = plan_change(node.member, ids)
                if planned is not None:
                    node.member.change_members(planned, self.now)

    def for_each_running(self, action: object) -> None:
        for node in self.nodes.values():
            if node.member is not None:
                action(node.member)  # type: ignore[operator]
                self.process_output(node)

    def propose_last(self) -> None:
        leaders = [
            node
            for node in self.nodes.values()
            if node.member is not None and node.member.role is Role.LEADER
        ]
        node = max(leaders, key=lambda each: each.member.term if each.member else 0)
        assert node.member is not None
        last = ChangeCommand(request_id="last", base_version=node.state.version, text="# last")
        node.member.propose(encode_command(last), self.now)

    # Invariants

    def check_leaders(self) -> None:
        for node in self.nodes.values():
            member = node.member
            if member is not None and member.role is Role.LEADER:
                known = self.leaders.setdefault(member.term, member.id)
                assert known == member.id, "one term has one leader"

    def run_without_faults(self) -> None:
        """Check that without faults all hosts reach the newest configuration."""
        self.isolated = set()
        for node in self.nodes.values():
            if node.member is None:
                self.start(node)
            node.files.crash_rate = 0.0
            node.files.full = False
        for round in range(600):
            if round == 400:
                self.propose_last()
            self.now += timedelta(milliseconds=50)
            self.for_each_running(lambda member: member.tick(self.now))
            self.replace_lost_disks()
            batch, self.network = self.network, []
            for envelope in batch:
                node = self.nodes[envelope.to.partition("/")[0]]
                if node.member is not None and node.member.id == envelope.to:
                    node.member.receive(envelope.message, self.now)
                    self.process_output(node)
            for node in self.nodes.values():
                self.process_output(node)
            self.check_leaders()
            for node in self.nodes.values():
                if node.member is None:
                    self.start(node)
        versions = {node.state.version for node in self.nodes.values()}
        assert len(versions) == 1, versions
        for request, outcome in self.known_outcomes.items():
            final = self.nodes[HOSTS[0]].state.outcomes[request]
            assert final == outcome, "an accepted change was lost"
        accepted = [o for o in self.known_outcomes.values() if o.decision is Decision.ACCEPTED]
        numbers = [outcome.version for outcome in accepted]
        assert len(numbers) == len(set(numbers)), "one number was given to two changes"
        assert max(numbers, default=0) == versions.pop()


# With the last two seeds an acknowledged entry was lost to a delayed snapshot.
@pytest.mark.parametrize("seed", [*range(60), 30_495, 33_476])
def test_configuration_survives_faults(seed: int) -> None:
    cluster = Cluster(seed)
    for _ in range(STEPS):
        cluster.step()
    cluster.run_without_faults()
    assert (
        cluster.known_outcomes["last"].decision is Decision.ACCEPTED
    ), "a healed cluster must accept changes"


def test_random_runs_include_conflicts_snapshots_and_replaced_disks() -> None:
    counts: Counter[str] = Counter()
    for seed in range(200, 212):
        cluster = Cluster(seed)
        for _ in range(STEPS):
            cluster.step()
        cluster.run_without_faults()
        counts["restarts"] += cluster.ids_built > 2 * len(HOSTS)
        counts["leaders"] += len(cluster.leaders) > 2
        for node in cluster.nodes.values():
            assert node.member is not None
            counts["snapshots"] += node.member.log.snapshot.index > 1
            counts["replaced"] += not node.files.content[JOURNAL_FILE].startswith(b"none") and (
                node.member.id.partition("/")[2] not in ("1", "2", "3")
            )
        for outcome in cluster.known_outcomes.values():
            counts[outcome.decision.value] += 1
    for kind in ("accepted", "conflict", "snapshots", "leaders", "replaced"):
        assert counts[kind] > 0, kind


def test_journal_of_a_new_disk_holds_no_vote() -> None:
    files = FakeFiles(random.Random(1))
    journal = open_journal(files, MemberId("a/1")).unwrap()
    assert journal.is_empty
    assert journal.stored.hard_state == HardState(term=Term(0))
