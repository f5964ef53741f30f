# SPDX-License-Identifier: BSD-3-Clause
"""Tests of ``turnward.http1``."""
