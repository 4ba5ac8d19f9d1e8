"""Hashes of a prompt's leading blocks, as engines' prefix caches use them."""

from collections.abc import Sequence

from xxhash import xxh3_64

BLOCK_WORDS = 32


def hash_prefixes(model: str, words: Sequence[str], adapter: str = "") -> tuple[str, ...]:
    """Return one hash for each complete leading block of words, shortest prefix first.

    Each hash covers the model, the adapter and all words up to the end of its block.
    """
    state = xxh3_64(f"{model}\x00{adapter}\x00".encode())
    hashes = []
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        block = words[end - BLOCK_WORDS : end]
        state.update((" ".join(block) + " ").encode())
        hashes.append(state.hexdigest())
    return tuple(hashes)
