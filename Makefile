# SPDX-License-Identifier: BSD-3-Clause
# Each target sets up what it needs; only Python 3.11 is expected on the machine.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test check format clean

$(VENV)/ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements-dev.txt
	touch $@

demo: $(VENV)/ready
	$(BIN)/python -m tools.demo $(if $(KILL),--kill)

test: $(VENV)/ready
	$(BIN)/python -m pytest

check: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build dist
