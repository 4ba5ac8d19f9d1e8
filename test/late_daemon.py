"""Daemon whose event loop does not run for `LATE_S` after SIGUSR1; a program of tests."""

import signal
import time

from rhubarbshed import daemon

LATE_S = 1.5


def main() -> None:
    """Run the daemon's command line."""
    signal.signal(signal.SIGUSR1, lambda *_: time.sleep(LATE_S))
    daemon.main()


if __name__ == "__main__":
    main()
