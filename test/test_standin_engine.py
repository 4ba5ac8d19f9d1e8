"""Tests of the engine stand-in."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from rhubarbshed.protocol.codec import from_plain
from rhubarbshed.protocol.orders import EngineReport
from rhubarbshed.util.prefixes import BLOCK_WORDS, hash_prefixes
from standin.tokens import expected_answer, expected_embedding, expected_token
from test.helper_standins import (
    call,
    give_order,
    load_model,
    read_counters,
    read_tokens,
    set_fault,
)
from tools.processes import start_standin, wait_until

OPTIONS = ("--load-s", "0.05", "--report-lag-s", "0", "--event-loss", "0", "--restart-s", "0.3")


def start(*options):
    process = start_standin("engine", "--memory-bytes", "100", *OPTIONS, *options)
    yield process
    assert process.stop() == 0


@pytest.fixture
def engine():
    yield from start("--token-gap-ms", "2")


@pytest.fixture
def narrow():
    yield from start("--token-gap-ms", "5", "--slots", "1")


@pytest.fixture
def heedless():
    yield from start("--ignores-fencing")


def ask(engine, prompt="a b", tokens=4, stream=True, model="m", **headers):
    plain = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream}
    return call(engine, "POST", "/v1/completions", plain, **headers)


def read_report(engine):
    plain = call(engine, "GET", "/control/report?sequence=0").json()
    return from_plain(plain, EngineReport).unwrap()


def join(events):
    return "".join(event["choices"][0]["delta"]["content"] for event in events)


def test_stream_is_whole_and_carries_its_id(engine):
    load_model(engine)
    answer = ask(engine, x_request_id="r1")
    events = read_tokens(answer)
    assert answer.headers["X-Request-Id"] == "r1"
    assert {event["id"] for event in events} == {"r1"}
    assert [event["offset"] for event in events] == [0, 1, 2, 3]
    assert join(events) == expected_answer("m", "a b", 4)
    assert events[-1]["choices"][0]["finish_reason"] == "length"
    assert read_counters(engine)["runs"] == {"r1": 1}


def test_whole_answer_and_embeddings(engine):
    load_model(engine)
    messages = [{"role": "user", "content": "a b"}, {"role": "user", "content": "c"}]
    plain = {"model": "m", "messages": messages}
    answer = call(engine, "POST", "/v1/chat/completions", plain).json()
    assert answer["choices"][0]["message"]["content"] == expected_answer("m", "a b\nc", 16)
    assert answer["usage"] == {"prompt_tokens": 3, "completion_tokens": 16}
    answer = call(engine, "POST", "/v1/embeddings", {"model": "m", "input": ["x"]}).json()
    assert answer["data"][0]["embedding"] == expected_embedding("m", "x")


def test_resume_goes_on_at_the_offset(engine):
    load_model(engine)
    events = read_tokens(ask(engine, tokens=5, x_resume_offset="3"))
    assert [event["offset"] for event in events] == [3, 4]
    assert join(events) == expected_token("m", "a b", 3) + expected_token("m", "a b", 4)
    events = read_tokens(ask(engine, tokens=5, x_resume_offset="5"))
    assert join(events) == ""
    assert events[0]["choices"][0]["finish_reason"] == "length"


def test_answer_lost_after_some_bytes_is_cut_without_an_end(engine):
    load_model(engine)
    set_fault(engine, "lose_answers", count=1, path="/v1", after_bytes=400)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        ask(engine)
    assert join(read_tokens(ask(engine))) == expected_answer("m", "a b", 4)


def test_model_that_is_not_resident_is_refused(engine):
    assert ask(engine).status == 404
    load_model(engine)
    plain = {"model": "m", "adapter": "a", "prompt": "x"}
    assert call(engine, "POST", "/v1/completions", plain).status == 404
    assert read_counters(engine)["runs"] == {}


def test_adapter_needs_its_model_and_changes_the_answer(engine):
    adapter = {"name": "a", "version": "1", "memory_bytes": 1, "model": "m"}
    assert give_order(engine, "1", "load_adapter", **adapter).status == 422
    load_model(engine)
    assert give_order(engine, "2", "load_adapter", **adapter).status == 200
    plain = {"model": "m", "adapter": "a", "prompt": "x", "max_tokens": 1}
    answer = call(engine, "POST", "/v1/completions", plain).json()
    assert answer["choices"][0]["text"] == expected_answer("m+a", "x", 1)
    assert give_order(engine, "3", "unload", name="m").status == 200
    assert read_report(engine).resident == ()


def test_fencing_is_checked_or_ignored(engine, heedless):
    assert give_order(engine, "1", "raise_token", 7).status == 200
    answer = load_model(engine, token=6)
    assert answer.status == 409
    assert answer.json() == {"error": "stale_fencing_token", "fencing_token": 7}
    assert read_report(engine).memory_bytes_used == 0
    give_order(heedless, "1", "raise_token", 7)
    assert load_model(heedless, token=6).status == 200


def test_repeated_order_and_repeated_load_take_memory_once(engine):
    assert [load_model(engine).status for _ in range(2)] == [200, 200]
    again = give_order(engine, "x", "load", name="m", version="1", memory_bytes=40)
    assert again.status == 200
    counters = read_counters(engine)
    assert (counters["loads"], counters["memory_bytes_peak"]) == (1, 40)
    assert "overcommitted" not in counters


def test_overcommitted_memory_is_counted(engine):
    load_model(engine, "m1", 60)
    load_model(engine, "m2", 60)
    counters = read_counters(engine)
    assert (counters["memory_bytes_peak"], counters["overcommitted"]) == (120, 1)


def test_unload_lets_sequences_finish_and_holds_memory_until_then(engine):
    load_model(engine)
    with ThreadPoolExecutor(2) as pool:
        stream = pool.submit(ask, engine, tokens=150)
        assert wait_until(lambda: read_report(engine).running == 1, 5)
        unload = pool.submit(give_order, engine, "u", "unload", name="m", version="1")
        assert wait_until(lambda: ask(engine).status == 404, 5)
        assert read_report(engine).memory_bytes_used == 40
        assert join(read_tokens(stream.result())) == expected_answer("m", "a b", 150)
        assert unload.result().status == 200
    assert read_report(engine).memory_bytes_used == 0


def test_late_order_takes_effect_after_its_connection_is_cut(engine):
    set_fault(engine, "late_orders", delay_s=0.2)
    with pytest.raises(urllib3.exceptions.HTTPError):
        load_model(engine)
    assert read_report(engine).resident == ()
    assert wait_until(lambda: len(read_report(engine).resident) == 1, 5)


def test_priority_goes_before_arrival(narrow):
    load_model(narrow)
    ended = []

    def run(name, priority, tokens):
        read_tokens(ask(narrow, prompt=name, tokens=tokens, x_priority=priority))
        ended.append(name)

    with ThreadPoolExecutor(3) as pool:
        pool.submit(run, "first", "1", 60)
        assert wait_until(lambda: read_report(narrow).running == 1, 5)
        pool.submit(run, "batch", "2", 20)
        assert wait_until(lambda: read_report(narrow).waiting == 1, 5)
        pool.submit(run, "interactive", "0", 20)
        assert wait_until(lambda: read_report(narrow).waiting == 2, 5)
    assert ended == ["first", "interactive", "batch"]


def test_cancel_and_a_cut_connection_free_the_slot(narrow):
    load_model(narrow)
    with ThreadPoolExecutor(1) as pool:
        stream = pool.submit(ask, narrow, tokens=2000, x_request_id="r1")
        assert wait_until(lambda: read_report(narrow).running == 1, 5)
        call(narrow, "POST", "/control/cancel", {"request_id": "r1"})
        events = read_tokens(stream.result())
    assert events[-1]["choices"][0]["finish_reason"] == "cancelled"
    with urllib3.PoolManager(timeout=0.3) as http:
        plain = {"model": "m", "prompt": "x", "max_tokens": 2000}
        with pytest.raises(urllib3.exceptions.HTTPError):
            http.request("POST", narrow.url + "/v1/completions", json=plain, retries=False)
    assert wait_until(lambda: read_report(narrow).running == 0, 1)


def test_prefix_cache_shortens_prefill_and_tells_of_it(engine):
    load_model(engine)
    words = [f"w{index}" for index in range(3 * BLOCK_WORDS)]
    for _ in range(2):
        ask(engine, prompt=" ".join(words), tokens=1)
    counters = read_counters(engine)
    assert counters["prompt_tokens_cached"] == 3 * BLOCK_WORDS
    events = read_report(engine).cache_events
    assert tuple(event.prefix for event in events) == hash_prefixes("m", words)


def test_kv_moves_between_engines(engine, narrow):
    load_model(engine)
    words = [f"w{index}" for index in range(BLOCK_WORDS)]
    prefix = hash_prefixes("m", words)[0]
    assert call(engine, "POST", "/control/kv/export", {"prefix": prefix}).status == 404
    ask(engine, prompt=" ".join(words), tokens=1)
    data = call(engine, "POST", "/control/kv/export", {"prefix": prefix}).data
    with urllib3.PoolManager() as http:
        url = f"{narrow.url}/control/kv/import?prefix={prefix}"
        assert http.request("POST", url, body=data).status == 200
    assert read_report(narrow).cache_events[0].prefix == prefix


def test_crash_cuts_empties_and_comes_back_as_another(engine):
    load_model(engine)
    boot_id = read_report(engine).boot_id
    set_fault(engine, "crash_on", text="poison")
    with ThreadPoolExecutor(1) as pool:
        stream = pool.submit(ask, engine, tokens=2000)
        assert wait_until(lambda: read_report(engine).running == 1, 5)
        with pytest.raises(urllib3.exceptions.HTTPError):
            ask(engine, prompt="some poison")
        with pytest.raises(urllib3.exceptions.HTTPError):
            stream.result()
    with pytest.raises(urllib3.exceptions.HTTPError):
        read_report(engine)
    time.sleep(0.4)
    report = read_report(engine)
    assert report.resident == () and report.boot_id != boot_id
    assert read_counters(engine)["crashes"] == 1


def test_report_lags():
    process = start_standin("engine", "--load-s", "0", "--report-lag-s", "0.3")
    try:
        load_model(process)
        assert read_report(process).resident == ()
        assert wait_until(lambda: len(read_report(process).resident) == 1, 5)
        assert read_report(process).age_s >= 0.3
    finally:
        process.stop()
