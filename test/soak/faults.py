"""External faults drawn from a seed, in series in which they overlap."""

import asyncio
import itertools
import random
import signal
import time
from collections.abc import Awaitable, Callable

from attrs import define, field

from standin.run import call_store
from test.soak.checks import DRAIN_S
from test.soak.deadly import send_deadly_requests
from test.soak.history import ALL, STORE, Disturbance, Leaving
from test.soak.relay import Mode
from test.soak.scene import LONE_SERVERS, REPORT_S, VERSIONS, Scene
from test.soak.visitors import LEAD_S, ask_for_server, visit_stop

STOP_TIMEOUT_S = 8.0
SHORT_FAULT_S = (0.2, 1.5)
LONG_FAULT_S = (1.0, 4.0)
AWAY_S = (0.1, 0.6)
COPY_AGE_S = (1.0, 7.0)
HUSHED_S = (1.0, 1.3)
FAULT_INTERVAL_S = (0.1, 1.5)
RELAY_DELAY_S = (0.02, 0.3)
STORE_DELAY_S = (0.5, 1.5)
LINK_BYTES_PER_S = (6_000, 60_000)
"""Time for a planned stop, duration of faults, time for which a store that is restored is away, age
of its copy, pause of all plain servers, time between the starts of two faults, delay that a
relay adds, delay of a late store, and rate of a slow link to it: a configuration has some KB."""

LEAVING_SERVE_S = 4.0
RELEASE_SERVE_S = 8.0
SERVED_ON_S = (0.3, 1.5)
"""Time for which a removed server keeps serving, longer than it may get new requests, and for which
one keeps serving that a release replaces, until its streams have ended, and time beyond the drain
time for which the only server of a service does."""

LONE_INTERVAL_S = (2.0, 4.5)
BEHIND_S = (0.2, 0.45)
"""Time before the removal of such a server, and between it and another change."""

REVOKED_CUT_S = 8.0
"""Time for which an instance has no store as a key is taken away, longer than the key may be used
from then on."""

STOPS_MAX = 4
SECOND_SIGNAL_S = (0.0, 2.9)
"""Instances in a series of stops, and time from SIGTERM to a second signal or a configuration."""

START_SIGNAL_S = (0.0, 0.3)
"""Time from the first connection to a starting instance to a signal."""

PLANNED_FRACTION = 0.3
"""Fraction of draws that choose a planned change instead of a fault."""

PLANNED_GAP_S = 3.2
"""Time without faults before and after a planned change: checks exempt disturbed subjects, so
its guarantees are checked only without faults."""

ODD_FIELDS = (
    {"State": "odd", "Unused": 10**30},
    {"Service": "\ud800"},
    {"born": 2**70},
    {"Address": "127.0.0.1:70000"},
    {"Models": [{"Name": "m1", "Adapters": ["x", 3]}]},
    {"Version": "v" * 60_000},
)
"""What makes an entry of another writer unreadable."""

Fault = Callable[["Faults"], Awaitable[None]]


