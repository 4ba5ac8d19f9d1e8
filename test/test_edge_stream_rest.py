"""Answers in place of the rest of a stream that broke off."""

import asyncio
from collections.abc import Callable

import pytest

from rhubarbshed.transport.edge.channels import MalformedAnswerError
from rhubarbshed.transport.edge.streams import EventSplitter
from standin.replica import Exchange, Replica
from test.helper_cuts import run_cut_scene
from test.helper_edge import make_configuration, make_route, play, run_edge

BEFORE = 2
EVENTS = 4
TWO_TRIES = make_configuration(
    make_route("streaming", "/s/", Resumable=True, TargetGapMs=150),
    make_route("streaming", "/t/", Resumable=True, TargetGapMs=150, Attempts=3),
)
EVENT_STREAM = "Content-Type: text/event-stream"
SOONEST_S = 0.75
"""Time until an instance whose links are cut has sent the first events of a stream on."""

Reply = Callable[[Exchange], None]


def make_events(first: int, last: int) -> bytes:
    return b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(first, last + 1))


def sign(status: int, *lines: str, body: bytes = b"") -> Reply:
    """Return a reply that is a whole, signed answer."""
    return lambda exchange: exchange.answer(status, body, *lines)


def chunk(body: bytes) -> Reply:
    """Return a reply that is a whole event stream with this body, in chunks."""

    def send(exchange: Exchange) -> None:
        exchange.begin_stream()
        exchange.write(f"{len(body):x}\r\n".encode() + body + b"\r\n")
        exchange.end_stream()

    return send


OTHER_HEAD = b"HTTP/1.1 500 X\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\noops"
OTHER_ANSWERS: dict[str, Reply] = {
    "plain text": sign(200, "Content-Type: text/plain", body=b"oops: no memory\n"),
    "json": sign(200, "Content-Type: application/json", body=b'{"error": "oops"}\n\n'),
    "no type": sign(200, body=make_events(3, 4)),
    "partial content": sign(206, EVENT_STREAM, body=make_events(3, 4)),
    "no content": sign(204),
    "head of another answer": sign(200, EVENT_STREAM, body=OTHER_HEAD),
    "head in chunks": chunk(OTHER_HEAD),
    "head in an event": chunk(b"data: HTTP/1.1 500 X\n\n" + make_events(3, 4)),
    "event without an id": chunk(b"data: oops\n\n"),
    "from the beginning": chunk(make_events(1, 4)),
    "last event again": chunk(make_events(2, 4)),
    "an event is missing": chunk(make_events(4, 4)),
    "empty id": chunk(b"id:\ndata: t3\n\n"),
}
RESTS: dict[str, Reply] = {
    "with a length": sign(200, EVENT_STREAM, body=make_events(3, 4)),
    "in chunks": chunk(make_events(3, 4)),
    "other parameters": sign(200, f"{EVENT_STREAM}; charset=utf-8", body=make_events(3, 4)),
}


class BreakingStream:
    """Reply whose first stream breaks off after two events; what follows is another reply."""

    def __init__(self, piece: bytes, *rest: Reply) -> None:
        self.piece, self.rest, self.tries = piece, rest, 0

    async def __call__(self, exchange: Exchange) -> None:
        self.tries += 1
        if self.tries > 1:
            assert exchange.headers["last-event-id"] == str(BEFORE)
            self.rest[min(self.tries - 2, len(self.rest) - 1)](exchange)
            return
        exchange.begin_stream()
        for number in range(1, BEFORE + 1):
            exchange.send_event(number)
        if self.piece:
            exchange.write(f"{len(self.piece):x}\r\n".encode() + self.piece + b"\r\n")
        await exchange.writer.drain()
        await asyncio.sleep(0.05)
        exchange.writer.close()
        raise ConnectionResetError


async def ask(reply: BreakingStream, path: str):
    replicas = [Replica(f"b{number}", reply=reply) for number in range(3)]
    async with run_edge(TWO_TRIES, *replicas) as edge:
        return await edge.ask(path, b"x")


@pytest.mark.parametrize("piece", [b"", b"id: 3\ndat"], ids=["between events", "in an event"])
@pytest.mark.parametrize("other", OTHER_ANSWERS.values(), ids=OTHER_ANSWERS)
def test_answer_that_does_not_continue_a_stream_reaches_no_caller(other, piece):
    """Its text stood in the caller's stream, or the stream ended as if it were complete."""

    async def scene():
        answer = await ask(BreakingStream(piece, other), "/s/x")
        assert (answer.status, answer.whole, answer.body) == (200, False, make_events(1, 2))

    play(scene)


