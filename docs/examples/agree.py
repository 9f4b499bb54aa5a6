"""Three members of the replicated log in one program: elect a leader and agree on two commands.

Run with `python docs/examples/agree.py`. A real program would save each output before it sends the
messages; this one keeps everything in memory.
"""

from __future__ import annotations

import random
from datetime import timedelta

from cottonlug.core.consensus.member import Member
from cottonlug.core.consensus.timing import Timing
from cottonlug.core.consensus.types import (
    Entry,
    EntryKind,
    HardState,
    Index,
    MemberId,
    Members,
    Role,
    Snapshot,
    Stored,
    Term,
)

IDS = (MemberId("a/1"), MemberId("b/1"), MemberId("c/1"))
STEP = timedelta(milliseconds=50)


def build_member(id: MemberId, chance: random.Random) -> Member:
    """Return a member with an empty log that knows the two others."""
    first = Snapshot(index=Index(0), term=Term(0), members=Members(voters=IDS), data="")
    stored = Stored(hard_state=HardState(term=Term(0)), snapshot=first)
    return Member(id=id, stored=stored, timing=Timing(), chance=chance.random, now=timedelta())


def pump(members: dict[MemberId, Member], now: timedelta) -> list[Entry]:
    """Deliver every message and return what the first member saw committed."""
    committed: list[Entry] = []
    for member in members.values():
        output = member.take_output()
        # Save and sync output.hard_state, .snapshot, .truncate_from and .entries here.
        for envelope in output.messages:
            members[envelope.to].receive(envelope.message, now)
        if member.id == IDS[0]:
            committed += output.committed
    return committed


def main() -> None:
    """Run until two commands are committed."""
    chance = random.Random(1)
    members = {id: build_member(id, chance) for id in IDS}
    now = timedelta()
    commands = ["open the gate", "weigh the lorry"]
    seen: list[str] = []
    while len(seen) < 2:
        now += STEP
        for member in members.values():
            member.tick(now)
            if member.role is Role.LEADER and commands:
                member.propose(commands.pop(0), now)
        entries = pump(members, now)
        seen += [entry.data for entry in entries if entry.kind is EntryKind.COMMAND]
    print(f"agreed after {now.total_seconds():.2f} s of passed-in time: {seen}")


if __name__ == "__main__":
    main()
