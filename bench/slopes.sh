#!/bin/bash
# Measures how bytes, messages, memory and instructions grow with the size of the system. Runs the parts of
# bench/slopes.c, bench/slopes_gang.c and bench/slopes_wire.c at several sizes, and again under callgrind, which counts
# the instructions of cb_slopes_measured. Prints one line for each part and size.
# usage: bench/slopes.sh BUILD-DIRECTORY [PART...]
# environment: CB_JOBS (3), the number of runs at the same time
set -u -o pipefail
cd "$(dirname "$0")/.." || exit 2
bin=$(realpath "${1:-build/release}")
shift
jobs=${CB_JOBS:-3}
export G_SLICE=always-malloc

# Prints a line for each part: program, part, sizes.
list ()
{
	cat <<-END
	bench_slopes_wire tasks 8 23 92
	bench_slopes_gang beats_entries 1 3 6
	bench_slopes_gang beats_direct 1 3 6
	bench_slopes_wire agents 50 130 260
	bench_slopes_wire mesh 2 4 8 16 30
	bench_slopes_wire start 4 16 30
	bench_slopes_wire fold 100 1000 5000
	bench_slopes_wire snapshot 100 1000 5000
	bench_slopes_wire restore 100 1000 5000
	bench_slopes check 130 433 1300
	bench_slopes diff 130 433 1300
	bench_slopes apply 130 433 1300
	bench_slopes index 130 433 1300
	bench_slopes cell 99 399 975
	bench_slopes takeover 99 399 975
	bench_slopes gang 399 699 975
	bench_slopes queue 100 1000 5000
	bench_slopes change 99 399 975
	bench_slopes fill 99 399 975
	END
}

# Memory comes from a run without valgrind, as valgrind replaces malloc; instructions come from a run with it.
run_one () # BINARY PART SIZE
{
	local plain counted
	plain=$("$bin/$1" "$2" "$3") || { echo "part=$2 size=$3 failed"; return 1; }
	counted=$(valgrind --tool=callgrind --callgrind-out-file=/dev/null --collect-atstart=no \
		--toggle-collect=cb_slopes_measured "$bin/$1" "$2" "$3" 2>&1 >/dev/null |
		awk '/Collected/ { print $NF }')
	echo "$plain instructions=${counted:-none}"
}
export -f run_one
export bin

wanted=" $* "
list | while read -r binary part sizes; do
	[ "$wanted" = "  " ] || [[ $wanted == *" $part "* ]] || continue
	for size in $sizes; do echo "$binary $part $size"; done
done | xargs -P "$jobs" -L 1 bash -c 'run_one "$0" "$1" "$2"' | sort -t= -k2,2V -k3,3V
