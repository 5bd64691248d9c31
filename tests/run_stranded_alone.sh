#!/bin/bash
# Guards against a host that knows that it reaches no server, and has no other host to
# pass its calls to, but sends them to a server all the same: callers wait until their
# deadline then, and do not learn whether an order ran.
set -u
PORT_BASE=${PORT_BASE:-30900}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=2 SERVERS=8 WORK_MS=20
# Host 0 is cut off, host 1 ends.
CALLS=20
MAX_MS=500 # of the 2,000 that a call has: the target of its route

start_stranded_hosts "$(print_route desk /desk/ safe desk),$(print_route order /order/ unsafe desk)" 1
cut_source $CUT_SOURCE hang
check "host 0 passes no call on" within 6 passes_on 0 /desk/a
kill_process entry1
for path in /order/a /desk/a; do
	for n in $(seq $CALLS); do
		call_host 0 $path "call-$n${path//\//-}" -o /dev/null \
			-w '%{http_code} %{time_total}\n' >>"$WORK/answers"
	done
done
refused=$(grep -c '^503' "$WORK/answers")
check "$refused of $((2 * CALLS)) calls were refused, the others: $(
	grep -v '^503' "$WORK/answers" | cut -d' ' -f1 | sort | uniq -c | tr '\n' ' ')" \
	test "$refused" = $((2 * CALLS))
late=$(awk -v max=$MAX_MS '$2 * 1000 > max' "$WORK/answers" | wc -l)
check "$late calls waited longer than $MAX_MS ms" test "$late" = 0

# Calls are served as soon as servers are reached again.
heal_source
served() { test "$(call_host 0 /order/a "healed-$RANDOM" -o /dev/null)" = " 200"; }
check "no call is served after the cut" within 2 served
report_failures
