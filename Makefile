PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint bench install format

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -e '.[dev]'
	touch $@

demo: install
	$(BIN)/carawayvale demo

test: install
	$(BIN)/python -m pytest

lint: install
	$(BIN)/flake8 carawayvale benchmarks
	$(BIN)/ruff format --check carawayvale benchmarks

format: install
	$(BIN)/ruff format carawayvale benchmarks

bench: install
	$(BIN)/python -m benchmarks
