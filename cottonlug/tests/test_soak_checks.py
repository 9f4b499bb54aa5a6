"""Tests of the soak's stand-ins and checks: a wrong one would blame the system, or clear it."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from soak.callers import Callers, CallerSettings
from soak.checks import Rule, find_gaps, find_violations
from soak.domains import describe_answers
from soak.jobs import Plan, Step, read_plan
from soak.record import Event, EventKind, Phase, Record, build_detail, read_detail, read_record
from soak.upstreams import MAX_LISTED, StandInUpstream, Work, hash_spec
from soak.wire import ProcessFinder, Request, Response, Server, build_client, encode_json, send

HOST = "127.9.3.1"
RATE = 0.98
TASK = "00000000000000aa.0.0.1"
OTHER_TASK = "00000000000000aa.0.0.2"


def milliseconds(count: float) -> timedelta:
    return timedelta(milliseconds=count)


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.time = timedelta()

    def now(self) -> timedelta:
        return self.time


class Rig:
    """An upstream on a clock that tests set, and its orders."""

    def __init__(self, *, run_ms: float = 300, fails: bool = False, **options: Any) -> None:
        self.clock = Clock()
        self.record = Record(now=self.clock.now)
        work = Work(run_time=milliseconds(run_ms), cpu_millis=7_000, memory_mb=1_000, fails=fails)
        self.upstream = StandInUpstream(
            record=self.record,
            name="i-1",
            service="svc",
            domain="d1",
            rack="r1",
            host=HOST,
            port=options.pop("port", 1),
            control_addresses=options.pop("controls", []),
            random=Random(1),
            work=lambda task: work,
            clock_rate=RATE,
            **options,
        )
        self.upstream._is_up = True

    def pass_ms(self, count: float) -> None:
        self.clock.time += milliseconds(count)

    async def order(
        self, path: str, *, instance: str = "", is_late: bool = False, **fields: object
    ) -> tuple[int, dict[str, Any]]:
        headers = {"x-expect-instance": instance} if instance else {}
        body = json.dumps(fields).encode()
        request = Request(
            method="POST",
            path=path,
            headers=headers,
            body=body,
            sender="c1",
        )
        response = await self.upstream.carry_out(request, is_late=is_late)
        content = response.read_json()
        assert isinstance(content["clock_ms"], int), "each answer with a body has the clock"
        return response.status, content

    async def start(
        self, run: int = 1, *, task: str = TASK, token: int = 1, lease_ms: float = 900, **more: Any
    ) -> tuple[int, str]:
        expires_ms = int(self.upstream.clock_ms() + lease_ms)
        status, content = await self.order(
            "/run-start",
            task=task,
            run_id=run,
            task_spec="spec",
            expires_ms=expires_ms,
            fencing_token=token,
            **more,
        )
        return status, content.get("reason", "")

    async def stop(self, run: int = 1, *, token: int = 1) -> int:
        status, _ = await self.order("/run-stop", task=TASK, run_id=run, fencing_token=token)
        return status

    async def poll(self, last_seen: int = 0, *, token: int = 1, **fields: Any) -> dict[str, Any]:
        status, content = await self.order(
            "/hold", last_seen=last_seen, fencing_token=token, **fields
        )
        assert status == 200
        return content

    async def poll_ends(self, last_seen: int = 0) -> list[tuple[int, int, str]]:
        """Return number, run and kind of all listed ends."""
        rows = (await self.poll(last_seen))["finished"]
        return [(row[0], row[2], row[3]) for row in rows]

    def find(self, kind: EventKind) -> list[Event]:
        return [event for event in self.record.events if event.kind is kind]


def run_async(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(_limit(test))


async def _limit(test: Callable[[], Awaitable[None]]) -> None:
    await asyncio.wait_for(test(), 20)


# The upstream's lease and clock


def test_a_run_ends_with_a_lease_by_the_upstreams_own_clock() -> None:
    """A lease by the true clock would end 2 % too early and hide runs that overlap."""

    async def test() -> None:
        rig = Rig(run_ms=5_000)
        assert await rig.start(lease_ms=490) == (200, "")
        rig.pass_ms(490 / RATE - 2)
        assert rig.upstream.running == [TASK]
        rig.pass_ms(500)
        assert rig.upstream.running == []
        assert await rig.poll_ends() == [(1, 1, "lapsed")]
        ended_at = rig.find(EventKind.END)[0].at
        assert abs(ended_at - milliseconds(490 / RATE)) < milliseconds(2), "counts when it was due"

    run_async(test)


def test_the_clock_runs_at_a_rate_of_its_own() -> None:
    """Leases are given in its time, so a clock without drift would hide an error of 2 %."""

    async def test() -> None:
        rig = Rig()
        before = rig.upstream.clock_ms()
        rig.pass_ms(10_000)
        assert rig.upstream.clock_ms() - before == pytest.approx(10_000 * RATE)

    run_async(test)


def test_a_lease_that_is_too_long_is_shortened_to_the_longest() -> None:
    """Otherwise runs outlast what coordinators may rely on after they were lost."""

    async def test() -> None:
        rig = Rig(run_ms=60_000)
        await rig.start(lease_ms=30_000)
        rig.pass_ms(1_000 / RATE + 1)
        assert rig.upstream.running == []

    run_async(test)


def test_a_lease_is_never_shortened() -> None:
    async def test() -> None:
        rig = Rig(run_ms=60_000)
        await rig.start(lease_ms=900)
        await rig.start(task=OTHER_TASK, lease_ms=100)
        await rig.poll(expires_ms=int(rig.upstream.clock_ms() + 50))
        rig.pass_ms(850)
        assert rig.upstream.running == [TASK, OTHER_TASK]

    run_async(test)


@pytest.mark.parametrize("reason", ["old", "room", "present"])
def test_a_start_that_begins_nothing_extends_the_lease(reason: str) -> None:
    """The page: `expires_ms` is taken from refused starts as well, except late and fenced ones."""

    async def test() -> None:
        rig = Rig(run_ms=60_000)
        await rig.start(lease_ms=500)
        await rig.start(task=OTHER_TASK, lease_ms=500)
        await rig.order("/run-stop", task="a.0.0.9", run_id=5, fencing_token=1)
        rig.pass_ms(400)
        if reason == "old":
            assert await rig.start(5, task="a.0.0.9") == (409, "old")
        elif reason == "room":
            assert await rig.start(1, task="a.0.0.3") == (409, "room")
        else:
            assert await rig.start(1) == (200, "")
        rig.pass_ms(500)
        assert rig.upstream.running == [TASK, OTHER_TASK]

    run_async(test)


@pytest.mark.parametrize("reason", ["late", "fence"])
def test_a_late_or_fenced_start_does_not_extend_the_lease(reason: str) -> None:
    async def test() -> None:
        rig = Rig(run_ms=60_000)
        await rig.start(lease_ms=500, token=7)
        rig.pass_ms(400)
        if reason == "late":
            assert await rig.start(2, token=7, lease_ms=-1, task=OTHER_TASK) == (409, "late")
        else:
            assert await rig.start(2, token=6, task=OTHER_TASK) == (409, "fence")
        rig.pass_ms(130)
        assert rig.upstream.running == []

    run_async(test)


# Fencing, run numbers, stops


def test_orders_below_the_highest_token_change_nothing() -> None:
    """A missing token counts as 0; an accepted order of any kind raises the highest one."""

    async def test() -> None:
        rig = Rig()
        await rig.start(token=5)
        assert await rig.stop(token=4) == 409
        assert (await rig.order("/hold", last_seen=0))[0] == 409
        assert rig.upstream.running == [TASK]
        await rig.poll(token=6)
        assert await rig.start(1, task=OTHER_TASK, token=5) == (409, "fence")
        holders = [read_detail(event) for event in rig.find(EventKind.HOLDER)]
        assert holders == [{"token": 5, "sender": "c1"}, {"token": 6, "sender": "c1"}]
        assert [read_detail(event)["reason"] for event in rig.find(EventKind.ORDER_REFUSED)] == [
            "fence"
        ] * 3

    run_async(test)


def test_a_run_that_is_not_above_a_stopped_or_ended_one_is_refused() -> None:
    async def test() -> None:
        rig = Rig(run_ms=100)
        await rig.start(4)
        rig.pass_ms(101)
        assert await rig.start(4) == (409, "old")
        assert await rig.start(3) == (409, "old")
        assert await rig.stop(7) == 200
        assert await rig.start(7) == (409, "old"), "stopped before it was there"
        assert await rig.start(8) == (200, "")

    run_async(test)


def test_a_stop_of_a_later_run_bars_that_run_while_an_earlier_one_is_active() -> None:
    """Review's stand-in forgets such a stop, and a start that arrives late would be accepted."""

    async def test() -> None:
        rig = Rig(run_ms=300)
        await rig.start(4)
        assert await rig.stop(6) == 200
        assert rig.upstream.running == [TASK], "the stop names another run"
        rig.pass_ms(301)
        assert await rig.start(6) == (409, "old")

    run_async(test)


