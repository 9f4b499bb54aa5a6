"""What gateways must know to stand in, sent whole once and then as changes.

At 176 upstreams and 44 gateways a whole roster of 35 KB for each change of one upstream would be
1.5 MB, on links of 1.5 MB/s.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import msgspec

from ..ids import DomainName, UpstreamId
from .calls import GatewayInfo, Roster
from .records import Records

KEPT_CHANGES = 512
"""A gateway that has missed more gets the whole roster."""
OWN_DOMAIN_ASKED = 3
OTHER_DOMAINS_ASKED = 2
MOST_FOR_ONE_DEPUTY = 64
"""Upstreams; an entry host of half a core was overloaded with 176 (mizan-hq-grown trouble-3)."""
"""Gateways asked in each domain for a leader or a deputy: two may be down at once."""


class RosterLog:
    """The changes of what a roster holds, under one leader."""

    def __init__(self, *, term: int, takes_calls: bool) -> None:
        self._term = term
        self._takes_calls = takes_calls
        self._number = 0
        self._changes: deque[tuple[int, UpstreamId | None]] = deque(maxlen=KEPT_CHANGES)
        """Number of each change, and the upstream that changed or left, if it was one."""
        self._configured = 0
        """Number of the last change of the configuration."""

    @property
    def version(self) -> str:
        """Version of the present roster."""
        return f"{self._term}.{self._number}"

    def note_upstream(self, upstream: UpstreamId) -> None:
        """Count that an upstream has joined, changed or left."""
        self._number += 1
        self._changes.append((self._number, upstream))

    def note_configuration(self) -> None:
        """Count that another configuration is in force."""
        self._number += 1
        self._changes.append((self._number, None))
        self._configured = self._number

    def note_other(self) -> None:
        """Count a change of anything else."""
        self._number += 1
        self._changes.append((self._number, None))

    def build(
        self,
        records: Records,
        gateways: tuple[GatewayInfo, ...],
        *,
        keeps_jobs: bool,
        known: str,
    ) -> Roster | None:
        """Return what is to be sent to a gateway that has the version `known`, or None."""
        if known == self.version:
            return None
        since = self._find_number(known)
        is_new = since is None or since < self._configured
        configuration = records.configuration if is_new else None
        if configuration is not None:
            # Nobody reads a configuration back from a gateway.
            configuration = msgspec.structs.replace(configuration, document="")
        if since is None:
            changed = list(records.upstreams)
        else:
            ids = (upstream for number, upstream in self._changes if number > since)
            changed = list(dict.fromkeys(id for id in ids if id is not None))
        return Roster(
            version=self.version,
            base="" if since is None else known,
            term=self._term,
            configuration=configuration,
            upstreams=tuple(records.upstreams[id] for id in changed if id in records.upstreams),
            removed=tuple(id for id in changed if id not in records.upstreams),
            gateways=gateways,
            keeps_jobs=keeps_jobs,
            suspects=tuple(records.suspects.values()),
            evacuations=records.evacuations.records,
            takes_calls=self._takes_calls,
        )

    def _find_number(self, version: str) -> int | None:
        """Return up to which change a version goes, or None where not all later ones are known."""
        term, _, number = version.partition(".")
        if term != str(self._term) or not number.isdecimal():
            return None
        first_known = self._changes[0][0] if self._changes else self._number + 1
        return int(number) if int(number) >= first_known - 1 else None


def find_own_domain(roster: Roster, own: str) -> DomainName | None:
    """Return the domain that a deputy stands in for alone, or None where one does for all."""
    if len(roster.upstreams) <= MOST_FOR_ONE_DEPUTY:
        return None
    return next((each.domain for each in roster.gateways if each.address == own), None)


def merge_roster(known: Roster | None, received: Roster) -> Roster | None:
    """Return the roster after what was received, or None where that does not follow on `known`."""
    if not received.base:
        return received
    if known is None or known.version != received.base:
        return None
    upstreams = {record.info.id: record for record in known.upstreams}
    for record in received.upstreams:
        upstreams[record.info.id] = record
    for id in received.removed:
        upstreams.pop(id, None)
    return msgspec.structs.replace(
        received,
        base="",
        configuration=received.configuration or known.configuration,
        upstreams=tuple(upstreams.values()),
        removed=(),
    )


def choose_asked(gateways: Sequence[GatewayInfo], own: str) -> list[str]:
    """Return which gateways one asks that reaches no leader.

    The lowest of each domain, since the lowest that can be reached stands in: to ask all would be
    the square of their number, at the worst of times.
    """
    home = next((each.domain for each in gateways if each.address == own), DomainName(""))
    asked: list[str] = []
    left: dict[DomainName, int] = {}
    for gateway in sorted(gateways, key=lambda each: each.address):
        most = OWN_DOMAIN_ASKED if gateway.domain == home else OTHER_DOMAINS_ASKED
        count = left.setdefault(gateway.domain, most)
        if gateway.address != own and count:
            left[gateway.domain] = count - 1
            asked.append(gateway.address)
    return asked
