# Two entry points for a fresh machine with Python 3.11, gcc and make: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed
PACKAGES := $(wildcard packages/*)
SOURCES := packages platform benchmarks features tools

.PHONY: demo test install format lint bench clean

install: $(STAMP)

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		$(foreach package,$(PACKAGES),-e $(package))
	touch $(STAMP)

demo: install
	$(VENV)/bin/python examples/demo.py

test: install
	$(VENV)/bin/python tools/run_checks.py

bench: install
	$(VENV)/bin/python -m benchmarks

format: install
	$(VENV)/bin/black --quiet $(SOURCES) examples
	$(VENV)/bin/ruff check --quiet --fix $(SOURCES) examples

lint: install
	$(VENV)/bin/black --check --quiet $(SOURCES) examples
	$(VENV)/bin/ruff check --quiet $(SOURCES) examples

clean:
	rm -rf $(VENV)
