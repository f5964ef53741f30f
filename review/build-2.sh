#!/bin/sh
# Builds the stand-ins of the second review's scripts; they need Python's standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile harness_2.py server_2.py
for case in 4 5 6 7 8; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
