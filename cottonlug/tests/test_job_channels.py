"""Job channels, which send jobs in batches over few connections: lost messages, order of starts."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec
import pytest
from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.options import Address
from ..core.cluster.calls import Answer, Call, Outcome, Submit
from ..core.cluster.forecast import WaitLimits
from ..net.asgi import HttpRequest, HttpResponse, build_asgi
from ..net.servers import Listener
from ..net.transport import HttpReply, TransportError
from ..runtime import job_channel
from ..runtime.job_channel import ANSWERS_PATH, JOBS_PATH, JobChannel
from ..runtime.job_channel_server import MAX_STARTS_PER_TURN, JobChannelServer
from ..runtime.peer_calls import JOB_CHANNEL_CONNECTIONS, PeerCalls
from .gateway_builders import build_clock, build_submit
from .processes import find_base_port

CALL_TIMEOUT = timedelta(seconds=5)
IN_TIME = WaitLimits(in_time=timedelta(seconds=1), useful=timedelta(seconds=3))
LATE = WaitLimits(in_time=timedelta(), useful=timedelta(seconds=3))
USELESS = WaitLimits(in_time=-timedelta(seconds=1), useful=-timedelta(seconds=1))
MANY = 120


@dataclass(slots=True, kw_only=True)
class Wire:
    """A connection to another host, which loses a set number of requests or replies."""

    server: JobChannelServer
    lost_requests: dict[str, int] = field(default_factory=dict)
    """How many of the next requests are lost, by path."""
    lost_replies: dict[str, int] = field(default_factory=dict)
    is_closed: bool = False
    """Whether no connection can be opened, so that nothing is sent."""
    connecting: asyncio.Event | None = None
    """Set once a connection is open; requests wait for it before they are encoded."""
    sent: list[str] = field(default_factory=list)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | Callable[[], bytes] = b"",
        *,
        timeout: timedelta,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpReply, TransportError]:
        if self.is_closed:
            await asyncio.sleep(0.001)
            return Err(TransportError(message="cannot connect", unsent=True))
        if self.connecting is not None:
            await self.connecting.wait()
        whole = body if isinstance(body, bytes) else body()
        self.sent.append(path)
        if self._is_lost(self.lost_requests, path):
            return Err(TransportError(message="no reply in time", unsent=False))
        request = HttpRequest(method=method, path=path, headers={}, body=whole)
        reply = await self.server.handle(request)
        if self._is_lost(self.lost_replies, path):
            return Err(TransportError(message="no reply in time", unsent=False))
        return Success(HttpReply(status=reply.status, body=reply.body))

    def _is_lost(self, left: dict[str, int], path: str) -> bool:
        if left.get(path, 0) <= 0:
            return False
        left[path] -= 1
        return True


@dataclass(slots=True, kw_only=True)
class Host:
    """A host that runs jobs and records which."""

    carried_out: list[str] = field(default_factory=list)
    gate: asyncio.Event | None = None

    async def answer(self, call: Call) -> Answer:
        assert isinstance(call, Submit)
        self.carried_out.append(call.path)
        if self.gate is not None:
            await self.gate.wait()
        return Answer(outcome=Outcome.DONE, detail=call.path)


def build_server(host: Host, limits: dict[str, WaitLimits] | None = None) -> JobChannelServer:
    return JobChannelServer(
        answer=host.answer,
        clock=build_clock(),
        find_limits=lambda call: (limits or {}).get(call.path, IN_TIME),
    )


def build_channel(wire: Wire) -> JobChannel:
    return JobChannel(
        own_address="10.0.0.1:7000",
        open_pool=lambda: wire,  # type: ignore[arg-type, return-value]
        stamp=lambda call: call,
    )


def build_job(number: int) -> Submit:
    return msgspec.structs.replace(build_submit(), path=f"/q/{number:016x}")


async def submit_all(channel: JobChannel, count: int) -> list[Answer]:
    asking = (channel.submit(build_job(number), CALL_TIMEOUT) for number in range(count))
    return list(await asyncio.gather(*asking))


def test_a_job_that_was_reported_as_not_sent_is_not_sent_later() -> None:
    """Guards against a start of a job whose caller was told that it did not run.

    A batch waited 0.1 s for a connection to a relay. Meanwhile the gateway had turned to the leader
    and refused the job; then the batch was sent all the same, and the job ran.
    """

    async def play() -> tuple[list[Answer], list[str]]:
        host = Host()
        wire = Wire(server=build_server(host), connecting=asyncio.Event())
        channel = build_channel(wire)
        dropped = asyncio.create_task(channel.submit(build_job(1), CALL_TIMEOUT))
        timed_out = asyncio.create_task(channel.submit(build_job(2), timedelta(milliseconds=5)))
        await timed_out
        channel.fail_pending()
        kept = asyncio.create_task(channel.submit(build_job(3), CALL_TIMEOUT))
        await asyncio.sleep(0.001)
        assert wire.connecting is not None
        wire.connecting.set()
        answers = [await dropped, await timed_out, await kept]
        channel.close()
        return answers, host.carried_out

    answers, carried_out = asyncio.run(play())
    assert [answer.outcome for answer in answers] == [
        Outcome.UNAVAILABLE,
        Outcome.UNAVAILABLE,
        Outcome.DONE,
    ]
    assert carried_out == [build_job(3).path]


def play(work: Callable[[Host, Wire, JobChannel], object], host: Host | None = None) -> Host:
    """Run a coroutine with both ends of a job channel."""
    host = host or Host()

    async def run() -> None:
        wire = Wire(server=build_server(host))
        channel = build_channel(wire)
        await work(host, wire, channel)  # type: ignore[misc]
        channel.close()

    asyncio.run(asyncio.wait_for(run(), 30))
    return host


def test_each_job_gets_its_own_answer() -> None:
    async def work(host: Host, wire: Wire, channel: JobChannel) -> None:
        answers = await submit_all(channel, MANY)
        assert [each.detail for each in answers] == [build_job(n).path for n in range(MANY)]
        assert len(wire.sent) < MANY / 4

    host = play(work)
    assert sorted(host.carried_out) == sorted(build_job(number).path for number in range(MANY))


def test_batch_whose_reply_is_lost_is_run_once() -> None:
    async def work(host: Host, wire: Wire, channel: JobChannel) -> None:
        wire.lost_replies[JOBS_PATH] = 2
        wire.lost_requests[JOBS_PATH] = 1
        answers = await submit_all(channel, 5)
        assert {each.outcome for each in answers} == {Outcome.DONE}

    assert len(play(work).carried_out) == 5


def test_lost_answers_are_sent_again() -> None:
    async def work(host: Host, wire: Wire, channel: JobChannel) -> None:
        wire.lost_replies[ANSWERS_PATH] = 3
        answers = await submit_all(channel, 5)
        assert {each.outcome for each in answers} == {Outcome.DONE}

    assert len(play(work).carried_out) == 5


def test_answers_of_a_restarted_host_are_not_mistaken_for_old_ones() -> None:
    """It numbers its answers from one again, and has lost the state of earlier polls."""

    async def work(host: Host, wire: Wire, channel: JobChannel) -> None:
        await submit_all(channel, 20)
        wire.server = build_server(host)
        answers = await submit_all(channel, 3)
        assert {each.outcome for each in answers} == {Outcome.DONE}

    assert len(play(work).carried_out) == 23


def test_channel_is_usable_after_any_idle_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """One of its two tasks had ended while idle and the other had not, so nothing was sent."""
    monkeypatch.setattr(job_channel, "IDLE_SECONDS", 0.02)

    async def work(host: Host, wire: Wire, channel: JobChannel) -> None:
        for pause in range(40):
            assert (await channel.submit(build_job(pause), CALL_TIMEOUT)).outcome is Outcome.DONE
            await asyncio.sleep(0.001 * pause)

    assert len(play(work).carried_out) == 40


def test_only_jobs_that_were_sent_may_have_been_run() -> None:
    async def work(host: Host, wire: Wire, channel: JobChannel) -> None:
        sent = asyncio.create_task(channel.submit(build_job(1), CALL_TIMEOUT))
        while not host.carried_out:
            await asyncio.sleep(0.001)
        wire.is_closed = True
        unsent = asyncio.create_task(channel.submit(build_job(2), CALL_TIMEOUT))
        late = await channel.submit(build_job(3), timedelta(milliseconds=20))
        assert late.outcome is Outcome.UNAVAILABLE
        channel.fail_pending()
        assert (await sent).outcome is Outcome.UNKNOWN
        assert (await unsent).outcome is Outcome.UNAVAILABLE

    play(work, Host(gate=asyncio.Event()))


def test_jobs_start_in_the_order_of_their_chances_and_only_some_per_loop_iteration() -> None:
    """Load: all waiting jobs arrive at once, and keep-alives must be answered meanwhile.

    Jobs of no more use are answered first, since that takes next to no time; then those that can
    be in time, the newest first; those that are late come last, the newest first as well.
    """

    async def run() -> None:
        host = Host()
        kinds = [LATE, USELESS, IN_TIME]
        limits = {build_job(number).path: kinds[number % 3] for number in range(MANY)}
        server = build_server(host, limits)
        channel = build_channel(Wire(server=server))
        asking = [
            asyncio.create_task(channel.submit(build_job(number), CALL_TIMEOUT))
            for number in range(50)
        ]
        seen: list[int] = []
        while len(host.carried_out) < 50:
            await asyncio.sleep(0)
            seen.append(len(host.carried_out))
        assert max(after - before for before, after in itertools.pairwise(seen)) <= (
            MAX_STARTS_PER_TURN
        )
        expected = [
            *range(1, 50, 3),
            *sorted(range(2, 50, 3), reverse=True),
            *sorted(range(0, 50, 3), reverse=True),
        ]
        assert host.carried_out == [build_job(number).path for number in expected]
        await asyncio.gather(*asking)
        channel.close()

    asyncio.run(asyncio.wait_for(run(), 30))


def test_job_whose_handler_raises_is_answered() -> None:
    async def fail(call: Call) -> Answer:
        raise ValueError("a fault")

    async def run() -> Answer:
        server = JobChannelServer(
            answer=fail, clock=build_clock(), find_limits=lambda call: IN_TIME
        )
        channel = build_channel(Wire(server=server))
        answer = await channel.submit(build_job(1), CALL_TIMEOUT)
        channel.close()
        return answer

    answer = asyncio.run(asyncio.wait_for(run(), 30))
    assert answer.outcome is Outcome.UNKNOWN
    assert "a fault" in answer.detail


def test_many_jobs_use_few_connections() -> None:
    """Each waiting job used to occupy a connection, up to 32 per gateway."""

    async def run() -> int:
        host = Host(gate=asyncio.Event())
        server = build_server(host)
        opened = 0

        async def handle(request: HttpRequest) -> HttpResponse:
            return await server.handle(request)

        app = build_asgi(handle, lambda: 1_000_000)
        address = Address("127.0.0.1", find_base_port() + 5)
        listener = Listener(app=app, address=address, handle_immediately=server.handle_at_once)
        assert await listener.start() is None
        calls = PeerCalls()
        asking = [
            asyncio.create_task(calls.ask(str(address), build_job(number), CALL_TIMEOUT))
            for number in range(MANY)
        ]
        while len(host.carried_out) < MANY:
            await asyncio.sleep(0.001)
        opened = calls._job_pools.get(address).counts.opened
        for task in asking:
            task.cancel()
        await asyncio.gather(*asking, return_exceptions=True)
        calls.close()
        await listener.stop()
        return opened

    assert asyncio.run(asyncio.wait_for(run(), 30)) <= JOB_CHANNEL_CONNECTIONS
