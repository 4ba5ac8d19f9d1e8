"""Relay of requests from callers to backend servers, and their handling from outside."""

import asyncio
import logging
import time

import h11
from attrs import define, field

from rhubarbshed.coordination.requests.crash_quarantine import list_keys
from rhubarbshed.platform.headers import read_request
from rhubarbshed.protocol.forwarding import (
    STATUS_NOT_TRUSTED,
    STATUS_REACHED,
    STATUS_UNREACHED,
    is_question,
    read_attempts_left,
    read_probe_wait,
)
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.caller_connections import CallerConnection
from rhubarbshed.transport.edge.connection_logs import CloseReason
from rhubarbshed.transport.edge.final_answers import answer_defect, cut_off_request
from rhubarbshed.transport.edge.link_monitor import SETTLE_MAX_S
from rhubarbshed.transport.edge.relay_parts import RelayParts
from rhubarbshed.transport.edge.request_logs import log_end
from rhubarbshed.transport.edge.request_progress import Repeat, RequestProgress
from rhubarbshed.transport.edge.request_steps import run_request
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)


@define(eq=False)
class Relay(RelayParts):
    """Relay of requests to backend servers."""

    open_requests: set[RequestProgress] = field(factory=set)

    @property
    def open(self) -> int:
        """Return the number of requests in progress."""
        return len(self.open_requests)

    def record_leaving(self, asked: ServerRecord, server_id: str) -> None:
        """Record that the server that was asked, or now has its address, leaves."""
        record = asked if server_id == asked.entry.server_id else self.view.fleet.get(server_id)
        if record is not None:
            self.view.record_leaving(record, time.monotonic())

    def count_not_repeatable(self) -> int:
        """Count the requests in progress that may not be sent again if they are ended now."""
        return sum(each.repeat is Repeat.NOT_REPEATABLE for each in self.open_requests)

    def cut_off(self) -> None:
        """Answer the requests that are still open when a drain's time has run out."""
        for progress in list(self.open_requests):
            try:
                cut_off_request(progress)
            except Exception:
                request_id = progress.request.request_id
                LOG.critical("event=defect request=%s", request_id, exc_info=True)
                progress.connection.abort(CloseReason.DEFECT)

    def withdraw(self, key: str) -> None:
        """Take requests under a verdict back from the servers that have not begun them."""
        for progress in list(self.open_requests):
            attempt = progress.last_attempt
            if not progress.in_flight or attempt.begun or attempt.record is None:
                # Another instance takes back what it was forwarded.
                continue
            if key not in list_keys(progress.request):
                continue
            attempt.withdraw()
            progress.stopped_by = key

    async def handle(
        self, connection: CallerConnection, head: h11.Request, body: bytes, begun_at: float
    ) -> None:
        """Answer one request; cancelled when its caller disconnects."""
        request = read_request(head.method, head.target, tuple(head.headers), begun_at)
        await self.serve(RequestProgress(self, connection, request.with_body(body)))

    async def handle_forwarded(
        self, connection: CallerConnection, head: h11.Request, body: bytes, begun_at: float
    ) -> None:
        """Answer a request that another instance forwards, and nobody else."""
        host = connection.peer_host
        if not self.forwarder.peers.is_instance(host):
            log_event(LOG, logging.WARNING, "forward_not_trusted", host=host)
            connection.send_complete(STATUS_NOT_TRUSTED, (), b"not_trusted: not an instance\n")
            return
        if is_question(head.target, tuple(head.headers)):
            reached = await self.links.check()
            connection.send_complete(STATUS_REACHED if reached else STATUS_UNREACHED, (), b"")
            return
        request = read_request(head.method, head.target, tuple(head.headers), begun_at)
        progress = RequestProgress(self, connection, request.with_body(body))
        progress.forwarded_by = host
        progress.attempts_max = read_attempts_left(tuple(head.headers))
        progress.probe_wait_s = read_probe_wait(tuple(head.headers), SETTLE_MAX_S)
        await self.serve(progress)

    async def serve(self, progress: RequestProgress) -> None:
        """Carry one request through to its end."""
        request = progress.request
        self.open_requests.add(progress)
        try:
            await run_request(progress)
        except asyncio.CancelledError:
            if not progress.ended:
                log_end(progress, "caller_gone", None, time.monotonic())
            raise
        except Exception:
            LOG.critical("event=defect request=%s", request.request_id, exc_info=True)
            answer_defect(progress)
        finally:
            self.open_requests.discard(progress)
