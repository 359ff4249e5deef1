# Every target sets up what it needs on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: help setup lint format types test demo dist bench faults soak platform-soak capacity clean

help:  ## List the targets.
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 12

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

setup: $(STAMP)  ## Create the virtual environment with the pinned packages.

lint: $(STAMP)  ## Check lint rules, formatting and types.
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

format: $(STAMP)  ## Format the code and sort the imports.
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

test: $(STAMP)  ## Run all tests.
	$(BIN)/python -m benchmarks.run_tests

demo: $(STAMP)  ## Start the whole system on loopback and send it requests.
	$(BIN)/python -m benchmarks.demo

dist: $(STAMP)  ## Build dist/fighitch, the program as one file.
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed --reproducible -e fighitch.cli.app:main \
		-o dist/fighitch . --constraint requirements.txt

bench: $(STAMP)  ## Measure the decisions against baselines, print the table.
	$(BIN)/python -m benchmarks.bench

faults: $(STAMP)  ## Run the fault matrix: every fault at every step.
	$(BIN)/python -m benchmarks.faults

soak: $(STAMP)  ## Randomised faults under load: make soak SEED=1 DURATION=60.
	$(BIN)/python -m benchmarks.soak --seed $(or $(SEED),1) --duration $(or $(DURATION),60)

platform-soak: $(STAMP)  ## Random faults on the platform path: make platform-soak SEED=1 SEEDS=3.
	$(BIN)/python -m benchmarks.platform_soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),3)

capacity: $(STAMP)  ## Measure the slopes behind docs/CAPACITY.md.
	$(BIN)/python -m benchmarks.capacity

clean:  ## Remove what the other targets made.
	rm -rf $(VENV) build dist *.egg-info
