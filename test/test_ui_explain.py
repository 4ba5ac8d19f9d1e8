"""Explanations of where a request would be sent, by the decision alone and with an instance."""

import asyncio
import copy
import json
import random
import sys
from types import SimpleNamespace

import pytest
from attrs import evolve

from rhubarbshed.coordination.serving.choice import Choice, choose_server
from rhubarbshed.coordination.serving.expected_time import RequestPace
from rhubarbshed.coordination.serving.explanation import (
    CANDIDATES_MAX,
    Query,
    Surroundings,
    explain,
)
from rhubarbshed.coordination.serving.refusals import make_refusal
from rhubarbshed.protocol.accounts import Account, Accounts
from rhubarbshed.protocol.routes import (
    Configuration,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    ServiceSpec,
    index_routes,
)
from rhubarbshed.state.membership.fleet import Fleet
from rhubarbshed.transport.edge.explanations import answer_explain, name_account
from standin.replica import Exchange, Replica
from test.helper_edge import (
    HOST,
    Edge,
    make_configuration,
    make_engine_service,
    make_route,
    play,
    run_edge,
)
from test.test_edge_choice import NOW, make_entry, make_fleet

ROUTE = Route(
    "r1", "h", "/p/", RouteKind.IDEMPOTENT, 4.0, 0.3, 0.0, 1, (("svc", 1.0),), attempts_max=2
)
ENGINE = EngineSpec(8, 100, 200.0, 4, 10.0, {"m1": ModelSpec("m1", 60.0, 0.2, 0.1, 0.05, 1)})
CONFIGURATION = Configuration(3, index_routes([ROUTE]), {"svc": ServiceSpec("svc", engine=ENGINE)})
QUERY = Query("h", "/p/x", timeout_s=4.0)


def ask(fleet: Fleet, query: Query = QUERY, seed: int = 1, **changes: object):
    surroundings = Surroundings(CONFIGURATION, fleet, "a", 4)
    return explain(query, evolve(surroundings, **changes), random.Random(seed), NOW)


def make_loaded_fleet(count: int = 8) -> Fleet:
    fleet = make_fleet(*(make_entry(f"s{n}", "ab"[n % 2]) for n in range(count)))
    for number, record in enumerate(fleet.list_service("svc")):
        record.record_load_sample(number % 8, 0, NOW - 0.1)
        record.record_end(number % 3 == 0, NOW - 1.0)
    return fleet


@pytest.mark.parametrize("spreads", [False, True], ids=["sampled", "spread"])
@pytest.mark.parametrize("seed", range(20))
def test_explanation_names_the_server_that_would_be_chosen(seed, spreads):
    found = ask(make_loaded_fleet(), seed=seed, has_pressure=spreads)
    chosen = choose_server(
        make_loaded_fleet(),
        "svc",
        ("", ""),
        frozenset(),
        "a",
        NOW,
        random.Random(seed),
        instances=4,
        pace=RequestPace(ROUTE.target_s),
        spreads=spreads,
    )
    assert isinstance(chosen, Choice)
    assert (found.decision, found.attempts[0]) == ("sent", chosen.server.entry.server_id)
    assert [each.place for each in found.candidates[:3]] == [1, 2, 0]
    assert len(found.candidates) == found.servers == 8


def test_question_changes_no_state():
    """Failures decay as they are read, and a draw would change where the next request goes."""
    fleet, rng = make_loaded_fleet(), random.Random(1)
    before, drawn = copy.deepcopy(fleet), rng.getstate()
    for query in (QUERY, evolve(QUERY, model="m1"), evolve(QUERY, path="/none")):
        explain(query, Surroundings(CONFIGURATION, fleet, "a", 4), rng, NOW + 5.0)
    assert fleet == before and rng.getstate() == drawn


def test_request_that_no_route_fits_or_that_comes_too_early_or_late_is_refused():
    fleet = make_loaded_fleet()
    found = ask(fleet, evolve(QUERY, path="/none"))
    assert (found.decision, found.error.status, found.reason) == ("refused", 404, "no_route")
    found = ask(fleet, configuration=None, read_in_s=3.0)
    assert found.reason == "not_configured" and found.error.retry_after_s >= 3.0
    error = make_refusal("no_servers", random.Random(1))
    assert ask(fleet, refused=error).error is error
    assert ask(fleet, is_cut=True).decision == "forwarded"
    assert ask(Fleet()).reason == "no_servers"


