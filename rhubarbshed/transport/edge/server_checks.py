"""Checks whether a server at which an attempt broke off has ended.

A connection also breaks off for other reasons: a reset, a truncated answer, a cut. A server that
has ended refuses new connections, and so does a cut of the links to all servers. An answer that
ends with its connection needs more: a sign of life that the same incarnation gave after the end.
"""

import asyncio
import logging
import math
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable

from attrs import define, field
from returns.result import Failure, Success

from rhubarbshed.platform.headers import STATUS_MISDIRECTED, announces_leaving
from rhubarbshed.platform.orders import make_health_call, make_report_call
from rhubarbshed.platform.records import read_report
from rhubarbshed.protocol.routes import ServiceSpec
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.channels import ChannelError, NotListeningError
from rhubarbshed.transport.edge.control import ControlAnswer, call_server
from rhubarbshed.transport.edge.crash_news import Incarnation
from rhubarbshed.transport.edge.late_loops import limit_time
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

ENDED_MAX = 1_000
"""Most ended servers that are remembered."""

CHECK_WAIT_S = 0.03
"""Longest time that a request waits for the check of its server; a round trip takes 3 ms."""

SIGN_TIMEOUT_S = 0.3
"""Time for a sign of life; a health check may wait for a slot of a busy server."""

START_TIMEOUT_S = 0.1
"""Time in which an engine may show its start; its report needs no slot, and callers of a stream
that broke off for a silence of a second leave after two."""

SIGN_ATTEMPTS = 3
SIGN_PAUSE_S = 0.05
"""Attempts at a sign of life, and the pause between them: one message may be lost, a sound server
may be silent for a second, and callers of a stream leave after two."""


async def find_no_cut() -> bool:
    """Return that the links to servers are not cut; for checks without a monitor of links."""
    return False


