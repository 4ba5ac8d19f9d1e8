"""Messages of the platform's transactional table service."""

import enum
from typing import Any

from attrs import field, frozen


@frozen
class Row:
    """Hold one row; `version` is 0 where the row does not exist.

    `revision` is the store-wide commit number that wrote it. `value` is a plain JSON object,
    or None where the row does not exist.
    """

    key: str
    version: int
    value: dict[str, Any] | None = None
    revision: int = 0


@frozen
class Check:
    """Require that a row still has this version (0: does not exist)."""

    key: str
    version: int


@frozen
class Write:
    """Replace a row's value; None deletes the row, whose version still rises."""

    key: str
    value: dict[str, Any] | None


@frozen
class Transaction:
    """Apply all writes if all checks hold, or nothing."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


@frozen
class Committed:
    """Confirm a transaction with its commit number."""

    revision: int


@frozen
class Scan:
    """Answer a scan: rows with the prefix changed after a revision, and the store's revision."""

    rows: tuple[Row, ...]
    revision: int


class TableFault(enum.Enum):
    """Reason for which a call to the table service gave no result.

    `UNAVAILABLE` took no effect. `UNKNOWN` may have taken effect, or may still take effect.
    """

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@frozen
class TableError:
    """Describe a failed call; `rows` are the current rows of failed checks."""

    fault: TableFault
    rows: tuple[Row, ...] = field(factory=tuple)
    detail: str = ""
