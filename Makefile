# Targets for developers and CI; the build itself uses CMake.
BUILD ?= build
JOBS ?= $(shell nproc)
DEPLOYMENT ?= kowhai
# Build directories that "make test" tests; see test-all.
TEST_BUILDS ?= $(BUILD)

.PHONY: all setup build test demo bench capacity lint format format-check \
    build-asan build-tsan test-asan test-tsan test-all fuzz clean

all: build

setup:
	@scripts/setup

build: setup
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	    -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory

test: build
	@tests/run $(TEST_BUILDS)

build-asan: setup
	@cmake -S . -B build-asan -DKF_SANITIZE=address,undefined >/dev/null
	@cmake --build build-asan -j $(JOBS) -- --no-print-directory

build-tsan: setup
	@cmake -S . -B build-tsan -DKF_SANITIZE=thread >/dev/null
	@cmake --build build-tsan -j $(JOBS) -- --no-print-directory

test-asan: build-asan
	@tests/run build-asan

test-tsan: build-tsan
	@tests/run build-tsan

# Tests all builds in one run, so that tests that wait leave the processors to
# the others.
test-all: build build-asan build-tsan
	@$(MAKE) --no-print-directory test \
	    TEST_BUILDS="build-tsan build-asan $(BUILD)"

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
