"""Local copy of the catalogue of models, adapters and services."""

import logging
from collections.abc import Iterable
from typing import Any

import xxhash
from attrs import define, field
from returns.result import Failure, Result

from rhubarbshed.protocol.catalogue import (
    Adapter,
    CatalogueObject,
    Model,
    ObjectKey,
    ObjectKind,
    Service,
)
from rhubarbshed.protocol.codec import from_stored, to_plain
from rhubarbshed.protocol.tables import Row

LOG = logging.getLogger(__name__)

OBJECT_PREFIX = "object/"
HEAD_KEY = "ticket/head"


def make_object_key(key: ObjectKey) -> str:
    """Return the table key of an object."""
    return f"{OBJECT_PREFIX}{key.kind}/{key.name}"


def encode_object(item: CatalogueObject) -> dict[str, Any]:
    """Return the table value of an object."""
    return to_plain(item)


def decode_object(row: Row) -> Result[CatalogueObject, str]:
    """Return the object stored in a row, or why it cannot be decoded."""
    return from_stored(row.value, CatalogueObject)


@define
class Catalogue:
    """Objects, each at the highest ticket seen; older copies or copies out of order are ignored.

    A deleted object stays as a tombstone, so that an old copy cannot restore it. `revision` is
    the table revision up to which all changes are included.
    """

    objects: dict[ObjectKey, CatalogueObject] = field(factory=dict)
    head: int = 0
    revision: int = 0

    def apply_rows(self, rows: Iterable[Row], revision: int) -> tuple[CatalogueObject, ...]:
        """Apply rows of a scan made up to a revision; return the objects that changed.

        A row that this version cannot decode is skipped; the object known before stays.
        """
        changed = []
        for row in rows:
            if row.key == HEAD_KEY and row.value is not None:
                self.head = max(self.head, int(row.value["number"]))
            if not row.key.startswith(OBJECT_PREFIX) or row.value is None:
                continue
            decoded = decode_object(row)
            if isinstance(decoded, Failure):
                LOG.error("event=row_unreadable key=%s reason=%s", row.key, decoded.failure())
                continue
            item = decoded.unwrap()
            if self._apply(item):
                changed.append(item)
        self.revision = max(self.revision, revision)
        return tuple(changed)

    def apply_objects(
        self, objects: Iterable[CatalogueObject], head: int
    ) -> tuple[CatalogueObject, ...]:
        """Apply objects from a peer or a snapshot; return those that changed.

        The table revision stays, since a peer's copy need not be complete.
        """
        changed = tuple(item for item in objects if self._apply(item))
        self.head = max(self.head, head)
        return changed

    def _apply(self, item: CatalogueObject) -> bool:
        held = self.objects.get(item.key)
        if held is not None and held.ticket >= item.ticket:
            return False
        self.objects[item.key] = item
        self.head = max(self.head, item.ticket)
        return True

    def get_model(self, name: str) -> Model | None:
        """Return a model, or None where there is none."""
        return self._get(ObjectKind.MODEL, name)

    def get_adapter(self, name: str) -> Adapter | None:
        """Return an adapter, or None where there is none."""
        return self._get(ObjectKind.ADAPTER, name)

    def get_service(self, name: str) -> Service | None:
        """Return a plain service, or None where there is none."""
        return self._get(ObjectKind.SERVICE, name)

    def _get(self, kind: ObjectKind, name: str) -> Any:
        item = self.objects.get(ObjectKey(kind.value, name))
        return None if item is None else item.body

    def list_models(self) -> tuple[Model, ...]:
        """List all models by name."""
        return tuple(self._list_bodies(Model))

    def find_ticket(self, model: str) -> int:
        """Return the number of the ticket that last wrote a model, 0 where there is none."""
        item = self.objects.get(ObjectKey(ObjectKind.MODEL.value, model))
        return 0 if item is None else item.ticket

    def group_adapters(self) -> dict[str, list[Adapter]]:
        """Return the adapters of each known model, grouped by model and sorted by name."""
        grouped: dict[str, list[Adapter]] = {model.name: [] for model in self.list_models()}
        for adapter in self._list_bodies(Adapter):
            if adapter.model in grouped:
                grouped[adapter.model].append(adapter)
        return grouped

    def _list_bodies(self, kind: type) -> list[Any]:
        bodies = (item.body for item in self.objects.values() if isinstance(item.body, kind))
        return sorted(bodies, key=lambda body: body.name)

    def list_objects(self) -> tuple[CatalogueObject, ...]:
        """List all objects by key, tombstones included."""
        return tuple(sorted(self.objects.values(), key=lambda item: (item.key.kind, item.key.name)))

    def compute_digest(self) -> str:
        """Return a hash that differs between catalogues with different objects or tickets.

        The head is not enough: a lower ticket may follow a higher one on other objects.
        """
        lines = (f"{t.key.kind}/{t.key.name}={t.ticket}" for t in self.list_objects())
        return xxhash.xxh3_64_hexdigest("\n".join(lines).encode())
