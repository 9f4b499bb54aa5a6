"""A model of a whole site: gateways, leaders in turn, deputies by domain, cuts between domains.

Gateways keep the times of `runtime.decider`: a decider that has not answered for 0.35 s is left, a
deputy is followed after 0.52 s (0.9 s where an election may come about), and a caller sends a job
again 1.3 s after its gateway was lost or has given the job up. A host that is held up takes in what
has arrived, and decides, only when it gets on. `ModelUpstream` stops the test at a second run.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from ..core.cluster.commands import Command
from ..core.cluster.lives import choose_terms
from ..core.cluster.model import JobId, JobSpec
from ..core.cluster.open_job import Submission
from ..core.cluster.orders import Order, StopOrder
from ..core.cluster.records import JobRecord, Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import DomainName, UpstreamId
from ..runtime.decider import CALLS_LOST_AFTER, KEEPALIVE_TIMEOUT
from ..runtime.deputy import ACT_AS_LEADER_AFTER, ACT_AS_LEADER_AFTER_SILENCE
from ..runtime.gateways import GATEWAY_TIMEOUT
from ..runtime.leading import HELD_UP
from ..runtime.vouching import ABANDONED_REPORT_PERIOD
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
PATIENCE = milliseconds(1_460)
TERMS = choose_terms(timedelta(seconds=1), CALLER_RETRY, GATEWAY_TIMEOUT)
SETTLE_AFTER = TERMS.lapse_after + GATEWAY_TIMEOUT
LEADER_LEASE = milliseconds(280)
HOP = milliseconds(1)
TURN = milliseconds(50)


@dataclass(slots=True, kw_only=True)
class Decider(Leader):
    """A leader or a deputy at a host that may be held up, with the gateways it has heard."""

    site: Site
    home: DomainName
    busy_until: timedelta = timedelta()
    decided_at: timedelta = timedelta()
    heard: dict[str, timedelta] = field(default_factory=dict)
    given_up: set[int] = field(default_factory=set)
    """Numbers of the calls that their gateways have given up."""

    def when_free(self, act: Callable[[], None]) -> None:
        """Do something as soon as this host gets on, unless it has ceased to decide by then."""
        self.world.at(
            max(self.busy_until - self.world.now, timedelta()),
            lambda: None if self.is_over else act(),
        )

    def act(self) -> None:
        """Decide as `Leading` does: not after a gap, and not for gateways that are silent."""
        now = self.world.now
        if self.is_over or now < self.busy_until:
            return
        was_held_up, self.decided_at = now - self.decided_at > HELD_UP, now
        if was_held_up:
            return
        self.dispatch.abandon_silent(self.is_heard, now)
        Leader.act(self)

    def is_heard(self, gateway: str) -> bool:
        return self.world.now - self.heard.get(gateway, -GATEWAY_TIMEOUT) < GATEWAY_TIMEOUT

    def counts(self, contact: Contact | None) -> bool:
        """Whether what came with a contact was sent here, and lately."""
        if contact is None or contact.decider is not self:
            return False
        return self.world.now - contact.sent_at < GATEWAY_TIMEOUT

    def hear(self, gateway: str, contact: Contact | None) -> None:
        """Count on a gateway from when it sent something, as `Gateways` does."""
        if contact is None or not self.counts(contact):
            return
        if gateway in self.heard and not self.is_heard(gateway):
            self.dispatch.abandon_silent(lambda each: each != gateway, self.world.now)
        known = self.heard.get(gateway, contact.sent_at)
        self.heard[gateway] = max(contact.sent_at, known)

    def take_given_up(self, gateway: str, calls: list[ModelCall]) -> None:
        """Give up what a gateway has given up, and refuse it where it comes only now."""
        for call in calls:
            self.given_up.add(call.number)
            job = self.dispatch.jobs.jobs.get(call.job)
            if job is not None and job.gateway == gateway:
                self.dispatch.abandon(call.job, gateway, self.world.now)

    def take_job(self, gateway: str, call: ModelCall, contact: Contact | None) -> None:
        """Take a job in as `JobAnswers` does."""
        if call.number in self.given_up:
            return
        if contact is None or not self.counts(contact):
            # Refused as not begun: its gateway tries again.
            if call.at is self:
                call.at, call.has_arrived = None, False
            return
        if not self.is_deputy and call.deputy_term * TOKENS_PER_TERM >= self.token:
            # A deputy's token is higher: only a leader of a later term may go on.
            self.site.lead_from(self.home)
            return
        if self.dispatch.jobs.is_open(call.job) or self.dispatch.jobs.find_ended(call.job):
            return
        self.dispatch.submit(
            JobRecord(id=call.job, queue=self.site.queue, spec=call.spec, accepted_ms=0),
            Submission(
                gateway=gateway,
                vouched_until=contact.sent_at + GATEWAY_TIMEOUT,
                may_have_begun=call.may_have_begun,
                may_be_of_deputy=call.may_be_of_deputy,
                settle_after=SETTLE_AFTER if call.may_have_begun else SETTLE_AFTER - CALLER_RETRY,
            ),
            self.world.now,
        )
        self.act()

    def _commit(self, command: Command) -> None:
        # A new leader begins once all that may be left of earlier terms is in its record.
        if not self.is_over or self.site.leader is None:
            Leader._commit(self, command)

    def _send(self, order: Order) -> None:
        domain = order.upstream.domain
        is_lost = isinstance(order, StopOrder) and self.site.loses_stop(order)
        is_away = is_lost or not self.site.can_reach(self.home, domain)
        self.cut_off = {order.upstream.id} if is_away else set()
        Leader._send(self, order)

    def _take_answer(
        self, order: Order, value: object, sent_at: timedelta, upstream: ModelUpstream
    ) -> None:
        if not self.site.can_reach(self.home, upstream.info.domain):
            value = None
        if self.world.now < self.busy_until:
            self.when_free(lambda: self._take_answer(order, value, sent_at, upstream))
            return
        Leader._take_answer(self, order, value, sent_at, upstream)


@dataclass(frozen=True, slots=True, kw_only=True)
class Contact:
    """Whom a message was sent to, by a gateway that it has answered, and when."""

    decider: Decider
    sent_at: timedelta


@dataclass(slots=True, kw_only=True)
class ModelCall:
    """One try of a caller to have a job run, and where its gateway has it."""

    job: JobId
    spec: JobSpec
    give_up_at: timedelta
    at: Decider | None = None
    has_arrived: bool = False
    may_have_begun: bool = False
    may_be_of_deputy: bool = False
    deputy_term: int = 0
    number: int = field(default_factory=itertools.count().__next__)


@dataclass(slots=True, kw_only=True)
class ModelGateway:
    """A gateway: whom it follows, and the calls that it has under way."""

    site: Site
    name: str
    domain: DomainName
    is_up: bool = True
    decider: Decider | None = None
    answered_at: timedelta = timedelta()
    """When the decider that it follows has last answered."""
    led_at: timedelta = timedelta()
    calls: list[ModelCall] = field(default_factory=list)
    is_answered: bool = False
    """Whether the decider that it follows has answered it, so that it can vouch for itself."""
    given_up: list[tuple[timedelta, ModelCall]] = field(default_factory=list)

    def turn(self) -> None:
        """Greet, follow whoever is to be followed, and pass calls on."""
        site, now = self.site, self.site.world.now
        if not self.is_up:
            return
        greeted = {id(each): each for each in (site.leader, self.decider) if each is not None}
        for each in greeted.values():
            self._greet(each)
        decider = self.decider
        if decider is not None and now - self.answered_at >= CALLS_LOST_AFTER:
            self.leave()
        if self.decider is None and now - self.led_at >= site.find_deputy_delay(self.domain):
            self.decider = site.find_deputy(self)
            self.answered_at = now
            if self.decider is not None:
                # It was asked, and so heard, before it was followed.
                self.is_answered = True
        for call in list(self.calls):
            self._pass_on(call)

    def _find_contact(self, decider: Decider) -> Contact | None:
        is_there = self.decider is decider and self.is_answered
        return Contact(decider=decider, sent_at=self.site.world.now) if is_there else None

    def leave(self) -> None:
        """Send all calls elsewhere: what has become of them is not known."""
        self.decider, self.is_answered = None, False
        for call in self.calls:
            self._lose(call)

    def _lose(self, call: ModelCall) -> None:
        if call.at is not None:
            call.may_have_begun = True
            if call.at.is_deputy:
                call.may_be_of_deputy = True
                call.deputy_term = max(call.deputy_term, call.at.token // TOKENS_PER_TERM)
        call.at, call.has_arrived = None, False

    def _greet(self, decider: Decider) -> None:
        world, sent_at = self.site.world, self.site.world.now
        contact = self._find_contact(decider)
        given_up = [call for at, call in self.given_up if sent_at - at < ABANDONED_REPORT_PERIOD]

        def hear() -> None:
            decider.take_given_up(self.name, given_up)
            decider.hear(self.name, contact)
            world.at(HOP, receive_answer)

        def receive_answer() -> None:
            is_late = world.now - sent_at > KEEPALIVE_TIMEOUT
            if is_late or not self.is_up or not self.site.can_reach(decider.home, self.domain):
                return
            if decider is self.site.leader:
                self.led_at = world.now
                if self.decider is not decider:
                    self.leave()
                    self.decider = decider
                    self.site.stand_down(self)
            if self.decider is decider:
                self.answered_at = world.now
                self.is_answered = True

        if self.site.can_reach(self.domain, decider.home):
            world.at(HOP, lambda: decider.when_free(hear))

    def _pass_on(self, call: ModelCall) -> None:
        world, decider = self.site.world, call.at
        if decider is not None and call.has_arrived and not decider.dispatch.jobs.is_open(call.job):
            if decider.dispatch.jobs.find_ended(call.job) is not None:
                self.calls.remove(call)
                return
            self._lose(call)
        if world.now >= call.give_up_at:
            self.calls.remove(call)
            self._abandon(call)
            self.site.send_again(call, self.domain)
            return
        if call.at is None and self.decider is not None:
            target = self.decider
            contact = self._find_contact(target)
            call.at = target

            def arrive() -> None:
                call.has_arrived = call.has_arrived or call.at is target
                target.take_job(self.name, call, contact)

            if self.site.can_reach(self.domain, target.home):
                world.at(HOP, lambda: target.when_free(arrive))

    def _abandon(self, call: ModelCall) -> None:
        self.given_up.append((self.site.world.now, call))
        target = self.decider
        if target is not None and self.site.can_reach(self.domain, target.home):

            def abandon() -> None:
                target.dispatch.abandon(call.job, self.name, target.world.now)
                target.act()

            self.site.world.at(HOP, lambda: target.when_free(abandon))


@dataclass(slots=True, kw_only=True)
class Site:
    """All hosts, what is cut off, and who decides."""

    world: World
    upstreams: dict[UpstreamId, ModelUpstream]
    gateways: list[ModelGateway] = field(default_factory=list)
    records: Records = field(default_factory=Records)
    cut_off: set[DomainName] = field(default_factory=set)
    stops_lost_at: set[UpstreamId] = field(default_factory=set)
    leader: Decider | None = None
    deputies: dict[DomainName, Decider] = field(default_factory=dict)
    term: int = 0
    level: int = 0
    queue = build_queue(max_attempts=50)

    def can_reach(self, one: DomainName, other: DomainName) -> bool:
        return one == other or not {one, other} & self.cut_off

    def loses_stop(self, order: StopOrder) -> bool:
        return order.upstream.id in self.stops_lost_at

    def turn_forever(self) -> None:
        """Have each gateway take its turn."""
        if self.leader is not None and self.leader.dispatch.is_fenced_off:
            self.lead_from(self.leader.home)
        for deputy in self.deputies.values():
            deputy.is_over = deputy.is_over or deputy.dispatch.is_fenced_off
        for gateway in self.gateways:
            gateway.turn()
        self.world.at(TURN, self.turn_forever)

    def lead_from(self, home: DomainName) -> None:
        """Have a host of a domain lead the next term."""
        self.lose_leader()
        self.term += 1
        self.leader = self._start(home, self.records, self.term * TOKENS_PER_TERM)
        for upstream in self.upstreams.values():
            if upstream.is_up and self.can_reach(home, upstream.info.domain):
                self.leader.beat(upstream, sequence=self.term)

    def lose_leader(self) -> None:
        if self.leader is not None:
            self.leader.is_over = True
        self.leader = None

    def find_deputy_delay(self, domain: DomainName) -> timedelta:
        return ACT_AS_LEADER_AFTER_SILENCE if domain in self.cut_off else ACT_AS_LEADER_AFTER

    def find_deputy(self, gateway: ModelGateway) -> Decider | None:
        """Return who stands in for a domain; its lowest gateway does, once it has left the leader.

        Only with more upstreams than one small host can order; this model has it so always.
        """
        deputy = self.deputies.get(gateway.domain)
        if deputy is not None and not deputy.is_over:
            return deputy
        if gateway is not next(each for each in self.list_up(gateway.domain)):
            return None
        records = Records()
        records.restore(self.records.encode())
        self.level += 1
        token = self.term * TOKENS_PER_TERM + self.level
        deputy = self._start(gateway.domain, records, token, gateway.domain)
        self.deputies[gateway.domain] = deputy
        return deputy

    def stand_down(self, gateway: ModelGateway) -> None:
        """End the time of a deputy whose host has found a leader."""
        deputy = self.deputies.get(gateway.domain)
        if deputy is not None and gateway is next(iter(self.list_up(gateway.domain))):
            deputy.is_over = True

    def list_up(self, domain: DomainName) -> Iterable[ModelGateway]:
        return (each for each in self.gateways if each.domain == domain and each.is_up)

    def kill(self, gateway: ModelGateway) -> None:
        """Have a gateway lose everything; its callers see their connections break."""
        deputy = self.deputies.get(gateway.domain)
        if deputy is not None and gateway is next(iter(self.list_up(gateway.domain)), None):
            deputy.is_over = True
        gateway.is_up = False
        calls, gateway.calls, gateway.decider = gateway.calls, [], None
        gateway.is_answered = False
        for call in calls:
            self.send_again(call, gateway.domain)

    def submit(self, job: str, gateway: ModelGateway, run_ms: int = 900, tasks: int = 1) -> None:
        spec = build_spec(tasks=tasks, run_ms=run_ms)
        give_up_at = self.world.now + PATIENCE
        gateway.calls.append(ModelCall(job=JobId(job), spec=spec, give_up_at=give_up_at))

    def send_again(self, call: ModelCall, domain: DomainName) -> None:
        """Have a caller send its job again, mostly to a gateway of its domain, or to any."""
        elsewhere = self.world.random.random() < 0.25

        def send() -> None:
            up = [each for each in self.gateways if each.is_up]
            if not elsewhere:
                up = list(self.list_up(domain))
            if up:
                gateway = self.world.random.choice(up)
                give_up_at = self.world.now + PATIENCE
                gateway.calls.append(ModelCall(job=call.job, spec=call.spec, give_up_at=give_up_at))

        self.world.at(CALLER_RETRY, send)

    def _start(
        self, home: DomainName, records: Records, token: int, domain: DomainName | None = None
    ) -> Decider:
        return Decider(
            world=self.world,
            upstreams=self.upstreams,
            records=records,
            token=token,
            terms=TERMS,
            site=self,
            home=home,
            domain=domain,
            is_deputy=domain is not None,
            decided_at=self.world.now,
        )


def build_site(seed: int, upstreams_each: int = 1, **shares: float) -> Site:
    """Return a site of three domains with two gateways each, that a host in the north leads."""
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
    site.turn_forever()
    site.world.run_until(milliseconds(300))
    return site
