"""Gateways of unequal size: what they report, which are small, who acts as leader, and tokens."""

from __future__ import annotations

import asyncio
import random
import re
from pathlib import Path

import msgspec
import pytest

from ..config.cluster import _SIZE_OPTIONS, load_gateway_settings
from ..core.cluster.acting_levels import LEVELS_PER_NUMBER, ActingLevels
from ..core.cluster.calls import FailoverState
from ..core.cluster.failover_state import choose_queried_gateways
from ..core.cluster.host_sizes import HostSize, list_preceding
from ..core.cluster.records import Records
from ..runtime.acting_leader import ACT_AS_LEADER_AFTER_SILENCE
from ..runtime.gateway_registry import GatewayRegistry
from . import gateway_builders as builders
from .test_cluster_settings import GATEWAY, write

SMALL, LARGE = 387, 1_290


def test_gateway_reports_its_share_of_the_cores_where_that_is_known(tmp_path: Path) -> None:
    """A template renders an absent field as nothing; the gateway must start all the same."""
    template = (Path(__file__).parents[2] / "deploy" / "gateway.yaml.template").read_text()
    rows = re.sub(r"\{\{[^}]*\}\}", "", template[template.index("size:") :])
    assert set(re.findall(r"^  (\w+):", rows, re.MULTILINE)) == set(_SIZE_OPTIONS)
    for text in (GATEWAY, GATEWAY + rows):
        assert load_gateway_settings(write(tmp_path, text)).size == HostSize()
    text = GATEWAY + "size: {cores: 0.43, share: 0.9, memory: 160}"
    gateway = builders.build_gateway(
        builders.build_clock(), size=load_gateway_settings(write(tmp_path, text)).size
    )
    assert gateway.link._build_keepalive().cores_millis == SMALL


def report(registry: GatewayRegistry, address: str, cores: int, instance: int = 1) -> None:
    changes = {"cores_millis": cores, "instance": instance}
    registry.handle_keepalive(msgspec.structs.replace(builders.build_keepalive(address), **changes))


def build_state(registry: GatewayRegistry) -> FailoverState:
    state = registry.build_failover_state(Records(), "")
    assert state is not None
    return state


