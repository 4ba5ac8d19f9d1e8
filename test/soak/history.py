"""What callers, backend servers and the soak itself saw, as plain records."""

import json
from pathlib import Path

from attrs import define, field, frozen

ALL = "*"
"""Subject of a disturbance that touches every instance."""


@frozen
class Asked:
    """A request as its caller saw it; times are monotonic seconds, `status` 0 is no answer.

    `signed` tells that a server's answer was passed on, `whole` that it ended as it should, `left`
    that the caller went away first, `kept` that an earlier request was answered on the connection.
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
    kept: bool = False


@frozen
class Seen:
    """A line that a backend server wrote."""

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


@frozen
class Disturbance:
    """A fault on an instance, a server or `ALL` from `since` to `until`."""

    subject: str
    kind: str
    since: float
    until: float


@frozen
class Stop:
    """A planned stop of an instance: SIGTERM at `at`, and how the process ended."""

    instance: str
    at: float
    ended_at: float
    code: int


@frozen
class Leaving:
    """A backend server whose entry went at `at`, and that ended at `until`."""

    server: str
    at: float
    until: float


@define
class History:
    """All of a run."""

    asked: list[Asked] = field(factory=list)
    seen: list[Seen] = field(factory=list)
    disturbances: list[Disturbance] = field(factory=list)
    stops: list[Stop] = field(factory=list)
    leavings: list[Leaving] = field(factory=list)
    moves: list[tuple[float, str, str]] = field(factory=list)
    own_ends: list[str] = field(factory=list)
    calm_from: float = 0.0

    def was_touched(self, subject: str, since: float, until: float) -> bool:
        """Tell whether a fault touched a subject, or all, within a span."""
        return any(
            each.subject in (subject, ALL) and each.since <= until and each.until >= since
            for each in self.disturbances
        )

    def read_records(self, path: Path) -> None:
        """Read what the backend servers wrote."""
        for line in path.read_text(encoding="utf-8").splitlines():
            plain = json.loads(line)
            plain["request_id"] = plain.pop("id", "")
            self.seen.append(Seen(**plain))
        self.seen.sort(key=lambda each: each.at)
