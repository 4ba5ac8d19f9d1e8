"""Settings, logs, metrics and the command of the front, tested from outside."""

import asyncio
import logging
import os
import re
import signal
import subprocess
import sys
import time
from datetime import UTC, datetime
from pathlib import Path

import pytest
from returns.result import Failure

from rhubarbshed.coordination.serving.refusals import NOT_READY_RETRY_S
from rhubarbshed.coordination.serving.start_wait import (
    START_WAIT_MAX_S,
    estimate_first_read,
    measure_start_wait,
)
from rhubarbshed.util.bounded_logs import LINES_BURST, LINES_PER_S, BoundedHandler
from rhubarbshed.util.front import FrontSettings
from rhubarbshed.util.logs import log_event
from standin.replica import Replica
from standin.rows import RowStore
from test.helper_edge import (
    HOST,
    SETTINGS_TEXT,
    WAIT_S,
    make_configuration,
    make_route,
    make_settings,
    play,
    run_edge,
)


def make_text(store_port: int) -> str:
    settings = make_settings(("127.0.0.1", store_port))
    return SETTINGS_TEXT.format(
        name="i1",
        data_centre="a",
        level="info",
        callers=settings.callers[1],
        ready=settings.ready[1],
        peers=settings.peers_port,
        metrics=settings.metrics_port,
        store=store_port,
    )


def test_all_that_is_wrong_with_settings_is_told(tmp_path):
    path = tmp_path / "node.ini"
    text = make_text(1).replace("name = i1", "").replace("grace_s = 8", "grace_s = soon")
    path.write_text(text.replace("store = 127.0.0.1:1", "store = nowhere"))
    read = FrontSettings.from_file(str(path))
    assert isinstance(read, Failure)
    told = " ".join(read.failure())
    for word in ("[instance] name is missing", "grace_s is no number", "store is no address"):
        assert word in told


def test_first_start_of_the_system_is_read_and_optional(tmp_path):
    path = tmp_path / "node.ini"
    for line, expected in (
        ("", False),
        ("first_start = true", True),
        ("first_start = false", False),
        ("first_start =", False),
    ):
        path.write_text(make_text(1).replace("host = ", f"{line}\nhost = ", 1))
        assert FrontSettings.from_file(str(path)).unwrap().first_start is expected, line
    path.write_text(make_text(1).replace("host = ", "first_start = soon\nhost = ", 1))
    (told,) = FrontSettings.from_file(str(path)).failure()
    assert "first_start is neither true nor false" in told
    template = (Path(__file__).parent.parent / "deploy" / "settings.ini").read_text()
    assert "first_start = {{Bootstrap}}" in template


def test_heartbeat_of_servers_is_read_and_optional(tmp_path):
    path = tmp_path / "node.ini"
    for line, expected in (("", 1.2), ("heartbeat_ms = 900", 0.9), ("heartbeat_ms =", 1.2)):
        path.write_text(make_text(1).replace("drain_ms = ", f"{line}\ndrain_ms = ", 1))
        assert FrontSettings.from_file(str(path)).unwrap().heartbeat_s == expected, line
    for value, told in (("soon", "is no number"), ("0", "is not positive"), ("-1", "not positive")):
        text = make_text(1).replace("drain_ms = ", f"heartbeat_ms = {value}\ndrain_ms = ", 1)
        path.write_text(text)
        assert told in FrontSettings.from_file(str(path)).failure()[0], value


def test_missing_settings_end_the_daemon_with_one_line_and_code_2():
    environment = {**os.environ, "RHUBARBSHED_SETTINGS": "/nowhere.ini"}
    done = subprocess.run(
        [sys.executable, "-m", "rhubarbshed.front"], env=environment, capture_output=True, text=True
    )
    assert done.returncode == 2
    assert len(done.stderr.strip().splitlines()) == 1 and "/nowhere.ini" in done.stderr


