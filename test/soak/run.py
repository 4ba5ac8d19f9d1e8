"""One run of the soak: start a scene, play faults, let it recover, check the promises."""

import asyncio
import contextlib
import os
import random
import signal
import tempfile
import time
from pathlib import Path

from attrs import frozen

from test.soak.callers import Caller
from test.soak.checks import check_all
from test.soak.faults import Faults
from test.soak.history import History
from test.soak.scene import INSTANCES, Scene

CALLERS = 12
RECOVERY_S = 12.0
"""Time after the faults in which all is served again, from the platform's pages."""

CALM_S = 4.0
"""Time after the recovery in which everything asked has to be served."""

WATCH_S = 0.2


@frozen
class Verdict:
    """Tell what a run broke, by promise, and where its logs and records are."""

    seed: int
    folder: Path
    broken: dict[str, list[str]]
    history: History

    def describe(self) -> str:
        """Return what an engineer has to know."""
        lines = [f"seed {self.seed}, logs in {self.folder}"]
        for name, found in self.broken.items():
            lines.append(f"  {name}: {len(found)}, the first: {found[0]}")
        for each in self.history.disturbances if self.broken else ():
            lines.append(f"    {each.since:.2f} to {each.until:.2f} {each.subject} {each.kind}")
        return "\n".join(lines)


async def watch(scene: Scene) -> None:
    """Look for processes that end by themselves, all the time."""
    while True:
        scene.note_own_ends()
        await asyncio.sleep(WATCH_S)


async def play_scene(scene: Scene, seconds: float, environment: dict[str, str]) -> None:
    """Play faults for some seconds while callers ask, then let the scene recover."""
    chance = random.Random(scene.seed)
    await scene.start(environment)

    def choose() -> tuple[str, int]:
        name = chance.choice(list(INSTANCES))
        return name, scene.callers[name]

    callers = [
        Caller(f"c{number}", random.Random(f"{scene.seed}c{number}"), scene.history, choose)
        for number in range(CALLERS)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    tasks.append(asyncio.create_task(watch(scene)))
    faults = Faults(scene, chance)
    await faults.play(seconds)
    for name in scene.services:
        scene.programs[name].send(signal.SIGUSR1)
    await asyncio.sleep(RECOVERY_S)
    scene.history.calm_from = time.monotonic()
    await asyncio.sleep(CALM_S)
    for task in tasks:
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*tasks, return_exceptions=True)


def play_seed(seed: int, seconds: float, root: Path | None = None) -> Verdict:
    """Play one seed; the programs are those of the folder `root`."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    scene = Scene(folder, seed)
    code = str(root or Path(__file__).parents[2])
    environment = {**os.environ, "PYTHONPATH": code}

    async def play() -> None:
        try:
            await play_scene(scene, seconds, environment)
        finally:
            await scene.stop()

    asyncio.run(play())
    scene.history.read_records(scene.records)
    return Verdict(seed, folder, check_all(scene.history), scene.history)
