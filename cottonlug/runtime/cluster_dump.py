"""State dumps of control hosts and gateways.

Some keys use older words: a decider is the coordinator (the host that schedules jobs now, as leader
or acting leader), a deputy is a gateway that acts as leader, and looks are polls of an upstream.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .control_host import ControlHost
    from .gateway import Gateway


def build_control_dump(host: ControlHost) -> dict[str, Any]:
    """Return the state of a control host."""
    member = host.replica.member
    records = host.replicated.records
    dump: dict[str, Any] = {
        "term": int(host.replica.term),
        "leader": host.replica.leader_host,
        "is_leader": host.replica.is_leader,
        "members": member.members if member is not None else None,
        "commit": int(member.commit) if member is not None else None,
        "version": records.configuration.version if records.configuration is not None else None,
        "jobs": len(records.jobs),
        "upstreams": len(records.upstreams),
        "evacuations": records.evacuations.records,
        "speeds": records.speeds.recorded,
    }
    if host.leadership is not None:
        dump["leading"] = _dump_dispatch(host)
    return dump


def _dump_dispatch(host: ControlHost) -> dict[str, Any]:
    assert host.leadership is not None
    dispatch = host.leadership.dispatch
    return {
        "now_s": host.leadership.read_clock().total_seconds(),
        "open_jobs": dispatch.jobs.count_jobs(),
        "waiting_tasks": dispatch.jobs.backlog.count_tasks(),
        "counts": dispatch.counts,
        "gateways": [
            {"address": each.address, "domain": each.domain, "is_small": each.is_small}
            for each in host.leadership.gateways.list_gateways()
        ],
        "speeds": dispatch.speeds.list_services(),
        "upstreams": [
            {
                "id": instance.info.id,
                "fenced": instance.is_fenced,
                "draining": instance.draining,
                "evacuated": instance.is_evacuated,
                "runs": len(instance.runs),
                "free_cpu": instance.free_cpu,
                "capacity": instance.info.capacity,
                "reported_at_s": _read_seconds(instance.reported_at),
                "refusals": instance.refusals,
                "failed_looks": instance.failed_polls,
                "kind": instance.info.kind,
                "kind_factor": dispatch.speeds.find_factor(instance.info),
            }
            for instance in dispatch.instances.values()
        ],
    }


def _read_seconds(moment: timedelta | None) -> float | None:
    """Return a time in seconds on the same clock as `now_s`."""
    return moment.total_seconds() if moment is not None else None


def build_gateway_dump(gateway: Gateway) -> dict[str, Any]:
    """Return the state of a gateway."""
    return {
        "ready": gateway.is_ready(),
        "stopping": gateway.is_stopping,
        "decider": gateway.coordinator,
        "via": gateway.link.via.value,
        "is_deputy": gateway.acting_leader is not None,
        "hosts": gateway.hosts,
        "cores_millis": gateway.size.cores_millis,
        "waiting_calls": gateway.call_limit.waiting_calls,
        "refused_at_limit": gateway.call_limit.refused_count,
    }
