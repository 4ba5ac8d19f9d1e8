"""Plays of single situations on the cluster that the state machines use."""

import logging

import pytest

from rhubarbshed.state.placement.ledger import EntryState, decode_ledger
from test.fuzz.cluster import Cluster
from test.fuzz.machines import FIRST_TICKET
from test.fuzz.outside import Rates

START_S = 4.0
FIRST_LOADS_S = 10.0
TAKEOVER_S = 40.0
CRASH_SEEN_S = 1.5
RELOAD_S = 60.0


@pytest.fixture
def cluster():
    logging.disable(logging.CRITICAL)
    made = Cluster.from_seed(1)
    made.run(START_S)
    made.send_ticket(made.nodes["i1"], FIRST_TICKET)
    made.run(FIRST_LOADS_S)
    yield made
    made.close()
    logging.disable(logging.NOTSET)


def read_ledger(cluster, name):
    return decode_ledger(name, cluster.outside.table.rows[f"backend/{name}"].value).unwrap()


def test_owner_finishes_its_loads_after_another_instance_has_become_the_reader(cluster):
    name = next(n for n in ("b1", "b2") if len(read_ledger(cluster, n).entries) > 1)
    preferred = read_ledger(cluster, name).owner.instance
    cluster.end(cluster.nodes[preferred])
    cluster.run(TAKEOVER_S)
    assert read_ledger(cluster, name).owner.instance not in ("", preferred)
    cluster.outside.rates = Rates(order=1.0)
    cluster.outside.servers[name].crash()
    cluster.run(CRASH_SEEN_S)
    cluster.start(preferred)
    cluster.run(START_S)
    cluster.outside.rates = Rates()
    cluster.run(RELOAD_S)
    ledger = read_ledger(cluster, name)
    assert ledger.entries
    assert all(entry.state is EntryState.RESIDENT for entry in ledger.entries)
