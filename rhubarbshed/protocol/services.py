"""Load reports of plain services."""

from attrs import frozen


@frozen
class ServiceReport:
    """Load of one replica of a plain service; `age_s` is the age of the figures."""

    backend_server: str
    running: int
    waiting: int
    slots: int
    age_s: float = 0.0
    boot_id: str = ""
