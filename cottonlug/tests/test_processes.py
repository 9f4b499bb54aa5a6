"""Guarantees tested on real processes by causing the failure; upstreams count the starts."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ..config.deployments import DEPLOYMENTS, DeploymentName
from .processes import (
    ROOT,
    WAIT_LIMIT_SECONDS,
    Fleet,
    call,
    count_starts,
    find_base_port,
    read_upstream_dump,
    start_fleet,
    start_process,
    wait_ready,
    wait_until,
)

SMALL = replace(
    DEPLOYMENTS[DeploymentName.SKYWATCH],
    domains=("town-hall-basement", "ridge-hut"),
    hosts=(2, 1),
    upstreams=4,
    slots=4,
)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    started = start_fleet(replace(SMALL, base_port=find_base_port()), tmp_path)
    yield started
    started.stop()


def mint(fleet: Fleet, host: str) -> str:
    return str(call(fleet, host, "POST", "/v1/ids", b"{}").json()["ids"][0])


def build_body(id: str | None, count: int, ms: int, kind: str = "echo") -> bytes:
    tasks = [{"ms": ms, "task": at} for at in range(count)]
    job: dict[str, Any] = {"team": "t", "kind": kind, "tasks": tasks, "deadline_ms": 50_000}
    if id is not None:
        job["id"] = id
    return json.dumps(job).encode()


def wait_answer(fleet: Fleet, host: str, id: str) -> dict[str, Any]:
    deadline = time.monotonic() + WAIT_LIMIT_SECONDS
    while time.monotonic() < deadline:
        view: dict[str, Any] = call(fleet, host, "GET", f"/v1/jobs/{id}/answer?wait_ms=5000").json()
        if view.get("type") == "answer":
            return view
    raise AssertionError("no answer came")


def assert_whole(answer: dict[str, Any], count: int) -> None:
    assert answer["state"] == "complete", answer
    assert [result["task"] for result in answer["results"]] == list(range(count))


def read_gauges(fleet: Fleet, host: str) -> dict[str, float]:
    gauges: dict[str, float] = call(fleet, host, "GET", "/v1/dump", kind="operators").json()[
        "gauges"
    ]
    return gauges


def is_running_any(fleet: Fleet, number: int) -> bool:
    return bool(read_upstream_dump(fleet, number).running)


def test_resubmission_through_any_host_starts_no_task_twice(fleet: Fleet) -> None:
    id = mint(fleet, "e1")
    body = build_body(id, 60, 20)
    hosts = ["e1", "e2", "e3"] * 4
    with ThreadPoolExecutor(len(hosts)) as pool:
        replies = list(pool.map(lambda host: call(fleet, host, "POST", "/v1/jobs", body), hosts))
    assert {reply.status_code for reply in replies} <= {200, 202}
    answers = [wait_answer(fleet, host, id) for host in ("e1", "e2", "e3")]
    assert answers[0] == answers[1] == answers[2]
    assert_whole(answers[0], 60)
    assert count_starts(fleet, id) == 60


def test_payment_sent_again_runs_once(fleet: Fleet) -> None:
    id = mint(fleet, "e2")
    payload = {"ms": 100, "ticket": 1}
    single = {"id": id, "team": "t", "kind": "echo", "payload": payload}
    body = json.dumps(single).encode()
    with ThreadPoolExecutor(6) as pool:
        hosts = ["e1", "e2", "e3"] * 2
        replies = list(
            pool.map(lambda host: call(fleet, host, "POST", "/v1/requests", body), hosts)
        )
    assert all(reply.json()["results"] == [payload] for reply in replies)
    assert count_starts(fleet, id) == 1


def test_invalid_input_gets_an_error_code_and_changes_nothing(fleet: Fleet) -> None:
    id = mint(fleet, "e1")
    good = json.loads(build_body(id, 2, 0))
    cases: list[tuple[bytes, int, str]] = [
        (b"{", 400, "invalid"),
        (b"\xff\xfe", 400, "invalid"),
        (json.dumps({**good, "colour": 1}).encode(), 400, "invalid"),
        (json.dumps({**good, "tasks": "many"}).encode(), 400, "invalid"),
        (json.dumps({**good, "tasks": []}).encode(), 400, "invalid"),
        (json.dumps({**good, "tasks": [1] * 1_101}).encode(), 400, "invalid"),
        (json.dumps({**good, "priority": 12}).encode(), 400, "invalid"),
        (json.dumps({**good, "deadline_ms": -1}).encode(), 400, "invalid"),
        (json.dumps({**good, "tasks": ["x" * 70_000]}).encode(), 413, "too_large"),
        (b'"' + b"x" * 9_000_000 + b'"', 413, "too_large"),
        (json.dumps({**good, "id": "payment-1"}).encode(), 404, "unknown_id"),
        (json.dumps({**good, "id": id.replace(".e1.", ".e9.")}).encode(), 404, "unknown_id"),
    ]
    for body, status, code in cases:
        reply = call(fleet, "e1", "POST", "/v1/jobs", body)
        assert (reply.status_code, reply.json()["code"]) == (status, code), body[:80]
    for kind in ("callers", "operators", "peers"):
        wrong = fleet.get_token("upstreams")
        reply = call(
            fleet, "e1", "POST", "/v1/jobs", json.dumps(good).encode(), kind=kind, token=wrong
        )
        assert (reply.status_code, reply.json()["code"]) == (401, "unauthorized")
    assert call(fleet, "e1", "GET", "/v1/jobs/nonsense").status_code == 404
    assert call(fleet, "e1", "GET", f"/v1/jobs/{id}/answer?wait_ms=x").status_code == 400
    dump = call(fleet, "e1", "GET", "/v1/dump", kind="operators").json()
    assert dump["counters"]["jobs_accepted"] == 0 and dump["counters"]["starts"] == 0


def test_changed_content_under_a_used_id_is_refused(fleet: Fleet) -> None:
    id = mint(fleet, "e1")
    assert call(fleet, "e1", "POST", "/v1/jobs", build_body(id, 3, 0)).status_code == 202
    reply = call(fleet, "e2", "POST", "/v1/jobs", build_body(id, 4, 0))
    assert (reply.status_code, reply.json()["code"]) == (409, "id_conflict")
    assert_whole(wait_answer(fleet, "e1", id), 3)


def test_graceful_shutdown_of_a_host_interrupts_no_request(fleet: Fleet) -> None:
    id = mint(fleet, "e1")
    body = build_body(id, 40, 400)
    assert call(fleet, "e1", "POST", "/v1/jobs", body).status_code == 202
    with ThreadPoolExecutor(2) as pool:
        waiting = pool.submit(wait_answer, fleet, "e1", id)
        single = {"team": "t", "kind": "echo", "payload": {"ms": 1_500, "task": 0}}
        request = pool.submit(
            call, fleet, "e1", "POST", "/v1/requests", json.dumps(single).encode()
        )
        wait_until(lambda: read_gauges(fleet, "e1")["active_jobs"] == 2)
        process = fleet.processes["e1"]
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: call(fleet, "e1", "GET", "/ready").status_code == 503)
        refused = call(fleet, "e1", "POST", "/v1/jobs", build_body(None, 1, 0))
        assert (refused.status_code, refused.json()["outcome"]) == (503, "not_run")
        process.send_signal(signal.SIGTERM)
        assert_whole(waiting.result(), 40)
        assert request.result().json()["results"] == [single["payload"]]
    assert process.wait(WAIT_LIMIT_SECONDS) == 0
    assert count_starts(fleet, id) == 40


def test_leaving_upstream_finishes_its_runs_and_returns_unstarted_tasks(fleet: Fleet) -> None:
    id = mint(fleet, "e1")
    assert call(fleet, "e1", "POST", "/v1/jobs", build_body(id, 60, 200)).status_code == 202
    wait_until(lambda: is_running_any(fleet, 1))
    process = fleet.processes["w01"]
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_LIMIT_SECONDS) == 0
    assert_whole(wait_answer(fleet, "e1", id), 60)


def test_killed_upstream_fails_its_jobs_as_unknown_and_no_task_runs_again(fleet: Fleet) -> None:
    id = mint(fleet, "e1")
    assert call(fleet, "e1", "POST", "/v1/jobs", build_body(id, 16, 3_000)).status_code == 202
    wait_until(lambda: is_running_any(fleet, 1) and is_running_any(fleet, 2))
    started_before = count_starts(fleet, id)
    fleet.processes["w01"].kill()
    answer = wait_answer(fleet, "e1", id)
    assert answer["failure"]["reason"] == "task_unknown"
    assert len(answer["failure"]["may_have_run"]) >= started_before
    again = call(fleet, "e2", "POST", "/v1/jobs", build_body(id, 16, 3_000))
    assert again.json()["state"] == "failed"
    assert count_starts(fleet, id) <= started_before


def test_suspended_upstream_never_starts_tasks_that_were_reported_unknown(fleet: Fleet) -> None:
    process = fleet.processes["w01"]
    other = fleet.processes["w02"]
    process.send_signal(signal.SIGSTOP)
    other.send_signal(signal.SIGSTOP)
    id = mint(fleet, "e1")
    assert call(fleet, "e1", "POST", "/v1/jobs", build_body(id, 4, 0)).status_code == 202
    answer = wait_answer(fleet, "e1", id)
    assert answer["failure"]["reason"] == "task_unknown"
    process.send_signal(signal.SIGCONT)
    other.send_signal(signal.SIGCONT)
    next_id = mint(fleet, "e1")
    wait_until(lambda: read_gauges(fleet, "e1")["upstreams"] == 2)
    call(fleet, "e1", "POST", "/v1/jobs", build_body(next_id, 8, 0))
    assert_whole(wait_answer(fleet, "e1", next_id), 8)
    assert count_starts(fleet, id) <= len(answer["failure"]["may_have_run"])


def test_job_of_a_killed_home_is_unknown_then_lost_and_never_runs_again(fleet: Fleet) -> None:
    id = mint(fleet, "e1")
    body = build_body(id, 30, 300)
    assert call(fleet, "e2", "POST", "/v1/jobs", body).status_code == 202
    wait_until(lambda: is_running_any(fleet, 1))
    fleet.processes["e1"].kill()
    fleet.processes["e1"].wait()
    for host in ("e2", "e3"):
        reply = call(fleet, host, "POST", "/v1/jobs", body)
        assert (reply.status_code, reply.json()["outcome"]) == (503, "unknown")
        assert "Retry-After" in reply.headers
    start_process(fleet, "serve", "e1")
    wait_ready(fleet.get_address(fleet.hosts[0], "callers"))
    for host in ("e1", "e2", "e3"):
        answer = call(fleet, host, "POST", "/v1/jobs", body).json()
        assert answer["failure"]["reason"] == "record_lost"
        assert answer["failure"]["all_may_have_run"] is True
    wait_until(lambda: not is_running_any(fleet, 1) and not is_running_any(fleet, 2))
    started = count_starts(fleet, id)
    fresh = mint(fleet, "e1")
    call(fleet, "e1", "POST", "/v1/jobs", build_body(fresh, 8, 0))
    assert_whole(wait_answer(fleet, "e1", fresh), 8)
    assert count_starts(fleet, id) == started


def test_cancelled_job_has_the_same_answer_for_all_callers(fleet: Fleet) -> None:
    id = mint(fleet, "e1")
    # Longer than a busy machine takes to check: the tasks must still run when they are cancelled.
    body = build_body(id, 40, 30_000)
    assert call(fleet, "e1", "POST", "/v1/jobs", body).status_code == 202
    wait_until(lambda: is_running_any(fleet, 1))
    with ThreadPoolExecutor(3) as pool:
        cancelled = pool.map(
            lambda host: call(fleet, host, "POST", f"/v1/jobs/{id}/cancel").json()["state"],
            ["e1", "e2", "e3"],
        )
        assert set(cancelled) == {"failed"}
    answers = [wait_answer(fleet, host, id) for host in ("e1", "e2", "e3")]
    assert answers[0] == answers[1] == answers[2]
    assert answers[0]["failure"]["reason"] == "cancelled"
    wait_until(lambda: not is_running_any(fleet, 1))


def test_command_line_covers_a_job_from_submission_to_dump(fleet: Fleet) -> None:
    host = next(plan for plan in fleet.hosts if plan.name == "e2")

    def run(*arguments: str, kind: str = "callers") -> subprocess.CompletedProcess[str]:
        target = ["--host", host.listen[kind], "--token-file", f"tokens/{kind}"]
        command = [sys.executable, "-m", "cottonlug", *arguments, *target]
        return subprocess.run(
            command, cwd=fleet.folder, capture_output=True, text=True, env={"PYTHONPATH": str(ROOT)}
        )

    submitted = run("submit", "--example", "aurora", "--tasks", "20", "--json")
    assert submitted.returncode == 0, submitted.stderr
    answer = json.loads(submitted.stdout)
    assert len(answer["results"]) == 20
    assert json.loads(run("status", answer["id"], "--json").stdout) == answer
    asked = run("request", "--team", "t", "--kind", "fail", '{"why": "no scale"}')
    assert asked.returncode == 1 and "no scale" in asked.stderr
    assert run("status", "nonsense").returncode == 4
    assert len(run("ids", "--count", "3").stdout.split()) == 3
    assert json.loads(run("dump", kind="operators").stdout)["host"] == "e2"
    metrics = call(fleet, "e2", "GET", "/metrics", kind="operators").text
    assert "cottonlug_jobs_complete 1" in metrics
    schema = call(fleet, "e2", "GET", "/openapi/openapi.json")
    assert "/v1/jobs" in schema.json()["paths"]
    fleet.processes["e2"].send_signal(signal.SIGUSR1)
    log = fleet.folder / "e2.log"
    wait_until(lambda: '"generation"' in log.read_text())


def test_invalid_settings_are_all_reported_at_once(fleet: Fleet) -> None:
    file = fleet.folder / "e1.yaml"
    text = file.read_text().replace("domain: town-hall-basement", "domian: x", 1)
    file.write_text(text.replace("callers: 127.0.0.1:", "callers: localhost:", 1))
    command = [sys.executable, "-m", "cottonlug", "serve", "--config", str(file)]
    done = subprocess.run(
        command, capture_output=True, text=True, env={"PYTHONPATH": str(ROOT)}, check=False
    )
    assert done.returncode == 3
    assert "line 2: domian: error: unknown key; did you mean 'domain'?" in done.stderr
    assert "listen.callers: error: expected an IP number and port" in done.stderr
