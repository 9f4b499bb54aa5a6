"""Log lines of decisions: the ones that refuse, fail or move work always, routine ones of a sample.

The sample is drawn by the job's id, so that a job which is in it is in it whole, in every process.
"""

from __future__ import annotations

import zlib

from .events import Event, log_event

SAMPLE_ONE_IN = 16
"""At 70 jobs a second that is about 40 routine lines a second of the leader, 10 KB."""
ROUTINE = frozenset({"job_taken", "run_started", "run_ended", "job_ended"})


def is_sampled(job: str) -> bool:
    """Whether routine lines about a job are written."""
    return zlib.crc32(job.encode()) % SAMPLE_ONE_IN == 0


def note_decision(name: str, fields: dict[str, str | int]) -> None:
    """Log a decision and what decided it."""
    if name in ROUTINE and not is_sampled(str(fields.get("job", ""))):
        return
    log_event(Event.DECISION, decision=name, **fields)
