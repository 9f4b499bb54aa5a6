"""HTTP API for callers; other entry hosts use it to forward calls to a submission's home.

The home of a submission is the entry host that its id names, and which has accepted the job.
"""

from __future__ import annotations

from typing import Any

from litestar import Litestar, Request, Response, get, post
from litestar.enums import MediaType
from litestar.handlers import HTTPRouteHandler
from returns.result import Failure as Err
from returns.result import Result

from ..core.ids import SubmissionId
from ..core.messages import (
    Health,
    HealthReply,
    JobAnswer,
    JobStatus,
    MintRequest,
    Refusal,
    SingleRequest,
    SubmitRequest,
)
from ..core.states import RefusalCode
from ..runtime.entry import MAX_WAIT_SECONDS, EntryHost
from .apps import build_app, build_guard
from .codec import decode
from .homes import Homes
from .replies import reply_json, reply_refusal

_Request = Request[Any, Any, Any]


def build_caller_app(host: EntryHost, homes: Homes) -> Litestar:
    """Return the application that serves callers."""
    handlers = build_caller_handlers(host, homes, host.settings.tokens.callers)
    return build_app(
        title="cottonlug callers",
        handlers=[*handlers, *build_health_handlers(host)],
        max_body_bytes=host.settings.bodies.max_kb * 1024,
    )


def build_caller_handlers(
    host: EntryHost, homes: Homes | None, token: str
) -> list[HTTPRouteHandler]:
    """Return the route handlers for callers; without `homes` no call is forwarded."""
    guards = [build_guard(token)]

    async def forward(id: SubmissionId | None, request: _Request) -> Response[bytes] | None:
        """Return the reply of a remote home; None if the call is to be answered here."""
        home = homes.find_remote_home(id) if homes is not None else None
        if homes is None or home is None:
            return None
        query = request.url.query
        path = request.url.path + (f"?{query}" if query else "")
        body = await request.body() if request.method == "POST" else None
        sent = await homes.forward(home, request.method, path, body)
        if isinstance(sent, Err):
            return reply_refusal(sent.failure())
        reply = sent.unwrap()
        return Response(reply.body, status_code=reply.status, media_type=MediaType.JSON)

    @post("/v1/ids", guards=guards)
    async def mint_ids(request: _Request) -> Response[bytes]:
        """Mint submission ids; a submission that has one can be sent again safely."""
        decoded = decode(await request.body() or b"{}", MintRequest)
        if isinstance(decoded, Err):
            return reply_refusal(decoded.failure())
        return _reply(host.mint(decoded.unwrap().count))

    @post("/v1/jobs", guards=guards)
    async def submit_job(request: _Request) -> Response[bytes]:
        """Submit a job, or attach to the existing job with the same id."""
        decoded = decode(await request.body(), SubmitRequest)
        if isinstance(decoded, Err):
            return reply_refusal(decoded.failure())
        forwarded = await forward(decoded.unwrap().id, request)
        return forwarded or _reply(host.submit(decoded.unwrap()), unfinished_status=202)

    @get("/v1/jobs/{id:str}", guards=guards)
    async def get_job(id: str, request: _Request) -> Response[bytes]:
        """Return the status of a job."""
        forwarded = await forward(SubmissionId(id), request)
        return forwarded or _reply(host.get_status(SubmissionId(id)))

    @get("/v1/jobs/{id:str}/answer", guards=guards)
    async def get_answer(id: str, request: _Request) -> Response[bytes]:
        """Wait up to `wait_ms` for the complete answer; 202 and the status until it exists."""
        wait_ms = request.query_params.get("wait_ms", "0")
        max_wait_ms = int(MAX_WAIT_SECONDS * 1000)
        if not wait_ms.isdecimal() or int(wait_ms) > max_wait_ms:
            message = f"wait_ms is a whole number from 0 to {max_wait_ms}"
            refusal = Refusal(code=RefusalCode.INVALID, message=message, path="wait_ms")
            return reply_refusal(refusal)
        forwarded = await forward(SubmissionId(id), request)
        if forwarded is not None:
            return forwarded
        return _reply(
            await host.wait_answer(SubmissionId(id), int(wait_ms) / 1000), unfinished_status=202
        )

    @post("/v1/jobs/{id:str}/cancel", guards=guards)
    async def cancel_job(id: str, request: _Request) -> Response[bytes]:
        """Cancel a job and return its final state."""
        forwarded = await forward(SubmissionId(id), request)
        return forwarded or _reply(host.cancel(SubmissionId(id)))

    @post("/v1/requests", guards=guards)
    async def run_request(request: _Request) -> Response[bytes]:
        """Run one task and wait for its answer."""
        decoded = decode(await request.body(), SingleRequest)
        if isinstance(decoded, Err):
            return reply_refusal(decoded.failure())
        single = decoded.unwrap()
        forwarded = None if single.idempotent else await forward(single.id, request)
        return forwarded or _reply(await host.run_single(single))

    return [mint_ids, submit_job, get_job, get_answer, cancel_job, run_request]


def build_health_handlers(host: EntryHost) -> list[HTTPRouteHandler]:
    """Return the health endpoints for the platform's load balancer; they require no token."""

    @get("/health")
    async def get_health() -> Response[bytes]:
        """Report that the process is alive."""
        return reply_json(HealthReply(status=Health.OK))

    @get("/ready")
    async def get_ready() -> Response[bytes]:
        """Report whether new work should be sent here; the status is 503 if not."""
        if host.dispatcher.draining:
            return reply_json(HealthReply(status=Health.DRAINING), 503)
        if not host.control.is_ready():
            return reply_json(HealthReply(status=Health.NOT_READY), 503)
        return reply_json(HealthReply(status=Health.OK))

    return [get_health, get_ready]


def _reply(result: Result[Any, Refusal], unfinished_status: int = 200) -> Response[bytes]:
    """Build a reply; `unfinished_status` is its status code if it carries a `JobStatus`."""
    if isinstance(result, Err):
        return reply_refusal(result.failure())
    message = result.unwrap()
    is_final = isinstance(message, JobAnswer)
    status = unfinished_status if isinstance(message, JobStatus) and not is_final else 200
    return reply_json(message, status)
