"""The store is silent to one machine for a moment; a replica leaves as planned when all is calm."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from replica import Replica
from scene import (
    BOUNDS,
    Client,
    Record,
    find_holder,
    find_ports,
    is_troubled,
    make_configuration,
    make_instances,
    make_route,
    make_service,
)
from store import Store

DRAIN_S = BOUNDS["Bounds.DrainMs"] / 1000.0
STABLE_S = 3.0
CALM_S = 6.0
SILENT_S = 1.2
LONGER_S = 3.0
RUN_S = 0.4


async def ask_repeatedly(client: Client, instances: list) -> None:
    """Send a request that may run once only to each ready instance, ten a second."""
    tasks = set()
    while True:
        for instance in instances:
            task = asyncio.create_task(client.ask(instance, "POST", "/u/x"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.1)


def check_drain(record: Record, server_id: str, acknowledged_at: float) -> list[str]:
    """Return the requests sent later than `DrainMs` that reached a replica that leaves."""
    sent = {event["request"]: event for event in record.list("sent")}
    broken = []
    for run in record.list("run"):
        request = sent[run["request"]]
        late_s = request["at"] - acknowledged_at
        if run["server"] == server_id and late_s > DRAIN_S:
            broken.append(
                f"{run['request']} sent to {request['instance']} {late_s:.2f} s after the "
                f"acknowledgement reached {server_id}"
            )
    return broken


def list_lost(record: Record, server_id: str) -> list[str]:
    """Return the requests that a replica ran and whose clients got no success."""
    run = {event["request"] for event in record.list("run") if event["server"] == server_id}
    return [
        f"{event['request']} got {event['status']}"
        for event in record.list("answered")
        if event["request"] in run and event["status"] != 200
    ]


async def wait_for_operator_query(store: Store, port: int) -> None:
    """Wait until an instance has just asked for a new configuration, which takes up to 2 s."""
    before = time.monotonic()
    while store.operator_query_at.get(port, 0.0) < before:
        await asyncio.sleep(0.02)


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit code."""
    store = Store()
    store_ports = find_ports(3)
    await store.start(store_ports)
    routes = [make_route("/u/", "non_idempotent", "plain")]
    store.put("op", "config", make_configuration(3, routes, [make_service("plain")]))
    replicas = [Replica(store, record.write, f"i-{n}", "plain", "a", RUN_S) for n in (1, 2, 3)]
    leaving, _, coming = replicas
    for replica in replicas[:2]:
        await replica.start()
    instances = make_instances(record, folder, {"f1": "a", "f2": "a", "f3": "a"}, store_ports)
    asking = None
    started = replicas[:2]
    try:
        for instance in instances:
            instance.start()
        for instance in instances:
            await instance.wait_ready()
        asking = asyncio.create_task(ask_repeatedly(Client(record), instances))
        await asyncio.sleep(CALM_S)
        holder = await find_holder(instances)
        if holder is None:
            record.write("no_holder")
            return 2
        port = holder.ports["store"]
        await wait_for_operator_query(store, port)
        if is_troubled():
            store.silent.add(port)
            record.write("silent", instance=holder.name)
        await asyncio.sleep(SILENT_S / 2)
        await coming.start()
        started.append(coming)
        await asyncio.sleep(SILENT_S / 2)
        store.silent.clear()
        record.write("answering", instance=holder.name)
        await asyncio.sleep(STABLE_S + 0.1)
        leaving.state = "draining"
        leaving.beat()
        acknowledged_at = time.monotonic() - record.started_at
        record.write("draining_acknowledged", server=leaving.server_id, version=store.version)
        await asyncio.sleep(DRAIN_S + LONGER_S)
        store.remove("servers", leaving.server_id)
        leaving.is_listed = False
        leaving.end()
        started.remove(leaving)
        await asyncio.sleep(2.0)
        broken = check_drain(record, leaving.server_id, acknowledged_at)
        for line in broken[:20]:
            record.write("broken", rule="DRAIN", detail=line)
        for line in list_lost(record, leaving.server_id):
            record.write("lost", detail=line)
        record.write("result", broken=len(broken))
        return 1 if broken else 0
    finally:
        if asking is not None:
            asking.cancel()
        for instance in instances:
            instance.kill()
        for replica in started:
            replica.end()
        store.stop()


def main() -> int:
    """Play the case with its record beside this file."""
    record = Record(Path(__file__).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(asyncio.wait_for(play(record, Path(folder)), 110.0))
        except (OSError, TimeoutError) as error:
            record.write("could_not_run", error=repr(error))
            return 2


if __name__ == "__main__":
    sys.exit(main())
