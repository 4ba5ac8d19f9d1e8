"""Every kind of change of the configuration at every state of a request."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from attrs import define

from standin.replica import Exchange, Replica, Reply
from test.helper_edge import (
    Answer,
    Edge,
    make_configuration,
    make_engine_service,
    make_route,
    play,
    read_answer,
    run_edge,
)
from test.test_edge_changes import ENGINES, LIMITS, ROUTES, change, make_head
from test.test_edge_drain import connect

LONG_LIMITS = {**LIMITS, "HeaderTimeoutMs": 5_000, "IdleTimeoutMs": 5_000}
LOWEST = {"MaxHeaderBytes": 10, "MaxBodyBytes": 1, "HeaderTimeoutMs": 1, "IdleTimeoutMs": 1}
FULL_PATH, SLOW_PATH, LONG_PATH = "/f/x", "/p/slow", "/p/long"
LONG_BYTES = 200_000
HANG_S = 10.0
FULL = make_route("idempotent", "/f/", Service="full", TargetLatencyMs=2_000)
FULL_SERVICE = {"Name": "full", "HealthCheck": "/health", "MaxConnections": 100}
SERVICES = [ENGINES, FULL_SERVICE]
ALL_ROUTES = (*ROUTES, FULL)
ANSWERED = {200, 502, 503, 504}
ANSWERED_OR_REFUSED = ANSWERED | {404, 408, 413, 431}
EMPTY_ENGINES = make_engine_service({})


def vary_routes(**fields: object) -> dict:
    """Return a configuration with fields of all routes changed."""
    routes = [{**each, **fields} for each in ALL_ROUTES]
    return make_configuration(*routes, Services=SERVICES, Limits=LONG_LIMITS)


def vary_limits(**fields: int) -> dict:
    """Return a configuration with fields of its limits changed."""
    limits = {**LONG_LIMITS, **fields}
    return make_configuration(*ALL_ROUTES, Services=SERVICES, Limits=limits)


def split(*weights: int) -> list[dict]:
    """Return a split of traffic over two services, the second one without servers."""
    return [
        {"Service": name, "Weight": n} for name, n in zip(("svc", "other"), weights, strict=True)
    ]


FIRST = vary_limits()
CHANGES = {
    **{f"{name} lowered": vary_limits(**{name: value}) for name, value in LOWEST.items()},
    **{f"{name} raised": vary_limits(**{name: 4 * value}) for name, value in LONG_LIMITS.items()},
    "limits lowered": vary_limits(**LOWEST),
    "limits dropped": {**FIRST, "Limits": {}},
    "routes dropped": {**FIRST, "Routes": []},
    "services dropped": {**FIRST, "Services": []},
    "all dropped": {"Routes": [], "Services": [], "Limits": LOWEST},
    "models dropped": {**FIRST, "Services": [EMPTY_ENGINES, FULL_SERVICE]},
    "one connection": {**FIRST, "Services": [{**ENGINES, "MaxConnections": 1}, FULL_SERVICE]},
    "other service": vary_routes(Service="other"),
    "other host": vary_routes(Host="other.example"),
    "longer prefixes": vary_routes(Prefix="/q/p/"),
    "split": vary_routes(TrafficSplit=split(1, 1)),
    "split away": vary_routes(TrafficSplit=split(0, 1)),
    "weights of 0": vary_routes(TrafficSplit=split(0, 0)),
    "short timeouts": vary_routes(TimeoutMs=1),
    "long timeouts": vary_routes(TimeoutMs=60_000),
    "targets of 1 ms": vary_routes(TargetLatencyMs=1, TargetGapMs=1),
    "one attempt": vary_routes(Attempts=1),
    "not to be repeated": vary_routes(Kind="non_idempotent", Resumable=False),
    "streams": vary_routes(Kind="streaming"),
    "last priority": vary_routes(Priority=9),
}


def answer_when(go: asyncio.Event) -> Reply:
    """Return a reply that is short or long by the path, and waits, in a stream after its head."""

    async def reply(exchange: Exchange) -> None:
        if exchange.target.startswith("/s/"):
            exchange.begin_stream()
            exchange.send_event(1)
        if exchange.target != "/p/x":
            await go.wait()
        if exchange.target.startswith("/s/"):
            exchange.send_event(2)
            exchange.end_stream()
        else:
            exchange.answer(200, bytes(LONG_BYTES) if exchange.target == LONG_PATH else b"done")

    return reply


async def refuse(exchange: Exchange) -> None:
    """Refuse as a full server does."""
    exchange.refuse()


@define
class Link:
    """Connection of a caller."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def open(cls, edge: Edge) -> "Link":
        """Open a connection to an instance."""
        return cls(*await asyncio.open_connection(*edge.node.settings.callers))

    def send(self, path: str, cut: int | None = None, **headers: str) -> bytes:
        """Send a request up to `cut` and return the rest."""
        data = make_head(path, 400, **{"Rhubarbshed_Model": "m1", **headers}) + b"x" * 400
        self.writer.write(data[:cut])
        return data[cut:] if cut is not None else b""