def test_request_without_a_route_waits_until_the_configuration_is_confirmed():
    nowhere = evolve(QUERY, path="/none")
    found = ask(Fleet(), nowhere, may_refuse=False, confirmed_in_s=3.0)
    assert (found.decision, found.reason) == ("waits", "route_unconfirmed")
    assert found.wait_s == pytest.approx(0.8) and found.error.retry_after_s >= 3.0
    assert ask(Fleet(), evolve(nowhere, timeout_s=2.0), may_refuse=False).wait_s == 0.5
    found = ask(Fleet(), nowhere, may_refuse=False, is_store_lost=True)
    assert (found.decision, found.error.status, found.wait_s) == ("refused", 503, 0.0)


def test_request_for_full_servers_waits_and_is_told_when_there_is_room():
    fleet = make_loaded_fleet(2)
    for record in fleet.list_service("svc"):
        record.limited_until = NOW + 2.0
    found = ask(fleet)
    assert (found.decision, found.reason) == ("waits", "full")
    assert found.wait_s == pytest.approx(0.15) and 2.0 <= found.error.retry_after_s <= 3.0
    assert [(each.state, each.limited_s) for each in found.candidates] == [("full", 2.0)] * 2
    assert ask(fleet, evolve(QUERY, queued_s=0.1)).wait_s == pytest.approx(0.05)
    assert ask(fleet, evolve(QUERY, queued_s=0.2)).decision == "refused"
    assert ask(fleet, evolve(QUERY, timeout_s=0.1)).wait_s == pytest.approx(0.05)


@pytest.mark.parametrize(
    ("model", "adapter", "decision"),
    [("m1", "", "waits"), ("m1", "a1", "waits"), ("m1", "a9", "refused"), ("m9", "", "refused")],
)
def test_request_for_what_no_server_holds_waits_if_it_can_be_loaded(model, adapter, decision):
    found = ask(make_loaded_fleet(), evolve(QUERY, model=model, adapter=adapter))
    assert (found.decision, found.reason) == (decision, "absent")
    assert all(each.state == "without_model" for each in found.candidates)
    assert (found.expected_s is not None) == (decision == "waits")


def set_silent(record) -> None:
    record.unresponsive_until = NOW + 1.0


def set_backoff(record) -> None:
    record.backoff_until = NOW + 1.0


def set_missing(record) -> None:
    record.missing_since = NOW - 1.0


def set_open(record) -> None:
    record.open = 100


STATES = {
    "leaving": lambda record: record.leave(NOW, NOW),
    "silent": set_silent,
    "backoff": set_backoff,
    "missing": set_missing,
    "full": set_open,
    "free": lambda record: None,
}


@pytest.mark.parametrize("state", STATES)
def test_state_says_what_keeps_a_request_from_a_server(state):
    fleet = make_loaded_fleet(3)
    STATES[state](fleet.get("s0"))
    found = ask(fleet)
    shown = next(each for each in found.candidates if each.server == "s0")
    assert shown.state == state and (state == "free" or not shown.place)


def test_sole_server_that_was_silent_is_chosen_behind_another_instance():
    fleet = make_loaded_fleet(1)
    set_silent(fleet.get("s0"))
    assert (ask(fleet).decision, ask(fleet).reason) == ("sent", "silent")


def test_explanation_of_a_large_fleet_is_bounded():
    found = ask(make_loaded_fleet(CANDIDATES_MAX + 20))
    assert (len(found.candidates), found.servers) == (CANDIDATES_MAX, CANDIDATES_MAX + 20)
    assert found.candidates[0].place == 1


def test_account_is_named_without_its_key():
    accounts = Accounts({"secret": Account("shop", 1)}, frozenset({"odd"}))
    assert name_account(accounts, "secret")["account"] == "shop"
    named = {key: name_account(accounts, key)["key"] for key in ("", "odd", "other", "secret")}
    assert list(named.values()) == ["none", "unreadable", "unknown", "known"]
    assert "secret" not in json.dumps([name_account(accounts, key) for key in named])


async def run_command(edge: Edge, *words: str, key: str = "", typed: str = "") -> SimpleNamespace:
    """Run the command against an instance; return its exit code and its output."""
    host, port = edge.node.settings.host, edge.node.settings.metrics_port
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "rhubarbshed.ui.main", "explain", *words),
        env={"RHUBARBSHED_METRICS_URL": f"http://{host}:{port}", "RHUBARBSHED_KEY": key},
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate(typed.encode())
    return SimpleNamespace(code=process.returncode, out=out.decode(), err=err.decode())


def assert_unchanged(edge: Edge, target: bytes) -> None:
    """Check that a question changes nothing; its answer gives no other task a turn."""
    view = edge.node.view
    before = copy.deepcopy(view.fleet), view.rng.getstate(), copy.deepcopy(view.budget)
    status, _ = answer_explain(edge.node.relay, target, ())
    assert status == 200
    assert (view.fleet, view.rng.getstate(), view.budget) == before


