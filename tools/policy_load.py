"""Load for comparing policies: callers that retry after refusals as instructed."""

import asyncio
import json
import random
import time
from typing import Any

from attrs import define, frozen

from standin.tokens import expected_token

COMPLETIONS = "/v1/completions"
STATUS_OK = 200
DONE = b"data: [DONE]"
PREFIX = b"data: "
HOST = "127.0.0.1"


@frozen
class PlannedRequest:
    """Request of a plan; `arrives_at` is in seconds from the start of the load.

    With `service` set it is a filing to a plain service. A caller retries until `patience_s` after
    its first attempt.
    """

    name: str
    arrives_at: float
    caller: str
    priority: int = 0
    model: str = ""
    prompt: str = ""
    tokens: int = 60
    service: str = ""
    group: str = "main"
    target_s: float = 0.9
    patience_s: float = 10.0


@define
class RequestOutcome:
    """Outcome of a planned request over all its attempts; times are monotonic seconds."""

    planned: PlannedRequest
    first_sent_at: float = 0.0
    attempts: int = 0
    refusals: int = 0
    code: str = ""
    end: str = "no_answer"
    first_token_at: float | None = None
    ended_at: float = 0.0

    @property
    def first_token_s(self) -> float | None:
        """Return the time from the first attempt to the first token or the answer."""
        return None if self.first_token_at is None else self.first_token_at - self.first_sent_at

    @property
    def in_target(self) -> bool:
        """Return whether the answer is complete and its first token came within the target."""
        return self.end == "whole" and self.first_token_s <= self.planned.target_s


@define
class Reply:
    """Status, error code and end of one answer."""

    status: int = 0
    retry_after_s: float | None = None
    end: str = "no_answer"
    code: str = ""
    first_token_at: float | None = None


def encode_request(planned: PlannedRequest) -> bytes:
    """Return the bytes of a planned request."""
    if planned.service:
        path = f"/services/{planned.service}/filings"
        body = json.dumps({"filing": planned.name, "litres": len(planned.caller)}).encode()
        extra = f"Idempotency-Key: {planned.name}\r\n"
    else:
        path = COMPLETIONS
        plain = {
            "model": planned.model,
            "prompt": planned.prompt,
            "max_tokens": planned.tokens,
            "stream": True,
        }
        body = json.dumps(plain).encode()
        extra = ""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\nX-Caller: {planned.caller}\r\n"
        f"X-Priority: {planned.priority}\r\nX-Deadline-Seconds: 20\r\n{extra}\r\n"
    )
    return head.encode() + body


async def send_once(port: int, planned: PlannedRequest) -> Reply:
    """Send a request once and read its answer."""
    reply = Reply()
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return reply
    try:
        writer.write(encode_request(planned))
        head = await reader.readuntil(b"\r\n\r\n")
        _read_head(head, reply)
        if reply.status == STATUS_OK and not planned.service:
            await _read_stream(reader, planned, reply)
        else:
            _read_unstreamed(await reader.read(), planned, reply)
    except (OSError, asyncio.IncompleteReadError):
        reply.end = "cut" if reply.status else "no_answer"
    finally:
        writer.close()
    return reply


def _read_head(head: bytes, reply: Reply) -> None:
    lines = head.decode("latin-1").split("\r\n")
    reply.status = int(lines[0].split(" ", 2)[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "retry-after":
            reply.retry_after_s = float(value)


def _read_unstreamed(body: bytes, planned: PlannedRequest, reply: Reply) -> None:
    plain: dict[str, Any] = json.loads(body[body.index(b"{") : body.rindex(b"}") + 1])
    if reply.status == STATUS_OK:
        reply.end = "whole" if plain.get("service", "").startswith(planned.service) else "wrong"
        reply.first_token_at = time.monotonic()
        return
    error = plain.get("error", {})
    reply.code = error.get("code", "")
    reply.end = error.get("outcome", "wrong")


async def _read_stream(reader: asyncio.StreamReader, planned: PlannedRequest, reply: Reply) -> None:
    offset = 0
    reply.end = "cut"
    while line := await reader.readline():
        if line.startswith(DONE):
            reply.end = "whole" if offset == planned.tokens else "wrong"
            return
        if not line.startswith(PREFIX):
            continue
        event = json.loads(line[len(PREFIX) :])
        if "error" in event:
            reply.end, reply.code = event["error"]["outcome"], event["error"]["code"]
            return
        text = event["choices"][0].get("text") or event["choices"][0]["delta"]["content"]
        if text != expected_token(planned.model, planned.prompt, offset):
            reply.end = "wrong"
            return
        reply.first_token_at = reply.first_token_at or time.monotonic()
        offset += 1


async def run_request(
    ports: tuple[int, ...], planned: PlannedRequest, load_started_at: float
) -> RequestOutcome:
    """Send a planned request when it is due, retrying refusals until `patience_s` is over."""
    rng = random.Random(planned.name)
    await asyncio.sleep(max(0.0, load_started_at + planned.arrives_at - time.monotonic()))
    outcome = RequestOutcome(planned, time.monotonic())
    while True:
        outcome.attempts += 1
        reply = await send_once(rng.choice(ports), planned)
        outcome.end, outcome.code = reply.end, reply.code or outcome.code
        outcome.first_token_at = reply.first_token_at
        outcome.ended_at = time.monotonic()
        is_refusal = reply.end == "not_run" and reply.retry_after_s is not None
        outcome.refusals += int(is_refusal)
        retry_at = outcome.ended_at + (reply.retry_after_s or 0.0)
        if not is_refusal or retry_at > outcome.first_sent_at + planned.patience_s:
            return outcome
        await asyncio.sleep(retry_at - outcome.ended_at)


async def run_plan(
    ports: tuple[int, ...], plan: list[PlannedRequest], actions: list[Any]
) -> list[RequestOutcome]:
    """Run a plan; `actions` are pairs of a start time and a function applied to the fleet."""
    load_started_at = time.monotonic() + 0.1

    async def run_action(at: float, action: Any) -> None:
        await asyncio.sleep(max(0.0, load_started_at + at - time.monotonic()))
        await asyncio.to_thread(action)

    tasks = [
        asyncio.ensure_future(run_request(ports, planned, load_started_at)) for planned in plan
    ]
    await asyncio.gather(*(run_action(at, action) for at, action in actions))
    return list(await asyncio.gather(*tasks))
