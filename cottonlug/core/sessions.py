"""The entry host's side of one upstream's session.

The upstream connects and numbers its sessions and requests; the host answers each request once, and
may park it until there is something to send. Each request renews the session's lease. A start (a
task that was sent) stays outstanding until one of these: its result arrives; a newer session of the
same incarnation (run of the upstream's process) neither holds nor reports it (proof that it did not
start); or the session ends because the lease ran out, the upstream left or it was restarted (its
outcome is then unknown).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from .ids import Incarnation, SessionNumber, TaskKey, UpstreamId
from .jobs import JobSpec
from .messages import Announcement, Needs, TaskName
from .states import SessionState


@dataclass(slots=True, kw_only=True)
class Session:
    """State of one upstream's session at one entry host.

    `expires_at` is when the lease runs out. `credit` is how many outstanding starts the upstream
    accepts. `open_requests` are the numbers of requests not yet answered, oldest first, and `stops`
    the tasks that the next reply stops. `ordinal` counts the sessions in the order of opening.
    `entry_version` is the version of the session's current entry among the ready sessions (see
    `placement`).
    """

    upstream: UpstreamId
    incarnation: Incarnation
    number: SessionNumber
    announcement: Announcement
    last_heard: timedelta
    expires_at: timedelta
    credit: int = 0
    entry_version: int = 0
    ordinal: int = 0
    state: SessionState = SessionState.ACTIVE
    outstanding: dict[TaskKey, Needs] = field(default_factory=dict)
    open_requests: deque[int] = field(default_factory=deque)
    stops: list[TaskName] = field(default_factory=list)
    used_processors: float = 0.0
    used_memory_mb: int = 0
    used_accelerators: int = 0

    @property
    def free_capacity(self) -> int:
        """Number of further starts that this session can take now."""
        if self.state is not SessionState.ACTIVE or not self.open_requests:
            return 0
        return self.credit - len(self.outstanding)

    @property
    def load(self) -> float:
        """Ratio of outstanding starts to credit, by which the least loaded session is chosen."""
        return len(self.outstanding) / self.credit if self.credit else float("inf")


def could_ever_fit(announcement: Announcement, spec: JobSpec) -> bool:
    """Whether an idle upstream with this announcement could run a task of the job."""
    needs = spec.needs
    has_labels = all(announcement.labels.get(name) == value for name, value in spec.pool.items())
    return (
        has_labels
        and needs.processors <= announcement.processors
        and needs.memory_mb <= announcement.memory_mb
        and needs.accelerators <= announcement.accelerators
    )


def fits_now(session: Session, spec: JobSpec) -> bool:
    """Whether one more task of the job fits next to the outstanding starts."""
    announcement = session.announcement
    needs = spec.needs
    return (
        session.free_capacity > 0
        and could_ever_fit(announcement, spec)
        and session.used_processors + needs.processors <= announcement.processors
        and session.used_memory_mb + needs.memory_mb <= announcement.memory_mb
        and session.used_accelerators + needs.accelerators <= announcement.accelerators
    )


def add_outstanding(session: Session, key: TaskKey, needs: Needs) -> None:
    """Add a start to the session and reserve its resources."""
    session.outstanding[key] = needs
    session.used_processors += needs.processors
    session.used_memory_mb += needs.memory_mb
    session.used_accelerators += needs.accelerators


def remove_outstanding(session: Session, key: TaskKey) -> bool:
    """Remove a start and release its resources; False if it was not outstanding in this session."""
    needs = session.outstanding.pop(key, None)
    if needs is None:
        return False
    session.used_processors -= needs.processors
    session.used_memory_mb -= needs.memory_mb
    session.used_accelerators -= needs.accelerators
    return True
