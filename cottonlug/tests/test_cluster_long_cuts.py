"""Failure domains that are cut off for longer than a leader keeps silent upstreams, and then heal.

While a domain is cut off, a gateway there acts as leader for it. A leader forgets upstreams that
are silent for `SILENT_AFTER`, unless an acting leader may use them. When the cut heals, it gets the
jobs of that acting leader, whose runs go on for up to a lease.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta

import pytest

from ..core.cluster import silent_upstreams
from ..core.cluster.model import JobId
from ..core.ids import DomainName, UpstreamId
from . import model_site
from .model_site import EAST, NORTH, SOUTH, ModelGateway, Site, build_site
from .model_upstreams import milliseconds
from .test_cluster_site import DOMAINS, change_leader

JOB = "a" * 16
LONG_RUN_MS = 5_000
"""Run time of a task that outlasts every lease."""
FORGET_AFTER = timedelta(seconds=14)
"""Replaces `FORGET_PARTITIONED_AFTER`, so that a test need not play an hour."""
CUT_SECONDS = (8, 12, 17)
"""Lengths of cuts on either side of `SILENT_AFTER` and of `FORGET_AFTER`. A leader hears nothing of
the domain for up to an interval of heartbeats (1.5 s) more, or for up to an election less."""

Heal = Callable[[Site, DomainName, random.Random], None]


def cut(site: Site, domain: DomainName, chance: random.Random) -> None:
    """Cut a domain off; a leader in it loses its lease 0.28 s later at most."""
    site.cut_off.add(domain)
    if site.leader is not None and site.leader.home == domain:
        change_leader(site, chance, chance.uniform(0, 280))


def heal_at_once(site: Site, domain: DomainName, chance: random.Random) -> None:
    """Restore all links of a domain."""
    site.cut_off.discard(domain)


def heal_upstreams_late(site: Site, domain: DomainName, chance: random.Random) -> None:
    """Restore the links of the upstreams 0.2 to 15 s later than those of the gateways."""
    for id in list_upstreams(site, domain):
        restore_later(site, id, chance.uniform(200, 15_000))
    site.cut_off.discard(domain)


def heal_gateways_in_turn(site: Site, domain: DomainName, chance: random.Random) -> None:
    """Restore the links of one gateway after the other, and of some upstreams late."""
    gateways = [each.name for each in site.list_up(domain)]
    for number, name in enumerate(chance.sample(gateways, len(gateways))):
        restore_later(site, name, chance.uniform(0, 200) + number * chance.uniform(50, 12_000))
    for id in list_upstreams(site, domain):
        if chance.random() < 0.3:
            restore_later(site, id, chance.uniform(200, 3_000))
    site.cut_off.discard(domain)


def heal_without_a_gateway(site: Site, domain: DomainName, chance: random.Random) -> None:
    """Restore all links as a gateway is killed that never comes back."""
    gateways = list(site.list_up(domain))
    if len(gateways) > 1:
        site.kill(chance.choice(gateways))
    chance.choice((heal_at_once, heal_upstreams_late))(site, domain, chance)


def heal_briefly(site: Site, domain: DomainName, chance: random.Random) -> None:
    """Restore all links, and cut the domain off again at once."""
    world = site.world
    site.cut_off.discard(domain)
    again = milliseconds(chance.uniform(20, 800))
    world.at(again, lambda: cut(site, domain, chance))
    lasts = milliseconds(chance.uniform(300, 14_000))
    world.at(again + lasts, lambda: site.cut_off.discard(domain))


def heal_as_the_leader_changes(site: Site, domain: DomainName, chance: random.Random) -> None:
    """Restore all links before, while or after another leader is elected."""
    change_leader(site, chance, chance.uniform(0, 600))
    way = chance.choice((heal_at_once, heal_upstreams_late))
    site.world.at(milliseconds(chance.uniform(0, 1_500)), lambda: way(site, domain, chance))


WAYS: tuple[Heal, ...] = (
    heal_at_once,
    heal_upstreams_late,
    heal_gateways_in_turn,
    heal_without_a_gateway,
    heal_briefly,
    heal_as_the_leader_changes,
)


def list_upstreams(site: Site, domain: DomainName) -> list[UpstreamId]:
    return [id for id, each in site.upstreams.items() if each.info.domain == domain]


def restore_later(site: Site, name: str, after_ms: float) -> None:
    """Keep a gateway or an upstream of a domain cut off for longer than the rest."""
    site.isolated.add(name)
    site.world.at(milliseconds(after_ms), lambda: site.isolated.discard(name))


def break_connections(site: Site, chance: random.Random, share: float) -> None:
    """Break connections of callers, which gateways notice; their jobs come back to any side."""
    for gateway in site.gateways:
        for call in [each for each in gateway.calls if chance.random() < share]:
            gateway.calls.remove(call)
            gateway._abandon(call)
            site.send_again(call, gateway.domain)


class Play:
    """A site that serves callers while domains are cut off."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.site = build_site(seed, upstreams_each=2)
        self.site.acts_for_all = self.chance.random() < 0.3
        self.site.elsewhere_share = 0.6
        self.jobs = 0
        for upstream in self.site.upstreams.values():
            upstream.run_times = self.choose_run_time

    def choose_run_time(self, job: JobId) -> timedelta:
        return milliseconds(self.chance.choice((60, 60, 700, 700, 2_500, 4_000)))

    def serve(self, span: timedelta, *, pauses_ms: tuple[int, ...] = (100, 150, 200)) -> None:
        """Submit jobs to all gateways for a time, and break connections now and then."""
        end = self.site.world.now + span
        while self.site.world.now < end:
            self.site.world.run_until(
                min(self.site.world.now + milliseconds(self.chance.choice(pauses_ms)), end)
            )
            for gateway in self.chance.sample(self.site.gateways, self.chance.choice((0, 1))):
                if gateway.is_up:
                    self.jobs += 1
                    run_ms = self.chance.choice((60, 900, 2_500))
                    self.site.submit(
                        f"{self.jobs:016x}", gateway, run_ms, self.chance.choice((1, 2))
                    )
            if self.chance.random() < 0.05:
                break_connections(self.site, self.chance, 0.5)

    def cut_and_heal(self) -> None:
        """Cut a domain off, mostly that of the leader, or two domains from each other."""
        site, chance = self.site, self.chance
        home = site.leader.home if site.leader is not None else NORTH
        length = timedelta(seconds=chance.uniform(5, 35))
        is_link = chance.random() < 0.2
        domain = home if not is_link and chance.random() < 0.6 else chance.choice(DOMAINS)
        if is_link:
            other = chance.choice([each for each in DOMAINS if each != domain])
            site.cut_links = {frozenset((domain, other))}
        else:
            cut(site, domain, chance)
        self.serve(timedelta(seconds=1))
        self.serve(length - timedelta(seconds=2), pauses_ms=(300, 600))
        self.serve(timedelta(seconds=1))
        site.cut_links.clear()
        chance.choice(WAYS)(site, domain, chance)
        self.serve(timedelta(seconds=3))

    def settle(self) -> None:
        """Let everything that is cut off come back."""
        while self.site.cut_off or self.site.isolated or self.site.leader is None:
            self.serve(timedelta(seconds=1), pauses_ms=(200, 400))


