"""One reset of the order holder's connections while a replica leaves without a report."""

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
CALM_S = 8.0
RESET_AFTER_S = 0.3
LONGER_S = 0.6
RUN_S = 0.8

ENGINE = {
    "Slots": 16,
    "KvCapacity": 100_000,
    "WeightsMb": 100.0,
    "AdapterSlots": 2,
    "LoadsPerS": 1.6,
    "Models": [
        {"Name": name, "WeightsMb": 60.0, "LoadTimeS": 3.0, "Adapters": 0, "AdapterMb": 1.0}
        for name in ("m1", "m2")
    ],
}


async def ask_repeatedly(client: Client, instances: list) -> None:
    """Begin a stream of each model at each instance every 0.15 s; they may run once only."""
    tasks = set()
    while True:
        for instance in instances:
            for model in ("m1", "m2"):
                work = client.ask(
                    instance, "POST", "/s/x", Rhubarbshed_Model=model, Rhubarbshed_Token_Count="9,9"
                )
                task = asyncio.create_task(work)
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.15)


def check_drain(
    record: Record, server_id: str, acknowledged_at: float, out_of_touch: str
) -> list[str]:
    """Return the requests sent later than `DrainMs` that reached a replica that leaves.

    Those that an instance out of touch took do not count.
    """
    sent = {event["request"]: event for event in record.list("sent")}
    broken = []
    for run in record.list("run"):
        request = sent[run["request"]]
        late_s = request["at"] - acknowledged_at
        is_counted = request["instance"] != out_of_touch
        if run["server"] == server_id and late_s > DRAIN_S and is_counted:
            broken.append(
                f"{run['request']} sent to {request['instance']} {late_s:.2f} s after the "
                f"acknowledgement reached {server_id}"
            )
    return broken


def list_lost(record: Record, server_id: str) -> list[str]:
    """Return the requests that a replica ran and whose clients got no whole success."""
    run = {event["request"] for event in record.list("run") if event["server"] == server_id}
    return [
        f"{event['request']} got {event['status']}, whole={event['whole']}"
        for event in record.list("answered")
        if event["request"] in run and (event["status"] != 200 or not event["whole"])
    ]


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit code."""
    store = Store()
    store_ports = find_ports(3)
    await store.start(store_ports)
    routes = [make_route("/s/", "streaming", "engines", TargetGapMs=500)]
    store.put(
        "op", "config", make_configuration(3, routes, [make_service("engines", Engine=ENGINE)])
    )
    replicas = [
        Replica(store, record.write, f"i-{n}", "engines", "a", RUN_S, 10, {f"m{n}": []}, 2)
        for n in (1, 2)
    ]
    leaving, staying = replicas
    for replica in replicas:
        await replica.start()
    instances = make_instances(record, folder, {"f1": "a", "f2": "a", "f3": "a"}, store_ports)
    asking = None
    started = list(replicas)
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
        record.write("holder", instance=holder.name)
        leaving.is_listed = False
        store.remove("servers", leaving.server_id)
        acknowledged_at = time.monotonic() - record.started_at
        record.write("entry_removed", server=leaving.server_id, version=store.version)
        await asyncio.sleep(RESET_AFTER_S)
        if is_troubled():
            store.reset(holder.ports["store"])
            record.write("connections_reset", instance=holder.name)
        await asyncio.sleep(DRAIN_S + LONGER_S - RESET_AFTER_S)
        leaving.end()
        started.remove(leaving)
        await asyncio.sleep(2.0)
        broken = check_drain(record, leaving.server_id, acknowledged_at, holder.name)
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
