"""Cuts of whole failure domains: who reaches whom, and how many jobs are answered meanwhile."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from datetime import timedelta

from .history import History, Job
from .proxy import FaultKind, LinkFault, Proxy
from .record import Record, read_detail

CUT_DOMAIN = "cut_domain"
"""What a record calls the cut of the failure domain that is its source."""
HEAL_DELAYS = (0.0, 0.3, 0.6)
"""Seconds from the return of the links between hosts to that of an upstream: gateways find the
leader again within some 0.15 s, before or after the upstreams that they used."""
ANSWER_LIMIT = timedelta(seconds=3)
"""Time beyond its work in which a job counts as answered: two tries of a caller."""


class DomainCuts:
    """Cuts between the hosts and upstreams of failure domains; callers reach every gateway."""

    def __init__(
        self,
        *,
        hosts: Mapping[str, str],
        upstreams: Mapping[str, str],
        proxy: Proxy,
    ) -> None:
        """`hosts` and `upstreams` give the failure domain of each, by name."""
        self._hosts, self._upstreams = hosts, upstreams
        self._proxy = proxy
        self._faults: list[LinkFault] = []

    @property
    def are_active(self) -> bool:
        """Whether a failure domain is cut off, at least from some upstreams."""
        return bool(self._faults)

    def reaches(self, sender: str, upstream: str) -> bool:
        """Return whether orders of a host arrive at an upstream, and the answers at the host.

        A sender without a name has closed its connection; it may be beyond a cut.
        """
        if not sender:
            return not self._faults
        return not any(fault.harms(sender, upstream) for fault in self._faults)

    async def cut(self, domain: str, seconds: float, chance: random.Random) -> None:
        """Cut a failure domain off from the others for a time.

        Links between hosts come back first; some upstreams follow later.
        """
        between_hosts = self._build_fault(self._hosts, domain)
        of_upstreams = [
            self._build_fault({name: own}, domain) for name, own in self._upstreams.items()
        ]
        for fault in (between_hosts, *of_upstreams):
            self._faults.append(fault)
            self._proxy.add_fault(fault)
        await asyncio.sleep(seconds)
        self._end(between_hosts)
        healed_at = asyncio.get_running_loop().time()
        delays = [chance.choice(HEAL_DELAYS) for _ in of_upstreams]
        for delay, fault in sorted(
            zip(delays, of_upstreams, strict=True), key=lambda each: each[0]
        ):
            await asyncio.sleep(healed_at + delay - asyncio.get_running_loop().time())
            self._end(fault)

    def _build_fault(self, ends: Mapping[str, str], domain: str) -> LinkFault:
        """Return the cut of the links between these ends and the hosts of the other side."""
        inside = frozenset(name for name, own in ends.items() if own == domain)
        hosts_inside = frozenset(name for name, own in self._hosts.items() if own == domain)
        peers = frozenset(self._hosts) - hosts_inside if inside else hosts_inside
        return LinkFault(kind=FaultKind.CUT, sources=inside or frozenset(ends), peers=peers)

    def _end(self, fault: LinkFault) -> None:
        self._faults.remove(fault)
        self._proxy.remove_fault(fault)


def describe_answers(record: Record) -> str:
    """Return a line with the shares of jobs answered in time, within cuts of domains and outside.

    A job counts where all the time that it has for an answer lies within or outside of a cut.
    Empty if no failure domain was cut off.
    """
    history = History(record)
    cuts = [
        (began, ended)
        for began, ended, event in history.disruptions
        if read_detail(event).get("what") == CUT_DOMAIN
    ]
    within: list[bool] = []
    outside: list[bool] = []
    for job in history.jobs.values():
        if job.plan is None:
            continue
        sent_at = job.submissions[0].sent.at
        due_at = sent_at + job.plan.find_longest_chain() + ANSWER_LIMIT
        if any(began <= sent_at and due_at <= ended for began, ended in cuts):
            within.append(_is_answered(job, due_at))
        elif not any(began <= due_at and sent_at <= ended for began, ended in cuts):
            outside.append(_is_answered(job, due_at))
    shares = f"in cuts {_describe_share(within)}, outside {_describe_share(outside)}"
    return f"jobs answered within 3 s of their work: {shares}" if cuts else ""


def _is_answered(job: Job, due_at: timedelta) -> bool:
    return job.accepted is not None and job.accepted.at <= due_at


def _describe_share(answered: list[bool]) -> str:
    return f"{sum(answered)} of {len(answered)} ({sum(answered) / max(1, len(answered)):.2f})"
