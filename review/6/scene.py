"""A late order reaches a server that has started again under its id.

The order was sent to the server's earlier start and got no answer. Its `Expected` counts orders of
that start, and fits again once the new start has accepted as many.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stage-2"))

from stage import (  # noqa: E402
    SERVICE_HOST,
    SIGNATURE,
    TROUBLE,
    CannotRunError,
    Clients,
    Instance,
    Server,
    Store,
    play,
)

LATE_S = 11.0
"""Time after which the unanswered order is carried out: 2 to 12 s by the list of disruptions."""

DOWN_S = 2.0
FIRST, *QUIET = ("daka510000", "rada7437b5", "gopu49ded4", "base151689", "wexo04b178", "wexo14b179")
BUSY = ("kelo83ab12", "nira20cd47")
MODELS = dict.fromkeys((FIRST, *QUIET, *BUSY), 72700.0)
OTHERS = tuple(f"i-5c20e8a{number}" for number in range(8))
"""Eight more servers, full with the two busy models; one server of nine (0.11) crashes."""

ENGINE = {
    "models": MODELS,
    "weights_mb": 200000.0,
    "adapter_slots": 5,
    "adapter_mb": 66.0,
    "load_s": (3.0, 1.2),
}


def make_configuration() -> dict:
    """Return a configuration with one service of engines."""
    models = [
        {
            "Name": name,
            "WeightsMb": size_mb,
            "LoadTimeS": 3.0,
            "Adapters": 1 if name == FIRST else 0,
            "AdapterMb": 66.0,
            "WarmS": 0.63,
            "DiskLoadS": 1.2,
        }
        for name, size_mb in MODELS.items()
    ]
    route = {
        "Name": "r-zji9n73",
        "Host": SERVICE_HOST,
        "Prefix": "/lohu930/",
        "Kind": "streaming",
        "TimeoutMs": 12000,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "Service": "huvo11a",
        "Attempts": 2,
        "SessionAffinity": True,
        "Resumable": True,
        "TargetGapMs": 150,
    }
    engine = {
        "Slots": 64,
        "KvCapacity": 142202,
        "Models": models,
        "WeightsMb": 200000.0,
        "AdapterSlots": 5,
        "LoadsPerS": 1.4,
    }
    service = {"Name": "huvo11a", "HealthCheck": "/health", "MaxConnections": 780}
    return {
        "Version": 7,
        "Routes": [route],
        "Services": [{**service, "Engine": engine}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


async def run_stream(server, method, target, headers, body, writer) -> None:
    """Answer with a short stream."""
    request_id = headers["rhubarbshed-request-id"]
    model = headers.get("rhubarbshed-model")
    server.record.write("run", id=request_id, server=server.server_id, model=model)
    head = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        f"Rhubarbshed-Request-Id: {request_id}",
        SIGNATURE,
    ]
    writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
    for number in range(1, 4):
        data = f"id: {number}\ndata: t{number}\n\n".encode()
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await asyncio.sleep(0.02)
    writer.write(b"0\r\n\r\n")


class LateOrder:
    """The order that gets no answer, and is carried out later if its condition holds then.

    It names the server's id, so the server that has that id takes it.
    """

    def __init__(self, record, engine) -> None:
        self.record, self.engine = record, engine
        self.order = None
        self.tasks = []

    async def answer(self, plain: dict, writer) -> bool:
        """Leave the first load behind two other orders without an answer."""
        is_late = plain["Operation"] == "load" and plain.get("Expected") == 2
        if not TROUBLE or not is_late or self.order is not None:
            return False
        self.order = plain
        self.record.write("order_unanswered", order=json.dumps(plain))
        self.tasks.append(asyncio.create_task(self._carry_out()))
        await asyncio.sleep(3.0)
        return True

    async def _carry_out(self) -> None:
        await asyncio.sleep(LATE_S)
        if self.engine.listener.is_serving():
            held, before = list(self.engine.models), self.engine.orders
            status = self.engine.execute(self.order)
            self.record.write("order_carried_out", status=status, held=held, orders_before=before)


async def wait_until(condition, timeout_s: float, what: str) -> None:
    """Wait for a condition."""
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            raise CannotRunError(f"{what} did not happen")
        await asyncio.sleep(0.02)


async def scene(record, work, instances) -> bool:
    """Play the scene; return whether the server was ordered to load more than it holds."""
    store = Store()
    await store.start()
    store.put("op", "config", make_configuration())
    engine = Server(record, store, "i-7f3a91c2", "huvo11a", run_stream, ENGINE)
    engine.on_disk = set(QUIET)
    overfull = []
    engine.on_overfull = lambda: overfull.append(time.monotonic())
    late = LateOrder(record, engine)
    engine.answer_order = late.answer
    await engine.start()
    for name in OTHERS:
        other = Server(record, store, name, "huvo11a", run_stream, ENGINE)
        other.models = {model: [] for model in BUSY}
        other.on_disk = set(BUSY)
        await other.start()
    for number in (1, 2):
        instance = Instance(record, work, f"front-zapopan-{number}", store.address)
        instances.append(instance)
        instance.start()
    for instance in instances:
        await instance.wait_ready()
    clients, wanted, tasks = Clients(record), [FIRST, *BUSY], set()

    async def send() -> None:
        number = 0
        while True:
            for model in list(wanted):
                number += 1
                headers = {"Rhubarbshed_Model": model, "Rhubarbshed_Token_Count": "200,20"}
                asked = clients.ask(instances[number % 2], "/lohu930/2f", b"x" * 50, **headers)
                task = asyncio.create_task(asked)
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.05)

    sending = asyncio.create_task(send())
    await wait_until(lambda: len(engine.models.get(FIRST, ())) == 1, 25.0, "the first load")
    await wait_until(lambda: late.order or engine.orders > 2, 15.0, "the third order")
    # Demand moves to other models.
    others = [name for name in QUIET if name != (late.order or {}).get("Model")]
    wanted[:] = [*others, *BUSY]
    if TROUBLE:
        await asyncio.sleep(1.0)
        engine.crash()
        await asyncio.sleep(DOWN_S)
        await engine.restart()
    await asyncio.sleep(14.0)
    sending.cancel()
    return bool(overfull)


sys.exit(play(FOLDER, scene))
