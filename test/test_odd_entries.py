"""Rows of other writers, pages of the store and engines' reports end no instance.

Bytes that another writer left among the entries ended each order holder that published them.
"""

import asyncio
import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from rhubarbshed.platform.orders import make_health_call, make_order
from rhubarbshed.platform.records import (
    read_configuration,
    read_entries,
    read_report,
    read_server,
    write_entry,
)
from rhubarbshed.protocol.messages import (
    DemandMessage,
    HolderMessage,
    StoreMessage,
    pack_message,
    unpack_message,
)
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.servers import ServerOrder
from rhubarbshed.protocol.tables import Row, TableError, TableFault
from rhubarbshed.state.placement.engine_states import EngineState
from rhubarbshed.transport.edge import follower, order_dispatcher
from rhubarbshed.transport.edge.control import ControlAnswer
from rhubarbshed.transport.edge.holder_messages import list_changes, list_held, split_changes
from standin.replica import Replica
from test.helper_edge import make_configuration, make_engine_service, make_route
from test.helper_odd_values import ODD_JSON, PEER, PLACE, MemoryNode, fill, play_odd

ENTRY = Replica("x", models={"m1": ["a1"]}, address=("127.0.0.1", 2)).describe(RemainingMs=500)
ENTRIES = {
    "whole": PLACE,
    **{name: {**ENTRY, name: PLACE} for name in (*ENTRY, "Unused")},
    "model": {**ENTRY, "Models": [PLACE]},
    "model name": {**ENTRY, "Models": [{"Name": PLACE, "Adapters": []}]},
    "weights": {**ENTRY, "Models": [{"Name": "m1", "Version": PLACE}]},
    "adapters": {**ENTRY, "Models": [{"Name": "m1", "Adapters": PLACE}]},
    "adapter": {**ENTRY, "Models": [{"Name": "m1", "Adapters": ["a1", PLACE]}]},
    "cached": {**ENTRY, "AtHand": PLACE},
    "in memory": {**ENTRY, "AtHand": {"InMemory": PLACE}},
    "on disk": {**ENTRY, "AtHand": {"OnDisk": ["m1", PLACE]}},
}
DROPPED = ("ColdRemainingMs", "Unused")
"""Fields of an entry that no instance uses."""

KEYS = {
    "surrogate": "\ud800",
    "surrogate inside": "a\udfffb",
    "long": "k" * 300,
    "control": "a\x00\n\x7f",
    "empty": "",
}
PAGE = {"Rows": [], "HasMore": False, "Ver": 1, "NowMs": 5}
ROW = {"Table": "servers", "part": "", "Key": "x", "Ver": 1, "Value": "e30="}
PAGES = {
    "whole": PLACE,
    **{name: {**PAGE, name: PLACE} for name in PAGE},
    **{f"row's {name}": {**PAGE, "Rows": [{**ROW, name: PLACE}]} for name in (*ROW, "Deleted")},
    "row": {**PAGE, "Rows": [PLACE]},
    "last key": {**PAGE, "Rows": [{**ROW, "Key": PLACE}], "HasMore": True},
}
REPORT = {
    "Models": [{"Name": "m1", "Version": 1, "Adapters": []}],
    "Busy": False,
    "Seq": 2,
    "Queued": 1,
    "Active": 2,
    "KvUsed": 1,
    "KvTotal": 2,
    "born": 1,
    "Pending": ["m1/a1@1"],
    "AtHand": {"InMemory": ["m1"], "OnDisk": ["m2"]},
}
CONFIGURATION = make_configuration(
    make_route(), version=2, Services=[make_engine_service({"m1": 2, "m2": 0})]
)
REPORTS = {
    "whole": PLACE,
    **{name: {**REPORT, name: PLACE} for name in (*REPORT, "Unused")},
    "model": {**REPORT, "Models": [PLACE]},
    "model name": {**REPORT, "Models": [{"Name": PLACE, "Adapters": []}]},
    "adapters": {**REPORT, "Models": [{"Name": "m1", "Adapters": PLACE}]},
    "adapter": {**REPORT, "Models": [{"Name": "m1", "Adapters": ["a1", PLACE]}]},
    "pending": {**REPORT, "Pending": [PLACE]},
    "in memory": {**REPORT, "AtHand": {"InMemory": PLACE, "OnDisk": ["m1"]}},
    "on disk": {**REPORT, "AtHand": {"InMemory": ["m1"], "OnDisk": PLACE}},
}


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    for name in ("CHANGE_BATCH_S", "PAUSE_FIRST_S", "PAUSE_LONGEST_S", "RETRY_DELEGATION_S"):
        monkeypatch.setattr(follower, name, 0.001)


