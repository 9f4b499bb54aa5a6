"""Decoding of the platform's formats; names of the platform stay inside its folder."""

from __future__ import annotations

import asyncio
import re
from datetime import timedelta
from pathlib import Path

import msgspec
import pytest
from returns.result import Failure as Err
from returns.result import Result, Success

from ..core.cluster.calls import (
    Answer,
    AskState,
    Call,
    Cancel,
    Configure,
    ForwardHeartbeat,
    ForwardLeave,
    Outcome,
    Submit,
)
from ..core.cluster.model import (
    Capacity,
    JobId,
    JobState,
    PollReply,
    RunEndKind,
    RunNumber,
    TaskRef,
)
from ..core.cluster.orders import CallFailure, Order, PollOrder, StartOrder, StartOutcome
from ..net.asgi import HttpRequest, HttpResponse
from ..net.connections import ConnectionPools
from ..net.transport import HttpReply, TransportError
from ..platform.configurations import decode_configuration
from ..platform.control import build_control_handler
from ..platform.front import build_caller_handler, build_readiness_handler
from ..platform.jobs import build_task_name, decode_job, parse_task_name
from ..platform.workers import WorkerClient, _build_call
from .model_upstreams import build_info

PACKAGE = Path(__file__).resolve().parent.parent
PLATFORM_NAMES = (
    "run-start", "run-stop", "/hold", "wave-start", "machine-move", "X-Expect-Instance",
    "heartbeat_url", "fencing_token", "task_spec", "path_prefix", "est_runtime_ms",
    "X-Timeout-Ms", "seq_no", "/instances",
)  # fmt: skip
REF = TaskRef(JobId("5c0e7a21d94b36f8"), 0, 1, 17)


def test_platform_names_do_not_leak_out_of_the_platform_folder() -> None:
    for file in PACKAGE.rglob("*.py"):
        if file.parts[len(PACKAGE.parts)] in ("platform", "tests"):
            continue
        text = file.read_text()
        assert not [name for name in PLATFORM_NAMES if name.lower() in text.lower()], file


def test_decoding_a_job_loses_no_field() -> None:
    body = {
        "task_spec": "text",
        "steps": [
            {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 1, "est_runtime_ms": 900},
            {
                "count": 2, "depends_on": [0], "checkpointing": True, "gang": True,
                "same_rack": True, "requirements": "a", "affinity": "r1-3", "anti_affinity": 2,
                "speculative": True, "image": "i", "target_ms": 5, "fills": True,
                "max_unavailable": 1,
            },
        ],
        "best_effort": True, "repeat_count": 3, "start_at_ms": 5, "interval_ms": 7,
        "new_field": {"is": "ignored"},
    }  # fmt: skip
    spec = decode_job(msgspec.json.encode(body)).unwrap()
    first, second = spec.steps
    assert (first.count, first.needs.cpu_millis, first.needs.memory_mb) == (4, 500, 256)
    assert (first.needs.gpus, first.estimate_ms) == (1, 900)
    assert (second.depends_on, second.required_label, second.data_rack) == ((0,), "a", "r1-3")
    assert (second.max_per_upstream, second.image, second.target_ms) == (2, "i", 5)
    flags = (second.checkpointing, second.gang, second.same_rack, second.speculative, second.fills)
    assert flags == (True,) * 5
    assert (spec.best_effort, spec.repeat_count, spec.start_at_ms) == (True, 3, 5)


@pytest.mark.parametrize("body", [b"", b"{", b'{"steps":3}', b'{"steps":[{"count":"x"}]}', b"\xff"])
def test_malformed_jobs_are_refused(body: bytes) -> None:
    assert isinstance(decode_job(body), Err)


def test_task_names_survive_a_round_trip() -> None:
    assert build_task_name(REF) == "5c0e7a21d94b36f8.0.1.17"
    assert parse_task_name(build_task_name(REF)) == REF
    assert parse_task_name("5c0e7a21d94b36f8.0.1") is None
    assert parse_task_name("5c0e7a21d94b36f8.0.x.1") is None


