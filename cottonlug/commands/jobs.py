"""Commands for callers: `submit`, `status`, `cancel`, `request` and `ids`."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.options import Address
from ..core.ids import SubmissionId
from ..core.messages import (
    JobAnswer,
    JobStatus,
    JobView,
    MintReply,
    MintRequest,
    Refusal,
    SingleRequest,
    SubmitRequest,
)
from ..core.states import RefusalCode
from ..net.clients import ApiClient
from ..net.codec import decode
from .exits import ExitCode
from .output import print_json, print_refusal, print_view

ANSWER_WAIT_MS = 1_000
"""How long each request for the answer of a job waits; then the progress is printed."""
RETRY_CODES = {RefusalCode.HOME_UNREACHABLE, RefusalCode.OVERLOADED}
MAX_CALL_ATTEMPTS = 30
_DEFAULT_RETRY_MS = 500
"""Pause before a retry if the refusal names none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """The host to call, the token to send, and the output format."""

    address: Address
    token: str
    as_json: bool


def submit_job(target: Target, request: SubmitRequest, wait: bool) -> ExitCode:
    """Submit a job, under a new id if it has none, and optionally wait for its answer."""
    return asyncio.run(_submit_job(target, request, wait))


def show_status(target: Target, id: str, wait_ms: int) -> ExitCode:
    """Print the answer of a job, or its status if it has not ended after `wait_ms`."""
    path = f"/v1/jobs/{id}/answer?wait_ms={wait_ms}"
    return asyncio.run(_call_and_print(target, "GET", path, None))


def cancel_job(target: Target, id: str) -> ExitCode:
    """Cancel a job and print the state that it ended in."""
    return asyncio.run(_call_and_print(target, "POST", f"/v1/jobs/{id}/cancel", None))


def run_request(target: Target, request: SingleRequest) -> ExitCode:
    """Run one task and print its answer."""
    return asyncio.run(_run_request(target, request))


def mint_ids(target: Target, count: int) -> ExitCode:
    """Mint submission ids and print them."""
    return asyncio.run(_mint_and_print(target, count))


def read_job_file(file: Path) -> Result[SubmitRequest, Refusal]:
    """Return the job in a JSON file, where `-` is standard input, or why it cannot be read."""
    try:
        body = sys.stdin.buffer.read() if str(file) == "-" else file.read_bytes()
    except OSError as error:
        message = f"{file}: {error.strerror}"
        return Err(Refusal(code=RefusalCode.INVALID, message=message))
    return decode(body, SubmitRequest)


async def call_with_retries(
    client: ApiClient, method: str, path: str, reply_type: Any, message: Any
) -> Result[Any, Refusal]:
    """Send a call, and send it again while it is refused with a code that may be retried.

    Waits as long as the refusal says, and returns the last refusal after `MAX_CALL_ATTEMPTS` calls.
    Retries are safe: they carry the same id, or the request is idempotent.
    """
    for _ in range(MAX_CALL_ATTEMPTS):
        reply = await client.call(method, path, reply_type, message)
        if isinstance(reply, Success) or reply.failure().code not in RETRY_CODES:
            return reply
        wait_ms = reply.failure().retry_after_ms or _DEFAULT_RETRY_MS
        await asyncio.sleep(wait_ms / 1000)
    return reply


async def _submit_job(target: Target, request: SubmitRequest, wait: bool) -> ExitCode:
    client = ApiClient(address=target.address, token=target.token)
    try:
        if request.id is None:
            minted = await _mint(client)
            if isinstance(minted, Err):
                return print_refusal(minted.failure(), target.as_json)
            request.id = minted.unwrap().ids[0]
        if not target.as_json:
            print(f"submission {request.id}", file=sys.stderr)
        accepted = await call_with_retries(client, "POST", "/v1/jobs", JobView, request)
        if isinstance(accepted, Err):
            return print_refusal(accepted.failure(), target.as_json)
        view = accepted.unwrap()
        if wait and isinstance(view, JobStatus):
            return await _wait_for_answer(target, client, request.id)
        return print_view(view, target.as_json)
    finally:
        await client.close()


async def _wait_for_answer(target: Target, client: ApiClient, id: SubmissionId) -> ExitCode:
    path = f"/v1/jobs/{id}/answer?wait_ms={ANSWER_WAIT_MS}"
    while True:
        reply = await call_with_retries(client, "GET", path, JobView, None)
        if isinstance(reply, Err):
            return print_refusal(reply.failure(), target.as_json)
        view = reply.unwrap()
        if isinstance(view, JobAnswer):
            return print_view(view, target.as_json)
        if not target.as_json:
            print(f"{view.succeeded} of {view.total} tasks done", file=sys.stderr)


async def _run_request(target: Target, request: SingleRequest) -> ExitCode:
    client = ApiClient(address=target.address, token=target.token, timeout_seconds=90.0)
    try:
        if request.id is None and not request.idempotent:
            minted = await _mint(client)
            if isinstance(minted, Err):
                return print_refusal(minted.failure(), target.as_json)
            request.id = minted.unwrap().ids[0]
        reply = await call_with_retries(client, "POST", "/v1/requests", JobView, request)
        if isinstance(reply, Err):
            return print_refusal(reply.failure(), target.as_json)
        return print_view(reply.unwrap(), target.as_json)
    finally:
        await client.close()


async def _mint(client: ApiClient) -> Result[MintReply, Refusal]:
    return await call_with_retries(client, "POST", "/v1/ids", MintReply, MintRequest(count=1))


async def _mint_and_print(target: Target, count: int) -> ExitCode:
    client = ApiClient(address=target.address, token=target.token)
    try:
        reply = await client.call("POST", "/v1/ids", MintReply, MintRequest(count=count))
    finally:
        await client.close()
    if isinstance(reply, Err):
        return print_refusal(reply.failure(), target.as_json)
    minted: MintReply = reply.unwrap()
    if target.as_json:
        print_json(minted)
    else:
        print("\n".join(minted.ids))
    return ExitCode.OK


async def _call_and_print(target: Target, method: str, path: str, message: Any) -> ExitCode:
    client = ApiClient(address=target.address, token=target.token, timeout_seconds=90.0)
    try:
        reply = await client.call(method, path, JobView, message)
    finally:
        await client.close()
    if isinstance(reply, Err):
        return print_refusal(reply.failure(), target.as_json)
    return print_view(reply.unwrap(), target.as_json)
