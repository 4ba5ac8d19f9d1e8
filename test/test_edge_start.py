"""Starts of an instance that runs as a process: signals during them, and starts that fail."""

import asyncio
import os
import re
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from rhubarbshed.util.front import FrontSettings
from test.helper_edge import WAIT_S, find_port, play, read_answer
from test.test_edge_drain import make_request
from test.test_edge_stop_signal import GRACE_S, Front, run_front, wait_for

CALLERS = 4
STARTS = 8
START_S = 0.4
"""Starts in a test, and the time from the first step of one in which a signal comes."""

SLOW_START = """
import time
from rhubarbshed.transport import early_listener
real = early_listener.open_listener
def open_listener(*args):
    opened = real(*args)
    print("opened", flush=True)
    time.sleep(0.5)
    return opened
early_listener.open_listener = open_listener
from rhubarbshed import front
front.main()
"""
"""Program of an instance that takes half a second more once its callers can connect."""

BROKEN_START = """
import time
from rhubarbshed.transport.edge import node
from rhubarbshed import front
def from_settings(*args):
    time.sleep(0.3)
    raise RuntimeError("a broken invariant")
node.Node.from_settings = from_settings
front.main()
"""
"""Program of an instance that cannot be created, 0.3 s after its callers can connect."""

BROKEN_RUN = """
import time
from rhubarbshed.transport.edge import node
from rhubarbshed import front
async def run(self):
    self.handle_signals()
    time.sleep(0.3)
    raise RuntimeError("a broken invariant")
node.Node.run = run
front.main()
"""
"""Program of an instance that fails in its event loop, 0.3 s after its callers can connect."""

STOPPED_START = """
import os, signal, time
from rhubarbshed import front
class SlowEnd:
    def __del__(self, write=os.write, sleep=time.sleep):
        write(1, b"ending")
        sleep(0.3)
slow_end, note = SlowEnd(), front.note_signals
front.note_signals = lambda: (note(), signal.raise_signal(signal.SIGTERM))[0]
front.main()
"""
"""Program of an instance that is stopped at its first step, and takes 0.3 s more to end."""

SLOW_LOAD = """
import time
from rhubarbshed.transport import startup
real = startup.run_node
startup.run_node = lambda *args: (time.sleep(1.0), real(*args))[1]
from rhubarbshed import front
front.main()
"""
"""Program of an instance that loads the rest of itself for a second more."""

SLOW_ACCEPTS = """
import time
from rhubarbshed import front
from rhubarbshed.transport.edge.node import Node
real = Node.listen
async def listen(self):
    await real(self)
    print("listening", flush=True)
    time.sleep(0.7)
Node.listen = listen
front.main()
"""
"""Program of an instance that accepts nothing for 0.7 s once it listens."""

SLOW_END = """
import atexit, time
from rhubarbshed import front
atexit.register(lambda: (print("ending", flush=True), time.sleep(0.3)))
front.main()
"""
"""Program of an instance that takes 0.3 s more to end."""

CLOSED_STREAMS = """
import os
os.closerange(0, 3)
from rhubarbshed import front
front.main()
"""
"""Program of an instance without standard streams."""


async def ask(front: Front, name: str, path: str = "/s/0.05", left_ms: int = 15_000) -> int | None:
    """Return the status of a whole answer, 0 without one, or None if nobody listens."""
    try:
        reader, writer = await asyncio.open_connection(*front.settings.callers)
    except OSError:
        return None
    front.writers.append(writer)
    writer.write(make_request(path, name=name).replace(b": 15000", f": {left_ms}".encode()))
    try:
        answer = await asyncio.wait_for(read_answer(reader), WAIT_S)
    except OSError:
        return 0
    return answer.status if answer.whole else 0


async def ask_repeatedly(front: Front) -> list[int | None]:
    """Ask every few milliseconds until the process has ended; return what `ask` returned."""
    got = []
    while front.process.returncode is None:
        got.append(await ask(front, f"q{len(got)}"))
        await asyncio.sleep(0.005)
    return got


