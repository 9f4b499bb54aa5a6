"""HTTP API for operators: jobs, state dump, metrics and rules."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from litestar import Litestar, Request, Response, get, post
from litestar.enums import MediaType
from litestar.handlers import HTTPRouteHandler
from returns.result import Failure as Err

from ..core.jobs import build_status
from ..runtime.dump import build_entry_dump
from ..runtime.entry import EntryHost
from ..runtime.metrics import Metrics
from .apps import build_app, build_guard
from .caller_app import build_caller_handlers, build_health_handlers
from .codec import decode
from .homes import Homes
from .replies import reply_json, reply_refusal
from .rule_messages import ExplainRequest, RulesView, explain_rules

MAX_LISTED_JOBS = 1000


def build_operator_app(
    host: EntryHost, homes: Homes, rule_handlers: Sequence[HTTPRouteHandler]
) -> Litestar:
    """Return the application for operators; `rule_handlers` are the routes that change rules."""
    token = host.settings.tokens.operators
    metrics = Metrics(counters=host.get_counters, gauges=host.get_gauges)
    handlers = [
        _build_job_list(host, token),
        *_build_rule_views(host, token),
        *rule_handlers,
        *build_state_handlers(lambda: build_entry_dump(host), metrics, token),
        *build_caller_handlers(host, homes, token),
        *build_health_handlers(host),
    ]
    return build_app(
        title="cottonlug operators",
        handlers=handlers,
        max_body_bytes=host.settings.bodies.max_kb * 1024,
    )


def build_state_handlers(
    build_dump: Callable[[], Any], metrics: Metrics, token: str
) -> list[HTTPRouteHandler]:
    """Return the route handlers that show a process's state."""
    guards = [build_guard(token)]

    @get("/v1/dump", guards=guards)
    async def dump_state() -> Response[bytes]:
        """Return the state of this process."""
        return reply_json(build_dump())

    @get("/metrics", guards=guards)
    async def show_metrics() -> Response[bytes]:
        """Return all metrics as text."""
        return Response(metrics.render().encode(), media_type=MediaType.TEXT)

    return [dump_state, show_metrics]


def _build_job_list(host: EntryHost, token: str) -> HTTPRouteHandler:
    @get("/v1/jobs", guards=[build_guard(token)])
    async def list_jobs() -> Response[bytes]:
        """List the latest jobs whose home is this host, newest last."""
        jobs = list(host.dispatcher.store.jobs.values())[-MAX_LISTED_JOBS:]
        return reply_json([build_status(job) for job in jobs])

    return list_jobs


def _build_rule_views(host: EntryHost, token: str) -> list[HTTPRouteHandler]:
    guards = [build_guard(token)]

    @get("/v1/rules", guards=guards)
    async def show_rules() -> Response[bytes]:
        """Return the rules that are active at this host."""
        book = host.rulebook
        return reply_json(RulesView(version=book.version, text=book.text))

    @post("/v1/rules/explain", guards=guards)
    async def explain(request: Request[Any, Any, Any]) -> Response[bytes]:
        """Explain which rule a job would match and why the earlier ones do not match."""
        decoded = decode(await request.body(), ExplainRequest)
        if isinstance(decoded, Err):
            return reply_refusal(decoded.failure())
        return reply_json(explain_rules(host.rulebook.rules, decoded.unwrap()))

    return [show_rules, explain]
