"""Messages between hosts about a replicated log and the configuration in it."""

from __future__ import annotations

from .cluster.begun_jobs import BegunReport
from .consensus import types
from .ids import HostId
from .messages import Message


class Hello(Message, omit_defaults=False):
    """What a host reports about itself and its log.

    `member` is the member id of its disk; `is_empty` says that the disk never took part in the
    consensus. With `may_begin` the host may bootstrap a new log. `leader` is the leader's host as
    far as it knows one, and `hosts` are the hosts that it knows.
    """

    host: HostId
    member: types.MemberId
    is_empty: bool
    may_begin: bool = False
    leader: str | None = None
    hosts: tuple[str, ...] = ()


class ConsensusBatch(Message):
    """Consensus messages from one member to another; the answer to it is a batch the other way."""

    sender: types.MemberId
    messages: list[types.ConsensusMessage]
    begun: BegunReport | None = None
    """What the sender, as leader, reports of best-effort jobs."""


class ConfigurationView(Message, omit_defaults=False):
    """The active configuration at a host; `is_stale` if it may have missed newer versions.

    `text` is the rules document of this `version`.
    """

    version: int
    text: str
    is_stale: bool
