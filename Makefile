VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/installed
SEED ?= 1
ROUNDS ?= 100

.PHONY: demo check fleet tutorial soak measure trials binary clean

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[check,binary]'
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) scripts/demo.py
	$(PYTHON) scripts/demo_platform.py

check: $(STAMP)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy
	$(PYTHON) scripts/run_tests.py

fleet: $(STAMP)
	$(PYTHON) scripts/local_fleet.py

tutorial: $(STAMP)
	$(PYTHON) scripts/run_tutorial.py

soak: $(STAMP)
	$(PYTHON) scripts/soak.py --seed $(SEED) --rounds $(ROUNDS)

measure: $(STAMP)
	$(PYTHON) scripts/measure_entry.py
	$(PYTHON) scripts/measure_control.py
	$(PYTHON) scripts/measure_idle.py
	$(PYTHON) scripts/measure_membership.py
	$(PYTHON) scripts/measure_slopes.py
	$(PYTHON) scripts/measure_policy.py
	$(PYTHON) scripts/measure_gateway.py

trials: $(STAMP)
	$(PYTHON) scripts/trials.py
	$(PYTHON) scripts/trial_runs.py --seed $(SEED) --rounds 5

binary: $(STAMP)
	scripts/build_binary.sh

clean:
	rm -rf $(VENV) build dist
