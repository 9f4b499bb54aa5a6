"""The work of a coordinator, the host that schedules jobs now, in one term.

The coordinator is the leader of the control hosts or, where no leader can be reached, a gateway
that acts as leader. `Leadership` answers calls, has `Dispatch` choose which tasks to start and stop
at the upstreams, and sends these orders. One round of this is called a decision.

Gateways pass callers' jobs on. With keep-alives they confirm the jobs that they still wait for, and
get the failover state, which they need to act as leader. A control host that answers upstreams'
heartbeats for the leader is a responder. An instance is one run of an upstream's process.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import (
    NO_LOG,
    Abandon,
    Answer,
    AskConfiguration,
    AskEvacuations,
    AskState,
    Call,
    Cancel,
    Configure,
    Contact,
    Evacuate,
    ForwardHeartbeat,
    ForwardLeave,
    KeepAlive,
    Outcome,
    ReportHeartbeats,
    Submit,
)
from ..core.cluster.capacity_reports import DEFAULT_REPORT_TERMS, ReportTerms
from ..core.cluster.commands import (
    AcceptJob,
    AddUpstream,
    CancelJob,
    Command,
    ForgetJobs,
    ResizeUpstream,
    SetConfiguration,
    SetDraining,
    SetEvacuation,
    encode_commands,
)
from ..core.cluster.dispatch import Dispatch
from ..core.cluster.instances import LeaseTerms
from ..core.cluster.model import Heartbeat, JobId, PollReply
from ..core.cluster.orders import (
    CallFailure,
    OnAnswer,
    Order,
    OrderAnswer,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import DomainName, UpstreamId
from .decisions import log_decision
from .events import Event, Field, log_event
from .failures import log_failure
from .gateway_registry import GatewayRegistry
from .heartbeat_port import HeartbeatPort
from .heartbeat_responder import SPREAD_MIN_UPSTREAMS, ResponderDirectory
from .job_answers import JobAnswers
from .operator_answers import OperatorAnswers
from .ports import Authority, OnFailure, UpstreamPort
from .replicated import ReplicatedRecords, Waiters
from .upstream_isolation import UpstreamIsolation
from .work_meter import Work, WorkMeter
from .work_report import WorkReport

ISOLATED = "messages of this upstream are not handled for now"
"""Detail of the answer to a heartbeat of an isolated upstream (`UpstreamIsolation`)."""
TERM_HAS_FAILED = "an unexpected error has ended the term"
"""Detail of the answers of a failed term, which is about to be replaced."""
TICK_SECONDS = 0.02
"""Decisions are made at least this often; calls and answers of upstreams cause further ones."""
FORGET_INTERVAL = timedelta(seconds=5)
"""How often jobs that ended more than `keep_ended` ago are removed from the records."""
USUAL_DECISION_GAP = timedelta(seconds=TICK_SECONDS) * 1.25
"""Only longer gaps between decisions are recorded, because timers fire a little late."""
LONG_DECISION_GAP = timedelta(milliseconds=150)
"""Decisions are made every 20 ms unless the process was delayed. Longer gaps are logged, and the
messages that arrived during them are processed before the next decision."""
BUSY_TURN = timedelta(milliseconds=4)
"""From this mean length of a turn of the event loop on, this host counts as busy. A message passes
several turns, so that it then costs a job as much as its way through the network, or more."""
TURN_LEARNING_RATE = 0.1
"""Weight of the last turn in the mean, which follows within some twenty turns."""
COMMIT_TIMEOUT = timedelta(seconds=2)
"""How long a call waits for its command to commit; after that its outcome is unknown."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeadershipSettings:
    """Settings of the leadership of one term."""

    lease_terms: LeaseTerms
    """Limits of the leases under which upstreams run tasks; the leader's lease is another."""
    keep_ended: timedelta
    """How long ended jobs are kept in the records."""
    caller_retry: timedelta
    """The shortest time that a caller waits before it resubmits a job after losing its gateway."""
    control_address: str | None
    """Address of this host for upstreams, or None if it does not serve them."""
    domains: frozenset[DomainName] = frozenset()
    """Failure domains in the settings, which operators may name like those of known upstreams."""
    keeps_log: bool = True
    """Whether commands are replicated. Not so for an acting leader: it refuses calls that need the
    log."""
    orders_by_heartbeat: bool = False
    """Whether upstreams receive orders in the answers to their heartbeats rather than by calls."""
    domain: DomainName | None = None
    """The only failure domain whose upstreams receive orders; None for all domains."""
    level: int = 0
    """Added to the term's fencing token: 0 for the leader, and rising with each acting leader that
    succeeds another in the same term."""
    reports: ReportTerms = DEFAULT_REPORT_TERMS
    """How soon upstreams report a changed capacity, and what is tolerated until then."""
    known_until: timedelta = timedelta()
    """Until then (monotonic time) the recorded capacities can be relied on without a report to this
    host."""
    remote_factor: float = 1.0
    """How many times as long a task takes outside the rack of its data."""
    begun_earlier: frozenset[JobId] | None = None
    """Best-effort jobs of which the last leader may have active runs; None if that is unknown."""


