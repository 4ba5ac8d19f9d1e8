"""Servers that name how many requests a second they take from all instances together."""

import asyncio
import time

import pytest

from test.helper_clock import play_by_clock
from test.helper_crashes import run_crash_scene
from test.helper_cuts import run_cut_scene
from test.helper_edge import make_configuration, make_route, play
from test.helper_limits import STABLE_S, WINDOW_S, LimitedReplicas, Load, allow

NAMES = ("a1", "a2", "a3", "b1", "b2")
LIMIT = 4.0
UNEVEN = ("a1", "a1", "a1", "a1", "b1", "a2", "a1", "b2", "a1", "a3")
"""Instances in the order of requests: six of ten come to one of them."""

IN_USE_MIN = 0.8
"""Part of a limit that is used while callers are refused."""

REFUSED_S = 0.5
"""Time within which a request is refused that nothing will serve: the wait for a slot, half of the
route's target, and the exchange with other instances."""

LATE_S = 0.1
"""Time that a busy instance takes to reply, longer than half of a payment's target."""


def test_instances_together_keep_to_the_limit_of_one_server_and_use_the_others():
    async def run():
        async with run_crash_scene(4) as scene:
            replicas = LimitedReplicas({"r0": str(LIMIT)})
            replicas.serve(scene)
            load = Load(scene, UNEVEN, 80.0)
            begun_at = time.monotonic()
            await load.run(STABLE_S + WINDOW_S + 1.0)
            assert replicas.count_most("r0", begun_at + STABLE_S) <= allow(LIMIT)
            assert load.measure_served(begun_at) >= 0.99

    play(run)


@pytest.mark.parametrize("limit", (0.4, 3.0, 12.0))
def test_limits_of_all_servers_hold_and_are_used_while_callers_are_refused(limit):
    async def run():
        async with run_crash_scene(4) as scene:
            replicas = LimitedReplicas(dict.fromkeys(scene.replicas, str(limit)))
            replicas.serve(scene)
            load = Load(scene, UNEVEN, 80.0)
            begun_at = time.monotonic()
            await load.run(STABLE_S + 2 * WINDOW_S)
            since = begun_at + STABLE_S
            for name in scene.replicas:
                assert replicas.count_most(name, since) <= allow(limit)
            used = replicas.count(list(scene.replicas), since)
            assert used >= IN_USE_MIN * 4 * limit * 2 * WINDOW_S

    play(run)


@pytest.mark.parametrize("limit", (0.4, 3.0, 12.0))
def test_requests_beyond_all_limits_are_refused_in_time(limit):
    async def run():
        async with run_crash_scene(4) as scene:
            replicas = LimitedReplicas(dict.fromkeys(scene.replicas, str(limit)))
            replicas.serve(scene)
            load = Load(scene, UNEVEN, 80.0)
            begun_at = time.monotonic()
            await load.run(STABLE_S + 2 * WINDOW_S)
            for _, took_s, answer in load.list_since(begun_at + STABLE_S):
                assert answer.status == 200 or took_s <= REFUSED_S
                assert answer.status == 200 or float(answer.headers["retry-after"]) > 0.0

    play_by_clock(run)


def test_request_is_refused_in_time_by_an_instance_whose_questions_nobody_answers():
    """It asked two instances for each of four servers in turn, for up to half a second each."""

    async def run():
        async with run_crash_scene(4) as scene:
            replicas = LimitedReplicas(dict.fromkeys(scene.replicas, "0.4"))
            replicas.serve(scene)
            await Load(scene, NAMES, 40.0).run(1.0)
            for name in NAMES[1:]:
                scene.instances[name].relay.limits.allocators.send = lambda *_: None
            load = Load(scene, ("a1",), 40.0)
            await load.run(3.0)
            for _, took_s, answer in load.answers:
                assert answer.status == 200 or took_s <= REFUSED_S

    play(run)


