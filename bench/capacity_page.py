"""Text of docs/CAPACITY.md, computed from measured costs per unit."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from .sweeps import find_newest_sweeps, render_sweeps

# The size to design for.
WORKERS = 4_400
ACCELERATORS = 6_900
STARTS_PER_SECOND = 110_000
DOMAINS = 7
CHANGES_PER_DAY = 12_000
SLOTS = 8
# Limits of what control may take on one host and in all (see `_render_head`).
NODE_CORE_SHARE = 0.017
NODE_MB = 64
NODE_BYTES_PER_SECOND = 15_000
CONTROL_HOSTS = 12
# Assumptions of the sizing.
TARGET_LOAD = 0.6
"""Share of a core that an entry host uses at the peak, with one failure domain down."""
IDLE_PARK_SECONDS = 30
RETENTION_SECONDS = 120
QUEUED_SECONDS = 2
"""Seconds of work that are queued at the peak."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Sizing:
    """Figures that follow from the measured costs at the design size."""

    tasks_per_exchange: float
    task_us: float
    starts_per_core: float
    hosts_per_domain: int
    sessions: int
    starts_per_host: float
    idle_share: float
    idle_bytes: float
    peak_bytes: float
    session_mb: float
    queued_mb: float
    retained_mb: float


def size_deployment(cost: dict[str, Any], slopes: dict[str, Any]) -> Sizing:
    """Return the sizing; every figure comes from a measured cost or a stated size."""
    load = cost["jobs_1100_50ms_tasks_24x8_slots"]
    processor = slopes["processor"]
    tasks_per_exchange = 2 / load["messages_per_task"]
    task_us = processor["task_us"] + processor["exchange_us"] / tasks_per_exchange
    starts_per_core = 1e6 / task_us
    # When one failure domain is down, the other ones carry its load.
    share = STARTS_PER_SECOND / (DOMAINS - 1)
    hosts_per_domain = math.ceil(share / (starts_per_core * TARGET_LOAD))
    sessions = math.ceil(WORKERS / DOMAINS)
    starts_per_host = STARTS_PER_SECOND / DOMAINS / hosts_per_domain
    renewals = sessions / IDLE_PARK_SECONDS
    wire = slopes["wire_bytes"]
    exchange_bytes = wire["idle_renewal"] + wire["group"]
    return Sizing(
        tasks_per_exchange=tasks_per_exchange,
        task_us=task_us,
        starts_per_core=starts_per_core,
        hosts_per_domain=hosts_per_domain,
        sessions=sessions,
        starts_per_host=starts_per_host,
        idle_share=renewals * processor["exchange_us"] / 1e6,
        idle_bytes=renewals * wire["idle_renewal"],
        peak_bytes=starts_per_host * (wire["task"] + exchange_bytes / tasks_per_exchange),
        session_mb=sessions * slopes["bytes_per_session"] / 2**20,
        queued_mb=starts_per_host * QUEUED_SECONDS * slopes["bytes_per_queued_task"] / 2**20,
        retained_mb=starts_per_host * RETENTION_SECONDS * slopes["bytes_per_kept_result"] / 2**20,
    )


def render_page(cost: dict[str, Any], slopes: dict[str, Any]) -> str:
    """Return the text of the whole page."""
    size = size_deployment(cost, slopes)
    return "\n".join(
        [
            _render_head(),
            _render_slopes(cost, slopes),
            _render_roles(cost, slopes, size),
            _render_limits(cost, slopes, size),
            render_sweeps(find_newest_sweeps()),
            _render_gaps(),
        ]
    )


def _render_head() -> str:
    return f"""# Capacity

This page is written by `make capacity` from slopes measured on one machine; do not edit it by hand.
The raw figures are in `bench/results/`. What runs today (24 upstreams, 7 to 9 entry hosts) comes
first; the size worked out here is {WORKERS:,} workers ({ACCELERATORS:,} accelerators),
{STARTS_PER_SECOND:,} task starts a second, {DOMAINS} failure domains in 3 regions, 73 teams and
{CHANGES_PER_DAY:,} configuration changes a day, in force everywhere within 4 s.

How two words are read here. **A node** is any host that runs one of our processes; its limits for
control ({NODE_CORE_SHARE:.1%} of a core, {NODE_MB} MB, {NODE_BYTES_PER_SECOND / 1000:.0f} KB/s) hold
for what it spends when no task moves: leases, heartbeats, configuration. Carrying tasks is work, not
control, and is sized separately. **Set aside for control** is a host that carries no tasks. None is:
voters are ordinary entry hosts with a disk, so 0 of {CONTROL_HOSTS} are used.
"""


