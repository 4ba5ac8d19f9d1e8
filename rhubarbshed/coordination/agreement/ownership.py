"""Sessions of instances, and ownership of the backend servers of a data centre."""

import logging
from collections.abc import Callable, Iterable

from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.agreement.transactions import Proposal, Rows, TableAccess, transact
from rhubarbshed.protocol.codec import from_stored, to_plain
from rhubarbshed.protocol.tables import Row, TableError, TableFault, Write
from rhubarbshed.state.agreement.leases import NO_HOLDER, Holder, Leases, Ownership, Session
from rhubarbshed.state.placement.ledger import (
    EntryState,
    Ledger,
    LedgerError,
    LedgerFault,
    change_owner,
    decode_ledger,
    encode_ledger,
    forget_holders,
    release_owner,
)
from rhubarbshed.util.rendezvous import rank_by_rendezvous

LOG = logging.getLogger(__name__)

SESSION_PREFIX = "session/"
BACKEND_PREFIX = "backend/"
TAKEOVERS_PER_ROUND_MAX = 8
RELEASES_PER_ROUND_MAX = 1

Clock = Callable[[], float]


@frozen
class OwnershipChange:
    """Result of one round: changes, ledgers of the servers owned after it, and sessions read."""

    taken: tuple[str, ...] = ()
    released: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    ledgers: tuple[Ledger, ...] = ()
    sessions: tuple[Session, ...] = ()


def make_session_key(instance: str) -> str:
    """Return the table key of an instance's session."""
    return f"{SESSION_PREFIX}{instance}"


def make_backend_key(backend_server: str) -> str:
    """Return the table key of a backend server."""
    return f"{BACKEND_PREFIX}{backend_server}"


def choose_owner(backend_server: str, instances: Iterable[str]) -> str:
    """Choose an instance by rendezvous hashing, the same on every instance for the same input."""
    return rank_by_rendezvous(backend_server, instances)[0]


def decode_session(row: Row) -> Result[Session | None, str]:
    """Return the session stored in a row, None where there is none."""
    if row.value is None:
        return Success(None)
    return from_stored(row.value, Session)


def plan_renewal(
    rows: Rows, own: Holder, renewals: int, leaving: bool
) -> Result[Proposal, LedgerError]:
    """Plan the renewal of the own session; refused once a later run has replaced it.

    A row that cannot be decoded belongs to another run, which the first renewal replaces.
    """
    row = rows.get(make_session_key(own.instance))
    session = decode_session(row).value_or(None)
    if renewals > 0 and (session is None or session.holder != own):
        return Failure(LedgerError(LedgerFault.NOT_OWNER, "another run holds the session"))
    counter = 1 if session is None else session.counter + 1
    value = to_plain(Session(own, counter, leaving))
    return Success(Proposal(None, (Write(row.key, value),)))


async def renew_session(
    access: TableAccess, leases: Leases, clock: Clock, leaving: bool = False
) -> Result[None, LedgerError | TableError]:
    """Renew the own session once; costs one read and one write."""
    sent_at = clock()
    renewals = leases.renewals
    answer = await transact(
        access,
        (make_session_key(leases.own.instance),),
        lambda rows: plan_renewal(rows, leases.own, renewals, leaving),
    )
    if isinstance(answer, Success):
        leases.confirm(sent_at, clock())
        return answer
    if isinstance(answer.failure(), LedgerError):
        LOG.error("event=session_replaced instance=%s", leases.own.instance)
        leases.lose()
    return answer


def observe_holder(leases: Leases, holder: Holder, row: Row, now: float) -> None:
    """Record the session row of a holder's instance.

    A later run's session shows that the holder can no longer renew, whatever the row's version.
    A row that cannot be decoded might be the holder's, so each change of it counts as a renewal.
    """
    session = decode_session(row)
    is_own = session.map(lambda found: found is not None and found.holder == holder)
    leases.observe(holder, row.version if is_own.value_or(True) else 0, now)