def test_another_run_of_an_active_task_is_refused() -> None:
    """Two runs of a task at one upstream could not be told apart by the lists."""

    async def test() -> None:
        rig = Rig()
        await rig.start(4)
        assert await rig.start(4) == (200, ""), "the same run is there already"
        assert (await rig.start(3))[0] == 409
        assert (await rig.start(5))[0] == 409
        assert len(rig.find(EventKind.START)) == 1

    run_async(test)


def test_a_stop_takes_up_to_50_ms_and_holds_the_capacity_until_then() -> None:
    async def test() -> None:
        rig = Rig(run_ms=5_000)
        await rig.start()
        await rig.start(task=OTHER_TASK)
        before = rig.clock.now()
        assert await rig.stop() == 200
        assert await rig.start(task="a.0.0.3") == (409, "room"), "it is still being stopped"
        rig.pass_ms(51)
        assert await rig.start(task="a.0.0.3") == (200, "")
        assert await rig.poll_ends() == [(1, 1, "stopped")]
        took = rig.find(EventKind.END)[0].at - before
        assert timedelta() < took <= milliseconds(50)

    run_async(test)


def test_an_unguarded_upstream_starts_what_does_not_fit() -> None:
    async def test() -> None:
        rig = Rig(rejects_overload=False)
        for index in range(3):
            assert await rig.start(task=f"a.0.0.{index}") == (200, "")

    run_async(test)


def test_an_unhealthy_upstream_has_done_nothing() -> None:
    async def test() -> None:
        rig = Rig()
        rig.upstream.is_unhealthy = True
        assert await rig.start(token=9) == (503, "")
        rig.upstream.is_unhealthy = False
        assert await rig.start(token=8) == (200, ""), "the token of a refused order is not kept"

    run_async(test)


# Ends and polls


def test_ends_are_listed_until_they_are_confirmed() -> None:
    async def test() -> None:
        rig = Rig(run_ms=100, fails=True)
        await rig.start(1)
        await rig.start(1, task=OTHER_TASK)
        rig.pass_ms(101)
        assert await rig.poll_ends() == [(1, 1, "failed"), (2, 1, "failed")]
        assert await rig.poll_ends() == [(1, 1, "failed"), (2, 1, "failed")], "not confirmed yet"
        assert await rig.poll_ends(1) == [(2, 1, "failed")]
        assert [event.task for event in rig.find(EventKind.CONFIRM)] == [TASK]
        assert await rig.poll_ends(0) == [(2, 1, "failed")], "confirmed for good"

    run_async(test)


def test_an_answer_lists_500_ends_and_the_next_one_the_others() -> None:
    async def test() -> None:
        rig = Rig(run_ms=1)
        for index in range(MAX_LISTED + 20):
            assert await rig.start(task=f"a.0.0.{index}") == (200, "")
            rig.pass_ms(2)
        ends = await rig.poll_ends()
        assert [number for number, _, _ in ends] == list(range(1, MAX_LISTED + 1))
        assert len(await rig.poll_ends(MAX_LISTED)) == 20

    run_async(test)


def test_a_poll_with_wait_answers_when_a_run_ends() -> None:
    async def test() -> None:
        rig = Rig(run_ms=100)
        await rig.start()
        poll = asyncio.create_task(rig.poll(wait_ms=2_000))
        await asyncio.sleep(0.02)
        assert not poll.done()
        rig.pass_ms(101)
        assert rig.upstream.running == []
        assert [row[3] for row in (await poll)["finished"]] == ["done"]
        again = await asyncio.wait_for(rig.poll(wait_ms=2_000), 0.2)
        assert again["finished"], "an end that is listed already is not waited for"

    run_async(test)


