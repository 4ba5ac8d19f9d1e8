"""Cost of knowing together what ended servers: bytes, memory and processor time of each step.

Usage: python -m tools.capacity_crashes

No sockets; the processor time is the median of five runs.
"""

import random
import time
import tracemalloc

from rhubarbshed.coordination.requests.crash_quarantine import list_keys
from rhubarbshed.protocol.exchanges import CallerRequest
from rhubarbshed.protocol.messages import CrashQuestion, pack_message, unpack_message
from rhubarbshed.protocol.quarantine import CrashId, Sighting
from rhubarbshed.transport.edge.crash_news import News, make_messages
from rhubarbshed.transport.edge.crash_registry import CrashRegistry
from rhubarbshed.transport.edge.pools import Pool
from rhubarbshed.transport.edge.server_checks import ServerChecks
from tools.capacity_streams import INSTANCES, time_call

ENTRIES = 200
"""Requests at some ten ended servers of 24 slots."""

AT_SERVER = 4
"""Requests that one instance has at a server as that ends."""

PARTS = (("5c1e07a2", 800), ("91bd3f06", 410), ("e4402b7d", 250))
BODY_BYTES = 2_000
START_MS = 1_792_161_387_283


def make_registry() -> CrashRegistry:
    """Return a registry that sends nothing."""
    return CrashRegistry(
        lambda message, *addresses: None, ServerChecks(Pool(1.0)), random.Random(1)
    )


def make_request(number: int) -> CallerRequest:
    """Return a request like those of the platform's callers."""
    body = number.to_bytes(8, "big") * (BODY_BYTES // 8)
    return CallerRequest(
        f"{number:016x}", b"POST", b"/lohu930/2f", "ficu95.example", (), 0.0, body, parts=PARTS
    )


def make_news(first: int, count: int) -> News:
    """Return what one instance tells about an ended server."""
    news = News()
    for number in range(first, first + count):
        request = make_request(number)
        mark = CrashId(f"i-{number:010x}", str(START_MS))
        for key in list_keys(request):
            sighting = Sighting(mark, request.fingerprint, -0.2, 0.0)
            news.sightings[key, request.fingerprint] = sighting
    return news


def fill(registry: CrashRegistry) -> None:
    """Let a registry know many requests."""
    now = time.monotonic()
    for number in range(ENTRIES):
        mark = CrashId(f"i-{number % 10:010x}", str(START_MS))
        request = make_request(number)
        for key in list_keys(request):
            registry.quarantine.view.record_sighting(
                key, Sighting(mark, request.fingerprint, now - 0.2, now), now
            )


def main() -> None:
    """Print the figures."""
    mark = CrashId("i-0123456789", str(START_MS))
    messages = list(make_messages({mark: make_news(20_000, AT_SERVER)}, 1.0))
    packed = [pack_message(each) for each in messages]
    print(
        f"report of {AT_SERVER} requests: {len(packed)} datagram(s), {sum(map(len, packed))} bytes"
    )
    print(f"question: {len(pack_message(CrashQuestion(2**52)))} bytes")
    empty, filled = make_registry(), make_registry()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    fill(filled)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"memory of {ENTRIES} requests: {used / ENTRIES:.0f} bytes each")
    requests = [make_request(number) for number in range(10_000)]
    now = time.monotonic()
    figures = {
        "pack a report": (lambda number: pack_message(messages[0]), 2_000),
        "read a report": (lambda number: unpack_message(packed[0]), 2_000),
        "apply a known report": (
            lambda number: filled.handle_message(messages[0], ("10.0.0.1", 1), now),
            2_000,
        ),
        "admit, nothing known": (lambda number: empty.admit(requests[number], (), now), 10_000),
        "answer, nothing known": (
            lambda number: empty.quarantine.record_answer(requests[number], now),
            10_000,
        ),
        "keys of a request": (lambda number: list_keys(make_request(number)), 2_000),
        f"answer, {ENTRIES} known": (
            lambda number: filled.quarantine.record_answer(make_request(10_000 + number), now),
            2_000,
        ),
        f"digest of {ENTRIES}": (lambda number: digest(filled), 200),
    }
    for name, (call, count) in figures.items():
        print(f"{name}: {time_call(call, count):.1f} us")
    print(f"instances at the target size: {INSTANCES}")


def digest(registry: CrashRegistry) -> int:
    """Compute the digest anew."""
    registry._digest = None
    return registry.compute_digest()


if __name__ == "__main__":
    main()
