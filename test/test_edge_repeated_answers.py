"""Servers that write an earlier answer of a kept connection once more."""

import asyncio
import itertools
import logging
import re
import time
from collections.abc import Callable

import pytest
from attrs import define, field, frozen

from rhubarbshed.coordination.serving.retry_budget import REFUSED_ATTEMPTS_MAX
from rhubarbshed.protocol.orders import OrderKind
from rhubarbshed.protocol.servers import OrderEnd, ServerOrder
from rhubarbshed.transport.edge import channels
from standin.repeats import EVENTS, PAUSE_S, RUN_S, Repeater, RepeatingReplica, When, drop_id
from standin.replica import Exchange, Replica
from test.helper_cuts import run_cut_scene
from test.helper_edge import (
    Answer,
    Edge,
    make_configuration,
    make_engine_service,
    make_route,
    play,
    run_edge,
)

KINDS = {
    "idempotent": make_route("idempotent", "/p/"),
    "unsafe": make_route("non_idempotent", "/u/"),
    "stream": make_route("streaming", "/n/", Attempts=1, TargetGapMs=150),
    "resumable": make_route("streaming", "/s/", Resumable=True, Attempts=4, TargetGapMs=150),
}
BROKEN_OFF = "broken_off"
KINDS[BROKEN_OFF] = KINDS["resumable"]
ENGINES = make_configuration(KINDS["resumable"], Services=[make_engine_service({"m1": 0, "m2": 0})])
CONFIGURATION = make_configuration(KINDS["idempotent"])
BUDGET = {"retry_ratio": 1.0, "retry_extra": 1000.0}
REFUSALS = (408, 421, 429, 503)
LATER = 2
"""Requests that follow on the first one of each server."""


def change_id(answer: bytes) -> bytes:
    return re.sub(rb"(Rhubarbshed-Request-Id: )[^\r]*", rb"\1other", answer)


def refuse(status: int):
    return lambda exchange: exchange.refuse(status)


def refuse_unnamed(exchange: Exchange) -> None:
    exchange.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nRhubarbshed-Not-Executed: 1\r\n\r\n")


def serve(exchange: Exchange) -> None:
    exchange.answer(200, b"done:" + exchange.request_id.encode())


def serve_unnamed(exchange: Exchange) -> None:
    head = b"HTTP/1.1 200 X\r\nContent-Length: 5\r\nRhubarbshed-Response-Signature: s\r\n\r\n"
    exchange.write(head + b"first")


def serve_stream(exchange: Exchange) -> None:
    exchange.begin_stream()
    exchange.send_event(1, exchange.request_id)
    exchange.end_stream()


def fail(exchange: Exchange) -> None:
    exchange.answer(500, b"failed")


@frozen
class Copy:
    """First answer, and what is changed in its copy."""

    first: Callable[[Exchange], None]
    change: Callable[[bytes], bytes] = bytes


COPIES = {
    "503": Copy(refuse(503)),
    "503 without an id": Copy(refuse_unnamed),
    "503 that lost its id": Copy(refuse(503), drop_id),
    "503 of another id": Copy(refuse(503), change_id),
    "429": Copy(refuse(429)),
    "421": Copy(refuse(421)),
    "400": Copy(refuse(400)),
    "200": Copy(serve),
    "200 without an id": Copy(serve_unnamed),
    "200 that lost its id": Copy(serve, drop_id),
    "200 stream": Copy(serve_stream),
    "200 stream that lost its id": Copy(serve_stream, drop_id),
    "500": Copy(fail),
}


def make_body(path: str, request_id: str) -> bytes:
    if path.startswith(("/p/", "/u/")):
        return b"done:" + request_id.encode()
    events = (f"id: {n}\ndata: t{n} {request_id}\n\n" for n in range(1, EVENTS + 1))
    return "".join(events).encode()


def find_faults(
    path: str, request_id: str, answer: Answer, runs: list[str], is_first: bool
) -> list[str]:
    """Return what is wrong with the answer to one request, given the ids of all runs.

    The first one at a server may be answered by its first answer.
    """
    ran = runs.count(request_id)
    faults = []
    if answer.status in REFUSALS and ran:
        faults.append(f"{answer.status}, and it ran")
    if ran > (1 if path.startswith(("/u/", "/n/")) else 2 + 2 * path.startswith("/s/")):
        faults.append(f"ran {ran} times")
    if is_first:
        return faults
    if answer.status == 200 and answer.whole and answer.body != make_body(path, request_id):
        faults.append(f"got {answer.body!r}")
    if answer.status != 200 or not answer.whole:
        faults.append(f"not served: {answer.status}")
    return faults


