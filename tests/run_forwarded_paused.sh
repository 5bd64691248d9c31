#!/bin/bash
# Guards against a host that stands still for a moment, and takes the other hosts for
# silent after that, although their answers have come meanwhile: it reaches no server,
# and has nobody left to pass its calls to.
set -u
PORT_BASE=${PORT_BASE:-31100}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=2 SERVERS=8 WORK_MS=20
# Host 0 is cut off and passes its calls to host 1.
ROUNDS=3
CALLS=10

start_stranded_hosts "$(print_route desk /desk/ safe desk),$(print_route order /order/ unsafe desk)" 1
cut_source $CUT_SOURCE hang
check "host 0 passes no call on" within 6 passes_on 0 /desk/a
sleep 1
for round in $(seq $ROUNDS); do
	# While its call is there, host 1 is pinged. It answers after 0.2 s, when host 0
	# stands still.
	call_host 0 /order/a "long-$round" -o /dev/null -X POST -H 'X-Work: 1500' \
		>/dev/null &
	long=$!
	sleep 0.3
	kill -STOP "$pid_entry1"
	sleep 0.2
	kill -STOP "$pid_entry0"
	kill -CONT "$pid_entry1"
	sleep 0.5
	kill -CONT "$pid_entry0"
	for n in $(seq $CALLS); do
		call_host 0 /order/a "call-$round-$n" -o /dev/null -X POST \
			-w '%{http_code}\n' >>"$WORK/answers"
	done
	wait $long
done
served=$(grep -c '^200' "$WORK/answers")
check "$served of $((ROUNDS * CALLS)) calls were served after host 0 had stood still" \
	test "$served" = $((ROUNDS * CALLS))
check "host 0 took host 1 for silent" \
	test "$(grep -c 'does not answer' "$WORK/entry0.log")" = 0
report_failures
