"""Signals that a daemon receives before it has installed its handlers.

By default they end a process. They stay pending from the first line of the program on, and are
handled as soon as that is possible. Imported before anything else, hence without imports of the
package.
"""

from __future__ import annotations

import signal

HELD_SIGNALS = frozenset({signal.SIGHUP, signal.SIGUSR1})


def hold_signals() -> None:
    """Keep these signals pending until `release_signal` is called for each of them."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD_SIGNALS)


def release_signal(number: signal.Signals) -> None:
    """Deliver a signal from now on, and one that is pending at once; its handler is installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {number})
