"""Requests that a configuration refuses which may be out of date."""

import logging

from rhubarbshed.util.logs import PairFormatter
from standin.replica import Replica
from test.helper_edge import HOST, make_configuration, make_route, play, run_edge


def list_lines(caplog, event: str) -> list[str]:
    """List the logged lines of an event."""
    lines = [PairFormatter().format(each) for each in caplog.records]
    return [line for line in lines if f"event={event} " in line]


def test_line_of_a_request_without_a_route_shows_the_age_of_the_configuration(caplog):
    async def run():
        async with run_edge(make_configuration(make_route(), version=7), Replica("b1")) as edge:
            edge.node.follower.entry_age.configuration_asked_at -= 2.0
            assert (await edge.ask("/unknown/x?secret=1")).status == 404
            edge.store.silent = True
            await edge.wait_until(lambda: edge.node.follower.entry_age.lost_at is not None)
            await edge.ask("/unknown/y")

    with caplog.at_level(logging.INFO):
        play(run)
    first, second = (
        dict(pair.split("=", 1) for pair in line.split()[1:])
        for line in list_lines(caplog, "request_ended")
    )
    assert first["host"] == HOST and first["path"] == "/unknown/x"
    assert first["configuration"] == "7" and int(first["configuration_age_ms"]) >= 2000
    assert first["store_lost_ms"] == '""'
    assert int(second["store_lost_ms"]) >= 0
    assert "0 bytes came" in list_lines(caplog, "dependency_lost")[0]
    assert "table=op rows=1" in list_lines(caplog, "store_read")[0]
