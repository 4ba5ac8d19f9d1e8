"""A request that crashes backend servers is stopped by all instances together."""

import asyncio
import time

import pytest

from rhubarbshed.coordination.requests import verdicts
from test.helper_crashes import CrashScene, run_crash_scene
from test.helper_edge import play

ENDED_MAX = 3
"""Servers that may end under one request; the platform allows three, and three sends more."""

SENDS_AFTER = 3
"""Sends that the platform allows after the third end."""

GAP_S = 0.15
"""Time between a caller's tries."""

KINDS = {
    "idempotent": "/p/x",
    "not idempotent": "/u/x",
    "resumable stream": "/s/x",
    "stream": "/n/x",
}


@pytest.mark.parametrize("path", KINDS.values(), ids=KINDS)
def test_request_that_comes_again_at_one_instance_ends_three_servers_at_most(path):
    async def run():
        async with run_crash_scene(6, {"a1": "a"}) as scene:
            for _ in range(8):
                answer = await scene.ask("a1", path, b"deadly")
                assert answer.status in (0, 200, 502, 503, 504)
                await asyncio.sleep(GAP_S)
            assert len(scene.crashed) <= ENDED_MAX
            assert (await scene.ask("a1", path, b"sound")).whole

    play(run)


@pytest.mark.parametrize("path", KINDS.values(), ids=KINDS)
def test_request_that_comes_again_at_other_instances_ends_three_servers_at_most(path):
    async def run():
        async with run_crash_scene(6) as scene:
            for number in range(10):
                name = ("a1", "a2", "a3", "b1", "b2")[number % 5]
                await scene.ask(name, path, b"deadly")
                await asyncio.sleep(GAP_S)
            assert len(scene.crashed) <= ENDED_MAX
            assert len(scene.arrived) <= ENDED_MAX + SENDS_AFTER

    play(run)


@pytest.mark.parametrize("crash_at", (2, 4))
def test_stream_that_ends_servers_after_it_has_begun_ends_three_at_most(crash_at):
    async def run():
        async with run_crash_scene(6, crash_at=crash_at) as scene:
            for number in range(10):
                name = ("a1", "a2", "a3", "b1", "b2")[number % 5]
                await scene.ask(name, "/n/x", b"deadly")
                await asyncio.sleep(GAP_S)
            assert len(scene.crashed) <= ENDED_MAX

    play(run)


def test_copies_at_all_instances_at_once_end_no_further_server_afterwards():
    async def run():
        async with run_crash_scene(8) as scene:
            names = ("a1", "a2", "a3", "b1", "b2")
            for _ in range(6):
                await asyncio.gather(*(scene.ask(name, body=b"deadly") for name in names))
                await asyncio.sleep(GAP_S)
            first, *_ = scene.arrived
            # Nobody can know of the first ends before they happen.
            later = [at for at, *_ in scene.arrived if at - first[0] > 2 * GAP_S]
            assert len(later) <= SENDS_AFTER

    play(run)


def test_sound_requests_of_its_caller_and_its_servers_are_answered():
    async def run():
        async with run_crash_scene(6) as scene:
            names = ("a1", "a2", "a3", "b1", "b2")
            for number in range(8):
                await scene.ask(names[number % 5], "/p/same", b"deadly")
                await asyncio.sleep(GAP_S)
            sound = [await scene.ask(name, "/p/same", b"sound") for name in names for _ in range(4)]
            assert all(answer.status == 200 for answer in sound)

    play(run)


def test_instance_that_was_restarted_knows_the_request_of_the_others():
    async def run():
        async with run_crash_scene(6) as scene:
            for name in ("a1", "a2", "a1", "a2"):
                await scene.ask(name, body=b"deadly")
                await asyncio.sleep(GAP_S)
            await scene.instances.restart("a1", "a2")
            await asyncio.sleep(0.5)
            await scene.wait_ready("a1", "a2")
            before = len(scene.crashed)
            for name in ("a1", "a2", "a1", "a2"):
                await scene.ask(name, body=b"deadly")
                await asyncio.sleep(GAP_S)
            assert len(scene.crashed) == before <= ENDED_MAX

    play(run)


def test_instance_that_was_cut_off_learns_of_the_request_afterwards():
    async def run():
        async with run_crash_scene(6) as scene:
            names = ("a1", "a2", "a3")
            datagrams = scene.instances["b1"].holder_protocol.datagrams
            handle, datagrams.handle = datagrams.handle, lambda read, address: None
            for number in range(6):
                await scene.ask(names[number % 3], body=b"deadly")
                await asyncio.sleep(GAP_S)
            datagrams.handle = handle
            # The platform judges an instance three seconds after the end of a cut.
            await asyncio.sleep(3.0)
            before = len(scene.crashed)
            for _ in range(4):
                await scene.ask("b1", body=b"deadly")
            assert len(scene.crashed) == before <= ENDED_MAX

    play(run)


FIRST_PAUSE_S = 1.0
"""Time until the first trial in tests, in place of five seconds."""