def plan_takeover(
    rows: Rows, backend_server: str, expected: Holder, leases: Leases, now: float
) -> Result[Proposal, LedgerError]:
    """Plan to take over a backend server from a holder whose lease has lapsed.

    The session row is among those checked, so a renewal between the last read and the commit
    causes a conflict.
    """
    row = rows.get(make_backend_key(backend_server))
    decoded = decode_ledger(backend_server, row.value)
    if isinstance(decoded, Failure):
        return decoded
    ledger = decoded.unwrap()
    if ledger.owner == leases.own:
        return Success(Proposal(ledger))
    if ledger.owner != expected:
        return Failure(LedgerError(LedgerFault.NOT_OWNER, ledger.owner.instance))
    if expected != NO_HOLDER:
        observe_holder(leases, expected, rows.get(make_session_key(expected.instance)), now)
    if not leases.is_lapsed(expected, now) or not leases.is_held(now):
        return Failure(LedgerError(LedgerFault.NOT_OWNER, expected.instance))
    taken = change_owner(ledger, leases.own)
    return Success(Proposal(taken, (Write(row.key, encode_ledger(taken)),)))


async def take_over_server(
    access: TableAccess, leases: Leases, backend_server: str, expected: Holder, clock: Clock
) -> Result[Ledger, LedgerError | TableError]:
    """Take over a backend server; costs one read and one write."""
    held_until = leases.held_until
    keys: tuple[str, ...] = (make_backend_key(backend_server),)
    if expected != NO_HOLDER:
        keys += (make_session_key(expected.instance),)
    answer = await transact(
        access, keys, lambda rows: plan_takeover(rows, backend_server, expected, leases, clock())
    )
    if isinstance(answer, Success):
        apply_ledger(leases, answer.unwrap(), held_until, clock())
    return answer


def apply_ledger(leases: Leases, ledger: Ledger, held_until: float, now: float) -> None:
    """Update the known ownership from the owner named in a ledger.

    `held_until` is the end of the own lease as of before the row was read or written. After that
    time another instance may have taken over, so the row does not count as own.
    """
    if ledger.owner == leases.own and now < held_until:
        leases.add_owned(Ownership(ledger.backend_server, ledger.owner, ledger.epoch))
    else:
        leases.remove_owned(ledger.backend_server)
    if ledger.owner != leases.own or ledger.backend_server in leases.owned:
        leases.mark_verified(ledger.backend_server)


def is_quiescent(ledger: Ledger) -> bool:
    """Return whether no load or unload is in progress."""
    return all(entry.state is EntryState.RESIDENT for entry in ledger.entries)


async def release_server(
    access: TableAccess, leases: Leases, backend_server: str
) -> Result[Ledger, LedgerError | TableError]:
    """Release a backend server with its ledger.

    The caller must have no order in flight to it. Costs one read and one write.
    """
    leases.remove_owned(backend_server)

    def plan(rows: Rows) -> Result[Proposal, LedgerError]:
        row = rows.get(make_backend_key(backend_server))
        return decode_ledger(backend_server, row.value).map(lambda ledger: propose(row, ledger))

    def propose(row: Row, ledger: Ledger) -> Proposal:
        if ledger.owner != leases.own:
            return Proposal(ledger)
        released = release_owner(ledger)
        return Proposal(released, (Write(row.key, encode_ledger(released)),))

    return await transact(access, (make_backend_key(backend_server),), plan)


