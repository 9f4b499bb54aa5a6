"""Randomised runs of the site model: evacuations with network cuts, leader changes and kills."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest

from ..core.cluster.model import JobId
from ..core.ids import DomainName, UpstreamId
from .model_site import EAST, NORTH, SOUTH, Site, build_site
from .model_upstreams import milliseconds
from .test_cluster_site import cut_domain, kill_gateway
from .test_evacuations import commit

DOMAINS_OF_SITE = (NORTH, SOUTH, EAST)
EFFECTIVE_WITHIN = milliseconds(500)
"""An order commits in 15 ms and a start arrives 4 ms after sending; operators tolerate 5 s."""
LONGEST_DELAY = milliseconds(4)
"""Longest time for which a start is under way."""


class Campaign:
    """A site whose domains are evacuated and used again while other faults occur."""

    def __init__(self, seed: int) -> None:
        self.site = build_site(seed, upstreams_each=3)
        self.chance = random.Random(seed)
        self.evacuated_since: dict[DomainName, timedelta] = {}
        """When the order was committed, by evacuated domain."""
        self.orders = 0
        for upstream in self.site.upstreams.values():
            upstream.run_times = self.choose_run_times(upstream.info.id)

    def choose_run_times(self, id: UpstreamId):  # type: ignore[no-untyped-def]
        """Return a function that chooses a run time and checks the start of a run."""
        domain = self.site.upstreams[id].info.domain

        def choose(job: JobId) -> timedelta:
            now = self.site.world.now
            evacuated_since = self.evacuated_since.get(domain)
            if evacuated_since is not None and self.is_order_known(domain):
                assert (
                    now <= evacuated_since + EFFECTIVE_WITHIN
                ), f"{job} starts in {domain}, evacuated"
            return milliseconds(self.chance.choice((60, 700, 2_500)))

        return choose

    def is_order_known(self, domain: DomainName) -> bool:
        """Return whether no acting leader starts tasks there that has not heard of the order.

        The leader may be lost before the gateways have heard of an order that is committed.
        """
        now = self.site.world.now
        acting = self.site.acting_leaders.get(domain)
        return (
            acting is None
            or (acting.is_over and now > acting.decided_at + LONGEST_DELAY)
            or domain in acting.records.evacuations.evacuated
        )

    def send_order(self) -> None:
        leader = self.site.leader
        domain = self.chance.choice(DOMAINS_OF_SITE)
        if leader is None or leader.is_over or leader.home in self.site.cut_off:
            return
        begin = domain not in self.evacuated_since
        self.evacuated_since.pop(domain, None)
        commit(leader, domain, is_evacuated=begin)
        self.orders += 1
        if begin:
            self.evacuated_since[domain] = self.site.world.now

    def play(self) -> None:
        world, number = self.site.world, 0
        while world.now < timedelta(seconds=14):
            world.run_until(world.now + milliseconds(self.chance.choice((50, 100, 150))))
            for gateway in self.chance.sample(self.site.gateways, self.chance.choice((0, 1, 2))):
                if gateway.is_up:
                    number += 1
                    self.site.submit(f"{number:016x}", gateway, 900)
            if self.chance.random() < 0.12:
                self.send_order()
            if self.chance.random() < 0.05:
                self.chance.choice((cut_domain, kill_gateway, change_leader))(
                    self.site, self.chance
                )


def change_leader(site: Site, chance: random.Random) -> None:
    """Change the leader immediately, as after a graceful shutdown."""
    if site.leader is not None:
        site.lead_from(
            chance.choice([each for each in DOMAINS_OF_SITE if each not in site.cut_off])
        )


@pytest.mark.parametrize("seed", range(40))
def test_no_run_starts_in_an_evacuated_domain_under_random_faults(seed: int) -> None:
    campaign = Campaign(seed)
    campaign.play()
    assert campaign.orders > 3 and campaign.site.world.starts > 30
