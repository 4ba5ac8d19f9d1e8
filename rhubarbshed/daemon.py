"""Daemon of one instance, configured from a settings file."""

from rhubarbshed.transport.start_signals import note_signals


def main() -> None:
    """Run the daemon's command line."""
    noted = note_signals()
    # Imported once signals are noted, as that takes most of a second.
    from rhubarbshed.transport.daemon_command import app

    app(obj=noted)


if __name__ == "__main__":
    main()
