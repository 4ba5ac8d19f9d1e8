"""Client accounts at instances: who gets a name, who gets a key, and when keys lose validity."""

import asyncio
import contextlib
import logging
import time

import pytest
from attrs import evolve

from rhubarbshed.transport.edge.access_checks import list_account_values
from rhubarbshed.transport.edge.pools import connect_channel
from rhubarbshed.util.clocks import read_lease_clock
from rhubarbshed.util.logs import PairFormatter
from standin.replica import Exchange, Replica
from test.helper_crashes import CONFIGURATION, EVENTS, run_crash_scene
from test.helper_cuts import run_cut_scene
from test.helper_edge import find_port, make_route, play, run_edge
from test.soak.relay import Mode, Relay

KEY = "secret-gold"
OTHER_KEY = "secret-free"
GOLD = {"Name": "gold", "ApiKeys": [KEY], "Priority": 0}
FREE = {"Name": "free", "ApiKeys": [OTHER_KEY]}
OPEN_ROUTE = make_route("idempotent", "/o/", NoAuth=True)
NAMES = {"a1": "a", "a2": "a", "a3": "a"}
CHOSEN_NAME = "admin"

REVOCATION_S = 4.0
"""Bound on revoked keys in tests of strict revocation."""

SETTLED_S = 2.0
"""Time after which instances rely on their order holder."""

STREAM = b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, EVENTS + 1))


def make_accounts(*tenants: dict, version: int = 2) -> dict:
    """Return a configuration with accounts."""
    routes = [*CONFIGURATION["Routes"], OPEN_ROUTE]
    return {**CONFIGURATION, "Routes": routes, "Version": version, "Tenants": list(tenants)}


async def configure(scene, configuration: dict) -> None:
    """Put a configuration into force at all running instances."""
    instances = scene.instances
    instances.store.put("op", "config", configuration)
    version = configuration["Version"]
    await instances.wait_until(
        lambda: all(
            instances[name].view.configuration.version == version for name in instances.tasks
        )
    )


@contextlib.asynccontextmanager
async def run_accounts(is_strict: bool = False, **changes: object):
    """Run instances of one data centre with accounts."""
    async with run_crash_scene(names=NAMES, **changes) as scene:
        for name in NAMES:
            make_strict(scene.instances[name], is_strict)
        await configure(scene, make_accounts(GOLD, FREE))
        yield scene


def make_strict(node, is_strict: bool = True) -> None:
    """Set the bound on revoked keys of an instance."""
    node.settings = node.view.settings = evolve(
        node.settings, strict_revocation=is_strict, revocation_s=REVOCATION_S
    )


def ask(scene, name: str, path: str = "/p/x", body: bytes = b"", key: str = KEY, **headers: str):
    """Send a request with a key, and with the name of another account as a caller might."""
    named = {"Rhubarbshed_Key": key, "Rhubarbshed_Tenant": CHOSEN_NAME, **headers}
    return scene.ask(name, path, body, **named)


def check_headers(replicas, account: str | None = "gold") -> int:
    """Check that each request at replicas names the account and no key; return their number."""
    exchanges = [each for replica in replicas for each in replica.got]
    for exchange in exchanges:
        assert exchange.headers.get("rhubarbshed-tenant") == account
        assert "rhubarbshed-key" not in exchange.headers
        assert KEY not in repr(exchange.headers)
    return len(exchanges)


def count_operator_queries(node) -> int:
    """Count an instance's queries for a new configuration."""
    counts = node.metrics.counts
    return sum(counts["store_calls", kind, "op"] for kind in ("read", "follow"))


# --- What servers get.


@pytest.mark.parametrize("path", ["/p/x", "/u/x", "/s/x", "/n/x"])
def test_server_gets_the_account_and_neither_the_key_nor_a_name_of_the_callers_choice(path):
    async def run():
        async with run_accounts() as scene:
            answer = await ask(scene, "a1", path, b"x")
            assert answer.status == 200 and answer.whole
            assert check_headers(scene.replicas.values()) == 1

    play(run)


