"""Which upstream the next task goes to."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .ids import TaskKey
from .jobs import Job, JobSpec
from .sessions import Session, fits_now


@dataclass(frozen=True, slots=True)
class Placement:
    """A task placed on a session, to go out in its next reply."""

    job: Job
    key: TaskKey


def choose_session(ready: Iterable[Session], spec: JobSpec) -> Session | None:
    """Return the least loaded session that the task fits, or None."""
    best: Session | None = None
    for session in ready:
        if not fits_now(session, spec):
            continue
        if best is None or session.load < best.load:
            best = session
    return best
