#!/bin/bash
# Measures what one entry host adds to a call: latency compared with direct
# calls to the servers, processor time and memory. Direct calls and calls
# through the host run at the same time, so that other work on the machine
# affects both alike. Prints the median over the rounds.
#
# usage: overhead.sh DIRECTORY
# Environment: OVERHEAD_ROUNDS is the number of rounds (9), OVERHEAD_RATE their
# rate in calls/s (1000), OVERHEAD_HIGH_RATE the rate at which the processor
# time is measured (8000).
set -u
. "$(dirname "$0")/lib.sh"

ROUNDS=${OVERHEAD_ROUNDS:-9}
RATE=${OVERHEAD_RATE:-1000}
HIGH_RATE=${OVERHEAD_HIGH_RATE:-8000}
ROUND_SECONDS=2
IDLE_CONNECTIONS=3000
TICKS_PER_S=100
LOG_LEVEL=error
SMALL_SLOTS=200

median() { sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }

run_load() { # NAME TARGETS RATE SECONDS
	"$BIN/tool_load" -t "$2" -r "$3" -s "$4" --warm 0.5 >"$WORK/$1.out"
}

memory_kb() { awk "/$1/ { print \$2 }" "/proc/$pid_entry0/status"; }

start_small_deployment 1 0 || exit 1
servers=$(for i in $(seq 0 $((SMALL_SERVERS - 1))); do
	printf '127.0.0.1:%d,' $((servers_port + i))
done | sed 's/,$//')
host=$(caller_addresses 1)

for round in $(seq "$ROUNDS"); do
	run_load direct "$servers" "$RATE" $ROUND_SECONDS &
	direct=$!
	run_load through "$host" "$RATE" $ROUND_SECONDS
	wait $direct
	for p in p50_ms p99_ms; do
		d=$(load_result direct $p)
		t=$(load_result through $p)
		say "$d" >>"$WORK/direct_$p"
		awk "BEGIN { print $t - $d }" >>"$WORK/added_$p"
	done
done
for p in p50_ms p99_ms; do
	printf '%-28s direct %.3f ms, added %.3f ms (rounds: %s)\n' \
		"latency ${p%_ms}" "$(median <"$WORK/direct_$p")" \
		"$(median <"$WORK/added_$p")" "$(tr '\n' ' ' <"$WORK/added_$p")"
done

before=$(processor_ticks "$pid_entry0")
run_load high "$host" "$HIGH_RATE" 4
ticks=$(($(processor_ticks "$pid_entry0") - before))
completed=$(load_result high completed)
awk "BEGIN {
	us = $ticks * 1000000 / $TICKS_PER_S / $completed
	printf \"%-28s %.1f us at %d calls/s (%d of %d completed)\n\",
		\"processor time per call\", us, $HIGH_RATE, $completed,
		$(load_result high sent)
	printf \"%-28s %.0f\n\", \"calls/s per core\", 1000000 / us
}"

before=$(memory_kb VmRSS)
"$BIN/tool_raw" flood "$host" $IDLE_CONNECTIONS >/dev/null
awk "BEGIN { printf \"%-28s %.1f kB (%d connections)\n\",
	\"memory per idle connection\",
	($(memory_kb VmHWM) - $before) / $IDLE_CONNECTIONS, $IDLE_CONNECTIONS }"
