#!/bin/bash
# Guards against orders that are cut off without an answer because a stopping host
# takes them although it may be killed before their deadline. They must be refused,
# as not run; those with an earlier deadline must still be taken and answered.
set -u
PORT_BASE=${PORT_BASE:-28000}
. "$(dirname "$0")/lib_platform.sh"
WORK_MS=1500 STOP_LIMIT_S=3

# order ID: sends an order whose deadline is 2 s away. Prints the status; "not-run"
# follows if the answer says when to come back.
order() {
	say $(call_host 0 /order/a "$1" -X POST -D "$WORK/head-$1" -o /dev/null)
	grep -qi '^retry-after:' "$WORK/head-$1" && say not-run
}

start_platform || exit 1
start_upstream 0 $WORK_MS
put_server 0 ready || fail "the store did not take the row of the server"
put_manifest 1 "$(print_route order /order/ unsafe desk)" ||
	fail "the store did not take the manifest"
stop_limit_s=$STOP_LIMIT_S start_follower 0
wait_ready 0 || fail "host 0 is not ready"

kill -TERM "$pid_entry0"
(sleep $STOP_LIMIT_S; kill -9 "$pid_entry0" 2>/dev/null) &
order early >"$WORK/early" &
early=$!
sleep 1.6
check "an order that might be cut off is not refused" \
	test "$(order late | tr '\n' ' ')" = "503 not-run "
wait $early
check "an order with time enough is not answered" \
	test "$(cat "$WORK/early")" = 200
check "an order that was refused has run" test "$(grep -c late "$WORK/server0.out")" = 0
say "failures: $failures"
test $failures = 0
