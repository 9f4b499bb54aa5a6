"""Metrics of control hosts and gateways.

Some names use older words: a decider is the coordinator (the host that schedules jobs now, as
leader or acting leader), a deputy is a gateway that acts as leader, a greeting is a gateway's
keep-alive, looks are polls of upstreams, ends are ended runs, suspects are tasks under which
upstreams have crashed, heartbeat desks are responders (control hosts that answer heartbeats for the
leader), and a term is settled once no unknown run of an earlier leader can be active.
"""

from __future__ import annotations

import dataclasses
import os
import resource
from datetime import timedelta
from typing import TYPE_CHECKING

from ..net.asgi import Handler, HttpRequest, HttpResponse
from ..net.connections import IdleConnections
from .log_output import LogOutput
from .metrics import Metrics
from .refused_heartbeats import RefusedHeartbeats
from .work_meter import MS_PER_SECOND

if TYPE_CHECKING:
    from .control_host import ControlHost
    from .gateway import Gateway

_KB_PER_MB = 1024


def build_control_metrics(
    host: ControlHost, output: LogOutput, idle: IdleConnections, refused: RefusedHeartbeats
) -> Metrics:
    """Return the metrics of a control host; `idle` are its idle connections to upstreams."""

    def read_counters() -> dict[str, float]:
        counts: dict[str, float] = dict.fromkeys(_DISPATCH_COUNTS, 0.0)
        if host.leadership is not None:
            dispatch = host.leadership.dispatch
            counted = dataclasses.asdict(dispatch.counts)
            counts.update({name: counted[name] for name in counts if name in counted})
            counts["runs_of_ignored_kinds"] = dispatch.speeds.ignored_runs
        counts.update(dataclasses.asdict(host.replica.counts))
        counts["heartbeats_answered_here"] = host.heartbeat_responder.answered
        counts["heartbeats_refused"] = refused.count
        counts["terms_failed"] = host.failed_terms
        counts["cancelled_jobs_dropped"] = host.replicated.records.cancelled.dropped
        counts["idle_connections_closed"] = idle.closed_count
        counts["log_lines_left_out"] = output.dropped
        for work, amount in host.work.total.items():
            counts[f"work_{work.value}"] = amount.count
            counts[f"work_{work.value}_ms"] = amount.seconds * MS_PER_SECOND
        return counts

    def read_gauges() -> dict[str, float]:
        gauges = {"term": float(host.replica.term), "is_leader": float(host.replica.is_leader)}
        gauges.update(dict.fromkeys(_DISPATCH_GAUGES, 0.0))
        gauges["jobs_kept"] = len(host.replicated.records.jobs)
        gauges["cancelled_jobs"] = len(host.replicated.records.cancelled)
        gauges["peak_memory_mb"] = _read_peak_memory()
        gauges["descriptors_open"] = _count_descriptors()
        gauges["jobs_not_taken"] = host.describe_arrivals()[0]
        if host.leadership is not None:
            gauges.update(_read_dispatch_gauges(host))
        return gauges

    metrics = Metrics(counters=read_counters, gauges=read_gauges)
    host.loop_monitor.record_delay = metrics.add_histogram("loop_delay_ms", DELAY_BOUNDS_MS)
    host.record_message_age = metrics.add_histogram("greeting_age_ms", DELAY_BOUNDS_MS)
    host.record_decision_gap = metrics.add_histogram("between_decisions_ms", DELAY_BOUNDS_MS)
    return metrics


def build_gateway_metrics(gateway: Gateway, output: LogOutput) -> Metrics:
    """Return the metrics of a gateway, including the duration of its calls."""

    def read_counters() -> dict[str, float]:
        counts = {f"calls_{name}": float(value) for name, value in gateway.outcomes.items()}
        counts["calls_held_to_end"] = gateway.timeout_failure_count
        counts["calls_held_back"] = gateway.withheld_count
        counts["calls_refused_at_limit"] = gateway.call_limit.refused_count
        counts["terms_failed"] = gateway.link.failed_terms
        counts["log_lines_left_out"] = output.dropped
        return counts

    def read_gauges() -> dict[str, float]:
        return {
            "ready": float(gateway.is_ready()),
            "is_deputy": float(gateway.acting_leader is not None),
            "calls_waiting": gateway.call_limit.waiting_calls,
            "peak_memory_mb": _read_peak_memory(),
        }

    metrics = Metrics(counters=read_counters, gauges=read_gauges)
    gateway.loop_monitor.record_delay = metrics.add_histogram("loop_delay_ms", DELAY_BOUNDS_MS)
    gateway.record_refusal = metrics.add_histogram("refusal_over_objective", REFUSAL_BOUNDS)
    gateway.link.record_coordinator_change = metrics.add_histogram(
        "without_decider_ms", CALL_BOUNDS_MS
    )
    gateway.record_call = metrics.add_histogram("call_ms", CALL_BOUNDS_MS)
    return metrics


