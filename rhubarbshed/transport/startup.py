"""Start of an instance: settings, the callers' socket, the rest of the program."""

import gc
import importlib
import logging
import os
import signal
import socket
import sys
from collections.abc import Mapping

from returns.result import Failure

from rhubarbshed.transport.early_listener import open_listener, refuse_waiting
from rhubarbshed.transport.exit_codes import EXIT_BAD_SETTINGS, EXIT_OK, EXIT_START_FAILED
from rhubarbshed.transport.start_signals import block_signals, find_stop
from rhubarbshed.util.bounded_logs import start_bounded_logging
from rhubarbshed.util.front import FrontSettings
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

SETTINGS_VARIABLE = "RHUBARBSHED_SETTINGS"
STANDARD_STREAMS = (0, 1, 2)
"""File descriptors of standard input, output and error."""

LOADED_BEFORE_LISTENING = "rhubarbshed.transport.edge.attempts"
"""Module that brings in half of the program; callers do not wait for the time that this half takes,
which on a small instance is longer than their targets."""


def start(noted: Mapping[signal.Signals, float]) -> int:
    """Read the settings that the environment names, run an instance, and return its exit code.

    `noted` are the signals since the start of the process, and gets those to come.
    """
    open_closed_streams()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    read = FrontSettings.from_file(path)
    if isinstance(read, Failure):
        print(f"rhubarbshed-front: {'; '.join(read.failure())}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = read.unwrap()
    handler = start_bounded_logging(settings.log_level)
    code = listen_and_run(settings, path, noted)
    handler.flush()
    return code


def open_closed_streams() -> None:
    """Open the null device in place of closed standard streams, or sockets get their numbers."""
    for descriptor in STANDARD_STREAMS:
        try:
            os.fstat(descriptor)
        except OSError:
            # It gets the lowest number that is free.
            os.open(os.devnull, os.O_RDWR)


def listen_and_run(
    settings: FrontSettings, path: str, noted: Mapping[signal.Signals, float]
) -> int:
    """Open the callers' socket half way through loading, run the instance, return its exit code.

    Whoever waits at the socket is refused if the instance ends without accepting it.
    """
    # What modules define lives as long as the process; collecting it delays the start by a tenth.
    gc.disable()
    importlib.import_module(LOADED_BEFORE_LISTENING)
    if find_stop(noted) is not None:
        log_event(LOG, logging.INFO, "stopped_before_listening", instance=settings.name)
        return EXIT_OK
    listener = open_listener(settings.callers)
    if listener is not None:
        log_event(LOG, logging.INFO, "listening", instance=settings.name)
    try:
        return run_node(settings, path, noted, listener)
    except Exception:
        LOG.critical("event=defect", exc_info=True)
        return EXIT_START_FAILED
    finally:
        # A drain has closed it; it is open here only behind a start or drain that failed.
        if listener is not None:
            refuse_waiting(listener)


def run_node(
    settings: FrontSettings,
    path: str,
    noted: Mapping[signal.Signals, float],
    listener: socket.socket | None,
) -> int:
    """Load the rest of the program, and run the event loop until the instance has stopped.

    `listener` is the callers' socket if it could be opened early.
    """
    import asyncio

    from rhubarbshed.transport.edge.node import Node

    gc.freeze()
    gc.enable()
    node = Node.from_settings(settings, path)
    node.noted_signals = noted
    node.early_listener = listener
    with asyncio.Runner() as runner:
        try:
            return runner.run(node.run())
        finally:
            block_signals()
