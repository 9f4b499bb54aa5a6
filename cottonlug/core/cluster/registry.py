"""Processes heartbeats of upstreams, by which they join, report their capacity and leave.

Only a leader gets heartbeats; an acting leader (a gateway that schedules where no leader can be
reached) knows the upstreams from its copy of the records. Heartbeats without news may be answered
by another control host, which then reports them to the leader. An instance is one run of an
upstream's process; it numbers its heartbeats in rising order.
"""

from __future__ import annotations

from datetime import timedelta

from ..ids import UpstreamId
from .commands import AddUpstream, DoubtCapacities, ResizeUpstream, SetDraining
from .instance_table import InstanceTable
from .instances import Instance
from .model import Heartbeat
from .term import Term


class UpstreamRegistry:
    """Processes heartbeats, and proposes to the log what every later leader must know."""

    def __init__(self, *, term: Term, instances: InstanceTable) -> None:
        self._term = term
        self._instances = instances
        self._joining: dict[UpstreamId, Heartbeat] = {}
        """The newest heartbeat of each upstream that is not yet registered in the log."""

    def handle_heartbeat(self, heartbeat: Heartbeat, now: timedelta) -> None:
        """Record that an upstream is alive, what its capacity is, and whether it is leaving."""
        instance = self._instances.by_id.get(heartbeat.info.id)
        later = self._instances.find_later(heartbeat.info.id) if instance is None else None
        if later is not None:
            # The upstream has restarted since: the instance that sent this is over.
            self._log_overtaken(later, heartbeat)
            return
        if instance is None:
            joining = self._joining.get(heartbeat.info.id)
            if joining is None:
                add = AddUpstream(info=heartbeat.info, sequence=heartbeat.sequence)
                self._term.proposals.append(add)
            if joining is None or heartbeat.sequence >= joining.sequence:
                self._joining[heartbeat.info.id] = heartbeat
            if heartbeat.draining:
                self._term.proposals.append(SetDraining(upstream=heartbeat.info.id))
            return
        if heartbeat.sequence < instance.sequence:
            self._log_overtaken(instance, heartbeat)
            return
        self._instances.mark_changed(instance)
        self._record_capacity(instance, heartbeat, now)
        instance.heard_at = now
        instance.cold_until = now + timedelta(milliseconds=heartbeat.cold_left_ms)
        if heartbeat.clock_ms is not None:
            instance.record_clock(heartbeat.clock_ms, now)
        if heartbeat.draining:
            self.handle_leave(instance.info.id)
        if not instance.is_fenced and not instance.is_poll_pending:
            instance.poll_due = now

    def _log_overtaken(self, instance: Instance, heartbeat: Heartbeat) -> None:
        """Log that a heartbeat is ignored, since a newer one of its upstream has arrived."""
        self._term.log_decision(
            "heartbeat_overtaken",
            {
                "upstream": heartbeat.info.id,
                "by": instance.info.id,
                "sequence": heartbeat.sequence,
                "newest": instance.sequence,
                "clock_ms": heartbeat.clock_ms or 0,
            },
        )

    def handle_reported_heartbeat(
        self, id: UpstreamId, sequence: int, clock_ms: int | None, at: timedelta
    ) -> None:
        """Record a heartbeat without changes that another host has answered for the leader.

        It arrived there at the time `at`, by this host's clock.
        """
        instance = self._instances.by_id.get(id)
        if instance is None or sequence < instance.sequence:
            return
        instance.record_capacity(instance.info.capacity, sequence, at)
        instance.heard_at = max(at, instance.heard_at or at)
        if clock_ms is not None:
            instance.record_clock(clock_ms, at)
        if not instance.is_fenced and not instance.is_poll_pending:
            instance.poll_due = min(instance.poll_due, at)
            self._instances.mark_changed(instance)

    def _record_capacity(self, instance: Instance, heartbeat: Heartbeat, now: timedelta) -> None:
        """Record the reported capacity, and propose a change to the log."""
        if heartbeat.is_capacity_unreadable and not instance.has_unreadable_capacity:
            self._term.log_decision("capacity_unreadable", {"upstream": instance.info.id})
        instance.has_unreadable_capacity = heartbeat.is_capacity_unreadable
        before, capacity = instance.info.capacity, heartbeat.info.capacity
        sent_at = now - instance.find_age(heartbeat.clock_ms, now)
        if not instance.record_capacity(capacity, heartbeat.sequence, sent_at):
            return
        self._term.counts.resized_upstreams += 1
        self._term.log_decision(
            "upstream_resized",
            {
                "upstream": instance.info.id,
                "cpu_millis": capacity.cpu_millis,
                "cpu_millis_before": before.cpu_millis,
                "memory_mb": capacity.memory_mb,
                "gpus": capacity.gpus,
                "sequence": heartbeat.sequence,
                "free_cpu": instance.free_cpu,
            },
        )
        resize = ResizeUpstream(
            upstream=instance.info.id, capacity=capacity, sequence=heartbeat.sequence
        )
        self._term.proposals.append(resize)

    def handle_leave(self, upstream: UpstreamId) -> None:
        """Record that an upstream is leaving, so that it gets no more work."""
        instance = self._instances.by_id.get(upstream)
        if instance is not None and not instance.draining:
            instance.draining = True
            self._term.proposals.append(SetDraining(upstream=upstream))
            self._term.log_decision("upstream_leaving", {"upstream": upstream})

    def handle_added_upstream(self, command: AddUpstream, now: timedelta) -> None:
        """Begin to track an upstream that the log has just registered."""
        joining = self._joining.pop(command.info.id, None)
        if command.info.id not in self._instances.by_id:
            instance = self._instances.add(command.info, 0, False, now)
            instance.sequence = command.sequence
        if joining is not None:
            # It may have reported something new while the log was registering it.
            self.handle_heartbeat(joining, now)

    def doubt_capacities(self, now: timedelta) -> None:
        """Propose to mark upstreams that do not check their own capacity and missed a heartbeat.

        The next host that schedules jobs then knows that their capacity may have changed.
        """
        doubted = self._instances.mark_newly_doubted(now)
        if doubted and self._term.keeps_log:
            self._term.proposals.append(DoubtCapacities(upstreams=tuple(doubted)))