def test_command_explains_a_request_to_an_instance(caplog):
    caplog.set_level("DEBUG")
    configuration = make_configuration(make_route("idempotent", "/p/"))
    words = ("--host", HOST.upper(), "--path", "/p/x?a=1")

    async def scene():
        replicas = [Replica("b1"), Replica("b2")]
        async with run_edge(configuration, *replicas) as edge:
            await edge.wait_until(lambda: len(edge.node.view.fleet.servers) == 2)
            accounts = Accounts({"secret": Account("shop", 1)})
            edge.node.view.configuration = evolve(edge.node.view.configuration, accounts=accounts)
            assert_unchanged(edge, f"/explain?host={HOST}&path=/p/x".encode())
            shown = await run_command(edge, *words, "--json", key="secret")
            plain = json.loads(shown.out)
            assert (shown.code, plain["decision"], plain["service"]) == (0, "sent", "svc")
            assert sorted(plain["attempts"]) == ["b1", "b2"]
            text = await run_command(edge, *words, "--key-stdin", typed="secret\n")
            assert text.code == 0 and "sent to b" in text.out
            assert plain["account"] == "shop" and "account shop" in text.out
            assert not any(replica.got for replica in replicas)
            assert "secret" not in shown.out + shown.err + text.out + text.err + caplog.text
            for key, code in (("", "no_key"), ("other", "unknown_key")):
                refused = await run_command(edge, *words, key=key)
                assert refused.code == 0 and f"refused: 401 {code}" in refused.out
            missing = await run_command(edge, "--host", HOST, "--path", "/none")
            assert missing.code == 0 and "404 no_route" in missing.out
            unknown = await run_command(edge, "--id", "q9")
            assert (unknown.code, unknown.err.count("\n")) == (1, 1) and "not_open" in unknown.err
            assert (await run_command(edge)).code == 2

    play(scene)


def test_refusal_that_is_explained_is_the_one_that_a_request_gets():
    services = [make_engine_service({"m1": 0})]
    configuration = make_configuration(make_route("idempotent", "/p/"), Services=services)

    async def scene():
        async with run_edge(configuration, Replica("b1", models={"m1": []})) as edge:
            for path, model, status in (
                ("/p/x", "m9", 503),
                ("/q/x", "m1", 404),
                ("/p/x", "m1", 200),
            ):
                target = f"/explain?host={HOST}&path={path}&model={model}".encode()
                found = json.loads(answer_explain(edge.node.relay, target, ())[1])
                answer = await edge.ask(path, Rhubarbshed_Model=model)
                assert answer.status == status
                if status == 200:
                    assert (found["decision"], found["attempts"]) == ("sent", ["b1"])
                    continue
                assert (found["decision"], found["error"]["status"]) == ("refused", status)
                assert answer.body.startswith(found["error"]["code"].encode())

    play(scene)


def test_question_that_names_no_request_or_no_time_is_refused():
    async def scene():
        async with run_edge(make_configuration(make_route()), Replica("b1")) as edge:
            for query in ("", "host=h", "host=h&path=x", "path=/x", "host=h&path=/x&timeout_ms=-1"):
                target = f"/explain?{query}".encode()
                assert answer_explain(edge.node.relay, target, ())[0] == 400, query
            odd = (
                b"/explain?host=%ff%00&path=/%ff&model=" + b"x" * 5000 + b"&timeout_ms=" + b"9" * 99
            )
            assert answer_explain(edge.node.relay, odd, ())[0] in (200, 400)

    play(scene)


def test_command_explains_a_request_in_progress():
    # One that may be repeated would be sent again after 0.8 s without an answer.
    configuration = make_configuration(make_route("non_idempotent", "/p/"))

    async def scene():
        may_answer = asyncio.Event()

        async def reply(exchange: Exchange) -> None:
            await may_answer.wait()
            exchange.answer(200, b"")

        async with run_edge(configuration, Replica("b1", reply=reply)) as edge:
            task = asyncio.create_task(edge.ask("/p/x", Rhubarbshed_Request_Id="q1"))
            await edge.wait_until(lambda: bool(edge.replicas[0].got))
            shown = await run_command(edge, "--id", "q1", "--json")
            progress = json.loads(shown.out)["progress"]
            assert (progress["stage"], progress["tried"]) == ("response", ["b1"])
            text = await run_command(edge, "--id", "q1")
            assert text.code == 0 and "in progress: q1 stage=response" in text.out
            may_answer.set()
            assert (await task).status == 200

    play(scene)


def test_command_without_an_instance_says_so_in_one_line():
    async def scene():
        node = SimpleNamespace(settings=SimpleNamespace(host="127.0.0.1", metrics_port=1))
        shown = await run_command(SimpleNamespace(node=node), "--host", "h", "--path", "/")
        assert (shown.code, shown.err.count("\n")) == (1, 1) and "Traceback" not in shown.err

    play(scene)
