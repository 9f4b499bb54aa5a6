"""Expected failures: KNOWN-RED.txt at the root lists at most 3 tests that fail for a known fault.

The listed tests still run. If one passes, the run fails, so that the fix also removes its line.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"
MAX_LINES = 3


def read_known_red() -> dict[str, str]:
    """Return the reason why each listed test fails, by test name; lines are `NAME: reason`."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise pytest.UsageError(f"{KNOWN_RED.name} has {len(lines)} lines, {MAX_LINES} at most")
    named = [line.partition(": ") for line in lines]
    return {name.strip(): reason.strip() for name, _, reason in named}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known = read_known_red()
    for item in items:
        # One line covers all parametrized cases of a test.
        reason = known.get(item.nodeid.partition("[")[0])
        if reason is not None:
            # A failure with any other exception is not the known one.
            expected_exceptions = (AssertionError, TimeoutError)
            item.add_marker(
                pytest.mark.xfail(reason=reason, strict=True, raises=expected_exceptions)
            )


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for name, reason in read_known_red().items():
        terminalreporter.write_line(f"KNOWN RED {name}: {reason}")
