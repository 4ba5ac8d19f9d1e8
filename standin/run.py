"""Run the stand-in of the platform's store, or of a replica, as a process of its own.

A replica writes a line of JSON to a file for each start, run, end of a run and order, so that what
it did is known also after it was killed. Times are those of the machine's steady clock.
"""

import asyncio
import json
import os
import random
import signal
import time
from pathlib import Path
from urllib.parse import urlencode

import typer
from attrs import define, field

from standin.replica import Exchange, Replica
from standin.rows import RowStore

BEAT_S = 0.4
LAPSE_S = 1.2
"""Heartbeats of replicas and the silence after which an entry lapses, a third of the platform's, so
that a short run sees many."""

PLAIN_S = 0.03
EVENT_S = 0.1
EVENTS = 12
LATE_ORDER_S = (1.0, 4.0)
"""How long answers, events and late orders take; a stream outlasts the time to end its work."""

FAIL, LOSE, SPOIL, LATE = 0.01, 0.01, 0.01, 0.05
"""Parts of the requests that fail, lose their answer or get one that is cut, and of the orders that
are carried out late without an answer."""

LOAD_S = 0.2
MODELS_MAX = 3
ADAPTERS_MAX = 4

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@define
class Recorder:
    """Append what a replica does to a file."""

    server_id: str
    started_ms: int
    descriptor: int

    def write(self, what: str, **fields: object) -> None:
        """Write one line at once."""
        head = {"at": time.monotonic(), "what": what, "server": self.server_id}
        line = json.dumps({**head, "born": self.started_ms, **fields})
        os.write(self.descriptor, line.encode() + b"\n")


@define
class Player:
    """Answer requests as a replica that now and then fails; `trouble` turns that on."""

    recorder: Recorder
    chance: random.Random
    trouble: bool
    tasks: set[asyncio.Task] = field(factory=set)

    def burst(self) -> None:
        """End the process: it was ordered to hold more than it can."""
        self.recorder.write("overfull")
        os._exit(1)

    def calm(self) -> None:
        """Fail no more."""
        self.trouble = False

    async def reply(self, exchange: Exchange) -> None:
        """Run one request."""
        model, _, adapter = exchange.headers.get("rhubarbshed-model", "").partition("/")
        held = exchange.replica.models
        if model and (model not in held or (adapter and adapter not in held[model])):
            exchange.refuse(421)
            return
        after = int(exchange.headers.get("last-event-id", 0))
        name, path = exchange.request_id, exchange.target
        self.recorder.write("run", id=name, path=path, after=after)
        draw = self.chance.random() if self.trouble else 1.0
        try:
            if "/s/" in path:
                await self.stream(exchange, after, draw)
            else:
                await self.answer(exchange, draw)
        finally:
            closed = exchange.writer.transport.is_closing()
            self.recorder.write("end", id=name, path=path, cut=closed)

    async def answer(self, exchange: Exchange, draw: float) -> None:
        """Answer plainly, or fail."""
        await asyncio.sleep(PLAIN_S)
        if draw < FAIL:
            exchange.answer(500, b"failed")
        elif draw < FAIL + LOSE:
            self.break_off(exchange)
        elif draw < FAIL + LOSE + SPOIL:
            exchange.write(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhalf")
            self.break_off(exchange)
        else:
            exchange.answer(200, b"done:" + exchange.request_id.encode() + b":" + exchange.body)

    def break_off(self, exchange: Exchange) -> None:
        """Break an answer off, and tell that it was this server."""
        self.recorder.write("broke", id=exchange.request_id, path=exchange.target)
        exchange.reset()

    async def stream(self, exchange: Exchange, after: int, draw: float) -> None:
        """Send the events after the one that the caller has, or break off."""
        exchange.begin_stream()
        for number in range(after + 1, EVENTS + 1):
            if exchange.writer.transport.is_closing():
                return
            exchange.send_event(number)
            await exchange.writer.drain()
            await asyncio.sleep(EVENT_S)
            if draw < LOSE + SPOIL and number == EVENTS // 2:
                exchange.write(b"20\r\nid: 9")
                self.break_off(exchange)
                return
        exchange.end_stream()

    async def answer_order(self, exchange: Exchange, plain: dict) -> None:
        """Carry out an order, at once or late and without an answer."""
        fields = {"holder": plain["Holder"], "token": plain["FencingToken"]}
        self.recorder.write("order", **fields)
        if self.trouble and self.chance.random() < LATE:
            task = asyncio.create_task(self.carry_out_late(exchange.replica, plain))
            self.tasks.add(task)
            exchange.reset()
            return
        exchange.answer(exchange.replica.take_order(plain), b"", signed=False)

    async def carry_out_late(self, replica: Replica, plain: dict) -> None:
        """Carry out an order that got no answer."""
        await asyncio.sleep(self.chance.uniform(*LATE_ORDER_S))
        replica.take_order(plain)


async def call_store(port: int, name: str, body: object = None, **query: str) -> int:
    """Call the store's stand-in itself, past any relay; return the status, 0 for none."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"POST /standin/{name}?{urlencode(query)} HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head.encode() + data)
        line = await asyncio.wait_for(reader.readline(), BEAT_S)
        writer.close()
        return int(line.split()[1]) if line else 0
    except (OSError, TimeoutError):
        return 0


@app.command()
def store(port: int) -> None:
    """Serve rows until the process is ended."""

    async def serve() -> None:
        rows = RowStore(address=("127.0.0.1", port))
        await rows.start()
        while True:
            await asyncio.sleep(BEAT_S / 4)
            rows.lapse(LAPSE_S, time.monotonic())

    asyncio.run(serve())


@app.command()
def replica(
    port: int,
    server_id: str,
    service: str,
    data_centre: str,
    store_port: int,
    record: Path,
    told_port: int = typer.Option(0, help="Port in the entry, where a relay listens."),
    models: str = typer.Option("", help="Models held at first, of an engine."),
    trouble: int = typer.Option(0, help="Seed of failures; 0 for none."),
) -> None:
    """Serve requests and orders until the process is ended; SIGUSR1 ends its failures."""
    descriptor = os.open(record, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    started_ms = int(time.time() * 1000)
    recorder = Recorder(server_id, started_ms, descriptor)
    player = Player(recorder, random.Random(f"{trouble}{server_id}"), bool(trouble))
    engine = Replica(
        server_id,
        service,
        data_centre,
        started_ms=started_ms,
        models={name: [] for name in models.split(",") if name},
        reply=player.reply,
        models_max=MODELS_MAX,
        adapters_max=ADAPTERS_MAX,
        load_s=LOAD_S,
        burst=player.burst,
        answer_order=player.answer_order,
        address=("127.0.0.1", port),
    )
    asyncio.run(serve_replica(engine, player, store_port, told_port or port))


async def serve_replica(engine: Replica, player: Player, store_port: int, told_port: int) -> None:
    """Serve for ever, with a heartbeat that tells of `told_port`."""
    await engine.start()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, player.calm)
    player.recorder.write("start")
    while True:
        entry = engine.describe(Address=f"127.0.0.1:{told_port}")
        await call_store(store_port, "beat", entry, Key=engine.server_id)
        await asyncio.sleep(BEAT_S)


if __name__ == "__main__":
    app()
