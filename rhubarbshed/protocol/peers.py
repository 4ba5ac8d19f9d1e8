"""Frames between instances, and their compact encoding as msgpack arrays."""

import hashlib
import hmac

import msgpack
from attrs import field, frozen
from cattrs import Converter, UnstructureStrategy
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.catalogue import CatalogueObject
from rhubarbshed.protocol.codec import CONVERTER, STORED_CONVERTER, describe_structure_error
from rhubarbshed.protocol.events import Stamp
from rhubarbshed.protocol.members import InstanceInfo, PlatformList
from rhubarbshed.protocol.orders import CacheEvent, Resident, Role
from rhubarbshed.protocol.placement import DemandReport
from rhubarbshed.protocol.quarantine import IsolatedRunNotice, QuarantineUpdate
from rhubarbshed.protocol.services import ServiceReport

PROTOCOL_VERSION = 1
NONCE_BYTES = 16
CATALOGUE_PAGE_MAX = 200
"""Maximum number of objects in one answer to a catalogue request."""


@frozen
class Challenge:
    """Challenge to the connecting instance to prove that it knows the peer token."""

    nonce: bytes
    protocol: int = PROTOCOL_VERSION


@frozen
class Hello:
    """Identity of the connecting instance; `proof` covers both nonces and `info`."""

    info: InstanceInfo
    nonce: bytes
    proof: bytes
    protocol: int = PROTOCOL_VERSION


@frozen
class Welcome:
    """Identity of the accepting instance, with its own proof."""

    info: InstanceInfo
    proof: bytes


@frozen
class Heartbeat:
    """Heartbeat of an instance, with its catalogue's revision and whether it holds a lease.

    An instance of an older version, which does not send `holds_lease`, counts as holding one.
    """

    revision: int = 0
    ticket: int = 0
    leaving: bool = False
    holds_lease: bool = True


@frozen
class LoadDetail:
    """Part of an engine's report that seldom changes."""

    boot_id: str
    memory_bytes_total: int
    fencing_token: int
    slots: int
    role: Role
    resident: tuple[Resident, ...] = field(factory=tuple)


@frozen
class LoadEntry:
    """Load of one engine; `age_ms` is its age when sent, so that no clocks are compared.

    `detail` is left out while the receiver should have one with the same `detail_hash`.
    """

    backend_server: str
    detail_hash: int
    age_ms: int
    running: int
    waiting: int
    waiting_tokens: int
    memory_bytes_used: int
    tokens_per_s: int
    prefill_tokens_per_s: int
    cache_events: tuple[CacheEvent, ...] = field(factory=tuple)
    detail: LoadDetail | None = None


@frozen
class LoadDigest:
    """Load of engines; `remote` marks those of another data centre."""

    entries: tuple[LoadEntry, ...]
    remote: bool = False


@frozen
class LoadRequest:
    """Request for all load known to the receiver, including details."""


@frozen
class CatalogueHint:
    """Notice that the catalogue has a new head."""

    revision: int
    ticket: int


@frozen
class CatalogueRequest:
    """Request for objects written by tickets after `ticket`, from `key_after` (kind/name) on."""

    ticket: int
    key_after: str = ""
    limit: int = CATALOGUE_PAGE_MAX


@frozen
class CatalogueObjects:
    """Answer to a catalogue request; `revision` and `ticket` are the sender's head.

    `more_after` is the key to continue from, empty on the last page.
    """

    objects: tuple[CatalogueObject, ...]
    revision: int
    ticket: int
    more_after: str = ""


@frozen
class LeavingMember:
    """Instance or backend server that is leaving; `incarnation` is empty for a backend server."""

    name: str
    incarnation: str = ""


@frozen
class LeavingNotice:
    """Notice that instances or backend servers are leaving and must get no new work."""

    instances: tuple[LeavingMember, ...] = ()
    backend_servers: tuple[LeavingMember, ...] = ()


@frozen
class ServiceDigest:
    """Load of replicas of plain services; `remote` marks those of other data centres."""

    reports: tuple[ServiceReport, ...]
    remote: bool = False


@frozen
class DemandDigest:
    """Demand at one instance; `remote` marks the sum of a data centre."""

    report: DemandReport
    remote: bool = False


@frozen
class DemandEntry:
    """Demand for one model as quantised levels of rates; all zero means no more demand."""

    model: str
    arrivals: int = 0
    tokens: int = 0
    refusals: int = 0


@frozen
class DemandUpdate:
    """Changes in demand; a `whole` update replaces everything sent before.

    `remote` marks the sum of a data centre.
    """

    instance: str
    entries: tuple[DemandEntry, ...] = ()
    whole: bool = False
    remote: bool = False


