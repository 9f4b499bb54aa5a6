"""Cost of the replicated configuration: changes, time until active on all hosts, idle cost.

Runs nine entry hosts as real processes on loopback, three of them voters. Prints JSON.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import tempfile
import time
from dataclasses import replace
from pathlib import Path

from cottonlug.config.deployments import DEPLOYMENTS, DeploymentName
from cottonlug.core.configuration import ChangeCommand, ChangeOutcome
from cottonlug.net.clients import ApiClient
from cottonlug.net.rule_messages import RulesView
from cottonlug.tests.processes import Fleet, find_base_port, read_cpu_seconds, start_fleet

CHANGES = 60
IDLE_SECONDS = 15.0
RULES = 100


def build_rules(number: int) -> str:
    lines = [f"  - name: rule-{at}\n    when: {{team: team-{at}}}\n" for at in range(RULES)]
    return f"# {number}\nrules:\n" + "".join(lines)


def measure_sync(folder: Path, size: int) -> float:
    """Return the median time of writing and syncing `size` bytes to the same disk, in seconds."""
    times = []
    with (folder / "raw").open("wb", buffering=0) as file:
        for _ in range(CHANGES):
            began = time.perf_counter()
            file.write(b"x" * size)
            os.fsync(file.fileno())
            times.append(time.perf_counter() - began)
    return statistics.median(times)


async def measure_changes(fleet: Fleet) -> dict[str, float]:
    token = fleet.get_token("operators")
    clients = [
        ApiClient(address=fleet.get_address(host, "operators"), token=token) for host in fleet.hosts
    ]
    version = 0
    latencies: list[float] = []
    activation_times: list[float] = []
    for number in range(CHANGES):
        command = ChangeCommand(
            request_id=f"change-{number}", base_version=version, text=build_rules(number)
        )
        began = time.perf_counter()
        decided = await clients[0].call("POST", "/v1/rules", ChangeOutcome, command)
        accepted = time.perf_counter()
        version = decided.unwrap().version
        assert version == number + 1
        latencies.append(accepted - began)
        await asyncio.gather(*(wait_for_version(client, version) for client in clients))
        activation_times.append(time.perf_counter() - accepted)
    for client in clients:
        await client.close()
    return {
        "apply_median_ms": statistics.median(latencies) * 1000,
        "apply_worst_ms": max(latencies) * 1000,
        "applies_per_second": 1 / statistics.median(latencies),
        "in_force_median_ms": statistics.median(activation_times) * 1000,
        "in_force_worst_ms": max(activation_times) * 1000,
    }


async def wait_for_version(client: ApiClient, version: int) -> None:
    while (await client.call("GET", "/v1/rules", RulesView, None)).unwrap().version < version:
        await asyncio.sleep(0.002)


async def find_roles(fleet: Fleet) -> dict[str, str]:
    roles = {}
    for host in fleet.hosts:
        address = fleet.get_address(host, "operators")
        client = ApiClient(address=address, token=fleet.get_token("operators"))
        dump = (await client.call("GET", "/v1/dump", dict, None)).unwrap()
        roles[host.name] = dump["consensus"]["role"] if dump["consensus"] else "none"
        await client.close()
    return roles


def measure_idle(fleet: Fleet, roles: dict[str, str]) -> dict[str, float]:
    """Return the share of a core that an idle host uses: the highest of each consensus role."""
    before = {name: read_cpu_seconds(fleet.processes[name].pid) for name in roles}
    time.sleep(IDLE_SECONDS)
    shares: dict[str, list[float]] = {}
    for name, role in roles.items():
        used = read_cpu_seconds(fleet.processes[name].pid) - before[name]
        shares.setdefault(role, []).append(used / IDLE_SECONDS)
    return {role: max(values) for role, values in shares.items()}


def main() -> None:
    deployment = replace(
        DEPLOYMENTS[DeploymentName.SKYWATCH], upstreams=0, base_port=find_base_port()
    )
    with tempfile.TemporaryDirectory(dir=Path(__file__).parent) as folder:
        fleet = start_fleet(deployment, Path(folder))
        try:
            results = asyncio.run(measure_changes(fleet))
            roles = asyncio.run(find_roles(fleet))
            idle = measure_idle(fleet, roles)
        finally:
            fleet.stop()
        sync = measure_sync(Path(folder), len(build_rules(0)))
    results |= {
        "hosts": len(fleet.hosts),
        "changes": CHANGES,
        "document_bytes": len(build_rules(0)),
        "sync_median_ms": sync * 1000,
        "apply_over_sync": results["apply_median_ms"] / (sync * 1000),
        "idle_leader_core_share": idle["leader"],
        "idle_voter_core_share": idle["follower"],
        "idle_follower_core_share": idle["none"],
    }
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
