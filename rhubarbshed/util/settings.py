"""Settings of an instance: read from INI, checked as a whole before use."""

import configparser
import ipaddress
from collections.abc import Mapping
from importlib import resources
from pathlib import Path
from typing import Any

import attrs
from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbshed.util.setting_fields import (
    Bounds,
    QuarantineSettings,
    make_positive,
    make_setting,
)

DEFAULT_FILE = "settings_default.ini"
SECRET_ENVIRONMENT = {
    "operator_token": "RHUBARBSHED_OPERATOR_TOKEN",
    "peer_token": "RHUBARBSHED_PEER_TOKEN",
    "platform_credential": "RHUBARBSHED_PLATFORM_CREDENTIAL",
}
SECRET_SECTION = "secrets"
PORT_MAX = 65535
RETENTION_MAX_S = 40 * 86_400.0
"""Longest time that rows can be kept, in seconds; the marks of their age cover a little more."""


@frozen
class SettingError:
    """Error in one setting; `met` is the value found, empty for secrets."""

    file: str
    section: str
    key: str
    met: str
    allowed: str

    def __str__(self) -> str:
        location = f"{self.file}: [{self.section}] {self.key}".rstrip()
        met = f" is {self.met!r}" if self.met else ""
        return f"{location}{met}; allowed: {self.allowed}"