CONFIGURATION = {
    "version": 7,
    "routes": [
        {"name": "r", "host": "h.example", "path_prefix": "/p/", "route_type": "unsafe",
         "timeout_ms": 1500, "target_latency_ms": 60, "priority": 2, "service": "s",
         "max_attempts": 3, "stretch": 1.6},
    ],
    "services": [{"name": "s", "max_conns": 64, "rejects_overload": True}],
    "limits": {"max_body_bytes": 262144},
}  # fmt: skip


def test_a_configuration_is_decoded_and_its_document_kept_byte_for_byte() -> None:
    body = msgspec.json.encode(CONFIGURATION)
    configuration = decode_configuration(body).unwrap()
    assert configuration.version == 7
    assert configuration.document.encode() == body
    queue = configuration.queues[0]
    assert (queue.key, queue.service, queue.max_attempts) == (("h.example", "/p/"), "s", 3)
    assert (queue.target_latency_ms, queue.priority, queue.stretch) == (60, 2, 1.6)


def build_request(method: str, path: str, body: bytes = b"", **headers: str) -> HttpRequest:
    return HttpRequest(method=method, path=path, headers=headers, body=body)


def run_control(request: HttpRequest, answer: Answer) -> tuple[HttpResponse, list[Call]]:
    calls: list[Call] = []

    async def answer_call(call: Call) -> Answer:
        calls.append(call)
        return answer

    return asyncio.run(build_control_handler(answer_call)(request)), calls


HEARTBEAT = (
    b'{"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"state":"draining",'
    b'"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":5,"seq_no":4}'
)


def test_heartbeats_and_leave_messages_are_decoded() -> None:
    done = Answer(outcome=Outcome.DONE, leader_control="10.0.0.1:80")
    response, calls = run_control(build_request("PUT", "/instances/i-1", HEARTBEAT), done)
    assert response.status == 200
    assert msgspec.json.decode(response.body) == {"heartbeat_url": "10.0.0.1:80"}
    forwarded = calls[0]
    assert isinstance(forwarded, ForwardHeartbeat)
    assert (forwarded.heartbeat.info.id, forwarded.heartbeat.draining) == ("i-1", True)
    assert forwarded.heartbeat.info.capacity.cpu_millis == 16_000
    _, calls = run_control(build_request("DELETE", "/instances/i-1"), done)
    assert calls == [ForwardLeave(upstream=forwarded.heartbeat.info.id)]


@pytest.mark.parametrize(
    "capacity",
    [
        b'{"cpu":-1,"mem_mb":1}',
        b'{"cpu":16000.5}',
        b'{"cpu":"16000"}',
        b'{"cpu":true}',
        b'{"cpu":null}',
        b'{"cpu":99999999999999999999}',
        b'{"gpu":1000000001}',
        b"[16000,1,0]",
        b'"16000"',
        b"null",
        b"{}",
        b"",
    ],
)
def test_an_invalid_capacity_does_not_void_the_rest_of_a_heartbeat(capacity: bytes) -> None:
    """A capacity of the wrong type voided the whole heartbeat; a negative one was accepted."""
    field = b'"capacity":' + capacity + b"," if capacity else b""
    body = HEARTBEAT.replace(b'"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},', field)
    done = Answer(outcome=Outcome.DONE)
    response, calls = run_control(build_request("PUT", "/instances/i-1", body), done)
    assert response.status == 200
    forwarded = calls[0]
    assert isinstance(forwarded, ForwardHeartbeat)
    assert forwarded.heartbeat.info.capacity == Capacity()
    assert forwarded.heartbeat.is_capacity_unreadable == (capacity != b"{}")
    assert (forwarded.heartbeat.sequence, forwarded.heartbeat.draining) == (4, True)
    assert forwarded.heartbeat.info.labels == ("a", "r1-3")


