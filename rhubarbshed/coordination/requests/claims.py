"""Claims on table rows, which let a non-idempotent request run at most once."""

import base64
import hashlib

from attrs import evolve, frozen

from rhubarbshed.protocol.claims import ClaimRow, ClaimState, StoredAnswer
from rhubarbshed.protocol.codec import from_stored, to_plain
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.requests import Request
from rhubarbshed.protocol.tables import Check, Row, Transaction, Write

ROW_PREFIX = "claim/"
DIGEST_CHARACTERS = 32
STORED_BODY_BYTES_MAX = 32_768
STORED_HEADERS = ("content-type",)
CONFLICT = 409
UNPROCESSABLE = 422


@frozen
class ClaimRequest:
    """Claim that this instance asks for; `write_id` is unique to it."""

    key: str
    digest: str
    instance: str
    incarnation: str
    write_id: str


@frozen
class ClaimProceed:
    """Decision to dispatch the request once the transaction is committed."""

    transaction: Transaction


@frozen
class ClaimHeld:
    """Confirmed claim: the request may be dispatched now, once."""

    claim_request: ClaimRequest


@frozen
class ClaimReplay:
    """Decision to send the caller the stored answer of the first run."""

    answer: StoredAnswer


@frozen
class ClaimRefused:
    """Decision to send the caller an error and dispatch nothing.

    `transaction`, if there is one, is committed first: it sets the claim of an instance that is
    gone to an unknown outcome.
    """

    error: RequestError
    transaction: Transaction | None = None


ClaimDecision = ClaimProceed | ClaimReplay | ClaimRefused


def make_claim_key(caller: str, idempotency_key: str) -> str:
    """Return the row key of a claim; its length does not depend on what the caller sent."""
    return f"{ROW_PREFIX}{_hash(caller.encode())}/{_hash(idempotency_key.encode())}"


def compute_digest(target: str, body: bytes) -> str:
    """Return the digest that distinguishes a retry from another request with the same key."""
    return _hash(target.encode() + b"\0" + body)


def make_claim_request(
    request: Request, digest: str, instance: str, incarnation: str, write_id: str
) -> ClaimRequest:
    """Create the claim for a request with an idempotency key."""
    key = make_claim_key(request.caller, request.idempotency_key)
    return ClaimRequest(key, digest, instance, incarnation, write_id)


def _hash(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()[:DIGEST_CHARACTERS]


def read_claim(row: Row) -> ClaimRow | None:
    """Return the claim in a row, None if there is none; unreadable rows count as unknown."""
    if row.value is None:
        return None
    unreadable = ClaimRow(ClaimState.UNKNOWN, "", "", "", "")
    return from_stored(row.value, ClaimRow).value_or(unreadable)


def plan_claim(
    claim_request: ClaimRequest, row: Row, holder_is_gone: bool, retry_after_s: float
) -> ClaimDecision:
    """Decide on a claim, given its row of the table.

    `holder_is_gone` is whether the session of the instance in the row has ended.
    """
    present = read_claim(row)
    if present is None:
        return ClaimProceed(_write(row, _make_row(claim_request)))
    if present.digest and present.digest != claim_request.digest:
        return ClaimRefused(_describe_mismatch())
    if present.state is ClaimState.NOT_RUN:
        return ClaimProceed(_write(row, _make_row(claim_request)))
    if present.state is ClaimState.DONE:
        return _replay(present)
    if present.state is ClaimState.UNKNOWN:
        return ClaimRefused(_describe_unknown())
    if holder_is_gone:
        unknown = evolve(present, state=ClaimState.UNKNOWN)
        return ClaimRefused(_describe_unknown(), _write(row, unknown))
    return ClaimRefused(_describe_in_flight(retry_after_s))


def plan_settlement(
    claim_request: ClaimRequest, row: Row, state: ClaimState, answer: StoredAnswer | None
) -> Transaction | None:
    """Return the transaction that records how a claimed request ended; None if none is due.

    A claim that was not seen in the table may still be committed late. If the request was not
    run, writing the unchanged row makes the check of that late claim fail.
    """
    present = read_claim(row)
    settled = evolve(_make_row(claim_request), state=state, answer=answer)
    is_unclaimed = present is None or present.state is ClaimState.NOT_RUN
    is_own = present is not None and present.write_id == claim_request.write_id
    if is_unclaimed and not is_own:
        return _write(row, settled) if state is ClaimState.NOT_RUN else None
    if not is_own or present.state in (ClaimState.DONE, state):
        return None
    return _write(row, settled)


def make_answer(status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> StoredAnswer:
    """Return an answer as stored for retries; a body that is too large is left out entirely."""
    kept = tuple(pair for pair in headers if pair[0].lower() in STORED_HEADERS)
    if len(body) > STORED_BODY_BYTES_MAX:
        return StoredAnswer(status, kept, body_kept=False)
    return StoredAnswer(status, kept, base64.b64encode(body).decode())


def read_body(answer: StoredAnswer) -> bytes:
    """Return the body of a stored answer."""
    return base64.b64decode(answer.body)


def _make_row(claim_request: ClaimRequest) -> ClaimRow:
    return ClaimRow(
        ClaimState.CLAIMED,
        claim_request.digest,
        claim_request.instance,
        claim_request.incarnation,
        claim_request.write_id,
    )


def _write(row: Row, value: ClaimRow) -> Transaction:
    return Transaction((Check(row.key, row.version),), (Write(row.key, to_plain(value)),))


def _replay(present: ClaimRow) -> ClaimReplay | ClaimRefused:
    if present.answer is not None and present.answer.body_kept:
        return ClaimReplay(present.answer)
    message = "the request was done, but its answer was too large to keep"
    return ClaimRefused(RequestError(CONFLICT, "answer_not_kept", message, Outcome.DONE))


def _describe_mismatch() -> RequestError:
    message = "this idempotency key was used for another request"
    return RequestError(
        UNPROCESSABLE, "idempotency_mismatch", message, Outcome.NOT_RUN, field="Idempotency-Key"
    )


def _describe_unknown() -> RequestError:
    message = "whether this request was done is unknown; it will not be run again"
    return RequestError(CONFLICT, "outcome_unknown", message, Outcome.UNKNOWN)


def _describe_in_flight(retry_after_s: float) -> RequestError:
    message = "a request with this idempotency key is in progress; ask again with the same key"
    return RequestError(
        CONFLICT, "in_progress", message, Outcome.UNKNOWN, True, retry_after_s=retry_after_s
    )


def describe_table_unavailable(retry_after_s: float) -> RequestError:
    """Return the error of a request not sent because its claim could not be confirmed."""
    message = "the claim on this request could not be confirmed; it was not sent"
    return RequestError(
        503, "claim_unavailable", message, Outcome.NOT_RUN, True, retry_after_s=retry_after_s
    )
