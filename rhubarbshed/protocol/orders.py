"""Orders to model engines, and the reports of engines."""

import enum

from attrs import field, frozen


class OrderKind(enum.Enum):
    """Change that an order asks an engine to make."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"
    RAISE_TOKEN = "raise_token"


class Role(enum.Enum):
    """Phases of inference that an engine runs."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@frozen
class Order:
    """Order to an engine.

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
    """Reason why an order was not confirmed."""

    STALE_TOKEN = "stale_token"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@frozen
class OrderError:
    """Order that was not confirmed; one with fault `UNKNOWN` may still take effect."""

    fault: OrderFault
    detail: str = ""


@frozen
class Resident:
    """Model or adapter in a backend server's memory; `model` names an adapter's model."""

    name: str
    version: str
    memory_bytes: int
    ready: bool = True
    model: str = ""


@frozen
class CacheEvent:
    """Prompt prefix stored or evicted by an engine; gaps in `sequence` are lost events."""

    sequence: int
    stored: bool
    prefix: str


@frozen
class EngineReport:
    """Load and contents of an engine; `age_s` is the age of the figures by the engine's clock."""

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
