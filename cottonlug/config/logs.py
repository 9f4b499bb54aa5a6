"""Settings that all daemons share: names and logging."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..core.ids import NAME_PATTERN
from .options import Option, Options, read_choice, read_section, read_text

read_name = read_text(NAME_PATTERN.pattern, "use a-z, 0-9 and '-'")


class LogFormat(Enum):
    """Format of log lines."""

    JSON = "json"
    TEXT = "text"


class LogLevel(Enum):
    """Minimum severity of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Settings of the log output."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.JSON


LOG_OPTIONS: Options = {
    "level": Option(read_choice(LogLevel), LogLevel.INFO),
    "format": Option(read_choice(LogFormat), LogFormat.JSON),
}
read_log_section = read_section(LOG_OPTIONS, LogSettings)
