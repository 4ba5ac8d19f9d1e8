"""Test the network of peers over loopback sockets on one event loop."""

import asyncio
import time
from pathlib import Path

from attrs import evolve

from rhubarbshed.coordination.membership.membership import get_standing
from rhubarbshed.protocol.events import Stamp
from rhubarbshed.protocol.members import Standing
from rhubarbshed.protocol.peers import (
    CatalogueHint,
    Challenge,
    DemandDigest,
    Envelope,
    Heartbeat,
    LeavingMember,
    LeavingNotice,
    LoadDigest,
    LoadEntry,
    unpack_envelope,
)
from rhubarbshed.protocol.placement import DemandReport, ModelDemand
from rhubarbshed.transport.frames import frame_bytes, read_frame, start_handshake
from rhubarbshed.transport.peers import PeerNetwork
from rhubarbshed.util.settings import TlsSettings
from test.helper_peers import (
    HEARTBEAT_S,
    HOST,
    SILENCE_S,
    are_meshed,
    list_peers,
    make_peer,
    make_peers,
    make_settings,
    start_all,
    stop_all,
    wait_for,
)
from tools.processes import find_free_ports

TLS_FILES = Path(__file__).parent / "tls"
THREE = {"a1": "dc-1", "a2": "dc-1", "a3": "dc-1"}
SIX = {"a1": "dc-1", "a2": "dc-1", "b1": "dc-2", "b2": "dc-2", "c1": "dc-3", "c2": "dc-3"}
HINT = CatalogueHint(7, 3)
DIGEST = LoadDigest((LoadEntry("s1", 1, 0, 1, 0, 0, 1, 1, 1),))


def run(peers, scenario) -> None:
    async def run_all() -> None:
        await start_all(peers)
        try:
            await scenario()
        finally:
            await stop_all(peers)

    asyncio.run(run_all())


def test_hint_reaches_everyone_once():
    peers = make_peers(SIX)

    async def scenario() -> None:
        await wait_for(lambda: all(len(peer.network.links) >= 3 for peer in peers.values()))
        peers["a1"].network.publish(HINT)
        others = [peer for name, peer in peers.items() if name != "a1"]
        await wait_for(lambda: all(peer.heard_of(HINT) for peer in others))
        await asyncio.sleep(SILENCE_S)
        assert [peer.heard_of(HINT) for peer in others] == [1] * 5
        assert peers["a1"].heard_of(HINT) == 0

    run(peers, scenario)


def test_load_stays_in_the_data_centre_unless_remote():
    peers = make_peers(SIX)
    remote = LoadDigest(DIGEST.entries, remote=True)

    async def scenario() -> None:
        await wait_for(lambda: all(len(peer.network.links) >= 3 for peer in peers.values()))
        await asyncio.sleep(SILENCE_S)
        peers["a1"].network.publish(DIGEST)
        peers["a1"].network.publish(remote)
        far = [peer for name, peer in peers.items() if name[0] != "a"]
        await wait_for(lambda: all(peer.heard_of(remote) for peer in far))
        assert peers["a2"].heard_of(DIGEST) == 1
        assert not any(peer.heard_of(DIGEST) for peer in far)

    run(peers, scenario)


def test_demand_reaches_each_instance_once():
    """Own demand stays in the data centre; the sum of the data centre goes to all others."""
    peers = make_peers(SIX)
    own = DemandDigest(DemandReport("a1", (ModelDemand("m1", 2.0),)))
    summed = DemandDigest(DemandReport("data-centre/dc-a", (ModelDemand("m1", 3.0),)), remote=True)

    async def scenario() -> None:
        await wait_for(lambda: all(len(peer.network.links) >= 3 for peer in peers.values()))
        await asyncio.sleep(SILENCE_S)
        peers["a1"].network.publish(own)
        peers["a1"].network.publish(summed)
        far = [peer for name, peer in peers.items() if name[0] != "a"]
        await wait_for(lambda: all(peer.heard_of(summed) for peer in far))
        await wait_for(lambda: peers["a2"].heard_of(own))
        assert [peer.heard_of(summed) for peer in far] == [1] * len(far)
        assert peers["a2"].heard_of(own) == 1
        assert not any(peer.heard_of(own) for peer in far)

    run(peers, scenario)


