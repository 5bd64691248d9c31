#!/bin/bash
# Guards against calls that reach a server DRAIN_MS after its entry was removed. The
# store was away, another host read it first when it came back, and a host that has
# polled that one since reads the store itself only much later. If it takes that for
# the end of the outage, it keeps entries that are missing then for 2 s: they might
# have lapsed in the outage.
#
# Also guards against a server that is dropped because its entry lapsed in an outage,
# and is back within 2 s of it.
set -u
PORT_BASE=${PORT_BASE:-24600}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=3 WORK_MS=20 DRAIN_MS=2000

# runs SERVER FROM-MS: how many calls the server ran since FROM-MS.
runs() {
	awk -v from="$2" '$3 >= from { n++ } END { print n + 0 }' \
		"$WORK/server$1.out"
}
has_runs() { test "$(runs "$1" "$2")" -ge 5; }
# polls HOST OTHER: whether the host polls that one now.
polls() {
	grep 'polling \|no longer polled' "$WORK/entry$1.log" | tail -1 |
		grep -q "polling entry-$2"
}

start_deployment "$(print_route desk /desk/ safe desk)"
# Host 0 comes first in rank because of its larger processor share. It reaches the
# store through a proxy.
proxy_address=127.0.0.1:$((PORT_BASE + 1))
echo pass >"$WORK/store.mode"
start_process proxy "$BIN/tool_soak_proxy" "$proxy_address" \
	"$platform_address" "$WORK/store.mode"
wait_http "$proxy_address" /stats || fail "the proxy does not answer"
processor_share=0.9 platform_address=$proxy_address start_follower 0
start_follower 1
for i in 0 1; do wait_ready $i || fail "host $i is not ready"; done
sleep 1
call_desk_until_done 0 &
callers="$!"
call_desk_until_done 0 &
callers="$callers $!"

# The store is away, and host 0 does not reach it before it has polled host 1. The
# entry of server 2 lapses, and is written again.
echo reset >"$WORK/store.mode"
platform_fault '{"down":true}'
sleep 3
platform_fault '{"down":false}'
drop_row servers s2 || fail "the store did not remove the row"
sleep 1.2
put_server 2 ready || fail "the store did not take the row of server 2"
within 5 polls 0 1 || fail "host 0 does not poll host 1"
echo pass >"$WORK/store.mode"
sleep 4
check "a server whose entry lapsed in the outage was dropped" \
	test "$(grep -c 's2 is removed from the document' "$WORK/entry1.log")" = 0

# Host 1 stands still, so that host 0 has to read the store itself.
polls 0 1 || fail "host 0 does not poll host 1 any more"
from=$(now_ms)
check "server 1 gets no calls" within 2 has_runs 1 "$from"
kill -STOP "$pid_entry1"
drop_row servers s1 || fail "the store did not remove the row"
removed=$(now_ms)
sleep 4
kill -CONT "$pid_entry1"
count=$(runs 1 $((removed + DRAIN_MS)))
check "a server got $count calls $DRAIN_MS ms after its entry was removed" \
	test "$count" = 0
check "server 0 gets no calls" has_runs 0 $((removed + DRAIN_MS))

touch "$WORK/done"
wait $callers 2>/dev/null
failed_calls=$(cat "$WORK"/calls? | grep -cv '^200')
check "$failed_calls calls failed" test "$failed_calls" = 0
test $failures = 0 || tail -40 "$WORK/entry0.log"
report_failures
