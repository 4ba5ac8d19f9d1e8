"""Snapshots of the catalogue for the object store and for peers."""

from attrs import frozen
from returns.result import Result

from rhubarbshed.protocol.catalogue import CatalogueObject
from rhubarbshed.protocol.codec import pack, unpack
from rhubarbshed.state.agreement.catalogue import Catalogue

SNAPSHOT_KEY = "catalogue/snapshot"


@frozen
class Snapshot:
    """A complete catalogue and the table revision that it includes."""

    head: int
    revision: int
    objects: tuple[CatalogueObject, ...]


def encode_snapshot(catalogue: Catalogue) -> bytes:
    """Encode a catalogue as msgpack."""
    return pack(Snapshot(catalogue.head, catalogue.revision, catalogue.list_objects()))


def decode_snapshot(data: bytes) -> Result[Snapshot, str]:
    """Decode a snapshot, or return why it cannot be decoded."""
    return unpack(data, Snapshot)


def apply_snapshot(catalogue: Catalogue, snapshot: Snapshot) -> tuple[CatalogueObject, ...]:
    """Apply a snapshot, old or new, and return the objects that changed.

    A snapshot is complete up to its revision, so the next scan may start there.
    """
    changed = catalogue.apply_objects(snapshot.objects, snapshot.head)
    catalogue.revision = max(catalogue.revision, snapshot.revision)
    return changed
