"""Conversion between messages and JSON or msgpack."""

import enum
from typing import Any, TypeVar

import msgpack
from cattrs import Converter
from cattrs.strategies import configure_tagged_union
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.catalogue import CatalogueBody
from rhubarbshed.protocol.message_checks import NUMBER_MAX, is_encodable

T = TypeVar("T")
N = TypeVar("N", int, float)


def _make_converter(forbid_extra_keys: bool) -> Converter:
    """Make a converter that reads only numbers and texts which frames can carry."""
    converter = Converter(forbid_extra_keys=forbid_extra_keys)
    converter.register_structure_hook(int, lambda plain, _: _require_bounded(int(plain)))
    converter.register_structure_hook(float, lambda plain, _: _require_bounded(float(plain)))
    converter.register_structure_hook(str, lambda plain, _: _require_encodable(str(plain)))
    converter.register_unstructure_hook(enum.Enum, lambda member: member.value)
    configure_tagged_union(
        CatalogueBody,
        converter,
        tag_name="kind",
        tag_generator=lambda kind: kind.__name__.lower(),
    )
    _register_optional_body(converter)
    return converter


def _require_bounded(number: N) -> N:
    if not -NUMBER_MAX <= number <= NUMBER_MAX:
        raise ValueError("a number out of its bounds")
    return number


def _require_encodable(text: str) -> str:
    if not is_encodable(text):
        raise ValueError("text with a lone surrogate")
    return text


def _register_optional_body(converter: Converter) -> None:
    """Register hooks that also tag a catalogue body where it may be None."""
    optional = CatalogueBody | None
    converter.register_unstructure_hook(
        optional,
        lambda body: None if body is None else converter.unstructure(body, CatalogueBody),
    )
    converter.register_structure_hook(
        optional,
        lambda plain, _: None if plain is None else converter.structure(plain, CatalogueBody),
    )


CONVERTER = _make_converter(forbid_extra_keys=True)
STORED_CONVERTER = _make_converter(forbid_extra_keys=False)
"""Reads data that a newer version may have stored; unknown keys are ignored."""


def to_plain(message: Any, kind: Any = None) -> Any:
    """Convert a message to dicts, lists and scalars."""
    return CONVERTER.unstructure(message, unstructure_as=kind)


def from_plain(plain: Any, kind: type[T]) -> Result[T, str]:
    """Convert plain data to a message, or return the reason why that fails."""
    return _structure(CONVERTER, plain, kind)


def from_stored(plain: Any, kind: type[T]) -> Result[T, str]:
    """Convert stored plain data to a message, ignoring unknown keys.

    Instances of two versions share the table during a rolling upgrade.
    """
    return _structure(STORED_CONVERTER, plain, kind)


def _structure(converter: Converter, plain: Any, kind: type[T]) -> Result[T, str]:
    try:
        return Success(converter.structure(plain, kind))
    except Exception as error:  # cattrs raises many types, also in groups
        return Failure(describe_structure_error(error))


def describe_structure_error(error: BaseException) -> str:
    """Describe the innermost causes of a failed conversion in one line."""
    if isinstance(error, BaseExceptionGroup):
        return "; ".join(describe_structure_error(inner) for inner in error.exceptions)
    notes = ", ".join(str(note) for note in getattr(error, "__notes__", ()))
    text = f"{type(error).__name__}: {error}"
    return f"{text} ({notes})" if notes else text


def pack(message: Any) -> bytes:
    """Encode a message as msgpack."""
    return msgpack.packb(to_plain(message))


def unpack(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decode a stored message from msgpack, or return the reason why that fails."""
    try:
        plain = msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        return Failure(f"not msgpack: {error}")
    return from_stored(plain, kind)