def test_route_without_accounts_passes_neither_header_on():
    async def run():
        async with run_accounts() as scene:
            for key in (KEY, "unknown"):
                assert (await ask(scene, "a1", "/o/x", key=key)).status == 200
            assert check_headers(scene.replicas.values(), None) == 2

    play(run)


def test_deployment_without_accounts_passes_neither_header_on_and_sends_no_question():
    async def run():
        async with run_crash_scene(names=NAMES) as scene:
            for name in NAMES:
                make_strict(scene.instances[name])
            await asyncio.sleep(SETTLED_S)
            assert (await ask(scene, "a1")).status == 200
            assert check_headers(scene.replicas.values(), None) == 1
            for name in NAMES:
                assert not scene.instances[name].confirmations.asked
                assert not list_account_values(scene.instances[name].view)

    play(run)


def test_retry_and_rest_of_a_stream_carry_the_account_and_no_key():
    """The first server of each request breaks off."""

    async def run():
        async with run_accounts() as scene:
            broken = []

            async def reply(exchange: Exchange) -> None:
                if exchange.body not in broken:
                    broken.append(exchange.body)
                    if exchange.target.startswith("/s/"):
                        exchange.begin_stream()
                        exchange.send_event(1)
                        await exchange.writer.drain()
                        await asyncio.sleep(0.02)
                    exchange.reset()
                    return
                await scene.reply(exchange)

            for replica in scene.replicas.values():
                replica.reply = reply
            plain = await ask(scene, "a1", "/p/x", b"plain")
            stream = await ask(scene, "a1", "/s/x", b"stream")
            assert plain.status == 200 and stream.whole and stream.body == STREAM
            assert check_headers(scene.replicas.values()) == 4

    play(run)


def test_stream_that_a_caller_resumes_needs_the_key_and_carries_the_account():
    async def run():
        async with run_accounts() as scene:
            sent = {"Rhubarbshed_Request_Id": "q1"}
            assert (await ask(scene, "a1", "/s/x", b"x", **sent)).body == STREAM
            rest = {"Resumes": "q1", "Last_Event_Id": "2"}
            assert (await ask(scene, "a2", "/s/x", b"x", key="unknown", **rest)).status == 401
            answer = await ask(scene, "a2", "/s/x", b"x", **rest)
            assert answer.status == 200 and answer.body == STREAM[STREAM.index(b"id: 3") :]
            assert check_headers(scene.replicas.values()) == 2

    play(run)


@pytest.mark.parametrize("path", ["/p/x", "/s/x", "/u/x"])
def test_request_by_way_of_another_instance_carries_the_account_and_no_key(path):
    async def run():
        async with run_cut_scene() as cuts:
            await configure(cuts.crashes, make_accounts(GOLD))
            await cuts.cut("hang", "a1")
            answer = await ask(cuts, "a1", path, b"x")
            assert answer.status == 200 and answer.whole
            replicas = cuts.crashes.replicas.values()
            assert check_headers(replicas) >= 1

    play(run)


def test_key_that_no_other_instance_knows_is_refused_as_not_run():
    """An instance that is cut off knows a newer configuration than the others."""

    async def run():
        async with run_cut_scene() as cuts:
            await configure(cuts.crashes, make_accounts(GOLD))
            await cuts.cut("refuse", "a1")
            for name in ("a2", "a3", "b1", "b2"):
                view = cuts[name].view
                accounts = evolve(view.configuration.accounts, by_key={})
                view.configuration = evolve(view.configuration, accounts=accounts)
            answer = await ask(cuts, "a1", "/u/x", b"x")
            assert answer.status == 503
            assert cuts.count_runs(b"x") == 0
            assert cuts["a1"].metrics.counts["forwards", "declined"] >= 1
            # They were not paused for it: a request that needs no key goes there.
            assert (await ask(cuts, "a1", "/o/x")).status == 200
            assert cuts["a1"].relay.forwarder.has_peer(time.monotonic())

    play(run)


# --- Refusals.


