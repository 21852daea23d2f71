#!/bin/bash
# Compares the adaptive scheduling policy with first-fit by replaying the traces of both example
# sites. Prints one line for each target: name, figure, bound, ok or MISSED. Exits with 1 when a
# bound is missed.
#   bash bench/policy.sh BUILD_DIRECTORY
set -u
build=${1:?"usage: policy.sh BUILD_DIRECTORY"}
root=$(cd "$(dirname "$0")/.." && pwd)
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT
missed=0

replay () { # SITE POLICY
	"$build/carobrun" replay "$root/traces/$1.jsonl" -p "$2" -i "$root/examples/$1/inventory.yaml" \
		-r "$root/examples/$1/rules.yaml" >"$results/$1.$2" || { echo "policy.sh: replay of $1 with $2 failed" >&2; exit 2; }
}

measure () { # SITE POLICY MEASURE; prints nothing when the replay has no such measure
	awk -v name="$3" '$1 == name { value = $2 } END { print value }' "$results/$1.$2"
}

check () { # NAME FIGURE BOUND
	result=$(awk -v figure="$2" -v bound="$3" 'BEGIN {
		print (figure != "" && figure != "inf" && figure + 0 <= bound + 0 ? "ok" : "MISSED") }')
	printf '%-44s %10s %10s %s\n' "$1" "$2" "$3" "$result"
	if [ "$result" != ok ]; then missed=1; fi
}

ratio () { # SITE MEASURE BOUND
	check "$1 $2 / first-fit" "$(awk -v a="$(measure "$1" adaptive "$2")" -v b="$(measure "$1" first-fit "$2")" \
		'BEGIN { if (a == "" || b == "") print ""; else if (b > 0) printf "%.3f", a / b; else print (a > 0 ? "inf" : 0) }')" "$3"
}

for site in ertis ballonerie; do
	replay $site adaptive
	replay $site first-fit
done
ratio ertis fragmentation 0.5
ratio ertis completion_ms.all.mean 1
ratio ballonerie completion_ms.all.p95 0.7
ratio ballonerie fragmentation 1
for site in ertis ballonerie; do
	ratio $site large_wait_ms.p99 0.5
	check "$site jobs.unfinished" "$(measure $site adaptive jobs.unfinished)" 0
	check "$site urgent_start_ms.max" "$(measure $site adaptive urgent_start_ms.max)" 2800
	check "$site reclaim_ms.max" "$(measure $site adaptive reclaim_ms.max)" 2000
	check "$site violations" "$(measure $site adaptive violations)" 0
	# Urgent jobs that lose their urgency are not counted in urgent_start_ms. A policy could meet that bound by demoting
	# them, so their share is bounded too.
	check "$site urgent lost / started" "$(awk '/^urgent_lost/ { lost += $2 } /^urgent_start_ms.count/ { n = $2 }
		END { printf "%.3f", (n > 0 ? lost / n : 1) }' "$results/$site.adaptive")" 0.1
done
exit $missed
