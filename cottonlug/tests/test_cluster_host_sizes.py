"""Gateways of unequal size: what they report, which are small, who acts as leader, and tokens."""

from __future__ import annotations

import asyncio
import itertools
import random
import re
from pathlib import Path

import msgspec
import pytest

from ..config.cluster import _SIZE_OPTIONS, load_gateway_settings
from ..core.clock import ManualClock
from ..core.cluster.acting_levels import LEVELS_PER_NUMBER, ActingLevels
from ..core.cluster.calls import Answer, Call, FailoverState, GatewayInfo, KeepAlive, Outcome
from ..core.cluster.failover_state import choose_queried_gateways
from ..core.cluster.host_sizes import HostSize, list_preceding
from ..core.cluster.records import Records
from ..core.ids import DomainName
from ..exceptions import SettingsError
from ..runtime.acting_leader import ACT_AS_LEADER_AFTER_SILENCE
from ..runtime.coordinator_link import RELAY_AFTER, Via
from ..runtime.gateway import Gateway
from ..runtime.gateway_registry import GatewayRegistry
from .gateway_builders import (
    answer_as_leader,
    build_clock,
    build_failover_state,
    build_gateway,
    build_gateways,
    build_keepalive,
    connect,
    connect_with_leader,
)
from .test_cluster_settings import GATEWAY, write

SMALL, LARGE = 387, 1_290


def test_gateway_reports_its_share_of_the_cores(tmp_path: Path) -> None:
    text = GATEWAY + "size:\n  cores: 0.43\n  share: 0.9\n  memory: 160\n  descriptors: 1638\n"
    size = load_gateway_settings(write(tmp_path, text)).size
    assert (size.cores_millis, size.memory, size.descriptors) == (SMALL, 160, 1_638)

    async def play() -> Call:
        asked: list[Call] = []
        gateway = build_gateway(build_clock(), size=size)

        async def ask(host: str, call: Call, timeout: object) -> Answer:
            asked.append(call)
            return Answer(outcome=Outcome.UNAVAILABLE)

        gateway.calls.ask = ask  # type: ignore[method-assign]
        await gateway.link.send_keepalive()
        return asked[0]

    keepalive = asyncio.run(play())
    assert isinstance(keepalive, KeepAlive) and keepalive.cores_millis == SMALL


def test_sizes_that_the_platform_does_not_give_are_unknown(tmp_path: Path) -> None:
    """A template renders an absent field as nothing; the gateway must start all the same."""
    template = (Path(__file__).parents[2] / "deploy" / "gateway.yaml.template").read_text()
    rows = re.sub(r"\{\{[^}]*\}\}", "", template[template.index("size:") :])
    assert set(re.findall(r"^  (\w+):", rows, re.MULTILINE)) == set(_SIZE_OPTIONS)
    for text in (GATEWAY, GATEWAY + rows):
        assert load_gateway_settings(write(tmp_path, text)).size == HostSize()
    with pytest.raises(SettingsError):
        load_gateway_settings(write(tmp_path, GATEWAY + "size: {cores: many}\n"))


def report(registry: GatewayRegistry, address: str, cores: int, instance: int = 1) -> None:
    keepalive = build_keepalive(address)
    registry.handle_keepalive(
        msgspec.structs.replace(keepalive, cores_millis=cores, instance=instance)
    )


def list_marks(registry: GatewayRegistry) -> dict[str, bool]:
    state = registry.build_failover_state(Records(), "")
    assert state is not None
    return {each.address: each.is_small for each in state.gateways}


def build_registry() -> GatewayRegistry:
    return GatewayRegistry(term=5, token=5_000_000, clock=build_clock())


@pytest.mark.parametrize(
    ("cores", "small"),
    [
        ([516, 516, 516], []),
        ([0, 0, 0], []),
        ([SMALL, 0, LARGE], [0]),
        ([600, 599, 1_000], [1]),
    ],
)
def test_only_gateways_well_below_the_largest_are_marked_as_small(
    cores: list[int], small: list[int]
) -> None:
    """A gateway of a build that reports no size must count as not small."""
    registry = build_registry()
    for number, each in enumerate(cores):
        report(registry, f"g{number}", each)
    assert list(list_marks(registry).values()) == [number in small for number in range(len(cores))]
    assert registry.count_small() == len(small)


