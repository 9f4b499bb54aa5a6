"""An entry host: accepts callers' jobs and schedules their tasks on upstreams by itself.

This module adds timers, waiting callers and parked exchanges to the dispatcher core. An exchange is
one request of an upstream and its reply, which is parked until there is something to send.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import asdict
from datetime import timedelta

from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.defaults import EntrySettings
from ..core.clock import Clock, to_milliseconds
from ..core.dispatcher import Dispatcher
from ..core.ids import Generation, SubmissionId, UpstreamId
from ..core.intake import (
    build_job,
    build_rule_input,
    build_submit_request,
    check_submit,
    compute_digest,
)
from ..core.jobs import Job, build_answer, build_status
from ..core.messages import (
    ExchangeReply,
    ExchangeRequest,
    JobAnswer,
    JobStatus,
    MintReply,
    Refusal,
    SingleRequest,
    SubmitRequest,
)
from ..core.notices import NoticeKind
from ..core.retries import RetryBudget
from ..core.states import JobState, RefusalCode, RunOutcome
from ..core.submissions import SubmissionStore
from .control import Control
from .events import Event, log_event
from .failures import log_failure
from .rulebook import Rulebook

TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 0.1
MAX_IDS_PER_MINT = 1000
MAX_WAIT_SECONDS = 60.0
NOT_READY_RETRY_AFTER_MS = 1000
_RequestId = tuple[UpstreamId, int, int]
"""Upstream, session number, and sequence number of an exchange request."""
_EVENT_BY_NOTICE_KIND = {
    NoticeKind.OPENED: Event.UPSTREAM_OPENED,
    NoticeKind.GONE: Event.UPSTREAM_GONE,
    NoticeKind.LEAVING: Event.UPSTREAM_LEAVING,
    NoticeKind.PROBATION: Event.UPSTREAM_PROBATION,
}


class EntryHost:
    """State of one entry host; all of it is used on one event loop."""

    def __init__(
        self, *, settings: EntrySettings, clock: Clock, rulebook: Rulebook, control: Control
    ) -> None:
        self.settings = settings
        self.rulebook = rulebook
        self.control = control
        self._clock = clock
        store = SubmissionStore(
            domain=settings.domain,
            host=settings.host,
            generation=Generation(secrets.token_hex(4)),
            started_at=clock.monotonic(),
            id_lifetime=settings.submissions.id_lifetime,
            retention=settings.submissions.retention,
            random_hex=secrets.token_hex,
        )
        budget = RetryBudget(ratio=settings.retries.budget, burst=settings.retries.burst)
        self.dispatcher = Dispatcher(
            store=store, limits=settings.limits, retry_budget=budget, policy=settings.policy
        )
        self._job_waiters: dict[SubmissionId, list[asyncio.Future[None]]] = {}
        self._exchange_waiters: dict[_RequestId, asyncio.Future[ExchangeReply]] = {}
        self._dispatch_scheduled = False
        self._ticker: asyncio.Task[None] | None = None
        self._unfetched: set[SubmissionId] = set()
        """Accepted jobs, active or ended, whose answers no caller has fetched yet; a shutdown waits
        a little for that. Idempotent ones are left out: their records are dropped when they end."""
        self._on_failure: Callable[[BaseException], None] | None = None

    # Lifecycle

    def start(self, on_failure: Callable[[BaseException], None]) -> None:
        """Start the timers; `on_failure` is called with any exception in a dispatch or a timer."""
        self._on_failure = on_failure
        self._ticker = asyncio.create_task(self._tick_forever())

    async def drain(self) -> None:
        """Accept no new jobs, finish the accepted ones and let callers fetch their answers."""
        self.dispatcher.draining = True
        log_event(Event.DRAINING, host=self.settings.host, jobs=self.dispatcher.active_job_count)
        now = self._clock.monotonic()
        limit = now + self.settings.drain_limit
        while self.dispatcher.active_job_count and self._clock.monotonic() < limit:
            await asyncio.sleep(TICK_SECONDS)
        if self.dispatcher.active_job_count:
            log_event(Event.DRAIN_CUT_SHORT, jobs=self.dispatcher.active_job_count)
        # Once no task is queued, this answers parked exchanges: upstreams learn of the shutdown.
        self.schedule_dispatch()
        linger = self._clock.monotonic() + self.settings.drain_linger
        while self._unfetched and self._clock.monotonic() < linger:
            await asyncio.sleep(TICK_SECONDS)

    def stop(self) -> None:
        """Stop the timers."""
        if self._ticker is not None:
            self._ticker.cancel()

    # Callers

    def mint(self, count: int) -> Result[MintReply, Refusal]:
        """Return fresh submission ids."""
        if not 1 <= count <= MAX_IDS_PER_MINT:
            message = f"the number of ids must be between 1 and {MAX_IDS_PER_MINT}"
            return Err(Refusal(code=RefusalCode.INVALID, message=message, path="$.count"))
        now = self._clock.monotonic()
        store = self.dispatcher.store
        ids = [store.mint(now) for _ in range(count)]
        return Success(MintReply(ids=ids, lifetime_ms=to_milliseconds(store.id_lifetime)))

    def submit(
        self, request: SubmitRequest, idempotent: bool = False
    ) -> Result[JobStatus | JobAnswer, Refusal]:
        """Accept a job, or attach to the job with the same id.

        An id from before this host lost its records gets the final answer `record_lost`.
        """
        now = self._clock.monotonic()
        store = self.dispatcher.store
        id = request.id or store.mint(now)
        found = store.find_submission(id, now) if request.id else None
        if isinstance(found, Success):
            known = found.unwrap()
            if isinstance(known, JobAnswer):
                return Success(known)
            return self.dispatcher.attach(known, compute_digest(request))
        # Check the id before anything that may refuse the job as `not_run`: if the id has expired,
        # an earlier submission of it may have run.
        refusal = store.check_new_id(id, now)
        refusal = refusal or check_submit(request, self.settings.bodies.max_payload_kb * 1024)
        if refusal is None and not self.control.is_ready():
            refusal = _refuse_not_ready()
        if refusal is not None:
            return Err(refusal)
        time_of_day = self._clock.now().time()
        rule_input = build_rule_input(request, self.settings.domain, idempotent, time_of_day)
        rule = self.rulebook.match(rule_input)
        built = build_job(id=id, request=request, rule=rule, idempotent=idempotent, now=now)
        if isinstance(built, Err):
            log_event(Event.SUBMISSION_REFUSED, team=request.team, rule=rule.name if rule else "")
            return Err(built.failure())
        if rule is not None and rule.then.weight is not None:
            self.dispatcher.queue.set_weight(request.team, rule.then.weight)
        run_time = timedelta(milliseconds=request.run_time_ms) if request.run_time_ms else None
        accepted = self.dispatcher.submit(built.unwrap(), run_time)
        if isinstance(accepted, Success) and not idempotent:
            self._unfetched.add(id)
        self.schedule_dispatch()
        return accepted

    def get_status(self, id: SubmissionId) -> Result[JobStatus | JobAnswer, Refusal]:
        """Return the status of a job, or its answer if only that is still stored."""
        found = self.dispatcher.store.find_submission(id, self._clock.monotonic())
        return found.map(lambda known: build_status(known) if isinstance(known, Job) else known)

    async def wait_answer(
        self, id: SubmissionId, wait_seconds: float
    ) -> Result[JobStatus | JobAnswer, Refusal]:
        """Return the answer of a job, or its status if it has not ended within the wait."""
        found = self.dispatcher.store.find_submission(id, self._clock.monotonic())
        if isinstance(found, Err):
            return Err(found.failure())
        known = found.unwrap()
        if isinstance(known, JobAnswer):
            return Success(known)
        if not known.ended:
            await self._wait_for_end(known, min(wait_seconds, MAX_WAIT_SECONDS))
        if not known.ended:
            return Success(build_status(known))
        self._unfetched.discard(id)
        return Success(build_answer(known))

    def cancel(self, id: SubmissionId) -> Result[JobStatus | JobAnswer, Refusal]:
        """Cancel a job for all callers that wait for it; one that has ended stays as it is."""
        now = self._clock.monotonic()
        found = self.dispatcher.store.find_submission(id, now)
        if isinstance(found, Err):
            return Err(found.failure())
        known = found.unwrap()
        if isinstance(known, JobAnswer):
            return Success(known)
        status = self.dispatcher.cancel(known, now)
        self.schedule_dispatch()
        return Success(status)

    async def run_single(self, request: SingleRequest) -> Result[JobAnswer, Refusal]:
        """Run one task and return its answer; the dispatcher ends it at its deadline."""
        submitted = self.submit(build_submit_request(request), request.idempotent)
        if isinstance(submitted, Err):
            return Err(submitted.failure())
        status = submitted.unwrap()
        if isinstance(status, JobAnswer):
            return Success(status)
        known = self.dispatcher.store.jobs[status.id]
        while not known.ended:
            await self._wait_for_end(known, MAX_WAIT_SECONDS)
        self._unfetched.discard(known.id)
        return Success(build_answer(known))

    # Upstreams

    def open_exchange(
        self, request: ExchangeRequest
    ) -> Result[asyncio.Future[ExchangeReply], Refusal]:
        """Handle an upstream's message and return the future of its reply."""
        refusal = self.dispatcher.exchange(request, self._clock.monotonic())
        if refusal is not None:
            return Err(refusal)
        future: asyncio.Future[ExchangeReply] = asyncio.get_running_loop().create_future()
        self._exchange_waiters[_get_request_id(request)] = future
        self.schedule_dispatch()
        return Success(future)

    def close_exchange(self, request: ExchangeRequest) -> None:
        """Handle the loss of the connection on which an exchange waited for its reply."""
        if self._exchange_waiters.pop(_get_request_id(request), None) is None:
            return
        now = self._clock.monotonic()
        self.dispatcher.handle_disconnect(request.upstream, request.session, request.seq, now)

    def schedule_dispatch(self) -> None:
        """Have one dispatch run after the messages that the event loop has ready now."""
        if self._dispatch_scheduled:
            return
        self._dispatch_scheduled = True
        asyncio.get_running_loop().call_soon(self._run_dispatch)

    # Operators

    def get_counters(self) -> dict[str, float]:
        """Return all counters by name."""
        counters: dict[str, float] = asdict(self.dispatcher.counters)
        return counters

    def get_gauges(self) -> dict[str, float]:
        """Return all gauges by name.

        `kept_jobs` counts the stored records of active and ended jobs, `outstanding` the starts
        whose results are still awaited from upstreams, `parked` the exchanges without a reply.
        """
        dispatcher = self.dispatcher
        return {
            "active_jobs": dispatcher.active_job_count,
            "kept_jobs": len(dispatcher.store.jobs),
            "queued_tasks": dispatcher.queued_tasks,
            "upstreams": len(dispatcher.sessions),
            "outstanding": sum(len(each.outstanding) for each in dispatcher.sessions.values()),
            "parked": len(self._exchange_waiters),
            "rules_version": self.rulebook.version,
            "rules_stale": float(self.control.is_stale()),
        }

    # Internals

    def _run_dispatch(self) -> None:
        self._dispatch_scheduled = False
        try:
            self._dispatch()
        except Exception as error:
            self._report_failure(error)

    def _dispatch(self) -> None:
        for delivery in self.dispatcher.dispatch(self._clock.monotonic()):
            request_id = (delivery.upstream, delivery.session, delivery.reply.seq)
            future = self._exchange_waiters.pop(request_id, None)
            if future is not None and not future.done():
                future.set_result(delivery.reply)
        for job in self.dispatcher.pop_ended_jobs():
            self._report_job_end(job)
        for notice in self.dispatcher.pop_notices():
            event = _EVENT_BY_NOTICE_KIND[notice.kind]
            log_event(event, upstream=notice.upstream, detail=notice.detail)

    def _report_job_end(self, job: Job) -> None:
        """Log a failed job, and wake the callers that wait for its end."""
        if job.state is JobState.FAILED and job.failure is not None:
            reason = job.failure.reason.value
            log_event(Event.JOB_FAILED, id=job.id, reason=reason, detail=job.failure.detail)
        for waiter in self._job_waiters.pop(job.id, []):
            if not waiter.done():
                waiter.set_result(None)

    async def _wait_for_end(self, job: Job, seconds: float) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiters = self._job_waiters.setdefault(job.id, [])
        waiters.append(waiter)
        await asyncio.wait([waiter], timeout=max(seconds, 0.0))
        if not waiter.done():
            waiters.remove(waiter)

    async def _tick_forever(self) -> None:
        try:
            while True:
                self.dispatcher.tick(self._clock.monotonic())
                self._dispatch()
                self._drop_stale_unfetched()
                is_busy = self.dispatcher.active_job_count > 0
                await asyncio.sleep(TICK_SECONDS if is_busy else IDLE_TICK_SECONDS)
        except Exception as error:
            self._report_failure(error)

    def _drop_stale_unfetched(self) -> None:
        """Drop ids whose records have expired; rarely, since this compares all of them."""
        jobs = self.dispatcher.store.jobs
        if len(self._unfetched) > 2 * len(jobs):
            self._unfetched.intersection_update(jobs)

    def _report_failure(self, error: Exception) -> None:
        log_failure(Event.INVARIANT_BROKEN, error, during="dispatch")
        if self._on_failure is not None:
            self._on_failure(error)


def _refuse_not_ready() -> Refusal:
    return Refusal(
        code=RefusalCode.NOT_READY,
        message="this entry host has not received the active rules yet",
        outcome=RunOutcome.NOT_RUN,
        retry_after_ms=NOT_READY_RETRY_AFTER_MS,
    )


def _get_request_id(request: ExchangeRequest) -> _RequestId:
    return (request.upstream, request.session, request.seq)
