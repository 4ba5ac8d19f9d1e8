"""The response to a request as its caller sees it."""

import time
from collections.abc import Callable

from attrs import define, field

from rhubarbshed.protocol.exchanges import CallerRequest, ResponseHead
from rhubarbshed.protocol.routes import Route
from rhubarbshed.protocol.streams import StreamOrigin
from rhubarbshed.transport.edge.caller_connections import CallerConnection
from rhubarbshed.transport.edge.streams import EventSplitter, read_media_type


@define(eq=False)
class CallerResponse:
    """Response to one request as its caller sees it, across all attempts.

    `origin` is that of a resumable stream, recorded when its head goes out. `parts_same` and
    `parts_other` count the later servers that sent parts of it, of the version of its origin and of
    other ones.
    """

    connection: CallerConnection
    request: CallerRequest
    route: Route
    begun: bool = False
    status: int = 0
    first_at: float | None = None
    last_at: float = 0.0
    gap_s: float = 0.0
    media_type: bytes = b""
    splitter: EventSplitter = field(factory=EventSplitter)
    kept_failure: tuple[ResponseHead, bytes] | None = None
    origin: StreamOrigin | None = None
    record_origin: Callable[[StreamOrigin], None] = lambda origin: None
    parts_same: int = 0
    parts_other: int = 0

    @property
    def version(self) -> str | None:
        """Return the only software version that may write the stream, if there is one."""
        return self.origin.version if self.origin is not None else None

    @property
    def may_continue(self) -> bool:
        """Whether another server can go on: nothing was sent, or it is known up to which event."""
        return self.first_at is None or bool(self.splitter.last_id)

    def is_rest(self, head: ResponseHead) -> bool:
        """Return whether a response can be the rest of the stream that the caller has."""
        media_type = read_media_type(dict(head.headers))
        return head.status == self.status and media_type == self.media_type

    def begin_stream(self, head: ResponseHead, origin: StreamOrigin | None) -> None:
        """Send the head of the first response of a stream; later ones only continue it.

        Without an origin the response comes by way of another instance, which records it.
        """
        if origin is None:
            self.begin(head, None)
            return
        if not self.begun and self.route.resumable:
            self.origin = origin
            self.record_origin(origin)
        elif self.begun and origin == self.origin:
            self.parts_same += 1
        elif self.begun:
            self.parts_other += 1
        self.begin(head, None)

    def begin(self, head: ResponseHead, length: int | None) -> None:
        """Send the head of the first response; later ones only continue it."""
        if self.begun:
            return
        self.begun = True
        self.status = head.status
        self.media_type = read_media_type(dict(head.headers))
        self.connection.send_head(head.status, head.headers, length)

    async def send(self, data: bytes) -> None:
        """Send a piece of the body and wait while the caller reads slowly."""
        if not data:
            return
        now = time.monotonic()
        if self.first_at is None:
            self.first_at = now
        else:
            self.gap_s = max(self.gap_s, now - self.last_at)
        self.last_at = now
        self.connection.send_data(data)
        await self.connection.wait_writable()

    def send_complete(self, head: ResponseHead, body: bytes) -> None:
        """Send a response that was received completely."""
        self.begun = True
        self.status = head.status
        self.first_at = time.monotonic()
        self.connection.send_complete(head.status, head.headers, body)

    def send_kept_failure(self) -> bool:
        """Send a server's own failure that was kept because another attempt might have succeeded.

        Return whether there was one to send.
        """
        if self.kept_failure is None or self.begun:
            return False
        self.send_complete(*self.kept_failure)
        return True