@define(eq=False)
class Case:
    """Servers of one service, each with a first answer that it writes once more."""

    prefix: str
    servers: list[tuple[Replica, Repeater]]
    faults: list[str] = field(factory=list)

    async def play(self, edge: Edge, breaks: bool) -> None:
        """Send requests to each server until it has given its first answer, and some more."""
        records = [edge.node.view.fleet.get(replica.server_id) for replica, _ in self.servers]
        for record, (_, repeater) in zip(records, self.servers, strict=True):
            record.open -= 100
            while repeater.first_id is None:
                await self.ask(edge)
            record.open += 100
        for _, repeater in self.servers:
            repeater.breaks = breaks
        for _ in range(LATER):
            await self.ask(edge)

    async def ask(self, edge: Edge) -> None:
        """Send a request and note what is wrong with its answer."""
        repeaters = [repeater for _, repeater in self.servers]
        request_id = f"q{time.monotonic_ns()}"
        answer = await edge.ask(self.prefix + "x", b"x", Rhubarbshed_Request_Id=request_id)
        await asyncio.sleep(RUN_S + 3 * PAUSE_S)
        runs = [each for repeater in repeaters for each in repeater.runs]
        is_first = request_id in [repeater.first_id for repeater in repeaters]
        self.faults += find_faults(self.prefix, request_id, answer, runs, is_first)


async def play_cases(kind: str, when: When) -> dict[tuple[str, str], list[str]]:
    """Return what is wrong for each first answer, written once more to its request or others."""
    routes, cases = [], {}
    for number, (name, spares_first) in enumerate(itertools.product(COPIES, (False, True))):
        service, prefix = f"svc{number}", f"{KINDS[kind]['Prefix']}{number}/"
        copy, servers = COPIES[name], []
        for each in range(2 if kind == BROKEN_OFF else 1):
            repeater = Repeater(copy.first, when, copy.change, spares_first)
            servers.append((Replica(f"b{number}-{each}", service, reply=repeater), repeater))
        routes.append({**KINDS[kind], "Prefix": prefix, "Service": service})
        cases[name, "others" if spares_first else "same"] = Case(prefix, servers)
    services = [{"Name": route["Service"], "HealthCheck": "/health"} for route in routes]
    replicas = [replica for case in cases.values() for replica, _ in case.servers]
    configuration = make_configuration(*routes, Services=services)
    async with run_edge(configuration, *replicas, **BUDGET) as edge:
        known = edge.node.view.fleet.servers
        await edge.wait_until(lambda: len(known) == len(replicas))
        await asyncio.gather(*(each.play(edge, kind == BROKEN_OFF) for each in cases.values()))
    return {name: case.faults for name, case in cases.items()}


@pytest.mark.parametrize("when", When, ids=lambda when: when.name.lower())
@pytest.mark.parametrize("kind", KINDS)
def test_earlier_answer_once_more_is_never_taken_for_the_next(kind, when):
    """Callers were refused requests that ran, and got answers to others' requests."""
    found = asyncio.run(play_cases(kind, when))
    assert not {name: faults for name, faults in found.items() if faults}


def test_earlier_answer_once_more_is_not_passed_on_to_another_instance():
    async def scene():
        async with run_cut_scene() as cuts:
            await cuts.cut("reset", "a1")
            edge = Edge(None, [], cuts["a1"], None)
            for name in ("503", "503 without an id", "200 without an id"):
                servers = []
                for replica in cuts.crashes.replicas.values():
                    replica.reply = Repeater(COPIES[name].first, When.BEFORE)
                    servers.append((replica, replica.reply))
                case = Case("/p/", servers)
                for _ in range(20):
                    await case.ask(edge)
                assert not case.faults, name

    play(scene)


def test_earlier_refusal_is_not_taken_for_an_answer_when_its_request_is_forwarded_here_again():
    async def scene():
        repeaters = [Repeater(refuse(503), When.BEFORE) for _ in range(REFUSED_ATTEMPTS_MAX)]
        replicas = [Replica(f"b{n}", reply=reply) for n, reply in enumerate(repeaters)]
        async with run_edge(CONFIGURATION, *replicas, **BUDGET) as edge:
            await edge.wait_until(lambda: len(edge.node.view.fleet.servers) == len(replicas))
            for status in (503, 200):
                answer = await edge.ask("/p/x", Rhubarbshed_Request_Id="q1")
                assert answer.status == status
            assert sum(len(each.runs) for each in repeaters) == 1

    play(scene)


