"""Quarantine of requests that crash backend servers: suspects run alone, then are refused."""

import json

import xxhash
from attrs import evolve, frozen

from rhubarbshed.protocol.codec import from_stored, to_plain
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.quarantine import QuarantineEntry, merge_entries
from rhubarbshed.protocol.tables import Check, Row, Transaction, Write

UNPROCESSABLE = 422
ROW_PREFIX = "quarantine/"
LOST_RUNS_MAX = 1


def compute_fingerprint(target: str, body: bytes) -> str:
    """Return the fingerprint of a request; JSON bodies that differ in layout alone are equal."""
    try:
        canonical = json.dumps(json.loads(body), sort_keys=True, separators=(",", ":")).encode()
    except (ValueError, RecursionError):
        canonical = body
    return xxhash.xxh3_128_hexdigest(target.encode() + b"\0" + canonical)


def describe_refused(fingerprint: str) -> RequestError:
    """Describe a request that is refused for good because it crashes backend servers."""
    return RequestError(
        status=UNPROCESSABLE,
        code="quarantined",
        message=f"this request crashed backend servers and is refused ({fingerprint})",
        outcome=Outcome.FAILED,
    )


@frozen
class IsolatedRunRow:
    """Hold the right to run one suspect alone; `instance` is empty while nobody has it.

    `lost_runs` counts holders whose session ended before they told how the run went.
    """

    entry: QuarantineEntry
    instance: str = ""
    incarnation: str = ""
    write_id: str = ""
    lost_runs: int = 0


@frozen
class IsolatedRunProceed:
    """Run the suspect alone once the transaction is committed."""

    transaction: Transaction
    row: IsolatedRunRow


@frozen
class IsolatedRunBusy:
    """Another copy runs alone at present; come back later."""


@frozen
class IsolatedRunRefused:
    """The table tells that the fingerprint is refused for good."""

    entry: QuarantineEntry


IsolatedRunDecision = IsolatedRunProceed | IsolatedRunBusy | IsolatedRunRefused


def make_isolation_key(fingerprint: str) -> str:
    """Return the key of the row that guards one fingerprint."""
    return ROW_PREFIX + fingerprint


def read_isolation_row(row: Row, fingerprint: str) -> IsolatedRunRow | None:
    """Return a row's value, an empty one where there is none, None where it cannot be read."""
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
    """Decide whether a suspect may run alone now, given its row of the table.

    `holder` is this instance as it would stand in the row. `holder_is_gone` tells whether the
    session of the row's present holder has ended.
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
    """Return the transaction that tells how a solo run ended; None where there is none to write.

    A row that was taken or cannot be read stays. A claim whose answer was lost may still take
    effect; writing over a row that nobody holds makes it fail its check.
    """
    present = read_isolation_row(row, known.fingerprint)
    if present is None or (present.instance and present.write_id != write_id):
        return None
    return _make_transaction(row, IsolatedRunRow(merge_entries(present.entry, known)))


def _make_transaction(row: Row, value: IsolatedRunRow) -> Transaction:
    return Transaction((Check(row.key, row.version),), (Write(row.key, to_plain(value)),))
