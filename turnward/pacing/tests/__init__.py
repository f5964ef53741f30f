# SPDX-License-Identifier: BSD-3-Clause
"""Tests of this package."""
