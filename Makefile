PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := nutmeglift nutmeglift_wire nutmeglift_agent nutmeglift_fakes \
	nutmeglift_router nutmeglift_gateway
EDITABLE := $(foreach package,$(PACKAGES),-e packages/$(package)) -e platform
PIP := $(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt
SOURCES := packages platform tests benchmarks

.PHONY: demo test check format bench setup setup-dev

$(VENV)/.runtime: constraints.txt $(wildcard packages/*/pyproject.toml) \
		platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(PIP) $(EDITABLE)
	touch $@

$(VENV)/.dev: $(VENV)/.runtime requirements-dev.txt
	$(PIP) -r requirements-dev.txt
	touch $@

setup: $(VENV)/.runtime

setup-dev: $(VENV)/.dev

demo: setup
	$(BIN)/nutmeglift demo

test: setup-dev
	PYTHONHASHSEED=0 $(BIN)/python -m tests

check: setup-dev
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy $(foreach package,$(PACKAGES),packages/$(package)/$(package)) \
		platform/nutmeglift_platform tests benchmarks

format: setup-dev
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

bench: setup-dev
	$(BIN)/python -m benchmarks $(if $(ONLY),--only=$(ONLY))