def test_silent_peer_is_suspected_and_its_connection_replaced():
    """The peer stops reading and writing while its connection stays open."""
    peers = make_peers({"a1": "dc-1", "a2": "dc-1"})

    async def scenario() -> None:
        await wait_for(lambda: are_meshed(peers))
        old = peers["a1"].network.links["a2"]
        frozen = peers["a2"].network
        for task in tuple(frozen.tasks):
            task.cancel()
        for link in frozen.links.values():
            link.writer.transport.pause_reading()
        frozen.links.clear()
        await wait_for(lambda: peers["a1"].network.links.get("a2") is not old)
        frozen._spawn(frozen._run())
        await wait_for(lambda: are_meshed(peers))
        assert get_standing(peers["a1"].membership, "a2", time.monotonic()) == Standing.LIVE

    run(peers, scenario)


def test_event_loop_that_stood_still_closes_no_connection_of_live_peers():
    """The frames of the peer lie in the kernel's buffer meanwhile."""
    peers = make_peers({"a1": "dc-1", "a2": "dc-1"})

    async def scenario() -> None:
        await wait_for(lambda: are_meshed(peers))
        await asyncio.sleep(2 * HEARTBEAT_S)
        late, live = peers["a1"].network, peers["a2"].network
        link = late.links["a2"]
        for _ in range(3):
            time.sleep(SILENCE_S / 2)
            live.send("a1", Heartbeat())
        late.step(time.monotonic())
        assert late.links.get("a2") is link
        await asyncio.sleep(2 * SILENCE_S)
        assert late.links.get("a2") is link

    run(peers, scenario)


def test_peer_that_does_not_answer_holds_nothing_up():
    """A listener that accepts connections but sends nothing is suspected; other peers are not."""
    peers = make_peers(THREE)

    async def scenario() -> None:
        await peers["a3"].network.stop()
        port = peers["a3"].settings.instance.peer_port
        mute = await asyncio.start_server(lambda reader, writer: None, HOST, port)
        membership = peers["a1"].membership
        await wait_for(
            lambda: get_standing(membership, "a3", time.monotonic()) == Standing.SUSPECTED
        )
        assert get_standing(membership, "a2", time.monotonic()) == Standing.LIVE
        mute.close()

    run(peers, scenario)


async def talk_as_stranger(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, port)
    await reader.readexactly(4)
    writer.write(data)
    try:
        async with asyncio.timeout(SILENCE_S * 3):
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


def test_stranger_is_closed_after_its_first_frame():
    peers = make_peers({"a1": "dc-1"})
    port = peers["a1"].settings.instance.peer_port
    frames = (
        b"GET / HTTP/1.1\r\n\r\n",
        (5000).to_bytes(4) + b"x" * 5000,
        (3).to_bytes(4) + b"\xc1\xc1\xc1",
        frame_bytes(Envelope(HINT, Stamp(1, 1))),
        b"\x00",
    )

    async def scenario() -> None:
        for data in frames:
            await talk_as_stranger(port, data)
        assert peers["a1"].heard == []
        assert peers["a1"].network.links == {}
        assert peers["a1"].network.handshakes == 0

    run(peers, scenario)


def set_tls(peer, tls: TlsSettings) -> None:
    peer.network.tls = tls


def test_peers_meet_over_mutual_tls_and_refuse_plain_ones():
    peers = make_peers(THREE)
    certificate, key = str(TLS_FILES / "peer.crt"), str(TLS_FILES / "peer.key")
    for name in ("a1", "a2"):
        set_tls(peers[name], TlsSettings(certificate, key, certificate))

    async def scenario() -> None:
        await wait_for(lambda: "a2" in peers["a1"].network.links)
        await asyncio.sleep(SILENCE_S)
        assert set(peers["a1"].network.links) == {"a2"}
        assert not peers["a3"].network.links

    run(peers, scenario)


