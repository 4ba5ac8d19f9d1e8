"""Tests of the stand-ins of the platform: table, objects, list and weight store."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from rhubarbshed.protocol.codec import from_plain
from rhubarbshed.protocol.members import PlatformList
from rhubarbshed.protocol.tables import Scan
from test.helper_standins import call, read_counters, set_fault
from tools.processes import start_standin, wait_until


def start(name, *options):
    process = start_standin(name, *options)
    yield process
    assert process.stop() == 0


@pytest.fixture
def table():
    yield from start("table")


@pytest.fixture
def listing():
    yield from start("platform", "--lag-s", "0.3")


@pytest.fixture
def weights():
    yield from start("weights", "--loads-per-s", "20", "--loads-at-once", "4")


@pytest.fixture
def objects():
    yield from start("objects")


def commit(table, key, value, version=None):
    checks = [] if version is None else [{"key": key, "version": version}]
    plain = {"checks": checks, "writes": [{"key": key, "value": value}]}
    return call(table, "POST", "/commit", plain)


def read(table, key):
    return call(table, "POST", "/read", {"keys": [key]}).json()["rows"][0]


def test_versions_rise_over_a_deletion(table):
    assert read(table, "a")["version"] == 0
    assert commit(table, "a", {"x": 1}, 0).json() == {"revision": 1}
    assert commit(table, "a", None, 1).status == 200
    assert commit(table, "a", {"x": 3}, 2).status == 200
    assert read(table, "a") == {"key": "a", "version": 3, "value": {"x": 3}, "revision": 3}


def test_conflict_writes_nothing_and_shows_current_rows(table):
    commit(table, "a", {"x": 1})
    plain = {
        "checks": [{"key": "a", "version": 0}, {"key": "b", "version": 0}],
        "writes": [{"key": "b", "value": {}}],
    }
    answer = call(table, "POST", "/commit", plain)
    assert answer.status == 409
    assert [row["key"] for row in answer.json()["rows"]] == ["a"]
    assert read(table, "b")["version"] == 0


def test_racing_commits_have_one_winner(table):
    with ThreadPoolExecutor(8) as pool:
        answers = list(pool.map(lambda i: commit(table, "a", {"i": i}, 0).status, range(8)))
    assert sorted(answers) == [200] + [409] * 7


def test_scan_shows_changes_and_deletions_after_a_revision(table):
    commit(table, "a/1", {})
    commit(table, "a/2", {})
    commit(table, "b/1", {})
    commit(table, "a/1", None)
    plain = call(table, "POST", "/scan", {"prefix": "a/", "revision": 1}).json()
    scan = from_plain(plain, Scan).unwrap()
    assert {row.key: row.value for row in scan.rows} == {"a/2": {}, "a/1": None}
    assert scan.revision == 4


def test_lost_answer_has_taken_effect(table):
    set_fault(table, "lose_answers", count=1)
    with pytest.raises(urllib3.exceptions.HTTPError):
        commit(table, "a", {"x": 1})
    assert read(table, "a")["value"] == {"x": 1}


def test_late_commit_takes_effect_after_its_connection_is_cut(table):
    set_fault(table, "late_orders", delay_s=0.3)
    with pytest.raises(urllib3.exceptions.HTTPError):
        commit(table, "a", {"x": 1})
    assert read(table, "a")["version"] == 0
    assert wait_until(lambda: read(table, "a")["version"] == 1, 5)


def test_down_takes_no_effect_until_cleared(table):
    set_fault(table, "down")
    assert commit(table, "a", {}).status == 503
    assert call(table, "DELETE", "/fault").status == 200
    assert read(table, "a")["version"] == 0


def test_partition_cuts_off_one_instance_only(table):
    set_fault(table, "refuse_source", instance="i1")
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(table, "POST", "/read", {"keys": []}, x_instance="i1")
    assert call(table, "POST", "/read", {"keys": []}, x_instance="i2").status == 200


def test_silent_connection_carries_nothing_while_new_ones_work(table):
    with urllib3.PoolManager(retries=False, timeout=0.3) as http:
        url = table.url + "/read"
        assert http.request("POST", url, json={"keys": []}).status == 200
        set_fault(table, "silent")
        with pytest.raises(urllib3.exceptions.TimeoutError):
            http.request("POST", url, json={"keys": []})
        assert http.request("POST", url, json={"keys": []}).status == 200


def test_rate_limit_refuses_writes_without_effect():
    process = start_standin("table", "--writes-per-s", "1")
    try:
        statuses = [commit(process, "a", {}).status for _ in range(10)]
        done = statuses.count(200)
        assert 503 in statuses
        assert read_counters(process)["writes"] == done == read(process, "a")["version"]
    finally:
        process.stop()


def test_bad_input_is_refused(table):
    assert call(table, "POST", "/commit", {"checks": []}).status == 400
    assert read_counters(table).get("writes", 0) == 0


def test_objects_are_kept_as_given(objects):
    with urllib3.PoolManager() as http:
        url = objects.url + "/objects/a/b"
        assert http.request("GET", url).status == 404
        assert http.request("PUT", url, body=b"\x00\xff").status == 200
        assert http.request("GET", url).data == b"\x00\xff"


def test_list_lags(listing):
    info = {
        "name": "i1",
        "data_centre": "dc-1",
        "region": "r",
        "host": "127.0.0.1",
        "caller_port": 1,
        "operator_port": 2,
        "peer_port": 3,
    }
    call(listing, "POST", "/instances", {"info": info, "leaving": True})

    def fetch():
        return from_plain(call(listing, "GET", "/list").json(), PlatformList).unwrap().instances

    assert fetch() == ()
    assert wait_until(lambda: len(fetch()) == 1, 5)
    assert fetch()[0].leaving
    call(listing, "DELETE", "/instances/i1")
    assert len(fetch()) == 1
    assert wait_until(lambda: fetch() == (), 5)


def test_weight_store_slows_in_proportion(weights):
    def load(index):
        return call(weights, "GET", f"/weights/m{index}?bytes=1").status

    begun = time.monotonic()
    with ThreadPoolExecutor(8) as pool:
        assert list(pool.map(load, range(8))) == [200] * 8
    assert time.monotonic() - begun >= 8 / 20
    assert read_counters(weights)["loads_at_once_peak"] == 8
