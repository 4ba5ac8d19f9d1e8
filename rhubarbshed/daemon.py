"""Run one instance, wired from settings."""


def main() -> None:
    """Start the daemon."""