def test_wrong_token_is_refused_on_both_sides():
    peers = make_peers({"a1": "dc-1", "a2": "dc-1"})
    for peer, token in zip(peers.values(), ("right", "wrong"), strict=True):
        peer.network.identity = type(peer.network.identity)(
            peer.network.identity.info, token, 4096, 1048576
        )

    async def scenario() -> None:
        await asyncio.sleep(SILENCE_S * 2)
        assert not peers["a1"].network.links and not peers["a2"].network.links

    run(peers, scenario)


def test_malformed_frame_closes_the_connection(caplog):
    peers = make_peers({"a1": "dc-1"})
    port = peers["a1"].settings.instance.peer_port
    guest = make_peer(make_settings("a0", port=find_free_ports(1)[0]))

    async def scenario() -> None:
        reader, writer = await asyncio.open_connection(HOST, port)
        greeted = await start_handshake(reader, writer, guest.network.identity)
        assert greeted.unwrap().name == "a1"
        await wait_for(lambda: "a0" in peers["a1"].network.links)
        writer.write((2).to_bytes(4) + b"\xc1\xc1")
        await wait_for(lambda: "a0" not in peers["a1"].network.links)
        writer.close()

    run(peers, scenario)
    met = [record for record in caplog.records if record.getMessage() == "peer_malformed"]
    assert len(met) == 1


def test_cut_makes_suspects_and_heals():
    peers = make_peers(THREE)
    a1, a3 = peers["a1"], peers["a3"]

    def judge(peer, name) -> Standing:
        return get_standing(peer.membership, name, time.monotonic())

    async def scenario() -> None:
        await wait_for(lambda: are_meshed(peers))
        a1.refused.add("a3")
        a3.refused.add("a1")
        await wait_for(lambda: judge(a1, "a3") == judge(a3, "a1") == Standing.SUSPECTED)
        assert judge(a1, "a2") == Standing.LIVE
        a1.refused.clear()
        a3.refused.clear()
        await wait_for(lambda: are_meshed(peers) and judge(a1, "a3") == Standing.LIVE)

    run(peers, scenario)


def test_notice_goes_round_a_cut_between_data_centres():
    peers = make_peers(SIX)
    notice = LeavingNotice((LeavingMember("a2", "i1"),))
    far = [peers["c1"], peers["c2"]]
    for peer in far:
        peer.refused |= {"a1", "a2"}
    for name in ("a1", "a2"):
        peers[name].refused |= {"c1", "c2"}

    async def scenario() -> None:
        await wait_for(lambda: all(len(peer.network.links) >= 2 for peer in peers.values()))
        peers["a1"].network.publish(notice)
        await wait_for(lambda: all(peer.heard_of(notice) for peer in far))
        now = time.monotonic()
        assert all(get_standing(p.membership, "a2", now) == Standing.LEAVING for p in far)

    run(peers, scenario)


def test_silent_bridge_is_replaced_and_the_next_stays():
    """The next partner stays in use while the preferred one does not respond."""
    places = {"a1": "dc-1", "b1": "dc-2", "b2": "dc-2", "b3": "dc-2"}
    peers = make_peers(places)
    network = peers["a1"].network

    def get_bridge() -> str:
        return network.topology.bridges[0].name

    async def scenario() -> None:
        await wait_for(lambda: bool(network.topology.bridges) and get_bridge() in network.links)
        first = get_bridge()
        await peers[first].network.stop()
        await wait_for(lambda: get_bridge() != first and get_bridge() in network.links)
        second = get_bridge()
        for _ in range(30):
            await asyncio.sleep(SILENCE_S / 10)
            assert get_bridge() == second
        await peers[first].network.start()
        await wait_for(lambda: get_bridge() == first and first in network.links)

    run(peers, scenario)


