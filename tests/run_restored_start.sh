#!/bin/bash
# Guards against an earlier manifest that comes into force when the store has come back from
# a copy and the operator takes long to write again: at a host that knows the manifest in
# force but has never read the copy's, and at one that starts just then and could ask others.
set -u
PORT_BASE=${PORT_BASE:-29500}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=4 WORK_MS=5
# Longer than a host waits for the operator.
LONG_MS=3500

orders_to() { print_route order /order/ safe "$1"; }
# runs_at SERVICE HOST: whether a call at the host is run by a server of the service.
runs_at() {
	local got
	got=$(call_host "$2" /order/a "run-$RANDOM$RANDOM")
	case $1:$got in desk:s[01]" 200" | other:s[23]" 200") return 0 ;; esac
	return 1
}
# all_run_at SERVICE HOST...
all_run_at() {
	local i
	for i in "${@:2}"; do runs_at "$1" "$i" || return 1; done
}
keep_running_at() { # SERVICE MS HOST...
	local until=$(($(now_ms) + $2))
	while test "$(now_ms)" -lt $until; do
		all_run_at "$1" "${@:3}" || return 1
	done
}

start_platform || exit 1
start_upstreams
for s in 2 3; do put_server $s ready other; done
put_manifest 1 "$(orders_to desk)" || fail "the store did not take version 1"
processor_share=0.9 start_followers 0
start_followers 1 2
within 3 all_run_at desk 0 1 2 || fail "version 1 is not in force"
sleep 1
platform_fault '{"copy":true}'
for n in 1 2 3 4 5; do put_row padding "row$n" '{}'; done
put_manifest 2 "$(orders_to other)" || fail "the store did not take version 2"
within 3 all_run_at other 0 1 2 || fail "version 2 is not in force"
# These have never read version 1. Host 0 reads the store for the others.
kill_process entry0
kill_process entry1
processor_share=0.9 start_followers 0
start_followers 1 3
within 3 all_run_at other 0 1 2 3 || fail "version 2 is not in force at hosts that started"
sleep 1
for restore in 1 2; do
	kill_process entry2
	kill_process entry0
	platform_fault '{"down":true}'
	sleep 0.7
	platform_fault '{"down":false,"restore":true}'
	# Host 0 reads the store for the others again, and knows only the copy.
	processor_share=0.9 start_followers 0
	start_followers 2
	check "restore $restore: hosts that start keep the copy's manifest" \
		within 2 all_run_at other 0 2
	check "restore $restore: the copy's manifest comes into force" \
		keep_running_at other $LONG_MS 0 1 2 3
done
put_manifest 2 "$(orders_to other)"
check "version 2 does not stay in force" keep_running_at other 1000 0 1 2 3
put_manifest 3 "$(orders_to desk)"
check "a later manifest is not in force" within 2 all_run_at desk 0 1 2 3
report_failures
