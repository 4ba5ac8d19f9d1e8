"""Parts of an order holder's messages, each small enough for a packet or two."""

import itertools
from collections.abc import Iterable, Iterator, Sequence
from typing import TypeVar

from rhubarbshed.platform.records import write_entry
from rhubarbshed.protocol.message_checks import is_text
from rhubarbshed.protocol.messages import DemandMessage
from rhubarbshed.protocol.servers import EntryChange
from rhubarbshed.state.placement.demand_buffer import DemandBuffer, list_counts
from rhubarbshed.state.placement.engine_states import EngineState

T = TypeVar("T")

PART_BYTES_MAX = 30_000
"""Most bytes of lists in one message; a datagram has 64 KB at most. What is larger by itself goes
alone, and is not sent if no datagram can carry it."""

SERVERS_PER_MESSAGE = 12
"""Most engines announced in one datagram, which keeps it within a packet or two."""

ROWS_PER_MESSAGE = 8
"""Most revisions of rows in one datagram; a server's row has some hundred bytes."""

COUNTS_PER_MESSAGE = 40
"""Most targets counted in one datagram between holders."""

OWN_COUNTS_PER_MESSAGE = 400
"""Most targets counted in one datagram to the own holder."""


def measure(value: object) -> int:
    """Return the bytes that a value takes in a message at most."""
    if isinstance(value, str):
        return 5 + len(value.encode())
    if isinstance(value, dict):
        return 5 + sum(measure(key) + measure(part) for key, part in value.items())
    if isinstance(value, list | tuple):
        return 5 + sum(map(measure, value))
    return 9


def split_items(items: Sequence[T], sizes: Iterable[int], most: int) -> Iterator[Sequence[T]]:
    """Yield items in parts of limited number and size; one empty part if there are none."""
    start, total = 0, 0
    for index, size in enumerate(sizes):
        if index > start and (index - start >= most or total + size > PART_BYTES_MAX):
            yield items[start:index]
            start, total = index, 0
        total += size
    yield items[start:]


def make_demand_messages(
    sender: str, data_centre: str, demand_buffer: DemandBuffer, most: int = COUNTS_PER_MESSAGE
) -> Iterator[DemandMessage]:
    """Yield messages with the demand of a data centre; the first one carries all but the counts."""
    counts = tuple(list_counts(demand_buffer.counts))
    awaited, missing, loads = (
        tuple(demand_buffer.awaited),
        tuple(demand_buffer.missing),
        tuple(demand_buffer.loads.items()),
    )
    for part in split_items(counts, map(measure, counts), most):
        yield DemandMessage(sender, data_centre, part, awaited, missing, loads)
        awaited = missing = loads = ()


def split_changes(
    before: int, revision: int, changes: tuple[EntryChange, ...]
) -> Iterator[tuple[int, int, tuple[tuple[str, int, dict | None], ...]]]:
    """Yield the rows of changes in parts, each with the revisions before and after it.

    Rows of one revision stay together: who has read a part knows all of the revision that it names.
    """
    rows = _make_rows(changes)
    groups = tuple(tuple(group) for _, group in itertools.groupby(rows, lambda row: row[1]))
    done = 0
    for part in split_items(groups, map(measure, groups), ROWS_PER_MESSAGE):
        done += len(part)
        reached = revision if done == len(groups) else part[-1][0][1]
        yield before, reached, tuple(itertools.chain.from_iterable(part))
        before = reached


def split_engines(engine_states: Sequence[EngineState]) -> Iterator[Sequence[EngineState]]:
    """Yield engines in parts that one message each can announce."""
    sizes = map(measure, list_held(engine_states))
    yield from split_items(engine_states, sizes, SERVERS_PER_MESSAGE)


def _make_rows(changes: Iterable[EntryChange]) -> Iterator[tuple[str, int, dict | None]]:
    for change in changes:
        # Under a key that a message cannot carry there is no server.
        if is_text(change.server_id):
            yield change.server_id, change.revision, write_entry(change)


def list_held(
    engine_states: Iterable[EngineState],
) -> tuple[tuple[str, int, tuple[tuple[str, tuple[str, ...]], ...]], ...]:
    """Return (server, started_ms, ((model, adapters), ...)) of each engine."""
    return tuple((each.server_id, each.started_ms, _group_adapters(each)) for each in engine_states)


def list_changes(
    engine_states: Iterable[EngineState], now: float
) -> tuple[tuple[str, str, float, str], ...]:
    """Return (server, model being loaded, seconds left, model being unloaded) of each engine."""
    return tuple(
        (each.server_id, each.loading, max(0.0, each.busy_until - now), each.unloading)
        for each in engine_states
    )


def _group_adapters(engine_state: EngineState) -> tuple[tuple[str, tuple[str, ...]], ...]:
    grouped: dict[str, list[str]] = {model: [] for model in sorted(engine_state.models)}
    for model, adapter in sorted(engine_state.adapters):
        if model in grouped and (model, adapter) not in engine_state.missing_adapters:
            grouped[model].append(adapter)
    return tuple((model, tuple(names)) for model, names in grouped.items())
