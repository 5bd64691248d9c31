#!/bin/bash
# What servers say of themselves in their answers.
#
# A server that leaves says so. Guards against work that it gets later than
# DRAIN_MS after a host passed such an answer on: because the header was not
# read, because its row still says ready, was written anew or cannot be read, or
# because a later answer, of a health check too, lacks the header. Its next start
# gets work again.
#
# A server that refuses a request may ask for a pause. Guards against more than
# ALLOWED requests of a host, health checks included, from SETTLE_MS after its
# refusal to the end of the pause, against callers that wait while all servers
# pause, or are sent back before any of them takes work, and against pauses that do
# not end.
#
# Also guards against the second copy of an answer that is taken for another one.
set -u
PORT_BASE=${PORT_BASE:-28200}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=3 DRAIN_MS=2000 PAUSE_S=4 SETTLE_MS=500 ALLOWED=2

# set_server I WHAT TEXT: sets a behaviour of the server at servers_port + I.
set_server() {
	curl -s -o /dev/null -X PUT -d "$3" \
		"127.0.0.1:$((servers_port + $1))/$2"
}
# put_server I STATE SEQUENCE [BORN]: writes the row of server I once more.
put_server() {
	put_row servers "s$1" '{"service":"desk","address":"127.0.0.1:'$((servers_port + $1))'","zone":"gs-a","version":"v1","slots":6,"state":"'"$2"'","warmup-left-s":0,"sequence":'"$3"',"born":'"${4:-1800000000000}"'}' ||
		fail "the store did not take the row of server $1"
}
# notices SERVER FROM-MS: how many requests the server got since FROM-MS while
# it left or paused.
notices() {
	awk -v from="$2" '$1 == "notice" && $3 >= from { n++ } END { print n + 0 }' \
		"$WORK/server$1.out"
}
# runs SERVER FROM-MS: how many calls it ran since FROM-MS.
runs() {
	awk -v from="$2" '$1 != "notice" && $3 >= from { n++ } END { print n + 0 }' \
		"$WORK/server$1.out"
}
failed_calls() { cat "$WORK"/calls? | grep -cv '^200'; }

start_platform || exit 1
for s in $(seq 0 $((SERVERS - 1))); do
	start_upstream "$s" 20
	put_server "$s" ready 1
done
put_manifest 1 "$(print_route desk /desk/ safe desk)" ||
	fail "the store did not take the manifest"
start_followers 0
call_desk_until_done 0 &
callers="$!"
call_desk_until_done 0 &
callers="$callers $!"
sleep 1

# check_left SERVER: nothing reaches it DRAIN_MS after it said that it leaves.
check_left() {
	local from count
	sleep $((DRAIN_MS / 1000))
	from=$(now_ms)
	sleep 2
	count=$(notices "$1" "$from")
	check "server $1 got $count requests $DRAIN_MS ms after it said that it leaves" \
		test "$count" = 0
}

# Its row goes on to say that it is ready.
set_server 0 leaving healthy
check_left 0
put_server 0 ready 2
check_left 0

# Health checks are answered without the notice, the row is written once more.
set_server 0 leaving ""
put_server 0 ready 3
from=$(now_ms)
sleep 6
count=$(runs 0 "$from")
check "a server that had said that it leaves ran $count calls" test "$count" = 0

# Only a refused health check says it.
set_server 1 leaving 1
check_left 1

# Its next start is another server.
put_server 0 ready 1 1900000000000
from=$(now_ms)
has_runs() { test "$(runs 0 "$from")" -ge 5; }
check "the next start of the server gets no calls" within 10 has_runs
check "$(failed_calls) calls failed" test "$(failed_calls)" = 0

# One server pauses. It refuses what it gets all the time.
set_server 2 pause "$PAUSE_S.5"
sleep 0.6
from=$(now_ms)
sleep $((PAUSE_S - 1))
count=$(notices 2 "$from")
check "a pausing server got $count requests, allowed $ALLOWED" \
	test "$count" -le $ALLOWED
check "$(failed_calls) calls failed" test "$(failed_calls)" = 0

# Both servers that are left pause.
set_server 2 pause 3
set_server 0 pause 2.5
sleep 2
from=$(now_ms)
call_host 0 /desk/a all-pause -D "$WORK/refusal" -o /dev/null \
	-w '%{time_total}\n' >"$WORK/refused"
check "a call is not refused while all servers pause" \
	grep -q '^HTTP/1.1 503' "$WORK/refusal"
check "a call waited for servers that pause" \
	awk '$1 > 0.2 { exit 1 }' "$WORK/refused"
after=$(grep -i '^retry-after' "$WORK/refusal" | tr -d '\r' | cut -d' ' -f2)
check "Retry-After is \"$after\" while servers pause for 2.5 s and more" \
	awk -v s="$after" 'BEGIN { exit !(s > 0.1 && s <= 3) }'

# Their pauses are over. A few calls all go to one server, as long as it is idle, so
# each in turn must take them while the other one pauses.
set_server 0 pause ""
set_server 2 pause ""
sleep 5
for s in 0 2; do
	set_server $((2 - s)) pause 2
	from=$(now_ms)
	has_run() { test "$(runs $s "$from")" -ge 5; }
	check "server $s gets no calls after its pause" within 4 has_run
	set_server $((2 - s)) pause ""
	sleep 2.5
done

# A second copy of an answer to a health check, which bears no id of a call, comes
# before the answer to an order. The order runs, so it was not refused.
put_manifest 2 "$(print_route desk /desk/ safe desk),$(print_route order /order/ unsafe desk)"
within 5 grep -q 'version 2 in force' "$WORK/entry0.log"
set_server 0 stale 1
set_server 2 stale 1
for n in 1 2 3 4 5; do
	call_host 0 /order/a "order-$n" -X POST -o /dev/null -w '%{http_code}\n'
done >"$WORK/orders"
refused=$(grep -c 503 "$WORK/orders")
ran=$(cat "$WORK"/server[02].out | grep -c '^order-')
check "no order ran" test "$ran" -gt 0
check "$refused orders were refused as not run, of 5, $ran ran" \
	test $((refused + ran)) -le 5
set_server 0 stale ""
set_server 2 stale ""

touch "$WORK/done"
wait $callers 2>/dev/null
report_failures