class Leadership:
    """The work of a host while it is the leader, or acts as leader, in one term."""

    def __init__(
        self,
        *,
        authority: Authority,
        replicated: ReplicatedRecords,
        port: UpstreamPort,
        clock: Clock,
        settings: LeadershipSettings,
        on_failure: OnFailure,
        work: WorkMeter | None = None,
        isolation: UpstreamIsolation | None = None,
    ) -> None:
        self._on_failure = on_failure
        self._isolation = isolation or UpstreamIsolation(clock=clock)
        self._work = work or WorkMeter(read_seconds=lambda: clock.monotonic().total_seconds())
        self.work_report = WorkReport(meter=self._work, now=clock.monotonic())
        self.term = authority.term
        self.token = int(authority.term) * TOKENS_PER_TERM + settings.level
        """Fencing token of all orders: upstreams refuse lower ones than they have accepted."""
        self._authority = authority
        self._records = replicated.records
        self._heartbeat_port: HeartbeatPort | None = None
        if settings.orders_by_heartbeat:
            self._heartbeat_port = HeartbeatPort(
                clock=clock,
                lease=settings.lease_terms.longest,
                on_listening_change=lambda id, is_listening: self.dispatch.set_listening(
                    id, is_listening
                ),
            )
        self._port = self._heartbeat_port or port
        self._clock = clock
        self._settings = settings
        self._control_address = settings.control_address
        self._responders = ResponderDirectory(clock=clock, own_address=settings.control_address)
        self.gateways = GatewayRegistry(
            term=int(authority.term),
            token=self.token,
            clock=clock,
            accepts_calls=not settings.orders_by_heartbeat,
        )
        self.record_decision_gap: Callable[[float], object] = lambda gap_ms: None
        """Called with the milliseconds between two decisions if they are more than usual."""
        self._decided_at = clock.monotonic()
        self._has_skipped_decision = False
        """Whether the last decision was put off because of a `LONG_DECISION_GAP`."""
        self._had_lease = True
        """Whether there was a lease at the last decision; without one, gaps are no delays."""
        self.waiters = Waiters()
        self.dispatch = Dispatch(
            records=self._records,
            token=self.token,
            lease_terms=settings.lease_terms,
            now=clock.monotonic(),
            wall_ms=self._read_wall_ms,
            log_decision=self._log_decision,
            on_job_end=self._resolve_job_end,
            domain=settings.domain,
            keeps_log=settings.keeps_log,
            reports=settings.reports,
            known_until=settings.known_until,
            remote_factor=settings.remote_factor,
            begun_earlier=settings.begun_earlier,
        )
        self._job_answers = JobAnswers(
            authority=authority,
            records=self._records,
            dispatch=self.dispatch,
            gateways=self.gateways,
            waiters=self.waiters,
            clock=clock,
            lease_terms=settings.lease_terms,
            caller_retry=settings.caller_retry,
            propose=self._propose_and_wait,
            wait_for_commit=self._wait_for_commit,
            schedule_decision=self._schedule_decision,
        )
        self._operator_answers = OperatorAnswers(
            authority=authority,
            records=self._records,
            domains=settings.domains,
            propose=self._propose_and_wait,
            read_wall_ms=self._read_wall_ms,
        )
        self.dispatch.may_have_acting_leader = self._may_have_acting_leader
        self.gateways.on_reconnect = self._abandon_jobs_of_reconnected
        self.gateways.on_restart = self._abandon_jobs_of_restarted
        self._proposals: list[Command] = []
        self._is_decision_scheduled = False
        self._scheduled_at = clock.monotonic()
        """When the next or last decision was scheduled."""
        self._turn = timedelta()
        """Mean length of the last turns of the event loop."""
        self._is_over = False
        self.has_failed = False
        """Whether an unexpected error has ended the term, so that its state is not to be used."""
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._forget_at = clock.monotonic() + FORGET_INTERVAL
        replicated.listener = self._handle_applied
        self._timer = asyncio.create_task(self._tick_forever())
        log_event(
            Event.LEADERSHIP_STARTED,
            term=int(self.term),
            token=self.token,
            jobs=self.dispatch.jobs.count_jobs(),
        )

    def stop(self) -> None:
        """End leadership: no more orders are sent, and waiting calls get an unknown outcome.

        Term and lease alone would not prevent orders: the host may keep both for a while, while the
        next leader already leads.
        """
        self._is_over = True
        self._timer.cancel()
        for task in self._order_tasks:
            task.cancel()
        if self._heartbeat_port is not None:
            self._heartbeat_port.close()
        self.waiters.abandon_all()
        log_event(Event.LEADERSHIP_ENDED, term=int(self.term))

    def read_clock(self) -> timedelta:
        """Return the monotonic time that all deadlines of this term are based on."""
        return self._clock.monotonic()

    def find_oldest_report_age(self) -> timedelta:
        """Return the age of the oldest capacity report among the running upstream instances."""
        now = self.read_clock()
        instances = (
            instance for instance in self.dispatch.instances.values() if not instance.is_over
        )
        ages = (
            now - instance.reported_at for instance in instances if instance.reported_at is not None
        )
        return max(ages, default=timedelta())

    def count_responders(self) -> int:
        """Return the number of other control hosts that answer heartbeats for this leader."""
        return len(self._responders.list_active())

    def list_evacuation_ages_ms(self) -> list[float]:
        """Return for each evacuated domain how long it has been evacuated, in milliseconds."""
        now_ms = self._read_wall_ms()
        records = self._records.evacuations.records
        return [float(now_ms - record.since_ms) for record in records if record.is_evacuated]

    # Calls

    def needs_no_lease(self, call: Call) -> bool:
        """Whether a call is safe without a lease because its answer waits for the commit."""
        if isinstance(call, ForwardHeartbeat):
            return call.heartbeat.draining and self._heartbeat_port is None
        return isinstance(call, Configure | Evacuate)

    async def answer(self, call: Call) -> Answer:
        """Carry out a call; the caller checks that the lease is valid or the call needs none."""
        if self.has_failed:
            return Answer(outcome=Outcome.UNAVAILABLE, detail=TERM_HAS_FAILED)
        if not self._settings.keeps_log and not _needs_no_log(call):
            return Answer(outcome=Outcome.UNAVAILABLE, detail=NO_LOG)
        if isinstance(call, AskState):
            return await self._job_answers.answer_state(call)
        if isinstance(call, KeepAlive):
            return self.answer_keepalive(call)
        if isinstance(call, Submit):
            self._work.count_decision("job_received", call.path.rpartition("/")[2])
            return await self._job_answers.answer_submit(call)
        if isinstance(call, Abandon):
            return self._job_answers.answer_abandon(call)
        if isinstance(call, Cancel):
            return await self._job_answers.answer_cancel(call)
        if isinstance(call, ForwardHeartbeat):
            return await self._answer_heartbeat(call)
        if isinstance(call, ReportHeartbeats):
            return self._answer_reported_heartbeats(call)
        if isinstance(call, ForwardLeave):
            return await self._answer_leave(call)
        if isinstance(call, Configure):
            return await self._operator_answers.answer_configure(call)
        if isinstance(call, AskConfiguration):
            return self._operator_answers.answer_configuration()
        if isinstance(call, Evacuate):
            return await self._operator_answers.answer_evacuate(call)
        if isinstance(call, AskEvacuations):
            return self._operator_answers.answer_evacuations()
        return Answer(outcome=Outcome.DONE)

    def answer_keepalive(self, call: KeepAlive) -> Answer:
        """Record that a gateway is alive and return the failover state that it lacks.

        The contact in the answer proves with its next calls that it was answered lately.
        """
        with self._work.measure(Work.KEEPALIVES):
            return self._answer_keepalive(call)

    def _answer_keepalive(self, call: KeepAlive) -> Answer:
        self._handle_abandoned(call)
        self.gateways.handle_keepalive(call)
        if not self._settings.keeps_log:
            # An acting leader knows nothing beyond the failover state that the gateway has, too.
            return Answer(outcome=Outcome.DONE, contact=self._build_contact())
        self.gateways.record_durable_jobs(self.dispatch.jobs.has_durable_jobs())
        failover_state = self.gateways.build_failover_state(self._records, call.failover_version)
        contact = self._build_contact()
        has_more = failover_state is None and not self.gateways.is_current(call.failover_version)
        return Answer(
            outcome=Outcome.DONE,
            failover_state=failover_state,
            has_more_failover_state=has_more,
            contact=contact,
        )

    def _build_contact(self) -> Contact:
        configuration = self._records.configuration
        return self.gateways.build_contact(configuration.version if configuration else None)

    def _handle_abandoned(self, keepalive: KeepAlive) -> None:
        """Abandon the jobs that a gateway no longer waits for, before all others are confirmed.

        Their callers may have sent them again: see `JobAnswers.answer_submit`.
        """
        for each in keepalive.abandoned:
            if self._job_answers.abandon_submission(keepalive.gateway, each):
                self._schedule_decision()

    def _abandon_jobs_of_reconnected(self, gateway: str) -> None:
        """Abandon the jobs that a gateway submitted before it timed out."""
        self.dispatch.abandon_silent_gateways(lambda each: each != gateway, self._clock.monotonic())

    def _may_have_acting_leader(self) -> bool:
        """Whether a gateway that is cut off from here may act as leader for known upstreams."""
        domains = {record.info.domain for record in self._records.upstreams.values()}
        return self.gateways.may_act_as_leader(domains)

    def _abandon_jobs_of_restarted(self, gateway: str) -> None:
        """Abandon the jobs that an earlier process of a gateway submitted."""
        self.dispatch.abandon_gateway(gateway, self._clock.monotonic())

    async def _answer_heartbeat(self, call: ForwardHeartbeat) -> Answer:
        heartbeat = call.heartbeat
        if heartbeat.info.id in self._isolation:
            return Answer(outcome=Outcome.UNAVAILABLE, detail=ISOLATED)
        self.dispatch.handle_heartbeat(heartbeat, self._clock.monotonic())
        self._schedule_decision()
        answer = Answer(outcome=Outcome.DONE, leader_control=self._choose_responder(heartbeat))
        # Every later leader must know the change before the upstream relies on it.
        for key in self._find_unlogged_changes(heartbeat):
            if answer.outcome is Outcome.DONE:
                answer = await self._wait_for_commit(key)
        if self._heartbeat_port is None or answer.outcome is not Outcome.DONE:
            return answer
        orders = await self._heartbeat_port.handle_heartbeat(heartbeat, self.token)
        return msgspec.structs.replace(answer, orders=orders)

    def _choose_responder(self, heartbeat: Heartbeat) -> str | None:
        """Return the address to which an upstream is to send its next heartbeats."""
        answers_all = (
            len(self._records.upstreams) < SPREAD_MIN_UPSTREAMS or self._heartbeat_port is not None
        )
        return self._control_address if answers_all else self._responders.choose(heartbeat.info.id)

    def _answer_reported_heartbeats(self, call: ReportHeartbeats) -> Answer:
        """Record the heartbeats that another control host has answered."""
        self._responders.record_report(call.responder)
        now = self._clock.monotonic()
        for each in call.upstreams:
            at = now - timedelta(milliseconds=each.age_ms)
            self.dispatch.handle_reported_heartbeat(each.upstream, each.sequence, each.clock_ms, at)
        self._schedule_decision()
        return Answer(outcome=Outcome.DONE)

    def _find_unlogged_changes(self, heartbeat: Heartbeat) -> list[Hashable]:
        """Return the `Waiters` keys of the changes in a heartbeat that are not in the log yet."""
        id = heartbeat.info.id
        known = self._records.upstreams.get(id)
        changes: list[Hashable] = []
        if heartbeat.draining and (known is None or not known.draining):
            changes.append(("draining", id))
        is_newest = known is not None and heartbeat.sequence > known.sequence
        if known is not None and is_newest and heartbeat.info.capacity != known.info.capacity:
            changes.append(("capacity", id, heartbeat.sequence))
        return changes

    async def _answer_leave(self, call: ForwardLeave) -> Answer:
        known = self._records.find_leaving(call.upstream)
        if known is None or known.draining:
            return Answer(outcome=Outcome.DONE)
        self.dispatch.handle_leave(known.info.id)
        self._schedule_decision()
        return await self._wait_for_commit(("draining", known.info.id))

    async def _propose_and_wait(self, command: Command, key: Hashable) -> Answer:
        waiting = self.waiters.wait_for(key)
        self._proposals.append(command)
        self._schedule_decision()
        return await self._await_commit(waiting)

    async def _wait_for_commit(self, key: Hashable) -> Answer:
        return await self._await_commit(self.waiters.wait_for(key))

    async def _await_commit(self, waiting: asyncio.Future[bool]) -> Answer:
        await asyncio.wait([waiting], timeout=COMMIT_TIMEOUT.total_seconds())
        if waiting.done() and waiting.result():
            return Answer(outcome=Outcome.DONE, leader_control=self._control_address)
        return Answer(outcome=Outcome.UNKNOWN, detail="no majority decided in time")

    # Decisions

    def _log_decision(self, name: str, fields: dict[str, str | int]) -> None:
        """Log a decision, and count it to tell what has held up the event loop."""
        self._work.count_decision(name, str(fields.get("job", "")))
        log_decision(name, fields)

    def _handle_applied(self, command: Command) -> None:
        """Act on a command that was just applied to the records, and end the waits for it."""
        if self._is_over:
            return
        try:
            self._follow_applied(command)
        except Exception as error:
            self._fail(error, during=f"applied {type(command).__name__}")

    def _follow_applied(self, command: Command) -> None:
        self.dispatch.handle_applied_command(command, self._clock.monotonic())
        self.gateways.failover_log.record_command(command)
        if isinstance(command, AcceptJob):
            self.waiters.resolve(("job", command.job))
        elif isinstance(command, CancelJob):
            self.waiters.resolve(("cancel", command.job))
        elif isinstance(command, SetConfiguration):
            self._operator_answers.log_applied(command)
            self.waiters.resolve(("version", command.configuration.version))
        elif isinstance(command, SetDraining):
            self.waiters.resolve(("draining", command.upstream))
        elif isinstance(command, AddUpstream):
            log_event(Event.UPSTREAM_OPENED, upstream=command.info.id, at=command.info.address)
        elif isinstance(command, SetEvacuation):
            self._operator_answers.log_applied(command)
            self.waiters.resolve(("evacuation", command.order))
        elif isinstance(command, ResizeUpstream):
            self.waiters.resolve(("capacity", command.upstream, command.sequence))
        self._schedule_decision()

    def _resolve_job_end(self, job: JobId) -> None:
        self.waiters.resolve(("end", job))

    def _schedule_decision(self) -> None:
        """Schedule a decision for after the callbacks that are already due on the event loop."""
        if not self._is_decision_scheduled:
            self._is_decision_scheduled = True
            self._scheduled_at = self._clock.monotonic()
            asyncio.get_running_loop().call_soon(self._decide)

    def _decide(self) -> None:
        self._is_decision_scheduled = False
        if self._is_over:
            return
        turn = self._clock.monotonic() - self._scheduled_at
        self.work_report.record_turn(turn)
        self._turn += (turn - self._turn) * TURN_LEARNING_RATE
        self.dispatch.set_busy(self._turn > BUSY_TURN)
        try:
            with self._work.measure(Work.DECISIONS):
                has_decided = self._decide_now()
            if has_decided:
                with self._work.measure(Work.ORDERS):
                    self._send_orders()
        except Exception as error:
            self._fail(error, during="decision")

    def _fail(
        self, error: Exception, *, during: str, upstream: UpstreamId | None = None, **fields: Field
    ) -> None:
        """End the term: its state may have been changed in part, so nothing may be decided by it.

        The process goes on, with what does not depend on that state: its part in the log and the
        connections of its callers. The upstream whose message was being handled is isolated.
        """
        if self._is_over:
            return
        self._is_over = self.has_failed = True
        if upstream is not None:
            self._isolation.add(upstream)
            fields["upstream"] = upstream
        log_failure(Event.TERM_FAILED, error, during=during, term=int(self.term), **fields)
        self._on_failure(error)

    def _decide_now(self) -> bool:
        """Propose the pending commands; with a lease, also schedule tasks.

        Return whether orders may be sent.
        """
        if self._authority.term != self.term:
            return False
        # Safe without a lease: proposals of a host that no longer leads are never committed.
        self._propose()
        if not self._authority.has_lease():
            self._had_lease = False
            return False
        now = self._clock.monotonic()
        gap = now - self._decided_at
        self._decided_at = now
        if self._had_lease:
            self._record_decision_gap(gap)
        self._had_lease = True
        if gap > LONG_DECISION_GAP and not self._has_skipped_decision:
            # Process the messages that have arrived during the delay first, and decide in the next
            # iteration of the event loop, even if that one is late, too.
            self._has_skipped_decision = True
            return False
        self._has_skipped_decision = False
        if self.dispatch.is_superseded and self.gateways.is_any_connected():
            # An upstream has accepted a higher token, which only a later term exceeds.
            self.dispatch.clear_superseded()
            self._authority.start_new_term()
            return False
        if self.gateways.may_have_timed_out():
            self.dispatch.abandon_silent_gateways(self.gateways.is_connected, now)
        self.dispatch.tick(now)
        if self.dispatch.has_more_to_do:
            self._schedule_decision()
        self._propose()
        return True

    def _record_decision_gap(self, gap: timedelta) -> None:
        """Record how late a decision is, if only a delay of this host can be the cause."""
        if gap > USUAL_DECISION_GAP:
            self.record_decision_gap(gap / timedelta(milliseconds=1))
        if gap > LONG_DECISION_GAP:
            log_event(Event.DECISION_DELAYED, term=int(self.term), held_up_ms=to_milliseconds(gap))

    def _propose(self) -> None:
        """Propose all pending commands to the log."""
        self._proposals += self.dispatch.pop_proposals()
        if self._proposals:
            proposals, self._proposals = self._proposals, []
            if not self._authority.propose(encode_commands(tuple(proposals))):
                log_event(Event.PROPOSAL_LOST, term=int(self.term), commands=len(proposals))

    def _send_orders(self) -> None:
        """Send the orders of the last decision."""
        for order in self.dispatch.pop_orders():
            on_answer = functools.partial(self._receive_answer, order, self._clock.monotonic())
            if not self._port.try_send(order, self.token, on_answer):
                task = asyncio.create_task(self._send_order(order, on_answer))
                self._order_tasks.add(task)
                task.add_done_callback(self._order_tasks.discard)

    async def _send_order(self, order: Order, on_answer: OnAnswer) -> None:
        """Send an order that has to wait, for example for a connection."""
        try:
            if isinstance(order, StartOrder):
                on_answer(await self._port.start(order, self.token))
            elif isinstance(order, StopOrder):
                on_answer(await self._port.stop(order, self.token))
            else:
                on_answer(await self._port.poll(order, self.token))
        except Exception as error:
            during = f"sending a {type(order).__name__}"
            self._fail(error, during=during, upstream=order.upstream.id)

    def _receive_answer(self, order: Order, sent_at: timedelta, answer: OrderAnswer) -> None:
        """Process what became of an order that was sent at that time."""
        if self._is_over:
            return
        if order.upstream.id in self._isolation:
            answer = _build_missing_answer(order)
        try:
            with self._work.measure(Work.UPSTREAM_ANSWERS):
                self._handle_answer(order, sent_at, answer)
        except Exception as error:
            during = f"answer to {type(order).__name__}"
            self._fail(error, during=during, upstream=order.upstream.id)
            return
        self._schedule_decision()

    def _handle_answer(self, order: Order, sent_at: timedelta, answer: OrderAnswer) -> None:
        now = self._clock.monotonic()
        if isinstance(order, StartOrder):
            assert isinstance(answer, tuple), "a start has an outcome"
            outcome, clock_ms = answer
            self.dispatch.handle_start_answer(order, outcome, clock_ms, now)
        elif isinstance(order, StopOrder):
            assert answer is None or isinstance(answer, CallFailure), "a stop succeeds or fails"
            self.dispatch.handle_stop_answer(order, answer, now)
        else:
            assert isinstance(answer, PollReply | CallFailure), "a poll has a list or fails"
            self.dispatch.handle_poll_answer(order, answer, sent_at, now)

    async def _tick_forever(self) -> None:
        try:
            while True:
                self._forget_ended()
                self.work_report.log_if_due(self.dispatch, self._clock.monotonic())
                self._schedule_decision()
                await asyncio.sleep(TICK_SECONDS)
        except Exception as error:
            self._fail(error, during="timer")

    def _forget_ended(self) -> None:
        now = self._clock.monotonic()
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL
        self._job_answers.forget_abandoned()
        limit = self._read_wall_ms() - int(self._settings.keep_ended / timedelta(milliseconds=1))
        jobs = self._records.jobs.values()
        old = tuple(job.id for job in jobs if not job.is_open and job.ended_ms < limit)
        if old:
            self._proposals.append(ForgetJobs(jobs=old))

    def _read_wall_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _build_missing_answer(order: Order) -> OrderAnswer:
    """Return what becomes of an order that is not answered."""
    if isinstance(order, StartOrder):
        return StartOutcome.UNKNOWN, None
    return CallFailure.NO_ANSWER


def _needs_no_log(call: Call) -> bool:
    """Whether an acting leader, which has no log, can carry out a call."""
    if isinstance(call, Submit):
        return call.spec.best_effort
    return isinstance(call, Abandon | KeepAlive)
