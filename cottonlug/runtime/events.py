"""The catalogue of numbered log events, and structured logging through absl."""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime
from enum import Enum
from typing import NamedTuple

from absl import logging as absl_logging

from ..config.logs import LogFormat, LogLevel, LogSettings
from .log_output import LogHandler, LogOutput

Field = str | int | float | bool | None | list[str]


# absl aborts the process on a critical record, so the highest level used here is error.


class EventKind(NamedTuple):
    """Number, level and text of an event."""

    number: int
    level: int
    text: str


class Event(Enum):
    """All events that cottonlug logs; docs/events.md explains each of them."""

    STARTED = EventKind(1001, logging.INFO, "process started")
    READY = EventKind(1002, logging.INFO, "ready for work")
    DRAINING = EventKind(1003, logging.INFO, "graceful shutdown began")
    STOPPED = EventKind(1004, logging.INFO, "process stopped")
    DRAIN_CUT_SHORT = EventKind(1005, logging.ERROR, "graceful shutdown reached its limit")
    INVARIANT_BROKEN = EventKind(1006, logging.ERROR, "a broken invariant stops the process")
    STATE_DUMPED = EventKind(1007, logging.INFO, "state dumped on request")
    SETTINGS_RELOADED = EventKind(1008, logging.INFO, "settings were read again")
    SETTINGS_REFUSED = EventKind(1009, logging.WARNING, "changed settings have errors")
    LOOP_DELAYED = EventKind(1010, logging.WARNING, "the event loop of this process was held up")
    STEP_FAILED = EventKind(
        1011, logging.ERROR, "an unexpected error in a periodic task, which goes on"
    )
    UPSTREAM_OPENED = EventKind(2001, logging.INFO, "an upstream opened a session")
    UPSTREAM_GONE = EventKind(2002, logging.WARNING, "an upstream's session ended")
    UPSTREAM_LEAVING = EventKind(2003, logging.INFO, "an upstream is leaving")
    UPSTREAM_PROBATION = EventKind(2004, logging.WARNING, "an upstream was put on probation")
    SESSION_LOST = EventKind(2005, logging.WARNING, "a session to an entry host was lost")
    JOB_FAILED = EventKind(3001, logging.INFO, "a job failed")
    SUBMISSION_REFUSED = EventKind(3002, logging.INFO, "a submission was refused")
    HOME_UNREACHABLE = EventKind(3003, logging.WARNING, "the home of a submission is unreachable")
    CONFIGURATION_ACTIVE = EventKind(4001, logging.INFO, "a configuration became active")
    CONFIGURATION_REFUSED = EventKind(4002, logging.WARNING, "a configuration was refused")
    LEADER_CHANGED = EventKind(4003, logging.INFO, "the leader of the configuration changed")
    MEMBERS_CHANGED = EventKind(4004, logging.INFO, "the members of the log changed")
    SNAPSHOT_RESTORED = EventKind(4005, logging.INFO, "the state was restored from a snapshot")
    LEADERSHIP_STARTED = EventKind(4006, logging.INFO, "leadership of a term started on this host")
    LEADERSHIP_ENDED = EventKind(4007, logging.INFO, "leadership of a term ended on this host")
    READINESS_CHANGED = EventKind(4008, logging.INFO, "readiness for callers changed")
    COORDINATOR_CHANGED = EventKind(4009, logging.INFO, "calls are sent to another coordinator")
    ACTING_AS_LEADER = EventKind(
        4010, logging.WARNING, "no leader can be reached; this gateway acts as leader"
    )
    LEASE_LOST = EventKind(
        4011, logging.WARNING, "this leader lost its lease and stopped scheduling"
    )
    LEASE_REGAINED = EventKind(
        4012, logging.INFO, "this leader regained its lease and schedules again"
    )
    COORDINATOR_SILENT = EventKind(4013, logging.WARNING, "the coordinator does not answer")
    KEEPALIVE_LATE = EventKind(4014, logging.WARNING, "a gateway's keep-alive was delayed")
    DECISION_DELAYED = EventKind(4015, logging.WARNING, "scheduling on this host was delayed")
    PROPOSAL_LOST = EventKind(
        4016, logging.WARNING, "proposed commands were not appended to the log"
    )
    EVACUATION_BEGUN = EventKind(4017, logging.WARNING, "a failure domain is evacuated")
    EVACUATION_ENDED = EventKind(4018, logging.INFO, "a failure domain is used again")
    EVACUATION_REFUSED = EventKind(4019, logging.WARNING, "an evacuation order was refused")
    HEARTBEAT_REFUSED = EventKind(4020, logging.WARNING, "a heartbeat names no upstream to use")
    LEADER_BEHIND = EventKind(4021, logging.INFO, "this leader was behind with its work")
    TERM_FAILED = EventKind(
        4022, logging.ERROR, "an unexpected error ended a term; this process goes on"
    )
    STORAGE_FAILED = EventKind(5001, logging.ERROR, "the data folder cannot be written")
    STORAGE_TORN = EventKind(5002, logging.WARNING, "a torn tail of a log file was cut")
    STORAGE_DAMAGED = EventKind(5003, logging.ERROR, "a file of the data folder is damaged")
    STORAGE_REOPENED = EventKind(5004, logging.INFO, "the data folder is used again")
    DECISION = EventKind(6001, logging.INFO, "a decision about an upstream or a job")
    CALL_FAILED = EventKind(6002, logging.WARNING, "a call of a caller was not carried out")
    CALL_LIMIT_REACHED = EventKind(
        6003, logging.WARNING, "calls are refused, as too many wait at this gateway"
    )
    REQUEST_DROPPED = EventKind(
        6004, logging.INFO, "a request was not carried out, as its client had left"
    )


