"""Plays a small site with every fault at every order, alone and in pairs, instead of at random.

A play is one simulation, determined by its script: the fault that is injected when the order with a
given number is sent. With an empty script nothing fails. The explorer plays all scripts of up to a
number of faults. A fault changes only what comes after it, so each script is extended at later
orders only, and not at all if no order follows its last fault. The wire model (`wire_site`) asserts
the invariants, for instance that no task runs twice at a time; and each job must complete.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ..core.cluster.crashes import MAX_CRASHES
from ..core.cluster.instances import choose_lease_terms
from ..core.cluster.model import JobId, JobState
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from .model_upstreams import World, build_queue, build_spec, milliseconds
from .wire_site import CallDelivery, WireHost, WireLeader, build_hosts, send_heartbeats

TERMS = choose_lease_terms(timedelta(seconds=1), timedelta(milliseconds=1_300), milliseconds(300))
"""Terms of leases of 0.92 s at the most, as on the users' platform."""
JOB = JobId("a" * 16)
OTHER = JobId("b" * 16)
RUN = milliseconds(1_600)
"""Longer than any lease, so that a lease may end under a run."""
SPEC = build_spec(tasks=1, run_ms=1_600)
QUEUE = build_queue(max_attempts=50, target_ms=60_000)
CALL_DELAY = milliseconds(1)
"""Delay of a request or a reply; heartbeats of successive hosts are offset by it too."""
SUBMITTED_AT = milliseconds(100)
FAULTS_UNTIL = milliseconds(900)
"""Faults are injected until then; the play continues with their consequences."""
ENDED_BY = timedelta(seconds=12)
CUT_OFF_FOR = milliseconds(1_500)
"""Longer than any lease."""
WITHOUT_LEADER = milliseconds(300)
"""Time from the loss of a leader until the next one leads."""
GATEWAY_RESUBMITS_AFTER = milliseconds(60)
"""Time from a change of leader until a gateway submits its jobs again."""
CALLER_RESUBMITS_AFTER = milliseconds(1_300)
"""Time from the loss of its gateway until a caller submits its job again."""


class Fault(Enum):
    """Faults that are injected when an order is sent."""

    ORDER_LOST = "the order is lost"
    ANSWER_LOST = "its answer is lost"
    DELAYED = "it is carried out 0.5 s later, unanswered"
    UPSTREAM_RESTARTED = "its upstream starts again"
    UPSTREAM_CUT_OFF = "its upstream is cut off"
    LEADER_LOST = "the leader is lost"
    GATEWAY_LOST = "the gateway is lost"


Script = tuple[tuple[int, Fault], ...]
"""Ascending numbers of orders, each with the fault that is injected there."""


