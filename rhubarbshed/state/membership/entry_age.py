"""Age of what an instance knows of the servers' entries, and whether some may have lapsed.

The entry of a server that leaves without an announcement is removed, and requests may reach that
server for the drain time after it. The entry of a server that serves on may lapse while the store
is away, and is back some time after the store's return. An instance sees the same in both cases,
and has to drop the one server in time and to keep the other.

An entry lapses after three heartbeats of its server, which has to miss two of them in a row. An
instance rules that out as long as it knows at shorter intervals that the store serves, by its own
calls or by messages of an order holder, whose lease was renewed within the last second. It takes no
outage from others: a store may be away for one instance alone, and the bound on the drain time
holds for the rest.

The configuration has an age of its own, by which keys of callers are trusted. It is dated by when a
confirmation was asked for: a process that stood still reads old answers late. Its times are of
`util.clocks.read_lease_clock`, which goes on while the machine is suspended.
"""

import logging
import math

from attrs import define

from rhubarbshed.protocol.tables import TableError, TableFault
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

CONFIRMATION_AGE_MAX_S = 3.0
"""Time after the last answer of the store, or message of the order holder, for which the known
entries count as current; the store holds a query for servers for less than that."""

IMMEDIATE_ANSWER_S = 0.5
"""Time within which the store answers a query for what has changed before, also when it is slow."""

ENTRY_RECOVERY_S = 2.2
"""Time after the store's return within which lapsed entries of live servers are back; the
platform's documentation says about two seconds."""

DROP_MARGIN_S = 1.0
"""Part of the drain time that remains when a server without an entry is dropped: changes are
collected for half a second before they are read, and a request may be on its way."""

TRUST_MARGIN_S = 0.25
TRUST_MARGIN_FRACTION = 0.1
"""Part of the bound on revoked keys after which none is trusted any more, at most this fraction of
it: the way of a request to its server, and its wait until that one reads it."""

KEPT_MIN_S = 0.2
"""Shortest time for which a server without an entry is kept, however short the drain time."""


def measure_kept(drain_s: float) -> float:
    """Return the seconds for which a server may be used from when it is known to leave."""
    return max(KEPT_MIN_S, drain_s - DROP_MARGIN_S)


