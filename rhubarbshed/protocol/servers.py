"""Entries and reports of backend servers, and orders to them."""

import enum

from attrs import field, frozen

from rhubarbshed.protocol.orders import OrderKind

Models = dict[str, frozenset[str]]
"""Adapters held for each model held."""


class ServerState(enum.Enum):
    """Whether a backend server accepts new work."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class ServerEntry:
    """Entry of a backend server; `started_ms` distinguishes its starts, `changes` its entries.

    `version` is that of its software, compared for equality only: no order or form is promised.
    `remaining_s` is set if the server is about to be removed. `in_memory` and `on_disk` name the
    models whose weights it has cached.
    """

    server_id: str
    service: str
    host: str
    port: int
    data_centre: str
    state: ServerState
    slots: int
    version: str
    models: Models = field(factory=dict)
    changes: int = 0
    started_ms: int = 0
    remaining_s: float | None = None
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()

    @property
    def cached_models(self) -> frozenset[str]:
        """Models whose weights need not be fetched from the weight store."""
        return self.in_memory | self.on_disk

    @property
    def incarnation(self) -> tuple[str, int]:
        """Server id and start time, which identify one run of the server."""
        return (self.server_id, self.started_ms)


@frozen
class EntryChange:
    """Change of one entry at a revision of the store.

    Without an `entry` it was removed, or names no server for the reason `unreadable`.
    """

    server_id: str
    revision: int
    entry: ServerEntry | None = None
    unreadable: str = ""


@frozen
class ServerReport:
    """State of a model engine; `orders` counts the orders it has accepted.

    `pending` are the adapters being loaded, as (model, adapter).
    """

    models: Models
    busy: bool
    orders: int
    queued: int
    active: int
    kv_used: int
    kv_total: int
    started_ms: int = 0
    pending: frozenset[tuple[str, str]] = frozenset()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@frozen
class ServerOrder:
    """Order to load or unload a model or, with `adapter`, one of its adapters.

    `token` is the fencing token of `holder`; `expected` is the number of orders that the engine
    must have accepted before this one.
    """

    kind: OrderKind
    model: str
    holder: str
    token: int
    adapter: str = ""
    expected: int | None = None


class OrderEnd(enum.Enum):
    """How an order ended; with `UNKNOWN` the engine may still carry it out."""

    ACCEPTED = "accepted"
    ALREADY_DONE = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    INVALID = "wrong"
    WRONG_SERVER = "gone"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
