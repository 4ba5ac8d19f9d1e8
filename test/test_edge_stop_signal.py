"""Stops by SIGTERM of an instance that runs as a process, at the platform's times."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest
from attrs import define, field, frozen

from rhubarbshed.util.front import FrontSettings
from standin.replica import Exchange, Replica, Reply
from standin.rows import RowStore
from test.helper_edge import (
    SETTINGS_TEXT,
    WAIT_S,
    make_configuration,
    make_settings,
    play,
    read_answer,
)
from test.test_edge_drain import ROUTES, make_request

EXCUSED_S = 3.0
"""Time after SIGTERM up to which a request was sent that may be cut off at the grace time's end."""

GRACE_S = 8.0
STARTS = 8
START_S = 0.8
"""Starts in a test, and the time from the first step of one until it is certainly through."""

BUSY_AT_START = """
import time
from rhubarbshed import front
from rhubarbshed.transport.edge.node import Node
real = Node.listen
async def listen(self):
    await real(self)
    print("listening", flush=True)
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        pass
Node.listen = listen
front.main()
"""
"""Program of an instance that is busy for a second as it begins to listen."""

SIGNAL_STORM = """
import signal, sys
from rhubarbshed import front
from rhubarbshed.transport.edge.node import Node
real = Node.listen
async def listen(self):
    await real(self)
    # The interpreter reports each signal of which it could not tell the loop.
    sys.stderr = None
    for number in [signal.SIGHUP] * 1000 + [signal.SIGTERM]:
        signal.raise_signal(number)
Node.listen = listen
front.main()
"""
"""Program of an instance that gets 1,000 signals before its stop, in one pass of its loop."""

EVENT_INTERVAL_S = 0.05


BROKEN_DRAIN = """
from rhubarbshed.transport.edge import node
from rhubarbshed import front
def fail(*_):
    raise RuntimeError("a broken invariant")
node.Node.{} = fail
front.main()
"""
"""Program of an instance with a step of its drain that fails."""


@frozen
class Outcome:
    """End of a request of the stop: its last status, and when it ended after SIGTERM."""

    name: str
    status: int
    whole: bool
    ended_s: float


