"""Plans changes of members one safe step at a time: new disks, joining hosts and lost voters.

A member is one disk of a host; a host with a new disk is a new member. A voter is lost once the
leader has not heard it for long; its caller says after which time.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from .member import Member
from .types import MemberId, Members

DEFAULT_VOTERS = 3
"""Least number of voters to aim for; with more, a lost voter is removed without a replacement."""
MAX_VOTERS = 7
"""Seven voters tolerate the loss of three; more would only make a majority slower."""


def compute_max_voters(members: Members, lost: Collection[MemberId]) -> int:
    """Return how many members may vote: an odd number, so that no split is into equal halves."""
    present = [member for member in (*members.voters, *members.learners) if member not in lost]
    odd = len(present) - (len(present) + 1) % 2
    return min(max(odd, DEFAULT_VOTERS), MAX_VOTERS)


def plan_change(
    leader: Member,
    current: Mapping[str, MemberId],
    lost: Collection[MemberId] = (),
    max_voters: int | None = None,
) -> Members | None:
    """Return the next set of members, or None if no change is needed now.

    `current` maps each host that should vote to the member id of its present disk. In steps of one
    call each, an id that is no member is added as a learner; once it has everything that is
    committed, the id of its host's old disk is removed; then the new id becomes a voter. A host
    without an old disk replaces a lost voter, if there is one; otherwise it stays a learner while
    there are `max_voters` voters (None: no limit).
    """
    members = leader.members
    for host, member in current.items():
        if member in members.voters:
            continue
        if member not in members.learners:
            others = tuple(each for each in members.learners if get_host(each) != host)
            return Members(voters=members.voters, learners=(*others, member))
        if leader.get_matched_index(member) < leader.commit:
            continue
        old = [voter for voter in members.voters if get_host(voter) == host]
        old = old or [voter for voter in members.voters if voter in lost][:1]
        if old:
            voters = tuple(voter for voter in members.voters if voter not in old)
            return Members(voters=voters, learners=members.learners)
        if max_voters is not None and len(members.voters) >= max_voters:
            continue
        learners = tuple(learner for learner in members.learners if learner != member)
        return Members(voters=(*members.voters, member), learners=learners)
    return None


def plan_removal(leader: Member, lost: Collection[MemberId]) -> Members | None:
    """Return the members without one of the lost voters.

    None if no voter is lost, or if there are no more than `DEFAULT_VOTERS` voters.
    """
    members = leader.members
    if len(members.voters) <= DEFAULT_VOTERS:
        return None
    lost_voter = next((voter for voter in members.voters if voter in lost), None)
    if lost_voter is None:
        return None
    voters = tuple(voter for voter in members.voters if voter != lost_voter)
    return Members(voters=voters, learners=members.learners)


def get_host(member: MemberId) -> str:
    """Return the host part of a member id, which is `<host>/<id of its disk>`."""
    return member.partition("/")[0]
