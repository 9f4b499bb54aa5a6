"""The disruptions of a run, drawn from a seed: the same arguments give the same plan.

A seed sets the plan and not the timing of the processes, so a run may hold where another one with
the same seed failed.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .domains import CUT_DOMAIN

LEADER = "leader"
"""Target that stands for the control host that leads when the disruption begins."""

PAUSES = (0.15, 0.35, 0.7, 1.1, 2.0)
"""Seconds: below and above the leader's lease (0.28 s) and an upstream's lease (0.92 s)."""
GAPS = (0.05, 0.4, 1.5, 3.0)
"""Seconds between two disruptions of one series."""
CUT_LENGTHS = (3.0, 32.0)
"""Seconds, shortest and longest: below and above the 10 s after which a leader may forget a silent
upstream, and up to the longest cut that users have met."""
FIRST_CUT = 6.0
"""Seconds without a cut at the beginning, so that jobs run when the first one begins."""
CUT_GAPS = (0.0, 0.5, 3.0, 8.0)
"""Seconds between two cuts of failure domains."""
WIPE_INTERVAL = 12.0
"""Seconds between two wiped disks: a replaced member must have caught up before the next loss, as
a majority of the disks holds each entry."""
AWAY_LENGTHS = (2.0, 12.0, 31.0, 61.0)
"""Seconds until another instance answers at the address of a lost upstream: below and above the
times after which a coordinator may forget one (10 s), or what it knows of its loss."""
LOSS_GAPS = (0.0, 0.6, 2.5)
"""Seconds between two losses of one series."""
LOSS_SERIES = 3
"""Series of losses that overlap; all but one begin with a long one, so that others are lost in the
meantime."""
CONTROL_OUTAGE_START = 2.0
"""Seconds after which no control host runs in every second run with losses."""
FIRST_LOSSES = (4.0, 6.0)
"""Seconds between which the first loss of a series begins: a gateway acts as leader by then."""
RETURN_SECONDS = 8.0
"""Seconds at the end of a run in which upstreams are back, and no more are lost."""
LEADER_KILL_LEAD = 0.1
"""Seconds by which a leader is killed before the cut of upstreams heals."""


class DisruptionKind(Enum):
    """What is done to a run."""

    PAUSE = "pause"
    KILL = "kill"
    """All targets at the same moment, and all start again at the end."""
    WIPE_DISK = "wipe_disk"
    """All targets are killed, the first one loses its disk, and all start again."""
    TERMINATE = "terminate"
    """One target after the other stops gracefully and starts again."""
    RELOAD = "reload"
    CHANGE_CONFIGURATION = "change_configuration"
    CUT_UPSTREAMS = "cut_upstreams"
    CUT_UPSTREAMS_KILL_LEADER = "cut_upstreams_kill_leader"
    """The leader is killed shortly before the cut heals."""
    CRASH_UPSTREAMS = "crash_upstreams"
    RESTART_UPSTREAMS = "restart_upstreams"
    """They start again at once, under the id and the address that they had."""
    SILENCE_UPSTREAMS = "silence_upstreams"
    DELAY_ORDERS = "delay_orders"
    """Upstreams carry out some orders seconds late, without an answer."""
    DELAY_LINK = "delay_link"
    RESET_LINK = "reset_link"
    CUT_LINK_ONE_WAY = "cut_link_one_way"
    CUT_HOST = "cut_host"
    SILENCE_LINK = "silence_link"
    REPLACE_UPSTREAMS = "replace_upstreams"
    """They are lost, and then instances of another kind answer at their addresses."""
    CUT_DOMAIN = CUT_DOMAIN
    """The failure domain of the target, with its hosts and upstreams."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Disruption:
    """One disruption; a series begins the next one only when this one has ended."""

    series: int
    start: timedelta
    """Since the beginning of the run."""
    length: timedelta
    kind: DisruptionKind
    targets: tuple[str, ...]
    """Names of hosts or upstreams, or `LEADER`.

    For links the two ends, from sender to receiver, or one host, for its links to all others.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class Targets:
    """The hosts and upstreams that a plan may disrupt."""

    control_hosts: Sequence[str]
    gateways: Sequence[str]
    upstreams: Sequence[str]


def build_plan(
    *,
    seed: int,
    duration: timedelta,
    series: int,
    targets: Targets,
    cuts_domains: bool = False,
    replaces_upstreams: bool = False,
) -> list[Disruption]:
    """Return disruptions in the order of their start; those of different series overlap.

    `cuts_domains` adds a series of cuts of failure domains, `replaces_upstreams` some of upstreams
    that are lost and replaced; both leave the other series as they are.
    """
    plan = _build_cuts(seed, duration.total_seconds(), series, targets) if cuts_domains else []
    if replaces_upstreams:
        plan += _build_losses(seed, duration.total_seconds(), series + 1, targets)
    chance = random.Random(seed)
    seconds = duration.total_seconds()
    free_at = [chance.choice(GAPS) for _ in range(series)]
    next_wipe_at = 0.0
    while min(free_at, default=seconds) < seconds:
        number = free_at.index(min(free_at))
        start = free_at[number]
        kind = chance.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        if kind is DisruptionKind.WIPE_DISK:
            if start < next_wipe_at:
                continue
            next_wipe_at = start + WIPE_INTERVAL
        length = _choose_length(chance, kind)
        plan.append(
            Disruption(
                series=number,
                start=timedelta(seconds=round(start, 3)),
                length=timedelta(seconds=round(length, 3)),
                kind=kind,
                targets=_choose_targets(chance, kind, targets),
            )
        )
        free_at[number] = start + length + chance.choice(GAPS)
    return sorted(plan, key=lambda disruption: disruption.start)


def _build_cuts(seed: int, seconds: float, series: int, targets: Targets) -> list[Disruption]:
    """Return cuts of failure domains, one after the other, the last one ended by the duration."""
    chance = random.Random(f"cuts {seed}")
    cuts: list[Disruption] = []
    start = FIRST_CUT
    while seconds - start >= CUT_LENGTHS[0]:
        length = min(chance.uniform(*CUT_LENGTHS), seconds - start)
        cuts.append(
            Disruption(
                series=series,
                start=timedelta(seconds=round(start, 3)),
                length=timedelta(seconds=round(length, 3)),
                kind=DisruptionKind.CUT_DOMAIN,
                targets=(chance.choice([LEADER, *targets.control_hosts]),),
            )
        )
        start += length + chance.choice(CUT_GAPS)
    return cuts


def _build_losses(
    seed: int, seconds: float, first_series: int, targets: Targets
) -> list[Disruption]:
    """Return losses of upstreams, beside a gateway that is lost for the whole run.

    As that gateway may be beyond a partition, no silent upstream is forgotten. With odd seeds all
    control hosts are lost as well for most of the run, so that a gateway acts as leader.
    """
    chance = random.Random(f"losses {seed}")
    ends_at = seconds - RETURN_SECONDS

    def build(
        number: int, start: float, end: float, kind: DisruptionKind, names: Sequence[str]
    ) -> Disruption:
        return Disruption(
            series=first_series + number,
            start=timedelta(seconds=round(start, 3)),
            length=timedelta(seconds=round(end - start, 3)),
            kind=kind,
            targets=tuple(names),
        )

    plan = [build(0, 0.0, seconds, DisruptionKind.KILL, targets.gateways[-1:])]
    if seed % 2:
        hosts = targets.control_hosts
        plan.append(build(1, CONTROL_OUTAGE_START, ends_at, DisruptionKind.KILL, hosts))
    for number in range(2, 2 + LOSS_SERIES):
        start = chance.uniform(*FIRST_LOSSES)
        lengths: Sequence[float] = AWAY_LENGTHS[-2:] if number > 2 else AWAY_LENGTHS[:2]
        while start < ends_at:
            end = min(start + chance.choice(lengths), ends_at)
            names = chance.sample(list(targets.upstreams), chance.choice((1, 1, 2, 3)))
            plan.append(build(number, start, end, DisruptionKind.REPLACE_UPSTREAMS, names))
            start = end + chance.choice(LOSS_GAPS)
            lengths = AWAY_LENGTHS
    return plan


WEIGHTS = {
    DisruptionKind.PAUSE: 5,
    DisruptionKind.KILL: 5,
    DisruptionKind.WIPE_DISK: 2,
    DisruptionKind.TERMINATE: 2,
    DisruptionKind.RELOAD: 1,
    DisruptionKind.CHANGE_CONFIGURATION: 2,
    DisruptionKind.CUT_UPSTREAMS: 2,
    DisruptionKind.CUT_UPSTREAMS_KILL_LEADER: 2,
    DisruptionKind.CRASH_UPSTREAMS: 1,
    DisruptionKind.RESTART_UPSTREAMS: 2,
    DisruptionKind.SILENCE_UPSTREAMS: 1,
    DisruptionKind.DELAY_ORDERS: 1,
    DisruptionKind.DELAY_LINK: 1,
    DisruptionKind.RESET_LINK: 1,
    DisruptionKind.CUT_LINK_ONE_WAY: 2,
    DisruptionKind.CUT_HOST: 2,
    DisruptionKind.SILENCE_LINK: 1,
}
"""How often each kind is drawn: changes of leader have found most faults so far."""

_MOMENTS = (
    DisruptionKind.RELOAD,
    DisruptionKind.CHANGE_CONFIGURATION,
    DisruptionKind.TERMINATE,
)
_LONGER = (
    DisruptionKind.CUT_UPSTREAMS,
    DisruptionKind.CUT_UPSTREAMS_KILL_LEADER,
    DisruptionKind.SILENCE_UPSTREAMS,
    DisruptionKind.DELAY_ORDERS,
    DisruptionKind.CUT_HOST,
)


def _choose_length(chance: random.Random, kind: DisruptionKind) -> float:
    if kind in _MOMENTS:
        return 0.0
    # Upstreams must be away for longer than a lease, or the cut changes nothing.
    return chance.choice(PAUSES) + (1.0 if kind in _LONGER else 0.0)


def _choose_targets(
    chance: random.Random, kind: DisruptionKind, targets: Targets
) -> tuple[str, ...]:
    control_hosts, gateways, upstreams = (
        list(targets.control_hosts),
        list(targets.gateways),
        list(targets.upstreams),
    )
    hosts = control_hosts + gateways

    def draw(pool: list[str], *counts: int) -> tuple[str, ...]:
        return tuple(chance.sample(pool, min(chance.choice(counts), len(pool))))

    match kind:
        case DisruptionKind.PAUSE | DisruptionKind.KILL:
            groups = [
                (LEADER,),
                draw(gateways, 1),
                tuple(control_hosts),
                (LEADER, *draw(gateways, 1)),
            ]
            return chance.choices(groups, (4, 2, 2, 1))[0]
        case DisruptionKind.WIPE_DISK:
            wiped = chance.choice(control_hosts)
            others = [name for name in control_hosts if name != wiped]
            return (wiped, *others) if chance.random() < 0.5 else (wiped,)
        case DisruptionKind.TERMINATE:
            return chance.choice([draw(control_hosts, 1, 3), draw(gateways, 1, 2, 3)])
        case DisruptionKind.RELOAD:
            return draw(hosts, 1, len(hosts))
        case DisruptionKind.CHANGE_CONFIGURATION:
            return draw(control_hosts, 1, 2)
        case DisruptionKind.CUT_UPSTREAMS | DisruptionKind.CUT_UPSTREAMS_KILL_LEADER:
            return draw(upstreams, 2, 4, 8)
        case DisruptionKind.CRASH_UPSTREAMS | DisruptionKind.RESTART_UPSTREAMS:
            return draw(upstreams, 1, 2)
        case DisruptionKind.SILENCE_UPSTREAMS:
            return draw(upstreams, 3)
        case DisruptionKind.DELAY_ORDERS:
            return draw(upstreams, 8, 16)
        case DisruptionKind.CUT_HOST:
            return chance.choice([(LEADER,), draw(hosts, 1)])
        case _:
            one, other = chance.sample(hosts, 2)
            return chance.choice([(one, other), (LEADER, one), (one, LEADER), (LEADER,), (one,)])
