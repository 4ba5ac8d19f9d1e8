"""Daemon of one instance on the users' platform."""

import asyncio
import gc
import os
import sys

from returns.result import Failure

from rhubarbshed.util.bounded_logs import start_bounded_logging
from rhubarbshed.util.front import FrontSettings

SETTINGS_VARIABLE = "RHUBARBSHED_SETTINGS"
EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Run the daemon with the settings file that the environment names."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    read = FrontSettings.from_file(path)
    if isinstance(read, Failure):
        print(f"rhubarbshed-front: {'; '.join(read.failure())}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    settings = read.unwrap()
    handler = start_bounded_logging(settings.log_level)
    # What modules define lives as long as the process; collecting it delays the start by a tenth.
    gc.disable()
    from rhubarbshed.transport.edge.node import Node

    gc.freeze()
    gc.enable()
    code = asyncio.run(Node.from_settings(settings, path).run())
    handler.flush()
    sys.exit(code)


if __name__ == "__main__":
    main()
