"""Orders to model engines, and what engines report of themselves."""

import enum

from attrs import field, frozen


class OrderKind(enum.Enum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"
    RAISE_TOKEN = "raise_token"


class Role(enum.Enum):
    """Part of the work that an engine does."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@frozen
class Order:
    """Ask an engine for a change.

    `order_id` makes a repeated order idempotent. `fencing_token` is the owner's epoch. `name` is
    a model or an adapter; `model` names an adapter's model.
    """

    order_id: str
    kind: OrderKind
    fencing_token: int
    name: str = ""
    version: str = ""
    memory_bytes: int = 0
    model: str = ""
    role: Role = Role.MIXED


class OrderFault(enum.Enum):
    """Reason for which an order was not confirmed."""

    STALE_TOKEN = "stale_token"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@frozen
class OrderError:
    """Describe an order that was not confirmed; `UNKNOWN` may still take effect."""

    fault: OrderFault
    detail: str = ""


@frozen
class Resident:
    """Name one model or adapter held in a backend server's memory."""

    name: str
    version: str
    memory_bytes: int
    ready: bool = True
    model: str = ""


@frozen
class CacheEvent:
    """Tell that an engine stored or evicted a prompt prefix; gaps in `sequence` are losses."""

    sequence: int
    stored: bool
    prefix: str


@frozen
class EngineReport:
    """Report an engine's load; `age_s` is how old the figures are by the engine's own clock."""

    backend_server: str
    age_s: float
    running: int
    waiting: int
    waiting_tokens: int
    memory_bytes_used: int
    memory_bytes_total: int
    fencing_token: int
    tokens_per_s: float
    prefill_tokens_per_s: float
    slots: int
    role: Role = Role.MIXED
    resident: tuple[Resident, ...] = field(factory=tuple)
    cache_events: tuple[CacheEvent, ...] = field(factory=tuple)
    boot_id: str = ""
