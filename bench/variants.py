"""The product's code with one mechanism switched off, or one of its figures halved or doubled."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from datetime import timedelta
from typing import Any

from cottonlug.core.cluster import (
    admission,
    backlog,
    capacity_index,
    crash_tracker,
    crashes,
    forecast,
    instance_table,
    instances,
    open_jobs,
    progress,
    response_timeout,
    scheduler,
    throughput,
    upstream_health,
    watcher,
)

Variant = Callable[[], AbstractContextManager[None]]
NO_TIME = timedelta()


@contextmanager
def replace(owner: Any, name: str, value: object) -> Iterator[None]:
    """Replace an attribute for a while."""
    kept = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, kept)


def replacing(*changes: tuple[Any, str, object]) -> Variant:
    """Return the variant in which some attributes have other values."""

    @contextmanager
    def variant() -> Iterator[None]:
        with ExitStack() as stack:
            for owner, name, value in changes:
                stack.enter_context(replace(owner, name, value))
            yield

    return variant


def _add_by_arrival(self: Any, batch: backlog.Batch) -> None:
    batch.latest_useful_start = batch.latest_start + timedelta(days=9)
    backlog.Backlog.add_unchanged(self, batch)  # type: ignore[attr-defined]


def _estimate_no_delay(self: Any, tasks: int) -> timedelta:
    return NO_TIME


def _first_fit(batch: backlog.Batch, choice: Any) -> instances.Instance | None:
    return next((instance for instance in choice if instance.has_free_capacity(batch.needs)), None)


def _suspend_without_probation(self: Any, now: timedelta) -> bool:
    is_new = upstream_health.UpstreamHealth.suspend_unchanged(self, now)  # type: ignore[attr-defined]
    self.is_on_probation = False
    return bool(is_new)


def _find_one_pool(self: Any, instance: instances.Instance) -> Any:
    return self._pools.setdefault(instance.info.service, {}).setdefault("", capacity_index._Pool())


upstream_health.UpstreamHealth.suspend_unchanged = upstream_health.UpstreamHealth._suspend  # type: ignore[attr-defined]
backlog.Backlog.add_unchanged = backlog.Backlog.add  # type: ignore[attr-defined]

NO_CHANGE = "as_it_is"

SWITCHED_OFF: dict[str, Variant] = {
    "in_order_of_arrival": replacing(
        (backlog.Backlog, "add", _add_by_arrival),
        (backlog.Backlog, "demote", lambda self, now: []),
        (backlog, "_by_latest_start", lambda batch: batch.job.id),
    ),
    "no_start_margin": replacing((open_jobs, "START_MARGIN_SHARE", 0.0)),
    "no_spread_of_wide_jobs": replacing(
        (throughput.Throughput, "estimate_start_delay", _estimate_no_delay)
    ),
    "no_shedding": replacing((scheduler.Scheduler, "_shed", lambda self, now: None)),
    "no_rejection_at_the_door": replacing(
        (scheduler.Scheduler, "find_rejection", lambda self, *rest: None)
    ),
    "first_fit": replacing((scheduler, "choose_instance", _first_fit)),
    "run_times_not_learnt": replacing((forecast, "LEARNING_RATE", 0.0)),
    "no_moves": replacing((watcher, "MAX_MOVES", 0)),
    "nobody_set_aside": replacing((instance_table, "MAX_SUSPENDED_SHARE", -1.0)),
    "no_trial": replacing((upstream_health.UpstreamHealth, "_suspend", _suspend_without_probation)),
    "nobody_blamed": replacing(
        (
            crash_tracker.CrashTracker,
            "find_restriction",
            lambda self, task: crashes.StartRestriction.NONE,
        ),
        (crashes.CrashCounts, "is_quarantined", False),
    ),
    "in_any_domain": replacing((capacity_index.CapacityIndex, "_find_pool", _find_one_pool)),
    "no_cordon": replacing((watcher.Watcher, "cordon_idle", lambda self, now: None)),
    "patience_not_learnt": replacing(
        (response_timeout, "MIN_RESPONSE_TIMEOUT", response_timeout.MAX_RESPONSE_TIMEOUT)
    ),
}

FIGURES: dict[str, Variant] = {
    "failures_in_a_row_2": replacing((upstream_health, "MAX_CONSECUTIVE_FAILURES", 2)),
    "failures_in_a_row_6": replacing((upstream_health, "MAX_CONSECUTIVE_FAILURES", 6)),
    "most_set_aside_0.17": replacing((instance_table, "MAX_SUSPENDED_SHARE", 0.17)),
    "most_set_aside_0.68": replacing((instance_table, "MAX_SUSPENDED_SHARE", 0.68)),
    "pause_1_to_3_s": replacing(
        (upstream_health, "FIRST_SUSPENSION", timedelta(seconds=1)),
        (upstream_health, "MAX_SUSPENSION", timedelta(seconds=3)),
    ),
    "pause_4_to_12_s": replacing(
        (upstream_health, "FIRST_SUSPENSION", timedelta(seconds=4)),
        (upstream_health, "MAX_SUSPENSION", timedelta(seconds=12)),
    ),
    "usable_share_0.43": replacing((admission, "USABLE_SHARE", 0.43)),
    "usable_share_1.7": replacing((admission, "USABLE_SHARE", 1.7)),
    "start_margin_0.2": replacing((open_jobs, "START_MARGIN_SHARE", 0.2)),
    "start_margin_0.8": replacing((open_jobs, "START_MARGIN_SHARE", 0.8)),
    "stands_still_after_0.25": replacing((progress, "STALLED_AFTER_SHARE", 0.25)),
    "stands_still_after_1.0": replacing((progress, "STALLED_AFTER_SHARE", 1.0)),
    "patience_12_to_40_ms": replacing(
        (response_timeout, "MIN_RESPONSE_TIMEOUT", timedelta(milliseconds=12)),
        (response_timeout, "MAX_RESPONSE_TIMEOUT", timedelta(milliseconds=40)),
    ),
    "patience_50_to_160_ms": replacing(
        (response_timeout, "MIN_RESPONSE_TIMEOUT", timedelta(milliseconds=50)),
        (response_timeout, "MAX_RESPONSE_TIMEOUT", timedelta(milliseconds=160)),
    ),
}

VARIANTS: dict[str, Variant] = {NO_CHANGE: replacing(), **SWITCHED_OFF, **FIGURES}
