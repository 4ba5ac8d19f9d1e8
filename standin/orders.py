"""Orders to an engine: loads and unloads of models and adapters, roles, fencing tokens."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define, field

from standin.faults import Counters
from standin.memory import Entry, Memory
from standin.web import HttpResponse, make_error, make_json

POLL_S = 0.005
ROLES = ("mixed", "prefill", "decode")

Plain = dict[str, Any]


@define(eq=False)
class OrderState:
    """State that orders change, and the answers to orders by their ids.

    `fetch_weights(kind, name, bytes)` takes as long as a load and returns whether it succeeded;
    `count_users(entry)` returns the number of sequences that use an entry.
    """

    memory: Memory
    counters: Counters
    checks_fencing: bool
    fetch_weights: Callable[[str, str, int], Awaitable[bool]]
    count_users: Callable[[Entry], int]
    fencing_token: int = 0
    role: str = "mixed"
    answers: dict[str, asyncio.Future] = field(factory=dict)


async def execute_order(state: OrderState, order: Plain) -> HttpResponse:
    """Execute an order; a repeated order id gets the answer of the first, unless that was 503."""
    order_id = order["order_id"]
    if order_id in state.answers:
        state.counters.add("orders_repeated")
        return await asyncio.shield(state.answers[order_id])
    refusal = check_token(state, order)
    if refusal is not None:
        return refusal
    state.counters.add("orders")
    execute = ORDERS.get(order["kind"])
    if execute is None:
        return make_error(422, "unknown_kind")
    answer = asyncio.get_running_loop().create_future()
    state.answers[order_id] = answer
    try:
        response = await execute(state, order)
    except BaseException:
        del state.answers[order_id]
        answer.cancel()
        raise
    if response.status == 503:
        del state.answers[order_id]
    if not answer.done():
        answer.set_result(response)
    return response


def check_token(state: OrderState, order: Plain) -> HttpResponse | None:
    """Return a refusal of a stale fencing token if tokens are checked; else record the token."""
    token = int(order["fencing_token"])
    if state.checks_fencing and token < state.fencing_token:
        state.counters.add("orders_fenced")
        return make_error(409, "stale_fencing_token", fencing_token=state.fencing_token)
    state.fencing_token = max(state.fencing_token, token)
    return None


async def load(state: OrderState, order: Plain) -> HttpResponse:
    """Load a model unless it is already resident."""
    if not order.get("name") or int(order.get("memory_bytes", 0)) <= 0:
        return make_error(422, "bad_load")
    return await load_entry(state, order, "", "loads")


async def load_adapter(state: OrderState, order: Plain) -> HttpResponse:
    """Load an adapter, whose base model must be resident."""
    model = order.get("model", "")
    if not order.get("name") or not model or int(order.get("memory_bytes", 0)) < 0:
        return make_error(422, "bad_load")
    if state.memory.find_ready(model) is None:
        return make_error(422, "model_not_resident")
    return await load_entry(state, order, model, "adapter_loads")


async def load_entry(state: OrderState, order: Plain, model: str, counter: str) -> HttpResponse:
    """Reserve memory, wait for the weights and mark the entry as ready."""
    name = order["name"]
    version = order.get("version", "")
    while (present := state.memory.find(name, version)) is not None:
        if present.ready and not present.unloading:
            return make_json({})
        await asyncio.sleep(POLL_S)
    entry = Entry(name, version, int(order["memory_bytes"]), model)
    state.memory.add(entry)
    state.counters.add(counter)
    fetched = await state.fetch_weights(
        "adapters" if model else "weights", name, entry.memory_bytes
    )
    if not fetched:
        state.memory.free(entry)
        return make_error(503, "weights_unavailable")
    if not state.memory.is_resident(entry):
        return make_error(503, "crashed")
    entry.ready = True
    return make_json({})


async def unload(state: OrderState, order: Plain) -> HttpResponse:
    """Unload a model and its adapters once no sequence uses them."""
    entries = state.memory.find_all(order.get("name", ""), order.get("version", ""))
    models = [entry for entry in entries if not entry.model]
    for entry in models:
        await unload_entry(state, entry, "unloads")
    if models and state.memory.find_ready(order["name"]) is None:
        for adapter in state.memory.find_adapters(order["name"]):
            await unload_entry(state, adapter, "adapter_unloads")
    return make_json({})


async def unload_adapter(state: OrderState, order: Plain) -> HttpResponse:
    """Unload an adapter once no sequence uses it."""
    for entry in state.memory.find_all(order.get("name", ""), order.get("version", "")):
        if entry.model:
            await unload_entry(state, entry, "adapter_unloads")
    return make_json({})


async def unload_entry(state: OrderState, entry: Entry, counter: str) -> None:
    """Refuse new sequences on an entry, wait for the running ones, and free its memory."""
    while not entry.ready and state.memory.is_resident(entry):
        await asyncio.sleep(POLL_S)
    is_first = not entry.unloading
    entry.unloading = True
    while state.count_users(entry) and state.memory.is_resident(entry):
        await asyncio.sleep(POLL_S)
    if is_first and state.memory.is_resident(entry):
        state.memory.free(entry)
        state.counters.add(counter)
    while state.memory.is_resident(entry):
        await asyncio.sleep(POLL_S)


async def set_role(state: OrderState, order: Plain) -> HttpResponse:
    """Set the role of the engine."""
    role = order.get("role", "mixed")
    if role not in ROLES:
        return make_error(422, "unknown_role")
    if role != state.role:
        state.counters.add("role_changes")
    state.role = role
    return make_json({})


async def raise_token(state: OrderState, order: Plain) -> HttpResponse:
    """Return the fencing token, which the check before has raised."""
    return make_json({"fencing_token": state.fencing_token})


ORDERS = {
    "load": load,
    "unload": unload,
    "load_adapter": load_adapter,
    "unload_adapter": unload_adapter,
    "set_role": set_role,
    "raise_token": raise_token,
}
