"""Tests of the daemons' fast start: which modules are imported, and how wrong usage is reported."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from ..commands.exits import ExitCode
from ..daemon import INVARIANT_EXIT, SETTINGS_EXIT, USAGE_EXIT, main
from .processes import ROOT, find_base_port, wait_until

HOLD_LIMIT_SECONDS = 10.0
"""Time within which a daemon, also on a busy machine, has begun to hold signals back."""
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


@pytest.mark.parametrize("name", ["control", "gateway"])
def test_signals_before_the_handlers_are_installed_are_handled_later(
    name: str, tmp_path: Path
) -> None:
    """Guards against a daemon that changed settings or a request for a dump end as it starts."""
    base = find_base_port()
    listeners = {
        "control": {"control": base + 101, "peers": base + 102},
        "gateway": {"callers": base + 101, "readiness": base + 102, "peers": base + 201},
    }
    listen = "".join(f"  {kind}: 127.0.0.1:{port}\n" for kind, port in listeners[name].items())
    data = "data_folder: data\nmay_begin: true\n" if name == "control" else ""
    text = f"host: a\ndomain: north\nlisten:\n{listen}seeds: ['127.0.0.1:{base + 301}']\n{data}"
    (tmp_path / "settings.yaml").write_text(text)
    with (tmp_path / "log").open("wb") as log:
        command = [sys.executable, "-m", "cottonlug.daemon", name, "--config", "settings.yaml"]
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        daemon = subprocess.Popen(command, cwd=tmp_path, stdout=log, env=environment)
    try:
        # The daemon holds signals back for a quarter of a second only.
        deadline = time.monotonic() + HOLD_LIMIT_SECONDS
        while not is_blocked(daemon.pid, signal.SIGHUP):
            assert time.monotonic() < deadline, "signals are not held back"
            time.sleep(0.001)
        for number in (signal.SIGHUP, signal.SIGUSR1):
            daemon.send_signal(number)
        wait_until(lambda: not is_blocked(daemon.pid, signal.SIGHUP))
        wait_until(lambda: '"event": 1007' in (tmp_path / "log").read_text())
        assert daemon.poll() is None
        if name == "gateway":
            wait_until(lambda: '"event": 1008' in (tmp_path / "log").read_text())
    finally:
        daemon.kill()
        daemon.wait()


def is_blocked(pid: int, number: signal.Signals) -> bool:
    """Return whether a process holds a signal back."""
    status = Path(f"/proc/{pid}/status").read_text()
    (mask,) = [line.split()[1] for line in status.splitlines() if line.startswith("SigBlk")]
    return bool(int(mask, 16) >> (number - 1) & 1)
