# `make demo` and `make test` do all set-up by themselves on a machine with Python 3.11.

PYTHON ?= python3
VENV ?= .venv
DEPLOYMENT ?= kente
SEEDS ?= 1 3
SOAK_LOGS ?= target/soak
JOBS ?= 3
PACKAGES := persimmonyoke persimmonyoke_testing persimmonyoke_node persimmonyoke_cli
SOURCES := $(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)/src) $(CURDIR)/platform/src
empty :=
space := $(empty) $(empty)
# A checkout tests its own sources, also when it shares another checkout's VENV.
export PYTHONPATH := $(subst $(space),:,$(SOURCES))

# The stamp's name holds the digest of the pinned requirements, so that a change of
# the requirements installs them again and nothing else does.
DIGEST := $(shell cat requirements.txt requirements-dev.txt | sha256sum | cut -c1-16)
STAMP := $(VENV)/.installed-$(DIGEST)

.PHONY: setup test lint format demo soak crash-trial limit-trial version-trial \
    partition-trial silence-trial stop-trial engine-trial regression
setup: $(STAMP)

$(STAMP):
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check \
	    -r requirements-dev.txt
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check \
	    --no-deps --no-build-isolation \
	    $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

# make test TESTS=persimmonyoke.internal.once runs one slice or one test.
test: $(STAMP)
	$(VENV)/bin/python -m persimmonyoke_testing.run_tests $(TESTS)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check packages platform
	$(VENV)/bin/ruff check packages platform

format: $(STAMP)
	$(VENV)/bin/ruff format packages platform
	$(VENV)/bin/ruff check --fix packages platform

# make soak SEEDS="100 149" runs the fault soak with these seeds, 30 s each.
soak: $(STAMP)
	$(VENV)/bin/python -m persimmonyoke_platform_testing.soak --seeds $(SEEDS) \
	    --logs $(SOAK_LOGS)

# make crash-trial plays requests that crash replicas against real hosts.
crash-trial: $(STAMP)
	$(VENV)/bin/python -m persimmonyoke_platform_testing.crashes --logs $(SOAK_LOGS)

# make limit-trial plays replicas that limit their requests against real hosts.
limit-trial: $(STAMP)
	$(VENV)/bin/python -m persimmonyoke_platform_testing.limits --logs $(SOAK_LOGS)

# make version-trial plays replicas of two software versions against real hosts.
version-trial: $(STAMP)
	$(VENV)/bin/python -m persimmonyoke_platform_testing.versions --logs $(SOAK_LOGS)

# make partition-trial plays real hosts that are partitioned from all replicas.
partition-trial: $(STAMP)
	$(VENV)/bin/python -m persimmonyoke_platform_testing.partitions --logs $(SOAK_LOGS)

# make silence-trial plays replicas that fall silent for a second against real hosts.
silence-trial: $(STAMP)
	$(VENV)/bin/python -m persimmonyoke_platform_testing.silences --logs $(SOAK_LOGS)

# make stop-trial plays real hosts that are stopped and started in turn.
stop-trial: $(STAMP)
	$(VENV)/bin/python -m persimmonyoke_platform_testing.stops --logs $(SOAK_LOGS)

# make engine-trial plays real hosts beside engine processes that fail.
engine-trial: $(STAMP)
	$(VENV)/bin/python -m persimmonyoke_platform_testing.engine_faults \
	    --logs $(SOAK_LOGS)

# make regression BENCH=path/to/fleetbench SITES="a.toml b.toml" scores and hunts sites.
regression: $(STAMP)
	$(VENV)/bin/python -m persimmonyoke_platform_testing.regression \
	    --bench $(BENCH) --jobs $(JOBS) $(SITES)

demo: $(STAMP)
	$(VENV)/bin/persimmonyoke demo --deployment $(DEPLOYMENT)
