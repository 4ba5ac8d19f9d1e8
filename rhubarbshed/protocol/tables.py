"""Rows, transactions and errors of the platform's transactional table service."""

import enum
from typing import Any

from attrs import field, frozen

FIRST_ERA = 1
"""Era of a store that was never restored from a copy; each restore raises the era by one."""


@frozen
class Row:
    """One row; `version` is 0 if the row does not exist.

    `revision` is the store-wide commit number that wrote it. `value` is a plain JSON object,
    or None if the row does not exist.
    """

    key: str
    version: int
    value: dict[str, Any] | None = None
    revision: int = 0


@frozen
class Check:
    """Condition that a row still has this version (0: does not exist)."""

    key: str
    version: int


@frozen
class Write:
    """New value of a row; None deletes the row, whose version still rises."""

    key: str
    value: dict[str, Any] | None


@frozen
class Transaction:
    """Writes that are applied together if all checks hold, or not at all."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


@frozen
class Committed:
    """Commit number of a committed transaction, and the era of the store that counts it."""

    revision: int
    era: int = 0


@frozen
class Scan:
    """Result of a scan: rows with a prefix changed after a revision, and the store's revision.

    Revisions of different eras cannot be compared; `era` is 0 if the store does not state it.
    """

    rows: tuple[Row, ...]
    revision: int
    era: int = 0


class TableFault(enum.Enum):
    """Reason why a call to the table service failed.

    A call with `UNAVAILABLE` took no effect. One with `UNKNOWN` may have taken effect, or may still
    take effect.
    """

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@frozen
class TableError:
    """Failed call; `rows` are the current rows of failed checks, in the store's `era`.

    `is_busy` means that the service serves, but had more calls than it takes. `waited_s` is for how
    many seconds a response was awaited in vain.
    """

    fault: TableFault
    rows: tuple[Row, ...] = field(factory=tuple)
    detail: str = ""
    is_busy: bool = False
    era: int = 0
    waited_s: float = 0.0
