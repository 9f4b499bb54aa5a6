# Everything runs from a virtual environment that these targets make themselves.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: run test test-hosts test-voters test-soak test-rest bench-cluster bench-decisions binary check-binary format bench capacity today stop clean

run: .venv/made
	$(BIN)/python -m cottonlug demo

test: .venv/made
	$(BIN)/black --check cottonlug bench soak
	$(BIN)/ruff check cottonlug bench soak
	$(BIN)/mypy
	$(MAKE) --jobs 4 --output-sync=target test-hosts test-voters test-soak test-rest

# Four lanes at a time: tests of real processes wait for most of theirs, on ports of their own.
HOST_TESTS := cottonlug/tests/test_processes.py
VOTER_TESTS := cottonlug/tests/test_control_processes.py
SOAK_TESTS := cottonlug/tests/test_soak.py

test-hosts:
	COTTONLUG_TEST_LANE=1 $(BIN)/python -m pytest $(HOST_TESTS)

test-voters:
	COTTONLUG_TEST_LANE=2 $(BIN)/python -m pytest $(VOTER_TESTS)

test-soak:
	$(BIN)/python -m pytest $(SOAK_TESTS)

test-rest:
	$(BIN)/python -m pytest --ignore $(HOST_TESTS) --ignore $(VOTER_TESTS) --ignore $(SOAK_TESTS)

format: .venv/made
	$(BIN)/ruff check --fix cottonlug bench soak
	$(BIN)/black cottonlug bench soak

.venv/made: requirements.lock requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

# One executable file that holds its dependencies; it needs only Python on the machine it runs on.
binary: dist/cottonlug

dist/cottonlug: .venv/made $(shell find cottonlug -name '*.py' -not -path '*/tests/*')
	rm -rf build/site && mkdir -p dist
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --target build/site -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --target build/site --no-deps --no-build-isolation .
	$(BIN)/shiv --compressed --reproducible --site-packages build/site --console-script cottonlug \
		--python '/usr/bin/env python3' --output-file $@

# The binary prints its version and runs the same job as `make run`.
check-binary: dist/cottonlug
	dist/cottonlug version
	dist/cottonlug demo

bench: .venv/made
	$(BIN)/python -m bench.cost | tee bench/results/cost.json

bench-decisions: .venv/made
	$(BIN)/python -m bench.decisions | tee bench/results/decisions.json

bench-cluster: .venv/made
	$(BIN)/python -m bench.cluster run > bench/results/cluster.json
	$(BIN)/python -m bench.cluster table bench/results/cluster.json

capacity: .venv/made
	$(BIN)/python -m bench.capacity

# Settings of a user's whole deployment, and one process for each file. Stop with `make stop`.
USER_NAME ?= skywatch
today: .venv/made
	$(BIN)/cottonlug examples $(USER_NAME) run/$(USER_NAME)
	cd run/$(USER_NAME) && for file in e*.yaml; do \
		$(CURDIR)/$(BIN)/cottonlug serve --config $$file 2>$$file.log & echo $$! >> pids; done; \
	for file in w*.yaml; do \
		$(CURDIR)/$(BIN)/cottonlug upstream --config $$file 2>$$file.log & echo $$! >> pids; done

stop:
	-cd run/$(USER_NAME) && xargs kill -TERM < pids && rm -f pids

clean:
	rm -rf .venv build dist run
