#!/bin/bash
# Guards against a crash that is not seen, because the server ends while it is asked
# whether it has crashed, and the connection is reset instead of refused.
set -u
PORT_BASE=${PORT_BASE:-30700}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=31 WORK_MS=5
CRASHES=30

start_platform || exit 1
start_upstreams
put_manifest 1 "$(print_route order /order/ unsafe desk)" ||
	fail "the store did not take the manifest"
start_follower 0
wait_ready 0 || fail "host 0 is not ready"
sleep 1
# Each order is another request, is sent once, and ends one server.
for n in $(seq $CRASHES); do
	call_host 0 "/order/$n-deadly" "order-$n" -o /dev/null >/dev/null
done
sleep 1
crashed=$((SERVERS - $(live_servers)))
seen=$(grep -c '"event":"crash",' "$WORK/entry0.log")
check "no server crashed" test $crashed -gt 0
check "$seen of $crashed crashes were seen" test "$seen" = $crashed
say "failures: $failures"
test $failures = 0
