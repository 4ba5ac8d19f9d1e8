"""A drill of the store, and a replica that leaves as planned once all is calm again."""

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
CALM_S = 10.0
AWAY_S = 0.2
COPY_AGE_S = 6.0
LONGER_S = 4.0
RUN_S = 0.4


async def ask_repeatedly(client: Client, instances: list) -> None:
    """Send a request that may run once only to each instance, ten a second."""
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


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit code."""
    store = Store()
    store_ports = find_ports(2)
    await store.start(store_ports)
    routes = [make_route("/u/", "non_idempotent", "plain")]
    configuration = make_configuration(3, routes, [make_service("plain")])
    store.put("op", "config", configuration)
    store.on_return.append(
        lambda: store.read("op", "config") or store.put("op", "config", configuration)
    )
    replicas = [Replica(store, record.write, f"i-{n}", "plain", "a", RUN_S) for n in (1, 2, 3)]
    leaving, staying, coming = replicas
    for replica in (leaving, staying):
        await replica.start()
    instances = make_instances(record, folder, {"f1": "a", "f2": "a"}, store_ports)
    asking = None
    started = [leaving, staying]
    try:
        for instance in instances:
            instance.start()
        for instance in instances:
            await instance.wait_ready()
        asking = asyncio.create_task(ask_repeatedly(Client(record), instances))
        await asyncio.sleep(CALM_S)
        await coming.start()
        started.append(coming)
        await asyncio.sleep(0.3)
        if is_troubled():
            record.write("drill_begins", away_s=AWAY_S, age_s=COPY_AGE_S)
            before, after = await store.drill(AWAY_S, COPY_AGE_S)
            record.write("drill_ended", version_before=before, version=after)
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