@pytest.mark.parametrize(
    "path, key, code", [("/p/x", "unknown", b"unknown_key"), ("/u/x", "", b"no_key")]
)
def test_missing_or_unknown_key_is_refused_at_once(path, key, code):
    async def run():
        async with run_accounts(is_strict=True) as scene:
            begun_at = time.monotonic()
            answer = await ask(scene, "a1", path, b"x", key=key)
            assert answer.status == 401 and answer.body.startswith(code)
            assert time.monotonic() - begun_at < 0.3
            assert check_headers(scene.replicas.values()) == 0
            node = scene.instances["a1"]
            assert node.metrics.counts["access_refused", "", code.decode()] == 1

    play(run)


def test_unknown_key_is_refused_at_once_while_no_server_is_known():
    async def run():
        async with run_edge(make_accounts(GOLD)) as edge:
            await edge.wait_until(lambda: edge.node.view.configuration is not None)
            begun_at = time.monotonic()
            assert (await edge.ask(Rhubarbshed_Key="unknown")).status == 401
            assert time.monotonic() - begun_at < 0.3

    play(run)


def test_no_key_gets_into_a_log_line_a_metric_or_an_answer(caplog):
    """Among them are keys of accounts that cannot be read, or that two accounts list."""
    caplog.set_level(logging.DEBUG)
    odd = {"Name": "odd", "ApiKeys": ["secret-odd"], "Priority": -1}
    shared = {"Name": "shared", "ApiKeys": [OTHER_KEY, "secret-own"]}
    configuration = make_accounts(GOLD, FREE, odd, shared)

    async def run():
        async with run_edge(configuration, Replica("b1")) as edge:
            bodies = b""
            for key, status in (
                (KEY, 200),
                ("secret-own", 200),
                ("secret-odd", 503),
                (OTHER_KEY, 503),
                ("secret-unknown", 401),
            ):
                answer = await edge.ask(Rhubarbshed_Key=key)
                assert answer.status == status
                bodies += answer.body
            counts = edge.node.metrics.counts
            assert counts["access_refused", "odd", "account_unreadable"] == 1
            assert counts["access_refused", "free,shared", "account_unreadable"] == 1
            metrics = edge.node.metrics.render({})
            assert b'account_problems_total{account="odd"' in metrics
            assert b"secret" not in metrics and b"secret" not in bodies

    play(run)
    lines = "\n".join(map(PairFormatter().format, caplog.records))
    assert "event=account_unreadable account=odd" in lines and "event=access_refused" in lines
    assert "secret" not in lines


# --- Keys that are taken away.


def test_key_taken_away_before_a_connection_is_there_sends_nothing():
    async def run():
        async with run_edge(make_accounts(GOLD, FREE), Replica("b1")) as edge:
            opened = asyncio.Event()

            async def connect(address):
                await opened.wait()
                return await connect_channel(address)

            edge.node.pool.connect = connect
            edge.node.pool.connect_timeout_s = 5.0
            edge.node.pool.keep_only(set())
            asked = asyncio.create_task(edge.ask(Rhubarbshed_Key=KEY))
            await asyncio.sleep(0.1)
            edge.store.put("op", "config", make_accounts(FREE, version=3))
            await edge.wait_until(lambda: edge.node.view.configuration.version == 3)
            opened.set()
            answer = await asked
            assert answer.status in (401, 503)
            assert check_headers(edge.replicas) == 0
            assert (await edge.ask(Rhubarbshed_Key=OTHER_KEY)).status == 200

    play(run)


def test_key_taken_away_during_an_attempt_ends_retries_but_not_the_work_itself():
    async def run():
        async with run_edge(make_accounts(GOLD, FREE), Replica("b1"), Replica("b2")) as edge:
            release = asyncio.Event()

            async def reply(exchange: Exchange) -> None:
                await release.wait()
                if exchange.body == b"break":
                    exchange.reset()
                else:
                    exchange.answer(200, b"done")

            for replica in edge.replicas:
                replica.reply = reply
            asked = [
                asyncio.create_task(edge.ask("/p/x", body, Rhubarbshed_Key=KEY))
                for body in (b"break", b"work")
            ]
            await edge.wait_until(lambda: check_headers(edge.replicas) == 2)
            edge.store.put("op", "config", make_accounts(FREE, version=3))
            await edge.wait_until(lambda: edge.node.view.configuration.version == 3)
            release.set()
            broken, worked = await asyncio.gather(*asked)
            # It may have run, so the answer does not say that it did not.
            assert broken.status == 502 and worked.status == 200
            assert check_headers(edge.replicas) == 2

    play(run)