def test_daemon_serves_takes_new_settings_and_ends_with_0(tmp_path):
    async def scene():
        async with run_edge(make_configuration(make_route()), Replica("b1")) as edge:
            path = tmp_path / "node.ini"
            path.write_text(make_text(edge.store.address[1]))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rhubarbshed.front",
                env={**os.environ, "RHUBARBSHED_SETTINGS": str(path)},
                stdout=asyncio.subprocess.PIPE,
            )
            lines: list[str] = []

            async def read_until(word: str) -> None:
                while not lines or word not in lines[-1]:
                    line = await asyncio.wait_for(process.stdout.readline(), 8.0)
                    assert line, lines
                    lines.append(line.decode())

            await read_until("event=server_came")
            path.write_text(path.read_text().replace("level = info", "level = debug"))
            await read_until("event=reloaded")
            path.write_text(path.read_text().replace("level = debug", "level = info"))
            process.send_signal(signal.SIGHUP)
            await read_until("event=reloaded")
            process.send_signal(signal.SIGTERM)
            await read_until("event=drain_started")
            assert await asyncio.wait_for(process.wait(), 9.0) == 0

    play(scene)


def test_request_that_comes_as_an_instance_starts_waits_for_its_first_read_of_the_store():
    """After a loss of power to all instances callers were refused until the store was read."""

    async def scene():
        async with run_edge(None) as edge:
            replica = Replica("b1")
            await replica.start()
            asked = asyncio.create_task(edge.ask())
            await asyncio.sleep(0.1)
            edge.store.put("servers", "b1", replica.describe())
            edge.store.put("op", "config", make_configuration(make_route()))
            assert (await asked).status == 200
            await replica.stop()

    play(scene)


def test_request_at_an_instance_that_cannot_read_the_store_is_refused_at_once_after_the_start():
    async def scene():
        async with run_edge(None) as edge:
            begun_at = time.monotonic()
            assert (await edge.ask()).status == 503
            assert time.monotonic() - begun_at < START_WAIT_MAX_S
            await asyncio.sleep(edge.node.view.started_at + START_WAIT_MAX_S - time.monotonic())
            begun_at = time.monotonic()
            assert (await edge.ask()).status == 503
            assert time.monotonic() - begun_at < 0.2

    play(scene)


@pytest.mark.parametrize(("status", "got"), [(503, 503), (429, 200)])
def test_caller_of_a_starting_instance_does_not_wait_for_a_store_that_is_away(
    monkeypatch, status, got
):
    """It waited for a second while each read was refused; too many calls are soon over."""
    answer, failing = RowStore._answer, True

    async def fail(store: RowStore, *call: object) -> tuple[int, dict]:
        return (status, {}) if failing else await answer(store, *call)

    async def scene():
        nonlocal failing
        async with run_edge(make_configuration(make_route())) as edge, asyncio.timeout(WAIT_S):
            replica = Replica("b1")
            await replica.start()
            edge.store.put("servers", "b1", replica.describe())
            asked, begun_at = asyncio.create_task(edge.ask()), time.monotonic()
            await asyncio.sleep(0.2)
            assert asked.done() == (got == 503)
            failing = False
            reply = await asked
            assert reply.status == got
            if got == 503:
                due_s = max(0.5, edge.node.view.next_read_at - begun_at - 0.1)
                assert float(reply.headers["retry-after"]) >= due_s
            await replica.stop()

    monkeypatch.setattr(RowStore, "_answer", fail)
    play(scene)


def test_caller_is_not_asked_to_come_back_before_the_store_is_read_again():
    assert estimate_first_read(next_read_at=11.2, now=10.0) == pytest.approx(1.2)
    assert estimate_first_read(next_read_at=9.0, now=10.0) == NOT_READY_RETRY_S


def test_single_failed_read_ends_no_wait_for_the_start():
    assert measure_start_wait(0.0, 0.0, 4.0, failed_reads=1, now=0.1) > 0.0
    assert measure_start_wait(0.0, 0.0, 4.0, failed_reads=2, now=0.1) == 0.0


