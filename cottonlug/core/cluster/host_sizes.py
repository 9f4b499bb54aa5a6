"""Sizes of gateways: which ones are small, and which one comes first as acting leader or relay.

Load pattern: gateways of 0.39 and of 1.29 cores in one cluster. As acting leader, a gateway gets
the jobs of all others of its failure domain (155 a second), and one of 0.39 cores answered them
late by 150 ms and more. So small gateways are chosen only where no other one answers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from .calls import GatewayInfo

SMALL_SHARE = 0.6
"""A gateway with less than this share of the cores of the largest one is small."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSize:
    """What this host may use, by its settings; None where they do not say."""

    cores: float | None = None
    """Cores by number and speed, of which it may use `share`."""
    share: float | None = None
    memory: float | None = None
    """In MB."""
    descriptors: float | None = None
    link: float | None = None
    """In Mbit/s."""

    @property
    def cores_millis(self) -> int:
        """Thousandths of a core that this host may use; 0 if that is not known."""
        if not self.cores:
            return 0
        return round(self.cores * (self.share or 1.0) * 1_000)


UNKNOWN_SIZE = HostSize()


def find_small_gateways(cores_millis: Mapping[str, int]) -> frozenset[str]:
    """Return the addresses of small gateways, from the cores of each (0: unknown, never small)."""
    limit = max(cores_millis.values(), default=0) * SMALL_SHARE
    return frozenset(address for address, cores in cores_millis.items() if 0 < cores < limit)


def sort_by_precedence(gateways: Iterable[GatewayInfo]) -> list[GatewayInfo]:
    """Return gateways in the order in which they are chosen as acting leader or relay."""
    return sorted(gateways, key=_get_precedence)


def list_preceding(gateways: Sequence[GatewayInfo], own: str) -> list[GatewayInfo]:
    """Return the gateways that come before the one at address `own`, in their order."""
    ordered = sort_by_precedence(gateways)
    addresses = [gateway.address for gateway in ordered]
    return ordered[: addresses.index(own)] if own in addresses else []


def _get_precedence(gateway: GatewayInfo) -> tuple[bool, str]:
    return gateway.is_small, gateway.address
