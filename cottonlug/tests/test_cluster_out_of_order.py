"""Reports of an upstream that a newer one has overtaken are ignored and logged."""

from __future__ import annotations

import random
from datetime import timedelta

from ..core.cluster.commands import AddUpstream
from ..core.cluster.dispatch import Dispatch
from ..core.cluster.model import Heartbeat, PollReply
from ..core.cluster.orders import PollOrder
from ..core.cluster.records import Records
from .model_upstreams import TERMS, ModelUpstream, World, build_info, milliseconds

INFO = build_info("u1")
Decisions = list[tuple[str, dict[str, str | int]]]


def build_dispatch(decisions: Decisions) -> Dispatch:
    records = Records()
    records.apply(AddUpstream(info=INFO, sequence=1))
    return Dispatch(
        records=records,
        token=1_000_000,
        lease_terms=TERMS,
        now=timedelta(),
        wall_ms=lambda: 0,
        log_decision=lambda name, fields: decisions.append((name, fields)),
        on_job_end=lambda job: None,
    )


def test_an_overtaken_heartbeat_is_ignored_and_logged() -> None:
    decisions: Decisions = []
    dispatch = build_dispatch(decisions)
    for sequence, cpu in ((5, 8_000), (4, 16_000)):
        info = build_info("u1", cpu=cpu)
        beat = Heartbeat(info=info, sequence=sequence, draining=False, clock_ms=70)
        dispatch.handle_heartbeat(beat, milliseconds(sequence))
    assert dispatch.instances[INFO.id].info.capacity.cpu_millis == 8_000
    expected = {
        "upstream": INFO.id,
        "by": INFO.id,
        "sequence": 4,
        "newest": 5,
        "clock_ms": 70,
    }
    assert ("heartbeat_overtaken", expected) in decisions


def test_an_overtaken_list_is_ignored_and_logged() -> None:
    decisions: Decisions = []
    dispatch = build_dispatch(decisions)
    upstream = ModelUpstream(
        world=World(random=random.Random(1)),
        info=INFO,
        rate=1.0,
        run_times=lambda job: timedelta(),
    )
    order = PollOrder(upstream=INFO, last_seen=0, expires_ms=None, wait=timedelta())
    newer = upstream.build_reply()
    older = PollReply(clock_ms=newer.clock_ms - 1, running=(), ended=())
    for reply in (newer, older):
        dispatch.handle_poll_answer(order, reply, milliseconds(1), milliseconds(3))
    assert [name for name, _ in decisions].count("list_overtaken") == 1
    assert dict(decisions)["list_overtaken"]["sent_ms_ago"] == 2
