"""Deterministic answers of the engine stand-in."""

from typing import Any

from xxhash import xxh3_64, xxh3_64_intdigest

EMBEDDING_SIZE = 8
HASH_DIGITS = 8


def hash_prompt(model: str, prompt: str) -> str:
    """Return the mark that every token of an answer carries."""
    return xxh3_64(f"{model}\x00{prompt}".encode()).hexdigest()[:HASH_DIGITS]


def expected_token(model: str, prompt: str, offset: int) -> str:
    """Return the token that an engine gives at an offset from 0.

    `model` is the request's `model`, with `+adapter` where it names one; `prompt` is what
    `read_prompt` returns for the request's body.
    """
    return f"tok-{hash_prompt(model, prompt)}-{offset} "


def expected_answer(model: str, prompt: str, tokens: int) -> str:
    """Return the whole text of an answer."""
    mark = hash_prompt(model, prompt)
    return "".join(f"tok-{mark}-{offset} " for offset in range(tokens))


def expected_embedding(model: str, text: str) -> list[float]:
    """Return the embedding of a text, each number from 0 to below 1."""
    return [
        xxh3_64_intdigest(f"{model}\x00{text}".encode(), seed) % 10_000 / 10_000
        for seed in range(EMBEDDING_SIZE)
    ]


def name_target(body: dict[str, Any]) -> str:
    """Return the model of a request, with `+adapter` where it names one."""
    adapter = body.get("adapter") or ""
    return f"{body['model']}+{adapter}" if adapter else body["model"]


def read_prompt(body: dict[str, Any]) -> str:
    """Return the text of a request: its prompt, or its messages' contents, one a line."""
    if "messages" in body:
        return "\n".join(str(message.get("content") or "") for message in body["messages"])
    prompt = body.get("prompt", "")
    return "\n".join(prompt) if isinstance(prompt, list) else str(prompt)
