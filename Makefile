PYTHON ?= python3
BIN := .venv/bin
PACKAGES := godwitway godwitwayd godwitctl godwitway-standins
FOLDERS := $(addprefix packages/,$(PACKAGES)) platform
EDITABLE := $(addprefix -e ,$(FOLDERS))
TOOLS := "pytest>=8,<10" "hypothesis>=6.100,<7" "ruff>=0.5,<0.18"
JOBS ?= 4
# The trace of the demo is not replayed.
REPLAYS ?= $(filter-out traces/demo.jsonl,$(wildcard traces/*.jsonl))

.PHONY: demo test lint format bench bench-scale replay soak traces golden clean

.venv/installed: $(addsuffix /pyproject.toml,$(FOLDERS)) Makefile
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check $(EDITABLE) $(TOOLS)
	touch $@

demo: .venv/installed
	sh examples/demo.sh $(BIN)

test: .venv/installed
	set -e; for folder in $(FOLDERS); do \
	  echo "testing $$folder"; (cd $$folder && $(CURDIR)/$(BIN)/python -m pytest); \
	done

lint: .venv/installed
	set -e; for folder in $(FOLDERS); do \
	  (cd $$folder && $(CURDIR)/$(BIN)/ruff format --check . && $(CURDIR)/$(BIN)/ruff check .); \
	done

format: .venv/installed
	set -e; for folder in $(FOLDERS); do \
	  (cd $$folder && $(CURDIR)/$(BIN)/ruff format -q . && $(CURDIR)/$(BIN)/ruff check -q --fix . && $(CURDIR)/$(BIN)/ruff format -q .); \
	done

# Replays every trace with godwitway and with the baseline schemes; prints one JSON line for each.
replay: .venv/installed
	@ls $(REPLAYS) | xargs -P $(JOBS) -n 1 $(BIN)/godwitway-standin replay --scheme all

# Seeds beyond 4 repeat past failures.
# 207: SIGHUP ended a host that was just starting; still fails, see KNOWN-RED.txt.
# 243: the soak check applied the time limit of an undisturbed system to a drain that the store
# accepted between two faults.
# 2240: a host that used its whole stop bound ended late on a busy machine; see KNOWN-RED.txt.
SEEDS ?= 1 2 3 4 207 243 2240
SOAK_FOLDER ?= .soak

# Runs entry host processes under randomized faults; SEEDS="7 8" selects other seeds.
soak: .venv/installed
	$(BIN)/godwitway-standin soak $(addprefix --seed ,$(SEEDS)) --folder $(SOAK_FOLDER) --at-once 3

# Generates all recorded traces again; the seeds determine their content.
traces: .venv/installed
	rm -f traces/*.jsonl
	$(BIN)/godwitway-standin make traces/demo.jsonl --seconds 25 --held 400 --seed 3 --imbalance 1.1
	$(BIN)/godwitway-standin make-all traces --seed 1
	$(BIN)/godwitway-standin make-all traces --seed 2 --only planned --only kill-one --only cut-zone --only lossy --only together

# Writes the expected results of test_golden.py again.
golden: .venv/installed
	cd packages/godwitway-standins && GODWITWAY_WRITE_GOLDEN=1 ../../$(BIN)/python -m pytest tests/test_golden.py

bench: .venv/installed
	PYTHONPATH=packages/godwitway/tests $(BIN)/python benchmarks/bench.py
	PYTHONPATH=packages/godwitway/tests $(BIN)/python benchmarks/steering.py

# Measures the cost of control traffic and membership with 7, 50 and 120 host processes; takes about three minutes.
bench-scale: .venv/installed
	$(BIN)/python benchmarks/scale.py $(BIN) 7 50 120

clean:
	rm -rf .venv
