"""Instances and backend servers as the platform's list and peers tell of them."""

import enum

from attrs import frozen


class Standing(enum.Enum):
    """What is believed of an instance or a backend server."""

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
    """Describe an instance; `incarnation` differs after each start."""

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
    """Describe a backend server, its accelerators and whether it checks fencing tokens."""

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
    """Tell the platform's word on one instance."""

    info: InstanceInfo
    leaving: bool = False


@frozen
class ListedBackendServer:
    """Tell the platform's word on one backend server."""

    info: BackendServerInfo
    leaving: bool = False


@frozen
class PlatformList:
    """Hold the platform's lagging list of instances and backend servers."""

    instances: tuple[ListedInstance, ...]
    backend_servers: tuple[ListedBackendServer, ...]
