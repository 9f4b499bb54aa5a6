"""Focused tests of the replicated log, its journal and the configuration that it replicates.

They cover cases that random runs rarely reach.
"""

from __future__ import annotations

import random
from datetime import timedelta

from returns.result import Failure as Err
from returns.result import Success

from ..core.configuration import (
    ChangeCommand,
    ConfigurationState,
    Decision,
    apply_change,
    decode_state,
    encode_state,
)
from ..core.consensus.member import Member
from ..core.consensus.timing import Timing
from ..core.consensus.types import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    HardState,
    Index,
    MemberId,
    Members,
    Output,
    Role,
    Snapshot,
    SnapshotRequest,
    Stored,
    Term,
    VoteReply,
    VoteRequest,
)
from ..storage.journal import JOURNAL_FILE, Journal, open_journal
from .test_consensus_faults import FakeFiles

A, B, C = MemberId("a/1"), MemberId("b/1"), MemberId("c/1")
"""The three voters; where a test has one member, it is A and the test plays the others."""
SNAPSHOT = Snapshot(index=Index(1), term=Term(0), members=Members(voters=(A, B, C)), data="")


def build_member(stored: Stored) -> Member:
    return Member(id=A, stored=stored, timing=Timing(), chance=lambda: 0.0, now=timedelta())


def build_stored(term: int, entries: tuple[Entry, ...] = ()) -> Stored:
    return Stored(hard_state=HardState(term=Term(term)), snapshot=SNAPSHOT, entries=entries)


def build_entry(index: int, term: int, data: str = "x") -> Entry:
    return Entry(index=Index(index), term=Term(term), data=data)


def build_vote_request(sender: MemberId, term: int) -> VoteRequest:
    return VoteRequest(
        term=Term(term), sender=sender, last_index=Index(9), last_term=Term(9), pre=False
    )


def read_last_vote(member: Member) -> bool:
    """Return whether the member granted the vote in its newest message."""
    message = member.take_output().messages[-1].message
    assert isinstance(message, VoteReply)
    return message.granted


def elect_leader(member: Member) -> None:
    """Let A's election timeout pass, at 10 s, and B vote for it."""
    late = timedelta(seconds=10)
    member.tick(late)
    term = Term(member.term + 1)
    member.receive(VoteReply(term=term, sender=B, granted=True, pre=True), late)
    member.receive(VoteReply(term=term, sender=B, granted=True, pre=False), late)
    assert member.role is Role.LEADER


FAST_TIMING = Timing(
    first_election=timedelta(milliseconds=60), pre_vote_retry=timedelta(milliseconds=100)
)
"""With the intervals that control hosts use for their first election (`runtime.replica`)."""


def build_fast_member(id: MemberId, now: timedelta) -> Member:
    return Member(id=id, stored=build_stored(3), timing=FAST_TIMING, chance=lambda: 0.0, now=now)


def deliver_messages(members: dict[MemberId, Member], now: timedelta) -> None:
    """Deliver messages between these members until there are none; others are unreachable."""
    waiting = True
    while waiting:
        waiting = False
        for member in members.values():
            for envelope in member.take_output().messages:
                if envelope.to in members:
                    members[envelope.to].receive(envelope.message, now)
                    waiting = True


def test_leader_is_elected_quickly_after_all_members_were_down() -> None:
    """Failure: after a restart of all members the first election began only after 0.35 to 0.7 s."""
    members = {id: build_fast_member(id, timedelta()) for id in (A, B, C)}
    now = timedelta(milliseconds=60)
    members[A].tick(now)
    deliver_messages(members, now)
    assert members[A].role is Role.LEADER


def test_member_that_starts_does_not_disturb_a_leader() -> None:
    members = {id: build_fast_member(id, timedelta()) for id in (A, B)}
    now = timedelta(milliseconds=60)
    members[A].tick(now)
    deliver_messages(members, now)
    term = members[A].term
    members[C] = build_fast_member(C, now)
    for _ in range(3):
        now += timedelta(milliseconds=100)
        members[A].tick(now)
        members[C].tick(now)
        deliver_messages(members, now)
    assert members[A].role is Role.LEADER
    assert {member.term for member in members.values()} == {term}


