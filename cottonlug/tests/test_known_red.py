"""KNOWN-RED.txt, the list of known failures: one test and reason per line, three lines at most."""

from __future__ import annotations

from pathlib import Path

import pytest

from . import conftest


def test_each_line_is_read_as_test_and_reason(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    listed = tmp_path / "KNOWN-RED.txt"
    monkeypatch.setattr(conftest, "KNOWN_RED", listed)
    assert conftest.read_known_red() == {}
    listed.write_text("tests/test_a.py::test_b: late: always; issue 3\n\n")
    assert conftest.read_known_red() == {"tests/test_a.py::test_b": "late: always; issue 3"}


def test_list_of_more_than_three_lines_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    listed = tmp_path / "KNOWN-RED.txt"
    monkeypatch.setattr(conftest, "KNOWN_RED", listed)
    listed.write_text("".join(f"t{number}: why\n" for number in range(4)))
    with pytest.raises(pytest.UsageError):
        conftest.read_known_red()
