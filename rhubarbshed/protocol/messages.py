"""Datagrams between instances and order holders.

Each data centre has one order holder, the instance that sends orders to the engines in it.
Instances exchange messages with the holder of their own data centre, and holders with each other.
Only messages on the origin of streams, on ended servers, on servers' limits, on the credit of
accounts and on the configuration in force go from any instance to any other.
"""

import re
import socket
from collections.abc import Callable, Sequence
from socket import AF_INET

import msgpack
from attrs import Attribute, astuple, field, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.confirmation_messages import ConfirmationQuestion, ConfirmationReply
from rhubarbshed.protocol.crash_messages import (
    BegunPartsMessage,
    CrashMessage,
    CrashQuestion,
    TrialMessage,
)
from rhubarbshed.protocol.credit_messages import CreditQuestion, CreditReply
from rhubarbshed.protocol.holder_checks import check_demand, check_holder, check_plans, check_store
from rhubarbshed.protocol.limit_messages import (
    LimitMessage,
    LimitQuestion,
    LimitReply,
)
from rhubarbshed.protocol.message_checks import (
    REASON_LENGTH_MAX,
    check_number,
    check_text,
    describe,
    is_address,
    is_ip,
    is_text,
)
from rhubarbshed.protocol.speed_messages import SpeedsMessage

FORMAT = 4
DECODE_ERRORS = (KeyError, TypeError, ValueError, IndexError, msgpack.UnpackException)
PACK_ERRORS = (OverflowError, RecursionError, TypeError, ValueError, msgpack.PackException)

STREAMS_PER_MESSAGE = 16
"""Most streams in one datagram; an id, a service and a version have about 50 bytes."""

ORIGINS_PER_REPLY = 2 * STREAMS_PER_MESSAGE
"""Most origins in a reply: an id that two streams bear has two of them."""

VERSIONS_PER_MESSAGE = 128
"""Most (service, version) pairs in one datagram."""

ADDRESSES_PER_MESSAGE = 180
"""Most addresses in one datagram: 6 bytes each, so that it has at most 1,200 bytes."""

AGE_MAX_S = 2**31
"""Greatest number of seconds in a message."""

PARTS_MAX = 64
"""Most datagrams of one list of instances."""

KIND_NAME = re.compile(r"[a-z_]{1,24}")
"""Names that a message kind of another build may have."""

DATAGRAM_BYTES_MAX = 65_507
"""Most bytes of a datagram over IPv4."""

PACKED_ADDRESS_BYTES = 6

Address = tuple[str, int]


@frozen
class DemandMessage:
    """Demand at one instance since its last message to the order holder.

    `counts` are (service, model, adapter, requests, prompt tokens, runs, total run time in
    seconds). `awaited` are (service, model, adapter) that callers wait for. `missing` are (server,
    started_ms, model, adapter) that the server reported not to hold; the model is empty if the
    server refuses connections. `loads` are (server, requests running or waiting there) as reported
    by servers.
    """

    sender: str
    data_centre: str
    counts: tuple[tuple[str, str, str, int, int, int, float], ...] = field(factory=tuple)
    awaited: tuple[tuple[str, str, str], ...] = field(factory=tuple)
    missing: tuple[tuple[str, int, str, str], ...] = field(factory=tuple)
    loads: tuple[tuple[str, int], ...] = field(factory=tuple)


@frozen
class HolderMessage:
    """Identity of a data centre's order holder, and the state of some engines.

    `gives_orders` is whether the holder's lease is valid now, `instances` the number of instances
    it receives messages from, `instances_elsewhere` the number that holders of other data centres
    do. Messages to instances of its data centre cover engines of any data centre, messages to other
    holders only its own. `held` are (server, started_ms, ((model, adapters), ...)). `changes` are
    (server, model being loaded, seconds left for that, model being unloaded) for the same servers.
    `holders` are (data centre, host, port) of the other holders it knows. `loads` are (server,
    requests running or waiting there).
    """

    sender: str
    data_centre: str
    host: str
    port: int
    token: int
    gives_orders: bool
    instances: int
    instances_elsewhere: int
    held: tuple[tuple[str, int, tuple[tuple[str, tuple[str, ...]], ...]], ...] = field(
        factory=tuple
    )
    changes: tuple[tuple[str, str, float, str], ...] = field(factory=tuple)
    holders: tuple[tuple[str, str, int], ...] = field(factory=tuple)
    loads: tuple[tuple[str, int], ...] = field(factory=tuple)


