"""Timeline of events: a bounded ring on each instance, merged by stamps."""

import heapq
import time
from collections import deque
from collections.abc import Callable, Iterable

from attrs import define

from rhubarbshed.protocol.events import Event, Stamp
from rhubarbshed.state.clock import HybridClock
from rhubarbshed.util.logs import format_pairs, parse_pairs

LIST_LIMIT = 1000
STAMP_SEPARATOR = "."


def read_wall_ms() -> int:
    """Return the wall clock in ms, for stamps only."""
    return time.time_ns() // 1_000_000


@define
class Timeline:
    """Newest events of an instance, stamped by its clock."""

    clock: HybridClock
    events: deque[Event]
    read_wall: Callable[[], int] = read_wall_ms

    @classmethod
    def from_settings(cls, settings, read_wall: Callable[[], int] = read_wall_ms) -> "Timeline":
        """Make an empty timeline of the configured size."""
        ring: deque[Event] = deque(maxlen=settings.timeline.events_max)
        return cls(HybridClock(settings.instance.name), ring, read_wall)

    def record(self, name: str, **fields: object) -> Event:
        """Add an event; its fields request, model, ticket and backend_server can be queried."""
        stamp = self.clock.tick(self.read_wall())
        pairs = tuple(sorted((key, str(value)) for key, value in fields.items()))
        event = Event(stamp, name, pairs)
        self.events.append(event)
        return event

    def list_events(
        self,
        request: str = "",
        model: str = "",
        ticket: str = "",
        backend_server: str = "",
        since: int = 0,
        limit: int = LIST_LIMIT,
    ) -> tuple[Event, ...]:
        """Return the newest events that match all given values, oldest first.

        `since` is wall time in ms.
        """
        criteria = {
            "request": request,
            "model": model,
            "ticket": str(ticket),
            "backend_server": backend_server,
        }
        return select_events(self.events, criteria, since, limit)


def select_events(
    events: Iterable[Event], criteria: dict[str, str], since: int = 0, limit: int = LIST_LIMIT
) -> tuple[Event, ...]:
    """Return the last events whose fields match all non-empty criteria."""
    pairs = {(key, value) for key, value in criteria.items() if value}
    found = [
        event for event in events if event.stamp.wall_ms >= since and pairs <= set(event.fields)
    ]
    return tuple(found[-limit:]) if limit > 0 else ()


def merge_timelines(timelines: Iterable[Iterable[Event]]) -> tuple[Event, ...]:
    """Merge events of several instances, each event once, causes before effects."""
    ordered = [sorted(events, key=lambda event: event.stamp) for events in timelines]
    merged: list[Event] = []
    for event in heapq.merge(*ordered, key=lambda event: event.stamp):
        if not merged or merged[-1] != event:
            merged.append(event)
    return tuple(merged)


def format_stamp(stamp: Stamp) -> str:
    """Return a stamp as text: wall ms, counter and instance."""
    return STAMP_SEPARATOR.join((str(stamp.wall_ms), str(stamp.counter), stamp.instance))


def parse_stamp(text: str) -> Stamp | None:
    """Return the stamp that text holds, or None."""
    parts = text.split(STAMP_SEPARATOR, 2)
    if len(parts) < 3 or not (parts[0].isdecimal() and parts[1].isdecimal()):
        return None
    return Stamp(int(parts[0]), int(parts[1]), parts[2])


def format_event(event: Event) -> str:
    """Return an event as one log line."""
    head = (("event", event.name), ("stamp", format_stamp(event.stamp)))
    return format_pairs((*head, *event.fields))


def parse_event(line: str) -> Event | None:
    """Return the event that a log line holds, or None where it has no name or stamp."""
    pairs = parse_pairs(line)
    values = dict(pairs)
    stamp = parse_stamp(values.get("stamp", ""))
    if stamp is None or "event" not in values:
        return None
    skipped = ("event", "stamp", "at", "level", "logger")
    fields = tuple(sorted(pair for pair in pairs if pair[0] not in skipped))
    return Event(stamp, values["event"], fields)