@frozen
class QuarantineNotice:
    """Quarantine entries of request fingerprints, and the servers reserved for isolated runs."""

    entries: tuple[QuarantineUpdate, ...]
    marks: tuple[IsolatedRunNotice, ...] = ()


@frozen
class ListRequest:
    """Request for the platform's list as the receiver last knew it."""


@frozen
class ListAnswer:
    """Platform's list as last read; `age_s` is its age when sent."""

    listed: PlatformList
    age_s: float


@frozen
class UnknownFrame:
    """Frame of a kind that only newer instances know; never sent."""

    number: int


Frame = (
    Challenge
    | Hello
    | Welcome
    | Heartbeat
    | LoadDigest
    | CatalogueHint
    | CatalogueRequest
    | CatalogueObjects
    | LeavingNotice
    | QuarantineNotice
    | LoadRequest
    | DemandDigest
    | ServiceDigest
    | ListRequest
    | ListAnswer
    | DemandUpdate
)
FRAME_KINDS: tuple[type, ...] = (
    Challenge,
    Hello,
    Welcome,
    Heartbeat,
    LoadDigest,
    CatalogueHint,
    CatalogueRequest,
    CatalogueObjects,
    LeavingNotice,
    QuarantineNotice,
    LoadRequest,
    DemandDigest,
    ListRequest,
    ListAnswer,
    ServiceDigest,
    DemandUpdate,
)
"""Frame types by their number on the wire; append only."""
KIND_NUMBERS = {kind: number for number, kind in enumerate(FRAME_KINDS)}


@frozen
class Envelope:
    """Frame with the sender's stamp; `notice_id` is set on notices that are forwarded."""

    frame: Frame | UnknownFrame
    stamp: Stamp
    notice_id: str = ""


def _make_converter() -> Converter:
    """Make a converter to arrays; fields added at the end keep frames of older peers readable."""
    converter = Converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)
    converter.register_unstructure_hook(
        CatalogueObject, lambda entry: CONVERTER.unstructure(entry, CatalogueObject)
    )
    converter.register_structure_hook(
        CatalogueObject, lambda plain, _: STORED_CONVERTER.structure(plain, CatalogueObject)
    )
    converter.register_structure_hook(bytes, _structure_bytes)
    converter.register_structure_hook(str, _structure_text)
    return converter


def _structure_bytes(plain: object, _: type) -> bytes:
    if not isinstance(plain, bytes):
        raise TypeError("expected bytes")
    return plain


def _structure_text(plain: object, _: type) -> str:
    if not isinstance(plain, str):
        raise TypeError("expected text")
    return plain


PEER_CONVERTER = _make_converter()


def pack_envelope(envelope: Envelope) -> bytes:
    """Encode a frame with its stamp."""
    body = PEER_CONVERTER.unstructure(envelope.frame)
    stamp = envelope.stamp
    number = KIND_NUMBERS[type(envelope.frame)]
    return msgpack.packb((number, stamp.wall_ms, stamp.counter, envelope.notice_id, body))


def unpack_envelope(data: bytes, sender: str) -> Result[Envelope, str]:
    """Decode a frame, or return the reason why that fails; `sender` completes the stamp."""
    try:
        number, wall_ms, counter, notice_id, body = msgpack.unpackb(data, use_list=False)
        stamp = PEER_CONVERTER.structure((wall_ms, counter, sender), Stamp)
        frame = _structure_frame(number, body)
        return Success(Envelope(frame, stamp, _structure_text(notice_id, str)))
    except Exception as error:  # msgpack and cattrs raise many types
        return Failure(describe_structure_error(error))


def _structure_frame(number: object, body: object) -> Frame | UnknownFrame:
    if not isinstance(number, int) or number < 0:
        raise ValueError(f"invalid frame kind {number!r}")
    if number >= len(FRAME_KINDS):
        return UnknownFrame(number)
    return PEER_CONVERTER.structure(body, FRAME_KINDS[number])


def make_proof(token: str, side: str, info: InstanceInfo, nonces: tuple[bytes, bytes]) -> bytes:
    """Return a proof of knowledge of the peer token for one connection.

    `side` prevents the proof of one side from being replayed as that of the other.
    """
    message = msgpack.packb((side, nonces[0], nonces[1], PEER_CONVERTER.unstructure(info)))
    return hmac.new(token.encode(), message, hashlib.sha256).digest()


def check_proof(
    proof: bytes, token: str, side: str, info: InstanceInfo, nonces: tuple[bytes, bytes]
) -> bool:
    """Return whether a proof is valid, comparing in constant time."""
    return hmac.compare_digest(proof, make_proof(token, side, info, nonces))
