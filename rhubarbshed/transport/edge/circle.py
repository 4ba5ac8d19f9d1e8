"""What instances tell the order holders, and what these tell them and each other.

Each data centre has its own order holder, so that a cut or a death takes orders away from a part of
the engines only. A holder tells the instances of its own data centre of all engines, and the other
holders of its own engines and of the demand that it heard of: between data centres only holders
talk, and what an instance gets does not grow with the number of instances.
"""

import asyncio
import logging
import time

from attrs import define, field
from returns.result import Failure, Result

from rhubarbshed.protocol.messages import DemandMessage, HolderMessage, Message, StoreMessage
from rhubarbshed.protocol.tables import Row
from rhubarbshed.state.membership.fleet import SAMPLE_WINDOW_S
from rhubarbshed.state.placement.demand_buffer import DemandBuffer, list_counts
from rhubarbshed.state.placement.engine_states import EngineState
from rhubarbshed.state.placement.usage import Tally, Target
from rhubarbshed.transport.edge.datagrams import Datagrams
from rhubarbshed.transport.edge.follower import Follower
from rhubarbshed.transport.edge.holder import OrderDesk
from rhubarbshed.transport.edge.lease import LeaseKeeper
from rhubarbshed.transport.edge.view import View
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

DEMAND_S = 0.5
"""Time between two words on demand; placement follows it within a second."""

HOLDER_S = 0.25
"""Time between two words of a holder; three lost ones in a row make others look at the lease."""

SILENT_S = 0.6
"""Time without a word of the own holder after which the others are told of wants."""

FORGET_S = 5.0
"""Time without a word after which a holder no longer counts an instance."""

ROWS_PER_WORD = 8
"""Rows of the store in one datagram; a server's row has some hundred bytes."""

SERVERS_PER_WORD = 12
"""Engines told of in one datagram, which keeps it within a packet or two."""

GATHER_S = 0.025
"""Time in which changes gather before they are told; a caller that waits for an adapter notices
it little, and a holder sends 40 words a second to each instance at the most."""

COUNTS_PER_WORD = 40
"""Targets counted in one datagram between holders."""

WANT_PAUSE_S = 0.08
"""Shortest time between two words on the same want."""

Address = tuple[str, int]


@define
class KnownHolder:
    """Hold what is known of the order holder of one data centre."""

    address: Address
    token: int
    heard_at: float
    instances: int


