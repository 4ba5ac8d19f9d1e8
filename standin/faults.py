"""Faults that tests inject into a stand-in, and counters that tests read."""

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
    """Injected fault, limited to request paths that start with `path`.

    `count` is the number of answers left to lose, each cut after `after_bytes` of a stream. `cut`
    makes a stand-in that is down close connections instead of answering 503.
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
    """Faults in force."""

    active: list[Fault] = field(factory=list)

    def add(self, plain: dict[str, Any]) -> Fault:
        """Activate a fault; raises ValueError or TypeError if it is invalid.

        A fault of kind "silent" affects the open connections once and is not kept.
        """
        fault = Fault(**plain)
        if fault.kind not in KINDS:
            raise ValueError(f"kind must be one of {', '.join(KINDS)}")
        if fault.kind == "crash_on" and not fault.text:
            raise ValueError("crash_on needs a text")
        if fault.kind != "silent":
            self.active.append(fault)
        return fault

    def clear(self) -> None:
        """Remove all faults."""
        self.active.clear()

    def find(self, kind: str, path: str) -> Fault | None:
        """Return the fault of a kind that applies to a path."""
        for fault in self.active:
            if fault.kind == kind and path.startswith(fault.path):
                return fault
        return None

    def refuses_instance(self, instance: str) -> bool:
        """Return whether connections of an instance are refused."""
        return any(f.kind == "refuse_source" and f.instance == instance for f in self.active)

    def find_crash(self, body: bytes) -> Fault | None:
        """Return the fault by which a request with this body crashes the process."""
        for fault in self.active:
            if fault.kind == "crash_on" and fault.text.encode() in body:
                return fault
        return None

    def consume_lost_answer(self, path: str) -> Fault | None:
        """Return the fault that loses the answer to this request, and use up one of its losses."""
        for fault in self.active:
            if fault.kind == "lose_answers" and fault.count > 0 and path.startswith(fault.path):
                fault.count -= 1
                return fault
        return None


@define
class Counters:
    """Counters of what the stand-in did; runs are counted by request id and idempotency key."""

    values: dict[str, float] = field(factory=dict)
    runs: dict[str, int] = field(factory=dict)
    runs_by_key: dict[str, int] = field(factory=dict)

    def add(self, name: str, count: float = 1) -> None:
        """Add to a counter."""
        self.values[name] = self.values.get(name, 0) + count

    def raise_to(self, name: str, value: float) -> None:
        """Raise a counter to a value if it is below."""
        self.values[name] = max(self.values.get(name, 0), value)

    def add_run(self, request_id: str, idempotency_key: str) -> int:
        """Count a run of a request and return its number of runs so far."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if idempotency_key:
            self.runs_by_key[idempotency_key] = self.runs_by_key.get(idempotency_key, 0) + 1
        return self.runs[request_id]

    def to_plain(self) -> dict[str, Any]:
        """Return all counters as plain data."""
        return {**self.values, "runs": self.runs, "runs_by_key": self.runs_by_key}