def test_invalid_configurations_are_refused_without_any_call() -> None:
    good = msgspec.json.encode(CONFIGURATION)
    routes = CONFIGURATION["routes"]
    assert isinstance(routes, list)
    bad = [
        good[:-20],
        b"",
        msgspec.json.encode({**CONFIGURATION, "services": []}),
        msgspec.json.encode({**CONFIGURATION, "routes": routes * 2}),
        msgspec.json.encode({**CONFIGURATION, "routes": [{**routes[0], "timeout_ms": 0}]}),
    ]
    for body in bad:
        response, calls = run_control(
            build_request("PUT", "/config", body), Answer(outcome=Outcome.DONE)
        )
        assert (response.status, calls) == (400, [])
    response, calls = run_control(
        build_request("PUT", "/config", good), Answer(outcome=Outcome.DONE)
    )
    assert response.status == 200
    assert isinstance(calls[0], Configure)


@pytest.mark.parametrize(
    ("outcome", "status"),
    [(Outcome.UNAVAILABLE, 503), (Outcome.UNKNOWN, 504), (Outcome.INVALID, 400)],
)
def test_a_configuration_that_is_not_acknowledged_gets_an_error_status(
    outcome: Outcome, status: int
) -> None:
    body = msgspec.json.encode(CONFIGURATION)
    response, _ = run_control(build_request("PUT", "/config", body), Answer(outcome=outcome))
    assert response.status == status


def run_caller_api(request: HttpRequest, answer: Answer) -> tuple[HttpResponse, list[Call]]:
    calls: list[Call] = []

    async def answer_call(call: Call, timeout: timedelta) -> Answer:
        calls.append(call)
        return answer

    handler = build_caller_handler(answer_call, lambda call: None, lambda: False)
    return asyncio.run(handler(request)), calls


@pytest.mark.parametrize(
    ("answer", "status", "retry_after"),
    [
        (Answer(outcome=Outcome.DONE, state=JobState.COMPLETED), 200, None),
        (Answer(outcome=Outcome.REJECTED, retry_after_ms=1_200), 429, "2"),
        (Answer(outcome=Outcome.UNAVAILABLE), 503, "1"),
        (Answer(outcome=Outcome.UNKNOWN), 504, None),
        (Answer(outcome=Outcome.NO_QUEUE), 404, None),
    ],
)
def test_submissions_get_the_status_and_retry_time_of_their_outcome(
    answer: Answer, status: int, retry_after: str | None
) -> None:
    body = b'{"task_spec":"t","steps":[{"count":1}],"best_effort":true}'
    response, calls = run_caller_api(
        build_request("POST", "/p/0123456789abcdef", body, host="h"), answer
    )
    assert (response.status, response.headers.get("retry-after")) == (status, retry_after)
    assert isinstance(calls[0], Submit)


def test_state_count_and_cancel_calls_are_translated() -> None:
    answer = Answer(outcome=Outcome.DONE, state=JobState.RUNNING)
    response, calls = run_caller_api(build_request("GET", "/p/1", host="h"), answer)
    assert response.body == b'{"state":"running"}'
    assert calls == [AskState(host="h", path="/p/1")]
    response, _ = run_caller_api(
        build_request("GET", "/p/"), Answer(outcome=Outcome.DONE, pending=3)
    )
    assert response.body == b'{"pending":3}'
    response, calls = run_caller_api(
        build_request("DELETE", "/p/1", host="h"), Answer(outcome=Outcome.NO_JOB)
    )
    assert response.status == 410
    assert calls == [Cancel(host="h", path="/p/1")]


def test_a_best_effort_job_is_abandoned_when_its_caller_disconnects() -> None:
    abandoned: list[Submit] = []

    async def answer_never(call: Call, timeout: timedelta) -> Answer:
        await asyncio.Event().wait()
        raise AssertionError

    async def run_scenario() -> None:
        handler = build_caller_handler(answer_never, abandoned.append, lambda: False)
        body = b'{"task_spec":"t","steps":[{"count":1}],"best_effort":true}'
        task = asyncio.create_task(handler(build_request("POST", "/p/0123456789abcdef", body)))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run_scenario())
    assert [call.path for call in abandoned] == ["/p/0123456789abcdef"]


