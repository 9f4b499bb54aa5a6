"""Orders of events that a pause of a process brings about: time goes on while it gets none.

A pause (a stopped process, a busy machine, a suspended host) falls between any two lines. The
kernel keeps receiving for a paused process, and what was sent before the pause is read after it.
`docs/design/assumptions.md` lists what each part takes for granted about time; these tests break
those assumptions, or guard the ones that hold.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec
import pytest
import uvloop

from ..config.options import Address
from ..core.cluster.model import JobId
from ..core.cluster.orders import Order, StartOrder, StartOutcome
from ..core.cluster.records import Records, UpstreamRecord
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import DomainName, UpstreamId
from ..net.asgi import HttpRequest, HttpResponse, build_asgi
from ..net.servers import Listener
from ..platform.front import ANSWER_MARGIN, build_caller_handler
from ..runtime.acting_leader import ACT_AS_LEADER_AFTER_SILENCE
from ..runtime.gateway_registry import GatewayRegistry
from . import model_site
from .gateway_builders import (
    CALL_TIMEOUT,
    JOB,
    IdlePort,
    build_acting_gateway,
    build_clock,
    build_failover_state,
    build_gateways,
    build_keepalive,
    build_submit,
    connect,
)
from .model_site import (
    CALLER_RETRY,
    NORTH,
    SOUTH,
    ModelCall,
    ModelGateway,
    Site,
    build_site,
)
from .model_upstreams import TERMS, Leader, build_info, build_queue, build_spec, milliseconds
from .processes import find_base_port
from .test_cluster_contact import build_leadership, run_callbacks
from .test_cluster_dispatch import build_world
from .test_cluster_orphaned_runs import deliver_heartbeats
from .test_cluster_site import change_leader, cut_domain, play

JOB_BODY = b'{"steps": [{"count": 1, "cpu": 7000, "est_runtime_ms": 900}], "best_effort": true}'
PAUSE_SECONDS = 0.3
CLOCK_TICK = milliseconds(10)
"""Resolution in which the kernel tells when bytes arrived."""
LOOP_TURNS = 200
"""Iterations of an event loop in which a request that waits is read and carried out."""
NEXT_LEADER_AFTER = milliseconds(90)
"""Shortest time from the last decision of a leader that still has its lease to the next leader: the
lease ends 70 ms before an election is possible, which takes another 20 ms."""
LATEST_START_MS = TERMS.lapse_after / milliseconds(1)
"""A start is refused when it arrives this long after its decision, on any clock of an upstream."""
LONG_RUN_MS = 5_000
"""Run time of tasks that outlast every lease."""


def test_an_acting_leader_waits_for_upstreams_that_joined_after_its_last_failover_state() -> None:
    """Guards against two runs of a task that the last leader started at a new upstream.

    Gateways learn of an upstream with the answer to their next keep-alive, the leader starts tasks
    there at once. If it is lost in between, or the gateway that acts as leader next was paused, no
    poll of that one reaches the new upstream. The upstreams that it knows have all answered, so it
    takes a job that may have begun for known, and starts the task again under the first run.
    """
    world, upstreams = build_world(21)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(LONG_RUN_MS)
    new = UpstreamId("u4")
    leader = Leader(world=world, upstreams=upstreams, records=Records(), token=TOKENS_PER_TERM)
    for id, upstream in upstreams.items():
        if id != new:
            leader.deliver_heartbeat(upstream, sequence=1)
    world.run_until(milliseconds(100))
    failover_state = Records()
    failover_state.restore(leader.records.encode())
    leader.deliver_heartbeat(upstreams[new], sequence=1)
    world.run_until(milliseconds(150))
    for id, instance in leader.dispatch.instances.items():
        instance.draining = id != new
    spec = build_spec(tasks=1, run_ms=LONG_RUN_MS)
    leader.submit(JOB, spec, build_queue())
    world.run_until(milliseconds(170))
    assert list(world.running.values()) == [new]
    leader.is_over = True
    world.run_until(world.now + ACT_AS_LEADER_AFTER_SILENCE)
    acting_leader = Leader(
        world=world,
        upstreams=upstreams,
        records=failover_state,
        token=TOKENS_PER_TERM + 1_000,
        is_acting=True,
    )
    world.run_until(world.now + milliseconds(50))
    acting_leader.submit(JOB, spec, build_queue(), may_have_begun=True)
    world.run_until(world.now + timedelta(seconds=2))
    assert acting_leader.dispatch.jobs.is_open(JobId(JOB))
    assert world.starts == 2, "the second run begins once the lease of the first has ended"


class RecordingPort(IdlePort):
    """Upstreams that accept every start, never end a run, and count the starts."""

    def __init__(self) -> None:
        super().__init__()
        self.starts: list[StartOrder] = []

    async def start(self, order: StartOrder, token: int) -> tuple[StartOutcome, int | None]:
        self.starts.append(order)
        return await super().start(order, token)


def test_an_acting_leader_that_was_suspended_starts_nothing_before_it_steps_down() -> None:
    """Guards against a start by an acting leader that another coordinator has replaced.

    An acting leader that was delayed for over 0.4 s steps down, but only with its next failover
    check, 50 to 150 ms after a suspended host goes on. Decisions follow every 20 ms: the second one
    takes the leases of before for lapsed, and starts their tasks again with a new lease wherever
    nothing ran. The callers have sent these jobs again meanwhile, to a coordinator that relies on
    this one having stopped.
    """

    async def play() -> None:
        gateway, clock = build_acting_gateway()
        port = RecordingPort()
        gateway.link._port = port
        state = build_failover_state(1)
        records = tuple(UpstreamRecord(info=build_info(each)) for each in ("u1", "u2"))
        gateway.link.receive_failover_state(
            msgspec.structs.replace(state, version="1.2", upstreams=records)
        )
        await gateway.link.check_failover()
        assert gateway.acting_leader is not None
        leadership = gateway.acting_leader.leadership
        await run_callbacks()
        submit = msgspec.structs.replace(build_submit(), spec=build_spec(tasks=1, run_ms=900))
        waiting = asyncio.create_task(gateway.call(submit, CALL_TIMEOUT))
        await run_callbacks()
        assert len(port.starts) == 1
        clock.advance(timedelta(seconds=5))
        for _ in range(2):
            leadership._decide()
            await run_callbacks()
        starts_after = len(port.starts) - 1
        await gateway.link.check_failover()
        assert gateway.acting_leader is None
        waiting.cancel()
        gateway.stop()
        assert starts_after == 0

    asyncio.run(play())


def test_a_leader_takes_no_job_that_an_acting_leader_of_its_term_may_have_begun() -> None:
    """Guards against two runs, by an acting leader and the leader of its term.

    A gateway that was paused has the failover state of an earlier leader, and follows an acting
    leader that has heard the newest one. It marks its jobs with the term of its own state. Once it
    reaches the newest leader, that takes them for begun under a lower token than its own, so that
    it begins no later term. Its polls were answered before the acting leader ordered anything: it
    starts the jobs again while the acting leader's runs go on.
    """

    async def play() -> None:
        clock = build_clock()
        acting, paused = build_gateways(2, clock)
        connect([acting, paused], lambda asking, host: False)
        newest = msgspec.structs.replace(build_failover_state(2), version="6.1", term=6)
        acting.link.receive_failover_state(newest)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await acting.link.check_failover()
        await paused.link.check_failover()
        leadership = build_leadership(clock)
        await run_callbacks()
        submission = msgspec.structs.replace(
            build_submit(),
            gateway=paused.link.own_address,
            contact=leadership.gateways.build_contact(),
            may_have_begun=True,
            may_be_of_acting_leader=True,
            acting_leader_term=paused.link.acting_leader_term,
        )
        waiting = asyncio.create_task(leadership.answer(submission))
        await run_callbacks()
        is_open = leadership.dispatch.jobs.is_open(JobId(JOB))
        waiting.cancel()
        leadership.stop()
        acting.stop()
        paused.stop()
        assert not is_open

    asyncio.run(play())


@pytest.mark.parametrize(("first", "second"), [(SOUTH, NORTH), (NORTH, SOUTH)])
def test_a_job_may_go_on_at_a_gateway_whose_caller_has_sent_it_again(
    first: DomainName, second: DomainName
) -> None:
    """Guards against two runs, by a leader and an acting leader, after their first second.

    The connection of a caller breaks without a word to the gateway, which goes on to confirm the
    job. The caller sends it again 1.3 s later, to the other side of a network partition. The
    coordinator there has reconciled: it takes a job that its gateway has not tried before for new,
    as if the first try had ended by then.
    """
    site = build_site(3)
    world = site.world
    site.cut_off = {SOUTH}
    world.run_until(world.now + timedelta(seconds=2))
    assert site.acting_leaders[SOUTH].dispatch.jobs.count_jobs() == 0
    site.submit(JOB, next(iter(site.list_up(first))))
    world.run_until(world.now + milliseconds(100))
    assert len(world.running) == 1, "it has been started, and its caller is cut off now"
    world.run_until(world.now + CALLER_RETRY)
    site.submit(JOB, next(iter(site.list_up(second))))
    world.run_until(world.now + timedelta(seconds=2))
    assert world.starts >= 2, "the second try begins once the first has ended"


@pytest.mark.parametrize("is_accepted", [False, True])
def test_a_request_whose_caller_has_gone_before_it_is_read_starts_nothing(
    is_accepted: bool,
) -> None:
    """Guards against a start for a caller that has sent its job again elsewhere.

    A process that was paused reads the request after the pause, and the end of the connection
    behind it. The caller has timed out and sent its job to another gateway, whose coordinator does
    not know of the run that begins here.
    """

    async def play() -> int:
        gateway, _ = build_acting_gateway()
        port = RecordingPort()
        gateway.link._port = port
        await gateway.link.check_failover()
        handle = build_caller_handler(gateway.call, gateway.abandon, lambda: False)
        address = Address("127.0.0.1", find_base_port())
        app = build_asgi(handle, lambda: 10_000, checks_clients=True)
        listener = Listener(app=app, address=address)
        assert await listener.start() is None
        caller = socket.create_connection((address.host, address.port))
        if is_accepted:
            for _ in range(LOOP_TURNS):
                await asyncio.sleep(0)
        # Nothing runs in between, as in a process that is paused: the kernel takes in both.
        caller.sendall(
            b"POST /q/%b HTTP/1.1\r\nHost: host\r\nContent-Length: %d\r\n\r\n%b"
            % (JOB.encode(), len(JOB_BODY), JOB_BODY)
        )
        caller.close()
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)
        gateway.stop()
        await listener.stop()
        return len(port.starts)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(play()) == 0


class PausedListener:
    """A listener whose event loop is blocked while a caller's request arrives."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        return HttpResponse(status=200)

    async def measure_ages(self) -> list[timedelta]:
        """Return the ages of a request that is read after a pause, and of one read at once."""
        address = Address("127.0.0.1", find_base_port())
        app = build_asgi(self.handle, lambda: 10_000, checks_clients=True)
        listener = Listener(app=app, address=address)
        assert await listener.start() is None
        for pause in (PAUSE_SECONDS, 0.0):
            with socket.create_connection((address.host, address.port)) as caller:
                caller.sendall(b"GET /q/ HTTP/1.1\r\nHost: host\r\n\r\n")
                # Nothing else runs meanwhile, as in a process that is paused.
                time.sleep(pause)
                seen = len(self.requests)
                while len(self.requests) == seen:
                    await asyncio.sleep(0)
        await listener.stop()
        return [each.age for each in self.requests]


