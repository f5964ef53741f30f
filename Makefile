# SPDX-License-Identifier: BSD-3-Clause
# Each target sets up what it needs; only Python 3.11 is expected on the machine.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
# Workers that run the tests side by side: half of the cores of the machine that CI runs on.
WORKERS ?= 4
SOURCES := $(shell find turnward -name '*.py' -o -name '*.toml' -o -name '*.capnp') pyproject.toml

.PHONY: demo platform-demo soak streams test check dist bench docs format clean

$(VENV)/ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --quiet --disable-pip-version-check --requirement requirements-dev.txt
	touch $@

demo: $(VENV)/ready
	$(BIN)/python -m tools.demo $(if $(KILL),--kill)

platform-demo: $(VENV)/ready
	$(BIN)/python platform/standins/demo.py

soak: $(VENV)/ready
	$(BIN)/python platform/standins/soak.py --seeds $(or $(SEEDS),3) $(if $(SEED),--first $(SEED)) $(if $(OLD),--old $(OLD)) $(if $(LOAD),--load $(LOAD)) $(if $(ONLY),--only) $(if $(KEEP),--keep $(KEEP))

streams: $(VENV)/ready
	$(BIN)/python platform/standins/stream_probe.py --seeds $(or $(SEEDS),3) $(if $(SEED),--first $(SEED)) $(if $(BODIES),--bodies $(BODIES)) $(if $(KEEP),--keep $(KEEP))
	$(BIN)/python platform/standins/stream_probe.py --rejoin --seeds $(or $(SEEDS),3) $(if $(SEED),--first $(SEED)) $(if $(BODIES),--bodies $(BODIES)) $(if $(KEEP),--keep $(KEEP)/rejoin)

test: $(VENV)/ready dist/turnward
	mkdir -p build
	$(BIN)/python -m pytest --numprocesses=$(WORKERS) --dist=loadfile --junitxml=build/tests.xml
	$(BIN)/python -m tools.check_promises build/tests.xml

dist: dist/turnward

dist/turnward: $(VENV)/ready $(SOURCES)
	mkdir -p dist
	$(BIN)/shiv --quiet --reproducible --root /tmp/turnward --console-script turnward \
		--python '/usr/bin/env python3.11' --output-file $@ --requirement requirements.txt .

bench: $(VENV)/ready
	$(BIN)/python -m tools.bench

docs: $(VENV)/ready
	$(BIN)/python -m tools.settings_reference
	$(BIN)/python -m tools.package_pages
	$(BIN)/python platform/tools/capacity_page.py

check: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build dist
