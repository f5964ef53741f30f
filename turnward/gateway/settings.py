# SPDX-License-Identifier: BSD-3-Clause
"""Settings of a gateway process."""

import math

import msgspec

from turnward.gateway.holders import HOLDERS_PER_WORKSPACE
from turnward.gateway.load_controls import LoadControls
from turnward.gateway.mechanisms import Mechanisms
from turnward.settings import SettingsError, convert_checked, parse_address, read_toml

__all__ = ["GatewaySettings", "load_gateway_settings"]


class GatewaySettings(msgspec.Struct, kw_only=True):
    """Settings of one gateway; unknown keys are ignored.

    Attributes
    ----------
    node : str
        Name of the instance.
    callers_address, ready_address : str
        ``IP:port`` to listen on for requests and for readiness checks.
    metrics_port, metrics_path : int, str
        Where metrics are served, on the IP address of ``callers_address``; none with port 0.
    peers_port : int
        Port on which all routers listen for peers, on the IP address of ``callers_address``.
    seeds : list of str
        ``IP:port`` of other instances; only the IP addresses are used.
    store_address : str
        ``IP:port`` of the store of versioned rows.
    link_mbit_per_s : float
        Bandwidth of the instance's link; 0 if unknown. Routers with a high bandwidth read the
        configuration first and forward it to others.
    budget_reserve_share : float
        Share of each workspace's prepaid tokens that is released slowly once the others are
        used up; see ``EndReserveRule``.
    budget_holders : int
        Number of routers that hold a workspace's prepaid tokens; other routers request tokens
        from them.
    load_controls : LoadControls
        Switches of the controls for heavy or uneven load.
    mechanisms : Mechanisms
        Switches for experiments.
    """

    node: str
    zone: str
    callers_address: str
    ready_address: str
    store_address: str
    peers_port: int
    metrics_port: int = 0
    metrics_path: str = "/metrics"
    seeds: list[str] = []
    memory_limit_mb: int = 300
    descriptor_limit: int = 4_000
    stop_limit_s: float = 8.0
    configuration_in_force_s: float = 2.0
    repeat_ratio: float = 0.2
    repeat_window_s: float = 10.0
    repeat_slack: float = 50.0
    log_lines_per_s: float = 100.0
    link_mbit_per_s: float = 0.0
    endpoint_heartbeat_ms: float = 1_200.0
    budget_reserve_share: float = 0.0
    budget_holders: int = HOLDERS_PER_WORKSPACE
    load_controls: LoadControls = LoadControls()
    mechanisms: Mechanisms = Mechanisms()

    def faults(self) -> list[str]:
        """Return errors that type conversion does not detect."""
        found = []
        for key in ("callers_address", "ready_address", "store_address"):
            if parse_address(getattr(self, key)) is None:
                found.append(f"{key}: expected IP:port, found {getattr(self, key)!r}")
        for index, seed in enumerate(self.seeds):
            if parse_address(seed) is None:
                found.append(f"seeds.{index}: expected IP:port, found {seed!r}")
        if not 0 < self.peers_port < 65_536:
            found.append(f"peers_port: expected 1 to 65535, found {self.peers_port}")
        if not 0 <= self.metrics_port < 65_536:
            found.append(f"metrics_port: expected 0 to 65535, found {self.metrics_port}")
        return found + self._amount_faults() + self.mechanisms.faults()

    def _amount_faults(self) -> list[str]:
        found = [
            f"{key}: expected a name, found none"
            for key in ("node", "zone")
            if not getattr(self, key)
        ]
        found += [
            f"{key}: expected more than 0, found {getattr(self, key)}"
            for key in (
                "stop_limit_s",
                "configuration_in_force_s",
                "repeat_window_s",
                "endpoint_heartbeat_ms",
            )
            if not 0 < getattr(self, key) < math.inf
        ]
        found += [
            f"{key}: expected 0 or more, found {getattr(self, key)}"
            for key in ("repeat_ratio", "repeat_slack", "link_mbit_per_s")
            if not 0 <= getattr(self, key) < math.inf
        ]
        if not 0 <= self.budget_reserve_share < 1:
            share = self.budget_reserve_share
            found.append(f"budget_reserve_share: expected 0 to below 1, found {share}")
        if self.budget_holders < 1:
            found.append(f"budget_holders: expected 1 or more, found {self.budget_holders}")
        return found


def load_gateway_settings(path: str) -> GatewaySettings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        The file is not valid; the message names it and lists all errors.
    """
    raw = read_toml(path)
    known = {field.encode_name for field in msgspec.structs.fields(GatewaySettings)}
    settings, faults = convert_checked(
        {key: value for key, value in raw.items() if key in known}, GatewaySettings
    )
    if faults:
        raise SettingsError([f"{path}: {fault}" for fault in faults])
    return settings
