"""Membership of the replicated log: how hosts discover each other, join and are replaced.

A member is one host with one disk: a host whose disk was replaced joins as another member. Voters
decide; learners only receive the log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from datetime import timedelta

import msgspec
from returns.result import Failure as Err

from ..config.options import Address
from ..core.consensus.member import Member
from ..core.consensus.replacement import (
    compute_max_voters,
    get_host,
    plan_change,
    plan_removal,
)
from ..core.consensus.types import MemberId, Members
from ..core.control_messages import Hello
from ..net.connections import ConnectionPools, parse_address
from ..net.transport import DECODE_ERRORS
from .messenger import CALL_TIMEOUT

JOIN_PATH = "/v1/join"
LOST_AFTER = timedelta(seconds=4)
"""A voter that has been silent for this long may be replaced by a host that asks to join."""


class JoinRequest(msgspec.Struct, kw_only=True, frozen=True):
    """The request of a new member to join the log; only the leader acts on it."""

    member: MemberId


class Membership:
    """The known hosts, and the member of each host's current disk."""

    def __init__(self, *, own: Address, seeds: tuple[Address, ...], pools: ConnectionPools) -> None:
        self.hosts: set[str] = {str(seed) for seed in seeds}
        self._own_address = str(own)
        self._seeds = sorted(str(seed) for seed in seeds)
        self._pools = pools
        self._member_by_host: dict[str, MemberId] = {}

    def record_members(self, members: Members) -> None:
        """Record the hosts of a set of members, and the member of each host's current disk."""
        everybody = members.voters + members.learners
        self.hosts.update(get_host(each) for each in everybody)
        # The member of a new disk is still a learner while the member of the lost disk is a voter;
        # learners come last, so they win.
        self._member_by_host.update({get_host(each): each for each in everybody})

    def record_join(self, request: JoinRequest) -> None:
        """Record a member that asks to join."""
        host = get_host(request.member)
        self._member_by_host[host] = request.member
        self.hosts.add(host)

    async def ask_to_join(self, member: MemberId) -> list[Hello]:
        """Send a join request to all known hosts; return the hellos of those that answer."""
        request = msgspec.json.encode(JoinRequest(member=member))
        others = self.hosts - {self._own_address}
        found = await asyncio.gather(*(self._ask(host, request) for host in others))
        hellos = [hello for hello in found if hello is not None]
        for hello in hellos:
            self.hosts.update(hello.hosts)
        return hellos

    def plan_bootstrap(self, own: Hello, hellos: Iterable[Hello]) -> Members | None:
        """Return the first members if all seeds answer and are empty and this host bootstraps.

        The first of the seeds whose settings allow it bootstraps the log.
        """
        by_host = {str(hello.host): hello for hello in (*hellos, own)}
        if any(seed not in by_host or not by_host[seed].is_empty for seed in self._seeds):
            return None
        bootstrap_seeds = [seed for seed in self._seeds if by_host[seed].may_begin]
        if not bootstrap_seeds or bootstrap_seeds[0] != self._own_address:
            return None
        return Members(voters=tuple(by_host[seed].member for seed in self._seeds))

    def plan_member_change(self, leader: Member, now: timedelta) -> Members | None:
        """Return the next set of members on the way to one that is all reachable, or None."""
        lost = leader.find_silent_members(now, LOST_AFTER)
        max_voters = compute_max_voters(leader.members, lost)
        return plan_change(leader, self._member_by_host, lost, max_voters) or plan_removal(
            leader, lost
        )

    async def _ask(self, host: str, request: bytes) -> Hello | None:
        address = parse_address(host)
        if address is None:
            return None
        pool = self._pools.get(address)
        sent = await pool.call("POST", JOIN_PATH, request, timeout=CALL_TIMEOUT)
        if isinstance(sent, Err) or sent.unwrap().status != 200:
            return None
        try:
            return _decoder.decode(sent.unwrap().body)
        except DECODE_ERRORS:
            # Another program answers at an address that was a host's before.
            return None


_decoder = msgspec.json.Decoder(Hello)
