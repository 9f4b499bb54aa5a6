"""The failover state that gateways are sent so that they can act as leaders."""

from __future__ import annotations

import asyncio
import math
import random

import msgspec
import pytest

from ..core.cluster.calls import (
    Answer,
    FailoverState,
    Outcome,
)
from ..core.cluster.failover_state import (
    MAX_KEPT_CHANGES,
    MAX_UPSTREAMS_PER_PART,
    merge_failover_state,
)
from ..core.cluster.records import Records
from ..core.ids import UpstreamId
from ..runtime.coordinator_link import KEEPALIVE_TIMEOUT
from ..runtime.gateway_registry import GatewayRegistry
from .gateway_builders import (
    add_upstream,
    build_acting_gateway,
    build_clock,
    build_failover_state,
    build_gateway,
    build_keepalive,
)


def test_a_failover_state_contains_only_what_an_acting_leader_needs() -> None:
    clock = build_clock()
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=clock)
    gateways.handle_keepalive(build_keepalive("10.0.0.2:7000"))
    gateways.handle_keepalive(build_keepalive("10.0.0.1:7000"))
    records = Records()
    records.activate_configuration(build_failover_state().configuration)
    state = gateways.build_failover_state(records, "")
    assert state is not None
    assert [each.address for each in state.gateways] == ["10.0.0.1:7000", "10.0.0.2:7000"]
    assert state.configuration is not None
    assert state.configuration.document == ""
    assert state.configuration.queues
    gateways.handle_keepalive(build_keepalive("10.0.0.2:7000"))
    assert gateways.build_failover_state(records, state.version) is None
    gateways.failover_log.record_other_change()
    assert gateways.build_failover_state(records, state.version) is not None


def test_durable_jobs_change_the_state_only_when_the_first_begins_or_the_last_ends() -> None:
    """Guards against durable jobs that each send the state to all gateways (0.03 GB in 48 s)."""
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    before = gateways.failover_log.version
    gateways.record_durable_jobs(False)
    assert gateways.failover_log.version == before
    gateways.record_durable_jobs(True)
    begun = gateways.failover_log.version
    gateways.record_durable_jobs(True)
    assert gateways.failover_log.version == begun != before
    state = gateways.build_failover_state(Records(), "")
    assert state is not None and state.has_durable_jobs
    gateways.record_durable_jobs(False)
    assert gateways.failover_log.version not in (before, begun)


def test_a_failover_state_is_sent_whole_once_and_then_as_changes() -> None:
    """Guards against 35 KB sent to each of 44 gateways for each change of one upstream."""
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    records.activate_configuration(build_failover_state().configuration)
    for number in range(3):
        add_upstream(gateways, records, f"u{number}")
    whole = gateways.build_failover_state(records, "")
    assert whole is not None and not whole.base
    add_upstream(gateways, records, "u3")
    records.upstreams[UpstreamId("u1")].draining = True
    gateways.failover_log.record_upstream_change(UpstreamId("u1"))
    del records.upstreams[UpstreamId("u0")]
    gateways.failover_log.record_upstream_change(UpstreamId("u0"))
    update = gateways.build_failover_state(records, whole.version)
    assert update is not None
    assert (update.base, update.configuration) == (whole.version, None)
    assert [record.info.id for record in update.upstreams] == ["u3", "u1"]
    assert update.removed == ("u0",)
    merged = merge_failover_state(whole, update)
    fresh = gateways.build_failover_state(records, "")
    assert merged is not None and fresh is not None
    assert merged.configuration == fresh.configuration
    by_id = {record.info.id: record for record in merged.upstreams}
    assert by_id == {record.info.id: record for record in fresh.upstreams}
    assert merged.version == fresh.version


def test_changes_that_do_not_follow_on_the_known_state_are_discarded() -> None:
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    add_upstream(gateways, records, "u1")
    whole = gateways.build_failover_state(records, "")
    add_upstream(gateways, records, "u2")
    assert whole is not None
    update = gateways.build_failover_state(records, whole.version)
    assert update is not None
    assert merge_failover_state(None, update) is None
    assert merge_failover_state(msgspec.structs.replace(whole, version="2.9"), update) is None


def collect(gateways: GatewayRegistry, records: Records, version: str) -> tuple[FailoverState, int]:
    """Return the whole state as a gateway collects it, and the number of requests."""
    known: FailoverState | None = None
    for asked in range(1, 100):
        part = gateways.build_failover_state(records, version)
        assert part is not None
        assert bool(part.base) == (asked > 1)
        known = merge_failover_state(known, part)
        assert known is not None
        version = known.version
        if not known.is_partial:
            return known, asked
    raise AssertionError("the state is still incomplete after 99 parts")