@pytest.fixture(autouse=True)
def engines(monkeypatch):
    """Answer calls to engines with what a test sets, at first not at all."""
    answers = [Failure(TableError(TableFault.UNAVAILABLE))]

    async def call(*_: object) -> Result[ControlAnswer, TableError]:
        await asyncio.sleep(0)
        return answers[0]

    monkeypatch.setattr(order_dispatcher, "call_server", call)
    return answers


async def check_followed(memory: MemoryNode) -> None:
    """Check that a sound entry that is written now is known here and sent to others."""
    await memory.settle()
    memory.use()
    sound = Replica("b2", address=("127.0.0.1", 3)).describe()
    memory.store.rows.put("servers", "b2", sound)
    await memory.settle()
    memory.use()
    assert {"b1", "b2"} <= set(memory.node.view.fleet.servers)
    messages = [each for each in memory.read_sent() if isinstance(each, StoreMessage)]
    assert any(key == "b2" and value for each in messages for key, _, value in each.rows)


@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("name", ENTRIES)
def test_odd_value_in_an_entry_ends_no_instance_that_follows(name, when):
    async def scene():
        async with MemoryNode.start() as memory:
            if when == "after":
                await memory.settle()
            for number, raw in enumerate(ODD_JSON.values()):
                memory.store.rows.put("servers", f"x{number}", fill(ENTRIES[name], raw))
            await check_followed(memory)

    play_odd(scene)


@pytest.mark.parametrize("key", KEYS.values(), ids=KEYS)
def test_odd_key_of_an_entry_ends_no_instance_that_follows(key):
    async def scene():
        async with MemoryNode.start() as memory:
            await memory.settle()
            memory.store.rows.put("servers", key, ENTRY)
            await memory.settle()
            memory.store.rows.remove("servers", key)
            await check_followed(memory)
            assert key not in memory.node.view.fleet.servers

    play_odd(scene)


def test_entry_goes_on_to_other_instances_in_the_format_of_the_platform():
    """Instances of other builds read it as they read a row of the store."""
    cached = {"InMemory": ["m1"], "OnDisk": ["m1", "m2"]}
    plain = {**ENTRY, "AtHand": cached, "Unused": 10**30}
    sound, odd, removed = read_entries(
        (Row("x", 5, plain, 5), Row("x", 6, {**plain, "Slots": "8"}, 6), Row("x", 7, None, 7))
    )
    known = {name: value for name, value in plain.items() if name not in DROPPED}
    known["Models"] = [{"Name": "m1", "Adapters": ["a1"]}]
    assert write_entry(sound) == known
    message = StoreMessage("i1", "a", 1, 1, True, 4, 5, (("x", 5, write_entry(sound)),))
    ((_, _, received),) = unpack_message(pack_message(message)).unwrap().rows
    assert read_server("x", received) == Success(sound.entry)
    assert (write_entry(odd), write_entry(removed)) == ({}, None)


def test_long_lists_of_many_servers_reach_others_in_messages_that_fit(engines):
    """Too many bytes for one datagram were lost without a trace, with all else in it."""
    names = [f"adapter-{number:04}" for number in range(1_500)]
    models = [{"Name": "m1", "Version": 1, "Adapters": names}]
    report = {**REPORT, "Models": models, "Pending": []}
    keys = {f"x{number}" for number in range(12)}

    async def scene():
        async with MemoryNode.start() as memory:
            await memory.settle()
            for key in sorted(keys):
                memory.store.rows.put("servers", key, {**ENTRY, "Models": models})
            await memory.settle()
            engines[0] = Success(ControlAnswer(200, json.dumps(report).encode()))
            memory.use()
            for key in keys:
                await memory.node.dispatcher.read_report(key)
            for _ in range(12):
                memory.use()
            for number in range(3_000):
                memory.node.holder_protocol.count_demand("svc", f"model-{number}", "", 1)
            memory.node.lease.lease_state.held = False
            memory.node.lease.holder_address = PEER
            memory.use()
            sent = memory.read_sent()
            rows = {row[0] for each in sent if isinstance(each, StoreMessage) for row in each.rows}
            held = {row[0] for each in sent if isinstance(each, HolderMessage) for row in each.held}
            counts = [
                row for each in sent if isinstance(each, DemandMessage) for row in each.counts
            ]
            assert keys <= rows and keys <= held and len(counts) == 3_000

    play_odd(scene)