def test_a_request_that_is_read_after_a_pause_has_the_age_of_its_arrival() -> None:
    """Guards against a gateway that counts its caller's timeout from when it read the request.

    It would keep a job alive long after its caller has timed out and sent it to another gateway.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        late, prompt = runner.run(PausedListener().measure_ages())
    assert late >= timedelta(seconds=PAUSE_SECONDS) - CLOCK_TICK
    assert prompt < late


@pytest.mark.parametrize(("age_ms", "starts"), [(0, 1), (1_000, 1), (1_450, 0), (3_000, 0)])
def test_a_job_whose_caller_has_timed_out_before_it_was_read_starts_nothing(
    age_ms: float, starts: int
) -> None:
    """Guards against two runs of a job that its caller sends again 1.3 s after its own timeout.

    Its connection is open, but nobody waits for the answer any more. If the leader that starts it
    is lost soon, the next one starts the second try while the lease of the first run lasts.
    """

    async def play() -> tuple[int, HttpResponse]:
        gateway, _ = build_acting_gateway()
        port = RecordingPort()
        gateway.link._port = port
        await gateway.link.check_failover()
        handle = build_caller_handler(gateway.call, gateway.abandon, lambda: False)
        request = HttpRequest(
            method="POST",
            path=f"/q/{JOB}",
            headers={"host": "host", "x-timeout-ms": "1500"},
            body=JOB_BODY,
            age=milliseconds(age_ms),
        )
        handling = asyncio.ensure_future(handle(request))
        await run_callbacks()
        await run_callbacks()
        response = await handling if handling.done() else HttpResponse(status=0)
        handling.cancel()
        gateway.stop()
        return len(port.starts), response

    started, response = asyncio.run(play())
    assert started == starts
    if not starts:
        assert response.status == 503, "it has not run"
        assert "retry-after" in response.headers


@dataclass(slots=True, kw_only=True)
class PausedLeader(Leader):
    """A leader that may be paused between a decision and the sending of its starts."""

    paused_for: timedelta = timedelta()

    def _send(self, order: Order) -> None:
        if not isinstance(order, StartOrder):
            Leader._send(self, order)
            return
        upstream = self.upstreams[order.upstream.id]
        self.world.at(self.paused_for, lambda: self._deliver(order, upstream, lambda value: None))


@pytest.mark.parametrize("reaches_upstream", [False, True])
@pytest.mark.parametrize("paused_ms", [50, 95, 300, 600, 900, 1_010, 1_500])
def test_a_start_that_is_sent_after_a_pause_ends_with_the_lease_of_its_decision(
    paused_ms: float, reaches_upstream: bool
) -> None:
    """Guards against a run that outlasts the leases for which the next leader waits.

    A leader is paused after it has found its own lease valid, and sends a start when it goes on.
    The next leader has been elected 90 ms after that decision. If a start carried the duration of
    its lease instead of an absolute end, the run would go on after the next leader has started the
    task again at another upstream.
    """
    world, upstreams = build_world(31)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(LONG_RUN_MS)
    records = Records()
    first = PausedLeader(
        world=world,
        upstreams=upstreams,
        records=records,
        token=TOKENS_PER_TERM,
        paused_for=milliseconds(paused_ms),
    )
    for upstream in upstreams.values():
        first.deliver_heartbeat(upstream, sequence=1)
    world.run_until(milliseconds(100))
    spec = build_spec(tasks=1, run_ms=LONG_RUN_MS, durable=True)
    first.submit(JOB, spec, build_queue())
    ((where, run),) = (
        (id, run)
        for id, instance in first.dispatch.instances.items()
        for run in instance.runs.values()
    )
    assert run.since == world.now
    first.is_over = True
    world.run_until(world.now + NEXT_LEADER_AFTER)
    second = Leader(
        world=world,
        upstreams=upstreams,
        records=records,
        token=2 * TOKENS_PER_TERM,
        cut_off=set() if reaches_upstream else {where},
    )
    world.run_until(world.now + timedelta(seconds=3))
    assert second.dispatch.jobs.is_open(JobId(JOB))
    assert len(world.running) == 1
    assert world.starts == 1 or paused_ms < LATEST_START_MS


def test_a_leader_keeps_upstreams_that_a_gateway_unknown_to_it_may_use() -> None:
    """Guards against two runs, right after a long network partition has healed.

    A gateway that has been beyond a partition for the whole term of a leader is not known to it.
    The others of its failure domain are connected, so that the leader takes an acting leader for
    impossible and forgets an upstream after 10 s of silence. The unknown gateway goes on to use
    it. When the partition heals, the leader gets the job, marked as begun, before it hears of the
    upstream, and starts the task again.
    """
    world, upstreams = build_world(13)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(LONG_RUN_MS)
    far = UpstreamId("u1")
    near = set(upstreams) - {far}
    first = Leader(world=world, upstreams=upstreams, records=Records(), token=TOKENS_PER_TERM)
    deliver_heartbeats(first, set(upstreams))
    world.run_until(milliseconds(100))
    failover_state = Records()
    failover_state.restore(first.records.encode())
    first.is_over = True
    clock = build_clock()
    gateways = GatewayRegistry(term=2, token=2 * TOKENS_PER_TERM, clock=clock)
    for each in ("known-1", "known-2"):
        keepalive = build_keepalive(each, domain="domain")
        gateways.handle_keepalive(
            msgspec.structs.replace(keepalive, contact=gateways.build_contact())
        )
    domains = {each.info.domain for each in upstreams.values()}
    second = Leader(
        world=world,
        upstreams=upstreams,
        records=first.records,
        token=2 * TOKENS_PER_TERM,
        cut_off={far},
    )
    second.dispatch.may_have_acting_leader = lambda: gateways.may_act_as_leader(domains)
    for step in range(120):
        world.run_until(milliseconds(200 + step * 100))
        deliver_heartbeats(second, near)
    acting_leader = Leader(
        world=world,
        upstreams=upstreams,
        records=failover_state,
        token=TOKENS_PER_TERM + 1_000,
        cut_off=near,
        is_acting=True,
    )
    world.run_until(world.now + milliseconds(50))
    spec = build_spec(tasks=1, run_ms=LONG_RUN_MS)
    acting_leader.submit(JOB, spec, build_queue(), reconcile_after=timedelta())
    world.run_until(world.now + milliseconds(50))
    assert list(world.running.values()) == [far]
    acting_leader.is_over = True
    second.cut_off = set()
    second.submit(JOB, spec, build_queue(), may_have_begun=True, may_be_of_acting_leader=True)
    world.run_until(world.now + milliseconds(300))
    assert list(world.running.values()) == [far]


@dataclass(slots=True, kw_only=True)
class PausableGateway(ModelGateway):
    """A gateway that may be paused, and callers that leave it at their own time.

    A caller waits as long as the platform lets it, counted from when it sent its job, and has one
    try at a time. A gateway counts from when it has read the job.
    """

    paused_until: timedelta = timedelta()
    watched: set[int] = field(default_factory=set)
    """Numbers of the calls whose callers will leave."""
    left: set[int] = field(default_factory=set)
    """Those whose callers have closed their connections."""
    unread: set[int] = field(default_factory=set)
    """Those of which this gateway has not noticed that yet."""

    def run_turn(self) -> None:
        for call in self.calls:
            if call.number not in self.watched:
                self.watched.add(call.number)
                self._await_leaving(call)
        if self.site.world.now >= self.paused_until:
            ModelGateway.run_turn(self)

    def _await_leaving(self, call: ModelCall) -> None:
        left = call.give_up_at + ANSWER_MARGIN - self.site.world.now
        self.site.world.at(max(left, timedelta()), lambda: self._close(call))

    def _forward(self, call: ModelCall) -> None:
        if call.number not in self.left or call.number in self.unread:
            ModelGateway._forward(self, call)
        else:
            self.calls.remove(call)
            self._abandon(call)

    def _close(self, call: ModelCall) -> None:
        """Have the caller of a job leave, if it has no answer, and send its job again."""
        if call.number in self.left or not any(each is call for each in self.calls):
            return
        self.left.add(call.number)
        self.site.send_again(call, self.domain)
        if self.site.world.now < self.paused_until:
            self.unread.add(call.number)
        else:
            self._forward(call)

    def pause(self, span: timedelta) -> None:
        """Pause; what has arrived in the meantime is read afterwards, job by job.

        A job whose caller has left is dropped before it is carried out, see `asgi`.
        """
        began_at = self.site.world.now
        self.paused_until = max(self.paused_until, began_at + span)
        self.site.world.at(span, self._resume)

    def _resume(self) -> None:
        now = self.site.world.now
        if now < self.paused_until:
            return
        for call in self.calls:
            if call.number in self.unread or call.at is None:
                call.give_up_at = now + model_site.CALL_TIMEOUT
        self._notice_closed()
        self.run_turn()

    def _notice_closed(self) -> None:
        self.unread.clear()
        for call in list(self.calls):
            if call.number in self.left:
                self._forward(call)


def pause_gateways(site: Site, chance: random.Random) -> None:
    """Pause a gateway, or a whole failure domain with its coordinators."""
    span = milliseconds(chance.choice((250, 600, 1_200, 2_000, 3_500)))
    gateways = [chance.choice(site.gateways)]
    if chance.random() < 0.4:
        domain = gateways[0].domain
        gateways = [each for each in site.gateways if each.domain == domain]
        for coordinator in (site.leader, *site.acting_leaders.values()):
            if coordinator is not None and coordinator.home == domain:
                coordinator.busy_until = site.world.now + span
                # It steps down after such a delay, see `CoordinatorLink.check_failover`.
                coordinator.is_over = coordinator.is_over or coordinator.is_acting
    for gateway in gateways:
        assert isinstance(gateway, PausableGateway)
        gateway.pause(span + milliseconds(chance.uniform(0, 20)))


@pytest.mark.parametrize("seed", [*range(10), 13, 44, 146])
def test_no_task_runs_twice_at_once_while_gateways_are_paused(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against jobs that a paused gateway reads after their callers have sent them again."""
    monkeypatch.setattr(model_site, "ModelGateway", PausableGateway)
    play(seed, (cut_domain, change_leader, *[pause_gateways] * 3), late_share=0.0)
