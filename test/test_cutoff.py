"""Test instances as processes while the platform, or a part of it, cannot be reached."""

from collections.abc import Iterator
from typing import Any

import pytest

from test.helper_standins import call, set_fault
from tools.fleet import GIB, HOST, Fleet, ask
from tools.processes import wait_until

READY_S = 30.0
FORCE_S = 8.0
"""Longest time in which an accepted ticket comes into force everywhere."""


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Give a fleet whose processes end with the test."""
    made = Fleet.from_options("[shutdown]\nannounce_s = 0.2\ndrain_s = 5\n")
    try:
        yield made
    finally:
        clear_faults(made)
        made.stop()


def clear_faults(fleet: Fleet) -> None:
    for process in (fleet.table, fleet.objects, fleet.platform):
        call(process, "DELETE", "/fault")


def take_down(fleet: Fleet) -> None:
    for process in (fleet.table, fleet.objects, fleet.platform):
        set_fault(process, "down")


def make_ticket(number: int, version: str = "1", names: tuple[str, ...] = ("m",)) -> dict[str, Any]:
    sizes = {"kind": "model", "version": version, "memory_bytes": GIB}
    return {"number": number, "objects": [{**sizes, "name": name} for name in names]}


def send_ticket(fleet: Fleet, instance: str, ticket: dict[str, Any]) -> None:
    status, answer = fleet.ask_operator(instance, "POST", "/tickets", ticket)
    assert status < 300, answer


def answers(fleet: Fleet, instance: str, model: str = "m") -> bool:
    body = {"model": model, "prompt": "a b c", "max_tokens": 4}
    url = fleet.instances[instance].url + "/v1/completions"
    return ask("POST", url, body)[0] == 200


def list_versions(fleet: Fleet, instance: str) -> dict[str, str]:
    rows = fleet.ask_operator(instance, "GET", "/models")[1]
    return {row["name"]: row["version"] for row in rows}


def get_peer_address(fleet: Fleet, instance: str) -> str:
    return f"{HOST}:{fleet.instances[instance].ports[2]}"


def test_instance_started_while_the_platform_is_down_serves(fleet):
    fleet.add_engine("engine-1", "dc-1")
    fleet.add_engine("engine-2", "dc-2")
    fleet.add_instance("a", "dc-1")
    fleet.add_instance("b", "dc-2")
    send_ticket(fleet, "a", make_ticket(3))
    assert wait_until(lambda: answers(fleet, "a") and answers(fleet, "b"), READY_S)
    take_down(fleet)
    seeds = get_peer_address(fleet, "b")
    fleet.add_instance("c", "dc-1", f"[peers]\nseeds = {seeds}\n", listed=False)
    assert list_versions(fleet, "c") == {"m": "1"}
    assert wait_until(lambda: answers(fleet, "c"), FORCE_S)
    assert wait_until(lambda: is_known(fleet, "a", "c"), FORCE_S)


def is_known(fleet: Fleet, instance: str, other: str) -> bool:
    rows = fleet.ask_operator(instance, "GET", "/instances")[1]
    return any(row["name"] == other and row["standing"] == "live" for row in rows)