@define(eq=False)
class Faults:
    """Fault injection on a scene."""

    scene: Scene
    rng: random.Random
    tasks: set[asyncio.Task] = field(factory=set)

    async def play(self, seconds: float) -> None:
        """Start overlapping faults one after another, with fault-free times for planned changes.

        A stop, removals, odd entries, releases, kills of all instances before and in them, a
        request and a part of prompts that end servers come first, so that each run has them.
        """
        await self.change_as_planned(self.rng.choice(STOPS))
        await self.change_as_planned(remove_beside_change)
        await self.change_as_planned(change_key_behind_cut)
        await write_odd_entries(self)
        await kill_all_instances(self)
        await self.change_as_planned(release_version)
        await kill_all_in_release(self)
        await self.change_as_planned(send_deadly)
        await self.change_as_planned(send_deadly_part)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.rng.random() < PLANNED_FRACTION:
                await self.change_as_planned(self.rng.choice(PLANNED_CHANGES))
                continue
            fault = self.rng.choice(FAULTS)
            task = asyncio.create_task(fault(self))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
        await self.wait_for_faults()

    async def change_as_planned(self, change: Fault) -> None:
        """Carry out a planned change with no fault before and after it."""
        await self.wait_for_faults()
        await asyncio.sleep(PLANNED_GAP_S)
        await change(self)
        await asyncio.sleep(PLANNED_GAP_S)

    async def wait_for_faults(self) -> None:
        """Wait until all faults have ended."""
        while self.tasks:
            await asyncio.gather(*self.tasks)

    async def wait_fault(self, subject: str, kind: str, span: tuple[float, float]) -> None:
        """Wait for the duration of a fault and record it."""
        since = time.monotonic()
        await asyncio.sleep(self.rng.uniform(*span))
        self.scene.history.disturbances.append(
            Disturbance(subject, kind, since, time.monotonic() + 0.1)
        )

    def draw_process(self, names: tuple[str, ...]) -> str:
        """Draw a process that is not disrupted already, "" if there is none."""
        free = [name for name in names if name not in self.scene.disrupted]
        return self.rng.choice(free) if free else ""


async def kill_instance(faults: Faults) -> None:
    """Kill an instance and start it again."""
    await _kill(faults, tuple(faults.scene.instances), "killed")


async def kill_holder(faults: Faults) -> None:
    """Kill the order holder of a data centre and start it again."""
    await _kill(faults, tuple(faults.scene.find_holders()), "killed")


async def kill_server(faults: Faults) -> None:
    """Kill a backend server, mostly an engine, which restarts with its initial models."""
    await _kill(faults, (*faults.scene.services, *faults.scene.engines), "killed")


async def _kill(faults: Faults, names: tuple[str, ...], kind: str) -> None:
    name = faults.draw_process(names)
    if not name:
        return
    program = faults.scene.programs[name]
    faults.scene.disrupted.add(name)
    program.send(signal.SIGKILL)
    await faults.wait_fault(name, kind, SHORT_FAULT_S)
    program.process.wait()
    program.start()
    await faults.wait_fault(name, "starts", SHORT_FAULT_S)
    faults.scene.disrupted.discard(name)


async def kill_all_instances(faults: Faults) -> None:
    """Kill all instances at the same time."""
    names = [name for name in faults.scene.instances if name not in faults.scene.disrupted]
    faults.scene.disrupted.update(names)
    for name in names:
        faults.scene.programs[name].send(signal.SIGKILL)
    await faults.wait_fault(ALL, "all killed", SHORT_FAULT_S)
    for name in names:
        faults.scene.programs[name].process.wait()
        faults.scene.programs[name].start()
    await faults.wait_fault(ALL, "all start", SHORT_FAULT_S)
    faults.scene.disrupted.difference_update(names)


async def kill_all_in_release(faults: Faults) -> None:
    """Kill all instances while servers of two versions or more serve, one of which drains."""
    release = asyncio.create_task(release_version(faults))
    await asyncio.sleep(REPORT_S + faults.rng.uniform(*LONG_FAULT_S))
    await kill_all_instances(faults)
    await release


async def pause_process(faults: Faults) -> None:
    """Pause a process with SIGSTOP; a lease holder may resume after its lease has expired."""
    name = faults.draw_process(
        (*faults.scene.instances, *faults.scene.instances, *faults.scene.services, "store")
    )
    if not name:
        return
    program = faults.scene.programs[name]
    faults.scene.disrupted.add(name)
    program.send(signal.SIGSTOP)
    program.paused = True
    await faults.wait_fault(name, "paused", LONG_FAULT_S)
    program.send(signal.SIGCONT)
    program.paused = False
    faults.scene.disrupted.discard(name)


async def disturb_link(faults: Faults) -> None:
    """Delay connections of one process, drop their data or answers, or refuse new ones."""
    relay_name = faults.rng.choice(list(faults.scene.relays))
    relay = faults.scene.relays[relay_name]
    relay.delay_s = faults.rng.uniform(*RELAY_DELAY_S)
    relay.mode = faults.rng.choice((Mode.DELAY, Mode.DROP_ALL, Mode.DROP_ANSWERS, Mode.REFUSE))
    kind = relay.mode.value
    await faults.wait_fault(relay_name.removeprefix("store-"), kind, LONG_FAULT_S)
    relay.mode = Mode.PASS


