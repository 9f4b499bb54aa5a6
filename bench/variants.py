"""Variants of the product's code: one mechanism switched off, or one constant halved or doubled."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from datetime import timedelta
from typing import Any

from cottonlug.core.cluster import (
    admission,
    backlog,
    batch_builder,
    capacity_index,
    crash_tracker,
    crashes,
    forecast,
    instance_table,
    instances,
    placement,
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
def replace_attribute(owner: Any, name: str, value: object) -> Iterator[None]:
    """Replace an attribute within the context, and restore it afterwards."""
    original = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, original)


def build_variant(*changes: tuple[Any, str, object]) -> Variant:
    """Return the variant in which the given attributes have other values."""

    @contextmanager
    def variant() -> Iterator[None]:
        with ExitStack() as stack:
            for owner, name, value in changes:
                stack.enter_context(replace_attribute(owner, name, value))
            yield

    return variant


def _add_by_arrival(self: Any, batch: backlog.Batch) -> None:
    batch.latest_useful_start = batch.latest_start + timedelta(days=9)
    backlog.Backlog.add_unchanged(self, batch)  # type: ignore[attr-defined]


def _return_no_delay(self: Any, tasks: int) -> timedelta:
    return NO_TIME


def _choose_first_fit(
    batch: backlog.Batch, candidates: Any, **options: bool
) -> instances.Instance | None:
    return next(
        (instance for instance in candidates if instance.has_free_capacity(batch.needs)), None
    )


def _suspend_without_probation(self: Any, now: timedelta) -> bool:
    is_new = upstream_health.UpstreamHealth.suspend_unchanged(self, now)  # type: ignore[attr-defined]
    self.is_on_probation = False
    return bool(is_new)


def _find_one_pool(self: Any, instance: instances.Instance) -> Any:
    kinds = self._pools.setdefault(instance.info.service, {})
    return kinds.setdefault(self.get_factor(instance.info), {}).setdefault(
        "", capacity_index._Pool()
    )


upstream_health.UpstreamHealth.suspend_unchanged = upstream_health.UpstreamHealth._suspend  # type: ignore[attr-defined]
backlog.Backlog.add_unchanged = backlog.Backlog.add  # type: ignore[attr-defined]

NO_CHANGE = "as_it_is"

SWITCHED_OFF: dict[str, Variant] = {
    "in_order_of_arrival": build_variant(
        (backlog.Backlog, "add", _add_by_arrival),
        (backlog.Backlog, "demote", lambda self, now: []),
        (backlog, "_by_latest_start", lambda batch: batch.job.id),
    ),
    "no_start_margin": build_variant((batch_builder, "START_MARGIN_SHARE", 0.0)),
    "no_spread_of_wide_jobs": build_variant(
        (throughput.Throughput, "estimate_start_delay", _return_no_delay)
    ),
    "no_shedding": build_variant((scheduler.Scheduler, "_shed", lambda self, now: None)),
    "no_rejection_at_the_door": build_variant(
        (scheduler.Scheduler, "find_rejection", lambda self, *rest: None)
    ),
    "first_fit": build_variant((placement, "choose_instance", _choose_first_fit)),
    "run_times_not_learnt": build_variant((forecast, "LEARNING_RATE", 0.0)),
    "no_moves": build_variant((watcher, "MAX_MOVES", 0)),
    "nobody_set_aside": build_variant((instance_table, "MAX_SUSPENDED_SHARE", -1.0)),
    "no_trial": build_variant(
        (upstream_health.UpstreamHealth, "_suspend", _suspend_without_probation)
    ),
    "nobody_blamed": build_variant(
        (
            crash_tracker.CrashTracker,
            "find_restriction",
            lambda self, task: crashes.StartRestriction.NONE,
        ),
        (crashes.CrashCounts, "is_quarantined", False),
    ),
    "in_any_domain": build_variant((capacity_index.CapacityIndex, "_find_pool", _find_one_pool)),
    "no_cordon": build_variant((watcher.Watcher, "cordon_idle", lambda self, now: None)),
    "patience_not_learnt": build_variant(
        (response_timeout, "MIN_RESPONSE_TIMEOUT", response_timeout.MAX_RESPONSE_TIMEOUT)
    ),
}

CHANGED_CONSTANTS: dict[str, Variant] = {
    "failures_in_a_row_2": build_variant((upstream_health, "MAX_CONSECUTIVE_FAILURES", 2)),
    "failures_in_a_row_6": build_variant((upstream_health, "MAX_CONSECUTIVE_FAILURES", 6)),
    "most_set_aside_0.17": build_variant((instance_table, "MAX_SUSPENDED_SHARE", 0.17)),
    "most_set_aside_0.68": build_variant((instance_table, "MAX_SUSPENDED_SHARE", 0.68)),
    "pause_1_to_3_s": build_variant(
        (upstream_health, "FIRST_SUSPENSION", timedelta(seconds=1)),
        (upstream_health, "MAX_SUSPENSION", timedelta(seconds=3)),
    ),
    "pause_4_to_12_s": build_variant(
        (upstream_health, "FIRST_SUSPENSION", timedelta(seconds=4)),
        (upstream_health, "MAX_SUSPENSION", timedelta(seconds=12)),
    ),
    "usable_share_0.43": build_variant((admission, "USABLE_SHARE", 0.43)),
    "usable_share_1.7": build_variant((admission, "USABLE_SHARE", 1.7)),
    "start_margin_0.2": build_variant((batch_builder, "START_MARGIN_SHARE", 0.2)),
    "start_margin_0.8": build_variant((batch_builder, "START_MARGIN_SHARE", 0.8)),
    "stands_still_after_0.25": build_variant((progress, "STALLED_AFTER_SHARE", 0.25)),
    "stands_still_after_1.0": build_variant((progress, "STALLED_AFTER_SHARE", 1.0)),
    "patience_12_to_40_ms": build_variant(
        (response_timeout, "MIN_RESPONSE_TIMEOUT", timedelta(milliseconds=12)),
        (response_timeout, "MAX_RESPONSE_TIMEOUT", timedelta(milliseconds=40)),
    ),
    "patience_50_to_160_ms": build_variant(
        (response_timeout, "MIN_RESPONSE_TIMEOUT", timedelta(milliseconds=50)),
        (response_timeout, "MAX_RESPONSE_TIMEOUT", timedelta(milliseconds=160)),
    ),
}

VARIANTS: dict[str, Variant] = {NO_CHANGE: build_variant(), **SWITCHED_OFF, **CHANGED_CONSTANTS}
