# The two commands a newcomer needs are `make demo` and `make test`.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed.stamp
SEED ?= 1
EXAMPLES ?= 2000
COUNT ?= 10
CODE := rhubarbshed standin test tools

.PHONY: demo test check lint format bench policy capacity fuzz soak

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m tools.demo

lint: $(STAMP)
	$(BIN)/black --check --quiet $(CODE)
	$(BIN)/ruff check --quiet $(CODE)
	$(BIN)/lint-imports --no-logo

format: $(STAMP)
	$(BIN)/black --quiet $(CODE)
	$(BIN)/ruff check --quiet --fix $(CODE)

check: lint
	$(BIN)/python -m pytest -n 6 --dist worksteal -m "not slow"

test: lint
	$(BIN)/python -m pytest -n 4 --dist worksteal

bench: $(STAMP)
	$(BIN)/python -m tools.bench

policy: $(STAMP)
	$(BIN)/python -m tools.policy --seed $(SEED)

capacity: $(STAMP)
	$(BIN)/python -m tools.capacity

fuzz: $(STAMP)
	$(BIN)/python -m tools.fuzz --seed $(SEED) --examples $(EXAMPLES)

soak: $(STAMP)
	$(BIN)/python -m tools.soak play --seed $(SEED) --count $(COUNT)