def play(seed: int, cuts: int = 2) -> Site:
    """Play long cuts; the model fails if a task runs twice at once."""
    each = Play(seed)
    for _ in range(cuts):
        each.cut_and_heal()
        each.settle()
    assert each.site.world.starts > 30
    return each.site


@pytest.mark.parametrize("seed", [1, 2, 4, 8, 12, 15])
def test_no_task_runs_twice_at_once_while_domains_are_cut_off_for_long(seed: int) -> None:
    play(seed)


def begin_before_heal(
    monkeypatch: pytest.MonkeyPatch, cut_seconds: float, domain: DomainName = NORTH
) -> tuple[Site, ModelGateway]:
    """Return a site after such a cut, and the gateway that acts as leader there.

    It has begun `JOB` 0.3 s ago. The leader is in another domain.
    """
    monkeypatch.setattr(silent_upstreams, "FORGET_PARTITIONED_AFTER", FORGET_AFTER)
    monkeypatch.setattr(model_site, "CALL_TIMEOUT", timedelta(minutes=1))
    site = build_site(5, upstreams_each=2)
    for upstream in site.upstreams.values():
        upstream.run_times = lambda job: milliseconds(LONG_RUN_MS)
    site.cut_off = {domain}
    if domain == NORTH:
        run_for(site, 280)
        site.lose_leader()
        run_for(site, 370)
        site.lead_from(SOUTH)
    run_for(site, cut_seconds * 1_000 - site.world.now / milliseconds(1))
    gateway = next(iter(site.list_up(domain)))
    site.submit(JOB, gateway, LONG_RUN_MS)
    run_for(site, 300)
    assert set(site.world.running.values()) <= set(list_upstreams(site, domain))
    assert site.world.starts == 1 and site.acting_leaders[domain].host == gateway.name
    return site, gateway


