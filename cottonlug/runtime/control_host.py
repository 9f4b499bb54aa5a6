"""A control host: a replica of the log that answers calls, as leader or by asking the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
from returns.result import Failure as Err

from ..config.cluster import ControlSettings, OrderDelivery
from ..core.clock import Clock
from ..core.cluster.calls import (
    Answer,
    Beat,
    Call,
    Evacuate,
    Greet,
    Heard,
    Outcome,
    Submit,
    answer_decoder,
    call_decoder,
)
from ..core.cluster.forecast import find_last_use
from ..core.cluster.lives import LeaseTerms, choose_terms
from ..core.cluster.reports import LONGEST_ELECTION, ReportTerms
from ..core.consensus.types import Term
from ..core.control_messages import ConsensusBatch
from ..net.asgi import HttpRequest, HttpResponse
from ..net.connections import ConnectionPools, parse_address
from .events import Event, log_event
from .gateways import GATEWAY_SILENT
from .heartbeat_desk import HeartbeatDesk
from .heartbeat_port import DELIVERY
from .job_lines import JobLines
from .leading import Leading, LeadingSettings
from .membership import JOIN_PATH, JoinRequest
from .messenger import MESSAGES_PATH
from .order_desk import OrderDesk
from .peer_calls import CALL_PATH, GREETING_PASSED, PASS_ON_TIMEOUT, decode_greeting
from .ports import UpstreamPort
from .replica import HELLO_PATH, Replica, ReplicaSettings
from .replicated import ReplicatedRecords

PASSED_ON = "x-passed-on"
"""Header of a call that another control host passed on, so that none goes round in circles."""
CHECK_SECONDS = 0.025
TELL_TIMEOUT = timedelta(milliseconds=500)
"""Longer than a busy leader takes; the next heartbeats tell the same again."""
GREETING_KEPT = timedelta(milliseconds=70)
"""Less than a gateway waits for its answer (100 ms)."""
LED_CHECK_SECONDS = 0.01
WITHOUT_LEASE = timedelta(seconds=1)
"""A leader that had no lease for so long lets another lead; an election takes 0.7 s."""
LOG_CHECK_SECONDS = 0.04
"""The leader's answer, which tells an upstream where to go, comes sooner as a rule."""
_OPEN = (Outcome.UNKNOWN, Outcome.UNAVAILABLE)
GIVE_WAY_EVERY = timedelta(milliseconds=100)
FIRST_TRY = timedelta(milliseconds=400)
"""Whoever sends an order waits 1 s for the answer, and a commit takes 20 ms: without an answer by
then the connection may have gone silent, and a second try still comes in time."""


