"""Calls made by this instance: to the platform's store and to engines."""

import asyncio
import time
from collections.abc import Callable

import h11
from attrs import define, field, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.exchanges import ControlCall, Headers
from rhubarbshed.protocol.tables import TableError, TableFault
from rhubarbshed.transport.edge.channels import (
    UNUSED_BODY_S,
    UNUSED_BYTES_MAX,
    Channel,
    ChannelError,
)
from rhubarbshed.transport.edge.late_loops import LATE_LOOP_MIN_S
from rhubarbshed.transport.edge.pools import Address, Pool


@frozen
class ControlAnswer:
    """Response to a call made by this instance; `body` is empty if only the status is used."""

    status: int
    body: bytes
    headers: Headers = ()


def allow() -> bool:
    """Return that a call may be sent; for calls that need no permission."""
    return True


@frozen
class AnswerLimits:
    """Limits of an answer in seconds: until its first byte, between two bytes, and in all."""

    first_s: float
    silence_s: float
    total_s: float

    @classmethod
    def from_total(cls, total_s: float) -> "AnswerLimits":
        """Return the limits of an answer that has to be complete in time."""
        return cls(total_s, total_s, total_s)


@define(eq=False)
class Transfer:
    """Answer to a call as it arrives."""

    _channel: Channel | None = None
    _bytes_before: int = 0

    def start(self, channel: Channel) -> None:
        """Count the bytes of a connection from now on."""
        self._channel, self._bytes_before = channel, channel.received_bytes

    @property
    def received_bytes(self) -> int:
        """Return how many bytes of the answer have come."""
        return 0 if self._channel is None else self._channel.received_bytes - self._bytes_before


KeepExchange = Callable[["asyncio.Task[ControlAnswer]", Channel], None]
"""Taker of an exchange whose answer may still come, and of its connection."""


@frozen
class CallOptions:
    """Options of a call: its limits, and what follows its answer as it arrives.

    A `fresh` connection carries a call where kept ones may no longer respond. `keep` takes an
    exchange of which nothing came in time.
    """

    limits: AnswerLimits
    fresh: bool = False
    transfer: Transfer = field(factory=Transfer)
    keep: KeepExchange | None = None


async def call_server(
    pool: Pool,
    address: Address,
    sent: ControlCall,
    timeout_s: float,
    may_send: Callable[[], bool] = allow,
) -> Result[ControlAnswer, TableError]:
    """Make a call to a backend server, on a new connection, which requests may use afterwards.

    Responses to such calls bear no id. On a kept connection an extra one, to an earlier call or
    request, could not be distinguished from the one expected.
    """
    return await call(pool, address, sent, timeout_s, fresh=True, may_send=may_send)


async def call(
    pool: Pool,
    address: Address,
    sent: ControlCall,
    timeout_s: float,
    fresh: bool = False,
    may_send: Callable[[], bool] = allow,
) -> Result[ControlAnswer, TableError]:
    """Make a call whose whole answer is due in time."""
    options = CallOptions(AnswerLimits.from_total(timeout_s), fresh)
    return await call_with_options(pool, address, sent, options, may_send)


