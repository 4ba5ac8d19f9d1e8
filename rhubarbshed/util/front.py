"""Settings of an instance on the users' platform, from INI."""

import configparser
import logging
import math

from attrs import frozen
from returns.result import Failure, Result, Success

HEARTBEAT_DEFAULT_MS = 1_200
"""Time between two writes of a server's entry at all known sites, unless the settings name one."""

REVOCATION_DEFAULT_S = 5.0
CONFIG_APPLY_DEFAULT_S = 3.0
QUOTA_WINDOW_DEFAULT_S = 8.0
"""Bounds on client accounts where the settings name none, as at the known sites."""

PORT_MAX = 65_535
"""Highest TCP port."""


@frozen
class FrontSettings:
    """Settings of an instance; addresses are (IP, port), times in seconds.

    `cores` is the processor time that the instance gets, in usual cores. `first_start` is whether
    the whole system starts for the first time, so that no stream is older than it.

    With `strict_revocation` no request with a key that was taken away more than `revocation_s` ago
    may run, at any instance. What accounts send in `quota_window_s` may exceed their limits by the
    fraction `quota_overage` and by `quota_slack` in the limit's unit. `has_pressure` is whether the
    deployment's load calls for scheduling of requests and spreading over servers.
    """

    name: str
    data_centre: str
    host: str
    callers: tuple[str, int]
    ready: tuple[str, int]
    peers_port: int
    metrics_port: int
    store: tuple[str, int]
    log_level: str
    drain_s: float
    heartbeat_s: float
    grace_s: float
    lease_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    ceiling_window_s: float
    ceiling_overage: float
    cores: float
    link_mbps: float
    first_start: bool = False
    strict_revocation: bool = False
    revocation_s: float = REVOCATION_DEFAULT_S
    config_apply_s: float = CONFIG_APPLY_DEFAULT_S
    quota_window_s: float = QUOTA_WINDOW_DEFAULT_S
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    has_pressure: bool = False

    @classmethod
    def from_file(cls, path: str) -> Result["FrontSettings", list[str]]:
        """Read a file; list all that is missing or cannot be read. Unknown keys are ignored."""
        parser = configparser.ConfigParser(interpolation=None, strict=False)
        try:
            with open(path, encoding="utf-8") as file:
                parser.read_file(file)
        except (OSError, UnicodeDecodeError, configparser.Error) as error:
            return Failure([f"cannot read settings {path!r}: {error}"])
        return cls.from_parser(parser)

    @classmethod
    def from_parser(cls, parser: configparser.ConfigParser) -> Result["FrontSettings", list[str]]:
        """Check the settings of a parsed file."""
        reader = _Reader(parser)
        values = {
            "name": reader.read_text("instance", "name"),
            "data_centre": reader.read_text("instance", "data_centre"),
            "host": reader.read_text("instance", "host"),
            "callers": reader.read_address("listen", "callers"),
            "ready": reader.read_address("listen", "ready"),
            "peers_port": reader.read_port("listen", "peers_ports"),
            "metrics_port": reader.read_number_of_port("listen", "metrics_port"),
            "store": reader.read_address("platform", "store"),
            "first_start": reader.read_flag("instance", "first_start"),
            "log_level": reader.read_level("log", "level"),
        }
        for name in (
            "drain_s",
            "lease_s",
        ):
            values[name] = reader.read_number("bounds", name.replace("_s", "_ms")) / 1000.0
        heartbeat_ms = reader.read_positive("bounds", "heartbeat_ms", HEARTBEAT_DEFAULT_MS)
        values["heartbeat_s"] = heartbeat_ms / 1000.0
        for name in (
            "grace_s",
            "retry_ratio",
            "retry_window_s",
            "retry_extra",
            "ceiling_window_s",
            "ceiling_overage",
        ):
            values[name] = reader.read_number("bounds", name)
        values["strict_revocation"] = reader.read_flag("bounds", "strict_revocation")
        for name, default_s in (
            ("revocation_s", REVOCATION_DEFAULT_S),
            ("config_apply_s", CONFIG_APPLY_DEFAULT_S),
        ):
            key = name.replace("_s", "_ms")
            values[name] = reader.read_positive("bounds", key, default_s * 1000.0) / 1000.0
        values["quota_window_s"] = reader.read_positive(
            "bounds", "quota_window_s", QUOTA_WINDOW_DEFAULT_S
        )
        values["quota_overage"] = reader.read_optional("bounds", "quota_overage", 0.0)
        values["quota_slack"] = reader.read_optional("bounds", "quota_slack", 0.0)
        values["has_pressure"] = "pressure" in reader.read_names("features", "enabled")
        share, speed = (reader.read_number("limits", key) for key in ("cpu_share", "core_speed"))
        values["cores"] = share * speed
        values["link_mbps"] = reader.read_number("limits", "link_mbps")
        if reader.errors:
            return Failure(reader.errors)
        return Success(cls(**values))