class ControlHost:
    """State of one control host."""

    def __init__(
        self,
        *,
        settings: ControlSettings,
        clock: Clock,
        port: UpstreamPort,
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.leading: Leading | None = None
        self.replicated = ReplicatedRecords()
        self.record_greeting_age: Callable[[float], object] = lambda age_ms: None
        """Called with how old each greeting of a gateway was when it was taken in."""
        self.record_hold: Callable[[float], object] = lambda held_ms: None
        """Called with the milliseconds between two decisions, where there are more than usual."""
        self._settings = settings
        self._clock = clock
        self._port = port
        self._on_failure = on_failure
        self._pools = ConnectionPools(port=settings.urgent_port)
        self._order_pools = ConnectionPools(port=settings.urgent_port)
        """For orders alone: what is passed on for gateways is given up, and its connection closed,
        as soon as it is late, and a busy leader takes new ones in late."""
        self._job_lines = JobLines(answer=self.answer, clock=clock, find_slack=self._find_slack)
        self._desk = OrderDesk(
            host=settings.host,
            clock=clock,
            get_records=lambda: self.replicated.records,
            orders_by_heartbeat=settings.orders is OrderDelivery.HEARTBEAT,
        )
        self.heartbeats = HeartbeatDesk(
            control_address=str(settings.listen.control),
            clock=clock,
            get_records=lambda: self.replicated.records,
        )
        self._is_stopping = False
        self._had_lease = False
        self._leased_at = clock.monotonic()
        self._gave_way_at = clock.monotonic()
        self._led_at: timedelta | None = None
        """When this host last knew another leader, and had heard it `LONGEST_ELECTION` before."""
        self._gave_way_in = Term(0)
        """The last term that this host gave up: it decides nothing in it any more."""
        self._tasks: list[asyncio.Task[None]] = []
        self.replica = Replica(
            settings=ReplicaSettings(
                address=settings.listen.peers,
                seeds=tuple(settings.seeds),
                may_begin=settings.may_begin,
                data_folder=settings.data_folder,
                urgent_port=settings.urgent_port,
            ),
            clock=clock,
            machine=self.replicated,
            on_progress=self._check_leading,
            on_failure=on_failure,
        )

    async def start(self) -> str | None:
        """Begin to take part; return why that failed, or None."""
        error = await self.replica.start()
        self._tasks.append(asyncio.create_task(self._check_forever()))
        self._tasks.append(asyncio.create_task(self.heartbeats.tell_forever(self._tell_leader)))
        return error

    async def hand_over(self) -> None:
        """Stop leading, if this host does, and have another voter take over."""
        self._is_stopping = True
        self._check_leading()
        self._give_way()

    async def stop(self) -> None:
        """Stop taking part."""
        self._is_stopping = True
        for task in self._tasks:
            task.cancel()
        self._check_leading()
        await self.replica.stop()
        self._pools.close()
        self._order_pools.close()

    async def answer(self, call: Call, *, passed_on: bool = False) -> Answer:
        """Answer a call here, if this host leads, or by asking the leader."""
        if isinstance(call, Greet):
            await self._wait_until_led()
        if isinstance(call, Evacuate) and not passed_on:
            call = await self._desk.receive(call)
        leading = self.leading
        if leading is not None and (self.replica.has_lease() or leading.needs_no_lease(call)):
            answer = await leading.answer(call)
            return self._add_hosts(answer) if isinstance(call, Greet) else answer
        leader = self.replica.leader_host
        is_own = leader == str(self._settings.listen.peers)
        if passed_on or leader is None or is_own:
            if self._desk.is_in_log(call):
                return Answer(outcome=Outcome.DONE)
            return self._add_hosts(Answer(outcome=Outcome.UNAVAILABLE, detail="no leader"))
        if isinstance(call, Greet) and call.is_probe:
            return self._add_hosts(Answer(outcome=Outcome.UNAVAILABLE, detail="not the leader"))
        if isinstance(call, Greet):
            answer = await self._pass_on(leader, call, GREETING_PASSED, self._pools)
            # Whoever greets learns at least that this host is alive.
            return answer if answer.hosts else self._add_hosts(answer)
        if isinstance(call, Beat) and self._settings.orders is OrderDelivery.CALL:
            taken = self.heartbeats.take(call.heartbeat)
            if taken is not None:
                return taken
        if self._desk.is_order(call):
            return await self._pass_order_on(leader, call)
        return await self._pass_on(leader, call, PASS_ON_TIMEOUT, self._pools)

    def answer_at_once(self, request: HttpRequest) -> HttpResponse | None:
        """Take jobs in, and answer greetings where this host leads; None for all else.

        A gateway takes its jobs elsewhere after two greetings without an answer within 0.1 s.
        """
        taken = self._job_lines.handle_at_once(request)
        if taken is not None:
            return taken
        if self.leading is None or not self.replica.has_lease():
            return None
        greeting = decode_greeting(request)
        if greeting is None:
            return None
        return _reply(self._add_hosts(self.leading.answer_greeting(greeting)))

    async def handle_peer(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of another host of the cluster."""
        try:
            if self._job_lines.handles(request.path):
                return await self._job_lines.handle(request)
            if request.path == MESSAGES_PATH:
                batch = msgspec.json.decode(request.body, type=ConsensusBatch)
                return _reply(self.replica.receive(batch))
            if request.path == CALL_PATH:
                call = call_decoder.decode(request.body)
                return _reply(await self.answer(call, passed_on=PASSED_ON in request.headers))
            if request.path == JOIN_PATH:
                join = msgspec.json.decode(request.body, type=JoinRequest)
                return _reply(self.replica.take_join(join))
            if request.path == HELLO_PATH:
                return _reply(self.replica.greet())
        except msgspec.MsgspecError as error:
            return HttpResponse(status=400, body=msgspec.json.encode({"error": str(error)}))
        return HttpResponse(status=404)

    # Parts

    async def _tell_leader(self, heard: Heard) -> Answer:
        """Tell another host that leads whose heartbeats were answered here."""
        leader = self.replica.leader_host
        if leader is None or leader == str(self._settings.listen.peers):
            return Answer(outcome=Outcome.UNAVAILABLE, detail="no other host leads")
        return await self._pass_on(leader, heard, TELL_TIMEOUT, self._pools)

    def _find_slack(self, call: Submit) -> float:
        """Return for how many seconds a job may wait to be of use; 0 where that is not known."""
        queues = self.replicated.records.queues
        found = queues.find(call.host, call.path) if queues is not None else None
        if found is None:
            return 0.0
        return find_last_use(found[0], call.spec).total_seconds() - call.waited_ms / 1000

    async def _wait_until_led(self) -> None:
        """Keep a greeting until somebody leads, so that gateways learn of a leader at once."""
        give_up_at = self._clock.monotonic() + GREETING_KEPT
        while self._clock.monotonic() < give_up_at and not self._is_stopping:
            leader = self.replica.leader_host
            if leader is not None and leader != str(self._settings.listen.peers):
                return
            if self.leading is not None and self.replica.has_lease():
                return
            await asyncio.sleep(LED_CHECK_SECONDS)

    def _add_hosts(self, answer: Answer) -> Answer:
        """Return an answer with what a gateway needs to find its way."""
        configuration = self.replicated.records.configuration
        return msgspec.structs.replace(
            answer,
            leader=self.replica.leader_host,
            hosts=self.replica.hosts,
            max_body_bytes=configuration.max_body_bytes if configuration is not None else None,
        )

    def _choose_terms(self) -> LeaseTerms:
        settings = self._settings
        terms = choose_terms(settings.longest_lease, settings.caller_retry, GATEWAY_SILENT)
        if settings.orders is OrderDelivery.HEARTBEAT:
            return LeaseTerms(longest=settings.longest_lease, delivery=DELIVERY)
        return terms

    async def _pass_order_on(self, leader: str, call: Call) -> Answer:
        """Pass a call on that may be carried out twice; done once the log says so here, too.

        A leader with too much to do answers late, but what it has put into the log is in force.
        """
        asking = asyncio.create_task(self._ask_twice(leader, call))
        try:
            while not asking.done():
                await asyncio.wait([asking], timeout=LOG_CHECK_SECONDS)
                if not asking.done() and self._desk.is_in_log(call):
                    return Answer(outcome=Outcome.DONE)
            answer = asking.result()
            if answer.outcome in _OPEN and self._desk.is_in_log(call):
                return Answer(outcome=Outcome.DONE)
            return answer
        finally:
            asking.cancel()

    async def _ask_twice(self, leader: str, call: Call) -> Answer:
        """Ask the leader, and again over a new connection if need be."""
        pools = self._order_pools
        answer = await self._pass_on(leader, call, FIRST_TRY, pools)
        if answer.outcome is not Outcome.UNKNOWN:
            return answer
        address = parse_address(leader)
        assert address is not None, "members are named by their addresses"
        pools.get(address).drop_idle()
        return await self._pass_on(leader, call, PASS_ON_TIMEOUT - FIRST_TRY, pools)

    async def _pass_on(
        self, leader: str, call: Call, timeout: timedelta, pools: ConnectionPools
    ) -> Answer:
        address = parse_address(leader)
        assert address is not None, "members are named by their addresses"
        body = msgspec.json.encode(call)
        pool = pools.get(address)
        headers = {PASSED_ON: "1"}
        sent = await pool.call("POST", CALL_PATH, body, timeout=timeout, headers=headers)
        if isinstance(sent, Err):
            error = sent.failure()
            outcome = Outcome.UNAVAILABLE if error.unsent else Outcome.UNKNOWN
            return Answer(outcome=outcome, detail=f"the leader cannot be reached: {error.message}")
        reply = sent.unwrap()
        if reply.status != 200:
            return Answer(outcome=Outcome.UNKNOWN, detail=f"the leader answered {reply.status}")
        return answer_decoder.decode(reply.body)

    async def _check_forever(self) -> None:
        while True:
            self._note_led()
            self._check_leading()
            self._note_lease()
            self._give_way()
            await asyncio.sleep(CHECK_SECONDS)

    def _give_way(self) -> None:
        """Have another voter lead, again and again, while this one does and is not to.

        A host that is always late keeps its office by answers that arrive, but may be without a
        lease for good, since that counts from when it sent; and one that is about to stop may be
        made leader by another that stops.
        """
        now = self._clock.monotonic()
        is_fit = self.replica.has_lease() and not self._is_stopping
        if not self.replica.is_leader or (is_fit and self.replica.term != self._gave_way_in):
            self._leased_at = now
            return
        if not self._is_stopping and now - self._leased_at < WITHOUT_LEASE:
            return
        if now - self._gave_way_at >= GIVE_WAY_EVERY:
            self._gave_way_at = now
            # Its lease may come back while the other is elected: two would decide.
            self._gave_way_in = self.replica.term
            self._check_leading()
            self.replica.hand_over()

    def _note_led(self) -> None:
        if self.replica.leader_host not in (None, str(self._settings.listen.peers)):
            self._led_at = self._clock.monotonic()

    def _find_known_until(self, reports: ReportTerms) -> timedelta:
        """Return until when this host can count on the capacities in its record as a new leader."""
        if self._led_at is None:
            return timedelta()
        return reports.find_known_until(self._led_at - LONGEST_ELECTION)

    def _check_leading(self) -> None:
        """Begin or end to lead as the log says."""
        replica = self.replica
        leads = (
            replica.is_leader
            and not self._is_stopping
            and replica.term != self._gave_way_in
            and self.replicated.ready_term == replica.term
        )
        if self.leading is not None and (not leads or self.leading.term != replica.term):
            self.leading.stop()
            self.leading = None
        if leads and self.leading is None:
            self._had_lease = True
            reports = self._settings.reports
            self.leading = Leading(
                authority=replica,
                replicated=self.replicated,
                port=self._port,
                clock=self._clock,
                on_failure=self._on_failure,
                settings=LeadingSettings(
                    terms=self._choose_terms(),
                    orders_by_heartbeat=self._settings.orders is OrderDelivery.HEARTBEAT,
                    keep_ended=self._settings.keep_ended,
                    caller_retry=self._settings.caller_retry,
                    domains=frozenset({*self._settings.domains, self._settings.domain}),
                    control_address=str(self._settings.listen.control),
                    reports=reports,
                    known_until=self._find_known_until(reports),
                ),
            )
            self.leading.gateways.record_age = self.record_greeting_age
            self.leading.record_hold = self.record_hold

    def _note_lease(self) -> None:
        """Log when the right to decide ends or comes back while this host leads."""
        if self.leading is None:
            return
        has_lease = self.replica.has_lease()
        if has_lease == self._had_lease:
            return
        self._had_lease = has_lease
        if has_lease:
            log_event(Event.LEASE_REGAINED, term=int(self.leading.term))
        else:
            unheard = self.replica.list_unheard()
            log_event(Event.LEASE_LOST, term=int(self.leading.term), unheard=unheard)


def _reply(message: msgspec.Struct) -> HttpResponse:
    return HttpResponse(status=200, body=msgspec.json.encode(message))
