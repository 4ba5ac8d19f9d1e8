"""Faults from outside, drawn by seed; they come in series and overlap."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from attrs import define, field

from standin.run import call_store
from test.soak.history import ALL, Disturbance, Leaving
from test.soak.relay import Mode
from test.soak.scene import ENGINES, INSTANCES, OTHER, PLAIN, Scene

SERVERS = (*ENGINES, *PLAIN, *OTHER)
GRACE_S = 8.0
SHORT_S = (0.2, 1.5)
LONG_S = (1.0, 4.0)
PAUSE_S = (0.1, 1.5)
DELAY_S = (0.02, 0.3)
"""How long faults last, how far apart a series begins, and how long a relay delays."""

LEAVING_S = 4.0
"""Time for which a server that left serves on, longer than it may get new requests."""

PLANNED_PART = 0.3
"""Part of the times in which planned work is drawn in place of a fault."""

PLANNED_GAP_S = 3.2
"""Time before and after planned work without faults, so that its promises are judged."""

Fault = Callable[["Faults"], Awaitable[None]]


@define(eq=False)
class Faults:
    """Play faults on a scene until they are told to end."""

    scene: Scene
    chance: random.Random
    tasks: set[asyncio.Task] = field(factory=set)

    async def play(self, seconds: float) -> None:
        """Begin one fault after another, each while others last, with calm spells for plans."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.chance.random() < PLANNED_PART:
                await self.finish()
                await asyncio.sleep(PLANNED_GAP_S)
                await self.chance.choice(PLANS)(self)
                await asyncio.sleep(PLANNED_GAP_S)
                continue
            fault = self.chance.choice(FAULTS)
            task = asyncio.create_task(fault(self))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.chance.uniform(*PAUSE_S))
        await self.finish()

    async def finish(self) -> None:
        """Wait until all faults are over."""
        while self.tasks:
            await asyncio.gather(*self.tasks)

    async def last(self, subject: str, kind: str, span: tuple[float, float]) -> None:
        """Wait while a fault lasts, and note it."""
        since = time.monotonic()
        await asyncio.sleep(self.chance.uniform(*span))
        self.scene.history.disturbances.append(
            Disturbance(subject, kind, since, time.monotonic() + 0.1)
        )

    def draw(self, names: tuple[str, ...]) -> str:
        """Draw a process that nothing is being done to, "" for none."""
        free = [name for name in names if name not in self.scene.ending]
        return self.chance.choice(free) if free else ""


async def kill_instance(faults: Faults) -> None:
    """Kill an instance and start it again."""
    await _kill(faults, tuple(INSTANCES), "killed")


async def kill_server(faults: Faults) -> None:
    """Kill a backend server; it comes back empty."""
    await _kill(faults, SERVERS, "killed")


async def _kill(faults: Faults, names: tuple[str, ...], kind: str) -> None:
    name = faults.draw(names)
    if not name:
        return
    program = faults.scene.programs[name]
    faults.scene.ending.add(name)
    program.send(signal.SIGKILL)
    await faults.last(name, kind, SHORT_S)
    program.process.wait()
    program.start()
    await faults.last(name, "starts", SHORT_S)
    faults.scene.ending.discard(name)


async def kill_herd(faults: Faults) -> None:
    """Kill all instances at the same moment."""
    names = [name for name in INSTANCES if name not in faults.scene.ending]
    faults.scene.ending.update(names)
    for name in names:
        faults.scene.programs[name].send(signal.SIGKILL)
    await faults.last(ALL, "herd killed", SHORT_S)
    for name in names:
        faults.scene.programs[name].process.wait()
        faults.scene.programs[name].start()
    await faults.last(ALL, "herd starts", SHORT_S)
    faults.scene.ending.difference_update(names)


