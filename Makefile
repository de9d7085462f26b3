# Targets set up their own virtual environment in .venv from the lock file.
VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src:.
export PYTHONHASHSEED := 0

.PHONY: demo overhead test lint format bench guards slopes setup soak \
	platform-run platform-score

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements.lock
	$(PY) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(PY) tools/check_core_imports.py
	$(PY) tools/check_waits.py
	$(PY) tools/run_matrix.py --check

test: lint
	$(PY) tools/run_tests.py

demo: setup
	$(PY) -m demo.main

bench: setup
	$(PY) -m bench.main

overhead: setup
	$(PY) -m bench.overhead

slopes: setup
	$(PY) -m bench.slopes

# SEED=0 derives the seeds from the clock.
SEED ?= 0
SEEDS ?= 10
JOBS ?= 2
soak: setup
	$(PY) -m soak.main --seed $(SEED) --seeds $(SEEDS) --jobs $(JOBS)

guards: setup
	$(PY) tools/run_guards.py

# The users' benchmark program and one of their site files; neither is part of
# the repository.
FLEETBENCH ?= ../given/kit/more/system/bin/fleetbench
SITE ?= ../given/kit/more/system/sites/kabine-obala.toml
DAY ?= quiet-1
WHY ?= run by make

platform-run platform-score:
	@test -x $(FLEETBENCH) || { echo "$@: no bench at $(FLEETBENCH);" \
		"set FLEETBENCH to the users' fleetbench program" >&2; exit 1; }
	@test -r $(SITE) || { echo "$@: no site file at $(SITE);" \
		"set SITE to one of the users' site files" >&2; exit 1; }
	$(FLEETBENCH) $(if $(filter $@,platform-run),run $(SITE) $(DAY),score \
		$(SITE)) --why "$(WHY)"