def catches(process: int, number: signal.Signals) -> bool:
    """Return whether a process has a handler for a signal."""
    status = Path(f"/proc/{process}/status").read_text()
    (line,) = [each for each in status.splitlines() if each.startswith("SigCgt:")]
    return bool(int(line.split()[1], 16) >> (number - 1) & 1)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_signal_during_the_start_ends_no_caller_without_an_answer(tmp_path, number):
    """The process ended by the signal, as its handlers were set after its callers' socket."""

    async def scene():
        async with run_front(tmp_path, SLOW_START, "opened") as front:
            asked = [asyncio.create_task(ask(front, f"q{each}")) for each in range(CALLERS)]
            await asyncio.sleep(0.1)
            signalled_at = time.monotonic()
            front.process.send_signal(number)
            got = await asyncio.gather(*asked)
            if number == signal.SIGHUP:
                assert got == [200] * CALLERS
                assert await ask(front, "later") == 200
                front.process.terminate()
            # An instance that stops before it has read the store refuses.
            assert set(got) <= {200, 503}, got
            assert await asyncio.wait_for(front.process.wait(), GRACE_S) == 0
            assert time.monotonic() < signalled_at + GRACE_S
            (late_ms,) = re.findall(r"late_ms=(\d+)", (tmp_path / "log").read_text())
            assert number == signal.SIGHUP or int(late_ms) >= 300, "counted from the loop's start"

    play(scene)


def test_settings_that_change_during_the_start_are_read_at_its_end(tmp_path):
    async def scene():
        async with run_front(tmp_path, SLOW_START, "opened") as front:
            path = tmp_path / "node.ini"
            path.write_text(path.read_text().replace("level = info", "level = debug"))
            front.process.send_signal(signal.SIGHUP)
            await wait_for(lambda: "event=started" in (tmp_path / "log").read_text())
            assert "event=reloaded" in (tmp_path / "log").read_text()

    play(scene)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signal_at_any_time_of_the_start_ends_no_caller_without_an_answer(tmp_path, number):
    """Also in the time between the first handlers and those of the event loop."""

    async def scene(step: int):
        folder = tmp_path / str(step)
        folder.mkdir()
        async with run_front(folder, until="") as front:
            await wait_for(lambda: catches(front.process.pid, number))
            asking = asyncio.create_task(ask_repeatedly(front))
            await asyncio.sleep(START_S * step / STARTS)
            front.process.send_signal(number)
            if number == signal.SIGHUP:
                await wait_for(lambda: "event=started" in (folder / "log").read_text())
                assert await ask(front, "later") == 200
                front.process.terminate()
            assert await asyncio.wait_for(front.process.wait(), GRACE_S) == 0
            assert 0 not in await asking

    async def scenes():
        await asyncio.gather(*(scene(step) for step in range(STARTS)))

    play(scenes)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_signal_behind_the_event_loop_is_no_other_end(tmp_path, number):
    """The exit code was that of the signal, as the closed loop had restored its default action."""

    async def scene():
        async with run_front(tmp_path, SLOW_END) as front:
            front.stop()
            await wait_for(lambda: "ending" in (tmp_path / "log").read_text())
            front.process.send_signal(number)
            assert await asyncio.wait_for(front.process.wait(), GRACE_S) == 0

    play(scene)


def test_second_signal_to_a_stopped_start_is_no_other_end(tmp_path):
    """The exit code was the signal's: the interpreter's end had restored its default action."""

    async def scene():
        async with run_front(tmp_path, STOPPED_START, "ending") as front:
            front.stop()
            assert await asyncio.wait_for(front.process.wait(), WAIT_S) == 0
            assert "event=listening" not in (tmp_path / "log").read_text()

    play(scene)


def test_signal_to_a_failed_start_is_no_other_end(tmp_path):
    """It ended the process beside its last refusals: the closed loop had restored defaults."""

    async def scene():
        async with run_front(tmp_path, BROKEN_RUN, "event=listening") as front:
            asked = [asyncio.create_task(ask(front, f"q{each}")) for each in range(CALLERS)]
            await wait_for(lambda: "event=waiting_refused" in (tmp_path / "log").read_text())
            front.stop()
            assert await asyncio.gather(*asked) == [503] * CALLERS
            assert await asyncio.wait_for(front.process.wait(), WAIT_S) == 1

    play(scene)


