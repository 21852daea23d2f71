#!/bin/bash
# Starts a small fleet on loopback with the configuration files of examples/ertis,
# sends requests and gang jobs, waits until all have ended and prints each outcome.
# With --site it sends nothing: it keeps the site running until Ctrl-C or SIGTERM.
# usage: demo/run.sh [--site] BUILD-DIRECTORY
# It uses the 500 ports from $CAROBRUN_DEMO_PORT (default 18000) on.
set -u -o pipefail
cd "$(dirname "$0")/.." || exit 2
site=0
if [ "${1:-}" = --site ]; then
	site=1
	shift
fi
bin=$(realpath "${1:-build/release}")
dir=$(mktemp -d "${TMPDIR:-/tmp}/carobrun-demo.XXXXXX")
port=${CAROBRUN_DEMO_PORT:-18000}
entry1=127.0.0.1:$((port + 10))
entry2=127.0.0.1:$((port + 20))
wait_s=60
names=()
pids=()
failed=0

say () { printf '%s\n' "$*"; }

# Starts each process in a process group of its own: Ctrl-C then reaches only this script,
# which stops the processes in order.
set -m
start () # NAME COMMAND...
{
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.err" &
	names+=("$name")
	pids+=($!)
}

# Stops the processes by pid: first all agents at the same time, because each takes seconds,
# then the others in reverse order, so that the entries stop before the log.
stop_all ()
{
	local i
	for i in "${!pids[@]}"; do
		case ${names[i]} in agent-*) kill -TERM "${pids[i]}" 2>/dev/null ;; esac
	done
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[i]}" 2>/dev/null || continue
		for _ in $(seq 100); do
			kill -0 "${pids[i]}" 2>/dev/null || break
			sleep 0.1
		done
		if kill -KILL "${pids[i]}" 2>/dev/null; then
			say "${names[i]} did not end within 10 s"
			failed=1
		fi
		wait "${pids[i]}" 2>/dev/null
	done
	pids=()
}

finish ()
{
	stop_all
	if [ "$failed" = 0 ]; then rm -rf "$dir"; else say "logs are kept in $dir"; fi
}
trap 'finish' EXIT
trap 'failed=1; exit 1' INT TERM

# Polls COMMAND until it succeeds; ends the demo as failed after wait_s seconds.
await () # WHAT COMMAND...
{
	local what=$1 end=$((SECONDS + wait_s))
	shift
	until "$@" >/dev/null 2>&1; do
		if [ $SECONDS -ge $end ]; then
			say "not reached within ${wait_s} s: $what"
			failed=1
			exit 1
		fi
		sleep 0.1
	done
}

write_entry () # NAME HTTP WIRE
{
	cat >"$dir/$1.yaml" <<-END
	name: $1
	availability_zone: ertis-a
	region: ertis
	cell: ertis
	http_address: '127.0.0.1:$2'
	wire_address: '127.0.0.1:$3'
	entries:
	  - {name: entry-1, address: '127.0.0.1:$((port + 11))'}
	  - {name: entry-2, address: '127.0.0.1:$((port + 21))'}
	log: {address: '127.0.0.1:$port'}
	trace_file: $dir/$1.trace
	END
}

write_agent () # NAME HTTP LINE
{
	cat >"$dir/$1.yaml" <<-END
	name: $1
	instance: $1
	availability_zone: ertis-a
	region: ertis
	cell: ertis
	http_address: '127.0.0.1:$2'
	entries:
	  - {name: entry-1, address: '127.0.0.1:$((port + 11))'}
	  - {name: entry-2, address: '127.0.0.1:$((port + 21))'}
	$3
	trace_file: $dir/$1.trace
	END
}

has () # TEXT COMMAND...
{
	local text=$1
	shift
	"$@" | grep -q -- "$text"
}

