"""Authenticated connection to a peer, with a bounded queue of frames to send."""

import asyncio
import random
from collections import deque

from attrs import Factory, define

from rhubarbshed.protocol.members import InstanceInfo

BUFFER_BYTES_MAX = 65_536
"""Bytes in the socket's write buffer above which frames wait in the queue."""
QUEUE_BYTES_MAX = 2_097_152
"""Bytes in the queue above which the connection is closed."""
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 5.0
QUEUE_DIGESTS_MAX = 18
"""Maximum number of queued digests; the oldest is dropped first, since newer ones replace it."""


@define
class Backoff:
    """Exponential backoff between attempts to dial a peer; `until` is in monotonic seconds."""

    pause_s: float = 0.0
    until: float = 0.0

    def try_start(self, now: float, rng: random.Random) -> bool:
        """Return whether to dial now; if so, set the time of the next attempt, with jitter."""
        if now < self.until:
            return False
        self.pause_s = min(BACKOFF_MAX_S, max(BACKOFF_FIRST_S, self.pause_s * 2))
        self.until = now + self.pause_s * rng.uniform(0.5, 1.0)
        return True


@define(eq=False)
class Link:
    """Connection to a peer; times are monotonic seconds.

    `drained_at` is when the socket's write buffer last had room. `queue` has encoded frames, each
    with whether it is a digest.
    """

    info: InstanceInfo
    writer: asyncio.StreamWriter
    dialed_by: str
    last_received_at: float
    drained_at: float
    queue: deque[tuple[bytes, bool]] = Factory(deque)
    queue_bytes: int = 0
    digests_dropped: int = 0

    def put(self, data: bytes, is_digest: bool) -> None:
        """Queue an encoded frame; above `QUEUE_DIGESTS_MAX` the oldest digest is dropped."""
        self.queue.append((data, is_digest))
        self.queue_bytes += len(data)
        if is_digest and sum(digest for _, digest in self.queue) > QUEUE_DIGESTS_MAX:
            self._drop_oldest_digest()

    def must_flush(self) -> bool:
        """Return whether a queued frame must not wait for the next heartbeat."""
        return any(not is_digest for _, is_digest in self.queue)

    def update_drained_at(self, now: float) -> bool:
        """Return whether the socket's write buffer has room; if so, set `drained_at`."""
        if self.writer.transport.get_write_buffer_size() > BUFFER_BYTES_MAX:
            return False
        self.drained_at = now
        return True

    def flush(self, now: float) -> None:
        """Write all queued frames in one call, if the socket's write buffer has room."""
        if not self.update_drained_at(now):
            return
        if not self.queue or self.writer.is_closing():
            return
        self.writer.write(b"".join(data for data, _ in self.queue))
        self.queue.clear()
        self.queue_bytes = 0

    def find_fault(self, now: float, silence_s: float) -> str:
        """Return why this connection must be replaced, or an empty string."""
        if self.writer.is_closing():
            return "closed"
        if now - self.last_received_at > silence_s:
            return f"received nothing for {now - self.last_received_at:.1f} s"
        if now - self.drained_at > silence_s:
            return f"write buffer full for {now - self.drained_at:.1f} s"
        if self.queue_bytes > QUEUE_BYTES_MAX:
            return f"{self.queue_bytes} bytes queued"
        return ""

    def abort(self) -> None:
        """Close at once, without sending queued frames or waiting for the peer."""
        self.queue.clear()
        self.queue_bytes = 0
        self.writer.transport.abort()

    def _drop_oldest_digest(self) -> None:
        for index, (data, is_digest) in enumerate(self.queue):
            if is_digest:
                del self.queue[index]
                self.queue_bytes -= len(data)
                self.digests_dropped += 1
                return


def choose_link(existing: Link, new: Link, now: float, heartbeat_s: float) -> Link:
    """Choose which of two connections to the same peer to keep; both ends choose the same one.

    A new connection replaces one that is overdue, one of another incarnation, and one that the
    same end dialled, since that end no longer knows of the old one. Of two that were dialled from
    opposite ends at the same time, the one that the lower name dialled is kept.
    """
    overdue = now - existing.last_received_at > 2 * heartbeat_s
    restarted = existing.info.incarnation != new.info.incarnation
    if overdue or restarted or existing.dialed_by == new.dialed_by:
        return new
    return min(existing, new, key=lambda link: link.dialed_by)
