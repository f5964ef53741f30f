# SPDX-License-Identifier: BSD-3-Clause
"""Settings of a router process, read from TOML and validated."""

import ipaddress
import re
from functools import lru_cache
from pathlib import Path

import msgspec

from turnward.errors import TurnwardError

__all__ = [
    "RouterSettings",
    "SettingsError",
    "convert_checked",
    "load_settings",
    "parse_address",
    "parse_peer_address",
    "read_toml",
]

_MAX_PORT = 65_535
_MAX_CACHED_ADDRESSES = 8_192
_MAX_PORT_DIGITS = 5
_BROADCAST = ipaddress.ip_address("255.255.255.255")
_FAULT_PATTERN = re.compile(r"^(?P<what>.*?)(?: - at `\$\.?(?P<key>.*)`)?$")


class SettingsError(TurnwardError):
    """Settings or resources are invalid; ``faults`` lists all errors."""

    def __init__(self, faults: list[str]):
        super().__init__("; ".join(faults), "correct the file; nothing was applied")
        self.faults = faults


class RouterSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of one router process.

    Attributes
    ----------
    instance : str
        Name of the instance, unique in the fleet.
    zone, region : str
        Availability zone and region of the instance.
    callers_address, operators_address, peers_address : str
        ``IP:port`` to listen on.
    platform_url : str
        Base URL of the platform's table, object store and instance list.
    operator_key_sha256 : str
        SHA-256 of the operators' bearer key, in hexadecimal.
    statsd_address : str
        ``IP:port`` of statsd; if empty, no metrics are sent.
    """

    instance: str
    zone: str
    region: str
    callers_address: str
    operators_address: str
    peers_address: str
    platform_url: str
    operator_key_sha256: str
    statsd_address: str = ""
    log_json: bool = False
    platform_timeout_s: float = 2.0
    config_poll_s: float = 1.0
    membership_poll_s: float = 1.0
    heartbeat_s: float = 0.5
    peer_timeout_s: float = 1.0
    gone_after_s: float = 2.0
    fence_listed_after_s: float = 10.0
    bill_flush_s: float = 1.0
    grant_horizon_s: float = 120.0
    grant_period_s: float = 0.2
    grant_wait_s: float = 1.0
    grant_minimum_tokens: int = 2_000
    event_ship_s: float = 5.0
    event_sample: int = 1
    drain_grace_s: float = 1.0
    stop_limit_s: float = 60.0
    request_limit_bytes: int = 1_000_000
    connection_limit: int = 2_000
    idle_timeout_s: float = 30.0
    answer_timeout_s: float = 30.0
    id_retention_s: float = 86_400.0

    def faults(self) -> list[str]:
        """Return errors that type conversion does not detect."""
        found = []
        for key in ("callers_address", "operators_address", "peers_address"):
            if parse_address(getattr(self, key)) is None:
                found.append(f"{key}: expected IP:port, found {getattr(self, key)!r}")
        if self.statsd_address and parse_address(self.statsd_address) is None:
            found.append(f"statsd_address: expected IP:port, found {self.statsd_address!r}")
        if not re.fullmatch(r"[A-Za-z0-9_-]{1,64}", self.instance):
            found.append(f"instance: expected letters, digits, - and _, found {self.instance!r}")
        if not re.fullmatch(r"[0-9a-f]{64}", self.operator_key_sha256):
            found.append("operator_key_sha256: expected 64 hexadecimal digits")
        for key in self.__struct_fields__:
            value = getattr(self, key)
            if isinstance(value, int | float) and not isinstance(value, bool) and value <= 0:
                found.append(f"{key}: expected more than 0, found {value}")
        return found


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the IP address and port in ``text``, or None if it is not ``IP:port``.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> parse_address("localhost:80") is None
    True
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    # Other digits than ASCII's count as digits, too.
    if not (port.isascii() and port.isdigit()) or len(port) > _MAX_PORT_DIGITS:
        return None
    return (host, int(port)) if int(port) <= _MAX_PORT else None


@lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def parse_peer_address(text: str) -> tuple[str, int] | None:
    """Return the IP address and port in ``text``, or None if no other process can have it.

    Examples
    --------
    >>> parse_peer_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> parse_peer_address("0.0.0.0:80") is None
    True
    """
    address = parse_address(text)
    if address is None or address[1] == 0:
        return None
    ip = ipaddress.ip_address(address[0])
    reachable = not (ip.is_unspecified or ip.is_multicast or ip == _BROADCAST)
    return address if reachable and not getattr(ip, "scope_id", None) else None


def read_toml(path: str) -> dict:
    """Return the content of a TOML file.

    Raises
    ------
    SettingsError
        The file cannot be read, or is not valid TOML.
    """
    try:
        return msgspec.toml.decode(Path(path).read_bytes())
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as failure:
        raise SettingsError([f"{path}: {failure}"]) from failure


def load_settings(path: str, settings_type=RouterSettings):
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        The file is not valid; the message names it and lists all errors.
    """
    settings, faults = convert_checked(read_toml(path), settings_type)
    if faults:
        raise SettingsError([f"{path}: {fault}" for fault in faults])
    return settings


def convert_checked(raw: dict, struct_type) -> tuple[object | None, list[str]]:
    """Convert plain data to a typed object and collect all errors.

    ``msgspec`` stops at the first error, so each field is first converted separately.
    """
    faults = _field_faults(raw, struct_type)
    if faults:
        return None, faults
    try:
        value = msgspec.convert(raw, struct_type)
    except msgspec.ValidationError as failure:
        return None, [_describe("", failure)]
    return value, value.faults() if hasattr(value, "faults") else []


def _field_faults(raw: dict, struct_type) -> list[str]:
    if not isinstance(raw, dict):
        return [f"expected a table, found {raw!r}"]
    faults = []
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
    faults.extend(
        f"{key}: expected one of {', '.join(sorted(fields))}, found an unknown key"
        for key in raw
        if key not in fields
    )
    for name, field in fields.items():
        if name not in raw:
            if field.required:
                faults.append(f"{name}: expected a value, found none")
            continue
        try:
            msgspec.convert(raw[name], field.type)
        except msgspec.ValidationError as failure:
            faults.append(f"{_describe(name, failure)}, found {raw[name]!r}")
    return faults


def _describe(name: str, failure: Exception) -> str:
    match = _FAULT_PATTERN.match(str(failure))
    key = ".".join(part for part in (name, match["key"]) if part)
    what = match["what"].replace("Expected", "expected").replace(", got", ", of type")
    return f"{key}: {what}" if key else what
