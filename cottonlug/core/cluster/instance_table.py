"""Tracks the instances of upstreams that a coordinator knows, and which of them accept work.

An instance is one run of an upstream's process. The coordinator is the host that schedules jobs:
the elected leader, or an acting leader (a gateway that schedules where no leader can be reached).
An upstream is cordoned when the records say that no leader has a run there, and suspended for a
while when it was found failing, stalled or slow. A run is orphaned if its job is unknown to the
coordinator. Upstreams of some services do not check their own capacity: they start whatever they
get, so that the coordinator must know their capacity for certain.
"""

from __future__ import annotations

from datetime import timedelta

from ..ids import DomainName, UpstreamId
from .active_runs import ActiveRuns
from .admission import measure_usable_cores
from .instance_ids import get_upstream_name, is_earlier_instance
from .instances import Instance
from .model import JobId, RunNumber, ServiceName, TaskRef, UpstreamInfo
from .term import Term
from .upstream_health import MAX_SUSPENDED_SHARE, UpstreamHealth

USABLE_CORES_CACHED_FOR = timedelta(milliseconds=20)
"""How long the number of usable cores is reused: it only changes as upstreams come and go."""
ORPHAN_GRACE = timedelta(milliseconds=800)
"""How long a new coordinator keeps run ends of unknown jobs, and counts the cores of upstreams that
have not answered it: gateways submit their jobs again to it, as a rule within 0.1 s."""


