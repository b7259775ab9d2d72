# Common tasks. Each target makes the environment first; nothing else is needed on the machine.
VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: environment test lint format demo

environment: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

test: environment
	$(PYTHON) -m pytest

lint: environment
	$(VENV)/bin/ruff check mountstand tests
	$(VENV)/bin/ruff format --check mountstand tests
	$(VENV)/bin/mypy

format: environment
	$(VENV)/bin/ruff check --fix mountstand tests
	$(VENV)/bin/ruff format mountstand tests

demo: environment
	$(PYTHON) -m mountstand demo
