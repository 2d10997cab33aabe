# Each public target does its own set-up; only Python 3.11 and make are needed.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
BENCH ?= ../given/kit/more/system/bin/fleetbench
PACKAGES := $(wildcard packages/*) platform

.PHONY: compare days gateway-soak setup demo test lint generate check-generated model soak bench slopes

setup: $(STAMP)

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml testing/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c requirements.lock -U setuptools wheel
	$(BIN)/pip install -q -c requirements.lock --no-build-isolation $(PACKAGES:%=-e ./%) -e ./testing
	touch $(STAMP)

$(VENV)/.tools: $(STAMP) requirements-dev.txt
	$(BIN)/pip install -q -c requirements.lock -r requirements-dev.txt
	touch $(VENV)/.tools

demo: $(STAMP)
	$(BIN)/python -m bendlead_testing.demo

test: $(STAMP)
	$(BIN)/python -m bendlead_testing.runner

lint: $(VENV)/.tools
	$(BIN)/ruff format --check packages platform testing tests
	$(BIN)/ruff check packages platform testing tests
	$(BIN)/flake8 packages platform testing tests

generate: $(VENV)/.tools
	$(BIN)/python tools/generate.py
	$(BIN)/python tools/reference.py

check-generated: $(VENV)/.tools
	$(BIN)/python tools/generate.py --check

model: $(STAMP)
	$(BIN)/python -m bendlead_testing.model

soak: $(STAMP)
	$(BIN)/python -m bendlead_testing.soak --seconds $(or $(SECONDS),40) --seed $(or $(SEED),1)

gateway-soak: $(STAMP)
	$(BIN)/python -m bendlead_testing.gateway_soak --seconds $(or $(SECONDS),20) --seed $(or $(SEED),1) --seeds $(or $(SEEDS),1)

bench: $(STAMP)
	$(BIN)/python -m bendlead_testing.bench $(NAME) --seconds $(or $(SECONDS),40)

slopes: $(STAMP)
	$(BIN)/python -m bendlead_testing.bench slopes

# Two checkouts, both outside the repository, on the same days and seeds.
compare: $(STAMP)
	$(BIN)/python -m bendlead_testing.compare --bench $(BENCH) --before $(A) --after $(B) $(SITES:%=--site %) --days $(DAYS) --seeds $(SEEDS) --why "$(or $(WHY),make compare)"

# The users' bench lies outside the repository; SITES are its site files.
days: $(STAMP)
	$(BIN)/python -m bendlead_testing.days --bench $(BENCH) $(SITES:%=--site %) --days $(or $(DAYS),platform/days) --only "$(ONLY)" --jobs $(or $(JOBS),4) --why "$(or $(WHY),make days)"
