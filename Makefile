# Everything runs from a virtual environment that these targets make themselves.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: run test binary format bench capacity today clean

run: .venv/made
	$(BIN)/python -m cottonlug demo

test: .venv/made
	$(BIN)/black --check cottonlug bench
	$(BIN)/ruff check cottonlug bench
	$(BIN)/mypy
	$(BIN)/python -m pytest

format: .venv/made
	$(BIN)/ruff check --fix cottonlug bench
	$(BIN)/black cottonlug bench

.venv/made: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

clean:
	rm -rf .venv build dist run
