# Targets for users and contributors. `make run` and `make test` need only
# Python, make and a package client; everything else is installed here.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
SOURCES := lavenderspoke standins features bench spec soak

.PHONY: run test lint format model behave falsify measure slopes ablation fleet longanswers contended soak clean

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[test]'
	touch $(STAMP)

# Spin comes from Debian; it compiles each model with the machine's gcc.
.PHONY: checker
checker:
	command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin gcc; }

format: $(STAMP)
	$(BIN)/isort --quiet $(wildcard $(SOURCES))
	$(BIN)/black --quiet $(wildcard $(SOURCES))

lint: $(STAMP)
	$(BIN)/isort --check-only $(wildcard $(SOURCES))
	$(BIN)/black --check --quiet $(wildcard $(SOURCES))
	$(BIN)/flake8 $(wildcard $(SOURCES))

model: $(STAMP) checker
	$(BIN)/python -m spec.check

behave: $(STAMP)
	$(BIN)/behave --format progress features

test: $(STAMP) checker
	$(BIN)/python -m features.suite

run: $(STAMP)
	$(BIN)/python -m standins.demo

falsify: $(STAMP)
	$(BIN)/python -m features.falsify

measure: $(STAMP)
	$(BIN)/python -m bench.measure

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

# What each rule of direct dispatch is worth, in a driven model.
ablation: $(STAMP)
	$(BIN)/python -m bench.ablation

# What choosing among fewer upstreams is worth with many entries, in a driven model.
fleet: $(STAMP)
	$(BIN)/python -m bench.fleet

# What sharing the places that come free is worth, in a driven model.
contended: $(STAMP)
	$(BIN)/python -m bench.contended

# What places kept free cost a burst of long answers, in a driven model.
longanswers: $(STAMP)
	$(BIN)/python -m bench.longanswers

# Fifty seeds of faults on real processes; a seed's logs stay in out/soak.
soak: $(STAMP)
	$(BIN)/python -m soak

clean:
	rm -rf $(VENV) build out *.egg-info
