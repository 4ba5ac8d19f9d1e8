"""Choice of a server, retries, refusals and waits, without sockets."""

import collections
import random

import pytest

from rhubarbshed.coordination.serving import choice
from rhubarbshed.coordination.serving.choice import Choice, NoServer, choose_server
from rhubarbshed.coordination.serving.missing_models import (
    CallerPatience,
    LoadRefusal,
    LoadWait,
    decide_load_wait,
)
from rhubarbshed.coordination.serving.queueing import decide_wait
from rhubarbshed.coordination.serving.refusals import make_refusal, make_timeout
from rhubarbshed.coordination.serving.retry_budget import (
    ServiceRetryBudget,
    Tries,
    is_retry_allowed,
)
from rhubarbshed.coordination.serving.update_queue import UpdateQueue
from rhubarbshed.protocol.exchanges import ExchangeEnd
from rhubarbshed.protocol.routes import EngineSpec, ModelSpec, Route, RouteKind
from rhubarbshed.protocol.servers import ServerEntry, ServerState
from rhubarbshed.state.membership.fleet import Fleet
from rhubarbshed.transport.edge.view import View
from test.helper_edge import make_settings

NOW = 1000.0


def make_entry(name: str, centre: str = "a", models: dict | None = None, **changes) -> ServerEntry:
    held = {model: frozenset(names) for model, names in (models or {}).items()}
    values = {
        "server_id": name,
        "service": "svc",
        "host": "127.0.0.1",
        "port": 1,
        "data_centre": centre,
        "state": ServerState.READY,
        "slots": 8,
        "version": "v1",
        "models": held,
        "started_ms": 1,
    }
    return ServerEntry(**{**values, **changes})


def make_fleet(*entries: ServerEntry) -> Fleet:
    fleet = Fleet()
    for entry in entries:
        fleet.apply(entry, NOW)
    return fleet


def choose(fleet: Fleet, needs=("", ""), avoid=frozenset(), now=NOW, seed=1):
    return choose_server(fleet, "svc", needs, avoid, "a", now, random.Random(seed))


def make_route(kind=RouteKind.STREAMING, attempts_max=2, resumable=True) -> Route:
    shares = (("svc", 1.0),)
    return Route("r", "h", "/p/", kind, 4.0, 0.3, 0.15, 1, shares, attempts_max, resumable)


def test_rest_of_a_stream_is_offered_to_servers_of_its_version_only():
    fleet = make_fleet(make_entry("old", version="v2"), make_entry("new", version="v10"))
    fleet.get("old").record_load_sample(6, 0, NOW)
    for seed in range(20):
        chosen = choose_server(
            fleet, "svc", ("", ""), frozenset(), "a", NOW, random.Random(seed), "v2"
        )
        assert chosen.server.entry.server_id == "old"
    rng = random.Random(1)
    gone = choose_server(fleet, "svc", ("", ""), frozenset(), "a", NOW, rng, "v1")
    assert gone == NoServer("version_gone")
    fleet.get("old").record_load_sample(40, 0, NOW)
    full = choose_server(fleet, "svc", ("", ""), frozenset(), "a", NOW, rng, "v2")
    assert full == NoServer("full", holders=1, capable=1)


def test_rest_of_a_stream_may_queue_at_a_server_that_is_full_for_new_ones():
    fleet = make_fleet(make_entry("old", version="v2"))
    for load, reasons in ((11, (None, None)), (12, ("full", None)), (16, ("full", "full"))):
        fleet.get("old").record_load_sample(load, 0, NOW)
        for version, reason in zip((None, "v2"), reasons, strict=True):
            rng = random.Random(1)
            chosen = choose_server(fleet, "svc", ("", ""), frozenset(), "a", NOW, rng, version)
            assert getattr(chosen, "reason", None) == reason


def test_rest_of_a_stream_may_come_from_a_leaving_server_while_no_other_has_its_version():
    def choose(version: str | None, needs: tuple[str, str] = ("", "")) -> Choice | NoServer:
        rng = random.Random(1)
        avoid = frozenset()
        return choose_server(fleet, "svc", needs, avoid, "a", NOW, rng, version, NOW - 1.0)

    fleet = make_fleet(make_entry("old", version="v2"), make_entry("new", version="v10"))
    fleet.get("old").leaving_at = NOW - 0.9
    assert choose("v2").server.entry.server_id == "old"
    assert choose("v2", ("unknown", "")) == NoServer("version_gone")
    assert choose(None).server.entry.server_id == "new"
    fleet.get("old").unresponsive_until = NOW + 0.1
    assert choose("v2") == NoServer("version_gone")
    fleet.get("old").unresponsive_until = NOW
    fleet.get("old").leaving_at = NOW - 1.0
    assert choose("v2") == NoServer("version_gone")
    fleet.get("old").leaving_at = NOW
    fleet.apply(make_entry("other", version="v2"), NOW)
    assert choose("v2").server.entry.server_id == "other"
    fleet.get("new").leaving_at = NOW
    fleet.get("other").leaving_at = NOW
    assert choose(None) == NoServer("no_servers")


