"""Messages between entry hosts about the replicated configuration."""

from __future__ import annotations

from .consensus import types
from .ids import HostId
from .messages import Message


class Hello(Message, omit_defaults=False):
    """What a voter reports about itself: its disk's member id and whether it ever took part."""

    host: HostId
    member: types.MemberId
    is_empty: bool
    may_begin: bool = False
    leader: str | None = None
    hosts: tuple[str, ...] = ()


class ConsensusBatch(Message):
    """Consensus messages from one member to another; the replies come back as a batch, too."""

    sender: types.MemberId
    messages: list[types.ConsensusMessage]


class ConfigurationView(Message, omit_defaults=False):
    """The active configuration at a voter; `is_stale` if it may have missed newer versions."""

    version: int
    text: str
    is_stale: bool
