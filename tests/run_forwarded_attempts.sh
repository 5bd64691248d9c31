#!/bin/bash
# Guards against a call that runs on more servers than its route allows, because a host
# that it was passed to is lost and the next one counts anew.
set -u
PORT_BASE=${PORT_BASE:-22800}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=4 SERVERS=6 WORK_MS=20
CALLS=6

# print_limited NAME PREFIX ATTEMPTS: a route whose calls may be repeated.
print_limited() {
	print_route "$1" "$2" safe desk |
		sed 's/"max-attempts":2/"max-attempts":'"$3"'/'
}
# runs ID: how many servers ran the call.
runs() { cat "$WORK"/server*.out | grep -c "^$1 "; }

start_stranded_hosts "$(print_limited one /one/ 1),$(print_limited three /three/ 3)" 1
cut_source $CUT_SOURCE hang
check "host 0 passes no call on" within 6 passes_on 0 /one/a
# The hosts that have the calls are killed, one after the other.
for route in one three; do
	for n in $(seq $CALLS); do
		call_host 0 /$route/a "$route-$n" -o /dev/null -H 'X-Work: 700' \
			>>"$WORK/answers-$route" &
		calls="${calls:-} $!"
	done
	sleep 0.3
	victim=$(test $route = one && echo 1 || echo 2)
	kill_process "entry$victim"
	wait $calls
	calls=
done
for n in $(seq $CALLS); do
	check "call $n ran on $(runs "one-$n") servers, allowed 1" \
		test "$(runs "one-$n")" -le 1
	check "call $n ran on $(runs "three-$n") servers, allowed 3" \
		test "$(runs "three-$n")" -le 3
done
moved=0
for n in $(seq $CALLS); do
	test "$(runs "three-$n")" -gt 1 && moved=$((moved + 1))
done
served=$(grep -o ' 200' "$WORK/answers-three" | wc -l)
check "$served of $CALLS calls that may run three times were served" \
	test "$served" = $CALLS
check "no call was passed on again" test $moved -gt 0
report_failures
