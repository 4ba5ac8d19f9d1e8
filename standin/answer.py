"""Completion answers of the engine stand-in, built token by token."""

import asyncio
import json
import uuid
from typing import Any

from attrs import define, field

from standin.tokens import hash_prompt, name_target
from standin.web import Exchange, HttpRequest, HttpResponse, make_json

Plain = dict[str, Any]


@define(eq=False)
class Answer:
    """Completion answer, collected as a whole or streamed as server-sent events."""

    request_id: str
    target: str
    chat: bool
    streamed: bool
    prompt_hash: str
    offset: int
    exchange: Exchange
    ended: asyncio.Future
    event_head: bytes = b""
    texts: list[str] = field(factory=list)
    finish_reason: str = ""

    @classmethod
    def from_request(
        cls, request: HttpRequest, body: Plain, prompt: str, exchange: Exchange
    ) -> "Answer":
        """Return an answer to a request, still without tokens."""
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        target = name_target(body)
        return cls(
            request_id=request_id,
            target=target,
            chat=request.path == "/v1/chat/completions",
            streamed=bool(body.get("stream")),
            prompt_hash=hash_prompt(target, prompt),
            offset=int(request.headers.get("x-resume-offset", 0)),
            exchange=exchange,
            ended=asyncio.get_running_loop().create_future(),
            event_head=b'data: {"id": %b, "offset": ' % json.dumps(request_id).encode(),
        )

    def emit(self, offset: int, last: bool) -> None:
        """Collect one token, or stream it as an event."""
        text = f"tok-{self.prompt_hash}-{offset} "
        if not self.streamed:
            self.texts.append(text)
            return
        if last:
            self.finish_reason = "length"
        self._write_event(offset, text, self.finish_reason)

    def finish(self, reason: str) -> None:
        """End the answer with a finish reason, unless its last token carried one."""
        if self.streamed:
            if not self.finish_reason:
                self._write_event(self.offset, "", reason)
            self.exchange.write(b"data: [DONE]\n\n")
            self.exchange.end_stream()
        self.finish_reason = reason
        if not self.ended.done():
            self.ended.set_result(None)

    def _write_event(self, offset: int, text: str, reason: str) -> None:
        self.offset = offset + 1
        end = b', "finish_reason": "%b"' % reason.encode() if reason else b""
        event = b'%b%d, "choices": [{"index": 0, "delta": {"content": "%b"}%b}]}\n\n'
        self.exchange.write(event % (self.event_head, offset, text.encode(), end))

    def make_response(self, prompt_tokens: int) -> HttpResponse:
        """Return the answer as one response, for a request that is not streamed."""
        text = "".join(self.texts)
        content_fields = (
            {"message": {"role": "assistant", "content": text}} if self.chat else {"text": text}
        )
        plain = {
            "id": self.request_id,
            "model": self.target,
            "offset": self.offset,
            "choices": [{"index": 0, **content_fields, "finish_reason": self.finish_reason}],
            "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": len(self.texts)},
        }
        return make_json(plain, headers={"X-Request-Id": self.request_id})