def test_a_poll_waits_no_longer_than_it_says() -> None:
    async def test() -> None:
        rig = Rig()
        content = await asyncio.wait_for(rig.poll(wait_ms=30), 0.5)
        assert content["finished"] == []
        assert (await rig.order("/hold", fencing_token=1, last_seen=0, wait_ms=2_001))[0] == 400

    run_async(test)


def test_active_runs_are_listed_with_their_progress() -> None:
    async def test() -> None:
        rig = Rig(run_ms=200)
        await rig.start(6)
        rig.pass_ms(50)
        row = (await rig.poll())["running"][0]
        assert row[:4] == [TASK, 6, "", 25]
        assert len(row) == 5

    run_async(test)


def test_a_lapse_is_recorded_also_while_nothing_runs() -> None:
    """An end that is confirmed after a lapse does not count as taken note of."""

    async def test() -> None:
        rig = Rig(run_ms=100)
        await rig.start(lease_ms=400)
        rig.pass_ms(1_000)
        await rig.poll(1)
        kinds = [event.kind for event in rig.record.events if event.kind is not EventKind.HOLDER]
        assert kinds == [EventKind.START, EventKind.END, EventKind.LAPSE, EventKind.CONFIRM]

    run_async(test)


# Instances and faults


def test_an_order_for_another_instance_is_refused_and_does_nothing() -> None:
    async def test() -> None:
        rig = Rig()
        status, _ = await rig.order("/hold", instance="i-0", fencing_token=9, last_seen=0)
        assert status == 421
        assert await rig.start(token=1) == (200, ""), "its token was not kept"

    run_async(test)


def find_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class LiveRig(Rig):
    """An upstream that listens on loopback, on the real clock."""

    def __init__(self, **options: Any) -> None:
        super().__init__(port=find_port(), reports_start_time=True, **options)
        self.record.now = lambda: timedelta(seconds=asyncio.get_running_loop().time())
        self.client = build_client()

    async def call(self, path: str, timeout_ms: float = 500, **fields: object) -> int:
        url = f"http://{HOST}:{self.upstream.port}{path}"
        response = await send(
            self.client, "POST", url, content=fields, timeout=milliseconds(timeout_ms)
        )
        return response.status if response is not None else 0

    async def call_start(
        self, run: int = 1, task: str = TASK, timeout_ms: float = 500, lease_ms: float = 900
    ) -> int:
        return await self.call(
            "/run-start",
            timeout_ms,
            task=task,
            run_id=run,
            task_spec="spec",
            expires_ms=int(self.upstream.clock_ms() + lease_ms),
            fencing_token=1,
        )

    async def end(self) -> None:
        await self.client.aclose()
        await self.upstream.stop()


def run_live(test: Callable[[LiveRig], Awaitable[None]], **options: Any) -> None:
    async def run() -> None:
        rig = LiveRig(**options)
        await rig.upstream.start()
        try:
            await test(rig)
        finally:
            await rig.end()

    run_async(run)


def test_an_upstream_that_is_cut_off_receives_nothing_and_runs_on() -> None:
    async def test(rig: LiveRig) -> None:
        assert await rig.call_start() == 200
        rig.upstream.cut()
        assert await rig.call_start(task=OTHER_TASK, timeout_ms=60) == 0
        assert rig.upstream.running == [TASK]
        rig.upstream.heal()
        assert await rig.call_start(task=OTHER_TASK) == 200
        assert len(rig.find(EventKind.START)) == 2

    run_live(test)


def test_an_order_from_beyond_a_cut_waits_and_is_lost_with_its_connection() -> None:
    """Guards against an acting leader that starts tasks in a domain that it cannot reach."""
    cut_off = {"c1"}

    async def test(rig: LiveRig) -> None:
        assert await rig.call_start(timeout_ms=60) == 0
        waiting = asyncio.create_task(rig.call_start(task=OTHER_TASK))
        await asyncio.sleep(0.1)
        assert rig.upstream.running == []
        cut_off.clear()
        assert await waiting == 200
        assert rig.upstream.running == [OTHER_TASK]

    reaches = {"reaches": lambda sender: sender not in cut_off}
    run_live(test, identify=lambda peer, local: "c1", **reaches)


def test_an_answer_to_a_host_beyond_a_cut_waits_for_the_heal() -> None:
    """Guards against a leader that hears how a run has ended behind a cut."""
    cut_off: set[str] = set()

    async def test(rig: LiveRig) -> None:
        assert await rig.call_start() == 200
        expires_ms = int(rig.upstream.clock_ms() + 900)
        polling = rig.call("/hold", fencing_token=1, wait_ms=2_000, expires_ms=expires_ms)
        polling_task = asyncio.create_task(polling)
        await asyncio.sleep(0.1)
        cut_off.add("c1")
        while rig.upstream.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert not polling_task.done()
        cut_off.clear()
        assert await polling_task == 200

    reaches = {"reaches": lambda sender: sender not in cut_off}
    run_live(test, identify=lambda peer, local: "c1", **reaches)


def test_a_silent_upstream_carries_out_orders_without_an_answer() -> None:
    async def test(rig: LiveRig) -> None:
        rig.upstream.is_silent = True
        assert await rig.call_start(timeout_ms=60) == 0
        assert rig.upstream.running == [TASK]
        rig.upstream.is_silent = False
        assert await rig.call_start() == 200
        phases = [read_detail(event)["phase"] for event in rig.find(EventKind.DISRUPTION)]
        assert phases == ["begin", "end"]

    run_live(test)


def test_a_late_order_has_no_answer_and_is_carried_out_afterwards() -> None:
    async def test(rig: LiveRig) -> None:
        rig.upstream.late_share = 1.0
        assert await rig.call_start(timeout_ms=100, lease_ms=5_000) == 0
        rig.upstream.late_share = 0.0
        while not rig.find(EventKind.START):
            await asyncio.sleep(0.02)
        assert read_detail(rig.find(EventKind.START)[0])["is_late"]

    run_live(test)


@pytest.mark.parametrize("same_id", [False, True])
def test_a_new_instance_has_no_state_of_the_earlier_one(same_id: bool) -> None:
    async def test(rig: LiveRig) -> None:
        await rig.call_start(5)
        await rig.upstream.crash()
        assert [read_detail(event)["how"] for event in rig.find(EventKind.END)] == ["lost"]
        assert await rig.call_start(1) == 0, "nobody listens"
        await asyncio.sleep(0.002)
        await rig.upstream.restart(same_id=same_id)
        assert rig.upstream.instance_id == ("i-1" if same_id else "i-1.1")
        assert rig.upstream.clock_ms() < 100
        assert await rig.call_start(1) == 200, "lower run numbers are new to it"
        sources = [event.source for event in rig.find(EventKind.START)]
        assert sources == ["i-1/0", "i-1/1"]

    run_live(test)


