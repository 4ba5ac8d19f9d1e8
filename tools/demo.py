"""Demonstration of requests from end to end through separate processes."""

import sys
import time

import urllib3

from tools.fleet import GIB, Fleet, ask
from tools.processes import wait_until

READY_TIMEOUT_S = 30.0
MODELS = ("sermon-summary", "scripture-index", "draft-declaration")
TICKET = {
    "number": 1,
    "note": "first models and the records service",
    "objects": [
        *(
            {"kind": "model", "name": name, "version": "1", "memory_bytes": 8 * GIB}
            for name in MODELS
        ),
        {
            "kind": "adapter",
            "name": "kamloops-style",
            "model": "sermon-summary",
            "version": "1",
            "memory_bytes": GIB // 8,
        },
        {"kind": "service", "name": "records", "backend_servers": ["records-1"]},
    ],
}


def main() -> int:
    """Run the demonstration; return 0 if all checks passed and all instances exited with 0."""
    fleet = Fleet.from_options("[shutdown]\nannounce_s = 0.5\n")
    try:
        start_servers(fleet)
        succeeded = show_requests(fleet)
    except Exception:
        for instance in fleet.instances.values():
            print(f"log of {instance.name}:\n{instance.process.read_log()}")
        raise
    finally:
        codes = fleet.stop()
    print(f"instances stopped with exit codes {codes}")
    return 0 if succeeded and set(codes) == {0} else 1


def start_servers(fleet: Fleet) -> None:
    """Start three instances, three engines and a service in two data centres."""
    weights = ("--weights-url", fleet.weights.url)
    fleet.add_engine("engine-1", "dc-1", *weights)
    fleet.add_engine("engine-2", "dc-2", *weights)
    fleet.add_engine("engine-3", "dc-2", *weights)
    fleet.add_service("records-1", "dc-1")
    for name, data_centre in (("a", "dc-1"), ("b", "dc-1"), ("c", "dc-2")):
        fleet.add_instance(name, data_centre)


def show_requests(fleet: Fleet) -> bool:
    """Apply a ticket, send a request of each kind, and print the answers."""
    checks = [
        show_ticket(fleet),
        show_stream(fleet),
        show_unstreamed(fleet),
        show_repeated_filing(fleet),
    ]
    show_moves(fleet)
    return all(checks)


def show_ticket(fleet: Fleet) -> bool:
    """Apply the ticket through one instance and wait until all models are reachable from all."""
    status, receipt = fleet.ask_operator("a", "POST", "/tickets", TICKET)
    print(f"ticket 1: status {status}, {receipt}")
    started_at = time.monotonic()

    def all_resident() -> bool:
        pages = [fleet.ask_operator(name, "GET", "/models")[1] for name in fleet.instances]
        complete = all(len(rows) == len(MODELS) for rows in pages)
        return complete and all(row["copies"] for rows in pages for row in rows)

    resident = wait_until(all_resident, READY_TIMEOUT_S)
    if not resident:
        for instance in fleet.instances.values():
            print(f"log of {instance.name}:\n{instance.process.read_log()}")
    print(
        f"all models reachable from all instances: {resident}, "
        f"{time.monotonic() - started_at:.1f} s"
    )
    return status == 200 and resident


def show_stream(fleet: Fleet) -> bool:
    """Send a streamed request and print the events of its timeline."""
    body = {
        "model": "sermon-summary",
        "messages": [{"role": "user", "content": "Summarise Sunday's sermon, please."}],
        "max_tokens": 8,
        "stream": True,
    }
    url = fleet.instances["b"].url + "/v1/chat/completions"
    response = urllib3.request("POST", url, json=body, headers={"X-Caller": "pastor"})
    text = response.data.decode()
    print(f"streamed through b: status {response.status}\n{text.strip()}")
    request_id = response.headers.get("X-Request-Id", "")
    print(f"time line of request {request_id}:")
    for event in fleet.ask_operator("b", "GET", f"/timeline?request={request_id}")[1]:
        print("  ", event["stamp"]["wall_ms"], event["name"], dict(event["fields"]))
    return response.status == 200 and text.rstrip().endswith("[DONE]")


def show_unstreamed(fleet: Fleet) -> bool:
    """Send an unstreamed request through an instance of the other data centre."""
    body = {"model": "draft-declaration", "prompt": "Volumes of May", "max_tokens": 4}
    status, answer = ask("POST", fleet.instances["c"].url + "/v1/completions", body)
    print(f"plain through c: status {status}, {answer}")
    return status == 200


def show_repeated_filing(fleet: Fleet) -> bool:
    """Send a filing twice with one idempotency key, through two instances; it runs once."""
    headers = {"Idempotency-Key": "return-2026-11", "X-Caller": "brewery-7"}
    filing = {"period": "2026-11", "litres": 1200}
    answers = []
    for name in ("a", "c"):
        url = fleet.instances[name].url + "/services/records/filings"
        answers.append(ask("POST", url, filing, headers))
        print(f"filing through {name}: {answers[-1]}")
    counters = ask("GET", fleet.backend_servers["records-1"].url + "/counters")[1]
    print(f"counters of the service: {counters}")
    return answers[0] == answers[1] and answers[0][0] == 200


def show_moves(fleet: Fleet) -> None:
    """Print the counters of the backend servers."""
    for name, process in fleet.backend_servers.items():
        counters = ask("GET", process.url + "/counters")[1]
        shown = {key: counters.get(key) for key in ("loads", "unloads", "overcommitted", "answers")}
        print(f"{name}: {shown}")


if __name__ == "__main__":
    sys.exit(main())
