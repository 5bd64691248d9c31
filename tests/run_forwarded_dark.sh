#!/bin/bash
# Guards against calls that are passed again and again to hosts that do not answer, and
# wait there until their deadline, while another host answers.
set -u
PORT_BASE=${PORT_BASE:-23200}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=4 SERVERS=8 WORK_MS=100
# Host 0 is cut off, hosts 1 and 2 stand still, 3 is sound.
ROUNDS=20
CALLS_PER_ROUND=3 # every 100 ms

start_stranded_hosts "$(print_route desk /desk/ safe desk | sed 's/"max-attempts":2/"max-attempts":3/')" 1
cut_source $CUT_SOURCE hang
call_at_once 0 6 notice
sleep 2
kill -STOP "$pid_entry1" "$pid_entry2"
for n in $(seq $ROUNDS); do
	for m in $(seq $CALLS_PER_ROUND); do
		call_host 0 /desk/a "call-$n-$m" -o /dev/null \
			-w '%{http_code}\n' >>"$WORK/answers" &
		calls="${calls:-} $!"
	done
	sleep 0.1
done
wait $calls
kill -CONT "$pid_entry1" "$pid_entry2"
served=$(grep -c 200 "$WORK/answers")
check "$served of $((ROUNDS * CALLS_PER_ROUND)) calls were served" \
	test "$served" = $((ROUNDS * CALLS_PER_ROUND))
late=$(grep '"event":"forward"' "$WORK/entry0.log" |
	grep -cE '"id":"call-(1[0-9]|20)-.*"to":"entry-[12]"')
check "$late calls went to hosts that had been silent for a second" \
	test "$late" = 0
# They get calls again when they answer.
sleep 0.5
call_at_once 0 6 again
wait $!
again() {
	call_host 0 /desk/a "again-$RANDOM" -o /dev/null >/dev/null
	grep '"event":"forward"' "$WORK/entry0.log" |
		grep -qE '"id":"again-.*"to":"entry-[12]"'
}
check "no call goes to them when they answer again" within 6 again

# All of them stand still until no call is at any, and come back while none is made.
kill -STOP "$pid_entry1" "$pid_entry2" "$pid_entry3"
calls=
for n in $(seq 12); do
	call_host 0 /desk/a "none-$n" -o /dev/null >/dev/null &
	calls="$calls $!"
	sleep 0.2
done
wait $calls
kill -CONT "$pid_entry1" "$pid_entry2" "$pid_entry3"
sleep 3
served=0
for n in $(seq 12); do
	test "$(call_host 0 /desk/a "back-$n" -o /dev/null)" = " 200" &&
		served=$((served + 1))
done
check "$served of 12 calls were served after all hosts had come back" \
	test $served = 12
report_failures
