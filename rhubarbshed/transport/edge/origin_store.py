"""Rows of the store with the origins of streams: written by order holders, read when unknown."""

import asyncio
import logging
import math
import time
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, field
from returns.result import Failure, Success

from rhubarbshed.coordination.serving.origin_batches import (
    NUMBER_MAX,
    STREAMS_MAX,
    OriginBatch,
    find_origins,
    list_unsettled,
    make_batch,
    read_batch,
)
from rhubarbshed.platform.rows import STREAMS_TABLE
from rhubarbshed.protocol.message_checks import is_text
from rhubarbshed.protocol.messages import STREAMS_PER_MESSAGE, OriginsMessage
from rhubarbshed.protocol.streams import StreamOrigin
from rhubarbshed.protocol.tables import Check, Row, Transaction, Write
from rhubarbshed.state.requests.stream_origins import KEEP_S, RECORDS_MAX
from rhubarbshed.transport.edge.store import StoreClient
from rhubarbshed.transport.edge.view import View
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

WRITE_INTERVAL_S = 0.5
"""Time in which origins are collected; streams that begin in it are lost with all instances."""

ROWS_PER_WRITER = 120
"""Rows of one data centre, the oldest replaced by the next: as many as writes in a stream's age."""

READ_INTERVAL_S = 1.0
"""Shortest time between two reads of the table."""

READ_TIMEOUT_S = 0.4
"""Time that a search waits for the store, which takes some milliseconds."""

PENDING_MAX = 20_000
"""Most origins that wait to be written; the oldest are dropped first."""


Address = tuple[str, int]


