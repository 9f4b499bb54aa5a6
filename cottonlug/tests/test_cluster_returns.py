"""Upstreams that are lost, and back at their address under another id after up to 90 s.

In the meantime others are lost, and leaders change. It is the same for a leader of the control
hosts and for an acting leader, which gets no heartbeats and never forgets a silent upstream.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from datetime import timedelta

import msgspec
import pytest

from ..core.cluster.commands import RemoveUpstreams
from ..core.cluster.crash_tracker import CrashTracker
from ..core.cluster.crashes import ONE_CRASH, ONE_LOSS, CrashCounts
from ..core.cluster.model import JobId, JobState
from ..core.ids import UpstreamId
from .model_racks import RACK, Site, build_site
from .model_upstreams import ModelUpstream, build_info, start_site_leader

RETURNS = [5.0, 11.0, 31.0, 61.0]
"""Seconds from the loss of an upstream until another instance answers at its address."""


def build_coordinated_site(seed: int, *, is_acting: bool, run_ms: float = 3_000) -> Site:
    """Return a site whose upstreams stay away, with a leader or an acting leader."""
    site = build_site(seed, run_ms=run_ms)
    site.world.on_crash = lambda upstream: None
    if is_acting:
        site.act_as_leader(1)
        site.run_for(1)
    return site


def find_runner(site: Site, job: JobId) -> ModelUpstream:
    (name,) = {where for ref, where in site.world.running.items() if ref.job == job}
    return site.upstreams[UpstreamId(name)]


def lose_with_task(site: Site, *, is_acting: bool) -> tuple[JobId, ModelUpstream]:
    """Have an upstream crash while it runs a task; return its job as well."""
    job = site.submit(durable=not is_acting, run_ms=3_000)
    site.run_for(0.3)
    upstream = find_runner(site, job)
    upstream.crash()
    return job, upstream


def come_back(site: Site, lost: Iterable[ModelUpstream]) -> None:
    """Start an instance of another kind at the address of each of the lost upstreams in turn."""
    for each in lost:
        each.is_replaced = True
        fresh = site.add(f"{each.info.id}v{next(site.instances)}", 0, each.info.domain)
        _, rack = each.info.labels
        fresh.info = msgspec.structs.replace(
            fresh.info, address=each.info.address, labels=("b", rack)
        )
        site.send_heartbeats(fresh)
        site.run_for(1.5)


def lose_another(site: Site) -> None:
    """Have an idle upstream crash, and a job start so that the loss is noticed."""
    idle = next(each for each in site.upstreams.values() if each.is_up and not each.runs)
    idle.crash()
    for _ in range(8):
        site.submit(durable=False, run_ms=100)
    site.run_for(1)


def get_counts(site: Site, job: JobId) -> CrashCounts:
    (suspect,) = site.leader.dispatch.jobs.crash_tracker.list_suspects(job)
    return suspect.counts


@pytest.mark.parametrize("is_acting", [False, True])
@pytest.mark.parametrize("seconds", RETURNS)
def test_a_late_return_counts_as_a_crash_like_an_early_one(seconds: float, is_acting: bool) -> None:
    """Guards against a coordinator that ends because other upstreams were lost in the meantime."""
    site = build_coordinated_site(11, is_acting=is_acting)
    job, lost = lose_with_task(site, is_acting=is_acting)
    site.run_for(seconds - 2)
    lose_another(site)
    come_back(site, [lost])
    assert get_counts(site, job) == ONE_CRASH
    assert lost.info.id not in site.leader.dispatch.instances


@pytest.mark.parametrize("is_acting", [False, True])
@pytest.mark.parametrize("seconds", RETURNS)
@pytest.mark.parametrize("lost_count", [RACK, RACK // 2])
def test_a_rack_that_is_replaced_one_by_one_is_no_fault_of_its_tasks(
    lost_count: int, seconds: float, is_acting: bool
) -> None:
    """Guards against blame once the neighbours, or their losses, are no longer known."""
    site = build_coordinated_site(12, is_acting=is_acting)
    jobs = [site.submit(durable=not is_acting, run_ms=3_000) for _ in range(16)]
    site.run_for(0.3)
    rack = [each for each in site.upstreams.values() if "r1" in each.info.labels][:lost_count]
    active = {ref.job for each in rack for ref in each.runs}
    for each in rack:
        each.crash()
    site.run_for(seconds)
    lose_another(site)
    come_back(site, rack)
    assert active
    assert all(get_counts(site, job) == ONE_LOSS for job in active)
    site.run_for(10)
    if not is_acting:
        assert {site.find_state(job) for job in jobs} == {JobState.COMPLETED}


@pytest.mark.parametrize("seconds", RETURNS)
def test_a_return_after_a_change_of_leader_is_counted(seconds: float) -> None:
    """Guards against a next leader that ends by what its predecessor has recorded."""
    site = build_coordinated_site(13, is_acting=False)
    job, lost = lose_with_task(site, is_acting=False)
    site.run_for(seconds / 2)
    site.elect_leader(2)
    site.run_for(seconds / 2 - 1)
    lose_another(site)
    come_back(site, [lost])
    assert get_counts(site, job).losses == 1
    site.run_for(10)
    assert site.find_state(job) is JobState.COMPLETED


def test_a_domain_is_removed_without_a_search_for_each_upstream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that is silent for longer than its lease as it forgets a domain."""
    infos = [build_info(f"u{number}", domain=f"d{number % 2}") for number in range(1_200)]
    leader = start_site_leader(infos, seed=1, run_ms=60)
    tracker, now = leader.dispatch.jobs.crash_tracker, leader.world.now
    lost = [each for each in leader.dispatch.instances.values() if each.info.domain == "d1"]
    for instance in lost:
        tracker.record_no_answer(instance, now)
    searches: list[timedelta] = []
    search = CrashTracker._drop_unrelated_losses

    def count_search(self: CrashTracker, at: timedelta) -> None:
        searches.append(at)
        search(self, at)

    monkeypatch.setattr(CrashTracker, "_drop_unrelated_losses", count_search)
    for instance in lost:
        command = RemoveUpstreams(upstreams=(instance.info.id,))
        leader.dispatch.handle_applied_command(command, now + timedelta(seconds=12))
    assert len(lost) == 600
    assert 1 <= len(searches) <= 10