@define(eq=False)
class Front:
    """Instance in a process of its own, with stand-ins of the store and of a server."""

    settings: FrontSettings
    replica: Replica
    process: asyncio.subprocess.Process
    stopped_at: float = 0.0
    outcomes: list[Outcome] = field(factory=list)
    writers: list[asyncio.StreamWriter] = field(factory=list)

    def stop(self) -> None:
        """Send SIGTERM."""
        self.stopped_at = time.monotonic()
        self.process.send_signal(signal.SIGTERM)

    async def wait_until(self, after_s: float) -> None:
        """Wait until a time after SIGTERM."""
        await asyncio.sleep(max(0.0, self.stopped_at + after_s - time.monotonic()))

    async def ask(
        self, path: str, name: str, link: tuple | None = None, rest: bytes = b""
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request, on a new connection without a `link`; record and return its end."""
        reader, writer = link or await asyncio.open_connection(*self.settings.callers)
        self.writers.append(writer)
        writer.write(rest or make_request(path, name=name))
        answer = await asyncio.wait_for(read_answer(reader), 20.0)
        ended_s = time.monotonic() - self.stopped_at
        self.outcomes.append(Outcome(name, answer.status, answer.whole, round(ended_s, 3)))
        return reader, writer

    def list_accepted(self, *prefixes: str) -> list[Outcome]:
        """List the ends of requests by the beginning of their names that reached a server."""
        got = {each.request_id for each in self.replica.got}
        return [
            each for each in self.outcomes if each.name.startswith(prefixes) and each.name in got
        ]


async def stream(exchange: Exchange) -> None:
    """Send events for as many seconds as the path says."""
    until = time.monotonic() + float(exchange.target.removeprefix("/s/"))
    exchange.begin_stream()
    number = 0
    while time.monotonic() < until:
        exchange.send_event(number)
        number += 1
        await asyncio.sleep(EVENT_INTERVAL_S)
    exchange.send_event(number)
    exchange.end_stream()


@contextlib.asynccontextmanager
async def run_front(
    folder: Path,
    code: str = "",
    until: str = "event=server_came",
    reply: Reply = stream,
    prepare: Callable[[FrontSettings], None] = lambda settings: None,
) -> AsyncIterator[Front]:
    """Run an instance until the block ends; the block starts as `until` is in its log.

    The process runs `code` in place of the daemon's module, if given, once `prepare` has returned.
    """
    store, replica = RowStore(), Replica("b1", slots=100, reply=reply)
    await store.start()
    await replica.start()
    store.put("op", "config", make_configuration(*ROUTES))
    store.put("servers", replica.server_id, replica.describe())
    settings = make_settings(store.address, host="127.0.0.1")
    ports = (settings.callers[1], settings.ready[1], settings.peers_port, settings.metrics_port)
    names = ("callers", "ready", "peers", "metrics")
    path = folder / "node.ini"
    path.write_text(
        SETTINGS_TEXT.format(
            name="i1",
            data_centre="a",
            level="info",
            store=store.address[1],
            **dict(zip(names, ports, strict=True)),
        )
    )
    settings = FrontSettings.from_file(str(path)).unwrap()
    prepare(settings)
    with (folder / "log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(("-c", code) if code else ("-m", "rhubarbshed.front")),
            env={**os.environ, "RHUBARBSHED_SETTINGS": str(path)},
            # The working directory would precede PYTHONPATH.
            cwd=folder,
            stdout=log,
        )
    front = Front(settings, replica, process)
    try:
        await wait_for(lambda: until in (folder / "log").read_text())
        yield front
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        for writer in front.writers:
            writer.transport.abort()
        await replica.stop()
        await store.stop()


async def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    until = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < until, "the condition did not hold in time"
        await asyncio.sleep(0.02)


def test_stream_sent_3_s_after_sigterm_does_not_run(tmp_path):
    """It was accepted on a kept connection, and cut off at the end of the grace time."""
    sent_s = (3.003, 3.01, 3.03, 3.03)

    async def scene():
        async with run_front(tmp_path) as front:
            kept = [await front.ask("/s/0", "before") for _ in sent_s]
            busy = [
                asyncio.create_task(front.ask(f"/s/{each + 0.18}", "during")) for each in sent_s
            ]
            await asyncio.sleep(0.2)
            front.stop()

            async def ask_at(after_s: float, name: str, link: object) -> None:
                link = await link if isinstance(link, asyncio.Task) else link
                await front.wait_until(after_s)
                with contextlib.suppress(OSError):
                    await front.ask("/s/20", f"{name} {after_s}", link)

            await asyncio.gather(
                *(ask_at(each, "kept", link) for each, link in zip(sent_s, kept, strict=True)),
                *(ask_at(each, "busy", link) for each, link in zip(sent_s, busy, strict=True)),
                *(ask_at(each, "new", None) for each in sent_s),
            )
            assert await asyncio.wait_for(front.process.wait(), GRACE_S) == 0
            assert front.list_accepted("kept", "busy", "new") == []

    play(scene)


def test_request_3_s_after_a_sigterm_during_the_start_does_not_run(tmp_path):
    """The drain began with the end of the start, so its announcement was late by as much."""

    async def scene():
        async with run_front(tmp_path, BUSY_AT_START, "listening") as front:
            link = await asyncio.open_connection(*front.settings.callers)
            front.stop()
            await front.wait_until(1.5)
            # It keeps the instance from ending before.
            busy = asyncio.create_task(front.ask("/s/2", "early"))
            await front.wait_until(EXCUSED_S + 0.03)
            with contextlib.suppress(OSError):
                await front.ask("/s/20", "kept", link)
            await busy
            assert await asyncio.wait_for(front.process.wait(), GRACE_S) == 0
            assert [each.whole for each in front.list_accepted("early")] == [True]
            assert front.list_accepted("kept") == []

    play(scene)


def test_stop_behind_a_storm_of_signals_is_carried_out(tmp_path):
    """The loop was not told of it: the instance refused all, and ran until it was killed."""

    async def scene():
        async with run_front(tmp_path, SIGNAL_STORM, "event=started") as front:
            assert await asyncio.wait_for(front.process.wait(), GRACE_S) == 0

    play(scene)


@pytest.mark.parametrize("step", ["find_phase", "close_idle"])
def test_defect_in_a_drain_ends_no_caller_without_an_answer(tmp_path, step):
    """All connections were closed with what had been read on them."""

    async def scene():
        async with run_front(tmp_path, BROKEN_DRAIN.format(step), reply=hold) as front:
            asked = [asyncio.create_task(front.ask("/s/20", f"q{each}")) for each in range(4)]
            await wait_for(lambda: len(front.replica.got) == len(asked))
            front.stop()
            await asyncio.gather(*asked)
            assert [(each.status, each.whole) for each in front.outcomes] == [(504, True)] * 4
            while front.process.returncode is None:
                # A connection is refused once the listener is closed.
                with contextlib.suppress(ConnectionRefusedError):
                    await front.ask("/s/0", "late")
            assert front.process.returncode == 1
            assert {each.status for each in front.outcomes[4:]} <= {503}
            assert (tmp_path / "log").read_text().count("event=defect") == 1

    async def hold(exchange: Exchange) -> None:
        await asyncio.sleep(20)

    play(scene)


def test_sigterm_at_any_time_of_the_start_loses_no_request(tmp_path):
    async def scene(number: int):
        folder = tmp_path / str(number)
        folder.mkdir()
        async with run_front(folder, until="") as front:
            await asyncio.sleep(START_S * number / STARTS)
            front.stop()
            # The interpreter ends at once before it handles the signal.
            while front.process.returncode is None:
                name = f"q{len(front.outcomes)}"
                with contextlib.suppress(OSError):
                    await front.ask("/s/0.05", name)
                await asyncio.sleep(0.02)
            assert front.process.returncode in (0, -signal.SIGTERM)
            assert time.monotonic() < front.stopped_at + GRACE_S
            assert all(each.whole for each in front.list_accepted("q"))

    async def scenes():
        await asyncio.gather(*(scene(number) for number in range(STARTS)))

    play(scenes)