# --- Strict revocation.


def measure_age(node) -> float:
    """Return the age of an instance's configuration."""
    return node.follower.entry_age.measure_configuration_age(read_lease_clock())


async def watch_ages(nodes, for_s: float) -> float:
    """Return the greatest age of the configuration at instances over a while."""
    oldest = 0.0
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        oldest = max(oldest, *map(measure_age, nodes))
        await asyncio.sleep(0.02)
    return oldest


def test_order_holder_confirms_the_configuration_and_others_send_no_query():
    async def run():
        async with run_accounts(is_strict=True) as scene:
            await asyncio.sleep(SETTLED_S)
            nodes = [scene.instances[name] for name in NAMES]
            before = {node.settings.name: count_operator_queries(node) for node in nodes}
            assert await watch_ages(nodes, 4.0) < 0.6 * REVOCATION_S
            holder = scene.instances.find_holder("a")
            for node in nodes:
                sent = count_operator_queries(node) - before[node.settings.name]
                # The usual query of a holder is sent every two seconds.
                assert sent <= 2 + 4 if node.settings.name == holder else sent == 0

    play(run)


def test_instances_beside_an_older_build_of_the_holder_confirm_the_configuration_themselves():
    async def run():
        async with run_accounts(is_strict=True) as scene:
            holder = scene.instances.find_holder("a")
            scene.instances[holder].confirmations.send = lambda *_: None
            others = [scene.instances[name] for name in NAMES if name != holder]
            before = sum(map(count_operator_queries, others))
            assert await watch_ages(others, 8.0) < 0.85 * REVOCATION_S
            assert sum(map(count_operator_queries, others)) - before <= 8 * len(others)
            for name in NAMES:
                assert (await ask(scene, name)).status == 200

    play(run)


@contextlib.asynccontextmanager
async def run_behind_relay(scene, name: str):
    """Restart an instance with a relay before the store; yield the relay."""
    relay = Relay(find_port(), scene.instances.store.address[1])
    await relay.start()
    node = scene.instances[name]
    node.settings = evolve(node.settings, store=("127.0.0.1", relay.port))
    await scene.instances.restart(name)
    await scene.wait_ready(name)
    await scene.instances.wait_until(scene.instances.know_each_other)
    try:
        yield relay
    finally:
        relay.stop()


def cut_from_store(relay: Relay) -> None:
    """Lose all data of an instance to and from the store."""
    relay.mode = Mode.DROP_ALL
    relay.silence_open()


def test_instance_without_the_store_trusts_keys_by_the_holder_and_learns_which_are_gone():
    async def run():
        async with run_accounts(is_strict=True) as scene:
            other = next(name for name in NAMES if name != scene.instances.find_holder("a"))
            async with run_behind_relay(scene, other) as relay:
                await asyncio.sleep(SETTLED_S)
                cut_from_store(relay)
                until = time.monotonic() + 1.5 * REVOCATION_S
                while time.monotonic() < until:
                    assert (await ask(scene, other)).status == 200
                    await asyncio.sleep(0.2)
                # It cannot read the later configuration that the holder names.
                scene.instances.store.put("op", "config", make_accounts(FREE, version=3))
                await asyncio.sleep(REVOCATION_S)
                for key in (KEY, OTHER_KEY):
                    answer = await ask(scene, other, key=key)
                    assert answer.status == 503 and answer.body.startswith(b"keys_unconfirmed")
                    assert float(answer.headers["retry-after"]) > 0.0

    play(run)


