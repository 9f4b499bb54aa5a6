"""The gateways that the coordinator knows, and the failover state that it sends them.

The coordinator is the host that schedules jobs now, a leader or acting leader. The failover state
is what a gateway must know to act as leader. By the contact in a keep-alive or submission
(`Contact`) the coordinator knows when a gateway can have sent it at the earliest.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import Contact, FailoverState, GatewayInfo, KeepAlive
from ..core.cluster.failover_state import FailoverStateLog
from ..core.cluster.host_sizes import find_small_gateways
from ..core.cluster.model import ConfigurationVersion
from ..core.cluster.records import Records
from ..core.ids import DomainName
from .events import Event, log_event

GATEWAY_TIMEOUT = timedelta(milliseconds=300)
"""The coordinator abandons a gateway's jobs after this time without contact; the gateway itself
does not move them to another coordinator any sooner."""
SUBMISSION_CHECK_INTERVAL = timedelta(milliseconds=10)
"""How often timeouts are checked while submissions confirm jobs.

Each submission confirms its own job alone, for a span of its own. The interval is half of the time
between two scheduling rounds.
"""
MAX_LARGE_PARTS_PER_SECOND = 600
"""Limit of large parts of failover state, for all gateways together: 140 Mbit/s and a tenth of the
leader's CPU time. A gateway that gets no part now asks again with its next keep-alive."""
NEVER = timedelta.max
"""A time on the monotonic clock that is never reached."""
LATE_MESSAGE_AGE = timedelta(milliseconds=150)
"""Age at which a keep-alive or submission is logged as late: it takes some milliseconds, so it was
delayed in the network or here."""
LATE_LOG_INTERVAL = timedelta(seconds=1)
"""Minimum time between log lines about late messages: if the leader itself is delayed, those of all
gateways are late."""


