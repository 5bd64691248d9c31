#!/bin/bash
# What servers say of themselves in their answers.
#
# A server that leaves says so. Guards against work that it gets later than
# DRAIN_MS after a host passed such an answer on: because the header was not
# read, because its row still says ready, was written anew or cannot be read, or
# because a later answer, of a health check too, lacks the header. Its next start
# gets work again.
set -u
PORT_BASE=${PORT_BASE:-28200}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=3 DRAIN_MS=2000

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
# run_caller HOST: sends calls to the host, one after the other, until the end.
run_caller() {
	local n=0
	while test ! -e "$WORK/done"; do
		n=$((n + 1))
		call_host "$1" /desk/a "c$BASHPID-$n" -o /dev/null \
			-w '%{http_code} %{time_total}\n' >>"$WORK/calls$1"
	done 2>/dev/null
}
failed_calls() { cat "$WORK"/calls? | grep -cv '^200'; }

start_platform || exit 1
for s in $(seq 0 $((SERVERS - 1))); do
	start_upstream "$s" 20
	put_server "$s" ready 1
done
put_manifest 1 "$(print_route desk /desk/ safe desk)" ||
	fail "the store did not take the manifest"
start_follower 0
wait_ready 0 || fail "host 0 is not ready"
run_caller 0 &
callers="$!"
run_caller 0 &
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

touch "$WORK/done"
wait $callers 2>/dev/null
say "failures: $failures"
test $failures = 0
