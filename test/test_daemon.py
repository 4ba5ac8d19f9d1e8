"""Tests of one daemon as a process: start, answers to invalid input, and shutdown."""

import json
import signal
import socket
import time

import pytest

from rhubarbshed.transport.exit_codes import EXIT_BAD_SETTINGS, EXIT_CUT_OFF, EXIT_START_FAILED
from test.helper_processes import (
    CHAT_PATH,
    Task,
    apply_ticket,
    chat,
    is_own_answer,
    make_ticket,
    run_fleet,
    send,
    send_raw,
    wait_for_open,
)
from tools.fleet import ENVIRONMENT, Instance, ask
from tools.processes import find_free_ports, start_instance, wait_until

GOOD = {"model": "m1", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 2}
SMALL_BODY = "[callers]\nbody_bytes_max = 4096\nheader_bytes_max = 2048\n"
STOP_BOUND_S = 5.0


@pytest.fixture(scope="module")
def fleet():
    with run_fleet(SMALL_BODY) as running:
        running.add_engine("engine-1", "dc-1")
        running.add_service("records-1", "dc-1")
        running.add_instance("a", "dc-1")
        apply_ticket(running, "a", make_ticket(1))
        yield running


def post(fleet, plain, **headers):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    body = plain if isinstance(plain, bytes) else json.dumps(plain).encode()
    return send(fleet.instances["a"], "POST", CHAT_PATH, body, named)


def test_serves_whole_and_streamed(fleet):
    a = fleet.instances["a"]
    assert is_own_answer(chat(a, "one two", tokens=5), "one two", 5)
    answer = chat(a, "three", tokens=3, stream=False, x_request_id="mine")
    assert answer.status == 200
    assert answer.headers["x-request-id"] == "mine"


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"model": 5}, "model"),
        ({"model": ""}, "model"),
        ({"adapter": 1}, "adapter"),
        ({"stream": "yes"}, "stream"),
        ({"max_tokens": -1}, "max_tokens"),
        ({"max_tokens": 10**30}, "max_tokens"),
        ({"max_tokens": True}, "max_tokens"),
        ({"max_tokens": 1e400}, "max_tokens"),
        ({"messages": []}, "messages"),
        ({"messages": [{"role": "user"}]}, "messages"),
        ({"messages": [{"role": "user", "content": "\ud800"}]}, "messages"),
        ({"model": "\udfff"}, "model"),
        ({"adapter": "\ud800"}, "adapter"),
        ({"messages": [{"role": "user", "content": "\ud800 " * 40}]}, "messages"),
    ],
)
def test_names_the_bad_field(fleet, change, field):
    answer = post(fleet, GOOD | change)
    assert (answer.status, answer.code) == (400, "bad_request")
    assert answer.plain["error"]["field"] == field
    assert answer.outcome == "not_run"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[1]",
        b"\xff\xfe",
        b"[" * 4000,
        b'{"a":' * 800,
        b'{"model": "m1", "max_tokens": ' + b"9" * 4000 + b"}",
    ],
)
def test_refuses_what_is_not_a_json_object(fleet, body):
    answer = post(fleet, body)
    assert (answer.status, answer.code) == (400, "bad_request")


@pytest.mark.parametrize("seconds", ["-1", "0", "nan", "inf", "-inf", "soon", "1e999"])
def test_refuses_bad_deadlines(fleet, seconds):
    answer = post(fleet, GOOD, x_deadline_seconds=seconds)
    assert (answer.status, answer.code) == (400, "bad_request")
    assert answer.plain["error"]["field"] == "X-Deadline-Seconds"


def test_takes_a_huge_deadline(fleet):
    assert post(fleet, GOOD, x_deadline_seconds="1e300").status == 200


def test_refuses_bad_priority_and_long_headers(fleet):
    for priority in ("-1", "9" * 200, "x", "1.5"):
        assert post(fleet, GOOD, x_priority=priority).plain["error"]["field"] == "X-Priority"
    answer = post(fleet, GOOD, idempotency_key="k" * 300)
    assert answer.plain["error"]["field"] == "Idempotency-Key"


