# SPDX-License-Identifier: BSD-3-Clause
"""Tests over several packages: fake fleets, processes, faces, documents."""
