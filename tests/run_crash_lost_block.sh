#!/bin/bash
# Guards against a request that crashes servers again after it was blocked while the
# store was down: the hosts that counted its crashes write the block into the store,
# and were killed before it was back. The others knew of the block, and were restarted
# later.
set -u
PORT_BASE=${PORT_BASE:-28100}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=6 SERVERS=12 WORK_MS=30

# found_by FINDER: prints the hosts whose logs say that it found the block.
found_by() {
	local i
	for i in $(seq 0 $((HOSTS - 1))); do
		grep '"block"' "$WORK/entry$i.log" | grep -q "\"$1\"" &&
			say "$i"
	done
}
start_hosts() {
	for i in "$@"; do start_follower "$i"; done
	for i in "$@"; do
		wait_ready "$i" || fail "host $i is not ready"
	done
	sleep 1
}

start_platform || exit 1
start_upstreams
put_manifest 1 "$(print_route desk /desk/ safe desk)" ||
	fail "the store did not take the manifest"
start_hosts $(seq 0 $((HOSTS - 1)))

platform_fault '{"down": true}'
for n in 1 2 3 4; do
	call_host 0 /desk/deadly "block-$n" -o /dev/null >/dev/null
	sleep 0.5
done
counting=$(found_by this-host)
told=$(found_by other-host)
test -n "$counting" || fail "no host has blocked the request"
test -n "$told" || fail "no host was told of the block"
for i in $counting; do kill_process "entry$i"; done
sleep 1
platform_fault '{"down": false}'
sleep 3

before=$(live_servers)
for i in $told; do kill_process "entry$i"; done
start_hosts $(seq 0 $((HOSTS - 1)))
for i in $(seq 0 $((HOSTS - 1))); do
	call_host "$i" /desk/deadly "late-$i" -o /dev/null >/dev/null
	sleep 0.5
done
check "$((before - $(live_servers))) servers crashed under a request that had been blocked" \
	test "$(live_servers)" = "$before"
say "failures: $failures"
test $failures = 0
