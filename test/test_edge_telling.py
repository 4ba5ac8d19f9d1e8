"""What an order holder tells, and what that costs its link."""

import asyncio
import random

from rhubarbshed.coordination.serving.lease_state import LeaseState, Step, draw_jitter
from rhubarbshed.coordination.serving.update_queue import FULL_CYCLE_S, UpdateQueue
from rhubarbshed.protocol.messages import pack_message
from rhubarbshed.state.placement.engine_states import EngineState
from rhubarbshed.transport.edge.holder_protocol import HOLDER_MESSAGE_INTERVAL_S
from rhubarbshed.transport.edge.node import Node
from rhubarbshed.transport.edge.view import LatchedSignal
from test.helper_edge import make_settings, play

ENGINES = {f"i-{number:010x}" for number in range(56)}
INSTANCES = 34
LINK_BYTES_PER_S = 5_000_000 / 8
"""The narrowest link of the grown deployments."""


def test_change_is_told_at_once_and_once_more_with_the_next_regular_word():
    updates = UpdateQueue()
    updates.record_change("b1")
    assert updates.has_unsent_changes()
    assert updates.choose_engines({"b1"}, None) == ["b1"]
    assert not updates.has_unsent_changes() and updates.choose_engines({"b1"}, None) == []
    updates.rotation.extend(["b2"])
    assert "b1" in updates.choose_engines({"b1", "b2"}, 0.25)
    assert updates.sends_left == {}


def test_each_engine_has_its_turn_in_time_and_a_regular_word_tells_of_few():
    updates = UpdateQueue()
    last = dict.fromkeys(ENGINES, 0.0)
    for step in range(1, 41):
        now = step * HOLDER_MESSAGE_INTERVAL_S
        told = updates.choose_engines(ENGINES, HOLDER_MESSAGE_INTERVAL_S)
        assert len(told) <= len(ENGINES) / 4
        for server_id in told:
            assert now - last[server_id] <= FULL_CYCLE_S + HOLDER_MESSAGE_INTERVAL_S
            last[server_id] = now
    assert (
        min(last.values())
        > 40 * HOLDER_MESSAGE_INTERVAL_S - FULL_CYCLE_S - HOLDER_MESSAGE_INTERVAL_S
    )


def test_engine_that_is_gone_is_not_told_of():
    updates = UpdateQueue()
    updates.record_change("b1")
    assert updates.choose_engines(set(), 0.25) == [] and updates.sends_left == {}


def test_regular_words_take_a_small_part_of_the_narrowest_link():
    """Each word told of all engines once, and each change of one of all: 4.5 Mbit/s."""
    node = Node.from_settings(make_settings(("127.0.0.1", 1)), "")
    places = {}
    for server_id in ENGINES:
        engine_state = places[server_id] = EngineState(server_id, 1_700_000_000_000, orders=1)
        engine_state.models = {"daka510000", "lode163d70", "ticu48c17c"}
        engine_state.adapters = {("daka510000", f"a{number}"): 0.0 for number in range(5)}
    sent_bytes = 0
    updates = node.dispatcher.updates
    for step in range(int(10 / HOLDER_MESSAGE_INTERVAL_S)):
        loads = {server_id: step % 7 * 4 for server_id in ENGINES}
        told = [
            places[each]
            for each in node.dispatcher.updates.choose_engines(ENGINES, HOLDER_MESSAGE_INTERVAL_S)
        ]
        words = node.holder_protocol.make_holder_messages(
            told, 0.0, updates.choose_loads(loads, step * HOLDER_MESSAGE_INTERVAL_S)
        )
        sent_bytes += sum(len(pack_message(word)) for word in words) * INSTANCES
    assert sent_bytes / 10 < 0.25 * LINK_BYTES_PER_S


def test_alarm_that_fires_while_nobody_waits_is_not_lost():
    async def scene():
        alarm = LatchedSignal()
        alarm.fire()
        await asyncio.wait_for(alarm.wait(5.0), 0.5)

    play(scene)


def test_large_instance_takes_the_lease_before_a_small_one():
    chance = random.Random(1)
    large = [draw_jitter(2.0, 100.0, chance) for _ in range(50)]
    small = [draw_jitter(0.361, 5.0, chance) for _ in range(50)]
    assert max(large) < min(small)


def test_instances_that_start_together_do_not_ask_for_the_lease_at_once():
    tenures = [LeaseState.from_start(3.0, 0.01 * number, 100.0) for number in range(30)]
    asking = [each for each in tenures if each.choose_step(100.05) is Step.READ]
    assert 0 < len(asking) < 10


def test_load_is_told_when_it_has_changed_and_not_too_often():
    updates = UpdateQueue()
    assert updates.choose_loads({"b1": 4, "b2": 30}, 1.0) == (("b1", 4), ("b2", 30))
    assert updates.choose_loads({"b1": 9, "b2": 30}, 1.2) == ()
    assert updates.choose_loads({"b1": 5, "b2": 33}, 1.6) == ()
    assert updates.choose_loads({"b1": 6, "b2": 37}, 2.2) == (("b1", 6), ("b2", 37))
