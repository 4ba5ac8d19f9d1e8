"""Datagrams that wait at an instance whose event loop has much to do."""

import asyncio
import socket
from collections.abc import Callable

from rhubarbshed.protocol.messages import DemandMessage, pack_message
from rhubarbshed.transport.edge.datagrams import Datagrams
from test.helper_edge import make_host, play

WAITING = 150
PASSES = 10
DATA = pack_message(DemandMessage("i1", "a"))


async def start_receiver(handle: Callable[[], None]) -> tuple[Datagrams, socket.socket]:
    """Return an endpoint, and a socket that is connected to it."""
    receiver = Datagrams(lambda read, address: handle())
    await receiver.listen((make_host(1), 0))
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect(receiver._transport.get_extra_info("sockname"))
    return receiver, sender


async def pass_loop(count: int) -> None:
    """Let the event loop make some passes."""
    for _ in range(count):
        await asyncio.sleep(0)


def test_waiting_datagrams_are_read_in_a_few_passes_of_the_loop():
    """A message of an order holder came seconds late behind questions of other instances."""

    async def scene():
        receiver, sender = await start_receiver(lambda: handled.append(1))
        for _ in range(WAITING):
            sender.send(DATA)
        await pass_loop(PASSES)
        assert len(handled) == WAITING
        sender.close()
        receiver.close()

    handled: list[int] = []
    play(scene)


def test_datagrams_without_end_leave_the_loop_to_others():
    async def scene():
        def answer_with_another() -> None:
            handled.append(1)
            sender.send(DATA)

        receiver, sender = await start_receiver(answer_with_another)
        sender.send(DATA)
        await asyncio.wait_for(pass_loop(PASSES), 1.0)
        assert PASSES / 2 < len(handled) < PASSES * WAITING
        receiver.close()
        await pass_loop(2)
        sender.close()

    handled: list[int] = []
    play(scene)


def test_nothing_is_handled_behind_the_close_of_the_endpoint():
    async def scene():
        def close() -> None:
            handled.append(1)
            receiver.close()

        receiver, sender = await start_receiver(close)
        for _ in range(WAITING):
            sender.send(DATA)
        await pass_loop(PASSES)
        assert len(handled) == 1
        sender.close()

    handled: list[int] = []
    play(scene)
