"""Helper functions for tests that run the daemon and stand-ins as separate processes."""

import contextlib
import functools
import http.client
import json
import socket
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from attrs import define, field

from standin.tokens import expected_answer
from test.helper_standins import read_counters
from tools.fleet import GIB, Fleet, Instance
from tools.processes import wait_until

RESIDENT_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 30.0
LOG_CHARACTERS = 20_000
CHAT_PATH = "/v1/chat/completions"
FILINGS_PATH = "/services/records/filings"
# Short intervals, so that failures are detected and recovered from within seconds.
# The first lines belong to `[platform]`, the last section of the fleet's own settings.
SETTINGS = """
catalogue_poll_s = 0.5
list_poll_s = 0.3
backoff_longest_s = 1
[leases]
term_s = 3
renewal_s = 0.7
[peers]
heartbeat_s = 0.4
silence_s = 1.2
[placement]
interval_s = 0.5
[routing]
first_byte_timeout_s = 2
gap_timeout_s = 1
report_poll_s = 0.2
[shutdown]
announce_s = 0.5
drain_s = 15
"""


@define
class Answer:
    """Answer received by a caller; `whole` is whether it was received completely."""

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    whole: bool = False
    error: str = ""

    @property
    def plain(self) -> Any:
        """Return the body decoded from JSON."""
        return json.loads(self.body)

    @property
    def code(self) -> str:
        """Return the code of an error, or an empty string if the answer is no error."""
        return self._read_error().get("code", "")

    @property
    def outcome(self) -> str:
        """Return the outcome in an error, or an empty string if the answer is no error."""
        return self._read_error().get("outcome", "")

    @property
    def text(self) -> str:
        """Return the generated text of a stream."""
        events = [line[6:] for line in self.body.decode().splitlines() if line.startswith("data:")]
        choices = [json.loads(event)["choices"][0] for event in events if event[0] == "{"]
        return "".join(choice["delta"]["content"] for choice in choices)

    @property
    def is_done(self) -> bool:
        """Return whether a stream was received up to its end mark."""
        return self.whole and self.body.rstrip().endswith(b"data: [DONE]")

    def _read_error(self) -> dict[str, Any]:
        try:
            plain = json.loads(self.body)
        except ValueError:
            return {}
        error = plain.get("error") if isinstance(plain, dict) else None
        return error if isinstance(error, dict) else {}