def test_a_disruption_may_end_under_a_later_instance() -> None:
    """Otherwise it would count as one without an end, and no job as lost from then on."""

    async def test(rig: LiveRig) -> None:
        rig.upstream.cut()
        await rig.upstream.crash()
        await rig.upstream.restart()
        rig.upstream.heal()
        assert find_gaps(rig.record) == [
            "no sender of an order is known, so holders of a token cannot be compared"
        ]

    run_live(test)


def test_heartbeats_go_to_another_control_host_until_one_acknowledges() -> None:
    """An upstream that stays with a host that is gone would seem to be lost."""

    async def test() -> None:
        received: list[dict[str, Any]] = []
        ports = [find_port(), find_port()]

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            received.append(json.loads(await reader.readexactly(length)))
            assert head.startswith(b"PUT /instances/i-1 ")
            body = json.dumps({"heartbeat_url": f"{HOST}:{ports[1]}"}).encode()
            writer.write(b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

        server = await asyncio.start_server(accept, HOST, ports[1])
        rig = LiveRig(controls=[(HOST, port) for port in ports])
        await rig.upstream.start()
        await rig.upstream._send_heartbeat()
        while len(received) < 2:
            await asyncio.sleep(0.01)
        await rig.end()
        server.close()
        assert received[0]["seq_no"] < received[1]["seq_no"]
        assert received[0]["address"] == f"{HOST}:{rig.upstream.port}"
        assert received[0]["capacity"] == {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}
        assert {
            "service",
            "zone",
            "version",
            "slots",
            "state",
            "labels",
            "clock_ms",
            "born",
        } <= set(received[0])

    run_async(test)


def test_the_process_behind_a_connection_is_found() -> None:
    """All processes share the loopback address, so a sender is known by its socket alone."""
    with socket.create_server((HOST, 0)) as server:
        local = server.getsockname()
        with socket.create_connection(local) as client:
            finder = ProcessFinder(pids=lambda: {"none": 2**22 + 1, "self": os.getpid()})
            assert finder.find(client.getsockname(), local) == "self"
            assert finder.find(client.getsockname(), ("127.0.0.1", 1)) == "", "another connection"


def test_one_scan_names_all_new_connections_of_a_process() -> None:
    """Guards against a soak that spends its time on names: a scan of all processes takes 10 ms."""
    scans = 0

    def list_pids() -> dict[str, int]:
        nonlocal scans
        scans += 1
        return {"self": os.getpid()}

    with socket.create_server((HOST, 0)) as server, ExitStack() as stack:
        local = server.getsockname()
        clients = [
            stack.enter_context(socket.create_connection(local, source_address=(host, 0)))
            for host in (HOST, HOST, "127.0.0.9")
        ]
        finder = ProcessFinder(pids=list_pids, addresses={"127.0.0.9": "u1"})
        names = [finder.find(client.getsockname(), local) for client in clients]
        assert names == ["self", "self", "u1"]
        assert scans == 1


def test_a_record_is_written_in_the_order_of_time_and_read_back(tmp_path: Path) -> None:
    record = Record(now=timedelta)
    late = Event(milliseconds(20), EventKind.END, "i-1/0", "a", TASK, 3, build_detail(how="done"))
    record.add(late)
    record.add(Event(milliseconds(10), EventKind.START, "i-1/0", "a", TASK, 3))
    record.add_disruption("c1", "kill", Phase.BEGIN)
    record.write(tmp_path / "record.txt")
    events = read_record(tmp_path / "record.txt").events
    assert events == record.events
    assert events[-1] == late


# Callers


class Gateway:
    """A gateway that answers as a test says, and keeps what it was sent."""

    def __init__(self, answer: Callable[[Request], Response | None]) -> None:
        self.requests: list[tuple[float, Request]] = []
        self._answer = answer

    async def handle(self, request: Request) -> Response | None:
        self.requests.append((asyncio.get_running_loop().time(), request))
        return self._answer(request)

    def list_times(self, method: str) -> dict[str, list[float]]:
        """Return when each job was sent with a method."""
        times: dict[str, list[float]] = {}
        for at, request in self.requests:
            if request.method == method:
                times.setdefault(request.path, []).append(at)
        return times


def play_callers(
    answer: Callable[[Request], Response | None], *, seed: int = 1, **options: Any
) -> tuple[Gateway, Record]:
    """Let callers submit jobs to a gateway for 0.5 s, at ten times the usual speed."""
    gateway = Gateway(answer)
    settings = {
        "rate_per_s": 40.0,
        "timeout": milliseconds(150),
        "retry_delay": milliseconds(130),
        "durable_retry_delay": milliseconds(30),
        "best_effort_tries": 3,
        "durable_tries": 3,
        "cancel_share": 0.0,
        "give_up_share": 0.0,
        "resend_share": 0.0,
        "unknown_share": 0.0,
        "resend_within": milliseconds(500),
        "poll_within": milliseconds(100),
        **options,
    }
    record = Record(now=lambda: timedelta(seconds=asyncio.get_running_loop().time()))

    async def play() -> None:
        server, port = Server(handle=gateway.handle), find_port()
        await server.listen(HOST, port)
        callers = Callers(
            record=record,
            gateways={"e1": (HOST, port)},
            random=Random(seed),
            settings=CallerSettings(**settings),
        )
        await callers.run(asyncio.get_running_loop().time() + 0.5)
        server.close()

    run_async(play)
    return gateway, record


def answer_with(status: int, **fields: object) -> Response:
    return Response(status=status, body=encode_json(fields))


@pytest.mark.parametrize("status", [0, 502, 504])
def test_a_best_effort_job_is_sent_again_after_the_retry_delay(status: int) -> None:
    """A caller that is quicker than the page allows would blame the system for its own doing."""
    _, record = play_callers(
        lambda request: answer_with(status) if status else None, durable_share=0.0
    )
    by_job: dict[str, list[Event]] = {}
    for event in record.events:
        by_job.setdefault(event.job, []).append(event)
    assert len(by_job) > 5
    for events in by_job.values():
        assert [event.kind for event in events] == [EventKind.SUBMIT, EventKind.ANSWER] * 3
        delays = [events[at + 1].at - events[at].at for at in (1, 3)]
        assert all(delay >= milliseconds(129) for delay in delays), "counts from the answer"


@pytest.mark.parametrize("status", [429, 503, 404])
def test_a_job_that_was_refused_is_not_sent_again(status: int) -> None:
    gateway, record = play_callers(lambda request: answer_with(status))
    assert {len(times) for times in gateway.list_times("POST").values()} == {1}
    assert len(gateway.requests) == len(gateway.list_times("POST")) > 5
    statuses = {
        read_detail(event)["status"] for event in record.events if event.kind is EventKind.ANSWER
    }
    assert statuses == {status}


def test_accepted_durable_jobs_are_watched_until_they_have_ended() -> None:
    asked: dict[str, int] = {}

    def answer(request: Request) -> Response:
        if request.method == "POST":
            return answer_with(200)
        asked[request.path] = asked.get(request.path, 0) + 1
        return answer_with(200, state="completed" if asked[request.path] > 1 else "running")

    gateway, record = play_callers(answer, durable_share=1.0)
    assert set(asked) == set(gateway.list_times("POST"))
    assert set(asked.values()) == {3}, "once more after the end"
    answers = [read_detail(event) for event in record.events if event.kind is EventKind.ANSWER]
    assert [fields["state"] for fields in answers if fields["method"] == "GET"].count("running")


def test_cancelled_best_effort_jobs_are_not_sent_again() -> None:
    """Such a job may start again, and the check of cancels would blame the system."""
    gateway, _ = play_callers(
        lambda request: answer_with(200) if request.method == "DELETE" else None,
        durable_share=0.0,
        cancel_share=1.0,
    )
    cancels, posts = gateway.list_times("DELETE"), gateway.list_times("POST")
    assert len(cancels) > 5
    assert all(max(posts[path]) < cancels[path][0] for path in cancels if path in posts)


def test_callers_that_leave_record_the_end_of_their_request() -> None:
    """A request without an end would count as one that may still be accepted."""
    _, record = play_callers(lambda request: None, give_up_share=1.0, timeout=milliseconds(5_000))
    submitted = [event for event in record.events if event.kind is EventKind.SUBMIT]
    answers = [read_detail(event) for event in record.events if event.kind is EventKind.ANSWER]
    assert len(submitted) == len(answers) > 5
    assert len({event.job for event in submitted}) == len(submitted), "they have left for good"
    assert {fields["status"] for fields in answers} == {0}


@pytest.mark.parametrize("held_seconds", [0.0, 0.25])
def test_some_durable_jobs_are_sent_again_after_their_acceptance(held_seconds: float) -> None:
    """The first answer may be late; callers wait for it, or they would send a third time."""
    answered: list[str] = []

    def answer(request: Request) -> Response:
        if request.method == "POST" and not answered:
            time.sleep(held_seconds)
        answered.append(request.path)
        return answer_with(200, state="completed")

    gateway, _ = play_callers(
        answer, durable_share=1.0, resend_share=1.0, timeout=milliseconds(5_000)
    )
    all_times = gateway.list_times("POST").values()
    assert len(all_times) > 5
    assert not [times for times in all_times if len(times) != 2 or times[1] - times[0] < 0.09]


def test_jobs_are_the_same_for_a_seed_and_as_wide_as_asked() -> None:
    plans = []
    for seed in (1, 1, 2):
        _, record = play_callers(lambda request: answer_with(503), seed=seed)
        submissions = [event for event in record.events if event.kind is EventKind.SUBMIT]
        plans.append([read_plan(event) for event in submissions])
    shortest = min(len(plans[0]), len(plans[1]))
    assert plans[0][:shortest] == plans[1][:shortest] and shortest > 5
    assert plans[2][0] not in plans[0]
    for plan in (each for some in plans for each in some):
        assert 1 <= len(plan.list_tasks()) <= 12
        assert all(60 <= step.run_ms <= 5_000 for step in plan.steps)


def test_the_longest_chain_follows_the_dependencies() -> None:
    steps = (
        Step(count=1, run_ms=100),
        Step(count=2, run_ms=400),
        Step(count=1, run_ms=50, depends_on=(0,)),
    )
    plan = Plan(id="a", steps=steps, is_durable=True, max_attempts=2)
    assert plan.find_longest_chain() == milliseconds(400)
    assert plan.find_longest_time(milliseconds(1_000)) == milliseconds(1_800)
    assert plan.list_tasks() == ["a.0.0.0", "a.0.1.0", "a.0.1.1", "a.0.2.0"]
    assert [plan.find_step(task) for task in ("a.0.1.1", "a.0.1.2", "a.1.0.0")] == [1, None, None]


# Checks: for each promise a record that breaks it, and one that just does not

JOB = "00000000000000aa"
FIRST, SECOND, LAST = (f"{JOB}.0.{step}" for step in ("0.0", "0.1", "1.0"))
"""Two tasks of the first step, and that of the second one, which depends on both."""
PLAN = Plan(
    id=JOB,
    steps=(
        Step(count=2, run_ms=100, cpu_millis=6_000, memory_mb=100),
        Step(count=1, run_ms=100, cpu_millis=6_000, memory_mb=100, depends_on=(0,)),
    ),
    is_durable=True,
    max_attempts=2,
)
BEST_EFFORT = msgspec.structs.replace(PLAN, is_durable=False)


class Story:
    """A record written by hand; times are in milliseconds."""

    def __init__(self) -> None:
        self.record = Record(now=timedelta)
        self._calls = 0

    def add(
        self, at: float, kind: EventKind, source: str, task: str, run: int = 0, **fields: object
    ) -> Story:
        detail = build_detail(**fields)
        job = task.partition(".")[0]
        named = task if "." in task else ""
        self.record.add(Event(milliseconds(at), kind, source, job, named, run, detail))
        return self

    def ask(
        self,
        at: float,
        method: str = "POST",
        status: int | None = 200,
        *,
        plan: Plan | None = None,
        job: str = JOB,
        state: str = "",
        took: float = 10,
    ) -> Story:
        """Add a caller's request, and its answer unless the status is None."""
        self._calls += 1
        fields: dict[str, Any] = {"call": self._calls, "method": method}
        if method == "POST":
            sent: dict[str, Any] = {**fields, "plan": msgspec.to_builtins(plan or PLAN)}
            self.add(at, EventKind.SUBMIT, "e1", job, **sent)
        else:
            self.add(at, EventKind.CALL, "e1", job, **fields)
        if status is not None:
            self.add(at + took, EventKind.ANSWER, "e1", job, status=status, state=state, **fields)
        return self

    def start(
        self,
        at: float,
        task: str = FIRST,
        run: int = 1,
        *,
        source: str = "i-1/0",
        spec: str = "spec",
        checkpoint: str = "",
        is_late: bool = False,
    ) -> Story:
        return self.add(
            at,
            EventKind.START,
            source,
            task,
            run,
            token=1,
            sender="c1",
            spec=hash_spec(spec),
            checkpoint=checkpoint,
            cpu=16_000,
            mem_mb=32_768,
            is_late=is_late,
        )

    def end(
        self, at: float, task: str = FIRST, run: int = 1, how: str = "done", source: str = "i-1/0"
    ) -> Story:
        return self.add(at, EventKind.END, source, task, run, how=how, number=run)

    def confirm(self, at: float, task: str = FIRST, run: int = 1, source: str = "i-1/0") -> Story:
        return self.add(at, EventKind.CONFIRM, source, task, run, how="done", number=run)

    def run(self, at: float, task: str, run: int = 1, how: str = "done") -> Story:
        """Add a run of 100 ms whose end is confirmed."""
        return self.start(at, task, run).end(at + 100, task, run, how).confirm(at + 110, task, run)

    def run_all(self, at: float = 20) -> Story:
        """Add successful runs of all tasks of the job."""
        return self.run(at, FIRST).run(at, SECOND).run(at + 200, LAST)

    def disrupt(self, at: float, phase: Phase = Phase.MOMENT, source: str = "c1") -> Story:
        return self.add(at, EventKind.DISRUPTION, source, "", what="kill", phase=phase.value)

    def list_broken(self) -> list[Rule]:
        return [violation.rule for violation in find_violations(self.record)]


def test_a_record_of_a_job_without_faults_breaks_no_promise() -> None:
    story = Story().ask(0).run_all().ask(500, "GET", state="completed")
    assert story.list_broken() == []


@pytest.mark.parametrize("plan", [PLAN, BEST_EFFORT])
@pytest.mark.parametrize(("ended_at", "broken"), [(120, []), (120.001, [Rule.TWICE])])
def test_two_runs_of_a_task_at_a_time_break_twice(
    ended_at: float, broken: list[Rule], plan: Plan
) -> None:
    story = Story().ask(0, plan=plan).start(20).start(120, run=2, source="i-2/0")
    story.end(ended_at, how="lapsed").end(200, run=2, source="i-2/0")
    assert story.list_broken() == broken


def test_a_run_that_never_ends_overlaps_a_later_one() -> None:
    story = Story().ask(0).start(20).start(9_000, run=2, source="i-2/0")
    violation = find_violations(story.record)[0]
    assert violation.rule is Rule.TWICE
    assert [(event.source, event.run) for event in violation.events] == [("i-1/0", 1), ("i-2/0", 2)]


def test_the_runs_of_a_crashed_upstream_end_with_it() -> None:
    story = Story().ask(0).start(20).end(50, how="lost").start(50, run=2, source="i-2/0")
    assert story.list_broken() == []


@pytest.mark.parametrize(
    ("plan", "confirmed_at", "lapsed_at", "broken"),
    [
        (PLAN, 130, None, [Rule.TWICE]),
        (PLAN, 500, None, [Rule.TWICE]),  # confirmed after the second start
        (PLAN, None, None, []),
        (PLAN, 500, 300, []),  # the lease lapsed between the end and its confirmation
        (PLAN, 500, 600, [Rule.TWICE]),
        (PLAN, 500, 110, [Rule.TWICE]),
        (BEST_EFFORT, 130, None, []),
    ],
)
def test_a_start_after_a_success_that_was_taken_note_of_breaks_twice(
    plan: Plan, confirmed_at: float | None, lapsed_at: float | None, broken: list[Rule]
) -> None:
    story = Story().ask(0, plan=plan).start(20).end(120)
    story.start(200, run=2, source="i-2/0").end(300, run=2, source="i-2/0")
    if confirmed_at is not None:
        story.confirm(confirmed_at)
    if lapsed_at is not None:
        story.add(lapsed_at, EventKind.LAPSE, "i-1/0", "")
        story.add(200, EventKind.LAPSE, "i-2/0", "")
    assert story.list_broken() == broken


@pytest.mark.parametrize(
    ("started_at", "is_late", "is_disrupted", "broken"),
    [
        (1_511, False, False, [Rule.TWICE]),
        (1_510, False, False, []),
        (1_511, True, False, []),
        (1_511, False, True, []),
    ],
)
def test_a_start_after_the_job_was_shown_as_completed_breaks_twice(
    started_at: float, is_late: bool, is_disrupted: bool, broken: list[Rule]
) -> None:
    """Ends that nobody has confirmed, so that only what callers were shown counts."""
    story = Story().ask(0)
    for task, at in ((FIRST, 20), (SECOND, 20), (LAST, 220)):
        story.start(at, task).end(at + 100, task)
    story.ask(500, "GET", state="completed")
    story.start(started_at, run=2, source="i-2/0", is_late=is_late)
    if is_disrupted:
        story.disrupt(400)
    assert story.list_broken() == broken


@pytest.mark.parametrize(
    ("statuses", "broken"),
    [
        ((503,), [Rule.REFUSED]),
        ((429, 503), [Rule.REFUSED]),
        ((404,), [Rule.REFUSED]),
        ((503, 200), []),
        ((0, 503), []),  # the first one may have been accepted
        ((503, 504), []),
        ((503, None), []),
    ],
)
def test_a_start_of_a_refused_job_breaks_refused(
    statuses: tuple[int | None, ...], broken: list[Rule]
) -> None:
    story = Story()
    for at, status in enumerate(statuses):
        story.ask(at * 20, status=status)
    story.start(100).end(200)
    assert story.list_broken() == broken


@pytest.mark.parametrize(
    ("how", "ended_at", "broken"),
    [
        ("done", 150, []),
        ("done", 151, [Rule.ORDER]),
        ("failed", 140, [Rule.ORDER]),
        ("lapsed", 140, [Rule.ORDER]),
    ],
)
def test_a_start_before_the_steps_that_it_depends_on_breaks_order(
    how: str, ended_at: float, broken: list[Rule]
) -> None:
    story = Story().ask(0).start(20, FIRST).end(120, FIRST)
    story.start(20, SECOND).end(ended_at, SECOND, how=how)
    story.start(150, LAST).end(300, LAST)
    assert story.list_broken() == broken


@pytest.mark.parametrize(("ended_at", "broken"), [(100, []), (101, [Rule.LIMIT])])
@pytest.mark.parametrize(("cpu", "memory"), [(6_000, 100), (100, 12_000)])
def test_a_start_over_the_capacity_breaks_limit(
    cpu: int, memory: int, ended_at: float, broken: list[Rule]
) -> None:
    """What is being stopped counts until its end."""
    step = Step(count=3, run_ms=100, cpu_millis=cpu, memory_mb=memory)
    story = Story().ask(0, plan=msgspec.structs.replace(PLAN, steps=(step,)))
    tasks = [f"{JOB}.0.0.{index}" for index in range(3)]
    story.start(20, tasks[0]).start(20, tasks[1])
    story.add(60, EventKind.STOP, "i-1/0", tasks[1], 1, token=1, sender="c1")
    story.start(100, tasks[2])
    story.end(ended_at, tasks[1], how="stopped").end(150, tasks[0]).end(200, tasks[2])
    assert story.list_broken() == broken


def test_other_upstreams_do_not_count_against_a_capacity() -> None:
    story = Story().ask(0).start(20, FIRST).start(20, SECOND, source="i-1/1").end(120, FIRST)
    story.end(120, SECOND, source="i-1/1").start(150, LAST).end(250, LAST)
    assert story.list_broken() == []


@pytest.mark.parametrize(
    "story",
    [
        Story().start(20).end(120),
        Story().ask(21).start(20).end(120),
        Story().ask(0).start(20, f"{JOB}.0.0.2").end(120, f"{JOB}.0.0.2"),
        Story().ask(0).start(20, spec="other").end(120),
        Story().ask(0).start(20, checkpoint="00").end(120),
    ],
    ids=["no job", "before its submission", "no such task", "other specification", "checkpoint"],
)
def test_a_start_that_nobody_asked_for_breaks_unasked(story: Story) -> None:
    assert story.list_broken() == [Rule.UNASKED]


def test_a_start_before_the_answer_of_its_submission_is_asked_for() -> None:
    assert Story().ask(0, status=None).start(0).end(120).list_broken() == []


@pytest.mark.parametrize(
    ("started_at", "is_late", "status", "disrupted_at", "broken"),
    [
        (3_111, False, 200, None, [Rule.UNASKED]),
        (3_110, False, 200, None, []),
        (3_111, True, 200, None, []),
        (3_111, False, 410, None, []),
        (3_111, False, 200, 2_000, []),
        (6_000, False, 200, 2_000, [Rule.UNASKED]),
    ],
)
def test_a_start_long_after_an_acknowledged_cancel_breaks_unasked(
    started_at: float,
    is_late: bool,
    status: int,
    disrupted_at: float | None,
    broken: list[Rule],
) -> None:
    story = Story().ask(0).ask(100, "DELETE", status)
    story.start(started_at, is_late=is_late).end(started_at + 100)
    if disrupted_at is not None:
        story.disrupt(disrupted_at)
    assert story.list_broken() == broken


def test_a_disrupted_upstream_does_not_excuse_the_hosts() -> None:
    """With some upstream disrupted most of the time, nothing would be judged."""
    story = Story().ask(0).ask(100, "DELETE").disrupt(2_000, source="i-2/*")
    assert story.start(3_111).end(3_211).list_broken() == [Rule.UNASKED]


@pytest.mark.parametrize(
    ("ended_at", "disruptions", "broken"),
    [
        (3_160, [], []),
        (3_161, [], [Rule.UNASKED]),
        (3_161, [("i-1/0", 500, Phase.MOMENT)], []),
        (6_560, [("i-1/0", 500, Phase.MOMENT)], [Rule.UNASKED]),
        (20_000, [("i-1/0", 500, Phase.BEGIN)], []),
        (20_000, [("i-1/0", 500, Phase.BEGIN), ("i-1/0", 9_000, Phase.END)], [Rule.UNASKED]),
    ],
)
def test_a_run_that_goes_on_after_a_cancel_breaks_unasked(
    ended_at: float, disruptions: list[tuple[str, float, Phase]], broken: list[Rule]
) -> None:
    story = Story().ask(0).start(20).ask(100, "DELETE").end(ended_at)
    for source, at, phase in disruptions:
        story.disrupt(at, phase, source)
    story.ask(30_000, "GET", state="cancelled")
    assert story.list_broken() == broken


FINISH_MS = 14_000 + 2 * 200
"""Time allowed for the job: two attempts of its two steps beyond `finish`."""


@pytest.mark.parametrize(
    ("shown_at", "state", "disrupted_at", "broken"),
    [
        (10 + FINISH_MS, "completed", None, []),
        (10 + FINISH_MS + 1, "completed", None, [Rule.LOST]),
        (10 + FINISH_MS + 1, "running", None, [Rule.LOST]),
        (5_000 + 3_000 + FINISH_MS, "completed", 5_000, []),
        (5_000 + 3_000 + FINISH_MS + 1, "completed", 5_000, [Rule.LOST]),
    ],
)
def test_a_durable_job_that_does_not_end_in_time_breaks_lost(
    shown_at: float, state: str, disrupted_at: float | None, broken: list[Rule]
) -> None:
    story = Story().ask(0).run_all().ask(shown_at, "GET", state=state, took=0)
    if disrupted_at is not None:
        story.disrupt(disrupted_at)
    assert story.list_broken() == broken


def test_jobs_that_were_not_accepted_or_need_not_be_kept_are_not_lost() -> None:
    """Neither are those whose cancelling was sent, acknowledged or not."""
    late = 10 + FINISH_MS + 1
    assert Story().ask(0, status=504).ask(late, "GET", 410).list_broken() == []
    assert Story().ask(0, plan=BEST_EFFORT).ask(late, "GET", 410).list_broken() == []
    assert Story().ask(0).ask(50, "DELETE", 0).ask(late, "GET", 410).list_broken() == []


@pytest.mark.parametrize(
    ("asked_at", "disrupted_at", "broken"),
    [
        (3_011, None, [Rule.LOST]),
        (3_010, None, []),
        (4_000, 1_000, []),
        (4_001, 1_000, [Rule.LOST]),
    ],
)
def test_an_accepted_job_that_is_not_known_breaks_lost(
    asked_at: float, disrupted_at: float | None, broken: list[Rule]
) -> None:
    story = Story().ask(0).run_all().ask(asked_at, "GET", 410)
    story.ask(asked_at + 20, "GET", state="completed")
    if disrupted_at is not None:
        story.disrupt(disrupted_at)
    assert story.list_broken() == broken


@pytest.mark.parametrize(("asked_at", "broken"), [(120_509, []), (120_400, [Rule.LOST])])
def test_an_ended_job_may_be_forgotten_after_a_while(asked_at: float, broken: list[Rule]) -> None:
    story = Story().ask(0).run_all().ask(500, "GET", state="completed")
    assert story.ask(asked_at, "GET", 410).list_broken() == broken


@pytest.mark.parametrize(("failures", "broken"), [(2, []), (1, [Rule.LOST])])
def test_a_job_that_is_shown_as_failed_without_cause_breaks_lost(
    failures: int, broken: list[Rule]
) -> None:
    story = Story().ask(0)
    for run in range(failures):
        story.run(20 + run * 200, FIRST, run + 1, "failed")
    story.start(900, run=5).end(950, run=5, how="lapsed") if failures == 1 else None
    assert story.ask(1_000, "GET", state="failed").list_broken() == broken


@pytest.mark.parametrize(("cancels", "broken"), [(True, []), (False, [Rule.LOST])])
def test_a_job_that_is_shown_as_cancelled_without_cause_breaks_lost(
    cancels: bool, broken: list[Rule]
) -> None:
    story = Story().ask(0)
    if cancels:
        story.ask(50, "DELETE", 0)
    assert story.ask(100, "GET", state="cancelled").list_broken() == broken


@pytest.mark.parametrize(("ended_at", "broken"), [(510, []), (511, [Rule.MIXED])])
@pytest.mark.parametrize("plan", [PLAN, BEST_EFFORT])
def test_a_job_that_is_shown_as_completed_too_early_breaks_mixed(
    plan: Plan, ended_at: float, broken: list[Rule]
) -> None:
    story = Story().run(20, FIRST).run(20, SECOND).start(220, LAST).end(ended_at, LAST)
    if plan.is_durable:
        story.ask(0).ask(500, "GET", state="completed")
    else:
        story.ask(0, plan=plan, state="completed", took=510)
    assert story.list_broken() == broken


def test_a_completed_job_with_a_task_that_failed_breaks_mixed() -> None:
    story = Story().ask(0).run(20, FIRST).run(20, SECOND, how="failed")
    assert story.ask(500, "GET", state="completed").list_broken() == [Rule.MIXED]


@pytest.mark.parametrize(("status", "broken"), [(410, []), (200, [Rule.MIXED])])
def test_a_job_that_nobody_submitted_must_not_be_shown(status: int, broken: list[Rule]) -> None:
    assert Story().ask(0, "GET", status, state="queued").list_broken() == broken


@pytest.mark.parametrize(
    ("how", "is_confirmed", "plan", "broken"),
    [
        ("failed", True, PLAN, [Rule.BUDGET]),
        ("failed", False, PLAN, []),
        ("lapsed", True, PLAN, []),
        ("failed", True, BEST_EFFORT, []),
        ("failed", True, msgspec.structs.replace(PLAN, max_attempts=3), []),
    ],
)
def test_a_start_after_the_last_attempt_breaks_budget(
    how: str, is_confirmed: bool, plan: Plan, broken: list[Rule]
) -> None:
    story = Story().ask(0, plan=plan).run(20, FIRST, 1, "failed").start(200, run=2)
    story.end(300, run=2, how=how).start(400, run=3).end(500, run=3)
    if is_confirmed:
        story.confirm(600, run=2)
    assert story.list_broken() == broken


@pytest.mark.parametrize(("token", "broken"), [(7, [Rule.ONE]), (8, [])])
def test_two_senders_under_one_token_break_one(token: int, broken: list[Rule]) -> None:
    story = Story().add(10, EventKind.HOLDER, "i-1/0", "", token=7, sender="c1")
    story.add(20, EventKind.HOLDER, "i-2/0", "", token=7, sender="c1")
    story.add(30, EventKind.HOLDER, "i-2/0", "", token=token, sender="c2")
    assert story.list_broken() == broken


# What a record cannot tell


def test_a_record_without_gaps_says_so() -> None:
    story = Story().ask(0).run_all().ask(500, "GET", state="completed")
    story.add(20, EventKind.HOLDER, "i-1/0", "", token=7, sender="c1")
    assert find_gaps(story.record) == []


def test_a_record_that_ends_too_early_is_reported() -> None:
    """A soak that ends before jobs are due would find none lost."""
    story = Story().ask(0).add(20, EventKind.HOLDER, "i-1/0", "", token=7, sender="c1")
    assert len(find_gaps(story.record)) == 1
    assert JOB in find_gaps(story.record)[0]
    story.ask(10 + FINISH_MS, "GET", state="running")
    assert find_gaps(story.record) == []


def test_a_disruption_without_an_end_and_unknown_senders_are_reported() -> None:
    story = Story().disrupt(0, Phase.BEGIN)
    assert len(find_gaps(story.record)) == 2
    story.disrupt(10, Phase.END).add(20, EventKind.HOLDER, "i-1/0", "", token=7, sender="c1")
    assert find_gaps(story.record) == []


@pytest.mark.parametrize(
    ("sent_at", "status", "line"),
    [
        (2_000, 200, "in cuts 1 of 1 (1.00), outside 0 of 0 (0.00)"),
        (2_000, 503, "in cuts 0 of 1 (0.00), outside 0 of 0 (0.00)"),
        (9_000, 200, "in cuts 0 of 0 (0.00), outside 1 of 1 (1.00)"),
        (5_000, 200, "in cuts 0 of 0 (0.00), outside 0 of 0 (0.00)"),
    ],
)
def test_jobs_count_as_answered_by_whether_a_domain_was_cut_off_meanwhile(
    sent_at: float, status: int, line: str
) -> None:
    """Guards against cuts in which nothing is served and which therefore find nothing."""
    story = Story().ask(sent_at, status=status)
    for at, phase in ((1_000, Phase.BEGIN), (6_000, Phase.END)):
        story.add(at, EventKind.DISRUPTION, "d1", "", what="cut_domain", phase=phase.value)
    assert describe_answers(story.record) == f"jobs answered within 3 s of their work: {line}"
    assert describe_answers(Story().ask(sent_at, status=status).record) == ""
