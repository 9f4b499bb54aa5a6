"""Declared options: each reads one YAML node and reports problems with path and line."""

from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import time, timedelta
from enum import Enum
from pathlib import Path
from typing import Any, Generic, TypeVar

import yaml

T = TypeVar("T")
E = TypeVar("E", bound=Enum)

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h|d)")
_NULL_TAG = "tag:yaml.org,2002:null"
_ADDRESS_PATTERN = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})")


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """A problem found in a settings file."""

    path: str
    line: int
    message: str
    is_warning: bool = False

    def __str__(self) -> str:
        """Format the problem as one line."""
        kind = "warning" if self.is_warning else "error"
        return f"line {self.line}: {self.path}: {kind}: {self.message}"


@dataclass(slots=True, kw_only=True)
class Report:
    """Collects the problems found in a file."""

    folder: Path
    """Folder of the file, to which paths in it are relative."""
    problems: list[Problem] = field(default_factory=list)

    def add(self, node: yaml.Node, path: str, message: str) -> None:
        """Report an error at a node."""
        self.problems.append(Problem(path=path, line=node.start_mark.line + 1, message=message))

    def warn(self, node: yaml.Node, path: str, message: str) -> None:
        """Report a warning at a node."""
        line = node.start_mark.line + 1
        self.problems.append(Problem(path=path, line=line, message=message, is_warning=True))

    @property
    def errors(self) -> list[Problem]:
        """The problems that make the settings unusable, without warnings."""
        return [problem for problem in self.problems if not problem.is_warning]


Reader = Callable[[yaml.Node, str, Report], T | None]
"""Returns the value of a node, or None after adding to the report why the node is invalid.

The text is the path of keys to the node, as in `listen.peers`.
"""


class _Required(Enum):
    REQUIRED = "required"


REQUIRED = _Required.REQUIRED


@dataclass(frozen=True, slots=True)
class Option(Generic[T]):
    """Reader and default of one key; a key without a default is required."""

    read: Reader[T]
    default: T | _Required = REQUIRED


Options = Mapping[str, Option[Any]]
"""The declared keys of one section."""


def read_text(pattern: str | None = None, hint: str = "") -> Reader[str]:
    """Return a reader of a string that must match the pattern in full."""

    def read(node: yaml.Node, path: str, report: Report) -> str | None:
        if not isinstance(node, yaml.ScalarNode):
            report.add(node, path, "expected a string")
            return None
        text = str(node.value)
        if pattern is not None and re.fullmatch(pattern, text) is None:
            report.add(node, path, f"{text!r} is not valid{': ' + hint if hint else ''}")
            return None
        return text

    return read


def read_integer(low: int, high: int) -> Reader[int]:
    """Return a reader of an integer between two inclusive bounds."""

    def read(node: yaml.Node, path: str, report: Report) -> int | None:
        if not isinstance(node, yaml.ScalarNode) or not re.fullmatch(r"-?\d+", node.value):
            report.add(node, path, "expected a whole number")
            return None
        number = int(node.value)
        if not low <= number <= high:
            report.add(node, path, f"{number} is not between {low} and {high}")
            return None
        return number

    return read


def read_number(low: float, high: float) -> Reader[float]:
    """Return a reader of a number between two inclusive bounds."""

    def read(node: yaml.Node, path: str, report: Report) -> float | None:
        try:
            number = float(node.value) if isinstance(node, yaml.ScalarNode) else None
        except ValueError:
            number = None
        if number is None:
            report.add(node, path, "expected a number")
            return None
        if not low <= number <= high:
            report.add(node, path, f"{number} is not between {low} and {high}")
            return None
        return number

    return read


def read_unless_empty(read: Reader[T]) -> Reader[T]:
    """Return a reader that takes an empty value as not given, as templates may render one."""

    def read_given(node: yaml.Node, path: str, report: Report) -> T | None:
        return None if node.tag == _NULL_TAG else read(node, path, report)

    return read_given


def read_boolean(node: yaml.Node, path: str, report: Report) -> bool | None:
    """Read true or false."""
    if isinstance(node, yaml.ScalarNode) and node.value in ("true", "false"):
        return bool(node.value == "true")
    report.add(node, path, "expected true or false")
    return None


def read_duration(node: yaml.Node, path: str, report: Report) -> timedelta | None:
    """Read a duration such as 250ms, 4s or 10m."""
    match = _DURATION_PATTERN.fullmatch(node.value) if isinstance(node, yaml.ScalarNode) else None
    if match is None:
        report.add(node, path, "expected a duration such as 250ms, 4s or 10m")
        return None
    return timedelta(seconds=float(match[1]) * _SECONDS_PER_UNIT[match[2]])


def read_time_of_day(node: yaml.Node, path: str, report: Report) -> time | None:
    """Read a time of day such as 22:30 (quoted in YAML)."""
    text = node.value if isinstance(node, yaml.ScalarNode) else ""
    match = re.fullmatch(r"([01]\d|2[0-3]):([0-5]\d)", text)
    if match is None:
        report.add(node, path, 'expected a time of day such as "22:30"')
        return None
    return time(int(match[1]), int(match[2]))


