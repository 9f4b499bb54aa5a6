"""What gateways are told so that they can stand in."""

from __future__ import annotations

import asyncio
import math
import random

import msgspec
import pytest

from ..core.cluster.calls import (
    Answer,
    Outcome,
    Roster,
)
from ..core.cluster.records import Records
from ..core.cluster.rosters import (
    KEPT_CHANGES,
    PART,
    merge_roster,
)
from ..core.ids import UpstreamId
from ..runtime.decider import KEEPALIVE_TIMEOUT
from ..runtime.gateways import GatewayRegistry
from .gateway_builders import (
    add_upstream,
    build_clock,
    build_gateway,
    build_failover_state,
    build_keepalive,
    build_acting_gateway,
)


def test_a_roster_holds_what_a_deputy_decides_by_and_no_more() -> None:
    clock = build_clock()
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=clock)
    gateways.handle_keepalive(build_keepalive("10.0.0.2:7000"))
    gateways.handle_keepalive(build_keepalive("10.0.0.1:7000"))
    records = Records()
    records.put_in_force(build_failover_state().configuration)
    roster = gateways.build_failover_state(records, "")
    assert roster is not None
    assert [each.address for each in roster.gateways] == ["10.0.0.1:7000", "10.0.0.2:7000"]
    assert roster.configuration is not None
    assert roster.configuration.document == ""
    assert roster.configuration.queues
    gateways.handle_keepalive(build_keepalive("10.0.0.2:7000"))
    assert gateways.build_failover_state(records, roster.version) is None
    gateways.failover_log.note_other()
    assert gateways.build_failover_state(records, roster.version) is not None


def test_kept_jobs_change_the_roster_only_when_the_first_begins_or_the_last_ends() -> None:
    """Failed on a site of kept jobs: each job sent a roster to each gateway (0.03 GB in 48 s)."""
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    before = gateways.failover_log.version
    gateways.record_durable_jobs(False)
    assert gateways.failover_log.version == before
    gateways.record_durable_jobs(True)
    begun = gateways.failover_log.version
    gateways.record_durable_jobs(True)
    assert gateways.failover_log.version == begun != before
    roster = gateways.build_failover_state(Records(), "")
    assert roster is not None and roster.keeps_jobs
    gateways.record_durable_jobs(False)
    assert gateways.failover_log.version not in (before, begun)


def test_a_roster_is_sent_whole_once_and_then_as_changes() -> None:
    """Each change of one upstream sent 35 KB to each of 44 gateways."""
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    records.put_in_force(build_failover_state().configuration)
    for number in range(3):
        add_upstream(gateways, records, f"u{number}")
    whole = gateways.build_failover_state(records, "")
    assert whole is not None and not whole.base
    add_upstream(gateways, records, "u3")
    records.upstreams[UpstreamId("u1")].draining = True
    gateways.failover_log.note_upstream(UpstreamId("u1"))
    del records.upstreams[UpstreamId("u0")]
    gateways.failover_log.note_upstream(UpstreamId("u0"))
    update = gateways.build_failover_state(records, whole.version)
    assert update is not None
    assert (update.base, update.configuration) == (whole.version, None)
    assert [record.info.id for record in update.upstreams] == ["u3", "u1"]
    assert update.removed == ("u0",)
    merged = merge_roster(whole, update)
    fresh = gateways.build_failover_state(records, "")
    assert merged is not None and fresh is not None
    assert merged.configuration == fresh.configuration
    by_id = {record.info.id: record for record in merged.upstreams}
    assert by_id == {record.info.id: record for record in fresh.upstreams}
    assert merged.version == fresh.version


def test_changes_that_do_not_follow_on_what_is_known_are_left_out() -> None:
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    add_upstream(gateways, records, "u1")
    whole = gateways.build_failover_state(records, "")
    add_upstream(gateways, records, "u2")
    assert whole is not None
    update = gateways.build_failover_state(records, whole.version)
    assert update is not None
    assert merge_roster(None, update) is None
    assert merge_roster(msgspec.structs.replace(whole, version="2.9"), update) is None


def collect(gateways: GatewayRegistry, records: Records, version: str) -> tuple[Roster, int]:
    """Return the roster of a gateway that asks until it has the whole, and how often it asked."""
    known: Roster | None = None
    for asked in range(1, 100):
        part = gateways.build_failover_state(records, version)
        assert part is not None
        assert bool(part.base) == (asked > 1)
        known = merge_roster(known, part)
        assert known is not None
        version = known.version
        if not known.is_partial:
            return known, asked
    raise AssertionError("it never ends")


