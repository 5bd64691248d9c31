#!/bin/bash
# Guards against answers that are ready and thrown away: while a host is stopped, its
# servers answer and the deadlines of the calls pass. When the host goes on, it must
# read these answers before it gives the calls up. A call that has no answer then
# must still be given up at once.
set -u
PORT_BASE=${PORT_BASE:-28800}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=1 WORK_MS=400 DEADLINE_MS=1000
MAX_GIVE_UP_MS=300

# send METHOD PATH ID: sends a call; prints its status.
send() {
	curl -s -m 5 -o /dev/null -w '%{http_code}' -X "$1" \
		-H 'Host: x.example' -H "Attempt-Id: $3" \
		-H "Deadline-Ms: $DEADLINE_MS" "127.0.0.1:$callers_port$2"
}

start_deployment "$(print_route safe /safe/ safe desk),$(print_route order /order/ unsafe desk)"
start_followers 0
sleep 1

for i in 1 2 3; do
	send GET /safe/a "safe-$i" >"$WORK/safe$i" &
	callers="${callers:-} $!"
	send POST /order/a "order-$i" >"$WORK/order$i" &
	callers="$callers $!"
	sleep 0.2
	kill -STOP "$pid_entry0"
	sleep 1.5
	kill -CONT "$pid_entry0"
	wait $callers
	callers=
	for kind in safe order; do
		check "a $kind call got $(cat "$WORK/$kind$i"), its answer was ready" \
			test "$(cat "$WORK/$kind$i")" = 200
	done
	sleep 0.5
done

# The server is stopped as well, so that there is no answer.
send POST /order/a none >"$WORK/none" &
caller=$!
sleep 0.2
kill -STOP "$pid_server0" "$pid_entry0"
sleep 1.5
kill -CONT "$pid_entry0"
resumed_ms=$(now_ms)
wait $caller
took_ms=$(($(now_ms) - resumed_ms))
kill -CONT "$pid_server0"
check "a call without an answer got $(cat "$WORK/none")" test "$(cat "$WORK/none")" = 504
check "a call without an answer was given up after $took_ms ms" \
	test $took_ms -le $MAX_GIVE_UP_MS
report_failures