async def pause_process(faults: Faults) -> None:
    """Stop a process for a while; a holder of the lease may wake after its end."""
    name = faults.draw((*INSTANCES, *INSTANCES, *SERVERS, "store"))
    if not name:
        return
    program = faults.scene.programs[name]
    faults.scene.ending.add(name)
    program.send(signal.SIGSTOP)
    program.paused = True
    await faults.last(ALL if name == "store" else name, "paused", LONG_S)
    program.send(signal.SIGCONT)
    program.paused = False
    faults.scene.ending.discard(name)


async def disturb_link(faults: Faults) -> None:
    """Delay, silence, cut one way or refuse connections of one process."""
    relay_name = faults.chance.choice(list(faults.scene.relays))
    relay = faults.scene.relays[relay_name]
    relay.delay_s = faults.chance.uniform(*DELAY_S)
    relay.mode = faults.chance.choice((Mode.DELAY, Mode.SILENT, Mode.DEAF, Mode.REFUSE))
    kind = relay.mode.value
    await faults.last(relay_name.removeprefix("store-"), kind, LONG_S)
    relay.mode = Mode.PASS


async def reset_links(faults: Faults) -> None:
    """Reset all connections of one process, or silence them while new ones work."""
    relay_name = faults.chance.choice(list(faults.scene.relays))
    relay = faults.scene.relays[relay_name]
    if faults.chance.random() < 0.5:
        relay.reset()
    else:
        relay.forget()
    await faults.last(relay_name.removeprefix("store-"), "reset", SHORT_S)


async def disturb_store(faults: Faults) -> None:
    """Have the store refuse calls, lose answers of writes or forget its history."""
    port = faults.scene.store_port
    kind = faults.chance.choice(("down", "lose_answers", "forget"))
    await call_store(port, kind, on="1")
    await faults.last(ALL, kind, LONG_S)
    await call_store(port, kind, on="0") if kind != "forget" else None


async def change_configuration(faults: Faults) -> None:
    """Move a route to the other service, some times in a row."""
    for _ in range(faults.chance.randint(1, 3)):
        moved_to = "other" if faults.scene.moved_to == "plain" else "plain"
        await faults.scene.configure(moved_to)
        await asyncio.sleep(faults.chance.uniform(*PAUSE_S))


async def stop_instance(faults: Faults) -> None:
    """Stop an instance as planned; callers stay on its connections until it is gone."""
    await faults.scene.stop_instance(faults.chance.choice(list(INSTANCES)), GRACE_S)


async def stop_in_turn(faults: Faults) -> None:
    """Stop two instances, the second while the first one drains."""
    first, second = faults.chance.sample(list(INSTANCES), 2)
    stopping = asyncio.create_task(faults.scene.stop_instance(first, GRACE_S))
    await asyncio.sleep(faults.chance.uniform(*PAUSE_S))
    await faults.scene.stop_instance(second, GRACE_S)
    await stopping


async def remove_server(faults: Faults) -> None:
    """Take a backend server away as planned: its entry goes, it serves on for a while."""
    name = faults.chance.choice(("e2", "p1", "p2"))
    scene = faults.scene
    program = scene.programs[name]
    scene.ending.add(name)
    # Its heartbeats would bring the entry back, so the process goes on under another key.
    await call_store(scene.store_port, "retire", Key=name)
    left_at = time.monotonic()
    await asyncio.sleep(LEAVING_S)
    await program.end(signal.SIGKILL, 1.0)
    ended_at = time.monotonic()
    scene.history.leavings.append(Leaving(name, left_at, ended_at))
    scene.history.disturbances.append(Disturbance(name, "left", left_at, ended_at + 1.0))
    await asyncio.sleep(0.5)
    await call_store(scene.store_port, "admit", Key=name)
    program.start()
    scene.ending.discard(name)


FAULTS: tuple[Fault, ...] = (
    kill_instance,
    kill_server,
    kill_server,
    kill_herd,
    pause_process,
    pause_process,
    disturb_link,
    disturb_link,
    reset_links,
    reset_links,
    disturb_store,
    change_configuration,
)
PLANS: tuple[Fault, ...] = (
    stop_instance,
    stop_in_turn,
    change_configuration,
    remove_server,
    remove_server,
)
