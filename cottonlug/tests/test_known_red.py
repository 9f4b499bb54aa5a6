"""The list of known failures: short, and each line gives a test and why it fails."""

from __future__ import annotations

from pathlib import Path

import pytest

from . import conftest


def test_a_line_gives_a_test_and_why_it_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    listed = tmp_path / "KNOWN-RED.txt"
    monkeypatch.setattr(conftest, "KNOWN_RED", listed)
    assert conftest.read_known_red() == {}
    listed.write_text("tests/test_a.py::test_b: late: always; issue 3\n\n")
    assert conftest.read_known_red() == {"tests/test_a.py::test_b": "late: always; issue 3"}


def test_more_than_three_lines_are_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    listed = tmp_path / "KNOWN-RED.txt"
    monkeypatch.setattr(conftest, "KNOWN_RED", listed)
    listed.write_text("".join(f"t{number}: why\n" for number in range(4)))
    with pytest.raises(pytest.UsageError):
        conftest.read_known_red()
