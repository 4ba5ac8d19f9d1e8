"""Tests of placement: availability, versions, leaving servers, stability."""

from random import Random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbshed.coordination.placement.placement import select_owned
from rhubarbshed.protocol.catalogue import Adapter
from rhubarbshed.protocol.members import Standing
from rhubarbshed.protocol.placement import ModelDemand, MoveKind, MoveReason
from rhubarbshed.util.settings import Settings
from test.helper_placement import Cluster, make_model, make_server
from tools.contingency import plan_contingency

PROFILES = ("rhubarbshed/profiles/cedarpulpit.ini", "rhubarbshed/profiles/guadalajara.ini")


def make_demand(**rates: float) -> tuple[ModelDemand, ...]:
    return tuple(ModelDemand(name, rate, rate * 240.0) for name, rate in rates.items())


def test_every_model_is_loaded_in_every_data_centre_with_room():
    servers = [make_server(f"s{n}", 40, centre="abc"[n]) for n in range(3)]
    cluster = Cluster.from_views(servers, [make_model(f"m{n}") for n in range(4)])
    cluster.run(5)
    for n in range(4):
        assert cluster.list_holders(f"m{n}") == ["s0", "s1", "s2"]


def test_surplus_copy_makes_room_for_unreachable_model():
    cluster = Cluster.from_views(
        [make_server("s0", 10, "m0"), make_server("s1", 10, "m0")],
        [make_model("m0"), make_model("m1")],
    )
    assert cluster.step().moves[0].reason is MoveReason.MAKE_ROOM
    cluster.step()
    assert cluster.list_holders("m1")
    assert cluster.list_holders("m0")


def test_unload_names_the_server_it_relies_on():
    cluster = Cluster.from_views(
        [make_server("s0", 10, "m0"), make_server("s1", 10, "m0")],
        [make_model("m0"), make_model("m1")],
    )
    move = cluster.plan().moves[0]
    assert {move.backend_server, move.relies_on} == {"s0", "s1"}


def test_single_copy_is_relocated_for_fragmented_memory():
    cluster = Cluster.from_views(
        [make_server("s0", 20, "m0"), make_server("s1", 20, "m1")],
        [make_model("m0"), make_model("m1"), make_model("big", 20)],
    )
    cluster.run(4)
    assert cluster.list_ready() == {"m0", "m1", "big"}


def test_leaving_server_keeps_models_until_ready_elsewhere():
    leaving = make_server("s0", 20, "m0", "m1", standing=Standing.LEAVING)
    cluster = Cluster.from_views(
        [leaving, make_server("s1", 20)], [make_model("m0"), make_model("m1")]
    )
    first = cluster.step()
    assert {move.kind for move in first.moves} == {MoveKind.LOAD}
    assert {move.backend_server for move in first.moves} == {"s1"}
    second = cluster.step()
    assert {move.reason for move in second.moves} == {MoveReason.LEAVING}
    assert cluster.servers["s0"].resident == ()


def test_leaving_server_keeps_models_that_fit_nowhere_else():
    leaving = make_server("s0", 20, "m0", standing=Standing.LEAVING)
    cluster = Cluster.from_views([leaving, make_server("s1", 10, "m1")], [make_model("m0")])
    cluster.models += (make_model("m1"),)
    cluster.run(5)
    assert cluster.list_holders("m0") == ["s0"]
    assert cluster.plan().unplaced == ("m0",)


@pytest.mark.parametrize("memory", [10, 20])
def test_new_version_replaces_all_copies_without_a_gap(memory):
    servers = [make_server(f"s{n}", memory, "m0", centre="abc"[n]) for n in range(3)]
    cluster = Cluster.from_views(servers, [make_model("m0", version="2")])
    cluster.run(20)
    assert cluster.list_holders("m0", "1") == []
    assert cluster.list_holders("m0", "2") == ["s0", "s1", "s2"]


def test_sole_copy_without_room_keeps_its_version():
    cluster = Cluster.from_views([make_server("s0", 10, "m0")], [make_model("m0", version="2")])
    cluster.run(3)
    assert cluster.list_holders("m0", "1") == ["s0"]


