"""Streams of two versions that are taken up after all instances, or nearly all, were killed."""

from collections.abc import Awaitable, Callable

import pytest

from test.helper_edge import play
from test.helper_scene import Scene, run_scene
from test.helper_streams import list_versions, take_up

NAMES = {"a1": "a", "a2": "a", "c1": "c"}
Step = Callable[[Scene], Awaitable[None]]


async def release(scene: Scene) -> None:
    """Start a server of another version, at which a stream begins."""
    await scene.add("b2", "v2", *scene.instances.tasks)
    await scene.begin_at("c1", "b2", "s2")


async def leave(scene: Scene) -> None:
    """Let the server of the old version leave."""
    await scene.remove("b1", *scene.instances.tasks)


def lapse(name: str) -> Step:
    """Return the loss of a server's entry though it serves on."""

    async def apply(scene: Scene) -> None:
        scene.store.remove("servers", name)

    return apply


def enter(name: str) -> Step:
    """Return the return of a server's entry."""

    async def apply(scene: Scene) -> None:
        scene.store.put("servers", name, scene.servers[name].describe())

    return apply


def kill(*names: str) -> Step:
    """Return a kill of instances."""
    return lambda scene: scene.kill(*names)


def start(*names: str) -> Step:
    """Return a start of instances, whose settings still say that it is the first one."""
    return lambda scene: scene.start_again(*names)


def set_store(down: bool) -> Step:
    """Return a loss or the return of the store."""

    async def apply(scene: Scene) -> None:
        scene.store.down = down

    return apply


async def record(scene: Scene) -> None:
    """Wait until the store holds the versions."""
    await scene.wait_recorded()


async def forget(scene: Scene) -> None:
    """Drop the store's history."""
    scene.store.forget()


ALL = tuple(NAMES)
CASES: dict[str, list[Step]] = {
    "both serve": [release, kill(*ALL), start(*ALL)],
    "both serve, recorded": [release, record, kill(*ALL), start(*ALL)],
    "old left before": [release, leave, kill(*ALL), start(*ALL)],
    "old leaves during": [release, kill(*ALL), lapse("b1"), start(*ALL)],
    "old leaves after": [release, kill(*ALL), start(*ALL), leave],
    "new left before": [release, lapse("b2"), kill(*ALL), start(*ALL)],
    "new leaves during": [release, kill(*ALL), lapse("b2"), start(*ALL)],
    "recorded, new leaves during": [release, record, kill(*ALL), lapse("b2"), start(*ALL)],
    "no history": [release, kill(*ALL), lapse("b1"), forget, start(*ALL)],
    "one later": [release, kill("a1", "a2"), start("a1"), kill("c1"), start("a2", "c1")],
    "one survives": [release, leave, kill("a1", "a2"), start("a1", "a2")],
    "one never returns": [release, kill(*ALL), lapse("b1"), start("a1", "a2")],
    "in the release": [kill("a1", "a2"), release, kill("c1"), start(*ALL), leave],
    "twice": [release, kill(*ALL), start(*ALL), kill(*ALL), lapse("b1"), start(*ALL)],
    "twice, one alone between": [
        *(release, kill(*ALL), lapse("b1"), start("a1"), record, kill("a1"), start(*ALL))
    ],
    "entry returns late": [
        *(release, set_store(True), kill(*ALL), lapse("b1"), lapse("b2"), enter("b2")),
        *(set_store(False), start(*ALL), enter("b1")),
    ],
}


@pytest.mark.parametrize("steps", CASES.values(), ids=CASES)
def test_no_stream_goes_on_at_another_version_after_kills(steps: list[Step]):
    async def scene():
        async with run_scene("b1", first_start=True, **NAMES) as scene:
            await scene.begin_at("a1", "b1", "s1")
            begun = {"s1": b"data: <v1>"}
            for step in steps:
                await step(scene)
                if step is release:
                    begun["s2"] = b"data: <v2>"
                for name in scene.instances.tasks:
                    for stream_id, version in begun.items():
                        answer = await take_up(scene.get_edge(name), stream_id)
                        assert answer.status == 503 or list_versions(answer) == {version}
                    answer = await take_up(scene.get_edge(name), "")
                    assert answer.status == 503 or list_versions(answer) == set(begun.values())

    play(scene)
