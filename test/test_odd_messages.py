"""Datagrams of anybody, rows of the own tables and configurations end no instance."""

import asyncio
import json
import time

import msgpack
import pytest
from returns.result import Success

from rhubarbshed.coordination.requests.trial_records import TrialRecord, plan_trial
from rhubarbshed.coordination.requests.verdicts import TRIAL_PAUSES_S
from rhubarbshed.coordination.serving.choice import Choice, choose_server
from rhubarbshed.platform.headers import SERVER_LOAD, read_head
from rhubarbshed.platform.rows import OWN_TABLE, QUARANTINE_TABLE
from rhubarbshed.protocol.crash_messages import CrashMessage
from rhubarbshed.protocol.exchanges import StatedLoad
from rhubarbshed.protocol.messages import (
    FORMAT,
    KINDS,
    DemandMessage,
    pack_message,
    unpack_message,
)
from rhubarbshed.transport.edge import follower
from rhubarbshed.transport.edge.datagrams import Datagrams
from rhubarbshed.transport.edge.holder_protocol import KnownHolder
from rhubarbshed.util.clocks import read_lease_clock
from standin.replica import Replica
from test.helper_edge import make_configuration, make_engine_service, make_host, make_route
from test.helper_odd_values import ODD_JSON, PEER, PLACE, MemoryNode, fill, play_odd

ODD_PARTS = {
    "none": None,
    "true": True,
    "number beyond 53 bits": 2**64 - 1,
    "negative": -(2**63),
    "NaN": float("nan"),
    "infinity": float("inf"),
    "1e300": 1e300,
    "fraction": 1.5,
    "text": "x",
    "empty text": "",
    "long text": "a" * 60_000,
    "bytes": b"\xff",
    "list": ["x", 3],
    "nested": [[[[]]]],
    "object": {"x": 1},
    "thousands": list(range(9_000)),
}
REPLICA = Replica("b1", models={"m1": ["a1"]}, address=("127.0.0.1", 1)).describe()
KEY = b"k" * 16
SAMPLES = {
    "demand": ("i2", "a", [("svc", "m1", "a1", 1, 2, 1, 0.5)], [("svc", "m2", "")],
               [("b1", 1, "m1", "a1")], [("b1", 3)]),
    "holder": ("i2", "b", "127.0.0.3", 7000, 9, True, 2, 3, [("b1", 1, [("m1", ["a1"])])],
               [("b1", "m2", 1.0, "")], [("c", "127.0.0.4", 7000)], [("b1", 3)]),
    "plans": ("i2", "b", 9, True, ["b1"], [("b1", "m1")]),
    "news": ("i2", "a", 9, 1, True, 2, 4, [("b9", 4, REPLICA)]),
    "origins": ([("s1", "svc", "v1")], [1]),
    "origin_question": (["s1"],),
    "origin_reply": ([("s1", "svc", "v1")], ["s2"], [("svc", "v1")], [1], 5),
    "instances": ("a", 9, "a", 1, 0, 1, b"", [("::1", 7000)]),
    "instances_question": (),
    "crash": ("b1", 1, [(KEY, KEY, 1, 1, True, "b2", 1)], [KEY]),
    "crash_question": (1,),
    "trial": ([KEY],),
    "begun_parts": ([KEY],),
    "limit": ("b1", 1, 5.0),
    "limit_question": (1, "b1", 1, 5.0, 1, 1),
    "limit_reply": (1, 1, 1, 1),
    "credit_question": (1, "a1", 1, 5.0, 5.0, 5.0),
    "credit_reply": (1, 5.0, 1),
}  # fmt: skip
LEASE = {"holder": "i2", "host": "127.0.0.3", "port": 7000, "nonce": "n"}
VERDICT = {
    "trials": 1,
    "next_ms": 5.0,
    "written_ms": 1.0,
    "ends": [pack_message(CrashMessage("b1", 1)).hex()],
}
CONFIGURATION = make_configuration(
    make_route(), version=2, Services=[make_engine_service({"m1": 2, "m2": 0})]
)


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    for name in ("CHANGE_BATCH_S", "PAUSE_FIRST_S", "PAUSE_LONGEST_S", "RETRY_DELEGATION_S"):
        monkeypatch.setattr(follower, name, 0.001)


def replace_each(value: object, odd: object) -> list[object]:
    """Return copies of a value, each with an odd one in place of one of its parts."""
    copies = [odd]
    if isinstance(value, dict):
        for key, part in value.items():
            copies += [{**value, key: other} for other in replace_each(part, odd)]
    elif isinstance(value, list | tuple):
        for index, part in enumerate(value):
            head, tail = list(value[:index]), list(value[index + 1 :])
            copies += [[*head, other, *tail] for other in replace_each(part, odd)]
        copies += [[*value, odd], list(value)[:-1]]
    return copies


