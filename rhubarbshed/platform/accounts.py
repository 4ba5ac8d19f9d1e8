"""Decoding of the client accounts of a configuration.

The operator's list is read account by account: one that cannot be read takes neither the other
accounts nor the routes away. Reasons of problems are fixed texts, so that no key gets into a log.
"""

from collections.abc import Callable, Iterator
from typing import Any

from attrs import field, frozen

from rhubarbshed.platform.values import (
    DECODE_ERRORS,
    require_count,
    require_header_value,
    require_list,
    require_number,
)
from rhubarbshed.protocol.accounts import (
    Account,
    AccountLimit,
    AccountProblem,
    Accounts,
    LimitUnit,
)
from rhubarbshed.protocol.message_checks import is_encodable

KEY_LENGTH_MAX = 4_096
"""Most characters of a key; a request's headers have 16 KB by default."""

KEYS_REFUSED = "its keys are refused"
KEYS_UNKNOWN = "its keys are not known"
ALL_REFUSED = "all keys are refused"
KEY_REFUSED = "this key is refused, its other keys are valid"
"""Effects of problems on keys."""


@frozen
class _ReadAccount:
    """One account of the list: the value None if it cannot be read, and its keys."""

    name: str
    account: Account | None
    keys: frozenset[str] = field(repr=False)
    odd_keys: frozenset[str] = field(repr=False)
    problems: tuple[AccountProblem, ...]


def read_accounts(plain: Any) -> Accounts | None:
    """Decode the list of accounts, None if the configuration has none."""
    if plain is None:
        return None
    try:
        listed = require_list(plain)
    except DECODE_ERRORS:
        problem = AccountProblem("", "not a list of bounded length", ALL_REFUSED)
        return Accounts(problems=(problem,), is_readable=False)
    names: set[str] = set()
    found = [_read_account(each, f"#{place}", names) for place, each in enumerate(listed, 1)]
    return _index_keys(found)


def _index_keys(found: list[_ReadAccount]) -> Accounts:
    """Return the accounts by key; a key of two accounts belongs to neither."""
    by_key: dict[str, Account] = {}
    unreadable: dict[str, str] = {}
    owners: dict[str, _ReadAccount] = {}
    shared: dict[tuple[str, str], None] = {}
    for each in found:
        for key in each.odd_keys:
            unreadable[key] = each.name
        for key in each.keys:
            other = owners.setdefault(key, each)
            if other is not each:
                shared[other.name, each.name] = None
                unreadable[key] = f"{other.name},{each.name}"
            elif each.account is None:
                unreadable[key] = each.name
            else:
                by_key[key] = each.account
    for key in unreadable:
        by_key.pop(key, None)
    problems = [problem for each in found for problem in each.problems]
    problems += [
        AccountProblem(f"{first},{second}", "two accounts list the same key", KEY_REFUSED)
        for first, second in shared
    ]
    return Accounts(by_key, unreadable, tuple(problems))


def _read_account(plain: Any, place: str, names: set[str]) -> _ReadAccount:
    """Decode one account; `names` are those of the accounts before it."""
    if type(plain) is not dict:
        problem = AccountProblem(place, "not an object", KEYS_UNKNOWN)
        return _ReadAccount(place, None, frozenset(), frozenset(), (problem,))
    reasons: list[str] = []

    def read(what: str, decode: Callable[[], Any]) -> Any:
        try:
            return decode()
        except DECODE_ERRORS:
            reasons.append(f"{what} cannot be read")
            return None

    name = read("Name", lambda: require_header_value(plain.get("Name")))
    if name in names:
        reasons.append("another account has the same name")
    elif name is not None:
        names.add(name)
    priority = read("Priority", lambda: _read_optional(plain.get("Priority"), require_count))
    limit = read("the limit", lambda: _read_limit(plain))
    has_keys = type(plain.get("ApiKeys")) in (list, tuple)
    listed = read("ApiKeys", lambda: require_list(plain["ApiKeys"] if has_keys else False))
    keys, odd_keys, unusable = _read_keys(plain["ApiKeys"] if has_keys else ())
    shown = name if name is not None else place
    effect = KEYS_REFUSED if listed is not None else KEYS_UNKNOWN
    problems = [AccountProblem(shown, reason, effect) for reason in reasons]
    if unusable and not reasons:
        problems.append(AccountProblem(shown, "a key cannot be read", KEY_REFUSED))
    account = None if reasons else Account(name, priority, limit)
    return _ReadAccount(shown, account, keys, odd_keys, tuple(problems))


def _read_keys(listed: Any) -> tuple[frozenset[str], frozenset[str], int]:
    """Return the usable keys of a list, the others that a caller may send, and their number."""
    usable, odd, unusable = set(), set(), 0
    for each in listed:
        if _is_usable(each):
            usable.add(each)
            continue
        unusable += 1
        odd.update(_list_sendable(each))
    return frozenset(usable), frozenset(odd), unusable


def _is_usable(key: Any) -> bool:
    """Return whether a key is text that a header can carry as it is."""
    if type(key) is not str or not 0 < len(key) <= KEY_LENGTH_MAX or not is_encodable(key):
        return False
    return key.isprintable() and key == key.strip()


def _list_sendable(key: Any) -> Iterator[str]:
    """Yield the form in which a header carries a key with space around it, if it has one."""
    if type(key) is str and _is_usable(key.strip()):
        yield key.strip()


def _read_limit(plain: dict[str, Any]) -> AccountLimit | None:
    """Decode the limit of an account, None without a rate."""
    unit = plain.get("Unit")
    unit = LimitUnit.REQUESTS if unit in (None, "") else LimitUnit(unit)
    rate_per_s = _read_optional(plain.get("RatePerS"), require_number) or 0.0
    burst = _read_optional(plain.get("Burst"), require_number) or 0.0
    plain_tokens = _read_optional(plain.get("PlainTokens"), require_number)
    if not rate_per_s:
        return None
    return AccountLimit(rate_per_s, burst, unit, 1.0 if plain_tokens is None else plain_tokens)


def _read_optional(value: Any, require: Callable[[Any], Any]) -> Any:
    return None if value is None else require(value)
