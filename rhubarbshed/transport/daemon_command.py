"""Command line of the daemon: settings, the event loop, the end of the process."""

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Mapping
from typing import NoReturn

import typer
from returns.result import Failure

from rhubarbshed.transport.exit_codes import EXIT_BAD_SETTINGS, EXIT_CUT_OFF, EXIT_OK
from rhubarbshed.transport.instance import run_instance
from rhubarbshed.transport.start_signals import block_signals, find_stop, note_signals
from rhubarbshed.util.logs import log_event, start_logging
from rhubarbshed.util.settings import Settings

LOG = logging.getLogger(__name__)
# Worker threads copy streams while the event loop decides; with the interpreter's default of 5 ms
# each decision would wait for several of them.
SWITCH_INTERVAL_S = 0.0005

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    context: typer.Context, settings: str = typer.Option(..., help="Settings file (INI).")
) -> None:
    """Run an instance until SIGTERM, which drains it; a second signal ends open requests."""
    result = Settings.from_file(settings, os.environ)
    if isinstance(result, Failure):
        for error in result.failure():
            print(f"rhubarbshedd: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    start_logging(result.unwrap().log.level)
    logging.getLogger("cherrypy").setLevel(logging.WARNING)
    code = run_until_stopped(result.unwrap(), context.obj)
    if code == EXIT_CUT_OFF:
        exit_at_once(code)
    sys.exit(code)


def run_until_stopped(settings: Settings, noted: Mapping[signal.Signals, float]) -> int:
    """Run the event loop until the instance has stopped; return its exit code.

    `noted` are the signals since the start of the process, and gets those to come.
    """
    if find_stop(noted) is not None:
        log_event(LOG, logging.INFO, "stopped_before_listening", instance=settings.instance.name)
        return EXIT_OK
    with asyncio.Runner() as runner:
        code = runner.run(run_instance(settings, noted))
        block_signals()
    # The closed loop has restored the default actions, and other threads take signals too.
    note_signals()
    return code


def exit_at_once(code: int) -> NoReturn:
    """End the process without waiting for threads that still write to slow callers."""
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
