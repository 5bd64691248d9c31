#!/bin/bash
# Guards against cold servers that get more than they bear from all hosts together,
# whether their entry or a health check response says that they are cold; against
# servers that get nothing while they are cold, or only a small share when they are
# warm; and against calls that fail although another server is warm.
set -u
PORT_BASE=${PORT_BASE:-26400}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=6 WARMUP_MS=3000
# 1.5 times the rate of 4.3 and 8 more, in any second.
ALLOWED=14

# busiest SERVER FROM-MS TO-MS: the largest number of requests within a second.
busiest() {
	awk -v from="$2" -v to="$3" '$3 >= from && $3 < to { print $3 }' \
		"$WORK/server$1.out" | awk '{ at[NR] = $1 + 0
		while (at[NR] - at[first + 1] >= 1000) first++
		if (NR - first > most) most = NR - first }
		END { print most + 0 }'
}
runs() {
	awk -v from="$2" -v to="$3" '$3 >= from && $3 < to { n++ }
		END { print n + 0 }' "$WORK/server$1.out"
}
# check_cold SERVER FROM-MS: the server is cold from then on, for WARMUP_MS.
check_cold() {
	local warm most count
	warm=$(($2 + WARMUP_MS))
	sleep $((WARMUP_MS / 1000 + 3))
	most=$(busiest "$1" "$2" "$warm")
	say "server $1: at most $most of $ALLOWED in a second"
	check "server $1 got $most requests in a second" test "$most" -le $ALLOWED
	count=$(runs "$1" "$2" "$warm")
	check "server $1 got nothing while it was cold" test "$count" -gt 0
	count=$(runs "$1" $((warm + 1500)) $((warm + 2500)))
	say "server $1: $count requests in a second when it is warm"
	check "server $1 got $count requests in a second when it is warm" \
		test "$count" -gt $((2 * ALLOWED))
}

start_platform || exit 1
for s in 0 1 2; do start_upstream $s 40; done
put_server 0 ready && put_server 1 ready ||
	fail "the store did not take the rows of the servers"
desk_fields='"warmup-per-s":4.3,"warmup-s":3,' put_manifest 1 \
	"$(print_route desk /desk/ safe desk)" ||
	fail "the store did not take the manifest"
start_followers $(all_hosts)
sleep 1
for i in $(all_hosts) 0 1; do
	call_desk_until_done "$i" &
	callers="${callers:-} $!"
done
sleep 2

# A server joins.
set_cold 2 $WARMUP_MS
joined=$(now_ms)
warmup_left_s=3 put_server 2 ready
check_cold 2 "$joined"
warmup_left_s=0 put_server 2 ready

# A server turns cold, and its entry does not say so. Calls for which it was chosen
# before are on their way.
set_cold 0 $WARMUP_MS
check_cold 0 $(($(now_ms) + 50))

for event in server-cold server-warm; do
	check "no line of event $event" \
		grep -q "\"event\":\"$event\"" "$WORK"/entry?.log
done
touch "$WORK/done"
wait $callers 2>/dev/null
failed=$(cat "$WORK"/calls? | grep -cv '^200')
check "$failed calls failed" test "$failed" = 0
test $failures = 0 || grep -h '"event":"fail"' "$WORK"/entry?.log | tail -20
report_failures
