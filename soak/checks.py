"""Promises of the system, checked from what callers and upstreams have seen.

Promises that hold only for hosts in touch are checked where no host was disrupted for a while, so
fewer cases are judged than the users' page allows. `find_gaps` tells what could not be judged.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .history import ENDED_STATES, REJECTED, History, Job, Run
from .record import Event, EventKind, Record, read_detail
from .upstreams import RunEnd, hash_spec


class Rule(Enum):
    """A promise."""

    TWICE = "two runs of a task at a time, or one after its success was taken note of"
    REFUSED = "a task starts although its job was refused"
    ORDER = "a task starts before those that it depends on are done"
    LIMIT = "a start exceeds the capacity of its upstream"
    UNASKED = "a task runs that nobody has asked for, or whose job was cancelled"
    LOST = "an accepted job is gone, does not end, or ends without cause"
    MIXED = "a job is shown as what it is not"
    BUDGET = "a task starts after its last attempt has failed"
    ONE = "two hosts order under one fencing token"


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """A broken promise, with the events that prove it."""

    rule: Rule
    message: str
    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Times that the promises allow."""

    contact: timedelta = timedelta(seconds=3)
    """Time without a disruption after which a host is in touch (`contact_ms`)."""
    cancel: timedelta = timedelta(seconds=3)
    """From the acknowledgement of a cancel to the last start of the job (`cancel_ms`)."""
    stop: timedelta = timedelta(milliseconds=50)
    visible: timedelta = timedelta(seconds=3)
    """From the acceptance of a job until its state must be known (`visible_ms`)."""
    keep_ended: timedelta = timedelta(seconds=120)
    """How long the state of an ended job must be known (`status_s`)."""
    finish: timedelta = timedelta(seconds=14)
    """How long jobs may take beyond their work after the last disruption (`finish_s`)."""
    shown: timedelta = timedelta(seconds=1)
    """From the moment at which a job is shown as completed to the last start of a task of it."""


Check = Callable[[History, Bounds], Iterator[Violation]]


def find_violations(record: Record, bounds: Bounds | None = None) -> list[Violation]:
    """Return all broken promises of a record, by the time of the event that breaks each."""
    history = History(record)
    found = [violation for check in CHECKS for violation in check(history, bounds or Bounds())]
    return sorted(found, key=lambda violation: violation.events[-1].at)


def find_gaps(record: Record, bounds: Bounds | None = None) -> list[str]:
    """Return why some promises cannot be judged from a record; empty if all can."""
    history, bounds = History(record), bounds or Bounds()
    gaps = [
        f"{event.source}: {event.detail} has no end, so no job counts as lost"
        for _, ended, event in history.disruptions
        if ended == timedelta.max
    ]
    open_jobs = [id for id, job in history.jobs.items() if _find_deadline(history, job, bounds)]
    too_early = [id for id in open_jobs if not _is_over(history, history.jobs[id], bounds)]
    if too_early and not gaps:
        gaps.append(f"the record ends too early to tell whether {', '.join(too_early)} are lost")
    if not history.holders:
        gaps.append("no sender of an order is known, so holders of a token cannot be compared")
    return gaps


def _find_overlaps(history: History, bounds: Bounds) -> Iterator[Violation]:
    for task, runs in history.runs.items():
        for at, later in enumerate(runs):
            for earlier in runs[:at]:
                if later.start.at < earlier.ended_at:
                    both = min(earlier.ended_at, later.ended_at, history.ends_at) - later.start.at
                    message = f"{_describe(later)} begins while {_describe(earlier)} is active"
                    yield Violation(
                        rule=Rule.TWICE,
                        message=f"{task}: {message}; both are for {both.total_seconds():.3f} s",
                        events=(earlier.start, later.start),
                    )


def _find_starts_after_success(history: History, bounds: Bounds) -> Iterator[Violation]:
    for task, run, job in _list_runs(history):
        if job.plan is None or not job.plan.is_durable:
            continue
        start = run.start
        for earlier in history.runs[task]:
            if earlier.confirmed and earlier.has_ended(
                RunEnd.DONE, start.at - timedelta.resolution
            ):
                assert earlier.end is not None
                message = f"{task}: {_describe(run)} begins after {_describe(earlier)} was done"
                events = (earlier.end, earlier.confirmed, start)
                yield Violation(rule=Rule.TWICE, message=message, events=events)
        for shown in job.find_shown("completed"):
            if _is_forbidden_from(history, start, shown.at + bounds.shown, bounds):
                message = f"{task}: {_describe(run)} begins after the job was shown as completed"
                yield Violation(rule=Rule.TWICE, message=message, events=(shown, start))
                break


def _find_refused_starts(history: History, bounds: Bounds) -> Iterator[Violation]:
    for task, run, job in _list_runs(history):
        answers = [each.answer for each in job.submissions if each.status in REJECTED]
        if answers and len(answers) == len(job.submissions):
            message = f"{task}: {_describe(run)} begins, but all submissions were refused"
            events = tuple(answer for answer in answers if answer is not None)
            yield Violation(rule=Rule.REFUSED, message=message, events=(*events, run.start))


