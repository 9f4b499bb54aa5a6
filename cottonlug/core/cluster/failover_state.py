"""Failover state: what a gateway must know to act as leader, where no leader can be reached.

A gateway requests it with its keep-alives to the leader, and names the version that it has. It gets
the whole state once and then only changes, in parts of a bounded size. With 176 upstreams and 44
gateways, sending the whole state of 35 KB for each change of one upstream would take 1.5 MB, on
links of 1.5 MB/s. With 999 upstreams the state has 225 KB: on such a link, sending that takes
longer than the timeout of a keep-alive, so that a state sent whole was requested again and again
and never arrived.
"""

from __future__ import annotations

import bisect
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from ..ids import DomainName, UpstreamId
from .calls import FailoverState, GatewayInfo
from .commands import (
    AddUpstream,
    Command,
    DoubtCapacities,
    RecordCrash,
    RecordSpeeds,
    RemoveUpstreams,
    ResizeUpstream,
    SetConfiguration,
    SetDraining,
    SetEvacuation,
)
from .configuration_parts import (
    ConfigurationEncoder,
    ConfigurationPart,
    append_part,
    decode_parts,
    is_sent_whole,
    strip_document,
)
from .host_sizes import sort_by_precedence
from .model import Configuration, ConfigurationVersion
from .records import Records

