"""Command line: `python -m soak --seed 43 --seconds 60 --series 2 --output DIR`.

Exit status 0: every promise held. 1: at least one was broken; they are printed. 2: the run could
not be made, and nothing is known.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import traceback
from datetime import timedelta
from enum import IntEnum
from pathlib import Path

import uvloop

from .callers import CallerSettings
from .fleet import FleetSize
from .record import EventKind
from .run import SoakResult, SoakSettings, run_soak

_SIZE, _CALLERS = FleetSize(), CallerSettings()


class ExitStatus(IntEnum):
    """What a run has shown, for scripts."""

    HELD = 0
    VIOLATIONS = 1
    COULD_NOT_RUN = 2


def read_arguments(arguments: list[str]) -> SoakSettings:
    """Return the settings of a run from the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description="Randomized fault soak.")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=60.0, help="time of the disruptions")
    parser.add_argument("--series", type=int, default=2, help="disruptions at the same time")
    parser.add_argument(
        "--cuts", action="store_true", help="also cut failure domains off, for 3 to 32 s each"
    )
    parser.add_argument(
        "--losses",
        action="store_true",
        help="also lose upstreams and replace them after 2 to 61 s",
    )
    parser.add_argument("--gateways", type=int, default=_SIZE.gateways)
    parser.add_argument("--upstreams", type=int, default=_SIZE.upstreams)
    parser.add_argument("--rate", type=float, default=_CALLERS.rate_per_s, help="jobs a second")
    parser.add_argument(
        "--durable-share",
        type=float,
        default=_CALLERS.durable_share,
        help="share of durable jobs; no gateway acts as leader while one is open",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=_CALLERS.timeout.total_seconds(),
        help="seconds that callers wait for an answer",
    )
    parser.add_argument("--output", type=Path, required=True, help="folder of record and logs")
    given = parser.parse_args(arguments)
    return SoakSettings(
        seed=given.seed,
        duration=timedelta(seconds=given.seconds),
        series=given.series,
        cuts_domains=given.cuts,
        replaces_upstreams=given.losses,
        size=FleetSize(gateways=given.gateways, upstreams=given.upstreams),
        callers=CallerSettings(
            rate_per_s=given.rate,
            durable_share=given.durable_share,
            timeout=timedelta(seconds=given.timeout),
        ),
        output=given.output,
    )


async def _run(settings: SoakSettings) -> SoakResult:
    task = asyncio.current_task()
    assert task is not None
    # The processes end with the run, also when it is told to stop.
    for number in (signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await run_soak(settings)


def main(arguments: list[str]) -> ExitStatus:
    """Run the soak, print what it found and return the exit status."""
    settings = read_arguments(arguments)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            result = runner.run(_run(settings))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        traceback.print_exc()
        return ExitStatus.COULD_NOT_RUN
    print(
        f"seed {settings.seed}: {result.counts[EventKind.SUBMIT]} submissions, "
        f"{result.counts[EventKind.START]} starts, {result.disruptions} disruptions"
    )
    if result.answers:
        print(result.answers)
    for gap in result.gaps:
        print(f"not tested: {gap}")
    print("\n".join(result.broken_promises) or "every promise held")
    return ExitStatus.VIOLATIONS if result.broken_promises else ExitStatus.HELD


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
