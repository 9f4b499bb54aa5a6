"""An evacuated failure domain gets no new work, whoever coordinates; active runs end normally.

Load pattern: operators evacuate a domain while its callers continue, and end that seconds later.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta

import msgspec
import pytest

from ..core.cluster.calls import (
    Answer,
    AskEvacuations,
    Call,
    Evacuate,
    ForwardHeartbeat,
    Outcome,
)
from ..core.cluster.capacity_reports import DEFAULT_REPORT_TERMS
from ..core.cluster.commands import SetEvacuation, decode_commands, encode_commands
from ..core.cluster.evacuations import Evacuations
from ..core.cluster.model import JobId, JobState, OrderId, RunEndKind
from ..core.cluster.records import Records
from ..core.cluster.scheduler import ALL_EVACUATED
from ..core.ids import DomainName
from ..net.asgi import HttpRequest, HttpResponse
from ..platform.control import build_control_handler
from ..runtime.leadership import Leadership
from .gateway_builders import IdlePort
from .model_site import EAST
from .model_upstreams import (
    Leader,
    ModelUpstream,
    build_info,
    build_queue,
    build_spec,
    milliseconds,
)
from .test_cluster_homes import DOMAINS, UPSTREAMS_PER_DOMAIN, build_leader, count_domains, submit
from .test_cluster_waiting import lead

HOME = DOMAINS[1]


def build_command(
    domain: DomainName, *, is_evacuated: bool = True, base: int = 0, order: str = "o1"
) -> SetEvacuation:
    return SetEvacuation(
        domain=domain,
        is_evacuated=is_evacuated,
        base_revision=base,
        order=OrderId(order),
        at_ms=1_000,
    )


def commit(leader: Leader, domain: DomainName, *, is_evacuated: bool = True) -> None:
    """Have the log apply an order."""
    base = leader.records.evacuations.get(domain).revision
    command = build_command(domain, is_evacuated=is_evacuated, base=base, order=f"o{base + 1}")
    leader._commit(decode_commands(encode_commands((command,)))[0])


# Replicated state


def test_of_two_orders_with_the_same_base_revision_only_the_first_in_the_log_is_applied() -> None:
    evacuations = Evacuations()
    assert evacuations.apply(build_command(HOME, order="first"))
    assert not evacuations.apply(build_command(HOME, is_evacuated=False, order="second"))
    assert evacuations.evacuated == {HOME}
    assert evacuations.get(HOME).order == "first"


def test_a_delayed_order_does_not_undo_a_later_one() -> None:
    evacuations = Evacuations()
    order = build_command(HOME)
    assert evacuations.apply(order)
    assert evacuations.apply(build_command(HOME, is_evacuated=False, base=1, order="o2"))
    assert not evacuations.apply(order)
    assert evacuations.evacuated == frozenset()


def test_a_snapshot_keeps_evacuations_and_an_older_one_has_none() -> None:
    records, other = Records(), Records()
    records.apply(build_command(HOME))
    records.apply(build_command(EAST))
    records.apply(build_command(EAST, is_evacuated=False, base=1, order="o2"))
    other.restore(records.encode())
    assert other.evacuations.evacuated == {HOME}
    assert other.evacuations.get(EAST).revision == 2
    older = msgspec.json.decode(records.encode())
    del older["evacuations"]
    other.restore(msgspec.json.encode(older).decode())
    assert other.evacuations.records == ()


# Starts by a leader


def test_nothing_is_started_in_an_evacuated_domain_and_active_runs_end_normally() -> None:
    leader = build_leader(1)
    world = leader.world
    before = [submit(leader, number, HOME, tasks=4) for number in range(4)]
    world.run_until(world.now + milliseconds(50))
    assert count_domains(leader)[HOME] == UPSTREAMS_PER_DOMAIN * 2
    commit(leader, HOME)
    after = [submit(leader, 100 + number, HOME, tasks=4) for number in range(4)]
    world.run_until(world.now + milliseconds(100))
    assert count_domains(leader)[HOME] == UPSTREAMS_PER_DOMAIN * 2, "active runs continue"
    world.run_until(world.now + milliseconds(150))
    assert count_domains(leader)[HOME] == 0
    world.run_until(world.now + milliseconds(2_000))
    for job in (*before, *after):
        assert leader.dispatch.jobs.find_ended(job) is JobState.COMPLETED
    assert not any(
        end.how is not RunEndKind.DONE
        for upstream in leader.upstreams.values()
        for end in upstream.ended
    )


def test_a_domain_gets_work_again_after_its_evacuation() -> None:
    leader = build_leader(1)
    commit(leader, HOME)
    leader.world.run_until(leader.world.now + milliseconds(100))
    commit(leader, HOME, is_evacuated=False)
    leader.world.run_until(leader.world.now + DEFAULT_REPORT_TERMS.interval)
    submit(leader, 1, HOME, tasks=4)
    leader.world.run_until(leader.world.now + milliseconds(30))
    assert count_domains(leader)[HOME] == 4


def test_a_domain_is_used_last_after_its_evacuation_until_its_upstreams_report_to_be_warm() -> None:
    leader = build_leader(1, run_ms=3_000)
    commit(leader, HOME)
    leader.world.run_until(leader.world.now + milliseconds(100))
    commit(leader, HOME, is_evacuated=False)
    submit(leader, 1, HOME, tasks=4)
    leader.world.run_until(leader.world.now + milliseconds(30))
    assert count_domains(leader)[HOME] == 0, "others have free capacity"
    elsewhere = (len(DOMAINS) - 1) * UPSTREAMS_PER_DOMAIN * 2
    submit(leader, 2, HOME, tasks=elsewhere)
    leader.world.run_until(leader.world.now + milliseconds(30))
    assert count_domains(leader)[HOME] == 4, "no task waits while there is free capacity"


def test_a_domain_whose_upstreams_report_to_be_warm_is_used_at_once() -> None:
    leader = build_leader(1)
    commit(leader, HOME)
    commit(leader, HOME, is_evacuated=False)
    for upstream in leader.upstreams.values():
        leader.deliver_heartbeat(upstream, 2)
    submit(leader, 1, HOME, tasks=4)
    leader.world.run_until(leader.world.now + milliseconds(30))
    assert count_domains(leader)[HOME] == 4


def test_a_cold_upstream_is_used_last() -> None:
    leader = build_leader(1)
    cold = next(each for each in leader.upstreams.values() if each.info.domain == HOME)
    heartbeat = msgspec.structs.replace(cold.build_heartbeat(), sequence=9, cold_left_ms=400)
    leader.dispatch.handle_heartbeat(heartbeat, leader.world.now)
    submit(leader, 1, HOME, tasks=UPSTREAMS_PER_DOMAIN * 2)
    leader.world.run_until(leader.world.now + milliseconds(30))
    assert cold.info.id not in leader.world.running.values()
    leader.world.run_until(leader.world.now + milliseconds(400))
    submit(leader, 2, HOME, tasks=UPSTREAMS_PER_DOMAIN * 2)
    leader.world.run_until(leader.world.now + milliseconds(30))
    assert cold.info.id in leader.world.running.values()


def test_an_upstream_that_joins_an_evacuated_domain_gets_no_work() -> None:
    leader = build_leader(1)
    for domain in DOMAINS[1:]:
        commit(leader, domain)
    info = build_info("u99", domain=HOME)
    leader.upstreams[info.id] = ModelUpstream(
        world=leader.world, info=info, rate=1.0, run_times=lambda job: milliseconds(200)
    )
    leader.deliver_heartbeat(leader.upstreams[info.id], 1)
    leader.world.run_until(leader.world.now + milliseconds(100))
    for number in range(10):
        submit(leader, number, HOME, tasks=4)
    leader.world.run_until(leader.world.now + milliseconds(50))
    assert set(count_domains(leader)) == {DOMAINS[0]}


def test_a_new_leader_starts_nothing_in_an_evacuated_domain() -> None:
    leader = build_leader(1)
    commit(leader, HOME)
    leader.is_over = True
    records = Records()
    records.restore(leader.records.encode())
    successor = Leader(
        world=leader.world, upstreams=leader.upstreams, records=records, token=2_000_000
    )
    leader.world.run_until(leader.world.now + milliseconds(40))
    for number in range(10):
        submit(successor, number, HOME, tasks=4)
    leader.world.run_until(leader.world.now + milliseconds(60))
    counts = count_domains(successor)
    assert counts[HOME] == 0 and sum(counts.values()) == 40


def test_durable_jobs_lose_nothing_by_an_evacuation() -> None:
    leader = build_leader(3, run_ms=700)
    for number in range(8):
        leader.submit(
            f"{number:016x}", build_spec(tasks=8, run_ms=700, durable=True), build_queue()
        )
    leader.world.run_until(leader.world.now + milliseconds(100))
    for domain in DOMAINS[1:]:
        commit(leader, domain)
    leader.world.run_until(leader.world.now + timedelta(seconds=8))
    states = {leader.records.jobs[JobId(f"{number:016x}")].state for number in range(8)}
    assert states == {JobState.COMPLETED}


# Answers to callers


def test_with_all_domains_evacuated_jobs_are_rejected_at_once() -> None:
    leader = build_leader(1)
    waiting = [submit(leader, number, HOME, tasks=16) for number in range(20)]
    leader.world.run_until(leader.world.now + milliseconds(50))
    begun = {job for job in waiting if leader.dispatch.jobs.jobs[job].has_begun}
    assert 0 < len(begun) < len(waiting)
    for domain in DOMAINS:
        commit(leader, domain)
    rejected = {job for job in waiting if job in leader.dispatch.jobs.rejections}
    assert rejected == set(waiting) - begun
    queue, spec = build_queue(), build_spec(tasks=1)
    rejection = leader.dispatch.find_rejection(queue, spec, timedelta(), leader.world.now)
    assert rejection is not None and rejection.reason == ALL_EVACUATED
    commit(leader, HOME, is_evacuated=False)
    assert leader.dispatch.find_rejection(queue, spec, timedelta(), leader.world.now) is None


def test_an_acting_leader_of_an_evacuated_domain_rejects_jobs_at_once() -> None:
    leader = build_leader(1)
    commit(leader, HOME)
    records = Records()
    records.restore(leader.records.encode())
    leader.is_over = True
    acting_leader = Leader(
        world=leader.world,
        upstreams=leader.upstreams,
        records=records,
        token=1_000_001,
        domain=HOME,
        is_acting=True,
    )
    now = leader.world.now
    rejection = acting_leader.dispatch.find_rejection(build_queue(), build_spec(), timedelta(), now)
    assert rejection is not None and rejection.reason == ALL_EVACUATED


# Orders at a leader


def order(
    leadership: Leadership, domain: str, *, begin: bool = True, base: int = 0, id: str
) -> Call:
    return Evacuate(
        domain=DomainName(domain), is_evacuated=begin, base_revision=base, order=OrderId(id)
    )


def test_repeated_orders_are_idempotent_and_outdated_ones_are_refused() -> None:
    async def play() -> None:
        leadership, replicated = lead(IdlePort(), commits=True)
        evacuations = replicated.records.evacuations

        async def send(begin: bool, base: int, id: str) -> Outcome:
            call = order(leadership, "domain", begin=begin, base=base, id=id)
            return (await leadership.answer(call)).outcome

        assert await send(True, 0, "a") is Outcome.DONE
        assert await send(True, 0, "a") is Outcome.DONE, "the same order twice"
        assert await send(True, 0, "b") is Outcome.DONE, "sent again to another host"
        assert await send(False, 0, "c") is Outcome.UNAVAILABLE, "from before the first"
        assert evacuations.evacuated == {"domain"}
        assert await send(False, 1, "d") is Outcome.DONE
        assert await send(True, 0, "a") is Outcome.UNAVAILABLE, "delayed until after the second"
        assert evacuations.evacuated == frozenset()
        answer = await leadership.answer(AskEvacuations())
        assert answer.evacuations == ()
        leadership.stop()

    asyncio.run(play())


def test_an_unknown_domain_is_refused_and_nothing_is_stored() -> None:
    async def play() -> None:
        leadership, replicated = lead(IdlePort())
        answer = await leadership.answer(order(leadership, "nowhere", id="a"))
        assert answer.outcome is Outcome.NO_DOMAIN and "nowhere" in answer.detail
        assert replicated.records.evacuations.records == ()
        leadership.stop()

    asyncio.run(play())


def test_an_acting_leader_accepts_no_order() -> None:
    async def play() -> None:
        leadership, replicated = lead(IdlePort(), keeps_log=False)
        answer = await leadership.answer(order(leadership, "domain", id="a"))
        assert answer.outcome is Outcome.UNAVAILABLE
        assert replicated.records.evacuations.records == ()
        leadership.stop()

    asyncio.run(play())


# Requests of the platform


def send_request(
    method: str, path: str, body: bytes = b"", *, answer: Answer | None = None
) -> tuple[HttpResponse, list[Call]]:
    calls: list[Call] = []

    async def handle_call(call: Call) -> Answer:
        calls.append(call)
        return answer or Answer(outcome=Outcome.DONE)

    request = HttpRequest(method=method, path=path, headers={}, body=body)
    return asyncio.run(build_control_handler(handle_call)(request)), calls


@pytest.mark.parametrize(("method", "is_evacuated"), [("POST", True), ("DELETE", False)])
def test_an_order_is_decoded(method: str, is_evacuated: bool) -> None:
    response, calls = send_request(method, "/evacuation/ridge-hut")
    assert response.status == 200
    assert calls == [Evacuate(domain=DomainName("ridge-hut"), is_evacuated=is_evacuated)]


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/evacuation/ridge-hut", b'{"until":9}', 400),
        ("DELETE", "/evacuation/", b"", 400),
        ("PUT", "/evacuation/ridge-hut", b"", 404),
    ],
)
def test_an_invalid_order_is_refused_and_not_forwarded(
    method: str, path: str, body: bytes, status: int
) -> None:
    response, calls = send_request(method, path, body)
    assert response.status == status and not calls


@pytest.mark.parametrize(
    ("cold_left", "read"), [(400, 400), (12.5, 12), (-3, 0), ("long", 0), (None, 0), (True, 0)]
)
def test_cold_left_ms_is_read_and_an_invalid_value_affects_nothing_else(
    cold_left: object, read: int
) -> None:
    body = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": "ready",
        "seq_no": 7,
        "cold_left_ms": cold_left,
    }
    _, calls = send_request("PUT", "/instances/i-1", msgspec.json.encode(body))
    assert isinstance(calls[0], ForwardHeartbeat)
    assert (calls[0].heartbeat.cold_left_ms, calls[0].heartbeat.sequence) == (read, 7)


def test_an_unknown_domain_is_a_404_and_a_lost_race_is_a_503() -> None:
    unknown = Answer(outcome=Outcome.NO_DOMAIN, detail="no failure domain 'x' is known")
    response, _ = send_request("POST", "/evacuation/x", answer=unknown)
    assert response.status == 404 and b"no failure domain" in response.body
    response, _ = send_request("POST", "/evacuation/x", answer=Answer(outcome=Outcome.UNAVAILABLE))
    assert response.status == 503


def test_evacuated_domains_are_listed() -> None:
    evacuations = Evacuations()
    evacuations.apply(build_command(HOME))
    answer = Answer(outcome=Outcome.DONE, evacuations=evacuations.records)
    response, calls = send_request("GET", "/evacuation", answer=answer)
    assert calls == [AskEvacuations()]
    assert msgspec.json.decode(response.body) == {
        "evacuations": [{"zone": HOME, "since_ms": 1_000, "revision": 1}]
    }
