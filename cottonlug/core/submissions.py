"""Submission records of one home: the accepted submission ids and their jobs.

The home of a submission is the entry host that minted its id and holds its record. An id may start
a job only while it is younger than `id_lifetime`. The answer is kept for `retention` after the
job's end, and then a tombstone (the id alone) until the id is too old to be used. A resend
therefore either finds a record or is refused; it never starts a second job, except of an idempotent
request, whose record is dropped at its end. Ages are measured on the monotonic clock of one
generation; a store that lost its records begins a new generation.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from returns.result import Failure as Err
from returns.result import Result, Success

from .ids import (
    DomainName,
    Generation,
    HostId,
    ParsedId,
    RandomHex,
    SubmissionId,
    mint_id,
    parse_id,
)
from .jobs import Job
from .messages import Failure, JobAnswer, Refusal
from .states import FailureReason, JobState, RefusalCode, RunOutcome

CLOCK_ROUNDING = timedelta(seconds=1)
"""An id holds whole seconds, so its computed age may be off by up to this much."""


class SubmissionStore:
    """The submission records of one home in one generation."""

    def __init__(
        self,
        *,
        domain: DomainName,
        host: HostId,
        generation: Generation,
        started_at: timedelta,
        id_lifetime: timedelta,
        retention: timedelta,
        random_hex: RandomHex,
    ) -> None:
        self.domain = domain
        self.host = host
        self.generation = generation
        self.id_lifetime = id_lifetime
        self.jobs: dict[SubmissionId, Job] = {}
        self._started_at = started_at
        self._retention = retention
        self._random_hex = random_hex
        self._ended: deque[Job] = deque()
        self._tombstones: dict[SubmissionId, timedelta] = {}

    def mint(self, now: timedelta) -> SubmissionId:
        """Return a new id of this home."""
        return mint_id(
            domain=self.domain,
            host=self.host,
            generation=self.generation,
            age=now - self._started_at,
            random_hex=self._random_hex,
        )

    def find_submission(self, id: SubmissionId, now: timedelta) -> Result[Job | JobAnswer, Refusal]:
        """Return the job of an id; an id of another generation gets the answer `record_lost`.

        Refused are ids that have no record, and those whose answer was dropped after `retention`.
        """
        job = self.jobs.get(id)
        if job is not None:
            return Success(job)
        parsed = parse_id(id)
        if parsed is None or not self._is_home_of(parsed):
            return Err(_refuse_unknown(id))
        if parsed.generation != self.generation:
            return Success(build_lost_answer(id))
        if id in self._tombstones:
            return Err(_refuse_expired(id))
        return Err(_refuse_unknown(id))

    def check_new_id(self, id: SubmissionId, now: timedelta) -> Refusal | None:
        """Return why an id without a record must not start a job, or None if it may."""
        parsed = parse_id(id)
        if parsed is None or not self._is_home_of(parsed):
            return _refuse_unknown(id)
        age = now - self._started_at - parsed.minted
        # An id from the future, beyond any rounding, was not minted here.
        if parsed.generation != self.generation or age < timedelta(seconds=-1):
            return _refuse_unknown(id)
        if age > self.id_lifetime or id in self._tombstones:
            return _refuse_expired(id)
        return None

    def add(self, job: Job) -> None:
        """Record an accepted job."""
        self.jobs[job.id] = job

    def start_retention(self, job: Job) -> None:
        """Start the retention period of an ended job."""
        self._ended.append(job)

    def forget(self, job: Job) -> None:
        """Drop the record of an ended job at once, since no caller can query it any more."""
        del self.jobs[job.id]

    def expire(self, now: timedelta) -> None:
        """Replace ended jobs past their retention by tombstones, and drop expired tombstones."""
        while self._ended and now > (self._ended[0].ended_at or now) + self._retention:
            job = self._ended.popleft()
            del self.jobs[job.id]
            # The id was minted before the job was accepted, so it is too old by then.
            self._tombstones[job.id] = max(now, job.accepted_at + self.id_lifetime)
        while self._tombstones:
            id, until = next(iter(self._tombstones.items()))
            if now <= until + CLOCK_ROUNDING:
                return
            del self._tombstones[id]

    def _is_home_of(self, parsed: ParsedId) -> bool:
        return parsed.domain == self.domain and parsed.host == self.host


def build_lost_answer(id: SubmissionId) -> JobAnswer:
    """Return the final answer for a submission whose record is lost."""
    failure = Failure(
        reason=FailureReason.RECORD_LOST,
        detail="the home of this submission lost its records; its tasks may have run",
        all_may_have_run=True,
    )
    return JobAnswer(id=id, state=JobState.FAILED, failure=failure)


def _refuse_unknown(id: SubmissionId) -> Refusal:
    return Refusal(
        code=RefusalCode.UNKNOWN_ID,
        message=f"submission id {id!r} was not minted here; request one with POST /v1/ids",
    )


def _refuse_expired(id: SubmissionId) -> Refusal:
    return Refusal(
        code=RefusalCode.EXPIRED_ID,
        message=f"submission id {id} is too old; its job may have run and its answer is gone",
        outcome=RunOutcome.UNKNOWN,
    )
