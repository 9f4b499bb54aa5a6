"""Load pattern: a configuration grows to 1,740 queues while gateways have links of 9.5 Mbit/s.

Sent whole with each keep-alive answer it has 230 KB, which take 0.19 s; a keep-alive times out
after 0.1 s. On one day of the users' bench every gateway lost the leader with it, 26 of 32 began to
act as leaders, and a tenth of the callers was served from then on.
"""

from __future__ import annotations

import random
from datetime import timedelta

import msgspec
import pytest

from ..core.cluster.calls import FailoverState
from ..core.cluster.commands import SetConfiguration
from ..core.cluster.failover_state import merge_failover_state
from ..core.cluster.model import Configuration, ConfigurationVersion, Queue, Service, ServiceName
from ..core.cluster.records import Records
from ..runtime.coordinator_link import KEEPALIVE_TIMEOUT
from ..runtime.failover_store import FailoverStore
from ..runtime.gateway_registry import GatewayRegistry
from .gateway_builders import add_upstream, build_clock

LINK_BYTES_PER_SECOND = 9.5e6 / 8
MAX_ANSWER_BYTES = KEEPALIVE_TIMEOUT.total_seconds() / 2 * LINK_BYTES_PER_SECOND


def build_configuration(version: int, queues: int) -> Configuration:
    """Return a configuration with random names, which hardly compress."""
    chance = random.Random(version)
    service = ServiceName("orders")
    return Configuration(
        version=ConfigurationVersion(version),
        queues=tuple(
            Queue(
                name=f"r-{chance.randrange(1 << 40):x}",
                host=f"{chance.randrange(1 << 32):x}.example",
                prefix=f"/{chance.randrange(1 << 32):x}/",
                service=service,
                timeout_ms=1_500,
                target_latency_ms=60,
            )
            for _ in range(queues)
        ),
        services=(Service(name=service),),
        max_body_bytes=262_144,
        document="a long document",
    )


def configure(gateways: GatewayRegistry, records: Records, version: int, queues: int) -> None:
    command = SetConfiguration(configuration=build_configuration(version, queues))
    records.apply(command)
    gateways.failover_log.record_command(command)


def test_a_large_configuration_never_exceeds_what_a_slow_link_carries_in_time() -> None:
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    configure(gateways, records, 1, 3)
    for number in range(176):
        add_upstream(gateways, records, f"i-{number:08x}")
    state: FailoverState | None = None
    for version, queues in ((1, 3), (2, 1_740), (3, 1_741)):
        configure(gateways, records, version, queues)
        for _ in range(30):
            part = gateways.build_failover_state(records, state.version if state else "")
            assert part is not None and len(msgspec.json.encode(part)) < MAX_ANSWER_BYTES
            state = merge_failover_state(state, part)
            assert state is not None
            if not state.is_partial:
                break
        assert state is not None and not state.is_partial
        assert state.configuration is not None and state.configuration.document == ""
        assert state.configuration.version == version
        assert len(state.configuration.queues) == queues
        assert len(state.upstreams) == 176
        assert gateways.build_failover_state(records, state.version) is None


def test_a_gateway_keeps_its_queues_and_state_until_the_last_part_has_arrived() -> None:
    """Guards against callers' jobs without a known objective while a configuration arrives."""
    clock = build_clock()
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=clock)
    records = Records()
    configure(gateways, records, 1, 3)
    store = FailoverStore(clock=clock)
    first = gateways.build_failover_state(records, store.version)
    assert first is not None and store.receive(first)
    configure(gateways, records, 2, 1_740)
    complete = False
    while not complete:
        assert store.current is not None and store.current.configuration is not None
        assert store.current.configuration.version == 1
        assert store.queues is not None
        part = gateways.build_failover_state(records, store.version)
        assert part is not None
        complete = store.receive(part)
    assert store.current is not None and store.current.configuration is not None
    assert store.current.configuration.version == 2
    assert store.queues is not None
    last = store.current.configuration.queues[-1]
    assert store.queues.get(last.key) == last


@pytest.mark.parametrize("seed", range(20))
def test_parts_that_are_lost_or_overtaken_by_newer_configurations_never_mix(seed: int) -> None:
    """Guards against a configuration made of parts of two versions."""
    chance = random.Random(seed)
    clock = build_clock()
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=clock)
    records = Records()
    configure(gateways, records, 1, 400)
    state: FailoverState | None = None
    for turn in range(80):
        if turn < 50 and chance.random() < 0.15:
            newest = records.configuration
            assert newest is not None
            configure(gateways, records, newest.version + 1, chance.choice((3, 500, 900)))
        if chance.random() < 0.1:
            add_upstream(gateways, records, f"u{turn}")
        part = gateways.build_failover_state(records, state.version if state else "")
        clock.advance(timedelta(milliseconds=80))
        if part is not None and chance.random() < 0.8:
            state = merge_failover_state(state, part)
            assert state is not None
            received = state.configuration
            if received is not None:
                expected = build_configuration(received.version, len(received.queues))
                assert received.queues == expected.queues
    assert state is not None and not state.is_partial
    assert state.configuration is not None and records.configuration is not None
    assert state.configuration.queues == records.configuration.queues
