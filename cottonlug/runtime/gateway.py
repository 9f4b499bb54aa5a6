"""A gateway: sends callers' requests to the coordinator, and answers the callers.

The coordinator is the host that schedules jobs now: the leader of the control hosts or, where no
leader can be reached, a gateway that acts as leader (`acting_leader`). A gateway that is connected
to the leader also relays the calls of gateways that are not.

A best-effort job is kept in the coordinator's memory only, a durable one in the replicated log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec

from ..config.cluster import GatewaySettings
from ..config.options import Address
from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import (
    NEWER_CONFIGURATION,
    NO_CONFIGURATION,
    NO_LOG,
    NO_RECENT_CONTACT,
    Abandon,
    AbandonedSubmission,
    Answer,
    Call,
    KeepAlive,
    Outcome,
    Submit,
    call_decoder,
)
from ..core.cluster.forecast import (
    NO_WAIT,
    WaitLimits,
    find_declared_objective,
    find_wait_limits,
)
from ..core.cluster.model import Queue
from ..core.cluster.validation import find_job_problem
from ..net.asgi import DeferredResponse, HttpRequest, HttpResponse
from .acting_leader import ActingLeader
from .call_limit import CallLimit
from .coordinator_link import CoordinatorLink, Via
from .events import Event, log_event
from .job_channel import NOT_SENT
from .job_channel_server import JobChannelServer
from .loop_monitor import LoopMonitor
from .peer_calls import (
    CALL_PATH,
    FORWARD_TIMEOUT,
    KEEPALIVE_FORWARD_TIMEOUT,
    PeerCalls,
    decode_keepalive,
)
from .ports import UpstreamPort
from .work_meter import WorkMeter

RETRY_SECONDS = 0.05
"""Pause before a call is tried again, unless the coordinator changes or answers earlier."""
ABANDON_TIMEOUT = timedelta(milliseconds=500)
"""How long this gateway tries to tell the coordinator that a caller has disconnected."""
READ_TOO_LATE = "the request was read too late for an answer in time"
MIN_TRY_TIME = timedelta(milliseconds=20)
"""A call is not tried again with less time left than this."""
COORDINATOR_WAIT = timedelta(milliseconds=2_000)
"""How long a call waits for a coordinator before its caller is told to retry later."""
NO_LEADER = "neither an acting leader nor connected to a leader"
"""Detail of the answer to another gateway's call that this gateway can neither answer nor relay."""
COORDINATOR_OVERDUE = "the coordinator has not answered lately"
"""Detail of the answer for a job that was withheld from the coordinator (`keepalive_tracker`)."""
DURABLE_COORDINATOR_WAIT = timedelta(milliseconds=800)
"""How long a durable job waits for a coordinator: an acting leader cannot accept it, and an
election takes 0.7 s. If no majority of control hosts answers, no leader can be elected, and the
caller is told at once."""
DEFAULT_MAX_BODY_BYTES = 262_144
"""Limit of request bodies until the configuration is known."""
_NOT_RUN_OUTCOMES = (Outcome.REJECTED, Outcome.NO_QUEUE)
"""Outcomes by which the caller of a job is told that the job has not run."""
_EXPECTED_OUTCOMES = (Outcome.DONE, Outcome.NO_QUEUE, Outcome.NO_JOB)
"""Outcomes that are no failures of the service, such as that a caller names an unknown queue."""


