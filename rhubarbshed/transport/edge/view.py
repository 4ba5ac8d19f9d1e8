"""State that the parts of an instance on the platform share."""

import asyncio
import logging
import math
import random
import time
from collections import Counter
from collections.abc import Callable

from attrs import define, field

from rhubarbshed.coordination.requests.drain import Drain
from rhubarbshed.coordination.serving.final_refusals import may_refuse_finally
from rhubarbshed.coordination.serving.retry_budget import ServiceRetryBudget
from rhubarbshed.coordination.serving.versions import measure_followed
from rhubarbshed.protocol.routes import CallerLimits, Configuration
from rhubarbshed.state.membership.fleet import Fleet, ServerRecord
from rhubarbshed.state.membership.versions import VersionHistory
from rhubarbshed.state.requests.stream_origins import STREAM_AGE_MAX_S
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.front import FrontSettings
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

LIMITS_DEFAULT = CallerLimits()

INSTANCES_ASSUMED = 16
"""Number of instances that share a limit until an order holder has counted them."""

ANNOUNCE_S = 2.7
"""Time after a stop was requested in which new requests are still accepted.

The platform takes an instance out after two failed readiness checks, one a second. A process that
has to wait for the processor notes the signal late: the rest is room below the 3 s after which no
request may be lost."""

READY_LEAD_S = 1.5
READY_LEAD_FRACTION = 0.3
"""Time before callers' keys lose their validity here from which new connections should go to other
instances, at most this fraction of the bound on revoked keys: the platform takes an instance out
after two failed readiness checks, one a second."""

CLOSE_MARGIN_S = 0.7
"""Part of the grace time kept for closing; the platform kills the process at its end."""


@define
class Signal:
    """Change notification that wakes all waiters and calls all listeners."""

    waiters: set[asyncio.Future] = field(factory=set)
    listeners: list[Callable[[], None]] = field(factory=list)

    def fire(self) -> None:
        """Wake all waiters."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()
        for listener in self.listeners:
            listener()

    async def wait(self, timeout_s: float) -> bool:
        """Wait for a change or the timeout; return whether there was a change."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
                return True
        except TimeoutError:
            return False
        finally:
            self.waiters.discard(waiter)


@define(eq=False)
class LatchedSignal:
    """Notification for one waiter that is kept until it waits."""

    _event: asyncio.Event = field(factory=asyncio.Event)

    def fire(self) -> None:
        """Wake the waiter, now or when it begins to wait."""
        self._event.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait for a notification or the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            return
        finally:
            self._event.clear()


@define
class View:
    """Known state and budgets of one instance; they change in the event loop's thread only.

    `configured_at` and `fleet_at` are when the store last confirmed each, `next_read_at` when a
    failed read is repeated, `started_at` when it began to ask it (monotonic seconds).
    `changed` tells of entries and settings, `loads_changed` of newer loads and ended attempts.
    `failed_reads` are those in a row that failed, by table, other than for too many calls.
    """

    settings: FrontSettings
    drain: Drain
    budget: ServiceRetryBudget
    rng: random.Random
    configuration: Configuration | None = None
    configured_at: float = 0.0
    fleet: Fleet = field(factory=Fleet)
    fleet_at: float = 0.0
    failed_reads: Counter[str] = field(factory=Counter)
    next_read_at: float = 0.0
    changed: Signal = field(factory=Signal)
    loads_changed: Signal = field(factory=Signal)
    versions: VersionHistory = field(factory=VersionHistory)
    started_at: float = field(factory=time.monotonic)

    @classmethod
    def from_settings(cls, settings: FrontSettings) -> "View":
        """Create the view of an instance that knows nothing yet."""
        drain_s = max(0.0, settings.grace_s - ANNOUNCE_S - CLOSE_MARGIN_S)
        return cls(
            settings=settings,
            drain=Drain(ANNOUNCE_S, drain_s),
            budget=ServiceRetryBudget(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window_s,
                INSTANCES_ASSUMED,
            ),
            rng=random.Random(settings.name),
        )

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers in force."""
        return self.configuration.limits if self.configuration is not None else LIMITS_DEFAULT

    def list_versions(self, now: float) -> tuple[tuple[str, str], ...]:
        """List the (service, version) pairs seen for as long as a stream may be old."""
        return tuple(sorted(self.versions.list_seen(self.fleet, now - STREAM_AGE_MAX_S)))

    def measure_followed(self, now: float) -> float:
        """Return the seconds for which the servers' entries were followed without a gap."""
        return measure_followed(self.versions, now)

    def record_leaving(self, record: ServerRecord, now: float) -> None:
        """Record that a server says in an answer that it leaves; its entry may not say so yet."""
        if record.leaving_at is not None:
            return
        record.leave(now, now)
        server_id, service = record.entry.server_id, record.entry.service
        log_event(
            LOG, logging.INFO, "server_leaving", server=server_id, service=service, why="answer"
        )
        self.changed.fire()

    def record_leaving_elsewhere(self, server_id: str, since: float, now: float) -> None:
        """Record that a server said that it leaves, in an answer by way of another instance.

        One that is known later than `since`, when it was asked, may have started again.
        """
        record = self.fleet.get(server_id)
        if record is not None and record.known_since <= since:
            self.record_leaving(record, now)

    def record_backoff(self, record: ServerRecord, backoff_s: float, now: float) -> None:
        """Record that a server turned a request away and wants nothing for a while."""
        if record.record_backoff(backoff_s, now):
            server_id, backoff_s = record.entry.server_id, round(record.backoff_until - now, 2)
            log_event(LOG, logging.INFO, "server_backoff", server=server_id, backoff_s=backoff_s)

    @property
    def is_known(self) -> bool:
        """Return whether the configuration and servers were read from the store."""
        return self.configuration is not None and bool(self.fleet.servers)

    @property
    def is_ready(self) -> bool:
        """Return whether new connections should come here.

        An instance that would soon refuse all keys leaves them to others.
        """
        is_serving = self.is_known and self.drain.started_at is None
        return is_serving and not self.is_losing_trust(read_lease_clock())

    def is_losing_trust(self, now: float) -> bool:
        """Return whether keys of callers lose their validity here; `now` is of the lease clock."""
        settings = self.settings
        if not settings.strict_revocation or self.configuration.accounts is None:
            return False
        limit_s = settings.revocation_s
        limit_s -= min(READY_LEAD_S, READY_LEAD_FRACTION * limit_s)
        return not self.versions.entry_age.is_configuration_trusted(limit_s, now)

    def may_refuse_finally(self, now: float) -> bool:
        """Return whether the configuration may refuse for good; `now` is of the lease clock."""
        age_s = self.versions.entry_age.measure_configuration_age(now)
        return may_refuse_finally(age_s, self.settings.config_apply_s)


def measure_age_ms(view: View, now: float) -> int | str:
    """Return the milliseconds since the configuration was confirmed, "" if it never was."""
    age_s = view.versions.entry_age.measure_configuration_age(now)
    return "" if age_s == math.inf else round(age_s * 1000)
