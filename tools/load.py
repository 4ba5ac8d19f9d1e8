"""Seeded load generator of streamed requests to one base URL that checks every token."""

import asyncio
import json
import random
import time
from urllib.parse import urlsplit

import typer
from attrs import define, field, frozen

from standin.tokens import expected_token

CHAT_PATH = "/v1/chat/completions"
WORDS = ("sermon", "psalm", "index", "homily", "ledger", "return", "barley", "litre", "draft")


@frozen
class LoadSettings:
    """Load of `streams` concurrent requests, or of random arrivals at rate `per_s` if set."""

    url: str
    models: tuple[str, ...]
    requests: int
    streams: int = 1
    per_s: float = 0.0
    tokens: int = 240
    prompt_words: int = 40
    stagger_s: float = 0.0
    timeout_s: float = 60.0
    seed: int = 1
    headers: tuple[tuple[str, str], ...] = ()


@define
class RequestRecord:
    """Outcome of one request; times are monotonic seconds."""

    request_id: str
    sent_at: float
    status: int = 0
    outcome: str = "no_answer"
    first_token_at: float | None = None
    ended_at: float = 0.0
    gaps_s: list[float] = field(factory=list)
    tokens: int = 0


class StreamReader(asyncio.Protocol):
    """Protocol that sends one request and checks each token of its streamed answer."""

    def __init__(self, record: RequestRecord, request: bytes, model: str, prompt: str) -> None:
        self.record = record
        self.request = request
        self.model = model
        self.prompt = prompt
        self.buffer = b""
        self.in_body = False
        self.mismatched = False
        self.answer_id = ""
        self.last_at = 0.0
        self.finished = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self.transport = transport
        self.record.sent_at = time.monotonic()
        transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of the answer."""
        self.buffer += data
        if not self.in_body:
            head, found, rest = self.buffer.partition(b"\r\n\r\n")
            if not found:
                return
            self.in_body = True
            self.buffer = rest
            self.record.status = int(head.split(b" ", 2)[1])
            self.mismatched = not has_request_id(head, self.record.request_id)
            if self.record.status != 200:
                self._end("refused")
                return
        lines = self.buffer.split(b"\n")
        self.buffer = lines.pop()
        now = time.monotonic()
        for line in lines:
            if line.startswith(b"data: "):
                self._handle_event(line[6:].strip(), now)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record a truncated or missing answer."""
        if not self.record.status:
            self._end("no_answer")
        self._end("truncated")

    def _handle_event(self, data: bytes, now: float) -> None:
        if data == b"[DONE]":
            self._end("wrong" if self.mismatched else "whole")
            return
        event = json.loads(data)
        choices = event.get("choices")
        if not choices:
            self._end("failed")
            return
        text = choices[0].get("delta", {}).get("content", "")
        if not text:
            return
        offset = self.record.tokens
        matches = text == expected_token(self.model, self.prompt, offset)
        self.answer_id = self.answer_id or event["id"]
        if not matches or event["id"] != self.answer_id:
            self.mismatched = True
        self.record.tokens += 1
        if self.record.first_token_at is None:
            self.record.first_token_at = now
        else:
            self.record.gaps_s.append(now - self.last_at)
        self.last_at = now

    def _end(self, outcome: str) -> None:
        if self.finished.done():
            return
        self.record.ended_at = time.monotonic()
        self.record.outcome = outcome
        self.finished.set_result(None)
        self.transport.close()


def has_request_id(head: bytes, request_id: str) -> bool:
    """Return whether the headers of an answer contain the request id."""
    return f"\r\nx-request-id: {request_id}".lower().encode() in head.lower()


def make_prompt(rng: random.Random, words: int) -> str:
    """Return a random prompt of so many words."""
    return " ".join(rng.choice(WORDS) for _ in range(words))


