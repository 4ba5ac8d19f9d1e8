"""Exchange of the slowness that servers state, between instances and order holders.

An instance sends what servers stated to it to the order holder of its data centre, which estimates
their lasting slowness from the statements to all instances, and sends that to the instances. The
holder forwards the statements to the other holders. Nothing is sent while no server states any.
"""

import itertools
from collections.abc import Callable, Iterable

from attrs import define, field

from rhubarbshed.protocol.message_checks import is_text
from rhubarbshed.protocol.speed_messages import SPEEDS_PER_MESSAGE, SpeedsMessage
from rhubarbshed.state.membership.fleet import SAMPLE_WINDOW_S, ServerRecord
from rhubarbshed.transport.edge.view import View

ANNOUNCE_INTERVAL_S = 0.5
"""Time between two announcements of a holder, as between those of loads."""

CHANGE_MIN = 0.1
"""Least change of a slowness that is announced, as a fraction of the one announced before."""

REPEAT_ANNOUNCEMENTS = 4
"""Announcements after which all servers are announced again; a datagram may be lost."""

Address = tuple[str, int]
Rows = dict[str, tuple[float, float]]


@define(eq=False)
class SpeedExchange:
    """Slownesses still to be sent, and what was sent before.

    `stated` were received from the own data centre and are still to be forwarded, `announced` are
    the rows that the instances know.
    """

    view: View
    send: Callable[..., None]
    stated: Rows = field(factory=dict)
    announced: Rows = field(factory=dict)
    announcements: int = 0
    announced_at: float = -1e9
    reported_at: float = -1e9

    def report(self, addresses: Iterable[Address], is_holder: bool, now: float) -> None:
        """Send what servers stated to this instance since the last report to the holders."""
        since, self.reported_at = self.reported_at, now
        rows = self._list_rows(lambda record: record.speed.answered_at > since)
        if is_holder:
            self.stated.update(rows)
        else:
            self._send_rows(rows, addresses)

    def announce(
        self, instances: Iterable[Address], holders: Iterable[Address], now: float
    ) -> None:
        """Send the slownesses that changed to the instances, and what was stated to the holders."""
        if now - self.announced_at < ANNOUNCE_INTERVAL_S:
            return
        self.announced_at = now
        stated, self.stated = self.stated, {}
        self._send_rows(stated, holders)
        self.announcements += 1
        if self.announcements % REPEAT_ANNOUNCEMENTS == 0:
            self.announced = {}
        rows = self._list_rows(lambda record: now - record.speed.stated_at < SAMPLE_WINDOW_S)
        changed = {name: row for name, row in rows.items() if self._has_changed(name, row)}
        self.announced |= changed
        self._send_rows(changed, instances)

    def apply(self, message: SpeedsMessage, is_holder: bool, now: float) -> None:
        """Apply a message; a holder estimates the lasting slowness from statements to all."""
        if message.sender == self.view.settings.name:
            return
        is_own = message.data_centre == self.view.settings.data_centre
        for server_id, stated, lasting in message.speeds:
            record = self.view.fleet.get(server_id)
            if record is not None:
                record.apply_reported_slowness(stated, stated if is_holder else lasting, now)
                if is_holder and is_own:
                    self.stated[server_id] = (stated, lasting)

    def _list_rows(self, is_new: Callable[[ServerRecord], bool]) -> Rows:
        return {
            server_id: (record.speed.stated, record.speed.lasting)
            for server_id, record in self.view.fleet.servers.items()
            if record.speed is not None and is_new(record) and is_text(server_id)
        }

    def _has_changed(self, server_id: str, row: tuple[float, float]) -> bool:
        before = self.announced.get(server_id)
        return before is None or any(
            abs(new - old) > CHANGE_MIN * old for new, old in zip(row, before, strict=True)
        )

    def _send_rows(self, rows: Rows, addresses: Iterable[Address]) -> None:
        settings, listed = self.view.settings, tuple(addresses)
        parts = iter((name, *row) for name, row in rows.items())
        while listed and (part := tuple(itertools.islice(parts, SPEEDS_PER_MESSAGE))):
            self.send(SpeedsMessage(settings.name, settings.data_centre, part), *listed)
