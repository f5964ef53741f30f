# SPDX-License-Identifier: BSD-3-Clause
"""Entry point of ``python -m turnward``."""

from turnward.cli import main

if __name__ == "__main__":
    main()
