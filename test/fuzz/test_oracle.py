"""Tests of the oracle's check that the last copy of a model is not unloaded."""

from types import SimpleNamespace

import pytest

from rhubarbshed.protocol.catalogue import CatalogueObject, Model, get_key
from rhubarbshed.protocol.orders import Order, OrderKind
from rhubarbshed.protocol.tables import Transaction, Write
from rhubarbshed.state.agreement.catalogue import encode_object, make_object_key
from rhubarbshed.state.placement.ledger import Entry, EntryKey, EntryState, Ledger, encode_ledger
from test.fuzz.environment import Environment, Server
from test.fuzz.oracle import Oracle
from test.fuzz.virtual import Timer
from test.helper_agreed import make_server

MODEL = Model("c", "1", 30)
KEY = EntryKey("c", "1")


@pytest.fixture
def oracle():
    server = Server.from_info(make_server("b1"))
    environment = Environment(Timer(), None, {"b1": server})
    return Oracle.from_cluster(SimpleNamespace(environment=environment, timer=environment.timer))


def write(oracle, key, value):
    oracle.cluster.timer.now += 1.0
    oracle.cluster.environment.table.apply(Transaction((), (Write(key, value),)))


def put(oracle, ticket, body):
    key = get_key(MODEL)
    write(oracle, make_object_key(key), encode_object(CatalogueObject(key, ticket, body)))


def run(oracle, kind, order_id):
    oracle.cluster.timer.now += 1.0
    environment = oracle.cluster.environment
    environment.run_order(environment.servers["b1"], Order(order_id, kind, 1, "c", "1", 30))


def agree_unload(oracle):
    entry = Entry(KEY, 30, EntryState.UNLOADING, "load", 1, unload_id="unload")
    write(oracle, "backend/b1", encode_ledger(Ledger("b1", entries=(entry,))))


def list_points(oracle):
    return [fault.point for fault in oracle.faults]


def test_unload_agreed_while_the_model_was_deleted_may_arrive_after_its_creation(oracle):
    run(oracle, OrderKind.LOAD, "load")
    put(oracle, 2, None)
    agree_unload(oracle)
    put(oracle, 3, MODEL)
    run(oracle, OrderKind.UNLOAD, "unload")
    assert list_points(oracle) == []


def test_unload_agreed_after_the_model_was_created_again_is_a_fault(oracle):
    run(oracle, OrderKind.LOAD, "load")
    put(oracle, 2, None)
    put(oracle, 3, MODEL)
    agree_unload(oracle)
    run(oracle, OrderKind.UNLOAD, "unload")
    assert list_points(oracle) == [2]


def test_unload_that_no_row_names_is_a_fault(oracle):
    put(oracle, 3, MODEL)
    run(oracle, OrderKind.LOAD, "load")
    run(oracle, OrderKind.UNLOAD, "unload")
    assert list_points(oracle) == [2]


@pytest.mark.parametrize("crashes", [True, False])
def test_late_unload_of_a_deleted_model_must_not_take_a_copy_loaded_since(oracle, crashes):
    run(oracle, OrderKind.LOAD, "load")
    put(oracle, 2, None)
    agree_unload(oracle)
    put(oracle, 3, MODEL)
    if crashes:
        oracle.cluster.environment.servers["b1"].crash()
    else:
        run(oracle, OrderKind.UNLOAD, "another")
        oracle.faults.clear()
    run(oracle, OrderKind.LOAD, "load again")
    run(oracle, OrderKind.UNLOAD, "unload")
    assert list_points(oracle) == [2]