@dataclass(slots=True, kw_only=True)
class PlayResult:
    """The result of a play."""

    problem: str = ""
    """The violated invariant, or the job that has not completed; empty if there is neither."""
    orders: int = 0
    """Number of orders sent while faults could be injected."""
    timeline: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Play:
    """One play of a script, with two upstreams and two jobs of one task each."""

    script: dict[int, Fault]
    world: World = field(default_factory=lambda: World(random=random.Random(7)))
    hosts: dict[str, WireHost] = field(init=False)
    records: Records = field(default_factory=Records)
    leaders: list[WireLeader] = field(default_factory=list)
    outcome: PlayResult = field(default_factory=PlayResult)

    def __post_init__(self) -> None:
        self.hosts = build_hosts(self.world, 2, run_ms=lambda: RUN / milliseconds(1), rate=0.98)
        for number, host in enumerate(self.hosts.values()):
            host.process.clock_began_ms = 5_000_000 + number
            self.world.at(
                CALL_DELAY * number,
                lambda host=host: send_heartbeats(host, self._find_leader),  # type: ignore[misc]
            )

    def run(self) -> PlayResult:
        """Play the script to its end."""
        self._lead()
        try:
            self.world.run_until(SUBMITTED_AT)
            self._submit(may_have_begun=False)
            self.world.run_until(ENDED_BY)
        except AssertionError as error:
            self._log(f"broken: {error}")
            self.outcome.problem = str(error)
            return self.outcome
        for job in (JOB, OTHER):
            ended = self._find_leader().dispatch.jobs.find_ended(job)
            if ended is not JobState.COMPLETED and not self._may_have_crashed(ended):
                self.outcome.problem = f"{job} has not ended: {ended}"
        return self.outcome

    def _may_have_crashed(self, ended: JobState | None) -> bool:
        """Return whether a job may have failed: two upstreams crashed under one of its tasks."""
        restarts = list(self.script.values()).count(Fault.UPSTREAM_RESTARTED)
        return ended is JobState.FAILED and restarts >= MAX_CRASHES

    def _find_leader(self) -> WireLeader:
        return self.leaders[-1]

    def _log(self, what: str) -> None:
        self.outcome.timeline.append(f"{self.world.now / milliseconds(1):8.1f} ms  {what}")

    def _lead(self) -> None:
        leader = WireLeader(
            world=self.world,
            upstreams={},
            records=self.records,
            token=(len(self.leaders) + 1) * TOKENS_PER_TERM,
            terms=TERMS,
            hosts=self.hosts,
            choose_delivery=self._choose_delivery,
        )
        if self.leaders:
            leader.cut_off = self.leaders[-1].cut_off
        self.leaders.append(leader)

    def _submit(self, *, may_have_begun: bool) -> None:
        leader = self._find_leader()
        if not leader.is_over:
            for job in (JOB, OTHER):
                leader.submit(job, SPEC, QUEUE, may_have_begun=may_have_begun)

    def _choose_delivery(self, host: WireHost) -> CallDelivery:
        """Return the delivery of the next order, and inject its fault, if the script has one."""
        usual = CallDelivery(request_delay=CALL_DELAY, reply_delay=CALL_DELAY)
        if self.world.now > FAULTS_UNTIL or self.world.now < SUBMITTED_AT:
            return usual
        number = self.outcome.orders
        self.outcome.orders += 1
        fault = self.script.get(number)
        if fault is None:
            return usual
        self._log(f"order {number} to {host.name}: {fault.value}")
        if fault is Fault.ORDER_LOST:
            return CallDelivery(request_delay=None, reply_delay=None)
        if fault is Fault.ANSWER_LOST:
            return CallDelivery(request_delay=CALL_DELAY, reply_delay=None)
        if fault is Fault.DELAYED:
            return CallDelivery(
                request_delay=CALL_DELAY, reply_delay=None, execution_delay=milliseconds(500)
            )
        if fault is Fault.UPSTREAM_RESTARTED:
            # The clock of the new process reads far less or far more than that of the old one.
            host.restart()
            host.process.clock_began_ms = (1_000_000, 9_000_000)[number % 2]
        elif fault is Fault.UPSTREAM_CUT_OFF:
            self._find_leader().cut_off.add(host.info.id)
            self.world.at(CUT_OFF_FOR, lambda: self._find_leader().cut_off.discard(host.info.id))
        elif fault is Fault.LEADER_LOST:
            self._lose_leader()
        else:
            self._lose_gateway()
        return usual

    def _lose_leader(self) -> None:
        self._find_leader().is_over = True
        self.world.at(WITHOUT_LEADER, self._lead)
        again = WITHOUT_LEADER + GATEWAY_RESUBMITS_AFTER
        self.world.at(again, lambda: self._submit(may_have_begun=True))

    def _lose_gateway(self) -> None:
        leader = self._find_leader()
        # The coordinator abandons a gateway's jobs once it has not heard the gateway for 0.3 s.
        self.world.at(milliseconds(300), lambda: self._abandon(leader))
        self.world.at(CALLER_RESUBMITS_AFTER, lambda: self._submit(may_have_begun=False))

    def _abandon(self, leader: WireLeader) -> None:
        if not leader.is_over:
            leader.dispatch.abandon(JOB, "", self.world.now)
            leader.act()


@dataclass(slots=True, kw_only=True)
class Exploration:
    """The result of an exploration."""

    plays: int = 0
    failing_scripts: list[Script] = field(default_factory=list)


def explore(max_faults: int, *, max_orders: int | None = None, stop_at: int = 1) -> Exploration:
    """Play all scripts of up to `max_faults` faults, those with fewer faults first.

    Faults are injected at the first `max_orders` orders only, if given. The exploration ends at
    `stop_at` failing scripts.
    """
    exploration = Exploration()
    first = Play(script={}).run()
    assert not first.problem, first
    level: list[tuple[Script, int]] = [((), first.orders)]
    for _ in range(max_faults):
        extended: list[tuple[Script, int]] = []
        for script, orders in level:
            last = min(orders, max_orders) if max_orders is not None else orders
            for longer in _extend(script, last):
                outcome = Play(script=dict(longer)).run()
                exploration.plays += 1
                if outcome.problem:
                    exploration.failing_scripts.append(longer)
                    if len(exploration.failing_scripts) >= stop_at:
                        return exploration
                elif outcome.orders > longer[-1][0] + 1:
                    extended.append((longer, outcome.orders))
        level = extended
    return exploration


def _extend(script: Script, orders: int) -> Iterator[Script]:
    begin = script[-1][0] + 1 if script else 0
    for number in range(begin, orders):
        for fault in Fault:
            yield (*script, (number, fault))


def describe(script: Script) -> str:
    """Return the timeline of a script, without the faults that its problem does not need."""
    for each in script:
        shorter = tuple(other for other in script if other is not each)
        if shorter and Play(script=dict(shorter)).run().problem:
            return describe(shorter)
    return "\n".join(Play(script=dict(script)).run().timeline)
