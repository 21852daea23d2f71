# Second part of the demo, sourced by run.sh: one entry and one agent are killed and the log
# is stalled while jobs run and requests arrive; each must still end with the right outcome.

pid_of () # NAME
{
	local i
	for ((i = ${#names[@]} - 1; i >= 0; i--)); do
		[ "${names[i]}" = "$1" ] && { echo "${pids[i]}"; return; }
	done
}

kill_hard () # NAME
{
	kill -KILL "$(pid_of "$1")"
	wait "$(pid_of "$1")" 2>/dev/null
}

scheduler () { status "$1" | grep -o '"scheduler":"entry-[12]"' | grep -o 'entry-[12]' | head -1; }
scheduler_is () { [ "$(scheduler "$1")" = "$2" ]; }
log_control () { curl -s -m 5 -X POST -d "$1" http://127.0.0.1:$port/control >/dev/null; }

# A job may be refused while the log is stalled or no entry schedules the cell; a caller then
# submits it again under the same key.
submit_until_accepted () # KEY ACCOUNT KIND MEMBERS ACCELERATORS ADJACENCY
{
	await "job $1 accepted" "$bin/carobrun" submit job --entry $survivor --key "$1" --account "$2" --kind "$3" \
		--members "$4" --accelerators "$5" --adjacency "$6" --run-ms 4000 --command "run 4000"
}

victim=$(scheduler $entry1)
if [ "$victim" = entry-1 ]; then survivor=$entry2 other=entry-2; else survivor=$entry1 other=entry-1; fi
say
say "submitting 3 gang jobs of 4 s"
submit_until_accepted late-1 mirror-shop scratch-map 2 4 any
submit_until_accepted late-2 lab-glass scratch-map 2 2 any
submit_until_accepted late-3 float-line edge-profile 2 8 rack
say "killing the scheduler, $victim"
kill_hard "$victim"
await "$other is scheduler" scheduler_is $survivor $other
say "killing the agent of worker-4"
kill_hard agent-worker-4
say "stalling the log for 2 s"
log_control '{"stall_ms":2000}'
# Requests of kind quote-preview need a claim in the log, because the kind was signed off from
# the mainframe. While the log is stalled they may be refused with `ran: no`; a caller then
# sends them again under the same key.
send_quote () # NUMBER
{
	out=$("$bin/carobrun" submit request --entry $survivor --key "quote-$1" --account float-line \
		--kind quote-preview --body "pane $1" 2>&1)
}
refused=()
for i in $(seq 21 30); do
	send_quote $i || refused+=($i)
	say "quote-$i: $out"
done
log_control '{"stall_ms":0}'
say "sending the ${#refused[@]} refused requests again"
for i in "${refused[@]}"; do
	await "quote-$i answered" send_quote $i
	say "quote-$i: $out"
done
say "starting $victim and the agent of worker-4 again"
start "$victim" "$bin/carobrun" entry --settings "$dir/$victim.yaml"
start agent-worker-4 "$bin/carobrun" agent --settings "$dir/worker-4.yaml"
await "$entry1 answers" curl -s -f -m 2 "http://$entry1/v1/status"
await "11 jobs ended" jobs_ended 11
await "entry 1 has folded all jobs" has '"key":"late-3"' jobs_of
