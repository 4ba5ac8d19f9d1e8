"""Instances of all data centres, as the order holders list them.

A list is kept while no holder sends a new one, so that the death of a holder does not make the
records of other instances unreachable.
"""

from collections.abc import Iterable

from attrs import define, field, frozen

from rhubarbshed.protocol.messages import InstancesMessage, list_addresses

Address = tuple[str, int]

LIST_KEEP_S = 60.0
"""Time for which a holder keeps the list of a data centre whose holder is silent: after it the
records there are too old."""

MARK_KEEP_S = 20.0
"""Time for which a list with a lower number is ignored; a garbled number must not last."""

DATA_CENTRES_MAX = 32
"""Most data centres whose lists are kept."""


@frozen
class InstanceList:
    """Instances of one data centre, and when they were listed."""

    addresses: tuple[Address, ...]
    listed_at: float


@frozen
class Mark:
    """Holder's token and number of the list applied last, and when."""

    token: int
    number: int
    applied_at: float


@define
class KnownInstances:
    """Lists of instances by data centre, and the parts of lists that are not complete yet."""

    lists: dict[str, InstanceList] = field(factory=dict)
    marks: dict[tuple[str, str], Mark] = field(factory=dict)
    _parts: dict[str, tuple[tuple, dict[int, tuple[Address, ...]]]] = field(factory=dict)

    def record(self, data_centre: str, addresses: Iterable[Address], now: float) -> bool:
        """Record a complete list; return whether it differs from the one before."""
        before = self.lists.get(data_centre)
        if before is None and len(self.lists) >= DATA_CENTRES_MAX:
            return False
        listed = tuple(sorted(set(addresses)))
        self.lists[data_centre] = InstanceList(listed, now)
        return before is None or before.addresses != listed

    def apply(self, message: InstancesMessage, now: float) -> bool:
        """Apply a holder's message; return whether the known instances changed."""
        source = (message.data_centre, message.listed)
        mark = self.marks.get(source)
        if mark is None and len(self.marks) >= DATA_CENTRES_MAX * 2:
            return False
        is_older = mark is not None and (message.token, message.number) < (mark.token, mark.number)
        if is_older and now - mark.applied_at < MARK_KEEP_S:
            return False
        addresses = self._join(message)
        if addresses is None:
            return False
        self.marks[source] = Mark(message.token, message.number, now)
        return self.record(message.listed, addresses, now)

    def drop_silent(self, own_data_centre: str, now: float) -> bool:
        """Empty the lists of other data centres whose holders are silent; return any change."""
        silent = [
            data_centre
            for data_centre, each in self.lists.items()
            if data_centre != own_data_centre
            and each.addresses
            and now - each.listed_at > LIST_KEEP_S
        ]
        for data_centre in silent:
            self.lists[data_centre] = InstanceList((), now)
        return bool(silent)

    def _join(self, message: InstancesMessage) -> tuple[Address, ...] | None:
        """Return all addresses of a list once each of its parts has come."""
        if message.parts == 1:
            return list_addresses(message)
        key = (message.data_centre, message.token, message.number, message.parts)
        if message.listed not in self._parts and len(self._parts) >= DATA_CENTRES_MAX:
            return None
        if self._parts.get(message.listed, (None, {}))[0] != key:
            self._parts[message.listed] = (key, {})
        parts = self._parts[message.listed][1]
        parts[message.part] = list_addresses(message)
        if len(parts) < message.parts:
            return None
        del self._parts[message.listed]
        return tuple(address for part in parts.values() for address in part)