def choose_after(memory: MemoryNode) -> None:
    """Check that a request finds the server."""
    node, now = memory.node, time.monotonic()
    chosen = choose_server(
        node.view.fleet, "svc", ("", ""), frozenset(), "a", now, node.view.rng,
        instances=node.view.budget.instances,
    )  # fmt: skip
    assert isinstance(chosen, Choice)


@pytest.mark.parametrize("is_holder", [True, False], ids=["holder", "other"])
@pytest.mark.parametrize("kind", KINDS)
def test_odd_datagram_ends_no_instance(kind, is_holder, caplog):
    async def scene():
        async with MemoryNode.start() as memory:
            await memory.settle()
            memory.use()
            memory.node.lease.lease_state.held = is_holder
            for odd in ODD_PARTS.values():
                for parts in replace_each(SAMPLES[kind], odd):
                    listed = parts if isinstance(parts, list) else [parts]
                    data = msgpack.packb((FORMAT, kind, *listed))
                    memory.node.holder_protocol.datagrams.datagram_received(data, PEER)
                memory.use()
                await asyncio.sleep(0)
            memory.node.lease.lease_state.held = True
            memory.node.lease.lease_state.may_order_until = read_lease_clock() + 60.0
            memory.use()
            choose_after(memory)
            memory.read_sent()

    play_odd(scene)
    assert "never retrieved" not in caplog.text


def test_names_and_sums_that_others_would_refuse_are_not_sent():
    """One of them made the whole message unreadable, with the demand for sound models."""

    async def scene():
        async with MemoryNode.start() as memory:
            protocol = memory.node.holder_protocol
            await memory.settle()
            protocol.lease.holder_address = PEER
            protocol.holders["b"] = KnownHolder(PEER, 1, time.monotonic(), 1)
            for is_holder in (True, False):
                memory.node.lease.lease_state.held = is_holder
                for name in ("m" * 300, "\ud800"):
                    protocol.report_awaited("svc", name, "")
                    protocol.report_missing("b1", 1, "m1", name)
                protocol.count_demand("svc", "m1", "", 2**60)
                protocol.awaited_reported_at.clear()
                protocol.report_awaited("svc", "m2", "")
                memory.use()
            sent = [each for each in memory.read_sent() if isinstance(each, DemandMessage)]
            assert {target for each in sent for target in each.awaited} == {("svc", "m2", "")}

    play_odd(scene)


@pytest.mark.parametrize("load", [b"999999999,0,8", b"600000,600000,8", b"1000000,0,1", b"3,0,8"])
def test_load_that_others_would_refuse_is_not_sent(load):
    """One server's header made all of the message unreadable."""
    head = read_head(200, ((SERVER_LOAD, load),))
    loads = (("b1", head.load.running + head.load.waiting),) if head.load is not None else ()
    message = DemandMessage("i1", "a", loads=loads)
    assert unpack_message(pack_message(message)) == Success(message)


@pytest.mark.parametrize(
    ("figures", "load"),
    [
        (b"3,1,8", StatedLoad(3, 1, 8)),
        (b"3,1,8,100", StatedLoad(3, 1, 8, 1.0)),
        (b"3, 1, 8, 250", StatedLoad(3, 1, 8, 2.5)),
        (b"3,1,8,62.5", StatedLoad(3, 1, 8, 0.625)),
        (b"3,1", None),
        (b"3,1,8,100,1", None),
        (b"3,1,8,", None),
        (b"3,1,8,0", None),
        (b"3,1,8,-60", None),
        (b"3,1,8,nan", None),
        (b"3,1,8,inf", None),
        (b"3,1,8,1e8", None),
    ],
)
def test_load_of_four_figures_is_read_and_an_odd_one_is_noted(figures, load):
    """Loads with a fourth figure were discarded, so no load of those servers was known."""
    head = read_head(200, ((SERVER_LOAD, figures),))
    assert (head.load, head.has_odd_load) == (load, load is None)
    assert not read_head(200, ()).has_odd_load


