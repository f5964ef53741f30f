#!/bin/sh
# SPDX-License-Identifier: BSD-3-Clause
# Builds all that a gateway needs under target/: libraries once, the program each time.
set -eu
if [ ! target/deps/ready -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-compile \
        --target target/deps --requirement deploy/requirements.txt
    find target/deps -depth -type d -name test -exec rm -rf {} +
    python3 -m compileall -q target/deps
    touch target/deps/ready
fi
rm -rf target/app
mkdir -p target/app
cp -R turnward platform target/app/
find target/app -depth -type d \( -name tests -o -name __pycache__ \) -exec rm -rf {} +
rm -rf target/app/platform/standins target/app/platform/tools
python3 -m compileall -q target/app
