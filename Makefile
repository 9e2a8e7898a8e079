VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/installed

.PHONY: demo check soak measure binary clean

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[check,binary]'
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) scripts/demo.py

check: $(STAMP)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy
	$(PYTHON) scripts/run_tests.py

clean:
	rm -rf $(VENV) build dist
