"""Requests relayed by an instance on the platform, as callers and replicas see them."""

import asyncio

import pytest

from standin.replica import Exchange, Replica
from test.helper_edge import make_configuration, make_route, play, read_answer, run_edge

UNSAFE = make_route("non_idempotent", "/u/", Attempts=1)
SAFE = make_route("idempotent", "/p/")
STREAM = make_route("streaming", "/s/", Resumable=True, TargetGapMs=150)
STREAM_ONCE = make_route("streaming", "/o/", Attempts=1, TargetGapMs=150)
ROUTES = (UNSAFE, SAFE, STREAM, STREAM_ONCE)


def test_request_passes_unchanged_and_headers_of_the_system_are_its_own():
    async def scene():
        replica = Replica("b1")
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            answer = await edge.ask(
                "/p/x?y=%20z",
                b"words",
                X_Other="kept",
                Connection="close, X-Hop",
                X_Hop="dropped",
                Rhubarbshed_Hold="forged",
                Rhubarbshed_Pin_Duration="9999",
                Rhubarbshed_Expect_Instance="b9",
                Kv_From="1.2.3.4:5/6",
            )
            assert (answer.status, answer.body, answer.whole) == (200, b"done:words", True)
            assert answer.headers["rhubarbshed-response-signature"] == "sig-b1"
            (got,) = replica.got
            assert (got.method, got.target, got.body) == ("POST", "/p/x?y=%20z", b"words")
            assert got.headers["x-other"] == "kept"
            assert got.headers["rhubarbshed-expect-instance"] == "b1"
            assert 0 < int(got.headers["rhubarbshed-deadline-remaining"]) <= 4000
            gone = {"x-hop", "rhubarbshed-hold", "rhubarbshed-pin-duration", "kv-from"}
            assert not gone & set(got.headers)

    play(scene)


def test_body_in_chunks_reaches_the_replica_whole():
    async def scene():
        replica = Replica("b1")
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            writer.write(
                b"POST /p/x HTTP/1.1\r\nHost: svc.example\r\nTransfer-Encoding: chunked\r\n"
                b"Rhubarbshed-Request-Id: q1\r\n\r\n3\r\nabc\r\n"
            )
            await asyncio.sleep(0.05)
            writer.write(b"2\r\nde\r\n0\r\n\r\n")
            answer = await read_answer(reader)
            assert answer.body == b"done:abcde"
            writer.close()

    play(scene)


def test_smuggled_request_is_not_passed_on():
    async def scene():
        replica = Replica("b1")
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            writer.write(
                b"POST /p/x HTTP/1.1\r\nHost: svc.example\r\nContent-Length: 40\r\n"
                b"Transfer-Encoding: chunked\r\nRhubarbshed-Request-Id: q1\r\n\r\n"
                b"0\r\n\r\nGET /p/evil HTTP/1.1\r\nHost: svc.example\r\n\r\n"
            )
            answer = await read_answer(reader)
            assert answer.status == 400
            await asyncio.sleep(0.1)
            assert replica.got == []
            writer.close()

    play(scene)


def test_without_configuration_the_answer_is_503_and_not_404():
    async def scene():
        async with run_edge(None) as edge:
            answer = await edge.ask()
            assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
            assert not edge.node.view.is_ready

    play(scene)


def test_unknown_path_is_404_and_new_route_is_served_without_a_signal():
    async def scene():
        replica = Replica("b1")
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            assert (await edge.ask("/new/x")).status == 404
            edge.store.put(
                "op", "config", make_configuration(*ROUTES, make_route(prefix="/new/"), version=3)
            )
            await asyncio.sleep(0.3)
            assert (await edge.ask("/new/x")).status == 200

    play(scene)


def test_idempotent_request_is_tried_elsewhere_and_unsafe_one_is_not():
    async def fail(exchange: Exchange) -> None:
        exchange.reset()

    async def scene():
        bad = [Replica("b1", reply=fail), Replica("b2", reply=fail)]
        async with run_edge(make_configuration(*ROUTES), *bad) as edge:
            assert (await edge.ask("/u/x", b"pay")).status == 502
            assert sum(len(replica.got) for replica in bad) == 1
            assert (await edge.ask("/p/x")).status == 502
            assert sum(len(replica.got) for replica in bad) == 3

    play(scene)


def test_server_that_cannot_be_reached_costs_no_repeat():
    """Only requests that reach a second server count against the common retry budget."""

    async def scene():
        replicas = [Replica("b1"), Replica("b2")]
        budget = {"retry_ratio": 0.0, "retry_extra": 0.0}
        async with run_edge(make_configuration(*ROUTES), *replicas, **budget) as edge:
            await replicas[0].stop()
            for _ in range(6):
                assert (await edge.ask("/u/x", b"pay")).status == 200

    play(scene)


