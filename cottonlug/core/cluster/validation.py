"""Validates configurations and jobs; the problems found are shown to operators and callers."""

from __future__ import annotations

import re

from .model import Configuration, JobSpec, QueueKey, StepSpec

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
"""Ids of jobs: the end of the path to which a job is submitted, after the queue's prefix."""
MAX_PAYLOAD_BYTES = 4_000
MAX_TASKS = 4_096
"""Most tasks of a job in one occurrence; jobs of up to 1,100 are what the design is made for."""
MAX_TIMED_TASKS = 65_536
"""Most tasks of a job in all its occurrences together."""
MAX_ESTIMATE_MS = 30 * 24 * 60 * 60 * 1_000
"""Longest declared run time of a task: 30 days."""
MAX_AMOUNT = 1_000_000_000
"""Upper bound of the other numbers of a step: no upstream has as much of anything, and all that is
computed from them stays finite."""
MAX_WALL_MS = 253_402_300_799_999
"""The end of the year 9999, in milliseconds since 1970."""


def find_configuration_problem(configuration: Configuration) -> str | None:
    """Return why a configuration cannot become active, or None."""
    if configuration.version < 1:
        return "the version must be 1 or more"
    services = [service.name for service in configuration.services]
    if len(set(services)) < len(services):
        return "a service is listed twice"
    seen: set[QueueKey] = set()
    for queue in configuration.queues:
        if queue.service not in services:
            return f"queue {queue.name!r} names the unknown service {queue.service!r}"
        if queue.key in seen:
            return f"queue {queue.name!r} has the same host and prefix as another one"
        if queue.timeout_ms < 1:
            return f"queue {queue.name!r} must have a timeout of at least 1 ms"
        if not queue.prefix.startswith("/"):
            return f"queue {queue.name!r} has a prefix that does not begin with /"
        if queue.max_attempts < 1:
            return f"queue {queue.name!r} must allow at least one attempt"
        seen.add(queue.key)
    return None


def find_job_problem(spec: JobSpec) -> str | None:
    """Return why a job can never be accepted, or None."""
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        return f"the payload is longer than {MAX_PAYLOAD_BYTES} bytes"
    if not spec.steps:
        return "a job must have at least one step"
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        return f"a job has at most {MAX_TASKS} tasks"
    if sum(step.count for step in spec.steps) * spec.occurrences > MAX_TIMED_TASKS:
        return f"a job has at most {MAX_TIMED_TASKS} tasks in all its occurrences"
    if min(spec.repeat_count, spec.start_at_ms, spec.interval_ms) < 0:
        return "repeat_count, start_at_ms and interval_ms must not be negative"
    if max(spec.start_at_ms, spec.interval_ms) > MAX_WALL_MS:
        return f"start_at_ms and interval_ms are at most {MAX_WALL_MS}"
    if spec.is_timed and spec.long_running:
        return "a long-running job cannot repeat"
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            return f"step {number} has no tasks"
        if min(step.needs.cpu_millis, step.needs.memory_mb, step.needs.gpus) < 0:
            return f"step {number} has negative resource needs"
        if not 0 <= step.estimate_ms <= MAX_ESTIMATE_MS:
            return f"step {number} has a run time below 0 or over {MAX_ESTIMATE_MS} ms"
        problem = _find_amount_problem(step)
        if problem is not None:
            return f"step {number} has {problem}"
        if any(not 0 <= earlier < number for earlier in step.depends_on):
            return f"step {number} depends on a step that does not precede it"
    return None


def _find_amount_problem(step: StepSpec) -> str | None:
    """Return what is wrong with the numbers of a step that have a common bound, or None."""
    needs = step.needs
    if max(needs.cpu_millis, needs.memory_mb, needs.gpus) > MAX_AMOUNT:
        return f"resource needs over {MAX_AMOUNT}"
    others = (step.max_per_upstream, step.target_ms, step.max_unavailable)
    if not 0 <= min(others) <= max(others) <= MAX_AMOUNT:
        return f"a limit below 0 or over {MAX_AMOUNT}"
    return None


def find_unsupported_feature(spec: JobSpec) -> str | None:
    """Return the first requested feature that is not implemented (docs/jobs.md), or None."""
    for step in spec.steps:
        if step.gang:
            return "gang"
        if step.fills:
            return "fills"
    return None
