"""A model of a site: gateways, successive leaders, acting leaders by domain, network cuts.

Gateways pass callers' jobs to a coordinator, the host that schedules them: the leader or, where it
cannot be reached, a gateway that acts as leader for its own failure domain. They use the timeouts
of `runtime.coordinator_link`: they leave a coordinator that has not answered for 0.35 s and follow
an acting leader after 0.52 s (0.9 s if an election is possible). A caller submits a job again 1.3 s
after its gateway was lost or has abandoned the job. A delayed host processes what has arrived, and
schedules, only when it continues. `ModelUpstream` fails the test if a task runs twice at a time.

Gateways know the last leader's term and records from its last answer only, and use these to act as
leader. Upstreams send heartbeats, which any control host that they reach passes on to the leader;
so a leader that has forgotten an upstream learns of it again.
"""

from __future__ import annotations

import functools
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from ..core.clock import to_milliseconds
from ..core.cluster.calls import Contact, KeepAlive
from ..core.cluster.capacity_reports import DEFAULT_REPORT_TERMS
from ..core.cluster.commands import Command
from ..core.cluster.instances import choose_lease_terms
from ..core.cluster.model import JobId, JobSpec, UpstreamInfo
from ..core.cluster.open_job import Submission
from ..core.cluster.orders import Order, StopOrder
from ..core.cluster.records import JobRecord, Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import DomainName, UpstreamId
from ..runtime.acting_leader import ACT_AS_LEADER_AFTER, ACT_AS_LEADER_AFTER_SILENCE
from ..runtime.confirmations import ABANDONED_REPORT_PERIOD
from ..runtime.coordinator_link import CALLS_LOST_AFTER, KEEPALIVE_TIMEOUT
from ..runtime.gateway_registry import GATEWAY_TIMEOUT, GatewayRegistry
from ..runtime.leadership import LONG_DECISION_GAP
from ..runtime.messenger import REPORT_INTERVAL
from .model_upstreams import (
    Leader,
    ModelUpstream,
    World,
    build_info,
    build_queue,
    build_spec,
    milliseconds,
)

NORTH, SOUTH, EAST = DomainName("north"), DomainName("south"), DomainName("east")

