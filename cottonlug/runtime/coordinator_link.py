"""The link of a gateway to the coordinator: a leader, or a gateway that acts as leader.

A gateway sends keep-alives directly to the leader. If it reaches no control host, it sends its
calls through another gateway that does, its relay. If no gateway reaches a leader, one of the
gateways acts as leader (`acting_leader`). What it must know for that is the failover state, which
the leader sends to all gateways with its answers to keep-alives.

In log lines, `decider` is the address of the coordinator, and `via=deputy` tells that it is an
acting leader.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from datetime import timedelta
from enum import Enum

import msgspec

from ..config.cluster import GatewaySettings
from ..config.options import Address
from ..core.clock import Clock, to_milliseconds
from ..core.cluster.acting_levels import ActingLevels
from ..core.cluster.calls import Answer, FailoverState, KeepAlive, Outcome
from ..core.cluster.failover_state import choose_queried_gateways, find_acting_domain
from ..core.cluster.host_sizes import list_preceding
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import DomainName
from .acting_leader import ACT_AS_LEADER_AFTER, ACT_AS_LEADER_AFTER_SILENCE, ActingLeader
from .confirmations import Confirmations
from .events import Event, log_event
from .failover_store import FailoverStore
from .failures import log_failure, repeat
from .gateway_registry import GATEWAY_TIMEOUT
from .keepalive_tracker import OVERDUE_AFTER, KeepAliveTracker
from .peer_calls import PeerCalls
from .ports import UpstreamPort
from .upstream_isolation import UpstreamIsolation
from .work_meter import WorkMeter

KEEPALIVE_SECONDS = 0.08
KEEPALIVE_SECONDS_PER_GATEWAY = 0.0004
"""The interval grows with the number of gateways: with 300 the leader gets 2,500 keep-alives a
second, half of what it can handle."""
MAX_KEEPALIVE_SECONDS = 0.125
"""Two intervals of this length fit into `GATEWAY_TIMEOUT`, so that one keep-alive may be lost."""
KEEPALIVE_SECONDS_WITHOUT_LEADER = 0.05
"""Interval of keep-alives while the leader does not answer, or is not called directly; also the
shortest pause between failover checks (`check_failover`) unless the next is due at once."""
MIN_KEEPALIVE_PAUSE_SECONDS = 0.025
"""Control hosts hold a keep-alive for up to 70 ms until a leader is elected. A gateway learns of a
leader that is elected between two keep-alives only with the next one, so this pause is short."""
FAILOVER_CHECK_SECONDS_PER_GATEWAY = 0.003
"""The interval of the failover check grows with the number of gateways: without a leader, nearly
all of them call the first gateways of each failure domain in each check."""
MAX_FAILOVER_CHECK_SECONDS = 0.15
KEEPALIVE_RETRY_SECONDS = 0.01
"""Pause before a keep-alive that a relay or an acting leader has not answered is repeated: two
unanswered ones in a row fit into `GATEWAY_TIMEOUT`."""
KEEPALIVE_TIMEOUT = timedelta(milliseconds=100)
"""How long the answer to a keep-alive is waited for. The coordinator counts a gateway as connected
for `GATEWAY_TIMEOUT` (300 ms) after contact, so that one keep-alive may be lost."""
READINESS_TIMEOUT = timedelta(milliseconds=1_200)
"""How long a gateway stays ready for callers after its last contact with the coordinator."""
RELAY_AFTER = timedelta(milliseconds=200)
"""After this time without contact with a leader, which is that of two unanswered keep-alives, a
gateway looks for a relay or an acting leader, or acts as leader. If it reaches a control host, it
learns of a new leader sooner."""
CALLS_LOST_AFTER = GATEWAY_TIMEOUT + timedelta(milliseconds=50)
"""After this time without a leader, a gateway stops waiting for calls that the leader has not
answered."""
CONTROL_HOST_TIMEOUT = timedelta(milliseconds=250)
"""A control host that has not answered for this long cannot take part in an election."""
MAX_CHECK_DELAY = timedelta(milliseconds=400)
"""If more time than this has passed since the last failover check, this process was delayed.
Another coordinator may have replaced this acting leader, which therefore steps down."""
ACT_AS_LEADER_AGAIN_AFTER = timedelta(seconds=2)
"""Pause after an unexpected error has ended this gateway's role as acting leader: others take it
first. Also after this gateway was fenced off as acting leader: an upstream has refused its orders
for the higher fencing token of a coordinator that this gateway cannot reach. With the same failover
state its next token would be too low again, and it would lose its callers' jobs each time (every
0.3 s beside an overloaded leader)."""


class Via(Enum):
    """How a gateway reaches the coordinator."""

    LEADER = "leader"
    RELAY = "relay"
    """Another gateway relays calls to the leader."""
    ACTING_LEADER = "deputy"
    """Another gateway, or this one itself, acts as leader."""


class CoordinatorLink:
    """The coordinator as far as this gateway knows, and its own role as acting leader."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        clock: Clock,
        port: UpstreamPort,
        calls: PeerCalls,
        work: WorkMeter,
    ) -> None:
        self.own_address = str(settings.listen.peers)
        self.confirmations = Confirmations(own_address=self.own_address, clock=clock)
        self._keepalive_tracker = KeepAliveTracker(clock=clock)
        self.hosts: list[str] = [str(seed) for seed in settings.seeds]
        """Addresses of the known control hosts."""
        self.coordinator: str | None = None
        """Address of the coordinator, to which calls are sent; None while none is known."""
        self.via = Via.LEADER
        self.acting_leader: ActingLeader | None = None
        self.acting_leader_term = 0
        """The last leader's term, as known to the acting leader that this gateway last followed or
        was; an acting leader has no term of its own."""
        self.failover_store = FailoverStore(clock=clock)
        self.max_body_bytes: int | None = None
        self.is_stopping = False
        self.record_coordinator_change: Callable[[float], object] = lambda silence_ms: None
        """Called when the coordinator changes, with the milliseconds since the last contact."""
        self._settings = settings
        self._clock = clock
        self._port = port
        self._calls = calls
        self._work = work
        self._isolation = UpstreamIsolation(clock=clock)
        self.failed_terms = 0
        """How often an unexpected error has ended this gateway's role as acting leader."""
        self.record_term_failure: Callable[[BaseException], object] = lambda error: None
        """Called with each such error."""
        self._reached_at: timedelta | None = None
        """When this gateway last had contact with the coordinator."""
        self._leader_seen_at = clock.monotonic()
        """When it last had contact with a leader, directly or through a relay."""
        self._contacted: set[str] = set()
        """Hosts that get a keep-alive in this round, so that they are not contacted again when
        other hosts name them as leader."""
        self._answered_at: dict[str, timedelta] = {}
        """When each control host last answered."""
        self._acting_levels = ActingLevels()
        self._was_ready = False
        self._was_silent = False
        self._checked_at = clock.monotonic()
        """When `check_failover` was last called, or this gateway began to act as leader."""
        self._fenced_off_at: timedelta | None = None
        """When upstreams last fenced this gateway off as acting leader."""
        self._failed_at: timedelta | None = None
        """When an unexpected error last ended this gateway's role as acting leader."""
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._keepalive_tasks: set[asyncio.Task[bool]] = set()
        self._refreshing: asyncio.Task[bool] | None = None
        """The last extra keep-alive."""

    def start(self) -> None:
        """Start the background tasks that find and follow the coordinator."""
        for step, during in (
            (self._send_periodic_keepalive, "keep-alive"),
            (self._check_failover_periodically, "failover check"),
        ):
            self._tasks.append(asyncio.create_task(repeat(step, during=during)))

    def stop(self) -> None:
        """Cancel the background tasks and step down as acting leader."""
        self.step_down()
        for task in (*self._tasks, *self._keepalive_tasks):
            task.cancel()
        if self._refreshing is not None:
            self._refreshing.cancel()

    def is_connected(self) -> bool:
        """Return whether the last contact with the coordinator is within the timeout."""
        if self._reached_at is None:
            return False
        return self._clock.monotonic() - self._reached_at < READINESS_TIMEOUT

    def is_overdue(self) -> bool:
        """Return whether an answer of the coordinator is overdue, so that it may have failed."""
        return self.coordinator is not None and self._keepalive_tracker.is_overdue(self.coordinator)

    def add_seeds(self, seeds: list[Address]) -> None:
        """Add addresses at which control hosts may be found."""
        self.hosts = sorted({*self.hosts, *(str(seed) for seed in seeds)})

    def receive_failover_state(self, received: FailoverState) -> None:
        """Store failover state that was received."""
        if self.failover_store.receive(received):
            self._acting_levels.reset_periods()

    async def wait_for_change(self, seconds: float) -> None:
        """Wait until the coordinator changes or answers again, at most the given seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def follow(self, host: str, via: Via) -> None:
        """Send calls to a host from now on; calls pending at another host are retried there."""
        if via is Via.ACTING_LEADER and self.failover_store.current is not None:
            self._raise_acting_leader_term(self.failover_store.current.term)
        if host != self.coordinator or via is not self.via:
            if self._reached_at is not None:
                silence = self._clock.monotonic() - self._reached_at
                self.record_coordinator_change(silence / timedelta(milliseconds=1))
            if self.coordinator is not None and host != self.coordinator:
                self._calls.abandon_calls(self.coordinator)
            self.coordinator = host
            self.via = via
            # It has just answered this or another host, so earlier unanswered keep-alives are moot.
            self._keepalive_tracker.record_answered(host)
            self._notify_change()
            log_event(Event.COORDINATOR_CHANGED, decider=host, via=via.value)
        self._reached_at = self._clock.monotonic()
        if via is not Via.ACTING_LEADER:
            self._leader_seen_at = self._clock.monotonic()
            self._was_silent = False
            self.step_down()

    def unfollow(self, host: str) -> None:
        """Stop sending calls to a host; calls that it has not answered are retried elsewhere.

        With what this gateway sends from now on, it no longer confirms to that host that it waits
        for any job: see `Confirmations`.
        """
        if self.coordinator == host:
            self.coordinator = None
            self.via = Via.LEADER
            self.confirmations.clear_contact()
            self._calls.abandon_calls(host)

    def step_down(self) -> None:
        """Stop acting as leader, if this gateway does."""
        if self.acting_leader is None:
            return
        acting_leader, self.acting_leader = self.acting_leader, None
        if acting_leader.authority.is_over and not acting_leader.leadership.has_failed:
            # Fenced off: another coordinator has a higher fencing token.
            self._fenced_off_at = self._clock.monotonic()
        acting_leader.stop()
        if self.coordinator == self.own_address:
            self.coordinator = None
            self.via = Via.LEADER

    # Keep-alives

    async def send_keepalive(self) -> None:
        """Send a keep-alive to the leader; if it is unknown or late, to all control hosts at once.

        Only one control host forwards the keep-alive to the leader. The others get a probe, which
        they answer themselves, with the leader's address: if each of them forwarded it, an
        overloaded leader that already answers late would get even more work.
        """
        known = self.coordinator if self.via is Via.LEADER else None
        self._contacted = {*self.hosts, known or ""}
        pending = self._start_keepalive(known) if known is not None else None
        if pending is not None:
            await asyncio.wait([pending], timeout=OVERDUE_AFTER.total_seconds())
            if pending.done() and pending.result():
                return
        others = [host for host in self.hosts if host != known]
        is_late = pending is not None and not pending.done()
        # A leader that is only late gets no second keep-alive from this gateway.
        forwarding_host = None if is_late or not others else random.choice(others)
        if others and await self._send_keepalives(others, forwarding_host):
            return
        if pending is not None:
            await pending

    def _build_keepalive(self, version: str = "", *, is_probe: bool = False) -> KeepAlive:
        """Return a keep-alive; `version` is that of the failover state known here."""
        return KeepAlive(
            gateway=self.own_address,
            instance=self.confirmations.instance,
            domain=self._settings.domain,
            failover_version=version,
            cores_millis=self._settings.size.cores_millis,
            is_probe=is_probe,
            configuration_version=self.failover_store.configuration_version,
        )

    def _start_keepalive(self, host: str, *, is_probe: bool = False) -> asyncio.Task[bool]:
        """Start sending a keep-alive; its answer is handled even if the task is not awaited."""
        task = asyncio.create_task(self._send_keepalive_to(host, Via.LEADER, is_probe=is_probe))
        self._keepalive_tasks.add(task)
        task.add_done_callback(self._keepalive_tasks.discard)
        return task

    async def _send_keepalives(self, hosts: Iterable[str], forwarding_host: str | None) -> bool:
        """Send keep-alives to several hosts at once; return once one of them led to the leader."""
        waiting = {self._start_keepalive(host, is_probe=host != forwarding_host) for host in hosts}
        while waiting:
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            if any(task.result() for task in done):
                return True
        return False

    async def _send_keepalive_to(self, host: str, via: Via, *, is_probe: bool = False) -> bool:
        """Send a keep-alive to a host, and follow the leader if that answers.

        The host may be the leader, may forward the keep-alive to the leader, or may only name the
        leader, which is then sent another keep-alive. Return whether there is a leader to follow.
        """
        answer = await self._exchange_keepalive(host, is_probe=is_probe)
        if self._handle_keepalive_answer(host, via, answer):
            return True
        leader = answer.leader
        if via is not Via.LEADER or leader is None or leader in (host, *self._contacted):
            return False
        self._contacted.add(leader)
        return await self._send_keepalive_to(leader, via)

    async def _exchange_keepalive(self, host: str, *, is_probe: bool = False) -> Answer:
        keepalive = self._build_keepalive(self.failover_store.version, is_probe=is_probe)
        self._keepalive_tracker.record_sent(host)
        answer = await self._calls.ask(host, keepalive, KEEPALIVE_TIMEOUT)
        if answer.outcome is Outcome.DONE and self._keepalive_tracker.record_answered(host):
            self._notify_change()
        return answer

    def _handle_keepalive_answer(self, host: str, via: Via, answer: Answer) -> bool:
        """Follow the coordinator that the answer to a keep-alive names; False if it names none."""
        if via is Via.LEADER and answer.hosts:
            self._answered_at[host] = self._clock.monotonic()
            # A host that reaches no leader may have been replaced, and name only lost hosts.
            known = () if answer.outcome is Outcome.DONE else self.hosts
            self.hosts = sorted({*answer.hosts, *known})
        if answer.max_body_bytes is not None:
            self.max_body_bytes = answer.max_body_bytes
        if answer.outcome is not Outcome.DONE or answer.is_acting_leader:
            return False
        if via is Via.RELAY and self.has_direct_leader():
            # A control host has named the leader in the meantime: a relay is not needed.
            return True
        self._record_contact(answer)
        self.follow(host if via is Via.RELAY else answer.leader or host, via)
        self._receive_failover_state_of_answer(answer)
        return True

    def _record_contact(self, answer: Answer) -> None:
        """Record the contact in an answer, and the version by which calls are handled now."""
        self.confirmations.record_contact(answer)
        if answer.contact is not None:
            self.failover_store.record_version(answer.contact.configuration_version)

    def lacks_configuration(self) -> bool:
        """Return whether this gateway's configuration is older than what its callers may know."""
        return self.failover_store.is_older(self.failover_store.configuration_version)

    def leaves_acting_to_others(self) -> bool:
        """Return whether another gateway is to act as leader, though this one takes precedence."""
        return self.lacks_configuration() or self._is_within_pause(self._failed_at)

    def _is_within_pause(self, ended_at: timedelta | None) -> bool:
        """Return whether this gateway's last role as acting leader has just ended."""
        return (
            ended_at is not None and self._clock.monotonic() - ended_at < ACT_AS_LEADER_AGAIN_AFTER
        )

    def yield_to_newer_configuration(self, keepalive: KeepAlive) -> None:
        """Leave it to another gateway to act as leader, if that has a newer configuration."""
        self.failover_store.record_version(keepalive.configuration_version)
        if self.acting_leader is not None and self.lacks_configuration():
            self.step_down()

    def _receive_failover_state_of_answer(self, answer: Answer) -> None:
        """Store the failover state that a leader's answer carries, if any."""
        if self.failover_store.receive_answer(answer):
            self._acting_levels.reset_periods()

    def has_direct_leader(self) -> bool:
        """Return whether this gateway reached the leader through a control host lately."""
        is_direct = self.coordinator is not None and self.via is Via.LEADER
        return is_direct and self._clock.monotonic() - self._leader_seen_at < RELAY_AFTER

    async def refresh_contact(self) -> bool:
        """Send the coordinator a keep-alive at once; return whether it was answered.

        All calls that wait for it share one keep-alive.
        """
        if self._refreshing is None or self._refreshing.done():
            self._refreshing = asyncio.create_task(self._exchange_extra_keepalive())
        return await asyncio.shield(self._refreshing)

    async def _exchange_extra_keepalive(self) -> bool:
        host, via = self.coordinator, self.via
        if host is None:
            return False
        answer = await self._exchange_keepalive(host)
        if (self.coordinator, self.via) != (host, via):
            return False
        if via is Via.LEADER:
            return self._handle_keepalive_answer(host, via, answer)
        return self._handle_gateway_answer(host, via, answer)

    async def _send_periodic_keepalive(self) -> float:
        """Send a keep-alive; return the seconds until the next one."""
        began_at = self._clock.monotonic()
        await self.send_keepalive()
        is_ready = self.is_connected() and not self.is_stopping
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            log_event(Event.READINESS_CHANGED, ready=is_ready)
        return self._choose_keepalive_pause(self._clock.monotonic() - began_at)

    def _choose_keepalive_pause(self, elapsed: timedelta) -> float:
        """Return the seconds until the next keep-alive or the next search for the leader."""
        if self.coordinator is not None and self.via is Via.LEADER and not self.is_overdue():
            return self._choose_usual_pause()
        return max(
            KEEPALIVE_SECONDS_WITHOUT_LEADER - elapsed.total_seconds(), MIN_KEEPALIVE_PAUSE_SECONDS
        )

    def _choose_usual_pause(self) -> float:
        """Return the seconds between two keep-alives while they are answered."""
        by_count = self.failover_store.count_gateways() * KEEPALIVE_SECONDS_PER_GATEWAY
        return min(max(KEEPALIVE_SECONDS, by_count), MAX_KEEPALIVE_SECONDS)

    # Failover

    async def _check_failover_periodically(self) -> float:
        """Do a failover check; return the seconds until the next one."""
        is_due = await self.check_failover()
        return KEEPALIVE_RETRY_SECONDS if is_due else self._choose_failover_check_pause()

    def _choose_failover_check_pause(self) -> float:
        """Return the seconds between two checks whether the leader must be replaced."""
        by_count = self.failover_store.count_gateways() * FAILOVER_CHECK_SECONDS_PER_GATEWAY
        return min(max(by_count, KEEPALIVE_SECONDS_WITHOUT_LEADER), MAX_FAILOVER_CHECK_SECONDS)

    async def check_failover(self) -> bool:
        """Do one failover check; while a leader can be reached directly, there is nothing to do.

        Otherwise check the acting leader or relay in use. If there is none, find one or, where none
        is found, act as leader here. Return whether the next check is due at once.
        """
        was_delayed = self._is_check_overdue()
        now = self._clock.monotonic()
        self._checked_at = now
        if self.acting_leader is not None:
            if was_delayed or self.acting_leader.authority.is_over:
                self.step_down()
                return False
            self._register_itself(self.acting_leader)
            self._reached_at = now
            return False
        if self.coordinator is not None and self.via is not Via.LEADER:
            return await self._check_gateway(self.coordinator, self.via)
        if now - self._leader_seen_at < RELAY_AFTER or self.failover_store.current is None:
            return False
        self._log_silence(now - self._leader_seen_at)
        if self.coordinator is not None and now - self._leader_seen_at >= CALLS_LOST_AFTER:
            # The leader abandons these jobs too by now; those that never reach it cannot start.
            self.unfollow(self.coordinator)
        await self._find_replacement(self.failover_store.current)
        return False

    def _is_check_overdue(self) -> bool:
        """Return whether so much time has passed since the last failover check.

        An acting leader decides nothing then. Its decisions may be due before the check: timers do
        not count a suspension, and the clock does.
        """
        return self._clock.monotonic() - self._checked_at > MAX_CHECK_DELAY

    def _log_silence(self, silence: timedelta) -> None:
        if not self._was_silent:
            self._was_silent = True
            silent_ms = to_milliseconds(silence)
            log_event(Event.COORDINATOR_SILENT, decider=self.coordinator, silent_ms=silent_ms)

    async def _check_gateway(self, host: str, via: Via) -> bool:
        """Send a keep-alive to the acting leader or relay; unfollow it if it no longer is one.

        A gateway that is only late is not unfollowed at once: as acting leader, a small host has
        the work of a whole domain, and if the pending calls were abandoned, all of them would soon
        be sent to it again. Return whether the next keep-alive is due at once.
        """
        answer = await self._exchange_keepalive(host)
        if (self.coordinator, self.via) != (host, via) or self._handle_gateway_answer(
            host, via, answer
        ):
            return False
        is_late = answer.outcome is Outcome.UNKNOWN
        if is_late and not self._is_silent_for(CALLS_LOST_AFTER):
            return True
        self.unfollow(host)
        return False

    def _handle_gateway_answer(self, host: str, via: Via, answer: Answer) -> bool:
        """Handle an answer of the acting leader or relay; return whether it still is one."""
        if via is Via.RELAY:
            return self._handle_keepalive_answer(host, via, answer)
        if not answer.is_acting_leader or answer.outcome is not Outcome.DONE:
            return False
        if self._has_older_configuration(answer):
            return False
        self._record_acting_leader(answer)
        self._reached_at = self._clock.monotonic()
        return True

    def _has_older_configuration(self, answer: Answer) -> bool:
        """Return whether an acting leader's configuration is older than what callers may know."""
        if not answer.is_acting_leader or answer.contact is None:
            return False
        version = answer.contact.configuration_version
        return version is not None and self.failover_store.is_older(version)

    def _is_silent_for(self, span: timedelta) -> bool:
        """Return whether the coordinator has not answered for this long."""
        return self._reached_at is None or self._clock.monotonic() - self._reached_at >= span

    async def _find_replacement(self, failover_state: FailoverState) -> None:
        """Follow a gateway that reaches a leader or acts as one; otherwise act as leader here."""
        if all(gateway.address != self.own_address for gateway in failover_state.gateways):
            # Without a place among the gateways it can have no level of its own.
            return
        answers = await self._ask_gateways(
            choose_queried_gateways(failover_state.gateways, self.own_address), failover_state
        )
        if self.has_direct_leader():
            return
        own_domain = find_acting_domain(failover_state, self.own_address)
        for gateway, answer in answers.items():
            if _can_be_followed(answer, own_domain) and not self._has_older_configuration(answer):
                self._follow_gateway(gateway, answer)
                return
        if any(answer.leader is not None for answer in answers.values()):
            # One of them is connected to the leader, but the leader's answer was lost: retry.
            return
        preceding = _list_preceding(failover_state, self.own_address)
        # A gateway that answers names the control hosts; without `hosts`, no answer has arrived.
        is_first = not any(other in answers and answers[other].hosts for other in preceding)
        if self._may_act_as_leader(failover_state) and is_first:
            await self._act_as_leader_if_first(failover_state, preceding)

    async def _ask_gateways(
        self, gateways: Iterable[str], failover_state: FailoverState
    ) -> dict[str, Answer]:
        """Send keep-alives to several gateways at once and return their answers."""
        asked = list(gateways)
        keepalive = self._build_keepalive(failover_state.version)
        answers = await asyncio.gather(
            *(self._calls.ask(gateway, keepalive, KEEPALIVE_TIMEOUT) for gateway in asked)
        )
        return dict(zip(asked, answers, strict=True))

    def _may_act_as_leader(self, failover_state: FailoverState) -> bool:
        """Return whether this gateway may act as leader, having reached none for long enough.

        It cannot store the results of durable jobs. It can only send orders by calling upstreams,
        since it gets no heartbeats whose answers could carry them.
        """
        if self._is_within_pause(self._fenced_off_at) or self._is_within_pause(self._failed_at):
            return False
        is_due = self._clock.monotonic() - self._leader_seen_at >= self._get_acting_delay()
        return is_due and not (
            failover_state.has_durable_jobs
            or not failover_state.accepts_calls
            or self.is_stopping
            or self.lacks_configuration()
        )

    async def _act_as_leader_if_first(
        self, failover_state: FailoverState, preceding: list[str]
    ) -> None:
        """Act as leader, unless a gateway that takes precedence answers: then that one does."""
        answers = await self._ask_gateways(preceding, failover_state)
        is_replaced = self.has_direct_leader() or self.acting_leader is not None
        if not is_replaced and not any(answer.hosts for answer in answers.values()):
            self._act_as_leader(failover_state)

    def _follow_gateway(self, gateway: str, answer: Answer) -> None:
        if not answer.is_acting_leader:
            self._record_contact(answer)
            self.follow(gateway, Via.RELAY)
            self._receive_failover_state_of_answer(answer)
        elif self._clock.monotonic() - self._leader_seen_at >= ACT_AS_LEADER_AFTER_SILENCE:
            self._record_acting_leader(answer)
            self.follow(gateway, Via.ACTING_LEADER)

    def _record_acting_leader(self, answer: Answer) -> None:
        """Record contact with the acting leader, its fencing token, and the term in that token.

        Its failover state may be of a later term than the state here.
        """
        self._record_contact(answer)
        if answer.contact is not None:
            self._acting_levels.record_token(answer.contact.token)
            self._raise_acting_leader_term(answer.contact.token // TOKENS_PER_TERM)

    def _raise_acting_leader_term(self, term: int) -> None:
        self.acting_leader_term = max(self.acting_leader_term, term)

    def _get_acting_delay(self) -> timedelta:
        """Return how long no leader must be reached before a gateway acts as leader."""
        return (
            ACT_AS_LEADER_AFTER_SILENCE
            if self.is_control_majority_silent()
            else ACT_AS_LEADER_AFTER
        )

    def is_control_majority_silent(self) -> bool:
        """Return whether no majority of control hosts answers: they could not elect a leader."""
        now = self._clock.monotonic()
        alive = sum(
            1
            for host in self.hosts
            if host in self._answered_at and now - self._answered_at[host] < CONTROL_HOST_TIMEOUT
        )
        return 2 * alive <= len(self.hosts)

    def _act_as_leader(self, failover_state: FailoverState) -> None:
        level = self._acting_levels.choose_level(failover_state, self.own_address)
        if level is None:
            return
        if self.coordinator is not None:
            # Pending calls could still have been answered there; now they are retried here.
            self.unfollow(self.coordinator)
        self._checked_at = self._clock.monotonic()
        try:
            self.acting_leader = self._build_acting_leader(failover_state, level)
        except Exception as error:
            term = failover_state.term
            log_failure(Event.TERM_FAILED, error, during="start of a term", term=term)
            self._record_term_failure(error)
            return
        self._register_itself(self.acting_leader)
        self.coordinator = self.own_address
        self._raise_acting_leader_term(failover_state.term)
        self.via = Via.ACTING_LEADER
        self._notify_change()
        log_event(Event.ACTING_AS_LEADER, term=failover_state.term, at_level=level)

    def _build_acting_leader(self, failover_state: FailoverState, level: int) -> ActingLeader:
        return ActingLeader(
            failover_state=failover_state,
            level=level,
            domain=find_acting_domain(failover_state, self.own_address),
            port=self._port,
            clock=self._clock,
            longest_lease=self._settings.longest_lease,
            caller_retry=self._settings.caller_retry,
            reports=self._settings.reports,
            confirmed_at=self.failover_store.confirmed_at,
            remote_factor=self._settings.remote_factor,
            is_check_overdue=self._is_check_overdue,
            work=self._work,
            isolation=self._isolation,
            on_failure=self._record_term_failure,
        )

    def _record_term_failure(self, error: BaseException) -> None:
        self.failed_terms += 1
        self._failed_at = self._clock.monotonic()
        self.record_term_failure(error)

    def _register_itself(self, acting_leader: ActingLeader) -> None:
        """Record contact of this gateway with its own acting leader."""
        gateways = acting_leader.leadership.gateways
        keepalive = msgspec.structs.replace(
            self._build_keepalive(), contact=gateways.build_contact()
        )
        gateways.handle_keepalive(keepalive)

    def _notify_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _can_be_followed(answer: Answer, own_domain: DomainName | None) -> bool:
    """Return whether a gateway relays calls to a leader or acts as leader for this one's domain."""
    if answer.outcome is not Outcome.DONE:
        return False
    return not answer.is_acting_leader or answer.domain == own_domain


def _list_preceding(failover_state: FailoverState, own_address: str) -> list[str]:
    """Return the gateways that take precedence over this one as acting leader."""
    domain = find_acting_domain(failover_state, own_address)
    return [
        gateway.address
        for gateway in list_preceding(failover_state.gateways, own_address)
        if domain in (None, gateway.domain)
    ]
