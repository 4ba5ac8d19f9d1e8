"""Helper functions of tests of peers: instances on loopback in one event loop, bounded waits."""

import asyncio
import time
from collections.abc import Callable

from attrs import Factory, define, evolve

from rhubarbshed.protocol.members import ListedInstance, PlatformList
from rhubarbshed.protocol.peers import Frame, Heartbeat
from rhubarbshed.state.clock import HybridClock
from rhubarbshed.state.membership.membership import Membership, make_instance_info
from rhubarbshed.transport.hooks import PeerHooks
from rhubarbshed.transport.peers import HANDSHAKES_MAX, PeerNetwork
from rhubarbshed.util.settings import Settings
from test.helper_edge import make_host
from tools.processes import find_free_ports

HOST = make_host(1)
HEARTBEAT_S = 0.1
SILENCE_S = 0.4
WAIT_S = 5.0


def make_settings(
    name: str, data_centre: str = "dc-1", port: int = 1, token: str = "t", seeds: str = ""
) -> Settings:
    text = f"""
[instance]
name = {name}
data_centre = {data_centre}
host = {HOST}
caller_port = 65001
operator_port = 65002
peer_port = {port}
[secrets]
peer_token = {token}
[peers]
heartbeat_s = {HEARTBEAT_S}
silence_s = {SILENCE_S}
seeds = {seeds}
"""
    return Settings.from_text(text).unwrap()


@define(eq=False)
class Peer:
    """Instance under test, the frames that it received and the faults of its tasks."""

    settings: Settings
    membership: Membership
    network: PeerNetwork
    refused: set[str]
    faults: list[BaseException]
    heard: list[tuple[str, Frame]] = Factory(list)

    def heard_of(self, frame: Frame) -> int:
        return sum(1 for _, met in self.heard if met == frame)


def make_peer(
    settings: Settings, incarnation: str = "i1", read_now: Callable[[], float] = time.monotonic
) -> Peer:
    membership = Membership.from_settings(settings, incarnation, read_now())
    heard: list[tuple[str, Frame]] = []
    refused: set[str] = set()
    faults: list[BaseException] = []
    network = PeerNetwork.from_settings(
        settings,
        membership,
        HybridClock(settings.instance.name),
        PeerHooks(
            lambda sender, frame, now: heard.append((sender, frame)),
            Heartbeat,
            on_fault=faults.append,
        ),
        refused_peers=refused,
        read_now=read_now,
    )
    return Peer(settings, membership, network, refused, faults, heard)


def make_peers(
    places: dict[str, str], token: str = "t", read_now: Callable[[], float] = time.monotonic
) -> dict[str, Peer]:
    """Return instances by name, each in its data centre and all on the platform's list."""
    ports = find_free_ports(len(places))
    peers = {
        name: make_peer(make_settings(name, centre, port, token), read_now=read_now)
        for (name, centre), port in zip(places.items(), ports, strict=True)
    }
    listed = list_peers(peers)
    for peer in peers.values():
        peer.membership.apply_list(listed, read_now())
    return peers


def list_peers(peers: dict[str, Peer]) -> PlatformList:
    infos = (make_instance_info(peer.settings, "") for peer in peers.values())
    return PlatformList(tuple(ListedInstance(evolve(info)) for info in infos), ())


async def start_all(peers: dict[str, Peer]) -> None:
    for peer in peers.values():
        await peer.network.start()


async def stop_all(peers: dict[str, Peer]) -> None:
    for peer in peers.values():
        await peer.network.stop()
        assert peer.faults == []


async def wait_for(condition: Callable[[], bool], wait_s: float = WAIT_S) -> float:
    """Wait until a condition holds; return the seconds that it took by the loop's clock."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not condition():
        assert loop.time() - began < wait_s, "condition not met in time"
        await asyncio.sleep(0.01)
    return loop.time() - began


def fall_silent(peer: Peer) -> None:
    """Stop all output of a peer with its connections open, as a paused process does.

    With only its tasks cancelled, it would still greet new connections, which is a sign of life.
    """
    peer.network.handshakes = HANDSHAKES_MAX
    for task in tuple(peer.network.tasks):
        if task.get_coro().__name__ == "_run":
            task.cancel()


def are_meshed(peers: dict[str, Peer]) -> bool:
    names = set(peers)
    return all(set(peer.network.links) == names - {name} for name, peer in peers.items())