async def call_with_options(
    pool: Pool,
    address: Address,
    sent: ControlCall,
    options: CallOptions,
    may_send: Callable[[], bool] = allow,
) -> Result[ControlAnswer, TableError]:
    """Make a call; `UNAVAILABLE` never left this instance, `UNKNOWN` may take effect later.

    `may_send` is asked once there is a connection: the process may have stood still meanwhile.
    """
    now = time.monotonic()
    try:
        channel = await pool.acquire(address, now, options.fresh or sent.method != b"GET")
    except ChannelError as error:
        return Failure(TableError(TableFault.UNAVAILABLE, detail=str(error)))
    if not may_send():
        channel.idle_since = time.monotonic()
        pool.release(address, channel)
        return Failure(TableError(TableFault.UNAVAILABLE, detail="the permission has run out"))
    limits, transfer = options.limits, options.transfer
    transfer.start(channel)
    began_at = time.monotonic()
    exchange, is_kept = None, False
    try:
        _send(address, channel, sent)
        exchange = asyncio.create_task(_receive(channel, sent))
        if await is_answered(exchange, transfer, limits):
            answer = exchange.result()
            if channel.is_usable(time.monotonic()):
                pool.release(address, channel)
            return Success(answer)
        waited_s = time.monotonic() - began_at
        if options.keep is not None and not transfer.received_bytes:
            options.keep(exchange, channel)
            is_kept = True
        return Failure(_make_timeout(limits, transfer, waited_s))
    except ChannelError as error:
        return Failure(TableError(TableFault.UNKNOWN, detail=str(error)))
    finally:
        if exchange is not None and not is_kept:
            exchange.cancel()
        if not is_kept and not channel.is_usable(time.monotonic()):
            channel.abort()


async def is_answered(
    exchange: "asyncio.Task[ControlAnswer]", transfer: Transfer, limits: AnswerLimits
) -> bool:
    """Wait for an answer; return whether it ended within the limits.

    A late event loop finds bytes and the end of the time at once. If some came, it gets once more
    the time by which it was late.
    """
    until, was_late = time.monotonic() + limits.total_s, False
    while True:
        received, now = transfer.received_bytes, time.monotonic()
        due_at = min(until, now + (limits.silence_s if received else limits.first_s))
        done, _ = await asyncio.wait((exchange,), timeout=max(0.0, due_at - now))
        if done:
            return True
        if transfer.received_bytes == received:
            return False
        now = time.monotonic()
        late_s = now - due_at
        if now >= until and (was_late or late_s < LATE_LOOP_MIN_S):
            return False
        if now >= until:
            until, was_late = now + late_s, True


def _make_timeout(limits: AnswerLimits, transfer: Transfer, waited_s: float) -> TableError:
    received = transfer.received_bytes
    limit_s = limits.total_s if received else limits.first_s
    late_ms = max(0, round((waited_s - limit_s) * 1000))
    detail = f"no response in {limit_s:g} s: {received} bytes came, {late_ms} ms late"
    return TableError(TableFault.UNKNOWN, detail=detail, waited_s=waited_s)


def _send(address: Address, channel: Channel, sent: ControlCall) -> None:
    headers = [(b"host", f"{address[0]}:{address[1]}".encode()), *sent.headers]
    if sent.body or sent.method != b"GET":
        headers.append((b"content-length", str(len(sent.body)).encode()))
    channel.start(sent.method, sent.target, tuple(headers), sent.body)


async def _receive(channel: Channel, sent: ControlCall) -> ControlAnswer:
    response = await channel.receive_final_head()
    body = b""
    if sent.answer_bytes_max:
        body = await _read_body(channel, sent.answer_bytes_max)
        if body is None:
            raise ChannelError(f"the response is longer than {sent.answer_bytes_max} bytes")
        channel.finish(response, time.monotonic())
    elif await _skip_body(channel):
        channel.finish(response, time.monotonic())
    return ControlAnswer(response.status_code, body, tuple(response.headers))


async def _read_body(channel: Channel, bytes_max: int) -> bytes | None:
    """Return the body, None if it is longer than `bytes_max`."""
    body = bytearray()
    while isinstance(event := await channel.receive(), h11.Data):
        body += event.data
        if len(body) > bytes_max:
            return None
    return bytes(body)


async def _skip_body(channel: Channel) -> bool:
    """Return whether a body that decides nothing ended soon, so that its connection is kept."""
    try:
        async with asyncio.timeout(UNUSED_BODY_S):
            return await _read_body(channel, UNUSED_BYTES_MAX) is not None
    except (ChannelError, TimeoutError):
        # The status counts, however its body breaks off.
        return False
