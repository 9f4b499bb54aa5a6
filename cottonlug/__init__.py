"""Dispatcher for short tasks: each starts at most once, and each job gets a complete answer."""

from __future__ import annotations

__version__ = "0.1.0"
