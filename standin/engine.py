"""Stand-in of a model engine with continuous batching, model memory and load orders."""

import asyncio
import random
import time
import uuid
from typing import Any

import typer
from attrs import define, field, frozen

from rhubarbshed.util.prefixes import BLOCK_WORDS, hash_prefixes
from standin.answer import Answer
from standin.batch import Batch, BatchSettings, Sequence
from standin.cache import PrefixCache
from standin.client import fetch
from standin.memory import Entry, Memory
from standin.orders import OrderState, execute_order
from standin.report import SNAPSHOT_S, ReportHistory
from standin.tokens import expected_embedding, name_target, read_prompt
from standin.web import Exchange, HttpRequest, HttpResponse, Server, make_error, make_json, serve

MAX_TOKENS_DEFAULT = 16
PRIORITY_DEFAULT = 1
EVENT_STREAM = "text/event-stream"

Plain = dict[str, Any]


@frozen
class EngineSettings:
    """Settings of an engine other than those of its batch."""

    name: str
    memory_bytes: int
    report_lag_s: float
    checks_fencing: bool
    forgets_token: bool
    load_s: float
    adapter_ms: float
    weights_url: str
    restart_s: float
    cache_bytes: int
    cache_block_bytes: int
    event_loss: float
    seed: int


@define(eq=False)
class Engine:
    """State of an engine; `used_entries` are the memory entries that each sequence uses."""

    settings: EngineSettings
    batch: Batch
    cache: PrefixCache
    memory: Memory
    orders: OrderState
    history: ReportHistory
    server: Server
    boot_id: str = field(factory=lambda: uuid.uuid4().hex)
    used_entries: dict[Sequence, tuple[Entry, ...]] = field(factory=dict)


def make_engine(settings: EngineSettings, batch_settings: BatchSettings) -> Engine:
    """Return an engine with its server."""

    async def handle(request: HttpRequest, exchange: Exchange) -> HttpResponse | None:
        return await route(engine, request, exchange)

    async def fetch_weights(kind: str, name: str, size: int) -> bool:
        if settings.weights_url:
            url = f"{settings.weights_url}/{kind}/{name}?bytes={size}"
            return await fetch(url, {"X-Instance": settings.name}) == 200
        await asyncio.sleep(settings.adapter_ms / 1000 if kind == "adapters" else settings.load_s)
        return True

    def count_users(entry: Entry) -> int:
        return sum(entry in used for used in engine.used_entries.values())

    server = Server(
        handle,
        late_path="/control/orders",
        restart_s=settings.restart_s,
        on_crash=lambda: clear_state(engine),
        describe=lambda: {"memory_bytes_used": engine.memory.count_used()},
    )
    memory = Memory(settings.memory_bytes, server.counters)
    engine = Engine(
        settings=settings,
        batch=Batch(batch_settings, time.monotonic),
        cache=PrefixCache(
            settings.cache_bytes,
            settings.cache_block_bytes,
            settings.event_loss,
            random.Random(settings.seed),
        ),
        memory=memory,
        orders=OrderState(
            memory, server.counters, settings.checks_fencing, fetch_weights, count_users
        ),
        history=ReportHistory(settings.report_lag_s),
        server=server,
    )
    return engine


def clear_state(engine: Engine) -> None:
    """Reset the state that a crash loses; the fencing token only if `forgets_token` is set."""
    engine.batch.clear()
    engine.used_entries.clear()
    engine.memory.entries.clear()
    engine.cache.clear()
    engine.history.clear()
    engine.orders.answers.clear()
    engine.orders.role = "mixed"
    if engine.settings.forgets_token:
        engine.orders.fencing_token = 0
    engine.boot_id = uuid.uuid4().hex


