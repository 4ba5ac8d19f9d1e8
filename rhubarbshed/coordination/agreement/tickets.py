"""Acceptance of operators' numbered tickets, each in one transaction."""

import json
from collections.abc import Iterable

import xxhash
from returns.result import Failure, Result, Success

from rhubarbshed.coordination.agreement.transactions import Proposal, Rows, TableAccess, transact
from rhubarbshed.coordination.placement.feasibility import check_capacity
from rhubarbshed.protocol.catalogue import (
    Adapter,
    CatalogueObject,
    Model,
    ObjectKey,
    ObjectKind,
    Service,
    Ticket,
    TicketReceipt,
    get_key,
)
from rhubarbshed.protocol.codec import from_stored, to_plain
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.members import BackendServerInfo
from rhubarbshed.protocol.tables import Row, TableError, TableFault, Write
from rhubarbshed.state.agreement.catalogue import (
    HEAD_KEY,
    OBJECT_PREFIX,
    decode_object,
    encode_object,
    make_object_key,
)

TICKET_PREFIX = "ticket/"
TICKET_NUMBER_MAX = 2**53 - 1
RETRY_AFTER_S = 5.0


def compute_digest(ticket: Ticket) -> str:
    """Return the hash of a ticket's content; the order of its objects does not matter."""
    objects = sorted((get_key(b).kind, get_key(b).name, to_plain(b)) for b in ticket.objects)
    deletions = sorted((key.kind, key.name) for key in ticket.deletions)
    content = [ticket.number, objects, deletions, ticket.note]
    canonical = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_128_hexdigest(canonical.encode())


def list_touched(ticket: Ticket) -> tuple[ObjectKey, ...]:
    """List the keys of all objects that a ticket writes or deletes, in order."""
    return tuple(sorted([get_key(body) for body in ticket.objects] + list(ticket.deletions)))


def validate_ticket(ticket: Ticket) -> Result[None, RequestError]:
    """Check a ticket on its own, without the catalogue; report the first invalid field."""
    if not 0 < ticket.number <= TICKET_NUMBER_MAX:
        return _refuse_input("number", f"must be from 1 to {TICKET_NUMBER_MAX}")
    touched = list_touched(ticket)
    if not touched:
        return _refuse_input("objects", "the ticket touches nothing")
    if len(set(touched)) < len(touched):
        return _refuse_input("objects", "an object stands more than once in the ticket")
    kinds = {kind.value for kind in ObjectKind}
    for position, key in enumerate(ticket.deletions):
        if key.kind not in kinds:
            return _refuse_input(f"deletions[{position}].kind", f"one of {sorted(kinds)}")
    for position, body in enumerate(ticket.objects):
        fault = _find_body_fault(body)
        if fault is not None:
            return _refuse_input(f"objects[{position}].{fault[0]}", fault[1])
    return Success(None)


def _find_body_fault(body: Model | Adapter | Service) -> tuple[str, str] | None:
    if not body.name or "/" in body.name:
        return "name", "must not be empty nor hold a slash"
    if isinstance(body, Service):
        return None if body.answer_target_s > 0 else ("answer_target_s", "must be above 0")
    if not body.version:
        return "version", "must not be empty"
    if body.memory_bytes <= 0:
        return "memory_bytes", "must be above 0"
    return _find_model_fault(body) if isinstance(body, Model) else None


def _find_model_fault(model: Model) -> tuple[str, str] | None:
    if not 0 <= model.power_watts < float("inf"):
        return "power_watts", "must be a number, at least 0"
    for name in ("replicas_min", "first_token_target_s", "token_gap_target_s"):
        if not getattr(model, name) > 0:
            return name, "must be above 0"
    return None if model.context_tokens_max > 0 else ("context_tokens_max", "must be above 0")


def merge_objects(
    objects: Iterable[CatalogueObject], ticket: Ticket
) -> tuple[CatalogueObject, ...]:
    """Return all objects as they will be after the ticket is applied."""
    after = {item.key: item for item in objects}
    for item in make_objects(ticket):
        after[item.key] = item
    return tuple(after[key] for key in sorted(after))


def make_objects(ticket: Ticket) -> tuple[CatalogueObject, ...]:
    """Return the objects that a ticket writes, deleted ones as tombstones."""
    written = [CatalogueObject(get_key(b), ticket.number, b) for b in ticket.objects]
    deleted = [CatalogueObject(key, ticket.number, None) for key in ticket.deletions]
    return tuple(sorted(written + deleted, key=lambda item: item.key))


def check_references(
    objects_after: Iterable[CatalogueObject], ticket: Ticket
) -> Result[None, RequestError]:
    """Check that every adapter has its model after the ticket is applied."""
    bodies = [item.body for item in objects_after if item.body is not None]
    models = {body.name for body in bodies if isinstance(body, Model)}
    for body in bodies:
        if isinstance(body, Adapter) and body.model not in models:
            field_path = _find_field(ticket, body)
            return _refuse_input(field_path, f"adapter {body.name} needs absent model {body.model}")
    return Success(None)


def _find_field(ticket: Ticket, adapter: Adapter) -> str:
    if adapter in ticket.objects:
        return f"objects[{ticket.objects.index(adapter)}].model"
    return "deletions"