async def maintain_ownership(
    access: TableAccess,
    leases: Leases,
    backend_servers: tuple[str, ...],
    live: tuple[str, ...],
    clock: Clock,
    is_idle: Callable[[str], bool],
) -> Result[OwnershipChange, TableError]:
    """Follow, take over and release backend servers of the own data centre; call every renewal.

    `live` are the instances of the data centre that hold a lease according to their own
    heartbeats, `backend_servers` its engines. An instance that cannot reach the table must not
    be in `live`, or the servers it is preferred for would stay without an owner. Costs one read
    while nothing changes, and another one where a preferred server has a foreign owner.
    """
    if not leases.is_held(clock()):
        return Success(OwnershipChange())
    instances = {*live, leases.own.instance}
    preferred = {s for s in backend_servers if choose_owner(s, instances) == leases.own.instance}
    before = set(leases.owned)
    ledgers = await _follow_ledgers(access, leases, preferred | before | leases.unverified, clock)
    if isinstance(ledgers, Failure):
        return ledgers
    lost = tuple(sorted(before - set(leases.owned)))
    foreign = [
        ledger
        for ledger in ledgers.unwrap()
        if ledger.owner != leases.own and ledger.backend_server in preferred
    ]
    observed = await _observe_holders(access, leases, foreign, clock)
    if isinstance(observed, Failure):
        return observed
    adopted = await _take_over_lapsed(access, leases, foreign, clock)
    taken = tuple(ledger.backend_server for ledger in adopted)
    known = set(backend_servers)
    own = [ledger for ledger in ledgers.unwrap() if ledger.owner == leases.own]
    excess = [x for x in own if x.backend_server in known and x.backend_server not in preferred]
    released = await _release_excess(access, leases, excess, is_idle)
    held = [x for x in (*own, *adopted) if x.backend_server in leases.owned]
    return Success(OwnershipChange(taken, released, lost, tuple(held), observed.unwrap()))


async def _follow_ledgers(
    access: TableAccess, leases: Leases, backend_servers: set[str], clock: Clock
) -> Result[tuple[Ledger, ...], TableError]:
    """Read the rows of backend servers, and update the known ownership from them.

    A server whose row cannot be decoded is left to instances of the version that wrote it.
    """
    names = sorted(backend_servers)
    if not names:
        return Success(())
    held_until = leases.held_until
    keys = tuple(make_backend_key(name) for name in names)
    read = await access.runner(access.table.read, keys)
    if isinstance(read, Failure):
        return read
    rows = zip(names, read.unwrap(), strict=True)
    ledgers = []
    for name, row in rows:
        decoded = decode_ledger(name, row.value)
        if isinstance(decoded, Failure):
            leases.remove_owned(name)
            reason = decoded.failure().detail
            LOG.error("event=row_unreadable key=%s reason=%s", row.key, reason)
            continue
        ledgers.append(decoded.unwrap())
        apply_ledger(leases, ledgers[-1], held_until, clock())
    return Success(tuple(ledgers))


async def _observe_holders(
    access: TableAccess, leases: Leases, ledgers: list[Ledger], clock: Clock
) -> Result[tuple[Session, ...], TableError]:
    """Read and record the sessions of owners."""
    holders = sorted({ledger.owner for ledger in ledgers} - {NO_HOLDER})
    if not holders:
        return Success(())
    keys = tuple(make_session_key(holder.instance) for holder in holders)
    read = await access.runner(access.table.read, keys)
    if isinstance(read, Failure):
        return read
    now = clock()
    for holder, row in zip(holders, read.unwrap(), strict=True):
        observe_holder(leases, holder, row, now)
    sessions = (decode_session(row).value_or(None) for row in read.unwrap())
    return Success(tuple(session for session in sessions if session is not None))


async def _take_over_lapsed(
    access: TableAccess, leases: Leases, ledgers: list[Ledger], clock: Clock
) -> tuple[Ledger, ...]:
    lapsed = [ledger for ledger in ledgers if leases.is_lapsed(ledger.owner, clock())]
    taken = []
    for ledger in lapsed[:TAKEOVERS_PER_ROUND_MAX]:
        name = ledger.backend_server
        answer = await take_over_server(access, leases, name, ledger.owner, clock)
        if isinstance(answer, Success):
            taken.append(answer.unwrap())
            LOG.info(
                "event=ownership_taken backend_server=%s former=%s", name, ledger.owner.instance
            )
        elif _is_table_unavailable(answer.failure()):
            break
    return tuple(taken)