@frozen
class PlansMessage:
    """What an order holder plans for its own engines, sent to the other holders.

    `gives_orders` is whether its lease is valid now. `closed` are all engines that take no order
    now, `reserved` all (server, model for which it has or makes room). It is a message of its own,
    as older builds cannot read a longer `HolderMessage`.
    """

    sender: str
    data_centre: str
    token: int
    gives_orders: bool
    closed: tuple[str, ...] = field(factory=tuple)
    reserved: tuple[tuple[str, str], ...] = field(factory=tuple)


@frozen
class StoreMessage:
    """Rows read from the store, sent by an order holder to the instances of its data centre.

    `rows` are the servers' rows, as (key, version, value or None), that changed after revision
    `before` up to `revision`. `settled` is whether rows that expired while the store was
    unavailable would have been written again by now, and the holder reads changes again.
    `configuration` is the version of the configuration known to the holder.
    """

    sender: str
    data_centre: str
    token: int
    configuration: int
    settled: bool
    before: int
    revision: int
    rows: tuple[tuple[str, int, dict | None], ...] = field(factory=tuple)


def _check_tuples(width: int, most: int) -> Callable[[object, Attribute, object], None]:
    def check(message: object, attribute: Attribute, value: object) -> None:
        fits = isinstance(value, tuple) and len(value) <= most
        if not fits or not all(
            isinstance(each, tuple) and len(each) == width and all(map(is_text, each))
            for each in value
        ):
            raise ValueError(f"{attribute.name} is not a short list of tuples of text")

    return check


def _check_texts(message: object, attribute: Attribute, value: object) -> None:
    fits = isinstance(value, tuple) and len(value) <= STREAMS_PER_MESSAGE
    if not fits or not all(map(is_text, value)):
        raise ValueError(f"{attribute.name} is not a short list of text")


def _check_ages(message: object, attribute: Attribute, value: object) -> None:
    fits = isinstance(value, tuple) and len(value) in (0, len(message.origins))
    if not fits or not all(type(each) is int and 0 <= each <= AGE_MAX_S for each in value):
        raise ValueError(f"{attribute.name} are not the ages of all origins")


def _check_seconds(message: object, attribute: Attribute, value: object) -> None:
    if type(value) is not int or not 0 <= value <= AGE_MAX_S:
        raise ValueError(f"{attribute.name} is not a number of seconds")


def _check_packed(message: object, attribute: Attribute, value: object) -> None:
    most = ADDRESSES_PER_MESSAGE * PACKED_ADDRESS_BYTES
    if not isinstance(value, bytes) or len(value) > most or len(value) % PACKED_ADDRESS_BYTES:
        raise ValueError(f"{attribute.name} is not a list of packed addresses")


def _check_addresses(message: object, attribute: Attribute, value: object) -> None:
    fits = isinstance(value, tuple) and len(value) <= ADDRESSES_PER_MESSAGE
    if not fits or not all(map(is_address, value)):
        raise ValueError(f"{attribute.name} is not a list of addresses")


@frozen
class OriginsMessage:
    """Origins of streams for an instance that is to keep them, as (stream, service, version).

    `ages` are the whole seconds since each was recorded first, none if all begin now.
    """

    origins: tuple[tuple[str, str, str], ...] = field(
        validator=_check_tuples(3, STREAMS_PER_MESSAGE)
    )
    ages: tuple[int, ...] = field(factory=tuple, validator=_check_ages)


@frozen
class OriginQuestion:
    """Question for the origins of streams, by their ids."""

    streams: tuple[str, ...] = field(validator=_check_texts)


@frozen
class OriginReply:
    """Reply to an `OriginQuestion`.

    `origins` are (stream, service, version), two of them for an id that was recorded with two
    versions, and `ages` the whole seconds since each was recorded first. `unknown` are the streams
    asked for of which the replier has no record. `versions` are the (service, version) that it has
    seen lately. `followed_s` is not used any more: older builds bind streams by what another
    instance has followed, which may have missed what the asking one did not see either.
    """

    origins: tuple[tuple[str, str, str], ...] = field(validator=_check_tuples(3, ORIGINS_PER_REPLY))
    unknown: tuple[str, ...] = field(factory=tuple, validator=_check_texts)
    versions: tuple[tuple[str, str], ...] = field(
        factory=tuple, validator=_check_tuples(2, VERSIONS_PER_MESSAGE)
    )
    ages: tuple[int, ...] = field(factory=tuple, validator=_check_ages)
    followed_s: int = field(default=0, validator=_check_seconds)