async def reset_links(faults: Faults) -> None:
    """Reset all connections of one process, or drop their data while new ones work."""
    relay_name = faults.rng.choice(list(faults.scene.relays))
    relay = faults.scene.relays[relay_name]
    if faults.rng.random() < 0.5:
        relay.reset()
    else:
        relay.silence_open()
    await faults.wait_fault(relay_name.removeprefix("store-"), "reset", SHORT_FAULT_S)


async def disturb_store(faults: Faults) -> None:
    """Make the store refuse calls, lose answers to writes or drop its history of changes."""
    port = faults.scene.store_port
    kind = faults.rng.choice(("down", "lose_answers", "forget"))
    await call_store(port, kind, on="1")
    await faults.wait_fault(STORE, kind, LONG_FAULT_S)
    await call_store(port, kind, on="0") if kind != "forget" else None


async def slow_link_to_store(faults: Faults) -> None:
    """Limit the rate of the answers of the store to one instance."""
    name = faults.rng.choice(list(faults.scene.instances))
    relay, since = faults.scene.relays[f"store-{name}"], time.monotonic()
    relay.bytes_per_s = faults.rng.uniform(*LINK_BYTES_PER_S)
    await asyncio.sleep(faults.rng.uniform(*LONG_FAULT_S))
    await relay.widen()
    until = time.monotonic() + 0.1
    faults.scene.history.disturbances.append(Disturbance(name, "slow link", since, until))


async def delay_store(faults: Faults) -> None:
    """Let all answers of the store come late."""
    port, since = faults.scene.store_port, time.monotonic()
    delay_s = faults.rng.uniform(*STORE_DELAY_S)
    await call_store(port, "delay", s=f"{delay_s:.2f}")
    await asyncio.sleep(faults.rng.uniform(*LONG_FAULT_S))
    await call_store(port, "delay", s="0")
    # Answers that were on their way still come late.
    until = time.monotonic() + delay_s + 0.1
    faults.scene.history.disturbances.append(Disturbance(STORE, "late", since, until))


async def restore_store(faults: Faults) -> None:
    """Let the store be away for a moment and come back from a copy some seconds old."""
    port, age_s = faults.scene.store_port, faults.rng.uniform(*COPY_AGE_S)
    await call_store(port, "down", on="1")
    await faults.wait_fault(STORE, "restored", AWAY_S)
    await call_store(port, "restore", age_s=f"{age_s:.2f}")
    await call_store(port, "down", on="0")


async def hush_servers(faults: Faults) -> None:
    """Pause all plain servers for a moment, beside a change of the configuration."""
    scene = faults.scene
    names = [
        name
        for name, service in scene.services.items()
        if service != "svc" and name not in scene.disrupted
    ]
    scene.disrupted.update(names)
    await change_configuration(faults)
    for name in names:
        scene.programs[name].send(signal.SIGSTOP)
        scene.programs[name].paused = True
    since = time.monotonic()
    await asyncio.sleep(faults.rng.uniform(*HUSHED_S))
    for name in names:
        scene.programs[name].send(signal.SIGCONT)
        scene.programs[name].paused = False
    until = time.monotonic() + 0.1
    scene.history.disturbances += [Disturbance(name, "paused", since, until) for name in names]
    scene.disrupted.difference_update(names)


async def write_odd_entries(faults: Faults) -> None:
    """Leave odd entries of another writer among those of the servers, for good."""
    sound = {"Service": "svc", "Address": "127.0.0.1:1", "Zone": "a", "Version": "v1", "Slots": 8}
    for number, fields in enumerate(ODD_FIELDS):
        entry = {**sound, "State": "ready", "Seq": faults.rng.randrange(99), **fields}
        key = f"odd-{number}"
        await call_store(faults.scene.store_port, "put", entry, Table="servers", Key=key)


