"""Seeded example jobs that resemble the users' workloads."""

from __future__ import annotations

import json
import random
from enum import Enum

from msgspec import Raw

from ..core.ids import KindName, TeamName
from ..core.messages import SubmitRequest

_MEAN_MS = 100
"""Mean run time of all tasks but the slow ones."""
_SLOW_SHARE = 0.002
"""Share of the tasks that take `_SLOW_MS`."""
_SLOW_MS = 1_500


class ExampleWorkload(Enum):
    """The workload that an example job resembles."""

    AURORA = "aurora"
    TICKETS = "tickets"


def build_example_job(workload: ExampleWorkload, count: int, seed: int) -> SubmitRequest:
    """Return a job of `count` tasks; the same seed always gives the same job."""
    chance = random.Random(seed)
    is_alert = workload is ExampleWorkload.AURORA
    build = _build_alert if is_alert else _build_ticket
    tasks = [Raw(json.dumps(build(chance, index)).encode()) for index in range(count)]
    return SubmitRequest(
        team=TeamName("skywatch" if is_alert else "al-mizan"),
        kind=KindName("aurora.alert" if is_alert else "weigh.ticket"),
        tasks=tasks,
        run_time_ms=_MEAN_MS,
    )


def sum_run_times(request: SubmitRequest) -> list[int]:
    """Return the run time of each task in milliseconds, as stated in its payload."""
    return [int(json.loads(bytes(task)).get("ms", 0)) for task in request.tasks]


def _draw_ms(chance: random.Random) -> int:
    if chance.random() < _SLOW_SHARE:
        return _SLOW_MS
    return 50 + int(chance.expovariate(1 / (_MEAN_MS - 50)))


def _build_alert(chance: random.Random, index: int) -> dict[str, object]:
    return {
        "ms": _draw_ms(chance),
        "subscriber": index,
        "k_index": round(chance.uniform(1, 9), 1),
        "clouds": round(chance.random(), 2),
    }


def _build_ticket(chance: random.Random, index: int) -> dict[str, object]:
    tare = chance.randint(8_000, 16_000)
    return {
        "ms": _draw_ms(chance),
        "ticket": index,
        "gross_kg": tare + chance.randint(0, 24_000),
        "tare_kg": tare,
        "material": chance.choice(["ferrous", "non-ferrous"]),
    }
