"""What the store keeps of the versions in service, for instances that start.

After a loss of all instances nobody remembers what served a minute ago, and streams would be
refused for a minute although their service has had one version all along. A record claims nothing
about the time after its revision: whoever goes on from it reads the store's feed from there.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Any

import xxhash
from attrs import field, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.message_checks import describe
from rhubarbshed.state.membership.fleet import Fleet
from rhubarbshed.state.membership.versions import KEPT_S, VersionHistory
from rhubarbshed.state.requests.stream_origins import STREAM_AGE_MAX_S

MS_PER_S = 1000.0

SERVERS_MAX = 4_000
"""Most servers in one record, which keeps it below the size of a row; the removal of any other one
is a gap."""

CHANGED_MAX = 200
"""Most changed routes in one record; with more of them all count as changed."""


@frozen
class ClockReading:
    """Time of the store's clock, and the monotonic seconds at which it was read.

    A writer takes the time before its call and a reader the time after it: what they convert is
    never earlier than it was, also if a machine stood still and its clock with it.
    """

    store_ms: float
    at: float

    def to_ms(self, at: float) -> float:
        """Return an earlier monotonic time as one of the store's clock."""
        return self.store_ms - min(self.at - at, KEPT_S) * MS_PER_S

    def to_monotonic(self, ms: float) -> float:
        """Return an earlier time of the store's clock as a monotonic one."""
        return self.at - (self.store_ms - ms) / MS_PER_S


@frozen
class VersionRecord:
    """Versions seen up to a revision of the store, and the routes then; times of the store's clock.

    From `followed_ms` to `revision` no entry was missed. `pairs` are the (service, version) of the
    last minute before it, `servers` digests of the ids that had entries. `configuration` is the
    revision of the configuration, before which none was missed from `routed_ms` on; `changed` are
    (host, prefix, ms) of routes that changed since. All revisions are of one `era` of the store.
    """

    revision: int
    followed_ms: float
    pairs: frozenset[tuple[str, str]]
    servers: frozenset[str] = frozenset()
    configuration: int = 0
    routed_ms: float = math.inf
    changed: tuple[tuple[str, str, float], ...] = field(factory=tuple)
    era: int = 0

    def to_value(self) -> dict[str, Any]:
        """Return the value of the row."""
        return {
            "revision": self.revision,
            "followed_ms": self.followed_ms,
            "pairs": sorted(map(list, self.pairs)),
            "servers": sorted(self.servers),
            "configuration": self.configuration,
            "routed_ms": self.routed_ms,
            "changed": [list(each) for each in self.changed],
            "era": self.era,
        }


def make_digest(server_id: str) -> str:
    """Return a short digest of a server's id."""
    return xxhash.xxh32_hexdigest(server_id.encode(errors="surrogatepass"))


def make_record(
    versions: VersionHistory,
    fleet: Fleet,
    revision: int,
    configuration: int,
    clock: ClockReading,
    now: float,
) -> VersionRecord | None:
    """Return the record of what was seen up to a revision, None if that is not known for long."""
    followed_since, routed_since = versions.followed_since, versions.routes.followed_since
    if followed_since is None or routed_since is None or versions.entry_age.is_suspended:
        return None
    if max(followed_since, routed_since) > clock.at:
        return None
    until = now - STREAM_AGE_MAX_S
    changed = [(*key, at) for key, at in versions.routes.changed_at.items() if at > until]
    if len(changed) > CHANGED_MAX or any(at > clock.at for *_, at in changed):
        return None
    listed = [name for name, record in fleet.servers.items() if record.missing_since is None]
    return VersionRecord(
        revision,
        clock.to_ms(followed_since),
        versions.list_seen(fleet, until),
        frozenset(map(make_digest, listed if len(listed) <= SERVERS_MAX else ())),
        configuration,
        clock.to_ms(routed_since),
        tuple((host, prefix, clock.to_ms(at)) for host, prefix, at in changed),
    )


def read_record(value: Mapping[str, Any], now_ms: float) -> Result[VersionRecord, str]:
    """Decode the value of a row, read at a time of the store's clock."""
    try:
        record = VersionRecord(
            _check_number(value["revision"], int),
            _check_number(value["followed_ms"], float, now_ms),
            frozenset((_check_text(service), _check_text(it)) for service, it in value["pairs"]),
            frozenset(map(_check_text, value["servers"])),
            _check_number(value["configuration"], int),
            _check_number(value["routed_ms"], float, now_ms),
            tuple(
                (_check_text(host), _check_text(prefix), _check_number(ms, float, now_ms))
                for host, prefix, ms in value["changed"]
            ),
            _check_number(value.get("era", 0), int),
        )
    except (KeyError, OverflowError, TypeError, ValueError) as error:
        return Failure(describe(error))
    return Success(record)


def choose_record(records: Iterable[VersionRecord], now_ms: float) -> VersionRecord | None:
    """Choose the record to go on from: the newest of those that reach back far enough."""
    until = now_ms - STREAM_AGE_MAX_S * MS_PER_S
    return max(
        records,
        key=lambda record: (min(0.0, until - record.followed_ms), record.revision),
        default=None,
    )


def go_on_from(
    versions: VersionHistory,
    record: VersionRecord,
    configuration: int,
    clock: ClockReading,
    now: float,
) -> None:
    """Record what a record tells, after all changes since its revision were recorded."""
    for pair in record.pairs:
        versions.last_seen[pair] = now
    versions.followed_since = min(versions.followed_since, clock.to_monotonic(record.followed_ms))
    routes = versions.routes
    if record.configuration == configuration and routes.followed_since is not None:
        routes.followed_since = min(routes.followed_since, clock.to_monotonic(record.routed_ms))
        for host, prefix, ms in record.changed:
            routes.changed_at.setdefault((host, prefix), clock.to_monotonic(ms))


def _check_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a text")
    return value


def _check_number(value: object, kind: type, most: float = math.inf) -> Any:
    allowed = (int,) if kind is int else (int, float)
    # The comparison is false for a number that is none.
    if type(value) not in allowed or not -math.inf < value <= most:
        raise ValueError(f"{value!r} is not a number in range")
    return kind(value)
