#!/bin/bash
# Guards against a host that started while the store was down and serves, once the
# store is back, a request that the other hosts blocked meanwhile.
set -u
PORT_BASE=${PORT_BASE:-28900}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3 SERVERS=20 WORK_MS=30

# check_start NAME SHARE: host 2 starts with that processor share, which decides whom
# it polls, while the store is down and the others block a request.
check_start() {
	local before path=/desk/$1-deadly
	kill_process entry2
	platform_fault '{"down": true}'
	call_in_turn "$path" "$path" 4 0.5 0 1 # until hosts 0 and 1 refuse it
	before=$(live_servers)
	processor_share=$2 start_follower 2
	sleep 2
	platform_fault '{"down": false}'
	wait_ready 2 || fail "host 2 is not ready after the return of the store"
	call_in_turn "$path" "$path-late" 3 0 2
	sleep 0.5
	check "$((before - $(live_servers))) servers crashed at a host of share $2" \
		test "$(live_servers)" = "$before"
	sleep 2
}

start_deployment "$(print_route desk /desk/ safe desk)"
start_followers $(all_hosts)
sleep 1
check_start first 0.9
check_start last 0.1
check_start again 0.9
report_failures
