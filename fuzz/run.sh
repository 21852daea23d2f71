#!/usr/bin/env bash
# Runs each fuzz target of BUILD on its corpus and on generated inputs, RUNS in all (default 20,000) from a fixed seed.
# Inputs that fail are kept in BUILD/fuzz.
set -u
build=${1:?usage: fuzz/run.sh BUILD [RUNS]}
runs=${2:-20000}
cd "$(dirname "$0")/.." || exit 2
mkdir -p "$build/fuzz"
passed=0
failed=0
for source in fuzz/*.c; do
  name=$(basename "$source" .c)
  log=$build/fuzz/$name.log
  # The fuzzer adds new inputs to this directory and would start from them: it is emptied so that runs are repeatable.
  rm -rf "$build/fuzz/$name"
  mkdir -p "$build/fuzz/$name"
  if G_SLICE=always-malloc "$build/fuzz_$name" -seed=1 -runs="$runs" -max_len=4096 -timeout=20 -rss_limit_mb=2048 \
    -print_final_stats=1 -artifact_prefix="$build/fuzz/$name-" "$build/fuzz/$name" "fuzz/corpus/$name" >"$log" 2>&1
  then
    passed=$((passed + 1))
    echo "$name: $(grep -o 'number_of_executed_units: [0-9]*' "$log" | tr -dc 0-9) inputs"
  else
    failed=$((failed + 1))
    echo "$name: failed, see $log"
    grep -m 3 -E 'does not hold|ERROR|runtime error' "$log"
  fi
done
echo "$passed passed, $failed failed"
[ $failed = 0 ]