def _render_slopes(cost: dict[str, Any], slopes: dict[str, Any]) -> str:
    processor = slopes["processor"]
    wire = slopes["wire_bytes"]
    rules = slopes["rules"]
    lone = cost["lone_50_ms_task"]
    naive = cost["naive"]["starts_per_core_second"]
    ours = cost["jobs_1100_50ms_tasks_24x8_slots"]
    ahead = cost["jobs_1100_50ms_tasks_24x8_slots_prefetch_1"]
    lines = [
        "## Measured slopes",
        "",
        "| what | figure | measured by |",
        "|---|---|---|",
        f"| processor time of an entry host for each task | {processor['task_us']:.1f} us | fit over two loads |",
        f"| the same for each exchange with an upstream | {processor['exchange_us']:.0f} us | fit over two loads |",
        f"| the fit's prediction of a third load | {processor['check']:.2f} of what was measured | `bench/cost.py` |",
        f"| starts a core second, 24 upstreams of 8 slots, 50 ms tasks, prefetch 4 (prefetch 1) | {ours['starts_per_core_second']:,.0f} ({ahead['starts_per_core_second']:,.0f}) | `bench/cost.py` |",
        f"| the same for the naive version in the same run | {naive:,.0f} | `bench/cost.py` |",
        f"| messages for each task (request and reply both count), likewise | {ours['messages_per_task']:.2f} ({ahead['messages_per_task']:.2f}) | `bench/cost.py` |",
        f"| added to a lone 50 ms task | {lone['added_ms']:.1f} ms, {lone['added_round_trips']:.1f} HTTP round trips | `bench/cost.py` |",
        f"| resident memory of an idle entry host | {cost['resident_mb_idle']:.0f} MB | `bench/cost.py` |",
        f"| memory for each upstream session | {slopes['bytes_per_session']:,.0f} B | `bench/capacity.py` |",
        f"| memory for each queued task, without its payload | {slopes['bytes_per_queued_task']:.0f} B | `bench/capacity.py` |",
        f"| memory for each kept result of 51 B | {slopes['bytes_per_kept_result']:.0f} B | `bench/capacity.py` |",
        f"| bytes for an idle lease renewal, both ways | {wire['idle_renewal']:.0f} B | `bench/capacity.py` |",
        f"| bytes for each further task, start and result | {wire['task']:.0f} B | `bench/capacity.py` |",
    ]
    for count, row in rules.items():
        lines.append(
            f"| one match against {count} rules, compiled (naive scan) | "
            f"{row['compiled_us']:.1f} us ({row['naive_us']:.1f} us) | `bench/capacity.py` |"
        )
    for count, row in slopes["sessions"].items():
        lines.append(
            f"| core time of one exchange, and of one lone start, at {count} sessions | "
            f"{row['exchange_us']:.0f} us, {row['lone_us']:.0f} us | `bench/sessions.py` |"
        )
    consensus = slopes.get("consensus")
    if consensus:
        lines += [
            f"| accepted changes a second, one at a time, 3 voters | {consensus['applies_per_second']:.0f} | `bench/consensus.py` |",
            f"| one accepted change against one write and sync of the same disk | {consensus['apply_over_sync']:.1f} times | `bench/consensus.py` |",
            f"| in force on the last of {consensus['hosts']} hosts after acceptance, worst of {consensus['changes']} | {consensus['in_force_worst_ms']:.0f} ms | `bench/consensus.py` |",
            f"| processor time of an idle voter that leads | {consensus['idle_leader_core_share']:.2%} of a core | `bench/consensus.py` |",
            f"| processor time of an idle host without a vote | {consensus['idle_follower_core_share']:.2%} of a core | `bench/consensus.py` |",
        ]
    return "\n".join(lines) + "\n"


