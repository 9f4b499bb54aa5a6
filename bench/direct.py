"""Baselines: an upstream that is called directly, and a naive dispatcher with one call per task."""

from __future__ import annotations

import asyncio
import sys

import httpx
import msgspec
import uvicorn
from litestar import Litestar, Request, Response, post
from msgspec import Raw

from cottonlug.core.messages import SubmitRequest
from cottonlug.upstream.work import run_work


class DirectTask(msgspec.Struct):
    """Body of a direct call: one task."""

    kind: str
    payload: Raw


def build_upstream() -> Litestar:
    @post("/run")
    async def run(request: Request) -> Response[bytes]:
        task = msgspec.json.decode(await request.body(), type=DirectTask)
        result = await run_work(task.kind, task.payload)
        return Response(bytes(result.unwrap()), media_type="application/json")

    return Litestar([run], logging_config=None)


def build_naive(urls: list[str], slots: int) -> Litestar:
    """Return a dispatcher that sends each task in a call of its own to the first free upstream."""
    clients = [httpx.AsyncClient(base_url=url, trust_env=False, timeout=60) for url in urls]
    free: asyncio.Queue[httpx.AsyncClient] = asyncio.Queue()
    for client in clients * slots:
        free.put_nowait(client)

    async def run_task(kind: str, payload: Raw) -> Raw:
        client = await free.get()
        try:
            body = msgspec.json.encode(DirectTask(kind, payload))
            reply = await client.post("/run", content=body)
            return Raw(reply.content)
        finally:
            free.put_nowait(client)

    @post("/v1/jobs", request_max_body_size=1 << 24)
    async def submit(request: Request) -> Response[bytes]:
        job = msgspec.json.decode(await request.body(), type=SubmitRequest)
        results = await asyncio.gather(*(run_task(job.kind, task) for task in job.tasks))
        return Response(msgspec.json.encode(results), media_type="application/json")

    return Litestar([submit], logging_config=None)


def main() -> None:
    role, port, *rest = sys.argv[1:]
    if role == "upstream":
        app = build_upstream()
    else:
        app = build_naive(rest[1:], int(rest[0]))
    config = uvicorn.Config(
        app, port=int(port), access_log=False, log_level="error", lifespan="off"
    )
    uvicorn.Server(config).run()


if __name__ == "__main__":
    main()
