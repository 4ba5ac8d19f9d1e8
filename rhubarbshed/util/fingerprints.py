"""Fingerprints of requests, equal for copies of one request, and of parts of their prompts."""

import json

import xxhash


def hash_request(target: str, body: bytes) -> str:
    """Return the fingerprint of a request, for bodies that are compared byte by byte."""
    return xxhash.xxh3_128_hexdigest(target.encode(errors="surrogatepass") + b"\0" + body)


def hash_part(name: str) -> str:
    """Return the fingerprint of a part of prompts."""
    return xxhash.xxh3_128_hexdigest(b"part\0" + name.encode(errors="surrogatepass"))


def compute_fingerprint(target: str, body: bytes) -> str:
    """Return the fingerprint of a request; JSON bodies that differ only in layout are equal."""
    try:
        canonical = json.dumps(json.loads(body), sort_keys=True, separators=(",", ":")).encode()
    except (ValueError, RecursionError):
        canonical = body
    return hash_request(target, canonical)
