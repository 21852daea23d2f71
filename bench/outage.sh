#!/bin/bash
# Makes the log of the demo site unavailable for SECONDS. Prints which work continues, which
# is refused, and how long the site needs to catch up afterwards. Then verifies all traces.
# usage: bench/outage.sh BUILD-DIRECTORY [SECONDS]
# environment: CAROBRUN_DEMO_PORT, the first of 500 free ports (default 18500)
set -u -o pipefail
cd "$(dirname "$0")/.." || exit 2
bin=$(realpath "${1:?usage: bench/outage.sh BUILD-DIRECTORY [SECONDS]}")
outage_s=${2:-600}
export CAROBRUN_DEMO_PORT=${CAROBRUN_DEMO_PORT:-18500}
log=127.0.0.1:$CAROBRUN_DEMO_PORT
entry1=127.0.0.1:$((CAROBRUN_DEMO_PORT + 10))
entry2=127.0.0.1:$((CAROBRUN_DEMO_PORT + 20))
out=$(mktemp)
jobs=12 # 24 accelerators, the quota of mirror-shop
# The jobs end at even intervals over the first three quarters of the outage.
step_ms=$((outage_s * 750 / jobs))
wrong=0

say () { printf '%s\n' "$*"; }
fail () { say "$*"; wrong=1; }

bash demo/run.sh --site "$bin" >"$out" 2>&1 &
site=$!
trap 'kill -TERM $site 2>/dev/null; wait $site; rm -f "$out"' EXIT
until grep -q "the site is up" "$out"; do
	kill -0 $site 2>/dev/null || { cat "$out"; exit 1; }
	sleep 0.2
done
dir=$(sed -n 's/.* traces in //p' "$out")

counter () { curl -s -m 5 "http://$1/metrics" | awk -v n="carobrun_$2" '$1 == n { print $2 }'; }
ended () { "$bin/carobrun" jobs --entry $entry1 | grep -c ' done '; }
control () { curl -s -f -m 5 -X POST -d "$1" "http://$log/control" >/dev/null; }
# True when COMMAND is refused because the log is unavailable, and the error says that nothing ran.
refused () { case $("$@" 2>&1) in *'log_unavailable, ran: no'*) ;; *) return 1 ;; esac; }
submit () # KEY RUN-MS
{
	"$bin/carobrun" submit job --entry $entry2 --key "$1" --account mirror-shop --kind scratch-map --members 1 \
		--accelerators 2 --run-ms "$2" --command "run $2"
}

# An entry records a claim in the log for each request of a kind with a mainframe block, so it would refuse them during
# the outage. Previews no longer run on the mainframe, so the block is removed from their kind.
sed '/signed_off_by: foreman-k/d' "$dir/rules.yaml" >"$dir/signed.yaml"
"$bin/carobrun" apply --entry $entry1 "$dir/inventory.yaml" "$dir/signed.yaml" >/dev/null || fail "the rules were not accepted"
for i in $(seq $jobs); do submit "job-$i" $((i * step_ms)) >/dev/null || fail "job-$i was not accepted"; done
folded=$(counter $entry1 records_folded_total)
control '{"down":true}'
begin=$SECONDS
rounds=0 answered=0 refused=0
while [ $((SECONDS - begin)) -lt "$outage_s" ]; do
	rounds=$((rounds + 1))
	"$bin/carobrun" submit request --entry $entry1 --key "quote-$rounds" --account float-line --kind quote-preview \
		--body "pane $rounds" >/dev/null 2>&1 && answered=$((answered + 1))
	refused "$bin/carobrun" submit request --entry $entry2 --key "polish-$rounds" --account bottle-works \
		--kind polishing-run --body "lot $rounds" && refused=$((refused + 1))
	refused submit "late-$rounds" 1000 && refused=$((refused + 1))
	sleep 5
done
say "outage_seconds=$outage_s rounds=$rounds previews_answered=$answered refused_log_unavailable=$refused"
[ $answered = $rounds ] || fail "not every preview was answered"
[ $refused = $((2 * rounds)) ] || fail "not every polishing run and job was refused with log_unavailable"
say "jobs_ended_before_return=$(ended)"
control '{"down":false}'
back=$(date +%s%3N)
until [ "$(ended)" -ge $jobs ] && [ $(($(counter $entry1 records_folded_total) - folded)) -ge $jobs ]; do
	[ $(($(date +%s%3N) - back)) -lt 60000 ] || { fail "the ends of jobs did not reach the log within 60 s"; break; }
	sleep 0.1
done
say "ends_in_the_log_after_ms=$(($(date +%s%3N) - back))"
until submit after 100 >/dev/null 2>&1; do
	[ $(($(date +%s%3N) - back)) -lt 60000 ] || { fail "no job was accepted within 60 s"; break; }
	sleep 0.1
done
say "job_accepted_after_ms=$(($(date +%s%3N) - back))"
say "records_of_the_catch_up=$(($(counter $entry1 records_folded_total) - folded))"
"$bin/carobrun" verify "$dir"/*.trace || wrong=1
exit $wrong