def play_losses(seed: int, *, seconds: float, durable: bool) -> None:
    """Lose upstreams for 1 to 90 s each, beside changes of leaders.

    Without durable jobs, acting leaders are among them.
    """
    chance = random.Random(seed)
    site = build_site(seed + 200, racks=6)
    site.back_after = lambda: timedelta(seconds=chance.uniform(1, 90))
    site.run_ms = lambda: chance.choice((60, 900, 3_000))
    site.leader.dispatch.may_have_acting_leader = lambda: chance.random() < 0.5
    terms = 1
    while site.world.now < timedelta(seconds=seconds):
        for _ in range(4):
            site.submit(durable=durable, run_ms=900)
        site.run_for(chance.uniform(0.1, 1.5))
        up = [each for each in site.upstreams.values() if each.is_up]
        count = chance.choice((1, 1, 2, 3)) if len(up) > 12 else 0
        for each in chance.sample(up, count):
            each.crash()
        if chance.random() < 0.03:
            if durable or site.leader.is_acting or chance.random() < 0.5:
                terms += 1
                site.elect_leader(terms)
            else:
                site.act_as_leader(1)


@pytest.mark.parametrize("durable", [True, False])
@pytest.mark.parametrize("seed", range(4))
def test_no_order_of_losses_and_returns_ends_a_coordinator(seed: int, durable: bool) -> None:
    """Invariants of the model hold as well: no task runs twice at a time."""
    play_losses(seed, seconds=100, durable=durable)