async def send_deadly(faults: Faults) -> None:
    """Send a request that ends the servers that run it, for some seconds."""
    await send_deadly_requests(faults.scene, faults.rng, alike=True)


async def send_deadly_part(faults: Faults) -> None:
    """Send different requests with a part that ends the servers that run them."""
    await send_deadly_requests(faults.scene, faults.rng, alike=False)


async def change_configuration(faults: Faults) -> None:
    """Move a route to the other service, up to three times in a row."""
    for _ in range(faults.rng.randint(1, 3)):
        moved_to = "other" if faults.scene.moved_to == "plain" else "plain"
        await faults.scene.configure(moved_to)
        await asyncio.sleep(faults.rng.uniform(*FAULT_INTERVAL_S))


async def change_key(faults: Faults) -> None:
    """Take the key in force away."""
    await faults.scene.change_key()


async def change_key_behind_cut(faults: Faults) -> None:
    """Take the key away while an instance is cut off from the store, and paused for a part of it.

    Once it goes on it has the known configuration and requests that came meanwhile, but no answer
    of the store.
    """
    scene = faults.scene
    name = faults.draw_process(tuple(scene.instances))
    if not name:
        return
    scene.disrupted.add(name)
    relay, program, since = scene.relays[f"store-{name}"], scene.programs[name], time.monotonic()
    relay.mode = Mode.DROP_ALL
    relay.silence_open()
    await scene.change_key()
    program.send(signal.SIGSTOP)
    program.paused = True
    await asyncio.sleep(faults.rng.uniform(*LONG_FAULT_S))
    program.send(signal.SIGCONT)
    program.paused = False
    await asyncio.sleep(since + REVOKED_CUT_S - time.monotonic())
    relay.mode = Mode.PASS
    relay.reset()
    scene.history.disturbances.append(Disturbance(name, "cut", since, time.monotonic() + 0.1))
    scene.disrupted.discard(name)


async def stop_instance(faults: Faults) -> None:
    """Stop an instance as planned; callers keep their connections until it has ended."""
    await _stop(faults, faults.rng.choice(list(faults.scene.instances)))


async def stop_beside_change(faults: Faults) -> None:
    """Stop an instance beside planned work or a fault of the store, which excuses no loss."""
    others = (change_configuration, disturb_store, release_version)
    stopping = asyncio.create_task(stop_instance(faults))
    await asyncio.sleep(LEAD_S + faults.rng.uniform(*SECOND_SIGNAL_S))
    await faults.rng.choice(others)(faults)
    await stopping


async def stop_series(faults: Faults) -> None:
    """Stop two or more instances, each while those before it drain."""
    names = list(faults.scene.instances)
    stops = []
    for name in faults.rng.sample(names, faults.rng.randint(2, min(len(names), STOPS_MAX))):
        stops.append(asyncio.create_task(_stop(faults, name)))
        await asyncio.sleep(faults.rng.uniform(*FAULT_INTERVAL_S))
    await asyncio.gather(*stops)


async def _stop(faults: Faults, name: str) -> None:
    scene = faults.scene
    visits = asyncio.create_task(visit_stop(scene, faults.rng, name, time.monotonic() + LEAD_S))
    await asyncio.sleep(LEAD_S)
    signals = asyncio.create_task(_signal_during_stop(faults, name))
    await scene.stop_instance(name, STOP_TIMEOUT_S)
    await asyncio.gather(visits, signals)


async def _signal_during_stop(faults: Faults, name: str) -> None:
    """Send a stopping instance a second SIGTERM, or SIGHUP, in some stops."""
    number = faults.rng.choice((None, None, signal.SIGTERM, signal.SIGHUP))
    await asyncio.sleep(faults.rng.uniform(*SECOND_SIGNAL_S))
    if number is not None:
        faults.scene.programs[name].send(number)