class Gateway:
    """State of one gateway."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        clock: Clock,
        port: UpstreamPort,
    ) -> None:
        self.outcomes: dict[str, int] = {outcome.value: 0 for outcome in Outcome}
        """Number of calls by outcome."""
        self.record_call: Callable[[float], object] = lambda took_ms: None
        """Called with the duration of each call in milliseconds."""
        self.record_refusal: Callable[[float], object] = lambda share: None
        """Called for each job that was not served, with the time taken divided by its objective,
        the time in which it should end."""
        self.timeout_failure_count = 0
        """Number of failed calls that were answered only when their callers' wait timed out."""
        self.withheld_count = 0
        """How often a job was withheld from a coordinator whose answer was overdue."""
        self.size = settings.size
        """What this host may use."""
        self.call_limit = CallLimit(size=settings.size, clock=clock)
        self.work = WorkMeter(read_seconds=lambda: clock.monotonic().total_seconds())
        """Processor time of this process by kind of work, measured while it acts as leader."""
        self.loop_monitor = LoopMonitor(work=self.work, clock=clock)
        self._clock = clock
        self.calls = PeerCalls(
            own_address=str(settings.listen.peers), urgent_port=settings.urgent_port
        )
        self._job_channels = JobChannelServer(
            answer=self.answer_peer, clock=clock, find_limits=self._find_wait_limits
        )
        self.link = CoordinatorLink(
            settings=settings,
            clock=clock,
            port=port,
            calls=self.calls,
            work=self.work,
        )
        self._last_number = self.link.confirmations.instance
        """Number of the last submission. It starts at the start time of this process in ms, so that
        no number of an earlier process at this address is used again."""
        self.calls.stamp = self.link.confirmations.stamp
        self._background: set[asyncio.Task[Answer]] = set()

    def start(self) -> None:
        """Start the background tasks that find and follow the coordinator."""
        self.loop_monitor.start()
        self.link.start()

    def stop(self) -> None:
        """Stop and close all connections."""
        self.loop_monitor.stop()
        self.link.stop()
        self.calls.close()

    def begin_stopping(self) -> None:
        """Become not ready for callers; calls that have arrived are still answered."""
        self.link.is_stopping = True

    @property
    def is_stopping(self) -> bool:
        """Whether this gateway is shutting down."""
        return self.link.is_stopping

    def should_close_connections(self) -> bool:
        """Return whether callers' connections are to be closed after their responses."""
        return self.is_stopping or self.call_limit.is_out_of_connections()

    def is_ready(self) -> bool:
        """Return whether this gateway can serve callers' requests now."""
        return not self.is_stopping and self.link.is_connected()

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a request body, from the configuration if it is known."""
        return self.link.max_body_bytes or DEFAULT_MAX_BODY_BYTES

    @property
    def acting_leader(self) -> ActingLeader | None:
        """The acting leader in this process, or None."""
        return self.link.acting_leader

    @property
    def coordinator(self) -> str | None:
        """Address of the coordinator, or None while none is known."""
        return self.link.coordinator

    @property
    def hosts(self) -> list[str]:
        """Addresses of the known control hosts."""
        return self.link.hosts

    def add_seeds(self, seeds: list[Address]) -> None:
        """Add addresses at which control hosts may be found."""
        self.link.add_seeds(seeds)

    # Calls of callers

    def abandon(self, call: Submit) -> None:
        """Tell the coordinator that a caller has disconnected, without waiting for the answer."""
        abandon = Abandon(host=call.host, path=call.path, gateway=self.link.own_address)
        task = asyncio.create_task(self._call(abandon, ABANDON_TIMEOUT))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def call(self, call: Call, timeout: timedelta) -> Answer:
        """Have a call of a caller carried out, and log it if it was not.

        Returns an answer within `timeout`.
        """
        began_at = self._clock.monotonic()
        if isinstance(call, Submit):
            self.work.count_decision("job_received", call.path.rpartition("/")[2])
            self._last_number += 1
            call = msgspec.structs.replace(
                call, gateway=self.link.own_address, number=self._last_number
            )
        try:
            answer = await self._call_within_limit(call, timeout)
        except asyncio.CancelledError:
            self._record_abandoned(call)
            raise
        if answer.outcome in (Outcome.UNKNOWN, Outcome.ABANDONED):
            self._record_abandoned(call)
        if answer.outcome is Outcome.UNKNOWN and isinstance(call, Submit) and call.spec.best_effort:
            # Its caller gets no result of this try, so its runs are useless and can be stopped.
            self.abandon(call)
        self._record_outcome(call, answer, self._clock.monotonic() - began_at, timeout)
        if answer.outcome not in _EXPECTED_OUTCOMES:
            log_event(
                Event.CALL_FAILED,
                call=type(call).__name__,
                path=getattr(call, "path", ""),
                outcome=answer.outcome.value,
                detail=answer.detail,
                took_ms=to_milliseconds(self._clock.monotonic() - began_at),
            )
        return answer

    async def _call_within_limit(self, call: Call, timeout: timedelta) -> Answer:
        """Have a call carried out; refuse it at once if it is invalid or too many wait here."""
        problem = find_job_problem(call.spec) if isinstance(call, Submit) else None
        if problem is not None:
            return Answer(outcome=Outcome.INVALID, detail=problem)
        if timeout <= timedelta() and isinstance(call, Submit) and call.waited_ms:
            return Answer(outcome=Outcome.UNAVAILABLE, detail=READ_TOO_LATE)
        refusal = self.call_limit.refuse(call)
        if refusal is not None:
            return refusal
        with self.call_limit.hold(call):
            return await self._call(call, timeout)

    def _record_abandoned(self, call: Call) -> None:
        """Report that this gateway no longer waits for a best-effort job.

        Keep-alives repeat the report until the coordinator is sure to have received it.
        """
        if isinstance(call, Submit) and call.spec.best_effort:
            self.link.confirmations.record_abandoned(
                AbandonedSubmission(host=call.host, path=call.path, number=call.number)
            )

    def _record_outcome(
        self, call: Call, answer: Answer, took: timedelta, timeout: timedelta
    ) -> None:
        """Update the metrics for a call that has been answered."""
        self.outcomes[answer.outcome.value] += 1
        self.record_call(took / timedelta(milliseconds=1))
        if answer.outcome in _EXPECTED_OUTCOMES or answer.outcome is Outcome.INVALID:
            return
        # Tries end `MIN_TRY_TIME` before the timeout.
        self.timeout_failure_count += answer.detail != READ_TOO_LATE and (
            took >= timeout - MIN_TRY_TIME
        )
        queue = self._find_queue(call) if isinstance(call, Submit) else None
        if isinstance(call, Submit) and queue is not None:
            self.record_refusal(took / find_declared_objective(queue, call.spec))

    def _find_queue(self, call: Submit) -> Queue | None:
        """Return the queue of a job in the last known configuration, or None."""
        queues = self.link.failover_store.queues
        found = queues.find_queue(call.host, call.path) if queues is not None else None
        return found[0] if found is not None else None

    async def _call(self, call: Call, timeout: timedelta) -> Answer:
        """Retry a call until it has a final answer; every call is safe to send twice.

        `UNKNOWN` says that a try may have been carried out, `UNAVAILABLE` that none was.
        """
        began_at = self._clock.monotonic()
        deadline = began_at + timeout
        unavailable_since: timedelta | None = None
        may_have_run = False
        waited_unread = timedelta(milliseconds=call.waited_ms if isinstance(call, Submit) else 0)
        while True:
            now = self._clock.monotonic()
            left = deadline - now
            if left < MIN_TRY_TIME:
                break
            if (
                unavailable_since is not None
                and now - unavailable_since > self._get_coordinator_wait(call)
            ):
                break
            via = self.link.via
            acting_leader_term = self.link.acting_leader_term if via is Via.ACTING_LEADER else 0
            if isinstance(call, Submit):
                waited_ms = to_milliseconds(waited_unread + now - began_at)
                call = msgspec.structs.replace(call, waited_ms=waited_ms)
            answer = await self._try_once(call, left)
            if answer.detail == NEWER_CONFIGURATION and await self.link.refresh_contact():
                continue
            is_undecided = answer.outcome in (Outcome.UNKNOWN, Outcome.UNAVAILABLE)
            if answer.outcome is Outcome.UNKNOWN:
                may_have_run = True
                unavailable_since = None
                if isinstance(call, Submit):
                    call = _mark_begun(call, acting_leader_term, via)
                    call = _add_suspects(call, answer)
            elif answer.outcome is Outcome.UNAVAILABLE:
                unavailable_since = now if unavailable_since is None else unavailable_since
            elif answer.outcome in _NOT_RUN_OUTCOMES and isinstance(call, Submit) and may_have_run:
                # An earlier try may have run, so the job can no longer be reported as not run.
                break
            else:
                return answer
            waited = waited_unread + self._clock.monotonic() - began_at
            if is_undecided and isinstance(call, Submit) and self._is_hopeless(call, waited):
                break
            await self.link.wait_for_change(RETRY_SECONDS)
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.UNAVAILABLE
        return Answer(outcome=outcome, detail="no coordinator could be reached in time")

    def _get_coordinator_wait(self, call: Call) -> timedelta:
        """Return how long a call waits for a coordinator."""
        if not isinstance(call, Submit) or call.spec.best_effort:
            return COORDINATOR_WAIT
        return timedelta() if self.link.is_control_majority_silent() else DURABLE_COORDINATOR_WAIT

    def _is_hopeless(self, call: Submit, waited: timedelta) -> bool:
        """Return whether a job that has waited this long would end too late to be useful."""
        queue = self._find_queue(call)
        useful = find_wait_limits(queue, call.spec).useful if queue is not None else None
        return useful is not None and waited > useful

    def _find_wait_limits(self, call: Submit) -> WaitLimits:
        """Return how long a job may wait before it begins; not at all if its queue is unknown."""
        queue = self._find_queue(call)
        return find_wait_limits(queue, call.spec) if queue is not None else NO_WAIT

    async def _try_once(self, call: Call, timeout: timedelta) -> Answer:
        """Send a call to the acting leader in this process, or else to the coordinator."""
        if self.acting_leader is not None:
            return await _call_own_acting_leader(self.acting_leader, call, timeout)
        host = self.link.coordinator
        if host is None:
            return Answer(outcome=Outcome.UNAVAILABLE, detail="no coordinator is known")
        if isinstance(call, Submit) and self.link.is_overdue():
            self.withheld_count += 1
            return Answer(outcome=Outcome.UNAVAILABLE, detail=COORDINATOR_OVERDUE)
        sent_call = _clear_acting_leader_term(call) if self.link.via is Via.ACTING_LEADER else call
        answer = await self.calls.ask(host, sent_call, timeout)
        # With these details the host is still the coordinator, or was not even asked.
        is_still_coordinator = answer.detail in (
            NEWER_CONFIGURATION,
            NO_CONFIGURATION,
            NO_LOG,
            NO_RECENT_CONTACT,
            NOT_SENT,
        )
        if answer.outcome is Outcome.UNAVAILABLE and not is_still_coordinator:
            self.link.unfollow(host)
        return answer

    # Calls of other gateways

    def answer_at_once(self, request: HttpRequest) -> HttpResponse | DeferredResponse | None:
        """Receive jobs, and answer keep-alives while acting as leader; None for other requests."""
        response = self._job_channels.handle_at_once(request)
        if response is not None:
            return response
        keepalive = decode_keepalive(request) if self.acting_leader is not None else None
        if keepalive is None:
            return None
        self.link.yield_to_newer_configuration(keepalive)
        acting_leader = self.acting_leader
        if acting_leader is None:
            return None
        answer = acting_leader.leadership.answer_keepalive(keepalive)
        answer = msgspec.structs.replace(answer, is_acting_leader=True, domain=acting_leader.domain)
        return HttpResponse(status=200, body=msgspec.json.encode(answer))

    async def handle_peer_request(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of another gateway, as acting leader or by relaying it to the leader."""
        try:
            if self._job_channels.handles(request.path):
                return await self._job_channels.handle(request)
            if request.path != CALL_PATH:
                return HttpResponse(status=404)
            call = call_decoder.decode(request.body)
        except msgspec.MsgspecError as error:
            return HttpResponse(status=400, body=msgspec.json.encode({"error": str(error)}))
        answer = await self.answer_peer(call)
        return HttpResponse(status=200, body=msgspec.json.encode(answer))

    async def answer_peer(self, call: Call) -> Answer:
        """Answer a call of another gateway."""
        if isinstance(call, KeepAlive):
            self.link.yield_to_newer_configuration(call)
        acting_leader = self.acting_leader
        if acting_leader is not None:
            # It may have stepped down by the time a job has ended: mark its answers all the same.
            answer = await acting_leader.leadership.answer(call)
            return msgspec.structs.replace(
                answer, is_acting_leader=True, domain=acting_leader.domain
            )
        leader = self.link.coordinator if self.link.has_direct_leader() else None
        if leader is None:
            # Without hosts the answer keeps no other gateway from acting as leader.
            hosts = () if self.link.leaves_acting_to_others() else tuple(self.hosts)
            return Answer(outcome=Outcome.UNAVAILABLE, detail=NO_LEADER, hosts=hosts)
        answer = await self.calls.ask(leader, call, _get_relay_timeout(call))
        if isinstance(call, KeepAlive) and answer.outcome is not Outcome.DONE:
            return msgspec.structs.replace(answer, leader=leader, hosts=tuple(self.hosts))
        return answer


