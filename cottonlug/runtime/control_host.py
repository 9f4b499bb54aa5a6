"""A control host: a replica of the log that answers calls itself or forwards them to the leader.

Calls come from gateways, which pass callers' jobs on and send keep-alives, from upstreams
(heartbeats) and from operators. The leader schedules only while it has a lease, that is, while a
majority of the voters has answered it lately. Other control hosts may answer heartbeats for it
(`HeartbeatResponder`).
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from datetime import timedelta

import msgspec
from returns.result import Failure as Err

from ..config.cluster import ControlSettings, OrderDelivery
from ..core.clock import Clock
from ..core.cluster.begun_jobs import BegunReport, BegunReporter
from ..core.cluster.calls import (
    Answer,
    Call,
    Evacuate,
    ForwardHeartbeat,
    KeepAlive,
    Outcome,
    ReportHeartbeats,
    Submit,
    call_decoder,
)
from ..core.cluster.capacity_reports import MAX_TIME_WITHOUT_LEADER, ReportTerms
from ..core.cluster.forecast import NO_WAIT, WaitLimits, find_wait_limits
from ..core.cluster.instances import LeaseTerms, choose_lease_terms
from ..core.cluster.model import JobId
from ..core.consensus.types import Term
from ..core.control_messages import ConsensusBatch
from ..net.asgi import DeferredResponse, HttpRequest, HttpResponse
from ..net.connections import ConnectionPools, parse_address
from .events import Event, log_event
from .failures import log_failure, repeat
from .gateway_registry import GATEWAY_TIMEOUT
from .heartbeat_port import MAX_DELIVERY_DELAY
from .heartbeat_responder import REPORT_INTERVAL, HeartbeatResponder
from .idempotent_calls import IdempotentCalls
from .job_channel_server import JobChannelServer
from .leadership import Leadership, LeadershipSettings
from .loop_monitor import LoopMonitor
from .membership import JOIN_PATH, JoinRequest
from .messenger import MESSAGES_PATH
from .peer_calls import (
    CALL_PATH,
    FORWARD_TIMEOUT,
    KEEPALIVE_FORWARD_TIMEOUT,
    decode_keepalive,
    read_answer,
)
from .ports import UpstreamPort
from .replica import HELLO_PATH, Replica, ReplicaSettings
from .replicated import ReplicatedRecords
from .upstream_isolation import UpstreamIsolation
from .work_meter import Work, WorkMeter

FORWARDED_HEADER = "x-passed-on"
"""Header of a call forwarded by another control host; such a call is not forwarded again."""
LEADERSHIP_CHECK_SECONDS = 0.025
"""How often this host checks whether it leads, has a lease and is fit to lead."""
HEARTBEAT_REPORT_TIMEOUT = timedelta(milliseconds=500)
"""How long the leader's answer to a report of answered heartbeats is waited for.

Longer than a busy leader takes to answer; a lost report is made up for by the next heartbeats.
"""
KEEPALIVE_PARK_TIME = timedelta(milliseconds=70)
"""How long a keep-alive is parked without a leader; its gateway waits 100 ms for the answer."""
LEADER_CHECK_SECONDS = 0.01
"""How often a parked keep-alive checks whether there is a leader."""
MAX_TIME_WITHOUT_LEASE = timedelta(seconds=1)
"""A leader without a lease for this long transfers leadership; an election takes 0.7 s."""
LOG_CHECK_SECONDS = 0.04
"""How often the local log is checked for the change that an unanswered idempotent call asks for.

The leader's answer, which names the host for an upstream's next heartbeats, usually comes sooner.
"""
_UNDECIDED = (Outcome.UNKNOWN, Outcome.UNAVAILABLE)
"""Outcomes after which a call may be committed all the same, for instance by an earlier attempt."""
STEP_DOWN_RETRY_INTERVAL = timedelta(milliseconds=100)
"""How often a leader that is unfit to lead tries to transfer leadership."""
FIRST_ATTEMPT_TIMEOUT = timedelta(milliseconds=400)
"""How long the first attempt at forwarding an idempotent call may take.