def test_instances_with_the_same_old_news_do_not_all_take_one_server():
    fleet = make_fleet(*(make_entry(f"b{number}") for number in range(4)))
    taken = {choose(fleet, seed=seed).server.entry.server_id for seed in range(40)}
    assert len(taken) == 4


def test_own_data_centre_goes_first_until_its_server_is_much_busier():
    fleet = make_fleet(make_entry("near"), make_entry("far", "b"))
    assert all(choose(fleet, seed=s).server.entry.server_id == "near" for s in range(20))
    fleet.get("near").record_load_sample(6, 0, NOW)
    assert all(choose(fleet, seed=s).server.entry.server_id == "far" for s in range(20))


def test_server_that_fails_does_not_draw_requests_because_it_is_empty():
    fleet = make_fleet(make_entry("bad"), make_entry("good"))
    fleet.get("good").record_load_sample(4, 0, NOW)
    for _ in range(6):
        fleet.get("bad").record_end(True, NOW)
    assert all(choose(fleet, seed=s).server.entry.server_id == "good" for s in range(20))
    assert choose(fleet, now=NOW + 30.0) is not None


def test_server_that_was_silent_is_left_out_for_a_while_that_doubles():
    fleet = make_fleet(make_entry("b1"))
    record = fleet.get("b1")
    assert record.record_unresponsive(NOW) == 0.5
    assert not record.takes_work(NOW + 0.4) and record.takes_work(NOW + 0.6)
    assert record.record_unresponsive(NOW + 1.0) == 1.0
    record.record_end(False, NOW + 2.0)
    assert record.record_unresponsive(NOW + 2.0) == 0.5


@pytest.mark.parametrize(
    ("needs", "reason"), [(("m2", ""), "absent"), (("m1", "a9"), "absent"), (("m1", "a1"), "")]
)
def test_only_holders_of_model_and_adapter_are_chosen(needs, reason):
    found = choose(make_fleet(make_entry("b1", models={"m1": ["a1"]})), needs)
    assert (found.reason if isinstance(found, NoServer) else "") == reason


def test_full_leaving_and_doubted_servers():
    fleet = make_fleet(make_entry("b1"), make_entry("b2", state=ServerState.DRAINING))
    fleet.get("b1").record_load_sample(8, 4, NOW)
    assert choose(fleet).reason == "full"
    assert isinstance(choose(fleet, now=NOW + 3.0), Choice)
    fleet.apply(make_entry("b3"), NOW)
    fleet.get("b3").missing_since = NOW
    assert choose(fleet, now=NOW + 3.0).server.entry.server_id == "b1"


def test_server_that_was_silent_is_still_better_than_none():
    fleet = make_fleet(make_entry("b1"), make_entry("b2"))
    for record in fleet.servers.values():
        record.record_unresponsive(NOW)
    assert isinstance(choose(fleet), Choice)
    assert choose(fleet, avoid=frozenset({("b1", 1), ("b2", 1)})).reason == "all_tried"


def test_entry_from_before_a_restart_changes_nothing():
    fleet = make_fleet(make_entry("b1", started_ms=5))
    assert fleet.apply(make_entry("b1", started_ms=4, state=ServerState.DRAINING), NOW) == ""
    assert fleet.get("b1").leaving_at is None


def test_instance_that_has_just_started_takes_a_part_of_the_common_budget_of_repeats():
    """All instances that start together took the whole fixed part each."""
    settings = make_settings(("127.0.0.1", 1), retry_extra=100.0)
    budget = View.from_settings(settings).budget
    assert 1 <= sum(budget.try_spend("svc", NOW) for _ in range(200)) <= 100.0 / 10


def test_budget_of_repeats_is_a_part_of_the_common_one():
    budget = ServiceRetryBudget(0.2, 100.0, 10.0, instances=10)
    for number in range(100):
        budget.count_request("svc", NOW + number * 0.01)
    taken = sum(budget.try_spend("svc", NOW + 1.0) for _ in range(200))
    assert taken == 24, "0.8 x (0.2 x 100 + 100 / 10)"
    assert budget.try_spend("svc", NOW + 11.5)


