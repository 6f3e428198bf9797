VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
export PYTHONPATH := $(CURDIR)

.PHONY: setup format check types test demo bench ci clean

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev,report]'
	touch $@

format: setup
	$(BIN)/ruff format chicorybridge

check: setup
	$(BIN)/ruff format --check chicorybridge
	$(BIN)/flake8 chicorybridge

types: setup
	$(BIN)/mypy

test: setup
	$(BIN)/python -m pytest -m 'not long'

demo: setup
	sh examples/demo.sh $(BIN) $(KEEP)

bench: setup
	sh examples/bench.sh $(BIN)

ci: check types test
