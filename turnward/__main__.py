# SPDX-License-Identifier: BSD-3-Clause
"""Lets ``python -m turnward`` run the command line."""

from turnward.cli import main

if __name__ == "__main__":
    main()
