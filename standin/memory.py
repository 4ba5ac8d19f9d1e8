"""Memory of an engine: what is resident, from the start of a load until it is freed."""

from typing import Any

from attrs import define, field

from standin.faults import Counters

ResidentKey = tuple[str, str]


@define(eq=False)
class Entry:
    """Hold one model or adapter in memory; `model` is set for adapters."""

    name: str
    version: str
    memory_bytes: int
    model: str = ""
    ready: bool = False
    leaving: bool = False

    def to_plain(self) -> dict[str, Any]:
        """Return the entry as a report shows it."""
        return {
            "name": self.name,
            "version": self.version,
            "memory_bytes": self.memory_bytes,
            "ready": self.ready and not self.leaving,
            "model": self.model,
        }


@define
class Memory:
    """Count bytes in use; more than the total is counted, not refused."""

    total: int
    counters: Counters
    entries: dict[ResidentKey, Entry] = field(factory=dict)

    def count_used(self) -> int:
        """Return bytes in use."""
        return sum(entry.memory_bytes for entry in self.entries.values())

    def add(self, entry: Entry) -> None:
        """Reserve memory for an entry."""
        self.entries[(entry.name, entry.version)] = entry
        used = self.count_used()
        self.counters.raise_to("memory_bytes_peak", used)
        if used > self.total:
            self.counters.add("overcommitted")

    def free(self, entry: Entry) -> None:
        """Free an entry's memory."""
        key = (entry.name, entry.version)
        if self.entries.get(key) is entry:
            del self.entries[key]

    def find(self, name: str, version: str) -> Entry | None:
        """Return an entry."""
        return self.entries.get((name, version))

    def find_all(self, name: str, version: str) -> list[Entry]:
        """Return entries of a name; an empty version matches all."""
        return [
            entry
            for entry in self.entries.values()
            if entry.name == name and version in ("", entry.version)
        ]

    def find_ready(self, name: str, adapter_of: str = "") -> Entry | None:
        """Return the latest ready entry of a model, or of an adapter of a model."""
        found = [
            entry
            for entry in self.entries.values()
            if entry.name == name
            and entry.model == adapter_of
            and entry.ready
            and not entry.leaving
        ]
        return found[-1] if found else None

    def find_adapters(self, model: str) -> list[Entry]:
        """Return the adapters of a model."""
        return [entry for entry in self.entries.values() if entry.model == model]

    def is_known(self, entry: Entry) -> bool:
        """Tell whether an entry is still in memory."""
        return self.entries.get((entry.name, entry.version)) is entry