@define
class EntryAge:
    """Age of the known entries and configuration; times of entries are monotonic seconds.

    All changes before `confirmed_at` are known, and from `current_since` on they were read as they
    came. While `is_suspended` changes may be unread: the store is lost, or was and the feed has not
    gone on yet. What was read last may have changed at `changed_since` already.

    The store was last known to serve at `served_at`. It is lost since `lost_at`, None while it
    responds, and `is_outage` if more than a connection broke. Until `lapses_until` entries may be
    missing that lapsed in an outage and will be back.

    The known configuration was the store's at `configuration_asked_at` or later, in seconds of the
    lease clock.
    """

    confirmed_at: float = -math.inf
    current_since: float = -math.inf
    changed_since: float = math.inf
    is_suspended: bool = False
    served_at: float = -math.inf
    lost_at: float | None = None
    is_outage: bool = False
    lapses_until: float = -math.inf
    configuration_asked_at: float = -math.inf

    def record_response(self, sent_at: float, now: float, heartbeat_s: float) -> float | None:
        """Record a response of the store to any call that was sent at `sent_at`.

        Return for how many seconds the store had been lost, None if it was not.
        """
        self._record_service(sent_at, now, heartbeat_s)
        if self.lost_at is None:
            return None
        away_s = now - self.lost_at
        if self.is_outage:
            self._expect_lapses("outage", away_s, now)
        self.lost_at, self.is_outage = None, False
        return away_s

    def record_failure(self, error: TableError, is_repeated: bool, now: float) -> bool:
        """Record a call that failed, `is_repeated` if the one before did so too.

        Return whether the store is lost by it. A connection that breaks once, as by a reset, does
        not show that the store is away.
        """
        is_broken = error.fault is TableFault.UNKNOWN and not error.waited_s
        if not is_broken or is_repeated:
            self.is_outage = True
        if self.lost_at is not None:
            return False
        self.lost_at = now - error.waited_s
        self.suspend()
        return True

    def record_read(self, sent_at: float, now: float, is_full_read: bool) -> None:
        """Record the answer to a query for servers, which shows all changes up to now.

        The store answers at once what changed before the query, which may have been long before. A
        held query is answered when something changes.
        """
        is_immediate = is_full_read or now - sent_at < IMMEDIATE_ANSWER_S
        self.changed_since = self.confirmed_at if is_immediate else now
        self._confirm(now)
        if is_full_read:
            self.current_since = now

    def record_message(
        self, is_settled: bool, misses_nothing: bool, now: float, heartbeat_s: float
    ) -> None:
        """Record an order holder's message on what it read.

        It `misses_nothing` if it goes on from what is known here. It proves nothing if the holder
        is not settled, as it has lost the store or did lately.
        """
        self.changed_since = now
        if not is_settled:
            self.suspend()
            return
        self._record_service(now, now, heartbeat_s)
        if not misses_nothing:
            return
        if self.lost_at is None:
            self._confirm(now)
        else:
            self.confirmed_at = now

    def record_restore(self, now: float) -> None:
        """Record that the store came back from a copy, which may lack entries like an outage."""
        self.suspend()
        self._expect_lapses("restored", 0.0, now)

    def record_gap(self, now: float) -> None:
        """Record that entries may have come and gone unseen until now."""
        self.current_since = max(self.current_since, now)

    def suspend(self) -> None:
        """Record that changes may be unread from now on."""
        self.is_suspended = True

    def is_current(self, now: float) -> bool:
        """Return whether the known entries are those in force."""
        is_confirmed = now - self.confirmed_at <= CONFIRMATION_AGE_MAX_S
        return is_confirmed and not self.is_suspended

    def may_have_lapsed(self, now: float) -> bool:
        """Return whether entries of servers that serve on may be missing."""
        return self.lost_at is not None or now < self.lapses_until

    def is_settled(self, now: float) -> bool:
        """Return whether an order holder may state that others can rely on what it read."""
        return not self.may_have_lapsed(now) and not self.is_suspended

    def date_change(self, now: float) -> float:
        """Return since when an entry may have been as it is read now."""
        return min(now, self.changed_since)

    def find_removed_before(self, drain_s: float, now: float) -> float | None:
        """Return up to when a removal has to be dated for its server to be dropped now.

        None while entries that lapsed may still come back.
        """
        return None if self.may_have_lapsed(now) else now - measure_kept(drain_s)

    def find_announced_since(self, drain_s: float, now: float) -> float:
        """Return since when a server has to be known to leave for it to be used still.

        What was read behind a gap may have been announced before.
        """
        return max(now - measure_kept(drain_s), self.current_since)

    def confirm_configuration(self, asked_at: float, now: float) -> None:
        """Record that the known configuration is in force, as was asked for at `asked_at`.

        An answer to an earlier question may come after that to a later one.
        """
        self.configuration_asked_at = max(self.configuration_asked_at, min(asked_at, now))

    def measure_configuration_age(self, now: float) -> float:
        """Return the seconds since the configuration was confirmed, infinite if it never was."""
        return now - self.configuration_asked_at

    def is_configuration_trusted(self, limit_s: float, now: float) -> bool:
        """Return whether keys of the known configuration may be used.

        A key that was taken away may be used for `limit_s` from when the store has it.
        """
        margin_s = min(TRUST_MARGIN_S, TRUST_MARGIN_FRACTION * limit_s)
        return self.measure_configuration_age(now) < limit_s - margin_s

    def _confirm(self, now: float) -> None:
        self.confirmed_at = now
        if self.is_suspended:
            self.current_since = max(self.current_since, now)
        self.is_suspended = False

    def _record_service(self, asked_at: float, now: float, heartbeat_s: float) -> None:
        """Record that the store served at `asked_at` or later, and does now."""
        unknown_s = asked_at - self.served_at
        if heartbeat_s <= unknown_s < math.inf:
            self._expect_lapses("unknown", unknown_s, now)
        self.served_at = now

    def _expect_lapses(self, why: str, away_s: float, now: float) -> None:
        self.lapses_until = max(self.lapses_until, now + ENTRY_RECOVERY_S)
        log_event(LOG, logging.INFO, "entries_unsettled", why=why, away_ms=round(away_s * 1000))