def read_choice(choices: type[E]) -> Reader[E]:
    """Return a reader of one of the values of an enum."""

    def read(node: yaml.Node, path: str, report: Report) -> E | None:
        values = [str(choice.value) for choice in choices]
        text = node.value if isinstance(node, yaml.ScalarNode) else ""
        if text not in values:
            report.add(node, path, f"expected one of {', '.join(values)}")
            return None
        return choices(text)

    return read


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Format the address as host:port."""
        return f"{self.host}:{self.port}"


def read_address(node: yaml.Node, path: str, report: Report) -> Address | None:
    """Read an address such as 127.0.0.1:7101; host names are not resolved."""
    match = _ADDRESS_PATTERN.fullmatch(node.value) if isinstance(node, yaml.ScalarNode) else None
    if match is None or int(match[2]) > 65535:
        report.add(node, path, "expected an IP number and port such as 127.0.0.1:7101")
        return None
    return Address(match[1], int(match[2]))


def read_path(node: yaml.Node, path: str, report: Report) -> Path | None:
    """Read a path, relative to the folder of the settings file."""
    if not isinstance(node, yaml.ScalarNode) or not node.value:
        report.add(node, path, "expected a path")
        return None
    return report.folder / str(node.value)


def read_secret(node: yaml.Node, path: str, report: Report) -> str | None:
    """Read the path of a file and return the secret in that file."""
    file = read_path(node, path, report)
    if file is None:
        return None
    try:
        secret = file.read_text().strip()
    except OSError as error:
        report.add(node, path, f"cannot read the secret: {error.strerror}: {node.value}")
        return None
    if len(secret) < 8:
        report.add(node, path, "the secret must have at least 8 characters")
        return None
    return secret


def read_list(read_item: Reader[T]) -> Reader[list[T]]:
    """Return a reader of a list."""

    def read(node: yaml.Node, path: str, report: Report) -> list[T] | None:
        if not isinstance(node, yaml.SequenceNode):
            report.add(node, path, "expected a list")
            return None
        items = [read_item(item, f"{path}[{at}]", report) for at, item in enumerate(node.value)]
        return [item for item in items if item is not None]

    return read


def read_item_or_list(read_item: Reader[T]) -> Reader[list[T]]:
    """Return a reader of a single item or a list of items."""
    read_items = read_list(read_item)

    def read(node: yaml.Node, path: str, report: Report) -> list[T] | None:
        if isinstance(node, yaml.SequenceNode):
            return read_items(node, path, report)
        item = read_item(node, path, report)
        return None if item is None else [item]

    return read


def read_labels(node: yaml.Node, path: str, report: Report) -> dict[str, str] | None:
    """Read a mapping of strings to strings."""
    if not isinstance(node, yaml.MappingNode):
        report.add(node, path, "expected a mapping of labels")
        return None
    labels: dict[str, str] = {}
    for key, value in node.value:
        if isinstance(key, yaml.ScalarNode) and isinstance(value, yaml.ScalarNode):
            labels[str(key.value)] = str(value.value)
        else:
            report.add(value, path, "a label must be a string")
    return labels


def read_section(options: Options, build: Callable[..., T]) -> Reader[T]:
    """Return a reader of a mapping with declared keys, which are passed to `build`."""

    def read(node: yaml.Node, path: str, report: Report) -> T | None:
        if not isinstance(node, yaml.MappingNode):
            report.add(node, path or "(top)", "expected a mapping")
            return None
        before = len(report.errors)
        values = _read_keys(node, path, options, report)
        if len(report.errors) > before:
            return None
        return build(**values)

    return read


def _read_keys(
    node: yaml.MappingNode, path: str, options: Options, report: Report
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for key_node, value_node in node.value:
        key = str(key_node.value)
        key_path = f"{path}.{key}" if path else key
        option = options.get(key)
        if option is None:
            report.add(key_node, key_path, f"unknown key{_suggest(key, options)}")
        elif key in values:
            report.add(key_node, key_path, "duplicate key")
        else:
            values[key] = option.read(value_node, key_path, report)
    for key, option in options.items():
        if key in values:
            continue
        if option.default is REQUIRED:
            report.add(node, f"{path}.{key}" if path else key, "required, but missing")
        values[key] = option.default
    return values


def _suggest(key: str, options: Options) -> str:
    near = difflib.get_close_matches(key, list(options), n=1)
    if near:
        return f"; did you mean {near[0]!r}?"
    return f"; known keys: {', '.join(sorted(options))}"


@dataclass(frozen=True, slots=True)
class Loaded(Generic[T]):
    """Result of loading a file: the value, if there was no error, and all problems."""

    value: T | None
    problems: list[Problem]


def load_yaml(text: str, folder: Path, read: Reader[T]) -> Loaded[T]:
    """Parse a YAML text with a reader; return the value and every problem."""
    report = Report(folder=folder)
    try:
        node = yaml.compose(text, Loader=_LOADER)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = Problem(path="(file)", line=line, message=f"not valid YAML: {error}")
        return Loaded(None, [problem])
    if node is None:
        return Loaded(None, [Problem(path="(file)", line=1, message="the file is empty")])
    value = read(node, "", report)
    if report.errors:
        return Loaded(None, report.problems)
    return Loaded(value, report.problems)