@define
class Circle:
    """Exchange words with the order holders, or be one."""

    view: View
    lease: LeaseKeeper
    desk: OrderDesk
    follower: Follower
    datagrams: Datagrams = field(init=False)
    counts: dict[Target, Tally] = field(factory=dict)
    wanted_at: dict[Target, float] = field(factory=dict)
    instances: dict[Address, float] = field(factory=dict)
    holders: dict[str, KnownHolder] = field(factory=dict)
    heard: DemandBuffer = field(factory=DemandBuffer)
    loads_told_at: float = -1e9

    def __attrs_post_init__(self) -> None:
        """Make the socket's side."""
        self.datagrams = Datagrams(self.take)

    @property
    def is_holder(self) -> bool:
        """Tell whether this instance holds the lease of its data centre."""
        return self.lease.lease_state.held

    def count_demand(self, service: str, model: str, adapter: str, tokens: int) -> None:
        """Count a request with the tokens of its prompt, for the next word."""
        self.counts.setdefault((service, model, adapter), Tally()).add(Tally(1, tokens))

    def count_run(self, service: str, model: str, adapter: str, run_s: float) -> None:
        """Count a run that was answered, for the next word."""
        self.counts.setdefault((service, model, adapter), Tally()).add(Tally(runs=1, run_s=run_s))

    def want(self, service: str, model: str, adapter: str) -> None:
        """Tell the holder at once that a caller waits for something."""
        target = (service, model, adapter)
        now = time.monotonic()
        if now - self.wanted_at.get(target, -1e9) < WANT_PAUSE_S:
            return
        self.wanted_at[target] = now
        self.tell_demand(now, awaited=(target,))

    def tell_lack(self, server_id: str, started_ms: int, model: str, adapter: str) -> None:
        """Tell the holder that a server lacks something, or that it is down (no model)."""
        self.tell_demand(time.monotonic(), missing=((server_id, started_ms, model, adapter),))

    def tell_demand(
        self,
        now: float,
        awaited: tuple[Target, ...] = (),
        missing: tuple[tuple[str, int, str, str], ...] = (),
    ) -> None:
        """Tell the holder what was asked for since the last word."""
        settings = self.view.settings
        counts = tuple(list_counts(self.counts))
        loads = tuple(
            (server_id, record.reported_load)
            for server_id, record in self.view.fleet.servers.items()
            if record.answered_at > self.loads_told_at
        )
        word = DemandMessage(settings.name, settings.data_centre, counts, awaited, missing, loads)
        if self.is_holder:
            self.take_own_demand(word, now)
        elif not self.send_demand(word, now):
            return
        self.counts.clear()
        self.loads_told_at = now

    def send_demand(self, word: DemandMessage, now: float) -> bool:
        """Send a word to the own holder, and while that is silent to the others."""
        own = self.lease.holder_address
        if own is not None:
            self.datagrams.send(word, own)
        silent = now - self.lease.lease_state.last_received_at > SILENT_S
        others = [known.address for known in self.holders.values() if known.address != own]
        if silent:
            for address in others:
                self.datagrams.send(word, address)
        return own is not None or bool(others)

    def forward(self) -> None:
        """Pass on to the other holders what was heard from the own data centre."""
        heard, self.heard = self.heard, DemandBuffer()
        counts = list_counts(heard.counts)
        if not counts and not heard.is_urgent and not heard.loads:
            return
        settings = self.view.settings
        others = self.list_other_holders()
        awaited, missing, loads = (
            tuple(heard.awaited),
            tuple(heard.missing),
            tuple(heard.loads.items()),
        )
        for start in range(0, max(1, len(counts)), COUNTS_PER_WORD):
            part = tuple(counts[start : start + COUNTS_PER_WORD])
            word = DemandMessage(settings.name, settings.data_centre, part, awaited, missing, loads)
            self.datagrams.send(word, *others)
            awaited = missing = loads = ()

    def list_other_holders(self) -> list[Address]:
        """List the addresses of the holders of the other data centres."""
        own = self.view.settings.data_centre
        return [known.address for name, known in self.holders.items() if name != own]

    async def tell(self) -> None:
        """Tell as a holder what engines hold, for ever: at each change and regularly."""
        told_at = time.monotonic()
        while True:
            await self.desk.changed.wait(max(0.0, told_at + HOLDER_S - time.monotonic()))
            now = time.monotonic()
            regular = now - told_at >= HOLDER_S
            if self.is_holder:
                self.tell_all(now - told_at if regular else None, now)
            if regular:
                told_at = now
            await asyncio.sleep(GATHER_S)

    async def tell_regularly(self) -> None:
        """Tell the holder of demand for ever, also when there is none."""
        while True:
            await asyncio.sleep(DEMAND_S * (0.8 + 0.4 * self.view.chance.random()))
            self.tell_demand(time.monotonic())

    def tell_all(self, since_regular_s: float | None, now: float) -> None:
        """Tell the instances here and the other holders what engines hold and what was asked for.

        `since_regular_s` is set for a regular word, which is sent also without news.
        """
        regular = since_regular_s is not None
        if regular:
            self.tell_regular_news(now)
        places = self.desk.list_known(now)
        chosen = self.desk.updates.choose_engines(set(places), since_regular_s)
        told = [places[server_id] for server_id in chosen]
        own = [engine_state for engine_state in told if engine_state.is_local]
        loads = self.desk.updates.choose_loads(self.list_loads(now), now) if regular else ()
        if told or regular:
            for word in self.make_words(told, now, loads):
                self.take_holder(word, now)
                self.datagrams.send(word, *self.instances)
        if own or regular:
            others = self.list_other_holders()
            for word in self.make_words(own, now):
                self.datagrams.send(word, *others)
        if regular or self.heard.is_urgent:
            self.forward()

    def tell_regular_news(self, now: float) -> None:
        """Forget instances that fell silent, and tell the others how far the store was read."""
        for address in [key for key, at in self.instances.items() if now - at > FORGET_S]:
            del self.instances[address]
        self.lease.note_holders(self.holders, now)
        revision = self.follower.servers_revision or 0
        if self.follower.lost_at is None:
            self.tell_news(now, revision, revision)

    def publish(self, before: int, revision: int, rows: tuple[Row, ...]) -> None:
        """Tell the instances here what changed in the store."""
        if self.is_holder:
            self.tell_news(time.monotonic(), before, revision, rows)

    def tell_news(self, now: float, before: int, revision: int, rows: tuple[Row, ...] = ()) -> None:
        """Tell how far the store was read, with what changed."""
        settings, known = self.view.settings, self.view.configuration
        for start in range(0, max(1, len(rows)), ROWS_PER_WORD):
            part = rows[start : start + ROWS_PER_WORD]
            last = start + ROWS_PER_WORD >= len(rows)
            reached = revision if last else part[-1].version
            word = StoreMessage(
                settings.name,
                settings.data_centre,
                self.lease.lease_state.token,
                known.version if known is not None else 0,
                self.follower.is_settled(now),
                before,
                reached,
                tuple((row.key, row.version, row.value) for row in part),
            )
            before = reached
            self.datagrams.send(word, *self.instances)

    def list_loads(self, now: float) -> dict[str, int]:
        """Return the loads of servers as they were told of late."""
        return {
            server_id: record.reported_load
            for server_id, record in self.view.fleet.servers.items()
            if now - record.sampled_at < SAMPLE_WINDOW_S
        }

    def make_words(
        self, places: list[EngineState], now: float, loads: tuple[tuple[str, int], ...] = ()
    ) -> list[HolderMessage]:
        """Return the holder's words on engines; the first one tells of loads."""
        lease_state = self.lease.lease_state
        settings = self.view.settings
        gives_orders = lease_state.may_order(now) or now < lease_state.may_order_from
        holders = tuple(
            (data_centre, *known.address) for data_centre, known in self.holders.items()
        )
        words = []
        for start in range(0, max(1, len(places)), SERVERS_PER_WORD):
            part = places[start : start + SERVERS_PER_WORD]
            word = HolderMessage(
                settings.name,
                settings.data_centre,
                *self.lease.address,
                lease_state.token,
                gives_orders,
                len(self.instances) + 1,
                self.count_elsewhere(),
                tuple(
                    (engine_state.server_id, engine_state.started_ms, _group(engine_state))
                    for engine_state in part
                ),
                tuple(
                    (each.server_id, each.loading, max(0.0, each.busy_until - now), each.unloading)
                    for each in part
                ),
                holders,
                loads,
            )
            words.append(word)
            loads = ()
        return words

    def take(self, read: Result[Message, str], address: Address) -> None:
        """Take a datagram."""
        now = time.monotonic()
        if isinstance(read, Failure):
            log_event(LOG, logging.INFO, "word_unreadable", sender=address[0], why=read.failure())
            return
        word = read.unwrap()
        if isinstance(word, HolderMessage):
            self.take_holder(word, now)
            return
        if isinstance(word, StoreMessage):
            if word.token >= self.lease.lease_state.token and not self.is_holder:
                self.follower.take_news(word, now)
            return
        if not self.is_holder:
            return
        if word.data_centre == self.view.settings.data_centre:
            self.instances[address] = now
            self.take_own_demand(word, now)
        else:
            self.take_demand(word, now)

    def take_own_demand(self, word: DemandMessage, now: float) -> None:
        """Take a word from the own data centre, to be passed on."""
        self.take_demand(word, now)
        self.heard.add(word)
        if self.heard.is_urgent:
            self.desk.changed.fire()

    def take_demand(self, word: DemandMessage, now: float) -> None:
        """Take an instance's word on demand."""
        usage = self.desk.usage
        for service, model, adapter, *numbers in word.counts:
            usage.count((service, model, adapter), Tally(*numbers), now)
        for target in word.awaited:
            usage.record_awaited(tuple(target), now)
        for server_id, started_ms, model, adapter in word.missing:
            self.desk.note_lack(server_id, started_ms, model, adapter, now)
        self.take_loads(word.loads, word.sender, now)
        if word.awaited or word.missing:
            self.desk.wake.fire()

    def count_elsewhere(self) -> int:
        """Count the instances that the holders of the other data centres hear."""
        own = self.view.settings.data_centre
        return sum(known.instances for name, known in self.holders.items() if name != own)

    def take_loads(self, loads: tuple[tuple[str, int], ...], sender: str, now: float) -> None:
        """Take what servers told other instances of their load."""
        for server_id, load in loads if sender != self.view.settings.name else ():
            record = self.view.fleet.get(server_id)
            if record is not None:
                record.apply_reported_load(load, now)

    def take_holder(self, word: HolderMessage, now: float) -> None:
        """Take a holder's word, unless it is one of a former holder."""
        known = self.holders.get(word.data_centre)
        if known is not None and word.token < known.token:
            return
        address = (word.host, word.port)
        if known is None or known.address != address:
            log_event(
                LOG,
                logging.INFO,
                "order_holder",
                holder=word.sender,
                data_centre=word.data_centre,
                token=word.token,
            )
        self.holders[word.data_centre] = KnownHolder(address, word.token, now, word.instances)
        if word.data_centre == self.view.settings.data_centre:
            self.view.budget.instances = word.instances + word.instances_elsewhere
        if word.data_centre == self.view.settings.data_centre:
            self.lease.hear(word.token, address, word.gives_orders, now)
            self.learn_holders(word, now)
        elif self.is_holder:
            self.desk.take_remote(word, now)
        fleet = self.view.fleet
        for server_id, started_ms, held in word.held:
            fleet.apply_held_models(server_id, started_ms, dict(held), now)
        for server_id, loading, left_s, unloading in word.changes:
            fleet.apply_pending_changes(server_id, loading, left_s, unloading, now)
        self.take_loads(word.loads, word.sender, now)
        self.view.changed.fire()

    def learn_holders(self, word: HolderMessage, now: float) -> None:
        """Learn where the other holders are, for when the own one falls silent."""
        for data_centre, host, port in word.holders:
            if data_centre not in self.holders:
                self.holders[data_centre] = KnownHolder((host, port), 0, now, 0)

    def learn_addresses(self, others: dict[str, Address]) -> None:
        """Take the addresses of the other holders from their rows in the store."""
        for data_centre, address in others.items():
            known = self.holders.get(data_centre)
            if known is None or known.address != address:
                token = known.token if known is not None else 0
                self.holders[data_centre] = KnownHolder(address, token, -1e9, 0)


def _group(engine_state: EngineState) -> tuple[tuple[str, tuple[str, ...]], ...]:
    grouped: dict[str, list[str]] = {model: [] for model in sorted(engine_state.models)}
    for model, adapter in sorted(engine_state.adapters):
        if model in grouped and (model, adapter) not in engine_state.missing_adapters:
            grouped[model].append(adapter)
    return tuple((model, tuple(names)) for model, names in grouped.items())
