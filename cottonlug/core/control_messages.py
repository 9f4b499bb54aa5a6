"""Messages between entry hosts about the replicated configuration."""

from __future__ import annotations

from .consensus import types
from .ids import HostId
from .messages import Message


class Hello(Message, omit_defaults=False):
    """What a voter says of itself: the id of its disk, and whether it ever took part."""

    host: HostId
    member: types.MemberId
    is_empty: bool
    may_begin: bool = False
    leader: str | None = None
    hosts: tuple[str, ...] = ()


class ConsensusBatch(Message):
    """Consensus messages from one member to another; the answers come back in the same way."""

    sender: types.MemberId
    messages: list[types.Message]


class ConfigurationView(Message, omit_defaults=False):
    """The configuration in force at a voter; stale where it may have missed newer ones."""

    version: int
    text: str
    is_stale: bool
