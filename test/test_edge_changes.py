"""Changes of the configuration while requests arrive, wait and run at an instance."""

import asyncio
import time

import pytest

from rhubarbshed.transport.edge import server_attempts
from rhubarbshed.transport.edge.channels import ChannelError
from rhubarbshed.transport.edge.pools import Pool
from standin.replica import Exchange, Replica, Reply
from test.helper_edge import (
    HOST,
    SETTINGS_TEXT,
    Edge,
    make_configuration,
    make_engine_service,
    make_route,
    play,
    read_answer,
    run_edge,
)

PLAIN = make_route("idempotent", "/p/")
UNSAFE = make_route("non_idempotent", "/u/", Attempts=1)
STREAM = make_route("streaming", "/s/", Resumable=True, TargetGapMs=150)
ROUTES = (PLAIN, UNSAFE, STREAM)
LIMITS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": 100_000,
    "HeaderTimeoutMs": 2_000,
    "IdleTimeoutMs": 1_000,
}
BODY_BYTES = 2_000_000
PIECE_BYTES = 20_000
SILENCE_S = 1.5
"""Pause of a server that is longer than a stream waits for it while another one could go on."""

ENGINES = make_engine_service({"m1": 2, "m2": 0})


def make_head(path: str, length: int = 0, **headers: str) -> bytes:
    """Return the head of a request."""
    sent = {
        "Host": HOST,
        "Rhubarbshed-Request-Id": "q1",
        "Rhubarbshed-Deadline-Remaining": "4000",
        "Content-Length": str(length),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = [f"POST {path} HTTP/1.1", *(f"{name}: {text}" for name, text in sent.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def change(edge: Edge, configuration: dict) -> None:
    """Write a configuration and wait until it is in force."""
    edge.store.put("op", "config", configuration)
    version = configuration["Version"]
    await edge.wait_until(lambda: edge.node.view.configuration.version == version)


def answer_when(go: asyncio.Event, stream: bool) -> Reply:
    """Return a reply that waits for an event, in a stream after its first piece."""

    async def reply(exchange: Exchange) -> None:
        if stream:
            exchange.begin_stream()
            exchange.send_event(1)
        await go.wait()
        if stream:
            exchange.send_event(2)
            exchange.end_stream()
        else:
            exchange.answer(200, b"done")

    return reply


CHANGES = {
    "no routes": make_configuration(version=2),
    "no services": {"Version": 2, "Routes": list(ROUTES), "Services": []},
    "no engine": make_configuration(*ROUTES, version=2),
    "no models": make_configuration(*ROUTES, version=2, Services=[make_engine_service({})]),
    "other service": make_configuration(
        *[{**each, "Service": "other"} for each in ROUTES], version=2, Services=[ENGINES]
    ),
    "weights of 0": make_configuration(
        *[
            {
                **each,
                "TrafficSplit": [
                    {"Service": "svc", "Weight": 0},
                    {"Service": "other", "Weight": 0},
                ],
            }
            for each in ROUTES
        ],
        version=2,
        Services=[ENGINES],
    ),
    "short timeouts": make_configuration(
        *[{**each, "TimeoutMs": 1} for each in ROUTES], version=2, Services=[ENGINES]
    ),
    "small limits": make_configuration(
        *ROUTES,
        version=2,
        Services=[ENGINES],
        Limits={"MaxHeaderBytes": 10, "MaxBodyBytes": 1, "HeaderTimeoutMs": 1, "IdleTimeoutMs": 1},
    ),
}


@pytest.mark.parametrize("name", CHANGES)
@pytest.mark.parametrize("path", ["/p/x", "/u/x", "/s/x"])
def test_request_at_a_server_is_answered_whole_whatever_changes(path, name):
    async def scene():
        go = asyncio.Event()
        replica = Replica("b1", models={"m1": ["a1"]}, reply=answer_when(go, stream=path == "/s/x"))
        first = make_configuration(*ROUTES, Services=[ENGINES])
        async with run_edge(first, replica) as edge:
            asked = asyncio.create_task(
                edge.ask(path, b"x", Rhubarbshed_Model="m1/a1", Rhubarbshed_Token_Count="5,5")
            )
            await edge.wait_until(lambda: bool(replica.got))
            await change(edge, CHANGES[name])
            go.set()
            answer = await asked
            assert (answer.status, answer.whole) == (200, True)

    play(scene)


@pytest.mark.parametrize("name", CHANGES)
@pytest.mark.parametrize("path", ["/p/x", "/u/x", "/s/x"])
def test_request_that_waits_for_a_load_is_answered_whatever_changes(path, name):
    async def scene():
        replica = Replica("b1", models={"m1": ["a1"]}, refuse_orders=True)
        first = make_configuration(*ROUTES, Services=[ENGINES])
        async with run_edge(first, replica) as edge:
            asked = asyncio.create_task(
                edge.ask(path, b"x", Rhubarbshed_Model="m2", Rhubarbshed_Deadline_Remaining="900")
            )
            await edge.wait_until(lambda: edge.node.relay.open == 1)
            await change(edge, CHANGES[name])
            answer = await asked
            assert answer.whole and answer.status in (200, 503)

    play(scene)


@pytest.mark.parametrize("name", CHANGES)
def test_request_that_is_retried_is_answered_whatever_changes(name):
    async def scene():
        go = asyncio.Event()

        async def fail(exchange: Exchange) -> None:
            await go.wait()
            exchange.reset()

        replicas = [
            Replica("b1", models={"m1": []}, reply=fail),
            Replica("b2", models={"m1": []}, reply=fail),
        ]
        first = make_configuration(*ROUTES, Services=[ENGINES])
        async with run_edge(first, *replicas) as edge:
            asked = asyncio.create_task(edge.ask("/p/x", b"x", Rhubarbshed_Model="m1"))
            await edge.wait_until(lambda: any(each.got for each in replicas))
            await change(edge, CHANGES[name])
            go.set()
            answer = await asked
            assert answer.whole and answer.status == 502

    play(scene)


@pytest.mark.parametrize("name", CHANGES)
@pytest.mark.parametrize("split", [1, 40, -200])
def test_request_that_arrives_in_parts_is_answered_or_refused_whatever_changes(name, split):
    async def scene():
        replica = Replica("b1", models={"m1": []})
        first = make_configuration(*ROUTES, Services=[ENGINES])
        async with run_edge(first, replica) as edge:
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            data = make_head("/p/x", 400, Rhubarbshed_Model="m1") + b"x" * 400
            writer.write(data[:split])
            await asyncio.sleep(0.05)
            await change(edge, CHANGES[name])
            writer.write(data[split:])
            answer = await asyncio.wait_for(read_answer(reader), 5.0)
            assert answer.status in (200, 404, 408, 413, 431, 502, 503, 504)
            assert answer.whole
            writer.close()

    play(scene)


@pytest.mark.parametrize("hindrance", ["budget", "full"])
def test_begun_stream_is_not_cut_for_a_silence_if_no_other_server_may_go_on(hindrance):
    """Without a retry or a free server, giving up a silent server would end the answer."""

    async def pause(exchange: Exchange) -> None:
        exchange.begin_stream()
        exchange.send_event(1)
        await exchange.writer.drain()
        await asyncio.sleep(SILENCE_S)
        exchange.send_event(2)
        exchange.end_stream()

    async def scene():
        replicas = [Replica("b1", reply=pause), Replica("b2", reply=pause)]
        changes = {}
        if hindrance == "budget":
            changes = {"retry_ratio": 0.0, "retry_extra": 0.0}
        else:
            replicas[1].slots = 0
        async with run_edge(make_configuration(*ROUTES), *replicas, **changes) as edge:
            answer = await edge.ask("/s/x", b"x")
            assert answer.whole
            assert answer.body == b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"

    play(scene)


def test_next_head_may_take_the_headers_time_though_the_idle_time_ends_meanwhile():
    async def scene():
        replica = Replica("b1")
        async with run_edge(make_configuration(*ROUTES, Limits=LIMITS), replica) as edge:
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            writer.write(make_head("/p/x"))
            assert (await read_answer(reader)).status == 200
            await asyncio.sleep(0.7)
            data = make_head("/p/x")
            writer.write(data[:40])
            await asyncio.sleep(0.6)
            writer.write(data[40:])
            answer = await read_answer(reader)
            assert (answer.status, answer.whole) == (200, True)
            writer.close()

    play(scene)


def test_head_that_never_ends_is_refused_after_the_headers_time():
    async def scene():
        replica = Replica("b1")
        async with run_edge(make_configuration(*ROUTES, Limits=LIMITS), replica) as edge:
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            data = make_head("/p/x")
            begun_at = time.monotonic()
            for byte in data[:30]:
                writer.write(bytes([byte]))
                await asyncio.sleep(0.05)
            answer = await read_answer(reader)
            assert (answer.status, answer.whole) == (408, True)
            assert 1.9 < time.monotonic() - begun_at < 2.5
            writer.close()

    play(scene)


@pytest.mark.parametrize("how", ["length", "chunks"])
def test_refusal_reaches_a_caller_that_is_still_sending(how):
    """A limit that shrinks meets bodies on their way; unread bytes must not reset the refusal."""

    async def scene():
        replica = Replica("b1")
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            await change(edge, make_configuration(*ROUTES, version=2, Limits=LIMITS))
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            head = make_head("/p/x", BODY_BYTES)
            if how == "chunks":
                length = f"Content-Length: {BODY_BYTES}".encode()
                head = head.replace(length, b"Transfer-Encoding: chunked")
                writer.write(head + f"{BODY_BYTES:x}\r\n".encode())
            else:
                writer.write(head)
            for _ in range(BODY_BYTES // PIECE_BYTES):
                writer.write(b"x" * PIECE_BYTES)
                await asyncio.sleep(0.002)
            answer = await read_answer(reader)
            assert (answer.status, answer.whole) == (413, True)
            assert await asyncio.wait_for(reader.read(), 2.0) == b""
            writer.close()

    play(scene)


@pytest.mark.parametrize(
    ("key", "fields"),
    [
        ("b2", {"Address": "127.0.0.1:70000"}),
        ("b2", {"Address": "1" * 64 + ":80"}),
        ("b2", {"Address": "127.0.0.\N{SUPERSCRIPT TWO}:80"}),
        ("b2", {"Address": "999.1.1.1:80"}),
        ("b2", {"Slots": 10**400}),
        ("b2", {"Slots": -1}),
        ("b\N{EURO SIGN}", {}),
        ("b2 ", {}),
        ("b\n2", {}),
    ],
    ids=["port", "long host", "digit", "host", "slots", "no slots", "letter", "space", "line"],
)
def test_entry_that_names_no_server_ends_no_request(key, fields, caplog):
    async def scene():
        replica = Replica("b1")
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            edge.store.put("servers", key, {**replica.describe(), **fields})
            await asyncio.sleep(0.8)
            for _ in range(8):
                answer = await edge.ask("/p/x", b"x")
                assert (answer.status, answer.whole) == (200, True)

    play(scene)
    assert "event=defect" not in caplog.text


@pytest.mark.parametrize(
    ("where", "status", "runs"), [("before", 503, 0), ("sent", 502, 1), ("answered", 200, 1)]
)
def test_request_that_meets_a_defect_is_answered(where, status, runs, monkeypatch, caplog):
    async def scene():
        replica = Replica("b1", models={"m1": []})
        first = make_configuration(*ROUTES, Services=[make_engine_service({"m1": 0})])
        async with run_edge(first, replica) as edge:
            if where == "before":
                edge.node.relay.count_demand = fail
            elif where == "sent":
                replica.reply = break_off
                monkeypatch.setattr(server_attempts, "note_end", fail)
            else:
                edge.node.relay.count_run = fail
            answer = await edge.ask("/u/x", b"x", Rhubarbshed_Model="m1")
            assert (answer.status, answer.whole) == (status, True)
            assert len([each for each in replica.got if each.target == "/u/x"]) == runs
            assert "event=defect" in caplog.text
            assert edge.node.relay.open == 0

    async def break_off(exchange: Exchange) -> None:
        exchange.reset()

    def fail(*_: object) -> None:
        raise KeyError("defect")

    play(scene)


def test_head_in_parts_may_have_the_length_that_a_change_allows():
    """A kept connection bounded it by the limit with which it was opened, and answered 431."""
    short = {**LIMITS, "MaxHeaderBytes": 1_000}

    async def scene():
        async with run_edge(make_configuration(*ROUTES, Limits=short), Replica("b1")) as edge:
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            writer.write(make_head("/p/x"))
            assert (await read_answer(reader)).status == 200
            await change(edge, make_configuration(*ROUTES, version=2, Limits=LIMITS))
            data = make_head("/p/x", X_Long="a" * 8_000)
            writer.write(data[:4_000])
            await asyncio.sleep(0.05)
            writer.write(data[4_000:])
            answer = await read_answer(reader)
            assert (answer.status, answer.whole) == (200, True)
            writer.close()

    play(scene)


@pytest.mark.parametrize("part", ["head", "chunk"])
@pytest.mark.parametrize("length", [17_000, 200_000])
def test_head_in_parts_that_is_too_long_is_refused_before_it_ends(part, length):
    async def scene():
        async with run_edge(make_configuration(*ROUTES, Limits=LIMITS), Replica("b1")) as edge:
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            head = make_head("/p/x", X_Long="a" * length)[:-2]
            if part == "chunk":
                head = make_head("/p/x").replace(
                    b"Content-Length: 0", b"Transfer-Encoding: chunked"
                )
                head += b"5;" + b"a" * length
            writer.write(head)
            answer = await read_answer(reader)
            assert (answer.status, answer.whole) == (431, True)
            writer.close()

    play(scene)


def test_address_that_cannot_be_resolved_is_an_unreachable_server():
    """Its error was no error of a channel, and ended the request as a defect."""

    async def scene():
        with pytest.raises(ChannelError):
            await Pool(1.0).open(("1" * 64, 80))

    play(scene)


@pytest.mark.parametrize(
    ("line", "other"),
    [
        ("level = info", "level = trace"),
        ("metrics_port = ", "metrics_port = nan\n#"),
        ("metrics_port = ", "metrics_port = inf\n#"),
        ("cpu_share = 0.5", "cpu_share = nan"),
        ("lease_ms = 3000", "lease_ms = inf"),
    ],
)
def test_settings_that_cannot_be_applied_leave_the_old_ones(line, other, tmp_path, caplog):
    """An unknown level or a port that is no number raised an exception and stopped the instance."""

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1")) as edge:
            settings = edge.node.settings
            text = SETTINGS_TEXT.format(
                name=settings.name,
                data_centre="a",
                callers=settings.callers[1],
                ready=settings.ready[1],
                peers=settings.peers_port,
                metrics=settings.metrics_port,
                store=settings.store[1],
                level="info",
            )
            assert line in text
            path = tmp_path / "settings.ini"
            path.write_text(text.replace(line, other))
            edge.node.path = str(path)
            edge.node.reload()
            assert edge.node.settings == settings
            assert any(each.message == "reload_failed" for each in caplog.records)

    play(scene)
