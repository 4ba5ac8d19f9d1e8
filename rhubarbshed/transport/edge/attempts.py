"""One attempt of a request at one backend server, whose response is relayed to the caller.

An attempt may also go by way of another instance, whose own errors tell it from a server.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine

import h11
from attrs import define

from rhubarbshed.coordination.serving.account_access import rank_priority
from rhubarbshed.coordination.serving.brittle_servers import apply_brittleness
from rhubarbshed.platform.headers import STATUS_MISDIRECTED, make_headers, name_server, read_head
from rhubarbshed.protocol.accounts import Account
from rhubarbshed.protocol.errors import Outcome, RequestError
from rhubarbshed.protocol.exchanges import ExchangeEnd, Headers, ResponseHead
from rhubarbshed.protocol.forwarding import ACCOUNT_LIMIT_CODE, LIMITS_UNCONFIRMED_CODE
from rhubarbshed.protocol.streams import StreamOrigin
from rhubarbshed.state.membership.fleet import ServerRecord
from rhubarbshed.transport.edge.attempt_logs import log_skipped
from rhubarbshed.transport.edge.caller_responses import CallerResponse
from rhubarbshed.transport.edge.channels import (
    UNUSED_BODY_S,
    UNUSED_BYTES_MAX,
    Channel,
    ChannelError,
    Event,
    MalformedAnswerError,
    NothingSentError,
    NotListeningError,
)
from rhubarbshed.transport.edge.pools import Address, Pool
from rhubarbshed.transport.edge.silence import SilenceTimer
from rhubarbshed.transport.edge.streams import (
    TAIL_BYTES,
    Framing,
    check_stream_end,
    has_event,
    read_framing,
)

FIRST_BYTES_TIMEOUT_S = 0.8
FIRST_BYTES_TIMEOUT_TARGETS = 2.5
"""Longest wait for the first bytes of a response, and between two reads of a plain one, while
another attempt is possible: this time, or this many times the route's target if that is longer."""

STREAM_GAP_TIMEOUT_S = 1.5
"""Longest gap within a stream that another server can continue. A sound server may be silent for a
second or so, and the other one may refuse the rest; callers give up after two seconds."""

PROGRESS_BYTES_MIN = 4_096
"""Bytes of an event that is not complete yet which count as progress of its stream; a server that
sends a byte now and then is stalled."""

BUFFERED_BYTES_MAX = 262_144
"""Length up to which a plain response is buffered until it is complete, so that a truncated one can
be requested again. A longer one is passed on as it arrives, or given up if it is a failure."""

SKIPPED_ANSWERS_MAX = 16
SKIPPED_BYTES_MAX = 262_144
SKIPPED_S = 0.5
"""Most answers to other requests that are skipped, the bytes that all may have, and the time for
each."""

REFUSAL_STATUSES = (408, 421, 429, 503)
"""Statuses that tell a caller that its request did not run."""


def is_cut_off(end: ExchangeEnd, attempt: "Attempt") -> bool:
    """Return whether an attempt ended without a whole response, as it does if its server ends.

    A failure without the server's signature may come from something in between.
    """
    if end is ExchangeEnd.DONE or attempt.failed:
        return attempt.status >= 500 and not attempt.signed
    return end.may_have_run


async def assume_running() -> bool:
    """Return that a server has not ended; for attempts whose answers cannot end with it."""
    return True


@define(eq=False)
class StreamProgress:
    """Stream of a server as far as it was relayed; `counted` bytes of it were progress."""

    response: h11.Response
    resumed: bool
    tail: bytes = b""
    counted: int = 0


