"""Connections that an instance closes: what was written arrives, what was sent is answered."""

import asyncio

import pytest

from rhubarbshed.transport.edge import node
from rhubarbshed.transport.edge.caller_connections import CallerConnection
from rhubarbshed.transport.edge.relay import RequestProgress
from standin.replica import Replica
from test.helper_edge import make_configuration, play, read_answer, run_edge
from test.test_edge_drain import ROUTES, Caller, check_not_run, hang, make_request, stop

WAIT_S = 3.0
SHORT_TIMEOUTS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": 100_000,
    "HeaderTimeoutMs": 300,
    "IdleTimeoutMs": 300,
}


def make_part_of_head_request() -> bytes:
    """Return a HEAD request whose body is not whole."""
    return make_request("/p/x", b"whole").replace(b"POST", b"HEAD")[:-2]


def test_refusal_of_a_head_request_in_part_arrives_and_ends_its_connection():
    """It had a body, which the parser does not send for HEAD: neither came."""

    async def scene():
        limits = {"Limits": SHORT_TIMEOUTS}
        async with run_edge(make_configuration(*ROUTES, **limits), Replica("b1")) as edge:
            caller = await Caller.connect(edge)
            caller.send(make_part_of_head_request())
            data = await asyncio.wait_for(caller.reader.read(), WAIT_S)
            head, _, body = data.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 408 ") and not body

    play(scene)


def test_head_request_in_part_at_the_end_of_the_drain_leaves_other_requests_answered():
    """Its refusal raised an exception, which ended the drain before the others."""

    async def scene():
        async with run_edge(make_configuration(*ROUTES), Replica("b1", reply=hang)) as edge:
            callers = [await Caller.connect(edge) for _ in range(4)]
            for caller in callers[:-2]:
                caller.send(make_part_of_head_request())
            for caller in callers[-2:]:
                caller.send(make_request("/p/x", b"whole")[:-2])
            await asyncio.sleep(0.05)
            stop(edge)
            for answer in [await read_answer(caller.reader) for caller in callers[-2:]]:
                assert answer.whole and answer.status == 503
            assert await edge.task == node.EXIT_OK

    play(scene)


@pytest.mark.parametrize("part", ("refusal", "answer"))
def test_defect_at_the_end_of_the_drain_leaves_other_requests_answered(part, monkeypatch, caplog):
    """An exception at one connection or request ended the drain before the others."""
    owner, name = (CallerConnection, "refuse") if part == "refusal" else (RequestProgress, "answer")
    real, failed = getattr(owner, name), []

    def fail_once(self, *args: object) -> None:
        if not failed:
            failed.append(self)
            raise KeyError("defect")
        real(self, *args)

    async def scene():
        replica = Replica("b1", reply=hang)
        async with run_edge(make_configuration(*ROUTES), replica) as edge:
            callers = [await Caller.connect(edge) for _ in range(4)]
            for caller in callers:
                data = make_request("/p/x", b"whole")
                caller.send(data[:-2] if part == "refusal" else data)
            await asyncio.sleep(0.1)
            stop(edge)
            monkeypatch.setattr(owner, name, fail_once)
            answers = await asyncio.gather(*(read_answer(caller.reader) for caller in callers))
            assert sorted(answer.whole for answer in answers) == [False, True, True, True]
            assert await edge.task == node.EXIT_OK

    play(scene)
    assert "event=defect" in caplog.text
