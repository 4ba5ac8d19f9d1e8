"""Streams that callers take up again: who may continue them."""

from collections.abc import Awaitable, Callable

from rhubarbshed.protocol.streams import StreamLookup, StreamOrigin

RecordStream = Callable[[str, StreamOrigin, float], None]
"""Recorder of the origin of a stream: id, origin, monotonic seconds."""

FindStream = Callable[[str, float], Awaitable[StreamLookup]]
"""Search for the origin of a stream: id, monotonic seconds."""


def record_nothing(stream_id: str, origin: StreamOrigin, now: float) -> None:
    """Record no origin; for an instance without a registry of streams."""


async def find_nothing(stream_id: str, now: float) -> StreamLookup:
    """Find no origin; for an instance without a registry of streams."""
    return StreamLookup(None)
