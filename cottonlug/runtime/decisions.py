"""Logging of scheduling decisions about single jobs, runs and upstreams.

Decisions that refuse, fail or move work, or take it over from another coordinator, are always
logged, routine ones only for a sample of the jobs. The sample depends on the job's id alone, so
every process logs all decisions about a sampled job.
"""

from __future__ import annotations

import zlib

from .events import Event, log_event

SAMPLE_ONE_IN = 16
"""One job in this many is sampled: at 70 jobs a second the leader writes about 40 routine lines
(10 KB) a second."""
ROUTINE_DECISIONS = frozenset({"job_taken", "run_started", "run_ended", "job_ended"})
"""A job that another coordinator may have begun is no routine: it is always logged as taken."""


def is_sampled(job: str) -> bool:
    """Whether routine decisions about a job are logged."""
    return zlib.crc32(job.encode()) % SAMPLE_ONE_IN == 0


def log_decision(name: str, fields: dict[str, str | int]) -> None:
    """Log a decision with the values that led to it; skip routine ones of unsampled jobs."""
    is_routine = name in ROUTINE_DECISIONS and not fields.get("has_begun")
    if is_routine and not is_sampled(str(fields.get("job", ""))):
        return
    log_event(Event.DECISION, decision=name, **fields)
