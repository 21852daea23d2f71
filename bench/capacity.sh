#!/bin/bash
# Measures the resource use of entries and agents at several fleet sizes, as real processes on loopback (ports
# CB_PORT to CB_PORT + 1999): processor time from /proc/PID/stat, resident memory from /proc/PID/status, bytes and
# segments from the kernel's socket counters (ss). Prints one line per role and size, then the increase per agent
# (slopes, least squares). Terminates only the processes that it started, by their pids.
# usage: bench/capacity.sh BUILD-DIRECTORY ["SIZES"]
# environment: CB_PORT (24000), CB_WARM_S (10) and CB_WINDOW_S (25): seconds of the warm-up and of the measurement,
# CB_ENTRIES (3; 2 to 4 are possible), CB_LOADS (idle load)
set -u -o pipefail
cd "$(dirname "$0")/.." || exit 2
bin=$(realpath "${1:-build/release}")
sizes=${2:-10 50 150}
port=${CB_PORT:-24000}
warm_s=${CB_WARM_S:-10}
window_s=${CB_WINDOW_S:-25}
entries=${CB_ENTRIES:-3}
loads=${CB_LOADS:-idle load}
tasks_per_worker=23
request_rate=20
# IP and TCP headers of a segment with the time stamp option.
header_bytes=52
dir=$(mktemp -d "${TMPDIR:-/tmp}/carobrun-capacity.XXXXXX")
declare -A pid_of
order=()
failed=0

say () { printf '%s\n' "$*"; }

start () # NAME COMMAND...
{
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.err" &
	pid_of[$name]=$!
	order+=("$name")
}