class InstanceTable:
    """Instances of upstreams by id."""

    def __init__(self, *, term: Term) -> None:
        self.by_id: dict[UpstreamId, Instance] = {}
        self.active_runs = ActiveRuns()
        """The runs of all instances by task."""
        self.unseen: set[UpstreamId] = set()
        """Instances from earlier terms that have not answered in this one and are not cordoned."""
        self._changed: dict[UpstreamId, Instance] = {}
        """Instances to be processed in the next round."""
        self.last_arrival_number = 0
        """Arrival number of the newest instance."""
        self.may_have_orphaned_runs = False
        """Whether any upstream may have a run whose job is unknown."""
        self._cached_usable_cores: tuple[timedelta, float] | None = None
        """Until when the number of usable cores may be reused, and that number."""
        self._term = term
        self._by_address: dict[str, UpstreamId] = {}
        self._newest: dict[str, UpstreamId] = {}
        """The newest instance of each upstream, by its name: the id that it announces, which all
        its instances share."""
        self._health: dict[UpstreamId, UpstreamHealth] = {}
        for record in term.records.upstreams.values():
            instance = self.add(
                record.info, record.recorded_through, record.draining, term.began_at
            )
            instance.sequence = record.sequence
            instance.is_capacity_doubted = record.is_capacity_doubted
            instance.lost_tasks = record.lost_tasks
            if not record.is_capacity_doubted:
                # The recorded capacity then counts as valid until `known_until`.
                instance.reported_at = term.known_until - term.reports.valid_for
            # An acting leader ignores cordons: its copy of the records may be out of date, and an
            # earlier acting leader may have used the upstream.
            instance.is_cordoned = record.is_cordoned and term.keeps_log
            if not instance.is_cordoned:
                self.unseen.add(record.info.id)

    def is_in_grace_period(self, now: timedelta) -> bool:
        """Return whether the term is so young that jobs of unknown runs may still be submitted."""
        return now < self._term.began_at + ORPHAN_GRACE

    def add(
        self, info: UpstreamInfo, recorded_through: int, draining: bool, now: timedelta
    ) -> Instance:
        """Track an instance; have an earlier one at its address or with its name polled.

        The arguments are those of its record; `now` counts as its first heartbeat.
        """
        self.last_arrival_number += 1
        instance = Instance(
            info=info,
            lease_terms=self._term.lease,
            recorded_through=recorded_through,
            arrival_number=self.last_arrival_number,
            proposed_through=recorded_through,
            draining=draining,
            is_evacuated=info.domain in self._term.records.evacuations.evacuated,
            is_managed_elsewhere=self._term.domain not in (None, info.domain),
            heard_at=now,
            poll_due=now,
            active_runs=self.active_runs,
        )
        self._drop(self.by_id.get(info.id))
        self.by_id[info.id] = instance
        self._count_upstream(instance, 1)
        self.mark_changed(instance)
        self._request_poll_of_earlier(self._by_address.get(info.address), instance, now)
        self._by_address[info.address] = info.id
        name = get_upstream_name(info.id)
        newest = self._newest.get(name)
        if newest is None or is_earlier_instance(newest, info.id):
            self._request_poll_of_earlier(newest, instance, now)
            self._newest[name] = info.id
        return instance

    def _request_poll_of_earlier(
        self, earlier: UpstreamId | None, instance: Instance, now: timedelta
    ) -> None:
        """Have an earlier instance polled: only an answer shows which of the two is running now."""
        found = self.by_id.get(earlier) if earlier is not None else None
        if found is None or found is instance:
            return
        found.poll_due = now
        found.must_poll = True
        self.mark_changed(found)

    def find_later(self, id: UpstreamId) -> Instance | None:
        """Return the newest instance of the same upstream if it started after the given one."""
        newest = self._newest.get(get_upstream_name(id))
        return (
            self.by_id[newest] if newest is not None and is_earlier_instance(id, newest) else None
        )

    def remove(self, upstream: UpstreamId) -> None:
        """Stop tracking an instance."""
        instance = self.by_id.pop(upstream, None)
        self._drop(instance)
        self._changed.pop(upstream, None)
        self._health.pop(upstream, None)
        self.unseen.discard(upstream)
        if instance is not None and self._by_address.get(instance.info.address) == upstream:
            del self._by_address[instance.info.address]
        if self._newest.get(get_upstream_name(upstream)) == upstream:
            del self._newest[get_upstream_name(upstream)]

    def _drop(self, instance: Instance | None) -> None:
        """Forget the runs of an instance that is removed or replaced, and its kind."""
        if instance is None:
            return
        for key in list(instance.runs):
            instance.remove_run(key)
        self._count_upstream(instance, -1)

    def _count_upstream(self, instance: Instance, change: int) -> None:
        """Count an instance that is added or removed among the upstreams of its kind."""
        self._term.speeds.count_upstream(instance.info, change)

    def mark_changed(self, instance: Instance) -> None:
        """Have an instance processed in the next round, because something about it changed."""
        self._changed[instance.info.id] = instance

    def pop_changed(self) -> list[Instance]:
        """Return the instances that changed since the last call."""
        changed, self._changed = self._changed, {}
        return list(changed.values())

    def may_have_unknown_runs(self) -> bool:
        """Return whether any instance may have runs of an earlier leader that are unknown here."""
        return any(
            _may_have_unknown_runs(instance, of_acting_leaders=False)
            for instance in self.by_id.values()
        )

    def count_unpolled(self, *, of_acting_leaders: bool) -> int:
        """Return the number of known instances that may have runs which are unknown here.

        With `of_acting_leaders`, cordoned instances count as well: acting leaders ignore cordons.
        """
        return sum(
            _may_have_unknown_runs(instance, of_acting_leaders=of_acting_leaders)
            for instance in self.by_id.values()
        )

    def update_orphaned_flag(self) -> None:
        """Clear the flag for orphaned runs once the last of them is gone."""
        if self.may_have_orphaned_runs:
            self.may_have_orphaned_runs = any(
                instance.has_orphaned_runs for instance in self.by_id.values()
            )

    def apply_evacuation(self, domain: DomainName, now: timedelta) -> int:
        """Update the instances of a domain whose evacuation an operator has begun or ended.

        Return the number of their active runs.
        """
        is_evacuated = domain in self._term.records.evacuations.evacuated
        instances = [instance for instance in self.by_id.values() if instance.info.domain == domain]
        for instance in instances:
            if instance.is_evacuated and not is_evacuated:
                # Tasks may take longer there until its next heartbeat reports otherwise.
                instance.cold_until = now + self._term.reports.interval
            instance.is_evacuated = is_evacuated
            self.mark_changed(instance)
        self._cached_usable_cores = None
        return sum(len(instance.runs) for instance in instances)

    def is_service_evacuated(self, service: ServiceName) -> bool:
        """Return whether a service has upstreams and all of them are in evacuated domains.

        Upstreams that are leaving, over, or managed by another host do not count.
        """
        if not self._term.records.evacuations.evacuated:
            return False
        instances = (
            instance for instance in self.by_id.values() if instance.info.service == service
        )
        remaining = [
            instance
            for instance in instances
            if not (instance.is_over or instance.draining or instance.is_managed_elsewhere)
        ]
        return bool(remaining) and all(instance.is_evacuated for instance in remaining)

    def get_health(self, instance: Instance) -> UpstreamHealth:
        """Return the health of an instance, which tells whether it is suspended or on probation."""
        health = self._health.get(instance.info.id)
        if health is None:
            health = self._health[instance.info.id] = UpstreamHealth()
        return health

    def find_accepting(self, now: timedelta) -> dict[ServiceName, list[Instance]]:
        """Return the instances that accept work, by service, without suspended ones.

        If more than `MAX_SUSPENDED_SHARE` of a service is suspended, suspensions are ignored there.
        """
        by_service: dict[ServiceName, list[Instance]] = {}
        for instance in self.by_id.values():
            if self.accepts_work(instance, now):
                by_service.setdefault(instance.info.service, []).append(instance)
        for service, instances in by_service.items():
            healthy = [
                instance
                for instance in instances
                if not self.get_health(instance).is_suspended(now)
            ]
            if len(healthy) >= len(instances) * (1.0 - MAX_SUSPENDED_SHARE):
                by_service[service] = healthy
        return by_service

    def accepts_work(self, instance: Instance, now: timedelta) -> bool:
        """Return whether an instance accepts work, suspended or not.

        Also updates whether it is on probation: it then gets one run at a time.
        """
        instance.is_on_probation = self.get_health(instance).is_on_probation
        return instance.accepts_work(now) and not self._may_lack_capacity(instance, now)

    def _may_lack_capacity(self, instance: Instance, now: timedelta) -> bool:
        """Return whether an upstream may have less capacity than is known, and does not check it.

        It has a run whose needs are unknown, or has not reported its capacity for too long.
        """
        if not instance.has_orphaned_runs and self._is_report_valid(instance, now):
            return False
        return instance.info.service in self._find_unchecked_services()

    def _find_unchecked_services(self) -> set[ServiceName]:
        """Return the services whose upstreams start runs without checking their own capacity."""
        configuration = self._term.records.configuration
        services = configuration.services if configuration is not None else ()
        return {service.name for service in services if not service.rejects_overload}

    def mark_newly_doubted(self, now: timedelta) -> list[UpstreamId]:
        """Mark and return upstreams that do not check their capacity and missed a heartbeat."""
        unchecked = self._find_unchecked_services()
        if not unchecked:
            return []
        doubted = [
            instance
            for instance in self.by_id.values()
            if self._has_missed_heartbeat(instance, unchecked, now)
        ]
        for instance in doubted:
            instance.is_capacity_doubted = True
        return [instance.info.id for instance in doubted]

    def _has_missed_heartbeat(
        self, instance: Instance, unchecked: set[ServiceName], now: timedelta
    ) -> bool:
        if instance.is_capacity_doubted or instance.info.service not in unchecked:
            return False
        missed_after = self._term.reports.missed_after
        return instance.reported_at is None or now >= instance.reported_at + missed_after

    def list_availability_changes(self, instance: Instance) -> list[timedelta]:
        """Return the times at which an instance may begin or cease to accept work by itself.

        These concern it alone: nothing needs to be received from it.
        """
        times = [instance.avoid_until, self.get_health(instance).suspended_until]
        if (
            instance.reported_at is not None
            and instance.info.service in self._find_unchecked_services()
        ):
            times.append(instance.reported_at + self._term.reports.valid_for)
        return times

    def _is_report_valid(self, instance: Instance, now: timedelta) -> bool:
        """Return whether the last capacity report is recent enough to rely on.

        Starts beyond a capacity that has shrunk since such a report are tolerated.
        """
        reported_at = instance.reported_at
        return reported_at is not None and now < reported_at + self._term.reports.valid_for

    def measure_usable_cores(self, now: timedelta) -> float:
        """Return the number of usable cores.

        In the grace period, those of upstreams that have not answered yet are counted as well.
        """
        if self._cached_usable_cores is not None and now < self._cached_usable_cores[0]:
            return self._cached_usable_cores[1]
        is_early = self.is_in_grace_period(now)
        usable = [
            instance
            for instance in self.by_id.values()
            if instance.accepts_work(now) or (is_early and _may_accept_work(instance))
        ]
        cores = measure_usable_cores(usable, self._term.speeds)
        self._cached_usable_cores = (now + USABLE_CORES_CACHED_FOR, cores)
        return cores

    def mark_disputed(self, job: JobId) -> None:
        """Let the leases of the upstreams run out where a job has runs, even if no stop arrives.

        Another coordinator may get the job next, and waits for these leases only. A lease covers
        everything that runs at an upstream: if it were renewed for other runs, these would go on.
        """
        for instance in self.by_id.values():
            for key in [each for each in instance.runs if each[0].job == job]:
                instance.mark_disputed(key)

    def request_stop(self, upstream: UpstreamId, ref: TaskRef, run: RunNumber) -> None:
        """Have a run stopped as soon as possible."""
        instance = self.by_id.get(upstream)
        found = instance.runs.get((ref, run)) if instance is not None else None
        if instance is not None and found is not None:
            found.stop_requested = True
            self.mark_changed(instance)

    def request_stop_of_all(self, ref: TaskRef) -> bool:
        """Have all active runs of a task stopped as soon as possible; return whether any is."""
        active = self.active_runs.find_all(ref)
        for each in active:
            self.request_stop(each.upstream, ref, each.run)
        return bool(active)


def _may_have_unknown_runs(instance: Instance, *, of_acting_leaders: bool) -> bool:
    """Return whether an instance has not been polled and may have runs of another coordinator."""
    if instance.is_fenced or instance.is_over:
        return False
    return of_acting_leaders or not instance.is_cordoned


def _may_accept_work(instance: Instance) -> bool:
    """Return whether an upstream that has not answered yet can be expected to accept work."""
    return not (
        instance.is_fenced
        or instance.draining
        or instance.is_evacuated
        or instance.is_over
        or instance.is_managed_elsewhere
    )