def test_isolated_instance_refuses_in_time_and_serves_again_once_it_is_back():
    async def run():
        async with run_accounts(is_strict=True) as scene:
            other = next(name for name in NAMES if name != scene.instances.find_holder("a"))
            async with run_behind_relay(scene, other) as relay:
                await asyncio.sleep(SETTLED_S)
                datagrams = scene.instances[other].holder_protocol.datagrams
                handle, datagrams.handle = datagrams.handle, lambda *_: None
                cut_from_store(relay)
                revoked_at = time.monotonic()
                scene.instances.store.put("op", "config", make_accounts(FREE, version=3))
                served_at = revoked_at
                while time.monotonic() < revoked_at + REVOCATION_S + 1.0:
                    asked_at = time.monotonic()
                    if (await ask(scene, other)).status == 200:
                        served_at = asked_at
                    await asyncio.sleep(0.05)
                assert served_at < revoked_at + REVOCATION_S
                # Whether it is known is not said: the operator may have listed it meanwhile.
                assert (await ask(scene, other, key="unknown")).status == 503
                assert (await ask(scene, other, "/o/x")).status == 200
                datagrams.handle, relay.mode = handle, Mode.PASS
                relay.reset()
                node = scene.instances[other]
                await scene.instances.wait_until(lambda: node.view.configuration.version == 3, 4.0)
                assert (await ask(scene, other, key=OTHER_KEY)).status == 200
                assert (await ask(scene, other)).status == 401

    play(run)


def test_deployment_without_strict_revocation_trusts_keys_without_the_store():
    async def run():
        async with run_accounts() as scene:
            scene.instances.store.silent = True
            node = scene.instances["a1"]
            node.follower.entry_age.configuration_asked_at -= 3600.0
            assert (await ask(scene, "a1")).status == 200
            scene.instances.store.silent = False

    play(run)


def test_unreadable_later_configuration_does_not_confirm_the_one_before():
    """It may have taken keys away."""

    async def run():
        async with run_edge(
            make_accounts(GOLD), Replica("b1"), strict_revocation=True, revocation_s=2.0
        ) as edge:
            assert (await edge.ask(Rhubarbshed_Key=KEY)).status == 200
            edge.store.put("op", "config", {"Version": 3, "Routes": "x"})
            await asyncio.sleep(2.0)
            assert (await edge.ask(Rhubarbshed_Key=KEY)).status == 503
            edge.store.put("op", "config", make_accounts(GOLD, version=4))
            await edge.wait_until(lambda: edge.node.view.configuration.version == 4)
            assert (await edge.ask(Rhubarbshed_Key=KEY)).status == 200

    play(run)


def test_instance_whose_keys_lose_their_validity_leaves_new_connections_to_others():
    """It answered all its callers 503 while others could have served them."""

    async def run():
        async with run_accounts(is_strict=True) as scene:
            node = scene.instances["a1"]
            assert node.view.is_ready
            entry_age = node.view.versions.entry_age
            entry_age.configuration_asked_at = read_lease_clock() - 0.8 * REVOCATION_S
            assert not node.view.is_ready
            make_strict(node, False)
            assert node.view.is_ready

    play(run)


def test_outage_is_followed_by_a_read_of_the_latest_configuration():
    """The history brought all of them whole, later than a configuration has to be in force."""

    async def run():
        async with run_accounts(is_strict=True) as scene:
            other = next(name for name in NAMES if name != scene.instances.find_holder("a"))
            async with run_behind_relay(scene, other) as relay:
                await asyncio.sleep(SETTLED_S)
                node, read = scene.instances[other], ("store_calls", "read", "op")
                reads = node.metrics.counts[read]
                cut_from_store(relay)
                for version in range(3, 9):
                    scene.instances.store.put("op", "config", make_accounts(FREE, version=version))
                await scene.instances.wait_until(lambda: node.follower.entry_age.is_outage, 6.0)
                relay.mode = Mode.PASS
                relay.reset()
                await scene.instances.wait_until(lambda: node.view.configuration.version == 8, 4.0)
                assert node.metrics.counts[read] > reads

    play(run)
