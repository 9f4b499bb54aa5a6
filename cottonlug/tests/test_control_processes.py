"""The replicated configuration on real processes: kills, freezes, lost disks, racing changes."""

from __future__ import annotations

import json
import shutil
import signal
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import httpx
import pytest

from ..config.deployments import DEPLOYMENTS, DeploymentName
from ..storage.journal import JOURNAL_FILE
from .processes import (
    WAIT_LIMIT_SECONDS,
    Fleet,
    call,
    find_base_port,
    start_fleet,
    start_process,
    wait_ready,
    wait_until,
)

HOSTS = ("e1", "e2", "e3", "e4")
VOTERS = ("e1", "e3", "e4")
SIZE = replace(DEPLOYMENTS[DeploymentName.SKYWATCH], hosts=(2, 1, 1), upstreams=0)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    started = start_fleet(replace(SIZE, base_port=find_base_port()), tmp_path)
    yield started
    started.stop()


def write_rules(name: str) -> str:
    return f"rules:\n  - name: {name}\n    then: {{priority: 3}}\n"


def apply(fleet: Fleet, host: str, request_id: str, base: int) -> dict[str, Any]:
    """Send a change until its decision is known, to one host or else to others."""
    change = {"request_id": request_id, "base_version": base, "text": write_rules(request_id)}
    body = json.dumps(change).encode()
    decided: list[dict[str, Any]] = []

    def ask() -> bool:
        for each in (host, *HOSTS):
            try:
                reply = call(fleet, each, "POST", "/v1/rules", body, kind="operators")
            except httpx.HTTPError:
                continue
            if reply.status_code == 200:
                decided.append(reply.json())
                return True
            assert reply.json()["outcome"] == "unknown"
        return False

    wait_until(ask)
    return decided[0]


def read_version(fleet: Fleet, host: str) -> int:
    return int(call(fleet, host, "GET", "/v1/rules", kind="operators").json()["version"])


def read_dump(fleet: Fleet, host: str) -> dict[str, Any]:
    dump: dict[str, Any] = call(fleet, host, "GET", "/v1/dump", kind="operators").json()
    return dump


def find_leader(fleet: Fleet, among: tuple[str, ...] = VOTERS) -> str:
    found: list[str] = []

    def look() -> bool:
        found.extend(
            host for host in among if read_dump(fleet, host)["consensus"]["role"] == "leader"
        )
        return bool(found)

    wait_until(look)
    return found[0]


def restart(fleet: Fleet, host: str) -> None:
    start_process(fleet, "serve", host)
    plan = next(each for each in fleet.hosts if each.name == host)
    wait_ready(fleet.get_address(plan, "callers"))


def test_accepted_change_becomes_active_on_every_host(fleet: Fleet) -> None:
    assert apply(fleet, "e2", "first", 0)["version"] == 1
    wait_until(lambda: all(read_version(fleet, host) == 1 for host in HOSTS))
    rejecting = "rules:\n  - name: stop\n    when: {team: t}\n    then: {reject: closed}\n"
    change = {"request_id": "second", "base_version": 1, "text": rejecting}
    call(fleet, "e1", "POST", "/v1/rules", json.dumps(change).encode(), kind="operators")
    wait_until(lambda: all(read_version(fleet, host) == 2 for host in HOSTS))
    for host in HOSTS:
        job = b'{"team": "t", "kind": "echo", "tasks": [1]}'
        refused = call(fleet, host, "POST", "/v1/jobs", job)
        assert refused.status_code == 403
        assert refused.json()["outcome"] == "not_run"
        assert "closed" in refused.json()["message"]
    bad = {"request_id": "third", "base_version": 2, "text": "rules: [{nmae: x}]"}
    reply = call(fleet, "e4", "POST", "/v1/rules", json.dumps(bad).encode(), kind="operators")
    assert reply.json()["decision"] == "invalid"
    assert "did you mean 'name'" in reply.json()["detail"]


def test_only_one_of_several_concurrent_changes_is_accepted(fleet: Fleet) -> None:
    with ThreadPoolExecutor(8) as pool:
        racers = [(HOSTS[at % 4], f"racer-{at}") for at in range(8)]
        decided = list(pool.map(lambda racer: apply(fleet, racer[0], racer[1], 0), racers))
    accepted = [outcome for outcome in decided if outcome["decision"] == "accepted"]
    assert len(accepted) == 1
    for outcome in decided:
        assert outcome["winner"] == accepted[0]["request_id"]
        again = apply(fleet, "e2", outcome["request_id"], 0)
        assert again == outcome


