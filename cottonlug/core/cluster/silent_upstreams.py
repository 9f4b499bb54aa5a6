"""Forgets upstreams that send no heartbeat and answer no poll.

Silence does not tell whether an upstream has ended, or is beyond a network partition. There an
acting leader (a gateway that schedules where no leader can be reached) may go on to use it. Such
upstreams are kept until the partition is over and they have had time to answer, because they are
used again sooner then, and gateways that are cut off once more still have them in their failover
state. That no task runs twice does not depend on it: see `reconciliation`.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..clock import to_milliseconds
from .commands import CordonUpstreams, RemoveUpstreams
from .crash_tracker import CrashTracker
from .crashes import NO_ACTIVE_TASKS
from .instance_table import InstanceTable
from .instances import Instance
from .term import Term

SILENT_AFTER = timedelta(seconds=10)
"""Silence, with nothing running, after which an instance is forgotten, unless it may be beyond a
network partition. Also how long it is kept after the end of one."""
SILENT_POLL_INTERVAL = timedelta(seconds=5)
"""Interval between polls of an instance that is as silent as that, but kept and cordoned: if a
later instance answers at its address, it has ended."""
FORGET_PARTITIONED_AFTER = timedelta(hours=1)
"""Silence after which an instance is forgotten even if it may be beyond a partition: longer than
domains are usually cut off (minutes)."""


class SilentUpstreams:
    """Forgets silent instances, or keeps them cordoned while they may be beyond a partition."""

    def __init__(
        self, *, term: Term, instances: InstanceTable, crash_tracker: CrashTracker
    ) -> None:
        self._term = term
        self._instances = instances
        self._crash_tracker = crash_tracker
        self._is_partitioned = False
        self._partitioned_at: timedelta | None = None
        """When a partition was last found while an instance was silent."""

    def forget(self, now: timedelta, *, is_partitioned: Callable[[], bool]) -> None:
        """Forget instances that have been silent while nothing ran there.

        `is_partitioned` returns whether an acting leader beyond a network partition may send orders
        to them. Those that are not leaving then stay in the replicated state for up to
        `FORGET_PARTITIONED_AFTER`, cordoned.
        """
        if not self._term.keeps_log:
            # An acting leader gets no heartbeats, so silence tells it nothing.
            return
        silent = [
            instance
            for instance in self._instances.by_id.values()
            if not (instance.is_over or instance.runs) and is_silent(instance, now, SILENT_AFTER)
        ]
        if not silent:
            return
        self._update_partition(silent, is_partitioned(), now)
        for instance in silent:
            if self._may_be_beyond_partition(instance, now):
                self._cordon(instance)
            else:
                self._forget(instance, now)

    def _update_partition(
        self, silent: list[Instance], is_partitioned: bool, now: timedelta
    ) -> None:
        """Record whether there is a partition; poll the silent instances once it is over."""
        has_healed = self._is_partitioned and not is_partitioned
        self._is_partitioned = is_partitioned
        if is_partitioned:
            self._partitioned_at = now
        if has_healed:
            for instance in silent:
                instance.poll_due = now
                self._instances.mark_changed(instance)

    def _may_be_beyond_partition(self, instance: Instance, now: timedelta) -> bool:
        if instance.draining or is_silent(instance, now, FORGET_PARTITIONED_AFTER):
            return False
        return self._partitioned_at is not None and now - self._partitioned_at < SILENT_AFTER

    def _cordon(self, instance: Instance) -> None:
        if not instance.is_cordoned:
            instance.is_cordoned, instance.is_fenced = True, False
            self._term.proposals.append(CordonUpstreams(upstreams=(instance.info.id,)))

    def _forget(self, instance: Instance, now: timedelta) -> None:
        instance.is_over = True
        self._term.counts.forgotten_upstreams += 1
        self._term.log_decision(
            "upstream_silent",
            {
                "upstream": instance.info.id,
                "silent_ms": to_milliseconds(now - _find_last_contact(instance)),
                "polled": int(instance.is_fenced),
                "cordoned": int(instance.is_cordoned),
                "draining": int(instance.draining),
            },
        )
        if instance.lost_tasks != NO_ACTIVE_TASKS:
            self._crash_tracker.record_removal(instance)
        else:
            self._term.proposals.append(RemoveUpstreams(upstreams=(instance.info.id,)))


def is_silent(instance: Instance, now: timedelta, span: timedelta) -> bool:
    """Return whether neither a heartbeat nor an answer to a poll has arrived for that long."""
    return now - _find_last_contact(instance) >= span


def _find_last_contact(instance: Instance) -> timedelta:
    """Return when the last heartbeat or answer to a poll has arrived."""
    return max(instance.heard_at or timedelta(), instance.contact_at or timedelta())