@pytest.mark.parametrize("other", OTHER_ANSWERS.values(), ids=OTHER_ANSWERS)
def test_stream_goes_on_at_a_further_server_after_an_answer_that_does_not_continue_it(other):
    async def scene():
        answer = await ask(BreakingStream(b"", other, RESTS["in chunks"]), "/t/x")
        assert (answer.status, answer.whole, answer.body) == (200, True, make_events(1, 4))

    play(scene)


@pytest.mark.parametrize("rest", RESTS.values(), ids=RESTS)
def test_rest_of_a_stream_is_passed_on(rest):
    async def scene():
        answer = await ask(BreakingStream(b"id: 3\ndat", rest), "/s/x")
        assert (answer.status, answer.whole, answer.body) == (200, True, make_events(1, 4))

    play(scene)


def test_rest_of_a_stream_may_begin_with_a_comment():
    async def scene():
        rest = chunk(b": alive\n\n" + make_events(3, 4))
        answer = await ask(BreakingStream(b"id: 3\ndat", rest), "/s/x")
        whole = make_events(1, 2) + b": alive\n\n" + make_events(3, 4)
        assert (answer.status, answer.whole, answer.body) == (200, True, whole)

    play(scene)


def test_stream_that_broke_off_behind_its_last_event_ends_with_an_empty_rest():
    async def scene():
        answer = await ask(BreakingStream(b"", sign(200, EVENT_STREAM)), "/s/x")
        assert (answer.status, answer.whole, answer.body) == (200, True, make_events(1, 2))

    play(scene)


def test_answer_whose_events_have_no_ids_is_not_continued():
    """The next server's whole answer followed what the caller had."""

    async def scene():
        def reply_without_ids(exchange: Exchange) -> None:
            chunk(b"data: a\n\ndata: b\n\n")(exchange)

        async def break_off(exchange: Exchange) -> None:
            if stream.tries:
                reply_without_ids(exchange)
                return
            stream.tries += 1
            exchange.begin_stream()
            exchange.write(b"9\r\ndata: a\n\n\r\n")
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
            exchange.writer.close()
            raise ConnectionResetError

        stream = BreakingStream(b"")
        replicas = [Replica(f"b{number}", reply=break_off) for number in range(2)]
        async with run_edge(TWO_TRIES, *replicas) as edge:
            answer = await edge.ask("/s/x", b"x")
            assert (answer.whole, answer.body) == (False, b"data: a\n\n")

    play(scene)


@pytest.mark.parametrize("other", OTHER_ANSWERS.values(), ids=OTHER_ANSWERS)
def test_answer_that_does_not_continue_a_stream_is_not_relayed_by_another_instance(other):
    async def scene():
        tries = []

        async def reply(exchange: Exchange) -> None:
            tries.append(exchange)
            if len(tries) > 1:
                other(exchange)
                return
            exchange.begin_stream()
            for number in range(1, BEFORE + 1):
                exchange.send_event(number)
            await exchange.writer.drain()
            await asyncio.sleep(5.0)

        async with run_cut_scene() as cuts:
            for replica in cuts.crashes.replicas.values():
                replica.reply = reply
            task = asyncio.create_task(cuts.ask("a1", "/s/x", b"x"))
            await asyncio.sleep(SOONEST_S)
            cuts.links["a1"].cut("reset")
            answer = await task
            assert len(tries) > 1
            assert (answer.whole, answer.body) == (False, make_events(1, 2))

    play(scene)


@pytest.mark.parametrize(
    ("before", "after", "fits"),
    [
        (("1", "2"), "3", True),
        (("1", "2"), "4", False),
        (("8", "16"), "24", True),
        (("8", "16"), "16", False),
        (("5",), "9", True),
        (("5",), "4", False),
        (("a", "b"), "c", True),
        (("a", "b"), "b", False),
        (("1", "9" * 5000), "8" * 5000, True),
    ],
)
def test_first_event_behind_a_break_has_to_follow_the_last_one(before, after, fits):
    splitter = EventSplitter()
    for event_id in before:
        splitter.feed(f"id: {event_id}\ndata: x\n\n".encode())
    splitter.drop_partial()
    event = f"id: {after}\ndata: x\n\n".encode()
    if fits:
        assert splitter.feed(event) == event and splitter.last_id == after
    else:
        with pytest.raises(MalformedAnswerError):
            splitter.feed(event)
        assert splitter.last_id == before[-1]
