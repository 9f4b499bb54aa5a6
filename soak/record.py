"""Record of one soak run: what callers, upstreams and the fault injector have seen and done.

The checks read nothing else. An event's `detail` is a JSON object in compact form; the comment of
each kind gives its fields. Times in events are those of the record's clock, names ending in `_ms`
are milliseconds.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from datetime import timedelta
from enum import Enum
from pathlib import Path
from typing import Any

Now = Callable[[], timedelta]
"""Returns the time on a monotonic clock."""


class EventKind(Enum):
    """What an event reports."""

    START = "start"
    """An upstream has begun a run: token, sender, spec (see `hash_spec`), checkpoint, capacity
    (cpu, mem_mb), is_late (the order was withheld before it was carried out)."""
    STOP = "stop"
    """An upstream has accepted a stop: token, sender."""
    END = "end"
    """A run has ended: how (`lost` if its upstream crashed), number."""
    CONFIRM = "confirm"
    """A coordinator has confirmed the end of a run: how, number, sender."""
    LAPSE = "lapse"
    """The lease of an upstream has expired."""
    HOLDER = "holder"
    """An upstream has accepted the first order of a sender under a fencing token: token, sender."""
    ORDER_REFUSED = "order_refused"
    """An upstream has refused an order: path, reason, token."""
    SUBMIT = "submit"
    """A caller sends a job: call, gateway, plan (see `callers.Plan`)."""
    CALL = "call"
    """A caller sends another request about a job: call, gateway, method."""
    ANSWER = "answer"
    """A caller's request has ended: call, gateway, method, status (0 without a response), state."""
    DISRUPTION = "disruption"
    """A fault begins or ends at `source`: what, phase (`begin`, `end`, or `moment` for a fault that
    does not last). Faults without a phase count as moments."""


@dataclass(frozen=True, slots=True)
class Event:
    """One event; `source` is the upstream's instance, the gateway called or the host disrupted."""

    at: timedelta
    kind: EventKind
    source: str
    job: str = ""
    task: str = ""
    run: int = 0
    detail: str = ""


class Phase(Enum):
    """Whether a disruption begins, ends, or has no duration."""

    BEGIN = "begin"
    END = "end"
    MOMENT = "moment"


def build_detail(**fields: object) -> str:
    """Return the detail of an event."""
    return json.dumps(fields, separators=(",", ":"))


def read_detail(event: Event) -> dict[str, Any]:
    """Return the fields of an event's detail; a detail that is plain text has none."""
    if not event.detail.startswith("{"):
        return {}
    fields: dict[str, Any] = json.loads(event.detail)
    return fields


class Record:
    """Events of one run."""

    def __init__(self, *, now: Now) -> None:
        self.now = now
        self._events: list[Event] = []

    @property
    def events(self) -> list[Event]:
        """Events in the order of their times; those of one time in the order of their recording."""
        return sorted(self._events, key=lambda event: event.at)

    def add(self, event: Event) -> None:
        """Add an event; it may be earlier than the last one."""
        self._events.append(event)

    def add_disruption(self, source: str, what: str, phase: Phase = Phase.MOMENT) -> None:
        """Add a disruption of a host or an upstream that begins, ends or happens now."""
        detail = build_detail(what=what, phase=phase.value)
        self.add(Event(self.now(), EventKind.DISRUPTION, source, detail=detail))

    def write(self, path: Path) -> None:
        """Write one JSON object a line."""
        with path.open("w") as file:
            for event in self.events:
                row = asdict(event) | {"at": event.at.total_seconds(), "kind": event.kind.value}
                file.write(json.dumps(row, separators=(",", ":")) + "\n")


def read_record(path: Path) -> Record:
    """Return a record that was written to a file, for checks of a run that was kept."""
    record = Record(now=timedelta)
    for line in path.read_text().splitlines():
        row = json.loads(line)
        at, kind = timedelta(seconds=row.pop("at")), EventKind(row.pop("kind"))
        record.add(Event(at=at, kind=kind, **row))
    return record
