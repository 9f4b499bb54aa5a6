"""All lives of upstreams that a leader knows, and which of them take work."""

from __future__ import annotations

from datetime import timedelta

from ..ids import DomainName, UpstreamId
from .admission import measure_usable_cores
from .guards import MAX_SUSPENDED_SHARE, UpstreamHealth
from .identity import get_name, is_earlier
from .lives import Life
from .model import JobId, RunNumber, ServiceName, TaskRef, UpstreamInfo
from .term import Term

ROOM_KEPT = timedelta(milliseconds=20)
"""How long a measure of all room is used again: it changes as upstreams come and go."""
ORPHAN_GRACE = timedelta(milliseconds=800)
"""How long a new leader keeps ends of jobs that it does not know, and reckons with upstreams that
it has not seen: gateways submit their jobs again, within 0.1 s as a rule."""


class LifeTable:
    """Lives by id."""

    def __init__(self, *, term: Term) -> None:
        self.by_id: dict[UpstreamId, Life] = {}
        self.unseen: set[UpstreamId] = set()
        """Lives of earlier terms that have not answered in this one."""
        self._touched: dict[UpstreamId, Life] = {}
        self._added = 0
        self.may_have_orphans = False
        """Whether runs may be at work anywhere whose jobs are not known."""
        self._room: tuple[timedelta, float] | None = None
        self._term = term
        self._by_address: dict[str, UpstreamId] = {}
        self._newest: dict[str, UpstreamId] = {}
        """The newest life under each name."""
        self._health: dict[UpstreamId, UpstreamHealth] = {}
        for record in term.records.upstreams.values():
            life = self.add(record.info, record.noted, record.draining, term.began_at)
            life.sequence = record.sequence
            life.is_capacity_doubted = record.is_capacity_doubted
            life.lost = record.lost
            if not record.is_capacity_doubted:
                life.reported_at = term.known_until - term.reports.valid_for
            # A deputy may have used it all the same, and the record may be an old one.
            life.is_cordoned = record.is_cordoned and term.keeps_log
            if not life.is_cordoned:
                self.unseen.add(record.info.id)

    def is_grace(self, now: timedelta) -> bool:
        """Whether the term is so young that unknown runs may still find their jobs."""
        return now < self._term.began_at + ORPHAN_GRACE

    def add(self, info: UpstreamInfo, noted: int, draining: bool, now: timedelta) -> Life:
        """Begin to watch a life; an earlier one at its address is asked whether it is over."""
        self._added += 1
        life = Life(
            info=info,
            terms=self._term.lease,
            noted=noted,
            number=self._added,
            proposed=noted,
            draining=draining,
            is_evacuated=info.domain in self._term.records.evacuations.evacuated,
            is_foreign=self._term.domain not in (None, info.domain),
            heard_at=now,
            look_due=now,
        )
        self.by_id[info.id] = life
        self.touch(life)
        self._check(self._by_address.get(info.address), life, now)
        self._by_address[info.address] = info.id
        name = get_name(info.id)
        newest = self._newest.get(name)
        if newest is None or is_earlier(newest, info.id):
            self._check(newest, life, now)
            self._newest[name] = info.id
        return life

    def _check(self, earlier: UpstreamId | None, life: Life, now: timedelta) -> None:
        """Have an earlier life looked at: only an answer shows which of the two there is now."""
        found = self.by_id.get(earlier) if earlier is not None else None
        if found is None or found is life:
            return
        found.look_due = now
        found.must_check = True
        self.touch(found)

    def find_later(self, id: UpstreamId) -> Life | None:
        """Return the newest life under the same name, if it began after the one that is named."""
        newest = self._newest.get(get_name(id))
        return self.by_id[newest] if newest is not None and is_earlier(id, newest) else None

    def drop(self, upstream: UpstreamId) -> None:
        """Forget a life."""
        life = self.by_id.pop(upstream, None)
        self._touched.pop(upstream, None)
        self._health.pop(upstream, None)
        self.unseen.discard(upstream)
        if life is not None and self._by_address.get(life.info.address) == upstream:
            del self._by_address[life.info.address]
        if self._newest.get(get_name(upstream)) == upstream:
            del self._newest[get_name(upstream)]

    def touch(self, life: Life) -> None:
        """Have a life gone through with the next decisions, since something about it changed."""
        self._touched[life.info.id] = life

    def take_touched(self) -> list[Life]:
        """Return the lives about which something changed since the last call."""
        touched, self._touched = self._touched, {}
        return list(touched.values())

    def is_any_unseen(self, *, of_deputies: bool) -> bool:
        """Whether any life may run something of another leader that nobody here knows of.

        With `of_deputies` also one where only a deputy can have begun something.
        """
        return any(
            not (life.is_fenced or life.is_over) and (of_deputies or not life.is_cordoned)
            for life in self.by_id.values()
        )

    def look_for_orphans(self) -> None:
        """Learn whether the last run of an unknown job has gone."""
        if self.may_have_orphans:
            self.may_have_orphans = any(life.has_orphans for life in self.by_id.values())

    def set_evacuated(self, domain: DomainName, now: timedelta) -> int:
        """Take over whether a domain is evacuated; return how many runs are at work there."""
        is_evacuated = domain in self._term.records.evacuations.evacuated
        lives = [life for life in self.by_id.values() if life.info.domain == domain]
        for life in lives:
            if life.is_evacuated and not is_evacuated:
                # Its next heartbeat tells whether that is so.
                life.cold_until = now + self._term.reports.interval
            life.is_evacuated = is_evacuated
            self.touch(life)
        self._room = None
        return sum(len(life.runs) for life in lives)

    def is_evacuated(self, service: ServiceName) -> bool:
        """Whether nothing but the evacuation of their domains keeps the upstreams of a service."""
        if not self._term.records.evacuations.evacuated:
            return False
        lives = (life for life in self.by_id.values() if life.info.service == service)
        there = [life for life in lives if not (life.is_over or life.draining or life.is_foreign)]
        return bool(there) and all(life.is_evacuated for life in there)

    def get_health(self, life: Life) -> UpstreamHealth:
        """Return how the runs at a life have gone."""
        health = self._health.get(life.info.id)
        if health is None:
            health = self._health[life.info.id] = UpstreamHealth()
        return health

    def find_working(self, now: timedelta) -> dict[ServiceName, list[Life]]:
        """Return the lives that take work, by service, without those set aside."""
        by_service: dict[ServiceName, list[Life]] = {}
        for life in self.by_id.values():
            if self.takes_work(life, now):
                by_service.setdefault(life.info.service, []).append(life)
        for service, lives in by_service.items():
            well = [life for life in lives if not self.get_health(life).is_suspended(now)]
            if len(well) >= len(lives) * (1.0 - MAX_SUSPENDED_SHARE):
                by_service[service] = well
        return by_service

    def takes_work(self, life: Life, now: timedelta) -> bool:
        """Whether a life takes work at all, be it set aside or not."""
        life.is_on_trial = self.get_health(life).is_on_probation
        return life.takes_work(now) and not self._may_be_full(life, now)

    def _may_be_full(self, life: Life, now: timedelta) -> bool:
        """Whether an upstream that starts whatever it is told may have less room than is known.

        It runs something of unknown needs, or has not said for long what its capacity is.
        """
        if not life.has_orphans and self._is_report_valid(life, now):
            return False
        return life.info.service in self._list_unguarded()

    def _list_unguarded(self) -> set[ServiceName]:
        """Return the services whose upstreams start whatever they are told."""
        configuration = self._term.records.configuration
        services = configuration.services if configuration is not None else ()
        return {service.name for service in services if not service.rejects_overload}

    def find_newly_doubted(self, now: timedelta) -> list[UpstreamId]:
        """Return upstreams that guard nothing and whose heartbeat was just missed."""
        unguarded = self._list_unguarded()
        if not unguarded:
            return []
        doubted = [life for life in self.by_id.values() if self._is_missed(life, unguarded, now)]
        for life in doubted:
            life.is_capacity_doubted = True
        return [life.info.id for life in doubted]

    def _is_missed(self, life: Life, unguarded: set[ServiceName], now: timedelta) -> bool:
        if life.is_capacity_doubted or life.info.service not in unguarded:
            return False
        missed_after = self._term.reports.missed_after
        return life.reported_at is None or now >= life.reported_at + missed_after

    def list_changes(self, life: Life) -> list[timedelta]:
        """Return the moments at which a life takes work, or ceases to, by the clock alone."""
        moments = [life.avoid_until, self.get_health(life).suspended_until]
        if life.reported_at is not None and life.info.service in self._list_unguarded():
            moments.append(life.reported_at + self._term.reports.valid_for)
        return moments

    def _is_report_valid(self, life: Life, now: timedelta) -> bool:
        """Whether starts by the capacity that is known would be borne, had it shrunk meanwhile."""
        reported_at = life.reported_at
        return reported_at is not None and now < reported_at + self._term.reports.valid_for

    def measure_room(self, now: timedelta) -> float:
        """Return the cores to reckon with; at the beginning of a term, also those not seen yet."""
        if self._room is not None and now < self._room[0]:
            return self._room[1]
        is_new = self.is_grace(now)
        room = measure_usable_cores(
            life
            for life in self.by_id.values()
            if life.takes_work(now) or (is_new and _may_take_work(life))
        )
        self._room = (now + ROOM_KEPT, room)
        return room

    def dispute(self, job: JobId) -> None:
        """Let the runs of a job end with their leases, even where their stops do not arrive.

        Whoever decides about it next waits for these leases only; that of an upstream holds for all
        that runs there, so that other runs would keep it alive.
        """
        for life in self.by_id.values():
            for key in [each for each in life.runs if each[0].job == job]:
                life.dispute(key)

    def want_stop(self, upstream: UpstreamId, ref: TaskRef, run: RunNumber) -> None:
        """Have a run stopped as soon as it can be."""
        life = self.by_id.get(upstream)
        found = life.runs.get((ref, run)) if life is not None else None
        if life is not None and found is not None:
            found.stop_wanted = True
            self.touch(life)


def _may_take_work(life: Life) -> bool:
    """Whether an upstream that has not answered this leader can be expected to take work."""
    return not (
        life.is_fenced or life.draining or life.is_evacuated or life.is_over or life.is_foreign
    )
