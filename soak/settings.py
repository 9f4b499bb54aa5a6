"""Settings of the hosts, rendered from the templates of `deploy/` as the users' platform does."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")

_GATEWAY_LIMITS = {
    "cpu_cores": 2,
    "cpu_share": 0.537,
    "memory_mb": 300,
    "max_fds": 4_100,
    "link_mbps": 1_000.0,
}
"""What a gateway may use in mizan-hq; it limits the calls that wait at a gateway."""
_BOUNDS = {
    "max_hold_ms": 1_000,
    "grace_s": 6,
    "retransmit_ms": 1_300,
    "status_s": 120,
    "contact_ms": 3_000,
    "remote_factor": 1.5,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """Ports that all hosts of a run use; they lie below the range of outgoing connections."""

    control: int = 19_166
    callers: int = 19_161
    readiness: int = 19_167
    peers: int = 19_720
    urgent: int = 19_735
    metrics: int = 19_464
    upstream: int = 19_180


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """What the settings of one host are rendered from."""

    name: str
    domain: str
    domains: list[str]
    advertised: str
    """IP number that other hosts and upstreams connect to."""
    bound: str
    """IP number that the host listens on."""
    ports: Ports
    seeds: list[str]
    """IP numbers of control hosts."""
    data_folder: Path
    may_begin: bool
    """Whether the whole deployment starts for the first time."""


def render_settings(template: Path, host: HostSettings) -> str:
    """Return the settings of a host, whose proxied listeners bind to another address."""
    ports = host.ports
    fields = {
        "node_name": host.name,
        "zone": host.domain,
        "zones": dict.fromkeys(host.domains, "region"),
        "ip": host.advertised,
        "listen_addrs": {
            "control_plane": f"{host.advertised}:{ports.control}",
            "frontend": f"{host.bound}:{ports.callers}",
            "readiness": f"{host.bound}:{ports.readiness}",
        },
        "internal_ports": [ports.peers, ports.urgent],
        "seeds": [f"{seed}:{ports.control}" for seed in host.seeds],
        "bootstrap": str(host.may_begin).lower(),
        "data_dir": host.data_folder,
        "orders": "call",
        "heartbeat_ms": 1_500,
        "bounds": _BOUNDS,
        "limits": _GATEWAY_LIMITS,
    }
    text = render_template(template.read_text(), fields)
    # Metrics are read past the proxy.
    text = re.sub(r"metrics: .*", f"metrics: {host.bound}:{ports.metrics}", text)
    return f"{text}bind_host: {host.bound}\n"


def render_template(template: str, fields: Mapping[str, Any]) -> str:
    """Return a template with its sections and values filled in."""

    def look_up(path: str) -> Any:
        found: Any = fields
        for key in path.split("."):
            found = found[int(key)] if isinstance(found, list) else found[key]
        return found

    def fill_section(match: re.Match[str]) -> str:
        value = look_up(match[1])
        if not isinstance(value, list | dict):
            return match[2] if value else ""
        entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
        filled = [
            match[2].replace("{{.}}", str(entry)).replace("{{@}}", str(key))
            for key, entry in entries
        ]
        return "".join(
            text.replace("{{,}}", "," if number < len(filled) else "")
            for number, text in enumerate(filled, 1)
        )

    text = _SECTION.sub(fill_section, template)
    return _VALUE.sub(lambda match: str(look_up(match[1])), text)
