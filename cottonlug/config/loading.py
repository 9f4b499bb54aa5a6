"""Reading of a settings file."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

from ..exceptions import SettingsError
from .options import Loaded, Problem, Reader, load_yaml

T = TypeVar("T")


def load_settings(file: Path, read: Reader[T]) -> T:
    """Return settings read with a reader, or raise `SettingsError` naming every problem."""
    return get_value(file, load_file(file, read))


def load_file(file: Path, read: Reader[T]) -> Loaded[T]:
    """Read a YAML file with a reader."""
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(path="(file)", line=0, message=f"cannot be read: {error}")
        return Loaded(None, [problem])
    return load_yaml(text, file.parent, read)


def get_value(file: Path, loaded: Loaded[T]) -> T:
    """Return what was read, or raise `SettingsError` naming every problem."""
    raise_on_problems(file, [problem for problem in loaded.problems if not problem.is_warning])
    if loaded.value is None:
        raise SettingsError(f"{file}: no settings")
    return loaded.value


def raise_on_problems(file: Path, problems: list[Problem]) -> None:
    """Raise `SettingsError` where there are problems."""
    if problems:
        lines = "\n".join(f"{file}: {problem}" for problem in problems)
        raise SettingsError(lines)