def make_request(settings: LoadSettings, request_id: str, model: str, prompt: str) -> bytes:
    """Return the bytes of a streamed chat request."""
    plain = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": settings.tokens,
        "stream": True,
    }
    body = json.dumps(plain).encode()
    lines = [
        f"POST {CHAT_PATH} HTTP/1.1",
        f"Host: {urlsplit(settings.url).netloc}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        f"X-Request-Id: {request_id}",
        *(f"{name}: {value}" for name, value in settings.headers),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def send_one(settings: LoadSettings, number: int) -> RequestRecord:
    """Send one request and wait for its end; its content depends only on seed and number."""
    rng = random.Random(f"{settings.seed}-{number}")
    model = rng.choice(settings.models)
    prompt = make_prompt(rng, settings.prompt_words)
    request_id = f"load-{settings.seed}-{number}-{rng.getrandbits(32):08x}"
    record = RequestRecord(request_id, time.monotonic())
    request = make_request(settings, request_id, model, prompt)
    parts = urlsplit(settings.url)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(settings.timeout_s):
            transport, reader = await loop.create_connection(
                lambda: StreamReader(record, request, model, prompt), parts.hostname, parts.port
            )
            try:
                await reader.finished
            finally:
                transport.close()
    except TimeoutError:
        record.outcome = "timeout"
    except OSError:
        record.outcome = "no_answer"
    if record.outcome == "whole" and record.tokens != settings.tokens:
        record.outcome = "wrong"
    return record


async def run_load(settings: LoadSettings) -> list[RequestRecord]:
    """Send all requests, at a rate or with a fixed number of concurrent streams."""
    if settings.per_s > 0:
        return await run_at_rate(settings)
    numbers = iter(range(settings.requests))
    records: list[RequestRecord] = []

    async def work(delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        for number in numbers:
            records.append(await send_one(settings, number))

    start_interval_s = settings.stagger_s / settings.streams
    await asyncio.gather(*(work(index * start_interval_s) for index in range(settings.streams)))
    return records


async def run_at_rate(settings: LoadSettings) -> list[RequestRecord]:
    """Send requests with Poisson arrivals, whatever the number of open requests."""
    rng = random.Random(settings.seed)
    due_at = time.monotonic()
    tasks = []
    for number in range(settings.requests):
        due_at += rng.expovariate(settings.per_s)
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        tasks.append(asyncio.ensure_future(send_one(settings, number)))
    return list(await asyncio.gather(*tasks))


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile by nearest rank, or 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(1, -(-len(ordered) * percent // 100))
    return ordered[int(rank) - 1]


def summarize(records: list[RequestRecord]) -> dict[str, float | str]:
    """Return counts of outcomes and percentiles in ms."""
    first = [r.first_token_at - r.sent_at for r in records if r.first_token_at is not None]
    gaps = [gap for record in records for gap in record.gaps_s]
    started_at = min((record.sent_at for record in records), default=0.0)
    finished_at = max((record.ended_at for record in records), default=0.0)
    tokens = sum(record.tokens for record in records)
    counts: dict[str, int] = {}
    for record in records:
        counts[record.outcome] = counts.get(record.outcome, 0) + 1
    return {
        "requests": len(records),
        **dict(sorted(counts.items())),
        "tokens": tokens,
        "tokens_per_s": (
            round(tokens / (finished_at - started_at), 1) if finished_at > started_at else 0.0
        ),
        "first_token_p50_ms": round(find_percentile(first, 50) * 1000, 2),
        "first_token_p95_ms": round(find_percentile(first, 95) * 1000, 2),
        "first_token_p99_ms": round(find_percentile(first, 99) * 1000, 2),
        "gap_p50_ms": round(find_percentile(gaps, 50) * 1000, 2),
        "gap_p95_ms": round(find_percentile(gaps, 95) * 1000, 2),
        "gap_p99_ms": round(find_percentile(gaps, 99) * 1000, 2),
    }


def format_line(event: str, fields: dict[str, float | str]) -> str:
    """Return one line of key=value pairs."""
    return " ".join([f"event={event}", *(f"{name}={value}" for name, value in fields.items())])


def main(
    url: str,
    models: str = "model-1",
    requests: int = 100,
    streams: int = 1,
    per_s: float = 0.0,
    tokens: int = 240,
    prompt_words: int = 40,
    stagger_s: float = 0.0,
    timeout_s: float = 60.0,
    seed: int = 1,
) -> None:
    """Send a load to an address; models are separated by commas."""
    settings = LoadSettings(
        url=url,
        models=tuple(models.split(",")),
        requests=requests,
        streams=streams,
        per_s=per_s,
        tokens=tokens,
        prompt_words=prompt_words,
        stagger_s=stagger_s,
        timeout_s=timeout_s,
        seed=seed,
    )
    summary = summarize(asyncio.run(run_load(settings)))
    print(format_line("load", {"seed": seed, **summary}))


if __name__ == "__main__":
    typer.run(main)
