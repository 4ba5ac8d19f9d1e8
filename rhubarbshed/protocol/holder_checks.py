"""Checks of messages to and from order holders as they are received.

They are not made where a message is created: a holder with one value out of its bounds would end.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from rhubarbshed.protocol.message_checks import is_address, is_number, is_quantity, is_text

if TYPE_CHECKING:
    from rhubarbshed.protocol.messages import (
        DemandMessage,
        HolderMessage,
        PlansMessage,
        StoreMessage,
    )

Check = Callable[[object], bool]

INSTANCES_MAX = 1_000_000
LOAD_MAX = 1_000_000
"""Greatest numbers of instances and of requests at a server, far above real ones."""

LEFT_MAX_S = 86_400.0
"""Longest time that the load of a model may still take."""


def check_demand(message: "DemandMessage") -> None:
    """Raise `ValueError` unless a demand message can be applied."""
    _check_sender(message)
    quantities = (is_quantity,) * 4
    _require("counts", _are_rows(message.counts, is_text, is_text, is_text, *quantities))
    _require("awaited", _are_rows(message.awaited, is_text, is_text, is_text))
    _require("missing", _are_rows(message.missing, is_text, is_number, is_text, is_text))
    _require("loads", _are_rows(message.loads, is_text, _is_load))


def check_holder(message: "HolderMessage") -> None:
    """Raise `ValueError` unless a holder's message can be applied."""
    _check_sender(message)
    _require("address", is_address((message.host, message.port)))
    _require("token", is_number(message.token))
    _require("gives_orders", type(message.gives_orders) is bool)
    _require("instances", is_number(message.instances, INSTANCES_MAX))
    _require("instances_elsewhere", is_number(message.instances_elsewhere, INSTANCES_MAX))
    _require("held", _are_rows(message.held, is_text, is_number, _are_models))
    _require("changes", _are_rows(message.changes, is_text, is_text, _is_left, is_text))
    _require("holders", _are_rows(message.holders, is_text, is_text, is_number))
    _require("holders", all(is_address((host, port)) for _, host, port in message.holders))
    _require("loads", _are_rows(message.loads, is_text, _is_load))


def check_plans(message: "PlansMessage") -> None:
    """Raise `ValueError` unless a holder's plans can be applied."""
    _check_sender(message)
    _require("token", is_number(message.token))
    _require("gives_orders", type(message.gives_orders) is bool)
    _require("closed", _are_texts(message.closed))
    _require("reserved", _are_rows(message.reserved, is_text, is_text))


def check_store(message: "StoreMessage") -> None:
    """Raise `ValueError` unless a store message can be applied; its entries are decoded later."""
    _check_sender(message)
    for name in ("token", "configuration", "before", "revision"):
        _require(name, is_number(getattr(message, name)))
    _require("settled", type(message.settled) is bool)
    _require("rows", _are_rows(message.rows, is_text, is_number, _is_row_value))


def _check_sender(message: "DemandMessage | HolderMessage | PlansMessage | StoreMessage") -> None:
    _require("sender", is_text(message.sender) and is_text(message.data_centre))


def _require(name: str, holds: bool) -> None:
    if not holds:
        raise ValueError(f"{name} is out of its bounds")


def _are_rows(value: object, *checks: Check) -> bool:
    return isinstance(value, tuple) and all(
        isinstance(row, tuple)
        and len(row) == len(checks)
        and all(check(part) for check, part in zip(checks, row, strict=True))
        for row in value
    )


def _are_models(value: object) -> bool:
    return _are_rows(value, is_text, _are_texts)


def _are_texts(value: object) -> bool:
    return isinstance(value, tuple) and all(map(is_text, value))


def _is_load(value: object) -> bool:
    return is_number(value, LOAD_MAX)


def _is_left(value: object) -> bool:
    return is_quantity(value) and value <= LEFT_MAX_S


def _is_row_value(value: object) -> bool:
    return value is None or isinstance(value, dict)
