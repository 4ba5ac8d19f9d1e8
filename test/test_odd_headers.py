"""Odd rows and odd headers at real instances: all go on, and other requests are answered."""

import asyncio
import time

import pytest

from rhubarbshed.platform.rows import OWN_TABLE
from standin.replica import Exchange, Replica
from test.helper_edge import (
    HOST,
    make_configuration,
    make_engine_service,
    make_route,
    play,
    read_answer,
    run_edge,
)
from test.helper_instances import run_instances
from test.helper_odd_values import ODD_JSON, PLACE, fill

ROUTES = (
    make_route("idempotent", "/p/"),
    make_route("streaming", "/s/", Resumable=True, TargetGapMs=150),
)
SERVICES = [make_engine_service({"m1": 2})]
ODD_FIELDS = ("Unused", "born", "Slots", "Address", "Zone", "Models")
ODD_VALUES = {
    "empty": b"",
    "NaN": b"nan",
    "infinity": b"inf",
    "negative": b"-1",
    "1e300": b"1e300",
    "1e400": b"1e400",
    "5,000 digits": b"9" * 5_000,
    "unicode digits": "\u0661".encode(),
    "latin-1": b"\xff\xfe",
    "underscore": b"1_0",
    "three": b"nan,inf,-1",
    "large three": b"1e300,1e300,8",
    "no slots": b"0,0,0",
    "pairs": b"a:1e300,\xff:nan,:,b:" + b"9" * 400,
    "timeout": b"timeout=-5, max=1e400",
    "long timeout": b"timeout=" + b"9" * 400,
    "8 KB": b"q" * 8_000,
}
ANSWERED = (
    "Rhubarbshed-Server-Load",
    "Server-Brittle",
    "Server-Limit",
    "Retry-After",
    "Keep-Alive",
    "Rhubarbshed-Instance-Id",
    "Rhubarbshed-Weight-Versions",
)
ASKED = (
    "Rhubarbshed-Request-Id",
    "Rhubarbshed-Model",
    "Rhubarbshed-Token-Count",
    "Rhubarbshed-Prompt-Prefix",
    "Rhubarbshed-Deadline-Remaining",
    "Last-Event-Id",
    "Resumes",
    "Rhubarbshed-Length-Hint",
    "Host",
)


@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("name", ODD_FIELDS)
def test_rows_of_another_writer_end_no_instance_of_several(name, when):
    async def scene():
        replicas = [Replica(f"b{number}", models={"m1": []}) for number in (1, 2)]
        for replica in replicas:
            await replica.start()
        template = {**replicas[0].describe(), name: PLACE}
        configuration = make_configuration(*ROUTES, Services=SERVICES)
        async with run_instances(a1="a", a2="a", a3="a") as instances:
            store = instances.store
            store.put("op", "config", configuration)
            store.put("servers", "b1", replicas[0].describe())
            await instances.wait_until(
                lambda: all(each.view.is_ready for each in instances.nodes.values())
            )
            if when == "before":
                await instances.kill("a3")
            for number, raw in enumerate(ODD_JSON.values()):
                store.put("servers", f"x{number}", fill(template, raw))
            if when == "before":
                instances.start("a3", "a")
            await asyncio.sleep(1.5)
            store.put("servers", "b2", replicas[1].describe())
            await instances.wait_until(
                lambda: all(
                    {"b1", "b2"} <= set(each.view.fleet.servers)
                    for each in instances.nodes.values()
                )
            )
        for replica in replicas:
            await replica.stop()

    play(scene)


@pytest.mark.parametrize(
    "value", [{"port": 70_000}, {"host": "\ud800"}, {"holder": {}, "port": "x"}]
)
def test_instances_agree_again_after_a_lease_row_of_another_writer(value):
    """The instance that read it sent to no address any more and followed no change."""
    row = {"holder": "x", "host": "127.0.0.1", "port": 9, "nonce": "x", **value}

    async def scene():
        async with run_instances(a1="a", a2="a") as instances:
            instances.store.put(OWN_TABLE, "orders/a", row)
            states = [each.lease.lease_state for each in instances.nodes.values()]
            await instances.wait_until(lambda: not any(each.held for each in states))
            await instances.wait_until(lambda: any(each.held for each in states))
            holder = instances[instances.find_holder("a")]
            before = time.monotonic()
            await instances.wait_until(
                lambda: any(at > before for at in holder.holder_protocol.instances.values())
            )
            await instances.wait_until(
                lambda: all(
                    each is holder or each.follower.message_received_at > before
                    for each in instances.nodes.values()
                )
            )

    play(scene)


async def send(edge, path: str, **headers: bytes):
    """Send a request with headers given as bytes; return its answer."""
    reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
    sent = {
        "Host": HOST.encode(),
        "Rhubarbshed-Request-Id": b"q1",
        "Rhubarbshed-Deadline-Remaining": b"1500",
        "Content-Length": b"1",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = [name.encode() + b": " + value for name, value in sent.items()]
    writer.write(b"\r\n".join([f"POST {path} HTTP/1.1".encode(), *lines]) + b"\r\n\r\nx")
    answer = await asyncio.wait_for(read_answer(reader), 5.0)
    writer.close()
    return answer


def check_sound(edge, caplog) -> None:
    """Check that the instance runs and has met no defect."""
    assert not edge.node.stop.is_set()
    assert "event=defect" not in caplog.text and "Exception in callback" not in caplog.text
    assert "never retrieved" not in caplog.text
    assert edge.node.metrics.render({})


@pytest.mark.parametrize("name", ANSWERED)
def test_odd_header_of_an_answer_is_no_defect(name, caplog):
    async def scene():
        odd = [b""]

        async def reply(exchange: Exchange) -> None:
            if exchange.target.startswith("/s/"):
                exchange.begin_stream(f"{name}: {odd[0].decode('latin-1')}")
                exchange.send_event(1)
                exchange.end_stream()
            else:
                exchange.answer(200, b"ok", f"{name}: {odd[0].decode('latin-1')}")

        replica = Replica("b1", models={"m1": []}, reply=reply)
        configuration = make_configuration(*ROUTES, Services=SERVICES)
        async with run_edge(configuration, replica) as edge:
            for value in ODD_VALUES.values():
                odd[0] = value
                for path in ("/p/x", "/s/x"):
                    answer = await send(edge, path)
                    assert answer.whole and answer.status in (200, 502, 503), (value, answer)
            odd[0] = b"1,0,8"
            edge.node.view.fleet.get("b1").limited_until = 0.0
            await edge.wait_until(lambda: edge.node.view.fleet.get("b1").takes_work(1e18))
            statuses = [(await send(edge, "/p/x")).status for _ in range(3)]
            assert 200 in statuses
            check_sound(edge, caplog)

    play(scene)


@pytest.mark.parametrize("name", ASKED)
def test_odd_header_of_a_caller_is_no_defect(name, caplog):
    async def scene():
        replica = Replica("b1", models={"m1": []})
        configuration = make_configuration(*ROUTES, Services=SERVICES)
        async with run_edge(configuration, replica) as edge:
            for value in ODD_VALUES.values():
                for path in ("/p/x", "/s/x"):
                    await send(edge, path, **{name: value})
            assert (await send(edge, "/p/x")).status == 200
            edge.node.holder_protocol.report_demand(1e9)
            check_sound(edge, caplog)

    play(scene)
