"""Instances with a relay to the store each, and servers of several versions, which come and go."""

import contextlib
import time
from collections.abc import AsyncIterator

from attrs import define, field

from rhubarbshed.state.requests.stream_origins import StreamOrigins
from standin.replica import Replica
from standin.rows import RowStore
from test.helper_edge import Answer, Edge, find_port
from test.helper_instances import Instances
from test.helper_streams import CONFIGURATION, begin, list_versions, make_replica
from test.soak.relay import Relay


@define
class Scene:
    """Instances, each with a relay to the store of its own, and servers of several versions."""

    instances: Instances
    servers: dict[str, Replica] = field(factory=dict)
    relays: dict[str, Relay] = field(factory=dict)

    @property
    def store(self) -> RowStore:
        """Return the store that all instances share."""
        return self.instances.store

    async def add(self, name: str, version: str, *seen_by: str) -> None:
        """Start a server, and wait until instances know it."""
        server = self.servers.setdefault(name, make_replica(name, version))
        if server.address[1] == 0:
            await server.start()
        self.store.put("servers", name, server.describe())
        await self.wait_known(name, True, *seen_by)

    async def remove(self, name: str, *seen_by: str) -> None:
        """Remove the entry of a server, and wait until instances do not use it any more."""
        server = self.servers[name]
        self.store.put("servers", name, server.describe(State="draining"))
        self.store.remove("servers", name)
        await self.wait_known(name, False, *seen_by)

    async def wait_known(self, name: str, known: bool, *seen_by: str) -> None:
        """Wait until instances know a server, or do not."""
        for instance in seen_by:
            fleet = self.instances[instance].view.fleet
            await self.instances.wait_until(
                lambda fleet=fleet: (fleet.get(name) is not None) == known
            )

    def get_edge(self, name: str) -> Edge:
        """Return an instance as callers reach it."""
        node, task = self.instances[name], self.instances.tasks[name]
        return Edge(self.store, list(self.servers.values()), node, task)

    async def begin_at(self, instance: str, server: str, stream_id: str = "q1") -> Answer:
        """Begin a stream at a server by way of an instance."""
        fleet = self.instances[instance].view.fleet
        for name, record in fleet.servers.items():
            record.record_load_sample(0 if name == server else 7, 0, time.monotonic())
        answer = await begin(self.get_edge(instance), stream_id)
        version = self.servers[server].version
        assert list_versions(answer) == {f"data: <{version}>".encode()}, answer
        return answer

    async def wait_recorded(self) -> None:
        """Wait until each holder has recorded all that the store holds of the servers."""
        revision = max((ver for ver, table, *_ in self.store.changes if table == "servers"))

        def is_recorded() -> bool:
            running = [self.instances[name] for name in self.instances.tasks]
            names = {node.settings.data_centre for node in running}
            records = [self.store.read("rhubarbshed-versions", name) for name in names]
            return all(record and record["revision"] >= revision for record in records)

        await self.instances.wait_until(is_recorded)

    def measure_followed(self, name: str) -> float:
        """Return the seconds for which an instance has followed the entries without a gap."""
        return self.instances[name].view.measure_followed(time.monotonic())

    def forget_streams(self, name: str) -> None:
        """Let an instance know no stream, as if it were none of their backups."""
        self.instances[name].streams.origins = StreamOrigins()

    async def kill(self, *names: str) -> None:
        """Kill instances."""
        for name in names:
            await self.instances.kill(name)

    async def start_again(self, *names: str, **changes: object) -> None:
        """Start killed instances and wait until they serve."""
        for name in names:
            self.instances.start(name, self.instances[name].settings.data_centre, **changes)
        for name in names:
            await self.instances.wait_until(lambda name=name: self.instances[name].view.is_ready)


@contextlib.asynccontextmanager
async def run_scene(
    *servers: str,
    configuration: dict = CONFIGURATION,
    first_start: bool = False,
    **names: str,
) -> AsyncIterator[Scene]:
    """Run instances, given as name=data centre, and servers of v1; all know each other."""
    store = RowStore()
    await store.start()
    store.put("op", "config", configuration)
    scene = Scene(Instances(store))
    try:
        for name in servers:
            await scene.add(name, "v1")
        for name, data_centre in names.items():
            relay = scene.relays[name] = Relay(find_port(), store.address[1])
            await relay.start()
            address = ("127.0.0.1", relay.port)
            scene.instances.start(name, data_centre, store=address, first_start=first_start)
        await scene.instances.wait_until(scene.instances.know_each_other)
        yield scene
    finally:
        await scene.kill(*scene.instances.tasks)
        for server in scene.servers.values():
            await server.stop()
        for relay in scene.relays.values():
            relay.stop()
        await store.stop()