def test_pre_vote_without_replies_is_retried_soon() -> None:
    member = build_fast_member(A, timedelta())
    for number in range(3):
        member.tick(timedelta(milliseconds=60 + 100 * number))
        requests = [envelope.message for envelope in member.take_output().messages]
        assert len(requests) == 2
        assert all(isinstance(each, VoteRequest) and each.pre for each in requests)
    assert member.term == 3


def test_missing_entries_are_sent_once_for_many_refusals_of_messages_in_flight() -> None:
    """Failure: each refusal of a message in flight resent the entries, 0.134 GB between domains."""
    entries = tuple(build_entry(index, 3) for index in range(2, 10))
    member = build_member(build_stored(3, entries))
    elect_leader(member)
    member.take_output()
    late = timedelta(seconds=10)
    refusal = AppendReply(term=member.term, sender=B, accepted=False, matched=Index(1))

    def count_sent() -> int:
        messages = [envelope.message for envelope in member.take_output().messages]
        return sum(len(each.entries) for each in messages if isinstance(each, AppendRequest))

    for _ in range(5):
        member.receive(refusal, late)
    assert count_sent() == 9
    # A refusal much later means that the first transmission was lost.
    member.receive(refusal, late + Timing().heartbeat * 2)
    assert count_sent() == 9


def test_vote_is_saved_before_it_is_sent_and_kept_over_a_restart() -> None:
    journal = open_journal(FakeFiles(random.Random(1)), A).unwrap()
    journal.save(Output(snapshot=SNAPSHOT, restore=True)).unwrap()
    member = build_member(journal.stored)
    member.receive(build_vote_request(B, 5), timedelta())
    output = member.take_output()
    assert output.hard_state == HardState(term=Term(5), voted_for=B)
    journal.save(output).unwrap()
    again = build_member(journal.stored)
    again.receive(build_vote_request(C, 5), timedelta())
    assert read_last_vote(again) is False
    again.receive(build_vote_request(B, 5), timedelta())
    assert read_last_vote(again) is True


def test_entries_of_an_older_term_are_not_committed_by_counting_replicas() -> None:
    member = build_member(build_stored(2, (build_entry(2, 2),)))
    elect_leader(member)
    late = timedelta(seconds=10)
    old = AppendReply(term=member.term, sender=B, accepted=True, matched=Index(2))
    member.receive(old, late)
    assert member.commit == 1
    new = AppendReply(term=member.term, sender=B, accepted=True, matched=Index(3))
    member.receive(new, late)
    assert member.commit == 3


def test_delayed_snapshot_does_not_discard_acknowledged_entries() -> None:
    member = build_member(build_stored(2, (build_entry(2, 2), build_entry(3, 2))))
    late = Snapshot(index=Index(2), term=Term(2), members=SNAPSHOT.members, data="s")
    member.receive(SnapshotRequest(term=Term(2), sender=B, snapshot=late), timedelta())
    assert member.log.last_index == 3
    assert member.commit == 2
    output = member.take_output()
    assert not output.restore
    assert [entry.index for entry in output.committed] == [2]


def test_isolated_leader_steps_down() -> None:
    member = build_member(build_stored(2))
    elect_leader(member)
    member.tick(timedelta(seconds=20))
    assert member.role is Role.FOLLOWER
    refused = member.propose("x", timedelta(seconds=20))
    assert isinstance(refused, Err)


def test_returning_member_does_not_depose_a_leader() -> None:
    member = build_member(build_stored(2))
    heartbeat = AppendRequest(
        term=Term(2),
        sender=B,
        previous_index=Index(1),
        previous_term=Term(0),
        commit=Index(1),
    )
    member.receive(heartbeat, timedelta())
    member.take_output()
    member.receive(build_vote_request(C, 7), timedelta(milliseconds=100))
    assert member.term == 2
    assert read_last_vote(member) is False


