"""Bringing a host with a new disk back as a new member, one safe step at a time."""

from __future__ import annotations

from collections.abc import Mapping

from .member import Member
from .types import MemberId, Members


def plan_change(leader: Member, current: Mapping[str, MemberId]) -> Members | None:
    """Return the next set of members, or None where nothing is to be done.

    `current` gives, for each host that should vote, the member id of its present disk. A host whose
    id is not known to the log first learns; once it has everything that is committed, the id of its
    old disk is removed, and then the new id is given its vote.
    """
    members = leader.members
    for host, member in current.items():
        if member in members.voters:
            continue
        if member not in members.learners:
            others = tuple(each for each in members.learners if get_host(each) != host)
            return Members(voters=members.voters, learners=(*others, member))
        if leader.matched(member) < leader.commit:
            continue
        old = [voter for voter in members.voters if get_host(voter) == host]
        if old:
            voters = tuple(voter for voter in members.voters if voter not in old)
            return Members(voters=voters, learners=members.learners)
        learners = tuple(learner for learner in members.learners if learner != member)
        return Members(voters=(*members.voters, member), learners=learners)
    return None


def get_host(member: MemberId) -> str:
    """Return the host part of a member id, which is `<host>/<life of its disk>`."""
    return member.partition("/")[0]