def test_no_change_is_lost_when_leaders_are_killed(fleet: Fleet) -> None:
    version = 0
    for number in range(40):
        if number % 10 == 5:
            leader = find_leader(fleet)
            fleet.processes[leader].kill()
            fleet.processes[leader].wait()
        outcome = apply(fleet, HOSTS[number % 4], f"change-{number}", version)
        assert outcome["decision"] == "accepted", outcome
        assert outcome["version"] == version + 1
        version = outcome["version"]
        if number % 10 == 5:
            restart(fleet, leader)
            assert read_version(fleet, leader) >= version - 1
    wait_until(lambda: all(read_version(fleet, host) == 40 for host in HOSTS))
    for host in HOSTS:
        fleet.processes[host].kill()
        fleet.processes[host].wait()
    for host in HOSTS:
        start_process(fleet, "serve", host)
    for plan in fleet.hosts:
        wait_ready(fleet.get_address(plan, "callers"))
    assert all(read_version(fleet, host) == 40 for host in HOSTS)
    assert apply(fleet, "e2", "change-7", 7)["version"] == 8


def test_frozen_leader_does_not_revert_changes(fleet: Fleet) -> None:
    assert apply(fleet, "e1", "first", 0)["version"] == 1
    leader = find_leader(fleet)
    fleet.processes[leader].send_signal(signal.SIGSTOP)
    others = tuple(host for host in VOTERS if host != leader)
    change = {"request_id": "second", "base_version": 1, "text": write_rules("second")}
    body = json.dumps(change).encode()
    wait_until(
        lambda: call(fleet, others[0], "POST", "/v1/rules", body, kind="operators").status_code
        == 200
    )
    wait_until(lambda: all(read_version(fleet, host) == 2 for host in (*others, "e2")))
    fleet.processes[leader].send_signal(signal.SIGCONT)
    assert apply(fleet, leader, "third", 2)["version"] == 3
    wait_until(lambda: all(read_version(fleet, host) == 3 for host in HOSTS))


def test_replaced_disk_counts_only_after_rejoining(fleet: Fleet) -> None:
    assert apply(fleet, "e1", "first", 0)["version"] == 1
    old = read_dump(fleet, "e3")["consensus"]["member"]
    fleet.processes["e3"].kill()
    fleet.processes["e3"].wait()
    shutil.rmtree(fleet.folder / "data" / "e3")
    restart(fleet, "e3")
    new = read_dump(fleet, "e3")["consensus"]["member"]
    assert new != old

    def is_replaced() -> bool:
        voters = read_dump(fleet, "e3")["consensus"]["voters"]
        return new in voters and old not in voters and len(voters) == 3

    wait_until(is_replaced)
    other = next(host for host in VOTERS if host not in ("e3", find_leader(fleet)))
    fleet.processes[other].kill()
    fleet.processes[other].wait()
    assert apply(fleet, "e3", "second", 1)["version"] == 2


def test_without_a_majority_changes_are_unknown_and_jobs_are_served(fleet: Fleet) -> None:
    assert apply(fleet, "e1", "first", 0)["version"] == 1
    wait_until(lambda: read_version(fleet, "e2") == 1)
    for host in ("e3", "e4"):
        fleet.processes[host].kill()
        fleet.processes[host].wait()
    change = {"request_id": "second", "base_version": 1, "text": write_rules("second")}
    body = json.dumps(change).encode()
    for host in ("e1", "e2"):
        reply = call(fleet, host, "POST", "/v1/rules", body, kind="operators")
        assert (reply.status_code, reply.json()["outcome"]) == (503, "unknown")
    wait_until(lambda: read_dump(fleet, "e1")["rules_stale"])
    wait_until(lambda: read_dump(fleet, "e2")["rules_stale"])
    job = b'{"team": "t", "kind": "echo", "tasks": [1], "deadline_ms": 500}'
    assert call(fleet, "e2", "POST", "/v1/jobs", job).status_code == 202
    restart(fleet, "e4")
    outcome = apply(fleet, "e2", "second", 1)
    assert (outcome["decision"], outcome["version"]) == ("accepted", 2)


def test_damaged_journal_is_reported_and_not_modified(fleet: Fleet) -> None:
    assert apply(fleet, "e1", "first", 0)["version"] == 1
    fleet.processes["e4"].kill()
    fleet.processes["e4"].wait()
    file = fleet.folder / "data" / "e4" / JOURNAL_FILE
    content = bytearray(file.read_bytes())
    content[len(content) // 2] ^= 4
    file.write_bytes(content)
    start_process(fleet, "serve", "e4")
    assert fleet.processes["e4"].wait(WAIT_LIMIT_SECONDS) == 5
    log = (fleet.folder / "e4.log").read_text()
    assert '"event": 5003' in log
    assert file.read_bytes() == content
