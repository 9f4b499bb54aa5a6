"""Turns a caller's request into a job: checks its bounds, applies a rule and computes a digest.

The rule is the first one in the active configuration that matches the request, if any (`rules`).
"""

from __future__ import annotations

import hashlib
from datetime import time, timedelta

from returns.result import Failure as Err
from returns.result import Result, Success

from .clock import milliseconds
from .ids import DomainName, SubmissionId, TeamName
from .jobs import Job, JobSpec
from .messages import MAX_TASKS_PER_JOB, Refusal, SingleRequest, SubmitRequest
from .rules import Rule, RuleInput
from .states import RefusalCode, RunOutcome

MAX_DEADLINE_MS = 24 * 3_600_000
MAX_PRIORITY = 9
MAX_LABELS = 32
MAX_NAME_LENGTH = 63
DEFAULT_ATTEMPTS = 3
"""Attempts at a task of an idempotent request, retries included, unless a rule sets another number;
other tasks are not retried."""
_DIGEST_BYTES = 16


def check_submit(request: SubmitRequest, max_payload_bytes: int) -> Refusal | None:
    """Return why a job request is invalid, or None if it is valid."""
    if not request.tasks:
        return _refuse("a job needs at least one task", "$.tasks")
    if len(request.tasks) > MAX_TASKS_PER_JOB:
        count = len(request.tasks)
        return _refuse(f"{count} tasks; a job has at most {MAX_TASKS_PER_JOB}", "$.tasks")
    for index, payload in enumerate(request.tasks):
        if len(bytes(payload)) > max_payload_bytes:
            return Refusal(
                code=RefusalCode.TOO_LARGE,
                message=f"a payload has at most {max_payload_bytes} bytes",
                path=f"$.tasks[{index}]",
            )
    if not 1 <= len(request.team) <= MAX_NAME_LENGTH:
        return _refuse(f"a team has 1 to {MAX_NAME_LENGTH} characters", "$.team")
    if not 1 <= len(request.kind) <= MAX_NAME_LENGTH:
        return _refuse(f"a kind has 1 to {MAX_NAME_LENGTH} characters", "$.kind")
    if not 0 <= request.priority <= MAX_PRIORITY:
        return _refuse(f"a priority is 0 (first) to {MAX_PRIORITY}", "$.priority")
    if not 1 <= request.deadline_ms <= MAX_DEADLINE_MS:
        return _refuse(f"a deadline is 1 to {MAX_DEADLINE_MS} ms", "$.deadline_ms")
    if request.timeout_ms is not None and not 1 <= request.timeout_ms <= MAX_DEADLINE_MS:
        return _refuse(f"a timeout is 1 to {MAX_DEADLINE_MS} ms", "$.timeout_ms")
    if request.run_time_ms is not None and not 0 <= request.run_time_ms <= MAX_DEADLINE_MS:
        return _refuse(f"a run time is 0 to {MAX_DEADLINE_MS} ms", "$.run_time_ms")
    if len(request.labels) > MAX_LABELS:
        return _refuse(f"at most {MAX_LABELS} labels", "$.labels")
    needs = request.needs
    if needs.processors < 0 or needs.memory_mb < 0 or needs.accelerators < 0:
        return _refuse("needs must not be negative", "$.needs")
    return None


def build_submit_request(request: SingleRequest) -> SubmitRequest:
    """Return a single request as a job of one task."""
    return SubmitRequest(
        id=request.id,
        team=request.team,
        kind=request.kind,
        tasks=[request.payload],
        labels=request.labels,
        priority=request.priority,
        deadline_ms=request.deadline_ms,
        timeout_ms=request.timeout_ms,
        run_time_ms=request.run_time_ms,
        needs=request.needs,
    )


def build_rule_input(
    request: SubmitRequest, domain: DomainName, idempotent: bool, time_of_day: time
) -> RuleInput:
    """Return the attributes of a job request that the rules are matched against."""
    return RuleInput(
        team=request.team,
        kind=request.kind,
        domain=domain,
        labels=request.labels,
        size=len(request.tasks),
        priority=request.priority,
        idempotent=idempotent,
        time_of_day=time_of_day,
    )


def build_job(
    *,
    id: SubmissionId,
    request: SubmitRequest,
    rule: Rule | None,
    idempotent: bool,
    now: timedelta,
) -> Result[Job, Refusal]:
    """Return the job with the rule's settings applied, or the rule's rejection.

    `now` is the time of acceptance, from which the request's deadline counts.
    """
    if rule is not None and rule.then.reject is not None:
        return Err(
            Refusal(
                code=RefusalCode.REJECTED_BY_RULE,
                message=f"rule {rule.name!r}: {rule.then.reject}",
                outcome=RunOutcome.NOT_RUN,
            )
        )
    deadline = milliseconds(request.deadline_ms)
    spec = JobSpec(
        team=TeamName(str(request.team)),
        kind=request.kind,
        labels=request.labels,
        priority=_choose_priority(request, rule),
        timeout=_choose_timeout(request, rule, deadline),
        needs=request.needs,
        pool=rule.then.pool if rule else {},
        idempotent=idempotent,
        max_attempts=(rule.then.max_attempts if rule else None) or DEFAULT_ATTEMPTS,
    )
    # Copy each payload: a Raw is a view that would keep the whole request body in memory.
    payloads = [payload.copy() for payload in request.tasks]
    job = Job(
        id=id,
        spec=spec,
        payloads=payloads,
        digest=compute_digest(request),
        accepted_at=now,
        deadline_at=now + deadline,
    )
    return Success(job)


def compute_digest(request: SubmitRequest) -> bytes:
    """Return a digest of the content that a resend must repeat: team, kind and payloads."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.team.encode(), request.kind.encode(), *map(bytes, request.tasks)):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _choose_priority(request: SubmitRequest, rule: Rule | None) -> int:
    if rule is not None and rule.then.priority is not None:
        return rule.then.priority
    return request.priority


def _choose_timeout(request: SubmitRequest, rule: Rule | None, deadline: timedelta) -> timedelta:
    timeouts = [deadline]
    if request.timeout_ms is not None:
        timeouts.append(milliseconds(request.timeout_ms))
    if rule is not None and rule.then.timeout is not None:
        timeouts.append(rule.then.timeout)
    return min(timeouts)


def _refuse(message: str, path: str) -> Refusal:
    return Refusal(code=RefusalCode.INVALID, message=message, path=path)
