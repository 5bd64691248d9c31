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
	for i in $(all_hosts); do
		grep '"block"' "$WORK/entry$i.log" | grep -q "\"$1\"" &&
			say "$i"
	done
}

start_deployment "$(print_route desk /desk/ safe desk)"
start_followers $(all_hosts)
sleep 1

platform_fault '{"down": true}'
call_in_turn /desk/deadly block 4 0.5 0
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
start_followers $(all_hosts)
sleep 1
call_in_turn /desk/deadly late $HOSTS 0.5 $(all_hosts)
check "$((before - $(live_servers))) servers crashed under a request that had been blocked" \
	test "$(live_servers)" = "$before"
report_failures
