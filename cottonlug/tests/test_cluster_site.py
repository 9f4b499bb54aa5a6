"""Seeded random faults on the model of a site, which fails the test if a task runs twice at once.

The faults are cuts of a domain, changes of leader, killed gateways, lost stops and late orders, and
coordinators whose process is delayed, so that the messages they handle are outdated.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta

import pytest

from ..core.cluster.model import JobState
from .model_site import EAST, NORTH, SOUTH, Site, build_site
from .model_upstreams import MAX_STOP_TIME, milliseconds

LENGTH_MS = 12_000
Fault = Callable[[Site, random.Random], None]


def change_leader(site: Site, chance: random.Random, lasts_ms: float = 0.0) -> None:
    """End the term of the leader, and have another host lead 0.4 to 1.2 s later."""
    former = site.leader
    if former is None:
        return

    def end() -> None:
        if site.leader is former:
            site.lose_leader()

    def elect() -> None:
        if site.leader in (None, former):
            site.lead_from(chance.choice([each for each in DOMAINS if each not in site.cut_off]))

    site.world.at(milliseconds(lasts_ms), end)
    site.world.at(milliseconds(chance.uniform(400, 1_200)), elect)


def cut_domain(site: Site, chance: random.Random) -> None:
    """Cut a domain off; a leader in it loses its majority, and its lease 0.28 s later at most."""
    if site.cut_off or site.leader is None:
        return
    site.cut_off = {chance.choice(DOMAINS)}
    site.world.at(milliseconds(chance.uniform(300, 3_000)), site.cut_off.clear)
    if site.leader.home in site.cut_off:
        change_leader(site, chance, chance.uniform(0, 280))


def kill_gateway(site: Site, chance: random.Random) -> None:
    gateway = chance.choice(site.gateways)
    if not gateway.is_up:
        return

    def restart() -> None:
        gateway.is_up, gateway.leader_seen_at = True, site.world.now

    site.kill(gateway)
    site.world.at(milliseconds(1_500), restart)


def lose_stops(site: Site, chance: random.Random) -> None:
    site.stops_lost_at = set(chance.sample(list(site.upstreams), 3))
    site.world.at(milliseconds(chance.uniform(100, 1_500)), site.stops_lost_at.clear)


def delay_coordinator(site: Site, chance: random.Random) -> None:
    """Delay a coordinator repeatedly, with 25 ms between two delays."""
    coordinators = [
        each for each in (site.leader, *site.acting_leaders.values()) if each is not None
    ]
    delayed = chance.choice(coordinators) if coordinators else None
    span = milliseconds(chance.choice((120, 250, 600)))

    def delay() -> None:
        if delayed is not None:
            delayed.busy_until = site.world.now + span

    for number in range(chance.choice((1, 3, 6))):
        site.world.at((span + milliseconds(25)) * number, delay)


DOMAINS = (NORTH, SOUTH, EAST)
FAULTS: tuple[Fault, ...] = (cut_domain, change_leader, kill_gateway, lose_stops)


def play(
    seed: int,
    faults: tuple[Fault, ...],
    late_share: float,
    durable_share: float = 0.0,
    stop_time: timedelta = timedelta(),
) -> Site:
    """Play faults on a site; `durable_share` is the chance of a durable job at each submission."""
    site = build_site(seed, upstreams_each=3, late_share=late_share)
    site.world.stop_time = stop_time
    chance = random.Random(seed)
    for upstream in site.upstreams.values():
        upstream.run_times = lambda job: milliseconds(chance.choice((60, 700, 2_500, 4_000)))
    number, at_ms = 0, 300
    while at_ms < LENGTH_MS:
        at_ms += chance.choice((50, 100, 150, 300))
        site.world.run_until(milliseconds(at_ms))
        for gateway in chance.sample(site.gateways, chance.choice((0, 1, 2))):
            if gateway.is_up:
                number += 1
                run_ms = chance.choice((900, 2_500))
                tasks = chance.choice((1, 2))
                if durable_share and chance.random() < durable_share:
                    site.submit_durable(f"{number:016x}", run_ms, tasks)
                else:
                    site.submit(f"{number:016x}", gateway, run_ms, tasks)
        if chance.random() < 0.06 * len(faults):
            chance.choice(faults)(site, chance)
    assert site.world.starts > 30
    return site


@pytest.mark.parametrize("seed", range(12))
def test_no_task_runs_twice_at_once_while_the_coordinator_changes(seed: int) -> None:
    play(seed, FAULTS, late_share=0.02)


@pytest.mark.parametrize("seed", range(12))
def test_no_task_runs_twice_at_once_while_coordinators_are_delayed(seed: int) -> None:
    play(seed, (cut_domain, *[delay_coordinator] * 5), late_share=0.0)


@pytest.mark.parametrize("seed", range(12))
def test_no_durable_task_is_lost_or_runs_twice_while_gateways_act_as_leader(seed: int) -> None:
    """Durable jobs are accepted and started while no gateway has heard of them."""
    play_durable(seed)


@pytest.mark.parametrize("seed", range(12))
def test_no_durable_task_runs_beside_a_run_that_is_being_stopped(seed: int) -> None:
    play_durable(seed, stop_time=MAX_STOP_TIME)


def play_durable(seed: int, stop_time: timedelta = timedelta()) -> None:
    """Play changes of leader with durable jobs among others, all of which have to complete."""
    faults = (cut_domain, change_leader, kill_gateway)
    site = play(seed, faults, late_share=0.0, durable_share=0.5, stop_time=stop_time)
    site.cut_off.clear()
    site.world.run_until(site.world.now + milliseconds(2_000))
    if site.leader is None:
        site.lead_from(NORTH)
    site.world.run_until(site.world.now + milliseconds(60_000))
    durable = [site.records.jobs[job] for job in site.world.durable_jobs]
    assert len(durable) > 10
    assert {record.state for record in durable} == {JobState.COMPLETED}