# Terminates the processes in reverse order of their start: agents, then entries, the log last.
stop_all ()
{
	local i pid
	for ((i = ${#order[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pid_of[${order[i]}]}" 2>/dev/null
	done
	for _ in $(seq 100); do
		[ "$(jobs -rp | wc -l)" = 0 ] && break
		sleep 0.1
	done
	for pid in "${pid_of[@]}"; do
		kill -KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	order=()
	pid_of=()
}

finish ()
{
	stop_all
	if [ "$failed" = 0 ]; then rm -rf "$dir"; else say "process logs are in $dir"; fi
}
trap 'finish' EXIT
trap 'failed=1; exit 1' INT TERM

# Repeats COMMAND until it succeeds; exits after SECONDS.
await () # SECONDS EXPECTATION COMMAND...
{
	local end=$((SECONDS + $1)) expectation=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		if [ $SECONDS -ge $end ]; then
			say "timed out waiting for: $expectation"
			failed=1
			exit 1
		fi
		sleep 0.2
	done
}

http_of () { printf '127.0.0.1:%d' $((port + 10 * $1)); }

entry_list ()
{
	local i
	say "entries:"
	for i in $(seq "$entries"); do say "  - {name: entry-$i, address: '127.0.0.1:$((port + 1 + 10 * i))'}"; done
}

location () { printf 'availability_zone: cap-a\nregion: cap\ncell: cap\n'; }

start_entry () # NUMBER
{
	{
		say "name: entry-$1"
		location
		say "http_address: '$(http_of "$1")'"
		say "wire_address: '127.0.0.1:$((port + 1 + 10 * $1))'"
		entry_list
		say "log: {address: '127.0.0.1:$port'}"
	} >"$dir/entry-$1.yaml"
	start "entry-$1" "$bin/carobrun" entry --settings "$dir/entry-$1.yaml"
}

start_agent () # NAME HTTP-PORT LINES
{
	{
		printf 'name: %s\ninstance: %s\n' "$1" "$1"
		location
		say "http_address: '127.0.0.1:$2'"
		entry_list
		say "$3"
	} >"$dir/$1.yaml"
	start "$1" "$bin/carobrun" agent --settings "$dir/$1.yaml"
}

write_inventory () # AGENTS
{
	local i
	say "availability_zones: [{name: cap-a, region: cap}]"
	say "client_accounts: [load]"
	say "racks:"
	for i in $(seq "$1"); do
		[ $((i % 10)) = 1 ] && say "  - name: rack-$((i / 10))" && say "    availability_zone: cap-a" && say "    instances:"
		say "      - {name: worker-$i, address: '127.0.0.1:7070', cores: 46, memory_gb: 130, accelerators: 1}"
	done
	say "  - name: endpoints"
	say "    availability_zone: cap-a"
	say "    instances:"
	for i in 1 2; do say "      - {name: endpoint-$i, address: '127.0.0.1:8080', cores: 8, memory_gb: 32}"; done
}

write_rules ()
{
	say "accounts: [{name: load}]"
	say "kinds: [{name: train, job: true, preemption: stop}, {name: quote, timeout_ms: 2000}]"
}

agents_up () { [ "$(curl -s -m 5 "http://$(http_of 1)/v1/status" | grep -o '"role":"agent","up":true' | wc -l)" -ge "$1" ]; }
answers () { curl -s -f -m 2 "http://$(http_of "$1")/v1/status"; }
has_scheduler () { curl -s -m 2 "http://$(http_of 1)/v1/status" | grep -q '"scheduler":"entry-'; }

start_site () # AGENTS
{
	local i
	start log "$bin/carobrun-fake-log" --listen "127.0.0.1:$port"
	for i in $(seq "$entries"); do start_entry "$i"; done
	for i in $(seq "$entries"); do await 30 "a response of entry $i" answers "$i"; done
	await 30 "a scheduler of the cell" has_scheduler
	write_inventory "$1" >"$dir/inventory.yaml"
	write_rules >"$dir/rules.yaml"
	"$bin/carobrun" apply --entry "$(http_of 1)" "$dir/inventory.yaml" "$dir/rules.yaml" >/dev/null || { failed=1; exit 1; }
	for i in $(seq 0 $((($1 - 1) / 10))); do
		start "stand-in-$i" "$bin/carobrun-fake-worker" --listen 127.0.0.1:$((port + 200 + i)) --name "stand-in-$i"
	done
	for i in $(seq "$1"); do
		start_agent "worker-$i" $((port + 1000 + i)) "worker_address: '127.0.0.1:$((port + 200 + (i - 1) / 10))'
wire_address: '127.0.0.1:$((port + 1500 + i))'"
	done
	for i in 1 2; do
		start_agent "endpoint-$i" $((port + 300 + i)) "endpoint_address: '127.0.0.1:$((port + 400 + i))'"
		start "stand-in-e$i" "$bin/carobrun-fake-endpoint" --listen 127.0.0.1:$((port + 400 + i)) --name "endpoint-$i" \
			--agent 127.0.0.1:$((port + 300 + i)) --kinds quote --seed "$i"
	done
	await 60 "$(($1 + 2)) connected agents" agents_up $(($1 + 2))
}

tasks_of () { curl -s -m 5 "http://127.0.0.1:$((port + 1000 + $1))/metrics" | awk '/agent_tasks/ { print $2 }'; }
has_tasks () { [ "$(tasks_of "$1")" = "$tasks_per_worker" ]; }

# Submits gangs over ten workers each, so that each worker runs TASKS_PER_WORKER tasks, and then sends requests to all
# entries.
start_load () # AGENTS
{
	local i n
	for i in $(seq $(($1 / 10))); do
		"$bin/carobrun" submit job --entry "$(http_of 1)" --key "gang-$i" --account load --kind train \
			--members $((10 * tasks_per_worker)) --accelerators 0 --cores 2 --adjacency any \
			--run-ms 3600000 --command hang >/dev/null || { failed=1; exit 1; }
	done
	for i in $(seq "$1"); do await 60 "$tasks_per_worker tasks on worker $i" has_tasks "$i"; done
	for i in $(seq "$entries"); do
		for n in $(seq $((request_rate * (warm_s + window_s + 5)))); do
			[ "$n" = 1 ] || say next
			printf 'url = "http://%s/v1/requests"\nsilent\noutput = "/dev/null"\n' "$(http_of "$i")"
			printf 'data = "{\\"key\\":\\"q-%d-%d\\",\\"account\\":\\"load\\",\\"kind\\":\\"quote\\",\\"body\\":\\"pane\\"}"\n' "$i" "$n"
		done >"$dir/curl-$i.conf"
		start "client-$i" curl -s --rate "$((request_rate * 60))/m" -K "$dir/curl-$i.conf"
	done
}

# Writes a line for each process: name, processor time in ms, resident memory in KB.
sample_processes () # FILE
{
	local name pid
	for name in "${order[@]}"; do
		pid=${pid_of[$name]}
		[ -r "/proc/$pid/stat" ] || continue
		read -r -a stat <"/proc/$pid/stat"
		say "$name $(((stat[13] + stat[14]) * 1000 / $(getconf CLK_TCK))) $(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")"
	done >"$1"
}

# Writes a line for each socket: process name, local and remote address, bytes out, bytes in, segments out, segments in.
sample_sockets () # FILE
{
	local name
	for name in "${order[@]}"; do say "$name ${pid_of[$name]}"; done >"$dir/pids"
	ss -tinHOp | awk -v pids="$dir/pids" '
		BEGIN { while ((getline line < pids) > 0) { split(line, f, " "); names[f[2]] = f[1] } }
		{
			if (!match($0, /pid=[0-9]+/)) next
			pid = substr($0, RSTART + 4, RLENGTH - 4)
			if (!(pid in names)) next
			out = inb = so = si = 0
			for (i = 6; i <= NF; i++) {
				if (split($i, p, ":") < 2) continue
				if (p[1] == "bytes_acked") out = p[2]
				if (p[1] == "bytes_received") inb = p[2]
				if (p[1] == "segs_out") so = p[2]
				if (p[1] == "segs_in") si = p[2]
			}
			print names[pid], $4, $5, out, inb, so, si
		}' >"$1"
}

# Prints, for each role, the means per process over the window between the two samples.
report () # AGENTS LOAD WINDOW-MS
{
	awk -v n="$1" -v load="$2" -v ms="$3" -v header="$header_bytes" -v base="$port" -v d="$dir" '
	function role(name) { r = name; sub(/-[a-z]?[0-9]+$/, "", r); return r }
	function wire(addr) { p = addr; sub(/.*:/, "", p); p -= base; return (p > 10 && p < 100 && p % 10 == 1) || (p > 1500 && p < 2000) }
	FILENAME == d "/p0" { cpu[$1] = $2 }
	FILENAME == d "/p1" && ($1 in cpu) {
		r = role($1); count[r]++; used[r] += $2 - cpu[$1]; rss[r] += $3
		if ($3 > top[r]) top[r] = $3
	}
	FILENAME == d "/s0" { k = $1 " " $2 " " $3; out[k] = $4; inb[k] = $5; so[k] = $6; si[k] = $7; seen[k] = 1 }
	FILENAME == d "/s1" {
		k = $1 " " $2 " " $3; r = role($1)
		if (!(k in seen) || !(wire($2) || wire($3))) next
		bo[r] += $4 - out[k]; bi[r] += $5 - inb[k]; xo[r] += $6 - so[k]; xi[r] += $7 - si[k]
	}
	END {
		nroles = split("entry worker endpoint log", list, " ")
		for (i = 1; i <= nroles; i++) {
			r = list[i]; c = count[r]; s = ms / 1000
			if (c == 0) continue
			printf "%s %s %d %d %.3f %.1f %.1f %.0f %.0f %.1f %.1f %.0f\n", r, load, n, c, used[r] / ms * 100 / c,
				rss[r] / c / 1024, top[r] / 1024, bi[r] / s / c, bo[r] / s / c, xi[r] / s / c, xo[r] / s / c,
				(bi[r] + bo[r] + header * (xi[r] + xo[r])) / s / c
		}
	}' "$dir/p0" "$dir/p1" "$dir/s0" "$dir/s1"
}

processor_ms () # NAME
{
	local stat
	read -r -a stat <"/proc/${pid_of[$1]}/stat"
	say $(((stat[13] + stat[14]) * 1000 / $(getconf CLK_TCK)))
}

# Measures the cost of operators' queries for the entry that serves them: response bytes, and processor time of one call
# as the mean of 100.
measure_commands () # AGENTS
{
	local path before after bytes
	for path in /v1/status /v1/jobs /v1/config /metrics; do
		bytes=$(curl -s -m 5 "http://$(http_of 1)$path" | wc -c)
		before=$(processor_ms entry-1)
		curl -s -m 60 -o /dev/null "http://$(http_of 1)$path?call=[1-100]"
		after=$(processor_ms entry-1)
		say "$1 $path $bytes $(((after - before) * 10))" >>"$dir/commands"
	done
}

measure () # AGENTS LOAD
{
	local begin end
	start_site "$1"
	[ "$2" = load ] && start_load "$1"
	sleep "$warm_s"
	sample_processes "$dir/p0"
	sample_sockets "$dir/s0"
	begin=$(date +%s%3N)
	sleep "$window_s"
	sample_processes "$dir/p1"
	sample_sockets "$dir/s1"
	end=$(date +%s%3N)
	report "$1" "$2" $((end - begin)) | tee -a "$dir/rows" |
		awk '{ printf "%-9s %-5s %5d %5d %8.3f %8.1f %8.1f %10d %10d %9.1f %9.1f %11d\n", $1, $2, $3, $4, $5, $6, $7, $8, $9, $10, $11, $12 }'
	measure_commands "$1"
	check_alive
	stop_all
}

# Fails the run if a process has exited early, as the figures are then wrong. Clients exit when their requests are sent.
check_alive ()
{
	local name
	for name in "${order[@]}"; do
		[[ $name == client-* ]] && continue
		kill -0 "${pid_of[$name]}" 2>/dev/null && continue
		say "$name exited early: $(tail -n 1 "$dir/$name.err")"
		failed=1
	done
}

# Fits a line by least squares to each figure: for entries over the agents connected to each entry, for other roles over
# all agents.
slopes ()
{
	awk -v entries="$entries" '
	{
		k = $1 " " $2; x = $1 == "entry" ? ($3 + 2) / entries : $3
		c[k]++; sx[k] += x; sxx[k] += x * x
		split("5 6 12", col, " ")
		for (i = 1; i <= 3; i++) { y = $(col[i]); sy[k, i] += y; sxy[k, i] += x * y }
	}
	END {
		for (k in c) {
			if (c[k] < 2) continue
			den = c[k] * sxx[k] - sx[k] * sx[k]
			printf "%-16s", k
			for (i = 1; i <= 3; i++) {
				b = (c[k] * sxy[k, i] - sx[k] * sy[k, i]) / den
				printf " %12.4f %12.5f", (sy[k, i] - b * sx[k]) / c[k], b
			}
			printf "\n"
		}
	}' "$dir/rows" | sort
}

# If another run used the ports, its processes would respond instead of this run's.
if ss -ltnH | awk -v base="$port" '{ p = $4; sub(/.*:/, "", p); if (p >= base && p < base + 2000) used = 1 } END { exit !used }'; then
	say "ports $port to $((port + 1999)) are in use; set CB_PORT"
	failed=1
	exit 1
fi
say "$entries entries, 1 log stand-in, 2 endpoints; warm-up $warm_s s, window $window_s s; means per process"
say "load: $tasks_per_worker tasks on each worker in gangs over 10 workers, $request_rate requests/s at each entry"
printf '%-9s %-5s %5s %5s %8s %8s %8s %10s %10s %9s %9s %11s\n' role load size procs cpu% rss_MB max_MB \
	in_B/s out_B/s in_seg/s out_seg/s with_hdr_B/s
for load in $loads; do
	for size in $sizes; do measure "$size" "$load"; done
done
say
say "slopes: for entries per agent connected to them, for the others per agent of the fleet"
printf '%-16s %12s %12s %12s %12s %12s %12s\n' "role load" cpu%_base cpu%/agent MB_base MB/agent B/s_base B/s/agent
slopes
say
printf '%5s %-11s %9s %11s\n' size path bytes cpu_us/call
awk '{ printf "%5d %-11s %9d %11d\n", $1, $2, $3, $4 }' "$dir/commands"
exit $failed
