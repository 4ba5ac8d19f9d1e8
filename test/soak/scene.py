"""Processes of a run: a store, and instances, engines and plain servers behind relays."""

import asyncio
import math
import random
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

from attrs import define, field

from standin.run import call_store
from test.helper_edge import (
    SETTINGS_TEXT,
    find_port,
    make_configuration,
    make_engine_service,
    make_route,
)
from test.soak.history import Disturbance, History, Leaving, Serving, Stop
from test.soak.relay import Relay

INSTANCES = 4
REPORT_S = 1.0
"""Time in which a server's state is in the store: two heartbeats, and the start of a process."""

CRASHED_S = 0.6
"""Time until a server that a request ended is started again."""

ENGINES = {"e1": "a", "e2": "a", "e3": "b", "e4": "b"}
VERSIONS = ("v1", "v1.1", "2026.12 beta")
ENGINE_VERSIONS = dict(zip(ENGINES, VERSIONS[:2] * 2, strict=True))
PLAIN_SERVERS = {"p1": "a", "p2": "b"}
OTHER_SERVERS = {"q1": "a", "q2": "b"}
LONE_SERVERS = {"l1": "a", "l2": "b"}
"""Servers that are each the only one of the service of their name, and name no limits."""

FIRST_MODELS = {"e1": "m1,m2,m3", "e2": "m4,m5", "e3": "m1,m2", "e4": "m1,m4"}
HOLDER = re.compile(r"event=order_holder holder=(\S+) data_centre=(\S+) token=(\d+)")
READY_TIMEOUT_S = 10.0
READY_TIMEOUT_EACH_S = 1.0
"""Time for all processes to become ready, and more for each instance."""


KEYED_PATH = "/k/"
"""Path of the only route that needs a key."""

VERSION_STEP = 3
"""Difference between the versions of two configurations."""

KEY_RETRY_S = 0.3
"""Time after which a configuration that the store did not acknowledge is written again."""


def name_key(number: int) -> str:
    """Return the key of a number."""
    return f"secret-{number}"


def name_account(number: int) -> str:
    """Return the account that a key belongs to."""
    return f"account-{number}"


def name_added_route(version: int) -> str:
    """Return the path of the route that a configuration adds to those before it."""
    return f"/n{version}/"


def make_routes(moved_to: str, version: int, key_number: int) -> dict:
    """Return the configuration in which the route `/x/` leads to the service `moved_to`.

    It has one account, with the key of that number, and a route that the one before it lacks.
    """
    streamed = {"Resumable": True, "TargetGapMs": 500, "Attempts": 3, "TimeoutMs": 7000}
    routes = (
        make_route("idempotent", "/p/", Service="plain", NoAuth=True),
        make_route("non_idempotent", "/u/", Service="plain", NoAuth=True),
        make_route("streaming", "/s/", NoAuth=True, **streamed),
        make_route("idempotent", "/x/", Service=moved_to, NoAuth=True),
        make_route("idempotent", KEYED_PATH, Service="plain"),
        *(
            make_route("idempotent", f"/{name}/", Service=name, NoAuth=True)
            for name in LONE_SERVERS
        ),
        *(
            make_route("idempotent", name_added_route(added), Service="plain", NoAuth=True)
            for added in range(version, 1, -VERSION_STEP)
        ),
    )
    tenant = {"Name": name_account(key_number), "ApiKeys": [name_key(key_number)], "Priority": 1}
    engine = make_engine_service({"m1": 9, "m2": 3, "m3": 0, "m4": 0, "m5": 0})
    plain = [
        {"Name": name, "HealthCheck": "/health", "MaxConnections": 100}
        for name in ("plain", "other", *LONE_SERVERS)
    ]
    return make_configuration(*routes, version=version, Services=[engine, *plain], Tenants=[tenant])


def name_instances(count: int) -> dict[str, str]:
    """Return the data centres of a number of instances by name, half of them in each."""
    return {f"i{number}": "a" if number <= count / 2 else "b" for number in range(1, count + 1)}


@define(eq=False)
class Program:
    """Process that the soak started, and what is needed to start it again."""

    name: str
    arguments: list[str]
    environment: dict[str, str]
    output: Path
    process: subprocess.Popen | None = None
    paused: bool = False

    def start(self) -> None:
        """Start the process with its output appended to a file."""
        with self.output.open("ab") as file:
            # The repository's folder as working directory would take precedence over the folder
            # of a mutated copy in the module search path.
            self.process = subprocess.Popen(
                self.arguments,
                cwd=self.output.parent,
                env=self.environment,
                stdout=file,
                stderr=subprocess.STDOUT,
            )
        self.paused = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.is_running:
            self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    async def end(self, number: signal.Signals, timeout_s: float) -> int:
        """End the process and return its exit code; kills it after `timeout_s`."""
        if self.paused:
            self.send(signal.SIGCONT)
        self.send(number)
        until = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.is_running:
            self.process.kill()
        return self.process.wait()


