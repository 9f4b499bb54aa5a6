"""A replica and its disk: late saves, replaced hosts, and temporary disk failures."""

from __future__ import annotations

import asyncio
import random
from datetime import timedelta
from pathlib import Path

import pytest

from ..config.options import Address
from ..core.cluster.commands import ForgetJobs, SetDraining, encode_commands
from ..core.consensus.member import Member
from ..core.consensus.replacement import compute_max_voters, plan_change, plan_removal
from ..core.consensus.timing import Timing
from ..core.consensus.types import (
    AppendReply,
    HardState,
    Index,
    MemberId,
    Members,
    Role,
    Snapshot,
    Stored,
    Term,
    VoteReply,
)
from ..core.control_messages import Hello
from ..core.ids import HostId, UpstreamId
from ..net.connections import ConnectionPools
from ..runtime.clocks import SystemClock
from ..runtime.membership import Membership
from ..runtime.replica import Replica, ReplicaSettings
from ..runtime.replicated import ReplicatedRecords

A, B, C, D = (MemberId(f"10.0.0.{number}:1/x") for number in range(1, 5))
NOW = timedelta(seconds=100)


def build_leader(*voters: MemberId) -> Member:
    """Return a member that all voters have just elected."""
    members = Members(voters=voters)
    snapshot = Snapshot(index=Index(1), term=Term(0), members=members, data="")
    stored = Stored(hard_state=HardState(term=Term(0)), snapshot=snapshot)
    member = Member(
        id=A,
        stored=stored,
        timing=Timing(),
        chance=lambda: 0.0,
        now=timedelta(),
        saves_after_sending=True,
    )
    member.tick(NOW)
    for pre in (True, False):
        for voter in voters[1:]:
            reply = VoteReply(term=Term(1), sender=voter, granted=True, pre=pre)
            member.receive(reply, NOW)
    assert member.role is Role.LEADER
    member.take_output()
    return member


def acknowledge(member: Member, sender: MemberId, index: int) -> None:
    reply = AppendReply(term=member.term, sender=sender, accepted=True, matched=Index(index))
    member.receive(reply, NOW)


def test_leader_counts_itself_only_after_its_own_sync() -> None:
    member = build_leader(A, B, C)
    last = member.log.last_index
    acknowledge(member, B, last)
    assert member.commit < last, "only one disk of three has the entry"
    member.record_saved()
    assert member.commit == last


def test_entry_commits_without_the_leaders_own_disk() -> None:
    member = build_leader(A, B, C)
    last = member.log.last_index
    acknowledge(member, B, last)
    acknowledge(member, C, last)
    assert member.commit == last


def test_new_host_replaces_a_lost_voter() -> None:
    member = build_leader(A, B, C)
    last = member.log.last_index
    for voter in (B, C):
        acknowledge(member, voter, last)
    current = {"10.0.0.4:1": D}
    planned = plan_change(member, current, lost=[C])
    assert planned is not None
    assert planned.learners == (D,)
    member.change_members(planned, NOW)
    last = member.log.last_index
    for voter in (B, C, D):
        acknowledge(member, voter, last)
    planned = plan_change(member, current, lost=[C])
    assert planned is not None
    assert planned.voters == (A, B)
    assert plan_removal(member, lost=[C]) is None, "three voters are not reduced to two"


def apply_member_changes(
    member: Member, hosts: dict[str, MemberId], lost: tuple[MemberId, ...] = ()
) -> None:
    """Make all membership changes until all members are reachable; all acknowledge each change."""
    for _ in range(20):
        most = compute_max_voters(member.members, lost)
        planned = plan_change(member, hosts, lost, most)
        if planned is None:
            return
        member.change_members(planned, NOW)
        last = member.log.last_index
        for each in (*member.members.voters, *member.members.learners):
            if each != A and each not in lost:
                acknowledge(member, each, last)
        member.record_saved()
    raise AssertionError("the membership changes do not end")


def name_hosts(first: int, last: int) -> dict[str, MemberId]:
    hosts = [f"10.0.0.{number}:1" for number in range(first, last + 1)]
    return {host: MemberId(f"{host}/x") for host in hosts}


@pytest.mark.parametrize(("hosts", "voters"), [(4, 3), (5, 5), (6, 5), (8, 7), (10, 7)])
def test_voter_count_stays_odd_so_that_a_split_leaves_a_majority(hosts: int, voters: int) -> None:
    """Eight voters that a network partition splits 4 to 4 had no leader for 7 s."""
    member = build_leader(A, B, C)
    for voter in (B, C):
        acknowledge(member, voter, member.log.last_index)
    apply_member_changes(member, name_hosts(4, hosts))
    assert len(member.members.voters) == voters
    assert len(member.members.learners) == hosts - voters


def test_learner_replaces_a_lost_voter() -> None:
    member = build_leader(A, B, C)
    for voter in (B, C):
        acknowledge(member, voter, member.log.last_index)
    apply_member_changes(member, name_hosts(4, 6))
    (learner,) = member.members.learners
    lost = next(voter for voter in member.members.voters if voter not in (A, B))
    apply_member_changes(member, name_hosts(4, 6), (lost,))
    assert learner in member.members.voters
    assert lost not in member.members.voters
    assert len(member.members.voters) == 5


