"""News about ended servers as they are sent to other instances."""

from collections.abc import Iterable, Iterator, Mapping

from attrs import define, field

from rhubarbshed.protocol.crash_messages import (
    KEYS_PER_MESSAGE,
    SIGHTINGS_PER_MESSAGE,
    CrashMessage,
    SightingRow,
)
from rhubarbshed.protocol.quarantine import CrashId, Sighting
from rhubarbshed.state.requests.quarantine import QuarantineView

Incarnation = tuple[str, int]
"""Id of a server and the Unix milliseconds of its start."""


@define
class News:
    """What others are to be told about one ended server: sightings by key and request, and keys."""

    sightings: dict[tuple[str, str], Sighting] = field(factory=dict)
    cleared: set[str] = field(factory=set)


Outbox = dict[CrashId, News]
"""News by the end that they are about."""


def add_sightings(outbox: Outbox, sightings: Iterable[tuple[str, Sighting]]) -> None:
    """Add sightings by key."""
    for key, sighting in sightings:
        news = outbox.setdefault(sighting.crash, News())
        news.sightings[key, sighting.request] = sighting


def add_cleared(outbox: Outbox, cleared: Mapping[str, Iterable[CrashId]]) -> None:
    """Add keys that are cleared of ends."""
    for key, crashes in cleared.items():
        for crash in crashes:
            outbox.setdefault(crash, News()).cleared.add(key)


def collect_sightings(view: QuarantineView, keys: Iterable[str]) -> Outbox:
    """Return what is known of the ends under some keys."""
    outbox: Outbox = {}
    for key in keys:
        add_sightings(outbox, ((key, each) for each in view.list_sightings(key)))
    return outbox


def collect_all(view: QuarantineView, first: Iterable[str]) -> Outbox:
    """Return all that is known, that of some keys first."""
    outbox = collect_sightings(view, dict.fromkeys((*first, *view.sightings)))
    add_cleared(outbox, {key: entry.cleared for key, entry in view.entries.items()})
    return outbox


def make_crash_id(incarnation: Incarnation) -> CrashId:
    """Return the id of the end of a server."""
    server_id, started_ms = incarnation
    return CrashId(server_id, str(started_ms))


def make_messages(outbox: Outbox, now: float) -> Iterator[CrashMessage]:
    """Yield what is to be told, in datagrams of a limited size: sightings, then what is cleared."""
    for crash, news in outbox.items():
        rows = [make_row(key, sighting, now) for (key, _), sighting in news.sightings.items()]
        for start in range(0, len(rows), SIGHTINGS_PER_MESSAGE):
            part = tuple(rows[start : start + SIGHTINGS_PER_MESSAGE])
            yield CrashMessage(crash.backend_server, int(crash.boot_id), part)
    for crash, news in outbox.items():
        keys = [bytes.fromhex(key) for key in sorted(news.cleared)]
        for start in range(0, len(keys), KEYS_PER_MESSAGE):
            part = tuple(keys[start : start + KEYS_PER_MESSAGE])
            yield CrashMessage(crash.backend_server, int(crash.boot_id), cleared=part)


def make_row(key: str, sighting: Sighting, now: float) -> SightingRow:
    """Return a sighting as it is sent."""
    after = sighting.after or CrashId("", "0")
    return (
        bytes.fromhex(key),
        bytes.fromhex(sighting.request),
        max(0, round((now - sighting.sent_at) * 1000)),
        max(0, round((now - sighting.ended_at) * 1000)),
        sighting.begun,
        after.backend_server,
        int(after.boot_id),
    )


def read_sightings(message: CrashMessage, now: float) -> list[tuple[str, Sighting]]:
    """Return the sightings of a message by key."""
    crash = make_crash_id((message.server_id, message.started_ms))
    return [read_row(row, crash, now) for row in message.sightings]


def read_row(row: SightingRow, crash: CrashId, now: float) -> tuple[str, Sighting]:
    """Return a sighting that was sent, with its key."""
    key, request, sent_ago_ms, ended_ago_ms, begun, server_id, started_ms = row
    after = make_crash_id((server_id, started_ms)) if server_id else None
    sent_at, ended_at = now - sent_ago_ms / 1000, now - ended_ago_ms / 1000
    return key.hex(), Sighting(crash, request.hex(), sent_at, ended_at, begun, after)