status () { curl -s -m 5 "http://$1/v1/status"; }
count_up () { status $entry1 | grep -o '"role":"agent","up":true' | wc -l; }
agents_up () { [ "$(count_up)" -ge "$1" ]; }
endpoints_known () { [ "$(status $1 | grep -o '"endpoint":"endpoint-' | wc -l)" -ge 3 ]; }
accelerators_known () { has "\"accelerators\":$1," status $entry1 || has "\"accelerators\":$1," status $entry2; }
jobs_of () { curl -s -m 5 "http://$entry1/v1/jobs"; }
jobs_ended () { [ "$(jobs_of | grep -oE '"state":"(job_)?(done|failed|canceled|unknown)"' | wc -l)" -ge "$1" ]; }

# Processes of another site on the same ports would be mistaken for those of this one.
for at in 0 1 10 11 20 21 101 201 301 401 451; do
	if (exec 3<>"/dev/tcp/127.0.0.1/$((port + at))") 2>/dev/null; then
		say "port $((port + at)) is in use; set CAROBRUN_DEMO_PORT to the first of 500 free ports"
		exit 1
	fi
done
say "starting log, mainframe, 2 entries, 6 workers and 3 endpoints with their agents in $dir"
start log "$bin/carobrun-fake-log" --listen 127.0.0.1:$port
start mainframe "$bin/carobrun-fake-mainframe" --listen 127.0.0.1:$((port + 1)) --trace "$dir/mainframe.trace"
write_entry entry-1 $((port + 10)) $((port + 11))
write_entry entry-2 $((port + 20)) $((port + 21))
start entry-1 "$bin/carobrun" entry --settings "$dir/entry-1.yaml"
start entry-2 "$bin/carobrun" entry --settings "$dir/entry-2.yaml"
for i in 1 2 3 4 5 6; do
	start worker-$i "$bin/carobrun-fake-worker" --listen 127.0.0.1:$((port + 200 + i)) --name worker-$i \
		--trace "$dir/worker-stand-in-$i.trace"
	write_agent worker-$i $((port + 100 + i)) "worker_address: '127.0.0.1:$((port + 200 + i))'
wire_address: '127.0.0.1:$((port + 450 + i))'"
	start agent-worker-$i "$bin/carobrun" agent --settings "$dir/worker-$i.yaml"
done
for i in 1 2 3; do
	write_agent endpoint-$i $((port + 300 + i)) "endpoint_address: '127.0.0.1:$((port + 400 + i))'"
	start agent-endpoint-$i "$bin/carobrun" agent --settings "$dir/endpoint-$i.yaml"
	start endpoint-$i "$bin/carobrun-fake-endpoint" --listen 127.0.0.1:$((port + 400 + i)) --name endpoint-$i \
		--agent 127.0.0.1:$((port + 300 + i)) --kinds quote-preview,helium-price --seed $i \
		--trace "$dir/endpoint-stand-in-$i.trace"
done

sed "s/10\.1\.9\.9:3270/127.0.0.1:$((port + 1))/" examples/ertis/rules.yaml >"$dir/rules.yaml"
await "entry 1 answers" curl -s -f -m 2 "http://$entry1/v1/status"
await "entry 2 answers" curl -s -f -m 2 "http://$entry2/v1/status"
await "the cell has a scheduler" has '"scheduler":"entry-' status $entry1
await "log available" has '"log_available":true' status $entry1
say "applying examples/ertis"
"$bin/carobrun" apply --entry $entry1 examples/ertis/inventory.yaml "$dir/rules.yaml" || { failed=1; exit 1; }
await "9 agents up" agents_up 9
await "3 endpoints at entry 1" endpoints_known $entry1
await "3 endpoints at entry 2" endpoints_known $entry2
await "48 accelerators at the scheduler" accelerators_known 48

if [ "$site" = 1 ]; then
	trap 'say; say "stopping the site"; exit 0' INT TERM
	cp examples/ertis/inventory.yaml "$dir/inventory.yaml"
	say "the site is up: entries $entry1 and $entry2, settings, logs and traces in $dir"
	say "in another terminal: export CAROBRUN_ENTRY=$entry1"
	say "Ctrl-C stops it"
	# A signal interrupts wait at once; sleep would delay the trap until it ends.
	wait
	failed=1
	exit 1
fi

submit_job () # KEY ACCOUNT KIND MEMBERS ACCELERATORS ADJACENCY
{
	"$bin/carobrun" submit job --entry $entry2 --key "$1" --account "$2" --kind "$3" --members "$4" \
		--accelerators "$5" --adjacency "$6" --run-ms 800 --command "run 800" || failed=1
}

say "submitting 8 gang jobs"
submit_job edge-1 float-line edge-profile 3 8 rack
submit_job edge-2 bottle-works edge-profile 2 8 rack
submit_job edge-3 lab-glass edge-profile 1 8 instance
submit_job scratch-1 mirror-shop scratch-map 1 4 instance
submit_job scratch-2 mirror-shop scratch-map 2 2 any
submit_job scratch-3 lab-glass scratch-map 2 4 zone
submit_job scratch-4 float-line scratch-map 4 4 any
submit_job edge-4 bottle-works edge-profile 1 4 instance

say "sending 20 quote previews and 3 polishing runs"
for i in $(seq 20); do
	entry=$entry1
	[ $((i % 2)) = 0 ] && entry=$entry2
	out=$("$bin/carobrun" submit request --entry $entry --key "quote-$i" --account float-line \
		--kind quote-preview --body "pane $i" 2>&1) || failed=1
	say "quote-$i: $out"
done
for i in 1 2 3; do
	out=$("$bin/carobrun" submit request --entry $entry1 --key "polish-$i" --account bottle-works \
		--kind polishing-run --body "lot $i" 2>&1) || failed=1
	say "polish-$i: $out"
done

await "8 jobs ended" jobs_ended 8
say
"$bin/carobrun" jobs --entry $entry1
[ "$(jobs_of | grep -oE '"state":"(job_)?done"' | wc -l)" = 8 ] || { say "not all jobs are done"; failed=1; }
. demo/faults.sh
say
"$bin/carobrun" jobs --entry $entry1
say
"$bin/carobrun" status --entry $entry1
for entry in $entry1 $entry2; do
	say
	say "counters of $entry that are not 0"
	"$bin/carobrun" counters --entry $entry | grep -v ' 0$'
done
stop_all
say
"$bin/carobrun" verify "$dir"/*.trace || failed=1
if [ "$failed" = 0 ]; then say "demo: all outcomes as expected"; else say "demo: failed"; fi
exit $failed
