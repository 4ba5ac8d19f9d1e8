"""Path of a request from its caller to a backend server and back."""

import asyncio
import functools
import logging
import time
from collections.abc import Callable

import h11
from attrs import define, evolve, field

from rhubarbshed.coordination.requests.crash_quarantine import list_keys
from rhubarbshed.coordination.serving.brittle_servers import record_rejection
from rhubarbshed.coordination.serving.choice import (
    Choice,
    NoServer,
    choose_server,
    choose_service,
    is_responsive,
    list_staying,
    wants_nothing,
)
from rhubarbshed.coordination.serving.missing_models import (
    CallerPatience,
    LoadWait,
    decide_load_wait,
)
from rhubarbshed.coordination.serving.queueing import decide_wait, measure_wait
from rhubarbshed.coordination.serving.refusals import (
    DRAINING_RETRY_S,
    STATED_REASONS,
    draw_retry_after,
    make_defect,
    make_failure,
    make_no_route,
    make_refusal,
    make_timeout,
    make_unreached,
)
from rhubarbshed.coordination.serving.retry_budget import Tries, is_retry_allowed
from rhubarbshed.coordination.serving.start_wait import estimate_first_read, measure_start_wait
from rhubarbshed.coordination.serving.versions import Continuation
from rhubarbshed.platform.headers import echo_request_id, read_request
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.exchanges import CallerRequest, ExchangeEnd, ResponseHead
from rhubarbshed.protocol.forwarding import (
    DECLINED,
    STATUS_NOT_TRUSTED,
    STATUS_REACHED,
    STATUS_UNREACHED,
    UNREACHED_CODE,
    is_question,
    read_attempts_left,
    read_probe_wait,
)
from rhubarbshed.protocol.routes import Route
from rhubarbshed.protocol.streams import UNKNOWN_VERSION, StreamOrigin
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.attempts import Attempt
from rhubarbshed.transport.edge.caller_connections import CallerConnection
from rhubarbshed.transport.edge.caller_responses import CallerResponse
from rhubarbshed.transport.edge.connection_logs import CloseReason
from rhubarbshed.transport.edge.continuations import (
    ConfirmEntries,
    FindStream,
    RecordStream,
    confirm_nothing,
    decide_stream,
    find_nothing,
    record_nothing,
    record_origin,
)
from rhubarbshed.transport.edge.crash_registry import CrashRegistry
from rhubarbshed.transport.edge.forwarding import NOT_TAKEN, Forwarded, Forwarder
from rhubarbshed.transport.edge.limit_registry import PATIENCE_MIN_S, REPEAT_S, LimitRegistry
from rhubarbshed.transport.edge.link_monitor import SETTLE_MAX_S, LinkMonitor
from rhubarbshed.transport.edge.metrics import FrontMetrics
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.request_logs import Repeat, Stage, log_end, log_failed_attempt
from rhubarbshed.transport.edge.view import View
from rhubarbshed.util.logs import log_event

LOG = logging.getLogger(__name__)

TIME_LEFT_MIN_S = 0.02
"""Time left below which a request is not sent, as no server could answer it."""

TIMEOUT_DEFAULT_S = 30.0
"""Time that a caller has if it states none, where its route has no shorter timeout."""

SECOND_PASS_PAUSE_S = 0.06
"""Pause before servers that failed a request are tried again, about the time of a plain run."""

SERVER_SILENCE_S = 0.5
"""Time without a byte after which a server that requests wait for counts as silent."""

KEPT_S = 0.25
"""Time for which a silent server is kept once the request was sent to another one: that one refuses
at once or runs it, and two may not work on a stream for longer than 0.4 s."""

SERVICE_SILENCE_S = 1.5
"""Time for which requests stay at a silent server while all others that requests wait for are
silent as well. Sound servers may be for a second or so; callers of a stream leave after two."""

UNREACHED = (
    ExchangeEnd.NOT_SENT,
    ExchangeEnd.CONNECTION_REFUSED,
    ExchangeEnd.NO_RESPONSE,
    ExchangeEnd.BROKEN,
)
"""Ends of attempts after which the links to servers may be cut."""

DECLINED_CODES = ("draining", "not_configured", "no_route", UNREACHED_CODE)
"""Codes of errors that are due to this instance alone, so that another one may do better."""

AWAITED_REPORT_INTERVAL_S = 0.1
"""Time after which an awaited target is reported to the order holder again; a message may be
lost."""


