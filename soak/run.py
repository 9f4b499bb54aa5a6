"""One run of the soak: processes, stand-ins and disruptions side by side, then the checks."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from pathlib import Path

from .callers import Callers, CallerSettings
from .checks import find_gaps, find_violations
from .disruptions import Scene, carry_out, send_configuration
from .domains import describe_answers
from .fleet import SERVICE, Fleet, FleetError, FleetSize
from .plan import Disruption, Targets, build_plan
from .record import EventKind, Record
from .upstreams import StandInUpstream

_RACK_SIZE = 8
_START_LIMIT_SECONDS = 60.0
_SETTLE_SECONDS = 8.0
"""Time after the last disruption in which all accepted jobs are to end."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakSettings:
    """What is run, and where its record goes."""

    seed: int
    duration: timedelta
    series: int
    cuts_domains: bool
    replaces_upstreams: bool
    size: FleetSize
    callers: CallerSettings
    output: Path


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakResult:
    """What a run has shown."""

    broken_promises: list[str]
    """One line each: what the checks found and the processes that ended by themselves."""
    gaps: list[str]
    """What the run has not put to the test."""
    counts: Mapping[EventKind, int]
    disruptions: int
    answers: str
    """Shares of jobs that were answered; empty without a cut of a failure domain."""


async def run_soak(settings: SoakSettings) -> SoakResult:
    """Run the soak once and write its record; raise `FleetError` if the processes do not start."""
    settings.output.mkdir(parents=True, exist_ok=True)
    record = Record(now=lambda: timedelta(seconds=time.monotonic()))
    fleet = Fleet(size=settings.size, output=settings.output, record=record)
    upstreams: list[StandInUpstream] = []
    try:
        callers = Callers(
            record=record,
            gateways=fleet.caller_addresses,
            random=random.Random(f"callers {settings.seed}"),
            host=fleet.caller_host,
            settings=settings.callers,
        )
        upstreams += _build_upstreams(settings, fleet, record, callers)
        scene = Scene(
            fleet=fleet,
            upstreams={upstream.name: upstream for upstream in upstreams},
            record=record,
            chance=random.Random(f"scene {settings.seed}"),
        )
        async with asyncio.timeout(_START_LIMIT_SECONDS):
            await _start(scene)
        plan = build_plan(
            seed=settings.seed,
            duration=settings.duration,
            series=settings.series,
            cuts_domains=settings.cuts_domains,
            replaces_upstreams=settings.replaces_upstreams,
            targets=Targets(
                control_hosts=fleet.control_hosts,
                gateways=fleet.gateways,
                upstreams=list(scene.upstreams),
            ),
        )
        _write_plan(settings.output / "plan.txt", plan)
        until = (record.now() + settings.duration).total_seconds()
        async with asyncio.TaskGroup() as group:
            group.create_task(callers.run(until))
            group.create_task(carry_out(plan, scene))
        await asyncio.sleep(_SETTLE_SECONDS)
        failures = fleet.find_failures()
    except TimeoutError as error:
        raise FleetError("the deployment did not start in time") from error
    finally:
        for upstream in upstreams:
            await upstream.stop()
        await fleet.close()
        record.write(settings.output / "record.jsonl")
    return SoakResult(
        broken_promises=[str(violation) for violation in find_violations(record)] + failures,
        gaps=find_gaps(record),
        counts=Counter(event.kind for event in record.events),
        disruptions=len(plan),
        answers=describe_answers(record),
    )


async def _start(scene: Scene) -> None:
    for upstream in scene.upstreams.values():
        await upstream.start()
    await scene.fleet.start()
    await send_configuration(scene.fleet.control_hosts, scene)
    for name in scene.fleet.gateways:
        await scene.fleet.wait_ready(name)


def _build_upstreams(
    settings: SoakSettings, fleet: Fleet, record: Record, callers: Callers
) -> list[StandInUpstream]:
    def build(number: int) -> StandInUpstream:
        address = (fleet.get_upstream_host(number), fleet.ports.upstream)

        return StandInUpstream(
            record=record,
            name=f"u{number}",
            service=SERVICE,
            domain=fleet.get_domain(number),
            rack=f"rack-{number // _RACK_SIZE}",
            host=address[0],
            port=address[1],
            control_addresses=fleet.control_addresses,
            random=random.Random(f"upstream {settings.seed} {number}"),
            work=callers.find_work,
            identify=fleet.identify,
            reaches=partial(fleet.cuts.reaches, upstream=f"u{number}"),
            reports_start_time=True,
        )

    return [build(number) for number in range(settings.size.upstreams)]


def _write_plan(file: Path, plan: list[Disruption]) -> None:
    lines = (
        f"{each.start.total_seconds():8.3f} {each.length.total_seconds():6.3f} "
        f"series {each.series} {each.kind.value} {' '.join(each.targets)}\n"
        for each in plan
    )
    file.write_text("".join(lines))
