"""Parts of an order holder's messages, each small enough for a packet or two."""

from collections.abc import Iterable, Iterator

from rhubarbshed.platform.records import write_entry
from rhubarbshed.protocol.message_checks import is_text
from rhubarbshed.protocol.messages import DemandMessage
from rhubarbshed.protocol.servers import EntryChange
from rhubarbshed.state.placement.demand_buffer import DemandBuffer, list_counts
from rhubarbshed.state.placement.engine_states import EngineState

ROWS_PER_MESSAGE = 8
"""Most rows of the store in one datagram; a server's row has some hundred bytes."""

COUNTS_PER_MESSAGE = 40
"""Most targets counted in one datagram between holders."""


def make_demand_messages(
    sender: str, data_centre: str, demand_buffer: DemandBuffer
) -> Iterator[DemandMessage]:
    """Yield messages with the demand of a data centre; the first one carries all but the counts."""
    counts = list_counts(demand_buffer.counts)
    awaited, missing, loads = (
        tuple(demand_buffer.awaited),
        tuple(demand_buffer.missing),
        tuple(demand_buffer.loads.items()),
    )
    for start in range(0, max(1, len(counts)), COUNTS_PER_MESSAGE):
        part = tuple(counts[start : start + COUNTS_PER_MESSAGE])
        yield DemandMessage(sender, data_centre, part, awaited, missing, loads)
        awaited = missing = loads = ()


def split_changes(
    before: int, revision: int, changes: tuple[EntryChange, ...]
) -> Iterator[tuple[int, int, tuple[tuple[str, int, dict | None], ...]]]:
    """Yield the rows of changes in parts, each with the revisions before and after it."""
    for start in range(0, max(1, len(changes)), ROWS_PER_MESSAGE):
        part = changes[start : start + ROWS_PER_MESSAGE]
        last = start + ROWS_PER_MESSAGE >= len(changes)
        reached = revision if last else part[-1].revision
        yield before, reached, tuple(_make_rows(part))
        before = reached


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
