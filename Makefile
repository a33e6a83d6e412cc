# The front door: each target sets itself up from a clean clone.
VENV := .venv
PY := $(VENV)/bin/python
READY := $(VENV)/.ready
export PYTHONPATH := $(CURDIR)

SEED ?=
SEEDS ?= 1
SECONDS ?= 30

.PHONY: help setup demo test spec soak bench capacity format lint types check proto clean

help: ## Show this list
	@grep -hE '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/' | expand -t 12

setup: $(READY) ## Create .venv with the pinned tools

$(READY): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(READY)

demo: setup ## Start stand-ins and six entry VMs, send a mixed load, print a table
	$(PY) -m tests.utils.demo

test: setup ## Run all tests
	$(PY) -m pytest

spec: setup ## Check the core protocols and their mutants
	$(PY) -m spec

soak: setup ## Random faults on real processes: make soak SEED=17 SEEDS=5 SECONDS=30
	$(PY) -m tests.soak $(if $(SEED),--seed $(SEED)) --seeds $(SEEDS) --seconds $(SECONDS)

bench: setup ## Measure the decisions beside the baselines
	$(PY) -m tests.benchmarks

capacity: setup ## Measure the slopes behind docs/CAPACITY.md
	$(PY) -m tests.benchmarks.capacity

format: setup ## Write the house format
	$(PY) -m ruff format .

lint: setup ## Check format and style
	$(PY) -m ruff format --check .
	$(PY) -m flake8 bramleybend spec tests

types: setup ## Check the types
	$(PY) -m mypy

proto: setup ## Generate the wire code again (the output is committed)
	$(PY) -m grpc_tools.protoc -I . --python_out=. --pyi_out=. --grpc_python_out=. bramleybend/wire/bramleybend.proto

check: lint types test ## All that CI runs

clean: ## Remove what the targets made
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache run build *.egg-info
