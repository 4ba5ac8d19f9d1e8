"""Refreshing the catalogue from the table service, and its snapshots in the object store."""

from returns.result import Failure, Result, Success

from rhubarbshed.coordination.agreement.transactions import TableAccess
from rhubarbshed.protocol.catalogue import CatalogueObject
from rhubarbshed.protocol.platform import ObjectClient
from rhubarbshed.protocol.tables import TableError, TableFault
from rhubarbshed.state.agreement.catalogue import OBJECT_PREFIX, Catalogue
from rhubarbshed.state.agreement.snapshots import (
    SNAPSHOT_KEY,
    apply_snapshot,
    decode_snapshot,
    encode_snapshot,
)


async def refresh_catalogue(
    access: TableAccess, catalogue: Catalogue
) -> Result[tuple[CatalogueObject, ...], TableError]:
    """Read the changes since the last refresh in one scan, and return the changed objects."""
    scan = await access.runner(access.table.scan, OBJECT_PREFIX, catalogue.revision)
    return scan.map(lambda found: catalogue.apply_rows(found.rows, found.revision))


async def store_snapshot(
    access: TableAccess, objects: ObjectClient, catalogue: Catalogue
) -> Result[None, TableError]:
    """Write the catalogue to the object store; readers tolerate an older copy there."""
    return await access.runner(objects.put, SNAPSHOT_KEY, encode_snapshot(catalogue))


async def load_snapshot(
    access: TableAccess, objects: ObjectClient, catalogue: Catalogue
) -> Result[tuple[CatalogueObject, ...], TableError]:
    """Apply the snapshot in the object store, if there is one; return the changed objects."""
    stored = await access.runner(objects.get, SNAPSHOT_KEY)
    if isinstance(stored, Failure):
        return stored
    data = stored.unwrap()
    if data is None:
        return Success(())
    snapshot = decode_snapshot(data)
    if isinstance(snapshot, Failure):
        return Failure(TableError(TableFault.UNAVAILABLE, detail=snapshot.failure()))
    return Success(apply_snapshot(catalogue, snapshot.unwrap()))
