"""The lasting speed of a server is told from its disturbances, without sockets."""

import asyncio
import random

import pytest
from returns.result import Success

from rhubarbshed.protocol import messages
from rhubarbshed.protocol.messages import UnknownMessage, pack_message, unpack_message
from rhubarbshed.protocol.speed_messages import SpeedsMessage
from rhubarbshed.state.membership.server_speed import DISTURBANCE_FACTOR, ServerSpeed
from rhubarbshed.transport.edge.node import Node
from standin.replica import Exchange, Replica
from test.helper_edge import make_configuration, make_route, make_settings, play, run_edge
from test.test_edge_choice import NOW, make_entry, make_fleet


def report(speed: ServerSpeed, lasting: float, now: float, seconds: float, per_s: float, rng):
    """Let a server state its slowness at random times; a tenth of the time it is disturbed."""
    until, disturbed_from, disturbed_until = now + seconds, now, now
    while now < until:
        now += rng.expovariate(per_s)
        while now > disturbed_until:
            disturbed_from = disturbed_until + rng.expovariate(1.0 / 2.7)
            disturbed_until = disturbed_from + rng.uniform(0.1, 0.5)
        factor = DISTURBANCE_FACTOR if now >= disturbed_from else 1.0
        stated = lasting * factor
        speed.record(stated, stated, now)
        yield now


@pytest.mark.parametrize("per_s", [1.0, 10.0, 100.0])
@pytest.mark.parametrize("lasting", [0.6, 1.0, 1.6])
def test_disturbances_do_not_count_as_lasting(lasting, per_s):
    """A disturbed server lost its share, and the others were overrun, until long after."""
    rng, wrong, reports = random.Random(3), 0, 0
    for _ in range(10):
        speed = ServerSpeed(lasting, NOW)
        for _ in report(speed, lasting, NOW, 20.0, per_s, rng):
            wrong, reports = wrong + (speed.lasting != lasting), reports + 1
    assert wrong <= 0.02 * reports


@pytest.mark.parametrize(("before", "after"), [(0.6, 1.6), (1.6, 0.6)])
def test_lasting_change_is_followed_within_seconds(before, after):
    rng = random.Random(4)
    speed = ServerSpeed(before, NOW)
    last = [*report(speed, before, NOW, 10.0, 20.0, rng)][-1]
    assert speed.lasting == before
    for _ in report(speed, after, last, 3.0, 20.0, rng):
        pass
    assert speed.lasting == after


def test_report_is_right_at_once_and_a_disturbance_passes():
    speed = ServerSpeed(1.0, NOW)
    speed.record(2.5, 2.5, NOW)
    assert speed.lasting == 2.5
    speed.record(1.0, 1.0, NOW + 0.05)
    assert speed.lasting == 1.0
    speed.record(2.5, 2.5, NOW + 1.0)
    assert speed.estimate(NOW + 1.0) == 2.5 and speed.estimate(NOW + 2.0) < 1.1


def test_server_that_states_no_slowness_has_none_and_another_instance_reports_it():
    """The own answers of a server outweigh what a message reports, which is older."""
    record = make_fleet(make_entry("b1")).get("b1")
    record.record_load_sample(1, 0, NOW)
    assert record.speed is None and record.slowness == 1.0
    record.apply_reported_slowness(1.6, 1.6, NOW)
    assert record.slowness == 1.6
    record.record_load_sample(1, 0, NOW + 1.0, 0.6)
    record.apply_reported_slowness(4.0, 1.6, NOW + 1.2)
    assert record.speed.stated == 0.6


def test_usual_gap_is_that_of_streams_without_a_disturbance():
    """With the gaps of disturbed streams, no server would have seemed fit for any."""
    fleet = make_fleet(make_entry("fast"), make_entry("slow"))
    for name, slowness in (("fast", 0.6), ("slow", 1.6)):
        fleet.get(name).record_load_sample(0, 0, NOW, slowness)
    rng = random.Random(5)
    for count in range(24):
        record = fleet.get(rng.choice(("fast", "slow")))
        factor = 1.0 if rng.random() < 0.3 else DISTURBANCE_FACTOR
        fleet.record_gap(record, 0.044 * record.slowness * factor * rng.uniform(1.0, 1.1))
        assert (fleet.find_usual_gap("svc") is None) == (count < 5)
    assert 0.044 <= fleet.find_usual_gap("svc") <= 0.05
    assert fleet.find_usual_gap("other") is None


def test_message_that_is_late_or_comes_twice_changes_nothing_that_lasts():
    record = make_fleet(make_entry("b1")).get("b1")
    for number in range(20):
        record.apply_reported_slowness(1.0, 1.0, NOW + 0.5 * number)
    for _ in range(2):
        record.apply_reported_slowness(4.0, 1.6, NOW + 10.0)
    assert record.slowness == 1.0


def test_build_that_does_not_know_the_message_skips_it(monkeypatch):
    data = pack_message(SpeedsMessage("i1", "a", (("b1", 2.5, 1.0),)))
    assert unpack_message(data) == Success(SpeedsMessage("i1", "a", (("b1", 2.5, 1.0),)))
    monkeypatch.delitem(messages.KINDS, "speeds")
    assert unpack_message(data) == Success(UnknownMessage("speeds"))


@pytest.mark.parametrize("load", ["1,0,6,160", "1,0,6"])
def test_slowness_that_one_instance_was_told_reaches_the_others(load):
    """An instance without requests took a slow server for a usual one until its first answers.

    Nothing is sent if no server states its slowness.
    """

    async def state_load(exchange: Exchange) -> None:
        exchange.answer(200, b"done", f"Rhubarbshed-Server-Load: {load}")

    async def scene():
        configuration = make_configuration(make_route())
        replica = Replica("b1", reply=state_load)
        async with run_edge(configuration, replica, has_pressure=True) as edge:
            await edge.wait_until(lambda: edge.node.lease.lease_state.held)
            others = [
                Node.from_settings(make_settings(edge.store.address, name=name), "")
                for name in ("i2", "i3")
            ]
            tasks = [asyncio.create_task(other.run()) for other in others]
            await edge.wait_until(lambda: len(edge.node.holder_protocol.instances) == 2)
            first, edge.node = edge.node, others[0]
            assert (await edge.ask()).status == 200
            edge.node = first
            fleets = [node.view.fleet for node in (first, others[1])]
            if load.count(",") == 3:
                await edge.wait_until(lambda: all(each.get("b1").speed for each in fleets))
                assert all(each.get("b1").slowness == 1.6 for each in fleets)
                assert (await edge.ask()).status == 200
                found = edge.node.metrics.observations
                assert found["chosen_slowness",].sum_s == 1.6 and ("load_age_seconds",) in found
            else:
                await asyncio.sleep(1.5)
                assert not any(each.get("b1").speed for each in fleets)
            for other in others:
                other.stop.set()
                other.view.drain.announce_s = other.view.drain.drain_s = 0.0
            await asyncio.gather(*tasks)

    play(scene)