def test_gateways_well_below_the_largest_are_marked_as_small_and_others_never() -> None:
    """Each case: gateway, its cores, its instance, the small ones afterwards; in this order."""
    registry = GatewayRegistry(term=5, token=5_000_000, clock=builders.build_clock())
    for number in range(1, 4):
        report(registry, f"g{number}", 0)
    marked: list[str] = []
    for address, cores, instance, small in (
        ("g1", SMALL, 1, []),
        ("g2", SMALL, 1, []),
        ("g3", LARGE, 1, ["g1", "g2"]),
        # An older control host that forwards a keep-alive leaves the cores out.
        ("g2", 0, 1, ["g1", "g2"]),
        # Another process reports none: a build without sizes, which counts as not small.
        ("g2", 0, 2, ["g1"]),
        ("g2", LARGE * 6 // 10, 3, ["g1"]),
        ("g2", LARGE * 6 // 10 - 1, 4, ["g1", "g2"]),
    ):
        version = registry.failover_log.version
        report(registry, address, cores, instance)
        assert [each.address for each in build_state(registry).gateways if each.is_small] == small
        # Gateways are sent the marks if these have changed, and only then.
        assert (registry.failover_log.version != version) == (small != marked)
        assert registry.count_small() == len(small)
        marked = small


def build_unequal_state(count: int, small: set[int]) -> FailoverState:
    """Return a failover state of gateways with numbers from 1, of which some are small."""
    state = builders.build_failover_state(count)
    marked = (
        msgspec.structs.replace(each, is_small=number in small)
        for number, each in enumerate(state.gateways, 1)
    )
    return msgspec.structs.replace(state, gateways=tuple(marked))


def test_small_gateways_act_as_leader_only_once_all_others_are_lost() -> None:
    """A gateway of 0.39 cores acted for a domain, and was late with 155 jobs a second.

    A large one that returns follows the small acting leader: jobs are not moved again. A successor
    with a lower token than its predecessor would be refused by upstreams, and pause for 2 s.
    """

    async def play() -> None:
        clock = builders.build_clock()
        gateways = builders.build_gateways(8, clock)
        for gateway in gateways:
            gateway.link.receive_failover_state(build_unequal_state(8, {1, 2, 3, 4, 5, 7}))
        returning = gateways[5]
        lost = {returning}
        builders.connect(
            gateways, lambda asking, host: asking in lost or gateways[int(host[7]) - 1] in lost
        )
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        tokens: list[int] = []
        for number in (8, 1, 2):
            acting = gateways[number - 1]
            for turn in range(6):
                for gateway in gateways:
                    if gateway not in lost:
                        await gateway.link.check_failover()
                if (number, turn) == (8, 3):
                    # Its second period has a higher number than its successor has by itself.
                    acting.link.step_down()
            if number == 1:
                lost.remove(returning)
                await returning.link.check_failover()
            assert acting.acting_leader is not None
            followed = {each.coordinator for each in gateways if each not in lost}
            assert followed == {acting.link.own_address}
            tokens.append(acting.acting_leader.leadership.token)
            lost |= {acting, returning}
            acting.stop()
        assert tokens == sorted(set(tokens))

    asyncio.run(play())


def test_large_gateways_are_asked_first_to_relay_calls_and_as_many_small_ones() -> None:
    """A relay has the calls of all that are cut off; the large ones may all be lost."""
    gateways = build_unequal_state(9, {1, 2, 3, 4, 5, 7}).gateways
    asked = choose_queried_gateways(gateways, gateways[1].address)
    assert [int(address[7]) for address in asked] == [6, 8, 9, 1, 3, 4]


@pytest.mark.parametrize("seed", range(30))
def test_tokens_are_distinct_and_rise_in_the_order_of_succession(seed: int) -> None:
    """Gateways of random sizes join one by one, and have copies of the state of any age.

    Before, one that joined shifted the places: two copies gave two gateways one level.
    """
    chance = random.Random(seed)
    registry = GatewayRegistry(term=5, token=5_000_000, clock=builders.build_clock())
    used: dict[int, str] = {}
    for _ in range(25):
        address = f"10.0.0.{chance.randrange(100, 1_000)}"
        report(registry, address, chance.choice((0, SMALL, LARGE)))
        state = build_state(registry)
        for each in chance.sample(state.gateways, min(3, len(state.gateways))):
            levels = ActingLevels()
            chosen = [levels.choose_level(state, each.address) for _ in range(2)]
            # Builds without sizes use their index in the list in their first period.
            for level in (*chosen, 1_000 + state.gateways.index(each)):
                assert level is not None and used.setdefault(level, each.address) == each.address
    last = max(state.gateways, key=lambda each: (each.is_small, each.address))
    line = [*list_preceding(state.gateways, last.address), last]
    in_order = [ActingLevels().choose_level(state, each.address) or 0 for each in line]
    assert in_order == sorted(set(in_order))


def test_levels_of_equal_gateways_are_as_before_and_never_used_again_or_by_others() -> None:
    state = builders.build_failover_state(2)
    second = state.gateways[1].address
    levels = ActingLevels()
    assert [levels.choose_level(state, second) for _ in range(2)] == [1_001, 2_001]
    # A failover state that is replaced within a term must not make a token be used again.
    levels.reset_periods()
    assert levels.choose_level(state, second) == 3_001
    later = msgspec.structs.replace(state, term=state.term + 1)
    levels.reset_periods()
    assert levels.choose_level(later, second) == 1_001
    # The level in an earlier term does not depend on tokens of a later one.
    assert levels.choose_level(state, second) == 2_001
    # Without a place or a number left, the token would be that of another host.
    large_state = builders.build_failover_state(LEVELS_PER_NUMBER + 1)
    for address in ("10.9.9.9:1", large_state.gateways[-1].address):
        assert levels.choose_level(large_state, address) is None
    levels.record_token(later.term * 1_000_000 + 999_500)
    assert levels.choose_level(later, second) is None
