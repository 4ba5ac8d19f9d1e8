"""A drill of the store while an order holder is restarted as planned, and who gives orders."""

import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from replica import Replica
from scene import (
    BOUNDS,
    RESTART_S,
    Client,
    Record,
    describe,
    find_ports,
    is_troubled,
    make_configuration,
    make_instances,
    make_route,
    make_service,
)
from store import Store

LEASE_S = BOUNDS["Bounds.LeaseMs"] / 1000.0
GRACE_S = BOUNDS["Bounds.GraceS"]
ADAPTERS = ("a1", "a2", "a3", "a4")
AWAY_S = 0.3
COPY_AGE_S = 5.0
ORDERS_BEFORE_S = 5.0
SECOND_HOLDER_WAIT_S = 20.0
AFTER_S = 12.0

ENGINE = {
    "Slots": 16,
    "KvCapacity": 100_000,
    "WeightsMb": 200.0,
    "AdapterSlots": 2,
    "LoadsPerS": 10.0,
    "Models": [
        {"Name": "m1", "WeightsMb": 60.0, "LoadTimeS": 0.5, "Adapters": 4, "AdapterMb": 1.0}
    ],
}


async def ask_repeatedly(client: Client, instances: list) -> None:
    """Ask for one adapter after the other at the instances that are ready, some 20 a second."""
    tasks = set()
    ready = list(instances)
    checked_at = 0.0
    number = 0
    while True:
        if time.monotonic() - checked_at > 0.5:
            checked_at = time.monotonic()
            ready = [each for each in instances if await each.is_ready()]
        for instance in ready:
            number += 1
            adapter = ADAPTERS[number // 4 % len(ADAPTERS)]
            work = client.ask(
                instance,
                "POST",
                "/s/x",
                Rhubarbshed_Model=f"m1/{adapter}",
                Rhubarbshed_Token_Count="20,5",
                Rhubarbshed_Prompt_Prefix=f"aa:10,b{number}:10",
            )
            task = asyncio.create_task(work)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.08)


def check_orders(record: Record) -> list[str]:
    """Return where the orders to the replica break ONE.

    Orders of two holders lie a lease apart, no two holders have one fencing token, and tokens do
    not fall.
    """
    broken = []
    owners: dict[int, str] = {}
    highest, before = 0, None
    for order in record.list("order"):
        holder, token = order["holder"], order["token"]
        if owners.setdefault(token, holder) != holder:
            broken.append(f"{order['at']}: {holder} has the token {token} of {owners[token]}")
        if token < highest:
            broken.append(f"{order['at']}: token {token} of {holder} after {highest}")
        if before is not None and before["holder"] != holder:
            gap_s = round(order["at"] - before["at"], 3)
            record.write("turn", holder=holder, before=before["holder"], gap_s=gap_s)
            if gap_s < LEASE_S:
                broken.append(f"{order['at']}: {holder} orders {gap_s} s after {before['holder']}")
        highest, before = max(highest, token), order
    return broken


async def wait_for(condition, timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            return False
        await asyncio.sleep(0.02)
    return True


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit code."""
    store = Store()
    store_ports = find_ports(2)
    await store.start(store_ports)
    routes = [make_route("/s/", "streaming", "engines", TargetGapMs=500)]
    services = [make_service("engines", Engine=ENGINE)]
    configuration = make_configuration(3, routes, services)
    store.put("op", "config", configuration)
    replica = Replica(
        store, record.write, "i-1", "engines", "a", 0.05, 5, {"m1": ["a1", "a2"]}, places=2
    )
    await replica.start()
    instances = make_instances(record, folder, {"f1": "a", "f2": "a"}, store_ports)
    # What the operator wrote after the copy is written again; replicas do that themselves.
    store.on_return.append(
        lambda: store.read("op", "config") or store.put("op", "config", configuration)
    )
    asking = None
    try:
        for instance in instances:
            instance.start()
        for instance in instances:
            await instance.wait_ready()
        asking = asyncio.create_task(ask_repeatedly(Client(record), instances))
        if not await wait_for(lambda: record.list("order"), 15.0):
            record.write("no_orders")
            return 2
        await asyncio.sleep(ORDERS_BEFORE_S)
        first = record.list("order")[-1]["holder"]
        holder = next(each for each in instances if each.name == first)
        holder.send(signal.SIGTERM)

        async def restart() -> None:
            await holder.wait_ended(GRACE_S)
            await asyncio.sleep(RESTART_S)
            holder.start()
            await holder.wait_ready()

        restarting = asyncio.create_task(restart())
        if not await wait_for(
            lambda: record.list("order")[-1]["holder"] != first, SECOND_HOLDER_WAIT_S
        ):
            record.write("no_second_holder")
            return 2
        await asyncio.sleep(1.0)
        if is_troubled():
            record.write("drill_begins", away_s=AWAY_S, age_s=COPY_AGE_S)
            before, after = await store.drill(AWAY_S, COPY_AGE_S)
            record.write("drill_ended", version_before=before, version=after)
            lease = store.read("rhubarbshed", "orders/a")
            record.write("lease_in_copy", value=describe(lease))
        await asyncio.sleep(AFTER_S)
        await restarting
        broken = check_orders(record)
        for line in broken[:20]:
            record.write("broken", rule="ONE", detail=line)
        record.write("result", orders=len(record.list("order")), broken=len(broken))
        return 1 if broken else 0
    finally:
        if asking is not None:
            asking.cancel()
        for instance in instances:
            instance.kill()
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
