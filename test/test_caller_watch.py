"""Test that a worker thread sees the end of its caller's connection, over scripted servers."""

import asyncio
import contextlib
import socket
import threading
import time
from types import SimpleNamespace

import pytest
from attrs import evolve

from rhubarbshed.protocol.calls import Call
from rhubarbshed.protocol.requests import AttemptEnd, Request
from rhubarbshed.transport.connections import ConnectionPool
from rhubarbshed.transport.events import Attempt, EventBuffer
from rhubarbshed.transport.loop_calls import LoopCallQueue
from rhubarbshed.transport.stream_relay import RelayedStream, StreamRelay
from rhubarbshed.transport.upstream import UpstreamClient
from test.test_races import BODY, HEDGE_AFTER_S, LONG_S, TIMEOUT_S, Play, Script, make_dispatch

WORK_END_MAX_S = 0.5
"""Longest time that work may go on after its caller has disconnected."""

NEXT_REQUEST = b"POST /v1/x HTTP/1.1\r\n"


def leave_later(caller: socket.socket, after_s: float = 0.1) -> None:
    """Close a caller's connection from another thread."""
    threading.Timer(after_s, caller.close).start()


def fetch(play: Play) -> AttemptEnd:
    """Send an idempotent call and return how its attempt ended."""
    call = Call(Request("r1", "c1", "service:s", 0.0, 60.0, service="s"), "GET", "/x", BODY)
    client = UpstreamClient(ConnectionPool(60.0), None, "a1", 65536)
    return client.fetch(play.race.attempt, call, play.line)


def make_play(hedge_after_s: float) -> Play:
    """Return a play whose only server never answers."""
    play = Play(Script((LONG_S, b"")), None)
    dispatch = evolve(make_dispatch(0, Script((LONG_S, b""))), hedge_after_s=hedge_after_s)
    play.race.attempt = Attempt.from_dispatch(dispatch)
    return play


@pytest.mark.parametrize("streamed", [False, True], ids=["answer", "stream"])
def test_caller_that_leaves_after_sending_more_ends_the_attempt(streamed):
    """Its end is behind bytes that nobody reads while it waits."""
    play = make_play(HEDGE_AFTER_S)
    play.caller.sendall(NEXT_REQUEST)
    leave_later(play.caller)
    started = time.monotonic()
    end = play.carry()[1] if streamed else fetch(play)
    assert end is AttemptEnd.CALLER_GONE
    assert time.monotonic() - started < WORK_END_MAX_S < TIMEOUT_S


def test_caller_that_leaves_ends_a_stream_that_is_not_hedged():
    """Without a hedge to start, nothing else wakes the worker before the first token."""
    play = make_play(hedge_after_s=0.0)
    leave_later(play.caller)
    started = time.monotonic()
    assert play.carry()[1] is AttemptEnd.CALLER_GONE
    assert time.monotonic() - started < WORK_END_MAX_S


@pytest.mark.parametrize("streamed", [False, True], ids=["answer", "stream"])
def test_attempt_of_a_caller_that_has_left_is_not_sent(streamed):
    """A request may have waited for long before its attempt, or follow a failed one."""
    play = Play(Script((LONG_S, b"")), None)
    server = Script((LONG_S, b""))
    play.race.attempt = Attempt.from_dispatch(make_dispatch(0, server))
    play.caller.close()
    end = play.carry()[1] if streamed else fetch(play)
    assert end is AttemptEnd.CALLER_GONE
    assert not server.taken.wait(0.2)


def test_stalled_stream_ends_when_its_caller_leaves():
    """The relay writes to the caller only when a token comes."""

    async def scene():
        loop = asyncio.get_running_loop()
        stream_relay = StreamRelay(loop, LoopCallQueue(loop))
        source, server = socket.socketpair()
        play = Play(Script((LONG_S, b"")), None)
        attempt = play.race.attempt
        relayed = RelayedStream(SimpleNamespace(), source, attempt, EventBuffer(), play.line)
        waiting = asyncio.create_task(asyncio.to_thread(stream_relay.relay, relayed))
        while not stream_relay.streams:
            await asyncio.sleep(0.01)
        stream_relay.sweep(time.monotonic())
        assert relayed.end is None and stream_relay.streams
        play.caller.close()
        stream_relay.sweep(time.monotonic())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(waiting), WORK_END_MAX_S)
        end = relayed.end
        stream_relay.stop()
        await waiting
        server.close()
        assert end is AttemptEnd.CALLER_GONE

    asyncio.run(scene())
