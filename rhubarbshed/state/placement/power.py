"""Power that each backend server of a data centre has reserved."""

from typing import Any

from attrs import evolve, frozen
from returns.result import Result, Success

from rhubarbshed.protocol.codec import from_stored


@frozen
class ServerPower:
    """Hold the watts that one backend server has reserved."""

    backend_server: str
    power_watts: float


@frozen
class PowerUse:
    """Hold the row of a data centre's floor."""

    servers: tuple[ServerPower, ...] = ()

    @property
    def power_watts(self) -> float:
        """Return the watts reserved by all backend servers."""
        return sum(server.power_watts for server in self.servers)


def make_power_key(data_centre: str) -> str:
    """Return the table key of a data centre's floor."""
    return f"floor/{data_centre}"


def set_power(use: PowerUse, backend_server: str, power_watts: float) -> PowerUse:
    """Set what one backend server has reserved; 0 takes it out."""
    others = tuple(s for s in use.servers if s.backend_server != backend_server)
    if power_watts <= 0:
        return evolve(use, servers=others)
    return evolve(use, servers=(*others, ServerPower(backend_server, power_watts)))


def decode_power_use(value: dict[str, Any] | None) -> Result[PowerUse, str]:
    """Return the floor's use that a row holds, or tell why it cannot be read."""
    if value is None:
        return Success(PowerUse())
    return from_stored(value, PowerUse)
