"""Loading of a settings file, with errors that list every problem."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

from ..exceptions import SettingsError
from .options import Loaded, Problem, Reader, load_yaml

T = TypeVar("T")


def load_settings(file: Path, read: Reader[T]) -> T:
    """Load settings with a reader; raise `SettingsError` listing every problem."""
    return get_value(file, load_file(file, read))


def load_file(file: Path, read: Reader[T]) -> Loaded[T]:
    """Load a YAML file with a reader; an unreadable file is reported as a problem."""
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(path="(file)", line=0, message=f"cannot be read: {error}")
        return Loaded(None, [problem])
    return load_yaml(text, file.parent, read)


def get_value(file: Path, loaded: Loaded[T]) -> T:
    """Return the loaded value, or raise `SettingsError` listing every problem."""
    raise_on_problems(file, [problem for problem in loaded.problems if not problem.is_warning])
    if loaded.value is None:
        raise SettingsError(f"{file}: no settings")
    return loaded.value


def raise_on_problems(file: Path, problems: list[Problem]) -> None:
    """Raise `SettingsError` if there are problems."""
    if problems:
        lines = "\n".join(f"{file}: {problem}" for problem in problems)
        raise SettingsError(lines)
