"""Test which of two attempts at a stream continues, over sockets that follow a script."""

import contextlib
import socket
import threading
import time

import pytest

from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.requests import AttemptEnd, Dispatch, Request
from rhubarbshed.transport.connections import ConnectionPool
from rhubarbshed.transport.events import Attempt, Piece
from rhubarbshed.transport.races import Race
from rhubarbshed.transport.stream_relay import CallerConnection
from rhubarbshed.transport.upstream import UpstreamClient

BODY = b'{"prompt": "x"}'
HEAD = b"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
TOKEN = b'data: {"id": "r1", "offset": 0}\n\n'
DONE = b"data: [DONE]\n\n"
FULL = b"HTTP/1.0 429 Too Many\r\nContent-Length: 2\r\n\r\n{}"
CANCELLED = b'data: {"id": "r1", "offset": 1, "choices": [{"finish_reason": "cancelled"}]}\n\n'
HEDGE_AFTER_S = 0.4
TIMEOUT_S = 0.8
# Delay of an answer that comes after a hedge is requested and before any attempt times out.
AFTER_HEDGE_S = 0.55
LONG_S = 5.0


class Script:
    """Server of one connection; each step is a pause in seconds and the bytes sent after it."""

    def __init__(self, *steps: tuple[float, bytes]) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.steps = steps
        self.taken = threading.Event()
        threading.Thread(target=self.run, daemon=True).start()

    @property
    def port(self) -> int:
        return self.listener.getsockname()[1]

    def run(self) -> None:
        with contextlib.suppress(OSError):
            connection, _ = self.listener.accept()
            self.taken.set()
            request = b""
            while not request.endswith(BODY):
                request += connection.recv(65536)
            for pause_s, data in self.steps:
                time.sleep(pause_s)
                connection.sendall(data)
            connection.close()


class Play:
    """Race between two scripted servers, with the ends of attempts that it reported."""

    def __init__(self, first: Script, second: Script | None) -> None:
        self.told: list[tuple[int, str]] = []
        self.second = second
        self.asked = 0
        self.caller, far = socket.socketpair()
        self.line = CallerConnection(far, far.sendall)
        self.race = Race(
            attempt=Attempt.from_dispatch(make_dispatch(0, first)),
            hedge=self.hedge,
            give_up=lambda attempt: self.told.append((attempt.dispatch.attempt, "given_up")),
            end=lambda attempt, end: self.told.append((attempt.dispatch.attempt, end.value)),
        )

    def hedge(self) -> Dispatch | None:
        self.asked += 1
        return make_dispatch(1, self.second) if self.second else None

    def carry(self) -> tuple[bytes, AttemptEnd]:
        """Return the bytes that the caller received, and the end of the deciding attempt."""
        upstream_client = UpstreamClient(ConnectionPool(60.0), PassBack(), "a1", 65536)
        call = Call(Request("r1", "c1", "m1", 0.0, 60.0, model="m1"), "POST", "/v1/x", BODY)
        *pieces, end = upstream_client.stream(self.race, call, self.line)
        return b"".join(piece.data for piece in pieces if isinstance(piece, Piece)), end


class PassBack:
    """Stand-in for StreamRelay that returns each stream to its worker with all of its rest."""

    def relay(self, flow) -> None:
        flow.source.settimeout(None)
        rest = flow.response.read()
        piece, flow.end = flow.buffer.feed(rest, flow.attempt)
        flow.pending = piece.data


def make_dispatch(number: int, server: Script) -> Dispatch:
    delay_s = 0.0 if number else HEDGE_AFTER_S
    return Dispatch(
        "r1", number, f"b{number}", "127.0.0.1", server.port, TIMEOUT_S, 1.0, hedge_after_s=delay_s
    )


def test_head_without_a_token_does_not_win():
    first = Script((0.0, HEAD), (LONG_S, b""))
    second = Script((0.0, HEAD), (0.05, TOKEN + DONE))
    play = Play(first, second)
    assert play.carry() == (TOKEN + DONE, AttemptEnd.DONE)
    assert play.race.attempt.dispatch.attempt == 1
    assert play.told == [(0, "given_up")]


def test_first_attempt_may_still_win():
    play = Play(Script((AFTER_HEDGE_S, HEAD + TOKEN + DONE)), Script((LONG_S, b"")))
    assert play.carry() == (TOKEN + DONE, AttemptEnd.DONE)
    assert play.told == [(1, "given_up")]


def test_quick_answer_asks_for_no_hedge():
    play = Play(Script((0.0, HEAD + TOKEN + DONE)), None)
    assert play.carry() == (TOKEN + DONE, AttemptEnd.DONE)
    assert (play.asked, play.told) == (0, [])


def test_without_leave_to_hedge_the_first_attempt_times_out():
    play = Play(Script((LONG_S, b"")), None)
    begun = time.monotonic()
    assert play.carry() == (b"", AttemptEnd.TIMED_OUT)
    assert TIMEOUT_S * 0.95 <= time.monotonic() - begun < 2 * TIMEOUT_S
    assert (play.asked, play.told) == (1, [])


@pytest.mark.parametrize(
    "answer, end", [(FULL, "refused"), (b"", "broken"), (b"HTTP/1.0 500 No\r\n\r\nx", "broken")]
)
def test_failure_of_one_leaves_the_other_in_the_race(answer, end):
    play = Play(Script((AFTER_HEDGE_S, HEAD + TOKEN + DONE)), Script((0.0, answer)))
    assert play.carry() == (TOKEN + DONE, AttemptEnd.DONE)
    assert play.told == [(1, end)]


def test_hedge_outlives_the_time_of_the_first_attempt():
    play = Play(Script((LONG_S, b"")), Script((TIMEOUT_S - 0.2, HEAD + TOKEN + DONE)))
    assert play.carry() == (TOKEN + DONE, AttemptEnd.DONE)
    assert play.told == [(0, "timed_out")]


def test_only_the_last_failure_decides():
    play = Play(Script((AFTER_HEDGE_S, FULL)), Script((0.0, FULL)))
    assert play.carry() == (b"", AttemptEnd.REFUSED)
    assert play.told == [(1, "refused")]
    assert play.race.attempt.dispatch.attempt == 0


def test_caller_that_goes_away_ends_both():
    second = Script((LONG_S, b""))
    play = Play(Script((LONG_S, b"")), second)
    threading.Thread(target=lambda: second.taken.wait() and play.caller.close()).start()
    assert play.carry() == (b"", AttemptEnd.CALLER_GONE)
    assert play.told == [(1, "given_up")]
    assert play.race.attempt.dispatch.attempt == 0


def test_stream_cancelled_at_the_engine_is_never_taken_for_a_whole_one():
    """A cancel names only the request, so a late one may end the attempt that should continue."""
    play = Play(Script((0.0, HEAD + TOKEN), (0.05, CANCELLED + DONE)), None)
    assert play.carry() == (TOKEN, AttemptEnd.BROKEN)