State = Callable[[Link], Awaitable[bytes]]
"""What brings a request into a state; returns the bytes to send after the change."""


async def open_only(link: Link) -> bytes:
    return make_head("/p/x", Rhubarbshed_Model="m1")


async def keep(link: Link) -> bytes:
    link.send("/p/x")
    assert (await read_answer(link.reader)).status == 200
    return make_head("/p/x", Rhubarbshed_Model="m1")


async def send_part_of_head(link: Link) -> bytes:
    return link.send("/p/x", 40)


async def send_part_of_body(link: Link) -> bytes:
    return link.send("/p/x", -200)


async def wait_for_load(link: Link) -> bytes:
    return link.send("/p/x", Rhubarbshed_Model="m2", Rhubarbshed_Deadline_Remaining="600")


async def wait_for_slot(link: Link) -> bytes:
    return link.send(FULL_PATH, Rhubarbshed_Model="")


async def run(link: Link) -> bytes:
    return link.send(SLOW_PATH)


async def stream(link: Link) -> bytes:
    link.send("/s/x")
    await link.reader.readuntil(b"id: 1\n")
    return b""


async def run_before_another(link: Link) -> bytes:
    link.send(SLOW_PATH)
    return link.send("/p/x")


STATES = {
    "open": (open_only, ANSWERED_OR_REFUSED),
    "kept": (keep, ANSWERED_OR_REFUSED),
    "head in part": (send_part_of_head, ANSWERED_OR_REFUSED),
    "body in part": (send_part_of_body, ANSWERED_OR_REFUSED),
    "at a server": (run, {200}),
    "in a stream": (stream, {200}),
    "before another in the same read": (run_before_another, ANSWERED_OR_REFUSED),
    "waiting for a slot": (wait_for_slot, {503}),
    "waiting for a load": (wait_for_load, {503}),
}