def test_refusals_are_passed_over_and_end_in_503_only_if_nothing_ran():
    async def refuse(exchange: Exchange) -> None:
        exchange.refuse()

    async def scene():
        full, good = Replica("b1", reply=refuse), Replica("b2")
        async with run_edge(make_configuration(*ROUTES), full, good) as edge:
            for _ in range(4):
                assert (await edge.ask("/u/x", b"pay")).status == 200
            good.reply = refuse
            answer = await edge.ask("/u/x", b"pay")
            assert answer.status == 503 and "retry-after" in answer.headers

    play(scene)


@pytest.mark.parametrize("status", [503, 429, 408])
def test_unpromised_refusal_of_a_replica_does_not_become_a_promise(status: int):
    async def claim(exchange: Exchange) -> None:
        exchange.answer(status, b"", signed=False)

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=claim)) as edge:
            assert (await edge.ask("/u/x", b"pay")).status == 502

    play(scene)


def test_timeout_of_a_request_that_was_sent_promises_nothing():
    async def hang(exchange: Exchange) -> None:
        await asyncio.sleep(10)

    async def scene():
        route = make_route("non_idempotent", "/u/", TimeoutMs=400)
        async with run_edge(make_configuration(route), Replica("b1", reply=hang)) as edge:
            loop = asyncio.get_running_loop()
            begun = loop.time()
            answer = await edge.ask("/u/x", b"pay")
            assert answer.status == 504
            assert 0.3 < loop.time() - begun < 0.9

    play(scene)


def test_answer_to_another_request_is_skipped_on_a_kept_connection():
    async def answer_twice(exchange: Exchange) -> None:
        exchange.answer(200, b"mine")
        if len(exchange.replica.got) == 1:
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
            # The instance closes a connection that receives bytes outside an exchange.
            exchange.answer(200, b"mine")

    async def late(exchange: Exchange) -> None:
        if len(exchange.replica.got) == 2:
            other = Exchange(
                "GET",
                "/",
                {"rhubarbshed-request-id": "other"},
                b"",
                exchange.writer,
                exchange.replica,
            )
            other.answer(200, b"not yours")
        exchange.answer(200, b"yours")

    async def scene():
        for reply, words in ((answer_twice, b"mine"), (late, b"yours")):
            async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=reply)) as edge:
                for _ in range(4):
                    answer = await edge.ask("/p/x")
                    assert (answer.status, answer.body) == (200, words)

    play(scene)


def test_success_without_signature_or_with_encoding_is_none():
    async def forge(exchange: Exchange) -> None:
        exchange.answer(200, b"forged", signed=False)

    async def encode(exchange: Exchange) -> None:
        exchange.answer(200, b"zipped", "Content-Encoding: gzip")

    async def scene():
        for reply in (forge, encode):
            async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=reply)) as edge:
                assert (await edge.ask("/u/x", b"pay")).status == 502

    play(scene)


def test_answer_without_length_ends_with_its_connection():
    async def unframed(exchange: Exchange) -> None:
        head = f"HTTP/1.1 200 OK\r\nRhubarbshed-Request-Id: {exchange.request_id}\r\n"
        exchange.write(head.encode() + b"Rhubarbshed-Response-Signature: s\r\n\r\nall of it")
        await exchange.writer.drain()
        exchange.writer.close()

    async def cut(exchange: Exchange) -> None:
        head = f"HTTP/1.1 200 OK\r\nRhubarbshed-Request-Id: {exchange.request_id}\r\n"
        exchange.write(head.encode() + b"Rhubarbshed-Response-Signature: s\r\n\r\nhalf")
        await exchange.writer.drain()
        await asyncio.sleep(0.05)
        exchange.reset()

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=unframed)) as edge:
            assert (await edge.ask("/u/x", b"pay")).body == b"all of it"
            edge.replicas[0].reply = cut
            assert (await edge.ask("/u/x", b"pay")).status == 502

    play(scene)


def test_stream_passes_event_by_event_and_ends_whole():
    async def stream(exchange: Exchange) -> None:
        exchange.begin_stream()
        for number in range(1, 4):
            exchange.send_event(number)
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
        exchange.end_stream()

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=stream)) as edge:
            for path in ("/s/x", "/o/x"):
                answer = await edge.ask(path, b"prompt")
                assert answer.whole
                assert answer.body == b"".join(
                    f"id: {number}\ndata: t{number}\n\n".encode() for number in (1, 2, 3)
                )

    play(scene)