def test_limit_in_an_earlier_refusal_once_more_is_not_in_force_again():
    async def scene():
        def refuse_with_limit(exchange: Exchange) -> None:
            exchange.answer(503, b"", "Rhubarbshed-Not-Executed: 1", "Server-Limit: 50")

        replica = Replica("b1", reply=Repeater(refuse_with_limit, When.BEFORE))
        async with run_edge(CONFIGURATION, replica, **BUDGET) as edge:
            assert (await edge.ask("/p/x")).status == 200
            assert edge.node.view.fleet.get("b1").limit_per_s is None

    play(scene)


def test_earlier_report_once_more_is_not_taken_for_a_new_one():
    """Engines were ordered to load by what they had held before."""

    async def scene():
        replica = RepeatingReplica("b1", models={"m1": []})
        async with run_edge(ENGINES, replica) as edge:
            dispatcher = edge.node.dispatcher
            await edge.wait_until(lambda: "b1" in dispatcher.list_known_engines(time.monotonic()))
            for orders in (1, 2, 3):
                replica.orders = orders
                await dispatcher.read_report("b1")
                assert dispatcher.engine_states["b1"].orders == orders

    play(scene)


def test_earlier_answer_to_an_order_once_more_is_not_taken_for_one_to_a_new_order():
    async def scene():
        replica = RepeatingReplica("b1", models={"m1": []})
        async with run_edge(ENGINES, replica) as edge:
            record = edge.node.view.fleet.get("b1")
            order = ServerOrder(OrderKind.LOAD, "m2", "i1", 1, "", 0)
            await edge.wait_until(edge.node.dispatcher.may_order)
            ends = [await edge.node.dispatcher.call_engine(record, order) for _ in range(3)]
            assert ends == [OrderEnd.ACCEPTED, OrderEnd.CONFLICT, OrderEnd.CONFLICT]

    play(scene)


@pytest.mark.parametrize("configuration", ("plain", "engine"))
def test_earlier_sign_of_life_once_more_is_none(configuration):
    """An answer that its server's end cut off would have been passed on as complete."""

    async def scene():
        is_engine = configuration == "engine"
        replica = RepeatingReplica("b1", models={"m1": []} if is_engine else {})
        async with run_edge(ENGINES if is_engine else CONFIGURATION, replica) as edge:
            record = edge.node.view.fleet.get("b1")
            service = edge.node.view.configuration.services["svc"]
            checks = edge.node.crashes.checks
            assert await checks.confirm_running(record, service)
            replica.server_id, replica.started_ms = "b2", 2
            assert not await checks.confirm_running(record, service)

    play(scene)


def test_earlier_answer_to_a_health_check_is_not_taken_for_the_next_request():
    async def scene():
        replica = RepeatingReplica("b1")
        async with run_edge(CONFIGURATION, replica, **BUDGET) as edge:
            record = edge.node.view.fleet.get("b1")
            service = edge.node.view.configuration.services["svc"]
            checks, ended = edge.node.crashes.checks, []
            checks.on_ended = lambda incarnation, now: ended.append(incarnation)
            replica.server_id = "b2"
            assert not await checks.confirm_running(record, service)
            replica.server_id = "b1"
            assert (await edge.ask("/p/x")).status == 200
            assert not ended

    play(scene)


def test_connection_is_given_up_before_the_ids_that_it_has_carried_use_much_memory(monkeypatch):
    monkeypatch.setattr(channels, "REQUESTS_MAX", 3)

    async def scene():
        async with run_edge(CONFIGURATION, Replica("b1")) as edge:
            for _ in range(6):
                assert (await edge.ask("/p/x")).status == 200
            assert edge.node.pool.opened == 2

    play(scene)


def test_late_answer_to_another_request_costs_no_attempt_and_is_logged(caplog):
    caplog.set_level(logging.INFO)

    async def scene():
        repeater = Repeater(serve, When.BEFORE)
        async with run_edge(CONFIGURATION, Replica("b1", reply=repeater)) as edge:
            for number in range(4):
                answer = await edge.ask("/p/x", Rhubarbshed_Request_Id=f"q{number}")
                assert answer.body == make_body("/p/", f"q{number}")
            assert repeater.runs == ["q0", "q1", "q2", "q3"]
            assert edge.node.pool.opened == 2

    play(scene)
    (skipped,) = [each for each in caplog.records if each.message == "response_skipped"]
    assert skipped.pairs["named"] == "q0" and skipped.pairs["earlier"] == 1
