"""Tests of the daemons' fast start: which modules are imported, and how wrong usage is reported."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from ..commands.exits import ExitCode
from ..daemon import INVARIANT_EXIT, SETTINGS_EXIT, USAGE_EXIT, main

SLOW_TO_LOAD = ("typer", "litestar", "httpx", "opentelemetry")
"""Importing these took half of a daemon's start time; serving callers and upstreams needs none."""


@pytest.mark.parametrize("name", ["control", "gateway"])
def test_daemon_imports_no_module_that_it_does_not_need_to_serve(name: str) -> None:
    """Failure: each daemon first imported the command line, litestar, httpx and OpenTelemetry."""
    program = (
        "import sys; from cottonlug import unused_imports; unused_imports.block_unused_imports(); "
        f"import cottonlug.commands.{name}; print(*sys.modules)"
    )
    ran = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    loaded = set(ran.stdout.split())
    assert not loaded.intersection(SLOW_TO_LOAD)


@pytest.mark.parametrize(
    "arguments", [[], ["serve", "--config", "x"], ["gateway"], ["control", "x"]]
)
def test_wrong_usage_is_reported(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main(arguments) == USAGE_EXIT
    assert "usage: " in capsys.readouterr().err


@pytest.mark.parametrize("name", ["control", "gateway"])
def test_settings_with_errors_are_reported(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "settings.yaml"
    file.write_text("bad: 1\n")
    assert main([name, "--config", str(file)]) == SETTINGS_EXIT
    assert "unknown key" in capsys.readouterr().err


def test_daemon_exit_codes_equal_those_of_the_command_line() -> None:
    codes = (ExitCode.USAGE, ExitCode.SETTINGS, ExitCode.BROKEN_INVARIANT)
    assert codes == (USAGE_EXIT, SETTINGS_EXIT, INVARIANT_EXIT)
