# SPDX-License-Identifier: BSD-3-Clause
"""Programs of the repository: demo, benchmarks, generated pages."""
