"""Checks of the fields of messages between instances."""

import socket
from socket import AF_INET, AF_INET6

from attrs import Attribute

TEXT_LENGTH_MAX = 200
"""Most characters of a stream's id, a service, a version or a server's id in a message."""

NUMBER_MAX = 2**53
"""Greatest number in a message: milliseconds since 1970 fit."""

PORT_MAX = 65_535
"""Highest port."""

REASON_LENGTH_MAX = 200
"""Most characters of a reason in the log; the value that caused it may be long."""


def describe(error: Exception) -> str:
    """Return why something could not be decoded, for the log."""
    return repr(error)[:REASON_LENGTH_MAX]


def is_text(value: object) -> bool:
    """Return whether a value is text that a message may carry."""
    return isinstance(value, str) and len(value) <= TEXT_LENGTH_MAX and is_encodable(value)


def is_number(value: object, most: int = NUMBER_MAX) -> bool:
    """Return whether a value is a whole number that a message may carry."""
    return type(value) is int and 0 <= value <= most


def is_quantity(value: object) -> bool:
    """Return whether a value is a number, also in parts, that can be summed and compared."""
    return type(value) in (int, float) and 0.0 <= value <= NUMBER_MAX


def is_address(value: object) -> bool:
    """Return whether a value is an IP address and a port; a name would have to be looked up."""
    if not isinstance(value, tuple) or len(value) != 2:
        return False
    host, port = value
    is_port = type(port) is int and 0 < port <= PORT_MAX
    return is_port and is_text(host) and (is_ip(host, AF_INET) or is_ip(host, AF_INET6))


def is_ip(host: str, family: int) -> bool:
    """Return whether text is an IP address of a family."""
    try:
        socket.inet_pton(family, host)
    except (OSError, ValueError):
        return False
    return True


def check_text(message: object, attribute: Attribute, value: object) -> None:
    """Raise `ValueError` unless a field is short text."""
    if not is_text(value):
        raise ValueError(f"{attribute.name} is not short text")


def check_number(message: object, attribute: Attribute, value: object) -> None:
    """Raise `ValueError` unless a field is a number."""
    if not is_number(value):
        raise ValueError(f"{attribute.name} is not a number")


def is_encodable(text: str) -> bool:
    """Return whether text has a UTF-8 form."""
    # JSON may carry lone surrogates, which have no UTF-8 form.
    return text.isascii() or not any("\ud800" <= character <= "\udfff" for character in text)