def _render_roles(cost: dict[str, Any], slopes: dict[str, Any], size: Sizing) -> str:
    hosts = size.hosts_per_domain * DOMAINS
    consensus = slopes.get("consensus")
    voter = "not measured yet"
    if consensus:
        voter = f"{consensus['idle_leader_core_share']:.2%} of a core idle (measured, leader of 3)"
    return f"""## Roles at the size to design for

An exchange carries {size.tasks_per_exchange:.1f} tasks at 8 slots, so a task costs {size.task_us:.0f} us and one
core {size.starts_per_core:,.0f} starts a second. At {TARGET_LOAD:.0%} load with one failure domain gone that makes
**{size.hosts_per_domain} entry hosts of one core in each failure domain, {hosts} in all**, each with
{size.starts_per_host:,.0f} starts a second and links to the {size.sessions} upstreams of its domain.

| role | state | messages | processor | memory | mechanism |
|---|---|---|---|---|---|
| entry host, no task moving | {size.sessions} sessions | {size.sessions / IDLE_PARK_SECONDS:.0f} renewals/s, {size.idle_bytes / 1000:.1f} KB/s | {size.idle_share:.2%} of a core | {size.session_mb:.1f} MB over the process itself | parked exchange every {IDLE_PARK_SECONDS} s as lease renewal |
| entry host at the peak | {size.starts_per_host * RETENTION_SECONDS:,.0f} kept results, {size.starts_per_host * QUEUED_SECONDS:,.0f} queued tasks ({QUEUED_SECONDS} s of work) | {size.starts_per_host / size.tasks_per_exchange:,.0f} exchanges/s, {size.peak_bytes / 1e6:.1f} MB/s | {size.starts_per_host * size.task_us / 1e6:.0%} of a core | {size.retained_mb + size.queued_mb + size.session_mb:.0f} MB over the process itself | results and starts batched in one exchange; answers kept {RETENTION_SECONDS} s |
| voter (3 to 5 entry hosts with a disk) | rules document, log since the last snapshot | heartbeats, {CHANGES_PER_DAY / 86_400:.2f} changes/s | {voter} | within the entry host | quorum log; synced before it counts |
| host without a vote | rules document | one parked long poll | see slopes | within the entry host | long poll at a voter |
| upstream host | nothing of ours | {size.hosts_per_domain} parked requests | theirs | theirs | it dials us and splits its slots as credit |
"""


def _render_limits(cost: dict[str, Any], slopes: dict[str, Any], size: Sizing) -> str:
    process_mb = cost["resident_mb_idle"]
    control_mb = process_mb + size.session_mb
    rows = [
        (
            "processor, no task moving",
            f"{size.idle_share:.2%}",
            f"{NODE_CORE_SHARE:.1%}",
            size.idle_share <= NODE_CORE_SHARE,
        ),
        (
            "memory: process and sessions",
            f"{control_mb:.0f} MB",
            f"{NODE_MB} MB",
            control_mb <= NODE_MB,
        ),
        (
            "bytes, no task moving",
            f"{size.idle_bytes / 1000:.1f} KB/s",
            "15 KB/s",
            size.idle_bytes <= NODE_BYTES_PER_SECOND,
        ),
        ("hosts set aside for control", "0", str(CONTROL_HOSTS), True),
    ]
    consensus = slopes.get("consensus")
    if consensus:
        share = size.idle_share + consensus["idle_leader_core_share"]
        row = ("the same for the voter that leads", f"{share:.2%}", f"{NODE_CORE_SHARE:.1%}")
        rows.insert(1, (*row, share <= NODE_CORE_SHARE))
    lines = [
        "## Against the limits",
        "",
        "| what | worked out | limit | fits |",
        "|---|---|---|---|",
    ]
    lines += [
        f"| {name} | {figure} | {limit} | {'yes' if fits else '**no**'} |"
        for name, figure, limit, fits in rows
    ]
    lines += [
        "",
        f"The process itself takes {process_mb:.0f} MB before the first session, nearly all of it imports.",
        "Where the leading voter does not fit: its heartbeats cost a client call each, so fewer of them, or",
        "a voter that owns fewer upstreams, are the ways that are open. Kept answers at the peak come on top",
        "of the memory above; they are work, not control, and could be packed into one buffer a job.",
    ]
    return "\n".join(lines) + "\n"


def _render_gaps() -> str:
    return """## Not built or not measured yet

- The submission ledger is not replicated: a job's record lives in its home host and is lost with it.
- Quotas of 73 teams: shares between teams are weighted fair on each host; a quota across hosts is not
  built.
- Work does not spill between failure domains; a domain serves with its own upstreams.
- The slopes come from loopback on one machine: real networks add waiting, not processor time, but
  that is an expectation, not a measurement. Sessions were measured to 629 in the core, but
  only to 24 as real connections.
- Failure rates (60 hosts fail and 360 restart a day, a rack a week) are met by leases and new
  sessions; their cost at this size is not measured.
- Spreading the configuration down a tree of more than one level is not built; today every host
  without a vote polls a voter.
"""


__all__ = ["render_page", "size_deployment"]
