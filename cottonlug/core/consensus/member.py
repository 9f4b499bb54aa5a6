"""One member of the replicated log: elections, replication, commitment and change of members.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, a quorum check by the leader, one
change of members at a time, learners and leadership transfer. A member id identifies one disk and
its content: a host that lost its disk comes back under a new id and votes only once that id has
been added, so that it cannot forget a vote or an entry that other members rely on.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from returns.result import Failure as Err
from returns.result import Result, Success

from ..invariants import require
from .log import Log
from .progress import Progress, find_quorum_index, is_quorum
from .timing import RandomFloat, Timing
from .types import (
    AppendReply,
    AppendRequest,
    ConsensusMessage,
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
    SnapshotRequest,
    Stored,
    Term,
    TransferRequest,
    VoteReply,
    VoteRequest,
)

MAX_ENTRIES_PER_MESSAGE = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposalRefusal:
    """Why a member refused a command or a change of members; a leader may refuse a change too.

    `leader` is the leader that the member knows, if any; it may be the member itself.
    """

    leader: MemberId | None
    reason: str


class Member:
    """The state machine of one member.

    `commit` is the index of the last entry that it knows to be committed; `members` is the newest
    set of members in its log.
    """

    def __init__(
        self,
        *,
        id: MemberId,
        stored: Stored,
        timing: Timing,
        chance: RandomFloat,
        now: timedelta,
        saves_after_sending: bool = False,
    ) -> None:
        self.id = id
        self._saves_after_sending = saves_after_sending
        self._saved_index = Index(0)
        self.role = Role.FOLLOWER
        self.term = stored.hard_state.term
        self.leader: MemberId | None = None
        self.log = Log(snapshot=stored.snapshot, entries=stored.entries)
        self.commit = max(stored.snapshot.index, stored.applied)
        self.members = self.log.find_members()
        self._voted_for = stored.hard_state.voted_for
        self._timing = timing
        self._chance = chance
        self._now = now
        self._votes: set[MemberId] = set()
        self._progress: dict[MemberId, Progress] = {}
        self._heard_leader_at: timedelta | None = None
        self._elections_without_leader = 0
        """Number of elections that this member started before it heard any leader."""
        self._heartbeat_due = now
        self._output = Output()
        self._delivered_index = self.commit
        self._reset_election_timer(timing.first_election)

    # Calls of the embedding program

    def tick(self, now: timedelta) -> None:
        """Run the timers: start a pre-vote, send heartbeats or check the quorum, as due."""
        self._now = now
        if self.role is Role.LEADER:
            self._tick_leader()
        elif now >= self._election_due:
            if self.id in self.members.voters:
                self._campaign(pre=True)
            else:
                # A member without a vote cannot start an election; it has to find the new leader.
                self.leader = None

    def receive(self, message: ConsensusMessage, now: timedelta) -> None:
        """Process a message from another member."""
        self._now = now
        if self._is_from_older_term(message):
            self._answer_older_term(message)
            return
        self._adopt_newer_term(message)
        if isinstance(message, VoteRequest):
            self._handle_vote_request(message)
        elif isinstance(message, VoteReply):
            self._handle_vote_reply(message)
        elif isinstance(message, AppendRequest):
            self._handle_append_request(message)
        elif isinstance(message, AppendReply):
            self._handle_append_reply(message)
        elif isinstance(message, SnapshotRequest):
            self._handle_snapshot_request(message)
        else:
            # A transfer request: no pre-vote, which the others would refuse as they hear a leader.
            self._campaign(pre=False, transfer=True)

    def propose(self, data: str, now: timedelta) -> Result[tuple[Term, Index], ProposalRefusal]:
        """Append a command and return its entry's term and index.

        It is accepted once an entry of this term is committed at this index; an entry of another
        term there means that a later leader has overwritten it.
        """
        self._now = now
        if self.role is not Role.LEADER:
            return Err(ProposalRefusal(leader=self.leader, reason="not the leader"))
        entry = self._append_own_entry(EntryKind.COMMAND, data, None)
        self._replicate_all()
        return Success((entry.term, entry.index))

    def change_members(self, members: Members, now: timedelta) -> Result[Index, ProposalRefusal]:
        """Append a new set of members, with at most one voter added or removed."""
        self._now = now
        refusal = self._check_member_change(members)
        if refusal is not None:
            return Err(ProposalRefusal(leader=self.leader, reason=refusal))
        entry = self._append_own_entry(EntryKind.MEMBERS, "", members)
        self._update_members()
        self._replicate_all()
        return Success(entry.index)

    def transfer_leadership(self, now: timedelta) -> MemberId | None:
        """Ask a voter with the complete log to take over; return it, or None if there is none.

        The voter is chosen at random: if it cannot lead, the next call is likely to ask another.
        """
        self._now = now
        if self.role is not Role.LEADER:
            return None
        candidates = [
            voter
            for voter in self.members.voters
            if voter in self._progress and self.get_matched_index(voter) == self.log.last_index
        ]
        if not candidates:
            return None
        successor = candidates[int(self._chance() * len(candidates))]
        self._send(successor, TransferRequest(term=self.term, sender=self.id))
        return successor

    def compact(self, data: str, index: Index) -> None:
        """Replace all entries up to index `index` by a snapshot of the state after it."""
        require(index <= self._delivered_index, "only delivered entries may be compacted")
        term = self.log.find_term(index)
        if term is None or index <= self.log.snapshot.index:
            return
        members = self.log.find_members_at(index)
        snapshot = Snapshot(index=index, term=term, members=members, data=data)
        self.log.compact(snapshot)
        self._output.snapshot = snapshot

    def take_output(self) -> Output:
        """Return what must be saved, sent and applied, in this order, since the previous call."""
        output = self._output
        self._output = Output()
        first = Index(self._delivered_index + 1)
        if self.commit >= first and first > self.log.snapshot.index:
            output.committed = list(self.log.read(first, self.commit - self._delivered_index))
        self._delivered_index = self.commit
        return output

    def find_silent_members(self, now: timedelta, span: timedelta) -> list[MemberId]:
        """Return the other members not heard for at least `span`; meaningful on the leader only."""
        return [
            member for member, progress in self._progress.items() if now - progress.heard_at >= span
        ]

    def record_saved(self) -> None:
        """Record that this member's whole log is on its disk, so that it counts for commitment.

        Needed only with `saves_after_sending`: there a leader sends new entries before it saves
        them, and its own copy counts towards a majority only once it is saved.
        """
        self._saved_index = self.log.last_index
        if self.role is Role.LEADER and self._advance_commit():
            self._replicate_all()

    def get_matched_index(self, member: MemberId) -> Index:
        """Return the index up to which this leader knows another member's log to match, or 0."""
        progress = self._progress.get(member)
        return progress.matched if progress is not None else Index(0)

    # Terms

    def _is_from_older_term(self, message: ConsensusMessage) -> bool:
        return message.term < self.term

    def _answer_older_term(self, message: ConsensusMessage) -> None:
        """Refuse a request, so that its sender learns the newer term; drop any other message."""
        if isinstance(message, VoteRequest):
            self._send_vote(message, granted=False)
        elif isinstance(message, AppendRequest | SnapshotRequest):
            self._send_append_reply(message.sender, accepted=False, matched=Index(0))

    def _adopt_newer_term(self, message: ConsensusMessage) -> None:
        if message.term <= self.term:
            return
        if isinstance(message, VoteRequest):
            # The term of a pre-vote has not begun, and a single voter must not disturb a leader
            # that is still heard, unless that leader asked for the election.
            if message.pre or (self._has_leader() and not message.transfer):
                return
        elif isinstance(message, VoteReply) and message.pre and message.granted:
            # A granted pre-vote carries the term that was asked for, which has not begun.
            return
        self._become_follower(message.term, None)

    def _become_follower(self, term: Term, leader: MemberId | None) -> None:
        if term > self.term:
            self.term = term
            self._voted_for = None
            self._save_hard_state()
        self.role = Role.FOLLOWER
        self.leader = leader
        self._reset_election_timer()

    def _save_hard_state(self) -> None:
        self._output.hard_state = HardState(term=self.term, voted_for=self._voted_for)

    def _reset_election_timer(self, span: timedelta | None = None) -> None:
        """Set when to start a pre-vote; on a leader the same timer is when it checks its quorum."""
        span = span if span is not None else self._timing.election
        self._election_due = self._now + span * (1.0 + self._chance())

    def _compute_vote_timeout(self) -> timedelta:
        """Return the minimum wait for the votes of the election that starts now.

        While no leader has been heard since the start, as after a restart of all members, no leader
        can be disturbed: an election without a winner is repeated soon, and then at growing
        intervals up to the election timeout, since votes may be slow to arrive.
        """
        if self._heard_leader_at is not None:
            return self._timing.election
        self._elections_without_leader += 1
        span: timedelta = self._timing.first_election * 2**self._elections_without_leader
        return min(span, self._timing.election)

    def _has_leader(self) -> bool:
        """Whether a leader was heard so recently that no election can be due."""
        if self.role is Role.LEADER:
            return True
        if self._heard_leader_at is None:
            return False
        return self._now - self._heard_leader_at < self._timing.election

    # Elections

    def _campaign(self, *, pre: bool, transfer: bool = False) -> None:
        """Start an election, or with `pre` a pre-vote, which starts one if it finds a majority."""
        if self.id not in self.members.voters:
            return
        self._votes = {self.id}
        self.leader = None
        self._reset_election_timer(
            self._timing.pre_vote_retry if pre else self._compute_vote_timeout()
        )
        if pre:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self.term = Term(self.term + 1)
            self._voted_for = self.id
            self._save_hard_state()
        asked_term = Term(self.term + 1) if pre else self.term
        for voter in self.members.voters:
            if voter != self.id:
                request = VoteRequest(
                    term=asked_term,
                    sender=self.id,
                    last_index=self.log.last_index,
                    last_term=self.log.last_term,
                    pre=pre,
                    transfer=transfer,
                )
                self._send(voter, request)
        self._check_votes()

    def _handle_vote_request(self, request: VoteRequest) -> None:
        ours = (self.log.last_term, self.log.last_index)
        is_current = (request.last_term, request.last_index) >= ours
        if request.pre:
            granted = is_current and not self._has_leader() and request.term > self.term
            self._send_vote(request, granted=granted)
            return
        if request.term != self.term:
            # A newer term that was not adopted, because a leader is still heard.
            self._send_vote(request, granted=False)
            return
        granted = is_current and self._voted_for in (None, request.sender)
        if granted and self._voted_for is None:
            self._voted_for = request.sender
            self._save_hard_state()
            self._reset_election_timer()
        self._send_vote(request, granted=granted)

    def _send_vote(self, request: VoteRequest, *, granted: bool) -> None:
        term = request.term if request.pre and granted else self.term
        reply = VoteReply(term=term, sender=self.id, granted=granted, pre=request.pre)
        self._send(request.sender, reply)

    def _handle_vote_reply(self, reply: VoteReply) -> None:
        expected = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        asked_term = self.term + 1 if reply.pre else self.term
        if self.role is not expected or not reply.granted or reply.term != asked_term:
            return
        if reply.sender in self.members.voters:
            self._votes.add(reply.sender)
            self._check_votes()

    def _check_votes(self) -> None:
        if not is_quorum(self.members.voters, self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(pre=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    # Leader

    def _become_leader(self) -> None:
        require(self.id in self.members.voters, "only a voter may lead")
        self.role = Role.LEADER
        self.leader = self.id
        self._progress = {}
        # Every vote and entry up to now was saved before it was acknowledged.
        self._saved_index = self.log.last_index
        # Only an entry of its own term lets it commit those of older terms (see `_advance_commit`).
        self._append_own_entry(EntryKind.EMPTY, "", None)
        self._update_members()
        self._replicate_all()

    def _tick_leader(self) -> None:
        if self._now >= self._election_due:
            self._check_quorum()
            if self.role is not Role.LEADER:
                return
        if self._now >= self._heartbeat_due:
            self._replicate_all()

    def _check_quorum(self) -> None:
        """Step down unless a majority of voters was heard within the base election timeout."""
        recently_heard = {
            member
            for member, progress in self._progress.items()
            if self._now - progress.heard_at < self._timing.election
        }
        if not is_quorum(self.members.voters, recently_heard | {self.id}):
            self._become_follower(self.term, None)
            return
        self._election_due = self._now + self._timing.election

    def _append_own_entry(self, kind: EntryKind, data: str, members: Members | None) -> Entry:
        index = Index(self.log.last_index + 1)
        entry = Entry(term=self.term, index=index, kind=kind, data=data, members=members)
        self.log.append(entry)
        self._output.entries.append(entry)
        self._advance_commit()
        return entry

    def _check_member_change(self, members: Members) -> str | None:
        """Return why this change of members is refused now, or None if it is allowed.

        The conditions ensure that the majorities of any two sets in effect share a voter. An
        earlier leader's uncommitted change could break that until this term has a committed entry.
        """
        if self.role is not Role.LEADER:
            return "not the leader"
        if self.log.find_term(self.commit) != self.term:
            return "nothing of this term is committed yet"
        if self.log.find_members_index() > self.commit:
            return "another change of members is under way"
        changed = set(members.voters) ^ set(self.members.voters)
        if len(changed) > 1 or not members.voters:
            return "one voter is added or removed at a time"
        return None

    def _update_members(self) -> None:
        self.members = self.log.find_members()
        if self.role is not Role.LEADER:
            return
        all_members = (*self.members.voters, *self.members.learners)
        others = [member for member in all_members if member != self.id]
        # In the order of the list, not of a set, so that runs with the same seed are repeatable.
        for member in others:
            if member in self._progress:
                continue
            self._progress[member] = Progress(
                next_index=Index(self.log.last_index + 1), matched=Index(0), heard_at=self._now
            )
        for member in [known for known in self._progress if known not in others]:
            del self._progress[member]

    def _replicate_all(self) -> None:
        self._heartbeat_due = self._now + self._timing.heartbeat
        for member in self._progress:
            self._replicate(member)

    def _replicate(self, member: MemberId) -> None:
        progress = self._progress[member]
        previous = Index(progress.next_index - 1)
        previous_term = self.log.find_term(previous)
        if previous_term is None:
            request = SnapshotRequest(term=self.term, sender=self.id, snapshot=self.log.snapshot)
            self._send(member, request)
            return
        entries = self.log.read(progress.next_index, MAX_ENTRIES_PER_MESSAGE)
        # If this message is lost, the follower refuses the next one with a hint where to resume.
        progress.next_index = Index(progress.next_index + len(entries))
        self._send(
            member,
            AppendRequest(
                term=self.term,
                sender=self.id,
                previous_index=previous,
                previous_term=previous_term,
                commit=self.commit,
                entries=entries,
            ),
        )

    def _handle_append_reply(self, reply: AppendReply) -> None:
        progress = self._progress.get(reply.sender)
        if self.role is not Role.LEADER or progress is None:
            return
        progress.heard_at = self._now
        if not reply.accepted:
            if progress.record_refusal(reply.matched, self._now, self._timing.heartbeat * 2):
                self._replicate(reply.sender)
            return
        require(reply.matched <= self.log.last_index, "a follower cannot match past the last index")
        progress.record_match(reply.matched)
        if self._advance_commit():
            self._replicate_all()
        elif progress.next_index <= self.log.last_index:
            self._replicate(reply.sender)

    def _advance_commit(self) -> bool:
        """Commit what a majority of voters has if its last entry is of the current term.

        An entry of an older term could still be overwritten by a later leader. Returns whether the
        commit index advanced.
        """
        matched = {member: progress.matched for member, progress in self._progress.items()}
        matched[self.id] = self._saved_index if self._saves_after_sending else self.log.last_index
        index = find_quorum_index(self.members.voters, matched)
        if index <= self.commit or self.log.find_term(index) != self.term:
            return False
        self.commit = index
        # A leader that is no voter any more leads only until the change that removed it commits.
        if self.id not in self.members.voters and self.log.find_members_index() <= index:
            self._become_follower(self.term, None)
        return True

    # Follower

    def _handle_append_request(self, request: AppendRequest) -> None:
        self._follow_leader(request.sender)
        if request.previous_index < self.log.snapshot.index:
            request = _drop_compacted_entries(request, self.log.snapshot)
        if self.log.find_term(request.previous_index) != request.previous_term:
            self._send_append_reply(
                request.sender, accepted=False, matched=self._find_hint(request.previous_index)
            )
            return
        for entry in request.entries:
            self._store_entry(entry)
        matched = Index(request.previous_index + len(request.entries))
        self.commit = max(self.commit, min(request.commit, matched))
        self._send_append_reply(request.sender, accepted=True, matched=matched)

    def _store_entry(self, entry: Entry) -> None:
        if self.log.find_term(entry.index) == entry.term:
            return
        if entry.index <= self.log.last_index:
            require(entry.index > self.commit, "a committed entry must not change")
            self.log.truncate(entry.index)
            self._output.truncate(entry.index)
        self.log.append(entry)
        self._output.entries.append(entry)
        self.members = self.log.find_members()

    def _handle_snapshot_request(self, request: SnapshotRequest) -> None:
        self._follow_leader(request.sender)
        snapshot = request.snapshot
        if self.log.find_term(snapshot.index) == snapshot.term:
            # A delayed snapshot: the entries after it were acknowledged already and must be kept.
            self.commit = max(self.commit, snapshot.index)
        elif snapshot.index > self.commit:
            self.log.install_snapshot(snapshot)
            self.commit = snapshot.index
            self._delivered_index = snapshot.index
            self.members = snapshot.members
            self._output.snapshot = snapshot
            self._output.restore = True
            self._output.entries = []
            self._output.truncate_from = None
        # Otherwise this member has committed all that the snapshot holds.
        self._send_append_reply(request.sender, accepted=True, matched=self.commit)

    def _follow_leader(self, leader: MemberId) -> None:
        require(self.role is not Role.LEADER, "a term must not have two leaders")
        self._heard_leader_at = self._now
        self._become_follower(self.term, leader)

    def _find_hint(self, previous: Index) -> Index:
        """Return the last index that may match the leader's log, for it to resume after.

        All entries of the conflicting term are skipped; committed entries always match.
        """
        if previous > self.log.last_index:
            return self.log.last_index
        first = self.log.find_first_of_term(previous)
        return Index(max(first - 1, self.commit))

    def _send_append_reply(self, to: MemberId, *, accepted: bool, matched: Index) -> None:
        reply = AppendReply(term=self.term, sender=self.id, accepted=accepted, matched=matched)
        self._send(to, reply)

    def _send(self, to: MemberId, message: ConsensusMessage) -> None:
        self._output.messages.append(Envelope(to=to, message=message))


def _drop_compacted_entries(request: AppendRequest, snapshot: Snapshot) -> AppendRequest:
    """Return the part of a request after the snapshot; up to the snapshot the logs match."""
    return AppendRequest(
        term=request.term,
        sender=request.sender,
        previous_index=snapshot.index,
        previous_term=snapshot.term,
        commit=request.commit,
        entries=tuple(entry for entry in request.entries if entry.index > snapshot.index),
    )
