"""Origins of streams as the store keeps them while the sole version cannot decide.

Failure: all instances are killed while two versions of a service are in use, and nobody remembers
which of them began a stream. An order holder writes what its instances record, some hundred streams
in a row: the store takes far fewer writes than there are streams.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Any

import xxhash
from attrs import field, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.message_checks import is_number, is_text
from rhubarbshed.protocol.streams import StreamOrigin
from rhubarbshed.state.membership.fleet import Fleet
from rhubarbshed.state.membership.versions import VersionHistory
from rhubarbshed.state.requests.stream_origins import STREAM_AGE_MAX_S

STREAMS_MAX = 2_000
"""Most streams in one batch, which keeps it below the size of a row."""

NUMBER_MAX = 2**32
"""Bound of the numbers of batches."""

DIGEST_LENGTH = 16
DIGEST_DIGITS = frozenset("0123456789abcdef")


@frozen
class OriginBatch:
    """Origins with the digests of their streams; `number` rises with each batch of a writer."""

    number: int
    streams: Mapping[StreamOrigin, tuple[str, ...]] = field(factory=dict)

    def to_value(self) -> dict[str, Any]:
        """Return the value of the row."""
        origins = [
            [origin.service, origin.version, "".join(digests)]
            for origin, digests in self.streams.items()
        ]
        return {"number": self.number, "origins": origins}


def make_digest(stream_id: str) -> str:
    """Return the digest under which a stream is kept."""
    return xxhash.xxh3_64_hexdigest(stream_id.encode(errors="surrogatepass"))


def make_batch(number: int, recorded: Iterable[tuple[str, StreamOrigin]]) -> OriginBatch:
    """Return a batch of (stream, origin) pairs."""
    streams: dict[StreamOrigin, list[str]] = {}
    for stream_id, origin in recorded:
        streams.setdefault(origin, []).append(make_digest(stream_id))
    return OriginBatch(number, {origin: tuple(each) for origin, each in streams.items()})


def read_batch(value: Mapping[str, Any]) -> Result[OriginBatch, str]:
    """Decode the value of a row."""
    try:
        number, origins = value["number"], value["origins"]
        if not is_number(number, NUMBER_MAX):
            raise ValueError("not a number of a batch")
        return Success(OriginBatch(number, dict(_read_origin(*each) for each in origins)))
    except (KeyError, TypeError, ValueError) as error:
        return Failure(repr(error)[:200])


def _read_origin(service: object, version: object, joined: object) -> tuple[StreamOrigin, tuple]:
    if not (is_text(service) and is_text(version) and isinstance(joined, str)):
        raise TypeError("not an origin")
    if len(joined) % DIGEST_LENGTH or not DIGEST_DIGITS.issuperset(joined):
        raise ValueError("not digests of streams")
    starts = range(0, len(joined), DIGEST_LENGTH)
    return (
        StreamOrigin(service, version),
        tuple(joined[start : start + DIGEST_LENGTH] for start in starts),
    )


def list_unsettled(versions: VersionHistory, fleet: Fleet, now: float) -> frozenset[str]:
    """List the services whose streams can have more than one version.

    These are all while entries may have been missed within the age of a stream.
    """
    pairs = versions.list_seen(fleet, now - STREAM_AGE_MAX_S)
    services = [service for service, _ in pairs]
    since = versions.followed_since
    if since is None or now - since < STREAM_AGE_MAX_S:
        return frozenset(services)
    return frozenset(service for service in services if services.count(service) > 1)


def find_origins(batches: Collection[OriginBatch], stream_id: str) -> frozenset[StreamOrigin]:
    """Find the origins of a stream; more than one if streams of two versions bear its id."""
    digest = make_digest(stream_id)
    return frozenset(
        origin
        for batch in batches
        for origin, digests in batch.streams.items()
        if digest in digests
    )
