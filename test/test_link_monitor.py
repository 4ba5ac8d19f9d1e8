"""Probes that tell cut links from servers that have ended, without sockets."""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

import pytest
from attrs import define, field

from rhubarbshed.coordination.serving.reachability import (
    PROBE_INTERVAL_S,
    PROBED_SERVERS,
    PROBED_SERVERS_MAX,
)
from rhubarbshed.protocol.routes import Configuration, ServiceSpec
from rhubarbshed.protocol.servers import ServerEntry, ServerState
from rhubarbshed.state.membership.fleet import Fleet, ServerRecord
from rhubarbshed.transport.edge.channels import ChannelError, NotListeningError
from rhubarbshed.transport.edge.link_monitor import LinkMonitor

ALIVE = frozenset({0})


@define
class Links:
    """Stub of a pool: `alive` ports accept connections, all others fail with `error`."""

    error: type[ChannelError]
    alive: frozenset[int] = frozenset()
    opened: Counter = field(factory=Counter)

    async def open(self, address: tuple[str, int]) -> SimpleNamespace:
        """Open a connection, or fail."""
        self.opened[address[1]] += 1
        await asyncio.sleep(0.0)
        if address[1] not in self.alive:
            raise self.error("no connection")
        return SimpleNamespace(idle_since=0.0)

    def release(self, address: tuple[str, int], channel: SimpleNamespace) -> None:
        """Keep a connection."""


def make_monitor(links: Links, seed: int = 1, named: int = PROBED_SERVERS_MAX) -> LinkMonitor:
    """Return a monitor of servers, so many of them of the service that is configured."""
    fleet = Fleet()
    for port in range(PROBED_SERVERS_MAX):
        service = "svc" if port < named else "odd"
        entry = ServerEntry(f"b{port}", service, "h", port, "a", ServerState.READY, 4, "v1")
        fleet.servers[entry.server_id] = ServerRecord(entry, 0.0)
    changed = SimpleNamespace(fire=lambda: None)
    return LinkMonitor(
        SimpleNamespace(
            fleet=fleet,
            rng=random.Random(seed),
            changed=changed,
            configuration=Configuration(1, services={"svc": ServiceSpec("svc")}),
        ),
        links,
    )


async def confirm_reached() -> bool:
    return True


async def settle(monitor: LinkMonitor) -> bool:
    """Let a round of probes follow a failed connection; return whether there is a cut."""
    monitor.ask_others = confirm_reached
    monitor.suspect()
    task = asyncio.create_task(monitor.maintain())
    try:
        return await monitor.settle()
    finally:
        task.cancel()


@pytest.mark.parametrize("seed", range(5))
def test_refused_connections_are_no_cut_while_one_server_is_reached(seed):
    links = Links(NotListeningError, ALIVE)
    assert not asyncio.run(settle(make_monitor(links, seed)))


@pytest.mark.parametrize("seed", range(5))
def test_instance_that_met_ended_servers_first_tells_others_that_it_reaches_some(seed):
    links = Links(NotListeningError, ALIVE)
    assert asyncio.run(make_monitor(links, seed).check())


def test_connections_that_are_all_refused_are_a_cut_if_another_instance_reaches_servers():
    links = Links(NotListeningError)
    assert asyncio.run(settle(make_monitor(links)))
    assert links.opened.total() == PROBED_SERVERS_MAX


def test_cut_that_hangs_is_found_without_more_probes():
    links = Links(ChannelError)
    assert asyncio.run(settle(make_monitor(links)))
    assert links.opened.total() == PROBED_SERVERS


@pytest.mark.parametrize("seed", range(5))
def test_cut_ends_though_entries_of_a_service_that_is_not_configured_are_out_of_reach(seed):
    """Another writer left them; with half of all probed servers out of reach it went on."""

    async def scene():
        links = Links(ChannelError)
        monitor = make_monitor(links, seed, named=3)
        monitor.ask_others = confirm_reached
        monitor.suspect()
        task = asyncio.create_task(monitor.maintain())
        assert await monitor.settle()
        links.alive = frozenset(range(3))
        await asyncio.sleep(2.5 * PROBE_INTERVAL_S)
        assert not monitor.is_cut
        task.cancel()

    asyncio.run(scene())
