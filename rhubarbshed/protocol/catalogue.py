"""Catalogue objects that operators define, and the tickets that change them."""

import enum

from attrs import field, frozen


class ObjectKind(enum.Enum):
    """Kind of an object in the catalogue."""

    MODEL = "model"
    ADAPTER = "adapter"
    SERVICE = "service"


@frozen
class Model:
    """Model in the catalogue; sizes are in bytes, power in watts, times in seconds."""

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
    """Adapter in the catalogue; it runs on top of one model."""

    name: str
    model: str
    version: str
    memory_bytes: int


@frozen
class Service:
    """Plain service to which requests are routed.

    `methods_idempotent` lists the HTTP methods whose requests may be retried.
    """

    name: str
    backend_servers: tuple[str, ...]
    methods_idempotent: tuple[str, ...] = ("GET", "HEAD")
    answer_target_s: float = 5.0


CatalogueBody = Model | Adapter | Service


@frozen(order=True)
class ObjectKey:
    """Key of a catalogue object; `kind` is a value of `ObjectKind`."""

    kind: str
    name: str


@frozen
class CatalogueObject:
    """Catalogue object as of the ticket that last wrote it; `body` is None once deleted."""

    key: ObjectKey
    ticket: int
    body: CatalogueBody | None


@frozen
class Ticket:
    """Numbered change, with the complete new state of all objects that it changes."""

    number: int
    objects: tuple[CatalogueBody, ...] = ()
    deletions: tuple[ObjectKey, ...] = ()
    note: str = ""


@frozen
class TicketReceipt:
    """Receipt of an accepted ticket; `touched` are the keys of the objects changed."""

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