CALLER_RETRY = milliseconds(1_300)
CALL_TIMEOUT = milliseconds(1_460)
"""How long a caller waits for the end of its job before it disconnects, which abandons the job."""
TERMS = choose_lease_terms(timedelta(seconds=1), CALLER_RETRY, GATEWAY_TIMEOUT)
RECONCILE_AFTER = TERMS.lapse_after + GATEWAY_TIMEOUT
LEADER_LEASE = milliseconds(280)
HOP_DELAY = milliseconds(1)
"""How long a message between a gateway and a coordinator takes."""
TURN_INTERVAL = milliseconds(50)
"""How often each gateway sends keep-alives and decides which coordinator to follow."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorldClock:
    """The time of the world as the clock of a host."""

    world: World

    def now(self) -> datetime:
        """Return the time since the epoch as if the world had begun then."""
        return datetime.fromtimestamp(0, UTC) + self.world.now

    def monotonic(self) -> timedelta:
        """Return the time since the start of the world."""
        return self.world.now


@dataclass(slots=True, kw_only=True)
class ModelCoordinator(Leader):
    """A leader or acting leader on a host that may be delayed, with its contacts to gateways."""

    site: Site
    home: DomainName
    host: str | None = None
    """The gateway that acts as leader; None for a leader, which is on a control host."""
    busy_until: timedelta = timedelta()
    decided_at: timedelta = timedelta()
    abandoned: set[int] = field(default_factory=set)
    """Numbers of the calls that their gateways have abandoned."""
    gateways: GatewayRegistry = field(init=False)

    def __post_init__(self) -> None:
        self.gateways = GatewayRegistry(
            term=self.token // TOKENS_PER_TERM,
            token=self.token,
            clock=WorldClock(world=self.world),
        )
        self.gateways.on_reconnect = lambda gateway: self.dispatch.abandon_silent_gateways(
            lambda each: each != gateway, self.world.now
        )
        Leader.__post_init__(self)
        self.dispatch.may_have_acting_leader = self._may_have_acting_leader

    def _may_have_acting_leader(self) -> bool:
        """Return the same as `Leadership` does."""
        domains = {record.info.domain for record in self.records.upstreams.values()}
        return self.gateways.may_act_as_leader(domains)

    def when_free(self, act: Callable[[], None]) -> None:
        """Do something once this host continues, unless its term is over by then."""
        self.world.at(
            max(self.busy_until - self.world.now, timedelta()),
            lambda: None if self.is_over else act(),
        )

    def act(self) -> None:
        """Schedule as `Leadership` does: not after a delay, and not for silent gateways."""
        now = self.world.now
        if self.is_over or now < self.busy_until:
            return
        was_delayed, self.decided_at = now - self.decided_at > LONG_DECISION_GAP, now
        if was_delayed:
            return
        self.dispatch.abandon_silent_gateways(self.gateways.is_connected, now)
        Leader.act(self)

    def handle_abandoned(self, gateway: str, calls: list[ModelCall]) -> None:
        """Abandon the calls that a gateway has abandoned, and refuse those yet to arrive."""
        for call in calls:
            self.abandoned.add(call.number)
            job = self.dispatch.jobs.jobs.get(call.job)
            if job is not None and job.gateway == gateway:
                self.dispatch.abandon(call.job, gateway, self.world.now)

    def receive_job(self, gateway: str, call: ModelCall, contact: Contact | None) -> None:
        """Accept a job as `JobAnswers` does."""
        if call.number in self.abandoned:
            return
        sent_at = self.gateways.find_send_time(gateway, contact)
        if sent_at is None:
            # Refused as not started: its gateway tries again.
            if call.at is self:
                call.at, call.has_arrived = None, False
            return
        if not self.is_acting and call.acting_leader_term * TOKENS_PER_TERM >= self.token:
            # An acting leader's token is higher: only a leader of a later term may continue.
            self.site.lead_from(self.home)
            return
        if self.dispatch.jobs.find_ended(call.job):
            return
        submission = Submission(
            gateway=gateway,
            confirmed_until=sent_at + GATEWAY_TIMEOUT,
            may_have_begun=call.may_have_begun,
            may_be_of_acting_leader=call.may_be_of_acting_leader,
            reconcile_after=(
                RECONCILE_AFTER if call.may_have_begun else RECONCILE_AFTER - CALLER_RETRY
            ),
        )
        if self.dispatch.jobs.is_open(call.job):
            self.dispatch.merge_submission(call.job, submission, self.world.now)
            return
        record = JobRecord(id=call.job, queue=self.site.queue, spec=call.spec, accepted_ms=0)
        self.dispatch.submit(record, submission, self.world.now)
        self.act()

    def _commit(self, command: Command) -> None:
        # A new leader starts once everything left of earlier terms is in its records.
        if not self.is_over or self.site.leader is None:
            Leader._commit(self, command)

    def receive_heartbeat(self, upstream: ModelUpstream) -> None:
        """Handle a heartbeat that a control host has received."""
        self.dispatch.handle_heartbeat(upstream.build_heartbeat(), self.world.now)
        self.act()

    def _send(self, order: Order) -> None:
        is_lost = isinstance(order, StopOrder) and self.site.loses_stop(order)
        is_away = is_lost or not self.site.can_order(self, order.upstream)
        self.cut_off = {order.upstream.id} if is_away else set()
        Leader._send(self, order)

    def _handle_answer(
        self, order: Order, value: object, sent_at: timedelta, upstream: ModelUpstream
    ) -> None:
        if not self.site.can_order(self, upstream.info):
            value = None
        if self.world.now < self.busy_until:
            self.when_free(lambda: self._handle_answer(order, value, sent_at, upstream))
            return
        Leader._handle_answer(self, order, value, sent_at, upstream)


@dataclass(slots=True, kw_only=True)
class ModelCall:
    """One attempt of a caller to run a job, and the coordinator to which its gateway sent it."""

    job: JobId
    spec: JobSpec
    give_up_at: timedelta
    at: ModelCoordinator | None = None
    has_arrived: bool = False
    may_have_begun: bool = False
    may_be_of_acting_leader: bool = False
    acting_leader_term: int = 0
    number: int = field(default_factory=itertools.count().__next__)


@dataclass(slots=True, kw_only=True)
class ModelGateway:
    """A gateway, the coordinator that it follows, and its calls in progress."""

    site: Site
    name: str
    domain: DomainName
    is_up: bool = True
    coordinator: ModelCoordinator | None = None
    answered_at: timedelta = timedelta()
    """When the coordinator that it follows last answered."""
    leader_seen_at: timedelta = timedelta()
    calls: list[ModelCall] = field(default_factory=list)
    is_answered: bool = False
    """Whether the coordinator that it follows has answered, so that it can confirm its calls."""
    abandoned: list[tuple[timedelta, ModelCall]] = field(default_factory=list)
    known_term: int = 0
    """The term of the last leader that has answered."""
    known_records: str = ""
    """The records of that leader when it last answered."""

    def run_turn(self) -> None:
        """Send keep-alives, choose the coordinator to follow, and forward calls."""
        site, now = self.site, self.site.world.now
        if not self.is_up:
            return
        contacted = {id(each): each for each in (site.leader, self.coordinator) if each is not None}
        for each in contacted.values():
            self._send_keepalive(each)
        coordinator = self.coordinator
        if coordinator is not None and now - self.answered_at >= CALLS_LOST_AFTER:
            self.leave_coordinator()
        if self.coordinator is None and now - self.leader_seen_at >= site.find_acting_leader_delay(
            self.domain
        ):
            self.coordinator = site.find_acting_leader(self)
            self.answered_at = now
            if self.coordinator is not None:
                # The acting leader has been asked, and so has answered, before it is followed.
                self.is_answered = True
        for call in list(self.calls):
            self._forward(call)

    def _find_contact(self, coordinator: ModelCoordinator) -> Contact | None:
        is_following = self.coordinator is coordinator and self.is_answered
        sent_ms = to_milliseconds(self.site.world.now)
        return Contact(token=coordinator.token, answered_ms=sent_ms) if is_following else None

    def leave_coordinator(self) -> None:
        """Leave the coordinator; the outcome of all calls is unknown, and they go elsewhere."""
        self.coordinator, self.is_answered = None, False
        for call in self.calls:
            self._mark_unanswered(call)

    def _mark_unanswered(self, call: ModelCall) -> None:
        if call.at is not None:
            call.may_have_begun = True
            if call.at.is_acting:
                call.may_be_of_acting_leader = True
                call.acting_leader_term = max(
                    call.acting_leader_term, call.at.token // TOKENS_PER_TERM
                )
        call.at, call.has_arrived = None, False

    def _send_keepalive(self, coordinator: ModelCoordinator) -> None:
        world, sent_at = self.site.world, self.site.world.now
        contact = self._find_contact(coordinator)
        self.abandoned = [
            (at, call) for at, call in self.abandoned if sent_at - at < ABANDONED_REPORT_PERIOD
        ]
        abandoned = [call for _, call in self.abandoned]

        def receive() -> None:
            coordinator.handle_abandoned(self.name, abandoned)
            coordinator.gateways.handle_keepalive(
                KeepAlive(gateway=self.name, domain=self.domain, contact=contact)
            )
            world.at(HOP_DELAY, receive_answer)

        def receive_answer() -> None:
            is_late = world.now - sent_at > KEEPALIVE_TIMEOUT
            if is_late or not self.is_up or not self.site.can_contact(self, coordinator):
                return
            if coordinator is self.site.leader:
                self.leader_seen_at = world.now
                self.known_term = self.site.term
                self.known_records = self.site.encoded_records
                if self.coordinator is not coordinator:
                    self.leave_coordinator()
                    self.coordinator = coordinator
                    self.site.end_acting_leader(self)
            if self.coordinator is coordinator:
                self.answered_at = world.now
                self.is_answered = True

        if self.site.can_contact(self, coordinator):
            world.at(HOP_DELAY, lambda: coordinator.when_free(receive))

    def _forward(self, call: ModelCall) -> None:
        world, coordinator = self.site.world, call.at
        if (
            coordinator is not None
            and call.has_arrived
            and not coordinator.dispatch.jobs.is_open(call.job)
        ):
            if coordinator.dispatch.jobs.find_ended(call.job) is not None:
                self.calls.remove(call)
                return
            self._mark_unanswered(call)
        if world.now >= call.give_up_at:
            self.calls.remove(call)
            self._abandon(call)
            self.site.send_again(call, self.domain)
            return
        if call.at is None and self.coordinator is not None:
            target = self.coordinator
            contact = self._find_contact(target)
            call.at = target

            def arrive() -> None:
                call.has_arrived = call.has_arrived or call.at is target
                target.receive_job(self.name, call, contact)

            if self.site.can_contact(self, target):
                world.at(HOP_DELAY, lambda: target.when_free(arrive))

    def _abandon(self, call: ModelCall) -> None:
        self.abandoned.append((self.site.world.now, call))
        target = self.coordinator
        if target is not None and self.site.can_contact(self, target):

            def abandon() -> None:
                target.dispatch.abandon(call.job, self.name, target.world.now)
                target.act()

            self.site.world.at(HOP_DELAY, lambda: target.when_free(abandon))


@dataclass(slots=True, kw_only=True)
class Site:
    """All hosts, the network cuts, the leader and the acting leaders."""

    world: World
    upstreams: dict[UpstreamId, ModelUpstream]
    gateways: list[ModelGateway] = field(default_factory=list)
    records: Records = field(default_factory=Records)
    encoded_records: str = ""
    """The records as the leader sends them to gateways, of the last turn."""
    cut_off: set[DomainName] = field(default_factory=set)
    cut_links: set[frozenset[DomainName]] = field(default_factory=set)
    """Pairs of domains that do not reach each other, while others reach both."""
    isolated: set[str] = field(default_factory=set)
    """Gateways and upstreams that are still cut off while the rest of their domain is not.

    Such gateways reach each other and the upstreams of their domain, as acting leaders do.
    """
    acts_for_all: bool = False
    """Whether an acting leader orders the upstreams of all domains, as on small sites."""
    elsewhere_share: float = 0.25
    """Share of callers that submit their job again to any gateway, not to one of its domain."""
    stops_lost_at: set[UpstreamId] = field(default_factory=set)
    leader: ModelCoordinator | None = None
    acting_leaders: dict[DomainName, ModelCoordinator] = field(default_factory=dict)
    term: int = 0
    level: int = 0
    begun_earlier: frozenset[JobId] | None = None
    """What the last leader has reported of the jobs that it has begun."""
    queue = build_queue(max_attempts=50)

    def can_reach(self, one: DomainName, other: DomainName) -> bool:
        is_cut = {one, other} & self.cut_off or frozenset((one, other)) in self.cut_links
        return one == other or not is_cut

    def can_be_forwarded(self, one: DomainName, other: DomainName) -> bool:
        """Return whether messages arrive directly or through a control host of a third domain."""
        vias = {each.domain for each in self.gateways}
        return any(self.can_reach(one, via) and self.can_reach(via, other) for via in vias)

    def can_contact(self, gateway: ModelGateway, coordinator: ModelCoordinator) -> bool:
        """Return whether a gateway and a coordinator reach each other."""
        is_isolated = gateway.name in self.isolated
        if coordinator.host is None:
            return not is_isolated and self.can_be_forwarded(gateway.domain, coordinator.home)
        if is_isolated != (coordinator.host in self.isolated):
            return False
        return gateway.domain == coordinator.home or (
            not is_isolated and self.can_reach(gateway.domain, coordinator.home)
        )

    def can_order(self, coordinator: ModelCoordinator, upstream: UpstreamInfo) -> bool:
        """Return whether a coordinator and an upstream reach each other."""
        if coordinator.home == upstream.domain:
            return True
        is_isolated = bool({coordinator.host, upstream.id} & self.isolated)
        return not is_isolated and self.can_reach(coordinator.home, upstream.domain)

    def send_heartbeats_forever(self, upstream: ModelUpstream) -> None:
        """Let an upstream send heartbeats to control hosts, which pass them on to the leader."""
        leader, info = self.leader, upstream.info
        is_heard = upstream.is_up and info.id not in self.isolated
        if leader is not None and is_heard and self.can_be_forwarded(info.domain, leader.home):
            leader.when_free(lambda: leader.receive_heartbeat(upstream))
        interval = DEFAULT_REPORT_TERMS.interval
        self.world.at(interval, lambda: self.send_heartbeats_forever(upstream))

    def loses_stop(self, order: StopOrder) -> bool:
        return order.upstream.id in self.stops_lost_at

    def run_turns_forever(self) -> None:
        """Let each gateway take its turn, periodically."""
        if self.leader is not None and self.leader.dispatch.is_superseded:
            self.lead_from(self.leader.home)
        for acting_leader in self.acting_leaders.values():
            acting_leader.is_over = acting_leader.is_over or acting_leader.dispatch.is_superseded
        self.encoded_records = self.records.encode()
        for gateway in self.gateways:
            gateway.run_turn()
        self.world.at(TURN_INTERVAL, self.run_turns_forever)

    def lead_from(self, home: DomainName) -> None:
        """Make a host of a domain the leader of the next term."""
        self.lose_leader()
        self.term += 1
        # One new leader in four has missed the reports of the last one.
        begun_earlier = self.begun_earlier if self.term % 4 else None
        self.leader = self._start(
            home, self.records, self.term * TOKENS_PER_TERM, begun_earlier=begun_earlier
        )

    def lose_leader(self) -> None:
        if self.leader is not None:
            self.leader.is_over = True
            active = self.leader.dispatch.active_runs.list_best_effort_jobs()
            # What has begun since the last report is not known to the next leader.
            reported_at = self.world.now - REPORT_INTERVAL
            unreported = {ref.job for ref, at in self.world.begun if at > reported_at}
            self.begun_earlier = frozenset(active - unreported)
        self.leader = None

    def find_acting_leader_delay(self, domain: DomainName) -> timedelta:
        return ACT_AS_LEADER_AFTER_SILENCE if domain in self.cut_off else ACT_AS_LEADER_AFTER

    def find_acting_leader(self, gateway: ModelGateway) -> ModelCoordinator | None:
        """Return the acting leader of a domain: its first gateway, once that has left the leader.

        Domains have one each only with more upstreams than a small host can coordinate. With
        `acts_for_all` there is one for all domains that reach each other.
        """
        for each in self.acting_leaders.values():
            is_followed = self.acts_for_all or each.home == gateway.domain
            if is_followed and not each.is_over and self.can_contact(gateway, each):
                return each
        if gateway is not self._find_first(gateway) or not gateway.known_term:
            return None
        records = Records()
        records.restore(gateway.known_records)
        # The failover state contains no jobs, and an acting leader may never have heard of them.
        records.jobs = {}
        self.level += 1
        acting_leader = self._start(
            gateway.domain,
            records,
            gateway.known_term * TOKENS_PER_TERM + self.level,
            host=gateway.name,
        )
        self.acting_leaders[gateway.domain] = acting_leader
        return acting_leader

    def _find_first(self, gateway: ModelGateway) -> ModelGateway:
        """Return the first of the gateways that reach each other and could act for this one."""
        is_isolated = gateway.name in self.isolated
        return next(
            each
            for each in self.gateways
            if each.is_up
            and (each.name in self.isolated) == is_isolated
            and (
                each.domain == gateway.domain
                or (
                    self.acts_for_all
                    and not is_isolated
                    and self.can_reach(each.domain, gateway.domain)
                )
            )
        )

    def end_acting_leader(self, gateway: ModelGateway) -> None:
        """End the term of an acting leader whose host has found a leader."""
        acting_leader = self.acting_leaders.get(gateway.domain)
        if acting_leader is not None and acting_leader.host == gateway.name:
            acting_leader.is_over = True

    def list_up(self, domain: DomainName) -> Iterable[ModelGateway]:
        return (each for each in self.gateways if each.domain == domain and each.is_up)

    def kill(self, gateway: ModelGateway) -> None:
        """Kill a gateway with all its state; its callers see their connections break."""
        self.end_acting_leader(gateway)
        gateway.is_up = False
        gateway.known_term, gateway.known_records = 0, ""
        calls, gateway.calls, gateway.coordinator = gateway.calls, [], None
        gateway.is_answered = False
        for call in calls:
            self.send_again(call, gateway.domain)

    def submit(self, job: str, gateway: ModelGateway, run_ms: int = 900, tasks: int = 1) -> None:
        spec = build_spec(tasks=tasks, run_ms=run_ms)
        give_up_at = self.world.now + CALL_TIMEOUT
        gateway.calls.append(ModelCall(job=JobId(job), spec=spec, give_up_at=give_up_at))

    def submit_durable(self, job: str, run_ms: int = 900, tasks: int = 1) -> None:
        """Have the leader store a job, if there is one, without telling any gateway of it."""
        if self.leader is not None:
            spec = build_spec(tasks=tasks, run_ms=run_ms, durable=True)
            self.leader.submit(job, spec, self.queue)

    def send_again(self, call: ModelCall, domain: DomainName) -> None:
        """Let a caller submit its job again, mostly to a gateway of its domain, or to any."""
        elsewhere = self.world.random.random() < self.elsewhere_share

        def send() -> None:
            up = [each for each in self.gateways if each.is_up]
            if not elsewhere:
                up = list(self.list_up(domain))
            if up:
                gateway = self.world.random.choice(up)
                give_up_at = self.world.now + CALL_TIMEOUT
                gateway.calls.append(ModelCall(job=call.job, spec=call.spec, give_up_at=give_up_at))

        self.world.at(CALLER_RETRY, send)

    def _start(
        self,
        home: DomainName,
        records: Records,
        token: int,
        *,
        host: str | None = None,
        begun_earlier: frozenset[JobId] | None = None,
    ) -> ModelCoordinator:
        return ModelCoordinator(
            world=self.world,
            upstreams=self.upstreams,
            records=records,
            token=token,
            terms=TERMS,
            site=self,
            home=home,
            host=host,
            domain=home if host is not None and not self.acts_for_all else None,
            is_acting=host is not None,
            begun_earlier=begun_earlier,
            decided_at=self.world.now,
        )


def build_site(seed: int, upstreams_each: int = 1, **shares: float) -> Site:
    """Return a site of three domains with two gateways each; the leader is in the north."""
    chance = random.Random(seed)
    site = Site(world=World(random=chance, **shares), upstreams={})  # type: ignore[arg-type]
    for domain in (NORTH, SOUTH, EAST) * upstreams_each:
        info = build_info(f"u{len(site.upstreams) + 1}", domain=domain)
        site.upstreams[info.id] = ModelUpstream(
            world=site.world,
            info=info,
            rate=chance.uniform(0.98, 1.0),
            run_times=lambda job: milliseconds(5_000),
        )
    for domain in (NORTH, SOUTH, EAST) * 2:
        name = f"{domain}-{len(site.gateways)}"
        site.gateways.append(ModelGateway(site=site, name=name, domain=domain))
    site.lead_from(NORTH)
    assert site.leader is not None
    for number, upstream in enumerate(site.upstreams.values()):
        site.leader.receive_heartbeat(upstream)
        # Their heartbeats are spread over the interval.
        delay = DEFAULT_REPORT_TERMS.interval * (number + 1) / len(site.upstreams)
        site.world.at(delay, functools.partial(site.send_heartbeats_forever, upstream))
    site.run_turns_forever()
    site.world.run_until(milliseconds(300))
    return site
