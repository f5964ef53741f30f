# SPDX-License-Identifier: BSD-3-Clause
"""Development tools: demo, benchmarks, documentation generators and checks."""
