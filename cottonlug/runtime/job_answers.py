"""Answers of the coordinator (leader or acting leader) to calls about jobs.

A best-effort job is kept in memory only and answered when it has ended. A durable job is written to
the replicated log and answered as soon as it is committed; its state is asked for later.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Hashable
from datetime import timedelta

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.admission import Rejection
from ..core.cluster.calls import (
    NEWER_CONFIGURATION,
    NO_CONFIGURATION,
    NO_RECENT_CONTACT,
    Abandon,
    AbandonedSubmission,
    Answer,
    AskState,
    Cancel,
    Outcome,
    Submit,
)
from ..core.cluster.commands import AcceptJob, CancelJob, Command
from ..core.cluster.dispatch import Dispatch
from ..core.cluster.instances import LeaseTerms
from ..core.cluster.model import ConfigurationVersion, JobId, JobState, Queue
from ..core.cluster.open_job import Submission
from ..core.cluster.records import JobRecord, Records
from ..core.cluster.validation import JOB_ID_PATTERN, find_job_problem, find_unsupported_feature
from .events import Event, log_event
from .gateway_registry import GATEWAY_TIMEOUT, GatewayRegistry
from .ports import Authority
from .replicated import Waiters

STATE_WAIT = timedelta(milliseconds=60)
"""How long a state query waits for a job whose end is being committed; a commit takes 20 ms."""

ABANDONED_RETENTION = timedelta(seconds=2)
"""How long abandoned submissions are remembered.

