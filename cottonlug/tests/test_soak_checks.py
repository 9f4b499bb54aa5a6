"""Tests of the soak's stand-ins and checks: a wrong one would blame the system, or clear it."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any

import pytest

from soak.callers import Callers, CallerSettings
from soak.jobs import Plan, Step, read_plan
from soak.record import Event, EventKind, Phase, Record, build_detail, read_detail, read_record
from soak.upstreams import MAX_LISTED, StandInUpstream, Work
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
            peer=("127.0.0.1", 9),
            local=("127.0.0.1", 1),
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
        kinds = [event.kind for event in rig.record.events]
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
    assert {fields["status"] for fields in answers} == {0}


def test_some_durable_jobs_are_sent_again_after_their_acceptance() -> None:
    gateway, _ = play_callers(
        lambda request: answer_with(200, state="completed"), durable_share=1.0, resend_share=1.0
    )
    all_times = gateway.list_times("POST").values()
    assert len(all_times) > 5
    assert all(len(times) == 2 and times[1] - times[0] >= 0.09 for times in all_times)


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