@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("name", PAGES)
def test_odd_value_in_a_page_ends_no_instance_that_follows(name, when):
    async def scene():
        for raw in ODD_JSON.values():
            async with MemoryNode.start() as memory:
                if when == "after":
                    await memory.settle()
                    memory.store.rows.put("servers", "b3", ENTRY)
                memory.store.answers += [(200, fill(PAGES[name], raw))] * 2
                await check_followed(memory)

    play_odd(scene)


@pytest.mark.parametrize("name", REPORTS)
def test_odd_value_in_a_report_ends_no_instance_that_gives_orders(name, engines):
    async def scene():
        async with MemoryNode.start() as memory:
            await memory.settle()
            memory.use()
            dispatcher = memory.node.dispatcher
            for raw in ODD_JSON.values():
                engines[0] = Success(ControlAnswer(200, fill(REPORTS[name], raw)))
                await dispatcher.read_report("b1")
                memory.use()
                for engine_state in dispatcher.engine_states.values():
                    engine_state.complete_pending(math.inf)
                memory.use()
            engines[0] = Success(ControlAnswer(200, json.dumps(REPORT).encode()))
            await dispatcher.read_report("b1")
            assert dispatcher.engine_states["b1"].orders == 2
            memory.use()
            memory.read_sent()

    play_odd(scene)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=2**62, max_value=2**70)
    | st.floats()
    | st.text(st.characters(exclude_categories=()), max_size=5)
    | st.sampled_from(["ready", "svc", "127.0.0.1:80", "m1", "streaming", "/", "m1/a1@1"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=6,
)


@st.composite
def mutated(draw: st.DrawFn, sample: object) -> object:
    """Draw a copy of a sample in which some parts are other values."""
    if draw(st.integers(0, 9)) == 0:
        return draw(JSON)
    if isinstance(sample, dict):
        kept = {name: value for name, value in sample.items() if draw(st.integers(0, 19))}
        return {name: draw(mutated(value)) for name, value in kept.items()}
    if isinstance(sample, list):
        return [draw(mutated(each)) for each in sample for _ in range(draw(st.integers(1, 2)))]
    return sample


@given(mutated({**ENTRY, "AtHand": {"InMemory": ["m1"], "OnDisk": ["m1"]}}), st.text(max_size=4))
def test_any_entry_can_be_sent_once_it_was_read(plain, key):
    value = plain if isinstance(plain, dict) else {}
    (change,) = read_entries((Row(key, 5, value, 5),))
    ((_, _, rows),) = split_changes(4, 5, (change,))
    message = StoreMessage("i1", "a", 1, 1, True, 4, 5, rows)
    received = unpack_message(pack_message(message)).unwrap()
    assert [row[0] for row in received.rows] == [key]
    if change.entry is not None:
        assert read_server(key, received.rows[0][2]).unwrap() == change.entry


@given(mutated(REPORT))
def test_any_report_can_be_announced_once_it_was_read(plain):
    read = read_report(json.dumps(plain).encode())
    if isinstance(read, Success):
        state = EngineState("b1", 1)
        state.apply_report(read.unwrap(), 1.0)
        state.complete_pending(2.0)
        message = HolderMessage(
            "i1", "a", "127.0.0.1", 1, 1, True, 1, 0, list_held([state]), list_changes([state], 1.0)
        )
        assert isinstance(unpack_message(pack_message(message)), Success)


@given(mutated(CONFIGURATION))
def test_any_configuration_is_read_or_refused(plain):
    read = read_configuration(plain if isinstance(plain, dict) else {})
    if isinstance(read, Success):
        for service in read.unwrap().services.values():
            make_health_call("b1", service.health_path)
            for spec in service.engine.models.values() if service.engine is not None else ():
                order = ServerOrder(OrderKind.LOAD, spec.name, "i1", 1)
                assert make_order(order, "b1").body and min(spec.load_s, spec.size_mb) < math.inf
