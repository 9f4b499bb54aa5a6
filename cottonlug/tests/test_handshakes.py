"""Calls that must reach the intended process at an address or none, over real connections.

A stub server answers with its name; another one with another name replaces it at the same port.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from returns.result import Failure as Err
from returns.result import Success

from ..config.options import Address
from ..net.connections import ConnectionPool, Handshake
from ..net.transport import HttpReply

CALL_TIMEOUT = timedelta(seconds=5)
"""Far longer than a call on one machine takes."""


class StubServer:
    """Answers each request with its name and records the request paths."""

    def __init__(self, name: str, status: int = 200) -> None:
        self.name = name
        self.status = status
        self.paths: list[str] = []
        self.connections = 0
        self.gate = asyncio.Event()
        """Requests are answered while it is set."""
        self.gate.set()
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0.01)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.append(writer)
        while line := await reader.readline():
            self.paths.append(line.split()[1].decode())
            size = 0
            while (header := (await reader.readline()).strip()) != b"":
                name, _, value = header.partition(b":")
                size = int(value) if name.lower() == b"content-length" else size
            await reader.readexactly(size)
            await self.gate.wait()
            body = self.name.encode()
            writer.write(
                b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%b" % (self.status, len(body), body)
            )


def build_handshake(identity: str, *, path: str = "/who") -> Handshake:
    return Handshake(
        identity=identity,
        confirms=lambda reply: reply.body == identity.encode(),
        path=path,
        build_body=lambda: b"{}",
    )


def run_with_server(
    act: Callable[[StubServer, ConnectionPool], Awaitable[None]], status: int = 200
) -> None:
    async def run() -> None:
        first = StubServer("first", status)
        port = await first.start()
        pool = ConnectionPool(address=Address("127.0.0.1", port))
        await act(first, pool)
        pool.close()
        await first.stop()

    asyncio.run(run())


def test_the_handshake_is_not_repeated_on_a_connection() -> None:
    async def act(first: StubServer, pool: ConnectionPool) -> None:
        for _ in range(3):
            result = await pool.call(
                "POST", "/do", timeout=CALL_TIMEOUT, handshake=build_handshake("first")
            )
            assert result == Success(HttpReply(status=200, body=b"first"))
        assert first.paths == ["/who", "/do", "/do", "/do"]
        assert first.connections == 1

    run_with_server(act)


def test_a_call_without_side_effects_needs_no_extra_handshake() -> None:
    async def act(first: StubServer, pool: ConnectionPool) -> None:
        itself = build_handshake("first", path="")
        await pool.call("POST", "/who", timeout=CALL_TIMEOUT, handshake=itself)
        await pool.call("POST", "/do", timeout=CALL_TIMEOUT, handshake=build_handshake("first"))
        assert first.paths == ["/who", "/do"]

    run_with_server(act)


# Guards against orders for an ended process that its successor at the same address executes.
def test_a_call_for_a_process_that_has_ended_is_not_sent_to_the_next_one() -> None:
    async def act(first: StubServer, pool: ConnectionPool) -> None:
        await pool.call("POST", "/do", timeout=CALL_TIMEOUT, handshake=build_handshake("first"))
        await first.stop()
        second = StubServer("second")
        await second.start(pool.address.port)
        result = await pool.call(
            "POST", "/do", timeout=CALL_TIMEOUT, handshake=build_handshake("first")
        )
        assert isinstance(result, Err)
        assert (result.failure().unsent, result.failure().is_identity_mismatch) == (True, True)
        assert second.paths == ["/who"]
        result = await pool.call(
            "POST", "/do", timeout=CALL_TIMEOUT, handshake=build_handshake("second")
        )
        assert isinstance(result, Success)
        assert second.paths.count("/do") == 1
        await second.stop()

    run_with_server(act)


def test_no_call_is_sent_after_a_refused_handshake() -> None:
    async def act(first: StubServer, pool: ConnectionPool) -> None:
        result = await pool.call(
            "POST", "/do", timeout=CALL_TIMEOUT, handshake=build_handshake("first")
        )
        assert result == Success(HttpReply(status=409, body=b"first"))
        assert first.paths == ["/who"]

    run_with_server(act, status=409)


def open_idle_connection(pool: ConnectionPool) -> Awaitable[object]:
    return pool.call("POST", "/do", timeout=CALL_TIMEOUT, handshake=build_handshake("first"))


async def wait_for_results(results: list[object], count: int) -> None:
    while len(results) < count:
        await asyncio.sleep(0.001)


# Guards against answers of upstreams that pass several turns of a busy leader's loop, while the
# capacity that they report as free stays unused.
def test_a_result_is_handled_as_soon_as_it_was_read() -> None:
    async def act(first: StubServer, pool: ConnectionPool) -> None:
        results: list[object] = []
        tasks: set[object] = set()

        def record(result: object) -> None:
            results.append(result)
            # Within a task, which would begin a turn later, this is not None.
            tasks.add(asyncio.current_task())

        options = {"timeout": CALL_TIMEOUT, "handshake": build_handshake("first")}
        assert not pool.try_call("POST", "/do", b"", record, **options)  # type: ignore[arg-type]
        await open_idle_connection(pool)
        for count in (1, 2):
            assert pool.try_call("POST", "/do", b"{}", record, **options)  # type: ignore[arg-type]
            assert not pool.try_call("POST", "/do", b"{}", record, **options)  # type: ignore[arg-type]
            await wait_for_results(results, count)
        assert results == [Success(HttpReply(status=200, body=b"first"))] * 2
        assert tasks == {None}
        assert first.connections == 1

    run_with_server(act)


def test_a_call_without_a_task_ends_with_its_connection_and_with_its_timeout() -> None:
    async def act(first: StubServer, pool: ConnectionPool) -> None:
        results: list[object] = []
        await open_idle_connection(pool)
        first.gate.clear()
        assert pool.try_call(
            "POST", "/do", b"", results.append,
            timeout=timedelta(milliseconds=5), handshake=build_handshake("first"),
        )  # fmt: skip
        await wait_for_results(results, 1)
        first.gate.set()
        await open_idle_connection(pool)
        assert first.connections == 2, "a reply that comes late is never taken for another"
        first.gate.clear()
        assert pool.try_call(
            "POST", "/do", b"", results.append,
            timeout=CALL_TIMEOUT, handshake=build_handshake("first"),
        )  # fmt: skip
        await asyncio.sleep(0.005)
        pool.close()
        await wait_for_results(results, 2)
        assert all(isinstance(each, Err) and not each.failure().unsent for each in results)
        first.gate.set()

    run_with_server(act)


def test_a_call_that_is_cancelled_gives_its_slot_to_the_next_one() -> None:
    async def act(first: StubServer, pool: ConnectionPool) -> None:
        narrow = ConnectionPool(address=pool.address, max_connections=1)
        first.gate.clear()
        held = asyncio.create_task(narrow.call("POST", "/do", timeout=CALL_TIMEOUT))
        waiting = asyncio.create_task(narrow.call("POST", "/do", timeout=CALL_TIMEOUT))
        last = asyncio.create_task(narrow.call("POST", "/do", timeout=CALL_TIMEOUT))
        await asyncio.sleep(0.005)
        waiting.cancel()
        held.cancel()
        first.gate.set()
        assert isinstance(await asyncio.wait_for(last, 5), Success)
        await asyncio.gather(held, waiting, return_exceptions=True)
        assert isinstance(await narrow.call("POST", "/do", timeout=CALL_TIMEOUT), Success)
        narrow.close()

    run_with_server(act)
