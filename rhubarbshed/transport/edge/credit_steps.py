"""Steps of a request whose account has a limit: it takes credit, or is refused."""

import enum
import logging
import math

from rhubarbshed.coordination.serving.refusals import make_account_limit
from rhubarbshed.protocol.errors import RequestError
from rhubarbshed.transport.edge.account_credit import Refused
from rhubarbshed.transport.edge.allocators import PATIENCE_MIN_S
from rhubarbshed.transport.edge.request_progress import RequestProgress, Stage
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

PATIENCE_FRACTION = 0.5
"""Part of a route's target that a request may wait for credit."""


CHOICE_AGE_MAX_S = 0.01
"""Wait for credit after which a server is chosen again; a round trip takes 2 to 6 ms."""


class CreditStep(enum.Enum):
    """Whether a request may go on: at once, after a new choice of a server, or not."""

    PASSED = "passed"
    WAITED = "waited"


async def pass_account_limit(progress: RequestProgress, now: float) -> CreditStep | RequestError:
    """Take the credit for a request before it is sent for the first time.

    Credit that ended before any server ran the request is taken again: all of it has to be used in
    the window that it was granted for. After a wait a server has to be chosen again.
    """
    account = progress.account
    if account is None or account.limit is None or progress.relay.credit is None:
        return CreditStep.PASSED
    held = progress.credit
    if held is not None and (progress.tries.run > 0 or read_lease_clock() < held.expires_at):
        return CreditStep.PASSED
    progress.waits_for = Stage.CREDIT
    patience_s = max(PATIENCE_MIN_S, PATIENCE_FRACTION * progress.route.target_s)
    patience_s = min(patience_s, progress.deadline - now)
    cost = account.limit.measure_cost(progress.request)
    outcome = await progress.relay.credit.take(account, cost, patience_s)
    progress.waits_for = Stage.CHOICE
    if isinstance(outcome, Refused):
        return refuse_by_account(progress, cost, outcome)
    progress.credit = outcome
    return CreditStep.WAITED if outcome.waited_s > CHOICE_AGE_MAX_S else CreditStep.PASSED


def refuse_by_account(progress: RequestProgress, cost: float, refused: Refused) -> RequestError:
    """Log that a request is beyond its account's limit, and return the error."""
    account = progress.account
    error = make_account_limit(refused.retry_in_s, progress.relay.view.rng)
    age_s = refused.credit_age_s
    log_event(
        LOG,
        logging.INFO,
        "account_limited",
        request=progress.request.request_id,
        account=account.name,
        cost=round(cost, 1),
        unit=account.limit.unit.value,
        retry_after_s=round(error.retry_after_s, 3),
        source=refused.source.value,
        credit_age_s=round(age_s, 2) if math.isfinite(age_s) else "",
    )
    return error


def give_credit_back(progress: RequestProgress) -> None:
    """Give the credit of a request back that no server ran."""
    if progress.credit is None or progress.tries.run > 0 or progress.in_flight:
        return
    progress.relay.credit.give_back(progress.credit, read_lease_clock())
    progress.credit = None
