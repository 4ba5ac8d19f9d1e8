"""Race between two attempts at one streamed request for the first token."""

import re
import select
import socket
import time
from collections.abc import Callable

from attrs import define, frozen

from rhubarbshed.protocol.requests import AttemptEnd, Dispatch
from rhubarbshed.transport.connections import Channel
from rhubarbshed.transport.events import Attempt

# Status codes with which an engine rejects a request that it has not run.
STATUSES_NOT_RUN = (404, 429, 503)
STATUS_OK = 200
# Maximum number of bytes searched for the end of a response head.
HEAD_BYTES_MAX = 65536
HEAD_END = b"\r\n\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})")
# Edge-triggered, so that a head without a token does not end the next poll at once.
SOURCE_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET
CALLER_EVENTS = select.EPOLLRDHUP


@frozen(eq=False)
class RunningAttempt:
    """Attempt whose request has been sent, and its connection."""

    attempt: Attempt
    channel: Channel

    @property
    def parts(self) -> tuple[Channel, Attempt]:
        """Return the connection and the attempt."""
        return self.channel, self.attempt

    def find_timeout_at(self) -> float:
        """Return when the wait for a first token times out, in monotonic seconds."""
        return self.attempt.waiting_since + self.attempt.dispatch.first_byte_timeout_s

    def peek(self) -> bytes | None:
        """Return received bytes without consuming them; None if there are none yet.

        A connection that was closed or has failed gives empty bytes.
        """
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            return self.channel.sock.recv(HEAD_BYTES_MAX, flags)
        except BlockingIOError:
            return None
        except OSError:
            return b""


@define
class Race:
    """Attempt that decides on a request, and callbacks for a second one.

    `hedge` requests a second attempt. `give_up` reports that an attempt is no longer needed, `end`
    how one failed while the other continues.
    """

    attempt: Attempt
    hedge: Callable[[], Dispatch | None]
    give_up: Callable[[Attempt], None]
    end: Callable[[Attempt, AttemptEnd], None]


def wait_for_first_token(
    running: list[RunningAttempt], caller: socket.socket, until: float
) -> RunningAttempt | AttemptEnd | None:
    """Return the first attempt with a token or an end, `CALLER_GONE`, or None on timeout.

    `until` is in monotonic seconds.
    """
    sources = {
        running_attempt.channel.sock.fileno(): running_attempt for running_attempt in running
    }
    with select.epoll() as poller:
        for descriptor in sources:
            poller.register(descriptor, SOURCE_EVENTS)
        poller.register(caller, CALLER_EVENTS)
        while True:
            remaining_s = max(0.0, until - time.monotonic())
            for descriptor, _ in poller.poll(remaining_s):
                running_attempt = sources.get(descriptor)
                if running_attempt is None:
                    return AttemptEnd.CALLER_GONE
                if _has_body_or_end(running_attempt.peek()):
                    return running_attempt
            if time.monotonic() >= until:
                return None


def _has_body_or_end(data: bytes | None) -> bool:
    """Return whether more than a response head has arrived, or the connection has ended."""
    if not data:
        return data is not None
    _, end, body = data.partition(HEAD_END)
    return bool(body) if end else len(data) >= HEAD_BYTES_MAX


def find_failure(running_attempt: RunningAttempt) -> AttemptEnd | None:
    """Return how an attempt failed, or None if its response can be sent to the caller."""
    status_line = STATUS_LINE.match(running_attempt.peek() or b"")
    status = int(status_line[1]) if status_line else 0
    if status in STATUSES_NOT_RUN:
        return AttemptEnd.REFUSED
    is_answer = status == STATUS_OK or status // 100 == 4
    return None if is_answer else AttemptEnd.BROKEN