def test_answers_unknown_models_and_paths(fleet):
    answer = post(fleet, GOOD | {"model": "unheard-of"})
    assert answer.status == 404
    assert answer.outcome == "not_run"
    a = fleet.instances["a"]
    assert send(a, "GET", "/nothing").code == "no_such_path"
    assert send(a, "GET", CHAT_PATH).code == "bad_method"
    assert send(a, "POST", "/services/unheard-of/x", b"").status == 404


def test_bounds_bodies(fleet):
    large = GOOD | {"messages": [{"role": "user", "content": "x" * 5000}]}
    answer = post(fleet, large)
    assert (answer.status, answer.code) == (413, "too_large")
    head = "POST {} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\nConnection: close\r\n\r\n"
    for length in ("99999999999999999999999", "-5", "x", "1e3"):
        raw = send_raw(fleet.instances["a"], head.format(CHAT_PATH, length).encode())
        assert raw.split(b" ")[1] in (b"400", b"413"), raw


def test_takes_and_bounds_chunked_bodies(fleet):
    a = fleet.instances["a"]
    head = (
        f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        "Connection: close\r\n\r\n"
    ).encode()
    data = json.dumps(GOOD).encode()
    pieces = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in (data[:10], data[10:]))
    assert send_raw(a, head + pieces + b"0\r\n\r\n").startswith(b"HTTP/1.1 200")
    large = b"%x\r\n%b\r\n" % (5000, b"x" * 5000)
    assert send_raw(a, head + large + b"0\r\n\r\n").startswith(b"HTTP/1.1 413")
    assert send_raw(a, head + b"zz\r\nabc").startswith(b"HTTP/1.1 400")


def test_the_rest_of_a_refused_chunked_body_is_no_request(fleet):
    head = f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    rest = b"GET /v1/models HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    raw = send_raw(fleet.instances["a"], head.encode() + b"zz\r\n" + rest)
    assert raw.count(b"HTTP/1.1 ") == 1, raw


def test_a_malformed_chunk_after_a_good_one_keeps_nothing(fleet):
    head = f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    raw = send_raw(fleet.instances["a"], head.encode() + b"2\r\n{}zz" + b"GET / HTTP/1.1\r\n\r\n")
    assert raw.startswith(b"HTTP/1.1 400") and raw.count(b"HTTP/1.1 ") == 1, raw


def test_bounds_headers(fleet):
    raw = send_raw(
        fleet.instances["a"],
        b"GET /health HTTP/1.1\r\nHost: a\r\nX-Long: " + b"x" * 8000 + b"\r\n\r\n",
    )
    assert raw.split(b" ")[1] in (b"413", b"431"), raw


