# SPDX-License-Identifier: BSD-3-Clause
"""The command line interface."""

from turnward.cli.commands import Commands, main

__all__ = ["Commands", "main"]
