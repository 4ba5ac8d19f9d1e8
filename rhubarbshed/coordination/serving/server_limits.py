"""Limits that servers in need name: the requests a second that they take from all instances.

Failure: each instance keeps to such a limit by itself, and together they send as many times as much
as there are instances. One instance hands out the requests to a server, so that demand may come to
any of them unevenly.
"""

import enum
import math
from collections.abc import Collection, Mapping

from attrs import define, frozen

from rhubarbshed.coordination.serving.queueing import WAIT_MAX_S
from rhubarbshed.protocol.exchanges import ResponseHead
from rhubarbshed.protocol.limit_messages import LimitReply
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.util.rendezvous import rank_by_rendezvous

Address = tuple[str, int]

LIMIT_MIN_PER_S = 0.1
"""Limit in place of lower ones: only an answer shows that a server takes requests again."""

LIMIT_MAX_PER_S = 10_000.0
"""Limit from which a server counts as having none."""

BURST_S = 0.25
"""Time by which requests may be ahead of an even rate, by one at least: they come unevenly."""

SUBSTITUTE_FRACTION = 0.25
"""Part of a limit that an instance hands out in place of another one that may be handing out all of
it, to those that reach it."""

ADJUSTED_RATIO_MIN = 0.8
"""Least ratio of two limits, the lower to the higher, that are no change worth a message to all
others: each question states the limit that its instance knows."""

OWN_SHARE_FRACTION = 0.5
"""Part of its equal share of a limit that an instance uses while it can ask no other."""

MS_PER_S = 1000.0

RETRY_MAX_S = 10.0
"""Longest time after which a refused caller is asked to come back."""


class LimitChange(enum.Enum):
    """What an answer changed in what is known of its server's limit."""

    NONE = "none"
    NAMED = "named"
    ADJUSTED = "adjusted"
    ENDED = "ended"
    UNREADABLE = "unreadable"


def apply_head(record: ServerRecord, head: ResponseHead, sent_at: float, now: float) -> LimitChange:
    """Apply what the head of an answer says of its server's limit.

    A limit that cannot be read changes nothing: the server is still in need. A limit ends with an
    answer without one, to a request that was sent after it was named and that the server has run.
    """
    if head.names_limit and head.limit_per_s is None:
        return LimitChange.UNREADABLE
    if not head.names_limit and (head.not_run or sent_at < record.limit_named_at):
        return LimitChange.NONE
    return _set_limit(record, clamp_limit(head.limit_per_s), now)


def apply_reported_limit(
    record: ServerRecord, limit_per_s: float | None, named_at: float
) -> LimitChange:
    """Apply a limit that a server named to another instance, unless this one knows a later one."""
    if named_at <= record.limit_named_at:
        return LimitChange.NONE
    return _set_limit(record, clamp_limit(limit_per_s), named_at)


def _set_limit(record: ServerRecord, limit_per_s: float | None, named_at: float) -> LimitChange:
    known = record.limit_per_s
    record.limit_per_s = limit_per_s
    if limit_per_s is not None or known is not None:
        record.limit_named_at = named_at
    if limit_per_s == known:
        return LimitChange.NONE
    if limit_per_s is None or (known is not None and limit_per_s > known):
        record.limited_until = record.limit_retry_at = -math.inf
    if limit_per_s is None:
        return LimitChange.ENDED
    if known is not None and min(limit_per_s, known) / max(limit_per_s, known) > ADJUSTED_RATIO_MIN:
        return LimitChange.ADJUSTED
    return LimitChange.NAMED


def clamp_limit(limit_per_s: float | None) -> float | None:
    """Return the limit to keep to, None if there is none in effect."""
    if limit_per_s is None or math.isnan(limit_per_s) or limit_per_s >= LIMIT_MAX_PER_S:
        return None
    return max(LIMIT_MIN_PER_S, limit_per_s)


@frozen
class Grant:
    """Decision on one request to a server with a limit, as times in seconds from now.

    `send_in_s` is None if the request cannot be sent within its wait. The next one may be sent in
    `free_in_s`, and a caller that is refused can expect room in `retry_in_s`.
    """

    send_in_s: float | None
    free_in_s: float = 0.0
    retry_in_s: float = 0.0


@define
class LimitBucket:
    """Requests to one server, handed out one after the other.

    Source: generic cell rate algorithm, ITU-T I.371. `due_at` is when the next request is due at an
    even rate, and `expected_at` when the last refused caller was asked to come back.
    """

    due_at: float
    expected_at: float = -math.inf

    def take(self, rate_per_s: float, wait_max_s: float, now: float) -> Grant:
        """Grant a request now or within `wait_max_s`, or refuse it."""
        interval_s = 1.0 / rate_per_s
        burst_s = measure_burst(rate_per_s)
        # A limit may have been far lower when the last request was granted.
        self.due_at = min(self.due_at, now + burst_s + interval_s + WAIT_MAX_S)
        due_at = max(self.due_at, now)
        wait_s = max(0.0, due_at - burst_s - now)
        if wait_s <= wait_max_s:
            self.due_at = due_at + interval_s
            return Grant(wait_s)
        # Callers that are refused together come back one after the other.
        expected_at = max(self.expected_at + interval_s, now + wait_s)
        self.expected_at = min(expected_at, now + RETRY_MAX_S)
        return Grant(None, wait_s, self.expected_at - now)


def measure_burst(rate_per_s: float) -> float:
    """Return the seconds by which requests may be ahead of an even rate."""
    return max(BURST_S, 1.0 / rate_per_s)


def rank_allocators(
    server_id: str, data_centre: str, instances: Mapping[str, Collection[Address]]
) -> list[Address]:
    """Rank all instances by who hands out the requests to a server, the same everywhere.

    Those of the server's data centre go first, as they reach it whatever is cut elsewhere.
    """
    near = {f"{host}:{port}": (host, port) for host, port in instances.get(data_centre, ())}
    far = {
        f"{host}:{port}": (host, port)
        for name, group in instances.items()
        if name != data_centre
        for host, port in group
    }
    return [group[name] for group in (near, far) for name in rank_by_rendezvous(server_id, group)]


def make_reply(number: int, grant: Grant) -> LimitReply:
    """Return a grant as it is sent."""
    send_in_ms = None if grant.send_in_s is None else round(grant.send_in_s * MS_PER_S)
    times = (round(each * MS_PER_S) for each in (grant.free_in_s, grant.retry_in_s))
    return LimitReply(number, send_in_ms, *times)


def read_grant(reply: LimitReply) -> Grant:
    """Return the grant of a reply."""
    send_in_s = None if reply.send_in_ms is None else reply.send_in_ms / MS_PER_S
    return Grant(send_in_s, reply.free_in_ms / MS_PER_S, reply.retry_in_ms / MS_PER_S)


def find_limit_retry(
    servers: Collection[ServerRecord], needs: tuple[str, str], now: float
) -> float | None:
    """Return the seconds until a server that holds (model, adapter) may have room.

    None if no limit and no pause that a server asked for is why all are full.
    """
    model, adapter = needs
    retries = [
        max(record.limited_until, record.limit_retry_at, record.backoff_until) - now
        for record in servers
        if now < max(record.limited_until, record.backoff_until)
        and (not model or record.holds(model, adapter))
    ]
    return min(retries, default=None)