def test_a_gateway_that_missed_too_much_or_knows_another_term_gets_the_whole_state() -> None:
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    known = gateways.failover_log.version
    for number in range(MAX_KEPT_CHANGES + 1):
        add_upstream(gateways, records, f"u{number}")
    for version in (known, "2.5", "", "x.y"):
        state, asked = collect(gateways, records, version)
        assert {each.info.id: each for each in state.upstreams} == records.upstreams
        assert asked == math.ceil((MAX_KEPT_CHANGES + 1) / MAX_UPSTREAMS_PER_PART)
        assert gateways.build_failover_state(records, state.version) is None


def test_no_answer_is_too_large_for_the_timeout_of_a_keep_alive() -> None:
    """Load pattern: 999 upstreams and 99 gateways find a new leader after all hosts were lost.

    The state of 225 KB takes 144 ms on a link of 12.5 Mbit/s, and a keep-alive times out after 100
    ms. If it were sent whole, each gateway would ask for it again and again, over new connections,
    and never get it.
    """
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    records.activate_configuration(build_failover_state().configuration)
    for number in range(999):
        add_upstream(gateways, records, f"i-{number:08x}")
    link_bytes_a_second = 12.5e6 / 8
    most = KEEPALIVE_TIMEOUT.total_seconds() / 2 * link_bytes_a_second
    version, state = "", None
    while state is None or state.is_partial:
        part = gateways.build_failover_state(records, version)
        assert part is not None
        assert len(msgspec.json.encode(part)) < most
        state = merge_failover_state(state, part)
        assert state is not None
        version = state.version
    assert len(state.upstreams) == 999


def test_many_changes_are_sent_in_parts_of_bounded_size() -> None:
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    for number in range(3 * MAX_UPSTREAMS_PER_PART):
        add_upstream(gateways, records, f"u{number}")
    state, _ = collect(gateways, records, "")
    for id in list(records.upstreams):
        records.upstreams[id].draining = True
        gateways.failover_log.record_upstream_change(id)
    for left in (True, True, False):
        part = gateways.build_failover_state(records, state.version)
        assert (
            part is not None
            and len(part.upstreams) == MAX_UPSTREAMS_PER_PART
            and part.is_partial is left
        )
        merged = merge_failover_state(state, part)
        assert merged is not None
        state = merged
    assert all(each.draining for each in state.upstreams)


@pytest.mark.parametrize("seed", range(20))
def test_a_gateway_receives_the_whole_state_despite_concurrent_changes_and_lost_parts(
    seed: int,
) -> None:
    chance = random.Random(seed)
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    for number in range(4 * MAX_UPSTREAMS_PER_PART):
        add_upstream(gateways, records, f"u{number}")
    known: FailoverState | None = None
    for turn in range(60):
        for _ in range(chance.choice((0, 3, 150)) if turn < 40 else 0):
            id = chance.choice(list(records.upstreams))
            fate = chance.random()
            if fate < 0.3:
                add_upstream(gateways, records, f"v{chance.randrange(1 << 30)}")
            elif fate < 0.6:
                del records.upstreams[id]
                gateways.failover_log.record_upstream_change(id)
            else:
                records.upstreams[id].sequence += 1
                gateways.failover_log.record_upstream_change(id)
        part = gateways.build_failover_state(records, known.version if known is not None else "")
        if part is not None and chance.random() < 0.8:
            known = merge_failover_state(known, part)
    assert known is not None and not known.is_partial
    assert {each.info.id: each for each in known.upstreams} == records.upstreams


def test_a_gateway_never_acts_as_leader_by_an_incomplete_state() -> None:
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


def test_an_acting_leader_sends_no_failover_state() -> None:
    """Guards against an acting leader that sends the whole state with each keep-alive answer."""

    async def play() -> Answer:
        gateway, _ = build_acting_gateway()
        await gateway.link.check_failover()
        assert gateway.acting_leader is not None
        answer = await gateway.answer_peer(build_keepalive("10.0.0.9:7000"))
        gateway.stop()
        return answer

    answer = asyncio.run(play())
    assert (answer.outcome, answer.failover_state, answer.is_acting_leader) == (
        Outcome.DONE,
        None,
        True,
    )
