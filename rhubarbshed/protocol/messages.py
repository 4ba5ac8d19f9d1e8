"""Datagrams between instances and those among them that give orders.

Each data centre has one order holder, for the engines in it. Instances talk to the holder of their
own data centre, and holders to each other.
"""

import msgpack
from attrs import astuple, field, frozen
from returns.result import Failure, Result, Success

FORMAT = 4
DECODE_ERRORS = (KeyError, TypeError, ValueError, IndexError, msgpack.UnpackException)


@frozen
class DemandMessage:
    """Tell an order holder what was asked for since the last word.

    `counts` are (service, model, adapter, requests, tokens of their prompts, runs, seconds of
    these). `awaited` are (service, model, adapter) that callers wait for. `missing` are (server,
    born_ms, model, adapter) that a server said it has not, with no model for a server that turns
    connections down. `loads` are (server, requests running or waiting there) that servers told.
    """

    sender: str
    data_centre: str
    counts: tuple[tuple[str, str, str, int, int, int, float], ...] = field(factory=tuple)
    awaited: tuple[tuple[str, str, str], ...] = field(factory=tuple)
    missing: tuple[tuple[str, int, str, str], ...] = field(factory=tuple)
    loads: tuple[tuple[str, int], ...] = field(factory=tuple)


@frozen
class HolderMessage:
    """Tell who gives orders in a data centre, and what engines hold.

    `gives_orders` tells whether the holder's lease is good now, `instances` how many it hears and
    `instances_elsewhere` how many the holders elsewhere hear. A word tells of some engines:
    to the instances of the own data centre of any, to other holders of its own. `held` are
    (server, born_ms, ((model, adapters), ...)); `changes` are (server, model that it loads, seconds
    left for that, model that it drops), for the same servers. `holders` are the
    (data centre, host, port) of the other holders that it knows. `loads` are (server, requests
    running or waiting there).
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
    """Tell the instances of a data centre what its order holder has read in the store.

    `rows` are the servers' rows, as (key, version, value or None), that changed after revision
    `before` up to `revision`. `settled` tells whether rows that lapsed while the store was away
    would be back by now. `configuration` is the version of the configuration known.
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
    """Encode a word."""
    return msgpack.packb((FORMAT, KIND_NAMES[type(message)], *astuple(message, recurse=False)))


def unpack_message(data: bytes) -> Result[Message, str]:
    """Decode a word; a reason comes in place of one that cannot be read."""
    try:
        version, kind, *parts = msgpack.unpackb(data, use_list=False)
        if version != FORMAT:
            return Failure(f"format {version!r}")
        return Success(KINDS[kind](*parts))
    except DECODE_ERRORS as error:
        return Failure(repr(error))
