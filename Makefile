# VENV may name an environment that exists already.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
AREA ?= all
SOAK_SECONDS ?= 180
SOAK_NODES ?= 60

.PHONY: setup demo test check format bench soak lock clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements/dev.lock
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --require-hashes --requirement requirements/dev.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(PYTHON) -m demo

test: setup
	$(PYTHON) -m pytest

check: setup
	$(PYTHON) -m black --check --quiet .
	$(PYTHON) -m ruff check --quiet .
	$(PYTHON) -m mypy

format: setup
	$(PYTHON) -m black --quiet .
	$(PYTHON) -m ruff check --quiet --fix .

bench: setup
	$(PYTHON) -m bench --area $(AREA)

soak: setup
	$(PYTHON) -m soak --seconds $(SOAK_SECONDS) --nodes $(SOAK_NODES) $(if $(SEED),--seed $(SEED))

lock:
	pip-compile --quiet --generate-hashes --strip-extras --allow-unsafe --no-header \
	    --no-emit-index-url --no-emit-find-links --no-emit-trusted-host \
	    --output-file requirements/dev.lock requirements/dev.in
	pip-compile --quiet --generate-hashes --strip-extras --allow-unsafe --no-header \
	    --no-emit-index-url --no-emit-find-links --no-emit-trusted-host \
	    --output-file requirements/runtime.lock requirements/runtime.in

clean:
	rm -rf build .mypy_cache .pytest_cache .ruff_cache .hypothesis
