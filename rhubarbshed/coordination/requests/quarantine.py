"""Quarantine of requests that crash backend servers: first run isolated, then refused."""

from attrs import evolve, frozen

from rhubarbshed.protocol.codec import from_stored, to_plain
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.quarantine import QuarantineEntry, merge_entries
from rhubarbshed.protocol.tables import Check, Row, Transaction, Write

UNPROCESSABLE = 422
ROW_PREFIX = "quarantine/"
LOST_RUNS_MAX = 1


def describe_refused(fingerprint: str) -> RequestError:
    """Return the error of a request refused permanently as it crashes backend servers."""
    return RequestError(
        status=UNPROCESSABLE,
        code="quarantined",
        message=f"this request crashed backend servers and is refused ({fingerprint})",
        outcome=Outcome.FAILED,
    )


@frozen
class IsolatedRunRow:
    """Claim to the isolated run of one suspect; `instance` is empty while nobody holds it.

    `lost_runs` counts holders whose session ended before they recorded how the run ended.
    """

    entry: QuarantineEntry
    instance: str = ""
    incarnation: str = ""
    write_id: str = ""
    lost_runs: int = 0


@frozen
class IsolatedRunProceed:
    """Decision to run the suspect isolated once the transaction is committed."""

    transaction: Transaction
    row: IsolatedRunRow


@frozen
class IsolatedRunBusy:
    """Refusal while another copy runs isolated; to be retried later."""


@frozen
class IsolatedRunRefused:
    """Refusal of a fingerprint that the table shows to be refused permanently."""

    entry: QuarantineEntry


IsolatedRunDecision = IsolatedRunProceed | IsolatedRunBusy | IsolatedRunRefused


def make_isolation_key(fingerprint: str) -> str:
    """Return the key of the row that guards one fingerprint."""
    return ROW_PREFIX + fingerprint


def read_isolation_row(row: Row, fingerprint: str) -> IsolatedRunRow | None:
    """Return a row's value, an empty one if there is none, None if it cannot be read."""
    if row.value is None:
        return IsolatedRunRow(QuarantineEntry(fingerprint))
    return from_stored(row.value, IsolatedRunRow).value_or(None)


def plan_isolation(
    known: QuarantineEntry,
    row: Row,
    holder: IsolatedRunRow,
    holder_is_gone: bool,
    crashes_max: int,
) -> IsolatedRunDecision:
    """Decide whether a suspect may run isolated now, given its row of the table.

    `holder` is the row with this instance as holder. `holder_is_gone` is whether the session of
    the row's present holder has ended.
    """
    present = read_isolation_row(row, known.fingerprint)
    if present is None:
        return IsolatedRunBusy()
    entry = merge_entries(present.entry, known)
    if entry.refused or len(entry.open_crashes) >= crashes_max:
        return IsolatedRunRefused(evolve(entry, refused=True))
    is_held = bool(present.instance) and present.write_id != holder.write_id
    if is_held and not holder_is_gone:
        return IsolatedRunBusy()
    lost_runs = present.lost_runs + int(is_held)
    if lost_runs > LOST_RUNS_MAX:
        return IsolatedRunRefused(evolve(entry, refused=True))
    claimed = evolve(holder, entry=entry, lost_runs=lost_runs)
    return IsolatedRunProceed(_make_transaction(row, claimed), claimed)


def plan_isolation_release(known: QuarantineEntry, row: Row, write_id: str) -> Transaction | None:
    """Return the transaction that records how an isolated run ended; None if none is due.

    A row that another instance claimed or that cannot be read is left unchanged. A claim whose
    answer was lost may still be committed; writing a row that nobody holds makes its check fail.
    """
    present = read_isolation_row(row, known.fingerprint)
    if present is None or (present.instance and present.write_id != write_id):
        return None
    return _make_transaction(row, IsolatedRunRow(merge_entries(present.entry, known)))


def _make_transaction(row: Row, value: IsolatedRunRow) -> Transaction:
    return Transaction((Check(row.key, row.version),), (Write(row.key, to_plain(value)),))
