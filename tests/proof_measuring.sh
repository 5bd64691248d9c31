#!/bin/bash
# Proof of the requirement measuring-budget: six hosts start at about the same
# time, and two of them are killed and restarted under load. The number of
# probes that the servers count and the bytes that the other hosts count must
# stay within the budget of the document. The same holds for the load reports on
# answers, which the policy "shares" requests. Guards against hosts that exceed
# the budget together, at their start or after restarts.
set -u
BIN=${1:?directory of the built programs}
TESTS=$(cd "$(dirname "$0")" && pwd)

HOSTS=6
REQUESTS_PER_S=60
BYTES_PER_S=30000
CROSS_PER_S=9000

probes_of_servers() {
	for i in $(seq 0 $((SMALL_SERVERS - 1))); do
		curl -s "127.0.0.1:$((servers_port + i))/stats"
	done | grep -oE '"probes":[0-9]+' | grep -oE '[0-9]+' |
		awk '{ n += $1 } END { print n + 0 }'
}

# is_above_share HOST NAME LIMIT SECONDS: whether the host used more than its
# share of LIMIT per second.
is_above_share() { test "$(counter "$1" "$2")" -gt $(($3 / HOSTS * $4)); }

# is_any_host_over_budget NAME: whether a host that was not killed, so that its
# counters are complete, used more than its share.
is_any_host_over_budget() {
	for i in 0 3 4 5; do
		is_above_share "$i" "$1_bytes_total" $BYTES_PER_S $seconds &&
			return
		is_above_share "$i" "$1_cross_zone_bytes_total" $CROSS_PER_S \
			$seconds && return
	done
	return 1
}

# run_restarts POLICY: runs the load and restarts two hosts. Sets seconds to its
# duration and probes to the number of probes that the servers got.
run_restarts() {
	. "$TESTS/lib.sh" "$BIN"
	ZONES=a,b,c
	start_platform || return 1
	start_servers ordering 0 $SMALL_SERVERS $SMALL_SLOTS $ZONES 5000 ||
		return 1
	start_host 0 a $HOSTS
	write_document "$(print_service ordering / 0 $SMALL_SERVERS \
		$SMALL_SLOTS 240 $ZONES $1 "      - {method: GET, path: /, idempotent: true}" |
		sed "s/requests_per_s: [0-9]*/requests_per_s: $REQUESTS_PER_S/
			s/ bytes_per_s: [0-9]*/ bytes_per_s: $BYTES_PER_S/
			s/cross_zone_bytes_per_s: [0-9]*/cross_zone_bytes_per_s: $CROSS_PER_S/")"
	wait_http "127.0.0.1:$operators_port" /health || return 1
	begin=$(date +%s)
	apply_document 0 "$WORK/document.yaml" 0 || return 1
	for i in $(seq 1 $((HOSTS - 1))); do
		start_host "$i" "$(say $ZONES | cut -d, -f$((i % 3 + 1)))" $HOSTS
	done
	wait_document $HOSTS || return 1
	start_load load $HOSTS 600 8
	load_pid=$PID
	sleep 4
	for i in 1 2; do
		kill_process "entry$i"
		start_host "$i" "$(say $ZONES | cut -d, -f$((i % 3 + 1)))" $HOSTS
	done
	wait $load_pid
	# Whole seconds, rounded up, so that the limit is never too low.
	seconds=$(($(date +%s) - begin + 1))
	probes=$(probes_of_servers)
}

probes_budget() {
	run_restarts probes || return 1
	figure="$probes probes in $seconds s, budget $REQUESTS_PER_S/s"
	test "$probes" -gt 0 && test "$probes" -le $((REQUESTS_PER_S * seconds)) &&
		! is_any_host_over_budget probe
}

reports_budget() {
	run_restarts shares || return 1
	bytes=$(counter 0 report_bytes_total)
	figure="$bytes bytes of reports in $seconds s at one host, budget $((BYTES_PER_S / HOSTS))/s"
	test "$bytes" -gt 0 && ! is_any_host_over_budget report
}

# run_case FUNCTION: runs the function in a subshell, which stops the processes
# of the run when it exits. Prints "pass" or "fail" and the figure.
run_case() { ($1 && say "pass $figure" || say "fail $figure"); }

for case in probes_budget reports_budget; do
	without=$(JACKDAWWORKS_OFF=measuring-budget run_case $case | tail -1)
	with=$(run_case $case | tail -1)
	printf 'PROOF measuring-budget without=%s with=%s %s (without: %s)\n' \
		"${without%% *}" "${with%% *}" "${with#* }" "${without#* }"
done
