"""Decision on the key of a request, and the rank of accounts and routes at engines.

A key that the operator takes away has to lose its validity at an instance that is cut off from the
store as well, so no key is trusted there once the known configuration was not confirmed for long. A
request is refused for good only while a later configuration could not allow it.
"""

import enum
from collections.abc import Callable

from attrs import frozen

from rhubarbshed.protocol.accounts import Account, Accounts
from rhubarbshed.protocol.routes import Route

RANK_MAX = 9
"""Greatest number that engines take as a priority."""

ACCOUNT_WEIGHT = 3
LEVEL_MAX = 2
"""An account's priority goes before that of a route; both count up to this level at engines."""


class Refusal(enum.Enum):
    """Why a request may not be sent to a server."""

    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"
    ACCOUNT_UNREADABLE = "account_unreadable"
    KEYS_UNCONFIRMED = "keys_unconfirmed"


@frozen
class Access:
    """Account that a request belongs to, None without one, or why it may not be sent.

    `named` is the account for a log, also where the request is refused; "" if none is known.
    """

    account: Account | None = None
    refusal: Refusal | None = None
    named: str = ""


OPEN = Access()
"""Access of a request that needs no account."""


def decide_access(
    accounts: Accounts | None,
    route: Route,
    key: str | None,
    may_trust: Callable[[float], bool],
    may_refuse: Callable[[float], bool],
    now: float,
) -> Access:
    """Return the account of a request on a route, or why it is refused.

    `may_trust` returns whether the keys of the known configuration are trusted at a time, which is
    given as seconds of the lease clock, and `may_refuse` whether others are refused for good.
    """
    if accounts is None or not route.needs_key:
        return OPEN
    if key is None:
        return Access(refusal=Refusal.NO_KEY if may_refuse(now) else Refusal.KEYS_UNCONFIRMED)
    account = accounts.by_key.get(key)
    named = account.name if account is not None else accounts.unreadable_keys.get(key, "")
    if not may_trust(now):
        return Access(refusal=Refusal.KEYS_UNCONFIRMED, named=named)
    if account is not None:
        return Access(account, named=named)
    if not accounts.is_readable or key in accounts.unreadable_keys:
        return Access(refusal=Refusal.ACCOUNT_UNREADABLE, named=named)
    return Access(refusal=Refusal.UNKNOWN_KEY if may_refuse(now) else Refusal.KEYS_UNCONFIRMED)


def rank_priority(account: Account | None, route: Route) -> int:
    """Return the priority of a request at engines, 0 first; an account's goes before a route's."""
    if account is None:
        return min(RANK_MAX, route.priority)
    own = account.priority if account.priority is not None else route.priority
    return ACCOUNT_WEIGHT * min(LEVEL_MAX, own) + min(LEVEL_MAX, route.priority)
