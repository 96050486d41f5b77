SANITIZE ?=
SECONDS ?= 60
SEED ?= 1
BUILD ?= build$(if $(SANITIZE),-$(SANITIZE))
JOBS ?= $(shell nproc)

.PHONY: all bench packages build check-format format lint test demo model soak

all: build

packages:
	@dpkg -s $$(cat tools/packages.txt) >/dev/null 2>&1 || \
	  (apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $$(cat tools/packages.txt))

build:
	@cmake -S . -B $(BUILD) -G Ninja -DSANITIZE=$(SANITIZE) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

check-format:
	@tools/format.sh

format:
	@tools/format.sh --fix

lint: build
	@JOBS=$(JOBS) tools/lint.sh $(BUILD)

test: packages check-format build lint
	@ctest --test-dir $(BUILD) --output-on-failure -j 4
	@if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi

bench: build
	@$(BUILD)/tests/bench/policy/bench_policy --json docs/measurements/policy.json
	@$(BUILD)/tests/bench/lookup/bench_lookup docs/measurements/lookup.json
	@$(BUILD)/tests/bench/steering/bench_steering docs/measurements/steering.json
	@$(BUILD)/tests/bench/membership/bench_membership docs/measurements/membership.json
	@$(BUILD)/tests/bench/fleet/bench_fleet --json docs/measurements/fleet.json
	@$(BUILD)/tests/bench/latency/bench_latency docs/measurements/latency.json

demo: packages build
	@$(BUILD)/tests/demo/dragonflywinch-demo
	@$(BUILD)/tests/platform/dragonflywinch-platform-demo

# Checks the protocol models exhaustively, with a larger bound than ctest does.
model:
	@tests/model/check.sh 2 claims
	@tests/model/check.sh 3
	@tests/model/check-configuration.sh
	@tests/model/check-quotas.sh
	@tests/model/check-storereads.sh 3
	@tests/model/check-storereturn.sh

# Runs the randomised tests for SECONDS, from SEED on.
soak: build
	@$(BUILD)/tests/auto/ledgersoak/tst_ledgersoak --run_test='*/Soak' -- SECONDS=$(SECONDS) SEED=$(SEED)
