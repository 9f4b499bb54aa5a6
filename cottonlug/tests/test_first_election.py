"""The time to the first election after all control hosts have started simultaneously."""

from __future__ import annotations

import heapq
import itertools
import random
from datetime import timedelta

from ..core.consensus.member import Member
from ..core.consensus.types import (
    HardState,
    Index,
    MemberId,
    Members,
    Role,
    Snapshot,
    Stored,
    Term,
)
from ..runtime.replica import TICK_SECONDS, TIMING
from .model_upstreams import milliseconds

SEEDS = 200
VOTERS = 7
SYNC_MS = 9.0
MAX_ELECTION_TIME = milliseconds(300)
"""Includes one split vote; all voters used to wait for 350 to 700 ms after one."""


def measure_first_election(seed: int) -> timedelta:
    """Return when the first of seven voters that start within 3 ms becomes leader."""
    chance = random.Random(seed)
    voters = tuple(MemberId(f"{name}/1") for name in "abcdefg"[:VOTERS])
    snapshot = Snapshot(index=Index(1), term=Term(0), members=Members(voters=voters), data="")
    stored = Stored(hard_state=HardState(term=Term(1)), snapshot=snapshot, entries=())
    members: dict[MemberId, Member] = {}
    events: list[tuple[timedelta, int, MemberId, object]] = []
    counter = itertools.count()

    def plan(at: timedelta, member: MemberId, message: object) -> None:
        heapq.heappush(events, (at, next(counter), member, message))

    for voter in voters:
        plan(milliseconds(chance.uniform(0, 3)), voter, "start")
    while True:
        now, _, voter, message = heapq.heappop(events)
        if message == "start":
            members[voter] = Member(
                id=voter, stored=stored, timing=TIMING, chance=chance.random, now=now
            )
        member = members.get(voter)
        if member is None:
            # The member has not started yet.
            continue
        if message in ("start", "tick"):
            member.tick(now)
            plan(now + timedelta(seconds=TICK_SECONDS), voter, "tick")
        else:
            member.receive(message, now)  # type: ignore[arg-type]
        if member.role is Role.LEADER:
            return now
        output = member.take_output()
        saved = now + milliseconds(SYNC_MS) if output.must_save else now
        for envelope in output.messages:
            plan(saved + milliseconds(chance.uniform(1, 4)), envelope.to, envelope.message)


def test_leader_is_elected_soon_after_a_split_vote() -> None:
    """All control hosts lose power together and start within 3 ms of each other.

    In 31 of these 200 starts several voters campaigned at once and none won four votes. All then
    waited as long as for a lost leader, and no caller was served.
    """
    election_times = sorted(measure_first_election(seed) for seed in range(SEEDS))
    assert election_times[int(0.95 * SEEDS)] <= MAX_ELECTION_TIME