def run_for(site: Site, span_ms: float) -> None:
    site.world.run_until(site.world.now + milliseconds(span_ms))


def end_job(site: Site) -> None:
    """Let the job end; the model fails if a second run begins beside the first."""
    run_for(site, 12_000)
    assert not any(gateway.calls for gateway in site.gateways)


lengths = pytest.mark.parametrize("cut_seconds", CUT_SECONDS)


@lengths
@pytest.mark.parametrize("domain", [NORTH, EAST])
def test_heal_at_once(
    monkeypatch: pytest.MonkeyPatch, cut_seconds: float, domain: DomainName
) -> None:
    """Guards against a leader that forgets upstreams as the gateways reconnect, before a poll."""
    site, _ = begin_before_heal(monkeypatch, cut_seconds, domain)
    site.cut_off.clear()
    end_job(site)


@lengths
def test_heal_of_upstreams_after_their_gateways(
    monkeypatch: pytest.MonkeyPatch, cut_seconds: float
) -> None:
    """Guards against a second run while the upstream of the first one is still out of reach."""
    site, _ = begin_before_heal(monkeypatch, cut_seconds)
    for id in list_upstreams(site, NORTH):
        restore_later(site, id, 5_000)
    site.cut_off.clear()
    end_job(site)


@lengths
def test_heal_of_one_gateway_after_the_other(
    monkeypatch: pytest.MonkeyPatch, cut_seconds: float
) -> None:
    """Guards against a leader that takes an acting leader which it does not know for impossible."""
    site, acting = begin_before_heal(monkeypatch, cut_seconds)
    restore_later(site, acting.name, 2_000)
    for id in list_upstreams(site, NORTH):
        restore_later(site, id, 2_300)
    site.cut_off.clear()
    end_job(site)


@lengths
def test_heal_as_the_acting_leader_is_killed(
    monkeypatch: pytest.MonkeyPatch, cut_seconds: float
) -> None:
    """Guards against a second run for the caller of a gateway that does not come back."""
    site, acting = begin_before_heal(monkeypatch, cut_seconds)
    for id in list_upstreams(site, NORTH):
        restore_later(site, id, 2_000)
    site.cut_off.clear()
    site.kill(acting)
    end_job(site)


@lengths
@pytest.mark.parametrize("healed_ms", [120, 300])
def test_heal_before_the_next_cut(
    monkeypatch: pytest.MonkeyPatch, cut_seconds: float, healed_ms: float
) -> None:
    """Guards against a second run after a hand-over that the next cut interrupts."""
    site, _ = begin_before_heal(monkeypatch, cut_seconds)
    site.cut_off.clear()
    run_for(site, healed_ms)
    site.cut_off = {NORTH}
    run_for(site, 1_500)
    site.cut_off.clear()
    end_job(site)


@lengths
@pytest.mark.parametrize("lost_ms", [-700, -300, 100])
def test_heal_as_the_leader_changes(
    monkeypatch: pytest.MonkeyPatch, cut_seconds: float, lost_ms: float
) -> None:
    """Guards against a new leader that inherits a list from which upstreams are missing."""
    site, _ = begin_before_heal(monkeypatch, cut_seconds)
    world, heal_at = site.world, milliseconds(700)
    world.at(heal_at, site.cut_off.clear)
    world.at(heal_at + milliseconds(lost_ms), site.lose_leader)
    world.at(heal_at + milliseconds(lost_ms + 600), lambda: site.lead_from(EAST))
    end_job(site)


def test_heal_of_a_cut_between_two_domains(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a leader that takes a heartbeat through a third domain for an answer."""
    monkeypatch.setattr(model_site, "CALL_TIMEOUT", timedelta(minutes=1))
    site = build_site(5, upstreams_each=2)
    for upstream in site.upstreams.values():
        upstream.run_times = lambda job: milliseconds(LONG_RUN_MS)
    site.lead_from(SOUTH)
    site.cut_links = {frozenset((NORTH, SOUTH))}
    run_for(site, 12_000)
    site.submit(JOB, next(iter(site.list_up(SOUTH))), LONG_RUN_MS)
    run_for(site, 300)
    assert site.world.starts == 1 and not site.acting_leaders
    site.lead_from(NORTH)
    run_for(site, 600)
    site.cut_links.clear()
    end_job(site)
