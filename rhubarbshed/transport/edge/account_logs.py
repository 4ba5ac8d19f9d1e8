"""Log lines on the client accounts of a configuration."""

import logging
from collections.abc import Callable

from rhubarbshed.protocol.routes import Configuration
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

PROBLEMS_LOGGED_MAX = 32
"""Most accounts of a configuration that cannot be read that are logged one by one."""


def report_accounts(configuration: Configuration, count: Callable[[str, str], None]) -> None:
    """Count and log what cannot be read of the accounts of a new configuration."""
    problems = configuration.accounts.problems if configuration.accounts is not None else ()
    for number, problem in enumerate(problems):
        count(problem.name, problem.reason)
        if number < PROBLEMS_LOGGED_MAX:
            log_event(
                LOG,
                logging.WARNING,
                "account_unreadable",
                account=problem.name,
                reason=problem.reason,
                effect=problem.effect,
                configuration=configuration.version,
                problems=len(problems),
            )
