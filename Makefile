# Every target uses the virtual environment in the checkout.
PY := .venv/bin/python
STAMP := .venv/.installed

.PHONY: logging-cost fault-soak platform-day capacity overhead model-check soak demo test lint format clean

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv .venv
	$(PY) -m pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

install: $(STAMP)

demo: $(STAMP)
	./examples/demo.sh

# Control's cost at several sizes, with slopes, beside the budget at 370.
SIZES ?= 4,8,16
capacity: $(STAMP)
	$(PY) benchmarks/capacity.py --sizes $(SIZES)

# What a daemon adds to a request and to a part, beside a bare relay.
overhead: $(STAMP)
	$(PY) benchmarks/overhead.py

# The specification, and that it fails with either of two rules taken out.
model-check: $(STAMP)
	$(PY) -m specification

# Many requests with faults running; counts what was lost or doubled.
REQUESTS ?= 3000
SEED ?= 1
soak: $(STAMP)
	$(PY) benchmarks/soak.py --requests $(REQUESTS) --seed $(SEED)

# Processor time that decision lines take.
logging-cost: $(STAMP)
	PYTHONPATH=. $(PY) -m benchmarks.logging_cost

# Relay daemons as processes, with faults from outside them: SEEDS seeds from
# SEED on, or fresh seeds for MINUTES.
SEEDS ?= 1
SECONDS ?= 20
MINUTES ?=
fault-soak: $(STAMP)
	$(PY) -m soak --first $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) \
		$(if $(MINUTES),--minutes $(MINUTES))

# One day of a site, played by the users' kit.
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

test: lint
	$(PY) -m pytest
	PYTHONPATH=. .venv/bin/behave -f progress

clean:
	rm -rf .venv build *.egg-info
