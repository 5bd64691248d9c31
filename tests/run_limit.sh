#!/bin/bash
# Guards against servers that get more requests than the limit that they name in
# their answers, which is for all hosts together: when hosts do not read it, when
# each keeps to it alone, when a host starts anew, and when no server is left
# without a limit. Also against limits that leave most of what they allow unused,
# calls that wait although no server may take them, and limits that outlast
# their server's need.
set -u
PORT_BASE=${PORT_BASE:-27200}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=6 SERVERS=3 LIMIT_PER_S=4
# The bound holds from SETTLE_MS after a limit was first named, in any WINDOW_MS.
SETTLE_MS=3000 WINDOW_MS=4000
ALLOWED=$((LIMIT_PER_S * WINDOW_MS / 1000 * 3 / 2 + 5))

# requests SERVER FROM-MS TO-MS: prints when the server got requests.
requests() {
	awk -v from="$2" -v to="$3" '$3 >= from && $3 < to { print $3 }' \
		"$WORK/server$1.out"
}
# busiest SERVER FROM-MS TO-MS: prints the largest number of requests that the
# server got within any WINDOW_MS of that time.
busiest() {
	requests "$@" | awk -v window=$WINDOW_MS '{ at[NR] = $1 + 0
		while (at[NR] - at[first + 1] >= window) first++
		if (NR - first > most) most = NR - first }
		END { print most + 0 }'
}
# check_limit SERVER FROM-MS TO-MS: no window has more requests than allowed.
check_limit() {
	local most
	most=$(busiest "$@")
	say "server $1: at most $most of $ALLOWED in a window"
	check "server $1 got $most requests in $WINDOW_MS ms, allowed $ALLOWED" \
		test "$most" -le $ALLOWED
}
# check_used SERVER FROM-MS TO-MS: the server got at least half of its limit.
check_used() {
	local count least
	count=$(requests "$@" | wc -l)
	least=$((LIMIT_PER_S * ($3 - $2) / 2000))
	say "server $1: $count requests, at least $least"
	check "server $1 got only $count requests, expected $least" \
		test "$count" -ge $least
}
# mark_calls: calls_since_mark prints the outcomes of the calls from now on, at
# the hosts that are not killed.
mark_calls() {
	for i in 0 1 2 3 4; do wc -l <"$WORK/calls$i" >"$WORK/mark$i"; done
}
calls_since_mark() {
	for i in 0 1 2 3 4; do
		tail -n +$(($(cat "$WORK/mark$i") + 1)) "$WORK/calls$i"
	done
}

WORK_MS=20 start_deployment "$(print_route desk /desk/ safe desk)"
start_followers $(all_hosts)
for i in $(all_hosts); do
	call_desk_until_done "$i" &
	callers="${callers:-} $!"
done
sleep 1

# One server names a limit; a host is killed and starts anew meanwhile. The other
# servers have room for all calls.
named=$(now_ms)
set_limit 0 $LIMIT_PER_S
mark_calls
sleep 5
kill -9 "$pid_entry5"
start_follower 5
sleep 4
check_limit 0 $((named + SETTLE_MS)) "$(now_ms)"
failed=$(calls_since_mark | grep -cv '^200')
check "$failed calls failed although two servers are not limited" \
	test "$failed" = 0

# All servers name a limit. What they cannot take is refused at once.
named=$(now_ms)
for s in 1 2; do set_limit "$s" $LIMIT_PER_S; done
sleep 3
mark_calls
sleep 6
until=$(now_ms)
for s in 0 1 2; do
	check_limit "$s" $((named + SETTLE_MS)) "$until"
	check_used "$s" $((named + SETTLE_MS)) "$until"
done
calls_since_mark >"$WORK/limited"
check "no call was refused" grep -q '^503' "$WORK/limited"
slow=$(awk '$1 == 503 && $2 > 0.4' "$WORK/limited" | wc -l)
check "$slow calls were refused only after 0.4 s" test "$slow" = 0

# The limit of one server ends, and the others take nothing any more.
set_limit 0 ""
for s in 1 2; do set_limit "$s" 0; done
sleep 6
from=$(now_ms)
mark_calls
sleep 3
until=$(now_ms)
count=$(requests 0 "$from" "$until" | wc -l)
say "server 0: $count requests in 3 s after its limit has ended"
check "server 0 is still limited" test "$count" -gt $((LIMIT_PER_S * 3 * 2))
for s in 1 2; do
	count=$(requests "$s" "$from" "$until" | wc -l)
	check "server $s got $count requests and takes none" test "$count" = 0
done
failed=$(calls_since_mark | grep -cv '^200')
check "$failed calls failed although a server is not limited" \
	test "$failed" = 0
touch "$WORK/done"
wait $callers 2>/dev/null
report_failures
