"""One run of the soak: start a scene, inject faults, let it recover, check the guarantees."""

import asyncio
import functools
import os
import random
import signal
import tempfile
import time
from pathlib import Path

from attrs import frozen

from test.soak.accounts import send_keyed_requests
from test.soak.callers import Caller
from test.soak.checks import check_all
from test.soak.faults import Faults, remove_lone_servers
from test.soak.history import History
from test.soak.scene import INSTANCES, Scene, name_instances
from test.soak.visitors import ask_for_added_routes

CALLERS_PER_INSTANCE = 3
RECOVERY_S = 12.0
"""Time after the faults until every request is served again, from the platform's pages."""

RECOVERED_S = 4.0
"""Time after the recovery in which every request has to be served."""

WATCH_INTERVAL_S = 0.2


@frozen
class Verdict:
    """Violations of a run by guarantee, and the folder of its logs and records."""

    seed: int
    folder: Path
    broken: dict[str, list[str]]
    history: History

    def describe(self) -> str:
        """Return seed, folder, first violations and disturbances as text."""
        lines = [f"seed {self.seed}, logs in {self.folder}"]
        for name, found in self.broken.items():
            lines.append(f"  {name}: {len(found)}, the first: {found[0]}")
        for each in self.history.disturbances if self.broken else ():
            lines.append(f"    {each.since:.2f} to {each.until:.2f} {each.subject} {each.kind}")
        return "\n".join(lines)


async def watch(scene: Scene) -> None:
    """Watch for processes that exit unexpectedly, until cancelled."""
    while True:
        scene.restart_crashed_servers()
        scene.record_unexpected_exits()
        await asyncio.sleep(WATCH_INTERVAL_S)


async def play_scene(scene: Scene, seconds: float, environment: dict[str, str]) -> None:
    """Inject faults for some seconds while callers send requests, then let the scene recover."""
    rng = random.Random(scene.seed)
    await scene.start(environment)
    faults = Faults(scene, rng)
    # Without callers the entries of servers do not change, and nothing else disturbs the store.
    await remove_lone_servers(faults)

    choose = functools.partial(scene.choose_instance, rng)
    callers = [
        Caller(f"c{number}", random.Random(f"{scene.seed}c{number}"), scene.history, choose)
        for number in range(CALLERS_PER_INSTANCE * len(scene.instances))
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    tasks += [asyncio.create_task(send_keyed_requests(scene, name)) for name in scene.instances]
    tasks += [asyncio.create_task(ask_for_added_routes(scene, name)) for name in scene.instances]
    tasks.append(asyncio.create_task(watch(scene)))
    await faults.play(seconds)
    for name in scene.services:
        scene.programs[name].send(signal.SIGUSR1)
    await asyncio.sleep(RECOVERY_S)
    scene.history.calm_from = time.monotonic()
    await asyncio.sleep(RECOVERED_S)
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome


def play_seed(
    seed: int, seconds: float, root: Path | None = None, instances: int = INSTANCES
) -> Verdict:
    """Run the soak with one seed on the programs in the folder `root`."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    scene = Scene(folder, seed, name_instances(instances))
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
