"""Routine heartbeats of upstreams, answered by control hosts that are not the leader.

Load pattern: thousands of upstreams, each with a heartbeat every second or two. Handled by the
leader alone, they took two thirds of its file descriptors and a third of its time. With many
upstreams, the leader therefore spreads the heartbeats over the other control hosts (responders). A
responder answers heartbeats that say nothing beyond its own log, and reports to the leader in one
call which upstreams they came from. It forwards all other heartbeats to the leader.
"""

from __future__ import annotations

import zlib
from collections.abc import Awaitable, Callable
from datetime import timedelta

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import Answer, Outcome, ReportedHeartbeat, ReportHeartbeats
from ..core.cluster.model import Heartbeat
from ..core.cluster.records import Records
from ..core.ids import UpstreamId

SPREAD_MIN_UPSTREAMS = 500
"""With fewer upstreams the leader answers all heartbeats itself, without any detour."""
REPORT_INTERVAL = timedelta(milliseconds=250)
"""How often a responder reports, and so how late the leader may learn of a heartbeat.

The leader tolerates ten seconds of silence of an upstream.
"""
RESPONDER_TRUST_PERIOD = timedelta(seconds=1)
"""How long a responder answers heartbeats after sending a report that the leader has acknowledged.

After that it forwards them to the leader. The leader assigns upstreams to a responder for as long
after a report from it.
"""

SendReport = Callable[[ReportHeartbeats], Awaitable[Answer]]


class HeartbeatResponder:
    """Answers routine heartbeats on one control host and reports them to the leader."""

    def __init__(
        self, *, control_address: str, clock: Clock, get_records: Callable[[], Records]
    ) -> None:
        self._control_address = control_address
        self._clock = clock
        self._get_records = get_records
        self._unreported: dict[UpstreamId, tuple[Heartbeat, timedelta]] = {}
        self._reported_at: timedelta | None = None
        """When the last report that the leader has acknowledged was sent."""
        self.answered = 0
        """Number of heartbeats that were answered here."""

    def is_spreading(self) -> bool:
        """Whether there are enough upstreams for their heartbeats to be spread."""
        return len(self._get_records().upstreams) >= SPREAD_MIN_UPSTREAMS

    def answer_routine(self, heartbeat: Heartbeat) -> Answer | None:
        """Answer a heartbeat that says nothing new; return None if it must go to the leader."""
        now = self._clock.monotonic()
        is_trusted = (
            self._reported_at is not None and now - self._reported_at < RESPONDER_TRUST_PERIOD
        )
        if not (is_trusted and self.is_spreading() and self._is_routine(heartbeat)):
            return None
        self._unreported[heartbeat.info.id] = (heartbeat, now)
        self.answered += 1
        return Answer(outcome=Outcome.DONE, leader_control=self._control_address)

    async def report(self, send_report: SendReport) -> None:
        """Report if heartbeats are spread; an empty report tells the leader of this responder."""
        if self.is_spreading():
            await self._report(send_report)

    async def _report(self, send_report: SendReport) -> None:
        asked_at = self._clock.monotonic()
        answer = await send_report(self._build_report(asked_at))
        if answer.outcome is Outcome.DONE:
            self._reported_at = asked_at

    def _build_report(self, now: timedelta) -> ReportHeartbeats:
        reported, self._unreported = self._unreported, {}
        return ReportHeartbeats(
            responder=self._control_address,
            upstreams=tuple(
                ReportedHeartbeat(
                    upstream=id,
                    sequence=heartbeat.sequence,
                    clock_ms=heartbeat.clock_ms,
                    age_ms=to_milliseconds(now - at),
                )
                for id, (heartbeat, at) in reported.items()
            ),
        )

    def _is_routine(self, heartbeat: Heartbeat) -> bool:
        """Whether the log already contains everything that a heartbeat says."""
        records = self._get_records()
        known = records.upstreams.get(heartbeat.info.id)
        if (
            known is None
            or known.draining
            or heartbeat.draining
            or heartbeat.is_capacity_unreadable
        ):
            return False
        if heartbeat.cold_left_ms:
            # The log does not say how much longer tasks will run slower there than usual.
            return False
        is_alike = heartbeat.info == known.info and heartbeat.sequence >= known.sequence
        return is_alike and not known.is_capacity_doubted and self._rejects_overload(heartbeat)

    def _rejects_overload(self, heartbeat: Heartbeat) -> bool:
        """Whether the upstream rejects overload itself, so a late capacity report is harmless."""
        configuration = self._get_records().configuration
        services = configuration.services if configuration is not None else ()
        return any(
            service.name == heartbeat.info.service and service.rejects_overload
            for service in services
        )


class ResponderDirectory:
    """The responders that report to the leader, and the assignment of upstreams to them."""

    def __init__(self, *, clock: Clock, own_address: str | None) -> None:
        self._clock = clock
        self._own_address = own_address
        self._reported_at: dict[str, timedelta] = {}

    def record_report(self, responder: str) -> None:
        """Record a report; its responder counts as active for `RESPONDER_TRUST_PERIOD`."""
        self._reported_at[responder] = self._clock.monotonic()

    def list_active(self) -> list[str]:
        """Return the active responders in order."""
        since = self._clock.monotonic() - RESPONDER_TRUST_PERIOD
        return sorted(responder for responder, at in self._reported_at.items() if at >= since)

    def choose(self, upstream: UpstreamId) -> str | None:
        """Return the address for an upstream's heartbeats; changes only with the responders."""
        responders = self.list_active()
        if not responders:
            return self._own_address
        return responders[_hash_upstream(upstream) % len(responders)]


def _hash_upstream(upstream: UpstreamId) -> int:
    return zlib.crc32(upstream.encode())
