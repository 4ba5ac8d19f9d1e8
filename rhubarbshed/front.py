"""Daemon of one instance on the users' platform."""

import sys

from rhubarbshed.transport.start_signals import block_signals, note_signals


def main() -> None:
    """Run the daemon with the settings file that the environment names."""
    noted = note_signals()
    # Imported once signals are noted, as that takes a tenth of a second.
    from rhubarbshed.transport.startup import start

    code = start(noted)
    block_signals()
    sys.exit(code)


if __name__ == "__main__":
    main()
