"""Datagrams between instances and order holders.

Each data centre has one order holder, the instance that sends orders to the engines in it.
Instances exchange messages with the holder of their own data centre, and holders with each other.
"""

import msgpack
from attrs import astuple, field, frozen
from returns.result import Failure, Result, Success

FORMAT = 4
DECODE_ERRORS = (KeyError, TypeError, ValueError, IndexError, msgpack.UnpackException)


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
class StoreMessage:
    """Rows read from the store, sent by an order holder to the instances of its data centre.

    `rows` are the servers' rows, as (key, version, value or None), that changed after revision
    `before` up to `revision`. `settled` is whether rows that expired while the store was
    unavailable would have been written again by now. `configuration` is the version of the
    configuration known to the holder.
    """

    sender: str
    data_centre: str
    token: int
    configuration: int
    settled: bool
    before: int
    revision: int
    rows: tuple[tuple[str, int, dict | None], ...] = field(factory=tuple)


Message = DemandMessage | HolderMessage | StoreMessage
KINDS: dict[str, type] = {"demand": DemandMessage, "holder": HolderMessage, "news": StoreMessage}
KIND_NAMES = {kind: name for name, kind in KINDS.items()}


def pack_message(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return msgpack.packb((FORMAT, KIND_NAMES[type(message)], *astuple(message, recurse=False)))


def unpack_message(data: bytes) -> Result[Message, str]:
    """Decode a datagram, or return the reason why that fails."""
    try:
        version, kind, *parts = msgpack.unpackb(data, use_list=False)
        if version != FORMAT:
            return Failure(f"format {version!r}")
        return Success(KINDS[kind](*parts))
    except DECODE_ERRORS as error:
        return Failure(repr(error))
