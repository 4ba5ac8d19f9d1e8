"""Daemon whose event loop does not run for `LATE_S` after SIGUSR1, and whose end takes `END_S`.

A program of tests.
"""

import atexit
import signal
import time

from rhubarbshed import daemon

LATE_S = 1.5
END_S = 0.5


def end_late() -> None:
    """Hold up the end of the process, once its event loop has ended."""
    print("ending", flush=True)
    time.sleep(END_S)


def main() -> None:
    """Run the daemon's command line."""
    signal.signal(signal.SIGUSR1, lambda *_: time.sleep(LATE_S))
    atexit.register(end_late)
    daemon.main()


if __name__ == "__main__":
    main()
