"""Rendezvous hashing: the same choice on every instance without communication.

Source: Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998.
"""

import heapq
from collections.abc import Iterable

import xxhash


def weigh(key: str, name: str) -> int:
    """Return the weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode(errors="surrogatepass"))


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Sort names by their weights; removing one leaves the order of the rest."""
    return sorted(names, key=lambda name: (-weigh(key, name), name))


def find_first_by_rendezvous(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the first of the sorted names."""
    return heapq.nsmallest(count, names, key=lambda name: (-weigh(key, name), name))