def test_payment_is_served_if_the_instance_that_hands_out_requests_replies_late():
    """It was refused, as its route's target allows for a shorter wait than that."""

    async def run():
        async with run_crash_scene(1) as scene:
            route = make_route("non_idempotent", "/u/", Attempts=1, TargetLatencyMs=150)
            scene.instances.store.put("op", "config", make_configuration(route, version=2))
            LimitedReplicas({"r0": "10"}).serve(scene)
            await Load(scene, NAMES, 10.0, "/u/x").run(1.5)
            record = scene.instances["a1"].view.fleet.servers["r0"]
            first = scene.instances["a1"].relay.limits.rank(record)[0]
            (late,) = [name for name in NAMES if scene.instances.get_address(name) == first]
            allocators = scene.instances[late].relay.limits.allocators
            send, loop = allocators.send, asyncio.get_running_loop()
            allocators.send = lambda *each: loop.call_later(LATE_S, send, *each)
            others = [name for name in NAMES if name != late]
            for name in others:
                await asyncio.sleep(0.2)
                assert (await scene.ask(name, "/u/x")).status == 200

    play(run)


def test_limit_that_ends_as_a_question_about_it_is_about_to_be_sent_is_no_defect():
    async def run():
        async with run_crash_scene(1) as scene:
            record = scene.instances["a1"].view.fleet.servers["r0"]
            registry = scene.instances["a1"].relay.limits
            allocators = registry.allocators
            others = [each for each in registry.rank(record) if each != allocators.address]
            allocators.ranked["r0"] = others
            record.limit_per_s, record.limit_named_at = LIMIT, time.monotonic()
            asking = asyncio.create_task(registry.acquire(record, 0.1, 0.1))
            await asyncio.sleep(0)
            record.limit_per_s = None
            await asking

    play(run)


@pytest.mark.parametrize("path", ("/t/x", "/s/x"), ids=("repeats", "rests of streams"))
def test_repeats_count_towards_a_limit(path):
    async def run():
        async with run_crash_scene(4) as scene:
            replicas = LimitedReplicas(dict.fromkeys(scene.replicas, str(LIMIT)), status=500)
            replicas.serve(scene)
            begun_at = time.monotonic()
            await Load(scene, NAMES, 40.0, path).run(STABLE_S + WINDOW_S + 1.0)
            for name in scene.replicas:
                assert replicas.count_most(name, begun_at + STABLE_S) <= allow(LIMIT)

    play(run)


def test_forwarded_requests_count_towards_a_limit():
    async def run():
        async with run_cut_scene() as cut:
            scene = cut.crashes
            replicas = LimitedReplicas(dict.fromkeys(scene.replicas, str(LIMIT)))
            replicas.serve(scene)
            await cut.cut("reset", "a1", "b1")
            load = Load(scene, UNEVEN, 60.0)
            begun_at = time.monotonic()
            await load.run(STABLE_S + WINDOW_S + 1.0)
            since = begun_at + STABLE_S
            for name in scene.replicas:
                assert replicas.count_most(name, since) <= allow(LIMIT)
            assert replicas.count(list(scene.replicas), since) >= 0.5 * 4 * LIMIT * WINDOW_S

    play(run)


def test_limit_that_changes_and_ends_is_followed():
    async def run():
        async with run_crash_scene(4) as scene:
            replicas = LimitedReplicas(dict.fromkeys(scene.replicas, "20"))
            replicas.serve(scene)
            load = Load(scene, UNEVEN, 80.0)
            running = asyncio.create_task(load.run(14.0))
            await asyncio.sleep(2.0)
            lowered_at = time.monotonic()
            replicas.limits = dict.fromkeys(scene.replicas, "2.5")
            await asyncio.sleep(STABLE_S + WINDOW_S)
            ended_at = time.monotonic()
            replicas.limits = {}
            await running
            for name in scene.replicas:
                assert replicas.count_most(name, lowered_at + STABLE_S, ended_at) <= allow(2.5)
            assert load.measure_served(ended_at + 2.0) >= 0.99

    play(run)


@pytest.mark.parametrize("text", ("", "-1", "nan", "inf", "many", "1e300"))
def test_limit_that_cannot_be_read_does_not_lift_the_one_before(text):
    async def run():
        async with run_crash_scene(4) as scene:
            replicas = LimitedReplicas(dict.fromkeys(scene.replicas, str(LIMIT)))
            replicas.serve(scene)
            load = Load(scene, NAMES, 60.0)
            running = asyncio.create_task(load.run(STABLE_S + WINDOW_S + 2.0))
            begun_at = time.monotonic()
            await asyncio.sleep(1.0)
            # A number, however great, is a limit; it may be used from then on.
            expected = 60.0 if text == "1e300" else LIMIT
            replicas.limits = dict.fromkeys(scene.replicas, text)
            await running
            for name in scene.replicas:
                assert replicas.count_most(name, begun_at + STABLE_S) <= allow(expected)

    play(run)


