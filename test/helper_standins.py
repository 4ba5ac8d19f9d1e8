"""Helper functions of tests that start stand-ins."""

import json
from typing import Any

import urllib3

from tools.processes import Process

TIMEOUT_S = 5.0


def call(
    process: Process, method: str, path: str, plain: Any = None, **headers: str
) -> urllib3.BaseHTTPResponse:
    """Send a request to a stand-in; `x_request_id="1"` sends that header."""
    with urllib3.PoolManager(retries=False, timeout=TIMEOUT_S) as http:
        body = None if plain is None else json.dumps(plain).encode()
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return http.request(method, process.url + path, body=body, headers=named)


def set_fault(process: Process, kind: str, **fields: Any) -> None:
    """Inject a fault into a stand-in."""
    assert call(process, "POST", "/fault", {"kind": kind, **fields}).status == 200


def read_counters(process: Process) -> dict[str, Any]:
    """Return a stand-in's counters."""
    return call(process, "GET", "/counters").json()


def give_order(process: Process, order_id: str, kind: str, token: int = 1, **fields: Any) -> Any:
    """Send an order to an engine."""
    order = {"order_id": order_id, "kind": kind, "fencing_token": token, **fields}
    return call(process, "POST", "/control/orders", order)


def load_model(process: Process, name: str = "m", memory_bytes: int = 40, token: int = 1) -> Any:
    """Order an engine to load a model."""
    return give_order(
        process,
        f"load-{name}-{memory_bytes}",
        "load",
        token,
        name=name,
        version="1",
        memory_bytes=memory_bytes,
    )


def read_tokens(response: urllib3.BaseHTTPResponse) -> list[dict[str, Any]]:
    """Return the events of a streamed answer before `[DONE]`."""
    lines = [line[6:] for line in response.data.decode().splitlines() if line.startswith("data: ")]
    assert lines[-1] == "[DONE]"
    return [json.loads(line) for line in lines[:-1]]
