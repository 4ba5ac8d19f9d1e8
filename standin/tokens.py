"""Deterministic tokens and embeddings of the engine stand-in."""

from typing import Any

from xxhash import xxh3_64, xxh3_64_intdigest

EMBEDDING_SIZE = 8
HASH_DIGITS = 8


def hash_prompt(model: str, prompt: str) -> str:
    """Return the hash of model and prompt that every token of an answer contains."""
    return xxh3_64(f"{model}\x00{prompt}".encode()).hexdigest()[:HASH_DIGITS]


def expected_token(model: str, prompt: str, offset: int) -> str:
    """Return the token that an engine generates at an offset, counted from 0.

    `model` is the request's `model`, followed by `+adapter` if it has one; `prompt` is what
    `read_prompt` returns for the request's body.
    """
    return f"tok-{hash_prompt(model, prompt)}-{offset} "


def expected_answer(model: str, prompt: str, tokens: int) -> str:
    """Return the complete text of an answer."""
    prompt_hash = hash_prompt(model, prompt)
    return "".join(f"tok-{prompt_hash}-{offset} " for offset in range(tokens))


def expected_embedding(model: str, text: str) -> list[float]:
    """Return the embedding of a text, with numbers from 0 to below 1."""
    return [
        xxh3_64_intdigest(f"{model}\x00{text}".encode(), seed) % 10_000 / 10_000
        for seed in range(EMBEDDING_SIZE)
    ]


def name_target(body: dict[str, Any]) -> str:
    """Return the model of a request, followed by `+adapter` if it has one."""
    adapter = body.get("adapter") or ""
    return f"{body['model']}+{adapter}" if adapter else body["model"]


def read_prompt(body: dict[str, Any]) -> str:
    """Return the text of a request: its prompt, or the contents of its messages, one per line."""
    if "messages" in body:
        return "\n".join(str(message.get("content") or "") for message in body["messages"])
    prompt = body.get("prompt", "")
    return "\n".join(prompt) if isinstance(prompt, list) else str(prompt)
