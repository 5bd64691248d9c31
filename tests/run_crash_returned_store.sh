#!/bin/bash
# Guards against a host that started while the store was down and serves, once the
# store is back, a request that the other hosts blocked meanwhile.
set -u
PORT_BASE=${PORT_BASE:-28900}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3 SERVERS=20 WORK_MS=30

# block_elsewhere PATH: sends the request to hosts 0 and 1 until they refuse it.
block_elsewhere() {
	for n in 1 2 3 4; do
		call_host $((n % 2)) "$1" "$1-$n" -o /dev/null >/dev/null
		sleep 0.5
	done
}
# check_start NAME SHARE: host 2 starts with that processor share, which decides whom
# it polls, while the store is down and the others block a request.
check_start() {
	local before path=/desk/$1-deadly
	kill_process entry2
	platform_fault '{"down": true}'
	block_elsewhere "$path"
	before=$(live_servers)
	processor_share=$2 start_follower 2
	sleep 2
	platform_fault '{"down": false}'
	wait_ready 2 || fail "host 2 is not ready after the return of the store"
	for n in 1 2 3; do
		call_host 2 "$path" "$path-late-$n" -o /dev/null >/dev/null
	done
	sleep 0.5
	check "$((before - $(live_servers))) servers crashed at a host of share $2" \
		test "$(live_servers)" = "$before"
	sleep 2
}

start_platform || exit 1
start_upstreams
put_manifest 1 "$(print_route desk /desk/ safe desk)" ||
	fail "the store did not take the manifest"
for i in $(seq 0 $((HOSTS - 1))); do start_follower "$i"; done
for i in $(seq 0 $((HOSTS - 1))); do
	wait_ready "$i" || fail "host $i is not ready"
done
sleep 1
check_start first 0.9
check_start last 0.1
check_start again 0.9
say "failures: $failures"
test $failures = 0
