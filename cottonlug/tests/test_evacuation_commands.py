"""Output and exit codes of `cottonlug evacuations`."""

from __future__ import annotations

from pathlib import Path

import httpx
import pytest
from typer.testing import CliRunner

from ..cli import app
from ..commands.exits import ExitCode

UNREACHABLE, REACHABLE = "127.0.0.1:1", "127.0.0.1:2"


@pytest.fixture(name="sent_requests")
def _sent_requests(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return the list of requests sent to two fake control hosts.

    One refuses connections; the other one knows only the domain `north`.
    """
    sent_requests: list[str] = []

    async def request(self: httpx.AsyncClient, method: str, url: str) -> httpx.Response:
        sent_requests.append(f"{method} {url}")
        if UNREACHABLE in url:
            raise httpx.ConnectError("refused")
        if method == "GET":
            rows = b'{"evacuations":[{"zone":"north","since_ms":0,"revision":3}]}'
            return httpx.Response(200, content=rows)
        return httpx.Response(200 if url.endswith("/north") else 404, content=b"{}")

    monkeypatch.setattr(httpx.AsyncClient, "request", request)
    return sent_requests


def test_next_control_host_is_called_if_one_is_unreachable(sent_requests: list[str]) -> None:
    arguments = ["evacuations", "begin", "north", "--control", UNREACHABLE, "--control", REACHABLE]
    result = CliRunner().invoke(app, arguments)
    assert result.exit_code == ExitCode.OK, result.output
    assert result.output == "north is evacuated\n"
    assert sent_requests == [
        f"POST http://{host}/evacuation/north" for host in (UNREACHABLE, REACHABLE)
    ]


def test_unknown_domain_is_refused_without_retries(sent_requests: list[str]) -> None:
    result = CliRunner().invoke(app, ["evacuations", "end", "nowhere", "--control", REACHABLE])
    assert result.exit_code == ExitCode.REFUSED
    assert sent_requests == [f"DELETE http://{REACHABLE}/evacuation/nowhere"]


def test_evacuated_domains_are_listed_with_start_time(sent_requests: list[str]) -> None:
    result = CliRunner().invoke(app, ["evacuations", "list", "--control", REACHABLE])
    assert result.output == "north since 1970-01-01T00:00:00+00:00\n"


def test_malformed_control_address_is_a_usage_error() -> None:
    result = CliRunner().invoke(app, ["evacuations", "list", "--control", "nonsense"])
    assert result.exit_code == ExitCode.USAGE
    assert "IP:PORT" in result.output


def test_settings_template_lists_all_domains() -> None:
    template = Path(__file__).parents[2] / "deploy" / "control.yaml.template"
    assert 'domains: [{{#zones}}"{{@}}"' in template.read_text()