@frozen
class Address:
    """Address of a listener: IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address | None:
    """Return the address that `host:port` or `[host]:port` names, or None if malformed."""
    host, _, port = text.strip().rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= PORT_MAX
    return Address(host, int(port)) if is_port else None


def _split_list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",")] if text.strip() else []


def _port() -> Any:
    return make_setting(Bounds(1, PORT_MAX))


@frozen
class InstanceSettings:
    """Name, location and ports of this instance."""

    name: str
    data_centre: str
    region: str
    host: str
    caller_port: int = _port()
    operator_port: int = _port()
    peer_port: int = _port()


@frozen
class PlatformSettings:
    """Addresses of the platform, and timeouts, polling and backoff of calls to it."""

    table_url: str
    object_store_url: str
    list_url: str
    timeout_s: float = make_positive()
    catalogue_poll_s: float = make_positive(4.0)
    list_poll_s: float = make_positive(4.0)
    backoff_first_s: float = make_positive()
    backoff_longest_s: float = make_positive()
    backlog_writes_per_s: float = make_positive()


@frozen
class SecretSettings:
    """Tokens, kept out of logs and of printed settings."""

    operator_token: str = attrs.field(repr=False)
    peer_token: str = attrs.field(repr=False)
    platform_credential: str = attrs.field(repr=False)


@frozen
class TlsSettings:
    """Files for TLS between instances; all empty: no TLS."""

    certificate: str
    key: str
    authority: str


@frozen
class LeaseSettings:
    """Durations of leases, in seconds."""

    term_s: float = make_positive()
    renewal_s: float = make_positive()


@frozen
class PeerSettings:
    """Connections between instances."""

    heartbeat_s: float = make_positive()
    silence_s: float = make_positive()
    delegates: int = make_setting(Bounds(1, 10))
    frame_bytes_max: int = make_setting(Bounds(1024))
    hello_bytes_max: int = make_setting(Bounds(256))
    seeds: str = attrs.field()

    def list_seeds(self) -> tuple[Address, ...]:
        """Return the addresses of seeds; malformed ones are left out."""
        found = (parse_address(part) for part in _split_list(self.seeds))
        return tuple(address for address in found if address is not None)


@frozen
class CallerSettings:
    """Limits for callers."""

    threads: int = make_setting(Bounds(1, 1000))
    body_bytes_max: int = make_setting(Bounds(1024))
    header_bytes_max: int = make_setting(Bounds(1024))
    answer_bytes_max: int = make_setting(Bounds(1024))
    socket_timeout_s: float = make_positive()
    deadline_default_s: float = make_positive()


@frozen
class RoutingSettings:
    """Timeouts and costs of sending requests to backend servers."""

    first_byte_timeout_s: float = make_positive()
    gap_timeout_s: float = make_positive()
    connection_age_max_s: float = make_positive()
    report_poll_s: float = make_positive()
    report_age_max_s: float = make_positive()
    distance_cost_s: float = make_setting()
    seed: int = make_setting()


@frozen
class AdmissionSettings:
    """Limits on requests admitted at once."""

    model_requests_max: int = make_setting(Bounds(1))
    caller_requests_max: int = make_setting(Bounds(1))
    retry_after_min_s: float = make_positive()
    retry_after_max_s: float = make_positive()


@frozen
class RetrySettings:
    """Limits on retries of a request, and when it is hedged."""

    attempts_max: int = make_setting(Bounds(1, 10))
    budget_ratio: float = make_setting(Bounds(0.0, 1.0))
    budget_min_per_s: float = make_setting()
    hedge_after_s: float = make_setting()


@frozen
class PlacementSettings:
    """Weights and limits of placement, and when a move is worth its cost."""

    profile: str = make_setting(choices=("balanced", "cedarpulpit", "guadalajara"))
    attainment_weight: float = make_setting()
    move_weight: float = make_setting()
    interval_s: float = make_positive()
    dwell_min_s: float = make_setting()
    demand_window_s: float = make_positive()
    memory_fill_max: float = make_positive(1.0)
    power_watts_max: float = make_setting()


@frozen
class WeightStoreSettings:
    """Limits of the weight store, shared by all instances."""

    loads_per_s: float = make_positive()
    loads_at_once: int = make_setting(Bounds(1))
    adapters_in_flight: int = make_setting(Bounds(1))


@frozen
class RetentionSettings:
    """How long rows of the table are kept, and how fast old ones are removed."""

    claim_s: float = make_setting(Bounds(3600.0, RETENTION_MAX_S))
    session_s: float = make_setting(Bounds(3600.0, RETENTION_MAX_S))
    interval_s: float = make_positive(30.0)
    rows_max: int = make_setting(Bounds(1, 100))


@frozen
class ShutdownSettings:
    """Time limits of a graceful shutdown."""

    drain_s: float = make_setting()
    announce_s: float = make_setting()


@frozen
class TimelineSettings:
    """Size of the ring buffer of events."""

    events_max: int = make_setting(Bounds(100))


@frozen
class LogSettings:
    """Log level."""

    level: str = make_setting(choices=("debug", "info", "warning", "error"))


@frozen
class Settings:
    """All settings of an instance, one section each."""

    instance: InstanceSettings
    platform: PlatformSettings
    secrets: SecretSettings
    tls: TlsSettings
    leases: LeaseSettings
    peers: PeerSettings
    callers: CallerSettings
    routing: RoutingSettings
    admission: AdmissionSettings
    retries: RetrySettings
    placement: PlacementSettings
    weight_store: WeightStoreSettings
    quarantine: QuarantineSettings
    retention: RetentionSettings
    shutdown: ShutdownSettings
    timeline: TimelineSettings
    log: LogSettings

    @classmethod
    def from_file(
        cls, path: str | None, environment: Mapping[str, str] | None = None
    ) -> Result["Settings", tuple[SettingError, ...]]:
        """Read defaults, then the file, then secrets of the environment; list all errors."""
        text = ""
        if path is not None:
            try:
                text = Path(path).read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as error:
                return Failure((SettingError(path, "", "", "", f"a readable file ({error})"),))
        return cls.from_text(text, path or DEFAULT_FILE, environment or {})

    @classmethod
    def from_text(
        cls, text: str, file: str = "settings", environment: Mapping[str, str] | None = None
    ) -> Result["Settings", tuple[SettingError, ...]]:
        """Read settings from text over the shipped defaults; list all errors."""
        given = _make_parser()
        try:
            given.read_string(text, source=file)
        except configparser.Error as error:
            detail = " ".join(str(error).split())
            return Failure((SettingError(file, "", "", "", f"well-formed INI ({detail})"),))
        merged = _make_parser()
        merged.read_string(read_default_text(), source=DEFAULT_FILE)
        errors = _find_unknown(given, merged, file)
        if errors:
            return Failure(tuple(errors))
        merged.read_string(text, source=file)
        _apply_environment(merged, environment or {})
        return _build(merged, file)


def read_default_text() -> str:
    """Return the shipped default settings file."""
    return resources.files("rhubarbshed").joinpath(DEFAULT_FILE).read_text(encoding="utf-8")


def _make_parser() -> configparser.ConfigParser:
    return configparser.ConfigParser(interpolation=None, default_section="")


def _find_unknown(
    given: configparser.ConfigParser, known: configparser.ConfigParser, file: str
) -> list[SettingError]:
    errors = []
    for section in given.sections():
        if not known.has_section(section):
            allowed = "one of the sections " + ", ".join(known.sections())
            errors.append(SettingError(file, section, "", "", allowed))
            continue
        for key in given.options(section):
            if not known.has_option(section, key):
                allowed = "one of the keys " + ", ".join(known.options(section))
                errors.append(SettingError(file, section, key, "", allowed))
    return errors


def _apply_environment(parser: configparser.ConfigParser, environment: Mapping[str, str]) -> None:
    for key, variable in SECRET_ENVIRONMENT.items():
        if variable in environment:
            parser.set(SECRET_SECTION, key, environment[variable])


def _build(
    parser: configparser.ConfigParser, file: str
) -> Result[Settings, tuple[SettingError, ...]]:
    errors: list[SettingError] = []
    sections = {}
    for section in attrs.fields(Settings):
        values = {}
        for field in attrs.fields(section.type):
            met = parser.get(section.name, field.name).strip()
            value = _convert(field, met)
            if isinstance(value, str) and field.type is not str:
                errors.append(SettingError(file, section.name, field.name, met, value))
            elif value is None:
                allowed = "one of " + ", ".join(field.metadata["choices"])
                errors.append(SettingError(file, section.name, field.name, met, allowed))
            values[field.name] = value
        sections[section.name] = section.type(**values)
    if errors:
        return Failure(tuple(errors))
    settings = Settings(**sections)
    relations = tuple(_check_relations(settings, file))
    return Failure(relations) if relations else Success(settings)


def _convert(field: attrs.Attribute, met: str) -> Any:
    """Return the value; for a bad number what is allowed as text, for a bad choice None."""
    if field.type is str:
        choices = field.metadata.get("choices", ())
        return met if not choices or met in choices else None
    bounds: Bounds = field.metadata["bounds"]
    noun = "a whole number" if field.type is int else "a number"
    try:
        value = field.type(met)
    except ValueError:
        return f"{noun}, {bounds.describe()}"
    return value if bounds.admits(value) else f"{noun}, {bounds.describe()}"


def _check_relations(settings: Settings, file: str) -> list[SettingError]:
    errors = []
    leases = settings.leases
    if leases.renewal_s * 3 > leases.term_s:
        allowed = f"at most a third of [leases] term_s ({leases.term_s:g})"
        errors.append(SettingError(file, "leases", "renewal_s", f"{leases.renewal_s:g}", allowed))
    peers = settings.peers
    if peers.silence_s < 2 * peers.heartbeat_s:
        allowed = f"at least twice [peers] heartbeat_s ({peers.heartbeat_s:g})"
        errors.append(SettingError(file, "peers", "silence_s", f"{peers.silence_s:g}", allowed))
    for part in _split_list(peers.seeds):
        if parse_address(part) is None:
            allowed = "addresses host:port by IP number, separated by commas"
            errors.append(SettingError(file, "peers", "seeds", part, allowed))
    instance = settings.instance
    ports = {instance.caller_port, instance.operator_port, instance.peer_port}
    if len(ports) < 3:
        met = f"{instance.caller_port}, {instance.operator_port}, {instance.peer_port}"
        errors.append(SettingError(file, "instance", "ports", met, "three different ports"))
    return errors