@pytest.mark.parametrize(
    ("find_port", "kind"),
    [
        (lambda settings: settings.ready[1], socket.SOCK_STREAM),
        (lambda settings: settings.metrics_port, socket.SOCK_STREAM),
        (lambda settings: settings.peers_port, socket.SOCK_STREAM),
        (lambda settings: settings.peers_port, socket.SOCK_DGRAM),
    ],
    ids=["ready", "metrics", "peers", "datagrams"],
)
def test_caller_of_a_start_that_fails_by_a_port_in_use_is_not_reset(
    tmp_path, find_port: Callable, kind: socket.SocketKind
):
    """It had connected, and sent a whole request, before the port was tried."""

    async def scene():
        async with run_front(tmp_path, until="", prepare=occupy) as front:
            assert 0 not in await ask_repeatedly(front)
            assert front.process.returncode == 1
            log = (tmp_path / "log").read_text()
            assert "event=start_failed" in log and "Traceback" not in log

    def occupy(settings: FrontSettings) -> None:
        # Another process may have had the port for a connection of its own.
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, kind == socket.SOCK_STREAM)
        taken.bind((settings.host, find_port(settings)))
        if kind == socket.SOCK_STREAM:
            taken.listen()

    with socket.socket(type=kind) as taken:
        play(scene)


def test_reload_during_the_start_moves_no_port(tmp_path):
    """Ports that were not open yet were opened at the changed addresses, which nobody was told."""

    async def scene():
        async with run_front(tmp_path, SLOW_LOAD, "event=listening") as front:
            path, moved = tmp_path / "node.ini", f"127.0.0.1:{find_port()}"
            text = path.read_text().replace(":".join(map(str, front.settings.ready)), moved)
            path.write_text(text.replace("level = info", "level = debug"))
            front.process.send_signal(signal.SIGHUP)
            assert await ask(front, "q") == 200
            _, writer = await asyncio.open_connection(*front.settings.ready)
            front.writers.append(writer)
            assert "ignored=ready" in (tmp_path / "log").read_text()

    play(scene)


def test_time_in_the_kernel_counts_for_a_caller_that_is_accepted_late(tmp_path):
    """A server was handed the time that had passed if accepting began 0.2 s after listening."""

    async def scene():
        async with run_front(tmp_path, SLOW_ACCEPTS, "event=listening") as front:
            asked_at = time.monotonic()
            assert await ask(front, "q") == 200
            (got,) = front.replica.got
            left_s = float(got.headers["rhubarbshed-deadline-remaining"]) / 1000
            assert left_s < 15.0 - 0.5
            assert left_s > 15.0 - (time.monotonic() - asked_at) - 0.2

    play(scene)


def test_caller_whom_a_slow_start_took_much_time_is_served_all_the_same(tmp_path):
    """It was refused unasked, as a quarter of its time was over before the store could be read."""

    async def scene():
        async with run_front(tmp_path, SLOW_LOAD, "event=listening") as front:
            assert await ask(front, "q", left_ms=3000) == 200

    play(scene)


def test_caller_of_a_start_that_fails_by_a_defect_is_refused(tmp_path):
    async def scene():
        async with run_front(tmp_path, BROKEN_START, "event=listening") as front:
            asked = [asyncio.create_task(ask(front, f"q{each}")) for each in range(CALLERS)]
            assert await asyncio.gather(*asked) == [503] * CALLERS
            assert await asyncio.wait_for(front.process.wait(), WAIT_S) == 1
            assert "event=defect" in (tmp_path / "log").read_text()

    play(scene)


def test_instance_without_standard_streams_starts(tmp_path):
    """It ended as its log could not be opened; sockets of callers may get the streams' numbers."""

    async def scene():
        async with run_front(tmp_path, CLOSED_STREAMS, until="") as front:
            while (status := await ask(front, "q")) is None:
                assert front.process.returncode is None
                await asyncio.sleep(0.02)
            assert status == 200
            streams = [os.readlink(f"/proc/{front.process.pid}/fd/{each}") for each in range(3)]
            assert streams == [os.devnull] * 3

    play(scene)
