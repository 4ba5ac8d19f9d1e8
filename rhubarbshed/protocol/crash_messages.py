"""Messages about requests that were at backend servers when these ended.

Instances send them to all others. Times are milliseconds before the message was sent, as clocks
differ.
"""

from attrs import Attribute, field, frozen

from rhubarbshed.protocol.message_checks import check_number, check_text, is_number, is_text

KEY_BYTES = 16
"""Bytes of a fingerprint."""

SIGHTINGS_PER_MESSAGE = 14
KEYS_PER_MESSAGE = 48
"""Most rows in one datagram, so that it has at most 1,200 bytes."""

AGE_MAX_MS = 86_400_000
"""Greatest age in a message."""

SightingRow = tuple[bytes, bytes, int, int, bool, str, int]
"""Key, fingerprint of the request, ages of its sending and of the end, whether it had begun, and
the server that ended before it was sent (id and start), an empty id if there is none."""


def _is_key(value: object) -> bool:
    return isinstance(value, bytes) and len(value) == KEY_BYTES


def _is_sighting(row: object) -> bool:
    if not isinstance(row, tuple) or len(row) != 7:
        return False
    key, request, sent_ago_ms, ended_ago_ms, begun, server_id, started_ms = row
    ages = is_number(sent_ago_ms, AGE_MAX_MS) and is_number(ended_ago_ms, AGE_MAX_MS)
    after = is_text(server_id) and is_number(started_ms)
    return ages and after and _is_key(key) and _is_key(request) and isinstance(begun, bool)


def _check_sightings(message: object, attribute: Attribute, value: object) -> None:
    fits = isinstance(value, tuple) and len(value) <= SIGHTINGS_PER_MESSAGE
    if not fits or not all(map(_is_sighting, value)):
        raise ValueError(f"{attribute.name} is not a short list of sightings")


def _check_keys(message: object, attribute: Attribute, value: object) -> None:
    fits = isinstance(value, tuple) and len(value) <= KEYS_PER_MESSAGE
    if not fits or not all(map(_is_key, value)):
        raise ValueError(f"{attribute.name} is not a short list of keys")


@frozen
class CrashMessage:
    """Requests that were at a server when it ended, and keys cleared of this end.

    `started_ms` tells the server's incarnations apart.
    """

    server_id: str = field(validator=check_text)
    started_ms: int = field(validator=check_number)
    sightings: tuple[SightingRow, ...] = field(factory=tuple, validator=_check_sightings)
    cleared: tuple[bytes, ...] = field(factory=tuple, validator=_check_keys)


@frozen
class CrashQuestion:
    """Question for all that is known of ended servers, unless it has the same digest."""

    digest: int = field(validator=check_number)


@frozen
class TrialMessage:
    """Announcement that a request with a verdict is sent, to find out whether that is wrong."""

    keys: tuple[bytes, ...] = field(validator=_check_keys)


@frozen
class BegunPartsMessage:
    """Parts of prompts that were at an ended server and that answers have begun on lately."""

    keys: tuple[bytes, ...] = field(validator=_check_keys)