class _Reader:
    """Reader of values that collects the errors in them."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        self.parser = parser
        self.errors: list[str] = []

    def read_text(self, section: str, key: str) -> str:
        text = self.parser.get(section, key, fallback="").strip()
        if not text:
            self.errors.append(f"[{section}] {key} is missing")
        return text

    def read_number(self, section: str, key: str) -> float:
        text = self.read_text(section, key)
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if text and not math.isfinite(number):
            self.errors.append(f"[{section}] {key} is no number: {text!r}")
        return number

    def read_positive(self, section: str, key: str, default: float) -> float:
        if not self.parser.get(section, key, fallback="").strip():
            return default
        number = self.read_number(section, key)
        if number <= 0.0:
            self.errors.append(f"[{section}] {key} is not positive: {number!r}")
        return number

    def read_optional(self, section: str, key: str, default: float) -> float:
        if not self.parser.get(section, key, fallback="").strip():
            return default
        number = self.read_number(section, key)
        if number < 0.0:
            self.errors.append(f"[{section}] {key} is negative: {number!r}")
        return number

    def read_names(self, section: str, key: str) -> frozenset[str]:
        """Return the names of an optional list; unknown ones are ignored."""
        text = self.parser.get(section, key, fallback="")
        return frozenset(name.strip() for name in text.split(","))

    def read_number_of_port(self, section: str, key: str) -> int:
        number = self.read_number(section, key)
        if math.isnan(number):
            return 0
        if not 0 <= number <= PORT_MAX:
            self.errors.append(f"[{section}] {key} is no port: {number!r}")
            return 0
        return int(number)

    def read_level(self, section: str, key: str) -> str:
        text = self.read_text(section, key)
        if text and text.upper() not in logging.getLevelNamesMapping():
            self.errors.append(f"[{section}] {key} is no level of a log: {text!r}")
        return text

    def read_flag(self, section: str, key: str) -> bool:
        """Return whether an optional key is true; it is false in files written without it."""
        text = self.parser.get(section, key, fallback="").strip()
        if text not in ("true", "false", ""):
            self.errors.append(f"[{section}] {key} is neither true nor false: {text!r}")
        return text == "true"

    def read_address(self, section: str, key: str) -> tuple[str, int]:
        text = self.read_text(section, key)
        host, _, port = text.rpartition(":")
        if text and not (host and port.isdecimal()):
            self.errors.append(f"[{section}] {key} is no address IP:PORT: {text!r}")
        return host, int(port) if port.isdecimal() else 0

    def read_port(self, section: str, key: str) -> int:
        """Return the first port of a range FIRST,LAST."""
        text = self.read_text(section, key).partition(",")[0]
        if text and not text.isdecimal():
            self.errors.append(f"[{section}] {key} is no range of ports: {text!r}")
        return int(text) if text.isdecimal() else 0
