"""Memory of an engine: models and adapters, from the start of a load until they are freed."""

from typing import Any

from attrs import define, field

from standin.faults import Counters

ResidentKey = tuple[str, str]


@define(eq=False)
class Entry:
    """Model or adapter in memory; `model` is the base model of an adapter."""

    name: str
    version: str
    memory_bytes: int
    model: str = ""
    ready: bool = False
    unloading: bool = False

    def to_plain(self) -> dict[str, Any]:
        """Return the entry as plain data for a report."""
        return {
            "name": self.name,
            "version": self.version,
            "memory_bytes": self.memory_bytes,
            "ready": self.ready and not self.unloading,
            "model": self.model,
        }


@define
class Memory:
    """Entries in memory; an allocation above the total is counted, not refused."""

    total: int
    counters: Counters
    entries: dict[ResidentKey, Entry] = field(factory=dict)

    def count_used(self) -> int:
        """Return the number of bytes in use."""
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
        """Return the entry of a name and version, None if there is none."""
        return self.entries.get((name, version))

    def find_all(self, name: str, version: str) -> list[Entry]:
        """Return the entries of a name; an empty version matches all versions."""
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
            and not entry.unloading
        ]
        return found[-1] if found else None

    def find_adapters(self, model: str) -> list[Entry]:
        """Return the adapters of a model."""
        return [entry for entry in self.entries.values() if entry.model == model]

    def is_resident(self, entry: Entry) -> bool:
        """Return whether an entry is still in memory."""
        return self.entries.get((entry.name, entry.version)) is entry