@define
class Task:
    """Call that runs on a separate thread."""

    thread: threading.Thread
    results: list[Any]

    @classmethod
    def start(cls, call: Callable[..., Any], *args: Any, **named: Any) -> "Task":
        """Start a thread that makes a call."""
        results: list[Any] = []

        def run() -> None:
            results.append(call(*args, **named))

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return cls(thread, results)

    def wait(self, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Wait for the call and return its result; fail after a timeout."""
        self.thread.join(timeout_s)
        assert self.results, "the call did not end in time"
        return self.results[0]


@contextlib.contextmanager
def run_fleet(settings: str = "") -> Iterator[Fleet]:
    """Start the platform's stand-ins; finally print logs, which pytest shows on failure."""
    fleet = Fleet.from_options(SETTINGS + settings, list_lag_s=0.1)
    try:
        yield fleet
    finally:
        for instance in fleet.instances.values():
            print(f"log of {instance.name}:\n{instance.process.read_log()[-LOG_CHARACTERS:]}")
            instance.process.kill()
        fleet.instances.clear()
        fleet.stop()


def start_together(*calls: Callable[[], Any]) -> list[Any]:
    """Make calls on separate threads and wait for all of them."""
    with ThreadPoolExecutor(len(calls)) as pool:
        return [each.result() for each in [pool.submit(call) for call in calls]]


def add_instances(fleet: Fleet, data_centres: dict[str, str], extra: str = "") -> None:
    """Start the instances that are not running, each in its data centre, and wait until ready."""
    ended = [n for n in data_centres if n not in fleet.instances or is_ended(fleet.instances[n])]
    if ended:
        start_together(
            *(functools.partial(fleet.add_instance, n, data_centres[n], extra) for n in ended)
        )


def is_ended(instance: Instance) -> bool:
    """Return whether an instance's process has ended."""
    return instance.process.popen.poll() is not None


def send(
    instance: Instance,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer:
    """Send one request on a new connection, without retries."""
    answer = Answer()
    connection = http.client.HTTPConnection("127.0.0.1", instance.process.port, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        answer.status = response.status
        answer.headers = {name.lower(): value for name, value in response.getheaders()}
        while data := response.read1(65536):
            answer.body += data
        answer.whole = True
    except (OSError, http.client.HTTPException) as error:
        answer.error = repr(error)
    finally:
        connection.close()
    return answer


def send_raw(instance: Instance, data: bytes, timeout_s: float = 5.0) -> bytes:
    """Send raw bytes and return all that is received."""
    received = b""
    with socket.create_connection(("127.0.0.1", instance.process.port), timeout_s) as stream:
        with contextlib.suppress(OSError):
            stream.sendall(data)
            while piece := stream.recv(65536):
                received += piece
    return received


def chat(
    instance: Instance,
    prompt: str,
    model: str = "m1",
    tokens: int = 8,
    stream: bool = True,
    timeout_s: float = CALL_TIMEOUT_S,
    **headers: str,
) -> Answer:
    """Send a chat request; `x_caller="c"` sends that header."""
    plain = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    body = json.dumps(plain).encode()
    return send(instance, "POST", CHAT_PATH, body, named, timeout_s)


def is_own_answer(answer: Answer, prompt: str, tokens: int, model: str = "m1") -> bool:
    """Return whether a stream is complete and answers this prompt."""
    return (
        answer.status == 200
        and answer.is_done
        and answer.text == expected_answer(model, prompt, tokens)
    )


def file_once(instance: Instance, key: str, timeout_s: float = CALL_TIMEOUT_S) -> Answer:
    """Send a non-idempotent filing with an idempotency key."""
    headers = {"Idempotency-Key": key, "X-Caller": "brewery", "Content-Type": "application/json"}
    return send(instance, "POST", FILINGS_PATH, b'{"litres": 12}', headers, timeout_s)


def make_ticket(number: int, models: int = 1, version: str = "1", gib: int = 8) -> dict[str, Any]:
    """Return a ticket of models `m1`, `m2`... and the service `records`."""
    objects = [
        {"kind": "model", "name": f"m{index}", "version": version, "memory_bytes": gib * GIB}
        for index in range(1, models + 1)
    ]
    service = {"kind": "service", "name": "records", "backend_servers": ["records-1"]}
    return {"number": number, "note": "test", "objects": [*objects, service]}


def apply_ticket(fleet: Fleet, instance: str, ticket: dict[str, Any]) -> None:
    """Apply a ticket and wait until all instances know a copy of each of its models."""
    status, receipt = fleet.ask_operator(instance, "POST", "/tickets", ticket)
    assert status == 200, receipt
    models = {each["name"] for each in ticket["objects"] if each["kind"] == "model"}
    assert wait_until(lambda: is_reachable(fleet, models), RESIDENT_TIMEOUT_S), "not reachable"


def is_reachable(fleet: Fleet, models: set[str]) -> bool:
    """Return whether all instances know a copy of each model."""
    pages = [fleet.ask_operator(name, "GET", "/models")[1] for name in fleet.instances]
    return all(models <= {row["name"] for row in rows if row["copies"]} for rows in pages)


def count_overcommitted(fleet: Fleet) -> int:
    """Return how often the memory of engines was exceeded, over all engines."""
    counters = [read_counters(process) for process in fleet.backend_servers.values()]
    return int(sum(each.get("overcommitted", 0) for each in counters))


def read_runs(fleet: Fleet, server: str = "records-1") -> dict[str, int]:
    """Return how often a plain service ran each idempotency key."""
    return read_counters(fleet.backend_servers[server])["runs_by_key"]


def wait_for_open(fleet: Fleet, instance: str, count: int, timeout_s: float = 5.0) -> None:
    """Wait until an instance has at least `count` open requests."""

    def is_open() -> bool:
        return fleet.ask_operator(instance, "GET", "/status")[1]["open_requests"] >= count

    assert wait_until(is_open, timeout_s)