def test_only_one_voter_changes_at_a_time() -> None:
    member = build_member(build_stored(2))
    elect_leader(member)
    late = timedelta(seconds=10)
    too_early = member.change_members(Members(voters=(A, B)), late)
    assert isinstance(too_early, Err)
    member.receive(AppendReply(term=member.term, sender=B, accepted=True, matched=Index(2)), late)
    two = member.change_members(Members(voters=(A, MemberId("d/1"))), late)
    assert isinstance(two, Err)
    assert isinstance(member.change_members(Members(voters=(A, B)), late), Success)
    second = member.change_members(Members(voters=(A, B, C)), late)
    assert isinstance(second, Err)


def build_full_journal() -> tuple[FakeFiles, Journal]:
    """Return a journal with a vote and two entries, and the files that hold it."""
    files = FakeFiles(random.Random(1))
    journal = open_journal(files, A).unwrap()
    hard_state = HardState(term=Term(3), voted_for=B)
    journal.save(Output(hard_state=hard_state, entries=[build_entry(1, 3)])).unwrap()
    journal.save(Output(entries=[build_entry(2, 3, "accepted")])).unwrap()
    return files, journal


def test_every_flipped_bit_is_reported_and_the_journal_is_left_unchanged() -> None:
    files, _ = build_full_journal()
    good = files.content[JOURNAL_FILE]
    for at in range(8 * len(good)):
        damaged = bytearray(good)
        damaged[at // 8] ^= 1 << at % 8
        files.content[JOURNAL_FILE] = bytes(damaged)
        opened = open_journal(files, B)
        assert isinstance(opened, Err), f"bit {at}"
        assert opened.failure().damaged
        assert files.content[JOURNAL_FILE] == bytes(damaged), "a damaged file must not be changed"


def test_every_torn_tail_is_cut_to_whole_records() -> None:
    files, journal = build_full_journal()
    good = files.content[JOURNAL_FILE]
    whole = journal.stored
    for size in range(len(good)):
        for filler in (b"", b"\0" * 40):
            files.content[JOURNAL_FILE] = good[:size] + filler
            opened = open_journal(files, A)
            if size == 0 and not filler:
                assert opened.unwrap().is_empty
                continue
            if isinstance(opened, Err):
                assert "identity" in opened.failure().message
                continue
            stored = opened.unwrap().stored
            assert stored.entries == whole.entries[: len(stored.entries)]
            assert open_journal(files, A).unwrap().cut_bytes == 0


def test_journal_accepts_no_records_after_a_full_disk() -> None:
    files, journal = build_full_journal()
    before = files.content[JOURNAL_FILE]
    files.full = True
    assert isinstance(journal.save(Output(entries=[build_entry(3, 3)])), Err)
    files.full = False
    assert isinstance(journal.save(Output(entries=[build_entry(3, 3)])), Err)
    assert files.content[JOURNAL_FILE] == before
    assert len(open_journal(files, A).unwrap().stored.entries) == 2


def test_one_change_per_base_version_is_accepted_and_resends_get_the_same_outcome() -> None:
    state = ConfigurationState()
    first = ChangeCommand(request_id="one", base_version=0, text="a")
    second = ChangeCommand(request_id="two", base_version=0, text="b")
    won = apply_change(state, first, lambda _: None)
    lost = apply_change(state, second, lambda _: None)
    assert (won.decision, won.version) == (Decision.ACCEPTED, 1)
    assert (lost.decision, lost.winner) == (Decision.CONFLICT, "one")
    assert apply_change(state, first, lambda _: None) == won
    copy = decode_state(encode_state(state))
    assert apply_change(copy, second, lambda _: None) == lost
    bad = ChangeCommand(request_id="three", base_version=1, text="c")
    assert apply_change(state, bad, lambda _: "no").decision is Decision.INVALID
    assert state.version == 1


def test_leader_election_appends_an_empty_entry() -> None:
    """Without an entry of its own term a new leader could not commit those of older terms."""
    member = build_member(build_stored(2))
    elect_leader(member)
    assert [entry.kind for entry in member.take_output().entries] == [EntryKind.EMPTY]
