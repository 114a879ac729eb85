# Targets run in the virtual environment of the checkout.
PY := .venv/bin/python
STAMP := .venv/.installed

.PHONY: releases trials partial-outages gossip-cost logging-cost fault-soak platform-day capacity overhead model-check soak demo test lint format clean

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv .venv
	$(PY) -m pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

install: $(STAMP)

demo: $(STAMP)
	./examples/demo.sh

# Control-plane cost and its slope over fleet sizes, extrapolated to 370 daemons
# and compared with the budget.
SIZES ?= 4,8,16
capacity: $(STAMP)
	$(PY) benchmarks/capacity.py --sizes $(SIZES)

# Overhead of a daemon per request and per part, relative to a bare relay.
overhead: $(STAMP)
	$(PY) benchmarks/overhead.py

# Model-checks the specification, and that it fails with either rule disabled.
model-check: $(STAMP)
	$(PY) -m specification

# Soak test in one process: counts lost and repeated work under faults.
REQUESTS ?= 3000
SEED ?= 1
soak: $(STAMP)
	$(PY) benchmarks/single_process_soak.py --requests $(REQUESTS) --seed $(SEED)

# CPU time that a daemon spends on its decision log.
logging-cost: $(STAMP)
	PYTHONPATH=. $(PY) -m benchmarks.logging_cost

# How often trials of versions end wrongly, by kind of version and fleet: about
# ten minutes on a busy machine.
trials: $(STAMP)
	PYTHONPATH=. $(PY) -m benchmarks.trials --seeds 20

# What notices of crashes cost each daemon of a large fleet.
gossip-cost: $(STAMP)
	PYTHONPATH=. $(PY) -m benchmarks.crash_gossip

# What sound daemons of emulated fleets know while others lose the store.
partial-outages: $(STAMP)
	PYTHONPATH=. $(PY) -m benchmarks.partial_outages

# Soak test of relay daemons in separate processes, with faults injected from
# outside: SEEDS consecutive seeds from SEED, or new seeds for MINUTES minutes.
SEEDS ?= 1
SECONDS ?= 20
MINUTES ?=
SCENARIO ?= all
fault-soak: $(STAMP)
	$(PY) -m soak --first $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) \
		--scenario $(SCENARIO) \
		$(if $(MINUTES),--minutes $(MINUTES))

# Endpoints that are replaced all the time before a daemon with 4,100 descriptors,
# for 95 s; tests/test_releases.py plays a short variant.
releases: $(STAMP)
	PYTHONPATH=. $(PY) -m tests.releases

# Simulates one day of a site with the fleetbench kit.
KIT ?= ../given/kit/more/system
SITE ?= klf-eventforms
DAY ?= quiet-1
platform-day:
	$(KIT)/bin/fleetbench run $(KIT)/sites/$(SITE).toml $(DAY)

lint: $(STAMP)
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/flake8 laurelwind standins
	.venv/bin/mypy
	.venv/bin/lint-imports

format: $(STAMP)
	.venv/bin/ruff format .
	.venv/bin/ruff check --fix .

# Tests that KNOWN-RED.txt names in lines that begin with `pass over` are left
# out; CI prints the file.
KNOWN_RED = $(shell sed -n 's/^pass over \(.*\)/--deselect "\1"/p' KNOWN-RED.txt)

test: lint
	$(PY) -m pytest $(KNOWN_RED)
	PYTHONPATH=. .venv/bin/behave -f progress

clean:
	rm -rf .venv build *.egg-info
