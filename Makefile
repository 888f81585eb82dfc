PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
SEED ?= 1
STAMP := $(VENV)/.installed

.PHONY: setup test lint unit demo bench soak plots clean

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/pip install --quiet --require-hashes -r requirements-dev.txt
	touch $(STAMP)

lint: setup
	$(BIN)/ruff format --check jackdawfield tests bench scripts soak
	$(BIN)/ruff check jackdawfield tests bench scripts soak
	$(BIN)/flake8 jackdawfield tests bench scripts soak
	$(BIN)/mypy

unit: setup
	$(BIN)/python scripts/run_tests.py

test: lint unit

demo: setup
	$(BIN)/python scripts/demo.py

bench: setup
	$(BIN)/python -m bench

soak: setup
	$(BIN)/python -m soak --seed $(SEED)

clean:
	rm -rf $(VENV)