def test_server_that_takes_nothing_gets_hardly_anything():
    async def run():
        async with run_crash_scene(4) as scene:
            replicas = LimitedReplicas({"r0": "0"})
            replicas.serve(scene)
            load = Load(scene, NAMES, 60.0)
            begun_at = time.monotonic()
            await load.run(STABLE_S + WINDOW_S)
            assert replicas.count_most("r0", begun_at + STABLE_S) <= allow(0.0)
            assert load.measure_served(begun_at) >= 0.99

    play(run)


async def run_beside(disturb, limit: float = LIMIT, used_min: float = 0.5) -> None:
    """Let a coroutine function disturb the instances of a scene while servers name a limit."""
    async with run_crash_scene(4) as scene:
        replicas = LimitedReplicas(dict.fromkeys(scene.replicas, str(limit)))
        replicas.serve(scene)
        load = Load(scene, UNEVEN, 60.0)
        begun_at = time.monotonic()
        running = asyncio.create_task(load.run(STABLE_S + 2 * WINDOW_S))
        await asyncio.sleep(1.0)
        await disturb(scene)
        await running
        since = begun_at + STABLE_S
        for name in scene.replicas:
            assert replicas.count_most(name, since) <= allow(limit)
        used = replicas.count(list(scene.replicas), since)
        assert used >= used_min * 4 * limit * 2 * WINDOW_S


def test_limit_holds_while_a_third_of_all_datagrams_is_lost():
    async def lose_some(scene):
        for number, name in enumerate(NAMES):
            datagrams = scene.instances[name].holder_protocol.datagrams
            datagrams.handle = drop_some(datagrams.handle, number)

    play(lambda: run_beside(lose_some))


def drop_some(handle, count: int):
    """Return a handler of datagrams that drops every third one."""

    def handle_some(read, address):
        nonlocal count
        count += 1
        if count % 3:
            handle(read, address)

    return handle_some


def test_limit_holds_among_instances_that_receive_nothing_from_each_other():
    async def cut(scene):
        for name in NAMES:
            scene.instances[name].holder_protocol.datagrams.handle = lambda *_: None

    play(lambda: run_beside(cut, used_min=0.2))


def test_limit_holds_while_instances_are_killed_and_started_again():
    """The callers of an instance that is down go to no other one here."""

    async def restart(scene):
        for name in ("a2", "b2", "a3"):
            await scene.instances.restart(name)
            await asyncio.sleep(1.5)

    play(lambda: run_beside(restart))


def test_limit_holds_while_instances_do_not_answer_others():
    """They are frozen, or of the build before, which does not know the messages."""

    async def fall_silent(scene):
        for name in ("a2", "b1", "b2"):
            datagrams = scene.instances[name].holder_protocol.datagrams
            datagrams.handle = lambda *_: None

    play(lambda: run_beside(fall_silent))


CUT_S = 9.0
"""Time after which the pauses of a silent instance differ by seconds among the others."""


def test_limit_holds_when_instances_that_hand_out_requests_are_back():
    """Some instances asked them at once, others still who had taken their place."""

    async def run():
        async with run_crash_scene(4) as scene:
            replicas = LimitedReplicas(dict.fromkeys(scene.replicas, "8"))
            replicas.serve(scene)
            running = asyncio.create_task(Load(scene, NAMES, 130.0).run(CUT_S + 2 * WINDOW_S))
            await asyncio.sleep(1.0)
            cut = [scene.instances[name].holder_protocol.datagrams for name in ("a1", "b1")]
            before = [(each.handle, each._transport) for each in cut]
            for each in cut:
                each.handle, each._transport = lambda *_: None, None
            await asyncio.sleep(CUT_S)
            healed_at = time.monotonic()
            for each, (handle, transport) in zip(cut, before, strict=True):
                each.handle, each._transport = handle, transport
            await running
            for name in scene.replicas:
                assert replicas.count_most(name, healed_at - CUT_S + STABLE_S) <= allow(8.0)

    play(run)