async def route(engine: Engine, request: HttpRequest, exchange: Exchange) -> HttpResponse | None:
    """Answer one request to an engine by its path."""
    path = request.path
    if path in ("/v1/chat/completions", "/v1/completions"):
        return await complete(engine, request, exchange)
    if path == "/v1/embeddings":
        return embed(engine, request)
    if path == "/control/report":
        return make_json(make_report(engine, int(request.query.get("sequence", "0"))))
    if path == "/control/orders":
        work = execute_order(engine.orders, request.read_json())
        return await asyncio.shield(engine.server.start_task(work))
    if path == "/control/cancel":
        return cancel(engine, request.read_json()["request_id"])
    if path == "/control/kv/export":
        return export_prefix(engine, request.read_json()["prefix"])
    if path == "/control/kv/import":
        return import_prefix(engine, request)
    return make_error(404, "not_found")


def find_entries(engine: Engine, body: Plain) -> tuple[Entry, ...] | None:
    """Return the model and adapter entries that a request needs, or None if one is missing."""
    entries = [engine.memory.find_ready(body["model"])]
    if body.get("adapter"):
        entries.append(engine.memory.find_ready(body["adapter"], body["model"]))
    return None if None in entries else tuple(entries)


async def complete(engine: Engine, request: HttpRequest, exchange: Exchange) -> HttpResponse | None:
    """Answer a completion request, streamed or as one response."""
    body = request.read_json()
    entries = find_entries(engine, body)
    if entries is None:
        return make_error(404, "model_not_resident")
    if engine.batch.is_full():
        return make_error(429, "queue_full")
    prompt = read_prompt(body)
    answer = Answer.from_request(request, body, prompt, exchange)
    sequence = make_sequence(engine, request, body, prompt, answer)
    engine.used_entries[sequence] = entries
    engine.server.counters.add_run(answer.request_id, request.headers.get("idempotency-key", ""))
    try:
        if answer.streamed:
            exchange.start_stream({"X-Request-Id": answer.request_id}, EVENT_STREAM)
        engine.batch.add(sequence)
        await answer.ended
    finally:
        engine.batch.remove(sequence)
        engine.used_entries.pop(sequence, None)
    return None if answer.streamed else answer.make_response(len(prompt.split()))


def make_sequence(
    engine: Engine, request: HttpRequest, body: Plain, prompt: str, answer: Answer
) -> Sequence:
    """Return the sequence of a request and add its prompt to the prefix cache."""
    words = prompt.split()
    hashes = hash_prefixes(body["model"], words, body.get("adapter") or "")
    cached = engine.cache.count_cached(hashes) * BLOCK_WORDS
    engine.cache.store(hashes, time.monotonic())
    engine.server.counters.add("prompt_tokens", len(words))
    engine.server.counters.add("prompt_tokens_cached", cached)
    return Sequence(
        request_id=answer.request_id,
        model=body["model"],
        priority=int(request.headers.get("x-priority", PRIORITY_DEFAULT)),
        prefill_tokens=len(words) - cached + answer.offset,
        offset=answer.offset,
        tokens_end=int(body.get("max_tokens", MAX_TOKENS_DEFAULT)),
        emit=answer.emit,
        finish=answer.finish,
    )


def embed(engine: Engine, request: HttpRequest) -> HttpResponse:
    """Answer an embeddings request without queueing it."""
    body = request.read_json()
    if find_entries(engine, body) is None:
        return make_error(404, "model_not_resident")
    request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
    engine.server.counters.add_run(request_id, request.headers.get("idempotency-key", ""))
    inputs = body["input"]
    texts = inputs if isinstance(inputs, list) else [inputs]
    target = name_target(body)
    data = [
        {"index": index, "object": "embedding", "embedding": expected_embedding(target, text)}
        for index, text in enumerate(texts)
    ]
    plain = {"id": request_id, "object": "list", "model": target, "data": data}
    return make_json(plain, headers={"X-Request-Id": request_id})


def cancel(engine: Engine, request_id: str) -> HttpResponse:
    """Cancel all sequences of a request and return their number."""
    found = [each for each in engine.batch.list_all() if each.request_id == request_id]
    for sequence in found:
        engine.batch.remove(sequence, "cancelled")
    engine.server.counters.add("cancelled", len(found))
    return make_json({"cancelled": len(found)})


