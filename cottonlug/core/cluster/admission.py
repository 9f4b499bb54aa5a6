"""Which jobs are rejected at once, because they would not be served in time."""

from __future__ import annotations

from dataclasses import dataclass

from .dispatch import Dispatch
from .model import JobSpec, Queue


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Why a job is not taken, and when its caller should come back."""

    reason: str
    retry_after_ms: int


def find_rejection(dispatch: Dispatch, queue: Queue, spec: JobSpec) -> Rejection | None:
    """Return why a job is not taken at the moment, or None."""
    return None