def plan_ticket(
    ticket: Ticket,
    rows: Rows,
    backend_servers: tuple[BackendServerInfo, ...],
    power_watts_max: float,
    memory_fill_max: float,
) -> Result[Proposal, RequestError]:
    """Plan a ticket's transaction from the head, the ticket's own row and all objects.

    Every ticket writes the head row, so checking the head's version covers all objects too.
    """
    own = rows.get(make_ticket_key(ticket.number))
    if own.value is not None:
        return _replay_receipt(ticket, own)
    decoded = _decode_objects(rows.scanned)
    if isinstance(decoded, Failure):
        return decoded
    held = decoded.unwrap()
    after = merge_objects(held, ticket)
    checked = (
        _check_numbers(ticket, held)
        .bind(lambda _: check_references(after, ticket))
        .bind(lambda _: check_capacity(after, backend_servers, power_watts_max, memory_fill_max))
    )
    return checked.map(lambda _: _propose(ticket, rows))


def _decode_objects(rows: tuple[Row, ...]) -> Result[tuple[CatalogueObject, ...], RequestError]:
    """Decode all objects; feasibility cannot be checked if any of them is missing."""
    found = []
    for row in rows:
        if row.value is None:
            continue
        decoded = decode_object(row)
        if isinstance(decoded, Failure):
            return Failure(_describe_unreadable(row.key, decoded.failure()))
        found.append(decoded.unwrap())
    return Success(tuple(found))


def _describe_unreadable(key: str, detail: str) -> RequestError:
    text = f"this version cannot read {key} ({detail}); send it to an instance of the newer one"
    return RequestError(503, "row_unreadable", text, retryable=True, retry_after_s=RETRY_AFTER_S)


def _decode_receipt(row: Row) -> Result[TicketReceipt, RequestError]:
    decoded = from_stored(row.value.get("receipt"), TicketReceipt)
    return decoded.alt(lambda detail: _describe_unreadable(row.key, detail))


def _replay_receipt(ticket: Ticket, own: Row) -> Result[Proposal, RequestError]:
    return _decode_receipt(own).bind(lambda receipt: _compare_receipt(ticket, receipt))


def _compare_receipt(ticket: Ticket, receipt: TicketReceipt) -> Result[Proposal, RequestError]:
    if receipt.digest == compute_digest(ticket):
        return Success(Proposal(receipt))
    touched = set(list_touched(ticket)) & set(receipt.touched)
    shown = min(touched) if touched else receipt.touched[0]
    return Failure(_make_conflict(ticket.number, shown, "with other content"))


def _check_numbers(ticket: Ticket, held: tuple[CatalogueObject, ...]) -> Result[None, RequestError]:
    touched = set(list_touched(ticket))
    newer = [t for t in held if t.key in touched and t.ticket >= ticket.number]
    if not newer:
        return Success(None)
    winner = max(newer, key=lambda item: (item.ticket, item.key))
    return Failure(_make_conflict(winner.ticket, winner.key, "with a higher number"))


def _make_conflict(number: int, key: ObjectKey, how: str) -> RequestError:
    text = f"ticket {number} {how} is already in force for {key.kind} {key.name}"
    return RequestError(409, "ticket_conflict", text, field="number")


def _propose(ticket: Ticket, rows: Rows) -> Proposal:
    head = rows.get(HEAD_KEY).value or {"number": 0}
    receipt = TicketReceipt(ticket.number, compute_digest(ticket), list_touched(ticket))
    writes = [Write(make_object_key(t.key), encode_object(t)) for t in make_objects(ticket)]
    writes.append(Write(make_ticket_key(ticket.number), {"receipt": to_plain(receipt)}))
    writes.append(Write(HEAD_KEY, {"number": max(int(head["number"]), ticket.number)}))
    return Proposal(receipt, tuple(writes))


def make_ticket_key(number: int) -> str:
    """Return the table key of a ticket."""
    return f"{TICKET_PREFIX}{number}"


def _refuse_input(field_path: str, text: str) -> Result[None, RequestError]:
    return Failure(RequestError(422, "bad_ticket", f"{field_path}: {text}", field=field_path))


async def accept_ticket(
    access: TableAccess,
    ticket: Ticket,
    backend_servers: tuple[BackendServerInfo, ...],
    power_watts_max: float,
    memory_fill_max: float = 1.0,
) -> Result[TicketReceipt, RequestError]:
    """Apply a ticket as a whole, or return why not; repeated calls return the same answer.

    Costs one read of `2 + touched` rows, one scan and one commit without contention.
    """
    valid = validate_ticket(ticket)
    if isinstance(valid, Failure):
        return valid
    keys = (HEAD_KEY, make_ticket_key(ticket.number))
    keys += tuple(make_object_key(key) for key in list_touched(ticket))
    answer = await transact(
        access,
        keys,
        lambda rows: plan_ticket(ticket, rows, backend_servers, power_watts_max, memory_fill_max),
        OBJECT_PREFIX,
    )
    if isinstance(answer, Failure) and isinstance(answer.failure(), TableError):
        return Failure(_describe_table_error(answer.failure()))
    return answer


def _describe_table_error(error: TableError) -> RequestError:
    if error.fault is TableFault.UNKNOWN:
        text = "the table service's answer was lost; send the same ticket again to learn its fate"
        outcome = Outcome.UNKNOWN
    else:
        text = "the table service does not answer; nothing was changed"
        outcome = Outcome.NOT_RUN
    return RequestError(
        503, "table_unavailable", text, outcome, retryable=True, retry_after_s=RETRY_AFTER_S
    )


async def find_ticket(access: TableAccess, number: int) -> Result[TicketReceipt, RequestError]:
    """Read the receipt of an accepted ticket; costs one read."""
    read = await access.runner(access.table.read, (make_ticket_key(number),))
    if isinstance(read, Failure):
        return Failure(_describe_table_error(read.failure()))
    row = read.unwrap()[0]
    if row.value is None:
        return Failure(RequestError(404, "no_such_ticket", f"no ticket {number} was accepted"))
    return _decode_receipt(row)
