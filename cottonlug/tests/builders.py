"""Builders shared by the tests."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

from msgspec import Raw

from ..core.clock import ManualClock
from ..core.dispatcher import DEFAULT_POLICY, Dispatcher
from ..core.execution import Delays, Executor
from ..core.ids import (
    DomainName,
    Generation,
    HostId,
    Incarnation,
    KindName,
    SubmissionId,
    TeamName,
    UpstreamId,
)
from ..core.intake import build_job
from ..core.jobs import Job
from ..core.limits import Limits
from ..core.messages import Announcement, SubmitRequest
from ..core.policy import Policy
from ..core.retries import RetryBudget
from ..core.submissions import SubmissionStore

HOST = HostId("e1")
DOMAIN = DomainName("ridge-hut")


def build_clock() -> ManualClock:
    return ManualClock(start=datetime(2026, 1, 1, tzinfo=UTC))


def build_store(generation: str = "00000001", lifetime_s: float = 600) -> SubmissionStore:
    numbers = iter(range(1, 1_000_000))
    return SubmissionStore(
        domain=DOMAIN,
        host=HOST,
        generation=Generation(generation),
        started_at=timedelta(),
        id_lifetime=timedelta(seconds=lifetime_s),
        retention=timedelta(seconds=120),
        random_hex=lambda count: f"{next(numbers):0{2 * count}x}",
    )


def build_dispatcher(policy: Policy = DEFAULT_POLICY, retries: int = 100) -> Dispatcher:
    budget = RetryBudget(ratio=0.1, burst=retries)
    return Dispatcher(store=build_store(), limits=Limits(), retry_budget=budget, policy=policy)


def build_executor(
    name: str, incarnation: str = "a", slots: int = 2, hosts: tuple[HostId, ...] = (HOST,)
) -> Executor:
    return Executor(
        upstream=UpstreamId(name),
        incarnation=Incarnation(incarnation),
        announcement=Announcement(slots=slots, processors=8.0, memory_mb=1024),
        hosts=hosts,
        delays=Delays(),
    )


def build_test_job(
    id: SubmissionId,
    count: int,
    now: timedelta,
    *,
    idempotent: bool = False,
    deadline_ms: int = 60_000,
    team: str = "t",
) -> Job:
    request = SubmitRequest(
        team=TeamName(team),
        kind=KindName("echo"),
        tasks=[Raw(str(index).encode()) for index in range(count)],
        deadline_ms=deadline_ms,
    )
    return build_job(id=id, request=request, rule=None, idempotent=idempotent, now=now).unwrap()