def test_newcomer_that_no_list_knows_is_taken_in():
    peers = make_peers(THREE)
    newcomer = make_peer(make_settings("a9", port=find_free_ports(1)[0]))
    infos = [peer.membership.instances[name].info for name, peer in peers.items()]

    async def scenario() -> None:
        await wait_for(lambda: are_meshed(peers))
        for info in infos:
            newcomer.membership.apply_hello(info, time.monotonic())
        await newcomer.network.start()
        await wait_for(lambda: set(newcomer.network.links) == set(THREE))
        await wait_for(lambda: all("a9" in peer.network.links for peer in peers.values()))
        await newcomer.network.stop()

    run(peers, scenario)


def test_queue_is_bounded_for_a_peer_that_does_not_read():
    peers = make_peers({"a1": "dc-1", "a2": "dc-1"})

    async def scenario() -> None:
        await wait_for(lambda: are_meshed(peers))
        link = peers["a1"].network.links["a2"]
        link.writer.transport.get_write_buffer_size = lambda: 10**9
        for _ in range(1000):
            peers["a1"].network.publish(DIGEST)
        assert len(link.queue) < 20
        assert link.digests_dropped > 900

    run(peers, scenario)


def test_frames_on_a_replaced_connection_are_not_lost(monkeypatch):
    """A notice sent on the old connection while the new one replaces it still arrives."""
    peers = make_peers({"a1": "dc-1", "a2": "dc-1"})
    a1, a2 = peers["a1"].network, peers["a2"].network
    add_link = PeerNetwork._add_link

    def publish_then_add(network, *args):
        if network is a2 and "a1" in a2.links:
            a1.publish(HINT)
        return add_link(network, *args)

    monkeypatch.setattr(PeerNetwork, "_add_link", publish_then_add)

    async def scenario() -> None:
        await wait_for(lambda: are_meshed(peers))
        old = a2.links["a1"]
        a1._spawn(a1._dial(a2.identity.info))
        await wait_for(lambda: a2.links.get("a1") not in (None, old))
        await wait_for(lambda: peers["a2"].heard_of(HINT) == 1)

    run(peers, scenario)


def test_first_frame_of_a_listener_is_a_challenge():
    peers = make_peers({"a1": "dc-1"})
    port = peers["a1"].settings.instance.peer_port

    async def scenario() -> None:
        reader, writer = await asyncio.open_connection(HOST, port)
        data = (await read_frame(reader, 256)).unwrap()
        assert isinstance(unpack_envelope(data, "").unwrap().frame, Challenge)
        writer.close()

    run(peers, scenario)


def test_instance_that_knows_only_seeds_meets_all_others():
    """One seed is down, one is in another data centre and one is the instance itself."""
    peers = make_peers(SIX)
    dead, own = find_free_ports(2)
    seed = peers["b1"].settings.instance.peer_port
    text = ", ".join(f"{HOST}:{port}" for port in (dead, own, seed))
    newcomer = make_peer(make_settings("a9", "dc-1", port=own, seeds=text))
    listed = list_peers(peers)

    async def scenario() -> None:
        await newcomer.network.start()
        await wait_for(lambda: "b1" in newcomer.network.links)
        newcomer.membership.apply_peer_list(listed, time.monotonic())
        await wait_for(lambda: len(newcomer.network.links) >= 3)
        await wait_for(lambda: "a9" in peers["a1"].network.links)
        await newcomer.network.stop()
        assert newcomer.faults == []

    run(peers, scenario)


def test_seeds_are_left_alone_while_connected():
    peers = make_peers({"a1": "dc-1", "a2": "dc-1"})
    spare = make_peer(make_settings("z9", "dc-1", port=find_free_ports(1)[0]))
    seeded = peers["a1"].network
    address = f"{HOST}:{spare.settings.instance.peer_port}"

    async def scenario() -> None:
        await wait_for(lambda: are_meshed(peers))
        seeded.settings = evolve(seeded.settings, seeds=address)
        await spare.network.start()
        await asyncio.sleep(SILENCE_S * 2)
        assert "z9" not in seeded.links
        await spare.network.stop()

    run(peers, scenario)