def test_marks_are_sent_as_soon_as_they_change_and_only_then() -> None:
    registry = build_registry()
    report(registry, "g1", SMALL)
    version = registry.failover_log.version
    report(registry, "g1", SMALL)
    assert registry.failover_log.version == version
    report(registry, "g2", LARGE)
    assert list_marks(registry) == {"g1": True, "g2": False}
    version = registry.failover_log.version
    # An older control host that forwards a keep-alive leaves the cores out.
    report(registry, "g1", 0)
    assert registry.failover_log.version == version
    report(registry, "g1", LARGE, instance=2)
    assert registry.failover_log.version != version
    assert list_marks(registry) == {"g1": False, "g2": False}
    report(registry, "g1", SMALL, instance=3)
    assert list_marks(registry) == {"g1": True, "g2": False}
    report(registry, "g1", 0, instance=4)
    assert list_marks(registry) == {"g1": False, "g2": False}


def mark_small(state: FailoverState, small: set[int]) -> FailoverState:
    gateways = tuple(
        msgspec.structs.replace(each, is_small=number in small)
        for number, each in enumerate(state.gateways, 1)
    )
    return msgspec.structs.replace(state, gateways=gateways)


def build_unequal(count: int, clock: ManualClock, small: set[int]) -> list[Gateway]:
    """Return gateways with numbers from 1, of which some are small."""
    gateways = build_gateways(count, clock)
    for gateway in gateways:
        gateway.link.receive_failover_state(mark_small(build_failover_state(count), small))
    return gateways


def test_small_gateways_act_as_leader_only_once_all_others_are_lost() -> None:
    """A gateway of 0.39 cores acted for a domain, and was late with 155 jobs a second."""

    async def play() -> None:
        clock = build_clock()
        gateways = build_unequal(6, clock, {1, 2, 3, 5})
        lost: set[str] = set()
        tokens: list[int] = []
        connect(gateways, lambda asking, host: not lost.isdisjoint({host, asking.link.own_address}))
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        for expected in (4, 6, 1, 2):
            for _ in range(3):
                for gateway in gateways:
                    if gateway.link.own_address not in lost:
                        await gateway.link.check_failover()
            alive = [each for each in gateways if each.link.own_address not in lost]
            acting = gateways[expected - 1]
            assert [each for each in alive if each.acting_leader is not None] == [acting]
            assert acting.acting_leader is not None
            tokens.append(acting.acting_leader.leadership.token)
            assert {each.coordinator for each in alive} == {acting.link.own_address}
            lost.add(acting.link.own_address)
            acting.stop()
        assert tokens == sorted(set(tokens))

    asyncio.run(play())


def test_large_gateway_that_returns_follows_the_small_acting_leader() -> None:
    """If it took over, all jobs of the domain would be moved once more."""

    async def play() -> None:
        clock = build_clock()
        gateways = small, _, large = build_unequal(3, clock, {1, 2})
        is_cut = [True]
        connect(
            gateways,
            lambda asking, host: is_cut[0] and (asking is large or host == large.link.own_address),
        )
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await small.link.check_failover()
        assert small.acting_leader is not None
        is_cut[0] = False
        await large.link.check_failover()
        assert (large.coordinator, large.acting_leader) == (small.link.own_address, None)
        await small.link.check_failover()
        assert small.acting_leader is not None
        small.stop()

    asyncio.run(play())


def test_successor_exceeds_the_token_of_the_acting_leader_that_it_followed() -> None:
    """Its upstreams would refuse its orders, and it would pause for 2 s."""

    async def play() -> None:
        clock = build_clock()
        gateways = first, second = build_gateways(2, clock)
        is_lost = [False]
        connect(gateways, lambda asking, host: is_lost[0])
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await first.link.check_failover()
        first.link.step_down()
        await first.link.check_failover()
        await second.link.check_failover()
        assert second.coordinator == first.link.own_address
        assert first.acting_leader is not None
        token = first.acting_leader.leadership.token
        is_lost[0] = True
        for _ in range(2):
            await second.link.check_failover()
        assert second.acting_leader is not None
        assert second.acting_leader.leadership.token > token
        first.stop()
        second.stop()

    asyncio.run(play())


def test_large_gateway_is_the_relay_of_those_that_are_cut_off() -> None:
    async def play() -> None:
        clock = build_clock()
        gateways = cut_off, small, large = build_unequal(3, clock, {1, 2})
        connect_with_leader(
            gateways, lambda asking, host: asking is cut_off and "10.0.1" in host, answer_as_leader
        )
        clock.advance(RELAY_AFTER)
        for gateway in (small, large):
            await gateway.link.send_keepalive()
        await cut_off.link.check_failover()
        assert (cut_off.coordinator, cut_off.link.via) == (large.link.own_address, Via.RELAY)

    asyncio.run(play())


