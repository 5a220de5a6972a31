# Entry points for people and CI; CMake does the building.
BUILD ?= build
JOBS ?= $(shell nproc)
DEPLOYMENT ?= kowhai

.PHONY: all setup build test demo bench capacity lint format format-check \
    test-asan test-tsan fuzz clean

all: build

setup:
	@scripts/setup

build: setup
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	    -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory

test: build
	@tests/run $(BUILD)

test-asan: setup
	@cmake -S . -B build-asan -DKF_SANITIZE=address,undefined >/dev/null
	@cmake --build build-asan -j $(JOBS) -- --no-print-directory
	@tests/run build-asan

test-tsan: setup
	@cmake -S . -B build-tsan -DKF_SANITIZE=thread >/dev/null
	@cmake --build build-tsan -j $(JOBS) -- --no-print-directory
	@tests/run build-tsan

fuzz: setup
	@scripts/fuzz

demo: build
	@scripts/demo $(BUILD) $(DEPLOYMENT)
	@scripts/demo-packets $(BUILD)

bench: build
	@scripts/bench $(BUILD)

capacity: build
	@scripts/capacity $(BUILD)

format: setup
	@scripts/sources | xargs clang-format -i

format-check: setup
	@scripts/sources | xargs clang-format --dry-run -Werror

lint: format-check build
	@scripts/lint $(BUILD)

clean:
	rm -rf build build-asan build-tsan build-fuzz