def test_a_gateway_that_missed_too_much_or_knows_another_term_gets_the_whole_roster() -> None:
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    known = gateways.failover_log.version
    for number in range(KEPT_CHANGES + 1):
        add_upstream(gateways, records, f"u{number}")
    for version in (known, "2.5", "", "x.y"):
        roster, asked = collect(gateways, records, version)
        assert {each.info.id: each for each in roster.upstreams} == records.upstreams
        assert asked == math.ceil((KEPT_CHANGES + 1) / PART)
        assert gateways.build_failover_state(records, roster.version) is None


def test_no_answer_is_too_large_for_the_time_that_a_greeting_is_waited_for() -> None:
    """Load pattern: 999 upstreams and 99 gateways find a new leader after all hosts were lost.

    Their roster of 225 KB took 144 ms on a link of 12.5 Mbit/s, and a greeting is given up after
    100: each gateway asked for it again and again, over new connections, and none ever had it.
    """
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    records.put_in_force(build_failover_state().configuration)
    for number in range(999):
        add_upstream(gateways, records, f"i-{number:08x}")
    link_bytes_a_second = 12.5e6 / 8
    most = KEEPALIVE_TIMEOUT.total_seconds() / 2 * link_bytes_a_second
    version, roster = "", None
    while roster is None or roster.is_partial:
        part = gateways.build_failover_state(records, version)
        assert part is not None
        assert len(msgspec.json.encode(part)) < most
        roster = merge_roster(roster, part)
        assert roster is not None
        version = roster.version
    assert len(roster.upstreams) == 999


def test_many_changes_come_in_parts() -> None:
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    for number in range(3 * PART):
        add_upstream(gateways, records, f"u{number}")
    roster, _ = collect(gateways, records, "")
    for id in list(records.upstreams):
        records.upstreams[id].draining = True
        gateways.failover_log.note_upstream(id)
    for left in (True, True, False):
        part = gateways.build_failover_state(records, roster.version)
        assert part is not None and len(part.upstreams) == PART and part.is_partial is left
        merged = merge_roster(roster, part)
        assert merged is not None
        roster = merged
    assert all(each.draining for each in roster.upstreams)


@pytest.mark.parametrize("seed", range(20))
def test_a_gateway_ends_with_what_the_record_says_whatever_changes_meanwhile(seed: int) -> None:
    chance = random.Random(seed)
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    for number in range(4 * PART):
        add_upstream(gateways, records, f"u{number}")
    known: Roster | None = None
    for turn in range(60):
        for _ in range(chance.choice((0, 3, 150)) if turn < 40 else 0):
            id = chance.choice(list(records.upstreams))
            fate = chance.random()
            if fate < 0.3:
                add_upstream(gateways, records, f"v{chance.randrange(1 << 30)}")
            elif fate < 0.6:
                del records.upstreams[id]
                gateways.failover_log.note_upstream(id)
            else:
                records.upstreams[id].sequence += 1
                gateways.failover_log.note_upstream(id)
        part = gateways.build_failover_state(records, known.version if known is not None else "")
        if part is not None and chance.random() < 0.8:
            known = merge_roster(known, part)
    assert known is not None and not known.is_partial
    assert {each.info.id: each for each in known.upstreams} == records.upstreams


def test_a_gateway_stands_in_by_its_last_whole_roster() -> None:
    gateway = build_gateway(build_clock())
    whole = build_failover_state()
    gateway.link.receive_failover_state(whole)
    part = msgspec.structs.replace(whole, version="9.5>u1", term=9, is_partial=True)
    gateway.link.receive_failover_state(part)
    assert gateway.link.failover_store.current is whole
    rest = msgspec.structs.replace(
        part, version="9.5", base="9.5>u1", is_partial=False, upstreams=()
    )
    gateway.link.receive_failover_state(rest)
    assert (
        gateway.link.failover_store.current is not None
        and gateway.link.failover_store.current.term == 9
    )
    assert len(gateway.link.failover_store.current.upstreams) == len(whole.upstreams)


def test_a_deputy_sends_no_rosters() -> None:
    """Found by reading: it sent the whole one with each answer to a greeting."""

    async def play() -> Answer:
        gateway, _ = build_acting_gateway()
        await gateway.link.replace_leader()
        assert gateway.acting_leader is not None
        answer = await gateway.answer_peer(build_keepalive("10.0.0.9:7000"))
        gateway.stop()
        return answer

    answer = asyncio.run(play())
    assert (answer.outcome, answer.roster, answer.is_deputy) == (Outcome.DONE, None, True)
