PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SOURCES := papayalink fakes bench soak tests

.PHONY: all test lint format demo bench soak clean

all: test

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		-r requirements-dev.txt
	touch $@

lint: $(VENV)/.installed
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/isort --quiet --check-only $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(VENV)/.installed
	$(BIN)/isort --quiet $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

test: lint
	$(BIN)/python -m pytest -n 4 --dist worksteal

demo: $(VENV)/.installed
	$(BIN)/python -m bench.demo

bench: $(VENV)/.installed
	$(BIN)/python -m bench.run

# Some minutes of faults with fresh seeds.
soak: $(VENV)/.installed
	$(BIN)/python -m soak --fresh 10

clean:
	rm -rf $(VENV) build bench/out