@define(eq=False)
class ServerChecks:
    """Checks in progress, and the servers known to have ended by themselves, with the time.

    `on_ended` is called for each of these, again if one is found so again, `on_alive` after a check
    that found a server alive, with the monotonic time at which the check began. `find_cut` returns
    whether the links to all servers are cut. `on_leaving` is called for a server that says that it
    leaves.
    """

    pool: Pool
    on_ended: Callable[[Incarnation, float], None] = lambda incarnation, now: None
    on_alive: Callable[[Incarnation, float], None] = lambda incarnation, since: None
    find_cut: Callable[[], Awaitable[bool]] = find_no_cut
    on_leaving: Callable[[ServerRecord], None] = lambda record: None
    ended: OrderedDict[Incarnation, float] = field(factory=OrderedDict)
    running: dict[Incarnation, asyncio.Task] = field(factory=dict)

    def check(self, record: ServerRecord) -> None:
        """Find out whether a server has ended by now, unless that is being checked."""
        if record.key in self.running or is_leaving(record):
            return
        task = asyncio.get_running_loop().create_task(self._connect(record))
        self.running[record.key] = task
        task.add_done_callback(lambda _: self.running.pop(record.key, None))

    async def wait(self, record: ServerRecord) -> None:
        """Wait for the check of a server, if there is one, but no longer than it usually takes."""
        task = self.running.get(record.key)
        if task is not None:
            await asyncio.wait((task,), timeout=CHECK_WAIT_S)

    def record_refused(self, record: ServerRecord, now: float) -> None:
        """Record that an attempt found nobody, or another server, at a server's address."""
        if not is_leaving(record):
            self.record_ended(record.key, "refused", now)

    def record_ended(self, incarnation: Incarnation, how: str, now: float) -> None:
        """Record that a server has ended; `how` is known for the log."""
        if incarnation not in self.ended:
            server_id, started_ms = incarnation
            log_event(
                LOG, logging.INFO, "server_ended", server=server_id, started_ms=started_ms, how=how
            )
        self.ended[incarnation] = now
        if len(self.ended) > ENDED_MAX:
            self.ended.popitem(last=False)
        self.on_ended(incarnation, now)

    def has_ended_since(self, incarnation: Incarnation, sent_at: float) -> bool:
        """Return whether a server is known to have ended after a request was sent to it.

        One that took a request later has not: a cut had refused connections to it.
        """
        return self.ended.get(incarnation, -math.inf) >= sent_at

    def record_alive(self, incarnation: Incarnation) -> None:
        """Record that a server has answered; a cut may have refused connections to it before."""
        self.ended.pop(incarnation, None)

    async def confirm_running(self, record: ServerRecord, service: ServiceSpec | None) -> bool:
        """Return whether a server shows that it has not ended by now.

        Only an answer of the same incarnation shows that: the address may belong to another one.
        """
        for attempt in range(SIGN_ATTEMPTS):
            if attempt:
                await asyncio.sleep(SIGN_PAUSE_S)
            sign = await self._ask_for_sign(record, service)
            if sign is not None:
                return sign
        return False

    async def has_restarted(self, record: ServerRecord, service: ServiceSpec | None) -> bool:
        """Return whether a server shows that it is not the start that its entry is of.

        Only engines name their start. One that gives no report shows nothing.
        """
        answer = await self._ask_for_start(record, service)
        if answer is None:
            return False
        if answer.status == STATUS_MISDIRECTED:
            return True
        return isinstance(read_report(answer.body), Success) and not is_same_start(record, answer)

    async def had_restarted(
        self, record: ServerRecord, service: ServiceSpec | None, at_ms: float
    ) -> bool:
        """Return whether an engine shows another start than its entry, made before `at_ms`.

        That is milliseconds of Unix time, as engines name their start.
        """
        answer = await self._ask_for_start(record, service)
        if answer is None or answer.status == STATUS_MISDIRECTED or is_same_start(record, answer):
            return False
        report = read_report(answer.body)
        return isinstance(report, Success) and report.unwrap().started_ms < at_ms

    async def _ask_for_start(
        self, record: ServerRecord, service: ServiceSpec | None
    ) -> ControlAnswer | None:
        """Ask an engine for its report, which names its start; None if there is no answer soon."""
        if service is None or service.engine is None:
            return None
        try:
            async with limit_time(START_TIMEOUT_S):
                return await self._call(record, service)
        except TimeoutError:
            return None

    async def _ask_for_sign(self, record: ServerRecord, service: ServiceSpec | None) -> bool | None:
        """Return whether the server itself answers, None if nobody does."""
        answer = await self._call(record, service)
        if answer is None:
            return None
        if answer.status == STATUS_MISDIRECTED:
            return False
        has_engine = service is not None and service.engine is not None
        return not has_engine or is_same_start(record, answer)

    async def _call(
        self, record: ServerRecord, service: ServiceSpec | None
    ) -> ControlAnswer | None:
        """Ask an engine for its report, or another server for its health."""
        entry = record.entry
        if service is not None and service.engine is not None:
            sent = make_report_call(entry.server_id)
        else:
            sent = make_health_call(entry.server_id, service.health_path if service else "/")
        result = await call_server(self.pool, (entry.host, entry.port), sent, SIGN_TIMEOUT_S)
        if isinstance(result, Failure):
            return None
        answer = result.unwrap()
        if answer.status != STATUS_MISDIRECTED and announces_leaving(answer.headers):
            self.on_leaving(record)
        return answer

    async def _connect(self, record: ServerRecord) -> None:
        address = (record.entry.host, record.entry.port)
        since = time.monotonic()
        try:
            channel = await self.pool.open(address)
        except NotListeningError:
            if await self.find_cut():
                return
            self.record_ended(record.key, "checked", time.monotonic())
        except ChannelError as error:
            # A cut, or a machine without power: not known, so nothing is concluded.
            log_event(
                LOG,
                logging.INFO,
                "server_unchecked",
                server=record.entry.server_id,
                detail=str(error),
            )
        else:
            self.record_alive(record.key)
            channel.idle_since = time.monotonic()
            self.pool.release(address, channel)
            self.on_alive(record.key, since)


def is_leaving(record: ServerRecord) -> bool:
    """Return whether a server's end would be no surprise: it announced it, or has no entry."""
    return record.leaving_at is not None or record.missing_since is not None


def is_same_start(record: ServerRecord, answer: ControlAnswer) -> bool:
    """Return whether an engine's report is of the start that its entry is of.

    An engine may start again under its id.
    """
    report = read_report(answer.body)
    return isinstance(report, Success) and report.unwrap().started_ms == record.entry.started_ms
