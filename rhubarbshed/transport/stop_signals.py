"""Signals that stop an instance."""

import asyncio
import signal
import time
from collections.abc import Callable, Mapping

from rhubarbshed.coordination.requests.drain import Drain
from rhubarbshed.transport.start_signals import STOP_SIGNALS, find_stop


def handle_stop_signals(
    drain: Drain,
    on_stop: Callable[[], None],
    noted: Mapping[signal.Signals, float],
) -> None:
    """Start a drain as a signal arrives, and call `on_stop` as the event loop comes to it.

    `noted` are the signals that came before; a stop among them has started the drain then.
    """
    loop = asyncio.get_running_loop()

    # No bound method: the signal module prints handlers, and that would print the instance.
    def start_drain(*_: object) -> None:
        """Start the drain, from which its times count; called between any two instructions."""
        drain.start(time.monotonic())

    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, on_stop)
        # The event loop may be late. It is still notified: it has set the wakeup descriptor.
        signal.signal(number, start_drain)
        signal.siginterrupt(number, False)
    stop_at = find_stop(noted)
    if stop_at is not None:
        drain.start(stop_at)
        on_stop()
