"""Instances that keep the origin of a stream, and whom to ask for it.

Answers a crash of an instance in the middle of a stream: the caller tries again at another one,
which has to know the software version that began the stream. The backups follow from the stream's
id alone, so an instance finds them without communication; lists of instances that differ for a
moment cost a second round of questions, never a wrong origin.
"""

import itertools
from collections.abc import Collection, Container, Iterable, Iterator, Mapping

import xxhash
from attrs import frozen

from rhubarbshed.protocol.messages import is_text
from rhubarbshed.protocol.streams import StreamOrigin
from rhubarbshed.util.rendezvous import rank_by_rendezvous

Address = tuple[str, int]
Instances = Mapping[str, Mapping[str, Address]]
"""Addresses of the other instances by data centre and name."""

BACKUPS = 3
"""Other instances that are told of a stream: its origin survives the loss of any three."""

BACKUPS_ELSEWHERE = 1
"""Backups in another data centre, for the loss of a whole one."""

LIKELY_BACKUPS = 3
"""Instances asked in each data centre in the first round. The two backups in a data centre are
among its first three, as the instance that chose them is not on its own list. Where there is one
data centre only, the last of three backups may be the fourth."""


@frozen
class Replies:
    """State of a search: who was asked, who replied, and the origins that they gave."""

    asked: frozenset[Address] = frozenset()
    replied: frozenset[Address] = frozenset()
    origins: frozenset[StreamOrigin] = frozenset()


def make_key(stream_id: str) -> str:
    """Return the key under which a stream is kept: its id, or a digest if messages can't carry it.

    The id is what a caller sent.
    """
    if is_text(stream_id):
        return stream_id
    return xxhash.xxh3_128_hexdigest(stream_id.encode(errors="surrogatepass"))


def name_instances(
    instances: Mapping[str, Collection[Address]],
) -> dict[str, dict[str, Address]]:
    """Return instances with the names by which all of them are ranked alike."""
    return {
        data_centre: {f"{host}:{port}": (host, port) for host, port in addresses}
        for data_centre, addresses in instances.items()
        if addresses
    }


def choose_backups(
    stream_id: str, own_data_centre: str, instances: Instances
) -> tuple[Address, ...]:
    """Choose the instances to be told of a stream.

    If the own data centre has too few, others take their place, and the other way round.
    """
    local = _rank(stream_id, instances.get(own_data_centre, {}))
    others = [name for name in instances if name != own_data_centre]
    count = sum(len(instances[name]) for name in others)
    chosen = local[: BACKUPS - min(BACKUPS_ELSEWHERE, count)]
    elsewhere = _take_by_turns(stream_id, rank_by_rendezvous(stream_id, others), instances)
    return (*chosen, *itertools.islice(elsewhere, BACKUPS - len(chosen)))


def choose_first_round(stream_id: str, instances: Instances) -> tuple[Address, ...]:
    """Choose the instances to ask first for a stream: its likely backups in each data centre."""
    return tuple(
        address
        for named in instances.values()
        for address in _rank(stream_id, named)[:LIKELY_BACKUPS]
    )


def choose_second_round(instances: Instances, replies: Replies) -> tuple[Address, ...]:
    """Choose the instances to ask after the first round.

    If nobody knew the stream, these are all that have not replied yet. Otherwise they are those
    that were asked and have not replied: one of them may contradict, and to ask all others would
    multiply the messages just when a data centre is lost.
    """
    if len(replies.origins) > 1:
        return ()
    if replies.origins:
        return tuple(replies.asked - replies.replied)
    return tuple(
        address
        for named in instances.values()
        for address in named.values()
        if address not in replies.replied
    )


def is_round_over(
    targets: Collection[Address], replies: Replies, silent: Container[Address]
) -> bool:
    """Return whether a round of questions need not go on.

    An instance that was silent before is waited for only while nobody knows the stream.
    """
    if len(replies.origins) > 1:
        return True
    missing = [address for address in targets if address not in replies.replied]
    if replies.origins:
        return all(address in silent for address in missing)
    return not missing


def find_silent(
    instances: Instances, asked_twice: frozenset[Address], replies: Replies
) -> frozenset[Address]:
    """Find the instances that are not to be waited for in further searches.

    These are the ones that were asked twice and did not reply; where that is true of all that were
    asked first in a data centre, the whole of it is lost or cut off.
    """
    silent = asked_twice - replies.replied
    for named in instances.values():
        here = frozenset(named.values())
        if len(silent & here) >= min(LIKELY_BACKUPS, len(here)) and not replies.replied & here:
            silent |= here
    return silent


def combine_origins(origins: Iterable[StreamOrigin]) -> StreamOrigin | None:
    """Return the one origin that all replies gave, None if there is none or they disagree."""
    different = set(origins)
    return different.pop() if len(different) == 1 else None


def _rank(stream_id: str, named: Mapping[str, Address]) -> list[Address]:
    return [named[name] for name in rank_by_rendezvous(stream_id, named)]


def _take_by_turns(
    stream_id: str, data_centres: list[str], instances: Instances
) -> Iterator[Address]:
    """Yield the first of each data centre, then the second; only those needed are ranked."""
    ranked: dict[str, list[Address]] = {}
    for rank in range(BACKUPS):
        for name in data_centres:
            if name not in ranked:
                ranked[name] = _rank(stream_id, instances[name])
            yield from ranked[name][rank : rank + 1]
