"""Daemon of one instance on the users' platform."""

import sys

from rhubarbshed.transport.start_signals import note_signals


def main() -> None:
    """Run the daemon with the settings file that the environment names."""
    noted = note_signals()
    # Imported once signals are noted, as that takes a tenth of a second.
    from rhubarbshed.transport.startup import start

    sys.exit(start(noted))


if __name__ == "__main__":
    main()
