"""Parts of an instance that the relay of requests uses."""

from collections.abc import Awaitable, Callable

from attrs import define, field

from rhubarbshed.protocol.streams import StreamLookup, StreamOrigin
from rhubarbshed.transport.edge.account_credit import AccountCredit
from rhubarbshed.transport.edge.crash_registry import CrashRegistry
from rhubarbshed.transport.edge.forwarder import Forwarder
from rhubarbshed.transport.edge.limit_registry import LimitRegistry
from rhubarbshed.transport.edge.link_monitor import LinkMonitor
from rhubarbshed.transport.edge.metrics import FrontMetrics
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.slot_queue import SlotQueue
from rhubarbshed.transport.edge.view import View

RecordStream = Callable[[str, StreamOrigin, float], None]
"""Recorder of the origin of a stream: id, origin, monotonic seconds."""

FindStream = Callable[[str, float], Awaitable[StreamLookup]]
"""Search for the origin of a stream: id, monotonic seconds."""

ConfirmConfiguration = Callable[[float], Awaitable[None]]
"""Confirmation of the known configuration by the store, awaited for some seconds at most."""

ConfirmEntries = Callable[[], Awaitable[bool]]
"""Read of the versions of all entries up to now; False if that was not possible."""

NOT_FOUND = StreamLookup(None)


def record_nothing(stream_id: str, origin: StreamOrigin, now: float) -> None:
    """Record no origin; for an instance without a registry of streams."""


async def find_nothing(stream_id: str, now: float) -> StreamLookup:
    """Find no origin; for an instance without a registry of streams."""
    return NOT_FOUND


async def confirm_no_configuration(wait_s: float) -> None:
    """Confirm no configuration; for an instance that does not follow any."""


async def confirm_nothing() -> bool:
    """Confirm no entries; for an instance that does not follow any."""
    return False


@define(eq=False)
class RelayParts:
    """Parts of an instance that requests use.

    `report_awaited` asks the order holder for a (service, model, adapter); `count_demand` counts a
    request for one, `count_run` a run with its seconds. `report_missing` reports to the holder a
    (server, started_ms, model, adapter) that is not there. `record_stream` and `find_stream` are
    the memory of the origins of streams, `confirm_entries` reads all versions up to now, and
    `confirm_configuration` a later configuration. `credit` is that of accounts with limits, `slots`
    are the requests that wait for a slot.
    """

    view: View
    pool: Pool
    metrics: FrontMetrics
    report_awaited: Callable[[str, str, str], None]
    count_demand: Callable[[str, str, str, int], None]
    count_run: Callable[[str, str, str, float], None]
    report_missing: Callable[[str, int, str, str], None]
    crashes: CrashRegistry
    links: LinkMonitor
    forwarder: Forwarder
    limits: LimitRegistry
    record_stream: RecordStream = record_nothing
    find_stream: FindStream = find_nothing
    confirm_entries: ConfirmEntries = confirm_nothing
    confirm_configuration: ConfirmConfiguration = confirm_no_configuration
    credit: AccountCredit | None = None
    slots: SlotQueue = field(init=False)

    @slots.default
    def _make_slots(self) -> SlotQueue:
        return SlotQueue(self.view, self.metrics)