def export_prefix(engine: Engine, prefix: str) -> HttpResponse:
    """Return the bytes that stand for the KV cache of a prefix."""
    if prefix not in engine.cache.blocks:
        return make_error(404, "prefix_not_cached")
    engine.server.counters.add("kv_exports")
    return HttpResponse(200, b"kv:" + prefix.encode(), "application/octet-stream")


def import_prefix(engine: Engine, request: HttpRequest) -> HttpResponse:
    """Store a prefix in the cache from the bytes of an export."""
    prefix = request.query["prefix"]
    if request.body != b"kv:" + prefix.encode():
        return make_error(422, "wrong_bytes")
    engine.cache.store([prefix], time.monotonic())
    engine.server.counters.add("kv_imports")
    return make_json({})


def take_snapshot(engine: Engine, now: float) -> Plain:
    """Return the current load of an engine."""
    batch = engine.batch
    return {
        "backend_server": engine.settings.name,
        "running": len(batch.running),
        "waiting": batch.count_waiting(),
        "waiting_tokens": batch.count_waiting_tokens(),
        "memory_bytes_used": engine.memory.count_used(),
        "memory_bytes_total": engine.settings.memory_bytes,
        "fencing_token": engine.orders.fencing_token,
        "tokens_per_s": round(engine.history.measure_rate(now, batch.tokens), 3),
        "prefill_tokens_per_s": batch.settings.prefill_tokens_per_s,
        "slots": batch.settings.slots,
        "role": engine.orders.role,
        "resident": [entry.to_plain() for entry in engine.memory.entries.values()],
        "boot_id": engine.boot_id,
    }


def make_report(engine: Engine, sequence: int) -> Plain:
    """Return the load report as of `report_lag_s` ago, with later cache events than `sequence`."""
    now = time.monotonic()
    if engine.settings.report_lag_s <= 0 or not engine.history.snapshots:
        engine.history.record(now, take_snapshot(engine, now))
    at, plain = engine.history.find(now)
    if engine.settings.report_lag_s <= 0:
        at, plain = engine.history.snapshots[-1]
    events = engine.cache.list_events(sequence, at)
    return {**plain, "age_s": round(now - at, 6), "cache_events": events}


async def record_load(engine: Engine) -> None:
    """Record load snapshots for the lagging report until cancelled."""
    while True:
        now = time.monotonic()
        engine.history.record(now, take_snapshot(engine, now))
        await asyncio.sleep(SNAPSHOT_S)


def main(
    host: str = "127.0.0.1",
    port: int = 0,
    name: str = "engine",
    memory_bytes: int = 80_000_000_000,
    slots: int = 64,
    token_gap_ms: float = 28.0,
    prefill_tokens_per_s: float = 20_000.0,
    knee: int = 1_000_000,
    queue_max: int = 1000,
    report_lag_s: float = 0.5,
    checks_fencing: bool = typer.Option(True, "--checks-fencing/--ignores-fencing"),
    forgets_token: bool = typer.Option(False, "--forgets-token/--keeps-token"),
    load_s: float = 0.5,
    adapter_ms: float = 5.0,
    weights_url: str = "",
    restart_s: float = 1.0,
    cache_bytes: int = 256_000_000,
    cache_block_bytes: int = 1_000_000,
    event_loss: float = 0.02,
    seed: int = 1,
) -> None:
    """Serve a model engine."""
    settings = EngineSettings(
        name=name,
        memory_bytes=memory_bytes,
        report_lag_s=report_lag_s,
        checks_fencing=checks_fencing,
        forgets_token=forgets_token,
        load_s=load_s,
        adapter_ms=adapter_ms,
        weights_url=weights_url,
        restart_s=restart_s,
        cache_bytes=cache_bytes,
        cache_block_bytes=cache_block_bytes,
        event_loss=event_loss,
        seed=seed,
    )
    batch = BatchSettings(slots, token_gap_ms / 1000, prefill_tokens_per_s, knee, queue_max)

    async def start() -> None:
        engine = make_engine(settings, batch)
        await serve(engine.server, host, port, lambda: record_load(engine))

    asyncio.run(start())


if __name__ == "__main__":
    typer.run(main)
