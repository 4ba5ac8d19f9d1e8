"""Calls made by this instance: to the platform's store and to engines."""

import asyncio
import time
from collections.abc import Callable

import h11
from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.exchanges import ControlCall, Headers
from rhubarbshed.protocol.tables import TableError, TableFault
from rhubarbshed.transport.edge.channels import (
    UNUSED_BODY_S,
    UNUSED_BYTES_MAX,
    Channel,
    ChannelError,
)
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
    """Make a call; `UNAVAILABLE` never left this instance, `UNKNOWN` may take effect later.

    `may_send` is asked once there is a connection: the process may have stood still meanwhile.
    """
    now = time.monotonic()
    try:
        channel = await pool.acquire(address, now, fresh or sent.method != b"GET")
    except ChannelError as error:
        return Failure(TableError(TableFault.UNAVAILABLE, detail=str(error)))
    if not may_send():
        channel.idle_since = time.monotonic()
        pool.release(address, channel)
        return Failure(TableError(TableFault.UNAVAILABLE, detail="the permission has run out"))
    began_at, bytes_before = time.monotonic(), channel.received_bytes
    try:
        async with asyncio.timeout(timeout_s):
            answer = await _exchange(address, channel, sent)
            if channel.is_usable(time.monotonic()):
                pool.release(address, channel)
            return Success(answer)
    except TimeoutError:
        received = channel.received_bytes - bytes_before
        late_ms = round((time.monotonic() - began_at - timeout_s) * 1000)
        detail = f"no response in {timeout_s:g} s: {received} bytes came, {late_ms} ms late"
        return Failure(TableError(TableFault.UNKNOWN, detail=detail, waited_s=timeout_s))
    except ChannelError as error:
        return Failure(TableError(TableFault.UNKNOWN, detail=str(error)))
    finally:
        if not channel.is_usable(time.monotonic()):
            channel.abort()


async def _exchange(address: Address, channel: Channel, sent: ControlCall) -> ControlAnswer:
    headers = [(b"host", f"{address[0]}:{address[1]}".encode()), *sent.headers]
    if sent.body or sent.method != b"GET":
        headers.append((b"content-length", str(len(sent.body)).encode()))
    channel.start(sent.method, sent.target, tuple(headers), sent.body)
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