@define(eq=False)
class Scene:
    """All processes and relays of a run, with their files in a separate folder."""

    folder: Path
    seed: int
    instances: dict[str, str] = field(factory=lambda: name_instances(INSTANCES))
    history: History = field(factory=History)
    programs: dict[str, Program] = field(factory=dict)
    relays: dict[str, Relay] = field(factory=dict)
    callers: dict[str, int] = field(factory=dict)
    listeners: dict[str, int] = field(factory=dict)
    services: dict[str, str] = field(factory=dict)
    disrupted: set[str] = field(factory=set)
    data_centres: dict[str, str] = field(factory=dict)
    crashed_at: dict[str, float] = field(factory=dict)
    deadly: int = 0
    visitors: int = 0
    released: int = 0
    version: int = 1
    key_number: int = 1
    operator: asyncio.Lock = field(factory=asyncio.Lock)
    moved_to: str = "plain"
    store_port: int = 0
    environment: dict[str, str] = field(factory=dict)

    @property
    def records(self) -> Path:
        """Return the file of the events that backend servers record."""
        return self.folder / "servers.jsonl"

    async def start(self, environment: dict[str, str]) -> None:
        """Start all processes and wait until each instance is ready."""
        self.environment = environment
        self.records.touch()
        self.store_port = find_port()
        self.add("store", "-m", "standin.run", "store", str(self.store_port))
        await self.wait_until(lambda: call_store(self.store_port, "admit", Key="none"))
        await self.configure("plain")
        groups = [("svc", ENGINES), ("plain", PLAIN_SERVERS), ("other", OTHER_SERVERS)]
        groups += [(name, {name: data_centre}) for name, data_centre in LONE_SERVERS.items()]
        for service, servers in groups:
            for name, data_centre in servers.items():
                version = ENGINE_VERSIONS.get(name, "")
                if version and self.seed % 2 == 0:
                    version = VERSIONS[0]
                await self.add_server(name, service, data_centre, version)
        for name, data_centre in self.instances.items():
            await self.add_instance(name, data_centre)
        for name in self.instances:
            await self.wait_until(lambda name=name: self.is_ready(name))

    def add(self, name: str, *arguments: str, **environment: str) -> None:
        """Start a process."""
        output = self.folder / f"{name}.log"
        merged = {**self.environment, **environment}
        program = Program(name, [sys.executable, *arguments], merged, output)
        self.programs[name] = program
        program.start()

    async def add_relay(self, name: str, target: int) -> int:
        """Start a relay in front of a port and return the relay's port."""
        relay = self.relays[name] = Relay(find_port(), target, refused=self.history.refused)
        await relay.start()
        return relay.port

    async def add_server(
        self, name: str, service: str, data_centre: str, version: str = ""
    ) -> None:
        """Start a backend server behind a relay."""
        port = find_port()
        self.data_centres[name] = data_centre
        relay_port = await self.add_relay(name, port)
        self.relays[name].follows_target = True
        positional = [
            str(port),
            name,
            service,
            data_centre,
            str(self.store_port),
            str(self.records),
        ]
        models = FIRST_MODELS.get(name, "")
        options = ["--told-port", str(relay_port), "--models", models, "--trouble", str(self.seed)]
        if service in ("plain", "other"):
            options.append("--limits")
        if version:
            options += ["--version", version]
            self.history.engines.append(Serving(name, version, time.monotonic() + REPORT_S))
        self.add(name, "-m", "standin.run", "replica", *positional, *options)
        self.services[name] = service

    async def add_instance(self, name: str, data_centre: str) -> None:
        """Start an instance, with relays for its callers and for its connections to the store."""
        port, ready = find_port(), find_port()
        self.callers[name] = await self.add_relay(name, port)
        self.listeners[name] = port
        text = SETTINGS_TEXT.format(
            name=name,
            data_centre=data_centre,
            level="debug",
            callers=port,
            ready=ready,
            peers=find_port(),
            metrics=find_port(),
            store=await self.add_relay(f"store-{name}", self.store_port),
        )
        path = self.folder / f"{name}.ini"
        # Killed instances start again with it.
        text = text.replace("unknown = ignored", "first_start = true")
        text = text.replace("[bounds]", "[bounds]\nstrict_revocation = true")
        path.write_text(text, encoding="utf-8")
        self.listeners[f"ready-{name}"] = ready
        self.add(name, "-m", "rhubarbshed.front", RHUBARBSHED_SETTINGS=str(path))

    async def is_ready(self, name: str) -> bool:
        """Return whether an instance reports that it is ready for new connections."""
        try:
            port = self.listeners[f"ready-{name}"]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /rhubarbshed/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_listening(self, name: str) -> None:
        """Wait until callers can connect to an instance, which may be far from ready."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.listeners[name])
            except OSError:
                await asyncio.sleep(0.005)
            else:
                writer.close()
                return

    async def wait_until(self, condition) -> None:
        """Wait until an asynchronous condition holds."""
        until = time.monotonic() + READY_TIMEOUT_S + READY_TIMEOUT_EACH_S * len(self.instances)
        while not await condition():
            if time.monotonic() > until:
                raise TimeoutError("the processes did not become ready in time")
            await asyncio.sleep(0.1)

    async def configure(self, moved_to: str) -> bool:
        """Write the next configuration as the operator does, and record it once acknowledged.

        One after the other, so that the store does not end with an older one. Return whether it
        was acknowledged.
        """
        async with self.operator:
            self.version += VERSION_STEP
            version, key_number = self.version, self.key_number
            body = make_routes(moved_to, version, key_number)
            status = await call_store(self.store_port, "put", body, Table="op", Key="config")
        if status != 200:
            return False
        self.history.added[version] = time.monotonic()
        self.history.listed.setdefault(key_number, time.monotonic())
        if moved_to != self.moved_to:
            prefixes = {"plain": "p", "other": "q"}
            self.history.moves.append(
                (time.monotonic(), prefixes[self.moved_to], prefixes[moved_to])
            )
            self.moved_to = moved_to
        for number in range(1, key_number):
            self.history.revoked.setdefault(number, time.monotonic())
        return True

    async def change_key(self) -> None:
        """Replace the account with its key by another one."""
        self.history.unlisted[self.key_number] = time.monotonic()
        self.key_number += 1
        while not await self.configure(self.moved_to):
            await asyncio.sleep(KEY_RETRY_S)

    async def stop_instance(self, name: str, grace_s: float) -> None:
        """Stop an instance as planned, record its exit, and start it again."""
        program = self.programs[name]
        self.disrupted.add(name)
        at = time.monotonic()
        code = await program.end(signal.SIGTERM, grace_s)
        self.history.stops.append(Stop(name, at, time.monotonic(), code))
        program.start()
        self.disrupted.discard(name)

    def find_holders(self) -> list[str]:
        """Return the order holder of each data centre, as the instances' logs name it."""
        named: dict[str, tuple[int, str]] = {}
        for name in self.instances:
            for found in HOLDER.finditer(self.programs[name].output.read_text(encoding="utf-8")):
                holder, data_centre, token = found.groups()
                named[data_centre] = max(named.get(data_centre, (0, "")), (int(token), holder))
        return [holder for _, holder in named.values()]

    @property
    def engines(self) -> list[str]:
        """Return the engines that take new requests."""
        return [each.server for each in self.history.engines if math.isinf(each.until)]

    def choose_instance(self, rng: random.Random) -> tuple[str, int]:
        """Draw the instance of a caller's next connection; return its name and port."""
        name = rng.choice(list(self.instances))
        return name, self.callers[name]

    async def release(self, old: str, version: str, serve_s: float) -> None:
        """Start an engine at a version and let an old one drain, serve for a time and end."""
        self.released += 1
        self.disrupted.add(old)
        await self.add_server(f"r{self.released}", "svc", self.data_centres[old], version)
        await asyncio.sleep(REPORT_S)
        serving = next(each for each in self.history.engines if each.server == old)
        self.programs[old].send(signal.SIGUSR2)
        serving.until = time.monotonic()
        await asyncio.sleep(serve_s)
        await self.programs[old].end(signal.SIGKILL, 1.0)
        self.history.leavings.append(Leaving(old, serving.until + REPORT_S, time.monotonic()))
        del self.services[old]
        self.relays.pop(old).stop()

    def restart_crashed_servers(self) -> None:
        """Start the servers again that a request ended, and record that they were disturbed."""
        for name in self.services:
            program = self.programs[name]
            if name not in self.disrupted and not program.is_running:
                self.disrupted.add(name)
                self.crashed_at[name] = time.monotonic()
        for name, at in list(self.crashed_at.items()):
            if time.monotonic() > at + CRASHED_S:
                del self.crashed_at[name]
                self.programs[name].start()
                self.disrupted.discard(name)
                until = time.monotonic() + REPORT_S
                self.history.disturbances.append(Disturbance(name, "crashed", at - 1.0, until))

    def record_unexpected_exits(self) -> None:
        """Record instances that exited without the soak's action, and start them again."""
        for name in self.instances:
            program = self.programs[name]
            if name not in self.disrupted and not program.is_running:
                self.history.own_ends.append(f"{name} ended with {program.process.returncode}")
                program.start()

    async def stop(self) -> None:
        """End all processes that the soak started, and the relays."""
        for program in self.programs.values():
            if program.is_running:
                await program.end(signal.SIGKILL, 1.0)
        for relay in self.relays.values():
            relay.stop()
