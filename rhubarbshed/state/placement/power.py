"""Power reserved by each backend server of a data centre."""

from typing import Any

from attrs import evolve, frozen
from returns.result import Result, Success

from rhubarbshed.protocol.codec import from_stored


@frozen
class ServerPower:
    """Watts reserved by one backend server."""

    backend_server: str
    power_watts: float


@frozen
class PowerUse:
    """Row with the power reserved in a data centre."""

    servers: tuple[ServerPower, ...] = ()

    @property
    def power_watts(self) -> float:
        """Return the watts reserved by all backend servers."""
        return sum(server.power_watts for server in self.servers)


def make_power_key(data_centre: str) -> str:
    """Return the table key of a data centre's reserved power."""
    return f"floor/{data_centre}"


def set_power(use: PowerUse, backend_server: str, power_watts: float) -> PowerUse:
    """Set the watts that one backend server has reserved; 0 removes it."""
    others = tuple(s for s in use.servers if s.backend_server != backend_server)
    if power_watts <= 0:
        return evolve(use, servers=others)
    return evolve(use, servers=(*others, ServerPower(backend_server, power_watts)))


def decode_power_use(value: dict[str, Any] | None) -> Result[PowerUse, str]:
    """Return the reserved power that a row holds, or the reason why it cannot be read."""
    if value is None:
        return Success(PowerUse())
    return from_stored(value, PowerUse)
