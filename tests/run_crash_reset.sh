#!/bin/bash
# Guards against a crash that is not seen, because the server ends while it is asked
# whether it has crashed, and the connection is reset instead of refused.
set -u
PORT_BASE=${PORT_BASE:-30700}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=31 WORK_MS=5
CRASHES=30

start_deployment "$(print_route order /order/ unsafe desk)"
start_followers 0
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
report_failures
