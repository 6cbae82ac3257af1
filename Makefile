VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint format capacity clean

$(STAMP): pyproject.toml constraints.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m primrosepier demo

lint: $(STAMP)
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

format: $(STAMP)
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

test: lint
	$(PYTHON) -m pytest -n 3 --dist loadfile -m "not alone"
	$(PYTHON) -m pytest -m alone

capacity: $(STAMP)
	$(PYTHON) -m primrosepier bench scale --json > docs/capacity.json
	$(PYTHON) -m primrosepier capacity-page docs/capacity.json > docs/CAPACITY.md

clean:
	rm -rf build out .pytest_cache .mypy_cache .ruff_cache