def test_small_gateways_are_asked_too_as_all_large_ones_may_be_lost() -> None:
    """Two large ones in each domain, both lost: nobody would find the acting leader elsewhere."""
    gateways = [
        GatewayInfo(
            address=f"10.{domain}.0.{number}", domain=DomainName(str(domain)), is_small=number < 18
        )
        for domain in (1, 2)
        for number in range(10, 20)
    ]
    assert choose_queried_gateways(gateways, "10.2.0.11") == [
        "10.1.0.18", "10.1.0.19", "10.2.0.18", "10.2.0.19",
        "10.1.0.10", "10.1.0.11", "10.2.0.10", "10.2.0.12", "10.2.0.13",
    ]  # fmt: skip


class Joining:
    """A leader whose gateways join one after the other, and the copies that each has received."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.registry = build_registry()
        self.copies: dict[str, list[FailoverState]] = {}

    def play(self, count: int) -> None:
        """Let gateways of random sizes join, and send the state to some of those that are known."""
        for _ in range(count):
            address = f"10.0.0.{self.chance.randrange(100, 1_000)}"
            report(self.registry, address, self.chance.choice((0, SMALL, LARGE)))
            for known in list(self.registry._domains):
                state = self.registry.build_failover_state(Records(), "")
                if state is not None and self.chance.random() < 0.4:
                    self.copies.setdefault(known, []).append(state)


def choose_earlier_level(state: FailoverState, own: str) -> int:
    """Return the level of a first acting period as builds without sizes choose it."""
    return 1_000 + [each.address for each in state.gateways].index(own)


@pytest.mark.parametrize("seed", range(30))
def test_no_two_gateways_use_the_same_token_whichever_copies_they_have(seed: int) -> None:
    """Before, a gateway that joined shifted the places: two copies gave two gateways one level."""
    joining = Joining(seed)
    joining.play(25)
    used: dict[int, str] = {}
    for address, copies in joining.copies.items():
        levels = ActingLevels()
        for state in copies:
            chosen = [levels.choose_level(state, address) for _ in range(2)]
            for level in (*chosen, choose_earlier_level(state, address)):
                assert level is not None
                assert used.setdefault(level, address) == address


@pytest.mark.parametrize("seed", range(30))
def test_levels_rise_in_the_order_of_succession_when_gateways_have_joined(seed: int) -> None:
    """A successor with a lower token would be refused by the upstreams, and pause for 2 s."""
    joining = Joining(seed)
    joining.play(25)
    state = joining.registry.build_failover_state(Records(), "")
    assert state is not None
    last = max(state.gateways, key=lambda each: (each.is_small, each.address))
    line = [*list_preceding(state.gateways, last.address), last]
    assert sorted({each.is_small for each in line}) == [False, True]
    levels = [ActingLevels().choose_level(state, each.address) for each in line]
    assert all(
        earlier is not None and later is not None and earlier < later
        for earlier, later in itertools.pairwise(levels)
    )
    places = [each.address for each in state.gateways]
    assert [level and level % LEVELS_PER_NUMBER for level in levels] == [
        places.index(each.address) for each in line
    ]


def test_levels_of_gateways_that_are_alike_are_what_they_were() -> None:
    state = build_failover_state(5)
    for each in state.gateways:
        levels = ActingLevels()
        assert levels.choose_level(state, each.address) == choose_earlier_level(state, each.address)
        second = levels.choose_level(state, each.address)
        assert second == 1_000 + choose_earlier_level(state, each.address)


def test_level_exceeds_those_of_the_acting_leader_followed_and_of_own_earlier_periods() -> None:
    """A failover state that is replaced within a term must not make a token be used again."""
    state = build_failover_state(3)
    own = state.gateways[0].address
    levels = ActingLevels()
    levels.record_token(state.term * 1_000_000 + 7_002)
    first = levels.choose_level(state, own)
    levels.reset_periods()
    assert (first, levels.choose_level(state, own)) == (8_000, 9_000)
    later = msgspec.structs.replace(state, term=state.term + 1)
    levels.reset_periods()
    assert levels.choose_level(later, own) == 1_000


def test_gateway_without_a_level_of_its_own_does_not_act() -> None:
    """Its token would be that of another gateway, or of the next leader."""
    state = build_failover_state(LEVELS_PER_NUMBER + 1)
    levels = ActingLevels()
    assert levels.choose_level(state, state.gateways[-1].address) is None
    assert levels.choose_level(state, "10.9.9.9:1") is None
    levels.record_token(state.term * 1_000_000 + 999_500)
    assert levels.choose_level(state, state.gateways[0].address) is None
