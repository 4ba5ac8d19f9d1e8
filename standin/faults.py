"""Faults that a stand-in can be told to have, and counters that tests read."""

from typing import Any

from attrs import define, field

KINDS = (
    "slow",
    "down",
    "lose_answers",
    "late_orders",
    "silent",
    "crash_on",
    "refuse_source",
)


@define
class Fault:
    """Describe one fault; `path` limits it to paths that start so.

    `count` falls with every answer lost, which is cut after `after_bytes` of a stream. `cut` lets
    a stand-in that is down cut connections in place of answering 503.
    """

    kind: str
    delay_s: float = 0.0
    count: int = 1
    text: str = ""
    instance: str = ""
    path: str = ""
    after_bytes: int = 0
    cut: bool = False


@define
class Faults:
    """Hold the faults in force."""

    active: list[Fault] = field(factory=list)

    def add(self, plain: dict[str, Any]) -> Fault:
        """Put a fault in force; raise ValueError or TypeError where it makes no sense."""
        fault = Fault(**plain)
        if fault.kind not in KINDS:
            raise ValueError(f"kind must be one of {', '.join(KINDS)}")
        if fault.kind == "crash_on" and not fault.text:
            raise ValueError("crash_on needs a text")
        if fault.kind != "silent":
            self.active.append(fault)
        return fault

    def clear(self) -> None:
        """End all faults."""
        self.active.clear()

    def find(self, kind: str, path: str) -> Fault | None:
        """Return the fault of a kind that applies to a path."""
        for fault in self.active:
            if fault.kind == kind and path.startswith(fault.path):
                return fault
        return None

    def refuses(self, instance: str) -> bool:
        """Tell whether requests of an instance are cut off."""
        return any(f.kind == "refuse_source" and f.instance == instance for f in self.active)

    def find_crash(self, body: bytes) -> Fault | None:
        """Return the fault by which a request with this body ends the process's work."""
        for fault in self.active:
            if fault.kind == "crash_on" and fault.text.encode() in body:
                return fault
        return None

    def take_loss(self, path: str) -> Fault | None:
        """Return the fault by which the answer of this request is lost, and count it."""
        for fault in self.active:
            if fault.kind == "lose_answers" and fault.count > 0 and path.startswith(fault.path):
                fault.count -= 1
                return fault
        return None


@define
class Counters:
    """Count what really happened."""

    numbers: dict[str, float] = field(factory=dict)
    runs: dict[str, int] = field(factory=dict)
    runs_by_key: dict[str, int] = field(factory=dict)

    def add(self, name: str, count: float = 1) -> None:
        """Add to a counter."""
        self.numbers[name] = self.numbers.get(name, 0) + count

    def raise_to(self, name: str, value: float) -> None:
        """Keep the greatest value seen."""
        self.numbers[name] = max(self.numbers.get(name, 0), value)

    def add_run(self, request_id: str, idempotency_key: str) -> int:
        """Count a run of a request and return how many it has had."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if idempotency_key:
            self.runs_by_key[idempotency_key] = self.runs_by_key.get(idempotency_key, 0) + 1
        return self.runs[request_id]

    def to_plain(self) -> dict[str, Any]:
        """Return all counters as plain data."""
        return {**self.numbers, "runs": self.runs, "runs_by_key": self.runs_by_key}
