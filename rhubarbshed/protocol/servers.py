"""Backend servers as they describe themselves."""

import enum

from attrs import field, frozen

from rhubarbshed.protocol.orders import OrderKind

Models = dict[str, frozenset[str]]
"""Adapters held of each model held."""


class ServerState(enum.Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class ServerEntry:
    """Describe a backend server; `started_ms` tells its starts apart, `changes` its entries.

    `remaining_s` is set where the server is about to be taken away. `on_disk` and `in_memory` name
    models whose weights it has at hand.
    """

    server_id: str
    service: str
    host: str
    port: int
    data_centre: str
    state: ServerState
    slots: int
    models: Models = field(factory=dict)
    changes: int = 0
    started_ms: int = 0
    remaining_s: float | None = None
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()

    @property
    def cached_models(self) -> frozenset[str]:
        """Models whose weights need not come from the weight store."""
        return self.in_memory | self.on_disk

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name one start of one server."""
        return (self.server_id, self.started_ms)


@frozen
class ServerReport:
    """Tell what a model engine holds and does; `orders` counts the orders it has accepted.

    `pending` are adapters on their way, as (model, adapter).
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
    """Order an engine to load or unload a model or, with `adapter`, an adapter of it.

    `token` is the fencing token of `holder`; `expected` the number of orders that the engine must
    have accepted before.
    """

    kind: OrderKind
    model: str
    holder: str
    token: int
    adapter: str = ""
    expected: int | None = None


class OrderEnd(enum.Enum):
    """How an order ended; `UNKNOWN` may still be carried out later."""

    ACCEPTED = "accepted"
    ALREADY_DONE = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    INVALID = "wrong"
    WRONG_SERVER = "gone"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
