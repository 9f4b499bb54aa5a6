"""HTTP API for callers (jobs, states, cancels, counts) and the load balancer's check."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec
from returns.result import Failure as Err

from ..core.clock import to_milliseconds
from ..core.cluster.calls import Answer, AskState, Call, Cancel, Outcome, Submit
from ..net.asgi import Handler, HttpRequest, HttpResponse
from .jobs import STATE_WORDS, decode_job

READINESS_PATH = "/ready"
TIMEOUT_HEADER = "x-timeout-ms"
DEFAULT_WAIT_TIMEOUT = timedelta(milliseconds=1_500)
"""How long a caller waits for an answer if it does not send `TIMEOUT_HEADER`."""
ANSWER_MARGIN = timedelta(milliseconds=40)
"""Time for an answer to reach the caller, with a reserve for a busy host."""
MAX_WAIT_TIMEOUT = timedelta(days=1)
"""A caller that sends a longer timeout is taken to wait for this long."""
RETRY_AFTER_SECONDS = "1"
"""Value of `retry-after` where an answer names no time."""

_MAX_TIMEOUT_DIGITS = 9
"""A number of more digits means more than `MAX_WAIT_TIMEOUT`."""

STATUS_OF_OUTCOME = {
    Outcome.DONE: 200,
    Outcome.REJECTED: 429,
    Outcome.UNAVAILABLE: 503,
    Outcome.UNKNOWN: 504,
    Outcome.ABANDONED: 504,
    Outcome.NO_QUEUE: 404,
    Outcome.NO_JOB: 410,
    Outcome.INVALID: 400,
    Outcome.UNSUPPORTED: 503,
}

AnswerCall = Callable[[Call, timedelta], Awaitable[Answer]]


def build_caller_handler(
    answer: AnswerCall, abandon: Callable[[Submit], None], should_close: Callable[[], bool]
) -> Handler:
    """Return the handler of the platform's API for callers.

    `should_close` says whether a caller's connection is to be closed after its response.
    """

    async def answer_or_abandon(call: Call, timeout: timedelta) -> Answer:
        try:
            return await answer(call, timeout)
        except asyncio.CancelledError:
            # The caller has disconnected; a durable job continues.
            if isinstance(call, Submit) and call.spec.best_effort:
                abandon(call)
            raise

    async def handle(request: HttpRequest) -> HttpResponse:
        call = _decode_call(request)
        if isinstance(call, HttpResponse):
            response = call
        else:
            response = _encode_answer(await answer_or_abandon(call, _read_wait_timeout(request)))
        response.close = should_close()
        return response

    return handle


def build_readiness_handler(is_ready: Callable[[], bool]) -> Handler:
    """Return the handler of the load balancer's readiness check."""

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.path != READINESS_PATH:
            return HttpResponse(status=404)
        return HttpResponse(status=200 if is_ready() else 503)

    return handle


def _decode_call(request: HttpRequest) -> Call | HttpResponse:
    host = request.headers.get("host", "")
    if request.method == "GET":
        return AskState(host=host, path=request.path)
    if request.method == "DELETE":
        return Cancel(host=host, path=request.path)
    if request.method != "POST":
        return HttpResponse(status=405)
    decoded = decode_job(request.body)
    wait_timeout_ms = to_milliseconds(_read_given_timeout(request))
    if isinstance(decoded, Err):
        body = msgspec.json.encode({"error": decoded.failure()})
        return HttpResponse(status=400, body=body)
    return Submit(
        host=host,
        path=request.path,
        spec=decoded.unwrap(),
        wait_timeout_ms=wait_timeout_ms,
        waited_ms=to_milliseconds(request.age),
    )


def _read_wait_timeout(request: HttpRequest) -> timedelta:
    """Return within which time an answer must be ready so that the caller still gets it.

    The caller has waited since the request arrived, which may be long before it was read here.
    """
    return max(_read_given_timeout(request) - request.age, timedelta())


def _read_given_timeout(request: HttpRequest) -> timedelta:
    """Return how long after the arrival of a request the answer must be ready."""
    text = request.headers.get(TIMEOUT_HEADER, "")
    if not text.isdecimal():
        return DEFAULT_WAIT_TIMEOUT - ANSWER_MARGIN
    digits = text.lstrip("0") or "0"
    if len(digits) > _MAX_TIMEOUT_DIGITS:
        return MAX_WAIT_TIMEOUT - ANSWER_MARGIN
    return min(timedelta(milliseconds=int(digits)), MAX_WAIT_TIMEOUT) - ANSWER_MARGIN


def _encode_answer(answer: Answer) -> HttpResponse:
    status = STATUS_OF_OUTCOME[answer.outcome]
    if answer.outcome is Outcome.DONE:
        return HttpResponse(status=status, body=_encode_done(answer))
    headers = {}
    if status in (429, 503) and answer.outcome is not Outcome.UNSUPPORTED:
        headers["retry-after"] = _encode_retry_after(answer)
    body = msgspec.json.encode({"error": answer.detail})
    return HttpResponse(status=status, body=body, headers=headers)


def _encode_done(answer: Answer) -> bytes:
    if answer.state is not None:
        return msgspec.json.encode({"state": STATE_WORDS[answer.state]})
    if answer.pending is not None:
        return msgspec.json.encode({"pending": answer.pending})
    return b"{}"


def _encode_retry_after(answer: Answer) -> str:
    if answer.retry_after_ms is None:
        return RETRY_AFTER_SECONDS
    return str(max(1, -(-answer.retry_after_ms // 1000)))