def test_stream_goes_on_elsewhere_behind_its_last_whole_event():
    async def break_off(exchange: Exchange) -> None:
        exchange.begin_stream()
        exchange.send_event(1)
        exchange.send_chunk(b"id: 2\nda")
        await exchange.writer.drain()
        await asyncio.sleep(0.05)
        exchange.reset()

    async def go_on(exchange: Exchange) -> None:
        after = int(exchange.headers.get("last-event-id", 0))
        if not after:
            return await break_off(exchange)
        exchange.begin_stream()
        for number in range(after + 1, 4):
            exchange.send_event(number)
        exchange.end_stream()

    async def scene():
        replicas = [Replica("b1", reply=go_on), Replica("b2", reply=go_on)]
        async with run_edge(make_configuration(*ROUTES), *replicas) as edge:
            answer = await edge.ask("/s/x", b"prompt")
            assert answer.whole and answer.body.count(b"id: ") == 3
            assert b"id: 2\ndata: t2\n\n" in answer.body
            broken = await edge.ask("/o/x", b"prompt")
            assert not broken.whole

    play(scene)


def test_failure_of_the_second_replica_does_not_end_a_stream_as_whole():
    async def break_off(exchange: Exchange) -> None:
        if "last-event-id" in exchange.headers:
            exchange.answer(500, b"failed")
            return
        exchange.begin_stream()
        exchange.send_event(1)
        await exchange.writer.drain()
        await asyncio.sleep(0.05)
        exchange.reset()

    async def scene():
        replicas = [Replica("b1", reply=break_off), Replica("b2", reply=break_off)]
        async with run_edge(make_configuration(*ROUTES), *replicas) as edge:
            answer = await edge.ask("/s/x", b"prompt")
            assert answer.body == b"id: 1\ndata: t1\n\n"
            assert not answer.whole

    play(scene)


def test_work_ends_at_the_replica_when_its_caller_goes():
    closed = asyncio.Event()

    async def hang(exchange: Exchange) -> None:
        exchange.begin_stream()
        exchange.send_event(1)
        await exchange.writer.drain()
        while not exchange.writer.transport.is_closing():
            exchange.send_event(2)
            await asyncio.sleep(0.02)
        closed.set()

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=hang)) as edge:
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            writer.write(
                b"POST /o/x HTTP/1.1\r\nHost: svc.example\r\nContent-Length: 0\r\n"
                b"Rhubarbshed-Request-Id: q1\r\n\r\n"
            )
            await reader.readuntil(b"t1")
            writer.transport.abort()
            await asyncio.wait_for(closed.wait(), 0.5)

    play(scene)


def test_limits_on_callers_are_kept():
    async def scene():
        limits = {
            "MaxHeaderBytes": 2000,
            "MaxBodyBytes": 100,
            "HeaderTimeoutMs": 300,
            "IdleTimeoutMs": 400,
        }
        configuration = make_configuration(*ROUTES, Limits=limits)
        async with run_edge(configuration, Replica("b1")) as edge:
            assert (await edge.ask("/p/x", b"a" * 101)).status == 413
            assert (await edge.ask("/p/x", X_Long="a" * 3000)).status == 431
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            writer.write(b"GET /p/x HTTP/1.1\r\nHost:")
            assert (await asyncio.wait_for(read_answer(reader), 1.0)).status == 408
            reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
            writer.write(
                b"GET /p/x HTTP/1.1\r\nHost: svc.example\r\nRhubarbshed-Request-Id: q\r\n\r\n"
            )
            assert (await read_answer(reader)).status == 200
            assert (await asyncio.wait_for(read_answer(reader), 1.0)).status == 408
            assert await asyncio.wait_for(reader.read(), 0.1) == b""

    play(scene)


def test_stream_goes_on_at_the_only_server_that_broke_it_off_once():
    """The stream ended as all_tried, though its only server was alive and could resume it."""

    async def break_once(exchange: Exchange) -> None:
        after = int(exchange.headers.get("last-event-id", 0))
        exchange.begin_stream()
        for number in range(after + 1, 5):
            exchange.send_event(number)
            await exchange.writer.drain()
            if number == 2 and not after:
                exchange.reset()
                return
        exchange.end_stream()

    async def scene():
        replica = Replica("b1", reply=break_once)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            answer = await edge.ask("/s/x", b"p")
            assert (answer.status, answer.whole) == (200, True)
            assert answer.body == b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 5))
            assert len(replica.got) == 2

    play(scene)


def test_only_server_that_fails_always_is_asked_twice_at_most():
    async def fail(exchange: Exchange) -> None:
        exchange.answer(500, b"failed")

    async def scene():
        replica = Replica("b1", reply=fail)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            assert (await edge.ask("/p/x")).status == 500
            assert len(replica.got) == 2
            assert (await edge.ask("/u/x", b"pay")).status == 500
            assert len(replica.got) == 3

    play(scene)