A submission that is older than `GATEWAY_TIMEOUT` is refused in any case.
"""


class JobAnswers:
    """Answers calls about jobs during one term."""

    def __init__(
        self,
        *,
        authority: Authority,
        records: Records,
        dispatch: Dispatch,
        gateways: GatewayRegistry,
        waiters: Waiters,
        clock: Clock,
        lease_terms: LeaseTerms,
        caller_retry: timedelta,
        propose: Callable[[Command, Hashable], Awaitable[Answer]],
        wait_for_commit: Callable[[Hashable], Awaitable[Answer]],
        schedule_decision: Callable[[], None],
    ) -> None:
        self._authority = authority
        self._term = authority.term
        self._records = records
        self._dispatch = dispatch
        self._gateways = gateways
        self._waiters = waiters
        self._clock = clock
        self._lease_terms = lease_terms
        self._caller_retry = caller_retry
        self._propose = propose
        self._wait_for_commit = wait_for_commit
        self._abandoned: dict[tuple[str, int], timedelta] = {}
        """Abandoned submissions, by gateway and number, with the time when they were abandoned."""
        self._schedule_decision = schedule_decision
        self._told_versions: dict[str, ConfigurationVersion | None] = {}
        """Newest configuration that each gateway was told of by a refusal."""
        gateways.on_configuration_heard = lambda gateway: waiters.resolve(("heard", gateway))

    async def answer_submit(self, call: Submit) -> Answer:
        """Accept a job; answer when a best-effort job has ended, or a durable one is committed."""
        if not await self._wait_until_heard(call):
            return Answer(outcome=Outcome.UNAVAILABLE, detail=NEWER_CONFIGURATION)
        found = self._find_queue(call.host, call.path)
        if isinstance(found, Answer):
            return found
        queue, job = found
        if (call.gateway, call.number) in self._abandoned:
            return Answer(outcome=Outcome.UNKNOWN, detail="the gateway abandoned this submission")
        sent_at = self._gateways.find_send_time(call.gateway, call.contact)
        if call.gateway and sent_at is None:
            # The call is late: its gateway may have submitted the job to another coordinator.
            return Answer(outcome=Outcome.UNAVAILABLE, detail=NO_RECENT_CONTACT)
        if call.acting_leader_term >= self._term:
            # The token of the acting leader is higher than ours: a later term is needed first.
            self._authority.start_new_term()
            return Answer(outcome=Outcome.UNKNOWN, detail="an acting leader requires a later term")
        if job in self._records.jobs:
            return Answer(outcome=Outcome.DONE)
        if call.spec.best_effort and self._dispatch.jobs.find_ended(job) is not None:
            return Answer(outcome=Outcome.DONE, state=self._dispatch.jobs.find_ended(job))
        self._dispatch.jobs.crash_tracker.record_reported_suspects(call.suspects)
        if call.spec.best_effort and self._dispatch.has_quarantined_task(job):
            return Answer(outcome=Outcome.DONE, state=JobState.FAILED)
        if call.spec.best_effort and self._dispatch.jobs.is_open(job):
            submission = self._build_submission(call, sent_at or timedelta())
            self._dispatch.merge_submission(job, submission, self._clock.monotonic())
            return await self._wait_for_end(job)
        if ("job", job) in self._waiters:
            return await self._wait_for_commit(("job", job))
        if JOB_ID_PATTERN.fullmatch(job) is None:
            return Answer(outcome=Outcome.INVALID, detail="the id is not 16 hexadecimal digits")
        problem = find_job_problem(call.spec)
        if problem is not None:
            return Answer(outcome=Outcome.INVALID, detail=problem)
        unsupported = find_unsupported_feature(call.spec)
        if unsupported is not None:
            return Answer(outcome=Outcome.UNSUPPORTED, detail=unsupported)
        waited = timedelta(milliseconds=call.waited_ms)
        now = self._clock.monotonic()
        rejection = self._dispatch.find_rejection(queue, call.spec, waited, now)
        # A job that may have begun cannot be rejected, since that says that it has not run.
        may_have_begun = call.may_have_begun or self._dispatch.jobs.has_begun_before(job)
        if rejection is not None and not may_have_begun:
            return _reject(job, rejection)
        if call.spec.best_effort:
            return await self._run_to_end(job, queue, call, sent_at or timedelta())
        at_ms = self._read_wall_ms() - call.waited_ms
        command = AcceptJob(job=job, queue=queue, spec=call.spec, at_ms=at_ms)
        return await self._propose(command, ("job", job))

    def answer_abandon(self, call: Abandon) -> Answer:
        """Abandon a job whose caller has disconnected."""
        found = self._find_queue(call.host, call.path)
        if isinstance(found, Answer):
            return found
        self._dispatch.abandon(found[1], call.gateway, self._clock.monotonic())
        self._schedule_decision()
        return Answer(outcome=Outcome.DONE)

    def abandon_submission(self, gateway: str, submission: AbandonedSubmission) -> bool:
        """Abandon a submission that its gateway no longer waits for; False if already known."""
        key = (gateway, submission.number)
        if key in self._abandoned:
            return False
        now = self._clock.monotonic()
        self._abandoned[key] = now
        found = self._find_queue(submission.host, submission.path)
        if not isinstance(found, Answer):
            self._dispatch.abandon(found[1], gateway, now)
        return True

    def forget_abandoned(self) -> None:
        """Forget submissions that were abandoned so long ago that they can hardly still arrive."""
        limit = self._clock.monotonic() - ABANDONED_RETENTION
        self._abandoned = {key: at for key, at in self._abandoned.items() if at >= limit}

    async def answer_state(self, call: AskState) -> Answer:
        """Return a job's state, or how many jobs of a queue have not started."""
        found = self._find_queue(call.host, call.path)
        if isinstance(found, Answer):
            return found
        queue, job = found
        if not job:
            pending = self._dispatch.jobs.count_pending(queue.host, queue.prefix)
            return Answer(outcome=Outcome.DONE, pending=pending)
        record = self._records.jobs.get(job)
        if record is None or record.queue.key != queue.key:
            return Answer(outcome=Outcome.NO_JOB)
        if self._dispatch.jobs.is_ending(job):
            # Wait for the commit, which is short: callers query again only much later.
            waiting = self._waiters.wait_for(("end", job))
            await asyncio.wait([waiting], timeout=STATE_WAIT.total_seconds())
        return Answer(outcome=Outcome.DONE, state=self._dispatch.jobs.find_state(record))

    async def answer_cancel(self, call: Cancel) -> Answer:
        """Cancel a job at its caller's request.

        The cancel is answered once it is in the log, also if the job is not: the job may be
        submitted to a later leader, or arrive here after its cancel.
        """
        found = self._find_queue(call.host, call.path)
        if isinstance(found, Answer):
            return found
        _, job = found
        if self._dispatch.cancel(job, self._clock.monotonic()):
            self._schedule_decision()
        record = self._records.jobs.get(job)
        if record is not None and not record.is_open:
            return Answer(outcome=Outcome.DONE, state=record.state)
        if JOB_ID_PATTERN.fullmatch(job) is None:
            return Answer(outcome=Outcome.NO_JOB)
        is_known = (
            record is not None
            or ("job", job) in self._waiters
            or self._dispatch.jobs.find_ended(job) is JobState.CANCELLED
        )
        command = CancelJob(job=job, at_ms=self._read_wall_ms())
        answer = await self._propose(command, ("cancel", job))
        if answer.outcome is Outcome.DONE and not is_known:
            return Answer(outcome=Outcome.NO_JOB)
        return answer

    def _find_queue(self, host: str, path: str) -> tuple[Queue, JobId] | Answer:
        """Return the queue and the job id that a path names, or the answer if it names none."""
        queues = self._records.queues
        if queues is None:
            return Answer(outcome=Outcome.UNAVAILABLE, detail=NO_CONFIGURATION)
        found = queues.find_queue(host, path)
        return found if found is not None else Answer(outcome=Outcome.NO_QUEUE)

    async def _wait_until_heard(self, call: Submit) -> bool:
        """Return whether the gateway of a submission has heard of the active configuration.

        The first submission of a gateway that has not is refused at once, which makes the gateway
        ask; others wait for that, for `GATEWAY_TIMEOUT` at most, so that not all of them are sent
        again to a coordinator that may be overloaded.
        """
        if self._has_heard_of_configuration(call):
            return True
        version = self._records.configuration.version if self._records.configuration else None
        if self._told_versions.get(call.gateway) != version:
            self._told_versions[call.gateway] = version
            return False
        waiting = self._waiters.wait_for(("heard", call.gateway))
        await asyncio.wait([waiting], timeout=GATEWAY_TIMEOUT.total_seconds())
        return self._has_heard_of_configuration(call)

    def _has_heard_of_configuration(self, call: Submit) -> bool:
        """Return whether the gateway of a submission has heard of the active configuration.

        It then never acts as leader by an older one, nor follows a gateway that does. If it had
        not heard of it, its callers could see the effect of a configuration, and of an older one
        after that. A contact without a version is of a coordinator that had no configuration.
        """
        configuration = self._records.configuration
        if configuration is None or not call.gateway or call.contact is None:
            return True
        known = call.contact.configuration_version
        if known is None or known >= configuration.version:
            return True
        return self._gateways.has_heard_of(call.gateway, configuration.version)

    async def _run_to_end(
        self, job: JobId, queue: Queue, call: Submit, sent_at: timedelta
    ) -> Answer:
        """Run a best-effort job, and answer when it has ended."""
        record = JobRecord(id=job, queue=queue, spec=call.spec, accepted_ms=self._read_wall_ms())
        now = self._clock.monotonic()
        submission = self._build_submission(call, sent_at)
        self._dispatch.submit(record, submission, now)
        self._schedule_decision()
        return await self._wait_for_end(job)

    def _build_submission(self, call: Submit, sent_at: timedelta) -> Submission:
        # A coordinator of an earlier try abandons the job after `GATEWAY_TIMEOUT` without contact;
        # then the leases of its runs lapse.
        until_lapsed = self._lease_terms.lapse_after + GATEWAY_TIMEOUT
        until_lapsed_after_retry = max(until_lapsed - self._caller_retry, timedelta())
        return Submission(
            gateway=call.gateway,
            home=self._gateways.find_domain(call.gateway),
            confirmed_until=sent_at + GATEWAY_TIMEOUT,
            may_have_begun=call.may_have_begun,
            may_be_of_acting_leader=call.may_be_of_acting_leader or bool(call.acting_leader_term),
            # A caller that lost its gateway sends its job again only after `caller_retry`.
            reconcile_after=until_lapsed if call.may_have_begun else until_lapsed_after_retry,
            waited=timedelta(milliseconds=call.waited_ms),
        )

    async def _wait_for_end(self, job: JobId) -> Answer:
        """Answer when a best-effort job has ended, or this host is no longer the coordinator."""
        if self._dispatch.jobs.is_open(job) and not await self._waiters.wait_for(("end", job)):
            suspects = self._dispatch.jobs.crash_tracker.list_suspects(job)
            detail = "this host is no longer the leader"
            return Answer(outcome=Outcome.UNKNOWN, detail=detail, suspects=suspects)
        rejection = self._dispatch.jobs.rejections.get(job)
        if rejection is not None:
            return _reject(job, rejection)
        if job in self._dispatch.jobs.abandoned:
            return Answer(outcome=Outcome.ABANDONED, detail="it would end too late to be useful")
        state = self._dispatch.jobs.find_ended(job)
        if state is None:
            return Answer(outcome=Outcome.UNKNOWN, detail="the job was abandoned")
        return Answer(outcome=Outcome.DONE, state=state)

    def _read_wall_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def _reject(job: JobId, rejection: Rejection) -> Answer:
    """Log that a job was rejected, and return its answer."""
    retry_after_ms = to_milliseconds(rejection.find_retry_time(job))
    log_event(
        Event.SUBMISSION_REFUSED, job=job, reason=rejection.reason, retry_after_ms=retry_after_ms
    )
    return Answer(outcome=Outcome.REJECTED, detail=rejection.reason, retry_after_ms=retry_after_ms)
