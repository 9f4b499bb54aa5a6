"""Docs pages, committed examples and import rules agree with the code."""

from __future__ import annotations

import ast
import re
import runpy
from pathlib import Path

import pytest

from ..config.deployments import DEPLOYMENTS, build_files, write_deployment
from ..config.files import load_entry_settings, load_upstream_settings
from ..config.rules import read_rules
from ..runtime.events import Event

ROOT = Path(__file__).resolve().parent.parent.parent
IO_MODULES = {
    "asyncio", "httpx", "io", "litestar", "os", "pathlib", "random", "select", "signal", "socket",
    "ssl", "subprocess", "threading", "time", "uvicorn",
}  # fmt: skip


def test_catalogue_of_events_is_whole() -> None:
    page = (ROOT / "docs" / "events.md").read_text()
    rows = re.findall(r"^\| (\d{4}) \| (\w+) \| ([^|]+) \|", page, re.MULTILINE)
    listed = [(int(number), text.strip()) for number, _, text in rows]
    assert listed == [(event.value.number, event.value.text) for event in Event]
    numbers = [event.value.number for event in Event]
    assert len(set(numbers)) == len(numbers)


def test_every_event_is_logged_somewhere() -> None:
    code = "".join(
        file.read_text()
        for file in (ROOT / "cottonlug").rglob("*.py")
        if "tests" not in file.parts and file.name != "events.py"
    )
    missing = [event.name for event in Event if f"Event.{event.name}" not in code]
    assert missing == []


def test_core_imports_no_input_or_output() -> None:
    for file in (ROOT / "cottonlug" / "core").rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            names: list[str] = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom) and node.level == 0:
                names = [node.module or ""]
            elif isinstance(node, ast.ImportFrom) and node.level > 1:
                outside = (node.module or "").partition(".")[0]
                assert outside not in {"net", "runtime", "storage", "config"}, file
            assert not {name.partition(".")[0] for name in names} & IO_MODULES, file


@pytest.mark.parametrize("name", list(DEPLOYMENTS))
def test_committed_examples_equal_the_output_of_the_command(name: object, tmp_path: Path) -> None:
    deployment = next(each for key, each in DEPLOYMENTS.items() if key is name)
    folder = ROOT / "examples" / deployment.name
    files = build_files(deployment)
    assert {file.name: file.read_text() for file in folder.glob("*.yaml")} == files
    write_deployment(deployment, tmp_path)
    for file in tmp_path.glob("*.yaml"):
        load = load_entry_settings if file.name.startswith("e") else load_upstream_settings
        load(file)


def test_example_rules_have_no_problem() -> None:
    loaded = read_rules((ROOT / "examples" / "rules.yaml").read_text())
    assert loaded.problems == [] and loaded.value is not None


def test_example_of_embedding_runs(capsys: pytest.CaptureFixture[str]) -> None:
    runpy.run_path(str(ROOT / "docs" / "examples" / "agree.py"), run_name="__main__")
    assert "open the gate" in capsys.readouterr().out