MAX_KEPT_CHANGES = 512
"""Number of changes that are kept; a gateway that lacks more gets the whole state again."""
MAX_UPSTREAMS_PER_PART = 128
"""Most upstreams in one part: 29 KB, which take 23 ms on a link of 10 Mbit/s; keep-alives time out
after 100 ms."""
MAX_UPSTREAMS_IN_SMALL_PART = 16
"""With up to this many upstreams, an answer costs hardly more than one without any."""
_BEFORE_ALL_IDS = UpstreamId("")
"""Sorts before all ids of upstreams."""
OWN_DOMAIN_QUERIED = 3
OTHER_DOMAINS_QUERIED = 2
"""How many gateways of its own failure domain, and of each other one, a gateway asks for a leader
or an acting leader: two may be down at once. It asks as many small ones, if there are any."""
MAX_UPSTREAMS_FOR_ONE_ACTING_LEADER = 64
"""With more upstreams, an acting leader manages only those of its own failure domain: a gateway
has half a core, and twice as many upstreams overload it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Position:
    """What a gateway has of the state and its changes.

    Its version encodes it as TERM.NUMBER, with ~VERSION:OFFSET behind it while parts of the
    configuration are missing, and with >ID behind that while initial upstreams are missing.
    """

    number: int
    """The gateway has all changes up to this number."""
    configuration: tuple[ConfigurationVersion, int] | None = None
    """It has the configuration of this version up to this offset; None if it has all of it."""
    after: UpstreamId | None = None
    """It has the initial upstreams up to this id, in the order of ids; None if it has all."""


class FailoverStateLog:
    """Changes of the failover state under one leader, which numbers them from 1."""

    def __init__(self, *, term: int, accepts_calls: bool) -> None:
        self._term = term
        self._accepts_calls = accepts_calls
        self._last_change = 0
        """Number of the last change."""
        self._changes: deque[tuple[int, UpstreamId | None]] = deque(maxlen=MAX_KEPT_CHANGES)
        """Number of each of the last changes, and the upstream that it concerns, if any."""
        self._last_configuration_change = 0
        """Number of the last change of the configuration."""
        self._encoder = ConfigurationEncoder()
        self._last_speeds_change = 0
        """Number of the last change of the run times by kind of upstream."""
        self._sorted_ids: tuple[int, list[UpstreamId]] = (-1, [])
        """All upstream ids in order, as of the change with this number."""

    @property
    def version(self) -> str:
        """Version of the current state."""
        return f"{self._term}.{self._last_change}"

    def record_upstream_change(self, upstream: UpstreamId) -> None:
        """Count that an upstream has joined, changed or left."""
        self._last_change += 1
        self._changes.append((self._last_change, upstream))

    def record_configuration_change(self) -> None:
        """Count that another configuration is active."""
        self._last_change += 1
        self._changes.append((self._last_change, None))
        self._last_configuration_change = self._last_change

    def record_speeds_change(self) -> None:
        """Count that other run times by kind of upstream are recorded."""
        self.record_other_change()
        self._last_speeds_change = self._last_change

    def record_other_change(self) -> None:
        """Count a change of what every part contains in full."""
        self._last_change += 1
        self._changes.append((self._last_change, None))

    def record_command(self, command: Command) -> None:
        """Count what a command of the log has changed, if the failover state contains it."""
        if isinstance(command, AddUpstream):
            self.record_upstream_change(command.info.id)
        elif isinstance(command, SetDraining | ResizeUpstream | RecordCrash):
            self.record_upstream_change(command.upstream)
        elif isinstance(command, RemoveUpstreams | DoubtCapacities):
            for upstream in command.upstreams:
                self.record_upstream_change(upstream)
        elif isinstance(command, SetConfiguration):
            self.record_configuration_change()
        elif isinstance(command, RecordSpeeds):
            self.record_speeds_change()
        elif isinstance(command, SetEvacuation):
            self.record_other_change()

    def build(
        self,
        records: Records,
        gateways: tuple[GatewayInfo, ...],
        *,
        has_durable_jobs: bool,
        known: str,
    ) -> FailoverState | None:
        """Return the next part for a gateway with version `known`, or None if that is current.

        It contains changed upstreams, then the next initial ones, and all of the rest; but the
        configuration and the run times by kind only if they have changed, and a large configuration
        in parts.
        """
        if known == self.version:
            return None
        position = self._find_position(known)
        start = position or _Position(number=self._last_change, after=_BEFORE_ALL_IDS)
        changed, number = self._list_changed(start.number)
        initial, after = self._list_next(
            records, start.after, MAX_UPSTREAMS_PER_PART - len(changed)
        )
        ids = dict.fromkeys((*changed, *initial))
        configuration, part = self._select_configuration(records.configuration, position)
        has_more_parts = part is not None and not part.is_last
        needs_speeds = position is None or position.number < self._last_speeds_change
        return FailoverState(
            version=f"{self._term}.{number}"
            + (f"~{part.version}:{part.end}" if part is not None and has_more_parts else "")
            + (f">{after}" if after is not None else ""),
            base="" if position is None else known,
            is_partial=after is not None or number < self._last_change or has_more_parts,
            term=self._term,
            configuration=configuration,
            configuration_part=part,
            upstreams=tuple(records.upstreams[id] for id in ids if id in records.upstreams),
            removed=tuple(id for id in ids if id not in records.upstreams),
            gateways=gateways,
            has_durable_jobs=has_durable_jobs,
            suspects=tuple(records.suspects.values()),
            evacuations=records.evacuations.records,
            speeds=records.speeds.recorded if needs_speeds else None,
            accepts_calls=self._accepts_calls,
        )

    def _select_configuration(
        self, configuration: Configuration | None, position: _Position | None
    ) -> tuple[Configuration | None, ConfigurationPart | None]:
        """Return the configuration that a gateway lacks, whole or its next part; None for neither.

        A gateway that has parts of an older version begins with the first part again.
        """
        if configuration is None or not self._lacks_configuration(position):
            return None, None
        if is_sent_whole(configuration):
            return strip_document(configuration), None
        version, offset = (position.configuration if position is not None else None) or (None, 0)
        is_same = version == configuration.version
        return None, self._encoder.build_part(configuration, offset if is_same else 0)

    def _lacks_configuration(self, position: _Position | None) -> bool:
        return (
            position is None
            or position.configuration is not None
            or position.number < self._last_configuration_change
        )

    def is_next_part_large(self, records: Records, known: str) -> bool:
        """Return whether the next part contains many upstreams or a part of a configuration."""
        position = self._find_position(known)
        configuration = records.configuration
        is_in_parts = configuration is not None and not is_sent_whole(configuration)
        if is_in_parts and self._lacks_configuration(position):
            return True
        if position is None or position.after is not None:
            return len(records.upstreams) > MAX_UPSTREAMS_IN_SMALL_PART
        return self._last_change - position.number > MAX_UPSTREAMS_IN_SMALL_PART

    def _list_changed(self, since: int) -> tuple[list[UpstreamId], int]:
        """Return the upstreams of the next changes that fit into a part, and the last's number."""
        ids: dict[UpstreamId, None] = {}
        for number, upstream in self._changes:
            if number <= since or upstream is None or upstream in ids:
                continue
            if len(ids) == MAX_UPSTREAMS_PER_PART:
                return list(ids), number - 1
            ids[upstream] = None
        return list(ids), self._last_change

    def _list_next(
        self, records: Records, after: UpstreamId | None, count: int
    ) -> tuple[list[UpstreamId], UpstreamId | None]:
        """Return the next upstreams after an id, and after which of them more follow, if any do."""
        if after is None:
            return [], None
        if self._sorted_ids[0] != self._last_change:
            self._sorted_ids = (self._last_change, sorted(records.upstreams))
        ids = self._sorted_ids[1]
        begin = bisect.bisect_right(ids, after)
        part = ids[begin : begin + count]
        is_last = begin + count >= len(ids)
        return part, None if is_last else (part[-1] if part else after)

    def _find_position(self, version: str) -> _Position | None:
        """Return the position that a version encodes.

        None if it is of another leader, or if not all changes since then are kept.
        """
        version, has_cursor, after = version.partition(">")
        version, has_offset, place = version.partition("~")
        term, _, number = version.partition(".")
        configuration, _, offset = place.partition(":")
        if term != str(self._term) or not number.isdecimal():
            return None
        if has_offset and not (configuration.isdecimal() and offset.isdecimal()):
            return None
        first_known = self._changes[0][0] if self._changes else self._last_change + 1
        if int(number) < first_known - 1:
            return None
        return _Position(
            number=int(number),
            configuration=(
                (ConfigurationVersion(int(configuration)), int(offset)) if has_offset else None
            ),
            after=UpstreamId(after) if has_cursor else None,
        )