@frozen
class InstancesMessage:
    """Part of an order holder's list of the instances of one data centre.

    `data_centre` and `token` are the holder's, `listed` is the data centre of the instances and
    `number` rises with each change of its list. `packed` are IPv4 addresses with ports, 6 bytes
    each; `others` are IPv6 addresses.
    """

    data_centre: str = field(validator=check_text)
    token: int = field(validator=check_number)
    listed: str = field(validator=check_text)
    number: int = field(validator=check_number)
    part: int = field(validator=check_number)
    parts: int = field(validator=check_number)
    packed: bytes = field(validator=_check_packed)
    others: tuple[Address, ...] = field(factory=tuple, validator=_check_addresses)

    def __attrs_post_init__(self) -> None:
        """Refuse a part that its list can't have."""
        if not self.part < self.parts <= PARTS_MAX:
            raise ValueError(f"part {self.part} of {self.parts}")


@frozen
class InstancesQuestion:
    """Question of an instance to its order holder for all lists of instances."""


@frozen
class UnknownMessage:
    """Message of a kind that only another build knows."""

    kind: str


def pack_addresses(addresses: Sequence[Address]) -> tuple[bytes, tuple[Address, ...]]:
    """Return IPv4 addresses as bytes, and IPv6 addresses; what is neither is left out."""
    packed, others = bytearray(), []
    for host, port in addresses:
        if is_ip(host, AF_INET):
            packed += socket.inet_pton(AF_INET, host) + port.to_bytes(2)
        elif is_address((host, port)):
            others.append((host, port))
    return bytes(packed), tuple(others)


def list_addresses(message: InstancesMessage) -> tuple[Address, ...]:
    """Return the addresses of a part of a list."""
    packed = message.packed
    listed = (
        (
            socket.inet_ntop(AF_INET, packed[start : start + 4]),
            int.from_bytes(packed[start + 4 : start + PACKED_ADDRESS_BYTES]),
        )
        for start in range(0, len(packed), PACKED_ADDRESS_BYTES)
    )
    return tuple(each for each in (*listed, *message.others) if each[1])


StreamMessage = OriginsMessage | OriginQuestion | OriginReply | InstancesMessage | InstancesQuestion
CrashNews = CrashMessage | CrashQuestion | TrialMessage | BegunPartsMessage
LimitNews = LimitMessage | LimitQuestion | LimitReply
ConfirmationNews = ConfirmationQuestion | ConfirmationReply
CreditNews = CreditQuestion | CreditReply
InstanceMessage = StreamMessage | CrashNews | LimitNews | ConfirmationNews | CreditNews
HolderNews = DemandMessage | HolderMessage | PlansMessage | StoreMessage | SpeedsMessage
Message = HolderNews | InstanceMessage
KINDS: dict[str, type] = {
    "demand": DemandMessage,
    "holder": HolderMessage,
    "plans": PlansMessage,
    "news": StoreMessage,
    "origins": OriginsMessage,
    "origin_question": OriginQuestion,
    "origin_reply": OriginReply,
    "instances": InstancesMessage,
    "instances_question": InstancesQuestion,
    "crash": CrashMessage,
    "crash_question": CrashQuestion,
    "trial": TrialMessage,
    "begun_parts": BegunPartsMessage,
    "limit": LimitMessage,
    "limit_question": LimitQuestion,
    "limit_reply": LimitReply,
    "confirmation_question": ConfirmationQuestion,
    "confirmation_reply": ConfirmationReply,
    "credit_question": CreditQuestion,
    "credit_reply": CreditReply,
    "speeds": SpeedsMessage,
}
KIND_NAMES = {kind: name for name, kind in KINDS.items()}
CHECKS = {
    DemandMessage: check_demand,
    HolderMessage: check_holder,
    PlansMessage: check_plans,
    StoreMessage: check_store,
}
"""Checks of received messages whose fields have no validators."""


def pack_message(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return msgpack.packb((FORMAT, KIND_NAMES[type(message)], *astuple(message, recurse=False)))


def pack_datagram(message: Message) -> Result[bytes, str]:
    """Encode a message as a datagram, or return the reason why that fails."""
    try:
        data = pack_message(message)
    except PACK_ERRORS as error:
        return Failure(describe(error))
    if len(data) > DATAGRAM_BYTES_MAX:
        return Failure(f"{len(data)} bytes")
    return Success(data)


def unpack_message(data: bytes) -> Result[Message | UnknownMessage, str]:
    """Decode a datagram, or return the reason why that fails."""
    try:
        version, kind, *parts = msgpack.unpackb(data, use_list=False)
        if version != FORMAT:
            return Failure(f"format {version!r}"[:REASON_LENGTH_MAX])
        if isinstance(kind, str) and kind not in KINDS and KIND_NAME.fullmatch(kind):
            return Success(UnknownMessage(kind))
        message = KINDS[kind](*parts)
        if type(message) in CHECKS:
            CHECKS[type(message)](message)
        return Success(message)
    except DECODE_ERRORS as error:
        return Failure(describe(error))
