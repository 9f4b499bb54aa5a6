"""One leader's term: it decides through `Dispatch`, carries out orders and answers calls."""

from __future__ import annotations

import asyncio
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
    Beat,
    Call,
    Cancel,
    Configure,
    Evacuate,
    Greet,
    Heard,
    Leave,
    Outcome,
    Submit,
)
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
from ..core.cluster.lives import LeaseTerms
from ..core.cluster.model import Heartbeat, JobId
from ..core.cluster.orders import (
    Order,
    StartOrder,
    StopOrder,
)
from ..core.cluster.reports import USUAL_REPORTS, ReportTerms
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import DomainName
from .decisions import note_decision
from .events import Event, log_event
from .gateways import GatewayRegistry
from .heartbeat_desk import SPREAD_FROM, Desks
from .heartbeat_port import HeartbeatPort
from .job_answers import JobAnswers
from .order_answers import OrderAnswers
from .ports import Authority, OnFailure, UpstreamPort
from .replicated import ReplicatedRecords, Waiters

TICK_SECONDS = 0.02
FORGET_EVERY = timedelta(seconds=5)
USUAL_HOLD = timedelta(seconds=TICK_SECONDS) * 1.25
"""A timer fires a little late; longer spans between decisions are counted."""
HELD_UP = timedelta(milliseconds=150)
"""Between two decisions there are 20 ms, unless the process was held up."""
COMMIT_TIMEOUT = timedelta(seconds=2)
"""How long a call waits for its command; its fate is unknown afterwards."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeadingSettings:
    """What does not change from term to term."""

    terms: LeaseTerms
    keep_ended: timedelta
    caller_retry: timedelta
    """A caller that lost its gateway waits at least so long before it sends a job again."""
    control_address: str | None
    """Address of this host for upstreams, where it serves them."""
    domains: frozenset[DomainName] = frozenset()
    """Failure domains that the settings name; those of known upstreams exist besides."""
    keeps_log: bool = True
    """Whether commands are kept; a deputy answers no call that needs the log."""
    orders_by_heartbeat: bool = False
    """Whether upstreams take their orders with the answers to their heartbeats, not by calls."""
    domain: DomainName | None = None
    """Failure domain whose upstreams alone are ordered; None for all."""
    level: int = 0
    """Deputies of one term take ever higher levels, so that their tokens rise."""
    reports: ReportTerms = USUAL_REPORTS
    known_until: timedelta = timedelta()
    """Until then the capacities in the record can be counted on without a report to this host."""


class Leading:
    """What a host does while it leads one term."""

    def __init__(
        self,
        *,
        authority: Authority,
        replicated: ReplicatedRecords,
        port: UpstreamPort,
        clock: Clock,
        settings: LeadingSettings,
        on_failure: OnFailure,
    ) -> None:
        self._on_failure = on_failure
        self.term = authority.term
        self.token = int(authority.term) * TOKENS_PER_TERM + settings.level
        self._authority = authority
        self._records = replicated.records
        self._heartbeats: HeartbeatPort | None = None
        if settings.orders_by_heartbeat:
            self._heartbeats = HeartbeatPort(
                clock=clock,
                lease=settings.terms.longest,
                note_listening=lambda id, is_there: self.dispatch.note_listening(id, is_there),
            )
        self._port = self._heartbeats or port
        self._clock = clock
        self._settings = settings
        self._control_address = settings.control_address
        self._desks = Desks(clock=clock, own=settings.control_address)
        self.gateways = GatewayRegistry(
            term=int(authority.term),
            token=self.token,
            clock=clock,
            takes_calls=not settings.orders_by_heartbeat,
        )
        self.record_hold: Callable[[float], object] = lambda held_ms: None
        """Called with the milliseconds between two decisions, where there are more than usual."""
        self._decided_at = clock.monotonic()
        self._has_waited = False
        self._had_lease = True
        self.waiters = Waiters()
        self.dispatch = Dispatch(
            records=self._records,
            term=self.token,
            terms=settings.terms,
            now=clock.monotonic(),
            wall_ms=self._read_wall,
            note=note_decision,
            on_end=self._take_end,
            domain=settings.domain,
            keeps_log=settings.keeps_log,
            reports=settings.reports,
            known_until=settings.known_until,
        )
        self._jobs = JobAnswers(
            authority=authority,
            records=self._records,
            dispatch=self.dispatch,
            gateways=self.gateways,
            waiters=self.waiters,
            clock=clock,
            terms=settings.terms,
            caller_retry=settings.caller_retry,
            propose=self._propose_and_wait,
            wait=self._wait,
            wake=self._wake,
        )
        self._orders = OrderAnswers(
            authority=authority,
            records=self._records,
            domains=settings.domains,
            propose=self._propose_and_wait,
            read_wall=self._read_wall,
        )
        self.dispatch.may_be_stood_in_for = self._may_be_stood_in_for
        self.gateways.on_silence = self._give_up_silent
        self.gateways.on_restart = self._give_up_all
        self._proposals: list[Command] = []
        self._is_awake = False
        self._is_over = False
        self._calls: set[asyncio.Task[None]] = set()
        self._forget_at = clock.monotonic() + FORGET_EVERY
        replicated.listener = self._take_applied
        self._timer = asyncio.create_task(self._tick_forever())
        log_event(
            Event.LEADING,
            term=int(self.term),
            token=self.token,
            jobs=self.dispatch.jobs.count_jobs(),
        )

    def stop(self) -> None:
        """End the term: nothing more is ordered, and whoever waits learns that it is not known.

        The host may hold the term and its lease for a while after that, beside the next one.
        """
        self._is_over = True
        self._timer.cancel()
        for task in self._calls:
            task.cancel()
        if self._heartbeats is not None:
            self._heartbeats.close()
        self.waiters.give_up()
        log_event(Event.NOT_LEADING, term=int(self.term))

    def read_clock(self) -> timedelta:
        """Return the time by which this term counts."""
        return self._clock.monotonic()

    def find_oldest_report(self) -> timedelta:
        """Return how long ago the upstream told its capacity that has told it the longest ago."""
        now = self.read_clock()
        lives = (life for life in self.dispatch.lives.values() if not life.is_over)
        ages = (now - life.reported_at for life in lives if life.reported_at is not None)
        return max(ages, default=timedelta())

    def count_desks(self) -> int:
        """Return how many other control hosts answer heartbeats for this leader."""
        return len(self._desks.list_known())

    def list_evacuated_ms(self) -> list[float]:
        """Return for how long each domain that is evacuated has been, in milliseconds."""
        now_ms = self._read_wall()
        records = self._records.evacuations.records
        return [float(now_ms - record.since_ms) for record in records if record.is_evacuated]

    # Calls

    def needs_no_lease(self, call: Call) -> bool:
        """Whether the log alone decides about a call: its answer waits for the commit."""
        if isinstance(call, Beat):
            return call.heartbeat.draining and self._heartbeats is None
        return isinstance(call, Configure | Evacuate)

    async def answer(self, call: Call) -> Answer:
        """Carry out one call, while the lease of this leader lasts or the call needs none."""
        if not self._settings.keeps_log and not _needs_no_log(call):
            return Answer(outcome=Outcome.UNAVAILABLE, detail=NO_LOG)
        if isinstance(call, AskState):
            return await self._jobs.answer_state(call)
        if isinstance(call, Greet):
            return self.answer_greeting(call)
        if isinstance(call, Submit):
            return await self._jobs.answer_submit(call)
        if isinstance(call, Abandon):
            return self._jobs.answer_abandon(call)
        if isinstance(call, Cancel):
            return await self._jobs.answer_cancel(call)
        if isinstance(call, Beat):
            return await self._answer_beat(call)
        if isinstance(call, Heard):
            return self._answer_heard(call)
        if isinstance(call, Leave):
            return await self._answer_leave(call)
        if isinstance(call, Configure):
            return await self._orders.answer_configure(call)
        if isinstance(call, AskConfiguration):
            return self._orders.answer_configuration()
        if isinstance(call, Evacuate):
            return await self._orders.answer_evacuate(call)
        if isinstance(call, AskEvacuations):
            return self._orders.answer_evacuations()
        return Answer(outcome=Outcome.DONE)

    def answer_greeting(self, call: Greet) -> Answer:
        """Tell a gateway what it needs to know, and count on it for its jobs."""
        self._take_given_up(call)
        self.gateways.handle_keepalive(call)
        if not self._settings.keeps_log:
            # A deputy has nothing to tell that its roster did not.
            return Answer(outcome=Outcome.DONE, contact=self.gateways.build_contact())
        self.gateways.record_durable_jobs(self.dispatch.jobs.keeps_any())
        roster = self.gateways.build_failover_state(self._records, call.roster)
        contact = self.gateways.build_contact()
        is_due = roster is None and not self.gateways.is_current(call.roster)
        return Answer(outcome=Outcome.DONE, roster=roster, is_roster_due=is_due, contact=contact)

    def _take_given_up(self, greeting: Greet) -> None:
        """Go on with nothing that a gateway waits for no more, before counting on it for the rest.

        Its callers may have sent it again: see `JobAnswers.answer_submit`.
        """
        for each in greeting.given_up:
            if self._jobs.abandon_submission(greeting.gateway, each):
                self._wake()

    def _give_up_silent(self, gateway: str) -> None:
        self.dispatch.abandon_silent(lambda each: each != gateway, self._clock.monotonic())

    def _may_be_stood_in_for(self) -> bool:
        domains = {record.info.domain for record in self._records.upstreams.values()}
        return self.gateways.may_act_as_leader(domains)

    def _give_up_all(self, gateway: str) -> None:
        self.dispatch.abandon_gateway(gateway, self._clock.monotonic())

    async def _answer_beat(self, call: Beat) -> Answer:
        heartbeat = call.heartbeat
        self.dispatch.take_heartbeat(heartbeat, self._clock.monotonic())
        self._wake()
        answer = Answer(outcome=Outcome.DONE, leader_control=self._find_desk(heartbeat))
        # Every later leader must know before the upstream counts on it.
        for key in self._find_untold(heartbeat):
            if answer.outcome is Outcome.DONE:
                answer = await self._wait(key)
        if self._heartbeats is None or answer.outcome is not Outcome.DONE:
            return answer
        orders = await self._heartbeats.exchange(heartbeat, self.token)
        return msgspec.structs.replace(answer, orders=orders)

    def _find_desk(self, heartbeat: Heartbeat) -> str | None:
        """Return where an upstream is to send its next heartbeats."""
        is_few = len(self._records.upstreams) < SPREAD_FROM or self._heartbeats is not None
        return self._control_address if is_few else self._desks.choose(heartbeat.info.id)

    def _answer_heard(self, call: Heard) -> Answer:
        """Take in whose heartbeats another control host has answered."""
        self._desks.note(call.desk)
        now = self._clock.monotonic()
        for each in call.upstreams:
            at = now - timedelta(milliseconds=each.age_ms)
            self.dispatch.take_heard(each.upstream, each.sequence, each.clock_ms, at)
        self._wake()
        return Answer(outcome=Outcome.DONE)

    def _find_untold(self, heartbeat: Heartbeat) -> list[Hashable]:
        """Return the keys of what a heartbeat tells that the log does not say yet."""
        id = heartbeat.info.id
        known = self._records.upstreams.get(id)
        untold: list[Hashable] = []
        if heartbeat.draining and (known is None or not known.draining):
            untold.append(("draining", id))
        is_newest = known is not None and heartbeat.sequence > known.sequence
        if known is not None and is_newest and heartbeat.info.capacity != known.info.capacity:
            untold.append(("capacity", id, heartbeat.sequence))
        return untold

    async def _answer_leave(self, call: Leave) -> Answer:
        known = self._records.find_leaving(call.upstream)
        if known is None or known.draining:
            return Answer(outcome=Outcome.DONE)
        self.dispatch.take_leave(known.info.id)
        self._wake()
        return await self._wait(("draining", known.info.id))

    async def _propose_and_wait(self, command: Command, key: Hashable) -> Answer:
        waiting = self.waiters.wait_for(key)
        self._proposals.append(command)
        self._wake()
        return await self._finish(waiting)

    async def _wait(self, key: Hashable) -> Answer:
        return await self._finish(self.waiters.wait_for(key))

    async def _finish(self, waiting: asyncio.Future[bool]) -> Answer:
        await asyncio.wait([waiting], timeout=COMMIT_TIMEOUT.total_seconds())
        if waiting.done() and waiting.result():
            return Answer(outcome=Outcome.DONE, leader_control=self._control_address)
        return Answer(outcome=Outcome.UNKNOWN, detail="no majority decided in time")

    # Decisions

    def _take_applied(self, command: Command) -> None:
        if self._is_over:
            return
        self.dispatch.take_applied(command, self._clock.monotonic())
        self.gateways.failover_log.note_command(command)
        if isinstance(command, AcceptJob):
            self.waiters.resolve(("job", command.job))
        elif isinstance(command, CancelJob):
            self.waiters.resolve(("cancel", command.job))
        elif isinstance(command, SetConfiguration):
            self._orders.note_applied(command)
            self.waiters.resolve(("version", command.configuration.version))
        elif isinstance(command, SetDraining):
            self.waiters.resolve(("draining", command.upstream))
        elif isinstance(command, AddUpstream):
            log_event(Event.UPSTREAM_OPENED, upstream=command.info.id, at=command.info.address)
        elif isinstance(command, SetEvacuation):
            self._orders.note_applied(command)
            self.waiters.resolve(("evacuation", command.order))
        elif isinstance(command, ResizeUpstream):
            self.waiters.resolve(("capacity", command.upstream, command.sequence))
        self._wake()

    def _take_end(self, job: JobId) -> None:
        self.waiters.resolve(("end", job))

    def _wake(self) -> None:
        """Decide again once everything that has arrived by now was taken in."""
        if not self._is_awake:
            self._is_awake = True
            asyncio.get_running_loop().call_soon(self._decide)

    def _decide(self) -> None:
        self._is_awake = False
        if self._is_over:
            return
        try:
            self._decide_now()
        except Exception as error:
            # Whatever went wrong here would go wrong again: another host has to decide.
            log_event(Event.INVARIANT_BROKEN, error=f"{type(error).__name__}: {error}")
            self._on_failure(error)

    def _decide_now(self) -> None:
        if self._authority.term != self.term:
            return
        # The log decides about these: what one proposes that leads no more comes to nothing.
        self._propose()
        if not self._authority.has_lease():
            self._had_lease = False
            return
        now = self._clock.monotonic()
        held_up = now - self._decided_at
        self._decided_at = now
        if self._had_lease:
            self._note_hold(held_up)
        self._had_lease = True
        if held_up > HELD_UP and not self._has_waited:
            # What has arrived in the meantime is taken in before anything is decided; where every
            # turn is late, by the next one.
            self._has_waited = True
            return
        self._has_waited = False
        if self.dispatch.is_fenced_off and self.gateways.is_any_connected():
            self.dispatch.forgive_fence()
            self._authority.start_new_term()
            return
        if self.gateways.may_have_timed_out():
            self.dispatch.abandon_silent(self.gateways.is_connected, now)
        self.dispatch.tick(now)
        for order in self.dispatch.take_orders():
            task = asyncio.create_task(self._carry_out(order))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
        self._propose()

    def _note_hold(self, held_up: timedelta) -> None:
        """Tell how late a decision is, where nothing but this host has kept it from deciding."""
        if held_up > USUAL_HOLD:
            self.record_hold(held_up / timedelta(milliseconds=1))
        if held_up > HELD_UP:
            log_event(Event.HELD_UP, term=int(self.term), held_up_ms=to_milliseconds(held_up))

    def _propose(self) -> None:
        """Put into the log what waits for it."""
        self._proposals += self.dispatch.take_proposals()
        if self._proposals:
            proposals, self._proposals = self._proposals, []
            if not self._authority.propose(encode_commands(tuple(proposals))):
                log_event(Event.PROPOSAL_LOST, term=int(self.term), commands=len(proposals))

    async def _carry_out(self, order: Order) -> None:
        sent_at = self._clock.monotonic()
        token = self.token
        if isinstance(order, StartOrder):
            outcome, clock_ms = await self._port.start(order, token)
            self.dispatch.take_start_answer(order, outcome, clock_ms, self._clock.monotonic())
        elif isinstance(order, StopOrder):
            failure = await self._port.stop(order, token)
            self.dispatch.take_stop_answer(order, failure, self._clock.monotonic())
        else:
            reply = await self._port.poll(order, token)
            self.dispatch.take_look(order, reply, sent_at, self._clock.monotonic())
        self._wake()

    async def _tick_forever(self) -> None:
        while True:
            self._forget_ended()
            self._wake()
            await asyncio.sleep(TICK_SECONDS)

    def _forget_ended(self) -> None:
        now = self._clock.monotonic()
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_EVERY
        self._jobs.forget_abandoned()
        limit = self._read_wall() - int(self._settings.keep_ended / timedelta(milliseconds=1))
        jobs = self._records.jobs.values()
        old = tuple(job.id for job in jobs if not job.is_open and job.ended_ms < limit)
        if old:
            self._proposals.append(ForgetJobs(jobs=old))

    def _read_wall(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _needs_no_log(call: Call) -> bool:
    """Whether a call is about a job that need not be kept, or about nothing."""
    if isinstance(call, Submit):
        return call.spec.best_effort
    return isinstance(call, Abandon | Greet)
