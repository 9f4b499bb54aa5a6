"""Settings of cluster hosts: control hosts, which keep the replicated log, and gateways.

A gateway passes callers' requests on to the leader of the control hosts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from pathlib import Path
from typing import Any

from ..core.cluster.capacity_reports import DEFAULT_REPORT_TERMS, ReportTerms
from ..core.cluster.host_sizes import UNKNOWN_SIZE, HostSize
from ..core.ids import DomainName, HostId
from .loading import load_settings
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
    read_list,
    read_number,
    read_path,
    read_section,
    read_text,
    read_unless_empty,
)

MAX_REMOTE_FACTOR = 1_000.0
"""Largest value of `remote_factor`; a larger one is an error."""

_IP_PATTERN = r"\d{1,3}(\.\d{1,3}){3}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlListeners:
    """Listen addresses of a control host; `control` serves upstreams and operators."""

    control: Address
    peers: Address
    metrics: Address | None


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayListeners:
    """Listen addresses of a gateway; `peers` serves gateways, `readiness` the load balancer."""

    callers: Address
    peers: Address
    readiness: Address
    metrics: Address | None


class OrderDelivery(Enum):
    """How upstreams receive orders: by calls to them or in the answers to their heartbeats."""

    CALL = "call"
    HEARTBEAT = "heartbeat"


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Settings of a control host; `seeds` are addresses for calls between peers."""

    host: HostId
    domain: DomainName
    listen: ControlListeners
    seeds: list[Address]
    may_begin: bool
    """Whether this host may bootstrap the log; the first of the seeds that may does so."""
    data_folder: Path
    longest_lease: timedelta
    """Maximum duration of an upstream's lease."""
    caller_retry: timedelta
    """Time after which a caller that lost its gateway submits its job again."""
    keep_ended: timedelta
    """How long the records of ended jobs are kept."""
    orders: OrderDelivery
    """How upstreams receive orders."""
    domains: list[DomainName] = field(default_factory=list)
    """All failure domains, so that one that has no upstreams at present can be evacuated too."""
    drain_limit: timedelta
    """Time allowed for the whole shutdown."""
    urgent_port: int | None = None
    """Port on all hosts, including this one, for calls that must not wait behind jobs."""
    bind_host: str | None = None
    """IP number that the advertised listeners bind to, if it differs from the advertised one."""
    reports: ReportTerms = DEFAULT_REPORT_TERMS
    remote_factor: float = 1.0
    """How many times as long a task takes outside the rack of its data."""
    log: LogSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Settings of a gateway."""

    host: HostId
    domain: DomainName
    listen: GatewayListeners
    seeds: list[Address]
    longest_lease: timedelta
    """Maximum duration of an upstream's lease."""
    caller_retry: timedelta
    """Time after which a caller that lost its gateway submits its job again."""
    drain_limit: timedelta
    """Time allowed for the whole shutdown."""
    urgent_port: int | None = None
    """Port on all hosts, including this one, for calls that must not wait behind jobs."""
    bind_host: str | None = None
    """IP number that the advertised listeners bind to, if it differs from the advertised one."""
    reports: ReportTerms = DEFAULT_REPORT_TERMS
    size: HostSize = UNKNOWN_SIZE
    """What this host may use, where that is known."""
    remote_factor: float = 1.0
    """How many times as long a task takes outside the rack of its data."""
    log: LogSettings


_CONTROL_LISTENERS: Options = {
    "control": Option(read_address),
    "peers": Option(read_address),
    "metrics": Option(read_address, None),
}
_GATEWAY_LISTENERS: Options = {
    "peers": Option(read_address),
    "callers": Option(read_address),
    "readiness": Option(read_address),
    "metrics": Option(read_address, None),
}
_COMMON_OPTIONS: Options = {
    "host": Option(read_name),
    "domain": Option(read_name),
    "seeds": Option(read_list(read_address)),
    "peer_port": Option(read_integer(1, 65_535), None),
    "urgent_port": Option(read_integer(1, 65_535), None),
    "bind_host": Option(read_text(_IP_PATTERN, "expected an IP number"), None),
    "longest_lease": Option(read_duration, timedelta(seconds=1)),
    "caller_retry": Option(read_duration, timedelta(milliseconds=1_300)),
    "drain_limit": Option(read_duration, timedelta(seconds=5)),
    "heartbeat_every": Option(read_duration, DEFAULT_REPORT_TERMS.interval),
    "shrink_borne": Option(read_duration, DEFAULT_REPORT_TERMS.shrink_tolerance),
    "remote_factor": Option(read_number(1.0, MAX_REMOTE_FACTOR), 1.0),
    "log": Option(read_log_section, LogSettings()),
}
_CONTROL_OPTIONS: Options = {
    **_COMMON_OPTIONS,
    "listen": Option(read_section(_CONTROL_LISTENERS, ControlListeners)),
    "may_begin": Option(read_boolean, False),
    "data_folder": Option(read_path),
    "keep_ended": Option(read_duration, timedelta(seconds=150)),
    "orders": Option(read_choice(OrderDelivery), OrderDelivery.CALL),
    "domains": Option(read_list(read_name), []),
}
_READ_SIZE = read_unless_empty(read_number(0, 1e15))
_SIZE_OPTIONS: Options = {
    "cores": Option(_READ_SIZE, None),
    "share": Option(_READ_SIZE, None),
    "memory": Option(_READ_SIZE, None),
    "descriptors": Option(_READ_SIZE, None),
    "link": Option(_READ_SIZE, None),
}
_GATEWAY_OPTIONS: Options = {
    **_COMMON_OPTIONS,
    "listen": Option(read_section(_GATEWAY_LISTENERS, GatewayListeners)),
    "size": Option(read_section(_SIZE_OPTIONS, HostSize), UNKNOWN_SIZE),
}


def _replace_seed_ports(seeds: list[Address], peer_port: int | None) -> list[Address]:
    """Return the seeds with their port replaced by `peer_port`, if that is given."""
    if peer_port is None:
        return seeds
    return [Address(seed.host, peer_port) for seed in seeds]


def _build_fields(
    *,
    seeds: list[Address],
    peer_port: int | None,
    heartbeat_every: timedelta,
    shrink_borne: timedelta,
    **rest: object,
) -> dict[str, Any]:
    """Convert the options that both kinds of host share to fields of the settings classes."""
    reports = ReportTerms(interval=heartbeat_every, shrink_tolerance=shrink_borne)
    return {"seeds": _replace_seed_ports(seeds, peer_port), "reports": reports, **rest}


def _build_control(**given: Any) -> ControlSettings:
    return ControlSettings(**_build_fields(**given))


def _build_gateway(**given: Any) -> GatewaySettings:
    return GatewaySettings(**_build_fields(**given))


def load_control_settings(file: Path) -> ControlSettings:
    """Load a control host's settings; raise `SettingsError` listing every problem."""
    return load_settings(file, read_section(_CONTROL_OPTIONS, _build_control))


def load_gateway_settings(file: Path) -> GatewaySettings:
    """Load a gateway's settings; raise `SettingsError` listing every problem."""
    return load_settings(file, read_section(_GATEWAY_OPTIONS, _build_gateway))
