"""Stops of an instance while a sound server is silent for a second and the other one is full."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import pytest
from attrs import define, field

from standin.replica import Exchange, Replica
from test.helper_edge import Answer, Edge, make_configuration, make_route, play, run_edge
from test.test_edge_drain import stop

ROUTES = (
    make_route("idempotent", "/p/"),
    make_route("streaming", "/s/", Resumable=True, TargetGapMs=150),
    make_route("streaming", "/n/", Attempts=1, TargetGapMs=150),
)

HUSHED_S = 1.2
EVENTS = 40
GAP_S = 0.05
"""Time for which a server is silent, events of a stream, and the time between two of each."""

ANNOUNCE_S = 1.0
DRAIN_S = 4.0
"""Times of a stop; streams that were silent once end within them."""

SHORT_DRAIN_S = 0.6
"""Time of a drain in which no stream ends."""

SLOW_START_S = 0.6
LEFT_S = 0.4
"""Time in which a server begins a stream, and after which no other one may work on it still."""

LONG_SILENCE_S = 1.65
"""Silence that is longer than a stream stays at its server without being kept."""

SLOTS = 64
"""Slots that both servers announce; neither is full by what an instance knows."""

RETRIES = 1000.0
"""Retries of the budget, which ends no request of these tests."""

NEIGHBOUR = b"neighbour"
LATE = b"late"
LATE_S = 0.4
"""Body of the one request that the full server runs, and of one whose turn comes late behind a
silence, with the time that this takes."""

CENTRES = {"tried": "ba", "untried": "ab"}
"""Data centres of the two servers with which requests try the full one first, or the other one."""


@define
class BusyServers:
    """Two servers without a slot to spare: the first runs each request once, the other one none.

    A slot that comes free is taken by callers of other instances. The first server runs nothing
    and writes nothing unless `awake` is set.
    """

    edge: Edge
    awake: asyncio.Event = field(factory=asyncio.Event)
    admitted: set[str] = field(factory=set)

    async def reply(self, exchange: Exchange) -> None:
        """Write a stream or a plain response, or turn the request away."""
        is_first = exchange.replica is self.edge.replicas[0]
        await self.wait(exchange)
        is_new = exchange.request_id not in self.admitted
        if not is_new or is_first == (exchange.body == NEIGHBOUR):
            exchange.refuse()
            return
        self.admitted.add(exchange.request_id)
        if exchange.target.startswith("/p/"):
            await self.wait(exchange, GAP_S)
            exchange.answer(200, b"done")
            return
        exchange.begin_stream()
        for number in range(1, EVENTS + 1):
            exchange.send_event(number)
            await exchange.writer.drain()
            await self.wait(exchange, GAP_S)
        exchange.end_stream()

    async def wait(self, exchange: Exchange, after_s: float = 0.0) -> None:
        """Wait for a time, and for the end of a silence."""
        await asyncio.sleep(after_s)
        if exchange.replica is self.edge.replicas[0] and not self.awake.is_set():
            await self.awake.wait()
            await asyncio.sleep(LATE_S if exchange.body == LATE else 0.0)

    def ask(self, path: str, body: bytes = b"x") -> asyncio.Task[Answer]:
        """Send a request."""
        return asyncio.create_task(self.edge.ask(path, body))

    async def be_silent(self, after_s: float, for_s: float = HUSHED_S) -> None:
        """Let the first server be silent once, after a while."""
        await asyncio.sleep(after_s)
        self.awake.clear()
        await asyncio.sleep(for_s)
        self.awake.set()


@contextlib.asynccontextmanager
async def run_busy_servers(known: str, heard: bool) -> AsyncIterator[BusyServers]:
    """Run an instance before busy servers, of which the full one is heard all the time, or not."""
    centres = CENTRES[known]
    replicas = [
        Replica(name, data_centre=centre, slots=SLOTS)
        for name, centre in zip(("b1", "b2"), centres, strict=True)
    ]
    configuration = make_configuration(*ROUTES)
    async with run_edge(configuration, *replicas, retry_extra=RETRIES) as edge:
        servers = BusyServers(edge)
        servers.awake.set()
        for replica in replicas:
            replica.reply = servers.reply
        other = [servers.ask("/n/x", NEIGHBOUR)] if heard else []
        await asyncio.sleep(0.1)
        yield servers
        await asyncio.gather(*other)


def list_ends(answers: list[Answer]) -> list[tuple[int, bool]]:
    """List the statuses of answers, and whether they are whole."""
    return [(each.status, each.whole) for each in answers]


@pytest.mark.parametrize(
    ("silent_after_s", "known", "heard"),
    [
        (0.5, "untried", True),
        (0.5, "tried", False),
        (ANNOUNCE_S + 0.1, "untried", True),
        (ANNOUNCE_S + 0.1, "untried", False),
    ],
)
def test_stream_of_a_stop_is_not_taken_from_its_silent_server(silent_after_s, known, heard):
    """It was left to a full server after a second, and reset in the middle of its answer."""

    async def scene():
        async with run_busy_servers(known, heard) as servers:
            asked = [servers.ask("/s/x") for _ in range(3)]
            await asyncio.sleep(0.2)
            stop(servers.edge, ANNOUNCE_S, DRAIN_S)
            silence = asyncio.create_task(servers.be_silent(silent_after_s))
            await asyncio.sleep(0.2)
            asked += [servers.ask("/s/x") for _ in range(3)]
            assert list_ends(await asyncio.gather(*asked)) == [(200, True)] * len(asked)
            await silence

    play(scene)


@pytest.mark.parametrize(
    ("path", "known", "heard"),
    [
        ("/s/x", "tried", True),
        ("/s/x", "untried", False),
        ("/p/x", "tried", False),
        ("/p/x", "untried", False),
    ],
)
def test_request_of_a_stop_waits_for_the_first_bytes_of_its_silent_server(path, known, heard):
    """It was left to a full server after 0.8 s, and answered 502 though its server would run it."""

    async def scene():
        async with run_busy_servers(known, heard) as servers:
            begun = [servers.ask("/s/x") for _ in range(2)]
            await asyncio.sleep(0.2)
            stop(servers.edge, ANNOUNCE_S, DRAIN_S)
            silence = asyncio.create_task(servers.be_silent(0.3))
            await asyncio.sleep(0.35)
            asked = [*begun, *(servers.ask(path) for _ in range(2))]
            assert list_ends(await asyncio.gather(*asked)) == [(200, True)] * len(asked)
            await silence

    play(scene)


def test_stream_that_is_silent_as_a_drain_ends_is_cut_no_sooner():
    """It was left to a full server after a second, and reset before the time was up."""

    async def scene():
        async with run_busy_servers("untried", heard=True) as servers:
            asked = [servers.ask("/s/x") for _ in range(3)]
            await asyncio.sleep(0.2)
            over_at = stop(servers.edge, ANNOUNCE_S, SHORT_DRAIN_S) + SHORT_DRAIN_S
            silent_after_s = over_at - time.monotonic() - 1.25
            silence = asyncio.create_task(servers.be_silent(silent_after_s, for_s=1.35))
            await asyncio.wait(asked, return_when=asyncio.FIRST_COMPLETED)
            assert time.monotonic() >= over_at
            assert list_ends(await asyncio.gather(*asked)) == [(200, False)] * len(asked)
            await silence

    play(scene)


@pytest.mark.parametrize("path", ("/s/x", "/p/x"))
def test_request_of_a_stop_is_not_left_to_a_full_server_that_is_heard(path):
    """It was taken from its silent server after 0.8 s, and answered 502 though that went on."""

    async def scene():
        async with run_busy_servers("untried", heard=True) as servers:
            begun = [servers.ask("/s/x") for _ in range(2)]
            await asyncio.sleep(0.2)
            stop(servers.edge, ANNOUNCE_S, DRAIN_S)
            silence = asyncio.create_task(servers.be_silent(0.3))
            await asyncio.sleep(0.35)
            asked = [*begun, *(servers.ask(path) for _ in range(2))]
            assert list_ends(await asyncio.gather(*asked)) == [(200, True)] * len(asked)
            await silence

    play(scene)


def test_stream_of_a_stop_outlasts_a_silence_that_its_caller_bears():
    """It was left to a full server after 1.5 s, and reset; callers leave after two seconds."""

    async def scene():
        async with run_busy_servers("untried", heard=True) as servers:
            asked = [servers.ask("/s/x") for _ in range(3)]
            await asyncio.sleep(0.2)
            stop(servers.edge, ANNOUNCE_S, DRAIN_S)
            silence = asyncio.create_task(servers.be_silent(0.3, for_s=1.75))
            assert list_ends(await asyncio.gather(*asked)) == [(200, True)] * len(asked)
            await silence

    play(scene)


def test_stream_whose_turn_comes_late_behind_a_silence_goes_on():
    """Its server was heard on other streams by then, which was taken for a lost answer."""

    async def scene():
        async with run_busy_servers("untried", heard=True) as servers:
            asked = [servers.ask("/s/x", body) for body in (b"x", LATE, b"x")]
            await asyncio.sleep(0.2)
            stop(servers.edge, ANNOUNCE_S, DRAIN_S)
            silence = asyncio.create_task(servers.be_silent(0.3, for_s=1.3))
            assert list_ends(await asyncio.gather(*asked)) == [(200, True)] * len(asked)
            await silence

    play(scene)


def test_silent_server_is_left_soon_once_another_one_has_the_stream():
    """Its answer is kept while the other server may refuse; two may not work on a stream."""

    async def scene():
        silent: list[Exchange] = []
        taken_at: list[float] = []

        async def fall_silent(exchange: Exchange) -> None:
            exchange.begin_stream()
            exchange.send_event(1)
            silent.append(exchange)

        async def take(exchange: Exchange) -> None:
            taken_at.append(time.monotonic())
            await asyncio.sleep(SLOW_START_S)
            exchange.begin_stream()
            exchange.send_event(2)
            exchange.end_stream()

        replicas = [Replica("b1", reply=fall_silent), Replica("b2", reply=take, data_centre="b")]
        async with run_edge(make_configuration(*ROUTES), *replicas) as edge:
            asked = asyncio.create_task(edge.ask("/s/x", b"x"))
            await edge.wait_until(lambda: taken_at)
            await edge.wait_until(silent[0].writer.transport.is_closing)
            assert time.monotonic() - taken_at[0] < LEFT_S
            assert list_ends([await asked]) == [(200, True)]

    play(scene)


def test_stream_outlasts_a_second_silence():
    """It was resumed after the first one only, and reset in the second."""

    async def scene():
        begun: list[str] = []

        async def fall_silent_twice(exchange: Exchange) -> None:
            if exchange.request_id in begun:
                exchange.refuse()
                return
            begun.append(exchange.request_id)
            exchange.begin_stream()
            for number in range(1, 4):
                exchange.send_event(number)
                await asyncio.sleep(LONG_SILENCE_S if number < 3 else 0.0)
            exchange.end_stream()

        async def refuse(exchange: Exchange) -> None:
            exchange.refuse()

        replicas = [
            Replica("b1", reply=fall_silent_twice, slots=SLOTS),
            Replica("b2", reply=refuse, slots=SLOTS, data_centre="b"),
        ]
        configuration = make_configuration(*ROUTES)
        async with run_edge(configuration, *replicas, retry_extra=RETRIES) as edge:
            assert list_ends([await edge.ask("/s/x", b"x")]) == [(200, True)]

    play(scene)


@pytest.mark.parametrize("woken_after_s", (1.52, 1.54))
def test_stream_is_not_left_as_its_server_goes_on_with_another_one(woken_after_s):
    """What the server sent on another stream made its kept answer count as lost."""

    async def scene():
        awake = asyncio.Event()
        begun: list[str] = []

        async def fall_silent(exchange: Exchange) -> None:
            if exchange.body == NEIGHBOUR or exchange.request_id in begun:
                exchange.refuse()
                return
            begun.append(exchange.request_id)
            exchange.begin_stream()
            exchange.send_event(1)
            await awake.wait()
            exchange.send_event(2)
            exchange.end_stream()

        async def run_neighbour(exchange: Exchange) -> None:
            if exchange.body != NEIGHBOUR:
                exchange.refuse()
                return
            exchange.begin_stream()
            for number in range(1, EVENTS + 1):
                exchange.send_event(number)
                await asyncio.sleep(GAP_S)
            exchange.end_stream()

        replicas = [
            Replica("b1", reply=fall_silent, slots=SLOTS),
            Replica("b2", reply=run_neighbour, slots=SLOTS, data_centre="b"),
        ]
        configuration = make_configuration(*ROUTES)
        async with run_edge(configuration, *replicas, retry_extra=RETRIES) as edge:
            other = asyncio.create_task(edge.ask("/n/x", NEIGHBOUR))
            await asyncio.sleep(0.1)
            first = asyncio.create_task(edge.ask("/s/x", b"x"))
            await edge.wait_until(lambda: begun)
            begun_at = time.monotonic()
            await asyncio.sleep(0.1)
            later = asyncio.create_task(edge.ask("/s/x", b"x"))
            await edge.wait_until(lambda: len(begun) == 2)
            await asyncio.sleep(begun_at + woken_after_s - time.monotonic())
            awake.set()
            assert list_ends(await asyncio.gather(first, later)) == [(200, True)] * 2
            await other

    play(scene)


def test_lost_answer_of_a_server_that_is_heard_is_not_waited_for():
    """It was waited for until the deadline once the other server had broken off."""

    async def scene():
        async def lose_answer(exchange: Exchange) -> None:
            if exchange.body == NEIGHBOUR:
                exchange.answer(200, b"done")

        async def reset(exchange: Exchange) -> None:
            exchange.reset()

        replicas = [
            Replica("b1", reply=lose_answer, slots=SLOTS),
            Replica("b2", reply=reset, slots=SLOTS, data_centre="b"),
        ]
        configuration = make_configuration(*ROUTES)
        async with run_edge(configuration, *replicas, retry_extra=RETRIES) as edge:

            begun_at = time.monotonic()
            asked = asyncio.create_task(edge.ask("/p/x", b"x"))
            for _ in range(7):
                await asyncio.sleep(0.1)
                await edge.ask("/p/x", NEIGHBOUR)
            assert list_ends([await asked]) == [(502, True)]
            assert time.monotonic() - begun_at < 2.0

    play(scene)


def test_silent_server_is_not_left_to_another_silent_one():
    """That one was among those that were asked once more, and kept the request until it refused."""

    async def scene():
        awake = asyncio.Event()
        awake.set()
        begun: list[str] = []

        async def reply(exchange: Exchange) -> None:
            name = exchange.replica.server_id
            if exchange.target == "/n/x" and exchange.body.decode() == name:
                exchange.begin_stream()
                for number in range(1, EVENTS + 1):
                    exchange.send_event(number)
                    await asyncio.sleep(GAP_S)
                    if name != "full":
                        await awake.wait()
                exchange.end_stream()
                return
            if name != "full":
                await awake.wait()
            if exchange.target == "/n/x" or name != "first" or exchange.request_id in begun:
                exchange.refuse()
                return
            begun.append(exchange.request_id)
            exchange.answer(200, b"done")

        replicas = [
            Replica("first", reply=reply, slots=SLOTS),
            Replica("other", reply=reply, slots=SLOTS),
            Replica("full", reply=reply, slots=SLOTS, data_centre="b"),
        ]
        configuration = make_configuration(make_route("idempotent", "/p/", Attempts=3), ROUTES[2])
        async with run_edge(configuration, *replicas, retry_extra=RETRIES) as edge:
            streams = [asyncio.create_task(edge.ask("/n/x", name)) for name in (b"other", b"full")]
            await asyncio.sleep(0.3)
            awake.clear()
            asked = asyncio.create_task(edge.ask("/p/x", b"x"))
            await asyncio.sleep(1.3)
            awake.set()
            assert list_ends([await asked]) == [(200, True)]
            await asyncio.gather(*streams)

    play(scene)
