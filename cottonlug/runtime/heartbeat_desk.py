"""Heartbeats that tell nothing new, answered by a control host that does not lead.

Load pattern: thousands of upstreams, each with a heartbeat every second or two. All of them at the
leader were two thirds of its descriptors and a third of its time. So where there are many, the
leader spreads them over the other control hosts; these answer what their own log knows already, and
tell the leader in one call whom they have heard. All else is passed on as before.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Awaitable, Callable
from datetime import timedelta

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import Answer, ReportHeartbeats, ReportedHeartbeat, Outcome
from ..core.cluster.model import Heartbeat
from ..core.cluster.records import Records
from ..core.ids import UpstreamId

SPREAD_FROM = 500
"""Upstreams; with fewer the leader takes all heartbeats itself, and nothing has a detour."""
TELL_EVERY = timedelta(milliseconds=250)
"""How old what the leader knows may become by the detour; it bears ten seconds of silence."""
TRUSTED_FOR = timedelta(seconds=1)
"""For so long after the leader took in what was told; later heartbeats are passed on."""

Tell = Callable[[ReportHeartbeats], Awaitable[Answer]]


class HeartbeatDesk:
    """What one control host has heard since it last told the leader."""

    def __init__(
        self, *, control_address: str, clock: Clock, get_records: Callable[[], Records]
    ) -> None:
        self._control_address = control_address
        self._clock = clock
        self._get_records = get_records
        self._heard: dict[UpstreamId, tuple[Heartbeat, timedelta]] = {}
        self._told_at: timedelta | None = None
        self.answered = 0
        """Heartbeats that were answered here."""

    def is_needed(self) -> bool:
        """Whether there are so many upstreams that their heartbeats are spread."""
        return len(self._get_records().upstreams) >= SPREAD_FROM

    def take(self, heartbeat: Heartbeat) -> Answer | None:
        """Answer a heartbeat that tells nothing new; None where the leader must have it."""
        now = self._clock.monotonic()
        is_trusted = self._told_at is not None and now - self._told_at < TRUSTED_FOR
        if not (is_trusted and self.is_needed() and self._is_routine(heartbeat)):
            return None
        self._heard[heartbeat.info.id] = (heartbeat, now)
        self.answered += 1
        return Answer(outcome=Outcome.DONE, leader_control=self._control_address)

    async def tell_forever(self, tell: Tell) -> None:
        """Tell the leader again and again who was heard, be it nobody: it learns of this desk."""
        while True:
            await asyncio.sleep(TELL_EVERY.total_seconds())
            if self.is_needed():
                await self._tell(tell)

    async def _tell(self, tell: Tell) -> None:
        asked_at = self._clock.monotonic()
        answer = await tell(self._build_report(asked_at))
        if answer.outcome is Outcome.DONE:
            self._told_at = asked_at

    def _build_report(self, now: timedelta) -> ReportHeartbeats:
        heard, self._heard = self._heard, {}
        return ReportHeartbeats(
            responder=self._control_address,
            upstreams=tuple(
                ReportedHeartbeat(
                    upstream=id,
                    sequence=heartbeat.sequence,
                    clock_ms=heartbeat.clock_ms,
                    age_ms=to_milliseconds(now - at),
                )
                for id, (heartbeat, at) in heard.items()
            ),
        )

    def _is_routine(self, heartbeat: Heartbeat) -> bool:
        """Whether the log says already all that a heartbeat does."""
        records = self._get_records()
        known = records.upstreams.get(heartbeat.info.id)
        if known is None or known.draining or heartbeat.draining or heartbeat.has_no_capacity:
            return False
        if heartbeat.cold_left_ms:
            return False
        is_alike = heartbeat.info == known.info and heartbeat.sequence >= known.sequence
        return is_alike and not known.is_capacity_doubted and self._is_guarded(heartbeat)

    def _is_guarded(self, heartbeat: Heartbeat) -> bool:
        """Whether the upstream guards its capacity, so that it does not matter when it told it."""
        configuration = self._get_records().configuration
        services = configuration.services if configuration is not None else ()
        return any(
            service.name == heartbeat.info.service and service.rejects_overload
            for service in services
        )


class Desks:
    """The desks that the leader has heard, and which of them each upstream is sent to."""

    def __init__(self, *, clock: Clock, own: str | None) -> None:
        self._clock = clock
        self._own = own
        self._told_at: dict[str, timedelta] = {}

    def note(self, desk: str) -> None:
        """Count on a desk for a while."""
        self._told_at[desk] = self._clock.monotonic()

    def list_known(self) -> list[str]:
        """Return the desks that can be counted on now, in order."""
        since = self._clock.monotonic() - TRUSTED_FOR
        return sorted(desk for desk, at in self._told_at.items() if at >= since)

    def choose(self, upstream: UpstreamId) -> str | None:
        """Return where an upstream sends its heartbeats: always the same while the desks are."""
        desks = self.list_known()
        if not desks:
            return self._own
        return desks[_mix(upstream) % len(desks)]


def _mix(upstream: UpstreamId) -> int:
    return zlib.crc32(upstream.encode())