@define(eq=False)
class Relay:
    """Relay of requests to backend servers.

    `report_awaited` asks the order holder for a (service, model, adapter); `count_demand` counts a
    request for one, `count_run` a run with its seconds. `report_missing` reports to the holder a
    (server, started_ms, model, adapter) that is not there. `record_stream` and `find_stream` are
    the memory of the origins of streams, `confirm_entries` reads all versions up to now.
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
    open_requests: set["RequestProgress"] = field(factory=set)

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
                progress.cut_off()
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

    async def serve(self, progress: "RequestProgress") -> None:
        """Carry one request through to its end."""
        request = progress.request
        self.open_requests.add(progress)
        try:
            await progress.run()
        except asyncio.CancelledError:
            if not progress.ended:
                log_end(progress, "caller_gone", None, time.monotonic())
            raise
        except Exception:
            LOG.critical("event=defect request=%s", request.request_id, exc_info=True)
            progress.answer_defect()
        finally:
            self.open_requests.discard(progress)


@define(eq=False)
class RequestProgress:
    """Progress of one request.

    `excluded` are the servers already tried and `tries` the outcome there; `limited` are those
    whose limits had no room since the last attempt. `in_flight` means that a server may be running
    the request, `delivered` that one received it, and `only_missing` that all so far were down or
    lacked the model. `waited_s` was spent on a load and `queued_s` on full servers.
    `available_in_s` is when a load that it needs should be complete, and `load_awaited_at` since
    when it waits for one. `waits_for` is the stage it is in while no attempt is in flight.
    `retry_paid` means that the budget has counted the next retry.
    `stopped_by` is the key of the verdict that stopped it, `trial_keys` those of the verdicts that
    its next attempt puts to a trial. `forwarded_by` is the instance that it came from, with
    `attempts_max` servers left that may run it. It may still wait for `probe_wait_s` until it is
    known whether servers can be reached. `kept` is an attempt at a silent server, which may go on
    until `kept_limit` if no other server takes the request. `cut_off_as` is set as a stop cuts it
    off.
    """

    relay: Relay
    connection: CallerConnection
    request: CallerRequest
    route: Route | None = None
    service: str = ""
    tries: Tries = field(factory=Tries)
    excluded: set[tuple[str, int]] = field(factory=set)
    limited: set[tuple[str, int]] = field(factory=set)
    servers: list[str] = field(factory=list)
    versions: list[str] = field(factory=list)
    caller_response: CallerResponse | None = None
    deadline: float = 0.0
    waited_s: float = 0.0
    queued_s: float = 0.0
    second_pass_started: bool = False
    in_flight: bool = False
    available_in_s: float | None = None
    ended: bool = False
    only_missing: bool = True
    delivered: bool = False
    retry_paid: bool = False
    load_awaited_at: float | None = None
    waits_for: Stage = Stage.CHOICE
    last_attempt: Attempt | None = None
    continuation: Continuation | None = None
    trial_keys: frozenset[str] = frozenset()
    stopped_by: str = ""
    forwarded_by: str = ""
    attempts_max: int | None = None
    probe_wait_s: float = SETTLE_MAX_S
    cut_off_as: Repeat | None = None
    kept: Attempt | None = None
    kept_limit: asyncio.TimerHandle | None = None
    others_asked_again: bool = False

    @property
    def repeat(self) -> Repeat:
        """Whether the request may be sent again if it is ended now."""
        if self.tries.run == 0 and not self.in_flight:
            return Repeat.NOT_RUN
        return Repeat.REPEATABLE if self.route.repeatable else Repeat.NOT_REPEATABLE

    def cut_off(self) -> None:
        """End the request now, because the process stops."""
        self.cut_off_as = self.repeat
        route_name = self.route.name if self.route else ""
        self.relay.metrics.count_cut_off(route_name, self.cut_off_as.value)
        self.answer(make_timeout(self.tries.run > 0 or self.in_flight))
        self.connection.end(CloseReason.CUT_OFF)
        self.connection.cancel_work()

    async def run(self) -> None:
        """Find the route, then send the request to servers until one answers or time runs out."""
        view = self.relay.view
        draining = self.check_draining(time.monotonic())
        if draining is not None:
            self.answer(draining)
            return
        if not view.is_known:
            await self.wait_for_start()
        if view.configuration is None:
            read_in_s = estimate_first_read(view.next_read_at, time.monotonic())
            self.answer(make_refusal("not_configured", view.rng, read_in_s))
            return
        self.route = view.configuration.find_route(self.request.host, self.request.path)
        if self.route is None:
            self.answer(make_no_route())
            return
        if self.attempts_max is not None:
            attempts_max = min(self.route.attempts_max, self.attempts_max)
            self.route = evolve(self.route, attempts_max=attempts_max)
        self.service = choose_service(self.route, self.request.request_id, view.rng)
        caller_timeout_s = self.request.caller_timeout_s or TIMEOUT_DEFAULT_S
        self.deadline = self.request.received_at + min(caller_timeout_s, self.route.timeout_s)
        self.caller_response = CallerResponse(self.connection, self.request, self.route)
        self.caller_response.record_origin = functools.partial(record_origin, self)
        try:
            async with asyncio.timeout_at(self.deadline):
                error = await self.serve()
        except TimeoutError:
            error = make_timeout(self.tries.run > 0 or self.in_flight)
        if error is not None:
            self.answer(error)
        else:
            log_end(self, "answered", None, time.monotonic())

    async def wait_for_start(self) -> None:
        """Wait until this instance, which has just started, has read the store, if that is soon."""
        view, read_at = self.relay.view, self.connection.read_at
        deadline = self.request.received_at + (self.request.caller_timeout_s or TIMEOUT_DEFAULT_S)
        while not view.is_known and view.drain.started_at is None:
            now = time.monotonic()
            failed = max(view.failed_reads.values(), default=0)
            wait_s = measure_start_wait(view.started_at, read_at, deadline - now, failed, now)
            if wait_s <= 0.0:
                return
            await view.changed.wait(wait_s)

    async def serve(self) -> RequestError | None:
        """Send the request, by way of another instance if no server can be reached from here."""
        is_cut = self.relay.links.is_cut
        if is_cut and self.forwarded_by:
            return make_refusal("no_servers", self.relay.view.rng)
        if is_cut:
            self.count_demand()
            forwarded = await self.forward_if_cut()
            if forwarded.taken:
                return forwarded.error
        self.waits_for = Stage.LOOKUP
        error = await decide_stream(self)
        self.waits_for = Stage.CHOICE
        if error is not None:
            return error
        if not is_cut and not self.forwarded_by:
            self.count_demand()
        self.relay.view.budget.count_request(self.service, time.monotonic())
        try:
            return await self.send()
        finally:
            self.abandon_kept()

    async def forward_if_cut(self) -> Forwarded:
        """Forward the request if this instance is cut off; never one that was forwarded."""
        if not self.relay.links.is_cut or self.forwarded_by:
            return NOT_TAKEN
        self.abandon_kept()
        return await self.relay.forwarder.forward(self)

    async def forward_unreached(self) -> Forwarded:
        """Forward the request if all servers that could serve it gave no answer here lately.

        If they do not answer the other instance either, it declines, and one of them is tried here.
        """
        if self.forwarded_by and self.delivered:
            return NOT_TAKEN
        if self.forwarded_by and await self.settle_links():
            return Forwarded(True, make_refusal("no_servers", self.relay.view.rng))
        if self.forwarded_by:
            return Forwarded(True, make_unreached())
        return await self.relay.forwarder.forward(self, only_reached=True)

    async def settle_links(self) -> bool:
        """Wait until it is known whether servers can be reached; return whether there is a cut.

        All such waits of a request have one bound: they come one after the other, also at others.
        """
        begun_at = time.monotonic()
        is_cut = await self.relay.links.settle(self.probe_wait_s)
        self.count_probe_wait(time.monotonic() - begun_at)
        return is_cut

    def count_probe_wait(self, waited_s: float) -> None:
        """Take a wait for probes from what the request has left for them."""
        self.probe_wait_s = max(0.0, self.probe_wait_s - waited_s)

    def check_draining(self, now: float) -> RequestError | None:
        """Return the error for a request that was read after the announcement of a stop."""
        view = self.relay.view
        if view.drain.started_at is None:
            return None
        return view.drain.check_open(draw_retry_after(DRAINING_RETRY_S, view.rng), now)

    @property
    def is_configured(self) -> bool:
        """Return whether the operator knows the model and adapter; callers may name anything."""
        engine = self.relay.view.configuration.find_engine(self.service)
        spec = engine.models.get(self.request.model) if engine is not None else None
        return spec is not None and spec.has_adapter(self.request.adapter)

    def count_demand(self) -> None:
        """Count the request for its model, where its caller sent it."""
        if self.is_configured:
            request = self.request
            self.relay.count_demand(
                self.service, request.model, request.adapter, request.prompt_tokens
            )

    async def send(self) -> RequestError | None:
        """Send the request until it is answered; return the error to answer with, if any."""
        while True:
            now = time.monotonic()
            if self.deadline - now < TIME_LEFT_MIN_S:
                return make_timeout(self.tries.run > 0)
            if not await self.check_quarantine(now):
                return self.give_up("quarantined")
            chosen = self.choose(now)
            if self.kept is not None and not is_responsive(chosen, now):
                if not self.others_asked_again:
                    # Who was full for a moment is asked once more, but not the silent server.
                    self.others_asked_again = True
                    self.excluded = self.list_silent(self.kept.record, now) | {self.kept.record.key}
                    await asyncio.sleep(SECOND_PASS_PAUSE_S)
                    continue
                if not self.may_resume(now):
                    self.abandon_kept()
                    continue
                end = await self.resume_kept()
                if end is ExchangeEnd.DONE:
                    return None
                if not await self.check_origin(self.last_attempt):
                    return self.give_up("version_unknown")
                if (reason := self.check_retry(end, time.monotonic())) is not None:
                    return self.give_up(reason)
                continue
            if isinstance(chosen, NoServer) and self.limited and not self.measure_patience(now):
                return self.give_up("full")
            if isinstance(chosen, NoServer):
                if chosen.reason == "full" and await self.wait_for_room(now):
                    continue
                if chosen.reason == "all_tried" and not self.delivered:
                    forwarded = await self.forward_unreached()
                    if forwarded.taken:
                        return forwarded.error
                all_missing = (
                    chosen.reason == "all_tried" and self.only_missing and self.request.model
                )
                if (chosen.reason == "absent" or all_missing) and await self.wait_for_load(now):
                    continue
                if chosen.reason == "all_tried" and not all_missing and self.start_second_pass():
                    self.waits_for = Stage.PAUSE
                    await asyncio.sleep(SECOND_PASS_PAUSE_S)
                    continue
                # All that hold the model are down, so it has to be loaded elsewhere.
                return self.give_up("absent" if all_missing else chosen.reason)
            if chosen.server.unresponsive_until > now:
                forwarded = await self.forward_unreached()
                if forwarded.taken:
                    return forwarded.error
            if not await self.check_start(chosen.server):
                continue
            if not await self.pass_limit(chosen.server, time.monotonic()):
                continue
            if wants_nothing(chosen.server, now, time.monotonic()):
                continue
            end = await self.attempt(chosen)
            # Without time to find out, a refused connection may be that of a cut.
            may_settle = self.probe_wait_s > 0.0 or not self.relay.links.state.suspected
            if end is ExchangeEnd.CONNECTION_REFUSED and not await self.settle_links():
                if may_settle:
                    self.report_ended(chosen.server, time.monotonic())
            if end is ExchangeEnd.DONE:
                return None
            if self.last_attempt.withdrawn:
                return self.give_up("quarantined")
            if not await self.check_origin(self.last_attempt):
                return self.give_up("version_unknown")
            reason = self.check_retry(end, time.monotonic())
            if reason is not None and self.kept is not None and self.may_resume(time.monotonic()):
                end = await self.resume_kept()
                if end is ExchangeEnd.DONE:
                    return None
            if reason is not None:
                return self.give_up(reason)
            # The end of the server may be what stops the request.
            await self.relay.crashes.checks.wait(chosen.server)
            if end in UNREACHED and await self.settle_links():
                forwarded = await self.forward_if_cut()
                if forwarded.taken:
                    return forwarded.error

    def check_retry(self, end: ExchangeEnd, now: float) -> str | None:
        """Return why the request may not be sent again after an attempt, None if it may."""
        if not is_retry_allowed(self.route, end, self.tries):
            return end.value
        if not self.caller_response.may_continue:
            return end.value
        # The budget counts attempts that reached a server, beyond the first.
        if self.delivered and not self.pay_retry(now):
            return "budget"
        self.retry_paid = False
        return None

    async def check_quarantine(self, now: float) -> bool:
        """Return whether the request may be sent: it is not known to end servers, or is a trial."""
        crashes = self.relay.crashes
        admission = crashes.admit(self.request, self.trial_keys, now)
        new = admission.trial_keys - self.trial_keys
        stopped_by = admission.stopped_by
        if new and isinstance(self.choose(now), NoServer):
            # Nothing would be sent, so the trial is left to a later request.
            return True
        if new and (key := await crashes.claim_trial(self.request, new)) is not None:
            stopped_by = crashes.quarantine.stopped[key]
        if stopped_by is None:
            self.trial_keys = admission.trial_keys
            return True
        self.stopped_by = stopped_by.key
        self.available_in_s = crashes.quarantine.measure_pause(stopped_by, time.monotonic())
        return False

    async def pass_limit(self, record: ServerRecord, now: float) -> bool:
        """Return whether a server's limit lets the request through, if need be after a wait.

        It does not wait for one server while another is free.
        """
        if record.limit_per_s is None:
            return True
        is_sole = isinstance(self.choose_other(record, now), NoServer)
        left_s = self.measure_patience(now)
        self.waits_for = Stage.SLOT
        # The first server is asked in any case, also for a retry.
        patience_s = max(left_s, PATIENCE_MIN_S - self.queued_s, 0.0 if self.limited else REPEAT_S)
        if patience_s <= 0.0:
            self.limited.add(record.key)
            return False
        grant = await self.relay.limits.acquire(record, left_s if is_sole else 0.0, patience_s)
        if grant.send_in_s:
            await asyncio.sleep(grant.send_in_s)
        self.queued_s += time.monotonic() - now
        if grant.send_in_s is None:
            self.limited.add(record.key)
            return False
        return not grant.send_in_s or await self.check_quarantine(time.monotonic())

    def measure_patience(self, now: float) -> float:
        """Return the seconds for which the request may still wait for a server."""
        return measure_wait(self.route, self.queued_s, self.deadline - now)

    def choose_other(self, record: ServerRecord, now: float) -> Choice | NoServer:
        """Choose a server that this request has not tried, other than one."""
        tried = self.excluded
        self.excluded = tried | {record.key}
        chosen = self.choose(now)
        self.excluded = tried
        return chosen

    def choose(self, now: float) -> Choice | NoServer:
        """Choose a server that this request has not tried.

        Once it may not wait any longer, servers whose limits had no room are not asked again.
        """
        view = self.relay.view
        is_waiting = not self.limited or self.measure_patience(now) > 0.0
        excluded = self.excluded if is_waiting else self.excluded | self.limited
        needs = (self.request.model, self.request.adapter)
        return choose_server(
            view.fleet,
            self.service,
            needs,
            frozenset(excluded),
            view.settings.data_centre,
            now,
            view.rng,
            self.caller_response.version,
            view.versions.entry_age.find_announced_since(view.settings.drain_s, now),
            view.budget.instances,
        )

    async def attempt(self, chosen: Choice) -> ExchangeEnd:
        """Send the request to one server, and record the outcome."""
        record = chosen.server
        self.limited.clear()
        self.servers.append(record.entry.server_id)
        self.versions.append(record.entry.version)
        log_event(
            LOG,
            logging.DEBUG,
            "dispatched",
            request=self.request.request_id,
            server=record.entry.server_id,
            load=round(chosen.load, 1),
            sample_age_s=round(min(chosen.sample_age_s, 999.0), 2),
            candidates=chosen.candidates,
        )
        attempt = Attempt.from_server(self.relay.pool, record, self.caller_response, self.deadline)
        attempt.may_move = lambda: self.may_move(record, attempt, time.monotonic())
        attempt.on_head = lambda head: self.note_head(record, head, attempt.sent_at)
        attempt.on_leaving = lambda server_id: self.relay.record_leaving(record, server_id)
        attempt.on_begun = lambda: self.relay.crashes.record_begun(self.request, time.monotonic())
        attempt.confirm_running = lambda: self.confirm_running(record)
        self.last_attempt = attempt
        more = self.tries.run + 1 < self.route.attempts_max and self.route.repeatable
        begun_at = time.monotonic()
        record.begin_attempt(begun_at)
        self.in_flight = True
        attempt.on_accepted = self.abandon_kept
        attempt.on_sent = self.limit_kept
        try:
            end = await attempt.run(more)
        finally:
            record.open -= 1
            if self.kept_limit is not None:
                self.kept_limit.cancel()
        if attempt.is_kept:
            self.abandon_kept()
            self.kept = attempt
        # A timeout leaves this true: the server may be running the request.
        self.in_flight = False
        self.trial_keys = frozenset()
        self.note_end(record, attempt, end)
        run_s = time.monotonic() - begun_at
        if end is ExchangeEnd.DONE:
            record.record_run(run_s)
        if end is ExchangeEnd.DONE and self.is_configured:
            self.relay.count_run(self.service, self.request.model, self.request.adapter, run_s)
        return end

    def may_resume(self, now: float) -> bool:
        """Return whether the silent server may still answer.

        An answer that has not begun at a server that writes others may be lost.
        """
        kept = self.kept
        is_lost = not kept.begun and kept.record.is_heard(now - SERVER_SILENCE_S)
        return kept.channel.has_news or not (kept.was_resumed or is_lost)

    async def resume_kept(self) -> ExchangeEnd:
        """Wait for the silent server again, as no other one takes the request."""
        attempt, self.kept = self.kept, None
        record = attempt.record
        log_event(
            LOG,
            logging.INFO,
            "attempt_resumed",
            request=self.request.request_id,
            server=record.entry.server_id,
            begun=int(attempt.begun),
        )
        self.last_attempt = attempt
        record.begin_attempt(time.monotonic())
        self.in_flight = True
        try:
            end = await attempt.go_on(self.tries.run < self.route.attempts_max)
        finally:
            record.open -= 1
        self.in_flight = False
        if end is ExchangeEnd.DONE:
            record.record_end(False, time.monotonic())
        else:
            log_failed_attempt(self, attempt, end, time.monotonic())
        self.relay.crashes.record_attempt(self.request, attempt, end, time.monotonic())
        if attempt.is_kept:
            self.kept = attempt
            # Each silence of a server that has written since is a new one.
            self.others_asked_again = self.others_asked_again and attempt.was_resumed
        return end

    def limit_kept(self) -> None:
        """Leave the silent server soon, as another one may be at work on the request."""
        if self.kept is not None:
            self.kept_limit = asyncio.get_running_loop().call_later(KEPT_S, self.abandon_kept)

    def abandon_kept(self) -> None:
        """Leave the silent server for good."""
        if self.kept is not None:
            self.kept.abandon()
            self.kept = None

    def note_head(self, record: ServerRecord, head: ResponseHead, sent_at: float) -> None:
        """Record what the head of a response says of its server."""
        self.relay.limits.record_head(record, head, sent_at)
        if head.has_odd_load:
            self.relay.metrics.count_unreadable("load")
        if head.backoff_s:
            self.relay.view.record_backoff(record, head.backoff_s, time.monotonic())

    async def check_start(self, record: ServerRecord) -> bool:
        """Return whether a server may write the rest of a stream, if the request is for that.

        It may have started again with another version, which its entry does not show here yet.
        """
        service = self.relay.view.configuration.services.get(record.entry.service)
        checks = self.relay.crashes.checks
        if self.caller_response.version is None or not await checks.has_restarted(record, service):
            return True
        self.excluded.add(record.key)
        self.report_ended(record, time.monotonic())
        return False

    async def check_origin(self, attempt: Attempt) -> bool:
        """Return whether the version of a stream that broke off is that of its server's entry.

        The server may have started again with another version before the stream began, and its
        entry may not show that yet. Nobody may continue the stream then.
        """
        response = self.caller_response
        if not attempt.begun or attempt.record is None or response.origin is not attempt.origin:
            return True
        service = self.relay.view.configuration.services.get(attempt.record.entry.service)
        begun_ms = (time.time() - time.monotonic() + attempt.sent_at) * 1000.0
        checks = self.relay.crashes.checks
        if not await checks.had_restarted(attempt.record, service, begun_ms):
            return True
        response.origin = StreamOrigin(attempt.origin.service, UNKNOWN_VERSION)
        # A second origin of the stream makes it one that nobody can tell the version of.
        response.record_origin(response.origin)
        self.report_ended(attempt.record, time.monotonic())
        return False

    async def confirm_running(self, record: ServerRecord) -> bool:
        """Return whether a server shows that it has not ended."""
        service = self.relay.view.configuration.services.get(record.entry.service)
        return await self.relay.crashes.checks.confirm_running(record, service)

    def note_end(self, record: ServerRecord, attempt: Attempt, end: ExchangeEnd) -> None:
        """Record what an attempt showed about its server."""
        now = time.monotonic()
        self.delivered = self.delivered or end.was_sent
        if end is not ExchangeEnd.MODEL_MISSING or not self.request.model:
            self.excluded.add(record.key)
        if end not in (
            ExchangeEnd.MODEL_MISSING,
            ExchangeEnd.CONNECTION_REFUSED,
            ExchangeEnd.WRONG_SERVER,
            ExchangeEnd.NOT_SENT,
        ):
            self.only_missing = False
        if end.may_have_run:
            self.tries = Tries(self.tries.run + 1, self.tries.refused)
            if not attempt.withdrawn:
                record.record_end(end is not ExchangeEnd.DONE or attempt.failed, now)
        elif end.was_sent:
            self.tries = Tries(self.tries.run, self.tries.refused + 1)
        if end in (
            ExchangeEnd.NOT_SENT,
            ExchangeEnd.CONNECTION_REFUSED,
            ExchangeEnd.WRONG_SERVER,
            ExchangeEnd.NO_RESPONSE,
        ):
            self.relay.pool.drop((record.entry.host, record.entry.port))
            record.record_unresponsive(now)
        if end is ExchangeEnd.NO_RESPONSE:
            self.relay.links.suspect()
        if end is ExchangeEnd.REFUSED:
            record_rejection(record, self.relay.view.budget.instances, now)
        if end is ExchangeEnd.WRONG_SERVER:
            self.report_ended(record, now)
        if end is ExchangeEnd.MODEL_MISSING and self.request.model:
            record.remove_held(self.request.model, self.request.adapter)
            self.relay.report_missing(*record.key, self.request.model, self.request.adapter)
            self.relay.report_awaited(self.service, self.request.model, self.request.adapter)
        self.relay.metrics.count_attempt(self.service, end.value)
        self.relay.crashes.record_attempt(self.request, attempt, end, now)
        if end is not ExchangeEnd.DONE:
            log_failed_attempt(self, attempt, end, now)

    def report_ended(self, record: ServerRecord, now: float) -> None:
        """Report a server that was not found at its address, as one that has ended."""
        self.relay.report_missing(*record.key, "", "")
        self.relay.crashes.checks.record_refused(record, now)

    def pay_retry(self, now: float) -> bool:
        """Return whether the budget allows the next retry, and count it there once."""
        self.retry_paid = self.retry_paid or self.relay.view.budget.try_spend(self.service, now)
        return self.retry_paid

    def may_move(self, record: ServerRecord, attempt: Attempt, now: float) -> bool:
        """Return whether another attempt can be made in place of one at a silent server."""
        may_move = self.pay_move(record, now)
        if not may_move and not attempt.silent:
            attempt.silent = True
            self.relay.links.suspect()
            if not attempt.begun:
                record.record_unresponsive(now)
        return may_move

    def pay_move(self, record: ServerRecord, now: float) -> bool:
        """Pay for a retry if another server can take the request; return whether it did.

        The retry is paid for at once: many servers may become silent together. To leave a server
        for one that is silent as well gains nothing, and the other one may refuse the request.
        """
        if not self.caller_response.may_continue:
            return False
        if self.relay.links.is_cut and not self.forwarded_by:
            return self.relay.forwarder.has_peer(now) and self.pay_retry(now)
        silent = self.list_silent(record, now)
        if silent and record.measure_silence(now) < SERVICE_SILENCE_S and not self.has_heard(now):
            return False
        tried, self.excluded = self.excluded, self.excluded | silent
        chosen = self.choose_other(record, now)
        is_second_pass = not self.second_pass_started and record.key not in silent
        if isinstance(chosen, NoServer) and chosen.reason == "all_tried" and is_second_pass:
            # A second pass may choose the silent server again, which may just have lost the answer.
            self.excluded = silent
            chosen = self.choose(now)
        self.excluded = tried
        may_move = isinstance(chosen, Choice) and self.pay_retry(now)
        if may_move:
            self.excluded |= silent
        return may_move

    def has_heard(self, now: float) -> bool:
        """Return whether any server of the service sent this instance something lately."""
        servers = self.relay.view.fleet.list_service(self.service)
        return any(each.is_heard(now - SERVER_SILENCE_S) for each in servers)

    def list_silent(self, asked: ServerRecord, now: float) -> set[tuple[str, int]]:
        """List the servers of the service that are silent to other requests of this instance."""
        return {
            each.key
            for each in self.relay.view.fleet.list_service(self.service)
            if each.measure_silence(now, own=int(each is asked)) >= SERVER_SILENCE_S
        }

    async def wait_for_load(self, now: float) -> bool:
        """Wait for a load of what is missing; return whether to choose again."""
        view = self.relay.view
        model, adapter = self.request.model, self.request.adapter
        engine = view.configuration.find_engine(self.service)
        if not self.is_configured:
            return False
        if self.load_awaited_at is None:
            self.load_awaited_at = now
        until = min(self.deadline, self.request.received_at + self.route.stall_timeout_s)
        patience = CallerPatience(self.load_awaited_at, until, self.route.target_s)
        begun_at, is_ready = now, False
        while not is_ready and view.drain.started_at is None:
            capable = list_staying(view.fleet, self.service, self.caller_response.version)
            decision = decide_load_wait(engine, (model, adapter), capable, patience, now)
            self.relay.report_awaited(self.service, model, adapter)
            if not isinstance(decision, LoadWait):
                self.available_in_s = decision.available_in_s
                break
            self.available_in_s = decision.expected_s
            self.waits_for = Stage.LOAD
            await view.changed.wait(min(decision.until - now, AWAITED_REPORT_INTERVAL_S))
            now = time.monotonic()
            chosen = self.choose(now)
            is_ready = isinstance(chosen, Choice) or chosen.reason == "version_gone"
        self.waited_s += now - begun_at
        if view.drain.started_at is not None:
            self.available_in_s = 0.0
        return is_ready

    def start_second_pass(self) -> bool:
        """Return whether to retry servers that failed this request; if so, clear `excluded`.

        There are no others: one that broke a response off or was full for a moment may serve it
        now. A request that may not be retried has not run there.
        """
        if self.second_pass_started or (self.tries.run > 0 and not self.route.repeatable):
            return False
        self.second_pass_started = True
        self.excluded.clear()
        return True

    async def wait_for_room(self, now: float) -> bool:
        """Wait briefly for room at a server; return whether to choose again."""
        left_s = decide_wait(self.route, self.queued_s, self.deadline - now)
        if left_s <= 0.0 or self.relay.view.drain.started_at is not None:
            return False
        self.waits_for = Stage.SLOT
        await asyncio.sleep(left_s)
        self.queued_s += time.monotonic() - now
        return True

    def give_up(self, reason: str) -> RequestError | None:
        """Return the final error of a request that no server will answer."""
        if self.caller_response.send_kept_failure():
            return None
        if self.tries.run > 0:
            return make_failure(reason, "the backend server gave no whole answer")
        known = reason if reason in STATED_REASONS else "all_tried"
        available_in_s = self.available_in_s if known in ("absent", "quarantined") else None
        if known == "full":
            available_in_s = self.measure_limit_retry(time.monotonic())
        return make_refusal(known, self.relay.view.rng, available_in_s)

    def measure_limit_retry(self, now: float) -> float | None:
        """Return the seconds until a server may have room, None if none is why all are full."""
        servers = list_staying(self.relay.view.fleet, self.service, self.caller_response.version)
        retries = [
            max(record.limited_until, record.limit_retry_at, record.backoff_until) - now
            for record in servers
            if now < max(record.limited_until, record.backoff_until)
            and (not self.request.model or record.holds(self.request.model, self.request.adapter))
        ]
        return min(retries, default=None)

    def answer_defect(self) -> None:
        """Answer a request whose handling raised an unexpected exception, if that is still due."""
        if self.connection.is_answered:
            return
        was_sent = self.last_attempt is not None and self.last_attempt.sent
        self.answer(make_defect(self.tries.run > 0 or was_sent))

    def answer(self, error: RequestError) -> None:
        """Send an error of this instance, or abort a response that has begun."""
        self.ended = True
        if self.caller_response is not None and self.caller_response.begun:
            self.connection.abort(CloseReason.ABORTED)
        else:
            self.send_error(error)
        log_end(self, error.code, error, time.monotonic())

    def send_error(self, error: RequestError) -> None:
        """Send an error of this instance as a complete response."""
        headers = [(b"content-type", b"text/plain"), *echo_request_id(self.request.request_id)]
        if error.retry_after_s is not None:
            headers.append((b"retry-after", f"{error.retry_after_s:.3f}".encode()))
        if self.forwarded_by and self.is_declined(error):
            headers.append((DECLINED, error.code.encode()))
        self.connection.send_complete(
            error.status, tuple(headers), f"{error.code}: {error.message}\n".encode()
        )

    def is_declined(self, error: RequestError) -> bool:
        """Return whether another instance may serve a request that this one does not."""
        if error.outcome is not Outcome.NOT_RUN or self.delivered:
            return False
        return error.code in DECLINED_CODES or self.relay.links.is_cut