def test_the_readiness_check_fails_while_the_host_is_not_ready() -> None:
    assert (
        asyncio.run(build_readiness_handler(lambda: True)(build_request("GET", "/ready"))).status
        == 200
    )
    assert (
        asyncio.run(build_readiness_handler(lambda: False)(build_request("GET", "/ready"))).status
        == 503
    )


class FixedClient(WorkerClient):
    """A client whose calls all return one fixed result."""

    def __init__(self, result: Result[HttpReply, TransportError]) -> None:
        super().__init__(pools=ConnectionPools())
        self._result = result
        self.bodies: list[dict[str, object]] = []

    async def _send(self, order: Order, token: int) -> Result[HttpReply, TransportError]:
        self.bodies.append(_build_call(order, token).body)
        return self._result


START = StartOrder(
    upstream=build_info("u1"), task=REF, run=RunNumber(2), payload="t", checkpoint="", expires_ms=9
)
POLL = PollOrder(upstream=build_info("u1"), last_seen=57, expires_ms=9, wait=timedelta(seconds=1))


@pytest.mark.parametrize(
    ("status", "body", "outcome"),
    [
        (200, b'{"clock_ms":5}', StartOutcome.STARTED),
        (409, b'{"clock_ms":5,"reason":"fence"}', StartOutcome.FENCED),
        (409, b'{"clock_ms":5,"reason":"old"}', StartOutcome.OUTDATED),
        (409, b'{"clock_ms":5,"reason":"late"}', StartOutcome.LATE),
        (409, b'{"clock_ms":5,"reason":"room"}', StartOutcome.NO_ROOM),
        (503, b"", StartOutcome.UNHEALTHY),
        (421, b"", StartOutcome.INSTANCE_ENDED),
        (400, b"", StartOutcome.INVALID),
        (500, b"", StartOutcome.UNKNOWN),
        (200, b"no json", StartOutcome.STARTED),
    ],
)
def test_start_replies_are_mapped_to_their_outcomes(
    status: int, body: bytes, outcome: StartOutcome
) -> None:
    client = FixedClient(Success(HttpReply(status=status, body=body)))
    found, _ = asyncio.run(client.start(START, 7))
    assert found is outcome
    assert client.bodies[0]["fencing_token"] == 7


def test_a_start_without_an_answer_is_unknown_unless_it_was_never_sent() -> None:
    for unsent, outcome in ((True, StartOutcome.NOT_SENT), (False, StartOutcome.UNKNOWN)):
        client = FixedClient(Err(TransportError(message="", unsent=unsent)))
        assert asyncio.run(client.start(START, 7))[0] is outcome


def test_poll_replies_are_decoded_and_failures_are_told_apart() -> None:
    body = (
        b'{"clock_ms":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"saved",41,3]],'
        b'"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}'
    )
    client = FixedClient(Success(HttpReply(status=200, body=body)))
    reply = asyncio.run(client.poll(POLL, 7))
    assert isinstance(reply, PollReply)
    assert (reply.running[0].task, reply.running[0].percent) == (REF, 41)
    assert (reply.ended[0].number, reply.ended[0].how) == (58, RunEndKind.DONE)
    assert client.bodies[0]["wait_ms"] == 1_000
    fenced = FixedClient(Success(HttpReply(status=409, body=b'{"reason":"fence"}')))
    assert asyncio.run(fenced.poll(POLL, 7)) is CallFailure.FENCED
    gone = FixedClient(Success(HttpReply(status=421, body=b"")))
    assert asyncio.run(gone.poll(POLL, 7)) is CallFailure.INSTANCE_ENDED


def test_templates_contain_no_unknown_settings() -> None:
    from ..config.cluster import _CONTROL_OPTIONS, _GATEWAY_OPTIONS

    folder = PACKAGE.parent / "deploy"
    for name, options in (("control", _CONTROL_OPTIONS), ("gateway", _GATEWAY_OPTIONS)):
        text = (folder / f"{name}.yaml.template").read_text()
        keys = re.findall(r"^(\w+):", text, re.MULTILINE)
        assert not set(keys) - set(options), name
