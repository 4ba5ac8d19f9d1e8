"""Heartbeat intervals, and the heartbeats saved in a large mesh."""

import asyncio

from attrs import evolve

from rhubarbshed.coordination.membership.dissemination import (
    LARGE_MESH_PEERS,
    Topology,
    choose_heartbeat_interval,
    is_large_mesh,
)
from rhubarbshed.coordination.membership.membership import get_standing
from rhubarbshed.protocol.members import Standing
from rhubarbshed.protocol.peers import Heartbeat, LoadDigest
from rhubarbshed.state.membership.membership import make_instance_info
from test.helper_clock import PassClock, run_by_clock
from test.helper_peers import (
    HEARTBEAT_S,
    SILENCE_S,
    are_meshed,
    fall_silent,
    make_peers,
    make_settings,
    start_all,
    stop_all,
    wait_for,
)

INFO = make_instance_info(make_settings("a1"), "")
FEW = Topology((INFO,) * LARGE_MESH_PEERS)
MANY = Topology((INFO,) * (LARGE_MESH_PEERS + 1))
DIGEST = LoadDigest(())


def test_few_peers_beat_as_set_and_many_never_rarer_than_silence_allows():
    assert choose_heartbeat_interval(FEW, 1.0, 3.0) == 1.0
    assert choose_heartbeat_interval(MANY, 1.0, 3.0) == 1.5
    assert choose_heartbeat_interval(MANY, 1.0, 2.4) == 1.2
    assert choose_heartbeat_interval(MANY, 1.5, 3.0) == 1.5


def test_crowd_spares_half_of_the_heartbeats_and_suspects_as_fast():
    """A load digest goes out with each beat; one peer then stops sending, its connections open."""
    clock = PassClock()
    names = [f"a{number:02d}" for number in range(LARGE_MESH_PEERS + 2)]
    peers = make_peers(dict.fromkeys(names, "dc-1"), read_now=clock.read_now)
    for peer in peers.values():
        hooks = evolve(peer.network.hooks, collect=lambda now: (DIGEST,))
        peer.network.hooks = hooks
    watcher = peers[names[0]]

    async def scenario() -> None:
        await start_all(peers)
        await wait_for(lambda: are_meshed(peers))
        assert all(is_large_mesh(peer.network.topology) for peer in peers.values())
        watcher.heard.clear()
        await asyncio.sleep(20 * HEARTBEAT_S)
        other = names[1]
        beats = sum(sender == other and frame == DIGEST for sender, frame in watcher.heard)
        told = sum(
            sender == other and isinstance(frame, Heartbeat) for sender, frame in watcher.heard
        )
        assert 8 <= beats <= 16
        assert beats * 0.3 <= told <= beats * 0.7
        now = clock.read_now()
        standings = {get_standing(watcher.membership, name, now) for name in names}
        assert standings == {Standing.LIVE}
        fall_silent(peers[other])
        waited_s = await wait_for(
            lambda: (
                get_standing(watcher.membership, other, clock.read_now()) == Standing.SUSPECTED
            )
        )
        assert waited_s <= SILENCE_S + HEARTBEAT_S
        await stop_all(peers)

    run_by_clock(clock, scenario())


def test_news_is_told_in_the_next_heartbeat_by_a_crowd():
    clock = PassClock()
    names = [f"a{number:02d}" for number in range(LARGE_MESH_PEERS + 2)]
    peers = make_peers(dict.fromkeys(names, "dc-1"), read_now=clock.read_now)
    revision = [1]
    teller, watcher = peers[names[0]], peers[names[1]]
    teller.network.hooks = evolve(
        teller.network.hooks,
        make_heartbeat=lambda: Heartbeat(revision[0]),
        collect=lambda now: (DIGEST,),
    )

    async def scenario() -> None:
        await start_all(peers)
        await wait_for(lambda: are_meshed(peers))
        for _ in range(4):
            told, revision[0] = len(watcher.heard), revision[0] + 1
            news = Heartbeat(revision[0])
            await wait_for(lambda news=news: watcher.heard_of(news) > 0)
            frames = [frame for sender, frame in watcher.heard[told:] if sender == names[0]]
            assert frames[: frames.index(news)].count(DIGEST) <= 1
        await stop_all(peers)

    run_by_clock(clock, scenario())