_LEVELS = {
    LogLevel.DEBUG: absl_logging.DEBUG,
    LogLevel.INFO: absl_logging.INFO,
    LogLevel.WARNING: absl_logging.WARNING,
    LogLevel.ERROR: absl_logging.ERROR,
}


class _JsonFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        entry: dict[str, object] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
        }
        entry.update(getattr(record, "fields", {}))
        entry.setdefault("message", record.getMessage())
        if record.exc_info:
            entry["traceback"] = self.formatException(record.exc_info)
        return json.dumps(entry)


class _TextFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        fields: dict[str, object] = dict(getattr(record, "fields", {}))
        number = fields.pop("event", "")
        message = fields.pop("message", record.getMessage())
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        line = f"{record.levelname.lower()} {number} {message} {rest}".rstrip()
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


def set_up_logging(settings: LogSettings) -> None:
    """Send all logs through absl to standard error, in the chosen format."""
    absl_logging.use_absl_handler()
    absl_logging.get_absl_handler().python_handler.stream = sys.stderr
    absl_logging.set_verbosity(_LEVELS[settings.level])
    formatter = _JsonFormatter() if settings.format is LogFormat.JSON else _TextFormatter()
    absl_logging.get_absl_handler().setFormatter(formatter)
    for noisy in ("httpx", "httpcore", "uvicorn", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


def set_up_output(settings: LogSettings, output: LogOutput) -> None:
    """Send all logs through absl's logger to a non-blocking output, in the chosen format."""
    set_up_logging(settings)
    formatter = _JsonFormatter() if settings.format is LogFormat.JSON else _TextFormatter()
    handler = LogHandler(output=output)
    handler.setFormatter(formatter)
    logging.root.removeHandler(absl_logging.get_absl_handler())
    logging.root.addHandler(handler)


def log_event(event: Event, **fields: Field) -> None:
    """Log one event with its fields."""
    number, level, text = event.value
    logger = absl_logging.get_absl_logger()
    extra = {"fields": {"event": number, "message": text, **fields}}
    logger.log(level, text, extra=extra)
