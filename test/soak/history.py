"""Records of what callers, backend servers and the soak itself observed."""

import enum
import json
import math
import re
from pathlib import Path

from attrs import define, field, frozen

ALL = "*"
"""Subject of a disturbance that affects every instance."""

STORE = "store"
"""Subject of a disturbance of the store, which affects every instance too."""


EVENT = re.compile(rb"id: (\d+)\ndata: t\1 (\S+) ([^\n]+)\n\n")
"""Event of a stream, with its number, the server's run and the version of the server's software."""


class Sent(enum.Enum):
    """How a request was sent: on which connection, and when on it."""

    NEW = "new connection"
    KEPT = "kept connection"
    AT_ONCE = "as an answer ended"
    PARTS = "in parts"
    IDLE = "connection without a request before"
    QUEUED = "many connections at once"


@frozen
class Asked:
    """Request as its caller saw it; times are monotonic seconds, `status` 0 is no answer.

    `signed` means that a server's answer was relayed, `whole` that the answer is complete, `left`
    that the caller disconnected before. `last_byte_at` is when the request was sent completely, or
    0 if its connection ended before. A request that takes up a stream names its `first` attempt and
    the number of the last event `after` which it goes on. `refused` means that nobody listened at
    the instance's port, so that no process can have read the request.
    """

    request_id: str
    path: str
    instance: str
    sent_at: float
    ended_at: float
    status: int = 0
    signed: bool = False
    whole: bool = False
    body: bytes = b""
    payload: bytes = b""
    retry_after: str = ""
    left: bool = False
    how: Sent = Sent.NEW
    last_byte_at: float = 0.0
    model: str = ""
    first: str = ""
    after: int = 0
    refused: bool = False

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return number and version of each whole event of a stream."""
        found = EVENT.findall(self.body) if "/s/" in self.path else []
        return [(int(number), version.decode()) for number, _, version in found]

    @property
    def last_event(self) -> int:
        """Return the number of the last event that the caller has, from all attempts."""
        return max([self.after, *(number for number, _ in self.events)])


@frozen
class Seen:
    """Event that a backend server recorded."""

    at: float
    what: str
    server: str
    born: int
    request_id: str = ""
    path: str = ""
    after: int = 0
    cut: bool = False
    holder: str = ""
    token: int = 0
    limit: float = 0.0
    account: str = ""
    key: bool = False


@frozen
class Disturbance:
    """Fault on an instance, a server, `STORE` or `ALL` from `since` to `until`."""

    subject: str
    kind: str
    since: float
    until: float


@frozen
class Stop:
    """Planned stop of an instance: SIGTERM at `at`, and the time and code of its exit."""

    instance: str
    at: float
    ended_at: float
    code: int


@frozen
class Leaving:
    """Planned removal of a backend server: entry deleted at `at`, process ended at `until`."""

    server: str
    at: float
    until: float


@frozen
class Deadly:
    """Request that ends the servers that run it; `kind` is what those like it have in common."""

    request_id: str
    kind: str
    instance: str
    sent_at: float


@frozen
class Keyed:
    """Request with a client account's key, by its number; `status` 0 is no answer."""

    request_id: str
    key: int
    instance: str
    sent_at: float
    status: int
    ended_at: float = 0.0


@define
class Serving:
    """Time in which an engine of some version takes new requests."""

    server: str
    version: str
    since: float
    until: float = math.inf


@define
class History:
    """All records of a run; `moves` are route changes as (time, old, new) server prefixes.

    `added` are the times at which the store acknowledged the configuration of a version, `listed`
    one with a key, by its number, and `unlisted` those from which one without it was written.
    `revoked` are the times at which the store had a configuration without a key, by its number.
    `refused` are the addresses of callers whose connection an instance or a server behind a relay
    refused, with the time.
    """

    asked: list[Asked] = field(factory=list)
    seen: list[Seen] = field(factory=list)
    disturbances: list[Disturbance] = field(factory=list)
    stops: list[Stop] = field(factory=list)
    leavings: list[Leaving] = field(factory=list)
    engines: list[Serving] = field(factory=list)
    deadly: list[Deadly] = field(factory=list)
    keyed: list[Keyed] = field(factory=list)
    added: dict[int, float] = field(factory=dict)
    listed: dict[int, float] = field(factory=dict)
    unlisted: dict[int, float] = field(factory=dict)
    revoked: dict[int, float] = field(factory=dict)
    moves: list[tuple[float, str, str]] = field(factory=list)
    own_ends: list[str] = field(factory=list)
    refused: dict[tuple[str, int], float] = field(factory=dict)
    calm_from: float = 0.0

    def was_disturbed(
        self, subject: str, since: float, until: float, with_store: bool = True
    ) -> bool:
        """Return whether a fault affected a subject, or all, within a time span.

        Faults of the store affect all, unless `with_store` is false.
        """
        subjects = (subject, ALL, STORE) if with_store else (subject, ALL)
        return any(
            each.subject in subjects and each.since <= until and each.until >= since
            for each in self.disturbances
        )

    def was_stopped(self, instance: str, since: float, until: float) -> bool:
        """Return whether a planned stop of an instance falls into a time span."""
        stops = [each for each in self.stops if each.instance == instance]
        return any(each.at <= until and each.ended_at >= since for each in stops)

    def count_engines(self, version: str, since: float, until: float) -> int:
        """Return the number of engines of a version that serve undisturbed all of a time span."""
        return sum(
            each.version == version
            and each.since <= since
            and each.until >= until
            and not self.was_disturbed(each.server, since, until)
            for each in self.engines
        )

    def read_records(self, path: Path) -> None:
        """Read the events that backend servers recorded."""
        for line in path.read_text(encoding="utf-8").splitlines():
            plain = json.loads(line)
            plain["request_id"] = plain.pop("id", "")
            self.seen.append(Seen(**plain))
        self.seen.sort(key=lambda each: each.at)