def _mark_begun(call: Submit, acting_leader_term: int, via: Via) -> Submit:
    """Return a submission marked as possibly started, by an acting leader if the term is not 0."""
    return msgspec.structs.replace(
        call,
        may_have_begun=True,
        acting_leader_term=max(acting_leader_term, call.acting_leader_term),
        # A relay may have begun to act as leader before it handled the call.
        may_be_of_acting_leader=call.may_be_of_acting_leader or via is not Via.LEADER,
    )


def _add_suspects(call: Submit, answer: Answer) -> Submit:
    """Return a submission that names the tasks which may have crashed upstreams, if known."""
    return msgspec.structs.replace(call, suspects=answer.suspects or call.suspects)


def _clear_acting_leader_term(call: Call) -> Call:
    """Return a call as sent to an acting leader.

    The term of an earlier acting leader is cleared, since the new one has a higher fencing token.
    """
    if isinstance(call, Submit) and call.acting_leader_term:
        return msgspec.structs.replace(call, acting_leader_term=0)
    return call


async def _call_own_acting_leader(
    acting_leader: ActingLeader, call: Call, timeout: timedelta
) -> Answer:
    """Answer a call of this gateway's own callers while it acts as leader, within a timeout."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            return await acting_leader.leadership.answer(_clear_own_gateway(call))
    except TimeoutError:
        return Answer(outcome=Outcome.UNKNOWN, detail="no reply in time")


def _clear_own_gateway(call: Call) -> Call:
    """Return a call as this gateway answers it itself.

    The gateway's address is cleared: it cannot lose contact with itself.
    """
    if isinstance(call, Submit | Abandon):
        call = msgspec.structs.replace(call, gateway="")
    return _clear_acting_leader_term(call)


def _get_relay_timeout(call: Call) -> timedelta:
    """Return how long the caller of a relayed call still waits."""
    if isinstance(call, KeepAlive):
        return KEEPALIVE_FORWARD_TIMEOUT
    if isinstance(call, Submit) and call.wait_timeout_ms:
        return timedelta(milliseconds=max(call.wait_timeout_ms - call.waited_ms, 1))
    return FORWARD_TIMEOUT
