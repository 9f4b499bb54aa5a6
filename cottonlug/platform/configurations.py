"""Decoding of configurations in the format of the platform's operators, whose routes are queues."""

from __future__ import annotations

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..core.cluster.model import (
    Configuration,
    ConfigurationVersion,
    Queue,
    Service,
    ServiceName,
)
from ..net.transport import DECODE_ERRORS
from .decoding import describe_error

DEFAULT_MAX_BODY_BYTES = 262_144
"""Limit of callers' request bodies where a configuration names none."""


class _RouteBody(msgspec.Struct):
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    name: str = ""
    route_type: str = ""
    target_latency_ms: int = 0
    priority: int = 0  # 0 is the highest
    max_attempts: int = 1  # the job fails after so many failed runs of one task
    stretch: float = 1.0
    advice: dict[str, float] | None = None


class _ServiceBody(msgspec.Struct):
    name: str
    max_conns: int = 0
    rejects_overload: bool = True


class _LimitsBody(msgspec.Struct):
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class _ConfigurationBody(msgspec.Struct):
    version: int
    routes: list[_RouteBody]
    services: list[_ServiceBody]
    limits: _LimitsBody = msgspec.field(default_factory=_LimitsBody)


_decoder = msgspec.json.Decoder(_ConfigurationBody)


def decode_configuration(body: bytes) -> Result[Configuration, str]:
    """Decode a configuration, or return the reason why the body is not a complete one."""
    try:
        parsed = _decoder.decode(body)
        document = body.decode()
    except DECODE_ERRORS as error:
        return Err(describe_error(error))
    return Success(
        Configuration(
            version=ConfigurationVersion(parsed.version),
            queues=tuple(_build_queue(route) for route in parsed.routes),
            services=tuple(_build_service(service) for service in parsed.services),
            max_body_bytes=parsed.limits.max_body_bytes,
            document=document,
        )
    )


def _build_queue(route: _RouteBody) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        service=ServiceName(route.service),
        timeout_ms=route.timeout_ms,
        target_latency_ms=route.target_latency_ms,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        needs_advice=route.advice is not None,
    )


def _build_service(service: _ServiceBody) -> Service:
    return Service(
        name=ServiceName(service.name),
        rejects_overload=service.rejects_overload,
        max_connections=service.max_conns,
    )