@pytest.mark.parametrize("name", ["whole", *LEASE])
def test_odd_value_in_a_lease_row_cuts_off_no_instance(name):
    template = PLACE if name == "whole" else {**LEASE, name: PLACE}
    ports = {"port 0": "0", "port 70000": "70000", "name": '"a.example"'}

    async def scene():
        async with MemoryNode.start() as memory:
            await memory.settle()
            node = memory.node
            for raw in (*ODD_JSON.values(), *ports.values()):
                for data_centre in "ab":
                    key = f"orders/{data_centre}"
                    memory.store.rows.put(OWN_TABLE, key, fill(template, raw))
                node.lease.lease_state.held = False
                await node.lease._read()
                await node.lease._read_other_holders()
                node.lease.lease_state.last_received_at = -1e9
                node.holder_protocol.report_demand(time.monotonic())
                node.instance_lists.check(time.monotonic())
                node.lease.lease_state.held = True
                memory.use()
            for number in range(2_000):
                memory.store.rows.put(
                    OWN_TABLE, f"orders/z{number}" + "\ud800" * (number % 2), LEASE
                )
            memory.store.rows.put(OWN_TABLE, "orders/b", LEASE)
            await node.lease._read_other_holders()
            assert node.holder_protocol.holders["b"].address == ("127.0.0.3", 7000)
            memory.use()
            memory.read_sent()

    play_odd(scene)


@pytest.mark.parametrize("port", [70_000, -1])
def test_datagram_to_an_odd_address_leaves_the_socket_open(port):
    """An address that a socket takes for a defect closed the endpoint for good."""

    async def scene():
        sender, receiver = Datagrams(print), Datagrams(lambda read, _: got.append(read))
        await sender.listen((make_host(1), 0))
        await receiver.listen((make_host(2), 0))
        address = receiver._transport.get_extra_info("sockname")
        sender.send(DemandMessage("i1", "a"), (make_host(2), port), ("a\ud800", 1), address)
        await asyncio.sleep(0.05)
        sender.send(DemandMessage("i1", "a"), address)
        await asyncio.sleep(0.05)
        assert len(got) == 2
        sender.close()
        receiver.close()

    got: list[object] = []
    play_odd(scene)


def test_message_that_cannot_be_packed_is_left_out():
    async def scene():
        async with MemoryNode.start() as memory:
            datagrams = memory.node.holder_protocol.datagrams
            for odd in (2**70, "\ud800", object(), "a" * 70_000):
                datagrams.send(DemandMessage("i1", odd), PEER)
            datagrams.send(DemandMessage("i1", "a"), PEER)
            assert memory.read_sent() == [DemandMessage("i1", "a")]

    play_odd(scene)


@pytest.mark.parametrize("name", ["whole", *VERDICT, "end"])
def test_odd_value_in_a_verdict_row_ends_no_instance(name):
    changed = {"ends": [PLACE]} if name == "end" else {name: PLACE}
    template = PLACE if name == "whole" else {**VERDICT, **changed}
    key = KEY.hex()

    async def scene():
        async with MemoryNode.start() as memory:
            await memory.settle()
            crashes = memory.node.crashes
            for raw in ODD_JSON.values():
                memory.store.rows.put(QUARANTINE_TABLE, key, fill(template, raw))
                await crashes._read_stored()
                await crashes.verdict_store.claim_trial((key, "other"))
                await crashes.verdict_store.add_verdict(key, (), 5.0)
                crashes.quarantine.forget_old(time.monotonic())
                memory.use()
            assert crashes.is_store_read
            sound = {**VERDICT, "next_ms": 0.0}
            memory.store.rows.put(QUARANTINE_TABLE, key, json.dumps(sound).encode())
            await crashes.verdict_store.claim_trial((key,))
            written = json.loads(memory.store.rows.rows[QUARANTINE_TABLE, key][0])
            assert written["trials"] == 2

    play_odd(scene)


def test_trial_that_a_row_puts_off_for_years_is_due_after_the_longest_pause():
    plan = plan_trial({"k": TrialRecord(next_ms=2.0**52)}, ["k"], 1.0)
    assert not plan.records and plan.wait_s == TRIAL_PAUSES_S[-1]


def list_templates(value: object) -> list[object]:
    """Return copies of a configuration, each with a place for one of its parts."""
    return replace_each(value, PLACE)


@pytest.mark.parametrize("name", ODD_JSON)
def test_odd_value_in_a_configuration_ends_no_instance(name):
    async def scene():
        async with MemoryNode.start() as memory:
            await memory.settle()
            view = memory.node.view
            for template in list_templates(CONFIGURATION):
                view.configuration = None
                memory.store.rows.put("op", "config", fill(template, ODD_JSON[name]))
                before = view.configured_at
                for _ in range(500):
                    if view.configured_at > before:
                        break
                    await asyncio.sleep(0.0005)
                await memory.settle()
                memory.use()
                if view.configuration is not None:
                    view.configuration.find_route("svc.example", "/p/x")
                    assert view.limits.idle_timeout_s < 1e9
            view.configuration = None
            memory.store.rows.put("op", "config", CONFIGURATION)
            for _ in range(500):
                await asyncio.sleep(0.001)
                if view.configuration is not None:
                    return
            raise AssertionError("the configuration is not followed")

    play_odd(scene)
