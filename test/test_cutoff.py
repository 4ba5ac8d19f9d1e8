"""Test instances as processes while the platform, or a part of it, cannot be reached."""

import time
from collections.abc import Iterator
from typing import Any

import pytest

from test.helper_standins import call, read_counters, set_fault
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


def cut_off(fleet: Fleet, *instances: str) -> None:
    """Cut instances off from the platform, and not from each other."""
    for process in (fleet.table, fleet.objects, fleet.platform):
        for name in instances:
            set_fault(process, "refuse_source", instance=name)


def list_owners(fleet: Fleet, instance: str) -> set[str]:
    rows = fleet.ask_operator(instance, "GET", "/backend-servers")[1]
    return {row["name"] for row in rows if row.get("owned")}


def count_loads(fleet: Fleet) -> dict[str, int]:
    """Count the loads that each engine has carried out."""
    counters = {name: read_counters(one) for name, one in fleet.backend_servers.items()}
    return {name: int(found.get("loads", 0)) for name, found in counters.items()}


def test_ticket_reaches_a_data_centre_cut_off_from_the_platform(fleet):
    """Versions only rise there, during the cut and after it, and nothing is loaded twice."""
    fleet.add_engine("engine-1", "dc-1")
    fleet.add_engine("engine-2", "dc-2")
    for name, data_centre in (("a", "dc-1"), ("b", "dc-1"), ("c", "dc-2")):
        fleet.add_instance(name, data_centre)
    send_ticket(fleet, "a", make_ticket(1))
    assert wait_until(lambda: all(answers(fleet, name) for name in "abc"), READY_S)
    cut_off(fleet, "a", "b")
    time.sleep(2.0)
    send_ticket(fleet, "c", make_ticket(2, names=("n",)))
    began = time.monotonic()
    assert wait_until(lambda: all("n" in list_versions(fleet, one) for one in "ab"), FORCE_S)
    print(f"in force in the cut data centre after {time.monotonic() - began:.2f} s")
    assert wait_until(lambda: answers(fleet, "c", "n"), READY_S)
    assert answers(fleet, "a") and answers(fleet, "b")
    clear_faults(fleet)
    until = time.monotonic() + FORCE_S
    while time.monotonic() < until:
        assert all(set(list_versions(fleet, one)) == {"m", "n"} for one in "abc")
        time.sleep(0.1)
    assert wait_until(lambda: count_loads(fleet) == {"engine-1": 2, "engine-2": 2}, READY_S)
    time.sleep(FORCE_S)
    assert count_loads(fleet) == {"engine-1": 2, "engine-2": 2}
    assert not any(
        read_counters(one).get("overcommitted") for one in fleet.backend_servers.values()
    )


def test_servers_of_an_instance_cut_off_get_another_owner(fleet):
    """Whatever the cut instance is preferred for is taken over once its lease is over."""
    engines = [f"engine-{number}" for number in range(6)]
    for name in engines:
        fleet.add_engine(name, "dc-1")
    for name in ("a", "b"):
        fleet.add_instance(name, "dc-1")
    assert wait_until(
        lambda: list_owners(fleet, "a") | list_owners(fleet, "b") == set(engines)
        and list_owners(fleet, "a"),
        READY_S,
    )
    cut_off(fleet, "a")
    began = time.monotonic()
    assert wait_until(lambda: list_owners(fleet, "b") == set(engines), READY_S)
    print(f"all servers owned again after {time.monotonic() - began:.2f} s")
    assert list_owners(fleet, "a") == set()
