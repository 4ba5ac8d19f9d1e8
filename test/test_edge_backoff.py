"""Servers that turn a request away and name a time for which they want nothing."""

import asyncio
import time

import pytest

from rhubarbshed.coordination.serving.choice import wants_nothing
from rhubarbshed.platform.headers import read_head
from standin.replica import Exchange, Replica
from test.helper_edge import Edge, make_configuration, make_route, play, run_edge
from test.test_edge_brittle import make_record

BACKOFF_S = 1.2
GRACE_S = 0.5
"""Time within which a refusal comes at once."""

ROUTE = make_route("idempotent", "/p/", Attempts=2)


async def turn_away(exchange: Exchange) -> None:
    """Turn a request away for a while."""
    exchange.answer(
        503, b"", "Rhubarbshed-Not-Executed: 1", f"Retry-After: {BACKOFF_S}", signed=False
    )


async def answer(exchange: Exchange) -> None:
    """Answer at once."""
    exchange.answer(200, b"done")


async def ask_repeatedly(edge: Edge, seconds: float) -> list[tuple[float, int]]:
    """Send requests all the time; return the time and the status of each answer."""
    answers = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        got = await edge.ask("/p/x", b"x")
        answers.append((time.monotonic(), got.status))
        await asyncio.sleep(0.01)
    return answers


def test_server_that_asks_for_a_pause_gets_nothing_until_its_end():
    """`Retry-After` was ignored, and the next request went to the server again."""

    async def scene():
        arrived: list[float] = []

        async def turn_away_and_note(exchange: Exchange) -> None:
            arrived.append(time.monotonic())
            await turn_away(exchange)

        replicas = [Replica("b1", reply=turn_away_and_note), Replica("b2", reply=answer)]
        async with run_edge(make_configuration(ROUTE), *replicas) as edge:
            answers = await ask_repeatedly(edge, 3.0)
            assert {status for _, status in answers} == {200}
            assert len(arrived) >= 2, "it was never asked again"
            for first, after in zip(arrived, arrived[1:], strict=False):
                assert after - first >= BACKOFF_S - 0.01, (after - first, len(arrived))

    play(scene)


def test_caller_is_refused_at_once_while_all_servers_want_nothing():
    async def scene():
        replicas = [Replica(f"b{number}", reply=turn_away) for number in (1, 2)]
        async with run_edge(make_configuration(ROUTE), *replicas) as edge:
            await edge.ask("/p/x", b"x")
            for replica in replicas:
                replica.got.clear()
            begun_at = time.monotonic()
            refused = await edge.ask("/p/x", b"x")
            took_s = time.monotonic() - begun_at
            assert refused.status == 503 and not any(replica.got for replica in replicas)
            assert took_s < GRACE_S
            left_s = min(
                record.backoff_until for record in edge.node.view.fleet.servers.values()
            ) - (begun_at + took_s)
            assert float(refused.headers["retry-after"]) >= left_s > 0.5

    play(scene)


def test_longer_pause_holds_and_a_new_incarnation_has_none():
    record = make_record()
    assert record.record_backoff(5.0, 100.0) and not record.record_backoff(1.0, 101.0)
    assert record.backoff_until == 105.0
    assert wants_nothing(record, 104.0, 104.9) and not wants_nothing(record, 104.0, 105.0)
    assert not record.takes_work(104.9) and record.takes_work(105.0)
    assert make_record().takes_work(101.0)


@pytest.mark.parametrize(
    ("status", "value", "expected_s"),
    [
        (503, b"2", 2.0),
        (503, b"0.25", 0.25),
        (503, b"0", 0.0),
        (503, b"-1", 0.0),
        (503, b"nan", 0.0),
        (503, b"inf", 0.0),
        (503, b"Sun, 06 Dec 2026 11:00:00 GMT", 0.0),
        (503, b"", 0.0),
        (429, b"2", 0.0),
        (200, b"2", 0.0),
    ],
)
def test_pause_is_read_from_answers_that_turn_a_request_away(status, value, expected_s):
    assert read_head(status, ((b"Retry-After", value),)).backoff_s == expected_s
