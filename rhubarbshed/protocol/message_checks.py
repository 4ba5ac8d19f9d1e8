"""Checks of the fields of messages between instances."""

from attrs import Attribute

TEXT_LENGTH_MAX = 200
"""Most characters of a stream's id, a service, a version or a server's id in a message."""

NUMBER_MAX = 2**53
"""Greatest number in a message: milliseconds since 1970 fit."""


def is_text(value: object) -> bool:
    """Return whether a value is text that a message may carry."""
    return isinstance(value, str) and len(value) <= TEXT_LENGTH_MAX and _is_encodable(value)


def is_number(value: object, most: int = NUMBER_MAX) -> bool:
    """Return whether a value is a whole number that a message may carry."""
    return type(value) is int and 0 <= value <= most


def check_text(message: object, attribute: Attribute, value: object) -> None:
    """Raise `ValueError` unless a field is short text."""
    if not is_text(value):
        raise ValueError(f"{attribute.name} is not short text")


def check_number(message: object, attribute: Attribute, value: object) -> None:
    """Raise `ValueError` unless a field is a number."""
    if not is_number(value):
        raise ValueError(f"{attribute.name} is not a number")


def _is_encodable(text: str) -> bool:
    # JSON may carry lone surrogates, which have no UTF-8 form.
    return text.isascii() or not any("\ud800" <= character <= "\udfff" for character in text)
