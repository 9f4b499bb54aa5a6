"""Example jobs that resemble the workloads of the two users, drawn from a seeded generator.

The user "skywatch" chooses whom to alert of an aurora, the user "al-mizan" computes tickets of
weighed loads. The field `ms` of a payload is how long the stand-in upstream takes for that task.
"""

from __future__ import annotations

import json
import random
from enum import Enum

from msgspec import Raw

from ..core.ids import KindName, TeamName
from ..core.messages import SubmitRequest

_MEAN_MS = 100
"""Mean run time of all tasks but the slow ones, and the run time that a job declares."""
_SLOW_SHARE = 0.002
"""Share of the tasks that take `_SLOW_MS`."""
_SLOW_MS = 1_500


class ExampleWorkload(Enum):
    """The workload that an example job resembles."""

    AURORA = "aurora"
    """Aurora alerts: one task for each subscriber."""
    TICKETS = "tickets"
    """Weighing tickets: one task for each load."""


def build_example_job(workload: ExampleWorkload, count: int, seed: int) -> SubmitRequest:
    """Return a job of `count` tasks; the same seed always gives the same job."""
    generator = random.Random(seed)
    is_alert = workload is ExampleWorkload.AURORA
    build_payload = _build_alert_payload if is_alert else _build_ticket_payload
    tasks = [Raw(json.dumps(build_payload(generator, index)).encode()) for index in range(count)]
    return SubmitRequest(
        team=TeamName("skywatch" if is_alert else "al-mizan"),
        kind=KindName("aurora.alert" if is_alert else "weigh.ticket"),
        tasks=tasks,
        run_time_ms=_MEAN_MS,
    )


def list_run_times(request: SubmitRequest) -> list[int]:
    """Return the run time of each task in milliseconds, as its payload states."""
    return [int(json.loads(bytes(task)).get("ms", 0)) for task in request.tasks]


def _draw_ms(generator: random.Random) -> int:
    if generator.random() < _SLOW_SHARE:
        return _SLOW_MS
    return 50 + int(generator.expovariate(1 / (_MEAN_MS - 50)))


def _build_alert_payload(generator: random.Random, index: int) -> dict[str, object]:
    return {
        "ms": _draw_ms(generator),
        "subscriber": index,
        "k_index": round(generator.uniform(1, 9), 1),
        "clouds": round(generator.random(), 2),
    }


def _build_ticket_payload(generator: random.Random, index: int) -> dict[str, object]:
    tare = generator.randint(8_000, 16_000)
    return {
        "ms": _draw_ms(generator),
        "ticket": index,
        "gross_kg": tare + generator.randint(0, 24_000),
        "tare_kg": tare,
        "material": generator.choice(["ferrous", "non-ferrous"]),
    }