async def signal_as_it_starts(faults: Faults) -> None:
    """Stop an instance, and send it SIGHUP or stop it once more while it starts again."""
    scene, rng = faults.scene, faults.rng
    name = rng.choice(list(scene.instances))
    await _stop(faults, name)
    await scene.wait_listening(name)
    await asyncio.sleep(rng.uniform(*START_SIGNAL_S))
    if rng.random() < 0.5:
        scene.programs[name].send(signal.SIGHUP)
    else:
        await scene.stop_instance(name, STOP_TIMEOUT_S)


async def remove_server(faults: Faults) -> None:
    """Remove a backend server as planned: its entry is deleted while it keeps serving."""
    name = faults.rng.choice((faults.rng.choice(faults.scene.engines), "p1", "p2"))
    await _remove(faults, name, LEAVING_SERVE_S)


async def remove_lone_servers(faults: Faults, *others: Fault) -> None:
    """Remove the only server of a service, then that of another, as all instances are asked.

    Just behind each removal comes one of the `others`, if any, while order holders collect changes.
    """
    scene, rng = faults.scene, faults.rng
    pairs = itertools.product(scene.instances, LONE_SERVERS)
    asking = [asyncio.create_task(ask_for_server(scene, *pair)) for pair in pairs]
    changes = []
    for name in rng.sample(list(LONE_SERVERS), len(LONE_SERVERS)):
        await asyncio.sleep(rng.uniform(*LONE_INTERVAL_S))
        if others:
            await write_odd_entries(faults)
        serve_s = DRAIN_S + rng.uniform(*SERVED_ON_S)
        changes.append(asyncio.create_task(_remove(faults, name, serve_s)))
        if others:
            await asyncio.sleep(rng.uniform(*BEHIND_S))
            changes.append(asyncio.create_task(rng.choice(others)(faults)))
    await asyncio.gather(*changes)
    for task in asking:
        task.cancel()
    for outcome in await asyncio.gather(*asking, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome


async def remove_beside_change(faults: Faults) -> None:
    """Remove lone servers beside the kill of an order holder or a change of the configuration."""
    await remove_lone_servers(faults, kill_holder, kill_holder, change_configuration)


async def _remove(faults: Faults, name: str, serve_s: float) -> None:
    scene = faults.scene
    program = scene.programs[name]
    scene.disrupted.add(name)
    # Its heartbeats would write the entry again, so the store ignores them until "admit".
    await call_store(scene.store_port, "retire", Key=name)
    left_at = time.monotonic()
    await asyncio.sleep(serve_s)
    await program.end(signal.SIGKILL, 1.0)
    ended_at = time.monotonic()
    scene.history.leavings.append(Leaving(name, left_at, ended_at))
    scene.history.disturbances.append(Disturbance(name, "left", left_at, ended_at + 1.0))
    await asyncio.sleep(0.5)
    await call_store(scene.store_port, "admit", Key=name)
    program.start()
    scene.disrupted.discard(name)


async def release_version(faults: Faults) -> None:
    """Replace an engine by one of another version, which drains while its streams go on."""
    scene = faults.scene
    old = faults.rng.choice(scene.engines)
    version = VERSIONS[-1] if not scene.released else faults.rng.choice(VERSIONS)
    await scene.release(old, version, RELEASE_SERVE_S)


FAULTS: tuple[Fault, ...] = (
    kill_instance,
    kill_server,
    kill_server,
    kill_server,
    kill_all_instances,
    pause_process,
    pause_process,
    disturb_link,
    disturb_link,
    reset_links,
    reset_links,
    disturb_store,
    slow_link_to_store,
    delay_store,
    restore_store,
    hush_servers,
    write_odd_entries,
    change_configuration,
    change_key,
    send_deadly,
    send_deadly_part,
)
STOPS: tuple[Fault, ...] = (
    stop_instance,
    stop_beside_change,
    stop_beside_change,
    stop_series,
    stop_series,
    signal_as_it_starts,
)
PLANNED_CHANGES: tuple[Fault, ...] = (
    *STOPS,
    release_version,
    release_version,
    change_configuration,
    remove_server,
    remove_server,
    remove_beside_change,
    change_key_behind_cut,
)
