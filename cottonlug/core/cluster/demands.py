"""What the tasks of a batch demand of an upstream, and whether an upstream meets it now."""

from __future__ import annotations

from typing import NamedTuple

from .instances import Instance
from .model import Needs


class Demand(NamedTuple):
    """What an upstream must have for a task to start there."""

    needs: Needs
    label: str
    """Label of the upstream; empty if any will do."""


def meets_demand(instance: Instance, demand: Demand) -> bool:
    """Return whether a task with this demand may fit an instance that accepts work."""
    if demand.label and demand.label not in instance.info.labels:
        return False
    if instance.is_on_probation and instance.runs:
        return False
    return instance.has_free_capacity(demand.needs)
