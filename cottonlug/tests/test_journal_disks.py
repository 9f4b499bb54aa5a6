"""What a member has relied on stays saved, whatever the disk does with unsynced writes.

Failure pattern: a process is killed between a write and its sync, restarts, reads back what it had
written and counts its own copy towards a majority; then the power fails, and the write never
reached the disk.
"""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err

from ..core.consensus.types import (
    Entry,
    EntryKind,
    HardState,
    Index,
    MemberId,
    Members,
    Output,
    Snapshot,
    Stored,
    Term,
)
from ..storage import files as files_module
from ..storage.files import FolderFiles
from ..storage.journal import Journal, open_journal
from .model_disk import FOLDER_NAME, ModelDisk, ProcessKilled

STEPS = 30


class DiskFiles(FolderFiles):
    """The real `FolderFiles` on a model of its disk."""

    def __init__(self, disk: ModelDisk) -> None:
        self._disk = disk
        self._folder = Path("/") / FOLDER_NAME
        self._open = {}

    def read(self, name: str) -> bytes | None:
        return self._disk.read(name)


class Guarantees:
    """What a member has relied on, so that it must still be on its disk."""

    def __init__(self) -> None:
        self.member: MemberId | None = None
        self.term = Term(0)
        self.entries: dict[Index, Entry] = {}
        self.first = Index(1)
        """Index of the first entry after the snapshot."""

    def update(self, stored: Stored, member: MemberId) -> None:
        self.member = member
        self.term = stored.hard_state.term
        self.first = Index(stored.snapshot.index + 1)
        self.entries = {entry.index: entry for entry in stored.entries}

    def find_violation(self, journal: Journal) -> str:
        """Return what a reopened journal lacks, or an empty string."""
        stored = journal.stored
        if self.member is not None and journal.member != self.member:
            return f"member {self.member} is {journal.member}"
        if stored.hard_state.term < self.term:
            return f"term {self.term} is {stored.hard_state.term}"
        stored_entries = {entry.index: entry for entry in stored.entries}
        lost = [
            index
            for index, entry in self.entries.items()
            if index > stored.snapshot.index and stored_entries.get(index) != entry
        ]
        return f"lost entries {lost}" if lost else ""


class DiskScenario:
    """Random saves, process kills, power failures and full disks of one host."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.disk = ModelDisk(self.chance)
        self.guarantees = Guarantees()
        self.journal: Journal | None = None
        self.open_count = 0
        self.number = 0

    def open(self) -> None:
        self.open_count += 1
        opened = open_journal(DiskFiles(self.disk), MemberId(f"m{self.open_count}"))
        if isinstance(opened, Err):
            assert not opened.failure().damaged, opened.failure().message
            return
        self.journal = opened.unwrap()
        violation = self.guarantees.find_violation(self.journal)
        assert not violation, violation
        self.guarantees.update(self.journal.stored, self.journal.member)

    def save(self) -> None:
        journal = self.journal
        assert journal is not None
        self.number += 1
        stored = journal.stored
        last = max([stored.snapshot.index, *(entry.index for entry in stored.entries)])
        term = Term(stored.hard_state.term + 1)
        output = Output(hard_state=HardState(term=term))
        draw = self.chance.random()
        if draw < 0.15 and stored.entries:
            output.truncate_from = Index(last)
            last = Index(last - 1)
        output.entries = [
            Entry(
                index=Index(last + 1 + number),
                term=term,
                kind=EntryKind.COMMAND,
                data=f"{self.number}.{number} " + "x" * self.chance.choice((5, 90)),
            )
            for number in range(self.chance.randint(0, 3))
        ]
        if draw > 0.85 and stored.entries:
            at = stored.entries[0].index
            output.snapshot = Snapshot(
                index=at, term=term, members=Members(voters=()), data="state"
            )
        # After a failed save, the new term or the truncation may still have reached the disk.
        self.guarantees.entries = {
            index: entry
            for index, entry in self.guarantees.entries.items()
            if output.truncate_from is None or index < output.truncate_from
        }
        if isinstance(journal.save(output), Err):
            self.journal = None
            return
        self.guarantees.update(journal.stored, journal.member)

    def run(self) -> None:
        for _ in range(STEPS):
            self.disk.kill_rate = self.chance.choice((0.0, 0.05, 0.2))
            self.disk.failure_rate = self.chance.choice((0.0, 0.0, 0.1))
            try:
                if self.journal is None:
                    self.open()
                else:
                    self.save()
            except ProcessKilled:
                self.journal = None
                self.disk.end_process()
            if self.chance.random() < 0.15:
                self.journal = None
                self.disk.lose_power()
        self.disk.kill_rate = self.disk.failure_rate = 0.0
        self.disk.lose_power()
        self.open()


def run_scenario(seed: int) -> DiskScenario:
    patch = pytest.MonkeyPatch()
    scenario = DiskScenario(seed)
    patch.setattr(files_module, "os", scenario.disk)
    try:
        scenario.run()
    finally:
        patch.undo()
    return scenario


@settings(max_examples=200, derandomize=True, deadline=None)
@given(seed=st.integers(0, 1 << 32))
def test_saved_state_survives_process_kills_and_power_failures(
    seed: int,
) -> None:
    run_scenario(seed)
