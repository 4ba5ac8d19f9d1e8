"""Messages between instances and order holders.

Each data centre has its own order holder, so that a partition or a crash takes orders away from a
part of the engines only. A holder announces all engines to the instances of its own data centre,
and to the other holders its own engines and the demand reported to it: between data centres only
holders communicate, and what an instance receives does not grow with the number of instances.
"""

import asyncio
import logging
import time
from collections.abc import Callable

from attrs import define, field
from returns.result import Failure, Result

from rhubarbshed.protocol.message_checks import is_text
from rhubarbshed.protocol.messages import (
    DemandMessage,
    HolderMessage,
    InstanceMessage,
    Message,
    PlansMessage,
    StoreMessage,
)
from rhubarbshed.protocol.servers import EntryChange
from rhubarbshed.protocol.speed_messages import SpeedsMessage
from rhubarbshed.state.membership.fleet import SAMPLE_WINDOW_S
from rhubarbshed.state.placement.demand_buffer import DemandBuffer
from rhubarbshed.state.placement.engine_states import EngineState
from rhubarbshed.state.placement.usage import Tally, Target
from rhubarbshed.transport.edge.datagrams import Datagrams
from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.holder_messages import (
    OWN_COUNTS_PER_MESSAGE,
    list_changes,
    list_held,
    make_demand_messages,
    split_changes,
    split_engines,
)
from rhubarbshed.transport.edge.lease import LeaseClient
from rhubarbshed.transport.edge.order_dispatcher import OrderDispatcher
from rhubarbshed.transport.edge.speed_exchange import SpeedExchange
from rhubarbshed.transport.edge.view import View
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

DEMAND_REPORT_INTERVAL_S = 0.5
"""Time between two demand reports; placement follows demand within a second."""

HOLDER_MESSAGE_INTERVAL_S = 0.25
"""Time between two regular messages of a holder; after three lost in a row others read the
lease."""

HOLDER_TIMEOUT_S = 0.6
"""Time without a message of the local holder after which demand goes to the other holders as
well."""

INSTANCE_EXPIRY_S = 5.0
"""Time without a message after which a holder no longer counts an instance."""

CHANGE_BATCH_S = 0.025
"""Time in which changes are collected before they are announced: hardly noticeable for a caller
that waits for an adapter, and at most 40 messages a second from a holder to each instance."""

AWAITED_REPORT_PAUSE_S = 0.08
"""Shortest time between two reports of the same awaited target."""

Address = tuple[str, int]


@define
class KnownHolder:
    """Order holder of one data centre, as far as it is known."""

    address: Address
    token: int
    last_received_at: float
    instances: int


