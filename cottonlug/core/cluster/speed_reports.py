"""Reports changed factors of run times: in the log of decisions, and to later leaders."""

from __future__ import annotations

import math
from datetime import timedelta

from .commands import RecordSpeeds
from .speeds import ServiceSpeeds
from .term import Term

MIN_CHANGE = math.log(1.1)
"""Change of a factor, on a logarithmic scale, from which on it is recorded anew: less is within the
scatter of run times."""
MIN_INTERVAL = timedelta(seconds=2)
"""Least time between two records, each of which is sent to all gateways as well. That much of what
was learned may be lost with a leader."""


class SpeedReporter:
    """Proposes to the log the factors that differ from the recorded ones.

    What an acting leader proposes changes its own copy of the records only.
    """

    def __init__(self, *, term: Term) -> None:
        self._term = term
        self._due = term.began_at

    def report_changes(self, now: timedelta) -> None:
        """Log and propose changed factors, unless others were proposed a short while ago."""
        if now < self._due:
            return
        changed = self._list_changed()
        if not changed:
            return
        self._due = now + MIN_INTERVAL
        for each in changed:
            self._log(each)
        self._term.proposals.append(RecordSpeeds(services=changed))

    def _list_changed(self) -> tuple[ServiceSpeeds, ...]:
        """Return the services with a changed factor; without kinds if these differ no more."""
        records = self._term.records.speeds
        current = {each.service: each for each in self._term.speeds.list_services()}
        for recorded in records.recorded:
            current.setdefault(recorded.service, ServiceSpeeds(service=recorded.service))
        return tuple(
            each for service, each in current.items() if _has_changed(records.get(service), each)
        )

    def _log(self, speeds: ServiceSpeeds) -> None:
        factors = sorted((kind.factor, kind.kind) for kind in speeds.kinds)
        self._term.log_decision(
            "kind_speeds_changed",
            {
                "service": speeds.service,
                "kinds": len(factors),
                "fastest": factors[0][1] if factors else "",
                "fastest_percent": round(factors[0][0] * 100) if factors else 100,
                "slowest": factors[-1][1] if factors else "",
                "slowest_percent": round(factors[-1][0] * 100) if factors else 100,
            },
        )


def _has_changed(recorded: ServiceSpeeds, current: ServiceSpeeds) -> bool:
    before = {each.kind: each.factor for each in recorded.kinds}
    after = {each.kind: each.factor for each in current.kinds}
    if bool(before) != bool(after):
        return True
    return any(
        abs(math.log(after.get(kind, 1.0) / before.get(kind, 1.0))) > MIN_CHANGE
        for kind in before.keys() | after.keys()
    )
