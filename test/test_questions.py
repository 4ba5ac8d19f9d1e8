"""Test calls from worker threads to the event loop, and their order among stream copies."""

import asyncio
import itertools
import socket
import threading
from types import SimpleNamespace

import pytest

from rhubarbshed.protocol.requests import Dispatch
from rhubarbshed.transport.events import Attempt, EventBuffer
from rhubarbshed.transport.loop_calls import LoopCallQueue
from rhubarbshed.transport.stream_relay import RelayedStream, StreamRelay


async def answer(value, future=None):
    if future is not None:
        await future
    if isinstance(value, Exception):
        raise value
    return value


async def count_passes(question) -> int:
    """Count the iterations of the loop until a submitted coroutine has ended."""
    outcome = LoopCallQueue(asyncio.get_running_loop()).submit(question)
    passes = 0
    while not outcome.done():
        await asyncio.sleep(0)
        passes += 1
    return passes


def test_question_that_awaits_nothing_takes_one_pass():
    assert asyncio.run(count_passes(answer(7))) == 1


@pytest.mark.parametrize("waits", [False, True])
def test_result_and_error_reach_the_asking_thread(waits):
    async def ask_both():
        loop = asyncio.get_running_loop()

        def ask(value):
            future = loop.create_future() if waits else None
            if waits:
                loop.call_soon_threadsafe(loop.call_later, 0.01, future.set_result, None)
            return LoopCallQueue(loop).submit(answer(value, future)).result(5.0)

        assert await asyncio.to_thread(ask, 7) == 7
        with pytest.raises(ValueError, match="wrong"):
            await asyncio.to_thread(ask, ValueError("wrong"))

    asyncio.run(ask_both())


def test_error_of_what_is_awaited_can_be_caught_by_the_question():
    async def catch(future):
        try:
            await future
        except ValueError:
            await asyncio.sleep(0)
            return "caught"

    async def fail():
        future = asyncio.get_running_loop().create_future()
        outcome = LoopCallQueue(asyncio.get_running_loop()).submit(catch(future))
        asyncio.get_running_loop().call_later(0.01, future.set_exception, ValueError())
        return await asyncio.wrap_future(outcome)

    assert asyncio.run(fail()) == "caught"


def test_question_is_cancelled_with_its_loop():
    asked = threading.Event()
    outcomes = []

    async def ask():
        loop = asyncio.get_running_loop()
        outcomes.append(LoopCallQueue(loop).submit(answer(7, loop.create_future())))
        loop.call_soon(asked.set)
        await asyncio.sleep(0.01)

    asyncio.run(ask())
    assert asked.is_set() and outcomes[0].cancelled()


def test_question_goes_before_the_rest_of_a_pass():
    async def ask_behind_copies():
        loop_calls = LoopCallQueue(asyncio.get_running_loop())
        answered_at = []

        def copy(number):
            loop_calls.run_next()
            answered_at.append(outcome.done())

        for number in range(3):
            loop_calls.loop.call_soon(copy, number)
        outcome = loop_calls.submit(answer(7))
        await asyncio.sleep(0)
        return answered_at

    assert asyncio.run(ask_behind_copies()) == [True, True, True]


def test_questions_are_answered_once_and_in_their_order():
    begun = []

    async def note(number):
        begun.append(number)

    async def ask_three():
        loop_calls = LoopCallQueue(asyncio.get_running_loop())
        outcomes = [loop_calls.submit(note(number)) for number in range(3)]
        loop_calls.run_next()
        await asyncio.gather(*(asyncio.wrap_future(outcome) for outcome in outcomes))

    asyncio.run(ask_three())
    assert begun == [0, 1, 2]


def make_flow(source: socket.socket, read) -> RelayedStream:
    dispatch = Dispatch("r1", 0, "b0", "127.0.0.1", 1, 5.0, 5.0)
    response = SimpleNamespace(read1=read)
    return RelayedStream(response, source, Attempt.from_dispatch(dispatch), EventBuffer(), None)


def test_question_goes_before_the_next_stream_that_is_due():
    """Both streams have bytes in one iteration; a call is submitted during the first copy."""
    outcomes = []
    seen = []

    async def copy_two():
        loop_calls = LoopCallQueue(asyncio.get_running_loop())
        stream_relay = StreamRelay(loop_calls.loop, loop_calls)

        def read(_):
            seen.append(bool(outcomes) and outcomes[0].done())
            if not outcomes:
                outcomes.append(loop_calls.submit(answer(7)))
            return b""

        pairs = [socket.socketpair() for _ in range(2)]
        carried = [
            asyncio.create_task(asyncio.to_thread(stream_relay.relay, make_flow(own, read)))
            for own, _ in pairs
        ]
        while len(stream_relay.streams) < len(pairs):
            await asyncio.sleep(0.001)
        for _, far in pairs:
            far.send(b"x")
        await asyncio.gather(*carried)
        for sock in itertools.chain(*pairs):
            sock.close()

    asyncio.run(copy_two())
    assert seen == [False, True]
