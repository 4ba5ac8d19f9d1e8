"""Limits that servers in need name: the requests a second that they take from all instances.

Failure: each instance keeps to such a limit by itself, and together they send as many times as much
as there are instances.
"""

import enum
import math

from rhubarbshed.protocol.exchanges import ResponseHead
from rhubarbshed.state.membership.fleet import ServerRecord

LIMIT_MIN_PER_S = 0.1
"""Limit in place of lower ones: only an answer shows that a server takes requests again."""

LIMIT_MAX_PER_S = 10_000.0
"""Limit from which a server counts as having none."""


class LimitChange(enum.Enum):
    """What an answer changed in what is known of its server's limit."""

    NONE = "none"
    NAMED = "named"
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
    known = record.limit_per_s
    record.limit_per_s = clamp_limit(head.limit_per_s)
    if head.names_limit:
        record.limit_named_at = now
    if record.limit_per_s == known:
        return LimitChange.NONE
    return LimitChange.ENDED if record.limit_per_s is None else LimitChange.NAMED


def clamp_limit(limit_per_s: float | None) -> float | None:
    """Return the limit to keep to, None if there is none in effect."""
    if limit_per_s is None or math.isnan(limit_per_s) or limit_per_s >= LIMIT_MAX_PER_S:
        return None
    return max(LIMIT_MIN_PER_S, limit_per_s)
