"""Signals that arrive before the event loop handles them."""

import signal
import time
from collections.abc import Mapping

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
NOTED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
"""Signals that ask for a stop, and all whose default action would end a process that callers are
connected to."""


def note_signals() -> dict[signal.Signals, float]:
    """Replace the signals' default actions; return when each came first (monotonic seconds).

    The result is filled in as signals arrive. Whoever installs other handlers reads it afterwards.
    """
    noted: dict[signal.Signals, float] = {}

    def note(number: int, _: object) -> None:
        """Note the time of a signal; called between any two instructions."""
        noted.setdefault(signal.Signals(number), time.monotonic())

    for each in NOTED_SIGNALS:
        signal.signal(each, note)
        signal.siginterrupt(each, False)
    return noted


def find_stop(noted: Mapping[signal.Signals, float]) -> float | None:
    """Return when a stop was first asked for (monotonic seconds), None if none was."""
    # A copy in one step, as a signal adds to it between any two.
    stops = [at for number, at in list(noted.items()) if number in STOP_SIGNALS]
    return min(stops, default=None)


def block_signals() -> None:
    """Hold signals back until the process ends.

    An event loop that is closed restores their default actions, and so does the interpreter's end.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, NOTED_SIGNALS)
