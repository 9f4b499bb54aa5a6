"""The replicated configuration: one rules document with a version, changed by compare-and-set.

Commands are applied in log order at every voter, so all reach the same state. A change names the
version that it starts from; of two with the same number exactly one is accepted. The decision on a
request id is remembered, so that an operator who lost the answer gets the first one again.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from .messages import Message

MAX_REMEMBERED = 20_000
"""More than the changes of a day at the size to design for."""


class Decision(Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class ChangeCommand(Message):
    """Replace the document, if its version is still `base_version`."""

    request_id: str
    base_version: int
    text: str
    author: str = ""


class ChangeOutcome(Message, omit_defaults=False):
    """The decision; `version` is the one in force after it, `winner` the request that made it."""

    request_id: str
    decision: Decision
    version: int
    winner: str = ""
    detail: str = ""


class ConfigurationState(Message):
    """The whole replicated state; it is also what a snapshot holds."""

    version: int = 0
    text: str = ""
    winner: str = ""
    outcomes: dict[str, ChangeOutcome] = {}


Validate = Callable[[str], str | None]
"""Return what is wrong with a document, or None."""


def apply_change(
    state: ConfigurationState, command: ChangeCommand, validate: Validate
) -> ChangeOutcome:
    """Decide on a change and return the outcome, the first one for a request id seen before."""
    known = state.outcomes.get(command.request_id)
    if known is not None:
        return known
    outcome = _decide(state, command, validate)
    if outcome.decision is Decision.ACCEPTED:
        state.version = outcome.version
        state.text = command.text
        state.winner = command.request_id
    state.outcomes[command.request_id] = outcome
    while len(state.outcomes) > MAX_REMEMBERED:
        del state.outcomes[next(iter(state.outcomes))]
    return outcome


def encode_state(state: ConfigurationState) -> str:
    """Return the state as text for a snapshot."""
    return msgspec.json.encode(state).decode()


def decode_state(data: str) -> ConfigurationState:
    """Return the state that a snapshot holds; the empty text is the first state."""
    if not data:
        return ConfigurationState()
    return msgspec.json.decode(data, type=ConfigurationState)


def encode_command(command: ChangeCommand) -> str:
    """Return a command as text for a log entry."""
    return msgspec.json.encode(command).decode()


def decode_command(data: str) -> ChangeCommand:
    """Return the command in a log entry."""
    return msgspec.json.decode(data, type=ChangeCommand)


def _decide(state: ConfigurationState, command: ChangeCommand, validate: Validate) -> ChangeOutcome:
    if command.base_version != state.version:
        return ChangeOutcome(
            request_id=command.request_id,
            decision=Decision.CONFLICT,
            version=state.version,
            winner=state.winner,
            detail=f"version {state.version} is in force, the change starts from "
            f"{command.base_version}",
        )
    problem = validate(command.text)
    if problem is not None:
        return ChangeOutcome(
            request_id=command.request_id,
            decision=Decision.INVALID,
            version=state.version,
            detail=problem,
        )
    return ChangeOutcome(
        request_id=command.request_id,
        decision=Decision.ACCEPTED,
        version=state.version + 1,
        winner=command.request_id,
    )
