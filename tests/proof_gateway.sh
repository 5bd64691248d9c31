#!/bin/bash
# Proofs of the requirements graceful-stop and leaving-server: each test must
# fail with its mechanism switched off and pass with it on. Guards against calls
# in flight that are cut off when a host stops, and against calls to a server
# that has announced that it is leaving. JACKDAWWORKS_OFF switches a mechanism
# off; see base/mechanism.h. Prints one line per requirement:
# PROOF name without=fail with=pass figure
set -u
BIN=${1:?directory of the built programs}
TESTS=$(cd "$(dirname "$0")" && pwd)
MAX_LEAVING_S=3

# A host is stopped under load and must lose no call. Figure: lost calls.
graceful_stop() {
	. "$TESTS/lib.sh" "$BIN"
	start_small_deployment 2 100000 || return 1
	start_load load 2 200 4
	load_pid=$PID
	sleep 1.5
	stop_host 0
	wait $load_pid
	figure="$(lost_calls load) of $(load_result load sent) calls lost, exit status $STATUS"
	test "$(lost_calls load) $STATUS" = "0 0"
}

# Prints the number of runs of the first server.
first_server_runs() {
	curl -s "127.0.0.1:$servers_port/stats" | grep -oE '"runs":[0-9]+'
}

# A server gives notice that it is leaving and must get no new call after
# MAX_LEAVING_S. Figure: seconds until its last new call.
leaving_server() {
	. "$TESTS/lib.sh" "$BIN"
	start_small_deployment 3 20000 || return 1
	start_load load 3 500 7
	load_pid=$PID
	sleep 1
	server_control 0 '{"draining": true}'
	drain_begin=$(date +%s%N)
	last=$drain_begin
	before=
	while kill -0 $load_pid 2>/dev/null; do
		runs=$(first_server_runs)
		test "$runs" = "$before" || last=$(date +%s%N)
		before=$runs
		sleep 0.05
	done
	wait $load_pid
	ms=$(((last - drain_begin) / 1000000))
	figure="last new call after $((ms / 1000)).$(printf %03d $((ms % 1000))) s, $(lost_calls load) of $(load_result load sent) calls lost"
	test $ms -le $((MAX_LEAVING_S * 1000)) && test "$(lost_calls load)" = 0
}

# run_case FUNCTION: runs the function in a subshell, which stops the processes
# of the run when it exits. Prints "pass" or "fail" and the figure.
run_case() { ($1 && say "pass $figure" || say "fail $figure"); }

prove() { # NAME MECHANISM FUNCTION
	without=$(JACKDAWWORKS_OFF=$2 run_case "$3" 2>/dev/null | tail -1)
	with=$(run_case "$3" 2>/dev/null | tail -1)
	printf 'PROOF %s without=%s with=%s %s (without: %s)\n' "$1" \
		"${without%% *}" "${with%% *}" "${with#* }" "${without#* }"
}

prove graceful-stop graceful-stop graceful_stop
prove leaving-server leaving-signs leaving_server
