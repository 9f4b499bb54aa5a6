"""Settings of entry hosts and upstreams: name, type, bounds and default of each."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from ..core.execution import Delays
from ..core.ids import DomainName, HostId, UpstreamId
from ..core.limits import Limits
from ..core.policy import PlacementOrder, Policy
from .logs import LogSettings, read_log_section, read_name
from .options import (
    Address,
    Option,
    Options,
    read_address,
    read_boolean,
    read_choice,
    read_duration,
    read_integer,
    read_labels,
    read_list,
    read_number,
    read_path,
    read_secret,
    read_section,
    read_text,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Listeners:
    """One listen address for each kind of client."""

    callers: Address
    operators: Address
    upstreams: Address
    peers: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class Tokens:
    """One bearer token for each kind of client."""

    callers: str
    operators: str
    upstreams: str
    peers: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Another entry host and the address of its peer listener."""

    host: HostId
    domain: DomainName
    address: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionSettings:
    """How long a submission id may start a job, and how long an ended job's answer is kept."""

    id_lifetime: timedelta = timedelta(minutes=10)
    retention: timedelta = timedelta(minutes=2)


@dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Retries of idempotent requests.

    Each first attempt allows `budget` retries; unused ones add up to at most `burst`.
    """

    budget: float = 0.1
    burst: int = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class BodySettings:
    """Maximum sizes of request bodies and payloads, in kilobytes."""

    max_kb: int = 8192
    max_payload_kb: int = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of an entry host."""

    host: HostId
    domain: DomainName
    listen: Listeners
    tokens: Tokens
    peers: list[PeerSettings]
    rules: Path | None
    """File of the rules; only without voters, which otherwise keep the rules."""
    data_folder: Path | None
    """Folder of the replicated log; required for a voter."""
    voters: list[HostId]
    limits: Limits
    policy: Policy
    submissions: SubmissionSettings
    retries: RetrySettings
    bodies: BodySettings
    drain_limit: timedelta
    """How long a stopping host waits for accepted jobs to end."""
    drain_linger: timedelta
    """How long it then waits for callers to fetch their answers."""
    log: LogSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryAddress:
    """An entry host and the address of its listener for upstreams."""

    host: HostId
    address: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSettings:
    """Settings of a stand-in upstream, a program that simulates one for examples and tests."""

    upstream: UpstreamId
    domain: DomainName
    rack: str
    slots: int
    processors: float
    memory_mb: int
    accelerators: int
    labels: dict[str, str]
    hosts: list[EntryAddress]
    token: str
    listen: Address | None
    operator_token: str | None
    delays: Delays
    log: LogSettings


_LIMITS = Limits()
_POLICY = Policy()
_DELAYS = Delays()
_DAY = 86_400

LIMIT_OPTIONS: Options = {
    "max_queued_tasks": Option(read_integer(1, 10_000_000), _LIMITS.max_queued_tasks),
    "idle_lease": Option(read_duration, _LIMITS.idle_lease),
    "busy_lease": Option(read_duration, _LIMITS.busy_lease),
    "suspect_grace": Option(read_duration, _LIMITS.suspect_grace),
    "idle_park": Option(read_duration, _LIMITS.idle_park),
    "busy_park": Option(read_duration, _LIMITS.busy_park),
    "unrunnable_grace": Option(read_duration, _LIMITS.unrunnable_grace),
}
POLICY_OPTIONS: Options = {
    "placement": Option(read_choice(PlacementOrder), _POLICY.placement),
    "work_factor": Option(read_number(0, 100), _POLICY.work_factor),
    "fair_teams": Option(read_boolean, _POLICY.fair_teams),
    "guards": Option(read_boolean, _POLICY.guards),
}
LISTEN_OPTIONS: Options = {
    "callers": Option(read_address),
    "operators": Option(read_address),
    "upstreams": Option(read_address),
    "peers": Option(read_address),
}
TOKEN_OPTIONS: Options = {
    "callers": Option(read_secret),
    "operators": Option(read_secret),
    "upstreams": Option(read_secret),
    "peers": Option(read_secret),
}
PEER_OPTIONS: Options = {
    "host": Option(read_name),
    "domain": Option(read_name),
    "address": Option(read_address),
}
SUBMISSION_OPTIONS: Options = {
    "id_lifetime": Option(read_duration, timedelta(minutes=10)),
    "retention": Option(read_duration, timedelta(minutes=2)),
}
RETRY_OPTIONS: Options = {
    "budget": Option(read_number(0, 1), 0.1),
    "burst": Option(read_integer(0, 10_000), 10),
}
BODY_OPTIONS: Options = {
    "max_kb": Option(read_integer(1, 65_536), 8192),
    "max_payload_kb": Option(read_integer(1, 8192), 64),
}
ENTRY_OPTIONS: Options = {
    "host": Option(read_name),
    "domain": Option(read_name),
    "listen": Option(read_section(LISTEN_OPTIONS, Listeners)),
    "tokens": Option(read_section(TOKEN_OPTIONS, Tokens)),
    "peers": Option(read_list(read_section(PEER_OPTIONS, PeerSettings)), []),
    "rules": Option(read_path, None),
    "data_folder": Option(read_path, None),
    "voters": Option(read_list(read_name), []),
    "limits": Option(read_section(LIMIT_OPTIONS, Limits), _LIMITS),
    "policy": Option(read_section(POLICY_OPTIONS, Policy), _POLICY),
    "submissions": Option(
        read_section(SUBMISSION_OPTIONS, SubmissionSettings), SubmissionSettings()
    ),
    "retries": Option(read_section(RETRY_OPTIONS, RetrySettings), RetrySettings()),
    "bodies": Option(read_section(BODY_OPTIONS, BodySettings), BodySettings()),
    "drain_limit": Option(read_duration, timedelta(minutes=5)),
    "drain_linger": Option(read_duration, timedelta(seconds=5)),
    "log": Option(read_log_section, LogSettings()),
}
DELAY_OPTIONS: Options = {
    "prefetch": Option(read_integer(0, 1024), _DELAYS.prefetch),
    "coalesce": Option(read_duration, _DELAYS.coalesce),
    "hold": Option(read_duration, _DELAYS.hold),
}
ENTRY_ADDRESS_OPTIONS: Options = {"host": Option(read_name), "address": Option(read_address)}
UPSTREAM_OPTIONS: Options = {
    "upstream": Option(read_name),
    "domain": Option(read_name),
    "rack": Option(read_text(), ""),
    "slots": Option(read_integer(1, 4096), 8),
    "processors": Option(read_number(0, 4096), 32.0),
    "memory_mb": Option(read_integer(0, 16_777_216), 65_536),
    "accelerators": Option(read_integer(0, 64), 0),
    "labels": Option(read_labels, {}),
    "hosts": Option(read_list(read_section(ENTRY_ADDRESS_OPTIONS, EntryAddress))),
    "token": Option(read_secret),
    "listen": Option(read_address, None),
    "operator_token": Option(read_secret, None),
    "delays": Option(read_section(DELAY_OPTIONS, Delays), _DELAYS),
    "log": Option(read_log_section, LogSettings()),
}

read_entry_settings = read_section(ENTRY_OPTIONS, EntrySettings)
read_upstream_settings = read_section(UPSTREAM_OPTIONS, UpstreamSettings)
