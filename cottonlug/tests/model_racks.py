"""A model of upstreams in racks that crash and come back, under a succession of leaders."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from ..core.cluster.model import JobId, JobState, TaskRef
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from .model_upstreams import (
    Leader,
    ModelUpstream,
    World,
    build_info,
    build_queue,
    build_spec,
    milliseconds,
)

RACK = 4
"""Upstreams of a rack."""
ELECTION_SECONDS = 0.4
CONNECTED_AFTER = timedelta(seconds=3)
"""The platform's limit on starts after three crashes applies only to starts by a control host that
has been connected to the others, without faults, for this long."""
LENIENT_QUEUE = build_queue(max_attempts=50, target_ms=60_000)
"""For jobs that are useful for minutes, best-effort ones included."""


@dataclass(slots=True, kw_only=True)
class Site:
    """Upstreams in racks that are back some seconds after a crash, and a succession of leaders.

    Each instance of an upstream (a run of its process) is a model of its own.
    """

    world: World
    upstreams: dict[UpstreamId, ModelUpstream] = field(default_factory=dict)
    records: Records = field(default_factory=Records)
    leaders: list[Leader] = field(default_factory=list)
    back_after: Callable[[], timedelta]
    run_ms: Callable[[], float]
    instances: itertools.count[int] = field(default_factory=lambda: itertools.count(2))
    jobs: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    @property
    def leader(self) -> Leader:
        return self.leaders[-1]

    def add(self, name: str, rack: int, domain: str, address: str | None = None) -> ModelUpstream:
        info = build_info(name.partition("v")[0], domain=domain)
        info = msgspec.structs.replace(info, id=UpstreamId(name), labels=("a", f"r{rack}"))
        upstream = ModelUpstream(
            world=self.world,
            info=info,
            rate=self.world.random.uniform(0.98, 1.0),
            run_times=lambda job: milliseconds(self.run_ms()),
        )
        self.upstreams[info.id] = upstream
        return upstream

    def restart(self, crashed: ModelUpstream) -> None:
        """Start another instance at the address of an upstream that has crashed."""

        def begin() -> None:
            crashed.is_replaced = True
            name = f"{crashed.info.id.partition('v')[0]}v{next(self.instances)}"
            fresh = self.add(name, 0, crashed.info.domain)
            fresh.info = msgspec.structs.replace(fresh.info, labels=crashed.info.labels)
            self.send_heartbeats(fresh)

        self.world.at(self.back_after(), begin)

    def send_heartbeats(self, upstream: ModelUpstream) -> None:
        """Send heartbeats for as long as the upstream is up; an acting leader gets none."""
        if not upstream.is_up:
            return
        is_heard = not (self.leader.is_over or self.leader.is_acting)
        if is_heard and upstream.info.id not in self.leader.cut_off:
            self.leader.dispatch.handle_heartbeat(upstream.build_heartbeat(), self.world.now)
            self.leader.act()
        self.world.at(milliseconds(500), lambda: self.send_heartbeats(upstream))

    def elect_leader(self, term: int) -> None:
        """Replace the leader by another host, after the time that an election takes."""
        if self.leaders:
            self.leader.is_over = True
            self.world.connected_from = self.world.now + CONNECTED_AFTER
            self.run_for(ELECTION_SECONDS)
        token = term * TOKENS_PER_TERM
        leader = Leader(
            world=self.world, upstreams=self.upstreams, records=self.records, token=token
        )
        self.leaders.append(leader)

    def act_as_leader(self, level: int) -> None:
        """Replace the leader by a gateway that acts as leader, which knows no durable job."""
        self.leader.is_over = True
        known = Records()
        known.restore(self.records.encode())
        known.jobs = {}
        leader = Leader(
            world=self.world,
            upstreams=self.upstreams,
            records=known,
            token=self.leader.token + level,
            is_acting=True,
        )
        self.leaders.append(leader)

    def submit(self, *, durable: bool, tasks: int = 1, poison: int = 0, run_ms: int = 60) -> JobId:
        """Submit a job whose first `poison` tasks crash each upstream that starts them."""
        id = JobId(f"{next(self.jobs):016x}")
        self.world.crashing_tasks |= {TaskRef(id, 0, 0, place) for place in range(poison)}
        self.leader.submit(
            id, build_spec(tasks=tasks, run_ms=run_ms, durable=durable), LENIENT_QUEUE
        )
        return id

    def find_state(self, job: JobId) -> JobState | None:
        durable = self.records.jobs.get(job)
        if durable is not None:
            return durable.state
        # How a best-effort job ended is forgotten after some seconds, except for this.
        return JobState.FAILED if self.leader.dispatch.has_quarantined_task(job) else None

    def count_crashes(self, job: JobId) -> int:
        return sum(count for ref, count in self.world.crashes.items() if ref.job == job)

    def run_for(self, seconds: float) -> None:
        self.world.run_until(self.world.now + timedelta(seconds=seconds))


def build_site(seed: int, racks: int = 4, back_after: float = 2.0, run_ms: float = 60) -> Site:
    chance = random.Random(seed)
    site = Site(
        world=World(random=chance),
        back_after=lambda: timedelta(seconds=back_after),
        run_ms=lambda: run_ms,
    )
    site.world.on_crash = site.restart
    site.elect_leader(1)
    for number in range(racks * RACK):
        site.send_heartbeats(site.add(f"u{number + 1}", number // RACK, f"d{number % 2}"))
    site.run_for(0.1)
    return site
