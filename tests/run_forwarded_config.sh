#!/bin/bash
# Guards against a call that is answered by an old version because a host that stood
# still handles it: a host that reaches no server passes calls on, and one that wakes up
# takes them before it has read anything.
set -u
PORT_BASE=${PORT_BASE:-22400}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3 SERVERS=4 WORK_MS=20
# Host 0 is cut off, host 1 stands still, host 2 is sound.
CALLS=12

start_platform || exit 1
for s in 0 1 2 3; do
	start_upstream $s $WORK_MS
	put_server $s ready "$(test $s -lt 2 && echo desk || echo other)" ||
		fail "the store did not take the row of server $s"
done
routes=$(print_route desk /desk/ safe desk),$(print_route other /other/ safe other)
put_manifest 1 "$routes,$(print_route order /order/ unsafe desk)" ||
	fail "the store did not take the manifest"
start_hosts_to_cut 1
cut_source $CUT_SOURCE hang
passed() {
	for path in /desk/a /other/a; do
		call_host 0 $path "notice-$RANDOM" -o /dev/null >/dev/null &
	done
	sleep 0.2
	grep -q '"event":"forward"' "$WORK/entry0.log"
}
check "host 0 passes no call on" within 6 passed
kill -STOP "$pid_entry1"
put_manifest 2 "$routes,$(print_route order /order/ unsafe other),$(print_route new /new/ safe other)" ||
	fail "the store did not take version 2"
sleep 2.5
for n in $(seq $CALLS); do
	for path in /order /new; do
		call_host 0 $path/a "${path#/}-$n" -o /dev/null \
			-w '%{http_code}\n' >>"$WORK/answers" &
		calls="${calls:-} $!"
	done
done
sleep 0.6
kill -CONT "$pid_entry1"
wait $calls
missing=$(grep -c 404 "$WORK/answers")
check "$missing calls of a new route were answered 404" test "$missing" = 0
old=$(cat "$WORK"/server[01].out | grep -c '^order-')
check "$old orders were run by the old service" test "$old" = 0
served=$(grep -c 200 "$WORK/answers")
check "$served of $((2 * CALLS)) calls were served" \
	test "$served" -ge $((CALLS))
report_failures
