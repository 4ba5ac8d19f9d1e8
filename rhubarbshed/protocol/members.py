"""Instances and backend servers as described by the platform's list and by peers."""

import enum

from attrs import frozen


class Standing(enum.Enum):
    """Known state of an instance or a backend server."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    GONE = "gone"


class BackendKind(enum.Enum):
    """Kind of a backend server."""

    ENGINE = "engine"
    SERVICE = "service"


@frozen
class InstanceInfo:
    """Instance of the daemon; `incarnation` differs after each start."""

    name: str
    data_centre: str
    region: str
    host: str
    caller_port: int
    operator_port: int
    peer_port: int
    incarnation: str = ""


@frozen
class BackendServerInfo:
    """Backend server; `checks_fencing` means that it rejects orders with an older fencing token."""

    name: str
    kind: BackendKind
    data_centre: str
    region: str
    host: str
    port: int
    accelerators: int = 1
    memory_bytes: int = 0
    checks_fencing: bool = True


@frozen
class ListedInstance:
    """Instance as listed by the platform."""

    info: InstanceInfo
    leaving: bool = False


@frozen
class ListedBackendServer:
    """Backend server as listed by the platform."""

    info: BackendServerInfo
    leaving: bool = False


@frozen
class PlatformList:
    """Platform's list of instances and backend servers; it lags behind the actual state."""

    instances: tuple[ListedInstance, ...]
    backend_servers: tuple[ListedBackendServer, ...]
