"""Daemon of one instance on the users' platform."""

import gc
import importlib
import logging
import os
import sys
import time

from returns.result import Failure

from rhubarbshed.transport.early_listener import open_listener
from rhubarbshed.util.bounded_logs import start_bounded_logging
from rhubarbshed.util.front import FrontSettings
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

SETTINGS_VARIABLE = "RHUBARBSHED_SETTINGS"
EXIT_BAD_SETTINGS = 2

LOADED_BEFORE_LISTENING = "rhubarbshed.transport.edge.attempts"
"""Module that brings in half of the program; callers do not wait for the time that this half takes,
which on a small instance is longer than their targets."""


def main() -> None:
    """Run the daemon with the settings file that the environment names."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    read = FrontSettings.from_file(path)
    if isinstance(read, Failure):
        print(f"rhubarbshed-front: {'; '.join(read.failure())}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    settings = read.unwrap()
    handler = start_bounded_logging(settings.log_level)
    code = run(settings, path)
    handler.flush()
    sys.exit(code)


def run(settings: FrontSettings, path: str) -> int:
    """Load the program and run it until it is stopped; return its exit code."""
    # What modules define lives as long as the process; collecting it delays the start by a tenth.
    gc.disable()
    importlib.import_module(LOADED_BEFORE_LISTENING)
    listener, opened_at = open_listener(settings.callers), time.monotonic()
    if listener is not None:
        log_event(LOG, logging.INFO, "listening", instance=settings.name)
    import asyncio

    from rhubarbshed.transport.edge.node import Node

    gc.freeze()
    gc.enable()
    node = Node.from_settings(settings, path)
    if listener is not None:
        node.early_listener, node.opened_at = listener, opened_at
    return asyncio.run(node.run())


if __name__ == "__main__":
    main()
