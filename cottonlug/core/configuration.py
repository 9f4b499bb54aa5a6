"""The replicated configuration: one versioned rules document, changed by compare-and-set.

Every voter (a host that keeps the replicated log) applies the commands in log order, so all reach
the same state. A change names the version that it is based on; of two changes based on the
same version, at most one is accepted. The outcome of each request id is stored, so that an operator
who lost the answer can repeat the request and gets the original outcome.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from .messages import Message

MAX_REMEMBERED_OUTCOMES = 20_000
"""Number of outcomes stored, the oldest dropped first: more than one day of changes at the load
designed for."""


class Decision(Enum):
    """Whether a change was accepted and, if not, why.

    CONFLICT: it is not based on the active version. INVALID: the document has an error.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class ChangeCommand(Message):
    """Replace the document by `text` if the active version is still `base_version`."""

    request_id: str
    base_version: int
    text: str
    author: str = ""


class ChangeOutcome(Message, omit_defaults=False):
    """Decision on a change, as stored and returned to the operator.

    `version` is the active version after the decision; `winner`, where set, is the request id of
    the change that created that version.
    """

    request_id: str
    decision: Decision
    version: int
    winner: str = ""
    detail: str = ""


class ConfigurationState(Message):
    """The whole replicated state, as a snapshot holds it.

    `text` is the document, `winner` the request id of the change that created `version`, and
    `outcomes` are by request id, oldest first.
    """

    version: int = 0
    text: str = ""
    winner: str = ""
    outcomes: dict[str, ChangeOutcome] = {}


Validator = Callable[[str], str | None]
"""Returns what is wrong with a document, or None if it is valid."""


def apply_change(
    state: ConfigurationState, command: ChangeCommand, validate: Validator
) -> ChangeOutcome:
    """Apply a change if it is accepted and return its outcome.

    A known request id gets its original outcome and changes nothing.
    """
    known = state.outcomes.get(command.request_id)
    if known is not None:
        return known
    outcome = _decide(state, command, validate)
    if outcome.decision is Decision.ACCEPTED:
        state.version = outcome.version
        state.text = command.text
        state.winner = command.request_id
    state.outcomes[command.request_id] = outcome
    while len(state.outcomes) > MAX_REMEMBERED_OUTCOMES:
        del state.outcomes[next(iter(state.outcomes))]
    return outcome


def encode_state(state: ConfigurationState) -> str:
    """Return the state as text for a snapshot."""
    return msgspec.json.encode(state).decode()


def decode_state(data: str) -> ConfigurationState:
    """Return the state that a snapshot holds; empty text stands for the initial state."""
    if not data:
        return ConfigurationState()
    return msgspec.json.decode(data, type=ConfigurationState)


def encode_command(command: ChangeCommand) -> str:
    """Return a command as text for a log entry."""
    return msgspec.json.encode(command).decode()


def decode_command(data: str) -> ChangeCommand:
    """Return the command in a log entry."""
    return msgspec.json.decode(data, type=ChangeCommand)


def _decide(
    state: ConfigurationState, command: ChangeCommand, validate: Validator
) -> ChangeOutcome:
    if command.base_version != state.version:
        return ChangeOutcome(
            request_id=command.request_id,
            decision=Decision.CONFLICT,
            version=state.version,
            winner=state.winner,
            # Part of a replicated outcome: voters of different builds must store the same text.
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