def test_caller_of_a_starting_process_waits_and_its_server_gets_the_time_that_is_left(tmp_path):
    """Connections were refused until the whole program was loaded."""

    async def scene():
        async with run_edge(make_configuration(make_route()), Replica("b1")) as edge:
            path = tmp_path / "node.ini"
            path.write_text(make_text(edge.store.address[1]))
            settings = FrontSettings.from_file(str(path)).unwrap()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rhubarbshed.front",
                env={**os.environ, "RHUBARBSHED_SETTINGS": str(path)},
                stdout=asyncio.subprocess.PIPE,
            )
            connected_at = await wait_listening(settings.callers)
            connected = datetime.now(UTC)
            reader, writer = await asyncio.open_connection(*settings.callers)
            writer.write(
                f"POST /p/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n"
                "Rhubarbshed-Request-Id: q1\r\n"
                "Rhubarbshed-Deadline-Remaining: 3000\r\n\r\nx".encode()
            )
            head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 8.0)
            waited_ms = 1000 * (time.monotonic() - connected_at)
            assert b" 200 " in head
            (got,) = edge.replicas[0].got
            left_ms = int(got.headers["rhubarbshed-deadline-remaining"])
            assert left_ms <= 3000 - 0.5 * waited_ms
            line = (
                await asyncio.wait_for(process.stdout.readuntil(b"event=started"), 8.0)
            ).decode()
            written_at = re.findall(r"at=(\S+)", line)[-1]
            assert datetime.fromisoformat(f"{written_at}+00:00") > connected
            writer.close()
            process.kill()
            await process.wait()

    async def wait_listening(address: tuple[str, int]) -> float:
        while True:
            try:
                _, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(0.002)
            else:
                writer.close()
                return time.monotonic()

    play(scene)


def test_each_request_leaves_a_line_with_what_decided(caplog):
    async def scene():
        async with run_edge(make_configuration(make_route()), Replica("b1")) as edge:
            caplog.set_level(logging.INFO)
            await edge.ask(Rhubarbshed_Request_Id="q77")
            (record,) = [each for each in caplog.records if each.getMessage() == "request_ended"]
            fields = record.pairs
            assert fields["request"] == "q77" and fields["servers"] == "b1"
            assert fields["configuration"] == 1 and fields["status"] == 200
            assert fields["fleet_age_s"] >= 0
            assert fields["conn_request"] == 1 and 0 <= fields["conn_age_ms"] < 5000
            assert fields["stopping_ms"] == "" and fields["sent_bytes"] > len("done:")

    play(scene)


def test_metrics_are_served_as_text():
    async def scene():
        async with run_edge(make_configuration(make_route()), Replica("b1")) as edge:
            await edge.ask()
            settings = edge.node.settings
            reader, writer = await asyncio.open_connection(settings.host, settings.metrics_port)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n")
            text = (await reader.read()).decode()
            assert 'rhubarbshed_requests_total{route="rp",status="200"} 1.0' in text
            assert "rhubarbshed_request_seconds_bucket" in text
            assert "rhubarbshed_servers 1.0" in text
            writer.close()

    play(scene)


def test_log_is_bounded_counts_what_it_drops_and_never_waits():
    reader, writer = os.pipe()
    handler = BoundedHandler(writer)
    logger = logging.getLogger("bounded")
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logger.addHandler(handler)
    try:
        begun, count = time.monotonic(), int(LINES_BURST) * 2
        for number in range(count):
            log_event(logger, logging.INFO, "line", number=number, words="x" * 200)
        allowed = LINES_BURST + LINES_PER_S * (time.monotonic() - begun) + 1
        assert 0 < count - handler.dropped_total <= allowed
        assert handler.pending_bytes > 0, "nobody reads the pipe, and logging did not block"
        os.set_blocking(reader, False)
        handler.tokens = 10.0
        handler.dropped = 7
        text = b""
        for _ in range(2000):
            handler.flush()
            try:
                text += os.read(reader, 65_536)
            except BlockingIOError:
                break
        log_event(logger, logging.INFO, "after")
        text += os.read(reader, 65_536)
        assert b"event=lines_dropped count=7" in text and b"event=after" in text
    finally:
        logger.removeHandler(handler)
        os.close(reader)
        os.close(writer)
