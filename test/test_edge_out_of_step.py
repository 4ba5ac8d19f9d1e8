"""Streams at an instance that is out of step while servers of another version come or leave."""

import asyncio
import time

import pytest

from standin.replica import Exchange, Replica
from test.helper_edge import make_configuration, make_engine_service, play, run_edge
from test.helper_streams import (
    STREAM,
    Writer,
    begin,
    list_ids,
    list_versions,
    make_replica,
    take_up,
)


async def start_again_as(replica: Replica, version: str) -> None:
    """Start a replica again under its id and at its address, with another version."""
    await replica.stop()
    replica.version, replica.started_ms = version, replica.started_ms + 1
    await replica.start()


@pytest.mark.parametrize("within_answer", [True, False])
def test_stream_does_not_go_on_at_an_engine_whose_new_start_is_not_known_yet(within_answer: bool):
    async def scene():
        async def break_off(exchange: Exchange) -> None:
            # Changes of entries are collected for half a second after the first one.
            edge.store.put("servers", "b1", first.describe(Seq=2))
            await asyncio.sleep(0.1)
            await start_again_as(other, "v2")
            edge.store.put("servers", "b2", other.describe())
            assert fleet.get("b2").entry.version == "v1"
            exchange.reset()

        first, other = Replica("b1", reply=Writer(3, break_off)), make_replica("b2")
        route = {**STREAM, "Attempts": 2 if within_answer else 1}
        configuration = make_configuration(route, Services=[make_engine_service({})])
        async with run_edge(configuration, first, other) as edge:
            fleet = edge.node.view.fleet
            fleet.get("b2").record_load_sample(7, 0, time.monotonic())
            answers = [await begin(edge)]
            fleet.get("b2").record_load_sample(0, 0, time.monotonic())
            fleet.get("b1").record_load_sample(7, 0, time.monotonic())
            if not within_answer:
                answers.append(await take_up(edge))
            assert (list_versions(*answers), list_ids(*answers)) == ({b"data: <v1>"}, [1, 2, 3, 4])

    play(scene)