class GatewayRegistry:
    """Known gateways by the address that they send in keep-alives.

    `token` is the fencing token of this coordinator; `accepts_calls` says whether upstreams accept
    calls, on which an acting leader depends.
    """

    def __init__(self, *, term: int, token: int, clock: Clock, accepts_calls: bool = True) -> None:
        self.failover_log = FailoverStateLog(term=term, accepts_calls=accepts_calls)
        self.record_age: Callable[[float], object] = lambda age_ms: None
        """Called with the age in ms of each keep-alive or submission when it is handled."""
        self._confirmed_until = timedelta()
        """Until when the newest submission or keep-alive confirms any job."""
        self._check_at = NEVER
        """Until then no gateway can exceed the contact timeout."""
        self.on_reconnect: Callable[[str], object] = lambda gateway: None
        """Called with the address of a gateway that is connected again after a timeout."""
        self.on_restart: Callable[[str], object] = lambda gateway: None
        """Called with the address of a gateway when a new process there has sent a keep-alive."""
        self.on_configuration_heard: Callable[[str], object] = lambda gateway: None
        """Called with the address of a gateway that has heard of a newer configuration."""
        self._token = token
        self._clock = clock
        self._late_log_due = timedelta()
        self._sent_at: dict[str, timedelta] = {}
        """Earliest time at which each gateway can have sent its last message, by its contacts."""
        self._domains: dict[str, DomainName] = {}
        """The failure domain of each known gateway."""
        self._instances: dict[str, int] = {}
        """Identifies the process at the address of each gateway."""
        self._cores_millis: dict[str, int] = {}
        """Cores that the process at the address of each gateway has reported; 0: unknown."""
        self._small_gateways: frozenset[str] = frozenset()
        self._listed: list[str] = []
        """Addresses as listed in the failover state. They only ever get more, and none changes its
        place, by which fencing tokens are told apart (`acting_levels`)."""
        self._heard_versions: dict[str, ConfigurationVersion] = {}
        """Newest configuration that the process at the address of each gateway has heard of."""
        self._has_durable_jobs = False
        self._large_parts_left = float(MAX_LARGE_PARTS_PER_SECOND)
        """How many large parts may be sent at `_large_parts_updated_at`."""
        self._large_parts_updated_at = clock.monotonic()

    def record_durable_jobs(self, are_open: bool) -> None:
        """Record whether any durable jobs are open."""
        if are_open != self._has_durable_jobs:
            self._has_durable_jobs = are_open
            self.failover_log.record_other_change()

    def handle_keepalive(self, keepalive: KeepAlive) -> None:
        """Record a gateway, and its contact if that is recent enough."""
        gateway = keepalive.gateway
        if not gateway:
            return
        if gateway not in self._domains:
            self._domains[gateway] = keepalive.domain
            self.failover_log.record_other_change()
        if self._instances.setdefault(gateway, keepalive.instance) != keepalive.instance:
            self._instances[gateway] = keepalive.instance
            self._cores_millis.pop(gateway, None)
            self._heard_versions.pop(gateway, None)
            self.on_restart(gateway)
        self._record_cores(gateway, keepalive.cores_millis)
        sent_at = self.find_send_time(gateway, keepalive.contact)
        if sent_at is not None:
            self._record_contact(gateway, sent_at)

    def _record_cores(self, gateway: str, cores_millis: int) -> None:
        """Record the cores of a gateway, and mark anew which gateways are small.

        A control host of an earlier build forwards a keep-alive without the cores, so that 0 does
        not replace what the same process has reported before.
        """
        known = self._cores_millis.get(gateway)
        if known == cores_millis or (known and not cores_millis):
            return
        self._cores_millis[gateway] = cores_millis
        small_gateways = find_small_gateways(self._cores_millis)
        if small_gateways != self._small_gateways:
            self._small_gateways = small_gateways
            self.failover_log.record_other_change()

    def count_small(self) -> int:
        """Return the number of known gateways that are small beside the largest one."""
        return len(self._small_gateways)

    def find_send_time(self, gateway: str, contact: Contact | None) -> timedelta | None:
        """Return the earliest time at which a message was sent, or None if it does not count.

        A message does not count if it is too old or has a contact of another coordinator.

        The timeout counts from sending, never from arrival: a gateway moves its jobs to another
        coordinator depending on when it was last answered, and a message that was delayed in the
        network or here says nothing about that.
        """
        if contact is None or contact.token != self._token:
            return None
        self._record_heard_version(gateway, contact.configuration_version)
        now = self._clock.monotonic()
        sent_at = timedelta(milliseconds=contact.answered_ms + contact.since_ms)
        self._record_message_age(gateway, now - sent_at, now)
        if now - sent_at >= GATEWAY_TIMEOUT:
            return None
        self._confirmed_until = max(self._confirmed_until, sent_at + GATEWAY_TIMEOUT)
        self._check_at = min(self._check_at, sent_at + GATEWAY_TIMEOUT)
        return sent_at

    def has_heard_of(self, gateway: str, version: ConfigurationVersion) -> bool:
        """Return whether a gateway has heard of this configuration or a newer one."""
        known = self._heard_versions.get(gateway)
        return known is not None and known >= version

    def _record_heard_version(self, gateway: str, version: ConfigurationVersion | None) -> None:
        if version is not None and not self.has_heard_of(gateway, version):
            self._heard_versions[gateway] = version
            self.on_configuration_heard(gateway)

    def _record_contact(self, gateway: str, sent_at: timedelta) -> None:
        """Record contact with a gateway; call `on_reconnect` if it had timed out.

        A gateway has moved the jobs that it submitted before a timeout to another coordinator.
        """
        known = self._sent_at.get(gateway)
        if known is not None and not self.is_connected(gateway):
            self.on_reconnect(gateway)
        self._sent_at[gateway] = max(sent_at, known or sent_at)

    def build_contact(self, version: ConfigurationVersion | None = None) -> Contact:
        """Return the contact that a gateway sends back after an answer that is sent now.

        `version` is that of the active configuration.
        """
        answered_ms = to_milliseconds(self._clock.monotonic())
        return Contact(token=self._token, answered_ms=answered_ms, configuration_version=version)

    def _record_message_age(self, gateway: str, age: timedelta, now: timedelta) -> None:
        self.record_age(age / timedelta(milliseconds=1))
        if age >= LATE_MESSAGE_AGE and now >= self._late_log_due:
            self._late_log_due = now + LATE_LOG_INTERVAL
            log_event(Event.KEEPALIVE_LATE, gateway=gateway, age_ms=to_milliseconds(age))

    def is_connected(self, gateway: str) -> bool:
        """Return whether the last contact with a gateway is within the timeout."""
        sent_at = self._sent_at.get(gateway)
        return sent_at is not None and self._clock.monotonic() - sent_at < GATEWAY_TIMEOUT

    def may_have_timed_out(self) -> bool:
        """Return whether a gateway may have timed out since this method last returned True.

        The caller asks thousands of times a second, while timeouts depend on the clock alone, so
        this check is cheap.
        """
        now = self._clock.monotonic()
        if now < self._check_at:
            return False
        expiries = (
            at + GATEWAY_TIMEOUT for at in self._sent_at.values() if now - at < GATEWAY_TIMEOUT
        )
        self._check_at = min(expiries, default=NEVER)
        if now < self._confirmed_until:
            self._check_at = min(self._check_at, now + SUBMISSION_CHECK_INTERVAL)
        return True

    def find_domain(self, gateway: str) -> DomainName | None:
        """Return the failure domain of a known gateway."""
        return self._domains.get(gateway)

    def is_any_connected(self) -> bool:
        """Return whether the last contact with any gateway is within the timeout."""
        return any(self.is_connected(gateway) for gateway in self._sent_at)

    def may_act_as_leader(self, domains: set[DomainName]) -> bool:
        """Return whether a disconnected gateway may act as leader for upstreams of these domains.

        None can if each of the domains has a known gateway and all known gateways are connected.
        """
        if not domains <= set(self._domains.values()):
            return True
        return not all(self.is_connected(gateway) for gateway in self._domains)

    def build_failover_state(self, records: Records, known: str) -> FailoverState | None:
        """Return the next part of the failover state for a gateway that has the version `known`.

        None if there is nothing new, and also if a large part has to wait: see `is_current`.
        """
        if self.is_current(known):
            return None
        if self.failover_log.is_next_part_large(records, known) and not self._claim_large_part():
            return None
        return self.failover_log.build(
            records, self.list_gateways(), has_durable_jobs=self._has_durable_jobs, known=known
        )

    def list_gateways(self) -> tuple[GatewayInfo, ...]:
        """Return the known gateways, those that are new after those that were listed before."""
        if len(self._listed) < len(self._domains):
            self._listed += sorted(self._domains.keys() - set(self._listed))
        return tuple(
            GatewayInfo(
                address=address,
                domain=self._domains[address],
                is_small=address in self._small_gateways,
            )
            for address in self._listed
        )

    def is_current(self, known: str) -> bool:
        """Return whether this is the latest version of the failover state."""
        return known == self.failover_log.version

    def _claim_large_part(self) -> bool:
        """Return whether another large part may be sent now, and count it if so."""
        now = self._clock.monotonic()
        earned = (now - self._large_parts_updated_at).total_seconds() * MAX_LARGE_PARTS_PER_SECOND
        self._large_parts_updated_at = now
        self._large_parts_left = min(
            self._large_parts_left + earned, float(MAX_LARGE_PARTS_PER_SECOND)
        )
        if self._large_parts_left < 1.0:
            return False
        self._large_parts_left -= 1.0
        return True
