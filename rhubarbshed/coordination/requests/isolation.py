"""Table transactions that let only one instance at a time run a suspect, isolated."""

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
from rhubarbshed.coordination.requests.quarantine import (
    IsolatedRunBusy,
    IsolatedRunRefused,
    IsolatedRunRow,
    make_isolation_key,
    plan_isolation,
    plan_isolation_release,
    read_isolation_row,
)
from rhubarbshed.protocol.quarantine import QuarantineEntry

log = logging.getLogger(__name__)

PENDING_MAX = 1_000

IsGone = Callable[[str, str], bool]


@frozen
class IsolatedRunHeld:
    """Confirmed claim to an isolated run; `entry` has all crashes known of the suspect."""

    entry: QuarantineEntry


@frozen
class IsolatedRunUnavailable:
    """Claim that the table did not confirm, so that the suspect must not run."""


IsolatedRunAnswer = IsolatedRunHeld | IsolatedRunBusy | IsolatedRunRefused | IsolatedRunUnavailable


@frozen
class IsolatedRunHolder:
    """Instance that asks for a claim; `write_id` is unique to the claim."""

    instance: str
    incarnation: str
    write_id: str


@define
class IsolatedRunReleases:
    """Claims to be released once the table answers again, by `write_id`."""

    pending: OrderedDict[str, QuarantineEntry] = field(factory=OrderedDict)

    def add(self, write_id: str, entry: QuarantineEntry) -> None:
        """Keep a release for later; one that is dropped ends with this instance's session."""
        self.pending[write_id] = entry
        while len(self.pending) > PENDING_MAX:
            self.pending.popitem(last=False)


async def claim_isolation(
    table: CommitBatcher,
    releases: IsolatedRunReleases,
    known: QuarantineEntry,
    holder: IsolatedRunHolder,
    is_gone: IsGone,
    crashes_max: int,
) -> IsolatedRunAnswer:
    """Claim the isolated run of a suspect; without the table it does not run."""
    row = (await table.read(make_isolation_key(known.fingerprint))).value_or(None)
    claim = IsolatedRunRow(known, holder.instance, holder.incarnation, holder.write_id)
    for _ in range(ROUNDS_MAX):
        if row is None:
            return IsolatedRunUnavailable()
        present = read_isolation_row(row, known.fingerprint)
        if present is None:
            return IsolatedRunBusy()
        holder_is_gone = bool(present.instance) and is_gone(present.instance, present.incarnation)
        plan = plan_isolation(known, row, claim, holder_is_gone, crashes_max)
        if isinstance(plan, IsolatedRunBusy | IsolatedRunRefused):
            return plan
        result = await commit_confirmed(table, plan.transaction, holder.write_id)
        if result.end is CommitEnd.COMMITTED:
            return IsolatedRunHeld(plan.row.entry)
        if result.end is CommitEnd.OUTCOME_UNKNOWN:
            releases.add(holder.write_id, known)
        row = result.row
    return IsolatedRunUnavailable()


async def release_isolation(
    table: CommitBatcher, releases: IsolatedRunReleases, known: QuarantineEntry, write_id: str
) -> bool:
    """Release a claim and write what the run showed; kept for later if the table fails."""
    is_released = await _try_release(table, known, write_id)
    if is_released:
        releases.pending.pop(write_id, None)
    else:
        releases.add(write_id, known)
    return is_released


async def release_pending(
    table: CommitBatcher, releases: IsolatedRunReleases, most: int = PENDING_MAX
) -> int:
    """Retry kept releases, oldest first, until one fails; return the number written.

    `most` limits how many are tried.
    """
    written = 0
    for write_id, known in list(releases.pending.items())[:most]:
        if not await release_isolation(table, releases, known, write_id):
            break
        written += 1
    return written


async def _try_release(table: CommitBatcher, known: QuarantineEntry, write_id: str) -> bool:
    key = make_isolation_key(known.fingerprint)
    return await commit_planned(
        table, key, lambda row: plan_isolation_release(known, row, write_id), write_id
    )