@pytest.mark.parametrize(
    ("kind", "resumable", "end", "tries", "allowed"),
    [
        (RouteKind.NON_IDEMPOTENT, False, ExchangeEnd.BROKEN, Tries(1, 0), False),
        (RouteKind.NON_IDEMPOTENT, False, ExchangeEnd.REFUSED, Tries(0, 1), True),
        (RouteKind.NON_IDEMPOTENT, False, ExchangeEnd.NOT_SENT, Tries(0, 0), True),
        (RouteKind.NON_IDEMPOTENT, False, ExchangeEnd.REFUSED, Tries(0, 3), False),
        (RouteKind.IDEMPOTENT, False, ExchangeEnd.BROKEN, Tries(1, 0), True),
        (RouteKind.IDEMPOTENT, False, ExchangeEnd.BROKEN, Tries(2, 0), False),
        (RouteKind.STREAMING, True, ExchangeEnd.NO_RESPONSE, Tries(1, 0), True),
        (RouteKind.STREAMING, False, ExchangeEnd.BROKEN, Tries(1, 0), False),
    ],
)
def test_repeats_follow_the_kind_of_route(kind, resumable, end, tries, allowed):
    assert is_retry_allowed(make_route(kind, 2, resumable), end, tries) is allowed


def make_engine() -> EngineSpec:
    spec = ModelSpec("m1", 60.0, 4.0, 0.8, 0.5, 4, 1.0)
    return EngineSpec(8, 1000, 200.0, 4, 1.6, {"m1": spec})


def make_patience(left_s: float, since: float = NOW, target_s: float = 3.0) -> CallerPatience:
    return CallerPatience(since, since + left_s, target_s)


def test_wait_for_an_adapter_is_short_and_for_a_load_ends_before_the_caller_leaves():
    holder, empty = make_entry("b1", models={"m1": []}), make_entry("b2")
    fleet = make_fleet(holder)
    found = decide_load_wait(
        make_engine(), ("m1", "a1"), fleet.list_service("svc"), make_patience(2.0), NOW
    )
    assert isinstance(found, LoadWait) and found.until <= NOW + 0.6
    fleet = make_fleet(empty)
    capable = fleet.list_service("svc")
    found = decide_load_wait(make_engine(), ("m1", ""), capable, make_patience(2.0), NOW)
    assert isinstance(found, LoadRefusal) and found.available_in_s > 4.0
    found = decide_load_wait(make_engine(), ("m1", ""), capable, make_patience(12.0), NOW)
    assert isinstance(found, LoadWait) and found.until <= NOW + 12.0
    assert isinstance(
        decide_load_wait(make_engine(), ("m9", ""), capable, make_patience(9.0), NOW), LoadRefusal
    )
    assert isinstance(
        decide_load_wait(make_engine(), ("m1", ""), [], make_patience(9.0), NOW), LoadRefusal
    )


def test_load_under_way_is_reckoned_by_its_own_time():
    fleet = make_fleet(make_entry("b1"))
    fleet.apply_pending_changes("b1", "m1", 0.7, "", NOW)
    found = decide_load_wait(
        make_engine(), ("m1", ""), fleet.list_service("svc"), make_patience(2.0), NOW
    )
    assert isinstance(found, LoadWait) and found.expected_s == pytest.approx(0.7)


def test_request_is_refused_once_its_target_has_passed_without_a_load_under_way():
    """Most callers were held for 9.6 s and then refused, while nothing was loaded for them."""
    fleet = make_fleet(make_entry("b1"))

    def decide(now: float, since: float = NOW, target_s: float = 3.0) -> LoadWait | LoadRefusal:
        patience = make_patience(12.0, since, target_s)
        servers = fleet.list_service("svc")
        return decide_load_wait(make_engine(), ("m1", ""), servers, patience, now)

    assert decide(NOW).until == pytest.approx(NOW + 3.0)
    assert isinstance(decide(NOW + 3.0), LoadRefusal)
    assert decide(NOW + 3.0).available_in_s >= 3.0
    assert decide(NOW, target_s=0.1).until == pytest.approx(NOW + 1.0)
    fleet.apply_pending_changes("b1", "m1", 4.0, "", NOW + 2.5)
    assert NOW + 6.5 < decide(NOW + 3.0).until < NOW + 8.0, "it waits on for a load under way"
    assert isinstance(decide(NOW + 9.0), LoadRefusal), "the load is overdue"


