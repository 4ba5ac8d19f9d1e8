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
"""Most objects in one answer to a catalogue request."""


@frozen
class Challenge:
    """Ask whoever connects to prove that it knows the peer token."""

    nonce: bytes
    protocol: int = PROTOCOL_VERSION


@frozen
class Hello:
    """Introduce the instance that connects; `proof` covers both nonces and `info`."""

    info: InstanceInfo
    nonce: bytes
    proof: bytes
    protocol: int = PROTOCOL_VERSION


@frozen
class Welcome:
    """Introduce the instance that was connected to, with its own proof."""

    info: InstanceInfo
    proof: bytes


@frozen
class Heartbeat:
    """Show that the sender lives, how new its catalogue is, and whether it holds a lease.

    Instances of a version that does not tell are taken to hold one.
    """

    revision: int = 0
    ticket: int = 0
    leaving: bool = False
    holds_lease: bool = True


@frozen
class LoadDetail:
    """Hold the part of an engine's report that seldom changes."""

    boot_id: str
    memory_bytes_total: int
    fencing_token: int
    slots: int
    role: Role
    resident: tuple[Resident, ...] = field(factory=tuple)


@frozen
class LoadEntry:
    """Hold one engine's load; `age_ms` counts up to sending, so no clocks are compared.

    `detail` is absent while the receiver should hold one with the same `detail_hash`.
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
    """Carry the load of backend servers; `remote` marks those of another data centre."""

    entries: tuple[LoadEntry, ...]
    remote: bool = False


@frozen
class LoadRequest:
    """Ask for all load that the receiver knows of, details included."""


@frozen
class CatalogueHint:
    """Tell that the catalogue's head has moved."""

    revision: int
    ticket: int


@frozen
class CatalogueRequest:
    """Ask for objects written by tickets after `ticket`, from `key_after` (kind/name) on."""

    ticket: int
    key_after: str = ""
    limit: int = CATALOGUE_PAGE_MAX


@frozen
class CatalogueObjects:
    """Answer a catalogue request; `revision` and `ticket` are the sender's head.

    `more_after` is the key to go on from, empty on the last page.
    """

    objects: tuple[CatalogueObject, ...]
    revision: int
    ticket: int
    more_after: str = ""


@frozen
class LeavingMember:
    """Name what leaves; `incarnation` is empty for a backend server."""

    name: str
    incarnation: str = ""


@frozen
class LeavingNotice:
    """Tell that instances or backend servers leave and must get no new work."""

    instances: tuple[LeavingMember, ...] = ()
    backend_servers: tuple[LeavingMember, ...] = ()


@frozen
class ServiceDigest:
    """Carry the load of replicas of plain services; `remote` marks those of other data centres."""

    reports: tuple[ServiceReport, ...]
    remote: bool = False


@frozen
class DemandDigest:
    """Carry the demand that an instance meets; `remote` marks the sum of a data centre."""

    report: DemandReport
    remote: bool = False


@frozen
class DemandEntry:
    """Hold the demand for one model as levels of rates; all zero: no demand any more."""

    model: str
    arrivals: int = 0
    tokens: int = 0
    refusals: int = 0


@frozen
class DemandUpdate:
    """Carry what changed in a demand, or a `whole` one, which replaces all that was told.

    `remote` marks the sum of a data centre.
    """

    instance: str
    entries: tuple[DemandEntry, ...] = ()
    whole: bool = False
    remote: bool = False


@frozen
class QuarantineNotice:
    """Carry suspicions and refusals of request fingerprints, and servers set aside for them."""

    entries: tuple[QuarantineUpdate, ...]
    marks: tuple[IsolatedRunNotice, ...] = ()


@frozen
class ListRequest:
    """Ask for the platform's list as the receiver last knew it."""


@frozen
class ListAnswer:
    """Carry the platform's list as last read; `age_s` counts up to sending."""

    listed: PlatformList
    age_s: float


@frozen
class UnknownFrame:
    """Stand for a frame of a kind that only newer instances know; it is never sent."""

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
"""Kinds by their number on the wire; append only."""
KIND_NUMBERS = {kind: number for number, kind in enumerate(FRAME_KINDS)}


@frozen
class Envelope:
    """Wrap a frame with the sender's stamp; `notice_id` is set on what is passed on."""

    frame: Frame | UnknownFrame
    stamp: Stamp
    notice_id: str = ""


def _make_converter() -> Converter:
    """Make a converter to arrays: fields added at the end keep older peers readable."""
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
        raise TypeError("not bytes")
    return plain


def _structure_text(plain: object, _: type) -> str:
    if not isinstance(plain, str):
        raise TypeError("not text")
    return plain


PEER_CONVERTER = _make_converter()


def pack_envelope(envelope: Envelope) -> bytes:
    """Encode a frame with its stamp."""
    body = PEER_CONVERTER.unstructure(envelope.frame)
    stamp = envelope.stamp
    number = KIND_NUMBERS[type(envelope.frame)]
    return msgpack.packb((number, stamp.wall_ms, stamp.counter, envelope.notice_id, body))


def unpack_envelope(data: bytes, sender: str) -> Result[Envelope, str]:
    """Decode a frame, or tell why it cannot be; `sender` completes the stamp."""
    try:
        number, wall_ms, counter, notice_id, body = msgpack.unpackb(data, use_list=False)
        stamp = PEER_CONVERTER.structure((wall_ms, counter, sender), Stamp)
        frame = _structure_frame(number, body)
        return Success(Envelope(frame, stamp, _structure_text(notice_id, str)))
    except Exception as error:  # msgpack and cattrs raise many kinds
        return Failure(describe_structure_error(error))


def _structure_frame(number: object, body: object) -> Frame | UnknownFrame:
    if not isinstance(number, int) or number < 0:
        raise ValueError(f"bad kind {number!r}")
    if number >= len(FRAME_KINDS):
        return UnknownFrame(number)
    return PEER_CONVERTER.structure(body, FRAME_KINDS[number])


def make_proof(token: str, side: str, info: InstanceInfo, nonces: tuple[bytes, bytes]) -> bytes:
    """Prove knowledge of the peer token for one connection.

    `side` keeps one side's proof from being played back as the other's.
    """
    message = msgpack.packb((side, nonces[0], nonces[1], PEER_CONVERTER.unstructure(info)))
    return hmac.new(token.encode(), message, hashlib.sha256).digest()


def check_proof(
    proof: bytes, token: str, side: str, info: InstanceInfo, nonces: tuple[bytes, bytes]
) -> bool:
    """Tell whether a proof is right, in constant time."""
    return hmac.compare_digest(proof, make_proof(token, side, info, nonces))
