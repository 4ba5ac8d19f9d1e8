"""Daemon of one instance, configured from a settings file."""

import asyncio
import logging
import os
import signal
import sys
from typing import NoReturn

import typer
from returns.result import Failure

from rhubarbshed.transport.instance import EXIT_CUT_OFF, run_instance
from rhubarbshed.util.logs import start_logging
from rhubarbshed.util.settings import Settings

EXIT_BAD_SETTINGS = 2
# Worker threads copy streams while the event loop decides; with the interpreter's default of 5 ms
# each decision would wait for several of them.
SWITCH_INTERVAL_S = 0.0005

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(settings: str = typer.Option(..., help="Settings file (INI).")) -> None:
    """Run an instance until SIGTERM, which drains it; a second signal ends open requests."""
    result = Settings.from_file(settings, os.environ)
    if isinstance(result, Failure):
        for error in result.failure():
            print(f"rhubarbshedd: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    start_logging(result.unwrap().log.level)
    logging.getLogger("cherrypy").setLevel(logging.WARNING)
    code = asyncio.run(run_instance(result.unwrap(), (signal.SIGTERM, signal.SIGINT)))
    if code == EXIT_CUT_OFF:
        exit_at_once(code)
    sys.exit(code)


def exit_at_once(code: int) -> NoReturn:
    """End the process without waiting for threads that still write to slow callers."""
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def main() -> None:
    """Run the daemon's command line."""
    app()


if __name__ == "__main__":
    main()