@pytest.fixture
def short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Put verdicts to a trial soon."""
    monkeypatch.setattr(verdicts, "TRIAL_PAUSES_S", (FIRST_PAUSE_S, 30.0))


async def end_under(scene: CrashScene, name: str, body: bytes, path: str = "/p/x") -> None:
    """Let a server end, for another reason, that runs a request."""
    scene.run_s = 0.2
    before = {server_id: len(each.got) for server_id, each in scene.replicas.items()}
    task = asyncio.create_task(scene.ask(name, path, body))
    await scene.instances.wait_until(
        lambda: any(len(each.got) > before[name] for name, each in scene.replicas.items())
    )
    busy = [each for name, each in scene.replicas.items() if len(each.got) > before[name]]
    await scene.crash(busy[0])
    scene.run_s = 0.02
    await task


def test_sound_request_whose_servers_ended_twice_is_answered_after_a_trial(short_pauses):
    async def run():
        async with run_crash_scene(6) as scene:
            # Not to be repeated, so that the next try is a request of its own.
            await end_under(scene, "a1", b"sound", "/u/x")
            await end_under(scene, "b1", b"sound", "/u/x")
            await asyncio.sleep(0.1)
            refused = await scene.ask("a2", "/u/x", b"sound")
            assert refused.status == 503 and b"quarantined" in refused.body
            assert float(refused.headers["retry-after"]) <= 2.0
            await asyncio.sleep(FIRST_PAUSE_S)
            assert (await scene.ask("a2", "/u/x", b"sound")).status == 200
            await asyncio.sleep(0.2)
            for name in ("a1", "a2", "a3", "b1", "b2"):
                assert (await scene.ask(name, "/u/x", b"sound")).status == 200

    play(run)


def test_trial_of_a_deadly_request_ends_one_server(short_pauses):
    async def run():
        async with run_crash_scene(8) as scene:
            names = ("a1", "a2", "a3", "b1", "b2")
            for name in names:
                await scene.ask(name, body=b"deadly")
                await asyncio.sleep(GAP_S)
            before = len(scene.arrived)
            await asyncio.sleep(FIRST_PAUSE_S)
            for number in range(20):
                await scene.ask(names[number % 5], body=b"deadly")
                await asyncio.sleep(0.05)
            assert len(scene.arrived) - before <= 1

    play(run)


def test_sound_request_at_many_servers_that_end_together_goes_on():
    async def run():
        async with run_crash_scene(6) as scene:
            names = ("a1", "a2", "a3", "b1", "b2")
            scene.run_s = 0.3
            tasks = [
                asyncio.create_task(scene.ask(names[number % 5], body=b"popular"))
                for number in range(20)
            ]
            await asyncio.sleep(0.15)
            for replica in list(scene.replicas.values())[:4]:
                await scene.crash(replica)
            scene.run_s = 0.02
            await asyncio.gather(*tasks)
            for name in names:
                answer = await scene.ask(name, body=b"popular")
                assert b"quarantined" not in answer.body and answer.status == 200

    play(run)


def test_popular_request_at_servers_that_end_one_after_the_other_goes_on():
    async def run():
        async with run_crash_scene(6, back_s=0.1) as scene:
            names = ("a1", "a2", "a3", "b1", "b2")
            answers = []

            async def call_repeatedly(name: str) -> None:
                for _ in range(40):
                    answers.append(await scene.ask(name, body=b"popular"))

            tasks = [asyncio.create_task(call_repeatedly(name)) for name in names * 3]
            for _ in range(5):
                await asyncio.sleep(0.1)
                await scene.crash(next(iter(scene.replicas.values())))
            await asyncio.gather(*tasks)
            stopped = [answer for answer in answers if b"quarantined" in answer.body]
            assert len(stopped) <= len(answers) // 100

    play(run)


def test_connections_that_break_at_servers_that_live_stop_nothing():
    async def run():
        async with run_crash_scene(4) as scene:

            async def reset(exchange):
                exchange.reset()

            for replica in scene.replicas.values():
                replica.reply = reset
            for _ in range(6):
                await scene.ask("a1", body=b"sound")
            for replica in scene.replicas.values():
                replica.reply = scene.reply
            assert (await scene.ask("a1", body=b"sound")).status == 200
            assert not scene.instances["a1"].crashes.quarantine.view.entries

    play(run)


def test_servers_that_announced_their_end_stop_nothing():
    async def run():
        async with run_crash_scene(6) as scene:
            for _ in range(3):
                name, replica = next(iter(scene.replicas.items()))
                scene.run_s = 0.2
                tasks = [asyncio.create_task(scene.ask("a1", "/u/x", b"sound")) for _ in range(12)]
                await scene.instances.wait_until(lambda replica=replica: bool(replica.got))
                replica.drain()
                scene.instances.store.put("servers", name, replica.describe())
                servers = scene.instances["a1"].view.fleet.servers
                await scene.instances.wait_until(
                    lambda record=servers[name]: record.leaving_at is not None
                )
                await scene.crash(replica)
                scene.run_s = 0.02
                await asyncio.gather(*tasks)
                await scene.wait_ready("a1")
            assert not scene.instances["a1"].crashes.quarantine.view.entries
            assert (await scene.ask("a1", "/u/x", b"sound")).status == 200

    play(run)


def test_stopped_request_is_sent_nowhere_and_says_when_to_come_back():
    async def run():
        async with run_crash_scene(6) as scene:
            for name in ("a1", "b1", "a1"):
                await scene.ask(name, "/u/x", b"deadly")
                await asyncio.sleep(GAP_S)
            before = len(scene.arrived)
            began_at = time.monotonic()
            answer = await scene.ask("a2", "/u/x", b"deadly")
            assert answer.status == 503 and float(answer.headers["retry-after"]) >= 1.0
            assert time.monotonic() - began_at < 0.2
            assert len(scene.arrived) == before

    play(run)


def test_request_that_waits_at_a_server_when_it_is_stopped_is_taken_back():
    """Answered as one that may have run, as the server may have begun it."""

    async def run():
        async with run_crash_scene(8) as scene:
            for name in ("a1", "b1"):
                await scene.ask(name, "/u/x", b"deadly")
                if name == "a1":
                    # The next server takes long before it runs a further copy.
                    await asyncio.sleep(GAP_S)
                    scene.run_s = 0.5
                    waiting = asyncio.create_task(scene.ask("a2", "/u/x", b"deadly"))
                    await asyncio.sleep(0.05)
                    scene.run_s = 0.02
            answer = await waiting
            assert answer.status == 502 and b"quarantined" in answer.body

    play(run)


def test_request_is_not_sent_again_before_it_is_known_whether_its_server_ended():
    """Its instance sent it to a third server within a millisecond of the second end."""

    async def run():
        async with run_crash_scene(6, {"a1": "a", "b1": "b"}) as scene:
            for name in ("a1", "b1"):
                await scene.ask(name, "/t/x", b"deadly")
                await asyncio.sleep(GAP_S)
            assert len(scene.arrived) == 2

    play(run)


def test_instance_whose_connections_are_refused_does_not_blame_requests_for_good():
    """A cut may refuse connections to servers that live; what breaks there later is no end."""

    async def run():
        async with run_crash_scene(4) as scene:
            checks = scene.instances["a1"].crashes.checks
            record = next(iter(scene.instances["a1"].view.fleet.servers.values()))
            checks.record_refused(record, time.monotonic())
            for _ in range(12):
                assert (await scene.ask("a1", body=b"sound")).status == 200
            assert record.key not in checks.ended
            await asyncio.sleep(0.1)
            other = scene.instances["b1"].crashes.checks
            assert record.key not in other.ended

    play(run)


def test_connection_that_breaks_at_a_server_once_taken_for_ended_is_checked_again():
    """It counted as a further end at once, and two such stopped a sound request."""

    async def run():
        async with run_crash_scene(4) as scene:

            async def reset(exchange):
                exchange.reset()

            node = scene.instances["a1"]
            for record in node.view.fleet.servers.values():
                # As a cut does that refuses connections to servers that live.
                node.crashes.checks.record_refused(record, time.monotonic())
            for replica in scene.replicas.values():
                replica.reply = reset
            for _ in range(3):
                await scene.ask("a1", "/u/x", b"sound")
            for replica in scene.replicas.values():
                replica.reply = scene.reply
            assert (await scene.ask("a1", "/u/x", b"sound")).status == 200
            assert not node.crashes.quarantine.stopped

    play(run)


def test_request_that_ends_servers_behind_a_gateway_is_stopped():
    """What stands between answers in place of a server that ended, without its signature."""

    async def run():
        async with run_crash_scene(6) as scene:

            async def reply(exchange):
                if b"deadly" not in exchange.body:
                    await scene.reply(exchange)
                    return
                scene.arrived.append((time.monotonic(), exchange.replica.server_id, exchange))
                exchange.answer(502, b"no answer", signed=False)
                await exchange.writer.drain()
                await scene.crash(exchange.replica)

            for replica in scene.replicas.values():
                replica.reply = reply
            scene.back_s = 60.0
            for name in ("a1", "b1", "a2", "b2", "a3"):
                await scene.ask(name, "/u/x", b"deadly")
                await asyncio.sleep(GAP_S)
            assert len(scene.crashed) <= ENDED_MAX

    play(run)


def test_request_that_ends_servers_after_a_silence_is_stopped():
    """The end of a server that had been silent and was waited for again counted for nothing."""

    async def run():
        running: list[str] = []

        async with run_crash_scene(6) as scene:
            scene.run_s = 1.2
            crash = scene.reply

            async def crash_one_at_a_time(exchange):
                if running and running[-1] not in scene.crashed:
                    exchange.refuse()
                    return
                running.append(exchange.replica.server_id)
                await crash(exchange)

            for number in range(5):
                for replica in scene.replicas.values():
                    replica.reply = crash_one_at_a_time
                await scene.ask(("a1", "a2")[number % 2], "/p/x", b"deadly")
                await asyncio.sleep(GAP_S)
            assert len(scene.crashed) <= ENDED_MAX

    play(run)
