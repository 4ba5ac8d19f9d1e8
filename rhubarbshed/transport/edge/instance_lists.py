"""Lists of all instances, sent by the order holders.

Any instance may have to ask any other for the origin of a stream, but only an order holder hears
from the instances of its data centre. It sends their list to the other holders, and all lists to
its instances: a change at once and once more, the others in turn.
"""

import asyncio
import itertools
import logging
import time
from collections.abc import Callable, Mapping

from attrs import define, field

from rhubarbshed.protocol.messages import (
    ADDRESSES_PER_MESSAGE,
    PARTS_MAX,
    InstancesMessage,
    InstancesQuestion,
    Message,
    pack_addresses,
)
from rhubarbshed.state.requests.known_instances import KnownInstances
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

Address = tuple[str, int]

CHECK_INTERVAL_S = 0.25
"""Time between two checks of the lists: a changed list is sent at most four times a second."""

ROTATION_INTERVAL_S = 0.5
"""Time between two regular lists to the instances: those of six data centres take 3 s."""

OWN_LIST_INTERVAL_S = 1.0
"""Time between two regular lists to the other holders."""

SENDS_PER_CHANGE = 2
"""Messages that carry a change; the second one covers a lost datagram."""

TAKEOVER_S = 5.0
"""Time for which a new holder also lists the instances that the holder before it listed; each
sends a message to the new one meanwhile."""

FIRST_LIST_DELAY_S = 1.0
"""Time for which a new holder that has no list of the one before collects instances; each sends a
message every half second."""


REQUEST_PAUSE_MAX_S = 4.0
"""Longest pause between two requests for the lists, doubled from `CHECK_INTERVAL_S`: a holder of an
older build does not know them and logs each."""