def _find_early_starts(history: History, bounds: Bounds) -> Iterator[Violation]:
    for task, run, job in _list_runs(history):
        step = job.plan.find_step(task) if job.plan is not None else None
        if job.plan is None or step is None:
            continue
        for earlier in job.plan.list_tasks(job.plan.steps[step].depends_on):
            if not _is_done(history, earlier, run.start.at):
                message = f"{task}: {_describe(run)} begins before {earlier} is done"
                yield Violation(rule=Rule.ORDER, message=message, events=(run.start,))
                break


def _find_exceeded_capacities(history: History, bounds: Bounds) -> Iterator[Violation]:
    active: dict[str, dict[tuple[str, int], tuple[int, int]]] = {}
    # Of events at one time, ends free their capacity first.
    changes = [event for event in history.events if event.kind in (EventKind.START, EventKind.END)]
    for event in sorted(changes, key=lambda event: (event.at, event.kind is EventKind.START)):
        needs = active.setdefault(event.source, {})
        if event.kind is EventKind.END:
            needs.pop((event.task, event.run), None)
            continue
        plan = history.find_plan(event.task)
        step = plan.find_step(event.task) if plan is not None else None
        if plan is None or step is None:
            continue
        needs[event.task, event.run] = (plan.steps[step].cpu_millis, plan.steps[step].memory_mb)
        cpu, memory = (sum(need[at] for need in needs.values()) for at in (0, 1))
        detail = read_detail(event)
        if cpu > detail["cpu"] or memory > detail["mem_mb"]:
            message = f"{event.task}: a start brings {event.source} to {cpu} and {memory} MB"
            yield Violation(rule=Rule.LIMIT, message=message, events=(event,))


def _find_unasked_starts(history: History, bounds: Bounds) -> Iterator[Violation]:
    for task, run, job in _list_runs(history):
        start, detail = run.start, read_detail(run.start)
        reason = ""
        if job.plan is None or job.submissions[0].sent.at > start.at:
            reason = "nobody had submitted its job"
        elif job.plan.find_step(task) is None:
            reason = "its job has no such task"
        elif detail["spec"] != hash_spec(job.plan.spec):
            reason = "the specification is another one"
        elif detail["checkpoint"]:
            reason = "the task has no checkpoint"
        if reason:
            message = f"{task}: {_describe(run)} begins, but {reason}"
            yield Violation(rule=Rule.UNASKED, message=message, events=(start,))


def _find_runs_after_cancel(history: History, bounds: Bounds) -> Iterator[Violation]:
    for task, run, job in _list_runs(history):
        cancelled = job.cancelled
        if cancelled is None:
            continue
        if _is_forbidden_from(history, run.start, cancelled.at + bounds.cancel, bounds):
            message = f"{task}: {_describe(run)} begins after its job was cancelled"
            yield Violation(rule=Rule.UNASKED, message=message, events=(cancelled, run.start))
            continue
        # Whatever runs has to be gone after the first calm time that is long enough.
        calm_from = max(cancelled.at, run.start.at)
        for began, ended, _ in sorted(history.disruptions, key=lambda each: each[0]):
            if began <= calm_from + bounds.cancel + bounds.stop and ended < timedelta.max:
                calm_from = max(calm_from, ended + bounds.contact)
            elif began <= calm_from + bounds.cancel + bounds.stop:
                calm_from = history.ends_at
        gone_by = calm_from + bounds.cancel + bounds.stop
        if gone_by < min(run.ended_at, history.ends_at):
            message = f"{task}: {_describe(run)} goes on after its job was cancelled"
            events = (cancelled, run.start, *([run.end] if run.end else []))
            yield Violation(rule=Rule.UNASKED, message=message, events=events)


def _find_lost_jobs(history: History, bounds: Bounds) -> Iterator[Violation]:
    for id, job in history.jobs.items():
        accepted, plan = job.accepted, job.plan
        if accepted is None or plan is None or not plan.is_durable:
            continue
        for shown in job.find_shown("failed"):
            if not _has_cause(history, job, shown.at):
                message = f"{id}: shown as failed, but no task has failed that often"
                yield Violation(rule=Rule.LOST, message=message, events=(accepted, shown))
        if job.cancels:
            continue
        for shown in job.find_shown("cancelled"):
            message = f"{id}: shown as cancelled, but nobody has cancelled it"
            yield Violation(rule=Rule.LOST, message=message, events=(accepted, shown))
        yield from _find_unknown_answers(history, id, job, accepted, bounds)
        deadline = _find_deadline(history, job, bounds)
        shown_by = [shown.at for shown in job.find_shown(*ENDED_STATES)]
        if (
            deadline is not None
            and _is_over(history, job, bounds)
            and min(shown_by, default=timedelta.max) > deadline
        ):
            seconds = deadline.total_seconds()
            message = f"{id}: not shown as ended by {seconds:.3f} s"
            yield Violation(rule=Rule.LOST, message=message, events=(accepted,))


