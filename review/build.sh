#!/bin/sh
# SPDX-License-Identifier: BSD-3-Clause
# The stand-ins are plain Python of the standard library; this only checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in standins.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