The sender of the call waits 1 s for the answer, and a commit takes 20 ms. Without an answer by then
the connection may have gone silent, and a second attempt still succeeds in time.
"""


class ControlHost:
    """One control host: its replica, its connections and, while it leads, its leadership."""

    def __init__(
        self,
        *,
        settings: ControlSettings,
        clock: Clock,
        port: UpstreamPort,
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.leadership: Leadership | None = None
        self.replicated = ReplicatedRecords()
        self.record_message_age: Callable[[float], object] = lambda age_ms: None
        """Called with the age in milliseconds of each message of a gateway when it is handled."""
        self.record_decision_gap: Callable[[float], object] = lambda gap_ms: None
        """Called with the milliseconds between two decisions if they are more than usual."""
        self.failed_terms = 0
        """Terms of this host that an unexpected error has ended."""
        self.record_term_failure: Callable[[BaseException], object] = lambda error: None
        """Called with each error that has ended a term of this host."""
        self._settings = settings
        self._clock = clock
        self._port = port
        self._isolation = UpstreamIsolation(clock=clock)
        self._pools = ConnectionPools(port=settings.urgent_port)
        self._idempotent_pools = ConnectionPools(port=settings.urgent_port)
        """Used for idempotent calls only. A call forwarded for a gateway is abandoned and its
        connection closed as soon as it is late, and a busy leader accepts new connections late."""
        self.work = WorkMeter(read_seconds=time.monotonic)
        """Processor time of this process by kind of work."""
        self.loop_monitor = LoopMonitor(work=self.work, clock=clock)
        self._job_channels = JobChannelServer(
            answer=self.answer, clock=clock, find_limits=self._find_wait_limits
        )
        self._idempotent_calls = IdempotentCalls(
            host=settings.host,
            clock=clock,
            get_records=lambda: self.replicated.records,
            orders_by_heartbeat=settings.orders is OrderDelivery.HEARTBEAT,
        )
        self.heartbeat_responder = HeartbeatResponder(
            control_address=str(settings.listen.control),
            clock=clock,
            get_records=lambda: self.replicated.records,
        )
        self._is_stopping = False
        self._had_lease = False
        """Whether this leader had a lease when that was last checked, for the log."""
        self._leased_at = clock.monotonic()
        """When this host was last fit to lead, or did not lead."""
        self._step_down_tried_at = clock.monotonic()
        self._other_leader_seen_at: timedelta | None = None
        """When this host last named another host as leader, which it does for at most
        `MAX_TIME_WITHOUT_LEADER` after hearing it."""
        self._stepped_down_in = Term(0)
        """The last term in which this host stepped down; it schedules nothing more in that term."""
        self._failed_in = Term(0)
        """The last term of this host that an unexpected error has ended."""
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
            state_machine=self.replicated,
            on_progress=self._update_leadership,
            on_failure=on_failure,
        )
        self.replica.messenger.measure = lambda: self.work.measure(Work.LOG_MESSAGES)

    async def start(self) -> str | None:
        """Start the replica and the background tasks; return an error message, or None."""
        self.loop_monitor.start()
        error = await self.replica.start()
        self._tasks.append(asyncio.create_task(repeat(self._check, during="leadership check")))
        self._tasks.append(
            asyncio.create_task(repeat(self._report_periodically, during="heartbeat report"))
        )
        return error

    async def transfer_leadership(self) -> None:
        """Never lead again; if this host is the leader, transfer leadership to another voter."""
        self._is_stopping = True
        self._update_leadership()
        self._step_down_if_unfit()

    async def stop(self) -> None:
        """Stop the background tasks, leadership and the replica, and close all connections."""
        self._is_stopping = True
        self.loop_monitor.stop()
        for task in self._tasks:
            task.cancel()
        self._update_leadership()
        await self.replica.stop()
        self._pools.close()
        self._idempotent_pools.close()

    async def answer(self, call: Call, *, is_forwarded: bool = False) -> Answer:
        """Answer a call here if this host is the leader, else forward it to the leader."""
        if isinstance(call, KeepAlive):
            await self._wait_for_leader()
        if isinstance(call, Evacuate) and not is_forwarded:
            call = await self._idempotent_calls.assign_order_id(call)
        leadership = self.leadership
        if leadership is not None and (self.replica.has_lease() or leadership.needs_no_lease(call)):
            answer = await leadership.answer(call)
            return self._add_hosts(answer) if isinstance(call, KeepAlive) else answer
        leader = self.replica.leader_host
        # A leader without a lease can neither answer the call nor forward it.
        is_own = leader == str(self._settings.listen.peers)
        if is_forwarded or leader is None or is_own:
            if self._idempotent_calls.is_committed(call):
                return Answer(outcome=Outcome.DONE)
            return self._add_hosts(Answer(outcome=Outcome.UNAVAILABLE, detail="no leader"))
        if isinstance(call, KeepAlive) and call.is_probe:
            return self._add_hosts(Answer(outcome=Outcome.UNAVAILABLE, detail="not the leader"))
        if isinstance(call, KeepAlive):
            answer = await self._forward(leader, call, KEEPALIVE_FORWARD_TIMEOUT, self._pools)
            # A gateway learns at least that this host is alive.
            return answer if answer.hosts else self._add_hosts(answer)
        if isinstance(call, ForwardHeartbeat) and self._settings.orders is OrderDelivery.CALL:
            routine_answer = self.heartbeat_responder.answer_routine(call.heartbeat)
            if routine_answer is not None:
                return routine_answer
        if self._idempotent_calls.is_idempotent(call):
            return await self._forward_idempotent(leader, call)
        return await self._forward(leader, call, FORWARD_TIMEOUT, self._pools)

    def describe_arrivals(self) -> tuple[int, timedelta]:
        """Return how many jobs have arrived that were not taken yet, and the longest wait here."""
        return self._job_channels.describe_arrivals()

    def answer_at_once(self, request: HttpRequest) -> HttpResponse | DeferredResponse | None:
        """Accept jobs and, as leader, answer keep-alives; return None for other requests.

        This needs no asyncio task, which a busy event loop would start late: a gateway sends its
        jobs elsewhere after two keep-alives without an answer within 0.1 s.
        """
        with self.work.measure(Work.JOBS):
            response = self._job_channels.handle_at_once(request)
        if response is not None:
            return response
        if self.leadership is None or not self.replica.has_lease():
            return None
        keepalive = decode_keepalive(request)
        if keepalive is None:
            return None
        return _reply(self._add_hosts(self.leadership.answer_keepalive(keepalive)))

    async def handle_peer_request(self, request: HttpRequest) -> HttpResponse:
        """Answer a request from another host of the cluster."""
        try:
            if self._job_channels.handles(request.path):
                return await self._job_channels.handle(request)
            if request.path == MESSAGES_PATH:
                with self.work.measure(Work.LOG_MESSAGES):
                    batch = msgspec.json.decode(request.body, type=ConsensusBatch)
                    return _reply(self.replica.receive(batch))
            if request.path == CALL_PATH:
                call = call_decoder.decode(request.body)
                return _reply(
                    await self.answer(call, is_forwarded=FORWARDED_HEADER in request.headers)
                )
            if request.path == JOIN_PATH:
                join = msgspec.json.decode(request.body, type=JoinRequest)
                return _reply(self.replica.record_join(join))
            if request.path == HELLO_PATH:
                return _reply(self.replica.build_hello())
        except msgspec.MsgspecError as error:
            return HttpResponse(status=400, body=msgspec.json.encode({"error": str(error)}))
        return HttpResponse(status=404)

    async def _report_periodically(self) -> float:
        """Report what was answered for the leader; return the seconds until the next report."""
        await self.heartbeat_responder.report(self._report_heartbeats)
        return REPORT_INTERVAL.total_seconds()

    async def _report_heartbeats(self, report: ReportHeartbeats) -> Answer:
        """Report to the leader which upstreams' heartbeats were answered here."""
        leader = self.replica.leader_host
        if leader is None or leader == str(self._settings.listen.peers):
            return Answer(outcome=Outcome.UNAVAILABLE, detail="no other host leads")
        return await self._forward(leader, report, HEARTBEAT_REPORT_TIMEOUT, self._pools)

    def _find_wait_limits(self, call: Submit) -> WaitLimits:
        """Return how long a job may wait before it begins; not at all if its queue is unknown."""
        queues = self.replicated.records.queues
        found = queues.find_queue(call.host, call.path) if queues is not None else None
        return find_wait_limits(found[0], call.spec) if found is not None else NO_WAIT

    async def _wait_for_leader(self) -> None:
        """Park a keep-alive until there is a leader, so that gateways learn of it immediately."""
        deadline = self._clock.monotonic() + KEEPALIVE_PARK_TIME
        while self._clock.monotonic() < deadline and not self._is_stopping:
            leader = self.replica.leader_host
            if leader is not None and leader != str(self._settings.listen.peers):
                return
            if self.leadership is not None and self.replica.has_lease():
                return
            await asyncio.sleep(LEADER_CHECK_SECONDS)

    def _add_hosts(self, answer: Answer) -> Answer:
        """Return an answer with the leader, the hosts and the body limit that a gateway needs."""
        configuration = self.replicated.records.configuration
        return msgspec.structs.replace(
            answer,
            leader=self.replica.leader_host,
            hosts=self.replica.hosts,
            max_body_bytes=configuration.max_body_bytes if configuration is not None else None,
        )

    def _choose_lease_terms(self) -> LeaseTerms:
        """Return the limits of the leases under which upstreams run tasks."""
        settings = self._settings
        terms = choose_lease_terms(settings.longest_lease, settings.caller_retry, GATEWAY_TIMEOUT)
        if settings.orders is OrderDelivery.HEARTBEAT:
            return LeaseTerms(longest=settings.longest_lease, max_delivery_delay=MAX_DELIVERY_DELAY)
        return terms

    async def _forward_idempotent(self, leader: str, call: Call) -> Answer:
        """Forward an idempotent call; it is done as soon as the local log shows it as committed.

        An overloaded leader answers late, but what it has committed to the log is already active.
        """
        asking = asyncio.create_task(self._forward_with_retry(leader, call))
        try:
            while not asking.done():
                await asyncio.wait([asking], timeout=LOG_CHECK_SECONDS)
                if not asking.done() and self._idempotent_calls.is_committed(call):
                    return Answer(outcome=Outcome.DONE)
            answer = asking.result()
            if answer.outcome in _UNDECIDED and self._idempotent_calls.is_committed(call):
                return Answer(outcome=Outcome.DONE)
            return answer
        finally:
            asking.cancel()

    async def _forward_with_retry(self, leader: str, call: Call) -> Answer:
        """Forward a call, and repeat it over a new connection if there is no answer in time."""
        pools = self._idempotent_pools
        answer = await self._forward(leader, call, FIRST_ATTEMPT_TIMEOUT, pools)
        if answer.outcome is not Outcome.UNKNOWN:
            return answer
        address = parse_address(leader)
        assert address is not None, "members are named by their addresses"
        pools.get(address).drop_idle()
        return await self._forward(leader, call, FORWARD_TIMEOUT - FIRST_ATTEMPT_TIMEOUT, pools)

    async def _forward(
        self, leader: str, call: Call, timeout: timedelta, pools: ConnectionPools
    ) -> Answer:
        address = parse_address(leader)
        assert address is not None, "members are named by their addresses"
        body = msgspec.json.encode(call)
        pool = pools.get(address)
        headers = {FORWARDED_HEADER: "1"}
        sent = await pool.call("POST", CALL_PATH, body, timeout=timeout, headers=headers)
        if isinstance(sent, Err):
            error = sent.failure()
            outcome = Outcome.UNAVAILABLE if error.unsent else Outcome.UNKNOWN
            return Answer(outcome=outcome, detail=f"the leader cannot be reached: {error.message}")
        return read_answer(leader, sent.unwrap())

    async def _check(self) -> float:
        """Check the role of this host; return the seconds until the next check."""
        self._record_other_leader()
        self._update_leadership()
        self._log_lease_change()
        self._step_down_if_unfit()
        return LEADERSHIP_CHECK_SECONDS

    def _step_down_if_unfit(self) -> None:
        """Transfer leadership, repeatedly, while this host leads but has no lease or is stopping.

        The answers to a host that is always late keep it leader, but it may never hold a lease,
        because a lease counts from when the messages were sent. A host that is about to stop may
        be made leader by another one that stops.
        """
        now = self._clock.monotonic()
        is_fit = self.replica.has_lease() and not self._is_stopping
        if not self.replica.is_leader or (is_fit and self.replica.term != self._stepped_down_in):
            self._leased_at = now
            return
        if not self._is_stopping and now - self._leased_at < MAX_TIME_WITHOUT_LEASE:
            return
        if now - self._step_down_tried_at >= STEP_DOWN_RETRY_INTERVAL:
            self._step_down_tried_at = now
            if is_fit and self.replica.term == self._failed_in:
                # No other voter has taken over, so this host leads again, with new state.
                self.replica.start_new_term()
                return
            # Its lease may come back while the other one is elected: two hosts would schedule.
            self._stepped_down_in = self.replica.term
            self._update_leadership()
            self.replica.transfer_leadership()

    def _record_other_leader(self) -> None:
        if self.replica.leader_host not in (None, str(self._settings.listen.peers)):
            self._other_leader_seen_at = self._clock.monotonic()

    def _find_known_until(self, reports: ReportTerms) -> timedelta:
        """Return until when this host, as a new leader, can rely on the recorded capacities."""
        if self._other_leader_seen_at is None:
            return timedelta()
        return reports.find_valid_until(self._other_leader_seen_at - MAX_TIME_WITHOUT_LEADER)

    def _update_leadership(self) -> None:
        """End leadership with the replica's; start it once all earlier entries are applied."""
        replica = self.replica
        leads = (
            replica.is_leader
            and not self._is_stopping
            and replica.term != self._stepped_down_in
            and self.replicated.ready_term == replica.term
        )
        if self.leadership is not None and (not leads or self.leadership.term != replica.term):
            if not self.leadership.has_failed:
                self._record_own_begun_jobs(self.leadership)
            self.leadership.stop()
            self.leadership = None
        if leads and self.leadership is None:
            self._had_lease = True
            try:
                self.leadership = self._begin_leadership()
            except Exception as error:
                term = int(replica.term)
                log_failure(Event.TERM_FAILED, error, during="start of a term", term=term)
                self._give_up_term(error)

    def _begin_leadership(self) -> Leadership:
        replica, reports = self.replica, self._settings.reports
        leadership = Leadership(
            authority=replica,
            replicated=self.replicated,
            port=self._port,
            clock=self._clock,
            on_failure=self._give_up_term,
            work=self.work,
            isolation=self._isolation,
            settings=LeadershipSettings(
                lease_terms=self._choose_lease_terms(),
                orders_by_heartbeat=self._settings.orders is OrderDelivery.HEARTBEAT,
                keep_ended=self._settings.keep_ended,
                caller_retry=self._settings.caller_retry,
                domains=frozenset({*self._settings.domains, self._settings.domain}),
                control_address=str(self._settings.listen.control),
                reports=reports,
                known_until=self._find_known_until(reports),
                remote_factor=self._settings.remote_factor,
                begun_earlier=replica.begun_jobs.find_begun(
                    replica.find_last_leader_term(), self._clock.monotonic()
                ),
            ),
        )
        self._report_begun_jobs(leadership)
        leadership.gateways.record_age = self.record_message_age
        leadership.work_report.describe_arrivals = self.describe_arrivals
        leadership.record_decision_gap = self.record_decision_gap
        return leadership

    def _give_up_term(self, error: BaseException) -> None:
        """Schedule nothing more in a term that an unexpected error has ended; have another begin.

        The replica may be applying entries right now, so the rest is left to the event loop.
        """
        self.failed_terms += 1
        self.record_term_failure(error)
        self._stepped_down_in = self._failed_in = self.replica.term
        asyncio.get_running_loop().call_soon(self._transfer_failed_term)

    def _transfer_failed_term(self) -> None:
        """End the leadership of a failed term, and ask another voter to lead."""
        self._update_leadership()
        self._leased_at = self._step_down_tried_at = self._clock.monotonic()
        self.replica.transfer_leadership()

    def _report_begun_jobs(self, leadership: Leadership) -> None:
        """Report the best-effort jobs that begin in a term to the other control hosts."""
        reporter = BegunReporter(term=leadership.term, list_begun=leadership.dispatch.list_begun)
        messenger = self.replica.messenger

        def report_begun(job: JobId) -> None:
            if reporter.record_begun(job):
                messenger.send_reports()

        leadership.dispatch.active_runs.on_best_effort_run = report_begun
        messenger.has_report = lambda host: (
            self.leadership is leadership and reporter.has_news(host)
        )
        messenger.on_lost_report = lambda host, is_refused: reporter.handle_lost_report(
            host, is_refused=is_refused
        )
        messenger.build_report = lambda host: (
            reporter.build_report(host, self._clock.monotonic())
            if self.leadership is leadership
            else None
        )

    def _record_own_begun_jobs(self, leadership: Leadership) -> None:
        """Remember the jobs of a term of this host, which may lead again next."""
        begun = leadership.dispatch.list_begun()
        report = BegunReport(
            term=leadership.term, jobs=tuple(begun or ()), is_complete=begun is not None
        )
        self.replica.begun_jobs.receive(report, self._clock.monotonic())

    def _log_lease_change(self) -> None:
        """Log when the lease, and with it the right to schedule, is lost or regained."""
        if self.leadership is None:
            return
        has_lease = self.replica.has_lease()
        if has_lease == self._had_lease:
            return
        self._had_lease = has_lease
        if has_lease:
            log_event(Event.LEASE_REGAINED, term=int(self.leadership.term))
        else:
            unheard = self.replica.list_silent_voters()
            log_event(Event.LEASE_LOST, term=int(self.leadership.term), unheard=unheard)


def _reply(message: msgspec.Struct) -> HttpResponse:
    return HttpResponse(status=200, body=msgspec.json.encode(message))