@define
class HolderProtocol:
    """Exchange of messages with the order holders, or as one of them."""

    view: View
    lease: LeaseClient
    dispatcher: OrderDispatcher
    follower: Follower
    datagrams: Datagrams = field(init=False)
    speeds: SpeedExchange = field(init=False)
    counts: dict[Target, Tally] = field(factory=dict)
    awaited_reported_at: dict[Target, float] = field(factory=dict)
    instances: dict[Address, float] = field(factory=dict)
    holders: dict[str, KnownHolder] = field(factory=dict)
    demand_buffer: DemandBuffer = field(factory=DemandBuffer)
    loads_reported_at: float = -1e9
    received_at: float = -1e9
    handle_instance_message: Callable[[InstanceMessage, Address, float], None] = (
        lambda message, address, now: None
    )

    def __attrs_post_init__(self) -> None:
        """Create the datagram endpoint, and the exchange that sends by it."""
        self.datagrams = Datagrams(self.handle_datagram)
        self.speeds = SpeedExchange(self.view, self.datagrams.send)

    @property
    def is_holder(self) -> bool:
        """Return whether this instance holds the lease of its data centre."""
        return self.lease.lease_state.held

    @property
    def reads_current_era(self) -> bool:
        """Return whether servers were read in the era of the lease, which messages name."""
        return self.follower.servers_era == self.lease.lease_state.renewed_era

    def count_demand(self, service: str, model: str, adapter: str, tokens: int) -> None:
        """Count a request and the tokens of its prompt for the next report."""
        self.counts.setdefault((service, model, adapter), Tally()).add(Tally(1, tokens))

    def count_run(self, service: str, model: str, adapter: str, run_s: float) -> None:
        """Count a run that was answered for the next report."""
        self.counts.setdefault((service, model, adapter), Tally()).add(Tally(runs=1, run_s=run_s))

    def report_awaited(self, service: str, model: str, adapter: str) -> None:
        """Report to the holder at once that a caller waits for a target."""
        target = (service, model, adapter)
        if not all(map(is_text, target)):
            return
        now = time.monotonic()
        if now - self.awaited_reported_at.get(target, -1e9) < AWAITED_REPORT_PAUSE_S:
            return
        self.awaited_reported_at[target] = now
        self.report_demand(now, awaited=(target,))

    def report_missing(self, server_id: str, started_ms: int, model: str, adapter: str) -> None:
        """Report to the holder that a server does not hold a model, or is down (no model given)."""
        if is_text(model) and is_text(adapter):
            self.report_demand(time.monotonic(), missing=((server_id, started_ms, model, adapter),))

    def report_demand(
        self,
        now: float,
        awaited: tuple[Target, ...] = (),
        missing: tuple[tuple[str, int, str, str], ...] = (),
    ) -> None:
        """Report the demand since the last report to the holder."""
        settings = self.view.settings
        loads = {
            server_id: record.reported_load
            for server_id, record in self.view.fleet.servers.items()
            if record.answered_at > self.loads_reported_at
        }
        demand = DemandBuffer(self.counts, dict.fromkeys(awaited), dict.fromkeys(missing), loads)
        for message in make_demand_messages(
            settings.name, settings.data_centre, demand, OWN_COUNTS_PER_MESSAGE
        ):
            if self.is_holder:
                self.handle_local_demand(message, now)
            elif not self.send_demand(message, now):
                return
        self.speeds.report(self.list_demand_receivers(), self.is_holder, now)
        self.counts.clear()
        self.loads_reported_at = now

    def list_demand_receivers(self) -> list[Address]:
        """List the local holder, and while that is unresponsive the others as well."""
        own = self.lease.holder_address
        others = [known.address for known in self.holders.values() if known.address != own]
        unresponsive = self.lease.measure_silence() > HOLDER_TIMEOUT_S
        return ([own] if own is not None else []) + (others if unresponsive else [])

    def send_demand(self, message: DemandMessage, now: float) -> bool:
        """Send a message to the local holder, and while that is unresponsive to the others as well.

        Return whether any holder is known.
        """
        self.datagrams.send(message, *self.list_demand_receivers())
        return self.lease.holder_address is not None or bool(self.holders)

    def forward_demand(self) -> None:
        """Forward to the other holders what was received from the own data centre."""
        demand_buffer, self.demand_buffer = self.demand_buffer, DemandBuffer()
        if not (demand_buffer.counts or demand_buffer.is_urgent or demand_buffer.loads):
            return
        settings = self.view.settings
        others = self.list_other_holders()
        for message in make_demand_messages(settings.name, settings.data_centre, demand_buffer):
            self.datagrams.send(message, *others)

    def list_other_holders(self) -> list[Address]:
        """List the addresses of the holders of the other data centres."""
        own = self.view.settings.data_centre
        return [known.address for name, known in self.holders.items() if name != own]

    async def announce_repeatedly(self) -> None:
        """Announce as a holder what engines hold, forever: on each change and regularly."""
        last_regular_at = time.monotonic()
        while True:
            await self.dispatcher.changed.wait(
                max(0.0, last_regular_at + HOLDER_MESSAGE_INTERVAL_S - time.monotonic())
            )
            now = time.monotonic()
            regular = now - last_regular_at >= HOLDER_MESSAGE_INTERVAL_S
            if self.is_holder:
                self.announce_engines(now - last_regular_at if regular else None, now)
            if regular:
                last_regular_at = now
            await asyncio.sleep(CHANGE_BATCH_S)

    async def report_demand_repeatedly(self) -> None:
        """Report demand to the holder forever, also when there is none."""
        while True:
            await asyncio.sleep(DEMAND_REPORT_INTERVAL_S * (0.8 + 0.4 * self.view.rng.random()))
            self.report_demand(time.monotonic())

    def announce_engines(self, since_regular_s: float | None, now: float) -> None:
        """Announce what engines hold to the local instances and the other holders; forward demand.

        `since_regular_s` is set for a regular message, which is sent also without changes.
        """
        regular = since_regular_s is not None
        if regular:
            self.send_periodic_store_message(now)
        engine_states = self.dispatcher.list_known_engines(now)
        chosen = self.dispatcher.updates.choose_engines(set(engine_states), since_regular_s)
        announced = [engine_states[server_id] for server_id in chosen]
        own = [engine_state for engine_state in announced if engine_state.is_local]
        loads = self.dispatcher.updates.choose_loads(self.list_loads(now), now) if regular else ()
        if announced or regular:
            for message in self.make_holder_messages(announced, now, loads):
                self.handle_holder_message(message, now)
                self.datagrams.send(message, *self.instances)
        if own or regular:
            others = self.list_other_holders()
            for message in self.make_holder_messages(own, now):
                self.datagrams.send(message, *others)
            self.datagrams.send(self.make_plans_message(now), *others)
        if regular:
            self.speeds.announce(self.instances, self.list_other_holders(), now)
        if regular or self.demand_buffer.is_urgent:
            self.forward_demand()

    def send_periodic_store_message(self, now: float) -> None:
        """Drop unresponsive instances, check other holders, announce how far the store was read."""
        for address in [key for key, at in self.instances.items() if now - at > INSTANCE_EXPIRY_S]:
            del self.instances[address]
        self.lease.check_holders(self.holders, now)
        follower = self.follower
        is_confirmed = self.lease.lease_state.is_confirmed(read_lease_clock())
        if follower.is_confirmed(now) and is_confirmed and self.reads_current_era:
            # Most revisions come from other tables: an instance that knows any of this range needs
            # no query of its own.
            self.send_store_messages(now, follower.changed_revision, follower.servers_revision or 0)

    def publish(self, before: int, revision: int, changes: tuple[EntryChange, ...]) -> None:
        """Announce changes in the store to the local instances."""
        if self.is_holder and self.reads_current_era:
            self.send_store_messages(time.monotonic(), before, revision, changes)

    def send_store_messages(
        self, now: float, before: int, revision: int, changes: tuple[EntryChange, ...] = ()
    ) -> None:
        """Announce how far the store was read, with the entries that changed."""
        settings, known = self.view.settings, self.view.configuration
        settled = self.follower.entry_age.is_settled(now)
        for first, reached, rows in split_changes(before, revision, changes):
            message = StoreMessage(
                settings.name,
                settings.data_centre,
                self.lease.lease_state.token,
                known.version if known is not None else 0,
                settled,
                first,
                reached,
                rows,
            )
            self.datagrams.send(message, *self.instances)

    def list_loads(self, now: float) -> dict[str, int]:
        """Return the recently reported loads of servers."""
        return {
            server_id: record.reported_load
            for server_id, record in self.view.fleet.servers.items()
            if now - record.sampled_at < SAMPLE_WINDOW_S
        }

    def make_holder_messages(
        self, engine_states: list[EngineState], now: float, loads: tuple[tuple[str, int], ...] = ()
    ) -> list[HolderMessage]:
        """Return the holder's messages on engines; the first one carries the loads."""
        lease_state = self.lease.lease_state
        settings = self.view.settings
        lease_now = read_lease_clock()
        gives_orders = lease_state.may_order(lease_now) or lease_now < lease_state.may_order_from
        holders = tuple(
            (data_centre, *known.address) for data_centre, known in self.holders.items()
        )
        messages = []
        for part in split_engines(engine_states):
            message = HolderMessage(
                settings.name,
                settings.data_centre,
                *self.lease.address,
                lease_state.token,
                gives_orders,
                len(self.instances) + 1,
                self.count_remote_instances(),
                list_held(part),
                list_changes(part, now),
                holders,
                loads,
            )
            messages.append(message)
            loads = ()
        return messages

    def make_plans_message(self, now: float) -> PlansMessage:
        """Return what this holder plans for its own engines."""
        settings, lease_state = self.view.settings, self.lease.lease_state
        return PlansMessage(
            settings.name,
            settings.data_centre,
            lease_state.token,
            lease_state.may_order(read_lease_clock()),
            self.dispatcher.list_closed(now),
            self.dispatcher.list_reserved(now),
        )

    def handle_datagram(self, read: Result[Message, str], address: Address) -> None:
        """Decode and apply a datagram."""
        now = time.monotonic()
        self.received_at = now
        if isinstance(read, Failure):
            self.dispatcher.metrics.count_unreadable("message")
            log_event(LOG, logging.INFO, "word_unreadable", sender=address[0], why=read.failure())
            return
        message = read.unwrap()
        if isinstance(message, InstanceMessage):
            self.handle_instance_message(message, address, now)
            return
        if isinstance(message, HolderMessage):
            self.handle_holder_message(message, now)
            return
        if isinstance(message, SpeedsMessage):
            self.speeds.apply(message, self.is_holder, now)
            return
        if isinstance(message, StoreMessage):
            if message.token >= self.lease.lease_state.token and not self.is_holder:
                self.follower.handle_store_message(message, now)
            return
        if not self.is_holder:
            return
        if isinstance(message, PlansMessage):
            self.handle_plans_message(message, now)
            return
        if message.data_centre == self.view.settings.data_centre:
            self.instances[address] = now
            self.handle_local_demand(message, now)
        else:
            self.handle_demand(message, now)

    def measure_silence(self, now: float) -> float:
        """Return the seconds since another instance sent anything."""
        return now - self.received_at

    def handle_local_demand(self, message: DemandMessage, now: float) -> None:
        """Apply a demand message of the own data centre, and keep it to be forwarded."""
        self.handle_demand(message, now)
        self.demand_buffer.add(message)
        if self.demand_buffer.is_urgent:
            self.dispatcher.changed.fire()

    def handle_demand(self, message: DemandMessage, now: float) -> None:
        """Apply an instance's demand message."""
        usage = self.dispatcher.usage
        for service, model, adapter, *sums in message.counts:
            usage.count((service, model, adapter), Tally(*sums), now)
        for target in message.awaited:
            usage.record_awaited(tuple(target), now)
        for server_id, started_ms, model, adapter in message.missing:
            self.dispatcher.record_missing(server_id, started_ms, model, adapter, now)
        self.apply_loads(message.loads, message.sender, now)
        if message.awaited or message.missing:
            self.dispatcher.wake.fire()

    def count_remote_instances(self) -> int:
        """Count the instances that the holders of the other data centres receive messages from."""
        own = self.view.settings.data_centre
        return sum(known.instances for name, known in self.holders.items() if name != own)

    def apply_loads(self, loads: tuple[tuple[str, int], ...], sender: str, now: float) -> None:
        """Apply the loads that servers reported to other instances."""
        for server_id, load in loads if sender != self.view.settings.name else ():
            record = self.view.fleet.get(server_id)
            if record is not None:
                record.apply_reported_load(load, now)
        self.view.loads_changed.fire()

    def handle_holder_message(self, message: HolderMessage, now: float) -> None:
        """Apply a holder's message, unless it is one of a former holder."""
        known = self.holders.get(message.data_centre)
        if known is not None and message.token < known.token:
            return
        address = (message.host, message.port)
        if known is None or known.address != address:
            log_event(
                LOG,
                logging.INFO,
                "order_holder",
                holder=message.sender,
                data_centre=message.data_centre,
                token=message.token,
            )
        self.holders[message.data_centre] = KnownHolder(
            address, message.token, now, message.instances
        )
        if message.data_centre == self.view.settings.data_centre:
            count = message.instances + message.instances_elsewhere
            self.view.budget.record_instances(count, now)
        if message.data_centre == self.view.settings.data_centre:
            self.lease.apply_holder_message(message.token, address, message.gives_orders)
            self.learn_holders(message, now)
        elif self.is_holder:
            self.dispatcher.handle_remote_message(message, now)
        fleet = self.view.fleet
        for server_id, started_ms, held in message.held:
            fleet.apply_held_models(server_id, started_ms, dict(held), now)
        for server_id, loading, left_s, unloading in message.changes:
            fleet.apply_pending_changes(server_id, loading, left_s, unloading, now)
        self.apply_loads(message.loads, message.sender, now)
        self.view.changed.fire()

    def handle_plans_message(self, message: PlansMessage, now: float) -> None:
        """Apply the plans of another holder, unless it is a former one."""
        known = self.holders.get(message.data_centre)
        if known is None or message.token >= known.token:
            self.dispatcher.handle_plans(message, now)

    def learn_holders(self, message: HolderMessage, now: float) -> None:
        """Record where the other holders are, in case the local one becomes unresponsive."""
        for data_centre, host, port in message.holders:
            if data_centre not in self.holders:
                self.holders[data_centre] = KnownHolder((host, port), 0, now, 0)

    def list_holders(self) -> dict[str, Address]:
        """Return the addresses of the known holders by data centre, the own one's from its row."""
        holders = {data_centre: known.address for data_centre, known in self.holders.items()}
        if self.lease.holder_address is not None:
            holders[self.view.settings.data_centre] = self.lease.holder_address
        return holders

    def learn_addresses(self, others: dict[str, Address]) -> None:
        """Record the addresses of the other holders from their rows in the store."""
        for data_centre, address in others.items():
            known = self.holders.get(data_centre)
            if known is None or known.address != address:
                token = known.token if known is not None else 0
                self.holders[data_centre] = KnownHolder(address, token, -1e9, 0)