@define(eq=False)
class InstanceLists:
    """Exchange of the lists of instances, as an order holder or as another instance.

    `heard` are the instances that this one hears from as a holder, `holders` the addresses of all
    known holders by data centre. `learn` is called with all others at each change, and with whether
    a holder has listed them.
    """

    data_centre: str
    address: Address
    send: Callable[..., None]
    is_holder: Callable[[], bool]
    find_token: Callable[[], int]
    heard: Mapping[Address, float]
    find_holders: Callable[[], dict[str, Address]]
    learn: Callable[[dict[str, tuple[Address, ...]], bool, float], None]
    known: KnownInstances = field(factory=KnownInstances)
    held_since: float | None = None
    _before: tuple[Address, ...] = ()
    _changed: bool = False
    _holders: dict[str, Address] = field(factory=dict)
    _numbers: dict[str, int] = field(factory=dict)
    _sends_left: dict[str, int] = field(factory=dict)
    _told: set[Address] = field(factory=set)
    _rotation: int = 0
    _rotated_at: float = -1e9
    _own_sent_at: float = -1e9
    _requested_from: Address | None = None
    _request_pause_s: float = 0.0
    _request_at: float = 0.0

    async def maintain(self) -> None:
        """Send or ask for the lists forever."""
        while True:
            self.check(time.monotonic())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self, now: float) -> None:
        """Do what is due now: as a holder send lists, as an instance without one ask for them."""
        if self.is_holder():
            self._announce(now)
        else:
            self.held_since = None
            if self.data_centre not in self.known.lists:
                self._request(now)
        self._pass_on(now)

    def handle_message(
        self, message: InstancesMessage | InstancesQuestion, address: Address, now: float
    ) -> None:
        """Apply a list, or reply with all of them."""
        if isinstance(message, InstancesQuestion):
            if self.is_holder():
                self._send_lists(list(self.known.lists), address)
            return
        is_holder = self.is_holder()
        if is_holder and (
            message.data_centre == self.data_centre or message.data_centre != message.listed
        ):
            # A former holder of this data centre, or a list that another holder passes on.
            return
        if not is_holder and self.data_centre != message.data_centre != message.listed:
            return
        if self.known.apply(message, now):
            self._record_change(message.listed, now)
            self._pass_on(now)

    def list_others(self) -> dict[str, tuple[Address, ...]]:
        """Return all other instances by data centre, the holders included."""
        others = {name: set(each.addresses) for name, each in self.known.lists.items()}
        for name, holder in self.find_holders().items():
            others.setdefault(name, set()).add(holder)
        return {name: tuple(sorted(each - {self.address})) for name, each in others.items()}

    def _request(self, now: float) -> None:
        """Ask the order holder for all lists, at once after a change of the holder."""
        holder = self.find_holders().get(self.data_centre)
        if holder != self._requested_from:
            self._requested_from, self._request_pause_s, self._request_at = holder, 0.0, now
        if holder is None or holder == self.address or now < self._request_at:
            return
        self.send(InstancesQuestion(), holder)
        self._request_pause_s = min(
            REQUEST_PAUSE_MAX_S, max(CHECK_INTERVAL_S, 2 * self._request_pause_s)
        )
        self._request_at = now + self._request_pause_s

    def _announce(self, now: float) -> None:
        if self.held_since is None:
            self.held_since = now
            before = self.known.lists.get(self.data_centre)
            self._before = before.addresses if before is not None else ()
            self._told.clear()
        self._refresh_own(now)
        if self.known.drop_silent(self.data_centre, now):
            for name in self.known.lists:
                self._record_change(name, now)
        names = list(self.known.lists)
        unaware = [address for address in self.heard if address not in self._told]
        changed = [name for name in names if self._sends_left.get(name, 0) > 0]
        for name in changed:
            self._sends_left[name] -= 1
        due = list(changed)
        if now - self._rotated_at >= ROTATION_INTERVAL_S and names:
            self._rotated_at = now
            self._rotation += 1
            due.append(names[self._rotation % len(names)])
        self._send_lists(list(dict.fromkeys(due)), *self._told.intersection(self.heard))
        self._send_lists(names, *unaware)
        self._told = set(self.heard)
        own_due = now - self._own_sent_at >= OWN_LIST_INTERVAL_S
        if self.data_centre in names and (own_due or self.data_centre in changed):
            self._own_sent_at = now
            holders = self.find_holders()
            others = [holders[name] for name in holders if name != self.data_centre]
            self._send_lists([self.data_centre], *others)

    def _refresh_own(self, now: float) -> None:
        since_s = now - (self.held_since if self.held_since is not None else now)
        if not self._before and since_s < FIRST_LIST_DELAY_S:
            return
        former = self._before if since_s < TAKEOVER_S else ()
        heard = (address[:2] for address in self.heard)
        if self.known.record(self.data_centre, (self.address, *heard, *former), now):
            self._record_change(self.data_centre, now)

    def _record_change(self, name: str, now: float) -> None:
        self._numbers[name] = self._numbers.get(name, 0) + 1
        self._sends_left[name] = SENDS_PER_CHANGE
        self._changed = True
        count = len(self.known.lists[name].addresses)
        log_event(LOG, logging.DEBUG, "instances_listed", data_centre=name, instances=count)

    def _pass_on(self, now: float) -> None:
        holders = self.find_holders()
        if not self._changed and holders == self._holders:
            return
        self._changed, self._holders = False, holders
        self.learn(self.list_others(), self.data_centre in self.known.lists, now)

    def _send_lists(self, names: list[str], *addresses: Address) -> None:
        for name in names if addresses else ():
            for message in self._make_messages(name):
                self.send(message, *addresses)

    def _make_messages(self, name: str) -> list[Message]:
        listed = self.known.lists[name].addresses[: ADDRESSES_PER_MESSAGE * PARTS_MAX]
        parts = [
            listed[start : start + ADDRESSES_PER_MESSAGE]
            for start in range(0, max(1, len(listed)), ADDRESSES_PER_MESSAGE)
        ]
        number = self._numbers.get(name, 0)
        return [
            InstancesMessage(
                self.data_centre,
                self.find_token(),
                name,
                number,
                part,
                len(parts),
                *pack_addresses(addresses),
            )
            for part, addresses in zip(itertools.count(), parts, strict=False)
        ]