def _is_table_unavailable(error: LedgerError | TableError) -> bool:
    return isinstance(error, TableError) and error.fault is not TableFault.CONFLICT


async def _release_excess(
    access: TableAccess,
    leases: Leases,
    ledgers: list[Ledger],
    is_idle: Callable[[str], bool],
) -> tuple[str, ...]:
    """Release quiescent servers that another instance is preferred for, a few per round."""
    movable = [x.backend_server for x in ledgers if is_quiescent(x) and is_idle(x.backend_server)]
    released = []
    for name in movable[:RELEASES_PER_ROUND_MAX]:
        answer = await release_server(access, leases, name)
        if isinstance(answer, Success):
            released.append(name)
    return tuple(released)


async def hand_over(
    access: TableAccess, leases: Leases, clock: Clock, is_idle: Callable[[str], bool]
) -> Result[tuple[str, ...], TableError]:
    """Release all idle servers on drain, and mark the session as leaving.

    Return the servers still owned because orders to them are in flight; call again for these.
    """
    for ownership in tuple(leases.owned.values()):
        if not is_idle(ownership.backend_server):
            continue
        answer = await release_server(access, leases, ownership.backend_server)
        if isinstance(answer, Failure) and isinstance(answer.failure(), TableError):
            return Failure(answer.failure())
    renewed = await renew_session(access, leases, clock, leaving=True)
    if isinstance(renewed, Failure) and isinstance(renewed.failure(), TableError):
        return Failure(renewed.failure())
    return Success(tuple(sorted(leases.owned)))


def is_gone(leases: Leases, holder: Holder, row: Row, listed: frozenset[str], now: float) -> bool:
    """Return whether a former holder is known to be gone.

    Its lease must have lapsed, and either the platform no longer lists its instance or a later
    run of the instance has taken over its session.
    """
    session = decode_session(row).value_or(None)
    replaced = session is not None and session.holder != holder
    return (replaced or holder.instance not in listed) and leases.is_lapsed(holder, now)


async def remove_former_holders(
    access: TableAccess, leases: Leases, ledger: Ledger, listed: frozenset[str], clock: Clock
) -> Result[Ledger, LedgerError | TableError]:
    """Remove former holders that are gone from an owned ledger; call every renewal.

    `listed` are the instances on the platform's list, leaving ones included. Costs one read
    while there are former holders, and nothing otherwise.
    """
    if not ledger.former:
        return Success(ledger)
    keys = tuple(make_session_key(holder.instance) for holder in ledger.former)
    read = await access.runner(access.table.read, keys)
    if isinstance(read, Failure):
        return read
    now = clock()
    gone = set()
    for holder, row in zip(ledger.former, read.unwrap(), strict=True):
        observe_holder(leases, holder, row, now)
        if is_gone(leases, holder, row, listed, now):
            gone.add(holder)
    if not gone:
        return Success(ledger)
    leases.forget(frozenset(gone))
    return await remove_gone_holders(access, leases, ledger.backend_server, frozenset(gone))


async def remove_gone_holders(
    access: TableAccess, leases: Leases, backend_server: str, gone: frozenset[Holder]
) -> Result[Ledger, LedgerError | TableError]:
    """Remove holders that are gone from a ledger, which unpins what they may have ordered."""

    def plan(rows: Rows) -> Result[Proposal, LedgerError]:
        row = rows.get(make_backend_key(backend_server))
        return decode_ledger(backend_server, row.value).bind(lambda ledger: forget(row, ledger))

    def forget(row: Row, ledger: Ledger) -> Result[Proposal, LedgerError]:
        if ledger.owner != leases.own:
            return Failure(LedgerError(LedgerFault.NOT_OWNER, ledger.owner.instance))
        changed = forget_holders(ledger, gone)
        writes = () if changed == ledger else (Write(row.key, encode_ledger(changed)),)
        return Success(Proposal(changed, writes))

    return await transact(access, (make_backend_key(backend_server),), plan)
