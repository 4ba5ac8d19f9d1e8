"""Datagrams between instances and those among them that give orders.

Each data centre has one order holder, for the engines in it. Instances talk to the holder of their
own data centre, and holders to each other.
"""

import msgpack
from attrs import astuple, field, frozen
from returns.result import Failure, Result, Success

FORMAT = 4
BAD_WORD = (KeyError, TypeError, ValueError, IndexError, msgpack.UnpackException)


@frozen
class DemandWord:
    """Tell an order holder what was asked for since the last word.

    `counts` are (service, model, adapter, requests, tokens of their prompts, runs, seconds of
    these). `wants` are (service, model, adapter) that callers wait for. `lacks` are (server,
    born_ms, model, adapter) that a server said it has not, with no model for a server that turns
    connections down. `loads` are (server, requests running or waiting there) that servers told.
    """

    sender: str
    data_centre: str
    counts: tuple[tuple[str, str, str, int, int, int, float], ...] = field(factory=tuple)
    wants: tuple[tuple[str, str, str], ...] = field(factory=tuple)
    lacks: tuple[tuple[str, int, str, str], ...] = field(factory=tuple)
    loads: tuple[tuple[str, int], ...] = field(factory=tuple)


@frozen
class HolderWord:
    """Tell who gives orders in a data centre, and what engines hold.

    `ordering` tells whether the holder's lease is good now, `instances` how many it hears and
    `elsewhere` how many the holders of the other data centres hear. A word tells of some engines:
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
    ordering: bool
    instances: int
    elsewhere: int
    held: tuple[tuple[str, int, tuple[tuple[str, tuple[str, ...]], ...]], ...] = field(
        factory=tuple
    )
    changes: tuple[tuple[str, str, float, str], ...] = field(factory=tuple)
    holders: tuple[tuple[str, str, int], ...] = field(factory=tuple)
    loads: tuple[tuple[str, int], ...] = field(factory=tuple)


@frozen
class NewsWord:
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


Word = DemandWord | HolderWord | NewsWord
KINDS: dict[str, type] = {"demand": DemandWord, "holder": HolderWord, "news": NewsWord}
KIND_NAMES = {kind: name for name, kind in KINDS.items()}


def pack_word(word: Word) -> bytes:
    """Encode a word."""
    return msgpack.packb((FORMAT, KIND_NAMES[type(word)], *astuple(word, recurse=False)))


def unpack_word(data: bytes) -> Result[Word, str]:
    """Decode a word; a reason comes in place of one that cannot be read."""
    try:
        version, kind, *parts = msgpack.unpackb(data, use_list=False)
        if version != FORMAT:
            return Failure(f"format {version!r}")
        return Success(KINDS[kind](*parts))
    except BAD_WORD as error:
        return Failure(repr(error))