def test_request_waits_for_its_adapter_once():
    fleet = make_fleet(make_entry("b1", models={"m1": []}))
    servers, needs = fleet.list_service("svc"), ("m1", "a1")
    assert isinstance(
        decide_load_wait(make_engine(), needs, servers, make_patience(9.0), NOW + 0.6), LoadRefusal
    )


def test_refusal_promises_only_what_is_true():
    assert make_timeout(ran=True).status == 504
    assert make_timeout(ran=False).status == 503
    times = {make_refusal("full", random.Random(seed)).retry_after_s for seed in range(20)}
    assert len(times) > 10 and min(times) >= 0.05


def play_with_old_news() -> int:
    """Return the largest gap in load between servers; 35 instances get loads twice a second."""
    names = [f"b{number:02d}" for number in range(12)]
    load = dict.fromkeys(names, 0)
    entries = [make_entry(name, slots=64) for name in names]
    views = [(make_fleet(*entries), random.Random(seed)) for seed in range(35)]
    apart = 0
    for step in range(20):
        now = NOW + step * 0.5
        for fleet, _ in views:
            for name in names:
                fleet.get(name).apply_reported_load(load[name], now)
        for number in range(90):
            fleet, chance = views[number % len(views)]
            chosen = choose_server(fleet, "svc", ("", ""), frozenset(), "a", now, chance)
            load[chosen.server.entry.server_id] += 1
        apart = max(apart, max(load.values()) - min(load.values()))
        load = {name: max(0, count - 8) for name, count in load.items()}
    return apart


def test_instances_do_not_run_together_after_the_news_of_an_idle_server(monkeypatch):
    """All chose the least loaded server until the next report: it got a fourth of the requests."""
    apart = play_with_old_news()
    monkeypatch.setattr(choice, "SAMPLED_SERVERS", 12)
    assert apart < play_with_old_news() / 2


def test_server_that_is_always_full_is_not_taken_for_an_empty_one_where_traffic_is_thin():
    """Its load was announced once, as it did not change, and had faded a second later."""
    loads = {"b1": 15, "b2": 3}
    entries = [make_entry(name, slots=16) for name in loads]
    views = [(make_fleet(*entries), random.Random(seed)) for seed in range(195)]
    queue = UpdateQueue()
    chosen = collections.Counter()
    for step in range(40):
        now = NOW + 0.25 * step
        for name, load in queue.choose_loads(loads, now):
            for fleet, _ in views:
                fleet.get(name).apply_reported_load(load, now)
        for number in range(12):
            fleet, chance = views[(12 * step + number) % len(views)]
            found = choose_server(fleet, "svc", ("", ""), frozenset(), "a", now + 0.2, chance)
            chosen[found.server.entry.server_id] += 1
    assert chosen["b1"] <= 0.05 * chosen.total()


def test_load_that_another_instance_was_told_counts_unless_the_server_answered_here_since():
    fleet = make_fleet(make_entry("b1"))
    record = fleet.get("b1")
    record.apply_reported_load(6, NOW)
    assert record.estimate_load(NOW) == 6.0
    record.record_load_sample(1, 0, NOW + 1.0)
    record.apply_reported_load(6, NOW + 1.2)
    assert record.estimate_load(NOW + 1.2) < 2.0
    record.apply_reported_load(6, NOW + 2.0)
    assert record.estimate_load(NOW + 2.0) == 6.0


def test_load_of_short_runs_is_forgotten_within_some_of_them():
    """A queue reported once counted for a second, in which all requests were refused."""
    fleet = make_fleet(make_entry("b1", slots=6))
    record = fleet.get("b1")
    for _ in range(60):
        record.record_run(0.07)
    record.record_load_sample(6, 6, NOW)
    assert isinstance(choose(fleet, now=NOW), NoServer)
    assert isinstance(choose(fleet, now=NOW + 0.2), Choice)
    for _ in range(60):
        record.record_run(2.0)
    record.record_load_sample(6, 6, NOW)
    assert isinstance(choose(fleet, now=NOW + 0.2), NoServer)


def test_request_waits_for_a_place_for_a_part_of_its_target_and_no_longer():
    route = make_route()
    waited_s, looks = 0.0, 0
    while step_s := decide_wait(route, waited_s, 4.0):
        waited_s, looks = waited_s + step_s, looks + 1
    assert 0.5 * route.target_s <= waited_s <= 0.5 * route.target_s + 0.031 and looks < 10
    assert decide_wait(route, 0.06, 0.1) == 0.0
