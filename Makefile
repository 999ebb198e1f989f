# On a new machine, run `make demo` or `make test`; both install the required packages first.
JOBS ?= $(shell nproc)
BUILD ?= build

.PHONY: all packages build test test-asan test-tsan demo bench format lint generate clean

all: build

packages:
	tools/install-packages.sh

build:
	cmake --preset default >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: packages build
	tools/run-tests.sh $(BUILD)

test-asan: packages
	cmake --preset asan >/dev/null
	cmake --build build-asan -j $(JOBS)
	tools/run-tests.sh build-asan

test-tsan: packages
	cmake --preset tsan >/dev/null
	cmake --build build-tsan -j $(JOBS)
	tools/run-tests.sh build-tsan

demo: packages build
	samples/demo.sh $(BUILD)

bench: packages build
	tools/bench.sh $(BUILD)

format:
	tools/format.sh fix

lint: build
	tools/format.sh check
	tools/lint.sh $(BUILD)

generate:
	thrift -r --gen cpp:no_skeleton,moveable_types -out src/gen-cpp idl/agatedrum.thrift

clean:
	rm -rf build build-asan build-tsan
