"""Exceptions for broken invariants and invalid settings; all other errors are return values."""

from __future__ import annotations


class CottonlugError(Exception):
    """Base of every exception that cottonlug raises itself."""


class BrokenInvariantError(CottonlugError):
    """The program reached a state that its design rules out; the process must stop."""


class SettingsError(CottonlugError):
    """The settings cannot be used; the message lists every problem found."""