@define(eq=False)
class OriginStore:
    """Origins in the store of streams that the sole version of their service cannot decide.

    `find_writer` returns the address of the order holder, which writes them, and `is_holder`
    whether that is this instance. `begun` are the streams that began here, with their origin and
    the time. They are passed to the writer while their service is one of `unsettled`, which may
    have several versions. `pending` is still to be written. `row_versions` are those of the
    writer's rows, None until they were read.
    """

    store: StoreClient
    view: View
    is_holder: Callable[[], bool]
    find_writer: Callable[[], Address | None]
    send: Callable[..., None]
    unsettled: frozenset[str] = frozenset()
    begun: OrderedDict[str, tuple[StreamOrigin, float]] = field(factory=OrderedDict)
    pending: OrderedDict[tuple[str, StreamOrigin], None] = field(factory=OrderedDict)
    batches: dict[str, OriginBatch] = field(factory=dict)
    row_versions: dict[str, int] | None = None
    number: int = 0
    _writer: Address | None = None
    _read_at: float = -1e9
    _reading: asyncio.Task | None = None

    async def maintain(self) -> None:
        """Write the origins that were recorded, as long as this instance is an order holder."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            self.update_unsettled(time.monotonic())
            if not self.is_holder():
                self.pending.clear()
                self.row_versions = None
            elif self.pending:
                await self._write()

    def update_unsettled(self, now: float) -> None:
        """Find the services with several versions; pass on what began there before that."""
        known, view = self.unsettled, self.view
        self.unsettled = list_unsettled(view.versions, view.fleet, now)
        before, self._writer = self._writer, self.find_writer()
        services = self.unsettled - known if before == self._writer else self.unsettled
        self._drop_old(now)
        begun = [
            (stream_id, origin, now - at)
            for stream_id, (origin, at) in self.begun.items()
            if origin.service in services
        ]
        for start in range(0, len(begun), STREAMS_PER_MESSAGE):
            self._pass_on(begun[start : start + STREAMS_PER_MESSAGE])

    def record_begun(self, stream_id: str, origin: StreamOrigin, now: float) -> None:
        """Record a stream that begins here."""
        self.begun[stream_id] = (origin, now)
        self.begun.move_to_end(stream_id)
        self._drop_old(now)
        if origin.service in self.unsettled:
            self._pass_on([(stream_id, origin, 0.0)])

    def add(self, stream_id: str, origin: StreamOrigin) -> None:
        """Keep an origin to be written, if this instance writes them and it may be needed."""
        if origin.service not in self.unsettled or not self.is_holder():
            return
        self.pending[stream_id, origin] = None
        if len(self.pending) > PENDING_MAX:
            self.pending.popitem(last=False)

    def _pass_on(self, begun: list[tuple[str, StreamOrigin, float]]) -> None:
        """Pass (stream, origin, age in seconds) on to the writer."""
        if self.is_holder():
            for stream_id, origin, _ in begun:
                self.add(stream_id, origin)
            return
        rows = [
            ((stream_id, origin.service, origin.version), math.ceil(age_s))
            for stream_id, origin, age_s in begun
            if is_text(origin.service) and is_text(origin.version)
        ]
        writer = self.find_writer()
        if rows and writer is not None:
            origins, ages = zip(*rows, strict=True)
            self.send(OriginsMessage(origins, ages), writer)

    def _drop_old(self, now: float) -> None:
        while self.begun:
            _, at = next(iter(self.begun.values()))
            if len(self.begun) <= RECORDS_MAX and now - at <= KEEP_S:
                return
            self.begun.popitem(last=False)

    async def find(self, stream_id: str) -> frozenset[StreamOrigin]:
        """Find the origins of a stream in the store, none if it does not answer in time."""
        now = time.monotonic()
        if self._reading is None and now - self._read_at >= READ_INTERVAL_S:
            self._read_at = now
            self._reading = asyncio.get_running_loop().create_task(self._read())
            self._reading.add_done_callback(self._end_reading)
        if self._reading is not None:
            await asyncio.wait((self._reading,), timeout=READ_TIMEOUT_S)
        return find_origins(self.batches.values(), stream_id)

    def _end_reading(self, task: asyncio.Task) -> None:
        self._reading = None

    async def _read(self) -> tuple[Row, ...] | None:
        """Read all batches; each takes a millisecond, so the loop has a turn after it."""
        result = await self.store.read_all(STREAMS_TABLE)
        if isinstance(result, Failure):
            log_event(LOG, logging.INFO, "origins_unread", reason=result.failure().detail)
            return None
        rows = result.unwrap().scan.rows
        batches = {}
        for row in rows:
            read = read_batch(row.value or {})
            if isinstance(read, Success):
                batches[row.key] = read.unwrap()
            else:
                reason = read.failure()
                log_event(LOG, logging.INFO, "origins_unreadable", key=row.key, reason=reason)
            await asyncio.sleep(0)
        self.batches = batches
        return rows

    async def _write(self) -> None:
        """Write some of the pending origins over the oldest row."""
        prefix = f"{self.view.settings.data_centre}/"
        if self.row_versions is None and not await self._read_own(prefix):
            return
        written = list(self.pending)[:STREAMS_MAX]
        batch = make_batch((self.number + 1) % NUMBER_MAX, written)
        key = f"{prefix}{batch.number % ROWS_PER_WRITER}"
        check = Check(key, self.row_versions.get(key, 0))
        transaction = Transaction((check,), (Write(key, batch.to_value()),))
        result = await self.store.commit(STREAMS_TABLE, transaction)
        if isinstance(result, Failure):
            # Another holder writes the rows now, or the answer was lost.
            self.row_versions = None
            log_event(LOG, logging.INFO, "origins_unwritten", reason=result.failure().detail)
            return
        self.number = batch.number
        self.row_versions[key] = result.unwrap().revision
        for each in written:
            self.pending.pop(each, None)

    async def _read_own(self, prefix: str) -> bool:
        """Read the rows of the data centre, to go on behind the newest."""
        rows = await self._read()
        if rows is None:
            return False
        self.row_versions = {row.key: row.version for row in rows if row.key.startswith(prefix)}
        own = [batch for key, batch in self.batches.items() if key in self.row_versions]
        self.number = max((batch.number for batch in own), default=0)
        return True
