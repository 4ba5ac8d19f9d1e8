"""Table transactions that claim non-idempotent requests and record how they ended."""

import logging
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, field, frozen

from rhubarbshed.coordination.agreement.commits import (
    ROUNDS_MAX,
    CommitBatcher,
    CommitEnd,
    commit_confirmed,
    commit_planned,
)
from rhubarbshed.coordination.requests.claims import (
    ClaimHeld,
    ClaimProceed,
    ClaimRefused,
    ClaimReplay,
    ClaimRequest,
    describe_table_unavailable,
    plan_claim,
    plan_settlement,
    read_claim,
)
from rhubarbshed.protocol.claims import ClaimState, StoredAnswer
from rhubarbshed.protocol.tables import Row, Transaction

log = logging.getLogger(__name__)

PENDING_MAX = 2_000

IsGone = Callable[[str, str], bool]
ClaimAnswer = ClaimHeld | ClaimReplay | ClaimRefused


@frozen
class Settlement:
    """Outcome of a claimed request, as it is to be written to its row."""

    claim_request: ClaimRequest
    state: ClaimState
    answer: StoredAnswer | None = None


@define
class Settlements:
    """Settlements that could not be written to the table yet, oldest first.

    A dropped one leaves its row claimed, which counts as unknown once this instance is gone.
    """

    pending: OrderedDict[str, Settlement] = field(factory=OrderedDict)

    def add(self, settlement: Settlement) -> None:
        """Keep a settlement to be written later."""
        self.pending[settlement.claim_request.write_id] = settlement
        while len(self.pending) > PENDING_MAX:
            write_id, _ = self.pending.popitem(last=False)
            log.error("event=settlement_dropped write_id=%s", write_id)


async def claim(
    table: CommitBatcher,
    settlements: Settlements,
    claim_request: ClaimRequest,
    is_gone: IsGone,
    retry_after_s: float,
) -> ClaimAnswer:
    """Claim a request, or return what its caller gets instead.

    `is_gone(instance, incarnation)` returns whether that instance's session has ended. The first
    transaction expects no row, so a new key costs one write and no read.
    """
    row = Row(claim_request.key, 0)
    for _ in range(ROUNDS_MAX):
        plan = plan_claim(claim_request, row, _find_gone(row, is_gone), retry_after_s)
        if isinstance(plan, ClaimReplay):
            return plan
        if isinstance(plan, ClaimRefused) and plan.transaction is None:
            return plan
        result = await commit_confirmed(table, plan.transaction, claim_request.write_id)
        if result.end is CommitEnd.COMMITTED:
            return await _confirm(table, claim_request, plan, result.row, is_gone, retry_after_s)
        if result.end is CommitEnd.CONFLICT and result.row is not None:
            row = result.row
            continue
        if result.end is CommitEnd.OUTCOME_UNKNOWN and isinstance(plan, ClaimProceed):
            settlements.add(Settlement(claim_request, ClaimState.NOT_RUN))
            log.warning(
                "event=claim_unsure key=%s write_id=%s", claim_request.key, claim_request.write_id
            )
        return _refuse_unconfirmed(plan, retry_after_s)
    return ClaimRefused(describe_table_unavailable(retry_after_s))


async def _confirm(
    table: CommitBatcher,
    claim_request: ClaimRequest,
    plan: ClaimProceed | ClaimRefused,
    row: Row | None,
    is_gone: IsGone,
    retry_after_s: float,
) -> ClaimAnswer:
    """Return the result of a committed plan; a row read back may have changed state since."""
    if isinstance(plan, ClaimRefused):
        return plan
    present = read_claim(row) if row is not None else None
    if present is None or present.state is ClaimState.CLAIMED:
        return ClaimHeld(claim_request)
    again = plan_claim(claim_request, row, _find_gone(row, is_gone), retry_after_s)
    return (
        again if not isinstance(again, ClaimProceed) else _refuse_unconfirmed(again, retry_after_s)
    )


def _refuse_unconfirmed(plan: ClaimProceed | ClaimRefused, retry_after_s: float) -> ClaimRefused:
    """Return the answer if the table fails; an unknown outcome stays unknown."""
    if isinstance(plan, ClaimRefused):
        return ClaimRefused(plan.error)
    return ClaimRefused(describe_table_unavailable(retry_after_s))


def _find_gone(row: Row, is_gone: IsGone) -> bool:
    present = read_claim(row)
    return present is not None and is_gone(present.instance, present.incarnation)


async def settle(table: CommitBatcher, settlements: Settlements, settlement: Settlement) -> bool:
    """Write how a claimed request ended; if the table fails, this is kept for later."""
    is_settled = await _try_settle(table, settlement)
    if is_settled:
        settlements.pending.pop(settlement.claim_request.write_id, None)
    else:
        settlements.add(settlement)
    return is_settled


async def settle_pending(
    table: CommitBatcher, settlements: Settlements, most: int = PENDING_MAX
) -> int:
    """Retry kept settlements, oldest first, until one fails; return the number written.

    `most` limits how many are tried.
    """
    written = 0
    for settlement in list(settlements.pending.values())[:most]:
        if not await settle(table, settlements, settlement):
            break
        written += 1
    return written


async def _try_settle(table: CommitBatcher, settlement: Settlement) -> bool:
    claim_request = settlement.claim_request

    def plan(row: Row) -> Transaction | None:
        return plan_settlement(claim_request, row, settlement.state, settlement.answer)

    return await commit_planned(table, claim_request.key, plan, claim_request.write_id)