def test_deleted_model_is_unloaded():
    cluster = Cluster.from_views([make_server("s0", 10, "m0")], [])
    assert [move.reason for move in cluster.step().moves] == [MoveReason.DELETED]


def test_dead_servers_models_are_loaded_elsewhere():
    dead = make_server("s0", 10, "m0", standing=Standing.GONE)
    cluster = Cluster.from_views([dead, make_server("s1", 10)], [make_model("m0")])
    cluster.step()
    assert cluster.list_holders("m0") == ["s0", "s1"]


def test_adapters_follow_their_model():
    adapters = [Adapter(f"a{n}", "m0", "1", 1) for n in range(3)]
    cluster = Cluster.from_views(
        [make_server(f"s{n}", 20, centre="ab"[n]) for n in range(2)], [make_model("m0")], adapters
    )
    cluster.run(3)
    assert cluster.list_holders("a1") == ["s0", "s1"]


def test_full_adapter_quota_unloads_nothing():
    adapters = [Adapter(f"a{n}", "m0", "1", 0) for n in range(60)]
    cluster = Cluster.from_views(
        [make_server("s0", 20, "m0", "m1"), make_server("s1", 20, "m0", "m1")],
        [make_model("m0"), make_model("m1")],
        adapters,
    )
    plan = cluster.plan()
    assert {move.kind for move in plan.moves} == {MoveKind.LOAD_ADAPTER}
    assert len(plan.moves) == cluster.settings.weight_store.adapters_in_flight


def test_adapter_is_loaded_once_beside_two_versions_and_outlives_the_older():
    adapters = [Adapter("a0", "m0", "1", 1)]
    cluster = Cluster.from_views(
        [make_server("s0", 30, "m0=1", "m0=2")], [make_model("m0", version="2")], adapters
    )
    first = cluster.plan()
    assert [move.name for move in first.moves].count("a0") == 1
    cluster.run(4)
    assert cluster.list_holders("a0") == ["s0"]
    assert cluster.list_holders("m0", "1") == []


def test_adapter_survives_unload_of_its_models_copy():
    adapters = [Adapter("a0", "m0", "1", 1)]
    leaving = make_server("s0", 20, "m0", standing=Standing.LEAVING)
    cluster = Cluster.from_views([leaving, make_server("s1", 20)], [make_model("m0")], adapters)
    cluster.run(5)
    assert cluster.list_holders("a0") == ["s1"]
    assert cluster.list_holders("m0") == ["s1"]


def test_demand_earns_a_copy_and_noise_earns_no_more():
    servers = [make_server(f"s{n}", 20, slots=4, tokens_per_s=240.0) for n in range(4)]
    cluster = Cluster.from_views(servers, [make_model(f"m{n}") for n in range(4)])
    cluster.run(4)
    settled = len(cluster.moves)
    for n in range(100):
        cluster.step(make_demand(m0=2.0 + 0.3 * (-1) ** n, m1=0.2 + 0.1 * (-1) ** n, m2=0.1))
    assert len(cluster.list_holders("m0")) >= 2
    assert len(cluster.moves) - settled <= 6
    late = cluster.moves[settled:]
    cluster.run(20, make_demand(m0=2.0, m1=0.2, m2=0.1))
    assert cluster.moves[settled:] == late


