"""A small fleet of instances and stand-ins on this machine, as separate processes."""

import json
import random
import socket
from typing import Any

import urllib3
from attrs import define, field

from tools.processes import Process, start_instance, start_standin, stop_all

HOST = "127.0.0.1"
OPERATOR_TOKEN = "operator-demo"
PEER_TOKEN = "peer-demo"
GIB = 1024**3
PORT_RANGE = (18_000, 32_000)
RNG = random.SystemRandom()
ENVIRONMENT = {
    "RHUBARBSHED_OPERATOR_TOKEN": OPERATOR_TOKEN,
    "RHUBARBSHED_PEER_TOKEN": PEER_TOKEN,
    "RHUBARBSHED_PLATFORM_CREDENTIAL": "platform-demo",
}


@define
class Instance:
    """Running instance and its addresses."""

    name: str
    data_centre: str
    process: Process
    ports: tuple[int, int, int]

    @property
    def url(self) -> str:
        """Return the base address for callers."""
        return f"http://{HOST}:{self.ports[0]}"

    @property
    def operator_url(self) -> str:
        """Return the base address for operators."""
        return f"http://{HOST}:{self.ports[1]}"


@define
class Fleet:
    """Processes of a fleet; `settings` are INI lines added to the settings of each instance.

    Each instance runs `module`, with `environment` added to its environment variables.
    """

    settings: str = ""
    module: str = "rhubarbshed.daemon"
    environment: dict[str, str] = field(factory=dict)
    table: Process | None = None
    objects: Process | None = None
    platform: Process | None = None
    weights: Process | None = None
    backend_servers: dict[str, Process] = field(factory=dict)
    instances: dict[str, Instance] = field(factory=dict)

    @classmethod
    def from_options(cls, settings: str = "", list_lag_s: float = 0.5) -> "Fleet":
        """Return a fleet with the platform's stand-ins started."""
        fleet = cls(settings)
        fleet.table = start_standin("table")
        fleet.objects = start_standin("objects")
        fleet.platform = start_standin("platform", "--lag-s", str(list_lag_s))
        fleet.weights = start_standin("weights")
        return fleet

    def add_engine(
        self, name: str, data_centre: str, *options: str, memory_bytes: int = 40 * GIB
    ) -> Process:
        """Start a model engine and add it to the platform's list."""
        process = start_standin(
            "engine", "--name", name, "--memory-bytes", str(memory_bytes), *options
        )
        self.list_backend_server(process, name, data_centre, "engine", memory_bytes, options)
        return process

    def add_service(self, name: str, data_centre: str, *options: str) -> Process:
        """Start a replica of a plain service and add it to the platform's list."""
        process = start_standin("service", "--name", name, *options)
        self.list_backend_server(process, name, data_centre, "service", 0, options)
        return process

    def list_backend_server(
        self,
        process: Process,
        name: str,
        data_centre: str,
        kind: str,
        memory_bytes: int,
        options: tuple[str, ...] = (),
        leaving: bool = False,
    ) -> None:
        """Add a backend server to the platform's list."""
        self.backend_servers[name] = process
        info = {
            "name": name,
            "kind": kind,
            "data_centre": data_centre,
            "region": "region-1",
            "host": HOST,
            "port": process.port,
            "memory_bytes": memory_bytes,
            "checks_fencing": "--ignores-fencing" not in options,
        }
        post(f"{self.platform.url}/backend_servers", {"info": info, "leaving": leaving})

    def add_instance(
        self, name: str, data_centre: str, extra: str = "", listed: bool = True
    ) -> Instance:
        """Start an instance, wait until it is ready, and with `listed` add it to the list."""
        ports = reserve_ports(3)
        text = self._make_settings(name, data_centre, ports) + self.settings + extra
        process = start_instance(
            text,
            f"http://{HOST}:{ports[0]}",
            environment=ENVIRONMENT | self.environment,
            module=self.module,
        )
        instance = Instance(name, data_centre, process, ports)
        self.instances[name] = instance
        if listed:
            self.list_instance(instance)
        return instance

    def list_instance(self, instance: Instance) -> None:
        """Add an instance to the platform's list."""
        info = {
            "name": instance.name,
            "data_centre": instance.data_centre,
            "region": "region-1",
            "host": HOST,
            "caller_port": instance.ports[0],
            "operator_port": instance.ports[1],
            "peer_port": instance.ports[2],
        }
        post(f"{self.platform.url}/instances", {"info": info, "leaving": False})

    def _make_settings(self, name: str, data_centre: str, ports: tuple[int, int, int]) -> str:
        lines = [
            "[instance]",
            f"name = {name}",
            f"data_centre = {data_centre}",
            f"caller_port = {ports[0]}",
            f"operator_port = {ports[1]}",
            f"peer_port = {ports[2]}",
            "[platform]",
            f"table_url = {self.table.url}",
            f"object_store_url = {self.objects.url}",
            f"list_url = {self.platform.url}",
            "",
        ]
        return "\n".join(lines)

    def ask_operator(
        self, instance: str, method: str, path: str, plain: Any = None
    ) -> tuple[int, Any]:
        """Send a request to an instance's operator port; return status and JSON of the answer."""
        url = self.instances[instance].operator_url + path
        return ask(method, url, plain, {"Authorization": f"Bearer {OPERATOR_TOKEN}"})

    def stop(self) -> list[int]:
        """Stop instances, then stand-ins; return the exit codes of the instances."""
        codes = stop_all([instance.process for instance in self.instances.values()])
        stand_ins = [self.table, self.objects, self.platform, self.weights]
        stop_all([*self.backend_servers.values(), *stand_ins])
        return codes


def reserve_ports(count: int) -> tuple[int, ...]:
    """Return currently free ports below the kernel's ephemeral range."""
    ports: list[int] = []
    while len(ports) < count:
        port = RNG.randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return tuple(ports)


def post(url: str, plain: Any) -> Any:
    """Send JSON by POST and return the JSON of the answer."""
    return ask("POST", url, plain)[1]


def ask(
    method: str, url: str, plain: Any = None, headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    """Send a request with JSON; return status and JSON of the answer, or its text if not JSON."""
    body = None if plain is None else json.dumps(plain).encode()
    response = urllib3.request(
        method, url, body=body, headers=headers or {}, timeout=30.0, retries=False
    )
    try:
        return response.status, json.loads(response.data)
    except ValueError:
        return response.status, response.data.decode(errors="replace")
