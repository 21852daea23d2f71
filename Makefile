# Targets for developers and CI; CMake builds the code.
PACKAGES = gcc g++ make cmake pkg-config libh2o-evloop-dev libssl-dev zlib1g-dev libzmq3-dev libyaml-dev \
	libprotobuf-c-dev libjansson-dev libxxhash-dev libglib2.0-dev libgtest-dev curl
LINT_PACKAGES = clang-format clang-tidy cppcheck man-db
BENCH_PACKAGES = valgrind gnuplot-nox
FUZZ_PACKAGES = clang libclang-rt-14-dev
SCHEMA_PACKAGES = protobuf-c-compiler
JOBS ?= $(shell nproc)
OURS = $(shell git ls-files --cached --others --exclude-standard '*.c' '*.h' | grep -v pb-c)
TESTS = $(shell git ls-files --cached --others --exclude-standard 'test/*.cc' 'test/*.h' 'soak/*.cc' 'soak/*.h')

all: build/release/carobrun

deps lint-deps bench-deps fuzz-deps schema-deps: PKGS = $(PACKAGES)
lint-deps: PKGS += $(LINT_PACKAGES)
bench-deps: PKGS += $(BENCH_PACKAGES)
fuzz-deps: PKGS += $(FUZZ_PACKAGES)
schema-deps: PKGS += $(SCHEMA_PACKAGES)
deps lint-deps bench-deps fuzz-deps schema-deps:
	@missing=; for p in $(PKGS); do dpkg -s $$p >/dev/null 2>&1 || missing="$$missing $$p"; done; \
	if [ -n "$$missing" ]; then apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $$missing >/dev/null; fi

build/release/carobrun: deps FORCE
	@cmake -S . -B build/release -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build build/release -j $(JOBS) -- --no-print-directory -s

build/test: deps FORCE
	@cmake -S . -B build/test -DCMAKE_BUILD_TYPE=Debug -DSANITIZE=ON >/dev/null
	@cmake --build build/test -j $(JOBS) -- --no-print-directory -s

# Tests named in KNOWN-RED.txt fail because of known faults; only these are skipped.
test: build/test
	@known=$$(sed -n 's/^test: *\([A-Za-z0-9_.\/]*\.[A-Za-z0-9_.\/]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd:); \
	if [ -n "$$known" ]; then echo "known failures, not run: $$known"; export GTEST_FILTER="-$$known"; fi; \
	cd build/test && ctest --output-on-failure -j 4

demo: build/release/carobrun
	bash demo/run.sh build/release

# Keeps the demo's processes running until Ctrl-C.
site: build/release/carobrun
	@bash demo/run.sh --site build/release

bench: bench-deps build/release/carobrun
	bash bench/run.sh build/release

report: bench-deps build/release/carobrun
	bash bench/report.sh build/release

# Prints the tables that docs/CAPACITY.md quotes.
capacity: bench-deps build/release/carobrun
	bash bench/capacity.sh build/release
	bash bench/slopes.sh build/release

# Runs a small site without its log for ten minutes.
outage: build/release/carobrun
	bash bench/outage.sh build/release

fuzz: fuzz-deps
	@CC=clang CXX=clang++ cmake -S . -B build/fuzz -DCMAKE_BUILD_TYPE=Debug -DSANITIZE=ON -DFUZZ=ON >/dev/null
	@cmake --build build/fuzz --target fuzz_all -j $(JOBS) -- --no-print-directory -s
	bash fuzz/run.sh build/fuzz $(FUZZ_RUNS)

fmt: lint-deps
	clang-format -i $(OURS) $(TESTS)

lint: lint-deps
	@for page in man/*; do \
		text=$$(man --warnings -l $$page 2>&1 >/dev/null); \
		[ -z "$$text" ] || { echo "$$page: $$text"; exit 1; }; \
	done
	clang-format --dry-run -Werror $(OURS) $(TESTS)
	@cmake -S . -B build/lint -DCMAKE_BUILD_TYPE=Debug >/dev/null
	cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 --enable=warning,portability,performance \
		--suppress=missingIncludeSystem --suppress=*:schema/* -I . -j $(JOBS) $(filter %.c,$(OURS))
	echo $(filter-out fuzz/%,$(filter %.c,$(OURS))) | tr ' ' '\n' | xargs -P $(JOBS) -n 2 clang-tidy --quiet -p build/lint

schema: schema-deps
	protoc-c --c_out=. schema/batch.proto schema/carobrun.proto

clean:
	rm -rf build

FORCE:
.PHONY: all deps lint-deps bench-deps fuzz-deps schema-deps test demo site bench report capacity outage fuzz fmt lint schema clean FORCE