def _find_unknown_answers(
    history: History, id: str, job: Job, accepted: Event, bounds: Bounds
) -> Iterator[Violation]:
    forgotten_from = min(
        (shown.at + bounds.keep_ended for shown in job.find_shown(*ENDED_STATES)),
        default=timedelta.max,
    )
    for read in job.reads:
        if read.status != 410 or read.answer is None or read.answer.at >= forgotten_from:
            continue
        is_visible = read.sent.at > accepted.at + bounds.visible
        if is_visible and history.is_calm(read.sent.at - bounds.contact, read.answer.at):
            message = f"{id}: {read.answer.source} does not know it"
            yield Violation(rule=Rule.LOST, message=message, events=(accepted, read.answer))


def _find_wrong_states(history: History, bounds: Bounds) -> Iterator[Violation]:
    for id, job in history.jobs.items():
        if job.plan is None:
            for read in job.reads:
                if read.answer is not None and read.is_success:
                    message = f"{id}: shown, but nobody has submitted it"
                    yield Violation(rule=Rule.MIXED, message=message, events=(read.answer,))
            continue
        for shown in job.find_shown("completed"):
            missing = [
                task for task in job.plan.list_tasks() if not _is_done(history, task, shown.at)
            ]
            if missing:
                message = f"{id}: shown as completed before {', '.join(missing)} were done"
                yield Violation(rule=Rule.MIXED, message=message, events=(shown,))


def _find_exceeded_budgets(history: History, bounds: Bounds) -> Iterator[Violation]:
    for task, run, job in _list_runs(history):
        if job.plan is None or not job.plan.is_durable:
            continue
        failed = [
            earlier.end
            for earlier in history.runs[task]
            if earlier.end
            and earlier.confirmed
            and earlier.has_ended(RunEnd.FAILED, run.start.at - timedelta.resolution)
        ]
        if len(failed) >= job.plan.max_attempts:
            message = f"{task}: {_describe(run)} begins after {len(failed)} failed"
            yield Violation(rule=Rule.BUDGET, message=message, events=(*failed, run.start))


def _find_shared_tokens(history: History, bounds: Bounds) -> Iterator[Violation]:
    for token, senders in history.holders.items():
        if len(senders) > 1:
            message = f"{' and '.join(sorted(senders))} order under token {token}"
            yield Violation(rule=Rule.ONE, message=message, events=tuple(senders.values()))


CHECKS: tuple[Check, ...] = (
    _find_overlaps,
    _find_starts_after_success,
    _find_refused_starts,
    _find_early_starts,
    _find_exceeded_capacities,
    _find_unasked_starts,
    _find_runs_after_cancel,
    _find_lost_jobs,
    _find_wrong_states,
    _find_exceeded_budgets,
    _find_shared_tokens,
)


def _list_runs(history: History) -> Iterator[tuple[str, Run, Job]]:
    for task, runs in list(history.runs.items()):
        for run in runs:
            yield task, run, history.jobs[run.start.job]


def _describe(run: Run) -> str:
    return f"run {run.start.run} at {run.start.source}"


def _is_done(history: History, task: str, until: timedelta) -> bool:
    return any(run.has_ended(RunEnd.DONE, until) for run in history.runs.get(task, []))


def _is_forbidden_from(history: History, start: Event, limit: timedelta, bounds: Bounds) -> bool:
    """Return whether a start is later than a limit that binds hosts in touch."""
    is_in_touch = history.is_calm(start.at - bounds.contact, start.at)
    return start.at > limit and is_in_touch and not read_detail(start)["is_late"]


def _has_cause(history: History, job: Job, until: timedelta) -> bool:
    """Return whether a task of a job has failed as often as its queue allows."""
    assert job.plan is not None
    for task in job.plan.list_tasks():
        failed = [run for run in history.runs.get(task, []) if run.has_ended(RunEnd.FAILED, until)]
        if len(failed) >= job.plan.max_attempts:
            return True
    return False


def _find_deadline(history: History, job: Job, bounds: Bounds) -> timedelta | None:
    """Return by when a job must be shown as ended; None if it need not be, or nobody can tell."""
    if job.accepted is None or job.plan is None or not job.plan.is_durable or job.cancels:
        return None
    calm_from = [ended for _, ended, _ in history.disruptions]
    if timedelta.max in calm_from:
        return None
    calm_from = [ended + bounds.contact for ended in calm_from]
    return max([job.accepted.at, *calm_from]) + job.plan.find_longest_time(bounds.finish)


def _is_over(history: History, job: Job, bounds: Bounds) -> bool:
    """Return whether the record says by its end if a job was ended in time."""
    deadline = _find_deadline(history, job, bounds)
    is_shown = bool(job.find_shown(*ENDED_STATES))
    return deadline is not None and (is_shown or history.ends_at >= deadline)