def test_lost_fourth_voter_is_removed() -> None:
    member = build_leader(A, B, C, D)
    planned = plan_removal(member, lost=[D])
    assert planned is not None
    assert planned.voters == (A, B, C)


def test_late_saves_never_commit_an_entry_held_by_one_disk() -> None:
    chance = random.Random(1)
    member = build_leader(A, B, C)
    saved, acknowledged = 1, {B: 1, C: 1}
    for _ in range(500):
        member.propose("x", NOW)
        if chance.random() < 0.2:
            member.record_saved()
            saved = member.log.last_index
        for voter in (B, C):
            if chance.random() < 0.3:
                acknowledged[voter] = chance.randint(acknowledged[voter], member.log.last_index)
                acknowledge(member, voter, acknowledged[voter])
        disks = sorted([saved, *acknowledged.values()])
        assert member.commit <= disks[1]


async def wait_until(condition) -> None:  # type: ignore[no-untyped-def]
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


def build_replica(folder: Path, replicated: ReplicatedRecords) -> Replica:
    address = Address("127.0.0.1", 9)
    settings = ReplicaSettings(
        address=address, seeds=(address,), may_begin=True, data_folder=folder
    )

    def fail(error: BaseException) -> None:
        raise error

    return Replica(
        settings=settings,
        clock=SystemClock(),
        state_machine=replicated,
        on_progress=lambda: None,
        on_failure=fail,
    )


def test_temporary_disk_failure_loses_no_committed_entry(tmp_path: Path) -> None:
    """After a full disk the host stayed out of the quorum until it was restarted."""

    async def play() -> None:
        replicated = ReplicatedRecords()
        replica = build_replica(tmp_path, replicated)
        assert await replica.start() is None
        await wait_until(lambda: replica.is_leader)
        seen: list[object] = []
        replicated.listener = seen.append
        accepted = SetDraining(upstream=UpstreamId("kept"))
        replica.propose(encode_commands((accepted,)))
        await wait_until(lambda: accepted in seen)
        journal = replica._journal
        assert journal is not None

        def fail_to_write(name: str, data: bytes) -> None:
            raise OSError(28, "No space left on device")

        journal._files.append = fail_to_write  # type: ignore[method-assign]
        replica.propose(encode_commands((ForgetJobs(jobs=()),)))
        await wait_until(lambda: replica.member is None)
        await wait_until(lambda: replica.is_leader)
        seen.clear()
        later = SetDraining(upstream=UpstreamId("later"))
        await wait_until(lambda: replicated.ready_term == replica.term)
        replica.propose(encode_commands((later,)))
        await wait_until(lambda: later in seen)
        member = replica.member
        assert member is not None
        assert any("kept" in entry.data for entry in member.log.read(Index(2), 100))
        await replica.stop()

    asyncio.run(play())


def test_entries_saved_with_a_vote_count_immediately(tmp_path: Path) -> None:
    """Entries saved together with a vote were not counted until a later save."""

    async def play() -> None:
        replicated = ReplicatedRecords()
        replica = build_replica(tmp_path, replicated)
        assert await replica.start() is None
        await wait_until(lambda: replica.is_leader)
        await wait_until(lambda: replicated.ready_term == replica.term)
        await replica.stop()
        again = build_replica(tmp_path, replicated)
        assert await again.start() is None
        await wait_until(lambda: again.is_leader)
        await wait_until(lambda: replicated.ready_term == again.term)
        await again.stop()

    asyncio.run(play())


def build_hello(number: int, *, is_empty: bool = True, may_begin: bool = True) -> Hello:
    host = f"10.0.0.{number}:1"
    member = MemberId(f"{host}/x")
    return Hello(host=HostId(host), member=member, is_empty=is_empty, may_begin=may_begin)


def build_membership(own: int) -> Membership:
    seeds = tuple(Address(f"10.0.0.{number}", 1) for number in (1, 2, 3))
    return Membership(own=Address(f"10.0.0.{own}", 1), seeds=seeds, pools=ConnectionPools())


def test_only_the_first_seed_bootstraps_once_all_seeds_are_new() -> None:
    first, second, third = (build_hello(number) for number in (1, 2, 3))
    planned = build_membership(1).plan_bootstrap(first, [second, third])
    assert planned is not None
    assert planned.voters == (first.member, second.member, third.member)
    assert build_membership(2).plan_bootstrap(second, [first, third]) is None
    assert build_membership(1).plan_bootstrap(first, [second]) is None
    used = build_hello(3, is_empty=False)
    assert build_membership(1).plan_bootstrap(first, [second, used]) is None


def test_next_seed_bootstraps_if_the_first_one_may_not() -> None:
    """The first seed was restarted before the bootstrap; its settings then forbid it to begin."""
    first, second, third = build_hello(1, may_begin=False), build_hello(2), build_hello(3)
    assert build_membership(1).plan_bootstrap(first, [second, third]) is None
    assert build_membership(2).plan_bootstrap(second, [first, third]) is not None