def find_acting_domain(state: FailoverState, own: str) -> DomainName | None:
    """Return the failure domain that the gateway at address `own` may act as leader for.

    None means all domains.
    """
    if len(state.upstreams) <= MAX_UPSTREAMS_FOR_ONE_ACTING_LEADER:
        return None
    return next((each.domain for each in state.gateways if each.address == own), None)


def merge_failover_state(
    known: FailoverState | None, received: FailoverState
) -> FailoverState | None:
    """Return the received state, or `known` with the received changes.

    None if the changes do not follow the version that is known.
    """
    if not received.base:
        return _add_configuration_part(None, received)
    if known is None or known.version != received.base:
        return None
    received = _add_configuration_part(known, received)
    upstreams = {record.info.id: record for record in known.upstreams}
    for record in received.upstreams:
        upstreams[record.info.id] = record
    for id in received.removed:
        upstreams.pop(id, None)
    return msgspec.structs.replace(
        received,
        base="",
        configuration=received.configuration or known.configuration,
        speeds=known.speeds if received.speeds is None else received.speeds,
        upstreams=tuple(upstreams.values()),
        removed=(),
    )


def _add_configuration_part(known: FailoverState | None, received: FailoverState) -> FailoverState:
    """Return a received state with the configuration parts so far, or, after the last, decoded."""
    part = received.configuration_part
    if part is None:
        return received
    parts = append_part(known.configuration_part if known is not None else None, part)
    if not parts.is_last:
        return msgspec.structs.replace(received, configuration_part=parts)
    return msgspec.structs.replace(
        received, configuration=decode_parts(parts), configuration_part=None
    )


def choose_queried_gateways(gateways: Sequence[GatewayInfo], own: str) -> list[str]:
    """Return the gateways that the gateway at address `own` asks for a leader if it reaches none.

    These are the first of each domain in their order (`host_sizes`), because the first reachable
    gateway acts as leader. All large gateways of a domain may be lost, so as many small ones are
    asked. If each gateway queried all others, the number of calls would grow with the square of the
    number of gateways, at a time of failures.
    """
    home = next((each.domain for each in gateways if each.address == own), DomainName(""))
    queried: list[str] = []
    remaining: dict[tuple[DomainName, bool], int] = {}
    for gateway in sort_by_precedence(gateways):
        most = OWN_DOMAIN_QUERIED if gateway.domain == home else OTHER_DOMAINS_QUERIED
        group = (gateway.domain, gateway.is_small)
        count = remaining.setdefault(group, most)
        if gateway.address != own and count:
            remaining[group] = count - 1
            queried.append(gateway.address)
    return queried
