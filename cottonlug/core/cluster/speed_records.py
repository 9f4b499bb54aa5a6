"""Factors of run times by kind of upstream, as a leader records them for the next ones.

They are in the replicated log, in snapshots, and in the failover state, with which a gateway acts
as leader. Recorded are services whose kinds differ; where they do not, nothing is recorded.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from .commands import RecordSpeeds
from .model import ServiceName
from .speeds import MAX_ALL_KINDS, MAX_KINDS, ServiceSpeeds


class SpeedRecords:
    """The last recorded factors of each service, as part of the replicated state.

    The bounds hold for whatever the log contains: the state is sent to each gateway.
    """

    def __init__(self, recorded: Iterable[ServiceSpeeds] = ()) -> None:
        self._by_service: dict[ServiceName, ServiceSpeeds] = {}
        self.apply(RecordSpeeds(services=tuple(recorded)))

    @property
    def recorded(self) -> tuple[ServiceSpeeds, ...]:
        """The services whose kinds differ, the one recorded last at the end."""
        return tuple(self._by_service.values())

    def get(self, service: ServiceName) -> ServiceSpeeds:
        """Return the factors of a service; it has no kinds if none were recorded."""
        return self._by_service.get(service, ServiceSpeeds(service=service))

    def apply(self, command: RecordSpeeds) -> None:
        """Replace the factors of services; forget services that exceed the bound, oldest first."""
        for each in command.services:
            self._by_service.pop(each.service, None)
            if each.kinds:
                limited = msgspec.structs.replace(each, kinds=each.kinds[:MAX_KINDS])
                self._by_service[each.service] = limited
        while sum(len(each.kinds) for each in self._by_service.values()) > MAX_ALL_KINDS:
            del self._by_service[next(iter(self._by_service))]
