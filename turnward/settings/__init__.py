# SPDX-License-Identifier: BSD-3-Clause
"""Settings of the processes."""

from turnward.settings.core import (
    RouterSettings,
    SettingsError,
    convert_checked,
    load_settings,
    parse_address,
    read_toml,
)

__all__ = [
    "RouterSettings",
    "SettingsError",
    "convert_checked",
    "load_settings",
    "parse_address",
    "read_toml",
]
