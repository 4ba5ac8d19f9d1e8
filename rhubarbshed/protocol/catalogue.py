"""Objects that operators create, and the tickets that change them."""

import enum

from attrs import field, frozen


class ObjectKind(enum.Enum):
    """Kind of an object in the catalogue."""

    MODEL = "model"
    ADAPTER = "adapter"
    SERVICE = "service"


@frozen
class Model:
    """Describe a model; sizes are in bytes, power in watts, times in seconds."""

    name: str
    version: str
    memory_bytes: int
    power_watts: float = 0.0
    replicas_min: int = 1
    first_token_target_s: float = 0.9
    token_gap_target_s: float = 0.028
    context_tokens_max: int = 32768


@frozen
class Adapter:
    """Describe an adapter, which runs on top of one model."""

    name: str
    model: str
    version: str
    memory_bytes: int


@frozen
class Service:
    """Describe a plain service that requests are routed to.

    `methods_idempotent` lists the HTTP methods that may be sent twice.
    """

    name: str
    backend_servers: tuple[str, ...]
    methods_idempotent: tuple[str, ...] = ("GET", "HEAD")
    answer_target_s: float = 5.0


CatalogueBody = Model | Adapter | Service


@frozen(order=True)
class ObjectKey:
    """Name one object of the catalogue."""

    kind: str
    name: str


@frozen
class CatalogueObject:
    """Hold one object as of the ticket that last wrote it; `body` is None once deleted."""

    key: ObjectKey
    ticket: int
    body: CatalogueBody | None


@frozen
class Ticket:
    """Carry the whole new state of all objects that one numbered change touches."""

    number: int
    objects: tuple[CatalogueBody, ...] = ()
    deletions: tuple[ObjectKey, ...] = ()
    note: str = ""


@frozen
class TicketReceipt:
    """Confirm an accepted ticket."""

    number: int
    digest: str
    touched: tuple[ObjectKey, ...] = field(factory=tuple)


def get_key(body: CatalogueBody) -> ObjectKey:
    """Return the key of an object."""
    kinds = {
        Model: ObjectKind.MODEL,
        Adapter: ObjectKind.ADAPTER,
        Service: ObjectKind.SERVICE,
    }
    return ObjectKey(kinds[type(body)].value, body.name)
