"""Checks of values in JSON of other writers: only what messages and headers can carry goes on."""

import re
from collections.abc import Sequence
from typing import Any

from rhubarbshed.protocol.message_checks import (
    NUMBER_MAX,
    PORT_MAX,
    is_number,
    is_quantity,
    is_text,
)

DECODE_ERRORS = (AttributeError, KeyError, OverflowError, RecursionError, TypeError, ValueError)
"""Raised while decoding unexpected bytes, fields or types from other writers."""

NAMES_MAX = 4_000
"""Most names in one list, some ten times as many as an engine has places for adapters."""

MILLISECONDS_MAX = 1e10
"""Longest time, some months; a timer of the event loop takes it."""

PATH = re.compile(r"/[!-~]*")

PORT = re.compile(r"[0-9]{1,5}")
"""A port in plain digits; `int` takes other ones as well."""


def require_text(value: Any) -> str:
    """Return short text that can be encoded."""
    if not is_text(value):
        raise TypeError("not short text")
    return value


def require_name(value: Any) -> str:
    """Return short text that is not empty."""
    if not require_text(value):
        raise ValueError("an empty name")
    return value


def require_count(value: Any, most: int = NUMBER_MAX) -> int:
    """Return a whole number from 0 on that a message can carry."""
    if not is_number(value, most):
        raise ValueError("not a whole number in its bounds")
    return value


def require_number(value: Any, most: float = NUMBER_MAX) -> float:
    """Return a finite number that is not negative."""
    if not is_quantity(value) or value > most:
        raise ValueError("not a number in its bounds")
    return float(value)


def require_whole(value: Any, most: float = NUMBER_MAX) -> int:
    """Return a number without its fraction."""
    return int(require_number(value, most))


def require_seconds(value: Any) -> float:
    """Return the seconds of a time in milliseconds."""
    return require_number(value, MILLISECONDS_MAX) / 1000.0


def require_list(value: Any) -> Sequence[Any]:
    """Return a list of bounded length, empty if there is none; messages carry it as a tuple."""
    if value is None:
        return ()
    if type(value) not in (list, tuple) or len(value) > NAMES_MAX:
        raise TypeError("not a list of bounded length")
    return value


def require_names(value: Any) -> frozenset[str]:
    """Return the names in a list, none if there is no list."""
    return frozenset(require_name(each) for each in require_list(value))


def require_object(value: Any) -> dict[str, Any]:
    """Return an object, an empty one if there is none."""
    if value is None:
        return {}
    if type(value) is not dict:
        raise TypeError("not an object")
    return value


def require_path(value: Any) -> str:
    """Return a path that the first line of a request can hold."""
    if not PATH.fullmatch(require_text(value)):
        raise ValueError("not a path")
    return value


def require_port(text: str) -> int:
    """Return a TCP port, written in plain digits."""
    if not PORT.fullmatch(text) or not 0 < int(text) <= PORT_MAX:
        raise ValueError("not a port")
    return int(text)


def require_header_value(text: Any) -> str:
    """Return an id that each request to its server can name in a header."""
    if not text.isprintable() or not text.isascii() or text != text.strip():
        raise ValueError("not a header's value")
    return require_name(text)