@define(eq=False)
class Attempt:
    """One attempt at a server.

    `sent` means that the server may have got the request, which it did at `sent_at` at the earliest
    (monotonic seconds), `failed` that the response counts against the server, `begun` that a
    whole event of a stream came, and `silent` that the server was noted as unresponsive though the
    attempt goes on. `may_move` returns whether another attempt can be made in place
    of a silent one, `confirm_running` whether the server shows that it has not
    ended. `origin` is as of the choice of the server: its entry may change in the meantime.
    `in_step` means that each answer on the connection named the request that it came for.
    `body_bytes` of the response were read since its head at `head_at` (monotonic seconds).
    `on_leaving` is called with the id that a server gives in an answer as it leaves.
    An attempt whose server is silent is left with `is_kept`: its connection stays open while
    another server is asked. `on_sent` and `on_accepted` are called once the server may have got the
    request, and once its answer is a success. `may_send` returns right before the request is sent
    whether its key allows that.
    `settle_s` passes before a new connection is used, in which a server over its cap may reset it.
    An attempt by way of another instance has neither `record` nor `origin`; `instance_error` is
    that one's answer if no server gave one, and `declined` that another instance may do better.
    """

    pool: Pool
    address: Address
    caller_response: CallerResponse
    deadline: float
    make_headers: Callable[[float, str], Headers]
    record: ServerRecord | None = None
    may_move: Callable[[], bool] = lambda: True
    status: int = 0
    signed: bool = False
    framing: Framing | None = None
    detail: str = ""
    sent: bool = False
    sent_at: float = 0.0
    failed: bool = False
    begun: bool = False
    silent: bool = False
    withdrawn: bool = False
    on_head: Callable[[ResponseHead], None] = lambda head: None
    on_begun: Callable[[], None] = lambda: None
    may_send: Callable[[], bool] = lambda: True
    on_sent: Callable[[], None] = lambda: None
    on_accepted: Callable[[], None] = lambda: None
    on_leaving: Callable[[str], None] = lambda server_id: None
    confirm_running: Callable[[], Awaitable[bool]] = assume_running
    channel: Channel | None = None
    origin: StreamOrigin | None = None
    in_step: bool = True
    head_at: float | None = None
    body_bytes: int = 0
    instance_error: RequestError | None = None
    declined: bool = False
    is_kept: bool = False
    was_resumed: bool = False
    stream: StreamProgress | None = None
    settle_s: float = 0.0

    @classmethod
    def from_server(
        cls,
        pool: Pool,
        record: ServerRecord,
        response: CallerResponse,
        deadline: float,
        find_account: Callable[[], Account | None] = lambda: None,
    ) -> "Attempt":
        """Create an attempt at a server; `find_account` returns the account as it is sent."""
        entry, route = record.entry, response.route

        def make_server_headers(remaining_s: float, after: str) -> Headers:
            account = find_account()
            priority = rank_priority(account, route) if route.streamed else None
            name = account.name if account is not None else ""
            return make_headers(
                response.request, entry.server_id, remaining_s, priority, after, name
            )

        attempt = cls(
            pool, (entry.host, entry.port), response, deadline, make_server_headers, record
        )
        attempt.origin = StreamOrigin(entry.service, entry.version)
        return attempt

    async def run(self, may_retry: bool) -> ExchangeEnd:
        """Send the request and relay the response; return how the attempt ended."""
        address = self.address
        request_id = self.caller_response.request.request_id
        fresh = not self.caller_response.route.repeatable or not request_id
        try:
            self.channel = await self.pool.acquire(address, time.monotonic(), fresh, request_id)
        except NotListeningError as error:
            self.detail = str(error)
            return ExchangeEnd.CONNECTION_REFUSED
        except ChannelError as error:
            self.detail = str(error)
            return ExchangeEnd.NOT_SENT
        return await self.carry_out(self.exchange(may_retry))

    async def go_on(self, may_retry: bool) -> ExchangeEnd:
        """Wait again for a server that was kept as it was silent; return how the attempt ended."""
        self.is_kept, self.was_resumed, self.silent = False, True, True
        if self.stream is None:
            return await self.carry_out(self.read_answer(may_retry))
        timer = SilenceTimer(self.channel, STREAM_GAP_TIMEOUT_S, self.may_give_up)
        return await self.carry_out(self.relay_rest(self.stream, timer, may_retry))

    def abandon(self) -> None:
        """Close the connection to a server that was kept."""
        if self.is_kept:
            self.is_kept = False
            self.channel.abort()

    async def carry_out(self, exchange: Coroutine[None, None, ExchangeEnd]) -> ExchangeEnd:
        """Return how an exchange on the channel ended, and release, keep or close the channel."""
        finished = False
        try:
            end = await exchange
            finished = (
                end
                in (
                    ExchangeEnd.DONE,
                    ExchangeEnd.REFUSED,
                    ExchangeEnd.MODEL_MISSING,
                    ExchangeEnd.WRONG_SERVER,
                )
                or self.failed
            )
            return end
        except MalformedAnswerError as error:
            self.detail = str(error)
            return ExchangeEnd.MALFORMED
        except ChannelError as error:
            self.detail = self.detail or str(error)
            return ExchangeEnd.BROKEN
        except TimeoutError:
            if time.monotonic() >= self.deadline:
                raise
            self.detail = "no response in time"
            self.is_kept = self.record is not None and (self.head_at is None or self.begun)
            return ExchangeEnd.NO_RESPONSE
        finally:
            is_reusable = (finished and self.in_step) or not self.sent
            if is_reusable and self.channel.is_usable(time.monotonic()):
                self.pool.release(self.address, self.channel)
            elif not self.is_kept:
                self.channel.abort()

    async def exchange(self, may_retry: bool) -> ExchangeEnd:
        """Send the request and read the answer."""
        # A late loop may have read the request but not yet the end of its caller's connection.
        if self.caller_response.connection.notice_disconnect():
            await asyncio.sleep(0)
        if self.settle_s and not self.channel.exchanges:
            await asyncio.sleep(self.settle_s)
        caller_response = self.caller_response
        request, route = caller_response.request, caller_response.route
        now = time.monotonic()
        after = caller_response.splitter.last_id if route.resumable else ""
        if not self.may_send():
            return ExchangeEnd.WITHHELD
        headers = self.make_headers(self.deadline - now, after)
        self.sent, self.sent_at = True, now
        try:
            self.channel.start(
                request.method, request.target, tuple(headers), request.body, request.request_id
            )
        except NothingSentError as error:
            self.sent, self.detail = False, str(error)
            return ExchangeEnd.CLOSED
        self.on_sent()
        return await self.read_answer(may_retry)

    async def read_answer(self, may_retry: bool) -> ExchangeEnd:
        """Read the head of the response and continue by its status."""
        caller_response, route = self.caller_response, self.caller_response.route
        first_bytes_s = max(FIRST_BYTES_TIMEOUT_S, FIRST_BYTES_TIMEOUT_TARGETS * route.target_s)
        timer = SilenceTimer(self.channel, first_bytes_s, self.may_give_up)
        if may_retry:
            timer.start()
        try:
            response, head = await self.receive_head()
            self.head_at, self.body_bytes = time.monotonic(), 0
            self.status, self.signed = head.status, head.signed
            self.framing = read_framing(caller_response.request.method, response)
            if self.record is None and not head.signed:
                return await self.read_instance_error(response, head)
            if head.load is not None and self.record is not None:
                self.record.record_load_sample(
                    head.load.running, head.load.waiting, time.monotonic(), head.load.slowness
                )
            if self.record is not None:
                apply_brittleness(self.record, head.rejections_borne)
            self.on_head(head)
            if head.not_run:
                return await self.read_refusal(response, head)
            if 200 <= head.status < 300:
                self.on_accepted()
            if not 200 <= head.status < 300 or not route.streamed:
                return await self.relay_complete(response, head, may_retry)
            self.check_success(head)
            if caller_response.begun and not caller_response.is_rest(head):
                raise MalformedAnswerError(f"status {head.status} in place of the rest of a stream")
            first = await self.receive_body()
            timer.cancel()
            timer.limit_s = STREAM_GAP_TIMEOUT_S
            return await self.relay_stream(response, head, first, timer, may_retry)
        finally:
            timer.cancel()

    @property
    def is_unanswered_first(self) -> bool:
        """Whether it was the first exchange of its connection and nothing came back."""
        return self.channel is not None and self.channel.exchanges <= 1 and self.head_at is None

    async def receive_body(self) -> Event:
        """Return the next piece of the response's body, or its end."""
        event = await self.channel.receive()
        self.note_heard()
        if isinstance(event, h11.Data):
            self.body_bytes += len(event.data)
        return event

    def note_heard(self) -> None:
        """Record that the server sent something, also one that was noted as unresponsive."""
        if self.record is None:
            return
        self.record.heard_at = time.monotonic()
        self.was_resumed = False
        if self.silent:
            self.silent = False
            self.record.end_pause()

    def may_give_up(self) -> bool:
        """Return whether the response of a silent server may be left to another one.

        To give up a server that no other can stand in for, or that the budget allows no repeat of,
        would end the response sooner, and only a resumable stream can go on at another server once
        it has begun.
        """
        return (not self.caller_response.begun or self.caller_response.route.resumable) and (
            self.may_move()
        )

    def withdraw(self) -> None:
        """Take the request back from its server, which should not begin it."""
        if self.channel is not None and self.sent and not self.begun:
            self.withdrawn = True
            self.detail = "withdrawn"
            self.channel.abort()
            self.channel.wake()

    async def receive_head(self) -> tuple[h11.Response, ResponseHead]:
        """Return the head of the response, skipping extra responses to other requests.

        On a kept connection only the id distinguishes these from the one expected. One without an
        id shows nothing, and a connection is kept only while all responses bear the id expected.
        """
        for _ in range(SKIPPED_ANSWERS_MAX):
            response = await self.channel.receive_final_head()
            self.note_heard()
            head = self.note_leaving(read_head(response.status_code, response.headers))
            if head.request_id and head.request_id == self.caller_response.request.request_id:
                return response, head
            self.in_step = False
            if not head.request_id:
                self.check_unnamed(head)
                return response, head
            log_skipped(self.caller_response.request, self.record, self.channel, head)
            if not await self.skip_body(SKIPPED_BYTES_MAX, SKIPPED_S):
                raise MalformedAnswerError("an answer to another request without an end")
            self.channel.skip_answer()
        raise MalformedAnswerError("answers to other requests without an end")

    def note_leaving(self, head: ResponseHead) -> ResponseHead:
        """Report a server that says that it leaves, and return the head with its id."""
        if head.leaving:
            head = head if self.record is None else name_server(head, self.record.entry.server_id)
            self.on_leaving(head.server_id)
        return head

    async def skip_body(self, bytes_max: int, time_max_s: float) -> bool:
        """Read a body that is not used; return whether it ended within these bounds."""
        return await self.read_short_body(bytearray(), bytes_max, time_max_s)

    async def read_unused_body(self, body: bytearray) -> bool:
        """Add what comes soon of a body that decides nothing; return whether it ended.

        However it breaks off, the response's head has said what there is to say.
        """
        try:
            return await self.read_short_body(body, UNUSED_BYTES_MAX, UNUSED_BODY_S)
        except ChannelError as error:
            self.detail = str(error)
            return False

    async def read_short_body(self, body: bytearray, bytes_max: int, time_max_s: float) -> bool:
        """Add the rest of a body to `body`; return whether it ended within these bounds.

        The bytes that earlier calls of an attempt have read count towards `bytes_max`.
        """
        try:
            async with asyncio.timeout(time_max_s):
                while isinstance(event := await self.receive_body(), h11.Data):
                    if self.body_bytes > bytes_max:
                        return False
                    body += event.data
        except TimeoutError:
            return False
        return True

    def check_unnamed(self, head: ResponseHead) -> None:
        """Raise `MalformedAnswerError` for a response without an id that may be an earlier one.

        Other instances write no extra ones, and have not read the id of a request that is too long.
        """
        if self.record is None or self.channel.exchanges == 1:
            return
        self.pool.drop(self.address)
        raise MalformedAnswerError(f"status {head.status} without an id on a kept connection")

    async def read_refusal(self, response: h11.Response, head: ResponseHead) -> ExchangeEnd:
        """Return what a refusal says; its body may keep only its connection waiting."""
        if await self.read_unused_body(bytearray()):
            self.channel.finish(response, time.monotonic())
        if self.record is not None and head.server_id not in ("", self.record.entry.server_id):
            return ExchangeEnd.WRONG_SERVER
        return (
            ExchangeEnd.MODEL_MISSING if head.status == STATUS_MISDIRECTED else ExchangeEnd.REFUSED
        )

    async def read_instance_error(self, response: h11.Response, head: ResponseHead) -> ExchangeEnd:
        """Read the error that another instance answers with; no server did."""
        body = bytearray()
        if await self.read_unused_body(body):
            self.channel.finish(response, time.monotonic())
        code, _, message = body.decode("latin-1").strip().partition(": ")
        not_run = head.declined or head.status in REFUSAL_STATUSES or head.status < 500
        self.detail = code
        # A 4xx of another instance is about what that one knows, such as older routes. A refusal
        # without a code was sent before the request arrived, as the connection was closed.
        is_unread = not_run and (not code or code == LIMITS_UNCONFIRMED_CODE)
        is_other = head.status < 500 and head.status != STATUS_MISDIRECTED
        is_other = is_other and code != ACCOUNT_LIMIT_CODE
        self.declined = head.declined or is_unread or is_other
        self.instance_error = RequestError(
            head.status,
            code,
            message,
            Outcome.NOT_RUN if not_run else Outcome.UNKNOWN,
            retry_after_s=head.retry_after_s,
        )
        return ExchangeEnd.REFUSED if not_run else ExchangeEnd.BROKEN

    def check_success(self, head: ResponseHead) -> None:
        """Raise `MalformedAnswerError` if a success is not the server's own."""
        if not head.signed or head.encoded:
            raise MalformedAnswerError("success without a signature or with an encoding")

    async def relay_complete(
        self, response: h11.Response, head: ResponseHead, may_retry: bool
    ) -> ExchangeEnd:
        """Read a complete response and relay it, or keep a failure that a retry may improve on."""
        success = 200 <= head.status < 300
        if success:
            self.check_success(head)
        resumed = self.caller_response.begun
        is_final = head.status < 500 and head.status not in REFUSAL_STATUSES and not resumed
        streaming = False
        body = bytearray()
        while isinstance(event := await self.receive_body(), h11.Data):
            if streaming:
                await self.caller_response.send(bytes(event.data))
                continue
            body += event.data
            if len(body) <= BUFFERED_BYTES_MAX:
                continue
            if not is_final:
                raise MalformedAnswerError(f"status {head.status} with a body without an end")
            streaming = True
            self.caller_response.begin(head, None)
            await self.caller_response.send(bytes(body))
            body.clear()
        if not resumed:
            await self.check_closed_end()
        self.channel.finish(response, time.monotonic())
        if resumed:
            # The caller has the head of another server's stream: this response cannot continue it.
            self.failed = True
            self.detail = f"status {head.status} in place of the rest of a stream"
            return ExchangeEnd.BROKEN
        if streaming:
            self.caller_response.connection.send_end()
            return ExchangeEnd.DONE
        return self.deliver_complete(head, bytes(body), may_retry)

    def deliver_complete(self, head: ResponseHead, body: bytes, may_retry: bool) -> ExchangeEnd:
        """Send a complete response to the caller, or keep or drop it in favour of a retry."""
        if head.status >= 500:
            self.failed = True
            self.detail = f"status {head.status}"
            if head.status in REFUSAL_STATUSES:
                return ExchangeEnd.BROKEN
            if may_retry:
                self.caller_response.kept_failure = (head, body)
                return ExchangeEnd.BROKEN
        elif head.status in REFUSAL_STATUSES:
            return ExchangeEnd.BROKEN
        self.caller_response.send_complete(head, body)
        return ExchangeEnd.DONE

    async def check_closed_end(self) -> None:
        """Raise `ChannelError` if nothing shows that an answer that has ended is complete.

        The kernel closes the connections of a server that ends as the server does behind an answer
        with neither a length nor chunks.
        """
        if self.framing is Framing.CLOSE and not await self.confirm_running():
            raise ChannelError("the connection ended, and the server may have")

    async def relay_stream(
        self,
        response: h11.Response,
        head: ResponseHead,
        first: Event,
        timer: SilenceTimer,
        may_retry: bool,
    ) -> ExchangeEnd:
        """Relay a stream from its first piece on."""
        caller_response = self.caller_response
        caller_response.splitter.drop_partial()
        self.stream = StreamProgress(response, caller_response.splitter.events > 0)
        caller_response.begin_stream(head, self.origin)
        return await self.relay_rest(self.stream, timer, may_retry, first)

    async def relay_rest(
        self,
        stream: StreamProgress,
        timer: SilenceTimer,
        may_retry: bool,
        event: Event | None = None,
    ) -> ExchangeEnd:
        """Relay events as they arrive; a stream that breaks off is never terminated."""
        caller_response = self.caller_response
        resumable = caller_response.route.resumable
        timer.progress_at = time.monotonic()
        if may_retry:
            timer.start()
        try:
            event = event or await self.receive_body()
            while not isinstance(event, h11.EndOfMessage):
                data = bytes(event.data)
                stream.tail = (stream.tail + data)[-TAIL_BYTES:]
                complete = caller_response.splitter.feed(data) if resumable else data
                if not self.begun and has_event(complete):
                    self.begun = True
                    self.on_begun()
                await caller_response.send(complete)
                if complete or self.body_bytes - stream.counted >= PROGRESS_BYTES_MIN:
                    timer.progress_at, stream.counted = time.monotonic(), self.body_bytes
                event = await self.receive_body()
        finally:
            timer.cancel()
        broken_off = check_stream_end(stream.response, stream.tail, stream.resumed)
        if broken_off:
            raise ChannelError(broken_off)
        await self.check_closed_end()
        if resumable:
            await caller_response.send(caller_response.splitter.flush())
        self.channel.finish(stream.response, time.monotonic())
        caller_response.connection.send_end()
        return ExchangeEnd.DONE
