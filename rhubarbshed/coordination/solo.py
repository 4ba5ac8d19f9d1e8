"""Rounds with the table service that let a suspect run alone, once over all instances."""

from collections.abc import Callable

from attrs import define, evolve, field, frozen

from rhubarbshed.coordination.commits import CommitBatcher, CommitEnd, commit_confirmed
from rhubarbshed.coordination.quarantine import (
    SoloProceed,
    SoloRefused,
    SoloRow,
    make_solo_key,
    plan_solo,
    plan_solo_release,
    read_solo_row,
)
from rhubarbshed.protocol.quarantine import QuarantineEntry
from rhubarbshed.state.quarantine import QuarantineView

ROUNDS_MAX = 4

IsGone = Callable[[str, str], bool]


@frozen
class SoloRun:
    """Hold the right to run one suspect alone."""

    fingerprint: str
    write_id: str


@define
class SoloRuns:
    """Hold the rights of this instance that the table has not yet been told the end of."""

    ended: dict[str, SoloRun] = field(factory=dict)


async def claim_solo(
    table: CommitBatcher, view: QuarantineView, holder: SoloRow, is_gone: IsGone, now: float
) -> SoloRun | None:
    """Claim the right to run a suspect alone; None where it is held, refused or unreachable."""
    fingerprint = holder.entry.fingerprint
    row = (await table.read(make_solo_key(fingerprint))).value_or(None)
    for _ in range(ROUNDS_MAX):
        if row is None:
            return None
        present = read_solo_row(row, fingerprint)
        gone = bool(present.instance) and is_gone(present.instance, present.incarnation)
        entry = view.find_entry(fingerprint)
        plan = plan_solo(entry, row, holder, gone, view.settings.crashes_max)
        if isinstance(plan, SoloRefused):
            view.merge_entry(plan.entry, now)
        if not isinstance(plan, SoloProceed):
            return None
        result = await commit_confirmed(table, plan.transaction, holder.write_id)
        if result.end is CommitEnd.COMMITTED:
            return SoloRun(fingerprint, holder.write_id)
        row = result.row if result.end is CommitEnd.CONFLICT else None
    return None


async def release_solo(
    table: CommitBatcher, view: QuarantineView, runs: SoloRuns, run: SoloRun
) -> bool:
    """Tell the table how a solo run ended; what it cannot take now is kept for later."""
    runs.ended[run.write_id] = run
    key = make_solo_key(run.fingerprint)
    for _ in range(ROUNDS_MAX):
        row = (await table.read(key)).value_or(None)
        if row is None:
            return False
        entry = view.find_entry(run.fingerprint)
        plan = plan_solo_release(entry, row, run.write_id)
        if plan is None:
            break
        result = await commit_confirmed(table, plan, run.write_id)
        if result.end is CommitEnd.COMMITTED:
            break
        if result.end is not CommitEnd.CONFLICT:
            return False
    runs.ended.pop(run.write_id, None)
    return True


async def release_pending(table: CommitBatcher, view: QuarantineView, runs: SoloRuns) -> int:
    """Tell the table the ends it has not heard of, until one fails; return how many remain."""
    for run in list(runs.ended.values()):
        if not await release_solo(table, view, runs, run):
            break
    return len(runs.ended)


def make_holder(entry: QuarantineEntry, instance: str, incarnation: str, write_id: str) -> SoloRow:
    """Describe this instance as the holder of the right to a solo run."""
    return evolve(SoloRow(entry), instance=instance, incarnation=incarnation, write_id=write_id)