def test_a_short_body_holds_no_place(fleet):
    a = fleet.instances["a"]
    head = f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n{{"
    with socket.create_connection(("127.0.0.1", a.process.port), 5.0) as stream:
        stream.sendall(head.encode())
    assert is_own_answer(chat(a, "after", tokens=2), "after", 2)


def test_admits_only_operators(fleet):
    url = fleet.instances["a"].operator_url
    for headers in ({}, {"Authorization": "Bearer wrong"}, {"Authorization": "Bearer é"}):
        status, plain = ask("GET", f"{url}/status", headers=headers)
        assert (status, plain["error"]["code"]) == (401, "unauthorised")
    assert ask("POST", f"{url}/tickets", make_ticket(9))[0] == 401


@pytest.mark.parametrize(
    "ticket",
    [
        "x",
        [],
        {},
        {"number": -1, "objects": []},
        {"number": 10**40, "objects": []},
        {"number": 7, "objects": [{"kind": "model", "name": "z"}]},
        {"number": 7, "note": "\ud800", "objects": make_ticket(7)["objects"]},
        {
            "number": 7,
            "objects": [{"kind": "model", "name": "z", "version": "1", "memory_bytes": -5}],
        },
        {
            "number": 7,
            "objects": [{"kind": "model", "name": "\ud800", "version": "1", "memory_bytes": 5}],
        },
    ],
)
def test_refuses_bad_tickets(fleet, ticket):
    status, plain = fleet.ask_operator("a", "POST", "/tickets", ticket)
    assert status in (400, 422), plain
    assert plain["error"]["message"]


def test_refuses_a_ticket_beyond_what_placement_may_fill(fleet):
    status, plain = fleet.ask_operator("a", "POST", "/tickets", make_ticket(8, gib=39))
    assert status in (409, 422), plain
    assert "of memory, the floor has" in plain["error"]["message"]
    assert fleet.ask_operator("a", "GET", "/tickets/8")[0] == 404


def test_settings_errors_exit_2_and_are_all_listed(tmp_path):
    text = "[instance]\ncaller_port = 0\n[leases]\nterm_s = x\n[nonsense]\na = 1\n"
    process = start_instance(text, "", ready_path="")
    assert process.popen.wait(10.0) == EXIT_BAD_SETTINGS
    assert "nonsense" in process.read_log()
    text = "[instance]\ncaller_port = 0\n[leases]\nterm_s = x\n"
    process = start_instance(text, "", ready_path="")
    assert process.popen.wait(10.0) == EXIT_BAD_SETTINGS
    log = process.read_log()
    assert "caller_port" in log and "term_s" in log
    assert "Traceback" not in log


@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_port_in_use_is_one_line(fleet, place):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        numbers = find_free_ports(2)
        numbers.insert(place, taken.getsockname()[1])
        text = fleet._make_settings("z", "dc-1", tuple(numbers)) + fleet.settings
        process = start_instance(text, "", ready_path="", environment=ENVIRONMENT)
        code = process.popen.wait(15.0)
    log = process.read_log()
    assert code == EXIT_START_FAILED, log
    assert "Traceback" not in log
    errors = [line for line in log.splitlines() if "event=start_failed" in line]
    assert len(errors) == 1 and str(numbers[place]) in errors[0]


def test_sigterm_exits_0(fleet):
    b = fleet.add_instance("b", "dc-1")
    started = time.monotonic()
    b.process.ask()
    assert b.process.popen.wait(STOP_BOUND_S) == 0
    assert time.monotonic() - started < STOP_BOUND_S
    assert "cut_off=0" in b.process.read_log()


def test_a_second_signal_stops_at_once_and_says_what_it_cut(fleet):
    c = fleet.add_instance("c", "dc-1")
    # It refuses requests until its peers have said which server holds the model.
    assert wait_until(lambda: is_own_answer(chat(c, "short", tokens=1), "short", 1), 10.0)
    stream = Task.start(chat, c, "long", tokens=600)
    wait_for_open(fleet, "c", 1)
    time.sleep(0.3)
    c.process.popen.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    c.process.popen.send_signal(signal.SIGINT)
    assert c.process.popen.wait(STOP_BOUND_S) == EXIT_CUT_OFF
    assert "cut_off=1" in c.process.read_log()
    assert not is_own_answer(stream.wait(), "long", 600)


def test_request_before_the_catalogue_is_read_is_not_denied(fleet):
    """It was answered 404, as if no operator had created its model."""
    stores = [fleet.table, fleet.objects, fleet.platform]
    ports = tuple(find_free_ports(3))
    text = fleet._make_settings("new", "dc-1", ports) + fleet.settings
    url = f"http://127.0.0.1:{ports[0]}"
    try:
        for store in stores:
            store.popen.send_signal(signal.SIGSTOP)
        process = start_instance(text, url, "/health", ENVIRONMENT)
        answer = chat(Instance("new", "dc-1", process, ports), "hello")
        assert (answer.status, answer.code) == (503, "catalogue_unknown"), answer
        assert answer.outcome == "not_run"
    finally:
        for store in stores:
            store.popen.send_signal(signal.SIGCONT)
    assert process.stop() == 0
