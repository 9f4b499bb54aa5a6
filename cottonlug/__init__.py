"""Cottonlug dispatches short tasks: each starts at most once, each answer is whole."""

from __future__ import annotations

__version__ = "0.1.0"