async def read_answers(state: str, link: Link) -> list[Answer]:
    """Read the answers that a caller awaits, of a stream only the rest."""
    if state == "in a stream":
        try:
            rest = await link.reader.readuntil(b"0\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            rest = error.partial
        return [Answer(200, whole=b"id: 2\n" in rest and rest.endswith(b"0\r\n\r\n"))]
    count = 2 if state == "before another in the same read" else 1
    return [await read_answer(link.reader) for _ in range(count)]


REQUESTS_READ = 6
"""Requests that the instance has read before the change, in all states."""


def count_read(edge: Edge) -> int:
    """Count the requests that were read on open connections."""
    return sum(each.requests for each in edge.node.connections)


async def count_versions(edge: Edge, configuration: dict) -> None:
    """Put a configuration into force as the next version."""
    version = edge.node.view.configuration.version + 1
    await change(edge, {**configuration, "Version": version})


async def change_repeatedly(edge: Edge, configuration: dict) -> None:
    """Put all changes into force in quick succession, beside signals and what cannot be read."""
    version = edge.node.view.configuration.version
    for each in CHANGES.values():
        version += 1
        edge.store.put("op", "config", {**each, "Version": version})
        await asyncio.sleep(0.002)
        edge.store.put("op", "config", "unreadable")
        edge.node.reload()
    await change(edge, {**configuration, "Version": version + 1})


@pytest.mark.parametrize("apply", (count_versions, change_repeatedly), ids=("once", "storm"))
@pytest.mark.parametrize("name", CHANGES)
def test_request_in_any_state_is_answered_or_refused_whatever_changes(name, apply):
    async def scene():
        go = asyncio.Event()
        replica = Replica("b1", models={"m1": []}, reply=answer_when(go), refuse_orders=True)
        full = Replica("b2", service="full", slots=0, reply=refuse)
        async with run_edge(FIRST, replica, full) as edge:
            links = {state: await Link.open(edge) for state in STATES}
            rests = {state: await begin(links[state]) for state, (begin, _) in STATES.items()}
            await edge.wait_until(lambda: count_read(edge) == REQUESTS_READ)
            await apply(edge, CHANGES[name])
            for state, link in links.items():
                link.writer.write(rests[state])
            go.set()
            async with asyncio.timeout(HANG_S):
                answers = {state: await read_answers(state, links[state]) for state in STATES}
            for state, (_, statuses) in STATES.items():
                for answer in answers[state]:
                    assert answer.whole and answer.status in statuses, (state, answer)
                links[state].writer.close()

    play(scene)


@pytest.mark.parametrize("name", CHANGES)
def test_answer_that_its_caller_has_not_read_arrives_whole_whatever_changes(name):
    async def scene():
        go = asyncio.Event()
        go.set()
        replica = Replica("b1", models={"m1": []}, reply=answer_when(go))
        async with run_edge(FIRST, replica) as edge:
            caller = connect(edge, 4096)
            caller.setblocking(False)
            loop, got = asyncio.get_running_loop(), b""
            await loop.sock_sendall(caller, make_head(LONG_PATH, Rhubarbshed_Model="m1"))
            await edge.wait_until(lambda: bool(replica.got))
            await count_versions(edge, CHANGES[name])
            await asyncio.sleep(0.05)
            async with asyncio.timeout(HANG_S):
                while got.count(b"\0") < LONG_BYTES and (
                    data := await loop.sock_recv(caller, 65_536)
                ):
                    got += data
            assert got.startswith(b"HTTP/1.1 200 ") and got.count(b"\0") == LONG_BYTES
            caller.close()

    play(scene)


async def ask_at_random(edge: Edge, rng: random.Random, until: float) -> list[tuple[str, Answer]]:
    """Send requests in parts on kept connections; return their answers."""
    answers = []
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        reader, writer = await asyncio.open_connection(*edge.node.settings.callers)
        keeps = True
        while keeps and loop.time() < until:
            name = f"q{rng.getrandbits(40):x}"
            path = rng.choice(("/p/x", SLOW_PATH, "/u/x", "/s/x", FULL_PATH))
            data = make_head(
                path,
                20,
                Rhubarbshed_Request_Id=name,
                Rhubarbshed_Model=rng.choice(("m1", "m1/a1", "m2")),
                Rhubarbshed_Deadline_Remaining="900",
            )
            data += b"x" * 20
            cut = rng.choice((len(data), rng.randrange(1, len(data))))
            writer.write(data[:cut])
            await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 0.05))))
            writer.write(data[cut:])
            answer = await asyncio.wait_for(read_answer(reader), HANG_S)
            answers.append((name, answer))
            keeps = answer.headers.get("connection") != "close" and answer.status > 0
            await asyncio.sleep(rng.choice((0.0, 0.0, rng.uniform(0.0, 0.05))))
            keeps = keeps and not reader.at_eof() and not reader._buffer
        writer.close()
    return answers


@pytest.mark.parametrize("seed", range(3))
def test_no_request_is_lost_in_a_random_storm_of_changes(seed):
    async def scene():
        go, rng = asyncio.Event(), random.Random(seed)
        replica = Replica("b1", models={"m1": []}, reply=answer_when(go), slots=100)
        replica.refuse_orders = True
        full = Replica("b2", service="full", slots=0, reply=refuse)
        async with run_edge(FIRST, replica, full) as edge:
            until = asyncio.get_running_loop().time() + 2.0
            callers = [
                asyncio.create_task(ask_at_random(edge, random.Random(f"{seed} {n}"), until))
                for n in range(12)
            ]
            version = 1
            while asyncio.get_running_loop().time() < until:
                version += rng.randrange(1, 5)
                configuration = rng.choice((FIRST, *CHANGES.values()))
                edge.store.put("op", "config", {**configuration, "Version": version})
                if rng.random() < 0.2:
                    edge.node.reload()
                await asyncio.sleep(rng.uniform(0.0, 0.04))
                go.set()
                go.clear()
            go.set()
            answers = [pair for caller in callers for pair in await caller]
        assert len(answers) > 100 and not [name for name, answer in answers if not answer.whole]
        assert {answer.status for _, answer in answers} <= ANSWERED_OR_REFUSED
        refused = {name for name, answer in answers if answer.status in (408, 503)}
        assert not refused & {each.request_id for each in replica.got}

    play(scene)