def test_swings_shorter_than_the_dwell_do_not_flap():
    servers = [make_server(f"s{n}", 10, f"m{n % 2}", slots=4, tokens_per_s=240.0) for n in range(5)]
    cluster = Cluster.from_views(servers, [make_model("m0"), make_model("m1")])
    swings = (make_demand(m0=9.0, m1=0.1), make_demand(m0=0.1, m1=9.0))
    steps = 48
    for n in range(steps):
        cluster.step(swings[n // 3 % 2])
    placement = cluster.settings.placement
    dwells = steps * placement.interval_s / placement.dwell_min_s
    unloads = [move for move in cluster.moves if move.kind is MoveKind.UNLOAD]
    assert 1 <= len(unloads) <= len(servers) * dwells / 2


def test_one_plan_makes_room_for_as_many_loads_as_run_at_once():
    servers = [make_server(f"s{n:02}", 10, "m0") for n in range(40)]
    cluster = Cluster.from_views(servers, [make_model(f"m{n}") for n in range(30)])
    assert len(cluster.plan().moves) == cluster.settings.weight_store.loads_at_once
    cluster.run(20)
    assert len(cluster.list_ready()) == 30


def test_plan_does_not_depend_on_the_order_of_its_input():
    servers = [make_server(f"s{n}", 30, f"m{n}", centre="abc"[n % 3]) for n in range(6)]
    models = [make_model(f"m{n}") for n in range(9)]
    demand = make_demand(m0=9.0, m1=5.0, m8=2.0)
    one = Cluster.from_views(servers, models).plan(demand)
    other = Cluster.from_views(reversed(servers), reversed(models)).plan(tuple(reversed(demand)))
    assert one == other


def test_move_in_flight_is_not_doubled():
    cluster = Cluster.from_views([make_server("s0", 10), make_server("s1", 10)], [make_model("m0")])
    cluster.start(cluster.plan().moves)
    assert cluster.plan().moves == ()


def test_power_limit_holds():
    limited = Settings.from_text("[placement]\npower_watts_max = 250\n").unwrap()
    models = [make_model(f"m{n}", power_watts=100.0) for n in range(4)]
    cluster = Cluster.from_views([make_server("s0", 100)], models, settings=limited)
    cluster.run(4)
    assert len(cluster.list_ready()) == 2


def test_surplus_copy_gives_its_power_to_unreachable_model():
    limited = Settings.from_text("[placement]\npower_watts_max = 200\n").unwrap()
    models = [make_model(f"m{n}", power_watts=100.0) for n in range(2)]
    servers = [make_server("s0", 100, "m0"), make_server("s1", 100, "m0")]
    cluster = Cluster.from_views(servers, models, settings=limited)
    cluster.run(3)
    assert cluster.list_ready() == {"m0", "m1"}


def test_only_owned_servers_are_touched():
    cluster = Cluster.from_views(
        [make_server("s0", 10, centre="a"), make_server("s1", 10, centre="b")], [make_model("m0")]
    )
    moves = select_owned(cluster.plan(), frozenset({"s1"}))
    assert {move.backend_server for move in moves} <= {"s1"}


@pytest.mark.parametrize("path", PROFILES)
def test_shipped_profiles_are_valid(path):
    assert Settings.from_file(path).unwrap().placement.profile in path


def test_contingency_covers_each_models_only_copy_in_a_data_centre():
    servers = [make_server("s0", 30, "m0", "m1"), make_server("s1", 30, "m1")]
    plan = plan_contingency((make_model("m0"), make_model("m1")), tuple(servers))
    assert [(each.at_risk, each.backend_server) for each in plan.intents] == [("s0", "s1")]
    assert [(spare.backend_server, spare.memory_bytes) for spare in plan.spares] == [("s1", 10)]


def test_contingency_intents_share_spare_bytes_between_deaths():
    servers = [make_server("s0", 30, "m0"), make_server("s1", 30, "m1"), make_server("s2", 30)]
    plan = plan_contingency((make_model("m0"), make_model("m1")), tuple(servers))
    total = sum(spare.memory_bytes for spare in plan.spares)
    assert len(plan.intents) == 2
    assert total <= 20


@st.composite
def draw_floors(draw) -> Cluster:
    sizes = draw(st.lists(st.integers(1, 9), min_size=1, max_size=10))
    models = [make_model(f"m{n}", size) for n, size in enumerate(sizes)]
    cluster = Cluster.from_views(
        [
            make_server(f"s{n}", draw(st.integers(5, 25)), centre="abc"[n % 3])
            for n in range(draw(st.integers(1, 6)))
        ],
        models,
    )
    for name in cluster.servers:
        for model in draw(st.lists(st.sampled_from(models), unique=True, max_size=4)):
            view = cluster.servers[name]
            if view.free_bytes >= model.memory_bytes:
                resident = make_resident_of(model)
                cluster.replace(view, (*view.resident, resident))
    return cluster


def make_resident_of(model):
    return attrs.evolve(
        make_server("x", 1, model.name).resident[0], memory_bytes=model.memory_bytes
    )


@pytest.mark.parametrize(
    ("memory", "sizes"), [((7, 17), (3, 2, 4, 6, 9)), ((13, 12), (7, 6, 6, 6))]
)
def test_copy_that_a_packing_evicts_makes_room_once(memory, sizes):
    """Counted for two models, its memory hid that another packing placed all of them."""
    models = [make_model(f"m{number}", size) for number, size in enumerate(sizes)]
    servers = [make_server(f"s{number}", size) for number, size in enumerate(memory)]
    cluster = Cluster.from_views(servers, models)
    for view in servers:
        cluster.replace(view, (make_resident_of(models[0]),))
    cluster.run(6)
    assert cluster.list_ready() == {model.name for model in models}


def fits_first_fit_decreasing(cluster: Cluster) -> bool:
    """Return whether models without a copy fit if each other model keeps only one copy."""
    free = {name: view.info.memory_bytes for name, view in sorted(cluster.servers.items())}
    placed = set()
    for name, view in sorted(cluster.servers.items()):
        for each in view.resident:
            if each.name not in placed:
                placed.add(each.name)
                free[name] -= each.memory_bytes
    missing = [model for model in cluster.models if model.name not in placed]
    for model in sorted(missing, key=lambda each: (-each.memory_bytes, each.name)):
        fitting = [name for name in free if free[name] >= model.memory_bytes]
        if not fitting:
            return False
        free[fitting[0]] -= model.memory_bytes
    return True


@settings(max_examples=300, derandomize=True, deadline=None)
@given(draw_floors(), st.lists(st.floats(0.0, 20.0), min_size=10, max_size=10))
def test_plans_keep_invariants_and_reach_what_first_fit_decreasing_reaches(cluster, rates):
    has_room = fits_first_fit_decreasing(cluster)
    demand = make_demand(**{f"m{n}": rate for n, rate in enumerate(rates)})
    cluster.run(12, demand)
    if has_room:
        assert cluster.list_ready() == {model.name for model in cluster.models}


@settings(max_examples=200, derandomize=True, deadline=None)
@given(draw_floors(), st.integers(0, 2**32), st.sampled_from(["1", "2"]), st.booleans())
def test_lost_and_late_moves_break_nothing(cluster, seed, version, leaving):
    rng = Random(seed)
    cluster.models = (attrs.evolve(cluster.models[0], version=version), *cluster.models[1:])
    cluster.adapters = tuple(Adapter(f"a{n}", f"m{n % 2}", "1", n % 2) for n in range(3))
    if leaving:
        cluster.servers["s0"] = attrs.evolve(cluster.servers["s0"], standing=Standing.LEAVING)
    for n in range(25):
        cluster.step_partly(rng, make_demand(m0=rng.random() * n, m1=rng.random()))


@settings(max_examples=600, derandomize=True, deadline=None)
@given(draw_floors(), st.integers(0, 2**32))
def test_instances_with_stale_views_keep_each_last_copy(cluster, seed):
    rng = Random(seed)
    names = sorted(cluster.servers)
    owned = (frozenset(names[::2]), frozenset(names[1::2]))
    views = (dict(cluster.servers), dict(cluster.servers))
    for _ in range(20):
        for mine, seen in zip(owned, views, strict=True):
            seen.update({name: cluster.servers[name] for name in names if rng.random() < 0.15})
            seen.update({name: cluster.servers[name] for name in mine})
            instance = attrs.evolve(cluster, servers=dict(seen), records=[])
            rates = {f"m{n}": rng.choice((0.1, 30.0)) for n in range(4)}
            instance.now += rng.choice((0.0, 100.0))
            for move in select_owned(instance.plan(make_demand(**rates)), mine):
                relied = move.relies_on if move.relies_on not in mine else ""
                if cluster.has_seen(relied, seen) and cluster.fits(move):
                    cluster.start((move,))
        cluster.settle(tuple(move for move in cluster.pending if rng.random() < 0.5))
