"""Carries out the disruptions of a plan on the processes and stand-ins of a run."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from .fleet import Fleet, build_configuration
from .plan import LEADER, LEADER_KILL_LEAD, Disruption, DisruptionKind
from .proxy import FaultKind, LinkFault
from .record import Phase, Record
from .upstreams import StandInUpstream

LATE_SHARE = 0.1
OTHER_KIND = "b"
"""Kind of the upstreams that replace lost ones."""
LINK_DELAY = 0.25
"""Seconds; under the time after which a gateway or a member counts as lost (0.3 s)."""
CATCH_UP_SECONDS = 4.0
"""How long control hosts must have run undisturbed before the next disk is wiped."""
SILENT_INSTANCE_SECONDS = 0.3
ROLL_PAUSE_SECONDS = 0.3
_LEADER_WAIT_SECONDS = 3.0
_CONFIGURATION_ATTEMPTS = 20
_LINK_FAULTS = {
    DisruptionKind.DELAY_LINK: FaultKind.DELAY,
    DisruptionKind.RESET_LINK: FaultKind.RESET,
    DisruptionKind.CUT_LINK_ONE_WAY: FaultKind.CUT_ONE_WAY,
    DisruptionKind.CUT_HOST: FaultKind.CUT,
    DisruptionKind.SILENCE_LINK: FaultKind.SILENCE,
}


@dataclass(slots=True, kw_only=True)
class Scene:
    """What a plan is carried out on."""

    fleet: Fleet
    upstreams: dict[str, StandInUpstream]
    record: Record
    chance: random.Random
    version: int = 0
    """Version of the configuration that was sent last."""
    wiped_at: float | None = None
    """When the last wiped disk was back in use."""
    busy: set[str] = field(default_factory=set)
    """Upstreams under a disruption, which another series leaves alone."""


async def carry_out(plan: Sequence[Disruption], scene: Scene) -> None:
    """Carry out a plan: each series in order, the series beside each other."""
    began_at = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        for number in {disruption.series for disruption in plan}:
            own = [disruption for disruption in plan if disruption.series == number]
            group.create_task(_carry_out_series(own, scene, began_at))


async def _carry_out_series(
    disruptions: Sequence[Disruption], scene: Scene, began_at: float
) -> None:
    loop = asyncio.get_running_loop()
    for disruption in disruptions:
        await asyncio.sleep(began_at + disruption.start.total_seconds() - loop.time())
        targets = [await _resolve(target, scene) for target in disruption.targets]
        named = list(dict.fromkeys(target for target in targets if target is not None))
        if disruption.kind is DisruptionKind.CUT_DOMAIN:
            named = [scene.fleet.hosts[name].domain for name in named]
        if named:
            kind = disruption.kind.value
            scene.record.add_disruption(",".join(named), kind, Phase.BEGIN)
            await _carry_out_one(disruption, named, scene)
            scene.record.add_disruption(",".join(named), kind, Phase.END)


async def _resolve(target: str, scene: Scene) -> str | None:
    """Return the name of a target; None if no control host leads within the time allowed."""
    if target != LEADER:
        return target
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _LEADER_WAIT_SECONDS
    while loop.time() < deadline:
        leader = await scene.fleet.find_leader()
        if leader is not None:
            return leader
        await asyncio.sleep(0.03)
    return None


async def _carry_out_one(disruption: Disruption, names: list[str], scene: Scene) -> None:
    seconds = disruption.length.total_seconds()
    match disruption.kind:
        case DisruptionKind.PAUSE:
            await _pause(names, seconds, scene)
        case DisruptionKind.KILL:
            await _kill(names, seconds, scene)
        case DisruptionKind.WIPE_DISK:
            await _wipe_disk(names, seconds, scene)
        case DisruptionKind.TERMINATE:
            await _terminate(names, scene)
        case DisruptionKind.RELOAD:
            for name in names:
                scene.fleet.reload(name)
        case DisruptionKind.CHANGE_CONFIGURATION:
            await send_configuration(names, scene)
        case DisruptionKind.CUT_UPSTREAMS | DisruptionKind.CUT_UPSTREAMS_KILL_LEADER:
            await _cut_upstreams(disruption, names, scene)
        case DisruptionKind.CRASH_UPSTREAMS:
            await _crash_upstreams(names, seconds, scene, same_id=False)
        case DisruptionKind.REPLACE_UPSTREAMS:
            await _crash_upstreams(names, seconds, scene, same_id=False, kind=OTHER_KIND)
        case DisruptionKind.RESTART_UPSTREAMS:
            await _crash_upstreams(names, 0.0, scene, same_id=True)
        case DisruptionKind.SILENCE_UPSTREAMS | DisruptionKind.DELAY_ORDERS:
            await _harm_orders(disruption.kind, names, seconds, scene)
        case DisruptionKind.CUT_DOMAIN:
            await _cut_domain(names[0], seconds, scene)
        case _:
            await _harm_link(_LINK_FAULTS[disruption.kind], names, seconds, scene)


async def _pause(names: Sequence[str], seconds: float, scene: Scene) -> None:
    # A host that another series has paused already is left to it.
    chosen = [name for name in names if not scene.fleet.hosts[name].is_paused]
    for name in chosen:
        scene.fleet.pause(name)
    await asyncio.sleep(seconds)
    for name in chosen:
        scene.fleet.resume(name)


async def _kill(names: Sequence[str], seconds: float, scene: Scene) -> None:
    killed = [name for name in names if scene.fleet.hosts[name].is_running]
    scene.fleet.kill(*killed)
    await asyncio.sleep(seconds)
    _start_again(killed, scene)


def _start_again(names: Sequence[str], scene: Scene) -> None:
    for name in names:
        if not scene.fleet.hosts[name].is_running:
            scene.fleet.start_process(name)


async def _wipe_disk(names: Sequence[str], seconds: float, scene: Scene) -> None:
    now = asyncio.get_running_loop().time()
    fleet = scene.fleet
    last = scene.wiped_at
    if last is not None and now - max(last, fleet.control_disturbed_at) < CATCH_UP_SECONDS:
        return
    # Behind a cut, the entries of a wiped disk may be on no other one that can be reached.
    if fleet.cuts.are_active or not all(fleet.hosts[name].is_running for name in names):
        return
    scene.wiped_at = now + seconds
    fleet.kill(*names)
    fleet.wipe_disk(names[0])
    await asyncio.sleep(seconds)
    _start_again(names, scene)


async def _terminate(names: Sequence[str], scene: Scene) -> None:
    for name in names:
        await scene.fleet.terminate(name)
        _start_again([name], scene)
        await asyncio.sleep(ROLL_PAUSE_SECONDS)


async def send_configuration(names: Sequence[str], scene: Scene) -> None:
    """Send the next configuration until it is acknowledged, to the named control hosts first."""
    scene.version += scene.chance.randint(1, 9)
    version = scene.version
    configuration = build_configuration(version, queues=scene.chance.randint(1, 4))
    hosts = [*names, *scene.fleet.control_hosts]
    for attempt in range(_CONFIGURATION_ATTEMPTS):
        host = hosts[attempt % len(hosts)]
        if await scene.fleet.configure(configuration, host) == 200:
            scene.record.add_disruption(host, f"configuration {version}")
            return
        await asyncio.sleep(0.2)


async def _cut_upstreams(disruption: Disruption, names: list[str], scene: Scene) -> None:
    chosen = _claim(names, scene)
    for name in chosen:
        scene.upstreams[name].cut()
    seconds = disruption.length.total_seconds()
    if disruption.kind is DisruptionKind.CUT_UPSTREAMS_KILL_LEADER:
        await asyncio.sleep(seconds - LEADER_KILL_LEAD)
        leader = await scene.fleet.find_leader()
        killed = [leader] if leader is not None else []
        scene.fleet.kill(*killed)
        await asyncio.sleep(LEADER_KILL_LEAD)
        _start_again(killed, scene)
    else:
        await asyncio.sleep(seconds)
    for name in chosen:
        scene.upstreams[name].heal()
    scene.busy.difference_update(chosen)


async def _crash_upstreams(
    names: list[str], seconds: float, scene: Scene, *, same_id: bool, kind: str | None = None
) -> None:
    chosen = _claim(names, scene)
    for name in chosen:
        await scene.upstreams[name].crash()
    await asyncio.sleep(seconds)
    for name in chosen:
        await scene.upstreams[name].restart(same_id=same_id, kind=kind)
    scene.busy.difference_update(chosen)


async def _harm_orders(
    kind: DisruptionKind, names: list[str], seconds: float, scene: Scene
) -> None:
    is_silence = kind is DisruptionKind.SILENCE_UPSTREAMS

    def apply(name: str, *, begins: bool) -> None:
        if is_silence:
            scene.upstreams[name].is_silent = begins
        else:
            scene.upstreams[name].late_share = LATE_SHARE if begins else 0.0

    chosen = _claim(names, scene)
    for name in chosen:
        apply(name, begins=True)
    await asyncio.sleep(seconds)
    for name in chosen:
        apply(name, begins=False)
    scene.busy.difference_update(chosen)


def _claim(names: Sequence[str], scene: Scene) -> list[str]:
    """Return the upstreams that no other disruption holds, and hold them."""
    chosen = [name for name in names if name not in scene.busy]
    scene.busy.update(chosen)
    return chosen


async def _cut_domain(domain: str, seconds: float, scene: Scene) -> None:
    now = asyncio.get_running_loop().time()
    if scene.wiped_at is None or now - scene.wiped_at >= CATCH_UP_SECONDS:
        await scene.fleet.cuts.cut(domain, seconds, scene.chance)
        scene.fleet.note_disturbance(scene.fleet.control_hosts)


async def _harm_link(kind: FaultKind, names: list[str], seconds: float, scene: Scene) -> None:
    peers = frozenset(names[1:2]) or None
    fault = LinkFault(kind=kind, sources=frozenset(names[:1]), peers=peers, delay=LINK_DELAY)
    scene.fleet.proxy.add_fault(fault)
    await asyncio.sleep(seconds)
    scene.fleet.proxy.remove_fault(fault)
    scene.fleet.note_disturbance(names)