def build_metrics_handler(metrics: Metrics) -> Handler:
    """Return the HTTP handler that serves the metrics as text."""

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.path != "/metrics":
            return HttpResponse(status=404)
        return HttpResponse(status=200, body=metrics.render().encode(), content_type="text/plain")

    return handle


CALL_BOUNDS_MS = (5.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0)
DELAY_BOUNDS_MS = (5.0, 10.0, 25.0, 50.0, 100.0, 150.0, 300.0, 500.0, 1_000.0)
"""For the age of gateways' messages (300 ms of silence of a gateway are tolerated) and the time
between two scheduling rounds (up to 20 ms are usual; only longer times are recorded)."""
REFUSAL_BOUNDS = (0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
"""Fractions of the latency objective after which a job is refused; within a quarter of it a caller
can still react."""
_DISPATCH_COUNTS = (
    "starts", "started", "refused_starts", "unknown_starts", "stops", "looks", "failed_looks",
    "lapsed_runs", "ends", "rejected_jobs", "given_up_jobs", "moved_runs", "resized_upstreams",
    "starts_without_room", "crashed_upstreams", "crashing_tasks", "evacuated_rejections",
    "runs_of_ignored_kinds", "refused_early", "released_tasks", "doubled_runs",
    "forgotten_upstreams",
)  # fmt: skip
_DISPATCH_GAUGES = (
    "settled_after_ms", "open_jobs", "unsure_jobs", "waiting_tasks", "upstreams",
    "upstreams_working", "upstreams_draining", "free_cpu_millis", "capacity_cpu_millis",
    "oldest_report_ms", "suspects", "domains_evacuated", "evacuated_for_ms", "runs_evacuated",
    "heartbeat_desks", "small_gateways", "kinds_with_factor", "largest_kind_factor",
)  # fmt: skip


def _read_dispatch_gauges(host: ControlHost) -> dict[str, float]:
    assert host.leadership is not None
    dispatch = host.leadership.dispatch
    instances = list(dispatch.instances.values())
    evacuated = host.leadership.list_evacuation_ages_ms()
    factors = [kind.factor for each in dispatch.speeds.list_services() for kind in each.kinds]
    working = [instance for instance in instances if instance.is_fenced and not instance.draining]
    return {
        "settled_after_ms": dispatch.counts.settled_after_ms,
        "open_jobs": dispatch.jobs.count_jobs(),
        "unsure_jobs": dispatch.jobs.count_unsure(),
        "waiting_tasks": dispatch.jobs.backlog.count_tasks(),
        "upstreams": len(instances),
        "upstreams_working": len(working),
        "upstreams_draining": sum(instance.draining for instance in instances),
        "suspects": len(host.replicated.records.suspects),
        "heartbeat_desks": host.leadership.count_responders(),
        "small_gateways": host.leadership.gateways.count_small(),
        "kinds_with_factor": len(factors),
        "largest_kind_factor": max(factors, default=1.0),
        "domains_evacuated": len(evacuated),
        "evacuated_for_ms": max(evacuated, default=0.0),
        "runs_evacuated": sum(
            len(instance.runs) for instance in instances if instance.is_evacuated
        ),
        "free_cpu_millis": sum(instance.free_cpu for instance in working),
        "capacity_cpu_millis": sum(instance.info.capacity.cpu_millis for instance in working),
        "oldest_report_ms": host.leadership.find_oldest_report_age() / timedelta(milliseconds=1),
    }


def _count_descriptors() -> float:
    """Return the number of open file descriptors, which the limits of the host restrict."""
    try:
        return float(len(os.listdir("/proc/self/fd")))
    except OSError:
        return 0.0


def _read_peak_memory() -> float:
    """Return the most memory that this process has occupied so far, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / _KB_PER_MB
