# SPDX-License-Identifier: BSD-3-Clause
"""Settings of router processes, and tools to read settings files."""

from turnward.settings.core import (
    RouterSettings,
    SettingsError,
    convert_checked,
    load_settings,
    parse_address,
    parse_peer_address,
    read_toml,
)

__all__ = [
    "RouterSettings",
    "SettingsError",
    "convert_checked",
    "load_settings",
    "parse_address",
    "parse_peer_address",
    "read_toml",
]
