"""Bodies of jobs that callers may send: each is accepted and does no harm, or refused with 400."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err

from soak.shapes import REFUSED, build_bodies

from ..core.cluster.calls import Answer, Call, Outcome
from ..core.cluster.forecast import Forecast
from ..core.cluster.model import JobId, JobSpec, Queue
from ..core.cluster.validation import find_job_problem
from ..net.asgi import HttpRequest, HttpResponse
from ..platform.configurations import decode_configuration
from ..platform.front import TIMEOUT_HEADER, build_caller_handler
from ..platform.heartbeats import decode_heartbeat
from ..platform.jobs import decode_job
from .gateway_builders import build_clock, build_gateway
from .model_upstreams import build_info, build_queue, milliseconds, start_site_leader

JOB = JobId("a" * 16)
DEEP = b'{"a":' * 30_000 + b"1" + b"}" * 30_000
NUMBER_FIELDS = (
    "count", "cpu", "mem_mb", "gpu", "est_runtime_ms", "anti_affinity", "target_ms",
    "max_unavailable",
)  # fmt: skip
NUMBERS = st.one_of(
    st.integers(0, 5),
    st.integers(-(10**30), 10**30),
    st.sampled_from([-1, 2**31, 2**53, 2**63 - 1, 2**63, 2**64, 10**17, 10**400]),
)
STEPS = st.fixed_dictionaries(
    {"depends_on": st.lists(st.integers(-1, 3), max_size=4)},
    optional=dict.fromkeys(NUMBER_FIELDS, NUMBERS),
)
BODIES = st.fixed_dictionaries(
    {"steps": st.lists(STEPS, max_size=4)},
    optional=dict.fromkeys(("repeat_count", "start_at_ms", "interval_ms"), NUMBERS),
)


def post(body: bytes, **headers: str) -> tuple[HttpResponse, list[Call]]:
    """Return the response of a gateway to a job, and the calls that it passes on."""
    passed_on: list[Call] = []

    async def play() -> HttpResponse:
        gateway = build_gateway(build_clock())

        async def try_once(call: Call, timeout: timedelta) -> Answer:
            passed_on.append(call)
            return Answer(outcome=Outcome.DONE)

        gateway._try_once = try_once  # type: ignore[method-assign]
        handle = build_caller_handler(gateway.call, gateway.abandon, lambda: False)
        path = f"/q/{JOB}"
        return await handle(HttpRequest(method="POST", path=path, headers=headers, body=body))

    return asyncio.run(play()), passed_on


def build_slow_forecast() -> Forecast:
    """Return a forecast for a queue whose tasks take far longer than declared."""
    forecast, queue = Forecast(), build_queue()
    step = JobSpec(payload="", steps=decode_job(b'{"steps":[{}]}').unwrap().steps).steps[0]
    for _ in range(300):
        forecast.learn(queue.key, step, timedelta(hours=1))
    return forecast


# Guards against: a gateway answers 500 and logs a traceback.
@pytest.mark.parametrize(
    ("body", "detail"),
    [
        (DEEP, b"nested too deeply"),
        (b'{"steps":[{"est_runtime_ms":100000000000000000}]}', b"run time"),
        (b'{"steps":[{"est_runtime_ms":-1}]}', b"run time"),
        (b'{"steps":[{"cpu":1' + b"0" * 400 + b"}]}", b"resource needs"),
        (b'{"steps":[{"depends_on":[0]}]}', b"does not precede"),
        (b'{"steps":[{"count":4097}]}', b"at most 4096"),
        (b'{"steps":[]}', b"at least one step"),
    ],
)
def test_a_gateway_refuses_what_is_invalid_with_the_reason(body: bytes, detail: bytes) -> None:
    response, passed_on = post(body)
    assert (response.status, passed_on) == (400, [])
    assert detail in response.body


# Guards against: the same for a number that no `timedelta` holds.
@pytest.mark.parametrize("timeout", ["9" * 5_000, "9" * 17, "0" * 5_000 + "1500"])
def test_a_timeout_of_any_length_is_understood(timeout: str) -> None:
    response, _ = post(b'{"steps":[{}]}', **{TIMEOUT_HEADER: timeout})
    assert response.status == 200


# Guards against: nested bodies of operators and upstreams are answered with 500.
def test_nested_bodies_of_operators_and_upstreams_are_refused() -> None:
    assert isinstance(decode_configuration(DEEP), Err)
    assert isinstance(decode_heartbeat("u1", DEEP), Err)


# Guards against: jobs that are tried on real processes are not what they are named.
def test_the_jobs_of_the_soak_are_accepted_and_refused_as_they_are_named() -> None:
    for name, body in build_bodies().items():
        decoded = decode_job(body)
        is_refused = isinstance(decoded, Err) or bool(find_job_problem(decoded.unwrap()))
        assert is_refused == (name in REFUSED), name


# Guards against: an accepted job ends each leader in turn, also after its restart, as a number of
# it cannot be computed with.
@settings(max_examples=300, derandomize=True, deadline=None)
@given(BODIES)
def test_a_leader_can_work_on_every_job_that_is_valid(body: dict[str, object]) -> None:
    decoded = decode_job(encode(body))
    if isinstance(decoded, Err) or find_job_problem(decoded.unwrap()) is not None:
        return
    spec = decoded.unwrap()
    assert msgspec.json.decode(msgspec.json.encode(spec), type=JobSpec) == spec
    infos = [build_info("u1")]
    leader = start_site_leader(infos, seed=1, run_ms=20)
    leader.submit(JOB, spec, build_queue())
    leader.world.run_until(leader.world.now + milliseconds(300))
    assert JOB in leader.records.jobs


# Guards against: a long chain overflows where others' tasks have run longer than declared.
def test_the_objective_of_the_longest_valid_chain_can_be_computed() -> None:
    steps = [{"est_runtime_ms": 30 * 24 * 60 * 60 * 1_000} for _ in range(4_096)]
    chain = [step | {"depends_on": [at - 1]} if at else step for at, step in enumerate(steps)]
    spec = decode_job(encode({"steps": chain})).unwrap()
    assert find_job_problem(spec) is None
    queue: Queue = build_queue()
    assert build_slow_forecast().find_objective(queue, spec) > timedelta(days=30)


def encode(body: object) -> bytes:
    """Return JSON with integers of any size."""
    if isinstance(body, dict):
        pairs = (b'"%s":%s' % (name.encode(), encode(value)) for name, value in body.items())
        return b"{" + b",".join(pairs) + b"}"
    if isinstance(body, list):
        return b"[" + b",".join(map(encode, body)) + b"]"
    return str(body).encode()
