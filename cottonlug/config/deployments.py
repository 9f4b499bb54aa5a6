"""Example deployments, modelled on both users' sites: settings files for the loopback interface."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import yaml

TOKEN_KINDS = ("callers", "operators", "upstreams", "peers")
_UPSTREAMS_PER_RACK = 8


class DeploymentName(Enum):
    """Deployments that examples exist for."""

    SKYWATCH = "skywatch"
    AL_MIZAN = "al-mizan"


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Sizes of one deployment; `hosts` is the number of entry hosts in each failure domain.

    `upstreams` is the number in all failure domains together, `slots` that of each upstream.
    `prefetch` is how many starts an upstream accepts in advance, which saves messages but increases
    response times; see docs/design/policy.md.
    """

    name: str
    domains: tuple[str, ...]
    hosts: tuple[int, ...]
    upstreams: int
    slots: int
    processors: int
    memory_mb: int
    prefetch: int
    base_port: int


DEPLOYMENTS = {
    DeploymentName.SKYWATCH: Deployment(
        name="skywatch",
        domains=("substation-north", "town-hall-basement", "ridge-hut"),
        hosts=(3, 3, 3),
        upstreams=24,
        slots=8,
        processors=32,
        memory_mb=65_536,
        prefetch=1,
        base_port=17_000,
    ),
    DeploymentName.AL_MIZAN: Deployment(
        name="al-mizan",
        domains=("sahab", "qastal", "muwaqqar"),
        hosts=(3, 2, 2),
        upstreams=24,
        slots=8,
        processors=16,
        memory_mb=32_768,
        prefetch=4,
        base_port=18_000,
    ),
}

_Listeners = dict[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class HostPlan:
    """Name, failure domain and listen addresses of an entry host."""

    name: str
    domain: str
    listen: _Listeners
    is_voter: bool


def plan_hosts(deployment: Deployment) -> list[HostPlan]:
    """Return all entry hosts; the first of each failure domain has a disk and is a voter."""
    plans: list[HostPlan] = []
    for domain, count in zip(deployment.domains, deployment.hosts, strict=True):
        for at in range(count):
            number = len(plans) + 1
            plan = HostPlan(
                name=f"e{number}",
                domain=domain,
                listen=_list_addresses(deployment.base_port, number),
                is_voter=at == 0,
            )
            plans.append(plan)
    return plans


def build_files(deployment: Deployment) -> dict[str, str]:
    """Return the contents of a deployment's settings files by file name."""
    plans = plan_hosts(deployment)
    files = {f"{plan.name}.yaml": _render(_build_entry(plan, plans)) for plan in plans}
    for at in range(deployment.upstreams):
        settings = _build_upstream(deployment, plans, at)
        files[f"{settings['upstream']}.yaml"] = _render(settings)
    return files


def write_deployment(deployment: Deployment, folder: Path) -> None:
    """Write a deployment's settings files, and the token files that do not exist yet."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in build_files(deployment).items():
        (folder / name).write_text(text)
    write_tokens(folder / "tokens")


def write_tokens(folder: Path) -> None:
    """Write a new token for each kind of client that has none."""
    folder.mkdir(parents=True, exist_ok=True)
    for kind in TOKEN_KINDS:
        file = folder / kind
        if not file.exists():
            file.touch(mode=0o600)
            file.write_text(secrets.token_hex(16) + "\n")


def _build_entry(plan: HostPlan, plans: list[HostPlan]) -> dict[str, Any]:
    settings: dict[str, Any] = {
        "host": plan.name,
        "domain": plan.domain,
        "listen": plan.listen,
        "tokens": {kind: f"tokens/{kind}" for kind in TOKEN_KINDS},
        "peers": [
            {"host": other.name, "domain": other.domain, "address": other.listen["peers"]}
            for other in plans
            if other.name != plan.name
        ],
        "voters": [other.name for other in plans if other.is_voter],
    }
    if plan.is_voter:
        settings["data_folder"] = f"data/{plan.name}"
    return settings


def _build_upstream(deployment: Deployment, plans: list[HostPlan], at: int) -> dict[str, Any]:
    per_domain = -(-deployment.upstreams // len(deployment.domains))
    domain = deployment.domains[at // per_domain]
    return {
        "upstream": f"w{at + 1:02d}",
        "domain": domain,
        "rack": f"{domain}-r{at % per_domain // _UPSTREAMS_PER_RACK + 1}",
        "slots": deployment.slots,
        "processors": deployment.processors,
        "memory_mb": deployment.memory_mb,
        "hosts": [
            {"host": plan.name, "address": plan.listen["upstreams"]}
            for plan in plans
            if plan.domain == domain
        ],
        "delays": {"prefetch": deployment.prefetch},
        "token": "tokens/upstreams",
        "listen": f"127.0.0.1:{deployment.base_port + 500 + at + 1}",
        "operator_token": "tokens/operators",
    }


def _list_addresses(base_port: int, number: int) -> _Listeners:
    return {
        kind: f"127.0.0.1:{base_port + 100 * at + number}"
        for at, kind in enumerate(TOKEN_KINDS, start=1)
    }


def _render(settings: dict[str, Any]) -> str:
    return yaml.safe_dump(settings, sort_keys=False)
